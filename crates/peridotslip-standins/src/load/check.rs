//! Checking that an answer is whole and belongs to one request.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::report::Outcome;

/// A request's outcome with its latencies.
pub(super) struct Checked {
    pub(super) outcome: Outcome,
    /// The work that the answer names.
    pub(super) id: Option<String>,
    pub(super) text: String,
    pub(super) first_byte: Duration,
    pub(super) total: Duration,
}

impl Checked {
    fn new(outcome: Outcome, first_byte: Duration, due: Instant) -> Self {
        Self {
            outcome,
            id: None,
            text: String::new(),
            first_byte,
            total: due.elapsed(),
        }
    }

    pub(super) fn failed(reason: String, due: Instant) -> Self {
        Self::new(Outcome::Broken(reason), Duration::ZERO, due)
    }

    pub(super) fn left(words: &Words, due: Instant) -> Self {
        let mut checked = Self::new(Outcome::Left, Duration::ZERO, due);
        checked.id = words.id();
        checked
    }

    pub(super) async fn refused(response: reqwest::Response, due: Instant) -> Self {
        let after = response.headers().contains_key("retry-after");
        let problem: Value = response.json().await.unwrap_or_default();
        let word = |field: &str| problem[field].as_str().unwrap_or("none").to_owned();
        let outcome = Outcome::Refused {
            reason: word("reason"),
            run: word("run"),
            after,
        };
        Self::new(outcome, Duration::ZERO, due)
    }

    pub(super) async fn service(response: reqwest::Response, due: Instant) -> Self {
        match response.json::<Value>().await {
            Ok(answer) => {
                let mut checked = Self::new(Outcome::Answered { tokens: 0 }, due.elapsed(), due);
                checked.id = answer["order"].as_str().map(str::to_owned);
                checked.text = answer.to_string();
                checked
            }
            Err(err) => Self::failed(err.without_url().to_string(), due),
        }
    }

    pub(super) async fn whole(
        response: reqwest::Response,
        first_byte: Duration,
        due: Instant,
    ) -> Self {
        let answer: Value = match response.json().await {
            Ok(answer) => answer,
            Err(err) => return Self::failed(err.without_url().to_string(), due),
        };
        let mut words = Words::default();
        words.add(
            answer["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        words.usage = Some((
            answer["usage"]["completion_tokens"]
                .as_u64()
                .unwrap_or_default(),
            answer["usage"]["total_tokens"].as_u64().unwrap_or_default(),
        ));
        words.done = true;
        words.finish(first_byte, due)
    }
}

/// The words of an answer: each names its request and its place.
#[derive(Default)]
pub(super) struct Words {
    buf: Vec<u8>,
    text: String,
    usage: Option<(u64, u64)>,
    done: bool,
}

impl Words {
    /// Adds bytes of a stream.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buf.drain(..end + 2).collect();
            self.event(&event);
        }
    }

    fn event(&mut self, event: &[u8]) {
        let data = event.strip_prefix(b"data: ").unwrap_or(event).trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or_default();
        self.add(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        if let Some(total) = chunk["usage"]["total_tokens"].as_u64() {
            let completion = chunk["usage"]["completion_tokens"].as_u64();
            self.usage = Some((completion.unwrap_or_default(), total));
        }
    }

    fn add(&mut self, text: &str) {
        self.text.push_str(text);
    }

    pub(super) fn parts(&self) -> u64 {
        self.text.split_whitespace().count() as u64
    }

    pub(super) fn id(&self) -> Option<String> {
        let (id, _) = self.text.split_whitespace().next()?.split_once('#')?;
        Some(id.to_owned())
    }

    /// Checks the whole.
    pub(super) fn finish(self, first_byte: Duration, due: Instant) -> Checked {
        let outcome = if self.done {
            self.verdict()
        } else {
            Outcome::Broken("no end mark".to_owned())
        };
        let mut checked = Checked::new(outcome, first_byte, due);
        checked.id = self.id();
        checked.text = self.text;
        checked
    }

    fn verdict(&self) -> Outcome {
        let Some((completion, total)) = self.usage else {
            return Outcome::Wrong("no usage".to_owned());
        };
        let id = self.id().unwrap_or_default();
        let mut count = 0;
        for word in self.text.split_whitespace() {
            if word != format!("{id}#{count}") {
                return Outcome::Wrong(format!("word {count} of {id} is {word}"));
            }
            count += 1;
        }
        if count != completion {
            return Outcome::Wrong(format!("{count} words of {completion} in {id}"));
        }
        Outcome::Answered { tokens: total }
    }
}

//! Verification that a response is complete and that all its tokens belong to
//! one request.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::report::RequestOutcome;

/// The outcome of a request with its latencies, which start at the scheduled
/// time of the request.
pub(super) struct CheckedResponse {
    pub(super) outcome: RequestOutcome,
    /// Request ID found in a completion, or the order number in the response of a
    /// service.
    pub(super) id: Option<String>,
    pub(super) text: String,
    pub(super) first_byte: Duration,
    pub(super) total: Duration,
}

impl CheckedResponse {
    fn new(outcome: RequestOutcome, first_byte: Duration, scheduled_at: Instant) -> Self {
        Self {
            outcome,
            id: None,
            text: String::new(),
            first_byte,
            total: scheduled_at.elapsed(),
        }
    }

    /// Returns the outcome of a request whose response could not be read.
    pub(super) fn failed(reason: String, scheduled_at: Instant) -> Self {
        Self::new(RequestOutcome::Broken(reason), Duration::ZERO, scheduled_at)
    }

    /// Returns the outcome of a request that the load generator abandoned after
    /// the given text.
    pub(super) fn disconnected(text: &ResponseText, scheduled_at: Instant) -> Self {
        let mut checked = Self::new(RequestOutcome::Disconnected, Duration::ZERO, scheduled_at);
        checked.id = text.id();
        checked
    }

    /// Reads the problem document of an error response.
    pub(super) async fn refused(response: reqwest::Response, scheduled_at: Instant) -> Self {
        let has_retry_after = response.headers().contains_key("retry-after");
        let problem: Value = response.json().await.unwrap_or_default();
        let label = |field: &str| problem[field].as_str().unwrap_or("none").to_owned();
        let outcome = RequestOutcome::Refused {
            reason: label("reason"),
            execution: label("run"),
            has_retry_after,
        };
        Self::new(outcome, Duration::ZERO, scheduled_at)
    }

    /// Reads the response of a service.
    pub(super) async fn service(response: reqwest::Response, scheduled_at: Instant) -> Self {
        match response.json::<Value>().await {
            Ok(body) => {
                let mut checked = Self::new(
                    RequestOutcome::Answered { tokens: 0 },
                    scheduled_at.elapsed(),
                    scheduled_at,
                );
                checked.id = body["order"].as_str().map(str::to_owned);
                checked.text = body.to_string();
                checked
            }
            Err(err) => Self::failed(err.without_url().to_string(), scheduled_at),
        }
    }

    /// Reads and verifies a completion that is not streamed.
    pub(super) async fn completion(
        response: reqwest::Response,
        first_byte: Duration,
        scheduled_at: Instant,
    ) -> Self {
        let completion: Value = match response.json().await {
            Ok(completion) => completion,
            Err(err) => return Self::failed(err.without_url().to_string(), scheduled_at),
        };
        let mut text = ResponseText::default();
        text.append(
            completion["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        text.usage = Some((
            completion["usage"]["completion_tokens"]
                .as_u64()
                .unwrap_or_default(),
            completion["usage"]["total_tokens"]
                .as_u64()
                .unwrap_or_default(),
        ));
        text.done = true;
        text.finish(first_byte, scheduled_at)
    }
}

/// The text of a completion.
///
/// The fake engine writes each token as the ID of the request, `#`, the position
/// of the token and a space.
#[derive(Default)]
pub(super) struct ResponseText {
    /// Bytes of an incomplete event.
    buf: Vec<u8>,
    text: String,
    /// Completion tokens and total tokens.
    usage: Option<(u64, u64)>,
    /// Whether the end of the response has been received.
    done: bool,
}

impl ResponseText {
    /// Appends bytes of an event stream.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buf.drain(..end + 2).collect();
            self.append_event(&event);
        }
    }

    fn append_event(&mut self, event: &[u8]) {
        let data = event.strip_prefix(b"data: ").unwrap_or(event).trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or_default();
        self.append(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        if let Some(total) = chunk["usage"]["total_tokens"].as_u64() {
            let completion = chunk["usage"]["completion_tokens"].as_u64();
            self.usage = Some((completion.unwrap_or_default(), total));
        }
    }

    fn append(&mut self, text: &str) {
        self.text.push_str(text);
    }

    /// Returns the number of tokens received so far.
    pub(super) fn token_count(&self) -> u64 {
        self.text.split_whitespace().count() as u64
    }

    /// Returns the request ID in the first token.
    pub(super) fn id(&self) -> Option<String> {
        let (id, _) = self.text.split_whitespace().next()?.split_once('#')?;
        Some(id.to_owned())
    }

    /// Verifies the text at the end of the response and returns the outcome.
    pub(super) fn finish(self, first_byte: Duration, scheduled_at: Instant) -> CheckedResponse {
        let outcome = if self.done {
            self.verify()
        } else {
            RequestOutcome::Broken("no [DONE] marker".to_owned())
        };
        let mut checked = CheckedResponse::new(outcome, first_byte, scheduled_at);
        checked.id = self.id();
        checked.text = self.text;
        checked
    }

    /// Checks that the tokens are consecutive, belong to one request and are as
    /// many as the usage states.
    fn verify(&self) -> RequestOutcome {
        let Some((completion, total)) = self.usage else {
            return RequestOutcome::Incorrect("the response has no usage".to_owned());
        };
        let id = self.id().unwrap_or_default();
        let mut count = 0;
        for token in self.text.split_whitespace() {
            if token != format!("{id}#{count}") {
                return RequestOutcome::Incorrect(format!(
                    "token {count} of request {id} is {token}"
                ));
            }
            count += 1;
        }
        if count != completion {
            return RequestOutcome::Incorrect(format!(
                "request {id}: received {count} tokens, usage states {completion}"
            ));
        }
        RequestOutcome::Answered { tokens: total }
    }
}

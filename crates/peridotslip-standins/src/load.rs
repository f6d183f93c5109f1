//! Callers: sends requests at a given rate and checks every answer.
//!
//! The rate is kept whatever the answers do (an open loop), and latencies
//! count from the time a request was due.

mod audit;
mod check;
mod report;

use std::{
    collections::HashSet,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use futures::StreamExt;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

pub(crate) use self::audit::{Options as AuditOptions, options as audit_options, run as audit};
use self::{
    check::{Checked, Words},
    report::{Outcome, Report},
};
use crate::serve::Result;

#[derive(Clone, Debug, Bpaf)]
#[allow(clippy::doc_markdown, clippy::struct_excessive_bools)] // Flags and their help text.
pub(crate) struct Options {
    /// A router's address for callers; may be repeated
    #[bpaf(argument("IP:PORT"), some("name at least one --router"))]
    router: Vec<String>,
    /// The caller's key; may be repeated, each caller being as likely
    #[bpaf(argument("KEY"), some("name at least one --key"))]
    key: Vec<String>,
    /// The model to ask
    #[bpaf(argument("NAME"), fallback(String::new()))]
    model: String,
    /// Call this path of a service with POST instead of a model
    #[bpaf(argument("PATH"))]
    path: Option<String>,
    /// Requests a second
    #[bpaf(argument("N"), fallback(10.0))]
    rate: f64,
    /// Requests in all
    #[bpaf(argument("N"), fallback(1))]
    count: usize,
    /// The request's max_tokens
    #[bpaf(argument("N"), fallback(16))]
    max_tokens: u64,
    /// Bytes of prompt
    #[bpaf(argument("N"), fallback(200))]
    prompt_bytes: usize,
    /// Different prompt prefixes, drawn with a skew
    #[bpaf(argument("N"), fallback(1))]
    prefixes: u64,
    /// Stream the answers
    stream: bool,
    /// Send an idempotency key with each request
    keyed: bool,
    /// Send each request to two routers at once, under one idempotency key
    twice: bool,
    /// Leave after this many parts of an answer
    #[bpaf(argument("N"))]
    leave_after: Option<u64>,
    /// Seed of arrivals, callers and prompts
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Longest wait for an answer
    #[bpaf(argument("S"), fallback(60))]
    timeout_s: u64,
    /// Print the answers
    show: bool,
}

/// One request to send.
struct Plan {
    due: Duration,
    router: String,
    key: String,
    prefix: u64,
    number: usize,
}

struct Run {
    options: Options,
    client: reqwest::Client,
    report: Mutex<Report>,
    /// Requests that answers have named, to find one given to two callers.
    seen: Mutex<HashSet<String>>,
}

/// Runs the load and prints a report as JSON.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let client = reqwest::Client::builder()
        .timeout(Duration::from_secs(options.timeout_s))
        .tcp_nodelay(true)
        .no_proxy()
        .build()?;
    let plans = plan(&options);
    let run = Arc::new(Run {
        client,
        report: Mutex::new(Report::default()),
        seen: Mutex::new(HashSet::new()),
        options,
    });
    let start = Instant::now();
    let mut tasks = Vec::new();
    for plan in plans {
        let due = start + plan.due;
        tokio::time::sleep_until(due.into()).await;
        tasks.push(tokio::spawn(run.clone().send(plan, due)));
    }
    for task in tasks {
        task.await?;
    }
    let report = run
        .report
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    println!("{}", report.to_json(start.elapsed()));
    Ok(if report.wrong == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Draws arrivals, callers and prompts.
fn plan(options: &Options) -> Vec<Plan> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut due = 0.0;
    let pick = |rng: &mut SmallRng, from: &[String]| from[rng.random_range(0..from.len())].clone();
    (0..options.count)
        .map(|number| {
            let unit: f64 = rng.random();
            due += -(1.0 - unit).ln() / options.rate;
            let skewed = rng.random::<f64>().powi(3);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss
            )]
            let prefix = (skewed * options.prefixes as f64) as u64;
            Plan {
                due: Duration::from_secs_f64(due),
                router: pick(&mut rng, &options.router),
                key: pick(&mut rng, &options.key),
                prefix,
                number,
            }
        })
        .collect()
}

impl Run {
    async fn send(self: Arc<Self>, plan: Plan, due: Instant) {
        if !self.options.twice {
            let checked = self.request(&plan, &plan.router, due).await;
            self.note(checked);
            return;
        }
        let routers = &self.options.router;
        let at = routers
            .iter()
            .position(|router| *router == plan.router)
            .unwrap_or(0);
        let other = &routers[(at + 1) % routers.len()];
        let (first, second) = tokio::join!(
            self.request(&plan, &plan.router, due),
            self.request(&plan, other, due)
        );
        let same = first.text == second.text || first.text.is_empty() || second.text.is_empty();
        self.note(first);
        let mut report = self
            .report
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        report.duplicate(second.outcome, same);
    }

    fn note(&self, checked: Checked) {
        let mut outcome = checked.outcome;
        if let (Outcome::Answered { .. }, Some(id)) = (&outcome, checked.id) {
            let mut seen = self
                .seen
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            if !seen.insert(id) {
                outcome = Outcome::Wrong("an answer was given to two callers".to_owned());
            }
        }
        if self.options.show {
            println!("{}", checked.text);
        }
        let mut report = self
            .report
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        report.note(outcome, checked.first_byte, checked.total);
    }

    async fn request(&self, plan: &Plan, router: &str, due: Instant) -> Checked {
        let options = &self.options;
        let (path, body) = match &options.path {
            Some(path) => (path.as_str(), json!({ "number": plan.number })),
            None => ("/v1/chat/completions", self.completion(plan)),
        };
        let mut request = self
            .client
            .post(format!("http://{router}{path}"))
            .bearer_auth(&plan.key)
            // For engines that are called without a router.
            .header("x-request-id", format!("{}-{}", options.seed, plan.number))
            .json(&body);
        if options.keyed || options.twice {
            let key = format!("load-{}-{}", options.seed, plan.number);
            request = request.header("idempotency-key", key);
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(err) => return Checked::failed(err.without_url().to_string(), due),
        };
        let first_byte = due.elapsed();
        if !response.status().is_success() {
            return Checked::refused(response, due).await;
        }
        if options.path.is_some() {
            return Checked::service(response, due).await;
        }
        if options.stream {
            self.follow(response, due).await
        } else {
            Checked::whole(response, first_byte, due).await
        }
    }

    fn completion(&self, plan: &Plan) -> serde_json::Value {
        let prefix = format!("brief {} ", plan.prefix);
        let mut prompt = prefix.repeat(self.options.prompt_bytes / prefix.len() + 1);
        prompt.truncate(self.options.prompt_bytes);
        json!({
            "model": self.options.model,
            "messages": [{ "role": "user", "content": format!("{prompt} {}", plan.number) }],
            "max_tokens": self.options.max_tokens,
            "stream": self.options.stream,
        })
    }

    /// Reads a streamed answer, or leaves in the middle of it.
    async fn follow(&self, response: reqwest::Response, due: Instant) -> Checked {
        let mut words = Words::default();
        let mut first_byte = None;
        let mut stream = response.bytes_stream();
        while let Some(part) = stream.next().await {
            first_byte.get_or_insert(due.elapsed());
            match part {
                Ok(part) => words.push(&part),
                Err(_) => break,
            }
            if self
                .options
                .leave_after
                .is_some_and(|parts| words.parts() >= parts)
            {
                return Checked::left(&words, due);
            }
        }
        words.finish(first_byte.unwrap_or_default(), due)
    }
}

//! A load generator that sends callers' requests at a given rate and verifies
//! every response.
//!
//! The load is an open loop: the arrival rate doesn't depend on the responses,
//! and latencies start at the time for which a request was scheduled.

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
    check::{CheckedResponse, ResponseText},
    report::{LoadSummary, RequestOutcome},
};
use crate::serve::Result;

#[derive(Clone, Debug, Bpaf)]
#[allow(clippy::doc_markdown, clippy::struct_excessive_bools)] // Flags and their help text.
pub(crate) struct Options {
    /// A router's address for callers; repeatable
    #[bpaf(argument("IP:PORT"), some("at least one --router is required"))]
    router: Vec<String>,
    /// A caller's API key; repeatable, and each request uses one at random
    #[bpaf(argument("KEY"), some("at least one --key is required"))]
    key: Vec<String>,
    /// Model that the requests name
    #[bpaf(argument("NAME"), fallback(String::new()))]
    model: String,
    /// Send POST requests to this path of a service instead of requests to a
    /// model
    #[bpaf(argument("PATH"))]
    path: Option<String>,
    /// Requests per second
    #[bpaf(argument("N"), fallback(10.0))]
    rate: f64,
    /// Total number of requests
    #[bpaf(argument("N"), fallback(1))]
    count: usize,
    /// The max_tokens of each request
    #[bpaf(argument("N"), fallback(16))]
    max_tokens: u64,
    /// Length of the prompt, in bytes
    #[bpaf(argument("N"), fallback(200))]
    prompt_bytes: usize,
    /// Number of distinct prompt prefixes, drawn from a skewed distribution
    #[bpaf(argument("N"), fallback(1))]
    prefixes: u64,
    /// Request streamed responses
    stream: bool,
    /// Send an idempotency key with each request
    keyed: bool,
    /// Send each request to two routers at the same time, with the same
    /// idempotency key
    twice: bool,
    /// Disconnect after this many tokens of a streamed response
    #[bpaf(argument("N"))]
    leave_after: Option<u64>,
    /// Seed for the choice of arrival times, callers and prompts
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Timeout of a request
    #[bpaf(argument("S"), fallback(60))]
    timeout_s: u64,
    /// Print the text of the responses
    show: bool,
}

/// A request to send.
struct ScheduledRequest {
    /// Time from the start of the load to the request.
    offset: Duration,
    router: String,
    /// API key of the caller.
    key: String,
    /// Index of the prompt prefix.
    prefix: u64,
    /// Position of the request in the load, from 0.
    number: usize,
}

struct LoadGenerator {
    options: Options,
    client: reqwest::Client,
    summary: Mutex<LoadSummary>,
    /// Request IDs and order numbers found in responses, to detect a response that is delivered to
    /// two callers.
    seen_ids: Mutex<HashSet<String>>,
}

/// Runs the load, prints a summary as JSON and succeeds if no response is
/// incorrect.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let client = reqwest::Client::builder()
        .timeout(Duration::from_secs(options.timeout_s))
        .tcp_nodelay(true)
        .no_proxy()
        .build()?;
    let requests = schedule(&options);
    let generator = Arc::new(LoadGenerator {
        client,
        summary: Mutex::new(LoadSummary::default()),
        seen_ids: Mutex::new(HashSet::new()),
        options,
    });
    let start = Instant::now();
    let mut tasks = Vec::new();
    for request in requests {
        let scheduled_at = start + request.offset;
        tokio::time::sleep_until(scheduled_at.into()).await;
        tasks.push(tokio::spawn(generator.clone().send(request, scheduled_at)));
    }
    for task in tasks {
        task.await?;
    }
    let summary = generator
        .summary
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    println!("{}", summary.to_json(start.elapsed()));
    Ok(if summary.incorrect == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Draws the arrival times, callers, routers and prompts of all requests.
///
/// Arrivals form a Poisson process. Prefixes with low indexes are the most
/// frequent.
fn schedule(options: &Options) -> Vec<ScheduledRequest> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut offset_s = 0.0;
    let pick = |rng: &mut SmallRng, from: &[String]| from[rng.random_range(0..from.len())].clone();
    (0..options.count)
        .map(|number| {
            let unit: f64 = rng.random();
            offset_s += -(1.0 - unit).ln() / options.rate;
            let skewed = rng.random::<f64>().powi(3);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss
            )]
            let prefix = (skewed * options.prefixes as f64) as u64;
            ScheduledRequest {
                offset: Duration::from_secs_f64(offset_s),
                router: pick(&mut rng, &options.router),
                key: pick(&mut rng, &options.key),
                prefix,
                number,
            }
        })
        .collect()
}

impl LoadGenerator {
    /// Sends a request to one router, or to two with `--twice`, and records the
    /// outcomes.
    async fn send(self: Arc<Self>, request: ScheduledRequest, scheduled_at: Instant) {
        if !self.options.twice {
            let response = self.execute(&request, &request.router, scheduled_at).await;
            self.record(response);
            return;
        }
        let routers = &self.options.router;
        let index = routers
            .iter()
            .position(|router| *router == request.router)
            .unwrap_or(0);
        let other = &routers[(index + 1) % routers.len()];
        let (first, second) = tokio::join!(
            self.execute(&request, &request.router, scheduled_at),
            self.execute(&request, other, scheduled_at)
        );
        // The text of a failed request is empty, so there is nothing to compare.
        let texts_match =
            first.text == second.text || first.text.is_empty() || second.text.is_empty();
        self.record(first);
        let mut summary = self
            .summary
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        summary.record_duplicate(second.outcome, texts_match);
    }

    fn record(&self, response: CheckedResponse) {
        let mut outcome = response.outcome;
        if let (RequestOutcome::Answered { .. }, Some(id)) = (&outcome, response.id) {
            let mut seen_ids = self
                .seen_ids
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            if !seen_ids.insert(id) {
                outcome = RequestOutcome::Incorrect(
                    "one response was delivered to two callers".to_owned(),
                );
            }
        }
        if self.options.show {
            println!("{}", response.text);
        }
        let mut summary = self
            .summary
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        summary.record(outcome, response.first_byte, response.total);
    }

    /// Sends one request to `router` and verifies the response.
    async fn execute(
        &self,
        scheduled: &ScheduledRequest,
        router: &str,
        scheduled_at: Instant,
    ) -> CheckedResponse {
        let options = &self.options;
        let (path, body) = match &options.path {
            Some(path) => (path.as_str(), json!({ "number": scheduled.number })),
            None => ("/v1/chat/completions", self.completion_body(scheduled)),
        };
        let mut request = self
            .client
            .post(format!("http://{router}{path}"))
            .bearer_auth(&scheduled.key)
            // A router sets this header itself; it identifies the request when an
            // engine is called directly.
            .header(
                "x-request-id",
                format!("{}-{}", options.seed, scheduled.number),
            )
            .json(&body);
        if options.keyed || options.twice {
            let key = format!("load-{}-{}", options.seed, scheduled.number);
            request = request.header("idempotency-key", key);
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(err) => {
                return CheckedResponse::failed(err.without_url().to_string(), scheduled_at);
            }
        };
        let first_byte = scheduled_at.elapsed();
        if !response.status().is_success() {
            return CheckedResponse::refused(response, scheduled_at).await;
        }
        if options.path.is_some() {
            return CheckedResponse::service(response, scheduled_at).await;
        }
        if options.stream {
            self.read_stream(response, scheduled_at).await
        } else {
            CheckedResponse::completion(response, first_byte, scheduled_at).await
        }
    }

    /// Returns the body of a completion request.
    fn completion_body(&self, scheduled: &ScheduledRequest) -> serde_json::Value {
        let prefix = format!("brief {} ", scheduled.prefix);
        let mut prompt = prefix.repeat(self.options.prompt_bytes / prefix.len() + 1);
        prompt.truncate(self.options.prompt_bytes);
        json!({
            "model": self.options.model,
            "messages": [{ "role": "user", "content": format!("{prompt} {}", scheduled.number) }],
            "max_tokens": self.options.max_tokens,
            "stream": self.options.stream,
        })
    }

    /// Reads a streamed response, or disconnects in the middle of it.
    async fn read_stream(
        &self,
        response: reqwest::Response,
        scheduled_at: Instant,
    ) -> CheckedResponse {
        let mut text = ResponseText::default();
        let mut first_byte = None;
        let mut stream = response.bytes_stream();
        while let Some(chunk) = stream.next().await {
            first_byte.get_or_insert(scheduled_at.elapsed());
            match chunk {
                Ok(chunk) => text.push(&chunk),
                Err(_) => break,
            }
            if self
                .options
                .leave_after
                .is_some_and(|tokens| text.token_count() >= tokens)
            {
                return CheckedResponse::disconnected(&text, scheduled_at);
            }
        }
        text.finish(first_byte.unwrap_or_default(), scheduled_at)
    }
}

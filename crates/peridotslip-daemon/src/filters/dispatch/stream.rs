//! Answers that are passed on as they come.

use std::time::Duration;

use axum::http::HeaderValue;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use peridotslip::events::EventFramer;
use peridotslip::{balance::CallOutcome, prelude::*};
use reqwest::Response;

use super::Tried;
use crate::{
    answer::Head,
    backend::{
        forward,
        sse::{self, Kind},
    },
    context::{HeldBack, RequestContext, SERVER_HEADER, Usage},
    controllers::backends::Chosen,
    problem::{Rejection, Result},
};

/// Resumes tried before a stream is given up.
const MAX_RESUMES: u32 = 5;
/// Pause before each further resume, in milliseconds.
const RESUME_PAUSE_MS: u64 = 100;
/// Longest wait for an engine to take a cancellation, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 2_000;

/// Why reading a connection ended.
enum Ended {
    /// The end mark came.
    Done,
    /// The connection broke or ended early.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The caller left.
    Abandoned,
    /// The engine went past its order.
    Overrun,
    /// The first part did not come by the deadline.
    Late,
}

/// What has been seen of a stream.
#[derive(Default)]
struct Seen {
    /// The head, until the first part: engines send it before they have
    /// begun.
    head: Option<Head>,
    /// Events that are part of the answer.
    parts: u64,
    usage: Option<u64>,
}

/// Passes a stream on, resuming it at its engine if the connection breaks or
/// goes silent.
pub(super) async fn pass(
    cx: &mut RequestContext,
    chosen: Chosen,
    first: Response,
) -> Result<Tried> {
    let mut head = Head {
        status: first.status(),
        headers: forward::answer_headers(first.headers()),
    };
    if cx.forwarded {
        let server = HeaderValue::from_str(&chosen.server).map_err(|_| give_up_word())?;
        head.headers.insert(SERVER_HEADER, server);
    }
    let seen = Seen {
        head: Some(head),
        ..Seen::default()
    };
    follow(cx, chosen, Some(first), seen).await
}

/// Goes on with a stream whose first parts came through a router that is
/// lost.
pub(super) async fn adopt(cx: &mut RequestContext, server: String, parts: u64) -> Result<()> {
    cx.shared.metrics.event("stream-adopted", 1);
    let seen = Seen {
        parts,
        ..Seen::default()
    };
    let chosen = cx.shared.controllers.backends.adopt(server);
    follow(cx, chosen, None, seen).await.map(drop)
}

/// Passes connection after connection on until the end mark.
async fn follow(
    cx: &mut RequestContext,
    chosen: Chosen,
    first: Option<Response>,
    mut seen: Seen,
) -> Result<Tried> {
    let mut connection = first;
    let mut resumes = 0;
    loop {
        let ended = match connection.take() {
            Some(response) => read(cx, response, &mut seen).await,
            None => Ended::Broken,
        };
        let reason = match ended {
            Ended::Done => return Ok(done(cx, chosen, &seen)),
            Ended::Abandoned => return cancel(cx, chosen).await,
            Ended::Overrun => return overrun(cx, chosen),
            Ended::Late => return late(cx, chosen),
            Ended::Broken => RetryReason::StreamResumed,
            Ended::Silent => RetryReason::StreamSilent,
        };
        if resumes == MAX_RESUMES {
            return give_up(cx, chosen);
        }
        tokio::time::sleep(Duration::from_millis(RESUME_PAUSE_MS * u64::from(resumes))).await;
        resumes += 1;
        cx.shared.metrics.retried(reason);
        connection = resume(cx, &chosen.server, seen.parts).await;
    }
}

/// Reads one connection to its end.
async fn read(cx: &RequestContext, response: Response, seen: &mut Seen) -> Ended {
    let silence = Duration::from_millis(cx.shared.settings.backends.silence_timeout_ms);
    let max_parts = cx.completion.map_or(u64::MAX, |asked| {
        // An engine may send a first part for the role and a last one for
        // the reason it stopped.
        asked.max_tokens + 2
    });
    let mut framer = EventFramer::default();
    let mut stream = response.bytes_stream();
    let keyed = cx.key.is_some();
    let due = super::deadline(cx);
    loop {
        let begun = seen.head.is_none();
        let bytes = tokio::select! {
            next = tokio::time::timeout(silence, stream.next()) => match next {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(_) => return Ended::Broken,
                Err(_) => return Ended::Silent,
            },
            () = cx.answer.abandoned(Duration::ZERO), if !keyed => return Ended::Abandoned,
            () = tokio::time::sleep_until(due.into()), if !begun => return Ended::Late,
        };
        if framer.push(&bytes).is_err() {
            return Ended::Broken;
        }
        let (part, done) = take_events(&mut framer, seen);
        if seen.parts > max_parts {
            return Ended::Overrun;
        }
        if let Some(head) = seen.head.take_if(|_| done || !part.is_empty()) {
            cx.note_first_byte();
            cx.answer.set_head(Ok(head));
        }
        if !part.is_empty() {
            cx.answer.push(part).await;
        }
        if done {
            return Ended::Done;
        }
    }
}

/// Takes the whole events, without the end mark, as one part.
fn take_events(framer: &mut EventFramer, seen: &mut Seen) -> (Bytes, bool) {
    let mut events: Vec<Bytes> = Vec::new();
    let mut done = false;
    while let Some(event) = framer.next_event() {
        match sse::kind(&event) {
            Kind::Done => {
                done = true;
                break;
            }
            // A resumed stream repeats the usage if it broke after it.
            Kind::Usage(_) if seen.usage.is_some() => continue,
            Kind::Usage(tokens) => seen.usage = Some(tokens),
            Kind::Part => seen.parts += 1,
            Kind::Comment => {}
        }
        events.push(event);
    }
    if events.len() == 1 {
        return (events.swap_remove(0), done);
    }
    let mut buf = BytesMut::with_capacity(events.iter().map(Bytes::len).sum());
    for event in &events {
        buf.extend_from_slice(event);
    }
    (buf.freeze(), done)
}

fn done(cx: &mut RequestContext, chosen: Chosen, seen: &Seen) -> Tried {
    chosen.finish(CallOutcome::Answered);
    let tokens = seen.usage.unwrap_or_else(|| bound_of(cx, seen.parts));
    cx.usage = Some(Usage {
        tokens,
        outcome: Outcome::Ran(200),
    });
    cx.held_back = Some(HeldBack {
        head: None,
        part: Bytes::from_static(b"data: [DONE]\n\n"),
    });
    Tried::Answered
}

/// The most that an answer of so many parts can have cost.
fn bound_of(cx: &RequestContext, parts: u64) -> u64 {
    let max_tokens = cx.completion.map_or(0, |asked| asked.max_tokens);
    cx.bound - max_tokens + parts.min(max_tokens)
}

/// Nothing has been given to the caller, so it gets its final answer at once.
fn late(cx: &RequestContext, chosen: Chosen) -> Result<Tried> {
    if let Some(permit) = &cx.permit {
        let deadline_ms = cx.resolved_route().route.deadline_ms;
        permit.first_byte(cx.sent.elapsed(), deadline_ms);
    }
    cancel_in_background(cx, &chosen.server);
    chosen.finish(CallOutcome::Neutral);
    Err(Rejection::unknown(Refusal::BackendTimeout))
}

fn overrun(cx: &mut RequestContext, chosen: Chosen) -> Result<Tried> {
    cx.shared.metrics.event("engine-overrun", 1);
    cancel_in_background(cx, &chosen.server);
    chosen.finish(CallOutcome::Failed);
    Err(Rejection::unknown(Refusal::BackendFailed))
}

/// The caller has part of an answer that can't be continued: it must see it
/// break, and pays nothing.
fn give_up(cx: &RequestContext, chosen: Chosen) -> Result<Tried> {
    cancel_in_background(cx, &chosen.server);
    chosen.finish(CallOutcome::Failed);
    Err(give_up_word())
}

fn give_up_word() -> Rejection {
    Rejection::unknown(Refusal::BackendFailed)
}

async fn resume(cx: &RequestContext, server: &str, from: u64) -> Option<Response> {
    let url = format!("http://{server}/v1/streams/{}?from={from}", cx.work_id());
    let silence = Duration::from_millis(cx.shared.settings.backends.silence_timeout_ms);
    let client = cx.shared.controllers.backends.fresh_client();
    let response = tokio::time::timeout(silence, client.get(url).send()).await;
    let response = response.ok()?.ok()?;
    response.status().is_success().then_some(response)
}

/// Cancels the work of a caller that left, and bills what ran.
pub(super) async fn cancel(cx: &mut RequestContext, chosen: Chosen) -> Result<Tried> {
    cx.abandoned = true;
    let client = cx.shared.controllers.backends.fresh_client();
    let tokens = match cx.completion {
        Some(_) => cancel_at(&client, &chosen.server, &cx.work_id()).await,
        None => Some(cx.resolved_route().route.tokens_per_call),
    };
    if tokens.is_none() {
        cx.shared.metrics.event("cancel-unanswered", 1);
    }
    chosen.finish(CallOutcome::Neutral);
    // Without the engine's word, the bill is what the work can have cost.
    cx.usage = Some(Usage {
        tokens: tokens.unwrap_or(cx.bound),
        outcome: Outcome::Ran(200),
    });
    Ok(Tried::Answered)
}

/// Cancels work whose cost nobody will be billed for.
pub(super) fn cancel_in_background(cx: &RequestContext, server: &str) {
    if cx.completion.is_none() {
        return;
    }
    let client = cx.shared.controllers.backends.fresh_client();
    let (server, id) = (server.to_owned(), cx.work_id());
    tokio::spawn(async move { cancel_at(&client, &server, &id).await });
}

/// Cancels work at an engine; the tokens it had cost, if the engine tells.
async fn cancel_at(client: &reqwest::Client, server: &str, id: &str) -> Option<u64> {
    let url = format!("http://{server}/v1/streams/{id}");
    let timeout = Duration::from_millis(CANCEL_TIMEOUT_MS);
    let response = client.delete(url).timeout(timeout).send().await.ok()?;
    if response.status() == reqwest::StatusCode::NOT_FOUND {
        return Some(0);
    }
    sse::total_tokens(&response.bytes().await.ok()?)
}

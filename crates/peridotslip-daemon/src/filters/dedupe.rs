//! Lets one request of a key run in the whole fleet and has the others follow
//! its answer.
//!
//! Each key has a home, a router that all others send its requests to. If the
//! home can't be reached the request runs here: work that may be repeated is
//! billed once all the same, and other work is guarded by its claim.

use std::sync::Arc;

use async_trait::async_trait;
use peridotslip::events::EventFramer;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    answer::{Answer, Head},
    backend::sse,
    clock,
    context::{HOME_HEADER, RequestContext, SERVER_HEADER},
    peer::{self, ForwardedRequest, Frame, header_pairs},
    problem::{Rejection, Result},
};

pub(super) struct Deduplicate;

#[async_trait]
impl Filter for Deduplicate {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        let Some(key) = cx.key else {
            return next.call(cx).await;
        };
        if let Some(home) = home(cx, key) {
            match forward(cx, &home).await {
                Outcome::Finished(result) => {
                    cx.answered_elsewhere = true;
                    return result;
                }
                Outcome::NotTaken => {
                    cx.shared.controllers.members.mark_unreachable(&home).await;
                    cx.shared.metrics.event("home-unreachable", 1);
                }
            }
        }
        let dedupe = cx.shared.controllers.dedupe.clone();
        match dedupe.begin(key, cx.fingerprint, &cx.answer) {
            DedupeDecision::KeyReused => Err(Rejection::not_run(Refusal::KeyReused)),
            DedupeDecision::Follow(answer) => copy(&answer, &cx.answer).await,
            DedupeDecision::Execute => {
                let result = next.call(cx).await;
                if result.is_ok() && cx.adopted.is_none() {
                    dedupe.finish(key, cx.answer.bytes(), clock::monotonic_ms());
                } else {
                    dedupe.abort(key);
                }
                result
            }
        }
    }
}

/// The router to send a key's requests to, unless it is this one.
fn home(cx: &RequestContext, key: IdempotencyKey) -> Option<String> {
    if cx.forwarded {
        return None;
    }
    let view = cx.shared.controllers.members.view();
    let home = view.owner(&format!("request-key/{key}"))?;
    (home.address != view.local.address).then(|| home.address.clone())
}

enum Outcome {
    /// The home has answered for the request, well or not.
    Finished(Result<()>),
    /// The home gave no answer, or left one that can be continued here.
    NotTaken,
}

/// Has the home answer the request.
async fn forward(cx: &mut RequestContext, home: &str) -> Outcome {
    let incoming = &cx.incoming;
    let request = ForwardedRequest {
        method: incoming.method.to_string(),
        uri: incoming.uri.to_string(),
        headers: header_pairs(&incoming.headers),
        body: incoming.body.to_vec(),
    };
    let Ok(mut forwarded) = cx.shared.controllers.peers.forward(home, &request).await else {
        return Outcome::NotTaken;
    };
    let mut passed = Passed::default();
    loop {
        match forwarded.next().await {
            Ok(Frame::End) => return Outcome::Finished(Ok(())),
            Ok(Frame::Rejected {
                reason,
                execution,
                retry_after_s,
            }) => {
                return Outcome::Finished(Err(rejection(&reason, &execution, retry_after_s)));
            }
            Ok(Frame::Broken) => {
                let rejection = Rejection::unknown(Refusal::BackendFailed);
                return Outcome::Finished(Err(rejection));
            }
            Ok(frame) => passed.take(cx, frame).await,
            Err(err) => return passed.lost(cx, &err),
        }
    }
}

/// What has been passed on of the home's answer.
#[derive(Default)]
struct Passed {
    server: Option<String>,
    framer: EventFramer,
    parts: u64,
    usage: bool,
}

impl Passed {
    async fn take(&mut self, cx: &RequestContext, frame: Frame) {
        match frame {
            Frame::Head { status, headers } => {
                let head = self.head(status, headers);
                cx.answer.set_head(Ok(head));
            }
            Frame::Part(part) => {
                self.count(&part);
                cx.answer.push(part.into()).await;
            }
            _ => {}
        }
    }

    fn head(&mut self, status: u16, headers: Vec<(String, Vec<u8>)>) -> Head {
        let mut head = peer::head(status, headers);
        let server = head.headers.remove(SERVER_HEADER);
        self.server = server.and_then(|value| value.to_str().ok().map(str::to_owned));
        head.headers.remove(HOME_HEADER);
        head
    }

    fn count(&mut self, part: &[u8]) {
        if self.server.is_none() || self.framer.push(part).is_err() {
            return;
        }
        while let Some(event) = self.framer.next_event() {
            match sse::kind(&event) {
                sse::Kind::Part => self.parts += 1,
                sse::Kind::Usage(_) => self.usage = true,
                sse::Kind::Done | sse::Kind::Comment => {}
            }
        }
    }

    /// The home is lost. A stream goes on from its engine, unless its bill
    /// is told already; an answer that has not begun is run here.
    fn lost(self, cx: &mut RequestContext, err: &peer::Error) -> Outcome {
        log::warn!(request = cx.id.as_str(); "the home of a key is lost: {err}");
        if !cx.answer.has_head() {
            return Outcome::NotTaken;
        }
        match self.server {
            Some(server) if !self.usage => {
                cx.adopted = Some((server, self.parts));
                Outcome::NotTaken
            }
            _ => Outcome::Finished(Err(Rejection::unknown(Refusal::BackendFailed))),
        }
    }
}

fn rejection(reason: &str, execution: &str, retry_after_s: Option<u64>) -> Rejection {
    let known = Refusal::ALL
        .iter()
        .find(|refusal| refusal.as_str() == reason);
    let statuses = [
        ExecutionStatus::NotRun,
        ExecutionStatus::Ran,
        ExecutionStatus::Unknown,
    ];
    let execution = statuses
        .into_iter()
        .find(|other| other.as_str() == execution);
    Rejection {
        refusal: known.copied().unwrap_or(Refusal::BackendFailed),
        execution: execution.unwrap_or(ExecutionStatus::Unknown),
        retry_after_s,
    }
}

/// Gives a duplicate the answer that the first request gets.
async fn copy(from: &Arc<Answer>, to: &Answer) -> Result<()> {
    let mut follower = from.follow();
    to.set_head(Ok(follower.head().await?));
    while let Some(part) = follower.next().await {
        match part {
            Ok(part) => to.push(part).await,
            Err(_) => return Err(Rejection::unknown(Refusal::BackendFailed)),
        }
    }
    Ok(())
}

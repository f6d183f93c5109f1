//! The connections over which one stream is received.
//!
//! A silent connection is kept, because its server may go on. Another one
//! resumes the stream at the same server beside it, and replaces it once it
//! delivers.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{
    Stream, StreamExt,
    future::{BoxFuture, OptionFuture},
};
use peridotslip::{events::EventFramer, prelude::*};
use reqwest::Response;
use tokio::time::{Instant, sleep_until};

use crate::{
    backend::sse::{self, EventKind},
    context::RequestContext,
    metrics::Metrics,
};

/// Maximum number of resumes of a stream without progress between them.
const MAX_RESUMES: u32 = 5;
/// Pause before a resume of a lost connection, in milliseconds, for each
/// earlier resume without progress; the first resume follows at once.
const RESUME_PAUSE_MS: u64 = 100;

/// The connection failed, ended early or sent an event that is too long.
struct Lost;

/// One response of the server and its incomplete event.
struct Connection {
    bytes: Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>,
    framer: EventFramer,
}

impl Connection {
    fn new(response: Response) -> Self {
        Self {
            bytes: Box::pin(response.bytes_stream()),
            framer: EventFramer::default(),
        }
    }

    /// Receives a chunk and returns the events that it completes, if any.
    async fn next(&mut self) -> Result<Vec<Bytes>, Lost> {
        let chunk = self.bytes.next().await.and_then(Result::ok).ok_or(Lost)?;
        self.framer.push(&chunk).map_err(|_| Lost)?;
        Ok(std::iter::from_fn(|| self.framer.next_event()).collect())
    }
}

/// A resumed connection and its first events.
type Resumed = (Connection, Vec<Bytes>);

/// The current connection of a stream, and a resumption beside it.
pub(super) struct Connections {
    client: reqwest::Client,
    /// Address at which the server resumes the stream.
    url: String,
    metrics: Arc<Metrics>,
    /// Silence after which the stream is resumed.
    silence_timeout: Duration,
    /// Silence after which the stream fails.
    max_silence: Duration,
    current: Option<Connection>,
    resumption: Option<BoxFuture<'static, Result<Resumed, Lost>>>,
    /// Resumes since the last progress.
    resumes: u32,
    /// When the next resume is due.
    resume_at: Instant,
    last_bytes_at: Instant,
}

impl Connections {
    /// Receives a stream of `server` from `first`, or resumes it.
    pub(super) fn open(cx: &RequestContext, server: &str, first: Option<Response>) -> Self {
        let silence_timeout = Duration::from_millis(cx.shared.settings.backends.silence_timeout_ms);
        let deadline = Duration::from_millis(cx.resolved_route().route.deadline_ms);
        let now = Instant::now();
        Self {
            client: cx.shared.controllers.backends.unpooled_client(),
            url: format!("http://{server}/v1/streams/{}", cx.backend_request_id()),
            metrics: cx.shared.metrics.clone(),
            silence_timeout,
            // Callers wait as long for a further event as for the first one.
            max_silence: deadline.max(silence_timeout * (MAX_RESUMES + 1)),
            resume_at: first.as_ref().map_or(now, |_| now + silence_timeout),
            current: first.map(Connection::new),
            resumption: None,
            resumes: 0,
            last_bytes_at: now,
        }
    }

    /// Waits for the next events; `from` is the number of content events so
    /// far. Returns `None` if all connections have failed or the server is
    /// silent for too long. This method is cancel safe.
    pub(super) async fn next(&mut self, from: u64) -> Option<Vec<Bytes>> {
        loop {
            let may_resume = self.resumes < MAX_RESUMES;
            if self.current.is_none() && self.resumption.is_none() && !may_resume {
                return None;
            }
            let current = OptionFuture::from(self.current.as_mut().map(Connection::next));
            let resumption = OptionFuture::from(self.resumption.as_mut());
            tokio::select! {
                Some(received) = current => match received {
                    Ok(events) if events.is_empty() => self.record_bytes(),
                    Ok(events) => {
                        self.record_bytes();
                        return Some(events);
                    }
                    Err(Lost) => self.drop_current(),
                },
                Some(resumed) = resumption => {
                    self.resumption = None;
                    if let Ok((connection, events)) = resumed {
                        self.current = Some(connection);
                        self.record_bytes();
                        return Some(events);
                    }
                    self.resume_at = Instant::now() + self.resume_pause();
                }
                () = sleep_until(self.resume_at), if may_resume => self.resume(from),
                () = sleep_until(self.last_bytes_at + self.max_silence) => return None,
            }
        }
    }

    /// Records that the caller got further content: a resumption would repeat
    /// it.
    pub(super) fn record_progress(&mut self) {
        self.resumption = None;
        self.resumes = 0;
        self.resume_at = Instant::now() + self.silence_timeout;
    }

    fn record_bytes(&mut self) {
        self.last_bytes_at = Instant::now();
        if self.resumption.is_none() {
            self.resume_at = self.last_bytes_at + self.silence_timeout;
        }
    }

    fn drop_current(&mut self) {
        self.current = None;
        if self.resumption.is_none() {
            self.resume_at = Instant::now() + self.resume_pause();
        }
    }

    fn resume_pause(&self) -> Duration {
        match self.current {
            Some(_) => self.silence_timeout,
            None => Duration::from_millis(RESUME_PAUSE_MS * u64::from(self.resumes)),
        }
    }

    /// Starts a resumption in place of an earlier one that is silent too.
    fn resume(&mut self, from: u64) {
        self.metrics.retried(match self.current {
            Some(_) => RetryReason::StreamSilent,
            None => RetryReason::StreamResumed,
        });
        self.resumes += 1;
        self.resume_at = Instant::now() + self.silence_timeout;
        let request = self.client.get(format!("{}?from={from}", self.url));
        self.resumption = Some(Box::pin(resumed(request)));
    }
}

/// Resumes a stream and waits for its first event that is not a comment.
async fn resumed(request: reqwest::RequestBuilder) -> Result<Resumed, Lost> {
    let response = request.send().await.map_err(|_| Lost)?;
    let response = response.error_for_status().map_err(|_| Lost)?;
    let mut connection = Connection::new(response);
    loop {
        let events = connection.next().await?;
        if events
            .iter()
            .any(|event| sse::classify(event) != EventKind::Comment)
        {
            return Ok((connection, events));
        }
    }
}

//! Requests to the processes of a fleet.

use serde_json::Value;

/// Runs a request to its end.
pub fn on_runtime<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made")
        .block_on(future)
}

/// The body of a good answer.
pub fn get_bytes(url: &str) -> Option<Vec<u8>> {
    on_runtime(async {
        let reply = reqwest::get(url).await.ok()?.error_for_status().ok()?;
        Some(reply.bytes().await.ok()?.to_vec())
    })
}

/// The body of a good answer as text.
pub fn get(url: &str) -> Option<String> {
    get_bytes(url).map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

/// Puts a JSON document; whether it was taken.
pub fn put(url: &str, body: &Value) -> bool {
    on_runtime(async {
        let reply = reqwest::Client::new().put(url).json(body).send().await;
        reply.is_ok_and(|reply| reply.status().is_success())
    })
}

/// A caller's request: status, headers as text, and body as JSON if it is.
pub struct Reply {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    pub body: Value,
}

impl Reply {
    /// The refusal's reason and run words.
    pub fn refusal(&self) -> (&str, &str) {
        let word = |field: &str| self.body[field].as_str().unwrap_or_default();
        (word("reason"), word("run"))
    }
}

/// Sends one request as a caller.
pub fn send(request: reqwest::RequestBuilder) -> Reply {
    on_runtime(async {
        let reply = request.send().await.expect("the router answers");
        let (status, headers) = (reply.status().as_u16(), reply.headers().clone());
        let bytes = reply.bytes().await.unwrap_or_default();
        Reply {
            status,
            headers,
            body: serde_json::from_slice(&bytes).unwrap_or_default(),
        }
    })
}

//! HTTP requests to the processes of a fleet.

use serde_json::Value;

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made")
        .block_on(future)
}

/// Returns the body of a successful response.
pub fn get_bytes(url: &str) -> Option<Vec<u8>> {
    block_on(async {
        let response = reqwest::get(url).await.ok()?.error_for_status().ok()?;
        Some(response.bytes().await.ok()?.to_vec())
    })
}

/// Returns the body of a successful response as text.
pub fn get(url: &str) -> Option<String> {
    get_bytes(url).map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends a JSON document by PUT and returns whether it was accepted.
pub fn put(url: &str, body: &Value) -> bool {
    block_on(async {
        let response = reqwest::Client::new().put(url).json(body).send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
}

/// A response: its status, headers, and body (null unless it is JSON).
pub struct Response {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    pub body: Value,
}

impl Response {
    /// Returns the `reason` and `run` fields of a problem document.
    pub fn refusal(&self) -> (&str, &str) {
        let text = |field: &str| self.body[field].as_str().unwrap_or_default();
        (text("reason"), text("run"))
    }
}

/// Sends one request and returns its response.
pub fn send(request: reqwest::RequestBuilder) -> Response {
    block_on(async {
        let response = request.send().await.expect("the router responds");
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let bytes = response.bytes().await.unwrap_or_default();
        Response {
            status,
            headers,
            body: serde_json::from_slice(&bytes).unwrap_or_default(),
        }
    })
}

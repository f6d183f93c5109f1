//! Translation of requests and response headers between callers and backend
//! servers.

use axum::http::{HeaderMap, HeaderName, HeaderValue, header};
use bytes::Bytes;
use reqwest::{Request, Url};

use super::SendError;
use crate::context::RequestContext;

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Further headers of callers that the router replaces or doesn't forward.
const NOT_FORWARDED: [HeaderName; 5] = [
    header::AUTHORIZATION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::ACCEPT_ENCODING,
    header::EXPECT,
];

/// Builds the request to the backend server at `server`.
///
/// # Errors
///
/// [`SendError::Request`] if the address and the path form no URL.
pub(crate) fn request(cx: &RequestContext, server: &str) -> Result<Request, SendError> {
    let incoming = &cx.request;
    let path = incoming
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut headers = incoming.headers.clone();
    for name in HOP_BY_HOP.iter().chain(&NOT_FORWARDED) {
        headers.remove(name);
    }
    insert(&mut headers, "x-request-id", &cx.backend_request_id());
    let priority = cx.resolved_route().route.class.priority().to_string();
    insert(&mut headers, "x-priority", &priority);
    headers
        .entry(header::ACCEPT)
        .or_insert(HeaderValue::from_static("*/*"));
    let url = Url::parse(&format!("http://{server}{path}"))
        .map_err(|err| SendError::Request(err.to_string()))?;
    let mut request = Request::new(incoming.method.clone(), url);
    *request.headers_mut() = headers;
    let stream = cx.completion.is_some_and(|params| params.stream);
    *request.body_mut() = Some(with_usage(&incoming.body, stream).into());
    Ok(request)
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Adds `stream_options` to a streaming request, so that the engine reports
/// its token usage. A request in which the caller set the field is unchanged.
fn with_usage(body: &Bytes, stream: bool) -> Bytes {
    const OPTIONS: &[u8] = b"\"stream_options\":{\"include_usage\":true},";
    let present = body
        .windows(b"\"stream_options\"".len())
        .any(|window| window == b"\"stream_options\"");
    let Some(brace) = body.iter().position(|byte| *byte == b'{') else {
        return body.clone();
    };
    if !stream || present {
        return body.clone();
    }
    let mut buf = Vec::with_capacity(body.len() + OPTIONS.len());
    buf.extend_from_slice(&body[..=brace]);
    buf.extend_from_slice(OPTIONS);
    buf.extend_from_slice(&body[brace + 1..]);
    buf.into()
}

/// Returns the headers of a backend server's response that its caller gets.
pub(crate) fn response_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = from.clone();
    for name in HOP_BY_HOP.iter().chain(&[header::CONTENT_LENGTH]) {
        headers.remove(name);
    }
    headers
}

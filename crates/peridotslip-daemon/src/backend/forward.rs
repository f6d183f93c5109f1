//! Turning a caller's request into one for a backend server, and back.

use axum::http::{HeaderMap, HeaderName, HeaderValue, header};
use bytes::Bytes;

use crate::context::RequestContext;

/// Headers that belong to one connection and are not passed on.
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

/// Headers of a caller that the router replaces or keeps to itself.
const REPLACED: [HeaderName; 5] = [
    header::AUTHORIZATION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::ACCEPT_ENCODING,
    header::EXPECT,
];

/// A request to the server at `server` for the caller's request.
pub(crate) fn request(
    cx: &RequestContext,
    client: &reqwest::Client,
    server: &str,
) -> reqwest::RequestBuilder {
    let incoming = &cx.incoming;
    let path = incoming
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut headers = incoming.headers.clone();
    for name in HOP_BY_HOP.iter().chain(&REPLACED) {
        headers.remove(name);
    }
    insert(&mut headers, "x-request-id", &cx.work_id());
    let priority = cx.resolved_route().route.class.priority().to_string();
    insert(&mut headers, "x-priority", &priority);
    client
        .request(incoming.method.clone(), format!("http://{server}{path}"))
        .headers(headers)
        .body(with_usage(
            &incoming.body,
            cx.completion.is_some_and(|asked| asked.stream),
        ))
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Asks a streaming engine to tell the tokens used, unless the caller has
/// said whether it wants that.
fn with_usage(body: &Bytes, stream: bool) -> Bytes {
    const OPTIONS: &[u8] = b"\"stream_options\":{\"include_usage\":true},";
    let asked = body
        .windows(b"\"stream_options\"".len())
        .any(|window| window == b"\"stream_options\"");
    let Some(brace) = body.iter().position(|byte| *byte == b'{') else {
        return body.clone();
    };
    if !stream || asked {
        return body.clone();
    }
    let mut buf = Vec::with_capacity(body.len() + OPTIONS.len());
    buf.extend_from_slice(&body[..=brace]);
    buf.extend_from_slice(OPTIONS);
    buf.extend_from_slice(&body[brace + 1..]);
    buf.into()
}

/// The headers of a backend server's answer that its caller gets.
pub(crate) fn answer_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = from.clone();
    for name in HOP_BY_HOP.iter().chain(&[header::CONTENT_LENGTH]) {
        headers.remove(name);
    }
    headers
}

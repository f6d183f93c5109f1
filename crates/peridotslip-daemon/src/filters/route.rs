//! Matches the request with a row of the routes table and validates its body.

use async_trait::async_trait;
use axum::http::{HeaderMap, Method};
use peridotslip::prelude::*;
use serde::Deserialize;

use super::{Filter, Next};
use crate::{
    context::{CompletionParams, IDEMPOTENCY_KEY_HEADER, RequestContext},
    problem::{Rejection, Result},
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Upper bound of the tokens that an engine's chat template adds to a prompt,
/// per message.
const TEMPLATE_TOKENS_PER_MESSAGE: u64 = 16;

/// Paths of completion requests, which model pools serve.
pub(crate) const COMPLETION_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

pub(super) struct Route;

/// The fields of a completion request that the router reads.
#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    /// Number of choices per request; the router accepts only 1.
    #[serde(default = "one")]
    n: u64,
    #[serde(default)]
    messages: Vec<serde::de::IgnoredAny>,
}

fn one() -> u64 {
    1
}

#[async_trait]
impl Filter for Route {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        let path = cx.request.uri.path();
        let completion = COMPLETION_PATHS.contains(&path) && cx.request.method == Method::POST;
        if completion {
            match_completion(cx)?;
        } else {
            match_service(cx)?;
        }
        let path_and_query = cx
            .request
            .uri
            .path_and_query()
            .map_or("", |path| path.as_str());
        cx.fingerprint =
            Fingerprint::new(cx.request.method.as_str(), path_and_query, &cx.request.body);
        cx.idempotency_key = idempotency_key(&cx.request.headers, cx.organisation.as_ref())?;
        if !cx.resolved_route().route.idempotent && cx.idempotency_key.is_none() {
            return Err(Rejection::not_run(Refusal::KeyRequired));
        }
        next.call(cx).await
    }
}

fn match_completion(cx: &mut RequestContext) -> Result<()> {
    let body: CompletionBody = serde_json::from_slice(&cx.request.body)
        .map_err(|_| Rejection::not_run(Refusal::MalformedBody))?;
    let organisation = cx.organisation.as_ref();
    let resolved_route = organisation
        .and_then(|organisation| cx.index.match_model(organisation, &body.model))
        .filter(|resolved_route| resolved_route.budget.firm == cx.shared.settings.firm)
        .ok_or_else(|| Rejection::not_run(Refusal::NoRoute))?
        .clone();
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .filter(|tokens| (1..=resolved_route.route.max_tokens).contains(tokens))
        .ok_or_else(|| Rejection::not_run(Refusal::MaxTokens))?;
    if body.n != 1 {
        return Err(Rejection::not_run(Refusal::MalformedBody));
    }
    let template_tokens = TEMPLATE_TOKENS_PER_MESSAGE * (1 + body.messages.len() as u64);
    // A prompt token covers at least one byte of the prompt, so the length of
    // the body is an upper bound of the prompt's tokens.
    cx.max_cost_tokens = cx.request.body.len() as u64 + template_tokens + max_tokens;
    cx.completion = Some(CompletionParams {
        stream: body.stream,
        max_tokens,
    });
    cx.resolved_route = Some(resolved_route);
    Ok(())
}

fn match_service(cx: &mut RequestContext) -> Result<()> {
    let (method, path) = (cx.request.method.as_str(), cx.request.uri.path());
    let organisation = cx.organisation.as_ref();
    let resolved_route = organisation
        .and_then(|organisation| cx.index.match_path(organisation, method, path))
        .filter(|resolved_route| resolved_route.budget.firm == cx.shared.settings.firm)
        .ok_or_else(|| Rejection::not_run(Refusal::NoRoute))?
        .clone();
    cx.max_cost_tokens = resolved_route.route.tokens_per_call;
    cx.resolved_route = Some(resolved_route);
    Ok(())
}

fn idempotency_key(
    headers: &HeaderMap,
    organisation: Option<&OrganisationName>,
) -> Result<Option<IdempotencyKey>> {
    let (Some(value), Some(organisation)) = (headers.get(IDEMPOTENCY_KEY_HEADER), organisation)
    else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let valid = (1..=MAX_KEY_BYTES).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if valid {
        Ok(Some(IdempotencyKey::new(organisation, text)))
    } else {
        Err(Rejection::not_run(Refusal::KeyMalformed))
    }
}

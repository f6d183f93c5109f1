//! Identifies the caller's organisation by its API key, before any other check.

use async_trait::async_trait;
use axum::http::header::AUTHORIZATION;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    context::RequestContext,
    problem::{Rejection, Result},
};

pub(super) struct Authenticate;

#[async_trait]
impl Filter for Authenticate {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        cx.organisation = Some(organisation(cx)?);
        next.call(cx).await
    }
}

/// Returns the organisation of the caller's API key.
pub(super) fn organisation(cx: &RequestContext) -> Result<OrganisationName> {
    let mut values = cx.request.headers.get_all(AUTHORIZATION).iter();
    // With two credentials it is ambiguous which organisation to bill.
    let only = values.next().filter(|_| values.next().is_none());
    let key = only.and_then(|value| value.to_str().ok()).and_then(bearer);
    key.and_then(|key| cx.index.organisation(key))
        .cloned()
        .ok_or_else(|| Rejection::not_run(Refusal::Unauthenticated))
}

/// Returns the key of a `Bearer` credential; the scheme is case-insensitive.
fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

//! Finds the caller's organisation by its key, before anything else is looked
//! at.

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

/// The organisation of the caller's key.
pub(super) fn organisation(cx: &RequestContext) -> Result<OrganisationName> {
    let mut values = cx.incoming.headers.get_all(AUTHORIZATION).iter();
    // Two credentials leave open whose money is meant.
    let only = values.next().filter(|_| values.next().is_none());
    let key = only.and_then(|value| value.to_str().ok()).and_then(bearer);
    key.and_then(|key| cx.index.organisation(key))
        .cloned()
        .ok_or_else(|| Rejection::not_run(Refusal::Unauthenticated))
}

/// The key of a `Bearer` credential; the scheme's case doesn't matter.
fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

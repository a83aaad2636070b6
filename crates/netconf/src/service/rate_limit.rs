//! The rate limit on the edits of a session.

use super::{not_supported, Request, Service};
use crate::error::{RpcError, Tag};
use std::time::Duration;

/// A token bucket whose capacity is one second's worth of edits.
#[derive(Debug)]
pub(super) struct EditRateLimit {
    tokens: f64,
    refilled_at: Duration,
}

impl EditRateLimit {
    pub(super) fn new(edits_per_second: f64, now: Duration) -> EditRateLimit {
        EditRateLimit { tokens: edits_per_second, refilled_at: now }
    }

    /// Takes a token; false if the bucket is empty.
    fn try_take(&mut self, edits_per_second: f64, now: Duration) -> bool {
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_seconds * edits_per_second).min(edits_per_second);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Service {
    /// Counts an edit against the rate limit of its session; fails if the limit is exceeded.
    pub(super) fn take_edit_token(&mut self, request: &Request) -> Result<(), Vec<RpcError>> {
        let edits_per_second = self.limits.edits_per_second;
        let Some(session) = self.sessions.get_mut(&request.session) else {
            return Err(not_supported("an ended session"));
        };
        if session.edit_rate_limit.try_take(edits_per_second, request.now) {
            return Ok(());
        }
        let error = RpcError::protocol(Tag::ResourceDenied, "too many edits a second; try again shortly");
        Err(vec![error.with_app_tag("edits-per-second")])
    }
}

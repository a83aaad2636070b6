//! Shares in the tables of the last seconds, for attempts that end after the tables have changed.

use super::{Shares, MAX_ATTEMPT_WEIGHT};
use std::collections::VecDeque;
use std::time::Duration;

/// How long past shares are kept. An attempt may end after its server left the table that it was sent by, but no
/// deadline is much longer than this; older tables no longer matter.
const MAX_ATTEMPT_DURATION: Duration = Duration::from_secs(5);

/// Shares that were in force on both sides at the same time.
#[derive(Debug)]
struct PastShares {
    last_seen: Duration,
    recorded: Shares,
    changed: Shares,
}

/// Shares of the last seconds at one proxy for one class; the newest are last.
#[derive(Debug, Default)]
pub(super) struct ShareHistory(VecDeque<PastShares>);

impl ShareHistory {
    /// Adds the current shares, and drops those older than [`MAX_ATTEMPT_DURATION`].
    pub fn record(&mut self, now: Duration, recorded: &Shares, changed: &Shares) {
        let newest = self.0.back_mut();
        match newest.filter(|past| past.recorded == *recorded && past.changed == *changed) {
            Some(same) => same.last_seen = now,
            None => self.0.push_back(PastShares {
                last_seen: now,
                recorded: recorded.clone(),
                changed: changed.clone(),
            }),
        }
        while self.0.front().is_some_and(|past| past.last_seen + MAX_ATTEMPT_DURATION < now) {
            self.0.pop_front();
        }
    }

    /// Importance weight of an attempt at a server: its share in the changed tables over that in the recorded ones,
    /// by the newest tables in which it had a recorded share; 0 if there are none, and at most [`MAX_ATTEMPT_WEIGHT`].
    pub fn weight(&self, server: &str) -> f64 {
        let ratio = self.0.iter().rev().find_map(|past| {
            let recorded = past.recorded.get(server).copied().filter(|share| *share > 0.0)?;
            Some(past.changed.get(server).copied().unwrap_or(0.0) / recorded)
        });
        ratio.unwrap_or(0.0).min(MAX_ATTEMPT_WEIGHT)
    }
}

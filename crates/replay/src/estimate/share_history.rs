//! The tables of the last seconds.

use super::{Shares, MAX_ATTEMPT_WEIGHT};
use std::collections::VecDeque;
use std::time::Duration;

/// An attempt that ends at a server which is out of the table was sent while it was in; no deadline is much longer than
/// this, and earlier tables say nothing of now.
const MAX_ATTEMPT_DURATION: Duration = Duration::from_secs(5);

/// Shares on both sides that held for some time.
#[derive(Debug)]
struct PastShares {
    last_seen: Duration,
    recorded: Shares,
    changed: Shares,
}

/// Shares of the last seconds at one proxy for one class, the newest last.
#[derive(Debug, Default)]
pub(super) struct ShareHistory(VecDeque<PastShares>);

impl ShareHistory {
    /// Adds the shares of now, and drops those that are too old.
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

    /// How many times as often the other tables would have sent to a server, by the newest tables that had it; 0 if none
    /// did.
    pub fn weight(&self, server: &str) -> f64 {
        let ratio = self.0.iter().rev().find_map(|past| {
            let recorded = past.recorded.get(server).copied().filter(|share| *share > 0.0)?;
            Some(past.changed.get(server).copied().unwrap_or(0.0) / recorded)
        });
        ratio.unwrap_or(0.0).min(MAX_ATTEMPT_WEIGHT)
    }
}

//! Delays the reuse of a removed server's index.

use runloom_controller::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the last use of an index to its release: until then, late reports of its server may still arrive.
const RELEASE_DELAY: Duration = Duration::from_secs(10);

/// Servers whose index is no longer referenced, and since when.
#[derive(Debug, Default)]
pub(crate) struct IndexRelease {
    unused_since: BTreeMap<ServerId, Duration>,
}

impl IndexRelease {
    /// Updates the unused servers to `unused`; removes and returns those that were unused for [`RELEASE_DELAY`], whose
    /// index may be released.
    pub(crate) fn take_expired(&mut self, unused: &[ServerId], now: Duration) -> Vec<ServerId> {
        self.unused_since.retain(|server, _| unused.contains(server));
        for server in unused {
            self.unused_since.entry(*server).or_insert(now);
        }
        let is_expired = |since: Duration| now >= since + RELEASE_DELAY;
        let expired: Vec<ServerId> =
            unused.iter().copied().filter(|server| is_expired(self.unused_since[server])).collect();
        self.unused_since.retain(|_, since| !is_expired(*since));
        expired
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.unused_since.len()
    }
}

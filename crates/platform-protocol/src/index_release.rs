//! When the index of a server that is gone may be assigned to another server.

use runloom_controller::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Reports of a server may still arrive for this long after its last use.
const RELEASE_DELAY: Duration = Duration::from_secs(10);

/// Servers that nothing refers to any more, and since when.
#[derive(Debug, Default)]
pub(crate) struct IndexRelease {
    unused_since: BTreeMap<ServerId, Duration>,
}

impl IndexRelease {
    /// Takes the servers that are unused now and returns those whose index may be released.
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

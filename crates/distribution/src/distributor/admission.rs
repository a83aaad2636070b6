//! Admission of proxies that connected: all at once after a planner's restart, at a limited rate.

use super::Distributor;
use crate::pending_proxy::PendingProxy;
use std::time::Duration;

impl Distributor {
    /// Queues a proxy that connected. False: too many wait.
    pub fn enqueue(&mut self, now: Duration, pending: PendingProxy) -> bool {
        let is_queued = self.reconnect_queue.push(now, &pending.name, pending.oldest_held());
        if is_queued {
            self.waiting.insert(pending.name.clone(), pending);
        }
        is_queued
    }

    /// Connection of the proxy that waits under a name; another one of that name replaces it.
    pub fn waiting_connection(&self, name: &str) -> Option<usize> {
        self.waiting.get(name).map(|pending| pending.connection)
    }

    /// Takes the next proxy that is admitted by now.
    pub fn admit_next(&mut self, now: Duration) -> Option<PendingProxy> {
        let name = self.reconnect_queue.admit_next(now)?;
        self.waiting.remove(&name)
    }

    /// Proxies that wait to be admitted.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// When the next proxy is admitted.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.reconnect_queue.next_wakeup()
    }

    /// A connection ended; its proxy no longer waits, if it did.
    pub fn cancel_waiting(&mut self, name: &str, connection: usize) {
        if self.waiting_connection(name) == Some(connection) {
            self.waiting.remove(name);
            self.reconnect_queue.remove(name);
        }
    }
}

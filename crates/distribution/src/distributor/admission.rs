//! Admission of connected proxies at a limited rate, since all connect at once after a planner's restart.

use super::Distributor;
use crate::pending_proxy::PendingProxy;
use std::time::Duration;

impl Distributor {
    /// Queues a connected proxy for admission. Returns false if too many are waiting.
    pub fn enqueue(&mut self, now: Duration, pending: PendingProxy) -> bool {
        let is_queued = self.reconnect_queue.push(now, &pending.name, pending.oldest_held());
        if is_queued {
            self.waiting_proxies.insert(pending.name.clone(), pending);
        }
        is_queued
    }

    /// Connection of the proxy that waits under `name`. A newer one under the same name replaces it.
    pub fn waiting_connection(&self, name: &str) -> Option<usize> {
        self.waiting_proxies.get(name).map(|pending| pending.connection)
    }

    /// Takes the next proxy if its admission is due by `now`.
    pub fn admit_next(&mut self, now: Duration) -> Option<PendingProxy> {
        let name = self.reconnect_queue.admit_next(now)?;
        self.waiting_proxies.remove(&name)
    }

    /// Number of proxies that wait for admission.
    pub fn waiting_count(&self) -> usize {
        self.waiting_proxies.len()
    }

    /// When the next proxy is admitted; `None` if no proxy waits.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.reconnect_queue.next_wakeup()
    }

    /// Removes a proxy whose connection ended from the queue. Has no effect if another connection waits under `name`.
    pub fn cancel_waiting(&mut self, name: &str, connection: usize) {
        if self.waiting_connection(name) == Some(connection) {
            self.waiting_proxies.remove(name);
            self.reconnect_queue.remove(name);
        }
    }
}

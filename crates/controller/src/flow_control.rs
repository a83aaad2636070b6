//! Flow control: the updates in flight to the proxies, and the room that they leave in the update channel.

use crate::event::ProxyId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The messages of one step, as long as some are not acknowledged.
#[derive(Debug)]
pub(crate) struct InFlightUpdate {
    pub ack_token: u16,
    /// Table entries, message overhead included, that are not acknowledged yet.
    pub entries: f64,
    /// The proxies that have yet to acknowledge their message.
    pub pending_acks: BTreeSet<ProxyId>,
}

/// The state of the update channel to the proxies.
#[derive(Debug, Default)]
pub(crate) struct UpdateChannel {
    /// Updates that are not acknowledged by all recipients, in the order in which they were sent.
    pub in_flight: VecDeque<InFlightUpdate>,
    pub last_ack_token: u16,
    /// When entries, admissions or reassignments were last sent; first tables do not count.
    pub last_update: Duration,
    /// The subset whose admissions are published first at the next regular update, so that all take their turn.
    pub next_admission_subset: usize,
    /// Whether the present shortage of the queue was reported to the operators.
    pub has_logged_shortage: bool,
    /// When delayed removals were last reported to the operators; `None` if none are delayed.
    pub delay_logged_at: Option<Duration>,
}

impl UpdateChannel {
    /// Records messages that are sent, each with its queue entries, and returns the token for their acknowledgements.
    pub fn send(&mut self, messages: BTreeMap<ProxyId, f64>) -> u16 {
        let entries = messages.values().sum();
        let pending_acks = messages.into_keys().collect();
        self.last_ack_token = self.last_ack_token.wrapping_add(1);
        let ack_token = self.last_ack_token;
        self.in_flight.push_back(InFlightUpdate { ack_token, entries, pending_acks });
        ack_token
    }

    /// Table entries in flight, message overhead included.
    pub fn queued_entries(&self) -> f64 {
        self.in_flight.iter().fold(0.0, |sum, update| sum + update.entries)
    }

    /// Records an acknowledgement; an unknown token is ignored.
    ///
    /// Messages leave the channel in sequence, so all earlier updates have left it too. Each acknowledgement frees its
    /// share of the update, so that further updates do not wait for the slowest proxy.
    pub fn acknowledge(&mut self, proxy: ProxyId, ack_token: u16) {
        let Some(position) = self.in_flight.iter().position(|update| update.ack_token == ack_token) else {
            return;
        };
        self.in_flight.drain(..position);
        let update = &mut self.in_flight[0];
        let pending = update.pending_acks.len() as f64;
        if update.pending_acks.remove(&proxy) {
            update.entries *= (pending - 1.0) / pending;
        }
        self.drop_completed();
    }

    /// Stops waiting for acknowledgements of a proxy that disconnected.
    pub fn disconnect(&mut self, proxy: ProxyId) {
        for update in &mut self.in_flight {
            update.pending_acks.remove(&proxy);
        }
        self.drop_completed();
    }

    fn drop_completed(&mut self) {
        self.in_flight.retain(|update| !update.pending_acks.is_empty());
    }
}

//! Updates on their way to the proxies, and the room that they leave in the channel.

use crate::event::ProxyId;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The messages of one step on their way.
#[derive(Debug)]
pub(crate) struct InFlightUpdate {
    pub ack_token: u16,
    /// Table entries that are not acknowledged yet.
    pub entries: f64,
    pub pending_acks: BTreeSet<ProxyId>,
}

/// What is on its way to the proxies.
#[derive(Debug, Default)]
pub(crate) struct UpdateChannel {
    pub in_flight: VecDeque<InFlightUpdate>,
    pub last_ack_token: u16,
    /// When an update with all that was due last went out.
    pub last_update: Duration,
    /// While an update is made: the entries that there is room for.
    pub available_entries: f64,
    /// The operators were told that the queue is too small for changes.
    pub has_logged_shortage: bool,
    /// While an update is made: the proxies that get a message.
    pub recipients: BTreeSet<ProxyId>,
}

impl UpdateChannel {
    /// Records messages that go out, and returns the token that acknowledges them.
    pub fn send(&mut self, entries: f64, pending_acks: BTreeSet<ProxyId>) -> u16 {
        self.last_ack_token = self.last_ack_token.wrapping_add(1);
        let ack_token = self.last_ack_token;
        self.in_flight.push_back(InFlightUpdate { ack_token, entries, pending_acks });
        ack_token
    }

    /// Table entries on their way.
    pub fn queued_entries(&self) -> f64 {
        self.in_flight.iter().map(|update| update.entries).sum()
    }

    /// Records an acknowledgement.
    ///
    /// Messages leave the channel in sequence, so all updates before this one have left too. Each acknowledgement
    /// frees its share of the update, so that updates do not wait for the slowest proxy.
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

    /// A proxy that disconnected acknowledges nothing.
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

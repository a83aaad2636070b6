//! Connected proxies and the messages on their way to them.

use std::collections::VecDeque;
use std::time::Duration;

/// A message on its way to one proxy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightUpdate {
    /// Sequence number at the proxy.
    pub number: u64,
    /// The controller's token, if it waits for this message's acknowledgement.
    pub ack_token: Option<u16>,
    /// Table entries in the message.
    pub entries: usize,
    pub sent_at: Duration,
}

/// A connected proxy.
#[derive(Debug, Default)]
pub struct Member {
    /// Its zone.
    pub zone: String,
    /// When the last message was sent to it.
    pub last_sent_at: Option<Duration>,
    /// When its last acknowledgement arrived.
    pub last_acknowledged_at: Option<Duration>,
    /// When its last report arrived.
    pub last_report_at: Option<Duration>,
    last_number: u64,
    in_flight: VecDeque<InFlightUpdate>,
}

impl Member {
    pub(crate) fn new(zone: &str) -> Member {
        Member { zone: zone.to_string(), ..Member::default() }
    }

    /// Messages that were sent and are not acknowledged.
    pub fn in_flight_messages(&self) -> usize {
        self.in_flight.len()
    }

    /// How long the oldest unacknowledged message has been on its way.
    pub fn oldest_in_flight(&self, now: Duration) -> Option<Duration> {
        self.in_flight.front().map(|update| now.saturating_sub(update.sent_at))
    }

    /// Table entries on their way, with `message_overhead` entries added for each message.
    pub(crate) fn queued_entries(&self, message_overhead: usize) -> usize {
        self.in_flight.iter().map(|update| update.entries + message_overhead).sum()
    }

    /// Records a message and returns its sequence number.
    pub(crate) fn send(&mut self, now: Duration, ack_token: Option<u16>, entries: usize) -> u64 {
        self.last_number += 1;
        self.last_sent_at = Some(now);
        self.in_flight.push_back(InFlightUpdate {
            number: self.last_number,
            ack_token,
            entries,
            sent_at: now,
        });
        self.last_number
    }

    /// Records the acknowledgement of message `number`, which covers all before it, and returns the messages that
    /// it covers.
    pub(crate) fn acknowledge(&mut self, now: Duration, number: u64) -> Vec<InFlightUpdate> {
        let covered = self.in_flight.iter().take_while(|update| update.number <= number).count();
        if covered > 0 {
            self.last_acknowledged_at = Some(now);
        }
        self.in_flight.drain(..covered).collect()
    }
}

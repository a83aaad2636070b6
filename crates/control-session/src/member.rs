//! State of connected proxies and of their unacknowledged messages.

use std::collections::VecDeque;
use std::time::Duration;

/// A message that was sent to a proxy and is not acknowledged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightUpdate {
    /// Sequence number of the message to this proxy.
    pub number: u64,
    /// The controller's token; `None` if it does not wait for this message's acknowledgement.
    pub ack_token: Option<u16>,
    /// Table entries in the message.
    pub entries: usize,
    /// When the message was sent, by the session's clock.
    pub sent_at: Duration,
}

/// A connected proxy.
#[derive(Debug, Default)]
pub struct Member {
    /// Zone that the proxy runs in.
    pub zone: String,
    /// When the last message was sent to the proxy; `None` if none was.
    pub last_sent_at: Option<Duration>,
    /// When its last acknowledgement of an in-flight message arrived.
    pub last_acknowledged_at: Option<Duration>,
    /// When its last report arrived.
    pub last_report_at: Option<Duration>,
    /// Sequence number of the last message; 0 before the first.
    last_number: u64,
    /// Unacknowledged messages, oldest first.
    in_flight: VecDeque<InFlightUpdate>,
}

impl Member {
    pub(crate) fn new(zone: &str) -> Member {
        Member { zone: zone.to_string(), ..Member::default() }
    }

    /// Number of messages that were sent and are not acknowledged.
    pub fn in_flight_messages(&self) -> usize {
        self.in_flight.len()
    }

    /// Age of the oldest unacknowledged message.
    pub fn oldest_in_flight(&self, now: Duration) -> Option<Duration> {
        self.in_flight.front().map(|update| now.saturating_sub(update.sent_at))
    }

    /// Table entries in flight, plus `message_overhead` entries for each message.
    pub(crate) fn queued_entries(&self, message_overhead: usize) -> usize {
        self.in_flight.iter().map(|update| update.entries + message_overhead).sum()
    }

    /// Records that a message is sent, and returns its sequence number.
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

    /// Records the acknowledgement of message `number` and of all before it, and returns the messages that it
    /// covers.
    pub(crate) fn acknowledge(&mut self, now: Duration, number: u64) -> Vec<InFlightUpdate> {
        let covered = self.in_flight.iter().take_while(|update| update.number <= number).count();
        if covered > 0 {
            self.last_acknowledged_at = Some(now);
        }
        self.in_flight.drain(..covered).collect()
    }
}

//! Finds the faults of one server in its listings and outcomes.

use super::observation::{ListedServer, Listing, LogObservation, ServerObservation, ServerOutcomes};
use super::time_series::{join_seconds, median, second_of, second_start, SecondsRange};
use super::{InferredFault, MIN_FAULT_SECONDS, SIMULTANEOUS_SECONDS};

/// A server is slow above this many times its usual latency; the usual variation of its latency stays below.
const SLOW_FACTOR: f64 = 1.4;
/// Seconds after its listing in which a newly started server may be slow because it warms up.
const WARM_UP_SECONDS: f64 = 8.0;
/// A server was falsely removed from the list if it has successes in at least this many seconds after the removal.
const MIN_SUCCESSFUL_SECONDS: usize = 2;
/// A crashed server that is not listed again is assumed to stay down until this many seconds after the log's end.
const SECONDS_AFTER_END: f64 = 60.0;
/// Smallest magnitude of an `errors` fault, as a share of requests.
const MIN_ERROR_SHARE: f64 = 0.5;
/// Slow times before and after a surge are joined if the earlier one ends at most this many seconds before the surge
/// begins, and the later one begins at most [`SECONDS_AFTER_SURGE`] after the surge ends.
const SECONDS_BEFORE_SURGE: f64 = 2.0;
/// See [`SECONDS_BEFORE_SURGE`].
const SECONDS_AFTER_SURGE: f64 = 4.0;

/// Finds the faults of one server.
pub(super) struct ServerFaultFinder<'a> {
    pub name: &'a str,
    pub server: &'a ServerObservation,
    pub observation: &'a LogObservation,
    /// Usual latency of all servers, in microseconds.
    pub usual_latency_us: f64,
}

impl ServerFaultFinder<'_> {
    /// Finds all faults of the server. Failures and slow times that other faults explain do not count.
    pub fn find(&self) -> Vec<InferredFault> {
        let mut found = self.find_in_listings();
        let unexplained = self.find_unexplained_failures(&found);
        found.extend(unexplained);
        let slow = self.find_slow_times(&found);
        found.extend(slow);
        found
    }

    fn fault(&self, kind: &'static str, at: f64, duration: f64, magnitude: f64) -> InferredFault {
        InferredFault::of_server(self.name, kind, at.max(0.0), duration, magnitude)
    }

    /// Finds the faults that show in the endpoint list: drains, unreachable machines, false removals and crashes.
    fn find_in_listings(&self) -> Vec<InferredFault> {
        let listings = &self.server.listings;
        let mut found = vec![];
        for (position, listing) in listings.iter().enumerate() {
            let previous = position.checked_sub(1).map(|previous| &listings[previous]);
            let later = &listings[position + 1..];
            found.extend(match listing.server {
                Some(listed) => self.fault_of_listing(listing.at, listed, previous, later),
                None => self.fault_of_removal(listing.at, previous, later),
            });
        }
        found
    }

    /// The fault behind a changed listing: a drain by the feed, or a restart without a removal from the list.
    fn fault_of_listing(
        &self,
        at: f64,
        listed: ListedServer,
        previous: Option<&Listing>,
        later: &[Listing],
    ) -> Option<InferredFault> {
        let previous = previous?.server;
        if listed.is_draining {
            if self.observation.is_drained_by_operator(self.name, at) {
                return None;
            }
            let end = later.first().map_or(self.observation.end, |next| next.at);
            return Some(self.fault("drain", at, end - at, 1.0));
        }
        // Listed throughout, but started anew: the machine was unreachable.
        let is_restarted = listed.started_ms.is_some()
            && previous.is_some_and(|previous| previous.started_ms != listed.started_ms);
        if !is_restarted {
            return None;
        }
        let from = self.failure_start(at)?;
        Some(self.fault("silent", from, at - from, 1.0))
    }

    /// The fault behind a removal: a false removal, or a crash; none at the end of a drain.
    fn fault_of_removal(
        &self,
        at: f64,
        previous: Option<&Listing>,
        later: &[Listing],
    ) -> Option<InferredFault> {
        let previous = previous.and_then(|listing| listing.server);
        if previous.is_some_and(|previous| previous.is_draining) {
            return None;
        }
        let listed_again = later.iter().find(|listing| listing.server.is_some()).map(|listing| listing.at);
        let end = listed_again.unwrap_or(self.observation.end);
        if self.succeeds_between(at, end) {
            return Some(self.fault("lie-gone", at, end - at, 1.0));
        }
        let from = self.failure_start(at).unwrap_or(at);
        let duration = match listed_again {
            Some(end) => end - from,
            None => self.observation.end + SECONDS_AFTER_END - at,
        };
        Some(self.fault("crash", from, duration, 1.0))
    }

    /// Whether the server goes on succeeding after its removal, until `end`.
    fn succeeds_between(&self, removed_at: f64, end: f64) -> bool {
        let seconds =
            self.server.outcomes_by_second.iter().map(|(second, outcomes)| (second_start(*second), outcomes));
        let after_removal = seconds.take_while(|(second, _)| *second < end);
        let is_success = |(second, outcomes): &(f64, &ServerOutcomes)| {
            *second > removed_at + 1.0 && outcomes.successes() > 0
        };
        after_removal.filter(is_success).count() >= MIN_SUCCESSFUL_SECONDS
    }

    /// Start of the first failing second since the last successful one before a time.
    fn failure_start(&self, at: f64) -> Option<f64> {
        let last = second_of(at);
        let seconds = &self.server.outcomes_by_second;
        let is_success = |outcomes: &ServerOutcomes| outcomes.successes() > 0 && !outcomes.is_failing();
        let last_success = seconds.range(..last).rfind(|(_, outcomes)| is_success(outcomes));
        let from = last_success.map_or(0, |(second, _)| *second);
        let first_failure = seconds.range(from..=last).find(|(_, outcomes)| outcomes.is_failing());
        first_failure.map(|(second, _)| second_start(*second))
    }

    /// Finds times of failures that the endpoint list does not explain. Failures in a surge are due to the surge.
    fn find_unexplained_failures(&self, known: &[InferredFault]) -> Vec<InferredFault> {
        let failing = self.server.outcomes_by_second.iter().filter(|(_, outcomes)| outcomes.is_failing());
        let mut found: Vec<InferredFault> = vec![];
        for range in join_seconds(failing.map(|(second, _)| *second)) {
            if range.duration() < MIN_FAULT_SECONDS || self.observation.is_surging(range.from) {
                continue;
            }
            let explains = |fault: &InferredFault| {
                fault.at < range.to && range.from < fault.end() + SIMULTANEOUS_SECONDS
            };
            if !known.iter().chain(&found).any(explains) {
                found.push(self.failure_fault(range));
            }
        }
        found
    }

    /// The fault of a server that fails while it is listed: it hangs, or answers with errors.
    fn failure_fault(&self, range: SecondsRange) -> InferredFault {
        let mut sum = ServerOutcomes::default();
        for (_, outcomes) in self.server.outcomes_by_second.range(range.whole_seconds()) {
            sum.add_counts(outcomes);
        }
        let failing_share = sum.failures as f64 / sum.attempts.max(1) as f64;
        // A server that answers health checks, even with an error, does not hang.
        let checks = sum.health_checks;
        if checks.unanswered > checks.successes + checks.errors {
            return InferredFault::of_server(self.name, "hang", range.from, range.duration(), 1.0);
        }
        let magnitude = failing_share.max(MIN_ERROR_SHARE);
        InferredFault::of_server(self.name, "errors", range.from, range.duration(), magnitude)
    }

    /// Finds times in which the server took far longer than it usually does.
    fn find_slow_times(&self, known: &[InferredFault]) -> Vec<InferredFault> {
        let usual = self.own_usual_latency();
        let is_slow = |second: u64, outcomes: &ServerOutcomes| {
            let at = second_start(second);
            let is_explained = known.iter().any(|fault| fault.at - 1.0 <= at && at < fault.end() + 1.0);
            outcomes.mean_latency().is_some_and(|latency| latency > SLOW_FACTOR * usual)
                && !self.observation.is_surging(at)
                && !is_explained
                && !self.is_warming_up(at)
        };
        let seconds = self.server.outcomes_by_second.iter();
        let slow_seconds = seconds.filter(|(second, outcomes)| is_slow(**second, outcomes));
        let mut slow = join_seconds(slow_seconds.map(|(second, _)| *second));
        self.join_over_surges(&mut slow);
        let lasting = slow.into_iter().filter(|range| range.duration() >= MIN_FAULT_SECONDS);
        lasting.map(|range| self.slow_fault(range, usual)).collect()
    }

    /// Mean latencies in some seconds, without those of surges; in microseconds.
    fn calm_latencies(&self, seconds: std::ops::Range<u64>) -> Vec<f64> {
        let seconds = self.server.outcomes_by_second.range(seconds);
        let calm = seconds.filter(|(second, _)| !self.observation.is_surging(second_start(**second)));
        calm.filter_map(|(_, outcomes)| outcomes.mean_latency()).collect()
    }

    /// The server's own usual latency in microseconds, or that of all servers if it was slow for most of the time.
    fn own_usual_latency(&self) -> f64 {
        let own = median(self.calm_latencies(0..u64::MAX));
        if own > SLOW_FACTOR * self.usual_latency_us {
            self.usual_latency_us
        } else {
            own
        }
    }

    /// Whether the server was listed less than [`WARM_UP_SECONDS`] ago with a known start, and so may be slow.
    fn is_warming_up(&self, at: f64) -> bool {
        self.server.listings.iter().any(|listing| {
            let has_start = listing.server.is_some_and(|server| server.started_ms.is_some());
            has_start && listing.at <= at && at < listing.at + WARM_UP_SECONDS
        })
    }

    /// Joins slow times that only a surge separates. In a surge all servers are slow, so that a server which is slow
    /// before and after it counts as slow throughout.
    fn join_over_surges(&self, slow: &mut Vec<SecondsRange>) {
        let is_separated_by_surge = |before: &SecondsRange, after: &SecondsRange| {
            self.observation.surges.iter().any(|surge| {
                before.to >= surge.range.from - SECONDS_BEFORE_SURGE
                    && after.from <= surge.range.to + SECONDS_AFTER_SURGE
            })
        };
        slow.dedup_by(|after, before| {
            let is_joined = is_separated_by_surge(before, after);
            if is_joined {
                before.to = after.to;
            }
            is_joined
        });
    }

    fn slow_fault(&self, range: SecondsRange, usual: f64) -> InferredFault {
        let latency = median(self.calm_latencies(range.whole_seconds()));
        let magnitude = latency / usual.max(1.0);
        InferredFault::of_server(self.name, "slow", range.from, range.duration(), magnitude)
    }
}

//! Sums of the proxies' reports.
//!
//! Outcomes are summed by zone and server, arrivals by proxy and class, and the controller gets them once a period,
//! the oldest first and with a limit on their number: it takes an outcome report for the sum over a zone's proxies.

use runloom_controller::{ClassId, Event, ProxyId, ServerId, ZoneId};
use runloom_model::report::{ClassArrivals, ServerOutcomes};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Shortest time between two deliveries.
const MIN_PERIOD: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Outcomes { zone: ZoneId, server: ServerId },
    Arrivals { proxy: ProxyId, class: ClassId },
}

/// Sum of the reports under one key.
#[derive(Debug, Default)]
struct Aggregate {
    from: Duration,
    to: Duration,
    /// Attempts, or requests that arrived.
    attempts: u64,
    /// Failed attempts, or unanswered requests.
    failures: u64,
    /// Seconds of the successful attempts together.
    latency_sum: f64,
    /// The newest load report.
    load: Vec<f64>,
}

impl Aggregate {
    fn into_event(self, key: Key) -> Event {
        let window = self.to.saturating_sub(self.from);
        match key {
            Key::Outcomes { zone, server } => Event::OutcomeReport {
                zone,
                server,
                attempts: self.attempts,
                failures: self.failures,
                mean_latency: self.mean_latency(),
                window,
                load: self.load,
            },
            Key::Arrivals { proxy, class } => Event::ArrivalReport {
                proxy,
                class,
                requests: self.attempts,
                unanswered: self.failures,
                window,
            },
        }
    }

    fn mean_latency(&self) -> Duration {
        let successes = self.attempts - self.failures;
        Duration::from_secs_f64(if successes > 0 { self.latency_sum / successes as f64 } else { 0.0 })
    }
}

/// Sums reports and hands them to the controller once a period.
///
/// It holds at most one sum for each server and zone, and for each proxy and class.
#[derive(Debug)]
pub(crate) struct ReportAggregator {
    period: Duration,
    /// Limit on the events of one delivery.
    max_events: usize,
    next_delivery: Option<Duration>,
    aggregates: BTreeMap<Key, Aggregate>,
    /// Keys in the order of their first report since their last delivery.
    queue: VecDeque<Key>,
}

impl ReportAggregator {
    /// `period` is the time between deliveries, `events_per_second` the limit on the events that they hold.
    pub fn new(period: Duration, events_per_second: f64) -> ReportAggregator {
        let period = period.max(MIN_PERIOD);
        ReportAggregator {
            period,
            max_events: (events_per_second * period.as_secs_f64()).max(1.0) as usize,
            next_delivery: None,
            aggregates: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// The sum under `key`, extended by a report of the last `window`.
    fn aggregate(&mut self, key: Key, now: Duration, window: Duration) -> &mut Aggregate {
        self.next_delivery.get_or_insert(now + self.period);
        let from = now.saturating_sub(window);
        let aggregate = self.aggregates.entry(key).or_insert_with(|| {
            self.queue.push_back(key);
            Aggregate { from, ..Aggregate::default() }
        });
        aggregate.from = aggregate.from.min(from);
        aggregate.to = now;
        aggregate
    }

    /// Adds a proxy's outcomes at one server.
    pub fn add_outcomes(
        &mut self,
        now: Duration,
        zone: ZoneId,
        server: ServerId,
        outcomes: &ServerOutcomes,
        window: Duration,
    ) {
        let aggregate = self.aggregate(Key::Outcomes { zone, server }, now, window);
        let failures = outcomes.failures.min(outcomes.attempts);
        aggregate.attempts += outcomes.attempts;
        aggregate.failures += failures;
        aggregate.latency_sum += outcomes.mean_latency.as_secs_f64() * (outcomes.attempts - failures) as f64;
        if !outcomes.load.is_empty() {
            aggregate.load.clone_from(&outcomes.load);
        }
    }

    /// Adds the requests of one class that arrived at a proxy.
    pub fn add_arrivals(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        class: ClassId,
        arrivals: &ClassArrivals,
        window: Duration,
    ) {
        let aggregate = self.aggregate(Key::Arrivals { proxy, class }, now, window);
        aggregate.attempts += arrivals.requests;
        aggregate.failures += arrivals.unanswered;
    }

    /// When the next delivery is due; `None` if there is nothing to deliver.
    pub fn next_delivery(&self) -> Option<Duration> {
        self.next_delivery
    }

    /// Appends the sums that are due to `events`, the oldest first.
    pub fn deliver(&mut self, now: Duration, events: &mut Vec<Event>) {
        if self.next_delivery.is_none_or(|at| now < at) {
            return;
        }
        for _ in 0..self.max_events {
            let Some(key) = self.queue.pop_front() else { break };
            let Some(aggregate) = self.aggregates.remove(&key) else { continue };
            events.push(aggregate.into_event(key));
        }
        self.next_delivery = (!self.queue.is_empty()).then_some(now + self.period);
    }
}

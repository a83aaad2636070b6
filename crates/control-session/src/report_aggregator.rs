//! Aggregation of the proxies' reports.
//!
//! Outcomes are summed by zone and server, arrivals by proxy and class. The controller gets the sums once per period,
//! oldest first and up to a limit. It expects an outcome report to be the sum over a zone's proxies.

use runloom_controller::{ClassId, Event, ProxyId, ServerId, ZoneId};
use runloom_model::report::{ClassArrivals, ServerOutcomes};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Lower bound of the time between two deliveries.
const MIN_PERIOD: Duration = Duration::from_millis(50);

/// What is summed up in one aggregate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AggregateKey {
    Outcomes { zone: ZoneId, server: ServerId },
    Arrivals { proxy: ProxyId, class: ClassId },
}

/// Sum of the reports under one key since its last delivery.
#[derive(Debug, Default)]
struct Aggregate {
    /// Start of the earliest report's window.
    from: Duration,
    /// When the latest report arrived.
    to: Duration,
    /// Attempts, or requests that arrived.
    attempts: u64,
    /// Failed attempts, or unanswered requests.
    failures: u64,
    /// Sum of the latencies of successful attempts, in seconds.
    latency_sum: f64,
    /// The newest load report; empty if there was none.
    load: Vec<f64>,
}

impl Aggregate {
    fn into_event(self, key: AggregateKey) -> Event {
        let window = self.to.saturating_sub(self.from);
        match key {
            AggregateKey::Outcomes { zone, server } => Event::OutcomeReport {
                zone,
                server,
                attempts: self.attempts,
                failures: self.failures,
                mean_latency: self.mean_latency(),
                window,
                load: self.load,
            },
            AggregateKey::Arrivals { proxy, class } => Event::ArrivalReport {
                proxy,
                class,
                requests: self.attempts,
                unanswered: self.failures,
                window,
            },
        }
    }

    /// Mean latency of the successful attempts; zero if there was none.
    fn mean_latency(&self) -> Duration {
        let successes = self.attempts - self.failures;
        Duration::from_secs_f64(if successes > 0 { self.latency_sum / successes as f64 } else { 0.0 })
    }
}

/// Sums reports and delivers them to the controller once per period.
///
/// It holds at most one sum per server and zone, and one per proxy and class.
#[derive(Debug)]
pub(crate) struct ReportAggregator {
    period: Duration,
    /// Limit on the number of events in one delivery.
    max_events: usize,
    /// When the next delivery is due; `None` if there is nothing to deliver.
    next_delivery: Option<Duration>,
    aggregates: BTreeMap<AggregateKey, Aggregate>,
    /// Keys with a report since their last delivery, in the order of the first such report.
    delivery_queue: VecDeque<AggregateKey>,
}

impl ReportAggregator {
    /// `period` is the time between deliveries; `events_per_second` limits the rate of delivered events.
    pub fn new(period: Duration, events_per_second: f64) -> ReportAggregator {
        let period = period.max(MIN_PERIOD);
        ReportAggregator {
            period,
            max_events: (events_per_second * period.as_secs_f64()).max(1.0) as usize,
            next_delivery: None,
            aggregates: BTreeMap::new(),
            delivery_queue: VecDeque::new(),
        }
    }

    /// The sum under `key`, with its time span extended to a report of the last `window`.
    fn aggregate(&mut self, key: AggregateKey, now: Duration, window: Duration) -> &mut Aggregate {
        self.next_delivery.get_or_insert(now + self.period);
        let from = now.saturating_sub(window);
        let aggregate = self.aggregates.entry(key).or_insert_with(|| {
            self.delivery_queue.push_back(key);
            Aggregate { from, ..Aggregate::default() }
        });
        aggregate.from = aggregate.from.min(from);
        aggregate.to = now;
        aggregate
    }

    /// Adds the outcomes that a proxy of a zone reported for one server.
    pub fn add_outcomes(
        &mut self,
        now: Duration,
        zone: ZoneId,
        server: ServerId,
        outcomes: &ServerOutcomes,
        window: Duration,
    ) {
        let aggregate = self.aggregate(AggregateKey::Outcomes { zone, server }, now, window);
        let failures = outcomes.failures.min(outcomes.attempts);
        aggregate.attempts += outcomes.attempts;
        aggregate.failures += failures;
        aggregate.latency_sum += outcomes.mean_latency.as_secs_f64() * (outcomes.attempts - failures) as f64;
        if !outcomes.load.is_empty() {
            aggregate.load.clone_from(&outcomes.load);
        }
    }

    /// Adds the requests of one class that a proxy reported as arrived.
    pub fn add_arrivals(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        class: ClassId,
        arrivals: &ClassArrivals,
        window: Duration,
    ) {
        let aggregate = self.aggregate(AggregateKey::Arrivals { proxy, class }, now, window);
        aggregate.attempts += arrivals.requests;
        aggregate.failures += arrivals.unanswered;
    }

    /// When the next delivery is due; `None` if there is nothing to deliver.
    pub fn next_delivery(&self) -> Option<Duration> {
        self.next_delivery
    }

    /// Appends the sums that are due by `now` to `events`, oldest first. Sums beyond the limit wait for the next
    /// delivery.
    pub fn deliver(&mut self, now: Duration, events: &mut Vec<Event>) {
        if self.next_delivery.is_none_or(|at| now < at) {
            return;
        }
        for _ in 0..self.max_events {
            let Some(key) = self.delivery_queue.pop_front() else { break };
            let Some(aggregate) = self.aggregates.remove(&key) else { continue };
            events.push(aggregate.into_event(key));
        }
        self.next_delivery = (!self.delivery_queue.is_empty()).then_some(now + self.period);
    }
}

//! Reports add up here by zone and server, and are handed on once a period, so many lines a second at most,
//! the oldest first: the decisions take a report for the sum over the proxies of a zone.

use runloom_controller::{ClassId, Event, ProxyId, ServerId, ZoneId};
use runloom_model::order::{ClassArrivals, ServerOutcomes};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Met(ZoneId, ServerId),
    Came(ProxyId, ClassId),
}

#[derive(Debug, Default)]
struct Aggregate {
    from: Duration,
    to: Duration,
    tries: u64,
    failed: u64,
    /// Seconds of the good tries together.
    took: f64,
    load: Vec<f64>,
}

#[derive(Debug)]
pub struct ReportAggregator {
    period: Duration,
    /// Lines handed on at once, at the most.
    most: usize,
    next: Option<Duration>,
    /// One sum for each key that reports named: servers times zones, and proxies times classes, no more.
    sums: BTreeMap<Key, Aggregate>,
    order: VecDeque<Key>,
}

impl ReportAggregator {
    pub fn new(period: Duration, lines_per_second: f64) -> ReportAggregator {
        let period = period.max(Duration::from_millis(50));
        let most = (lines_per_second * period.as_secs_f64()).max(1.0) as usize;
        ReportAggregator { period, most, next: None, sums: BTreeMap::new(), order: VecDeque::new() }
    }

    fn at(&mut self, key: Key, now: Duration, span: Duration) -> &mut Aggregate {
        self.next.get_or_insert(now + self.period);
        let sum = self.sums.entry(key).or_insert_with(|| {
            self.order.push_back(key);
            Aggregate { from: now.saturating_sub(span), ..Aggregate::default() }
        });
        sum.from = sum.from.min(now.saturating_sub(span));
        sum.to = now;
        sum
    }

    pub fn met(
        &mut self,
        now: Duration,
        zone: ZoneId,
        server: ServerId,
        met: &ServerOutcomes,
        span: Duration,
    ) {
        let sum = self.at(Key::Met(zone, server), now, span);
        let failed = met.failed.min(met.tries);
        sum.tries += met.tries;
        sum.failed += failed;
        sum.took += met.took.as_secs_f64() * (met.tries - failed) as f64;
        if !met.load.is_empty() {
            sum.load.clone_from(&met.load);
        }
    }

    pub fn came(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        class: ClassId,
        came: &ClassArrivals,
        span: Duration,
    ) {
        let sum = self.at(Key::Came(proxy, class), now, span);
        sum.tries += came.queries;
        sum.failed += came.unanswered;
    }

    pub fn due(&self) -> Option<Duration> {
        self.next
    }

    pub fn hand_on(&mut self, now: Duration, happened: &mut Vec<Event>) {
        if self.next.is_none_or(|next| now < next) {
            return;
        }
        for _ in 0..self.most {
            let Some(key) = self.order.pop_front() else { break };
            let Some(sum) = self.sums.remove(&key) else { continue };
            let span = sum.to.saturating_sub(sum.from);
            happened.push(match key {
                Key::Met(zone, server) => {
                    let good = sum.tries - sum.failed;
                    let took = Duration::from_secs_f64(if good > 0 { sum.took / good as f64 } else { 0.0 });
                    Event::OutcomeReport {
                        zone,
                        server,
                        attempts: sum.tries,
                        failures: sum.failed,
                        mean_latency: took,
                        window: span,
                        load: sum.load,
                    }
                }
                Key::Came(proxy, class) => Event::ArrivalReport {
                    proxy,
                    class,
                    requests: sum.tries,
                    unanswered: sum.failed,
                    window: span,
                },
            });
        }
        self.next = (!self.order.is_empty()).then_some(now + self.period);
    }
}

//! The proxy: its route tables, its requests in flight, and the counts that it reports to the planner.

use crate::admission::{Admission, TokenBucket};
use crate::balancer::{draw_weighted, SelectionMethod};
use crate::circuit_breaker::CircuitBreakerConfig;
use crate::endpoint_statistics::{AttemptRecord, Endpoint};
use crate::request::{AttemptOutcome, RejectionReason, Request, RequestAction, RequestId};
use crate::route_tables::{RouteTables, TableEntry};
use nanorand::WyRand;
use runloom_controller::RetryPolicy;
use runloom_model::report::{ClassArrivals, Report};
use runloom_model::traffic_class::ClassSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Limit of requests in flight, which bounds memory: a proxy that has more is falling behind.
pub const MAX_REQUESTS_IN_FLIGHT: usize = 4096;
/// Retry delay for clients whose traffic class has no endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of endpoint selection.
#[derive(Debug, Clone)]
pub struct ProxyConfig {
    /// How an endpoint is selected among the candidates.
    pub selection: SelectionMethod,
    /// When an endpoint that fails stops being a candidate, and for how long.
    pub circuit_breaker: CircuitBreakerConfig,
}

/// Counts of requests and retries since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Attempts after the first one of a request.
    pub retries: u64,
    /// Requests rejected because their class was over its admission rate.
    pub over_admission_rate: u64,
    /// Requests rejected because there was no endpoint for the first attempt.
    pub no_endpoint: u64,
    /// Requests that were sent to an endpoint and did not succeed.
    pub failed: u64,
}

/// Requests of one class since the last report.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivalCounts {
    arrived: u64,
    /// Requests that were admitted and got no successful response.
    unanswered: u64,
}

/// The proxy's state. Times are durations since an origin of the caller's choice; classes are indexes into the list
/// given to [`Proxy::new`].
#[derive(Debug)]
pub struct Proxy {
    config: ProxyConfig,
    classes: Vec<ClassSettings>,
    rng: WyRand,
    tables: RouteTables,
    endpoints: BTreeMap<String, Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    /// Counts since the last report, by class.
    arrivals: Vec<ArrivalCounts>,
    /// Admission, by class.
    token_buckets: Vec<TokenBucket>,
    counts: ProxyCounts,
}

impl Proxy {
    /// Creates a proxy that sends all classes to `static_endpoints`, with equal weights, until a planner publishes
    /// tables.
    pub fn new(
        config: ProxyConfig,
        classes: Vec<ClassSettings>,
        static_endpoints: &[(String, SocketAddr)],
        seed: u64,
    ) -> Proxy {
        let class_names: Vec<String> = classes.iter().map(|class| class.name.clone()).collect();
        Proxy {
            config,
            tables: RouteTables::from_static_endpoints(&class_names, static_endpoints),
            arrivals: vec![ArrivalCounts::default(); classes.len()],
            token_buckets: vec![TokenBucket::default(); classes.len()],
            classes,
            rng: WyRand::new_seed(seed),
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            counts: ProxyCounts::default(),
        }
    }

    /// The tables in force.
    pub fn tables(&self) -> &RouteTables {
        &self.tables
    }

    /// Requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Counts of requests and retries since the start.
    pub fn counts(&self) -> ProxyCounts {
        self.counts
    }

    /// Index of the class of this name; `None` if there is no such class.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Puts `tables` in force. Requests in flight keep their endpoint and retry policy.
    pub fn replace_tables(&mut self, tables: RouteTables) {
        self.tables = tables;
        self.remove_unlisted_endpoints();
    }

    /// Forgets endpoints that no table has any more, once they have nothing in flight and nothing to report.
    fn remove_unlisted_endpoints(&mut self) {
        let tables = &self.tables;
        self.endpoints.retain(|server, endpoint| tables.contains(server) || !endpoint.is_idle());
    }

    /// Decides how to handle a request that arrived. `id` must be that of no other request in flight.
    pub fn request_arrived(&mut self, now: Duration, id: RequestId, class: usize) -> RequestAction {
        self.counts.arrived += 1;
        self.arrivals[class].arrived += 1;
        if self.requests.len() >= MAX_REQUESTS_IN_FLIGHT {
            return RequestAction::Reject { reason: RejectionReason::TooManyRequests, retry_after: None };
        }
        if let Admission::Rejected { retry_after } = self.admit(now, class) {
            self.counts.over_admission_rate += 1;
            return RequestAction::Reject { reason: RejectionReason::AdmissionRate, retry_after };
        }
        match self.select(now, class, None) {
            Some(target) => self.send_first_attempt(now, id, class, target),
            None => self.reject_without_endpoint(class),
        }
    }

    fn admit(&mut self, now: Duration, class: usize) -> Admission {
        let limit = self.tables.admission_limit(&self.classes[class].name);
        match limit.and_then(|limit| limit.rate) {
            Some(rate) => self.token_buckets[class].admit(now, rate),
            None => Admission::Admitted,
        }
    }

    fn send_first_attempt(
        &mut self,
        now: Duration,
        id: RequestId,
        class: usize,
        target: TableEntry,
    ) -> RequestAction {
        let deadline = now + self.classes[class].deadline;
        let limit = self.tables.admission_limit(&self.classes[class].name);
        let retry_policy = limit.map_or(RetryPolicy::IfNotExecuted, |limit| limit.retry_policy);
        // The retry policy is fixed here: new tables do not change requests in flight.
        let request = Request::new(class, now, deadline, target.server.clone(), retry_policy);
        self.requests.insert(id, request);
        self.send(target, deadline)
    }

    fn send(&mut self, target: TableEntry, deadline: Duration) -> RequestAction {
        self.endpoints.entry(target.server.clone()).or_default().in_flight += 1;
        RequestAction::Send { server: target.server, address: target.address, deadline }
    }

    fn reject_without_endpoint(&mut self, class: usize) -> RequestAction {
        self.counts.no_endpoint += 1;
        self.arrivals[class].unanswered += 1;
        RequestAction::Reject {
            reason: RejectionReason::NoEndpoint,
            retry_after: Some(NO_ENDPOINT_RETRY_AFTER),
        }
    }

    /// Selects an endpoint for a class, other than the server `excluded`.
    fn select(&mut self, now: Duration, class: usize, excluded: Option<&str>) -> Option<TableEntry> {
        let candidates = self.candidates(now, class, excluded);
        let class_name = &self.classes[class].name;
        let entries = self.tables.entries_with_ejected(class_name);
        let selected = match self.config.selection {
            SelectionMethod::WeightedRandom => draw_weighted(entries, &candidates, &mut self.rng)?,
            SelectionMethod::LeastRequestsOfTwo => {
                let first = draw_weighted(entries, &candidates, &mut self.rng)?;
                let second = draw_weighted(entries, &candidates, &mut self.rng)?;
                let is_second_less_loaded =
                    self.in_flight(&entries[second].server) < self.in_flight(&entries[first].server);
                if is_second_less_loaded {
                    second
                } else {
                    first
                }
            }
            SelectionMethod::RoundRobin => {
                self.tables.table_mut(class_name)?.select_round_robin(&candidates)?
            }
        };
        self.tables.entries_with_ejected(class_name).get(selected).cloned()
    }

    /// Indexes of the entries that may be selected: neither ejected nor `excluded`, and with a circuit breaker that is
    /// not open. If all breakers are open, they are disregarded.
    fn candidates(&self, now: Duration, class: usize, excluded: Option<&str>) -> Vec<usize> {
        let class_name = &self.classes[class].name;
        let entries = self.tables.entries_with_ejected(class_name);
        let is_selectable = |index: &usize| {
            let server = entries[*index].server.as_str();
            Some(server) != excluded && !self.tables.is_ejected(server)
        };
        let selectable: Vec<usize> = (0..entries.len()).filter(is_selectable).collect();
        let is_closed = |index: &usize| !self.is_breaker_open(now, &entries[*index].server);
        let closed: Vec<usize> = selectable.iter().copied().filter(is_closed).collect();
        if closed.is_empty() {
            selectable
        } else {
            closed
        }
    }

    fn is_breaker_open(&self, now: Duration, server: &str) -> bool {
        self.endpoints.get(server).is_some_and(|endpoint| endpoint.circuit_breaker.is_open(now))
    }

    fn in_flight(&self, server: &str) -> u32 {
        self.endpoints.get(server).map_or(0, |endpoint| endpoint.in_flight)
    }

    /// Decides what follows an attempt that ended; `None` if the request was cancelled before.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        id: RequestId,
        outcome: AttemptOutcome,
    ) -> Option<RequestAction> {
        let mut request = self.requests.remove(&id)?;
        let class = &self.classes[request.class];
        let retry_safety = class.retry_safety;
        let is_success = outcome.is_success();
        let attempt = AttemptRecord {
            class: request.class,
            is_success,
            within_objective: is_success && now <= request.arrived_at + class.latency_objective,
            latency: now.saturating_sub(request.attempt_started_at),
            load: outcome.load(),
        };
        self.record_attempt(now, &request.server, &attempt);
        if request.may_retry(now, &outcome, retry_safety) {
            if let Some(target) = self.select(now, request.class, Some(&request.server)) {
                request.retry(now, target.server.clone());
                let deadline = request.deadline;
                self.requests.insert(id, request);
                self.counts.retries += 1;
                return Some(self.send(target, deadline));
            }
        }
        if is_success {
            self.counts.succeeded += 1;
            return Some(RequestAction::Respond);
        }
        self.count_failure(request.class);
        Some(RequestAction::Reject { reason: outcome.rejection_reason(), retry_after: None })
    }

    /// Ends a request whose client disconnected or whose deadline passed. Its attempt in flight counts as failed.
    pub fn cancel_request(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let attempt = AttemptRecord {
            class: request.class,
            is_success: false,
            within_objective: false,
            latency: now.saturating_sub(request.attempt_started_at),
            load: &[],
        };
        self.record_attempt(now, &request.server, &attempt);
        self.count_failure(request.class);
    }

    fn record_attempt(&mut self, now: Duration, server: &str, attempt: &AttemptRecord) {
        let endpoint = self.endpoints.entry(server.to_string()).or_default();
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.statistics.record(attempt);
        if attempt.is_success {
            endpoint.circuit_breaker.record_success();
        } else {
            endpoint.circuit_breaker.record_failure(now, &self.config.circuit_breaker);
        }
    }

    fn count_failure(&mut self, class: usize) {
        self.counts.failed += 1;
        self.arrivals[class].unanswered += 1;
    }

    /// Returns the counts since the last report, `window` ago, and resets them.
    pub fn take_report(&mut self, window: Duration) -> Report {
        let classes = &self.classes;
        let outcomes = self
            .endpoints
            .iter_mut()
            .filter_map(|(server, endpoint)| endpoint.statistics.take_report(server, classes))
            .collect();
        let arrivals = classes.iter().zip(&mut self.arrivals).map(|(class, counts)| {
            let counts = std::mem::take(counts);
            ClassArrivals {
                class: class.name.clone(),
                requests: counts.arrived,
                unanswered: counts.unanswered,
            }
        });
        let report = Report { window, outcomes, arrivals: arrivals.collect() };
        self.remove_unlisted_endpoints();
        report
    }
}

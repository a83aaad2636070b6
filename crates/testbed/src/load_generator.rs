//! The clients: requests with unique keys arrive at the proxies as a Poisson process, and are retried once where that
//! is safe.

use rand::rngs::StdRng;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use runloom_daemon::http::{serialize_request, Message, MessageReader};
use runloom_event_loop::{ConnectionId, ConnectionLimits, EventLoop, Security};
use runloom_model::traffic_class::{ClassSettings, RetrySafety};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A traffic class of the clients' requests.
#[derive(Debug, Clone, Copy)]
pub struct ClientClass {
    /// The class's name in the settings, and the first segment of its requests' paths.
    pub name: &'static str,
    /// The value of a request that is answered within the latency objective.
    pub priority_weight: f64,
    /// Time within which a response has its full value.
    pub latency_objective: Duration,
    /// Time after which a response has no value.
    pub deadline: Duration,
    /// Whether a request may run a second time.
    pub is_repeatable: bool,
    /// Share (0 to 1) of all requests that are of this class.
    pub share: f64,
}

impl ClientClass {
    /// Converts the class to the form of planner and proxy settings.
    pub fn to_settings(&self) -> ClassSettings {
        ClassSettings {
            name: self.name.into(),
            priority_weight: self.priority_weight,
            latency_objective: self.latency_objective,
            deadline: self.deadline,
            retry_safety: if self.is_repeatable { RetrySafety::Safe } else { RetrySafety::Unsafe },
        }
    }

    /// The value of a response that took `latency`.
    fn response_value(&self, latency: Duration) -> f64 {
        if latency <= self.latency_objective {
            self.priority_weight
        } else if latency <= self.deadline {
            self.priority_weight * LATE_RESPONSE_VALUE
        } else {
            0.0
        }
    }
}

/// The traffic classes of the clients' requests; their shares add up to 1.
pub const CLASSES: [ClientClass; 3] = [
    ClientClass {
        name: "search",
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(750),
        deadline: Duration::from_millis(2500),
        is_repeatable: true,
        share: 0.5,
    },
    ClientClass {
        name: "shelf",
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(1200),
        deadline: Duration::from_millis(4000),
        is_repeatable: true,
        share: 0.25,
    },
    ClientClass {
        name: "loan-checkout",
        priority_weight: 2.0,
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_millis(1500),
        is_repeatable: false,
        share: 0.25,
    },
];

/// Value of a response after its latency objective and before its deadline, as a share of the priority weight.
const LATE_RESPONSE_VALUE: f64 = 0.1;
/// Idle connections that clients keep to one proxy.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time from a failure until the request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest time between two arrivals, in seconds.
const MAX_ARRIVAL_GAP_SECONDS: f64 = 60.0;
/// Exponent by which requests are distributed unequally: a value above 1 gives proxies with low indices far more
/// requests than the others, as happens when clients differ in load.
const PROXY_SKEW_EXPONENT: f64 = 1.5;

#[derive(Debug, Clone)]
struct ClientRequest {
    class: usize,
    key: String,
    proxy: usize,
    arrived_at: Duration,
    is_retry: bool,
}

struct ClientConnection {
    proxy: usize,
    reader: MessageReader,
    request: Option<ClientRequest>,
}

/// Totals of the requests so far.
#[derive(Debug, Clone, Default)]
pub struct ClientTotals {
    /// Number of requests, without retries.
    pub requests: u64,
    /// Number of requests that were answered successfully.
    pub succeeded: u64,
    /// Number of requests that were answered successfully within their latency objective.
    pub within_objective: u64,
    /// The value of all requests, if each were answered within its latency objective.
    pub value_offered: f64,
    /// The value of the responses that were received.
    pub value_earned: f64,
    /// Number of failed attempts, by cause.
    pub failures: BTreeMap<String, u64>,
    /// Latencies of successful requests in microseconds, from the arrival of the first attempt.
    pub latencies_us: Vec<u32>,
}

/// All clients, on one event loop.
pub struct LoadGenerator {
    proxies: Vec<SocketAddr>,
    request_rate: f64,
    /// Factor on the request rate; 1 unless a surge is under way.
    pub surge_factor: f64,
    next_arrival: Duration,
    last_key: u64,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    idle: Vec<Vec<ConnectionId>>,
    retries: VecDeque<(Duration, ClientRequest)>,
    /// Totals since the start.
    pub totals: ClientTotals,
    /// Whether new requests arrive; retries are sent in any case.
    pub is_sending: bool,
}

impl LoadGenerator {
    /// Creates clients of the given proxies, with `request_rate` requests per second over all of them. They send
    /// nothing before [`LoadGenerator::start`].
    pub fn new(proxies: Vec<SocketAddr>, request_rate: f64) -> LoadGenerator {
        LoadGenerator {
            idle: vec![vec![]; proxies.len()],
            proxies,
            request_rate,
            surge_factor: 1.0,
            next_arrival: Duration::ZERO,
            last_key: 0,
            connections: BTreeMap::new(),
            retries: VecDeque::new(),
            totals: ClientTotals::default(),
            is_sending: false,
        }
    }

    /// Starts sending; the first request arrives at `now`.
    pub fn start(&mut self, now: Duration) {
        self.is_sending = true;
        self.next_arrival = now;
    }

    fn has_arrivals(&self) -> bool {
        self.is_sending && self.request_rate > 0.0
    }

    /// When the next request or retry is due.
    pub fn next_deadline(&self) -> Option<Duration> {
        let retry = self.retries.front().map(|(at, _)| *at);
        let arrival = self.has_arrivals().then_some(self.next_arrival);
        [retry, arrival].into_iter().flatten().min()
    }

    /// Whether a connection belongs to a client.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Sends the requests and retries that are due.
    pub fn poll(&mut self, event_loop: &mut EventLoop, rng: &mut StdRng) {
        let now = event_loop.now();
        while self.has_arrivals() && self.next_arrival <= now {
            let request = self.draw_request(now, rng);
            self.send(event_loop, request);
        }
        while self.retries.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, request)) = self.retries.pop_front() else { break };
            self.send(event_loop, request);
        }
    }

    /// Draws the request that arrives now, and the arrival time of the next one.
    fn draw_request(&mut self, now: Duration, rng: &mut StdRng) -> ClientRequest {
        let gap = Exp::new(self.request_rate * self.surge_factor).map_or(1.0, |d| d.sample(rng));
        self.next_arrival += Duration::from_secs_f64(gap.min(MAX_ARRIVAL_GAP_SECONDS));
        let class = draw_class(rng);
        let position = rng.random::<f64>().powf(PROXY_SKEW_EXPONENT);
        let proxy = (position * self.proxies.len() as f64) as usize;
        self.last_key += 1;
        let key = format!("k{}", self.last_key);
        self.totals.requests += 1;
        self.totals.value_offered += CLASSES[class].priority_weight;
        ClientRequest { class, key, proxy, arrived_at: now, is_retry: false }
    }

    fn send(&mut self, event_loop: &mut EventLoop, request: ClientRequest) {
        let Some(conn) = self.take_connection(event_loop, request.proxy) else {
            return self.handle_failure(event_loop.now(), request, "connect");
        };
        let path = format!("/{}/{}", CLASSES[request.class].name, request.key);
        let message = Message { method: "POST".into(), path, ..Message::default() };
        event_loop.write(conn, &serialize_request(&message));
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.request = Some(request);
        }
    }

    /// Returns an idle connection to a proxy, or opens one; `None` if that fails.
    fn take_connection(&mut self, event_loop: &mut EventLoop, proxy: usize) -> Option<ConnectionId> {
        if let Some(conn) = self.idle[proxy].pop() {
            return Some(conn);
        }
        let address = self.proxies[proxy];
        let conn = event_loop.dial(address, &Security::Plain, ConnectionLimits::default()).ok()?;
        let connection = ClientConnection { proxy, reader: MessageReader::responses(), request: None };
        self.connections.insert(conn, connection);
        Some(conn)
    }

    /// Handles bytes that a connection received.
    pub fn handle_bytes(&mut self, event_loop: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.reader.push(bytes);
        let Ok(Some(response)) = connection.reader.next_message() else { return };
        let Some(request) = connection.request.take() else { return };
        let proxy = connection.proxy;
        if self.idle[proxy].len() < MAX_IDLE_CONNECTIONS {
            self.idle[proxy].push(conn);
        } else {
            self.connections.remove(&conn);
            event_loop.abort(conn);
        }
        if response.code == 200 {
            self.record_success(event_loop.now(), &request);
        } else {
            let cause = response.header("runloom-refused").unwrap_or("server").to_string();
            self.handle_failure(event_loop.now(), request, &cause);
        }
    }

    fn record_success(&mut self, now: Duration, request: &ClientRequest) {
        let class = &CLASSES[request.class];
        let latency = now.saturating_sub(request.arrived_at);
        let microseconds = latency.as_micros().min(u128::from(u32::MAX)) as u32;
        self.totals.succeeded += 1;
        self.totals.latencies_us.push(microseconds);
        self.totals.within_objective += u64::from(latency <= class.latency_objective);
        self.totals.value_earned += class.response_value(latency);
    }

    /// Handles the end of a connection; a request in progress on it has failed.
    pub fn handle_closed(&mut self, event_loop: &mut EventLoop, conn: ConnectionId) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        self.idle[connection.proxy].retain(|idle| *idle != conn);
        if let Some(request) = connection.request {
            self.handle_failure(event_loop.now(), request, "broken");
        }
    }

    /// Counts a failed attempt, and schedules one retry of the request where that is safe.
    fn handle_failure(&mut self, now: Duration, request: ClientRequest, cause: &str) {
        *self.totals.failures.entry(cause.to_string()).or_default() += 1;
        if CLASSES[request.class].is_repeatable && !request.is_retry {
            self.retries.push_back((now + RETRY_DELAY, ClientRequest { is_retry: true, ..request }));
        }
    }
}

/// Draws the index of a class, with the classes' shares as probabilities.
fn draw_class(rng: &mut StdRng) -> usize {
    let draw: f64 = rng.random();
    let mut cumulative_share = 0.0;
    let class = CLASSES.iter().position(|class| {
        cumulative_share += class.share;
        draw < cumulative_share
    });
    class.unwrap_or(0)
}

//! Fake servers: each has cores that process requests, a bounded queue, a cold start and injected faults, and records
//! which proxy sent each request.

use rand::rngs::StdRng;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use runloom_daemon::http::{serialize_response, Message, MessageReader};
use runloom_event_loop::{ConnectionId, ConnectionLimits, EventLoop, Security};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Share (0 to 1) of its full capacity with which a cold server starts.
pub const INITIAL_CAPACITY: f64 = 0.2;
/// Requests that may be queued at a server; further ones are rejected.
const MAX_QUEUED_REQUESTS: usize = 64;
/// A cold server fails when it receives more than this many times its current capacity within [`OVERLOAD_WINDOW`].
const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// Requests beyond the overload limit that a server tolerates, since requests arrive one by one.
const OVERLOAD_SLACK_REQUESTS: f64 = 3.0;
/// The share of requests that are expensive while [`FakeServer::expensive_request_factor`] is above 1.
const EXPENSIVE_REQUEST_SHARE: f64 = 0.02;
/// Parameters of the log-normal factor on service times: mean 1, coefficient of variation 0.4.
const SERVICE_TIME_MU: f64 = -0.075;
const SERVICE_TIME_SIGMA: f64 = 0.387;
/// Bounds of one request's service time, as multiples of the mean.
const MIN_SERVICE_TIME_FACTOR: f64 = 0.01;
const MAX_SERVICE_TIME_FACTOR: f64 = 1000.0;
/// Weight of a new sample in the moving average of the utilization, per second since the last poll (one second at
/// most), and the lower bound of that weight.
const UTILIZATION_WEIGHT_PER_SECOND: f64 = 0.5;
const MIN_UTILIZATION_WEIGHT: f64 = 0.05;
/// Time after which idle connections are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The traffic class whose requests must not take effect twice.
const UNREPEATABLE_CLASS: &str = "loan-checkout";

/// How a server handles requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerBehavior {
    /// Answers them after their service time.
    Normal,
    /// Accepts them and never answers.
    Hanging,
    /// Never answers, and reads nothing from new connections, as if its machine were unreachable.
    Unreachable,
    /// Answers this share (0 to 1) of them with an error immediately.
    Failing(f64),
}

impl ServerBehavior {
    fn answers(self) -> bool {
        !matches!(self, ServerBehavior::Hanging | ServerBehavior::Unreachable)
    }
}

/// A request that a server received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// When it arrived, on the event loop's clock.
    pub at: Duration,
    /// Name of the proxy that sent it; empty if the request does not say.
    pub proxy: String,
}

struct Job {
    conn: ConnectionId,
    key: String,
    class: String,
}

struct RunningJob {
    ends_at: Duration,
    job: Job,
}

/// One server, which keeps its name and address when its process is restarted.
pub struct FakeServer {
    /// The name in the endpoint list.
    pub name: String,
    /// The zone in which it runs.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// `None` while its process does not run.
    listener: Option<ConnectionId>,
    /// How it handles requests.
    pub behavior: ServerBehavior,
    /// Factor on the service time of each request; 1 if it is not slowed down.
    pub slowdown: f64,
    /// Factor on the service time of expensive requests; at 1 no request is expensive.
    pub expensive_request_factor: f64,
    /// When its process started, on the event loop's clock.
    pub started_at: Duration,
    /// Whether its process started cold, as one that starts during the scenario does.
    pub has_cold_start: bool,
    /// When it failed because it was overloaded while cold, after which it does not start again; `None` if it did not.
    pub overloaded_at: Option<Duration>,
    readers: BTreeMap<ConnectionId, MessageReader>,
    running: Vec<RunningJob>,
    queue: VecDeque<Job>,
    /// Arrival times of the requests within the overload window.
    recent_arrivals: VecDeque<Duration>,
    /// Requests that [`FakeServer::take_received`] has not returned yet.
    pub received: Vec<ReceivedRequest>,
    utilization_updated_at: Duration,
    utilization: f64,
}

impl FakeServer {
    fn new(id: usize, zone: &str, listener: ConnectionId, address: SocketAddr) -> FakeServer {
        FakeServer {
            name: format!("s{id}"),
            zone: zone.to_string(),
            address,
            listener: Some(listener),
            behavior: ServerBehavior::Normal,
            slowdown: 1.0,
            expensive_request_factor: 1.0,
            started_at: Duration::ZERO,
            has_cold_start: false,
            overloaded_at: None,
            readers: BTreeMap::new(),
            running: vec![],
            queue: VecDeque::new(),
            recent_arrivals: VecDeque::new(),
            received: vec![],
            utilization_updated_at: Duration::ZERO,
            utilization: 0.0,
        }
    }

    /// Ends all injected faults.
    pub fn clear_faults(&mut self) {
        self.behavior = ServerBehavior::Normal;
        self.slowdown = 1.0;
        self.expensive_request_factor = 1.0;
    }

    /// Returns the requests that arrived since the last call.
    pub fn take_received(&mut self) -> Vec<ReceivedRequest> {
        std::mem::take(&mut self.received)
    }

    /// The share (0 to 1) of its full capacity that a server has at its age, which grows linearly after a cold start.
    fn capacity_share(&self, warm_up: Duration, now: Duration) -> f64 {
        if !self.has_cold_start {
            return 1.0;
        }
        let progress = now.saturating_sub(self.started_at).as_secs_f64() / warm_up.as_secs_f64().max(0.001);
        (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * progress).min(1.0)
    }

    /// Counts a request, and returns whether it overloads the server while it is cold.
    fn is_overloaded_by_request(&mut self, capacity: &ServerCapacity, now: Duration) -> bool {
        if !self.has_cold_start {
            return false;
        }
        self.recent_arrivals.push_back(now);
        while self.recent_arrivals.front().is_some_and(|at| *at + OVERLOAD_WINDOW < now) {
            self.recent_arrivals.pop_front();
        }
        let service_seconds = capacity.service_time.as_secs_f64();
        let received_seconds: f64 = self.recent_arrivals.iter().map(|_| service_seconds).sum();
        let share = self.capacity_share(capacity.warm_up, now);
        let limit_seconds = OVERLOAD_MULTIPLE * share * capacity.cores as f64 * OVERLOAD_WINDOW.as_secs_f64();
        share < 1.0 && received_seconds > limit_seconds + OVERLOAD_SLACK_REQUESTS * service_seconds
    }

    /// Draws the service time of a request that starts now.
    fn draw_service_time(&self, capacity: &ServerCapacity, now: Duration, rng: &mut StdRng) -> Duration {
        let is_expensive =
            self.expensive_request_factor > 1.0 && rng.random::<f64>() < EXPENSIVE_REQUEST_SHARE;
        let cost_factor = if is_expensive { self.expensive_request_factor } else { 1.0 };
        let random_factor =
            LogNormal::new(SERVICE_TIME_MU, SERVICE_TIME_SIGMA).map_or(1.0, |d| d.sample(rng));
        let factor = random_factor * self.slowdown * cost_factor / self.capacity_share(capacity.warm_up, now);
        capacity.service_time.mul_f64(factor.clamp(MIN_SERVICE_TIME_FACTOR, MAX_SERVICE_TIME_FACTOR))
    }

    /// Removes and returns a finished job; `None` if there is none.
    fn take_finished(&mut self, now: Duration) -> Option<Job> {
        let position = self.running.iter().position(|running| running.ends_at <= now)?;
        Some(self.running.swap_remove(position).job)
    }

    fn update_utilization(&mut self, elapsed: Duration, cores: usize) {
        let weight = elapsed.as_secs_f64().min(1.0) * UTILIZATION_WEIGHT_PER_SECOND;
        let busy_share = self.running.len() as f64 / cores as f64;
        self.utilization += (busy_share - self.utilization) * weight.max(MIN_UTILIZATION_WEIGHT);
    }

    /// The load report that each response with status 200 carries: requests running or queued, and utilization.
    fn load_headers(&self) -> Vec<(String, String)> {
        let unfinished = self.running.len() + self.queue.len();
        vec![("runloom-load".into(), format!("{unfinished},{:.3}", self.utilization))]
    }
}

/// Service time and capacity, which are the same for all servers.
#[derive(Debug, Clone, Copy)]
pub struct ServerCapacity {
    /// Mean time for which a request occupies one core.
    pub service_time: Duration,
    /// Number of requests that run at the same time.
    pub cores: usize,
    /// Time from a cold start to full capacity.
    pub warm_up: Duration,
}

/// All servers, on one event loop.
pub struct FakeServers {
    /// The servers by index; a stopped one keeps its place.
    pub all: Vec<FakeServer>,
    connections: BTreeMap<ConnectionId, usize>,
    capacity: ServerCapacity,
    /// Number of times that each key of [`UNREPEATABLE_CLASS`] took effect.
    effects: BTreeMap<String, u32>,
}

impl FakeServers {
    /// Creates an empty set, to which [`FakeServers::add`] adds servers of this capacity.
    pub fn new(capacity: ServerCapacity) -> FakeServers {
        FakeServers { all: vec![], connections: BTreeMap::new(), capacity, effects: BTreeMap::new() }
    }

    /// Starts a new server on a free port and returns its index.
    ///
    /// # Errors
    /// Returns the cause if no socket can be opened.
    pub fn add(&mut self, event_loop: &mut EventLoop, zone: &str, has_cold_start: bool) -> io::Result<usize> {
        let (listener, address) = listen(event_loop, SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let id = self.all.len();
        self.connections.insert(listener, id);
        let mut server = FakeServer::new(id, zone, listener, address);
        server.started_at = event_loop.now();
        server.utilization_updated_at = event_loop.now();
        server.has_cold_start = has_cold_start;
        self.all.push(server);
        Ok(id)
    }

    /// Stops a server's process: its connections are reset, and its running and queued requests are lost.
    pub fn stop(&mut self, event_loop: &mut EventLoop, id: usize) {
        let server = &mut self.all[id];
        for conn in std::mem::take(&mut server.readers).into_keys() {
            self.connections.remove(&conn);
            event_loop.abort(conn);
        }
        server.running.clear();
        server.queue.clear();
        if let Some(listener) = server.listener.take() {
            self.connections.remove(&listener);
            event_loop.close_listener(listener);
        }
    }

    /// Starts a stopped server cold, under the same name and address and without faults. One that was overloaded stays
    /// stopped; one that runs is left alone.
    ///
    /// # Errors
    /// Returns the cause if its address cannot be listened on.
    pub fn start(&mut self, event_loop: &mut EventLoop, id: usize) -> io::Result<()> {
        let server = &mut self.all[id];
        if server.listener.is_some() || server.overloaded_at.is_some() {
            return Ok(());
        }
        let (listener, _) = listen(event_loop, server.address)?;
        self.connections.insert(listener, id);
        server.listener = Some(listener);
        server.started_at = event_loop.now();
        server.has_cold_start = true;
        server.clear_faults();
        server.recent_arrivals.clear();
        Ok(())
    }

    /// Whether a server's process runs.
    pub fn is_up(&self, id: usize) -> bool {
        self.all[id].listener.is_some()
    }

    /// Whether a server's process runs at its full capacity.
    pub fn is_warm(&self, id: usize, now: Duration) -> bool {
        self.is_up(id) && self.all[id].capacity_share(self.capacity.warm_up, now) >= 1.0
    }

    /// Whether a connection or listener belongs to a server.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Registers a connection that a server's listener accepted.
    pub fn handle_open(&mut self, event_loop: &mut EventLoop, conn: ConnectionId, listener: ConnectionId) {
        let Some(id) = self.connections.get(&listener).copied() else { return };
        if self.all[id].behavior == ServerBehavior::Unreachable {
            // The kernel has accepted the connection already; its data stays unread.
            event_loop.pause_reading(conn, true);
        }
        self.connections.insert(conn, id);
        self.all[id].readers.insert(conn, MessageReader::requests());
    }

    /// Forgets a connection that ended.
    pub fn handle_closed(&mut self, conn: ConnectionId) {
        if let Some(id) = self.connections.remove(&conn) {
            self.all[id].readers.remove(&conn);
        }
    }

    /// Handles bytes that a connection received.
    pub fn handle_bytes(
        &mut self,
        event_loop: &mut EventLoop,
        conn: ConnectionId,
        bytes: &[u8],
        rng: &mut StdRng,
    ) {
        let Some(id) = self.connections.get(&conn).copied() else { return };
        let Some(reader) = self.all[id].readers.get_mut(&conn) else { return };
        reader.push(bytes);
        while let Some(Ok(Some(request))) =
            self.all[id].readers.get_mut(&conn).map(MessageReader::next_message)
        {
            if request.path == "/health" {
                self.answer_health_check(event_loop, id, conn);
            } else {
                self.handle_request(event_loop, id, conn, &request, rng);
            }
        }
    }

    fn answer_health_check(&self, event_loop: &mut EventLoop, id: usize, conn: ConnectionId) {
        let server = &self.all[id];
        if server.behavior.answers() {
            event_loop.write(conn, &serialize_response(200, &server.load_headers(), b"well\n"));
        }
    }

    fn handle_request(
        &mut self,
        event_loop: &mut EventLoop,
        id: usize,
        conn: ConnectionId,
        request: &Message,
        rng: &mut StdRng,
    ) {
        let now = event_loop.now();
        let server = &mut self.all[id];
        let proxy = request.header("runloom-proxy").unwrap_or_default().to_string();
        server.received.push(ReceivedRequest { at: now, proxy });
        if server.is_overloaded_by_request(&self.capacity, now) {
            server.overloaded_at = Some(now);
            return self.stop(event_loop, id);
        }
        match server.behavior {
            ServerBehavior::Hanging | ServerBehavior::Unreachable => return,
            ServerBehavior::Failing(share) if rng.random::<f64>() < share => {
                return event_loop.write(conn, &serialize_response(500, &[], b""));
            }
            _ => {}
        }
        let mut segments = request.path.split('/').skip(1).map(str::to_string);
        let class = segments.next().unwrap_or_default();
        let key = segments.next().unwrap_or_default();
        let job = Job { conn, key, class };
        if server.running.len() < self.capacity.cores {
            self.start_job(id, now, job, rng);
        } else if server.queue.len() < MAX_QUEUED_REQUESTS {
            server.queue.push_back(job);
        } else {
            // The header tells the proxy that the request was not started, and may be sent to another server.
            event_loop
                .write(conn, &serialize_response(503, &[("runloom-turned-away".into(), "1".into())], b""));
        }
    }

    fn start_job(&mut self, id: usize, now: Duration, job: Job, rng: &mut StdRng) {
        if job.class == UNREPEATABLE_CLASS {
            *self.effects.entry(job.key.clone()).or_default() += 1;
        }
        let server = &mut self.all[id];
        let ends_at = now + server.draw_service_time(&self.capacity, now, rng);
        server.running.push(RunningJob { ends_at, job });
    }

    /// When the next running request finishes; `None` if none runs.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.all.iter().flat_map(|server| server.running.iter().map(|running| running.ends_at)).min()
    }

    /// Answers requests that have finished, and starts queued ones.
    pub fn poll(&mut self, event_loop: &mut EventLoop, rng: &mut StdRng) {
        let now = event_loop.now();
        for id in 0..self.all.len() {
            let elapsed = now.saturating_sub(self.all[id].utilization_updated_at);
            self.all[id].utilization_updated_at = now;
            while let Some(job) = self.all[id].take_finished(now) {
                let server = &mut self.all[id];
                server.update_utilization(elapsed, self.capacity.cores);
                if server.behavior.answers() {
                    event_loop.write(job.conn, &serialize_response(200, &server.load_headers(), b"done\n"));
                }
                if let Some(next) = server.queue.pop_front() {
                    self.start_job(id, now, next, rng);
                }
            }
        }
    }

    /// Number of keys that took effect more than once, among those of requests that must not run twice.
    pub fn duplicated_effects(&self) -> usize {
        self.effects.values().filter(|count| **count > 1).count()
    }
}

fn listen(event_loop: &mut EventLoop, address: SocketAddr) -> io::Result<(ConnectionId, SocketAddr)> {
    let limits = ConnectionLimits { idle_timeout: Some(IDLE_TIMEOUT), ..ConnectionLimits::default() };
    event_loop.listen(address, Security::Plain, limits)
}

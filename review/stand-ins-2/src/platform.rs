//! A small platform for `runloom platform`: a discovery agent, servers that answer probes, proxies, collectors and the
//! rules on sockets, all on loopback and on the real clock.
//!
//! The requests themselves are counted, not sent: a planner on the platform never sees them. A proxy draws a server
//! from its table for each, and the collectors report what the servers did with them.

use crate::process::{Folder, Process};
use crate::record::Record;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Slack that the protocol page adds to the time limits.
const SLACK: f64 = 0.3;
const TICK: Duration = Duration::from_millis(4);
/// Time between two counts of requests.
const TRAFFIC_INTERVAL: f64 = 0.05;
/// Longest time from a change of the list until it counts as told.
const TOLD_AT_LATEST: f64 = 6.0;

/// Random numbers from a seed (splitmix64).
#[derive(Debug, Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }
}

/// The figures of a deployment.
#[derive(Debug, Clone)]
pub struct Site {
    pub zones: Vec<String>,
    /// Names of the classes, and whether a class may only go to the proxy's zone.
    pub classes: Vec<(String, bool)>,
    pub proxies: usize,
    pub planners: usize,
    pub lines_per_second: f64,
    pub backlog: f64,
    pub head: f64,
    /// Messages that one proxy may be sent in 10 s; 0 for no limit.
    pub messages_most: usize,
    pub drain_grace: f64,
    pub unserved_most: f64,
    pub cold_from: f64,
    pub warm_after: f64,
    pub fall_multiple: f64,
    pub fall_seconds: f64,
    pub level_kind: &'static str,
    pub requests_per_second: f64,
    /// Requests per second that a warm server of size 1 can do.
    pub server_capacity: f64,
    pub local_first: bool,
    pub transit: (f64, f64),
}

impl Site {
    /// As valle-lending's settings.
    pub fn valle() -> Site {
        Site {
            zones: ["san-jose", "heredia", "alajuela", "cartago"].map(String::from).to_vec(),
            classes: vec![
                ("title-search".into(), false),
                ("my-shelf".into(), false),
                ("loan-checkout".into(), false),
            ],
            proxies: 16,
            planners: 2,
            lines_per_second: 2500.0,
            backlog: 3750.0,
            head: 4.0,
            messages_most: 0,
            drain_grace: 2.0,
            unserved_most: 2.8,
            cold_from: 0.16,
            warm_after: 15.0,
            fall_multiple: 4.0,
            fall_seconds: 2.0,
            level_kind: "none",
            requests_per_second: 100.0,
            server_capacity: 10.0,
            local_first: true,
            transit: (0.1, 0.39),
        }
    }

    pub fn settings(&self) -> Value {
        let classes: Vec<Value> = self
            .classes
            .iter()
            .enumerate()
            .map(|(index, (name, _))| {
                let is_last = index + 1 == self.classes.len();
                json!({"name": name, "aimS": 0.75, "credit": if is_last { 2.0 } else { 1.0 }, "group": "all",
                    "hardLimitS": 2.5, "lateWorth": 0.1, "repeat": if is_last { "once" } else { "repeatable" },
                    "windowS": 5.0})
            })
            .collect();
        json!({"balancers": self.planners, "classes": classes,
            "familyInfo": {"backlog": self.backlog, "bufferForS": 0.3, "channelRate": self.lines_per_second,
                "choice": "pair", "classWrites": vec![false; self.classes.len()], "connsLeast": 161.0,
                "defaultSize": 6, "exclusive": false, "failsToEject": 3, "hearsPerS": 60.0,
                "homeOnly": self.classes.iter().map(|(_, home)| *home).collect::<Vec<bool>>(),
                "lateMostS": 0.9275, "leaseS": 2.5, "levelKind": self.level_kind, "lingersS": 1.52,
                "localFirst": self.local_first, "messagesOverS": 10.0, "movePrice": 0.01, "overhead": self.head,
                "periodS": 1.0, "proxies": self.proxies, "pushPrice": 0.04, "ranges": 0,
                "reloadsMax": self.messages_most, "retryDefault": 1, "transitS": 0.25, "tryAims": 1.2,
                "unservedMaxS": self.unserved_most, "warmKeys": false},
            "flavors": ["two-core"], "limits": {"connIdleS": 15.0, "connectTimeoutS": 0.25, "cpuUsPerS": 738318,
                "peers": false, "probing": true, "streamsPerConn": 100},
            "myZone": self.zones[0], "registryMode": "automatic",
            "rules": {"askEveryS": 10.0, "coldFrom": self.cold_from, "drainGraceS": self.drain_grace,
                "fallMultiple": self.fall_multiple, "fallS": self.fall_seconds, "warmAfterS": self.warm_after},
            "selfIndex": 0, "stats": {"fields": ["q", "lat_ms"], "how": "answers"}, "tickS": 0.002,
            "weightSource": "rough", "workload": "control", "worthBy": "request", "zones": self.zones})
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Serving,
    Draining,
    Deleted,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Deleted => "DELETED",
        }
    }
}

/// What really happens at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    Working,
    /// Takes requests and answers none.
    Hanging,
    /// The process is gone: connections are refused.
    Dead,
}

struct Server {
    id: String,
    zone: usize,
    condition: Condition,
    /// When it started, on the record's clock; `None` for long ago.
    started: Option<f64>,
    listed: Phase,
    listener: Option<TcpListener>,
    address: SocketAddr,
    probes: Vec<(TcpStream, Vec<u8>)>,
    /// Requests since the last report, by zone of the proxy: all, failed.
    counts: BTreeMap<usize, (u64, u64)>,
    /// Times of the requests of the last seconds that counted for the rule on cold servers.
    recent: VecDeque<f64>,
    /// When the planner was told of this start.
    start_told: Option<f64>,
    /// When the planner was told that it drains or is gone.
    drain_told: Option<f64>,
    /// Whether the list had it from the beginning.
    is_initial: bool,
}

/// A change of the list that the agent holds.
struct Change {
    revision: u64,
    made_at: f64,
    server: usize,
    phase: Phase,
    told_at: Option<f64>,
}

struct Watch {
    stream: TcpStream,
    input: Vec<u8>,
    /// The revision that was sent; `None` before the request.
    sent: Option<u64>,
    last_sent_at: f64,
}

#[derive(Debug, Clone, Default)]
struct Table {
    rows: BTreeMap<String, f64>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Link {
    /// Dials again at this time.
    Waiting(f64),
    Open,
}

struct ProxyState {
    zone: usize,
    rate: f64,
    link: Link,
    stream: Option<TcpStream>,
    input: Vec<u8>,
    joined_at: Option<f64>,
    /// Whether the planner ended the stream, so that the limits go on.
    ended_by_planner: bool,
    /// Tables by class.
    tables: Vec<Table>,
    /// Parts of a message that is not complete.
    parts: Vec<Value>,
    /// Messages on their way: when each is applied.
    pending: VecDeque<(f64, Vec<Value>, f64)>,
    /// When messages were written, for the limit.
    messages: VecDeque<f64>,
    bare_since: Vec<Option<f64>>,
    fraction: f64,
    requests: u64,
    holds_table: bool,
    /// A machine that is cut off neither reads nor sends.
    pub is_cut: bool,
}

/// A rule that was broken.
#[derive(Debug, Clone)]
pub struct Broken {
    pub rule: &'static str,
    pub what: String,
}

pub struct Platform {
    pub site: Site,
    pub record: Record,
    pub random: Random,
    folder: Folder,
    servers: Vec<Server>,
    changes: Vec<Change>,
    revision: u64,
    agent: TcpListener,
    watches: Vec<Watch>,
    /// While it is down, the agent is silent.
    pub discovery_is_down: bool,
    proxies: Vec<ProxyState>,
    planner: Option<Process>,
    listen: SocketAddr,
    planner_ready_at: Option<f64>,
    collectors: Vec<Option<TcpStream>>,
    collector_dial_at: f64,
    /// Reports on their way: when, to which zone's collector.
    reports: VecDeque<(f64, usize, Value)>,
    next_report: f64,
    next_traffic: f64,
    /// When the last line leaves the channel.
    channel_free_at: f64,
    channel: VecDeque<(f64, f64)>,
    pub most_waiting: f64,
    pub broken: Vec<Broken>,
    starts: u64,
    pub requests: u64,
    pub failures: u64,
    /// Requests that joined proxies sent to a draining or removed server after the grace.
    pub late_sends: u64,
    /// File descriptors that the planner may hold.
    pub sockets: usize,
    /// Share of the answers to marks that arrive spoilt.
    pub spoilt_share: f64,
    /// Bad clients that are connected: since when.
    strangers: Vec<(TcpStream, f64)>,
    /// How long bad clients waited until they were closed or answered.
    pub stranger_waits: Vec<f64>,
}

fn wall_ms_at_start(record: &Record) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
    now - record.now().as_secs_f64() * 1000.0
}

fn frame(value: &Value) -> Vec<u8> {
    let body = value.to_string().into_bytes();
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.set_nonblocking(true).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok((listener, address))
}

impl Platform {
    /// A platform with these servers: zone and start of each. The planner is not started yet.
    pub fn new(
        site: Site,
        record: &Record,
        seed: u64,
        servers: &[(usize, Option<f64>)],
    ) -> Result<Platform, String> {
        let [address] = runloom_testbed::planner_process::reserve_addresses().map_err(|e| e.to_string())?;
        let (agent, _) = listen()?;
        let mut platform = Platform {
            random: Random(seed),
            folder: Folder::from_environment()?,
            servers: Vec::new(),
            changes: Vec::new(),
            revision: 1,
            agent,
            watches: Vec::new(),
            discovery_is_down: false,
            proxies: Vec::new(),
            planner: None,
            listen: address,
            planner_ready_at: None,
            collectors: site.zones.iter().map(|_| None).collect(),
            collector_dial_at: 0.0,
            reports: VecDeque::new(),
            next_report: 0.0,
            next_traffic: 0.0,
            channel_free_at: 0.0,
            channel: VecDeque::new(),
            most_waiting: 0.0,
            broken: Vec::new(),
            starts: 0,
            requests: 0,
            failures: 0,
            late_sends: 0,
            sockets: 1024,
            spoilt_share: 0.0,
            strangers: Vec::new(),
            stranger_waits: Vec::new(),
            record: record.clone(),
            site,
        };
        for (zone, started) in servers {
            let server = platform.add_listed_server(*zone, *started)?;
            platform.servers[server].is_initial = true;
        }
        Ok(platform)
    }

    pub fn now(&self) -> f64 {
        self.record.now().as_secs_f64()
    }

    fn add_listed_server(&mut self, zone: usize, started: Option<f64>) -> Result<usize, String> {
        let (listener, address) = listen()?;
        let id = format!("s-{:08x}", self.random.next() as u32);
        self.servers.push(Server {
            id,
            zone,
            condition: Condition::Working,
            started,
            listed: Phase::Serving,
            listener: Some(listener),
            address,
            probes: Vec::new(),
            counts: BTreeMap::new(),
            recent: VecDeque::new(),
            start_told: None,
            drain_told: None,
            is_initial: false,
        });
        Ok(self.servers.len() - 1)
    }

    /// Adds a server that has just started to the list.
    pub fn start_server(&mut self, zone: usize) -> Result<usize, String> {
        let now = self.now();
        let server = self.add_listed_server(zone, Some(now))?;
        self.list(server, Phase::Serving);
        Ok(server)
    }

    /// A dead server starts again: cold, and listed with a fresh time.
    pub fn revive(&mut self, server: usize) -> Result<(), String> {
        let now = self.now();
        let (listener, address) = listen()?;
        let state = &mut self.servers[server];
        state.listener = Some(listener);
        state.address = address;
        state.condition = Condition::Working;
        state.started = Some(now);
        state.start_told = None;
        state.recent.clear();
        self.list(server, Phase::Serving);
        Ok(())
    }

    /// Changes the list.
    pub fn list(&mut self, server: usize, phase: Phase) {
        self.revision += 1;
        self.servers[server].listed = phase;
        let text = format!("list {}: {} {}", self.revision, self.servers[server].id, phase.name());
        self.record.note(&text);
        let made_at = self.now();
        self.changes.push(Change { revision: self.revision, made_at, server, phase, told_at: None });
    }

    pub fn set_condition(&mut self, server: usize, condition: Condition) {
        self.record.note(&format!("{} is {condition:?}", self.servers[server].id));
        let state = &mut self.servers[server];
        state.condition = condition;
        if condition == Condition::Dead {
            state.listener = None;
            state.probes.clear();
        }
    }

    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    pub fn phase(&self, server: usize) -> Phase {
        self.servers[server].listed
    }

    pub fn condition(&self, server: usize) -> Condition {
        self.servers[server].condition
    }

    pub fn zone(&self, server: usize) -> usize {
        self.servers[server].zone
    }

    pub fn name(&self, server: usize) -> String {
        self.servers[server].id.clone()
    }

    /// Adds proxies, which dial at once, each with a table of up to 6 servers of its zone.
    pub fn start_proxies(&mut self, spread: f64) {
        let now = self.now();
        for proxy in 0..self.site.proxies {
            let zone = proxy % self.site.zones.len();
            let mut local: Vec<String> = Vec::new();
            for server in
                self.servers.iter().filter(|server| server.zone == zone && server.listed == Phase::Serving)
            {
                local.push(server.id.clone());
            }
            if local.len() < 3 {
                local = self
                    .servers
                    .iter()
                    .filter(|s| s.listed == Phase::Serving)
                    .map(|s| s.id.clone())
                    .collect();
            }
            while local.len() > 6 {
                let index = self.random.below(local.len());
                local.remove(index);
            }
            let rows: BTreeMap<String, f64> = local.into_iter().map(|id| (id, 1.0)).collect();
            let rate = self.site.requests_per_second / self.site.proxies as f64;
            let dial_at = now + self.random.between(0.0, spread);
            self.proxies.push(ProxyState {
                zone,
                rate,
                link: Link::Waiting(dial_at),
                stream: None,
                input: Vec::new(),
                joined_at: None,
                ended_by_planner: false,
                tables: vec![Table { rows }; self.site.classes.len()],
                parts: Vec::new(),
                pending: VecDeque::new(),
                messages: VecDeque::new(),
                bare_since: vec![None; self.site.classes.len()],
                fraction: self.random.unit(),
                requests: 0,
                holds_table: false,
                is_cut: false,
            });
        }
    }

    /// Starts the planner with the list as last told.
    pub fn start_planner(&mut self) -> Result<(), String> {
        self.starts += 1;
        let (revision, phases) = self.told_list();
        let members = self.members(|server| phases.get(&server).copied());
        let discovery = self.agent.local_addr().map_err(|error| error.to_string())?;
        let config = json!({"name": "n1", "listen": self.listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{:x}", self.random.next()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {"revision": revision, "complete": true, "members": members},
            "settings": self.site.settings()});
        let path = self.folder.write("config.json", &config.to_string())?;
        let path = path.display().to_string();
        self.record.say(&format!("the planner starts (start {})", self.starts));
        let process = Process::start(&self.folder, "platform", &["platform"], &[("EDGE_CONFIG", &path)], 0)?;
        self.planner = Some(process);
        Ok(())
    }

    /// Ends the planner with a signal; proxies see their streams end.
    pub fn stop_planner(&mut self, signal: &str) {
        self.record.say(&format!("the planner gets SIG{signal}"));
        if let Some(mut planner) = self.planner.take() {
            planner.signal(signal);
            planner.wait(Duration::from_secs(3));
        }
        let now = self.now();
        self.planner_ready_at = None;
        self.channel.clear();
        self.channel_free_at = now;
        self.watches.clear();
        for collector in &mut self.collectors {
            *collector = None;
        }
        for proxy in 0..self.proxies.len() {
            self.leave(proxy, false);
        }
    }

    pub fn planner_log(&self) -> std::path::PathBuf {
        self.folder.path("platform.log")
    }

    /// Cuts a proxy off: nothing arrives there or leaves it any more, and no connection ends.
    pub fn cut(&mut self, proxy: usize) {
        let state = &mut self.proxies[proxy];
        if state.stream.is_some() {
            state.is_cut = true;
            state.joined_at = None;
        }
    }

    /// The network is back: a proxy that was cut off finds its stream reset.
    pub fn uncut(&mut self, proxy: usize) {
        if std::mem::take(&mut self.proxies[proxy].is_cut) {
            self.leave(proxy, false);
        }
    }

    /// Breaks the stream of a proxy, which dials again.
    pub fn break_stream(&mut self, proxy: usize) {
        self.leave(proxy, false);
    }

    fn leave(&mut self, proxy: usize, by_planner: bool) {
        let now = self.now();
        let again = now + self.random.between(0.58, 2.2);
        let state = &mut self.proxies[proxy];
        if state.stream.is_none() {
            return;
        }
        state.stream = None;
        state.input.clear();
        state.parts.clear();
        state.pending.clear();
        state.messages.clear();
        state.link = Link::Waiting(again);
        state.ended_by_planner = by_planner;
        if !by_planner {
            state.joined_at = None;
            state.bare_since = vec![None; state.tables.len()];
        }
    }

    /// The list that the planner was told: its revision, and the phase of each server on it.
    fn told_list(&self) -> (u64, BTreeMap<usize, Phase>) {
        let initial = (0..self.servers.len()).filter(|server| self.servers[*server].is_initial);
        let mut phases: BTreeMap<usize, Phase> = initial.map(|server| (server, Phase::Serving)).collect();
        let mut revision = 1;
        for change in self.changes.iter().filter(|change| change.told_at.is_some()) {
            revision = change.revision;
            if change.phase == Phase::Deleted {
                phases.remove(&change.server);
            } else {
                phases.insert(change.server, change.phase);
            }
        }
        (revision, phases)
    }

    fn member(&self, server: usize, phase: Phase) -> Value {
        let state = &self.servers[server];
        let base = wall_ms_at_start(&self.record);
        let up_since = state.started.map_or(0, |at| (base + at * 1000.0) as u64);
        json!({"id": state.id, "host_port": state.address.to_string(), "locality": self.site.zones[state.zone],
            "flavor": "two-core", "cell": state.zone, "phase": phase.name(), "size": 1.0, "up_since_ms": up_since})
    }

    fn members(&self, phase: impl Fn(usize) -> Option<Phase>) -> Vec<Value> {
        let member = |server| phase(server).map(|phase| self.member(server, phase));
        (0..self.servers.len()).filter_map(member).collect()
    }

    /// Runs until this time on the record's clock.
    pub fn run_until(&mut self, end: f64) -> Result<(), String> {
        while self.now() < end {
            self.step()?;
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        if let Some(planner) = &mut self.planner {
            if planner.wait(Duration::from_micros(1)) {
                self.broken.push(Broken { rule: "crash", what: "the planner ended by itself".into() });
                return Err("the planner ended by itself".into());
            }
        }
        self.watch_strangers();
        self.serve_probes();
        self.serve_agent();
        self.run_collectors();
        self.run_proxies();
        self.run_traffic();
        self.check();
        Ok(())
    }

    /// Connects bad clients, each of which sends half of a message and waits.
    pub fn connect_strangers(&mut self, count: usize) {
        let now = self.now();
        self.record.say(&format!("{count} bad clients connect and send half of a message each"));
        for _ in 0..count {
            let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, Duration::from_millis(250)) else {
                continue;
            };
            let _ = stream.write_all(&[200, 0, 0, 0, b'{', b'"', b't', b'"', b':']);
            let _ = stream.set_nonblocking(true);
            self.strangers.push((stream, now));
        }
    }

    fn watch_strangers(&mut self) {
        let now = self.now();
        let waits = &mut self.stranger_waits;
        self.strangers.retain_mut(|(stream, since)| {
            let mut buffer = [0; 64];
            match stream.read(&mut buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => true,
                _ => {
                    waits.push(now - *since);
                    false
                }
            }
        });
    }

    fn serve_probes(&mut self) {
        for server in &mut self.servers {
            if let Some(listener) = &server.listener {
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(true);
                    server.probes.push((stream, Vec::new()));
                }
            }
            if server.condition == Condition::Hanging {
                continue;
            }
            let is_draining = server.listed != Phase::Serving;
            server.probes.retain_mut(|(stream, input)| {
                let mut buffer = [0; 1024];
                match stream.read(&mut buffer) {
                    Ok(0) => return false,
                    Ok(count) => input.extend_from_slice(&buffer[..count]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                    Err(_) => return false,
                }
                if !input.ends_with(b"\r\n\r\n") {
                    return true;
                }
                let body = "{\"queue\":0,\"latency_ms\":60.0}";
                let head = if is_draining { "503 Service Unavailable" } else { "200 OK" };
                let response = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                let _ = stream.write_all(response.as_bytes());
                false
            });
        }
    }

    fn serve_agent(&mut self) {
        let now = self.now();
        while let Ok((stream, _)) = self.agent.accept() {
            let _ = stream.set_nonblocking(true);
            let _ = stream.set_nodelay(true);
            self.watches.push(Watch { stream, input: Vec::new(), sent: None, last_sent_at: now });
        }
        if self.discovery_is_down {
            return;
        }
        let mut watches = std::mem::take(&mut self.watches);
        watches.retain_mut(|watch| self.serve_watch(watch, now));
        self.watches = watches;
        for change in &mut self.changes {
            if change.told_at.is_none() && now >= change.made_at + TOLD_AT_LATEST {
                change.told_at = Some(now);
            }
        }
    }

    fn serve_watch(&mut self, watch: &mut Watch, now: f64) -> bool {
        let mut buffer = [0; 2048];
        match watch.stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(count) => watch.input.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        let since = match watch.sent {
            Some(sent) => sent,
            None => {
                if !watch.input.ends_with(b"\r\n\r\n") {
                    return true;
                }
                let text = String::from_utf8_lossy(&watch.input).into_owned();
                let since =
                    text.split("since=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
                let head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
                if watch.stream.write_all(head).is_err() {
                    return false;
                }
                since.unwrap_or(0)
            }
        };
        let is_first = watch.sent.is_none();
        let line = if is_first && since == 0 {
            let phases: Vec<Phase> = self.servers.iter().map(|server| server.listed).collect();
            let members =
                self.members(|server| Some(phases[server]).filter(|phase| *phase != Phase::Deleted));
            Some(json!({"revision": self.revision, "complete": true, "members": members}))
        } else if since < self.revision {
            let changed: BTreeSet<usize> =
                self.changes.iter().filter(|c| c.revision > since).map(|c| c.server).collect();
            let members: Vec<Value> =
                changed.iter().map(|s| self.member(*s, self.servers[*s].listed)).collect();
            Some(json!({"revision": self.revision, "complete": false, "members": members}))
        } else {
            None
        };
        let text = match line {
            Some(line) => format!("{line}\n"),
            None if is_first || now >= watch.last_sent_at + 2.0 => "\n".to_string(),
            None => return true,
        };
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if watch.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        watch.sent = Some(self.revision);
        watch.last_sent_at = now;
        for change in self.changes.iter_mut().filter(|change| change.told_at.is_none()) {
            change.told_at = Some(now);
        }
        for server in &mut self.servers {
            if server.started.is_some() && server.start_told.is_none() {
                server.start_told = Some(now);
            }
            match server.listed {
                Phase::Serving => server.drain_told = None,
                Phase::Draining | Phase::Deleted => _ = server.drain_told.get_or_insert(now),
            }
        }
        true
    }

    fn run_collectors(&mut self) {
        let now = self.now();
        if self.planner_ready_at.is_some() && now >= self.collector_dial_at {
            for (zone, collector) in self.collectors.iter_mut().enumerate() {
                if collector.is_none() {
                    self.collector_dial_at = now + 0.5;
                    if let Ok(mut stream) = TcpStream::connect(self.listen) {
                        let hello = frame(&json!({"t": "SOURCE", "site": self.site.zones[zone]}));
                        if stream.write_all(&hello).is_ok() {
                            *collector = Some(stream);
                        }
                    }
                }
            }
        }
        while self.reports.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, zone, report)) = self.reports.pop_front() else { break };
            if let Some(stream) = &mut self.collectors[zone] {
                if stream.write_all(&frame(&report)).is_err() {
                    self.collectors[zone] = None;
                }
            }
        }
        if now < self.next_report {
            return;
        }
        self.next_report = now + 1.0;
        let mut reports = Vec::new();
        for server in &mut self.servers {
            for (zone, (count, fail)) in std::mem::take(&mut server.counts) {
                let mean = if count > fail { 60.0 } else { 0.0 };
                let mut report = json!({"t": "LOAD", "site": self.site.zones[zone], "target": server.id, "count": count,
                    "fail": fail, "mean": mean, "over": 1000.0});
                if count > fail {
                    report["util"] = json!({"queue": 0, "latency_ms": 60.0});
                }
                reports.push((zone, report));
            }
        }
        let share = 1.0 / self.site.classes.len() as f64;
        for (id, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.stream.is_none() || proxy.requests == 0 {
                continue;
            }
            let count = std::mem::take(&mut proxy.requests);
            for (class, _) in &self.site.classes {
                let part = (count as f64 * share).round() as u64;
                reports.push((
                    proxy.zone,
                    json!({"t": "RATE", "id": id, "lane": class, "count": part, "fail": 0,
                    "over": 1000.0}),
                ));
            }
        }
        let mut at = now + self.random.between(0.4, 0.9);
        for (zone, report) in reports {
            at += 1.0 / 120.0;
            self.reports.push_back((at, zone, report));
        }
        self.reports.make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    fn run_proxies(&mut self) {
        let now = self.now();
        for proxy in 0..self.proxies.len() {
            if let Link::Waiting(at) = self.proxies[proxy].link {
                if now >= at {
                    self.dial(proxy, now);
                }
                continue;
            }
            if self.proxies[proxy].is_cut {
                continue;
            }
            self.read_stream(proxy, now);
            self.apply_due(proxy, now);
        }
        while self.channel.front().is_some_and(|(leaves_at, _)| *leaves_at <= now) {
            self.channel.pop_front();
        }
    }

    fn dial(&mut self, proxy: usize, now: f64) {
        let again = now + self.random.between(0.58, 2.2);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, Duration::from_millis(250)) else {
            self.proxies[proxy].link = Link::Waiting(again);
            return;
        };
        if self.planner_ready_at.is_none() {
            self.planner_ready_at = Some(now);
            self.record.say("the planner is ready");
        }
        let state = &mut self.proxies[proxy];
        let hello = json!({"t": "SUBSCRIBE", "id": proxy, "site": self.site.zones[state.zone], "rps": state.rate,
            "new": !state.holds_table});
        let _ = stream.set_nodelay(true);
        if stream.write_all(&frame(&hello)).is_err() || stream.set_nonblocking(true).is_err() {
            state.link = Link::Waiting(again);
            return;
        }
        self.record.note(&format!("proxy {proxy} has connected and joins"));
        state.stream = Some(stream);
        state.link = Link::Open;
        state.joined_at = Some(now);
        state.ended_by_planner = false;
        state.bare_since = vec![None; state.tables.len()];
    }

    fn read_stream(&mut self, proxy: usize, now: f64) {
        let mut buffer = [0; 16384];
        loop {
            let state = &mut self.proxies[proxy];
            let Some(stream) = &mut state.stream else { return };
            match stream.read(&mut buffer) {
                Ok(0) => return self.leave(proxy, true),
                Ok(count) => state.input.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.leave(proxy, true),
            }
        }
        while let Some(message) = self.next_message(proxy) {
            if message["t"] != "CONFIG" {
                continue;
            }
            let is_complete = message["part"] != json!(true);
            self.proxies[proxy].parts.push(message);
            if is_complete {
                let parts = std::mem::take(&mut self.proxies[proxy].parts);
                self.enter_channel(proxy, parts, now);
            }
        }
    }

    fn next_message(&mut self, proxy: usize) -> Option<Value> {
        let input = &mut self.proxies[proxy].input;
        let length = u32::from_le_bytes(input.get(..4)?.try_into().ok()?) as usize;
        let body = input.get(4..4 + length)?.to_vec();
        input.drain(..4 + length);
        serde_json::from_slice(&body).ok()
    }

    fn enter_channel(&mut self, proxy: usize, parts: Vec<Value>, now: f64) {
        let count = |part: &Value, field: &str| part[field].as_array().map_or(0, Vec::len);
        let lines: usize = parts
            .iter()
            .map(|part| {
                count(part, "rows")
                    + count(part, "drop")
                    + count(part, "undrop")
                    + usize::from(part.get("gate").is_some())
                    + usize::from(part.get("stamp").is_some())
                    + usize::from(part.get("replace").is_some())
            })
            .sum();
        let lines = lines as f64 + self.site.head;
        while self.channel.front().is_some_and(|(leaves_at, _)| *leaves_at <= now) {
            self.channel.pop_front();
        }
        self.channel_free_at = self.channel_free_at.max(now) + lines / self.site.lines_per_second;
        self.channel.push_back((self.channel_free_at, lines));
        // A message that leaves line by line: the part of the first one that has left does not wait any more.
        let waiting = (self.channel_free_at - now) * self.site.lines_per_second;
        self.most_waiting = self.most_waiting.max(waiting);
        if waiting > self.site.backlog {
            self.broken.push(Broken {
                rule: "queue",
                what: format!("{waiting:.0} lines wait in the channel, {:.0} may", self.site.backlog),
            });
        }
        let transit = self.random.between(self.site.transit.0, self.site.transit.1);
        let most = self.site.messages_most;
        let state = &mut self.proxies[proxy];
        state.messages.push_back(now);
        while state.messages.front().is_some_and(|at| *at <= now - 10.0) {
            state.messages.pop_front();
        }
        if most > 0 && state.messages.len() > most {
            let what =
                format!("{} messages to proxy {proxy} within 10 s, {most} may be", state.messages.len());
            self.broken.push(Broken { rule: "messages", what });
        }
        let state = &mut self.proxies[proxy];
        let after = state.pending.back().map_or(0.0, |(at, _, _)| *at);
        state.pending.push_back(((self.channel_free_at + transit).max(after), parts, now));
    }

    fn apply_due(&mut self, proxy: usize, now: f64) {
        while self.proxies[proxy].pending.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, parts, written_at)) = self.proxies[proxy].pending.pop_front() else { return };
            let state = &mut self.proxies[proxy];
            state.holds_table = true;
            let mut stamp = None;
            for part in &parts {
                let classes: Vec<usize> = match part["for"].as_array() {
                    None => (0..self.site.classes.len()).collect(),
                    Some(names) => names
                        .iter()
                        .filter_map(|name| {
                            self.site.classes.iter().position(|(class, _)| name == class.as_str())
                        })
                        .collect(),
                };
                for class in classes {
                    if part["replace"] == json!(true) {
                        state.tables[class].rows.clear();
                    }
                    for row in part["rows"].as_array().into_iter().flatten() {
                        let (id, weight) = (row[0].as_str().unwrap_or(""), row[1].as_f64().unwrap_or(0.0));
                        if weight > 0.0 {
                            state.tables[class].rows.insert(id.to_string(), weight);
                        } else {
                            state.tables[class].rows.remove(id);
                        }
                    }
                }
                stamp = part["stamp"].as_u64().or(stamp);
            }
            self.record.note(&format!("proxy {proxy} applies {}", summary(&parts)));
            if let Some(stamp) = stamp {
                let mut ack =
                    json!({"t": "ACK", "id": proxy, "seq": stamp, "ms": (now - written_at) * 1000.0});
                if self.random.unit() < self.spoilt_share {
                    ack["seq"] = json!(null);
                }
                let ack = frame(&ack);
                if let Some(stream) = &mut self.proxies[proxy].stream {
                    let _ = stream.write_all(&ack);
                }
            }
        }
    }

    fn run_traffic(&mut self) {
        let now = self.now();
        if now < self.next_traffic {
            return;
        }
        self.next_traffic = now + TRAFFIC_INTERVAL;
        let index: BTreeMap<String, usize> =
            self.servers.iter().enumerate().map(|(index, server)| (server.id.clone(), index)).collect();
        for proxy in 0..self.proxies.len() {
            let state = &mut self.proxies[proxy];
            state.fraction += state.rate * TRAFFIC_INTERVAL;
            while state.fraction >= 1.0 {
                state.fraction -= 1.0;
                state.requests += 1;
                let class = self.random.below(self.site.classes.len());
                let zone = state.zone;
                let home_only = self.site.classes[class].1;
                let rows: Vec<(usize, f64)> = state.tables[class]
                    .rows
                    .iter()
                    .filter_map(|(id, weight)| Some((*index.get(id)?, *weight)))
                    .filter(|(server, _)| !home_only || self.servers[*server].zone == zone)
                    .collect();
                let total: f64 = rows.iter().map(|(_, weight)| weight).sum();
                if total <= 0.0 {
                    continue;
                }
                let mut drawn = self.random.unit() * total;
                let mut chosen = rows[rows.len() - 1].0;
                for (server, weight) in rows {
                    drawn -= weight;
                    if drawn <= 0.0 {
                        chosen = server;
                        break;
                    }
                }
                let server = &mut self.servers[chosen];
                let fails = server.condition != Condition::Working;
                let counts = server.counts.entry(zone).or_default();
                counts.0 += 1;
                counts.1 += u64::from(fails);
                self.requests += 1;
                self.failures += u64::from(fails);
                if let (Some(told_at), Some(joined_at), Some(ready_at)) =
                    (server.drain_told, state.joined_at, self.planner_ready_at)
                {
                    let begin = told_at.max(joined_at).max(ready_at + 1.0);
                    if now > begin + self.site.drain_grace + SLACK {
                        self.late_sends += 1;
                        self.record.note(&format!(
                            "LATE: proxy {proxy}, joined {:.2} s ago, sends to {}, told as draining {:.2} s ago",
                            now - joined_at,
                            server.id,
                            now - told_at
                        ));
                    }
                }
                let is_joined = state.joined_at.is_some();
                let known = server.start_told.is_some_and(|told| now >= told + self.site.drain_grace);
                if is_joined && known && server.condition == Condition::Working {
                    server.recent.push_back(now);
                }
            }
        }
        self.check_cold(now);
    }

    fn check_cold(&mut self, now: f64) {
        let site = &self.site;
        for server in &mut self.servers {
            let Some(started) = server.started.filter(|_| server.condition == Condition::Working) else {
                continue;
            };
            while server.recent.front().is_some_and(|at| *at <= now - site.fall_seconds) {
                server.recent.pop_front();
            }
            let age = now - started;
            if age >= site.warm_after {
                continue;
            }
            let share = site.cold_from + (1.0 - site.cold_from) * age / site.warm_after;
            let budget = site.fall_multiple * share * site.server_capacity * site.fall_seconds;
            let sent = server.recent.len() as f64;
            if sent > budget * 1.15 + 4.0 {
                let what = format!(
                    "{} of age {age:.1} s was sent {sent} requests in {} s, {budget:.0} topple it",
                    server.id, site.fall_seconds
                );
                self.broken.push(Broken { rule: "failback", what });
                server.recent.clear();
            }
        }
    }

    /// Checks the rules on drains and on proxies without a server.
    fn check(&mut self) {
        let now = self.now();
        let Some(ready_at) = self.planner_ready_at else { return };
        if now < ready_at + 1.0 {
            return;
        }
        let not_before = ready_at + 1.0;
        let (_, phases) = self.told_list();
        let mut told: BTreeMap<&str, f64> = BTreeMap::new();
        for change in &self.changes {
            let id = self.servers[change.server].id.as_str();
            match (change.phase, change.told_at) {
                (Phase::Serving, Some(_)) => _ = told.remove(id),
                (_, Some(at)) => _ = told.entry(id).or_insert(at),
                (_, None) => {}
            }
        }
        let is_warm = |server: &Server| server.started.is_none_or(|at| now - at >= self.site.warm_after);
        let ready: Vec<usize> = phases
            .iter()
            .filter(|(server, phase)| **phase == Phase::Serving && is_warm(&self.servers[**server]))
            .map(|(server, _)| *server)
            .collect();
        let zone_of: BTreeMap<&str, usize> =
            self.servers.iter().map(|server| (server.id.as_str(), server.zone)).collect();
        for (id, proxy) in self.proxies.iter_mut().enumerate() {
            let Some(joined_at) = proxy.joined_at.filter(|_| !proxy.is_cut) else { continue };
            for (class, table) in proxy.tables.iter().enumerate() {
                let (name, home_only) = &self.site.classes[class];
                for server in table.rows.keys() {
                    let Some(told_at) = told.get(server.as_str()) else { continue };
                    let limit = told_at.max(joined_at).max(not_before) + self.site.drain_grace + SLACK;
                    if now > limit {
                        let what = format!("proxy {id}, class {name}: still has {server}, told {:.2} s ago, joined {:.2} s ago",
                            now - told_at, now - joined_at);
                        self.broken.push(Broken { rule: "drain", what });
                    }
                }
                let is_open = |server: &str| !home_only || zone_of.get(server) == Some(&proxy.zone);
                let has_line = table.rows.keys().any(|server| is_open(server));
                let could = ready.iter().any(|server| !home_only || self.servers[*server].zone == proxy.zone);
                if has_line || !could {
                    proxy.bare_since[class] = None;
                    continue;
                }
                let since = *proxy.bare_since[class].get_or_insert(now);
                if now > since.max(not_before) + self.site.unserved_most + SLACK {
                    let what = format!("proxy {id} has had no server for {name} for {:.2} s", now - since);
                    self.broken.push(Broken { rule: "unserved", what });
                    proxy.bare_since[class] = Some(now);
                }
            }
        }
    }
}

fn summary(parts: &[Value]) -> String {
    let mut text = String::new();
    for part in parts {
        let mut part = part.clone();
        if let Some(object) = part.as_object_mut() {
            object.remove("t");
            object.remove("part");
        }
        text.push_str(&part.to_string());
    }
    text
}

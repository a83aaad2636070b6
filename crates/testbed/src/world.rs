//! One day on loopback: planners as processes of their own, forwarders, servers and clients on one loop,
//! feed and staff on threads.

use crate::fake_servers::{Health, Servers, COLD_FROM};
use crate::issuer::Issuer;
use crate::load_generator::{Clients, CLASSES};
use crate::rule_checker::{broken, Arrival, Evidence, Limits, Observation};
use crate::scenario::{Fronts, Scenario, ScheduledFault};
use crate::staff::{self, List, Outcome, Shared};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use runloom_daemon::planner_runtime::ListenAddresses;
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_daemon::tls_credentials::{PLANNER, PROXY};
use runloom_daemon::wall_ms;
use runloom_event_loop::{CloseReason, ConnectionId, EventLoop, IoEvent};
use runloom_identity::access::{Permission, Principal, Rule};
use runloom_model::listed_server::ListedServer;
use runloom_model::proxy_settings::{ProxySettings, TableDelivery};
use runloom_model::tls_files::TlsFiles;
use runloom_model::traffic_class::{ClassSettings, RetrySafety};
use runloom_proxy::ProxyCounts;
use runloom_versioned_publisher::{Topic, TopicKind, Version};
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How often forwarders' tables are looked at.
const LOOK: Duration = Duration::from_millis(100);

/// A planner's process.
pub struct Process {
    child: Option<Child>,
    settings: PathBuf,
    pub edits: SocketAddr,
    pub home: SocketAddr,
    pub pubsub: Option<SocketAddr>,
    pub metrics: SocketAddr,
}

/// Free addresses that stay with this process until it ends. Each is kept by a socket that is bound, does not
/// listen, and shares its address with those that share theirs, as planners do. Guards against two that draw
/// the same before either listens, and against a connection that the system gives the address of a planner
/// which is started again.
pub fn free<const N: usize>() -> std::io::Result<[SocketAddr; N]> {
    static KEPT: Mutex<Vec<Socket>> = Mutex::new(Vec::new());
    let mut all = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for at in &mut all {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // Shared from here on only: while it is bound, the system gives no address that anyone has.
        socket.bind(&(*at).into())?;
        socket.set_reuse_address(true)?;
        *at = socket.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        KEPT.lock().unwrap_or_else(PoisonError::into_inner).push(socket);
    }
    Ok(all)
}

impl Process {
    /// Starts a planner by the rig's program `own`, and reads where it can be reached.
    pub fn start(
        own: &Path,
        settings: &Path,
        seed: u64,
        log: &Path,
        trial: &[&str],
    ) -> Result<(Child, ListenAddresses), String> {
        let file =
            std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let mut child = Command::new(own)
            .args(["planner", "--settings"])
            .arg(settings)
            .args(["--seed", &seed.to_string()])
            .args(trial)
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .map_err(|e| e.to_string())?;
        let out = child.stdout.take().ok_or("no output")?;
        let mut at: BTreeMap<String, SocketAddr> = BTreeMap::new();
        for line in BufReader::new(out).lines() {
            let line = line.map_err(|e| e.to_string())?;
            let Some((name, address)) = line.split_once(' ') else { break };
            at.extend(address.parse().map(|a| (name.to_string(), a)));
            // The last of them.
            if name == "metrics" {
                break;
            }
        }
        match (at.get("edits"), at.get("home"), at.get("metrics").copied()) {
            (Some(edits), Some(home), metrics @ Some(_)) => {
                let pubsub = at.get("pubsub").copied();
                Ok((child, ListenAddresses { edits: *edits, home: *home, pubsub, metrics }))
            }
            _ => {
                let _ = child.kill();
                let _ = child.wait();
                let told = std::fs::read_to_string(log).unwrap_or_default();
                let last = told.lines().last().unwrap_or_default();
                Err(format!("the planner did not start: see {}: {last}", log.display()))
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a day came to.
#[derive(Debug, Clone)]
pub struct Outcomes {
    pub queries: u64,
    pub handled: u64,
    pub in_time: u64,
    pub service: f64,
    pub doubled: usize,
    pub broken: Vec<String>,
    pub further: u64,
    pub lines: u64,
    pub messages: u64,
    pub edits: Vec<Outcome>,
    pub refused: BTreeMap<String, u64>,
    pub counts: ProxyCounts,
    pub fell: usize,
    pub took_p50: u32,
    pub took_p99: u32,
    pub lines_waiting: u64,
    pub metrics: BTreeMap<String, f64>,
    /// Of the first planner, at the end: resident memory, and processor time since its start.
    pub planner_memory_kb: u64,
    pub planner_cpu: Duration,
    /// From the first forwarder's dial until all were ordered.
    pub settled: Duration,
}

struct Held {
    forwarder: ProxyRuntime,
    joined: Option<(Duration, usize)>,
    joins: usize,
    streams: u64,
}

pub struct Testbed {
    pub turn: EventLoop,
    day: Scenario,
    chance: StdRng,
    seed: u64,
    /// The same throughout the day; the planners' moves on with each start.
    day_seed: u64,
    folder: PathBuf,
    own: PathBuf,
    trial: Vec<String>,
    pub planners: Vec<Process>,
    servers: Servers,
    clients: Clients,
    forwarders: Vec<Held>,
    owner: BTreeMap<ConnectionId, usize>,
    shared: Arc<Shared>,
    start: Instant,
    /// How the servers are listed in truth; servers that a lying list leaves out.
    draining: BTreeSet<String>,
    gone: BTreeSet<String>,
    lied: BTreeSet<String>,
    noticed: BTreeMap<String, bool>,
    agenda: Vec<(Duration, What)>,
    evidence: Evidence,
    lines: u64,
    pub(crate) staff: TlsFiles,
    feed: TlsFiles,
    threads: Vec<std::thread::JoinHandle<()>>,
    issuer: Option<Issuer>,
    renewed: Duration,
    zero: Duration,
    settled: Duration,
    /// Queries a second that forwarders meet without sockets, for planners at sizes that one machine's
    /// sockets do not reach.
    pub scripted: Option<f64>,
    scripted_until: Duration,
    /// The part of the forwarders that read what they are told once a second only.
    pub slow: f64,
    /// When the first forwarder took a version of a table, and how much later, in microseconds, those that are not
    /// slow did.
    first_taken: BTreeMap<(Topic, Version), Duration>,
    pub behind: Histogram<u64>,
    /// When the last planner that was killed was back, who has taken tables since, and when all had.
    back: Option<Duration>,
    since_back: BTreeSet<usize>,
    pub recovered: Option<Duration>,
    /// When the first and the last forwarder had its second stream, its third and so on, and how many have.
    pub waves: BTreeMap<u64, (Duration, Duration, usize)>,
    /// How long a planner took from its start until it could be reached.
    pub start_took: Duration,
    /// Done to a planner's folder before it is started again.
    pub between: Option<fn(&Path)>,
    /// Servers that fail, and those that are slow, when the planner is back, and queries that reached either within half
    /// a minute.
    bad: [BTreeSet<String>; 2],
    pub to_bad: [usize; 2],
}

enum What {
    Trouble(ScheduledFault),
    Edit(crate::scenario::Edit),
    Start(Vec<usize>),
    Heal(Vec<usize>),
    Remove(Vec<usize>),
    Truth(BTreeSet<String>),
    FeedBack,
    PlannerBack(usize),
    Hear(Vec<usize>),
    Calm,
}

fn ms(n: Duration) -> u128 {
    n.as_millis()
}

/// Lines that may wait: what the channel sends in two seconds.
fn backlog(day: &Scenario) -> u64 {
    2 * day.lines_per_second
}

/// Identities in the rig's own trust domain.
fn identity(name: &str) -> String {
    let kind = match name {
        "staff" | "feed" => "tool",
        name if name.starts_with("planner") => "planner",
        _ => "proxy",
    };
    format!("spiffe://rig.example/{kind}/{name}")
}

const RULES: &str = "<may><whom>spiffe://rig.example/proxy/*</whom><join/></may>\
    <may><whom>spiffe://rig.example/tool/staff</whom><write>fleet</write><write>state</write></may>\
    <may><whom>spiffe://rig.example/tool/feed</whom><write>roster</write></may>";

/// Papers that take the day's planners for theirs.
fn trusting(papers: TlsFiles, day: &Scenario) -> TlsFiles {
    let whom = |k: usize| Principal::read(&identity(&format!("planner-{k}"))).ok();
    let rules =
        (0..day.planners).filter_map(whom).map(|whom| Rule { whom, may: Permission::Order }).collect();
    TlsFiles { rules, ..papers }
}

fn class_xml(c: &(&str, f64, u64, u64, &str, f64)) -> String {
    format!(
        "<class><name>{}</name><payoff>{}</payoff><soft-limit-ms>{}</soft-limit-ms><outer-limit-ms>{}</outer-limit-ms>\
         <repeats>{}</repeats></class>",
        c.0, c.1, c.2, c.3, c.4
    )
}

impl Testbed {
    /// Starts everything; `own` is the rig's own program, which runs the planners' processes, with the words of
    /// `trial` added.
    pub fn new(
        day: Scenario,
        seed: u64,
        folder: &Path,
        own: &Path,
        trial: &[&str],
    ) -> Result<Testbed, String> {
        let told = |e: std::io::Error| e.to_string();
        let issuer = Issuer::new(&folder.join("papers"))?;
        let mut turn = EventLoop::new().map_err(told)?;
        // It plays all proxies at once, each of which would have a loop of its own.
        turn.max_handshakes = usize::MAX;
        let mut servers = Servers::new(day.work, day.cores, day.warm);
        for k in 0..day.servers {
            servers.add(&mut turn, &format!("z{}", k % day.zones), false).map_err(told)?;
        }
        let (staff, feed) = match day.lives {
            None => (issuer.issue("staff", None)?, issuer.issue("feed", None)?),
            Some(_) => {
                let of = |name: &str| issuer.identity(name, &identity(name), 3600, |_| {});
                (trusting(of("staff")?, &day), trusting(of("feed")?, &day))
            }
        };
        let mut world = Testbed {
            chance: StdRng::seed_from_u64(seed),
            seed,
            day_seed: seed,
            folder: folder.to_path_buf(),
            own: own.to_path_buf(),
            trial: trial.iter().map(|t| t.to_string()).collect(),
            planners: vec![],
            clients: Clients::new(vec![], day.rate),
            servers,
            forwarders: vec![],
            owner: BTreeMap::new(),
            shared: Arc::new(Shared::default()),
            start: Instant::now(),
            draining: BTreeSet::new(),
            gone: BTreeSet::new(),
            lied: BTreeSet::new(),
            noticed: BTreeMap::new(),
            agenda: vec![],
            evidence: Evidence::default(),
            lines: 0,
            staff,
            feed,
            threads: vec![],
            issuer: None,
            renewed: turn.now(),
            zero: turn.now(),
            settled: Duration::ZERO,
            scripted: None,
            scripted_until: Duration::ZERO,
            slow: 0.0,
            first_taken: BTreeMap::new(),
            behind: Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?,
            back: None,
            since_back: BTreeSet::new(),
            recovered: None,
            waves: BTreeMap::new(),
            start_took: Duration::ZERO,
            between: None,
            bad: Default::default(),
            to_bad: [0; 2],
            turn,
            day,
        };
        for planner in 0..world.day.planners {
            world.start_planner(&issuer, planner)?;
        }
        world.start_forwarders(&issuer)?;
        world.issuer = Some(issuer);
        let (now, list) = (Duration::ZERO, world.list());
        world.shared.lists.lock().unwrap_or_else(|e| e.into_inner()).push((now, list));
        for (k, planner) in world.planners.iter().enumerate() {
            world.threads.push(staff::feed(
                k,
                planner.edits,
                world.feed.clone(),
                world.shared.clone(),
                world.start,
            ));
        }
        Ok(world)
    }

    /// Papers of a planner or a forwarder.
    fn papers(&self, issuer: &Issuer, name: &str, role: &'static str) -> Result<TlsFiles, String> {
        let Some(lives) = self.day.lives else { return issuer.issue(name, Some(role)) };
        let papers = issuer.identity(name, &identity(name), lives.as_secs() as i64, |_| {})?;
        Ok(trusting(papers, &self.day))
    }

    /// New identities for all, when half of the old ones' time has passed.
    fn renew(&mut self) -> Result<(), String> {
        let (Some(lives), Some(issuer)) = (self.day.lives, &self.issuer) else { return Ok(()) };
        if self.turn.now() < self.renewed + lives / 2 {
            return Ok(());
        }
        self.renewed = self.turn.now();
        let planners = (0..self.day.planners).map(|k| format!("planner-{k}"));
        let forwarders = (0..self.day.forwarders).map(|f| format!("f{f}"));
        for name in planners.chain(forwarders) {
            issuer.identity(&name, &identity(&name), lives.as_secs() as i64, |_| {})?;
        }
        Ok(())
    }

    fn start_planner(&mut self, issuer: &Issuer, planner: usize) -> Result<(), String> {
        let papers = self.papers(issuer, &format!("planner-{planner}"), PLANNER)?;
        let settings = self.folder.join(format!("planner-{planner}.xml"));
        let any: [SocketAddr; 4] = free().map_err(|e| e.to_string())?;
        let write = |at: [SocketAddr; 4]| {
            std::fs::write(&settings, self.planner_xml(planner, &papers, at)).map_err(|e| e.to_string())
        };
        write(any)?;
        let log = self.folder.join(format!("planner-{planner}.log"));
        let trial: Vec<&str> = self.trial.iter().map(String::as_str).collect();
        let (child, at) = Process::start(&self.own, &settings, self.seed, &log, &trial)?;
        // A restart must be found where the first start was.
        let ListenAddresses { edits, home, pubsub, metrics } = at;
        let metrics = metrics.ok_or("no metrics")?;
        write([edits, home, pubsub.unwrap_or(any[2]), metrics])?;
        self.planners.push(Process { child: Some(child), settings, edits, home, pubsub, metrics });
        Ok(())
    }

    fn planner_xml(&self, planner: usize, papers: &TlsFiles, at: [SocketAddr; 4]) -> String {
        let d = &self.day;
        let zones: String = (0..d.zones).map(|z| format!("<zone><name>z{z}</name></zone>")).collect();
        let classes: String = CLASSES.iter().map(class_xml).collect();
        let listed: String = self.list().iter().map(|(name, l)| l.to_element(name).to_text()).collect();
        let folder = self.folder.join(format!("state-{planner}"));
        let place = self.folder.join(format!("record-{planner}"));
        let record = format!("<record><folder>{}</folder></record>", place.display());
        let record = if d.recorded { record } else { String::new() };
        let fleet = format!(
            "<fleet>{zones}{classes}\n<grace><drain-ms>{}</drain-ms>\
             <bare-ms>{}</bare-ms><reply-ms>1500</reply-ms></grace>\n<channel><lines-per-second>{}</lines-per-second>\
             <backlog>{}</backlog><overhead>4</overhead></channel>\n<cold><from>{COLD_FROM}\
             </from><warm-after-ms>{}</warm-after-ms></cold>\n<proxies><count>{}</count><planners>{}</planners><pick>{}\
             </pick><levels>{}</levels><probes>true</probes><report-ms>500</report-ms>\
             <report-lines-per-second>2000</report-lines-per-second></proxies>\n<list><only-drains-bind>{}\
             </only-drains-bind><load>held</load></list></fleet>",
            ms(d.drain),
            ms(d.bare),
            d.lines_per_second,
            backlog(d),
            ms(d.warm),
            d.forwarders,
            d.planners,
            d.pick,
            d.levels,
            d.only_drains_bind
        );
        format!(
            "<planner xmlns=\"urn:runloom:fleet\">\n<name>planner-{planner}</name><edits>{}</edits><home>{}</home>\
             <pubsub>{}</pubsub><metrics>{}</metrics><folder>{}</folder>\n{record}{}\n{}\n\
             <roster>{listed}</roster></planner>\n",
            at[0],
            at[1],
            at[2],
            at[3],
            folder.display(),
            tls_xml(papers, if self.day.lives.is_some() { RULES } else { "" }),
            d.fleet.as_ref().unwrap_or(&fleet)
        )
    }

    fn start_forwarders(&mut self, issuer: &Issuer) -> Result<(), String> {
        let repeats = |word: &str| if word == "safe" { RetrySafety::Safe } else { RetrySafety::Unsafe };
        let class = |c: &(&str, f64, u64, u64, &str, f64)| ClassSettings {
            name: c.0.into(),
            priority_weight: c.1,
            latency_objective: Duration::from_millis(c.2),
            deadline: Duration::from_millis(c.3),
            retry_safety: repeats(c.4),
        };
        let mut listens = Vec::new();
        for f in 0..self.day.forwarders {
            let name = format!("f{f}");
            let front = match self.day.fronts {
                Fronts::Pubsub => TableDelivery::Weights,
                Fronts::Mixed if f % 2 == 1 => TableDelivery::Weights,
                Fronts::Subsets => TableDelivery::Subsets,
                Fronts::Netconf | Fronts::Mixed => TableDelivery::Edits,
            };
            let place = |p: &Process| if front == TableDelivery::Edits { Some(p.home) } else { p.pubsub };
            let mut homes: Vec<SocketAddr> = self.planners.iter().filter_map(place).collect();
            let count = homes.len();
            homes.rotate_left(f % count);
            // A few servers of its own zone, as a process finds them in its start-up files.
            let zone = format!("z{}", f % self.day.zones);
            let near = self.servers.all.iter().filter(|s| s.zone == zone).take(6);
            let stand = ProxySettings {
                tls: self.papers(issuer, &name, PROXY)?,
                name,
                static_servers: near.map(|s| (s.name.clone(), s.address)).collect(),
                zone,
                listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
                table_delivery: front,
                planner_addresses: homes,
                selection: self.day.pick.clone(),
                circuit_breaker_failures: 3,
                circuit_breaker_open: Duration::from_secs(4),
                report_period: Duration::from_millis(500),
                classes: CLASSES.iter().map(class).collect(),
            };
            let seed = self.seed ^ (f as u64 + 1).wrapping_mul(0x9e37_79b9);
            let (forwarder, at) =
                ProxyRuntime::start(&mut self.turn, stand, seed).map_err(|e| e.to_string())?;
            listens.push(at);
            self.forwarders.push(Held { forwarder, joined: None, joins: 0, streams: 0 });
            self.adopt(f);
        }
        self.clients = Clients::new(listens, self.day.rate);
        Ok(())
    }

    fn adopt(&mut self, f: usize) {
        for conn in self.forwarders[f].forwarder.take_opened_connections() {
            self.owner.insert(conn, f);
        }
    }

    fn now(&self) -> Duration {
        self.turn.now().saturating_sub(self.zero)
    }

    /// The list as the feed has it now.
    fn list(&self) -> List {
        let mut list = List::new();
        for s in &self.servers.all {
            if self.gone.contains(&s.name) || self.lied.contains(&s.name) {
                continue;
            }
            // What the feed knows of processes; silence it notices late, hanging never.
            if !self.noticed.get(&s.name).copied().unwrap_or(true) {
                continue;
            }
            let age = self.turn.now().saturating_sub(s.started).as_millis() as u64;
            let listed = ListedServer {
                address: s.address,
                zone: s.zone.clone(),
                kind: "std".into(),
                cell: 0,
                is_draining: self.draining.contains(&s.name),
                weight: 1.0,
                started_ms: s.cold.then(|| (wall_ms() - age) / 1000 * 1000),
            };
            list.insert(s.name.clone(), listed);
        }
        list
    }

    /// The list changed: the feed tells of it late.
    fn relist(&mut self) {
        let (from, mut list) = (self.start.elapsed() + self.day.feed_late, self.list());
        let mut lists = self.shared.lists.lock().unwrap_or_else(|e| e.into_inner());
        // A start is told as it was told first: reckoned anew it would be off by the rounding.
        if let Some((_, last)) = lists.last() {
            for (name, listed) in &mut list {
                let old = last.get(name).and_then(|l| l.started_ms);
                let near = |a: u64, b: u64| a.abs_diff(b) <= 1000;
                if let (Some(old), Some(new)) = (old, listed.started_ms) {
                    listed.started_ms = Some(if near(old, new) { old } else { new });
                }
            }
        }
        lists.push((from, list));
    }

    /// A trouble's servers: those that it names, or some that are well, drawn by chance, in any zone. The chance is the
    /// trouble's own, so that the same day meets the same servers whatever else was drawn before.
    fn draw(&mut self, t: &ScheduledFault) -> Vec<usize> {
        let mut chance = StdRng::seed_from_u64(self.day_seed ^ (t.at.as_millis() as u64) << 8);
        let fine = |k: &usize| {
            let s = &self.servers.all[*k];
            let named =
                self.draining.contains(&s.name) || self.gone.contains(&s.name) || self.lied.contains(&s.name);
            self.servers.is_up(*k) && s.health == Health::Well && s.slow <= 1.0 && !named
        };
        let mut well: Vec<usize> = (0..self.servers.all.len()).filter(fine).collect();
        if !t.servers.is_empty() {
            well.retain(|k| t.servers.contains(&self.servers.all[*k].name));
            return well;
        }
        let mut drawn = Vec::new();
        while drawn.len() < t.count && !well.is_empty() {
            drawn.push(well.swap_remove(chance.random_range(0..well.len())));
        }
        drawn
    }

    fn later(&mut self, after: Duration, what: What) {
        self.agenda.push((self.now() + after, what));
    }

    fn notice(&mut self, ids: &[usize], there: bool) {
        for id in ids {
            self.noticed.insert(self.servers.all[*id].name.clone(), there);
        }
        self.relist();
    }

    fn trouble(&mut self, t: &ScheduledFault) -> Result<(), String> {
        match t.kind.as_str() {
            "crash" => {
                let ids = self.draw(t);
                ids.iter().for_each(|id| self.servers.stop(&mut self.turn, *id));
                self.notice(&ids, false);
                self.later(t.lasts, What::Start(ids));
            }
            "hang" | "silent" | "errors" => {
                let ids = self.draw(t);
                let health = match t.kind.as_str() {
                    "hang" => Health::Hangs,
                    "silent" => Health::Silent,
                    _ => Health::Fails(t.size),
                };
                ids.iter().for_each(|id| self.servers.all[*id].health = health);
                self.later(t.lasts, What::Heal(ids));
            }
            "slow" | "costly" => {
                let ids: Vec<usize> =
                    if t.kind == "slow" { self.draw(t) } else { (0..self.servers.all.len()).collect() };
                for id in &ids {
                    let server = &mut self.servers.all[*id];
                    *(if t.kind == "slow" { &mut server.slow } else { &mut server.costly }) = t.size;
                }
                self.later(t.lasts, What::Heal(ids));
            }
            "drain" | "replace" => {
                let ids = self.draw(t);
                ids.iter().for_each(|id| _ = self.draining.insert(self.servers.all[*id].name.clone()));
                if t.kind == "replace" {
                    for id in &ids {
                        let zone = self.servers.all[*id].zone.clone();
                        self.servers.add(&mut self.turn, &zone, true).map_err(|e| e.to_string())?;
                    }
                }
                self.relist();
                self.later(t.lasts, What::Remove(ids));
            }
            "lie-gone" => {
                let names: BTreeSet<String> =
                    self.draw(t).into_iter().map(|id| self.servers.all[id].name.clone()).collect();
                self.lied.extend(names.iter().cloned());
                self.relist();
                self.later(t.lasts, What::Truth(names));
            }
            "feed-cut" => {
                self.shared.cut.store(true, Ordering::Relaxed);
                self.later(t.lasts, What::FeedBack);
            }
            "planner-kill" => {
                let planner = self.chance.random_range(0..self.planners.len());
                self.planners[planner].kill();
                self.later(t.lasts, What::PlannerBack(planner));
            }
            "stream-break" => {
                for f in 0..t.count.min(self.forwarders.len()) {
                    self.forwarders[f].forwarder.break_planner_session(&mut self.turn);
                }
            }
            "deaf" => {
                let ids: Vec<usize> = (0..t.count.min(self.forwarders.len())).collect();
                ids.iter().for_each(|f| self.forwarders[*f].forwarder.set_unresponsive(&mut self.turn, true));
                self.later(t.lasts, What::Hear(ids));
            }
            "surge" => {
                self.clients.surge = t.size;
                self.later(t.lasts, What::Calm);
            }
            _ => {}
        }
        Ok(())
    }

    fn act(&mut self, what: What) -> Result<(), String> {
        match what {
            What::Trouble(t) => {
                tracing::info!(at = self.now().as_secs_f64(), kind = %t.kind, "trouble");
                self.trouble(&t)?;
            }
            What::Edit(edit) => {
                let at = self.planners.iter().map(|p| p.edits).collect();
                self.threads.push(staff::edit(at, self.staff.clone(), edit, self.shared.clone(), self.start));
            }
            What::Start(ids) => {
                for id in &ids {
                    self.servers.start(&mut self.turn, *id).map_err(|e| e.to_string())?;
                }
                self.notice(&ids, true);
            }
            What::Heal(ids) => {
                let silent: Vec<usize> =
                    ids.iter().copied().filter(|id| self.servers.all[*id].health == Health::Silent).collect();
                for id in ids {
                    let server = &mut self.servers.all[id];
                    (server.health, server.slow, server.costly) = (Health::Well, 1.0, 1.0);
                }
                // A silent machine comes back cold, as a new process.
                for id in &silent {
                    self.servers.stop(&mut self.turn, *id);
                    self.servers.start(&mut self.turn, *id).map_err(|e| e.to_string())?;
                }
                self.relist();
            }
            What::Remove(ids) => {
                for id in ids {
                    self.gone.insert(self.servers.all[id].name.clone());
                    self.servers.stop(&mut self.turn, id);
                }
                self.relist();
            }
            What::Truth(names) => {
                self.lied.retain(|n| !names.contains(n));
                self.relist();
            }
            What::FeedBack => self.shared.cut.store(false, Ordering::Relaxed),
            What::PlannerBack(planner) => {
                let log = self.folder.join(format!("planner-{planner}.log"));
                let settings = self.planners[planner].settings.clone();
                self.seed += 1;
                if let Some(between) = self.between {
                    between(&self.folder.join(format!("state-{planner}")));
                }
                let named = |of: &dyn Fn(&crate::fake_servers::Server) -> bool| {
                    self.servers.all.iter().filter(|s| of(s)).map(|s| s.name.clone()).collect()
                };
                self.bad = [named(&|s| s.health != Health::Well), named(&|s| s.slow > 1.0)];
                let trial: Vec<&str> = self.trial.iter().map(String::as_str).collect();
                let begin = Instant::now();
                let (child, _) = Process::start(&self.own, &settings, self.seed, &log, &trial)?;
                self.start_took = begin.elapsed();
                self.planners[planner].child = Some(child);
                (self.back, self.recovered) = (Some(self.now()), None);
                self.since_back.clear();
            }
            What::Hear(ids) => {
                ids.iter()
                    .for_each(|f| self.forwarders[*f].forwarder.set_unresponsive(&mut self.turn, false));
            }
            What::Calm => self.clients.surge = 1.0,
        }
        Ok(())
    }

    /// Plays the day.
    pub fn play(&mut self) -> Result<Outcomes, String> {
        self.settle_in()?;
        self.zero = self.turn.now();
        // What is taken on coming in says how fast that goes, not how far behind anybody is.
        self.first_taken.clear();
        self.behind.reset();
        let shift = self.start.elapsed();
        let day = self.day.clone();
        self.agenda.extend(day.troubles.into_iter().map(|t| (t.at, What::Trouble(t))));
        self.agenda.extend(day.edits.into_iter().map(|e| (e.at, What::Edit(e))));
        self.clients.begin(self.turn.now());
        let mut next_look = Duration::ZERO;
        // The last queries are waited for, and the last edits too, for some seconds.
        let end = day.lasts + Duration::from_secs(5);
        while self.now() < end {
            let now = self.now();
            if now >= day.lasts {
                self.clients.asking = false;
            }
            while let Some(k) = self.agenda.iter().position(|(at, _)| *at <= now) {
                let (_, what) = self.agenda.swap_remove(k);
                self.act(what)?;
            }
            if now >= next_look {
                next_look = now + LOOK;
                self.look(now);
                self.scripted(now);
                self.slowly(now);
                self.renew()?;
            }
            let next = self.agenda.iter().map(|(at, _)| *at).min().unwrap_or(end).min(next_look);
            self.one_turn(self.zero + next)?;
        }
        Ok(self.close(shift))
    }

    /// Queries that never pass a socket: each forwarder picks as ever, and each ends well after the usual work.
    fn scripted(&mut self, now: Duration) {
        let Some(rate) = self.scripted else { return };
        let span = now.saturating_sub(self.scripted_until).as_secs_f64();
        self.scripted_until = now;
        let due = (rate * span) as usize;
        let at = self.turn.now();
        for _ in 0..due {
            let f = self.chance.random_range(0..self.forwarders.len());
            let class = self.chance.random_range(0..CLASSES.len());
            self.forwarders[f].forwarder.simulate_request(at, class, self.day.work);
        }
    }

    /// Those that are slow read once in ten looks, each in its own turn.
    fn slowly(&mut self, now: Duration) {
        let slow = (self.slow * self.forwarders.len() as f64) as usize;
        let beat = (now.as_millis() / LOOK.as_millis()) as usize;
        for f in 0..slow {
            self.forwarders[f].forwarder.set_unresponsive(&mut self.turn, (f + beat) % 10 != 0);
        }
    }

    /// Until all forwarders are joined and ordered, for a minute at the most.
    fn settle_in(&mut self) -> Result<(), String> {
        let begin = self.turn.now();
        let end = begin + Duration::from_secs(60);
        let ordered = |h: &Held| h.forwarder.proxy().tables().is_from_planner();
        while !self.forwarders.iter().all(ordered) {
            self.renew()?;
            if self.turn.now() > end {
                return Err("the forwarders were not ordered within a minute".into());
            }
            let until = self.turn.now() + LOOK;
            self.one_turn(until)?;
        }
        self.settled = self.turn.now().saturating_sub(begin);
        Ok(())
    }

    fn one_turn(&mut self, until: Duration) -> Result<(), String> {
        let forwarders = self.forwarders.iter().filter_map(|h| h.forwarder.wakes_at()).min();
        let wakes = [self.servers.wakes_at(), self.clients.wakes_at(), forwarders, Some(until)];
        let due = wakes.into_iter().flatten().min();
        for h in self.turn.wait(due).map_err(|e| e.to_string())? {
            self.route(h);
        }
        self.servers.turned(&mut self.turn, &mut self.chance);
        self.clients.turned(&mut self.turn, &mut self.chance);
        for f in 0..self.forwarders.len() {
            self.forwarders[f].forwarder.run_due_tasks(&mut self.turn);
            self.adopt(f);
            self.note(f);
        }
        Ok(())
    }

    /// What a forwarder was told, and whether it is joined.
    fn note(&mut self, f: usize) {
        let now = self.now();
        let held = &mut self.forwarders[f];
        for update in held.forwarder.take_applied_updates() {
            self.lines += update.entries as u64;
            self.evidence.messages.entry(f).or_default().push(now);
            if let Some(version) = update.version.filter(|(topic, _)| topic.kind == TopicKind::Weights) {
                let first = *self.first_taken.entry(version).or_insert(now);
                if f as f64 >= self.slow * self.day.forwarders as f64 {
                    self.behind.saturating_record(now.saturating_sub(first).as_micros() as u64);
                }
            }
            if let Some(back) = self.back {
                self.since_back.insert(f);
                if self.since_back.len() == self.day.forwarders {
                    self.recovered.get_or_insert(now.saturating_sub(back));
                }
            }
        }
        if held.forwarder.session_count() != held.streams {
            held.streams = held.forwarder.session_count();
            let wave = self.waves.entry(held.streams).or_insert((now, now, 0));
            (wave.1, wave.2) = (now, wave.2 + 1);
        }
        let home = held.forwarder.connected_planner();
        let joined =
            home.and_then(|at| self.planners.iter().position(|p| p.home == at || p.pubsub == Some(at)));
        if joined != held.joined.map(|j| j.1) {
            held.joined = joined.map(|planner| (now, planner));
            held.joins += usize::from(joined.is_some());
        }
    }

    fn route(&mut self, happened: IoEvent) {
        let conn = match &happened {
            IoEvent::Open { conn, listener, .. } => {
                let listener = listener.unwrap_or(*conn);
                if self.servers.owns(listener) {
                    return self.servers.opened(&mut self.turn, *conn, listener);
                }
                listener
            }
            IoEvent::Bytes { conn, .. } | IoEvent::Closed { conn, .. } => *conn,
            IoEvent::Signal(_) => return,
        };
        if let Some(f) = self.owner.get(&conn).copied() {
            if let IoEvent::Closed { conn, .. } = &happened {
                self.owner.remove(conn);
            }
            self.forwarders[f].forwarder.handle_event(&mut self.turn, happened);
            self.adopt(f);
        } else if self.servers.owns(conn) {
            match happened {
                IoEvent::Bytes { conn, bytes } => {
                    self.servers.bytes(&mut self.turn, conn, &bytes, &mut self.chance);
                    self.arrivals();
                }
                IoEvent::Closed { conn, .. } => self.servers.closed(conn),
                _ => {}
            }
        } else if self.clients.owns(conn) {
            match happened {
                IoEvent::Bytes { conn, bytes } => self.clients.bytes(&mut self.turn, conn, &bytes),
                IoEvent::Closed { conn, reason } if reason != CloseReason::Finished => {
                    self.clients.closed(&mut self.turn, conn)
                }
                _ => {}
            }
        }
    }

    /// What servers were sent since, with whom the forwarder was joined to then.
    fn arrivals(&mut self) {
        let zero = self.zero;
        for server in &mut self.servers.all {
            for sent in std::mem::take(&mut server.sent) {
                let Some(forwarder) = sent.proxy.strip_prefix('f').and_then(|n| n.parse::<usize>().ok())
                else {
                    continue;
                };
                let joined = self.forwarders.get(forwarder).and_then(|h| h.joined);
                let at = sent.at.saturating_sub(zero);
                let soon = self.back.is_some_and(|back| at >= back && at < back + Duration::from_secs(30));
                for (count, bad) in self.to_bad.iter_mut().zip(&self.bad) {
                    *count += usize::from(soon && bad.contains(&server.name));
                }
                self.evidence.arrivals.push(Arrival { at, server: server.name.clone(), forwarder, joined });
            }
        }
    }

    fn look(&mut self, now: Duration) {
        let told = self.shared.told.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let mut last: BTreeMap<(usize, &str), &str> = BTreeMap::new();
        told.iter().for_each(|t| _ = last.insert((t.planner, t.server.as_str()), t.mode));
        // Each planner lists one that is ready, there, and warm.
        let warm = |planner: usize| {
            self.servers.all.iter().enumerate().any(|(k, s)| {
                last.get(&(planner, s.name.as_str())) == Some(&"ready")
                    && self.servers.is_up(k)
                    && self.servers.warmth(k, self.turn.now()) >= 1.0
            })
        };
        if (0..self.planners.len()).all(warm) {
            match self.evidence.warm_listed.last_mut().filter(|(_, to)| now <= *to + 3 * LOOK) {
                Some(span) => span.1 = now,
                None => self.evidence.warm_listed.push((now, now)),
            }
        }
        for (f, held) in self.forwarders.iter().enumerate() {
            let tables = held.forwarder.proxy().tables();
            let bare = (0..CLASSES.len()).filter(|c| tables.entries(CLASSES[*c].0).is_empty()).collect();
            let joined = held.joined.map(|j| j.0);
            self.evidence.looks.push(Observation { at: now, forwarder: f, joined, bare });
        }
    }

    fn close(&mut self, shift: Duration) -> Outcomes {
        let metrics = self.planners.iter().filter_map(|p| read_metrics(p.metrics)).collect::<Vec<_>>();
        self.shared.done.store(true, Ordering::Relaxed);
        for thread in std::mem::take(&mut self.threads) {
            let _ = thread.join();
        }
        let (memory, cpu) = self.planners.first().and_then(Process::id).map(used).unwrap_or_default();
        self.planners.iter_mut().for_each(Process::kill);
        let most = |name: &str| metrics.iter().filter_map(|m| m.get(name)).copied().fold(0.0, f64::max);
        let evidence = &mut self.evidence;
        evidence.lines_waiting = most("runloom_lines_waiting_most") as u64;
        evidence.doubled = self.servers.doubled();
        let told = self.shared.told.lock().unwrap_or_else(|e| e.into_inner()).clone();
        // Threads reckon from the start of the rig, the evidence from the start of the day.
        evidence.told = told
            .into_iter()
            .map(|mut t| {
                t.at = t.at.saturating_sub(shift);
                t
            })
            .collect();
        evidence.told.sort_by_key(|t| t.at);
        let from = |at: Duration| at.saturating_sub(self.zero);
        evidence.fell = self
            .servers
            .all
            .iter()
            .filter_map(|s| s.fell.map(|f| (s.name.clone(), from(f), from(s.started))))
            .collect();
        let limits = Limits {
            bare: self.day.bare,
            drain: self.day.drain,
            only_drains_bind: self.day.only_drains_bind,
            backlog: backlog(&self.day),
            messages: 0,
        };
        let mut counts = ProxyCounts::default();
        for held in &self.forwarders {
            let c = held.forwarder.proxy().counts();
            counts.arrived += c.arrived;
            counts.succeeded += c.succeeded;
            counts.retries += c.retries;
            counts.over_admission_rate += c.over_admission_rate;
            counts.no_endpoint += c.no_endpoint;
            counts.failed += c.failed;
        }
        let tally = &mut self.clients.tally;
        tally.took.sort_unstable();
        let at = |part: f64| tally.took.get((tally.took.len() as f64 * part) as usize).copied().unwrap_or(0);
        let edits = self.shared.outcomes.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let mut all = BTreeMap::new();
        metrics.iter().flatten().for_each(|(k, v)| _ = all.insert(k.clone(), *v));
        Outcomes {
            queries: tally.queries,
            handled: tally.handled,
            in_time: tally.in_time,
            service: tally.payoff_got / tally.payoff_asked.max(1e-9),
            doubled: evidence.doubled,
            broken: broken(evidence, &limits),
            further: counts.retries,
            lines: self.lines,
            messages: evidence.messages.values().map(|m| m.len() as u64).sum(),
            edits,
            refused: tally.refused.clone(),
            counts,
            fell: evidence.fell.len(),
            took_p50: at(0.5),
            took_p99: at(0.99),
            lines_waiting: evidence.lines_waiting,
            metrics: all,
            planner_memory_kb: memory,
            planner_cpu: cpu,
            settled: self.settled,
        }
    }
}

/// Resident memory in KiB and processor time of a process, by the kernel's word; a tick is 10 ms.
fn used(id: u32) -> (u64, Duration) {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let memory = resident.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: u64 = [11, 12].iter().filter_map(|k| fields.get(*k)?.parse::<u64>().ok()).sum();
    (memory, Duration::from_millis(ticks * 10))
}

pub fn tls_xml(papers: &TlsFiles, rules: &str) -> String {
    format!(
        "<tls><certificate>{}</certificate><key>{}</key><trust>{}</trust>{rules}</tls>",
        papers.certificate.display(),
        papers.key.display(),
        papers.trust.display()
    )
}

/// A planner's metrics, by the text that it serves.
pub fn read_metrics(at: SocketAddr) -> Option<BTreeMap<String, f64>> {
    use std::io::{Read, Write};
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: planner\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let line = |l: &str| l.rsplit_once(' ').and_then(|(k, v)| Some((k.to_string(), v.parse().ok()?)));
    Some(text.lines().filter(|l| l.starts_with("runloom_")).filter_map(line).collect())
}

#[cfg(test)]
mod tests {
    use super::free;
    use std::collections::BTreeSet;
    use std::net::TcpListener;

    #[test]
    fn an_address_that_was_given_out_is_the_planners_over_its_restarts_and_nobody_elses() {
        let mine = free::<64>().unwrap();
        let others: Vec<_> = (0..8).map(|_| std::thread::spawn(|| free::<64>().unwrap())).collect();
        let others = others.into_iter().flat_map(|o| o.join().unwrap());
        assert_eq!(mine.into_iter().chain(others).collect::<BTreeSet<_>>().len(), 9 * 64);
        for at in mine {
            let planner = TcpListener::bind(at).unwrap();
            assert!(TcpListener::bind(at).is_err(), "two listen at {at}");
            drop(planner);
            TcpListener::bind(at).unwrap();
        }
        let any = || TcpListener::bind("127.0.0.1:0").unwrap();
        let open: Vec<TcpListener> = (0..200).map(|_| any()).collect();
        assert!(open.iter().all(|l| !mine.contains(&l.local_addr().unwrap())));
    }
}

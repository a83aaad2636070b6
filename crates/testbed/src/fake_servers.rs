//! Stand-in servers: cores that work, a queue, a cold start, and troubles by script. Each notes who sent what.

use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};
use runloom_daemon::http::{serialize_response, Message, MessageReader};
use runloom_event_loop::{BufferLimits, ConnectionId, EventLoop, Security};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A server's queue: what it cannot begin within a few seconds it turns away.
const QUEUE_MOST: usize = 64;
/// Sent more than so many times what it can do at that moment, for so long, a cold server falls over.
pub const FALL_MULTIPLE: f64 = 4.0;
pub const FALL_SPAN: Duration = Duration::from_secs(3);
/// A cold server starts with this part of its capacity.
pub const COLD_FROM: f64 = 0.2;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    Well,
    /// Takes queries and answers none.
    Hangs,
    /// The machine is silent: nothing is accepted, nothing answered.
    Silent,
    /// This part of the queries fails fast.
    Fails(f64),
}

/// A query that a server was sent.
#[derive(Debug, Clone)]
pub struct Sent {
    pub at: Duration,
    pub proxy: String,
}

struct Job {
    conn: ConnectionId,
    key: String,
    class: String,
}

pub struct Server {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    listener: Option<ConnectionId>,
    pub health: Health,
    pub slow: f64,
    /// Mean work of some queries is so many times the usual.
    pub costly: f64,
    pub started: Duration,
    /// Started cold: not at the very beginning of the day.
    pub cold: bool,
    pub fell: Option<Duration>,
    readers: BTreeMap<ConnectionId, MessageReader>,
    running: Vec<(Duration, Job)>,
    queue: VecDeque<Job>,
    arrivals: VecDeque<(Duration, f64)>,
    pub sent: Vec<Sent>,
    busy: Duration,
    looked: Duration,
    util: f64,
}

pub struct Servers {
    pub all: Vec<Server>,
    of: BTreeMap<ConnectionId, usize>,
    work: Duration,
    cores: usize,
    warm: Duration,
    /// Effects by key, of the class that must not run twice.
    pub effects: BTreeMap<String, u32>,
    pub handled: u64,
}

impl Servers {
    pub fn new(work: Duration, cores: usize, warm: Duration) -> Servers {
        let (all, of, effects) = (vec![], BTreeMap::new(), BTreeMap::new());
        Servers { all, of, work, cores, warm, effects, handled: 0 }
    }

    /// Starts one that was not there before.
    pub fn add(&mut self, turn: &mut EventLoop, zone: &str, cold: bool) -> io::Result<usize> {
        let (listener, address) = listen(turn, SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let id = self.all.len();
        self.of.insert(listener, id);
        let now = turn.now();
        self.all.push(Server {
            name: format!("s{id}"),
            zone: zone.to_string(),
            address,
            listener: Some(listener),
            health: Health::Well,
            slow: 1.0,
            costly: 1.0,
            started: now,
            cold,
            fell: None,
            readers: BTreeMap::new(),
            running: vec![],
            queue: VecDeque::new(),
            arrivals: VecDeque::new(),
            sent: vec![],
            busy: Duration::ZERO,
            looked: now,
            util: 0.0,
        });
        Ok(id)
    }

    /// The process dies: connections are reset, what ran is lost.
    pub fn stop(&mut self, turn: &mut EventLoop, id: usize) {
        let server = &mut self.all[id];
        for conn in std::mem::take(&mut server.readers).into_keys() {
            self.of.remove(&conn);
            turn.cut(conn);
        }
        (server.running, server.queue) = (vec![], VecDeque::new());
        if let Some(listener) = server.listener.take() {
            self.of.remove(&listener);
            turn.close_listener(listener);
        }
    }

    /// It comes back cold, under the same name and address.
    pub fn start(&mut self, turn: &mut EventLoop, id: usize) -> io::Result<()> {
        let server = &mut self.all[id];
        if server.listener.is_none() && server.fell.is_none() {
            let (listener, _) = listen(turn, server.address)?;
            self.of.insert(listener, id);
            server.listener = Some(listener);
            (server.started, server.cold) = (turn.now(), true);
            (server.health, server.slow, server.costly) = (Health::Well, 1.0, 1.0);
            server.arrivals.clear();
        }
        Ok(())
    }

    pub fn is_up(&self, id: usize) -> bool {
        self.all[id].listener.is_some()
    }

    /// The part of its capacity that it has by its age.
    pub fn warmth(&self, id: usize, now: Duration) -> f64 {
        let server = &self.all[id];
        let age = now.saturating_sub(server.started).as_secs_f64() / self.warm.as_secs_f64().max(0.001);
        if server.cold {
            (COLD_FROM + (1.0 - COLD_FROM) * age).min(1.0)
        } else {
            1.0
        }
    }

    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.of.contains_key(&conn)
    }

    pub fn opened(&mut self, turn: &mut EventLoop, conn: ConnectionId, listener: ConnectionId) {
        let Some(id) = self.of.get(&listener).copied() else { return };
        if self.all[id].health == Health::Silent {
            // Accepted by the machine's kernel only: nobody ever reads it.
            turn.hold(conn, true);
        }
        self.of.insert(conn, id);
        self.all[id].readers.insert(conn, MessageReader::requests());
    }

    pub fn closed(&mut self, conn: ConnectionId) {
        if let Some(id) = self.of.remove(&conn) {
            self.all[id].readers.remove(&conn);
        }
    }

    pub fn bytes(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8], chance: &mut StdRng) {
        let Some(id) = self.of.get(&conn).copied() else { return };
        let Some(reader) = self.all[id].readers.get_mut(&conn) else { return };
        reader.push(bytes);
        while let Some(Ok(Some(query))) = self.all[id].readers.get_mut(&conn).map(MessageReader::next_message)
        {
            self.came(turn, id, conn, &query, chance);
        }
    }

    fn came(
        &mut self,
        turn: &mut EventLoop,
        id: usize,
        conn: ConnectionId,
        query: &Message,
        chance: &mut StdRng,
    ) {
        let now = turn.now();
        if query.path == "/health" {
            if !matches!(self.all[id].health, Health::Hangs | Health::Silent) {
                turn.write(conn, &serialize_response(200, &self.load(id), b"well\n"));
            }
            return;
        }
        let mut parts = query.path.split('/').skip(1).map(str::to_string);
        let (class, key) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let proxy = query.header("runloom-proxy").unwrap_or_default().to_string();
        let work = self.work.as_secs_f64();
        let warmth = self.warmth(id, now);
        let cores = self.cores as f64;
        let server = &mut self.all[id];
        server.sent.push(Sent { at: now, proxy });
        if server.cold {
            server.arrivals.push_back((now, work));
            while server.arrivals.front().is_some_and(|(at, _)| *at + FALL_SPAN < now) {
                server.arrivals.pop_front();
            }
            let sent: f64 = server.arrivals.iter().map(|(_, w)| w).sum();
            // A little slack for chance, as queries are whole.
            if warmth < 1.0 && sent > FALL_MULTIPLE * warmth * cores * FALL_SPAN.as_secs_f64() + 3.0 * work {
                server.fell = Some(now);
                return self.stop(turn, id);
            }
        }
        match server.health {
            Health::Hangs | Health::Silent => return,
            Health::Fails(part) if rand::Rng::random::<f64>(chance) < part => {
                return turn.write(conn, &serialize_response(500, &[], b""));
            }
            _ => {}
        }
        let job = Job { conn, key, class };
        if server.running.len() < self.cores {
            self.begin(id, now, job, chance);
        } else if server.queue.len() < QUEUE_MOST {
            server.queue.push_back(job);
        } else {
            // An explicit word that it never began.
            turn.write(conn, &serialize_response(503, &[("runloom-turned-away".into(), "1".into())], b""));
        }
    }

    fn begin(&mut self, id: usize, now: Duration, job: Job, chance: &mut StdRng) {
        if job.class == "loan-checkout" {
            *self.effects.entry(job.key.clone()).or_default() += 1;
        }
        let warmth = self.warmth(id, now);
        let server = &mut self.all[id];
        // A half percent of the queries are costly while they are.
        let costly =
            if server.costly > 1.0 && rand::Rng::random::<f64>(chance) < 0.02 { server.costly } else { 1.0 };
        // A coefficient of variation of 0.4, mean 1.
        let spread = LogNormal::new(-0.075, 0.387).map_or(1.0, |d| d.sample(chance));
        let takes = self.work.mul_f64((spread * server.slow * costly / warmth).clamp(0.01, 1000.0));
        server.running.push((now + takes, job));
    }

    fn load(&self, id: usize) -> Vec<(String, String)> {
        let server = &self.all[id];
        vec![(
            "runloom-load".into(),
            format!("{},{:.3}", server.running.len() + server.queue.len(), server.util),
        )]
    }

    pub fn wakes_at(&self) -> Option<Duration> {
        self.all.iter().flat_map(|s| s.running.iter().map(|(at, _)| *at)).min()
    }

    /// Ends what is worked off, and begins what waits.
    pub fn turned(&mut self, turn: &mut EventLoop, chance: &mut StdRng) {
        let now = turn.now();
        for id in 0..self.all.len() {
            let span = now.saturating_sub(self.all[id].looked);
            let running = self.all[id].running.len() as u32;
            self.all[id].busy += span * running;
            self.all[id].looked = now;
            while let Some(k) = self.all[id].running.iter().position(|(at, _)| *at <= now) {
                let (_, job) = self.all[id].running.swap_remove(k);
                let share = span.as_secs_f64().min(1.0) * 0.5;
                let busy = self.all[id].running.len() as f64 / self.cores as f64;
                self.all[id].util += (busy - self.all[id].util) * share.max(0.05);
                if !matches!(self.all[id].health, Health::Hangs | Health::Silent) {
                    turn.write(job.conn, &serialize_response(200, &self.load(id), b"done\n"));
                    self.handled += 1;
                }
                if let Some(next) = self.all[id].queue.pop_front() {
                    self.begin(id, now, next, chance);
                }
            }
        }
    }

    pub fn doubled(&self) -> usize {
        self.effects.values().filter(|n| **n > 1).count()
    }

    pub fn names(&self) -> BTreeSet<String> {
        self.all.iter().map(|s| s.name.clone()).collect()
    }
}

fn listen(turn: &mut EventLoop, at: SocketAddr) -> io::Result<(ConnectionId, SocketAddr)> {
    turn.listen(
        at,
        Security::Plain,
        BufferLimits { idle_timeout: Some(Duration::from_secs(60)), ..BufferLimits::default() },
    )
}

//! Clients: Poisson arrivals at the forwarders, one own retry where that is safe, a key a checkout.

use rand::rngs::StdRng;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use runloom_daemon::http::{serialize_request, Message, MessageReader};
use runloom_event_loop::{BufferLimits, ConnectionId, EventLoop, Security};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Name, payoff, soft limit and outer limit in milliseconds, whether it may run again, share of the queries.
pub const CLASSES: [(&str, f64, u64, u64, &str, f64); 3] = [
    ("search", 1.0, 750, 2500, "safe", 0.5),
    ("shelf", 1.0, 1200, 4000, "safe", 0.25),
    ("loan-checkout", 2.0, 500, 1500, "never", 0.25),
];
/// Idle connections that clients keep to one forwarder.
const POOL_MOST: usize = 8;

#[derive(Debug, Clone)]
struct Query {
    class: usize,
    key: String,
    forwarder: usize,
    came: Duration,
    retried: bool,
}

struct Line {
    forwarder: usize,
    reader: MessageReader,
    query: Option<Query>,
}

#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub queries: u64,
    pub handled: u64,
    pub in_time: u64,
    pub payoff_asked: f64,
    pub payoff_got: f64,
    pub refused: BTreeMap<String, u64>,
    pub retries: u64,
    /// Microseconds, of those handled.
    pub took: Vec<u32>,
}

pub struct Clients {
    forwarders: Vec<SocketAddr>,
    rate: f64,
    pub surge: f64,
    next: Duration,
    number: u64,
    lines: BTreeMap<ConnectionId, Line>,
    pool: Vec<Vec<ConnectionId>>,
    again: VecDeque<(Duration, Query)>,
    pub tally: Tally,
    pub asking: bool,
}

impl Clients {
    pub fn new(forwarders: Vec<SocketAddr>, rate: f64) -> Clients {
        Clients {
            pool: vec![vec![]; forwarders.len()],
            forwarders,
            rate,
            surge: 1.0,
            next: Duration::ZERO,
            number: 0,
            lines: BTreeMap::new(),
            again: VecDeque::new(),
            tally: Tally::default(),
            asking: false,
        }
    }

    pub fn begin(&mut self, now: Duration) {
        (self.asking, self.next) = (true, now);
    }

    pub fn wakes_at(&self) -> Option<Duration> {
        let again = self.again.front().map(|(at, _)| *at);
        let next = (self.asking && self.rate > 0.0).then_some(self.next);
        [again, next].into_iter().flatten().min()
    }

    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.lines.contains_key(&conn)
    }

    pub fn out(&self) -> usize {
        self.lines.values().filter(|l| l.query.is_some()).count() + self.again.len()
    }

    pub fn turned(&mut self, turn: &mut EventLoop, chance: &mut StdRng) {
        let now = turn.now();
        while self.asking && self.next <= now && self.rate > 0.0 {
            let gap = Exp::new(self.rate * self.surge).map_or(1.0, |d| d.sample(chance));
            self.next += Duration::from_secs_f64(gap.min(60.0));
            let draw: f64 = chance.random();
            let mut sum = 0.0;
            let class = CLASSES.iter().position(|c| {
                sum += c.5;
                draw < sum
            });
            let class = class.unwrap_or(0);
            self.number += 1;
            // Some forwarders get far more than others, as processes of unlike clients do.
            let forwarder = (chance.random::<f64>().powf(1.5) * self.forwarders.len() as f64) as usize;
            let key = format!("k{}", self.number);
            self.tally.queries += 1;
            self.tally.payoff_asked += CLASSES[class].1;
            self.send(turn, Query { class, key, forwarder, came: now, retried: false });
        }
        while self.again.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, query)) = self.again.pop_front() else { break };
            self.tally.retries += 1;
            self.send(turn, query);
        }
    }

    fn send(&mut self, turn: &mut EventLoop, query: Query) {
        let f = query.forwarder;
        let pooled = self.pool[f].pop();
        let conn = match pooled {
            Some(conn) => conn,
            None => match turn.dial(self.forwarders[f], &Security::Plain, BufferLimits::default()) {
                Ok(conn) => {
                    self.lines
                        .insert(conn, Line { forwarder: f, reader: MessageReader::responses(), query: None });
                    conn
                }
                Err(_) => return self.failed(turn.now(), query, "connect"),
            },
        };
        let path = format!("/{}/{}", CLASSES[query.class].0, query.key);
        let text = Message { method: "POST".into(), path, ..Message::default() };
        turn.write(conn, &serialize_request(&text));
        if let Some(line) = self.lines.get_mut(&conn) {
            line.query = Some(query);
        }
    }

    pub fn bytes(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.reader.push(bytes);
        let Ok(Some(answer)) = line.reader.next_message() else { return };
        let Some(query) = line.query.take() else { return };
        let (now, f) = (turn.now(), line.forwarder);
        if self.pool[f].len() < POOL_MOST {
            self.pool[f].push(conn);
        } else {
            self.lines.remove(&conn);
            turn.cut(conn);
        }
        if answer.code == 200 {
            let took = now.saturating_sub(query.came);
            let class = &CLASSES[query.class];
            self.tally.handled += 1;
            self.tally.took.push(took.as_micros().min(u128::from(u32::MAX)) as u32);
            if took <= Duration::from_millis(class.2) {
                self.tally.in_time += 1;
                self.tally.payoff_got += class.1;
            } else if took <= Duration::from_millis(class.3) {
                self.tally.payoff_got += class.1 * 0.1;
            }
        } else {
            let why = answer.header("runloom-refused").unwrap_or("server").to_string();
            self.failed(now, query, &why);
        }
    }

    pub fn closed(&mut self, turn: &mut EventLoop, conn: ConnectionId) {
        let Some(line) = self.lines.remove(&conn) else { return };
        self.pool[line.forwarder].retain(|c| *c != conn);
        if let Some(query) = line.query {
            self.failed(turn.now(), query, "broken");
        }
    }

    /// One own retry where repeating is safe, after a wait.
    fn failed(&mut self, now: Duration, query: Query, why: &str) {
        *self.tally.refused.entry(why.to_string()).or_default() += 1;
        if CLASSES[query.class].4 == "safe" && !query.retried {
            self.again.push_back((now + Duration::from_millis(100), Query { retried: true, ..query }));
        }
    }
}

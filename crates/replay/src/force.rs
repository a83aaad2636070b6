//! The tables in force at each proxy, from the messages that went out and when they were confirmed; and which
//! rules that breaks.

use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use runloom_model::schema::derive;
use runloom_model::{Schema, PROXY_XSD};
use runloom_netconf::edit::{apply, Operation};
use runloom_netconf::tree::Element;
use runloom_proxy::RouteTables;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The bench's span in which a cold server has to be sent too much.
const COLD_SPAN: Duration = Duration::from_secs(3);
/// Tables are looked at this often: little against graces of seconds, and reports come twice a second.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// One proxy: what it holds, and what is on its way to it.
#[derive(Default)]
struct Place {
    joined: Duration,
    data: Arc<Element>,
    held: RouteTables,
    flying: VecDeque<(u64, String, u32)>,
    /// Classes without a line, since when.
    bare: BTreeMap<String, Duration>,
    messages: VecDeque<Duration>,
}

/// The world as a record tells of it, with the tables as they come in force.
pub struct Force {
    schema: Schema,
    fleet: Fleet,
    places: BTreeMap<String, Place>,
    /// Server: drains or is gone since then, by the list.
    closed: BTreeMap<String, Duration>,
    /// Server: started cold then; none: warm.
    open: BTreeMap<String, Option<u64>>,
    weights: BTreeMap<String, f64>,
    /// Queries a second by proxy and class; good answers a second by proxy and server; the best that a unit of
    /// weight of a warm server was seen to take.
    came: BTreeMap<(String, String), f64>,
    good: BTreeMap<(String, String), f64>,
    can: f64,
    looked: Duration,
    /// Cold servers that would be sent more than they can bear, since when.
    pushed: BTreeMap<String, Duration>,
    epoch: u64,
    broken: BTreeSet<String>,
    pub lines_most: u64,
    pub messages: u64,
    pub lines: u64,
}

impl Force {
    pub fn new(fleet: Fleet, epoch: u64) -> Force {
        Force {
            schema: Schema::root(derive(PROXY_XSD, &["tables"]).unwrap_or_default()),
            fleet,
            places: BTreeMap::new(),
            closed: BTreeMap::new(),
            open: BTreeMap::new(),
            weights: BTreeMap::new(),
            came: BTreeMap::new(),
            good: BTreeMap::new(),
            can: 0.0,
            looked: Duration::ZERO,
            pushed: BTreeMap::new(),
            epoch,
            broken: BTreeSet::new(),
            lines_most: 0,
            messages: 0,
            lines: 0,
        }
    }

    /// The rules that broke, each once with its first case.
    pub fn broken(&self) -> Vec<String> {
        self.broken.iter().cloned().collect()
    }

    /// What every proxy holds.
    pub fn held(&self, proxy: &str) -> Option<&RouteTables> {
        self.places.get(proxy).map(|p| &p.held).filter(|h| h.is_from_planner())
    }

    /// Takes in what is not the planner's doing: joins, leaves, lists.
    pub fn happened(&mut self, entry: &Entry) {
        let now = Duration::from_micros(entry.at);
        match &entry.what {
            RecordedEvent::Joined { proxy, .. } => {
                let place =
                    Place { joined: now, data: Arc::new(Element::new("", "data")), ..Place::default() };
                // What it holds from before is not known here; it keeps what the record saw it take.
                let old = self.places.remove(proxy);
                let (data, held) =
                    old.map_or((place.data.clone(), RouteTables::default()), |o| (o.data, o.held));
                self.places.insert(proxy.clone(), Place { data, held, ..place });
            }
            RecordedEvent::Left { proxy } => {
                if let Some(place) = self.places.get_mut(proxy) {
                    (place.joined, place.flying) = (Duration::MAX, VecDeque::new());
                }
            }
            RecordedEvent::Listed { servers, gone, .. } => {
                for s in servers {
                    self.weights.insert(s.name.clone(), s.weight);
                    if s.draining {
                        self.closed.entry(s.name.clone()).or_insert(now);
                        self.open.remove(&s.name);
                    } else {
                        self.closed.remove(&s.name);
                        self.open.insert(s.name.clone(), s.started);
                    }
                }
                for name in gone.iter().filter(|_| !self.fleet.only_drains_bind) {
                    self.closed.entry(name.clone()).or_insert(now);
                    self.open.remove(name);
                }
            }
            RecordedEvent::Report { proxy, span, met, came } => {
                let seconds = (*span as f64 / 1e6).max(0.1);
                for c in came {
                    self.came.insert((proxy.clone(), c.class.clone()), c.queries as f64 / seconds);
                }
                for m in met {
                    let good = m.tries.saturating_sub(m.failed) as f64 / seconds;
                    self.good.insert((m.server.clone(), proxy.clone()), good);
                }
            }
            _ => {}
        }
    }

    /// Rule 4 by reckoned load, as the guard reckons it: what all proxies' tables would send to a cold server
    /// against the stated multiple of what it can do at its age, for longer than the stated span.
    fn look_cold(&mut self, now: Duration) {
        let wall = self.epoch + now.as_millis() as u64;
        let warm_after = self.fleet.warm_after.as_secs_f64().max(0.001);
        let part = |started: &Option<u64>| {
            let age = started.map_or(f64::MAX, |at| wall.saturating_sub(at) as f64 / 1000.0);
            (self.fleet.cold_from + (1.0 - self.fleet.cold_from) * age / warm_after).min(1.0)
        };
        let weight = |name: &str| self.weights.get(name).copied().unwrap_or(1.0).max(1e-9);
        for (name, _) in self.open.iter().filter(|(_, started)| part(started) >= 1.0) {
            let good = self.good.range((name.clone(), String::new())..).take_while(|((s, _), _)| s == name);
            self.can = self.can.max(good.map(|(_, g)| g).sum::<f64>() / weight(name));
        }
        let cold: Vec<(String, f64)> =
            self.open.iter().map(|(n, s)| (n.clone(), part(s))).filter(|(_, p)| *p < 1.0).collect();
        let mut over = BTreeMap::new();
        for (name, part) in cold.iter().filter(|_| self.can > 0.0) {
            let bound = self.fleet.cold_multiple * part * self.can * weight(name);
            if self.load(name) > bound {
                over.insert(name.clone(), self.pushed.get(name).copied().unwrap_or(now));
            }
        }
        let late = over.iter().find(|(_, since)| now >= **since + COLD_SPAN).map(|(name, _)| name.clone());
        self.broken.extend(late.map(|name| format!("rule 4: {name} would be pushed over")));
        self.pushed = over;
    }

    /// Queries a second that the tables in force send to a server.
    fn load(&self, server: &str) -> f64 {
        let mut load = 0.0;
        for (proxy, place) in &self.places {
            for class in &self.fleet.classes {
                let lines = place.held.entries(&class.name);
                let all: f64 = lines.iter().map(|l| l.weight).sum();
                let own = lines.iter().find(|l| l.server == server).map_or(0.0, |l| l.weight / all);
                if own > 0.0 {
                    let rate = self.came.get(&(proxy.clone(), class.name.clone())).copied().unwrap_or(0.0);
                    load += own * rate;
                }
            }
        }
        load
    }

    /// Each server's part of the tables in force, all proxies and classes alike.
    pub fn parts(&self) -> BTreeMap<String, f64> {
        let mut parts: BTreeMap<String, f64> = BTreeMap::new();
        let mut tables = 0.0;
        for place in self.places.values().filter(|p| p.held.is_from_planner()) {
            for class in &self.fleet.classes {
                let lines = place.held.entries(&class.name);
                let all: f64 = lines.iter().map(|l| l.weight).sum();
                tables += if lines.is_empty() { 0.0 } else { 1.0 };
                lines.iter().for_each(|l| *parts.entry(l.server.clone()).or_default() += l.weight / all);
            }
        }
        parts.values_mut().for_each(|p| *p /= f64::max(tables, 1.0));
        parts
    }

    /// A message went out.
    pub fn sent(&mut self, now: Duration, proxy: &str, number: u64, text: &str, lines: u32) {
        (self.messages, self.lines) = (self.messages + 1, self.lines + u64::from(lines));
        let (most, over) = (self.fleet.channel.messages, self.fleet.channel.messages_over);
        let Some(place) = self.places.get_mut(proxy) else { return };
        place.flying.push_back((number, text.to_string(), lines));
        place.messages.push_back(now);
        while place.messages.front().is_some_and(|at| *at + over < now) {
            place.messages.pop_front();
        }
        if most > 0.0 && place.messages.len() as f64 > most {
            self.broken.insert("rule 5: too many messages to one proxy".into());
        }
        let head = self.fleet.channel.overhead as u64;
        let waiting = self.places.values().flat_map(|p| &p.flying).map(|f| u64::from(f.2) + head).sum();
        self.lines_most = self.lines_most.max(waiting);
        if waiting as f64 > self.fleet.channel.backlog {
            self.broken.insert("rule 5: more lines waited than may".into());
        }
    }

    /// A proxy confirmed a message: it is in force there.
    pub fn applied(&mut self, proxy: &str, number: u64) {
        let Some(place) = self.places.get_mut(proxy) else { return };
        while let Some((_, text, _)) = place.flying.pop_front_if_due(number) {
            let Ok(edit) = Element::parse(&text) else { continue };
            let Some(config) = edit.child("config") else { continue };
            let (data, faults) = apply(&self.schema, &place.data, config, Operation::Merge, false);
            if faults.is_empty() {
                place.data = data;
            }
        }
        if let Some(Ok(held)) = place.data.child("tables").map(RouteTables::read) {
            place.held = held;
        }
    }

    /// Looks at all tables in force.
    pub fn look(&mut self, now: Duration) {
        if now < self.looked + LOOK_EVERY {
            return;
        }
        self.looked = now;
        self.look_cold(now);
        let warm = |started: &Option<u64>| {
            let age = |at: &u64| (self.epoch + now.as_millis() as u64).saturating_sub(*at);
            started.as_ref().is_none_or(|at| age(at) >= self.fleet.warm_after.as_millis() as u64)
        };
        let any_warm = self.open.values().any(warm);
        for (name, place) in
            self.places.iter_mut().filter(|(_, p)| p.joined <= now && p.held.is_from_planner())
        {
            for class in &self.fleet.classes {
                let lines = place.held.entries(&class.name);
                let open = lines.iter().any(|l| !self.closed.contains_key(&l.server));
                if open || !any_warm {
                    place.bare.remove(&class.name);
                } else {
                    let since = *place.bare.entry(class.name.clone()).or_insert(now);
                    if now > since + self.fleet.grace.bare {
                        self.broken.insert(format!("rule 1: {name} had no server for {}", class.name));
                    }
                }
                let late = |l: &&runloom_proxy::route_tables::TableEntry| {
                    let since = self.closed.get(&l.server).copied();
                    since.is_some_and(|at| now > at.max(place.joined) + self.fleet.grace.drain)
                };
                if let Some(line) = lines.iter().find(late) {
                    self.broken.insert(format!("rule 3: {name} held {} past its grace", line.server));
                }
            }
        }
    }
}

trait PopDue {
    fn pop_front_if_due(&mut self, number: u64) -> Option<(u64, String, u32)>;
}

impl PopDue for VecDeque<(u64, String, u32)> {
    fn pop_front_if_due(&mut self, number: u64) -> Option<(u64, String, u32)> {
        if self.front().is_some_and(|(n, _, _)| *n <= number) {
            return self.pop_front();
        }
        None
    }
}

//! The tables in force at each proxy, from the messages that went out and when they were confirmed; and which
//! rules that breaks.

use runloom_forward::tables::Held;
use runloom_model::fleet::Fleet;
use runloom_model::schema::derive;
use runloom_model::{Schema, PROXY_XSD};
use runloom_netconf::edit::{apply, Operation};
use runloom_netconf::tree::Element;
use runloom_record::{Entry, Happened};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// One proxy: what it holds, and what is on its way to it.
#[derive(Default)]
struct Place {
    joined: Duration,
    data: Arc<Element>,
    held: Held,
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
    pub fn held(&self, proxy: &str) -> Option<&Held> {
        self.places.get(proxy).map(|p| &p.held).filter(|h| h.ordered)
    }

    /// Takes in what is not the planner's doing: joins, leaves, lists.
    pub fn happened(&mut self, entry: &Entry) {
        let now = Duration::from_micros(entry.at);
        match &entry.what {
            Happened::Joined { proxy, .. } => {
                let place =
                    Place { joined: now, data: Arc::new(Element::new("", "data")), ..Place::default() };
                // What it holds from before is not known here; it keeps what the record saw it take.
                let old = self.places.remove(proxy);
                let (data, held) = old.map_or((place.data.clone(), Held::default()), |o| (o.data, o.held));
                self.places.insert(proxy.clone(), Place { data, held, ..place });
            }
            Happened::Left { proxy } => {
                if let Some(place) = self.places.get_mut(proxy) {
                    (place.joined, place.flying) = (Duration::MAX, VecDeque::new());
                }
            }
            Happened::Listed { servers, gone, .. } => {
                for s in servers {
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
            _ => {}
        }
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
        if let Some(Ok(held)) = place.data.child("tables").map(Held::read) {
            place.held = held;
        }
    }

    /// Looks at all tables in force.
    pub fn look(&mut self, now: Duration) {
        let warm = |started: &Option<u64>| {
            let age = |at: &u64| (self.epoch + now.as_millis() as u64).saturating_sub(*at);
            started.as_ref().is_none_or(|at| age(at) >= self.fleet.warm_after.as_millis() as u64)
        };
        let any_warm = self.open.values().any(warm);
        for (name, place) in self.places.iter_mut().filter(|(_, p)| p.joined <= now && p.held.ordered) {
            for class in &self.fleet.classes {
                let lines = place.held.lines(&class.name);
                let open = lines.iter().any(|l| !self.closed.contains_key(&l.server));
                if open || !any_warm {
                    place.bare.remove(&class.name);
                } else {
                    let since = *place.bare.entry(class.name.clone()).or_insert(now);
                    if now > since + self.fleet.grace.bare {
                        self.broken.insert(format!("rule 1: {name} had no server for {}", class.name));
                    }
                }
                let late = |l: &&runloom_forward::tables::Line| {
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

//! The tables as ordered, who is on them, and the messages that carry what changed.

use runloom_controller::{ClassId, ProxyId, RetryPolicy, ServerId, TableId};
use runloom_model::order::{Message, TableEdit};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

type Level = (Option<f64>, RetryPolicy);

/// One table as ordered.
#[derive(Debug, Clone, Default)]
pub struct PublishedTable {
    pub lines: BTreeMap<ServerId, f64>,
    pub levels: BTreeMap<ClassId, Level>,
}

/// What changed of a table since the last messages.
#[derive(Debug, Default)]
struct Delta {
    cleared: bool,
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<ClassId, Level>,
}

#[derive(Debug, Default)]
struct AssignedTables {
    by_class: BTreeMap<ClassId, TableId>,
    /// Bound since the last message: classes, and tables that go out whole.
    fresh: BTreeSet<ClassId>,
    laid: BTreeSet<TableId>,
    /// Tables of this planner that the proxy holds.
    held: BTreeSet<TableId>,
    /// No message since it joined: the first takes the place of all that it holds.
    first: bool,
}

/// How indices are called outside.
pub struct Names<'a> {
    pub server: &'a dyn Fn(ServerId) -> &'a str,
    pub address: &'a dyn Fn(ServerId) -> String,
    pub class: &'a dyn Fn(ClassId) -> &'a str,
}

#[derive(Debug, Default)]
pub struct PublishedTables {
    laid: BTreeMap<TableId, PublishedTable>,
    deltas: BTreeMap<TableId, Delta>,
    bound: BTreeMap<ProxyId, AssignedTables>,
    withdrawn: BTreeSet<ServerId>,
    newly: BTreeMap<ServerId, bool>,
}

/// Stands for every table at once, as the orders have it.
const EVERY: TableId = TableId::MAX;

impl PublishedTables {
    pub fn laid(&self) -> &BTreeMap<TableId, PublishedTable> {
        &self.laid
    }

    pub fn join(&mut self, proxy: ProxyId) {
        self.bound.insert(proxy, AssignedTables { first: true, ..AssignedTables::default() });
    }

    pub fn left(&mut self, proxy: ProxyId) {
        self.bound.remove(&proxy);
    }

    pub fn line(&mut self, table: TableId, server: ServerId, weight: f64) {
        let laid = self.laid.entry(table).or_default();
        // What is ordered again as it stands costs nobody a line.
        if laid.lines.get(&server).copied().unwrap_or(0.0) == weight && !self.deltas.contains_key(&table) {
            return;
        }
        if weight > 0.0 {
            laid.lines.insert(server, weight);
        } else {
            laid.lines.remove(&server);
        }
        self.deltas.entry(table).or_default().lines.insert(server, weight);
    }

    pub fn clear(&mut self, table: TableId) {
        self.laid.insert(table, PublishedTable::default());
        self.deltas.insert(table, Delta { cleared: true, ..Delta::default() });
    }

    pub fn level(&mut self, table: TableId, class: ClassId, level: Option<f64>, tries: RetryPolicy) {
        let tables: Vec<TableId> =
            if table == EVERY { self.laid.keys().copied().collect() } else { vec![table] };
        for table in tables {
            self.laid.entry(table).or_default().levels.insert(class, (level, tries));
            self.deltas.entry(table).or_default().levels.insert(class, (level, tries));
        }
    }

    pub fn withdraw(&mut self, server: ServerId, out: bool) {
        if out {
            self.withdrawn.insert(server);
        } else {
            self.withdrawn.remove(&server);
        }
        self.newly.insert(server, out);
    }

    pub fn bind(&mut self, proxy: ProxyId, table: TableId, classes: impl Iterator<Item = ClassId>) {
        let Some(bound) = self.bound.get_mut(&proxy) else { return };
        for class in classes {
            bound.by_class.insert(class, table);
            bound.fresh.insert(class);
        }
        bound.laid.insert(table);
    }

    /// What changed since the last messages: tables, and servers withdrawn or let in again.
    pub fn changed(&self, names: &Names) -> (Vec<(TableId, TableEdit)>, BTreeMap<String, bool>) {
        let changed = self.deltas.iter().map(|(table, delta)| (*table, self.delta(delta, names)));
        let named = self.newly.iter().map(|(s, out)| ((names.server)(*s).to_string(), *out));
        (changed.collect(), named.collect())
    }

    /// The messages since the last time: proxy, message, lines; also one without lines to those of `also` whom
    /// nothing concerns.
    pub fn take_messages(
        &mut self,
        members: &[ProxyId],
        also: &BTreeSet<ProxyId>,
        names: &Names,
    ) -> Vec<(ProxyId, Rc<Message>, usize)> {
        let mut shared: BTreeMap<Vec<TableId>, (Rc<Message>, usize)> = BTreeMap::new();
        let mut messages = Vec::new();
        for proxy in members {
            let Some(bound) = self.bound.get(proxy) else { continue };
            let on: BTreeSet<TableId> = bound.by_class.values().copied().collect();
            if !bound.fresh.is_empty() {
                let message = self.bind_message(bound, &on, names);
                let lines = message.lines();
                messages.push((*proxy, Rc::new(message), lines));
                continue;
            }
            let changed: Vec<TableId> = on.iter().copied().filter(|t| self.deltas.contains_key(t)).collect();
            // Only those bound by this planner follow its withdrawals by message; others by their first.
            let withdrawals = !self.newly.is_empty() && !on.is_empty();
            let wanted = also.contains(proxy);
            if changed.is_empty() && !withdrawals && !wanted {
                continue;
            }
            // Proxies on the same changed tables get the same message, made once.
            let made = shared.entry(changed).or_insert_with_key(|changed| {
                let message = self.delta_message(changed, withdrawals, names);
                let lines = message.lines();
                (Rc::new(message), lines)
            });
            messages.push((*proxy, made.0.clone(), made.1));
        }
        for bound in self.bound.values_mut().filter(|b| !b.fresh.is_empty()) {
            (bound.first, bound.fresh, bound.laid) = (false, BTreeSet::new(), BTreeSet::new());
            bound.held = bound.by_class.values().copied().collect();
        }
        self.deltas.clear();
        self.newly.clear();
        messages
    }

    fn delta_message(&self, changed: &[TableId], withdrawals: bool, names: &Names) -> Message {
        let mut message = Message::default();
        for table in changed {
            message.tables.insert(*table, self.delta(&self.deltas[table], names));
        }
        if withdrawals {
            let named = self.newly.iter().map(|(s, out)| ((names.server)(*s).to_string(), *out));
            message.withdrawn = named.collect();
        }
        message
    }

    fn delta(&self, delta: &Delta, names: &Names) -> TableEdit {
        edit(delta.cleared, delta.lines.iter(), delta.levels.iter(), names)
    }

    fn bind_message(&self, bound: &AssignedTables, on: &BTreeSet<TableId>, names: &Names) -> Message {
        let mut message = Message { whole: bound.first, ..Message::default() };
        for (class, table) in &bound.by_class {
            if bound.first || bound.fresh.contains(class) {
                message.binds.insert((names.class)(*class).to_string(), *table);
            }
        }
        let empty = PublishedTable::default();
        for table in on {
            if bound.first || bound.laid.contains(table) {
                let laid = self.laid.get(table).unwrap_or(&empty);
                message.tables.insert(*table, edit(true, laid.lines.iter(), laid.levels.iter(), names));
            } else if let Some(delta) = self.deltas.get(table) {
                message.tables.insert(*table, self.delta(delta, names));
            }
        }
        for table in bound.held.difference(on) {
            message.tables.insert(*table, TableEdit { gone: true, ..TableEdit::default() });
        }
        let out: Vec<(ServerId, bool)> = if bound.first {
            self.withdrawn.iter().map(|s| (*s, true)).collect()
        } else {
            self.newly.iter().map(|(s, out)| (*s, *out)).collect()
        };
        message.withdrawn = out.into_iter().map(|(s, out)| ((names.server)(s).to_string(), out)).collect();
        message
    }
}

fn edit<'a>(
    whole: bool,
    lines: impl Iterator<Item = (&'a ServerId, &'a f64)>,
    levels: impl Iterator<Item = (&'a ClassId, &'a Level)>,
    names: &Names,
) -> TableEdit {
    // In a table that goes out whole, a line of weight 0 is one that is not there.
    let kept = lines.filter(|(_, weight)| !whole || **weight > 0.0);
    let line = |(s, w): (&ServerId, &f64)| ((names.server)(*s).to_string(), ((names.address)(*s), *w));
    let level = |(c, l): (&ClassId, &Level)| ((names.class)(*c).to_string(), *l);
    TableEdit { whole, lines: kept.map(line).collect(), levels: levels.map(level).collect(), gone: false }
}

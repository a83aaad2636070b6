//! Compares the guard's decisions on all small fleets with those of a reference model, which enumerates every
//! order in which messages can arrive.

mod support;

use runloom_controller::{ListedState, ServerId, TableId};
use runloom_guard::SafetyGuard;
use std::ops::AddAssign;
use support::{assign, config, list_draining, set_entry, Entries, CLASSES, NOW};

/// Requests per second of each proxy.
const REQUEST_RATE: f64 = 12.0;
/// Limit on the load of a server at its start, as a multiple of an even share: overload multiple times initial
/// capacity.
const COLD_LIMIT: f64 = 4.0 * 0.2;

#[derive(Debug, Clone, Copy, PartialEq)]
enum ServerMode {
    Warm,
    Draining,
    Cold,
}

const SERVER_MODES: [ServerMode; 3] = [ServerMode::Warm, ServerMode::Draining, ServerMode::Cold];

/// A small fleet: the mode of each server, and the number of proxies.
struct Fleet {
    modes: Vec<ServerMode>,
    proxies: usize,
}

impl Fleet {
    fn is_open(&self, server: ServerId) -> bool {
        self.modes[server] != ServerMode::Draining
    }

    fn open_servers(&self) -> usize {
        (0..self.modes.len()).filter(|server| self.is_open(*server)).count()
    }

    fn has_warm_server(&self) -> bool {
        self.modes.contains(&ServerMode::Warm)
    }

    /// Whether a table lists no open server.
    fn has_no_open_server(&self, entries: &Entries) -> bool {
        !entries.keys().any(|server| self.is_open(*server))
    }
}

/// The entries of each class's table.
type Tables = [Entries; CLASSES];

fn share(entries: &Entries, server: ServerId) -> f64 {
    entries.get(&server).map_or(0.0, |weight| weight / entries.values().sum::<f64>())
}

fn weight(entries: &Entries, server: ServerId) -> f64 {
    entries.get(&server).copied().unwrap_or(0.0)
}

/// Which combinations of table versions may be in force at a proxy.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    /// All classes have the tables of the same message, since a proxy applies a message as a whole.
    PerMessage,
    /// Each class may have the table of a different message. The guard assumes this, which is conservative.
    PerClass,
}

/// The table versions that may be in force at each proxy.
#[derive(Clone, Default)]
struct Model {
    /// For each proxy, the tables after each message, from the last acknowledged message on.
    versions: Vec<Vec<Tables>>,
}

impl Model {
    /// The newest tables.
    fn published(&self) -> &Tables {
        self.versions[0].last().unwrap()
    }

    /// Adds a message to all proxies that replaces the entries of a table.
    fn publish(&mut self, table: usize, entries: &Entries) {
        for versions in &mut self.versions {
            let mut next = versions.last().unwrap().clone();
            next[table] = entries.clone();
            versions.push(next);
        }
    }

    /// The most requests per second that a server gets, over all combinations of versions that may be in force.
    fn max_load(&self, server: ServerId, arrival: Arrival) -> f64 {
        let indices_per_proxy = match arrival {
            Arrival::PerMessage => 1,
            Arrival::PerClass => CLASSES,
        };
        let mut version_indices = vec![0usize; self.versions.len() * indices_per_proxy];
        let mut max_load: f64 = 0.0;
        loop {
            let load_of_proxy = |proxy: usize| -> f64 {
                let load_of_class = |class: usize| {
                    let index = version_indices[proxy * indices_per_proxy + class % indices_per_proxy];
                    share(&self.versions[proxy][index][class], server) * REQUEST_RATE / CLASSES as f64
                };
                (0..CLASSES).map(load_of_class).sum()
            };
            max_load = max_load.max((0..self.versions.len()).map(load_of_proxy).sum());
            let has_next =
                |index: &usize| version_indices[*index] + 1 < self.versions[index / indices_per_proxy].len();
            let Some(next) = (0..version_indices.len()).find(has_next) else { return max_load };
            version_indices[next] += 1;
            version_indices[..next].fill(0);
        }
    }
}

/// One command that sets an entry, and the acknowledgements that follow it.
#[derive(Debug, Clone, Copy)]
struct Step {
    /// Index of the class whose table changes.
    table: usize,
    server: ServerId,
    /// 0 removes the entry.
    weight: f64,
    acknowledging: Acknowledging,
}

/// The proxies that acknowledge all messages after a step.
#[derive(Debug, Clone, Copy)]
enum Acknowledging {
    Nobody,
    FirstProxy,
    AllProxies,
}

const ACKNOWLEDGING: [Acknowledging; 3] =
    [Acknowledging::Nobody, Acknowledging::FirstProxy, Acknowledging::AllProxies];

impl Step {
    /// A table's entries after the step.
    fn apply_to(&self, entries: &Entries) -> Entries {
        let mut next = entries.clone();
        next.remove(&self.server);
        if self.weight > 0.0 {
            next.insert(self.server, self.weight);
        }
        next
    }

    fn acknowledging_proxies(&self, fleet: &Fleet) -> std::ops::Range<usize> {
        match self.acknowledging {
            Acknowledging::Nobody => 0..0,
            Acknowledging::FirstProxy => 0..1,
            Acknowledging::AllProxies => 0..fleet.proxies,
        }
    }
}

/// Whether the model accepts a step: no class loses its last open server, and no cold server may get more than its
/// limit, unless that is no worse than before.
fn model_accepts(fleet: &Fleet, model: &Model, step: &Step, arrival: Arrival) -> bool {
    let published = &model.published()[step.table];
    let is_open = fleet.is_open(step.server);
    if !is_open && step.weight > weight(published, step.server) {
        return false;
    }
    let next = step.apply_to(published);
    if fleet.has_no_open_server(&next) && !fleet.has_no_open_server(published) && is_open {
        return false;
    }
    let mut after = model.clone();
    after.publish(step.table, &next);
    let is_cold = |server: &ServerId| fleet.modes[*server] == ServerMode::Cold && next.contains_key(server);
    !(0..fleet.modes.len()).filter(is_cold).any(|server| {
        // Only a step that raises the cold server's own entry, or lowers that of another open server, is at fault.
        let raises = server == step.server && step.weight > weight(published, server);
        let shifts = server != step.server && is_open && step.weight < weight(published, step.server);
        (raises || shifts) && overloads(fleet, [model, &after], [published, &next], server, arrival)
    })
}

/// Whether a cold server gets more than its limit after a step, and more than before.
fn overloads(
    fleet: &Fleet,
    [model_before, model_after]: [&Model; 2],
    [entries_before, entries_after]: [&Entries; 2],
    server: ServerId,
    arrival: Arrival,
) -> bool {
    let (before, after, limit);
    if fleet.has_warm_server() {
        before = model_before.max_load(server, arrival);
        after = model_after.max_load(server, arrival);
        let even_share = REQUEST_RATE * fleet.proxies as f64 / (fleet.open_servers() as f64).max(1.0);
        limit = COLD_LIMIT * even_share;
    } else {
        // If there is no warm server, cold ones are compared with each other.
        let open_servers = entries_after.keys().filter(|server| fleet.is_open(**server)).count();
        before = share(entries_before, server);
        after = share(entries_after, server);
        limit = 1.5 / open_servers as f64;
    }
    after > limit && after > before * 1.0001
}

/// A guard and the model of a fleet whose proxies are assigned to the initial tables: class 0 to table 1, class 1
/// to table 2. `None` if the guard rejects these tables.
fn set_up(fleet: &Fleet, initial_tables: &Tables) -> Option<(SafetyGuard, Model)> {
    let mut guard = SafetyGuard::new(config());
    for (server, mode) in fleet.modes.iter().enumerate() {
        guard.update_endpoint(server, ListedState::Ready, 1.0, (*mode == ServerMode::Cold).then_some(NOW));
    }
    for proxy in 0..fleet.proxies {
        guard.connect_proxy(proxy, REQUEST_RATE);
    }
    let mut commands = Vec::new();
    for (class, entries) in initial_tables.iter().enumerate() {
        let table = class as TableId + 1;
        commands.extend(entries.iter().map(|(server, weight)| set_entry(table, *server, *weight)));
        commands.extend((0..fleet.proxies).map(|proxy| assign(proxy, table, 1 << class)));
    }
    if !guard.validate(NOW, commands).rejected.is_empty() {
        return None;
    }
    for proxy in 0..fleet.proxies {
        guard.record_sent(proxy, 1);
    }
    // Servers start draining only now, so that the tables list them.
    for server in (0..fleet.modes.len()).filter(|server| !fleet.is_open(*server)) {
        list_draining(&mut guard, server);
    }
    Some((guard, Model { versions: vec![vec![initial_tables.clone()]; fleet.proxies] }))
}

/// Numbers of compared decisions.
#[derive(Debug, Default)]
struct Comparison {
    compared: u64,
    /// Those that the guard rejected although no order of arrival of whole messages makes them unsafe.
    stricter: u64,
}

impl AddAssign for Comparison {
    fn add_assign(&mut self, other: Comparison) {
        self.compared += other.compared;
        self.stricter += other.stricter;
    }
}

/// Compares the decisions on all sequences that continue `steps` with one to `depth` steps.
fn compare_sequences(
    fleet: &Fleet,
    steps: &mut Vec<Step>,
    initial_tables: &Tables,
    depth: usize,
) -> Comparison {
    let mut total = Comparison::default();
    if depth == 0 {
        return total;
    }
    for table in 0..CLASSES {
        for server in 0..fleet.modes.len() {
            for weight in [0.0, 0.3, 1.0] {
                for acknowledging in ACKNOWLEDGING {
                    steps.push(Step { table, server, weight, acknowledging });
                    total += compare_last_step(fleet, steps, initial_tables);
                    total += compare_sequences(fleet, steps, initial_tables, depth - 1);
                    steps.pop();
                }
            }
        }
    }
    total
}

/// Applies steps to the guard and the model, and compares their decisions on the last one.
fn compare_last_step(fleet: &Fleet, steps: &[Step], initial_tables: &Tables) -> Comparison {
    let Some((mut guard, mut model)) = set_up(fleet, initial_tables) else { return Comparison::default() };
    let mut number = 1;
    let mut comparison = Comparison { compared: 1, stricter: 0 };
    for (position, step) in steps.iter().enumerate() {
        let table = step.table as TableId + 1;
        let is_last = position + 1 == steps.len();
        let model_decisions = is_last.then(|| {
            let per_class = model_accepts(fleet, &model, step, Arrival::PerClass);
            let per_message = model_accepts(fleet, &model, step, Arrival::PerMessage);
            (per_class, per_message)
        });
        let validated = guard.validate(NOW, vec![set_entry(table, step.server, step.weight)]);
        let is_accepted = validated.rejected.is_empty();
        if let Some((per_class, per_message)) = model_decisions {
            assert_eq!(is_accepted, per_class, "{:?} {initial_tables:?} {steps:?}", fleet.modes);
            assert!(
                per_message || !per_class,
                "unsafe in some order of arrival: {:?} {steps:?}",
                fleet.modes
            );
            comparison.stricter = u64::from(per_message && !per_class);
        }
        if is_accepted {
            number += 1;
            let next = step.apply_to(&model.published()[step.table]);
            model.publish(step.table, &next);
            for proxy in 0..fleet.proxies {
                guard.record_sent(proxy, number);
            }
        }
        for proxy in step.acknowledging_proxies(fleet) {
            guard.acknowledge(proxy, number);
            let versions = &mut model.versions[proxy];
            versions.drain(..versions.len() - 1);
        }
    }
    comparison
}

/// All combinations of modes of the given number of servers.
fn all_modes(servers: usize) -> impl Iterator<Item = Vec<ServerMode>> {
    let combinations = 0..SERVER_MODES.len().pow(servers as u32);
    combinations.map(move |code| {
        let mode_of = |server: usize| SERVER_MODES[code / SERVER_MODES.len().pow(server as u32) % 3];
        (0..servers).map(mode_of).collect()
    })
}

/// Covers all fleets of up to three proxies and three servers with two classes whose first server is open, and all
/// sequences of up to two commands with their acknowledgements; up to three commands if there are fewer than three
/// proxies and fewer than three servers.
#[test]
fn the_guard_agrees_with_the_reference_model_on_every_small_fleet() {
    let mut total = Comparison::default();
    for proxies in 1..=3 {
        for servers in 1..=3usize {
            for modes in all_modes(servers) {
                let fleet = Fleet { modes, proxies };
                // The initial tables of the classes: all servers with weight 0.5, and the first server alone.
                let all: Entries = (0..servers).map(|server| (server, 0.5)).collect();
                let first_server_alone: Entries = [(0, 1.0)].into();
                if fleet.has_no_open_server(&first_server_alone) {
                    continue;
                }
                let depth = if servers < 3 && proxies < 3 { 3 } else { 2 };
                total += compare_sequences(&fleet, &mut vec![], &[all, first_server_alone], depth);
            }
        }
    }
    let Comparison { compared, stricter } = total;
    println!("{compared} decisions compared, {stricter} of them stricter than the order of arrival requires");
    assert!(compared > 100_000);
    assert!(stricter < compared / 50);
}

//! Random and unsafe batches on larger fleets.

mod support;

use proptest::prelude::*;
use runloom_controller::{Command, ListedState, ProxyId, RetryPolicy, ServerId, TableId};
use runloom_guard::SafetyGuard;
use std::collections::{BTreeMap, BTreeSet};
use support::{assert_all_accepted, assign, clear, config, eject, list_cold, set_entry, Entries, NOW};

/// Number of servers in the fleets of random batches.
const SERVERS: usize = 12;
/// Number of proxies in the fleets of random batches.
const PROXIES: usize = 8;
/// Requests per second of each proxy.
const REQUEST_RATE: f64 = 12.0;
/// The weights that random commands set.
const WEIGHTS: [f64; 5] = [0.0, 0.1, 1.0, 30.0, f64::NAN];

/// Tables and assignments after the accepted commands.
#[derive(Clone, Default)]
struct Published {
    tables: BTreeMap<TableId, Entries>,
    assignments: BTreeMap<ProxyId, TableId>,
}

impl Published {
    fn apply(&mut self, command: Command) {
        match command {
            Command::SetEntry { table, server, weight } if weight > 0.0 => {
                self.tables.entry(table).or_default().insert(server, weight);
            }
            Command::SetEntry { table, server, .. } => {
                self.tables.entry(table).or_default().remove(&server);
            }
            Command::ClearTable { table } => _ = self.tables.insert(table, Entries::new()),
            Command::AssignTable { proxy, table, .. } => _ = self.assignments.insert(proxy, table),
            _ => {}
        }
    }

    /// Whether a table has an open server with a weight that is not negligible.
    fn has_usable_server(&self, table: TableId, is_open: impl Fn(ServerId) -> bool) -> bool {
        let Some(entries) = self.tables.get(&table) else { return false };
        let max_weight = entries.values().copied().fold(0.0, f64::max);
        entries.iter().any(|(server, weight)| is_open(*server) && *weight >= max_weight * 1e-6)
    }

    /// Whether a proxy is assigned to the table that was not before.
    fn has_new_proxy(&self, table: TableId, before: &Published) -> bool {
        let mut assignments = self.assignments.iter();
        assignments.any(|(proxy, of)| *of == table && before.assignments.get(proxy) != Some(of))
    }
}

/// One random command: `kind` selects the command, the other fields its arguments.
#[derive(Debug, Clone)]
struct RandomCommand {
    kind: u8,
    table: TableId,
    server: ServerId,
    proxy: ProxyId,
    /// Index in [`WEIGHTS`].
    weight: usize,
}

impl RandomCommand {
    fn to_command(&self) -> Command {
        match self.kind {
            0..=3 => set_entry(self.table, self.server, WEIGHTS[self.weight]),
            4 => assign(self.proxy, self.table, 0),
            5 => clear(self.table),
            _ => set_entry(self.table, self.server, 0.0),
        }
    }
}

fn random_command() -> impl Strategy<Value = RandomCommand> {
    let fields = (0u8..7, 0u16..4, 0..SERVERS, 0..PROXIES, 0..WEIGHTS.len());
    fields.prop_map(|(kind, table, server, proxy, weight)| RandomCommand {
        kind,
        table,
        server,
        proxy,
        weight,
    })
}

/// A server's state at the start.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ServerMode {
    Warm,
    Draining,
    Cold,
}

fn random_mode() -> impl Strategy<Value = ServerMode> {
    prop_oneof![Just(ServerMode::Warm), Just(ServerMode::Draining), Just(ServerMode::Cold)]
}

fn fleet(modes: &[ServerMode]) -> SafetyGuard {
    let mut guard = SafetyGuard::new(config());
    for (server, mode) in modes.iter().enumerate() {
        let state = if *mode == ServerMode::Draining { ListedState::Draining } else { ListedState::Ready };
        guard.update_endpoint(server, state, 1.0, (*mode == ServerMode::Cold).then_some(NOW));
    }
    for proxy in 0..PROXIES {
        guard.connect_proxy(proxy, REQUEST_RATE);
    }
    guard
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// After any sequence of batches, a table that proxies use keeps an open server if it had one, and all weights
    /// are positive and finite.
    #[test]
    fn no_batch_empties_a_table_that_proxies_use(
        modes in proptest::collection::vec(random_mode(), SERVERS),
        batches in proptest::collection::vec(proptest::collection::vec(random_command(), 1..9), 1..30),
    ) {
        let is_open = |server: ServerId| modes[server] != ServerMode::Draining;
        let has_open_server = (0..SERVERS).any(is_open);
        let mut guard = fleet(&modes);
        let mut published = Published::default();
        for batch in batches {
            let before = published.clone();
            let commands = batch.iter().map(RandomCommand::to_command).collect();
            for command in guard.validate(NOW, commands).accepted {
                published.apply(command);
            }
            let used: BTreeSet<TableId> = published.assignments.values().copied().collect();
            for table in used {
                let is_usable = published.has_usable_server(table, is_open);
                let was_usable = before.has_usable_server(table, is_open);
                let is_newly_used = published.has_new_proxy(table, &before);
                prop_assert!(
                    is_usable || !(was_usable || is_newly_used && has_open_server),
                    "table {table} was emptied"
                );
            }
            let mut weights = published.tables.values().flat_map(|entries| entries.values());
            prop_assert!(weights.all(|weight| weight.is_finite() && *weight > 0.0));
        }
    }
}

/// An unsafe batch of one of eight kinds, by turns, for tables 1 to 3 with eight warm servers each. Servers 0 to
/// 23 are warm, 24 to 29 are cold.
fn unsafe_batch(round: u32) -> Vec<Command> {
    let table = 1 + (round % 3) as TableId;
    let server = (round % 24) as ServerId;
    let fraction = f64::from(round % 97) / 97.0;
    let servers_of_table = || (0..24).filter(|server| 1 + (*server as TableId) % 3 == table);
    match round % 8 {
        0 => vec![set_entry(table, server, f64::NAN)],
        1 => vec![set_entry(table, server, -fraction - 1e-9)],
        2 => servers_of_table().map(|server| set_entry(table, server, 0.0)).collect(),
        3 => vec![clear(table)],
        4 => vec![set_entry(table, 24 + server % 6, 10.0 + fraction)],
        5 => vec![Command::SetAdmission {
            table,
            class: 0,
            admission_rate: Some(fraction * 1e-3),
            retry_policy: RetryPolicy::Never,
        }],
        6 => vec![assign((round % 24) as ProxyId, 60_000, 0)],
        _ => servers_of_table().map(eject).collect(),
    }
}

#[test]
fn a_million_unsafe_batches_are_all_rejected() {
    // Given three tables of eight warm servers and eight proxies each, and six cold servers.
    let mut guard = SafetyGuard::new(config());
    for server in 0..24 {
        support::list_warm(&mut guard, server);
    }
    for server in 24..30 {
        list_cold(&mut guard, server);
    }
    for proxy in 0..24 {
        guard.connect_proxy(proxy, 10.0);
    }
    let entries = (0..24).map(|server| set_entry(1 + server as TableId % 3, server, 1.0));
    let assignments = (0..24).map(|proxy| assign(proxy, 1 + proxy as TableId % 3, 0));
    assert_all_accepted(&mut guard, NOW, entries.chain(assignments).collect());
    // When a million unsafe batches follow, then every command of each is rejected.
    let mut rejected_batches = 0u32;
    for round in 0..1_000_000u32 {
        let batch = unsafe_batch(round);
        assert!(!batch.is_empty());
        let validated = guard.validate(NOW, batch);
        assert!(validated.accepted.is_empty(), "{:?}", validated.accepted);
        rejected_batches += u32::from(!validated.rejected.is_empty());
    }
    assert_eq!(rejected_batches, 1_000_000);
}

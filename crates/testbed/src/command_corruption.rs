//! Ways to break the decisions on purpose, for trials of the guard: each changes orders on their way out, from
//! some seconds after the start on, so that a day is under way.

use runloom_control_session::CommandTamper;
use runloom_controller::Command;
use std::collections::BTreeSet;
use std::time::Duration;

/// The ways, by name.
pub const NAMES: [&str; 13] = [
    "drop-all",
    "one-by-one",
    "not-a-number",
    "negative",
    "tiny",
    "level-zero",
    "at-once",
    "clear",
    "withdraw-all",
    "halves",
    "bind-nowhere",
    "to-all-ever",
    "flood",
];

/// When it begins: the fleet is in service by then.
const FROM: Duration = Duration::from_secs(5);

/// A way by its name.
pub fn named(name: &str) -> Option<CommandTamper> {
    let name = NAMES.iter().find(|n| **n == name)?;
    let (mut seen, mut turn) = (BTreeSet::new(), 0usize);
    Some(Box::new(move |now, orders| {
        for order in orders.iter() {
            if let Command::SetEntry { table, server, .. } = order {
                seen.insert((*table, *server));
            }
        }
        // Only batches that go to proxies anyway: the others carry no mark.
        if now < FROM || !orders.iter().any(|o| matches!(o, Command::SetTimer { .. })) {
            return;
        }
        turn += 1;
        spoil(name, &seen, turn, orders);
    }))
}

fn spoil(name: &str, seen: &BTreeSet<(u16, usize)>, turn: usize, orders: &mut Vec<Command>) {
    let out = |table: u16, server: usize| Command::SetEntry { table, server, weight: 0.0 };
    let weights = |orders: &mut Vec<Command>, to: &dyn Fn(f64) -> f64| {
        orders.extend(seen.iter().map(|(table, server)| Command::SetEntry {
            table: *table,
            server: *server,
            weight: to(1.0),
        }));
    };
    match name {
        "drop-all" => orders.extend(seen.iter().map(|(t, s)| out(*t, *s))),
        "one-by-one" => orders.extend(seen.iter().take(turn).map(|(t, s)| out(*t, *s))),
        "not-a-number" => weights(orders, &|_| f64::NAN),
        "negative" => weights(orders, &|w| -w),
        // One line is all there is, at a server that may be cold, dead or draining; the rest is next to nothing.
        "tiny" => {
            let first = seen.iter().map(|(t, _)| *t).collect::<BTreeSet<_>>();
            weights(orders, &|_| 1e-9);
            for table in first {
                if let Some((_, s)) = seen.iter().rfind(|(t, _)| *t == table) {
                    orders.push(Command::SetEntry { table, server: *s, weight: 1e9 });
                }
            }
        }
        "level-zero" => {
            let tables: BTreeSet<u16> = seen.iter().map(|(t, _)| *t).collect();
            for table in tables {
                let tries = runloom_controller::RetryPolicy::Never;
                let level = |class| Command::SetAdmission {
                    table,
                    class,
                    admission_rate: Some(0.0),
                    retry_policy: tries,
                };
                orders.extend((0..3).map(level));
            }
        }
        // The newest server, cold or not, gets a hundred times the others' weight.
        "at-once" => {
            if let Some(newest) = seen.iter().map(|(_, s)| *s).max() {
                let of = seen.iter().filter(|(_, s)| *s == newest);
                orders.extend(of.map(|(t, s)| Command::SetEntry { table: *t, server: *s, weight: 1000.0 }));
            }
        }
        "clear" => {
            let tables: BTreeSet<u16> = seen.iter().map(|(t, _)| *t).collect();
            orders.extend(tables.into_iter().map(|table| Command::ClearTable { table }));
        }
        "withdraw-all" => {
            let servers: BTreeSet<usize> = seen.iter().map(|(_, s)| *s).collect();
            orders.extend(servers.into_iter().map(|server| Command::EjectServer { server, ejected: true }));
        }
        "bind-nowhere" => {
            orders.extend((0..64).map(|proxy| Command::AssignTable { proxy, table: 60_000, class_mask: 0 }))
        }
        // Hundreds of all kinds at once.
        "flood" => {
            for way in [
                "drop-all",
                "not-a-number",
                "negative",
                "level-zero",
                "clear",
                "withdraw-all",
                "bind-nowhere",
            ] {
                (0..5).for_each(|_| spoil(way, seen, turn, orders));
            }
        }
        // Withdraws the even ones, then the odd ones: each batch leaves half of them.
        "halves" => {
            let servers = seen.iter().map(|(_, s)| *s).filter(|s| s % 2 == turn % 2);
            orders.extend(
                servers
                    .collect::<BTreeSet<_>>()
                    .into_iter()
                    .map(|server| Command::EjectServer { server, ejected: true }),
            );
        }
        // Every server that ever was, those that drain and are gone too.
        _ => weights(orders, &|w| w),
    }
}

use super::support::*;
use crate::endpoint::HealthState::*;
use crate::endpoint::{Endpoint, TableEntry};
use crate::flow_control::{InFlightUpdate, UpdateChannel};
use crate::proxy::Proxy;
use crate::publication::UpdateWindow;
use crate::subsetting::Subset;
use crate::{Command, Event};
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn previous_tables_are_kept_under_a_stale_list() {
    let mut controller = controller_with_unreliable_list(healthy_endpoint(0));
    controller.proxies = vec![Proxy { has_previous_table: true, ..proxy(None) }];
    (controller.admission.list_is_stale, controller.admission.ticks_with_reports) = (true, 9);
    let window = UpdateWindow { is_regular: true, is_open: true, removals_wait_since: None };
    let mut draft = controller.new_draft();
    controller.assign_tables(&window, &mut draft, &mut vec![]);
    assert_eq!(controller.proxies[0].assigned, None);
    controller.endpoints[1].health = Draining;
    publish_all(&mut controller);
    assert_eq!(controller.proxies[0].assigned, Some(0));
}

#[test]
fn removals_are_published_first() {
    let draining = Endpoint {
        health: Draining,
        published: Some(TableEntry { table: 1, weight: 1.0 }),
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![healthy_endpoint(0), draining]);
    controller.proxies = vec![proxy(Some(0))];
    let removal = Command::SetEntry { table: 1, server: 1, weight: 0.0 };
    assert!(
        matches!(&publish_all(&mut controller)[..2], [first, Command::SetEntry { server: 0, .. }] if *first == removal)
    );
}

#[test]
fn entry_reaches_only_proxies_of_its_subset() {
    let mut controller = large_fleet();
    publish_all(&mut controller);
    controller.channel = UpdateChannel::default();
    controller.endpoints[0].health = Draining;
    controller.publish(false, &mut vec![]);
    let subset = controller.endpoints[0].subset;
    let pending_acks = &controller.channel.in_flight[0].pending_acks;
    assert!(!pending_acks.is_empty() && pending_acks.iter().all(|p| controller.proxies[*p].subset == subset));
}

#[test]
fn rejected_commands_are_issued_again() {
    let mut controller = controller(vec![healthy_endpoint(0), healthy_endpoint(0)]);
    controller.proxies = vec![proxy(None)];
    let is_rejected = |command: &Command| {
        matches!(command, Command::SetEntry { server: 1, .. } | Command::AssignTable { .. })
    };
    let first: Vec<Command> = publish_all(&mut controller).into_iter().filter(is_rejected).collect();
    for command in &first {
        controller.handle_event(
            &Event::CommandRejected { command: command.clone(), published_weight: None },
            &mut vec![],
        );
    }
    let reissued: Vec<Command> = publish_all(&mut controller).into_iter().filter(is_rejected).collect();
    assert!(first.len() == 2 && reissued == first, "{reissued:?}");
}

/// Guards against an entry that stays in proxies' tables after its endpoint drains: its move to another table was
/// rejected, and the controller forgot the entry in the old table.
#[test]
fn entry_whose_move_was_rejected_is_still_published_in_the_old_table() {
    let old = TableEntry { table: 1, weight: 0.5 };
    let moves = [
        (Command::SetEntry { table: 1, server: 0, weight: 0.0 }, Some(0.5)),
        (Command::SetEntry { table: 2, server: 0, weight: 1.0 }, None),
    ];
    for order in [[0, 1], [1, 0]] {
        let moved = Endpoint { published: Some(TableEntry { table: 2, weight: 1.0 }), ..healthy_endpoint(0) };
        let mut controller = controller(vec![moved]);
        for index in order {
            let (command, published_weight) = moves[index].clone();
            controller.handle_event(&Event::CommandRejected { command, published_weight }, &mut vec![]);
        }
        assert_eq!(controller.endpoints[0].published, Some(old), "{order:?}");
    }
}

#[test]
fn connected_proxy_gets_tables_for_all_classes() {
    let mut controller = controller((0..5).map(|_| healthy_endpoint(0)).collect());
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (1, 0.5);
    controller.proxies = vec![proxy(None)];
    let commands = publish_all(&mut controller);
    for classes in [0, 1] {
        assert!(commands.iter().any(
            |command| matches!(command, Command::AssignTable { class_mask: mask, .. } if *mask == classes)
        ));
    }
}

#[test]
fn disconnected_proxy_gets_no_command() {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.proxies = vec![Proxy::default()];
    assert_eq!(publish_all(&mut controller), vec![]);
}

#[test]
fn nothing_is_published_into_a_full_channel() {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.proxies = vec![proxy(Some(0))];
    let pending_acks = BTreeSet::from([0]);
    controller.channel.in_flight.push_back(InFlightUpdate { ack_token: 9, entries: 1999.0, pending_acks });
    assert_eq!(publish_all(&mut controller), vec![]);
}

#[test]
fn limited_messages_go_out_at_even_intervals() {
    let draining = Endpoint {
        health: Draining,
        published: Some(TableEntry { table: 1, weight: 1.0 }),
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![healthy_endpoint(0), draining]);
    controller.config.channel.message_limit = 12.0;
    controller.proxies = vec![proxy(Some(0))];
    controller.channel.last_update = NOW - Duration::from_millis(900);
    assert_eq!(publish_all(&mut controller), vec![]);
    controller.channel.last_update = NOW - Duration::from_millis(1100);
    assert_eq!(publish_all(&mut controller)[0], Command::SetEntry { table: 1, server: 1, weight: 0.0 });
}

#[test]
fn first_tables_use_exactly_the_room_of_the_channel() {
    let mut controller = controller(
        (0..10)
            .map(|_| Endpoint {
                published: Some(TableEntry { table: 1, weight: 1.0 }),
                ..healthy_endpoint(0)
            })
            .collect(),
    );
    controller.proxies = (0..100).map(|_| proxy(None)).collect();
    let assignments = publish_all(&mut controller)
        .iter()
        .filter(|command| matches!(command, Command::AssignTable { .. }))
        .count();
    // They need 1,600 entries, of which 500 are overhead; there is room for 3,000.
    assert_eq!(assignments, 100);
}

#[test]
fn first_tables_may_use_part_of_the_reserve() {
    let assignments = |entries: f64, assigned: Option<u64>| {
        let mut controller = controller(
            (0..10)
                .map(|_| Endpoint {
                    published: Some(TableEntry { table: 1, weight: 1.0 }),
                    ..healthy_endpoint(0)
                })
                .collect(),
        );
        controller.proxies = (0..100).map(|_| proxy(assigned)).collect();
        let pending_acks = BTreeSet::from([0]);
        controller.channel.in_flight.push_back(InFlightUpdate { ack_token: 9, entries, pending_acks });
        publish_all(&mut controller)
            .iter()
            .filter(|command| matches!(command, Command::AssignTable { .. }))
            .count()
    };
    // The queue has 4,000 entries, of which first tables may use 3,000; an assignment needs eleven and its message five.
    assert_eq!(assignments(1500.0, None), 1500 / 16);
    assert_eq!(assignments(2400.0, None), 600 / 16);
    assert_eq!(assignments(2985.0, None), 0);
    // Proxies that are reassigned keep their table meanwhile, and may not use the reserve.
    assert_eq!(assignments(1500.0, Some(1)), 500 / 16);
    assert_eq!(assignments(1985.0, Some(1)), 0);
}

#[test]
fn alternating_isolation_stays_within_the_message_limit() {
    let mut controller = controller((0..4).map(|_| healthy_endpoint(0)).collect());
    controller.config.channel.message_limit = 10.0;
    controller.config.channel.message_window = Some(seconds(10));
    controller.config.classes = classes(&[(1.0, 1.0), (1.0, 1.0)]);
    controller.proxies = vec![Proxy { arrival_rates: vec![1.0, 1.0], ..proxy(None) }];
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (2, 0.3);
    let mut assigned_classes = BTreeSet::new();
    let messages = (0..40).filter(|k| {
        controller.now += Duration::from_millis(250);
        // The subset alternates between four endpoints, which suffice to isolate classes, and three.
        controller.endpoints[3].health = if k % 2 == 0 { Healthy } else { Ejected };
        let commands = publish_all(&mut controller);
        assigned_classes.extend(controller.proxies[0].assigned);
        commands.iter().any(|command| matches!(command, Command::RequestAck { .. }))
    });
    assert!((3..=10).contains(&messages.count()));
    assert_eq!(assigned_classes, BTreeSet::from([0, 2]), "the classes are isolated and joined again");
}

/// Guards against proxies that never get a table, without a report to the operators: the overhead of messages to all
/// proxies exceeds the queue, so nothing could ever be published.
#[test]
fn first_tables_go_out_though_the_overhead_of_all_messages_exceeds_the_queue() {
    let mut controller = controller((0..10).map(|_| healthy_endpoint(0)).collect());
    // A message costs five entries beyond those that it carries; the queue holds 4,000.
    controller.proxies = (0..1000).map(|_| proxy(None)).collect();
    let (mut shortages, mut is_assigned) = (0, BTreeSet::new());
    for _ in 0..20 {
        let commands = publish_all(&mut controller);
        for command in &commands {
            match command {
                Command::AssignTable { proxy, .. } => _ = is_assigned.insert(*proxy),
                Command::LogQueueShortage(_) => shortages += 1,
                _ => {}
            }
        }
        assert!(controller.channel.queued_entries() <= 3000.0, "a part of the queue stays free");
        // All proxies acknowledge.
        controller.channel.in_flight.clear();
    }
    assert_eq!((is_assigned.len(), shortages), (1000, 1));
}

/// Changes to tables of few proxies each fit into a queue that cannot hold the overhead of messages to all proxies.
#[test]
fn changes_go_out_table_by_table_though_the_overhead_of_all_messages_exceeds_the_queue() {
    let mut controller = large_fleet();
    controller.config.channel.queue_limit = Some(100.0);
    controller.config.channel.message_overhead = 4.0;
    let count = controller.proxies.len();
    for _ in 0..200 {
        publish_all(&mut controller);
        assert!(controller.channel.queued_entries() <= 75.0);
        controller.channel.in_flight.clear();
    }
    assert!(controller.proxies.iter().all(|proxy| proxy.assigned.is_some()), "{count} proxies");
    let draining =
        (0..controller.endpoints.len()).find(|s| controller.endpoints[*s].published.is_some()).unwrap();
    controller.endpoints[draining].health = Draining;
    for _ in 0..20 {
        publish_all(&mut controller);
        assert!(controller.channel.queued_entries() <= 75.0);
        controller.channel.in_flight.clear();
    }
    assert_eq!(controller.endpoints[draining].published, None);
}

/// The number of updates, all of them acknowledged, until each table has the admission of each class, while weights
/// change all the time; `None` if some have none after 20.
fn updates_until_admissions_are_published(proxies: usize, tables: usize, queue_limit: f64) -> Option<usize> {
    let endpoint = |server| Endpoint { subset: Some(server % tables), ..healthy_endpoint(0) };
    let mut controller = controller((0..4 * tables).map(endpoint).collect());
    controller.config.classes = classes(&[(0.75, 1.0), (1.2, 1.0), (0.5, 2.0)]);
    controller.config.channel.queue_limit = Some(queue_limit);
    controller.subsets = (0..tables).map(|_| Subset::default()).collect();
    let assigned = |proxy| Proxy { subset: Some(proxy % tables), ..proxy_with_table() };
    controller.proxies = (0..proxies).map(assigned).collect();
    let mut published = BTreeSet::new();
    (1..=20).find(|update| {
        for endpoint in &mut controller.endpoints {
            endpoint.speed_factor = if update % 2 == 0 { 1.0 } else { 1.5 };
        }
        for command in publish_all(&mut controller) {
            if let Command::SetAdmission { table, class, .. } = command {
                published.insert((table, class));
            }
        }
        controller.channel.in_flight.clear();
        published.len() == 2 * tables * controller.config.classes.len()
    })
}

fn proxy_with_table() -> Proxy {
    Proxy { arrival_rates: vec![1.0; 3], ..proxy(Some(0)) }
}

/// Guards against admission limits that never take effect: a change of them was published to all proxies at once or to
/// none, and exceeded the room though it fits table by table.
#[test]
fn admissions_are_published_table_by_table() {
    for proxies in [40, 200, 320, 360, 400, 480, 592] {
        for tables in [1, 4, 12] {
            // Twice, and 1.4 times, what a change to all proxies needs: five entries and the entry itself each.
            for queue_limit in [12.0, 8.4].map(|entries| entries * proxies as f64) {
                let updates = updates_until_admissions_are_published(proxies, tables, queue_limit);
                assert!(updates.is_some(), "{proxies} proxies, {tables} tables, a queue of {queue_limit}");
            }
        }
    }
}

/// A rejected admission is issued again for its own table, and for no other.
#[test]
fn rejected_admission_is_issued_again_for_its_table() {
    let mut controller = controller(vec![healthy_endpoint(0), healthy_endpoint(0)]);
    controller.config.classes = classes(&[(1.0, 1.0), (1.0, 2.0)]);
    controller.proxies = vec![proxy(Some(0))];
    let admissions = |commands: Vec<Command>| -> Vec<Command> {
        commands.into_iter().filter(|command| matches!(command, Command::SetAdmission { .. })).collect()
    };
    let first = admissions(publish_all(&mut controller));
    assert_eq!(first.len(), 4, "two classes in two tables");
    let command = first[0].clone();
    controller.handle_event(&Event::CommandRejected { command, published_weight: None }, &mut vec![]);
    assert_eq!(admissions(publish_all(&mut controller)), first[..2]);
}

//! Tests of the updates that commands result in, and of acknowledgements.

use super::*;

fn table_sync() -> TableSync {
    let mut tables = TableSync::new(2, 1.0);
    [1, 2].into_iter().for_each(|proxy| tables.connect(proxy, START));
    tables
}

fn set_entry(table: u16, server: ServerId, weight: f64) -> Command {
    Command::SetEntry { table, server, weight }
}

fn assign(proxy: ProxyId, table: u16, class_mask: u64) -> Command {
    Command::AssignTable { proxy, table, class_mask }
}

#[test]
fn an_assigned_proxy_gets_the_complete_table_and_its_admission_in_one_update() {
    let mut tables = table_sync();
    let admission = Command::SetAdmission {
        table: 1,
        class: 1,
        admission_rate: None,
        retry_policy: RetryPolicy::IfNotExecuted,
    };
    let updates = tables.apply(
        &[
            set_entry(1, 0, 1.5),
            admission,
            assign(1, 1, 0),
            Command::RequestAck { ack_token: 9, all_proxies: false },
        ],
        START,
    );

    assert_eq!(updates.keys().collect::<Vec<_>>(), [&1]);

    let written = unframed(&tables.encode(&updates[&1], &names()));
    let table = json!({"t": "CONFIG", "replace": true, "rows": [["s-1", 1.5]], "part": true});
    let admission = json!({"t": "CONFIG", "for": ["order"], "gate": 1.0, "again": 1, "stamp": 9});

    assert_eq!(written, [table, admission]);
}

#[test]
fn an_entry_goes_to_proxies_assigned_to_its_table_for_their_classes() {
    let mut tables = table_sync();
    tables.apply(&[assign(1, 1, 0), assign(2, 1, 0), assign(2, 2, 0b10)], START);
    let updates = tables.apply(&[set_entry(1, 0, 0.5), set_entry(1, 1, 0.0), set_entry(2, 2, 2.0)], START);
    let part = |class_mask, entries| UpdatePart { class_mask, entries, ..UpdatePart::default() };

    assert_eq!(updates[&1], [part(0b11, vec![(0, 0.5), (1, 0.0)])]);
    assert_eq!(updates[&2], [part(0b01, vec![(0, 0.5), (1, 0.0)]), part(0b10, vec![(2, 2.0)])]);
}

#[test]
fn equal_admission_of_several_classes_shares_a_part() {
    let mut tables = table_sync();
    tables.apply(&[assign(1, 1, 0)], START);
    let admission = |class| Command::SetAdmission {
        table: 1,
        class,
        admission_rate: Some(0.5),
        retry_policy: RetryPolicy::Never,
    };
    let updates = tables.apply(&[admission(0), admission(1)], START);
    let written = unframed(&tables.encode(&updates[&1], &names()));

    assert_eq!(written, [json!({"t": "CONFIG", "gate": 0.5, "again": 0})]);
}

#[test]
fn invalid_commands_are_never_written() {
    let mut tables = table_sync();
    let admission = Command::SetAdmission {
        table: 1,
        class: 7,
        admission_rate: Some(0.5),
        retry_policy: RetryPolicy::Never,
    };
    let invalid = [set_entry(1, 0, -1.0), set_entry(1, 0, f64::NAN), admission, assign(9, 1, 0)];
    tables.apply(&[assign(1, 1, 0)], START);

    assert!(tables.apply(&invalid, START).is_empty());

    // An entry whose server has no name is left out.
    let updates = tables.apply(&[set_entry(1, 77, 1.0)], START);

    assert_eq!(unframed(&tables.encode(&updates[&1], &names()))[0]["rows"], json!([]));
}

#[test]
fn a_connecting_proxy_is_sent_ejections_and_readmissions() {
    let mut tables = table_sync();
    let eject = |server, ejected| Command::EjectServer { server, ejected };
    tables.apply(
        &[set_entry(1, 0, 1.0), set_entry(1, 1, 1.0), eject(0, true), eject(1, true), eject(1, false)],
        START,
    );
    tables.connect(5, START);
    let updates = tables.apply(&[assign(5, 1, 0)], START);
    let written = unframed(&tables.encode(&updates[&5], &names()));

    assert_eq!((&written[0]["drop"], &written[0]["undrop"]), (&json!(["s-1"]), &json!(["s-2"])));
}

#[test]
fn acknowledgements_match_the_pending_ones_of_their_stream() {
    let mut tables = table_sync();
    tables.apply(&[assign(1, 1, 0), Command::RequestAck { ack_token: 4, all_proxies: false }], START);
    tables.apply(&[set_entry(1, 0, 1.0), Command::RequestAck { ack_token: 5, all_proxies: false }], START);

    assert!(!tables.acknowledge(2, 4) && !tables.acknowledge(1, 6));
    // An acknowledgement includes all earlier updates.
    assert!(tables.acknowledge(1, 5) && !tables.acknowledge(1, 4) && !tables.acknowledge(1, 5));

    tables.apply(&[set_entry(1, 0, 2.0), Command::RequestAck { ack_token: 6, all_proxies: false }], START);
    tables.connect(1, START);

    assert!(!tables.acknowledge(1, 6));
}

#[test]
fn an_update_has_at_most_the_allowed_parts_and_marks_its_last() {
    let parts = vec![UpdatePart { class_mask: 1, entries: vec![(0, 1.0)], ..UpdatePart::default() }; 70];
    let written = unframed(&table_sync().encode(&parts, &names()));

    assert_eq!((written.len(), &written[62]["part"], written[63].get("part")), (64, &json!(true), None));
}

#[test]
fn a_table_too_large_for_one_part_is_split_into_several() {
    let mut names = names();
    let servers: Vec<ServerId> = (0..9000).map(|k| names.servers.index(format!("{k:0>128}"))).collect();
    let entries: Vec<(ServerId, f64)> = servers.iter().map(|s| (*s, 1.0 / 3.0)).collect();
    let part = UpdatePart {
        class_mask: 3,
        replaces_table: true,
        entries,
        ejected: vec![servers[0]],
        ack_token: Some(9),
        ..UpdatePart::default()
    };
    // `unframed` panics on a part beyond the limit of 1 MiB.
    let written = unframed(&table_sync().encode(&[part], &names));
    let entry_count: usize = written.iter().map(|part| part["rows"].as_array().unwrap().len()).sum();

    assert_eq!((written.len(), entry_count), (3, 9000));
    // Only the first part replaces the table, and only the last asks for an acknowledgement.
    assert_eq!(written.iter().filter(|p| p.get("replace").is_some()).count(), 1);
    assert_eq!((&written[0]["replace"], &written[2]["stamp"]), (&json!(true), &json!(9)));
    assert!(written[..2].iter().all(|p| p["part"] == json!(true) && p.get("stamp").is_none()));
    assert!(written[2].get("part").is_none() && written[2]["drop"].is_array());
}

//! Durability: after a kill at any moment, the planner still has each acknowledged edit, exactly once.

mod help;

use help::requests::{create_weighted_server, edit_ids, read_config, server_names};
use help::PlannerWithOperator;
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::commands::state;
use runloom_netconf::tree::Element;
use runloom_store::FolderLock;
use std::collections::BTreeSet;
use std::process::Command;
use std::thread::JoinHandle;
use std::time::Duration;

const DEFAULT_KILL_COUNT: u64 = 20;
/// Number of the newest edits that a planner's history holds in any case.
const HISTORY_LENGTH: usize = 1000;

/// The number of kills; the environment variable `RUNLOOM_KILLS` raises it outside of CI.
fn kill_count() -> u64 {
    std::env::var("RUNLOOM_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_KILL_COUNT)
}

/// The edits that a planner has: fleet entries of servers, and ids in its history.
#[derive(Debug, PartialEq)]
struct StoredEdits {
    servers: Vec<String>,
    ids: Vec<String>,
}

impl StoredEdits {
    fn read(planner: &PlannerWithOperator) -> StoredEdits {
        let mut client = planner.client();
        let servers = server_names(&mut client, "fleet");
        StoredEdits { servers, ids: edit_ids(&mut client) }
    }
}

/// Kills the planner's process after a delay that differs by round, so that kills hit all steps of an edit.
fn kill_later(planner: &PlannerWithOperator, round: u64) -> JoinHandle<()> {
    let process = planner.process.id().unwrap();
    let delay = Duration::from_micros(500 + (round * 7919) % 40_000);
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        // The process is not reaped before `restart`, so its id is not in use by another one.
        let _ = Command::new("kill").args(["-9", &process.to_string()]).status();
    })
}

/// Sends edits, each with its own id, until one is not acknowledged; the next round begins with that one.
fn edit_until_killed(client: &mut Client, acknowledged: &mut Vec<String>) {
    loop {
        let name = format!("e{}", acknowledged.len());
        if client.call(edit_config("running", create_weighted_server(&name)), Some(&name)).is_err() {
            return;
        }
        acknowledged.push(name);
    }
}

/// Checks that the newest acknowledged edits are stored, none twice, and no other except the one that was in flight.
fn assert_acknowledged_are_stored(stored: &[String], acknowledged: &[String], round: u64) {
    let unique: BTreeSet<&String> = stored.iter().collect();
    assert_eq!(unique.len(), stored.len(), "round {round}: an edit is stored twice");
    let newest = acknowledged.iter().rev().take(HISTORY_LENGTH);
    assert!(
        newest.into_iter().all(|edit| unique.contains(edit)),
        "round {round}: an acknowledged edit is lost"
    );
    let acknowledged_set: BTreeSet<&String> = acknowledged.iter().collect();
    let in_flight = format!("e{}", acknowledged.len());
    assert!(
        unique.difference(&acknowledged_set).all(|edit| **edit == in_flight),
        "round {round}: an unknown edit is stored"
    );
}

#[test]
fn every_acknowledged_edit_is_there_once_after_a_kill_at_any_moment() {
    // Given
    let mut planner = PlannerWithOperator::new("kills");
    let mut acknowledged = Vec::new();
    for round in 0..kill_count() {
        // When
        let mut client = planner.client();
        let killer = kill_later(&planner, round);
        edit_until_killed(&mut client, &mut acknowledged);
        killer.join().unwrap();
        planner.restart();

        // Then
        let stored = StoredEdits::read(&planner);
        assert_acknowledged_are_stored(&stored.servers, &acknowledged, round);
        assert_acknowledged_are_stored(&stored.ids, &acknowledged, round);
        let folder = planner.folder.0.join("state");
        assert!(state::verify(&folder).unwrap(), "round {round}");
        assert!(FolderLock::acquire(&folder).is_err(), "the planner does not hold the folder's lock");
    }
    assert!(
        acknowledged.len() as u64 > kill_count() / 2,
        "only {} edits were acknowledged",
        acknowledged.len()
    );
}

/// The state file of earlier versions, with the fleet and the edit history.
fn earlier_state_xml(fleet: Element) -> String {
    let edit = Element::new("", "edit")
        .with_leaf("id", "old")
        .with_leaf("who", "staff")
        .with_leaf("digest", "d")
        .with_leaf("accepted", 5);
    let history = Element::new("", "ledger").with(edit);
    Element::new("", "accepted").with(fleet).with(history).to_text()
}

#[test]
fn a_state_folder_of_an_earlier_version_is_migrated() {
    // Given
    let mut planner = PlannerWithOperator::new("older");
    let folder = planner.folder.0.join("state");
    let mut client = planner.client();
    client.call(edit_config("running", create_weighted_server("s1")), Some("first")).unwrap();
    let fleet = read_config(&mut client, "fleet");
    planner.process.kill();
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("accepted.xml"), earlier_state_xml(fleet)).unwrap();
    let expected = StoredEdits { servers: vec!["s1".to_string()], ids: vec!["old".to_string()] };

    // When
    planner.restart();

    // Then
    assert_eq!(StoredEdits::read(&planner), expected);
    assert!(folder.join("accepted.xml.old").exists() && !folder.join("accepted.xml").exists());

    // When
    planner.restart();

    // Then
    assert_eq!(StoredEdits::read(&planner), expected);
}

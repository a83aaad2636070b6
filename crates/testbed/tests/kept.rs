//! What was answered is there after a kill at any moment, once.

mod help;

use help::PlannerWithOperator;
use runloom_daemon::client::edit_config;
use runloom_daemon::state;
use runloom_model::{FLEET, STATE};
use runloom_netconf::tree::Element;
use runloom_store::disk::Lock;
use std::collections::BTreeSet;
use std::time::Duration;

/// Kills; RUNLOOM_KILLS for more, out of CI.
fn kills() -> u64 {
    std::env::var("RUNLOOM_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(20)
}

fn word(name: &str) -> Element {
    // Creating it a second time would be refused.
    let server = Element::new(FLEET, "server").with_attribute(runloom_netconf::BASE, "operation", "create");
    Element::new(FLEET, "fleet").with(server.with_leaf("name", name).with_leaf("weight", 0.5))
}

/// Names of the words in the fleet, and the ids in the ledger.
fn there(planner: &PlannerWithOperator) -> (Vec<String>, Vec<String>) {
    let mut client = planner.client();
    let source =
        Element::new(runloom_netconf::BASE, "source").with(Element::new(runloom_netconf::BASE, "running"));
    let reply = client.ask(Element::new(runloom_netconf::BASE, "get-config").with(source), None).unwrap();
    let fleet = reply.child("data").and_then(|d| d.child("fleet")).cloned().unwrap();
    let state = client.get(Element::new(STATE, "state").with(Element::new(STATE, "edit"))).unwrap();
    let state = state.child("data").and_then(|d| d.child("state")).cloned().unwrap_or_default();
    let texts = |e: &Element, of: &str, leaf: &str| {
        e.named(of).filter_map(|e| e.text_of(leaf).map(str::to_string)).collect::<Vec<_>>()
    };
    (texts(&fleet, "server", "name"), texts(&state, "edit", "id"))
}

/// A client edits as fast as it is answered; the planner is killed at another moment each time.
#[test]
fn every_edit_that_was_answered_is_there_after_a_kill_and_none_twice() {
    let mut planner = PlannerWithOperator::new("kills");
    let (mut answered, mut next) = (Vec::new(), 0u64);
    for round in 0..kills() {
        let mut client = planner.client();
        let child = planner.process.id().unwrap();
        // Moments that fall on all parts of an edit's way.
        let moment = Duration::from_micros(500 + (round * 7919) % 40_000);
        let killer = std::thread::spawn(move || {
            std::thread::sleep(moment);
            // The process's own id; it is reaped by `restart`.
            let _ = std::process::Command::new("kill").args(["-9", &child.to_string()]).status();
        });
        loop {
            let name = format!("e{next}");
            // The last one of each round is asked again in the next, under its id.
            match client.ask(edit_config("running", word(&name)), Some(&name)) {
                Ok(_) => {
                    answered.push(name);
                    next += 1;
                }
                Err(_) => break,
            }
        }
        killer.join().unwrap();
        planner.restart();
        let (words, ids) = there(&planner);
        for list in [&words, &ids] {
            let set: BTreeSet<&String> = list.iter().collect();
            assert_eq!(set.len(), list.len(), "round {round}: none twice");
            // The ledger holds the newest thousand.
            assert!(answered.iter().rev().take(1000).all(|a| set.contains(a)), "round {round}");
            // Besides, at most the one that was on its way.
            let known: BTreeSet<&String> = answered.iter().collect();
            assert!(set.iter().filter(|n| !known.contains(**n)).all(|n| **n == format!("e{next}")));
        }
        let folder = planner.folder.0.join("state");
        assert_eq!(state::verify(&folder), Ok(true), "round {round}");
        assert!(Lock::take(&folder).is_err(), "the planner has the folder");
    }
    assert!(answered.len() as u64 > kills() / 2, "{} edits in all", answered.len());
}

/// A folder as earlier versions left it is taken over: the fleet, the ledger, and the list.
#[test]
fn a_folder_of_an_earlier_version_is_taken_over() {
    let mut planner = PlannerWithOperator::new("older");
    let folder = planner.folder.0.join("state");
    planner.client().ask(edit_config("running", word("s1")), Some("first")).unwrap();
    let fleet = planner.client().ask(
        Element::new(runloom_netconf::BASE, "get-config").with(
            Element::new(runloom_netconf::BASE, "source")
                .with(Element::new(runloom_netconf::BASE, "running")),
        ),
        None,
    );
    let fleet = fleet.unwrap().child("data").and_then(|d| d.child("fleet")).cloned().unwrap();
    planner.process.kill();
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::create_dir_all(&folder).unwrap();
    let edit = Element::new("", "edit").with_leaf("id", "old").with_leaf("who", "staff");
    let ledger = Element::new("", "ledger").with(edit.with_leaf("digest", "d").with_leaf("accepted", 5));
    let accepted = Element::new("", "accepted").with(fleet).with(ledger);
    std::fs::write(folder.join("accepted.xml"), accepted.to_text()).unwrap();
    planner.restart();
    assert_eq!(there(&planner), (vec!["s1".to_string()], vec!["old".to_string()]));
    assert!(folder.join("accepted.xml.old").exists() && !folder.join("accepted.xml").exists());
    planner.restart();
    assert_eq!(there(&planner), (vec!["s1".to_string()], vec!["old".to_string()]));
}

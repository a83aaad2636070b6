//! Case 8: an operator's edit is repeated under its id after its session was dropped before the confirming commit.

use crate::fleet::{candidate_lock, operation, Fleet, DRAIN_GRACE};
use crate::record::Record;
use crate::Verdict;
use runloom_daemon::client::{edit_config, Client};
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use std::time::Duration;

const WORK: Duration = Duration::from_millis(40);
const PAUSE: Duration = Duration::from_millis(60);
/// From the drop of the session to the operator's next session.
const RECONNECT: Duration = Duration::from_secs(2);
const OBSERVED: Duration = Duration::from_secs(10);
const EDIT_ID: &str = "friday-1";
const SERVER: &str = "s3";

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(record, 6, WORK)?;
    let _feed = fleet.feed(&[])?;
    let mut clients = fleet.start_clients("title-search", 4, PAUSE)?;
    fleet.wait_for_traffic()?;

    let mut operator = fleet.operator(fleet.edits)?;
    send_edit(&fleet, &mut operator)?;
    if trouble {
        record.say("the operator's session is dropped");
        drop(operator);
        std::thread::sleep(RECONNECT);
        operator = fleet.operator(fleet.edits)?;
        let is_drained = drains(&mut operator)?;
        record.say(&format!("after the drop, the running configuration drains {SERVER}: {is_drained}"));
        send_edit(&fleet, &mut operator)?;
    }
    fleet.call(&mut operator, "operator: confirming commit", operation("commit", &[]), None)?;
    let confirmed_at = record.now();
    fleet.call(&mut operator, "operator: unlock the candidate", candidate_lock("unlock"), None)?;
    std::thread::sleep(DRAIN_GRACE + OBSERVED);
    for client in &mut clients {
        client.stop();
    }
    let is_drained = drains(&mut operator)?;
    record.say(&format!("the running configuration drains {SERVER}: {is_drained}"));
    let from = confirmed_at + DRAIN_GRACE;
    let late = fleet.count(SERVER, from, record.now());
    let others = fleet.count("s2", from, record.now());
    record.say(&format!("requests after the grace: {late} at {SERVER}, {others} at s2"));
    if others == 0 {
        return Err("no traffic".into());
    }
    Ok(if is_drained && late == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Sends the edit, a drain, as a confirmed commit under its id. Fails unless all of it is answered ok.
fn send_edit(fleet: &Fleet, operator: &mut Client) -> Result<(), String> {
    fleet.call(operator, "operator: lock the candidate", candidate_lock("lock"), None)?;
    let server = Element::new(FLEET_NAMESPACE, "server").with_leaf("name", SERVER).with_leaf("drain", "true");
    let edit = edit_config("candidate", Element::new(FLEET_NAMESPACE, "fleet").with(server));
    fleet.call(operator, &format!("operator: edit the candidate, drain {SERVER}"), edit, None)?;
    let timeout = Element::leaf(BASE, "confirm-timeout", "60");
    let commit = operation("commit", &["confirmed"]).with(timeout);
    fleet.call(operator, "operator: confirmed commit", commit, Some(EDIT_ID)).map(|_| ())
}

/// Whether the running configuration has the drain.
fn drains(operator: &mut Client) -> Result<bool, String> {
    let get = Element::new(BASE, "get-config").with(operation("source", &["running"]));
    let reply = operator.call(get, None).map_err(|error| error.to_string())?;
    let fleet = reply.child("data").and_then(|data| data.child("fleet")).ok_or("no fleet")?;
    let drained = fleet
        .named("server")
        .any(|server| server.text_of("name") == Some(SERVER) && server.text_of("drain") == Some("true"));
    Ok(drained)
}

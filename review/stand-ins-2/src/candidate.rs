//! Case 7: a node drains while an operator prepares an edit in the candidate datastore.

use crate::fleet::{candidate_lock, operation, Fleet, DRAIN_GRACE};
use crate::record::Record;
use crate::Verdict;
use runloom_daemon::client::edit_config;
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use std::time::Duration;

const WORK: Duration = Duration::from_millis(40);
const PAUSE: Duration = Duration::from_millis(60);
/// For this long the forwarders are observed after the grace.
const OBSERVED: Duration = Duration::from_secs(10);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(record, 6, WORK)?;
    let mut feed = fleet.feed(&[])?;
    let mut clients = fleet.start_clients("title-search", 4, PAUSE)?;
    fleet.wait_for_traffic()?;

    let mut told_at = None;
    if !trouble {
        told_at = Some(fleet.report_drain(&mut feed, "s1")?);
        std::thread::sleep(Duration::from_secs(2));
    }
    let mut operator = fleet.operator(fleet.edits)?;
    fleet.call(&mut operator, "operator: lock the candidate", candidate_lock("lock"), None)?;
    let zone = Element::new(FLEET_NAMESPACE, "zone").with_leaf("name", "heredia").with_leaf("share", "0.8");
    let edit = edit_config("candidate", Element::new(FLEET_NAMESPACE, "fleet").with(zone));
    fleet.call(&mut operator, "operator: edit the candidate, share of heredia 0.8", edit, None)?;
    if trouble {
        told_at = Some(fleet.report_drain(&mut feed, "s1")?);
    }
    let told_at = told_at.ok_or("no drain was reported")?;
    std::thread::sleep(Duration::from_secs(4));
    let before_commit = record.now();
    let kept = fleet.count("s1", told_at + DRAIN_GRACE, before_commit);
    record.say(&format!("requests at s1 from the end of its grace to the commit: {kept}"));
    if kept > 0 {
        return Err("s1 got requests after its grace before the commit".into());
    }
    fleet.call(&mut operator, "operator: commit", operation("commit", &[]), Some("friday-1"))?;
    fleet.call(&mut operator, "operator: unlock the candidate", candidate_lock("unlock"), None)?;
    std::thread::sleep(OBSERVED);
    for client in &mut clients {
        client.stop();
    }
    let from = told_at + DRAIN_GRACE;
    let late = fleet.count("s1", from, record.now());
    let others = fleet.count("s2", from, record.now());
    record.say(&format!(
        "s1 was reported as draining at {:.3}, answered ok; the grace ended at {:.3}",
        told_at.as_secs_f64(),
        from.as_secs_f64()
    ));
    record.say(&format!("requests since then: {late} at s1, {others} at s2"));
    if others == 0 {
        return Err("no traffic".into());
    }
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

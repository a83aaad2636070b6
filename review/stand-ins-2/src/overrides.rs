//! Case 10: a planner that is started again after operators drained one server more than the schema allows in a file.

use crate::fleet::Fleet;
use crate::record::Record;
use crate::Verdict;
use runloom_daemon::client::edit_config;
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use std::time::Duration;

const WORK: Duration = Duration::from_millis(40);
const PAUSE: Duration = Duration::from_millis(60);
/// Servers that operators drained, one after the other, before they were replaced by others with new ids.
const DRAINED: usize = 4200;
/// Servers in one edit.
const EDIT_SIZE: usize = 50;
/// From the end of the planner to its next start.
const DOWN: Duration = Duration::from_secs(3);
/// The platform gives a planner this long to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(record, 6, WORK)?;
    let feed = fleet.feed(&[])?;
    let mut clients = fleet.start_clients("title-search", 4, PAUSE)?;
    fleet.wait_for_traffic()?;

    let mut operator = fleet.operator(fleet.edits)?;
    for edit in 0..DRAINED / EDIT_SIZE {
        let drained = (edit * EDIT_SIZE..(edit + 1) * EDIT_SIZE).fold(
            Element::new(FLEET_NAMESPACE, "fleet"),
            |fleet, number| {
                let name = format!("old-{number}");
                let server = Element::new(FLEET_NAMESPACE, "server");
                fleet.with(server.with_leaf("name", name).with_leaf("drain", "true"))
            },
        );
        let id = format!("drain-{edit}");
        let what = format!("operator: drain {EDIT_SIZE} servers, {} in all", (edit + 1) * EDIT_SIZE);
        if fleet.call(&mut operator, &what, edit_config("running", drained), Some(&id)).is_err() {
            record.say("the planner refuses more drains: nothing was accepted that cannot be kept");
            break;
        }
    }
    drop((operator, feed));
    if trouble {
        record.say("the planner gets SIGTERM");
        fleet.planner.signal("TERM");
        if !fleet.planner.wait(Duration::from_secs(10)) {
            return Err("the planner did not end".into());
        }
        std::thread::sleep(DOWN);
        let started_at = record.now();
        while let Err(why) = fleet.restart_planner() {
            let log = std::fs::read_to_string(fleet.folder.path("planner.log")).unwrap_or_default();
            record.say(&format!("start failed: {why}; {}", log.lines().last().unwrap_or_default()));
            if record.now() > started_at + READY_WITHIN {
                for client in &mut clients {
                    client.stop();
                }
                return Ok(Verdict::Broken);
            }
            std::thread::sleep(Duration::from_secs(2));
        }
    }
    let mut operator = fleet.operator(fleet.edits)?;
    let get = Element::new(runloom_netconf::BASE, "get-config");
    let get = get.with(crate::fleet::operation("source", &["running"]));
    let reply = operator.call(get, None).map_err(|error| error.to_string())?;
    let kept =
        reply.child("data").and_then(|data| data.child("fleet")).map_or(0, |f| f.named("server").count());
    record.say(&format!("the planner runs; its configuration has {kept} drained servers"));
    for client in &mut clients {
        client.stop();
    }
    Ok(Verdict::Held)
}

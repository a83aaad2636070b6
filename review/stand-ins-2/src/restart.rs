//! Case 8: a planner is restarted in the second after the feed told it that a server drains.

use crate::fleet::{Fleet, DRAIN_GRACE};
use crate::record::Record;
use crate::Verdict;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const WORK: Duration = Duration::from_millis(40);
const PAUSE: Duration = Duration::from_millis(60);
/// Between two changes that the feed reports.
const BETWEEN_CHANGES: Duration = Duration::from_millis(200);
/// From the planner's answer to its restart.
const UNTIL_RESTART: Duration = Duration::from_millis(400);
/// From the end of the planner to its next start.
const DOWN: Duration = Duration::from_secs(3);
/// From the planner's next start to the feed's next session.
const FEED_DELAY: Duration = Duration::from_millis(3800);
const FORWARDERS: usize = 4;
const OBSERVED: Duration = Duration::from_secs(6);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::with_forwarders(record, 6, WORK, FORWARDERS)?;
    let mut feed = fleet.feed(&[])?;
    let mut clients = fleet.start_clients("title-search", 4, PAUSE)?;
    fleet.wait_for_traffic()?;

    fleet.report_weight(&mut feed, "s4", 0.9)?;
    std::thread::sleep(BETWEEN_CHANGES);
    let told_at = fleet.report_drain(&mut feed, "s1")?;
    std::thread::sleep(UNTIL_RESTART);
    if trouble {
        record.say("the planner is killed");
        fleet.planner.signal("KILL");
        if !fleet.planner.wait(Duration::from_secs(10)) {
            return Err("the planner did not end".into());
        }
        drop(feed);
        std::thread::sleep(DOWN);
        fleet.restart_planner()?;
        record.say("the planner has started again");
        std::thread::sleep(FEED_DELAY);
        let _feed = fleet.feed(&["s1"])?;
        std::thread::sleep(OBSERVED);
    } else {
        std::thread::sleep(UNTIL_RESTART + DOWN + FEED_DELAY + OBSERVED);
    }
    for client in &mut clients {
        client.stop();
    }
    let joined = joining_times(&fleet)?;
    let arrivals = fleet.arrivals.lock().expect("not poisoned").clone();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|arrival| arrival.server == "s1") {
        let Some(joined_at) = joined.get(&arrival.forwarder) else { continue };
        if arrival.at > told_at.max(*joined_at) + DRAIN_GRACE {
            late += 1;
            let since = (arrival.at - *joined_at).as_secs_f64();
            record.say(&format!(
                "s1 got {} at {:.3} from {}, joined {since:.2} s before",
                arrival.id,
                arrival.at.as_secs_f64(),
                arrival.forwarder
            ));
        }
    }
    let again = fleet.count("s1", told_at + DRAIN_GRACE, record.now());
    let others = fleet.count("s2", told_at + DRAIN_GRACE, record.now());
    record
        .say(&format!("since the grace after the planner's answer: {again} requests at s1, {others} at s2"));
    record
        .say(&format!("requests at s1 later than the grace after the answer and after the joining: {late}"));
    if others == 0 {
        return Err("no traffic".into());
    }
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// When each forwarder last joined the planner, from the planner's log.
fn joining_times(fleet: &Fleet) -> Result<BTreeMap<String, Duration>, String> {
    let log = std::fs::read_to_string(fleet.folder.path("planner.log")).map_err(|error| error.to_string())?;
    let since_midnight =
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() % 86400.0;
    let started = since_midnight - fleet.record.now().as_secs_f64();
    let mut joined = BTreeMap::new();
    for line in log.lines().filter(|line| line.contains(" connected proxy=")) {
        let name = line.split("proxy=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or_default();
        let at = line.split(['T', 'Z']).nth(1).and_then(seconds_of_day).ok_or("a log line without a time")?;
        let at = (at - started).rem_euclid(86400.0);
        fleet.record.say(&format!("{name} joined the planner at {at:.3}"));
        joined.insert(name.to_string(), Duration::from_secs_f64(at));
    }
    Ok(joined)
}

/// Seconds since midnight of a time as `01:02:03.456`.
fn seconds_of_day(text: &str) -> Option<f64> {
    let mut parts = text.split(':');
    let (hours, minutes, seconds) = (parts.next()?, parts.next()?, parts.next()?);
    let (hours, minutes): (f64, f64) = (hours.parse().ok()?, minutes.parse().ok()?);
    Some(hours * 3600.0 + minutes * 60.0 + seconds.parse::<f64>().ok()?)
}

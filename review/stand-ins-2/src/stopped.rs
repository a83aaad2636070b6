//! Case 9: a forwarder is restarted (SIGTERM) while it forwards requests.

use crate::fleet::Fleet;
use crate::http::Ending;
use crate::record::Record;
use crate::Verdict;
use std::collections::BTreeSet;
use std::time::Duration;

const WORK: Duration = Duration::from_millis(150);
const PAUSE: Duration = Duration::from_millis(10);
const OBSERVED: Duration = Duration::from_secs(8);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(record, 6, WORK)?;
    let _feed = fleet.feed(&[])?;
    let mut clients = fleet.start_clients("loan-checkout", 12, PAUSE)?;
    fleet.wait_for_traffic()?;
    if trouble {
        record.say("forwarder-1 gets SIGTERM");
        fleet.forwarders[0].signal("TERM");
        if !fleet.forwarders[0].wait(Duration::from_secs(20)) {
            return Err("the forwarder did not end".into());
        }
        record.say("forwarder-1 has ended");
        clients[0].stop();
    } else {
        std::thread::sleep(OBSERVED);
    }
    for client in &mut clients {
        client.stop();
    }
    let ran: BTreeSet<String> =
        fleet.arrivals.lock().expect("not poisoned").iter().map(|arrival| arrival.id.clone()).collect();
    let mut lost = 0;
    let mut answered = 0;
    for client in &clients {
        for (at, id, ending) in client.endings.lock().expect("not poisoned").iter() {
            match ending {
                Ending::Answered(_) => answered += 1,
                Ending::NoAnswer if ran.contains(id) => {
                    lost += 1;
                    record.say(&format!(
                        "{id} ran at a server; closed without an answer at {:.3}",
                        at.as_secs_f64()
                    ));
                }
                Ending::NoAnswer | Ending::NotSent | Ending::Foreign(_) => {}
            }
        }
    }
    record.say(&format!("{answered} requests were answered, {lost} ran and got no answer"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

//! Case 6: a few requests of one class cost many times the usual work.

use crate::fleet::Fleet;
use crate::http::{Clients, Costly, Ending};
use crate::record::Record;
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The usual work of a request.
const WORK: Duration = Duration::from_millis(120);
/// The work of a costly one, 12.5 times as much.
const COSTLY_WORK: Duration = Duration::from_millis(1500);
/// One of this many requests of title-search is costly.
const ONE_OF: u64 = 40;
const PAUSE: Duration = Duration::from_millis(100);
/// For this long some requests are costly.
const LENGTH: Duration = Duration::from_secs(20);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(record, 6, WORK)?;
    let _feed = fleet.feed(&[])?;
    let costly = Costly::new(ONE_OF, COSTLY_WORK);
    let mut clients = Vec::new();
    for forwarder in &fleet.forwarders {
        let address = forwarder.address("listen")?;
        clients.push(Clients::with_costly(address, "title-search", 6, PAUSE, record, &costly));
        clients.push(Clients::start(address, "loan-checkout", 3, PAUSE, record));
    }
    fleet.wait_for_traffic()?;
    if trouble {
        record.say("some requests of title-search are costly from now on");
        costly.is_on.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(LENGTH);
    costly.is_on.store(false, Ordering::Relaxed);
    record.say("no more costly requests");
    std::thread::sleep(Duration::from_secs(3));
    for client in &mut clients {
        client.stop();
    }
    let (mut answered, mut foreign, mut unanswered) = (0, 0, 0);
    for client in &clients {
        for (at, id, ending) in client.endings.lock().expect("not poisoned").iter() {
            match ending {
                Ending::Answered(_) => answered += 1,
                Ending::Foreign(other) => {
                    foreign += 1;
                    record.say(&format!("{id} got the answer to {other} at {:.3}", at.as_secs_f64()));
                }
                Ending::NoAnswer | Ending::NotSent => unanswered += 1,
            }
        }
    }
    record.say(&format!(
        "{answered} requests got an answer of their own, {foreign} that of another, {unanswered} none"
    ));
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}

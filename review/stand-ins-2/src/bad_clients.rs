//! A case on the platform: bad clients by the hundreds, while proxies whose streams were reset come back and servers drain.

use crate::platform::{Phase, Platform, Site};
use crate::record::Record;
use crate::Verdict;

const PROXIES: usize = 150;
const SERVERS: usize = 30;
/// The fewest file descriptors that the platform gives on scored days.
const SOCKETS: usize = 256;
/// Every tenth stream is reset.
const RESET_STREAMS: usize = PROXIES / 10;
/// Every fifth server drains.
const DRAINING: usize = SERVERS / 5;
const BAD_CLIENTS: usize = 800;
/// A bad client is owed a close or an answer within this time, seconds.
const OWED_WITHIN: f64 = 3.0;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let site = Site { proxies: PROXIES, requests_per_second: 500.0, server_capacity: 35.0, ..Site::valle() };
    let zones = site.zones.len();
    let listed: Vec<(usize, Option<f64>)> = (0..SERVERS).map(|server| (server % zones, None)).collect();
    let mut platform = Platform::new(site, record, 7, &listed)?;
    platform.sockets = SOCKETS;
    platform.start_planner()?;
    platform.start_proxies(1.0);
    platform.run_until(8.0)?;

    record.say(&format!("{RESET_STREAMS} streams are reset; {DRAINING} servers drain"));
    for proxy in 0..RESET_STREAMS {
        platform.break_stream(proxy);
    }
    for server in 0..DRAINING {
        platform.list(server, Phase::Draining);
    }
    platform.run_until(8.2)?;
    if trouble {
        platform.connect_strangers(BAD_CLIENTS);
    }
    platform.run_until(24.0)?;

    let waits = &platform.stranger_waits;
    let late = waits.iter().filter(|wait| **wait > OWED_WITHIN).count();
    let longest = waits.iter().fold(0.0, |longest: f64, wait| longest.max(*wait));
    let closed = waits.len();
    record.say(&format!(
        "bad clients closed or answered: {closed}, {late} after more than 3 s, the last after {longest:.2} s"
    ));
    record.say(&format!(
        "{} requests, {} of them to a draining server after its grace",
        platform.requests, platform.late_sends
    ));
    if platform.requests == 0 {
        return Err("no traffic".into());
    }
    Ok(if platform.late_sends > 0 { Verdict::Broken } else { Verdict::Held })
}

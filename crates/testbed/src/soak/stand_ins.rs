//! Stand-ins for the servers' health endpoints and for the collector that reports the load of a zone's servers.

use super::endpoint_list::{EndpointList, ServerPhase};
use super::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use runloom_platform_protocol::framing::write_frame;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two reports of the collector.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts an endpoint that answers the health checks of all servers, and returns its address. It stops at the first
/// connection after `is_stopped`.
pub fn start_health_endpoint(is_stopped: Arc<AtomicBool>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let Ok(mut stream) = stream else { continue };
            std::thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(HEALTH_TIMEOUT));
                let _ = stream.read(&mut [0; 1024]);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"q\":1}");
            });
        }
    });
    Ok(address)
}

/// Reports successful requests for all serving servers until stopped. On average, every fourth time it adds a malformed
/// report.
pub fn run_collector(planner: SocketAddr, list: &Mutex<EndpointList>, seed: u64, is_stopped: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed);
    while !is_stopped.load(Ordering::Relaxed) {
        let _ = report_until_closed(planner, list, &mut random, is_stopped);
        std::thread::sleep(RECONNECT_INTERVAL);
    }
}

fn report_until_closed(
    planner: SocketAddr,
    list: &Mutex<EndpointList>,
    random: &mut StdRng,
    is_stopped: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(planner)?;
    send(&mut stream, &[json!({"t": "SOURCE", "site": "a"})])?;
    while !is_stopped.load(Ordering::Relaxed) {
        let mut messages: Vec<Value> =
            lock(list).ids(ServerPhase::Serving).iter().map(|id| report(id)).collect();
        if random.random_ratio(1, 4) {
            messages.push(json!({"t": "LOAD", "site": "a", "target": 7, "count": "many"}));
        }
        send(&mut stream, &messages)?;
        std::thread::sleep(REPORT_INTERVAL);
    }
    Ok(())
}

fn report(server: &str) -> Value {
    json!({"t": "LOAD", "site": "a", "target": server, "count": 20, "fail": 0, "mean": 40.0, "over": 500.0,
        "util": {"q": 1}})
}

/// Sends messages with a single write.
pub fn send(stream: &mut TcpStream, messages: &[Value]) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    messages.iter().for_each(|message| write_frame(&mut bytes, message.to_string().as_bytes()));
    stream.write_all(&bytes)
}

//! The latency that a proxy adds to a request: the same clients send directly to a server that answers immediately, and
//! through a proxy with an event loop of its own.

use super::figures::{print_figure, TimeHistogram};
use super::BenchmarkResult;
use crate::fake_servers::{FakeServers, ServerCapacity};
use crate::issuer::Issuer;
use crate::load_generator::{LoadGenerator, CLASSES};
use rand::rngs::StdRng;
use rand::SeedableRng;
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_daemon::tls_credentials::PROXY_DNS_NAME;
use runloom_event_loop::{EventLoop, IoEvent};
use runloom_model::proxy_settings::ProxySettings;
use runloom_model::tls_files::TlsFiles;
use runloom_model::traffic_class::{ClassSettings, RetrySafety};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const REQUESTS_PER_SECOND: f64 = 850.0;
const SENDING_TIME: Duration = Duration::from_secs(8);
/// Time for requests that are in flight when the clients stop sending.
const DRAIN_TIME: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const SERVER_COUNT: usize = 4;
/// Servers that answer immediately.
const CAPACITY: ServerCapacity =
    ServerCapacity { service_time: Duration::from_micros(1), cores: 64, warm_up: Duration::from_secs(1) };

/// Measures the median and the 99th percentile without and with the proxy, and prints their differences too.
pub(super) fn measure(folder: &Path) -> BenchmarkResult {
    let credentials = Issuer::new(folder)?.issue("f0", Some(PROXY_DNS_NAME))?;
    let mut event_loop = EventLoop::new().map_err(|e| e.to_string())?;
    let mut servers = FakeServers::new(CAPACITY);
    for _ in 0..SERVER_COUNT {
        servers.add(&mut event_loop, "z0", false).map_err(|e| e.to_string())?;
    }
    let proxy = spawn_proxy(proxy_settings(credentials, &servers))?;
    let server = servers.all[0].address;
    let direct = measure_latency("straight", server, &mut event_loop, &mut servers)?;
    let proxied = measure_latency("through", proxy, &mut event_loop, &mut servers)?;
    print_figure("forwarder_added_p50", proxied.p50_ms - direct.p50_ms, "ms");
    print_figure("forwarder_added_p99", proxied.p99_ms - direct.p99_ms, "ms");
    Ok(())
}

fn proxy_settings(credentials: TlsFiles, servers: &FakeServers) -> ProxySettings {
    let class = |name: &str| ClassSettings {
        name: name.into(),
        priority_weight: 1.0,
        latency_objective: Duration::from_secs(1),
        deadline: Duration::from_secs(2),
        retry_safety: RetrySafety::Safe,
    };
    ProxySettings {
        name: "f0".into(),
        zone: "z0".into(),
        listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        table_delivery: Default::default(),
        planner_addresses: vec![],
        tls: credentials,
        selection: "less-busy".into(),
        circuit_breaker_failures: 3,
        circuit_breaker_open: Duration::from_secs(4),
        report_period: Duration::from_millis(500),
        classes: CLASSES.iter().map(|client_class| class(client_class.name)).collect(),
        static_servers: servers.all.iter().map(|server| (server.name.clone(), server.address)).collect(),
    }
}

/// Runs a proxy on a thread of its own, and returns the address on which it listens.
fn spawn_proxy(settings: ProxySettings) -> Result<SocketAddr, String> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || -> BenchmarkResult {
        let mut event_loop = EventLoop::new().map_err(|e| e.to_string())?;
        let (mut runtime, address) =
            ProxyRuntime::start(&mut event_loop, settings, 1).map_err(|e| e.to_string())?;
        let _ = sender.send(address);
        runtime.run(&mut event_loop).map_err(|e| e.to_string())
    });
    receiver.recv().map_err(|e| e.to_string())
}

/// Quantiles of the latency of requests to one address.
struct Latency {
    p50_ms: f64,
    p99_ms: f64,
}

/// Measures and prints the latency of requests to one address.
fn measure_latency(
    name: &str,
    target: SocketAddr,
    event_loop: &mut EventLoop,
    servers: &mut FakeServers,
) -> Result<Latency, String> {
    let times = send_requests(target, event_loop, servers)?;
    let latency = Latency { p50_ms: times.quantile_ms(0.5), p99_ms: times.quantile_ms(0.99) };
    print_figure(&format!("query_{name}_p50"), latency.p50_ms, "ms");
    print_figure(&format!("query_{name}_p99"), latency.p99_ms, "ms");
    Ok(latency)
}

fn send_requests(
    target: SocketAddr,
    event_loop: &mut EventLoop,
    servers: &mut FakeServers,
) -> Result<TimeHistogram, String> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut clients = LoadGenerator::new(vec![target], REQUESTS_PER_SECOND);
    let started_at = event_loop.now();
    clients.start(started_at);
    while event_loop.now() < started_at + SENDING_TIME + DRAIN_TIME {
        clients.is_sending = event_loop.now() < started_at + SENDING_TIME;
        let poll_at = event_loop.now() + POLL_INTERVAL;
        let deadlines = [servers.next_deadline(), clients.next_deadline(), Some(poll_at)];
        let next_deadline = deadlines.into_iter().flatten().min();
        for event in event_loop.wait(next_deadline).map_err(|e| e.to_string())? {
            dispatch(event, event_loop, servers, &mut clients, &mut rng);
        }
        servers.poll(event_loop, &mut rng);
        clients.poll(event_loop, &mut rng);
    }
    let mut times = TimeHistogram::new()?;
    clients.totals.latencies_us.iter().for_each(|us| times.record_us(u64::from(*us)));
    Ok(times)
}

fn dispatch(
    event: IoEvent,
    event_loop: &mut EventLoop,
    servers: &mut FakeServers,
    clients: &mut LoadGenerator,
    rng: &mut StdRng,
) {
    match event {
        IoEvent::Open { conn, listener: Some(listener), .. } if servers.owns(listener) => {
            servers.handle_open(event_loop, conn, listener);
        }
        IoEvent::Bytes { conn, bytes } if servers.owns(conn) => {
            servers.handle_bytes(event_loop, conn, &bytes, rng);
        }
        IoEvent::Closed { conn, .. } if servers.owns(conn) => servers.handle_closed(conn),
        IoEvent::Bytes { conn, bytes } => clients.handle_bytes(event_loop, conn, &bytes),
        IoEvent::Closed { conn, .. } => clients.handle_closed(event_loop, conn),
        _ => {}
    }
}

//! The cost of keeping accepted edits on disk.

use super::figures::{milliseconds, print_figure, TimeHistogram};
use super::fixtures::{quiet_scenario, ScenarioSize};
use super::BenchmarkResult;
use crate::planner_process::read_metrics;
use crate::testbed::Testbed;
use runloom_daemon::client::Client;
use runloom_daemon::persistence::EDITS;
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use runloom_store::{chunk_entries, AcceptedEdit, AcceptedState, EntrySource, Folder, StatePatch, Store};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const FLEET_ENTRIES: usize = 544;
const HISTORY_EDITS: usize = 1024;
/// Numbers of edits that are written with one sync.
const BATCH_SIZES: [usize; 2] = [1, 16];
const APPENDING_TIME: Duration = Duration::from_secs(3);
/// Numbers of clients that send edits at the same time.
const CLIENT_COUNTS: [usize; 2] = [1, 16];
const EDITING_TIME: Duration = Duration::from_secs(4);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const SOCKETS_SIZE: ScenarioSize = ScenarioSize { proxies: 2, servers: 24, request_rate: 0.0, seconds: 6 };

/// Measures a store on disk: a snapshot of 544 fleet entries with a full history, appends of one and of sixteen edits
/// per sync, and the time to read everything back; then edits through a planner's process.
pub(super) fn measure(folder: &Path, program: &Path) -> BenchmarkResult {
    let store_folder = folder.join("keeping");
    let state = accepted_state();
    let mut store = open_store(&store_folder)?;
    measure_snapshot(&mut store, &state)?;
    for batch in BATCH_SIZES {
        measure_appends(&mut store, batch)?;
    }
    fill_store(&mut store, &state)?;
    measure_reading(&store_folder)?;
    measure_over_sockets(folder, program)
}

fn open_store(folder: &Path) -> Result<Store<Folder>, String> {
    let folder = Folder::open(folder).map_err(|e| e.to_string())?;
    let (store, _) = Store::open(folder, EDITS).map_err(|e| e.to_string())?;
    Ok(store)
}

fn accepted_edit(number: usize) -> AcceptedEdit {
    AcceptedEdit {
        id: format!("e{number}"),
        author: "staff".into(),
        digest: "d".repeat(64),
        accepted_ms: number as u64,
    }
}

fn fleet_entry(number: usize) -> String {
    format!("<server xmlns=\"urn:runloom:fleet\"><name>server-{number}</name><weight>0.5</weight></server>")
}

fn accepted_state() -> AcceptedState {
    AcceptedState {
        entries: (0..FLEET_ENTRIES).map(fleet_entry).collect(),
        rollback_entries: None,
        edits: (0..HISTORY_EDITS).map(accepted_edit).collect(),
    }
}

/// The stored form of an edit that replaces one entry and keeps the others.
fn state_patch(number: usize) -> Vec<u8> {
    let source = |entry: usize| match entry == number % FLEET_ENTRIES {
        true => EntrySource::New(fleet_entry(entry)),
        false => EntrySource::Existing(entry as u32),
    };
    let chunks = Some(chunk_entries((0..FLEET_ENTRIES).map(source)));
    StatePatch { chunks, edits: vec![accepted_edit(number)], rollback_entries: None }.encode()
}

fn measure_snapshot(store: &mut Store<Folder>, state: &AcceptedState) -> BenchmarkResult {
    let start = Instant::now();
    store.snapshot(&state.encode()).map_err(|e| e.to_string())?;
    print_figure("snapshot_544_words_1024_edits", milliseconds(start.elapsed()), "ms");
    let kib = state.encode().len() as f64 / 1024.0;
    print_figure("snapshot_544_words_1024_edits_size", kib, "KiB");
    Ok(())
}

fn measure_appends(store: &mut Store<Folder>, batch: usize) -> BenchmarkResult {
    let mut times = TimeHistogram::new()?;
    let start = Instant::now();
    let mut edits = 0;
    let mut bytes = 0;
    while start.elapsed() < APPENDING_TIME {
        let patches: Vec<Vec<u8>> = (edits..edits + batch).map(state_patch).collect();
        bytes += patches.iter().map(Vec::len).sum::<usize>();
        let append_start = Instant::now();
        store.append(&patches).map_err(|e| e.to_string())?;
        times.record(append_start.elapsed());
        edits += batch;
    }
    let name = format!("edits_{batch}_a_sync");
    let edits_per_second = edits as f64 / start.elapsed().as_secs_f64();
    print_figure(&format!("{name}_per_second"), edits_per_second, "edits/s");
    print_figure(&format!("{name}_p99"), times.quantile_ms(0.99), "ms");
    print_figure(&format!("{name}_bytes"), bytes as f64 / edits as f64, "bytes");
    Ok(())
}

/// Appends as many edits as a planner does before it writes a snapshot.
fn fill_store(store: &mut Store<Folder>, state: &AcceptedState) -> BenchmarkResult {
    store.snapshot(&state.encode()).map_err(|e| e.to_string())?;
    let mut number = 0;
    while !store.needs_snapshot() {
        store.append(&[state_patch(number)]).map_err(|e| e.to_string())?;
        number += 1;
    }
    Ok(())
}

fn measure_reading(folder: &Path) -> BenchmarkResult {
    let start = Instant::now();
    let folder = Folder::open(folder).map_err(|e| e.to_string())?;
    let (_, opened) = Store::open(folder, EDITS).map_err(|e| e.to_string())?;
    let accepted = runloom_daemon::persistence::restore_accepted(&opened)
        .map_err(|e| e.to_string())?
        .ok_or("no accepted state was read back")?;
    print_figure("read_back_entries", opened.entries.len() as f64, "edits");
    print_figure("read_back", milliseconds(start.elapsed()), "ms");
    if accepted.entries.len() != FLEET_ENTRIES {
        return Err("not all fleet entries were read back".into());
    }
    Ok(())
}

/// Measures operators' edits through a planner's process, which replies once an edit is on disk: one client, and
/// sixteen at the same time.
fn measure_over_sockets(folder: &Path, program: &Path) -> BenchmarkResult {
    let testbed = Testbed::new(quiet_scenario(SOCKETS_SIZE), 1, &folder.join("over"), program, &[])?;
    let addresses = testbed.planners()[0].addresses;
    let policy = TlsPolicy::load(testbed.operator_credentials()).map_err(|e| e.to_string())?;
    for clients in CLIENT_COUNTS {
        measure_clients(clients, addresses.edits, &policy)?;
    }
    let metrics = read_metrics(addresses.metrics).unwrap_or_default();
    for (name, metric) in [("turn_p99", "runloom_turn_seconds_p99"), ("turn_max", "runloom_turn_seconds_max")]
    {
        let seconds = metrics.get(metric).copied().unwrap_or(f64::NAN);
        print_figure(&format!("edited.{name}"), seconds * 1e3, "ms");
    }
    Ok(())
}

fn measure_clients(clients: usize, planner: SocketAddr, policy: &TlsPolicy) -> BenchmarkResult {
    let results: Vec<Result<Vec<u64>, String>> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..clients).map(|client| scope.spawn(move || send_edits(client, planner, policy))).collect();
        let panicked = |_| Err("a client panicked".into());
        threads.into_iter().map(|thread| thread.join().unwrap_or_else(panicked)).collect()
    });
    let mut times_us: Vec<u64> = results.into_iter().collect::<Result<Vec<_>, _>>()?.concat();
    times_us.sort_unstable();
    let p99_us = times_us.get(times_us.len() * 99 / 100).copied().unwrap_or_default();
    let edits_per_second = times_us.len() as f64 / EDITING_TIME.as_secs_f64();
    print_figure(&format!("clients_{clients}.edits_per_second"), edits_per_second, "edits/s");
    print_figure(&format!("clients_{clients}.edit_p99"), p99_us as f64 / 1e3, "ms");
    Ok(())
}

/// Sends edits one after the other, and returns their times in microseconds.
fn send_edits(client: usize, planner: SocketAddr, policy: &TlsPolicy) -> Result<Vec<u64>, String> {
    let mut session = Client::open(planner, policy, REQUEST_TIMEOUT).map_err(|e| e.to_string())?;
    let start = Instant::now();
    let mut times_us = vec![];
    while start.elapsed() < EDITING_TIME {
        let server = Element::new(FLEET_NAMESPACE, "server")
            .with_leaf("name", format!("s{client}"))
            .with_leaf("weight", 0.5 + 0.001 * (times_us.len() % 100) as f64);
        let edit_start = Instant::now();
        session.edit(Element::new(FLEET_NAMESPACE, "fleet").with(server), None).map_err(|e| e.to_string())?;
        times_us.push(edit_start.elapsed().as_micros() as u64);
    }
    Ok(times_us)
}

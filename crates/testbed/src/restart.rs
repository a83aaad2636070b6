//! Measurements of what outlasts a restart: what hints are worth when a planner starts again amid servers that fail,
//! and what keeping edits costs.

use crate::measure::{figure, sized, Told};
use crate::scenario::{Fronts, Scenario, ScheduledFault};
use crate::world::{Outcomes, Testbed};
use runloom_daemon::client::Client;
use runloom_daemon::persistence::{EDITS, LEARNED};
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::FLEET;
use runloom_netconf::tree::Element;
use runloom_store::{
    list_chunks, AcceptedEdit, AcceptedState, EntrySource, Folder, LearnedServer, LearnedServers, StatePatch,
    Store,
};
use statrs::statistics::Statistics;
use std::path::Path;
use std::time::{Duration, Instant};

/// A name, and what is done to the folder.
type Way = (&'static str, fn(&Path));

const WAYS: [Way; 4] = [("wrong", wrong), ("cold", cold), ("fresh", |_| ()), ("six_hours", six_hours)];
const SEEDS: [u64; 4] = [21, 22, 23, 24];

fn edit(state: &Path, change: impl FnOnce(Option<LearnedServers>) -> Option<LearnedServers>) {
    let Ok(folder) = Folder::open(state) else { return };
    let Ok((mut store, opened)) = Store::open(folder, LEARNED) else { return };
    let book = opened.state.and_then(|bytes| LearnedServers::decode(&bytes).ok());
    if let Some(book) = change(book) {
        let _ = store.snapshot(&book.encode());
    }
}

fn cold(state: &Path) {
    edit(state, |_| Some(LearnedServers::default()));
}

fn six_hours(state: &Path) {
    const AGE: u64 = 6 * 3600 * 1000;
    edit(state, |book| {
        let mut book = book?;
        book.written_ms -= AGE;
        book.servers.iter_mut().for_each(|s| s.last_ejected_ms = s.last_ejected_ms.map(|at| at - AGE));
        Some(book)
    });
}

/// The doubt goes to five that are well, fresh, and nothing is known of the others.
fn wrong(state: &Path) {
    // The list as the planner's settings have it: it does not change on this day.
    let Some(settings) = state.parent().map(|f| f.join("planner-0.xml")) else { return };
    let text = std::fs::read_to_string(settings).unwrap_or_default();
    let Ok(planner) = Element::parse(&text) else { return };
    let Some(roster) = planner.child("roster") else { return };
    edit(state, |book| {
        let book = book?;
        let bad = |s: &LearnedServer| s.last_ejected_ms.is_some() || s.speed_factor < 0.8;
        let failed = |name: &str| book.servers.iter().any(|s| s.name == name && bad(s));
        let entries = roster.named("server").filter(|e| !failed(e.text_of("name").unwrap_or_default()));
        let doubted = |e: &std::sync::Arc<Element>| LearnedServer {
            name: e.text_of("name").unwrap_or_default().to_string(),
            address: e.text_of("address").unwrap_or_default().to_string(),
            started_ms: e.text_of("started").and_then(|t| t.parse().ok()),
            speed_factor: 0.5,
            last_ejected_ms: Some(book.written_ms),
            is_long_ejected: true,
        };
        Some(LearnedServers { written_ms: book.written_ms, servers: entries.take(5).map(doubted).collect() })
    });
}

fn trouble(at: u64, kind: &str, count: usize, lasts: u64, size: f64) -> ScheduledFault {
    let seconds = Duration::from_secs;
    ScheduledFault { at: seconds(at), kind: kind.into(), count, lasts: seconds(lasts), size, servers: vec![] }
}

/// 24 servers, three of which fail fast and two are slow from the third second on; the planner is killed at 14 s and is
/// back a second later.
fn day() -> Scenario {
    let mut day = Scenario { fronts: Fronts::Mixed, ..sized(24, 24, 240.0, 46) };
    day.edits.clear();
    day.pick = "chance".into();
    day.troubles = vec![
        trouble(3, "errors", 3, 43, 1.0),
        trouble(4, "slow", 2, 42, 3.0),
        trouble(14, "planner-kill", 1, 1, 1.0),
    ];
    day
}

fn one(folder: &Path, own: &Path, way: usize, seed: u64) -> Result<([usize; 2], Outcomes), String> {
    let (name, between) = WAYS[way];
    let mut world = Testbed::new(day(), seed, &folder.join(format!("{name}-{seed}")), own, &[])?;
    world.between = Some(between);
    let outcome = world.play()?;
    Ok((world.to_bad, outcome))
}

/// A planner's restart amid three servers that fail and two that are slow: queries that reached these in the half minute
/// after it, and service over the day, with no hints, fresh ones, ones six hours old, and wrong ones; mean and the
/// standard error over the seeds.
pub fn restart(folder: &Path, own: &Path) -> Told {
    let mut broken = vec![];
    for (way, (name, _)) in WAYS.iter().enumerate() {
        // All seeds at a time: each takes a small part of a core.
        let played: Vec<Result<([usize; 2], Outcomes), String>> = std::thread::scope(|scope| {
            let days: Vec<_> =
                SEEDS.into_iter().map(|seed| scope.spawn(move || one(folder, own, way, seed))).collect();
            days.into_iter().map(|d| d.join().unwrap_or_else(|_| Err("a day panicked".into()))).collect()
        });
        let row = played.into_iter().collect::<Result<Vec<_>, String>>()?;
        broken.extend(row.iter().flat_map(|r| &r.1.broken).map(|b| format!("{name}: {b}")));
        let told = |what: &str, values: Vec<f64>, unit: &str| {
            let error = values.iter().std_dev() / (values.len() as f64).sqrt();
            figure(&format!("restart.{name}.{what}"), values.iter().mean(), unit);
            figure(&format!("restart.{name}.{what}_standard_error"), error, unit);
        };
        told("queries_to_failing_servers", row.iter().map(|r| r.0[0] as f64).collect(), "queries");
        told("queries_to_slow_servers", row.iter().map(|r| r.0[1] as f64).collect(), "queries");
        told("service", row.iter().map(|r| r.1.service).collect(), "of_1");
    }
    if broken.is_empty() {
        Ok(())
    } else {
        Err(broken.join("; "))
    }
}

/// Edits kept in a folder of this machine's disk: one a sync, and sixteen a sync; a snapshot of a fleet of 544 words
/// with a full ledger; and what reading it all back takes.
pub fn keeping(folder: &Path, own: &Path) -> Told {
    let told = |e: runloom_store::StoreError| e.to_string();
    let io = |e: std::io::Error| e.to_string();
    let noted = |k: usize| AcceptedEdit {
        id: format!("e{k}"),
        author: "staff".into(),
        digest: "d".repeat(64),
        accepted_ms: k as u64,
    };
    let word = |k: usize| {
        format!("<server xmlns=\"urn:runloom:fleet\"><name>server-{k}</name><weight>0.5</weight></server>")
    };
    let all = AcceptedState {
        entries: (0..544).map(word).collect(),
        rollback_entries: None,
        edits: (0..1024).map(noted).collect(),
    };
    let (mut store, _) =
        Store::open(Folder::open(&folder.join("keeping")).map_err(io)?, EDITS).map_err(told)?;
    let start = Instant::now();
    store.snapshot(&all.encode()).map_err(told)?;
    figure("snapshot_544_words_1024_edits", start.elapsed().as_secs_f64() * 1e3, "ms");
    figure("snapshot_544_words_1024_edits_size", all.encode().len() as f64 / 1024.0, "KiB");
    for batch in [1usize, 16] {
        let mut times =
            hdrhistogram::Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
        let (start, mut edits, mut bytes) = (Instant::now(), 0, 0);
        while start.elapsed() < Duration::from_secs(3) {
            let entry = |k: usize| {
                let place = |at: usize| {
                    if at == k % 544 {
                        EntrySource::New(word(at))
                    } else {
                        EntrySource::Existing(at as u32)
                    }
                };
                StatePatch {
                    chunks: Some(list_chunks((0..544).map(place))),
                    edits: vec![noted(k)],
                    rollback_entries: None,
                }
                .encode()
            };
            let entries: Vec<Vec<u8>> = (0..batch).map(|k| entry(edits + k)).collect();
            bytes += entries.iter().map(Vec::len).sum::<usize>();
            let one = Instant::now();
            store.append(&entries).map_err(told)?;
            times.saturating_record(one.elapsed().as_micros() as u64);
            edits += batch;
        }
        let name = format!("edits_{batch}_a_sync");
        figure(&format!("{name}_per_second"), edits as f64 / start.elapsed().as_secs_f64(), "edits/s");
        figure(&format!("{name}_p99"), times.value_at_quantile(0.99) as f64 / 1e3, "ms");
        figure(&format!("{name}_bytes"), bytes as f64 / edits as f64, "bytes");
    }
    // As many as the planner lets come before it writes a snapshot.
    store.snapshot(&all.encode()).map_err(told)?;
    let mut k = 0;
    while !store.needs_snapshot() {
        let place = |at: usize| {
            if at == k % 544 {
                EntrySource::New(word(at))
            } else {
                EntrySource::Existing(at as u32)
            }
        };
        let patch = StatePatch {
            chunks: Some(list_chunks((0..544).map(place))),
            edits: vec![noted(k)],
            rollback_entries: None,
        };
        store.append(&[patch.encode()]).map_err(told)?;
        k += 1;
    }
    let start = Instant::now();
    let (_, opened) = Store::open(Folder::open(&folder.join("keeping")).map_err(io)?, EDITS).map_err(told)?;
    let accepted = runloom_daemon::persistence::restore_accepted(&opened)
        .map_err(|e| e.to_string())?
        .ok_or("nothing was read back")?;
    figure("read_back_entries", opened.entries.len() as f64, "edits");
    figure("read_back", start.elapsed().as_secs_f64() * 1e3, "ms");
    if accepted.entries.len() != 544 {
        return Err("not all was read back".into());
    }
    over_sockets(folder, own)
}

/// Operators' edits through a planner's process, each answered once it is on disk: one client, and sixteen at once.
fn over_sockets(folder: &Path, own: &Path) -> Told {
    let world = Testbed::new(sized(2, 24, 0.0, 6), 1, &folder.join("over"), own, &[])?;
    let (at, terms) = (world.planners[0].edits, TlsPolicy::load(&world.staff).map_err(|e| e.to_string())?);
    for clients in [1usize, 16] {
        let span = Duration::from_secs(4);
        let one = |c: usize| -> Result<Vec<u64>, String> {
            let mut client = Client::open(at, &terms, Duration::from_secs(20)).map_err(|e| e.to_string())?;
            let (start, mut times) = (Instant::now(), vec![]);
            while start.elapsed() < span {
                let word = Element::new(FLEET, "server").with_leaf("name", format!("s{c}"));
                let word = word.with_leaf("weight", 0.5 + 0.001 * (times.len() % 100) as f64);
                let begin = Instant::now();
                client.edit(Element::new(FLEET, "fleet").with(word), None).map_err(|e| e.to_string())?;
                times.push(begin.elapsed().as_micros() as u64);
            }
            Ok(times)
        };
        let all: Vec<Result<Vec<u64>, String>> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..clients).map(|c| scope.spawn(move || one(c))).collect();
            threads
                .into_iter()
                .map(|t| t.join().unwrap_or_else(|_| Err("a client panicked".into())))
                .collect()
        });
        let mut times: Vec<u64> = all.into_iter().collect::<Result<Vec<_>, _>>()?.concat();
        times.sort_unstable();
        let p99 = times.get(times.len() * 99 / 100).copied().unwrap_or_default();
        figure(
            &format!("clients_{clients}.edits_per_second"),
            times.len() as f64 / span.as_secs_f64(),
            "edits/s",
        );
        figure(&format!("clients_{clients}.edit_p99"), p99 as f64 / 1e3, "ms");
    }
    let metrics = crate::world::read_metrics(world.planners[0].metrics).unwrap_or_default();
    for (name, metric) in [("turn_p99", "runloom_turn_seconds_p99"), ("turn_max", "runloom_turn_seconds_max")]
    {
        figure(&format!("edited.{name}"), metrics.get(metric).copied().unwrap_or(f64::NAN) * 1e3, "ms");
    }
    Ok(())
}

/// What identities cost: the check of a wish by a hundred rules; and 150 and 592 forwarders whose identities live fifteen
/// seconds, so that all streams are made anew at about the same time.
pub fn identity(folder: &Path, own: &Path) -> Told {
    use runloom_identity::access::{decide, Permission, Principal, RequestedAccess, Rule};
    use runloom_identity::id::Id;
    let told = |e: runloom_identity::id::NotAnId| e.to_string();
    let one = |k: usize| {
        let whom = Principal::read(&format!("spiffe://valle.example/staff/member-{k}")).map_err(told)?;
        Ok(Rule { whom, may: Permission::Read(vec!["fleet".into()]) })
    };
    let mut rules = (0..99).map(one).collect::<Result<Vec<_>, String>>()?;
    rules.push(Rule {
        whom: Principal::read("spiffe://valle.example/planner/p").map_err(told)?,
        may: Permission::Order,
    });
    let id = Id::read("spiffe://valle.example/planner/p").map_err(told)?;
    let (start, count) = (Instant::now(), 1_000_000u32);
    let allowed = (0..count)
        .filter(|_| decide(std::hint::black_box(&rules), &id, RequestedAccess::Order).is_ok())
        .count();
    figure("check_of_100_rules", start.elapsed().as_secs_f64() / f64::from(count) * 1e9, "ns");
    if allowed != count as usize {
        return Err("a rule that allows it was not found".into());
    }
    for (size, forwarders, servers, fronts) in
        [("150x107", 150, 107, Fronts::Mixed), ("592x544", 592, 544, Fronts::Mixed)]
    {
        let lives = Some(Duration::from_secs(15));
        let day = Scenario { fronts, lives, ..sized(forwarders, servers, 0.0, 22) };
        let mut world = Testbed::new(day, 1, &folder.join(format!("identity-{size}")), own, &[])?;
        world.scripted = Some(forwarders as f64 * 4.4);
        let outcome = world.play()?;
        for (wave, (first, last, count)) in world.waves.iter().filter(|(w, _)| **w > 1) {
            figure(&format!("{size}.streams_{wave}"), *count as f64, "forwarders");
            let took = last.saturating_sub(*first).as_secs_f64();
            figure(&format!("{size}.streams_{wave}_first_to_last"), took * 1e3, "ms");
        }
        crate::measure::told_path(&format!("{size}.lives_15s"), 22.0, &outcome)?;
    }
    Ok(())
}

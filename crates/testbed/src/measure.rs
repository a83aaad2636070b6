//! Measurements: one figure a line, `name value unit`. Sizes are told with the names.

use crate::fake_servers::Servers;
use crate::issuer::Issuer;
use crate::load_generator::Clients;
use crate::scenario::{Edit, Fronts, Scenario};
use crate::world::{Outcomes, Testbed};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::SeedableRng;
use runloom_daemon::config_service::{schema, ConfigService};
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_daemon::tls_credentials::{CertificateHolder, PROXY};
use runloom_event_loop::{EventLoop, IoEvent};
use runloom_inventory::edit_history::EditHistory;
use runloom_model::fleet::{Class, Repeats};
use runloom_model::forwarder::ProxySettings;
use runloom_model::FLEET;
use runloom_netconf::service::{Limits, Service};
use runloom_netconf::session::{Role, Session, SessionEvent, SessionLimits as SessionBounds};
use runloom_netconf::tree::Element;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const NAMES: [&str; 16] = [
    "edits",
    "overhead",
    "small",
    "large",
    "alone",
    "unrecorded",
    "recording",
    "guard",
    "spoilt",
    "pairs",
    "fronts",
    "slow",
    "storm",
    "restart",
    "keeping",
    "identity",
];

pub(crate) type Told = Result<(), String>;

/// Takes one measurement; `own` is the rig's program.
pub fn measure(name: &str, folder: &Path, own: &Path) -> Told {
    match name {
        "edits" => edits(),
        "overhead" => overhead(folder),
        // 45 forwarders x 32 servers at 240 queries/s, 150 x 107 at 850, and 592 x 544 at 2,600 without sockets
        // for the queries.
        "small" => path("45x32", sized(45, 32, 240.0, 20), folder, own, None),
        "large" => path("150x107", sized(150, 107, 850.0, 20), folder, own, None),
        "alone" => path("592x544", sized(592, 544, 0.0, 20), folder, own, Some(2600.0)),
        "unrecorded" => {
            let day = Scenario { recorded: false, ..sized(592, 544, 0.0, 20) };
            path("592x544.unrecorded", day, folder, own, Some(2600.0))
        }
        "fronts" => crate::fronts::fronts(),
        "slow" => crate::fronts::slow(folder, own),
        "storm" => crate::fronts::storm(folder, own),
        "restart" => crate::restart::restart(folder, own),
        "keeping" => crate::restart::keeping(folder, own),
        "identity" => crate::restart::identity(folder, own),
        "guard" => guard(),
        "recording" => recording(folder),
        "spoilt" => spoilt(folder, own),
        other => Err(format!("there is no measurement {other}: {}", NAMES.join(", "))),
    }
}

pub(crate) fn figure(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// A quiet day with an edit of a zone's share each second and a half.
pub(crate) fn sized(forwarders: usize, servers: usize, rate: f64, seconds: u64) -> Scenario {
    let ms = Duration::from_millis;
    let edit = |k: u64| Edit {
        at: ms(1500 + 1500 * k),
        id: format!("m{k}"),
        share: Some((format!("z{}", k % 3), if k % 2 == 0 { "0.6" } else { "1.2" }.into())),
        drain: None,
        dropped: false,
    };
    Scenario {
        fleet: None,
        fronts: Fronts::default(),
        lives: None,
        recorded: true,
        lasts: Duration::from_secs(seconds),
        servers,
        forwarders,
        zones: 3,
        planners: 1,
        rate,
        work: ms(50),
        cores: 2,
        warm: ms(6000),
        drain: ms(2500),
        bare: ms(3000),
        feed_late: ms(500),
        only_drains_bind: false,
        pick: "less-busy".into(),
        levels: "none".into(),
        lines_per_second: 20_000,
        troubles: vec![],
        edits: (0..seconds * 2 / 3 - 2).map(edit).collect(),
    }
}

fn path(size: &str, day: Scenario, folder: &Path, own: &Path, scripted: Option<f64>) -> Told {
    let seconds = day.lasts.as_secs_f64();
    let mut world = Testbed::new(day, 1, folder, own, &[])?;
    world.scripted = scripted;
    let outcome = world.play()?;
    told_path(size, seconds, &outcome)?;
    if scripted.is_none() {
        figure(&format!("{size}.queries"), outcome.queries as f64, "queries");
        figure(&format!("{size}.service"), outcome.service, "of_1");
    }
    Ok(())
}

pub(crate) fn told_path(size: &str, seconds: f64, outcome: &Outcomes) -> Told {
    let mut times: Vec<u64> = outcome.edits.iter().filter_map(|e| e.in_force_ms).collect();
    times.sort_unstable();
    let at = |part: f64| times.get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)));
    let told = |name: &str, value: f64, unit: &str| figure(&format!("{size}.{name}"), value, unit);
    told("edits", outcome.edits.len() as f64, "edits");
    told("edits_in_force", times.len() as f64, "edits");
    for (name, part) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        told(&format!("edit_in_force_{name}"), at(part).copied().unwrap_or(0) as f64, "ms");
    }
    let metric = |name: &str| outcome.metrics.get(name).copied().unwrap_or(f64::NAN);
    for (name, metric_name) in [
        ("order_written_p99", "runloom_order_written_seconds_p99"),
        ("order_confirmed_p50", "runloom_order_confirmed_seconds_p50"),
        ("order_confirmed_p99", "runloom_order_confirmed_seconds_p99"),
        ("turn_p99", "runloom_turn_seconds_p99"),
        ("turn_max", "runloom_turn_seconds_max"),
    ] {
        told(name, metric(metric_name) * 1e3, "ms");
    }
    told("lines_waiting_most", outcome.lines_waiting as f64, "lines");
    told("lines", outcome.lines as f64, "lines");
    told("messages", outcome.messages as f64, "messages");
    told("planner_memory", outcome.planner_memory_kb as f64 / 1024.0, "MiB");
    told("planner_core", outcome.planner_cpu.as_secs_f64() / (seconds + 5.0), "cores");
    told("joined_all", outcome.settled.as_secs_f64() * 1e3, "ms");
    if !outcome.broken.is_empty() {
        return Err(outcome.broken.join("; "));
    }
    Ok(())
}

const FLEET_HEAD: &str =
    "<class><name>q</name><payoff>1</payoff><soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900\
    </outer-limit-ms><repeats>safe</repeats></class>";
const FLEET_TAIL: &str = "<grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace>\
    <channel><lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel><cold>\
    <from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count><planners>1</planners>\
    <pick>chance</pick><levels>none</levels><probes>true</probes><report-ms>1000</report-ms>\
    <report-lines-per-second>500</report-lines-per-second></proxies><list><only-drains-bind>false</only-drains-bind>\
    </list>";

/// Edits of the feed, one server each, of a fleet of 544: framed, parsed, applied, judged and committed, on one
/// core and without disk.
fn edits() -> Told {
    let server = |k: usize| {
        format!("<server><name>s{k}</name><address>127.0.0.1:9</address><zone>a</zone><mode>ready</mode></server>")
    };
    let listed: String = (0..544).map(server).collect();
    let text = format!(
        "<data><fleet xmlns='{FLEET}'><zone><name>a</name></zone>{FLEET_HEAD}{FLEET_TAIL}</fleet><roster \
         xmlns='{FLEET}'>{listed}</roster></data>"
    );
    let data = Arc::new(Element::parse(&text).map_err(|e| e.reason)?);
    for (name, top, count) in [("feed", "roster", 10_000u32), ("operator", "fleet", 3_000)] {
        let mut desk = ConfigService::new(data.clone(), EditHistory::default()).map_err(|e| e.to_string())?;
        desk.register_client(&CertificateHolder { name: "feed".into(), ..CertificateHolder::default() });
        let mut service = Service::new(
            schema().map_err(|e| e.to_string())?,
            Limits { edits_per_second: 1e9, ..Limits::default() },
        );
        let id = service.open_session("feed", Duration::ZERO).ok_or("no session")?;
        let mut near = Session::new(Role::Client, &[], SessionBounds::default());
        let mut far = Session::new(Role::Server { id }, &[], SessionBounds::default());
        far.receive(&near.output(usize::MAX)).map_err(|e| e.to_string())?;
        near.receive(&far.output(usize::MAX)).map_err(|e| e.to_string())?;
        let mut all = Vec::new();
        for k in 0..count {
            let one = Element::new(FLEET, "server").with_leaf("name", format!("s{}", k % 544));
            let one = one.with_leaf("weight", 1.0 + f64::from(k % 7));
            let edit = runloom_daemon::client::edit_config("running", Element::new(FLEET, top).with(one));
            near.send_rpc_with_id(edit, (top == "fleet").then(|| format!("e{k}")).as_deref());
            all.push(near.output(usize::MAX));
        }
        let (start, mut done) = (Instant::now(), 0u32);
        for bytes in &all {
            for heard in far.receive(bytes).map_err(|e| e.to_string())? {
                if let SessionEvent::Rpc(rpc) = heard {
                    let answer = service.handle(Duration::ZERO, id, &rpc, &mut desk);
                    done += u32::from(answer.content.first().is_some_and(|c| c.name == "ok"));
                    far.reply(&rpc, answer.content);
                    far.output(usize::MAX);
                }
            }
        }
        if done != count {
            return Err(format!("{done} of {count} edits were accepted"));
        }
        figure(
            &format!("{name}_edits_per_second"),
            f64::from(count) / start.elapsed().as_secs_f64(),
            "edits/s",
        );
    }
    Ok(())
}

/// What a forwarder adds to a query at 850 queries/s: the same clients straight to a server that answers at
/// once, and through one forwarder with a loop of its own.
fn overhead(folder: &Path) -> Told {
    let issuer = Issuer::new(folder)?;
    let told = |e: std::io::Error| e.to_string();
    let papers = issuer.issue("f0", Some(PROXY))?;
    let mut turn = EventLoop::new().map_err(told)?;
    let mut servers = Servers::new(Duration::from_micros(1), 64, Duration::from_secs(1));
    for _ in 0..4 {
        servers.add(&mut turn, "z0", false).map_err(told)?;
    }
    let class = |name: &str| Class {
        name: name.into(),
        payoff: 1.0,
        soft_limit: Duration::from_secs(1),
        outer_limit: Duration::from_secs(2),
        repeats: Repeats::Safe,
    };
    let stand = ProxySettings {
        name: "f0".into(),
        zone: "z0".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        front: Default::default(),
        planners: vec![],
        papers,
        pick: "less-busy".into(),
        shun_after: 3,
        shun_for: Duration::from_secs(4),
        report: Duration::from_millis(500),
        classes: ["search", "shelf", "loan-checkout"].map(class).to_vec(),
        standing: servers.all.iter().map(|s| (s.name.clone(), s.address)).collect(),
    };
    let (give, take) = std::sync::mpsc::channel();
    std::thread::spawn(move || -> Told {
        let mut turn = EventLoop::new().map_err(told)?;
        let (mut forwarder, at) = ProxyRuntime::start(&mut turn, stand, 1).map_err(|e| e.to_string())?;
        let _ = give.send(at);
        forwarder.run(&mut turn).map_err(told)
    });
    let at = take.recv().map_err(|e| e.to_string())?;
    let mut medians = Vec::new();
    for (name, to) in [("straight", servers.all[0].address), ("through", at)] {
        let times = timed(&mut turn, &mut servers, vec![to], 850.0, Duration::from_secs(8))?;
        for (part, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let value = times.value_at_quantile(quantile) as f64 / 1e3;
            figure(&format!("query_{name}_{part}"), value, "ms");
            medians.push(value);
        }
    }
    figure("forwarder_added_p50", medians[2] - medians[0], "ms");
    figure("forwarder_added_p99", medians[3] - medians[1], "ms");
    Ok(())
}

fn timed(
    turn: &mut EventLoop,
    servers: &mut Servers,
    to: Vec<SocketAddr>,
    rate: f64,
    span: Duration,
) -> Result<Histogram<u64>, String> {
    let mut chance = StdRng::seed_from_u64(1);
    let mut clients = Clients::new(to, rate);
    let begin = turn.now();
    clients.begin(begin);
    while turn.now() < begin + span + Duration::from_secs(1) {
        clients.asking = turn.now() < begin + span;
        let wakes = [servers.wakes_at(), clients.wakes_at(), Some(turn.now() + Duration::from_millis(100))];
        for h in turn.wait(wakes.into_iter().flatten().min()).map_err(|e| e.to_string())? {
            match h {
                IoEvent::Open { conn, listener: Some(l), .. } if servers.owns(l) => {
                    servers.opened(turn, conn, l)
                }
                IoEvent::Bytes { conn, bytes } if servers.owns(conn) => {
                    servers.bytes(turn, conn, &bytes, &mut chance)
                }
                IoEvent::Closed { conn, .. } if servers.owns(conn) => servers.closed(conn),
                IoEvent::Bytes { conn, bytes } => clients.bytes(turn, conn, &bytes),
                IoEvent::Closed { conn, .. } => clients.closed(turn, conn),
                _ => {}
            }
        }
        servers.turned(turn, &mut chance);
        clients.turned(turn, &mut chance);
    }
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
    clients.tally.took.iter().for_each(|us| times.saturating_record(u64::from(*us)));
    Ok(times)
}

/// Cost of the guard: a batch that changes a line of each group's table, with a tenth of the servers cold.
fn guard() -> Told {
    use runloom_controller::{Command, ListedState};
    use runloom_guard::{GuardConfig, SafetyGuard};
    for (proxies, servers) in [(45usize, 32usize), (150, 107), (592, 544), (2368, 2176)] {
        let terms = GuardConfig {
            class_count: 3,
            planner_count: 1.0,
            initial_capacity: 0.2,
            warm_up: Duration::from_secs(15),
            overload_multiple: 4.0,
            only_draining_binds: false,
        };
        let groups = servers.div_ceil(10);
        let now = Duration::from_secs(100);
        let mut guard = SafetyGuard::new(terms);
        for s in 0..servers {
            guard.update_endpoint(s, ListedState::Ready, 1.0, (s % 10 == 9).then_some(now));
        }
        let line = |s: usize, w: f64| Command::SetEntry { table: (s % groups) as u16, server: s, weight: w };
        (0..proxies).for_each(|p| guard.connect_proxy(p, 4.0));
        let mut first: Vec<Command> =
            (0..servers).map(|s| line(s, if s % 10 == 9 { 0.1 } else { 1.0 })).collect();
        first.extend((0..proxies).map(|p| Command::AssignTable {
            proxy: p,
            table: (p % groups) as u16,
            class_mask: 0,
        }));
        let passed = guard.validate(now, first).accepted.len();
        if passed != servers + proxies {
            return Err(format!("{passed} of {} first orders passed", servers + proxies));
        }
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
        for round in 0..2000u64 {
            let batch = (0..groups).map(|g| line(g, 1.0 + 0.001 * (round % 100) as f64)).collect();
            let start = Instant::now();
            guard.validate(now, batch);
            times.saturating_record(start.elapsed().as_micros() as u64);
            // Proxies confirm, but for one in fifty, who is some batches late.
            for p in 0..proxies {
                guard.record_sent(p, round + 1);
                if p % 50 != 7 || round % 20 == 0 {
                    guard.acknowledge(p, round + 1);
                }
            }
        }
        for (name, part) in [("p50", 0.5), ("p99", 0.99)] {
            let value = times.value_at_quantile(part) as f64 / 1e3;
            figure(&format!("guard_batch_{proxies}x{servers}_{name}"), value, "ms");
        }
    }
    Ok(())
}

/// What recording takes of a core at 592 x 544 and 2,600 queries/s: the same reports to the same driver, without a
/// record, with one, and what the thread that writes it takes.
fn recording(folder: &Path) -> Told {
    use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
    let text = format!("<fleet xmlns='{FLEET}'><zone><name>z</name></zone>{FLEET_HEAD}{FLEET_TAIL}</fleet>");
    let fleet = runloom_replay::fleet(&text).map_err(|e| e.to_string())?;
    let (seconds, proxies, servers) = (60u64, 592u64, 544u64);
    let report = |p: u64, k: u64| {
        let took = Duration::from_millis(40);
        let met = (0..2).map(|n| {
            let of = ClassOutcomes {
                class: "q".into(),
                attempts: 1,
                within_objective: 1,
                latencies: [(16, 1)].into(),
            };
            let server = format!("s{}", (p * 7 + k * 2 + n) % servers);
            ServerOutcomes {
                server,
                attempts: 1,
                failures: 0,
                mean_latency: took,
                within_objective: 1,
                load: vec![1.0],
                classes: vec![of],
            }
        });
        let came = vec![ClassArrivals { class: "q".into(), requests: 2, unanswered: 0 }];
        Report { window: Duration::from_millis(500), outcomes: met.collect(), arrivals: came }
    };
    let mut parts = [Duration::ZERO; 3];
    for (place, recorded) in [(0, false), (1, true)] {
        let mut driver = runloom_control_session::ControlSession::new(fleet.clone(), 1, 1_000_000);
        driver.recorded_events = recorded.then(Vec::new);
        (0..proxies).for_each(|p| _ = driver.connect_proxy(&format!("f{p}"), "z", 4.0, true));
        let terms = runloom_event_log::RecorderConfig::default();
        let mut recorder = runloom_event_log::Recorder::open(folder, terms).map_err(|e| e.to_string())?;
        for k in 0..seconds * 2 {
            let now = Duration::from_millis(500 * k);
            let reports: Vec<Report> = (0..proxies).map(|p| report(p, k)).collect();
            let start = Instant::now();
            reports.iter().enumerate().for_each(|(p, r)| driver.handle_report(now, p, r));
            driver.step(now);
            let noted = driver.recorded_events.as_mut().map(std::mem::take).unwrap_or_default();
            parts[place] += start.elapsed();
            let start = Instant::now();
            noted.into_iter().for_each(|(at, what)| recorder.push(at, what));
            recorder.write(now);
            parts[2] += start.elapsed();
        }
    }
    let core = |d: Duration| d.as_secs_f64() / seconds as f64 * 1e3;
    figure("592x544.driver", core(parts[0]), "ms_a_second");
    figure("592x544.driver_recorded", core(parts[1]), "ms_a_second");
    figure("592x544.writing", core(parts[2]), "ms_a_second");
    Ok(())
}

/// Each way of breaking the decisions, with the guard and without it, on a day with a crash, a cold return and a
/// drain: rules broken, and service.
fn spoilt(folder: &Path, own: &Path) -> Told {
    type Row = Result<[(Vec<String>, f64); 2], String>;
    let row = |way: &str| -> Row {
        let day = |guarded: bool| spoilt_day(&folder.join(format!("{way}-{guarded}")), own, way, guarded);
        Ok([day(true)?, day(false)?])
    };
    let mut worst = Vec::new();
    // Four days at a time: each takes a small part of a core.
    for ways in crate::command_corruption::NAMES.chunks(4) {
        let rows: Vec<Row> = std::thread::scope(|scope| {
            let days: Vec<_> = ways.iter().map(|way| scope.spawn(|| row(way))).collect();
            days.into_iter().map(|d| d.join().unwrap_or_else(|_| Err("a day panicked".into()))).collect()
        });
        for (way, row) in ways.iter().zip(rows) {
            for (name, (broken, service)) in ["guarded", "unguarded"].into_iter().zip(row?) {
                figure(&format!("{way}.{name}.rules_broken"), broken.len() as f64, "rules");
                figure(&format!("{way}.{name}.service"), service, "of_1");
                eprintln!("{way} {name}: {broken:?}");
                worst.extend(broken.into_iter().filter(|_| name == "guarded").map(|b| format!("{way}: {b}")));
            }
        }
    }
    if worst.is_empty() {
        Ok(())
    } else {
        Err(worst.join("; "))
    }
}

/// Plays a short day with spoilt orders: the rules that broke, and service.
pub fn spoilt_day(folder: &Path, own: &Path, way: &str, guarded: bool) -> Result<(Vec<String>, f64), String> {
    let mut day = sized(8, 9, 160.0, 14);
    day.work = Duration::from_millis(40);
    // Cold for all of the day but the beginning, so that what pushes cold servers over can.
    day.warm = Duration::from_secs(10);
    let trouble = |at: u64, kind: &str, count: usize, lasts: u64| crate::scenario::ScheduledFault {
        at: Duration::from_secs(at),
        kind: kind.into(),
        count,
        lasts: Duration::from_secs(lasts),
        size: 1.0,
        servers: vec![],
    };
    day.edits.clear();
    day.troubles = vec![trouble(1, "crash", 2, 3), trouble(6, "replace", 2, 6)];
    let spoil = format!("--spoil={way}");
    let mut trial = vec![spoil.as_str()];
    if !guarded {
        trial.push("--unguarded");
    }
    let outcome = Testbed::new(day, 3, folder, own, &trial)?.play()?;
    let mut rules: Vec<String> = outcome.broken;
    // A rule counts once, however many forwarders it broke at.
    rules.sort();
    rules.dedup_by_key(|b| b.split(':').next().unwrap_or_default().to_string());
    Ok((rules, outcome.service))
}

/// Writes a record until it is killed, or for a minute: entries count up from the start's own.
pub fn writes(folder: &Path) -> Told {
    use runloom_event_log::{RecordedEvent, Recorder, RecorderConfig};
    let terms = RecorderConfig {
        max_segment_bytes: 20_000,
        sync_interval: Duration::from_millis(5),
        ..RecorderConfig::default()
    };
    let mut recorder = Recorder::open(folder, terms).map_err(|e| e.to_string())?;
    let (build, planner, fleet) = (String::new(), String::new(), String::new());
    recorder
        .push(Duration::ZERO, RecordedEvent::PlannerStarted { build, planner, seed: 0, epoch_ms: 0, fleet });
    let start = Instant::now();
    let mut k = 0;
    while start.elapsed() < Duration::from_secs(60) {
        for _ in 0..7 {
            k += 1;
            recorder.push(
                Duration::from_micros(k),
                RecordedEvent::ProxyDisconnected { proxy: "f".repeat(k as usize % 90) },
            );
        }
        recorder.write(start.elapsed());
    }
    Ok(())
}

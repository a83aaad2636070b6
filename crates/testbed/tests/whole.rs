//! The whole path with failures: planners as processes, everything else on loopback.

mod help;

use help::{program, Folder, PlannerWithOperator};
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_event_log::Entry;
use runloom_model::{FLEET, STATE};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::benchmarks::play_corrupted_scenario;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::scenario::{DeliveryMode, FaultKind, Scenario, ScheduledEdit, ScheduledFault};
use runloom_testbed::testbed::{ScenarioOutcome, Testbed};
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Creates a word on a server: a second time it would be refused.
fn create(name: &str) -> Element {
    let server = Element::new(FLEET, "server").with_attribute(BASE, "operation", "create");
    Element::new(FLEET, "fleet").with(server.with_leaf("name", name).with_leaf("drain", true))
}

fn operation(name: &str, inner: &[&str]) -> Element {
    inner.iter().fold(Element::new(BASE, name), |o, i| o.with(Element::new(BASE, i)))
}

fn words(client: &mut Client) -> usize {
    let source = Element::new(BASE, "source").with(Element::new(BASE, "running"));
    let reply = client.ask(Element::new(BASE, "get-config").with(source), None).unwrap();
    reply.child("data").unwrap().child("fleet").unwrap().named("server").count()
}

fn ids(client: &mut Client) -> Vec<String> {
    let reply = client.get(Element::new(STATE, "state").with(Element::new(STATE, "edit"))).unwrap();
    let state = reply.child("data").and_then(|d| d.child("state")).cloned().unwrap_or_default();
    state.named("edit").filter_map(|e| e.text_of("id").map(str::to_string)).collect()
}

/// The planner is killed before the edit is kept, after that and before its reply, and after its reply. The
/// client asks again under the same id and learns that it took; it took once.
#[test]
fn an_edit_repeated_after_a_kill_at_any_point_takes_effect_once() {
    for point in ["before-kept", "kept", "replied"] {
        let mut planner = PlannerWithOperator::with_crash_point(point, Some(point));
        let mut client = planner.client();
        let first = client.ask(edit_config("running", create("s1")), Some("once"));
        if point != "replied" {
            assert!(first.is_err(), "{point}");
        }
        planner.process.wait();
        planner.restart();
        let mut client = planner.client();
        let kept = ids(&mut client).len();
        assert_eq!(kept, usize::from(point != "before-kept"), "{point}");
        client.ask(edit_config("running", create("s1")), Some("once")).unwrap();
        assert_eq!((words(&mut client), ids(&mut client)), (1, vec!["once".to_string()]), "{point}");
        let other = client.ask(edit_config("running", create("s2")), Some("once")).unwrap_err();
        assert!(other.to_string().contains("edit-id-reused"), "{other}");
    }
}

#[test]
fn a_session_that_drops_without_its_reply_asks_again() {
    let planner = PlannerWithOperator::new("dropped");
    let mut client = planner.client();
    client.send(edit_config("running", create("s1")), Some("d1"));
    drop(client);
    let mut client = planner.client();
    client.ask(edit_config("running", create("s1")), Some("d1")).unwrap();
    assert_eq!((words(&mut client), ids(&mut client).len()), (1, 1));
}

/// Over a restart too, as RFC 6241 has it.
#[test]
fn a_confirmed_commit_whose_client_or_planner_disappears_is_taken_back() {
    let mut planner = PlannerWithOperator::new("confirmed");
    let mut client = planner.client();
    client.ask(edit_config("candidate", create("s1")), None).unwrap();
    client.ask(operation("commit", &["confirmed"]), None).unwrap();
    assert_eq!(words(&mut client), 1);
    drop(client);
    let mut client = planner.client();
    let end = Instant::now() + Duration::from_secs(20);
    while words(&mut client) > 0 && Instant::now() < end {}
    assert_eq!(words(&mut client), 0);
    client.ask(edit_config("candidate", create("s1")), None).unwrap();
    client.ask(operation("commit", &["confirmed"]).with(Element::leaf(BASE, "persist", "x")), None).unwrap();
    assert_eq!(words(&mut client), 1);
    planner.restart();
    assert_eq!(words(&mut planner.client()), 0);
}

#[test]
fn locks_keep_overlapping_edits_apart_and_go_with_their_session() {
    let planner = PlannerWithOperator::new("locks");
    let (mut a, mut b) = (planner.client(), planner.client());
    let lock = || Element::new(BASE, "lock").with(operation("target", &["running"]));
    a.ask(lock(), None).unwrap();
    assert!(b.ask(lock(), None).unwrap_err().to_string().contains("lock-denied"));
    assert!(b.edit(create("s1"), None).unwrap_err().to_string().contains("in-use"));
    a.edit(create("s2"), None).unwrap();
    drop(a);
    let end = Instant::now() + Duration::from_secs(20);
    while b.edit(create("s1"), None).is_err() && Instant::now() < end {}
    assert_eq!(words(&mut b), 2);
}

/// Garbage, half a message and silence, a message without an end: others are answered all the while.
#[test]
fn peers_that_send_garbage_or_half_a_message_leave_others_alone() {
    let planner = PlannerWithOperator::new("garbage");
    let mut plain = TcpStream::connect(planner.addresses.edits).unwrap();
    plain.write_all(&[0x55; 4096]).unwrap();
    let mut subscriber = TcpStream::connect(planner.addresses.pubsub).unwrap();
    subscriber.write_all(&[0x10; 4096]).unwrap();
    let mut stalled = TcpStream::connect(planner.addresses.edits).unwrap();
    stalled.write_all(&[0x16, 0x03, 0x01]).unwrap();
    let mut half = planner.client();
    half.send_raw(b"\n#400000\n<rpc message-id='1'");
    let mut endless = planner.client();
    for _ in 0..40 {
        endless.send_raw(&[b"\n#65536\n".as_slice(), &[b'x'; 65536]].concat());
    }
    let mut client = planner.client();
    client.edit(create("s1"), Some("fine")).unwrap();
    assert_eq!(words(&mut client), 1);
    assert!(
        endless.ask(operation("get", &[]), None).is_err(),
        "a message larger than any may be ends its session"
    );
}

#[test]
fn a_proxys_certificate_may_not_edit_and_strangers_may_not_even_connect() {
    let planner = PlannerWithOperator::new("papers");
    let proxy = TlsPolicy::load(&planner.issuer.issue("f1", Some("proxy.runloom")).unwrap()).unwrap();
    let mut client = Client::open(planner.addresses.edits, &proxy, Duration::from_secs(20)).unwrap();
    assert!(client.edit(create("s1"), None).unwrap_err().to_string().contains("access-denied"));
    let others = Issuer::new(&planner.folder.0.join("others")).unwrap();
    let stranger = TlsPolicy::load(&others.issue("staff", None).unwrap()).unwrap();
    assert!(Client::open(planner.addresses.edits, &stranger, Duration::from_secs(20)).is_err());
    assert_eq!(words(&mut planner.client()), 0);
}

#[test]
fn an_edit_that_cannot_be_kept_is_not_accepted_and_reads_go_on() {
    let planner = PlannerWithOperator::new("disk");
    let mut client = planner.client();
    client.edit(create("s1"), None).unwrap();
    // The folder is replaced by a file: nothing can be written there.
    let state = planner.folder.0.join("state");
    std::fs::remove_dir_all(&state).unwrap();
    std::fs::write(&state, b"in the way").unwrap();
    assert!(client.edit(create("s2"), Some("lost")).is_err());
    let mut client = planner.client();
    assert_eq!(words(&mut client), 1);
    assert!(client.edit(create("s2"), Some("lost")).unwrap_err().to_string().contains("not-durable"));
    std::fs::remove_file(&state).unwrap();
    std::fs::create_dir_all(&state).unwrap();
    let end = Instant::now() + Duration::from_secs(20);
    while client.edit(create("s2"), Some("lost")).is_err() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(words(&mut client), 2);
}

fn scenario(servers: usize, proxies: usize) -> Scenario {
    let milliseconds = Duration::from_millis;
    Scenario {
        fleet_xml: None,
        delivery: DeliveryMode::default(),
        identity_lifetime: None,
        is_recorded: true,
        duration: milliseconds(8000),
        server_count: servers,
        proxy_count: proxies,
        zone_count: 2,
        planner_count: 1,
        request_rate: 60.0,
        service_time: milliseconds(20),
        cores: 2,
        warm_up: milliseconds(3000),
        drain_grace_period: milliseconds(4000),
        empty_table_grace_period: milliseconds(4000),
        feed_delay: milliseconds(200),
        only_drains_bind: false,
        selection: "less-busy".into(),
        admission: "none".into(),
        entries_per_second: 20_000,
        faults: vec![],
        edits: vec![],
    }
}

/// An operator's drain of a server.
fn drain_edit(at: u64, id: &str, server: &str) -> ScheduledEdit {
    ScheduledEdit {
        at: Duration::from_secs(at),
        id: id.into(),
        zone_share: None,
        drain: Some((server.to_string(), true)),
        drops_connection: false,
    }
}

/// As [`drain_edit`], with a session that is dropped before the first reply.
fn dropped_drain_edit(at: u64, id: &str, server: &str) -> ScheduledEdit {
    ScheduledEdit { drops_connection: true, ..drain_edit(at, id, server) }
}

/// Plays the same scenario with each delivery, at the same time.
fn play_with_each_delivery(name: &str, scenario: Scenario) -> Vec<ScenarioOutcome> {
    std::thread::scope(|scope| {
        let play_with = |delivery: DeliveryMode| {
            let name = format!("{name}-{delivery:?}");
            let scenario = Scenario { delivery, ..scenario.clone() };
            scope.spawn(move || play(&name, scenario))
        };
        let threads = [DeliveryMode::Netconf, DeliveryMode::Pubsub, DeliveryMode::Mixed].map(play_with);
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    })
}

/// Plays a scenario in which no rule may be broken.
fn play(name: &str, scenario: Scenario) -> ScenarioOutcome {
    let folder = Folder::new(name);
    let mut testbed = Testbed::new(scenario, 5, &folder.0, &program(), &[]).unwrap();
    let outcome = testbed.play().unwrap();
    assert_eq!((outcome.violations.as_slice(), outcome.duplicated_effects), (&[][..], 0), "{outcome:?}");
    outcome
}

/// Two proxies do not read their streams while forty others must receive a drain in time.
#[test]
fn a_drain_reaches_forty_proxies_in_time_beside_proxies_that_do_not_read() {
    // Given
    let mut scenario = scenario(12, 42);
    scenario.faults = vec![ScheduledFault::new(1, FaultKind::StalledReader, 2, 6)];
    scenario.edits = vec![dropped_drain_edit(2, "d", "s1")];

    // When
    let outcomes = play_with_each_delivery("deaf", scenario);

    // Then
    for outcome in outcomes {
        assert!(outcome.edits[0].is_in_force, "{outcome:?}");
    }
}

/// The planner is killed between edits, while servers crash and streams break.
#[test]
fn edits_during_failures_keep_the_rules() {
    // Given
    let mut scenario = scenario(8, 12);
    scenario.faults = vec![
        ScheduledFault::new(1, FaultKind::Crash, 2, 3),
        ScheduledFault::new(2, FaultKind::PlannerKill, 1, 1),
        ScheduledFault::new(5, FaultKind::StreamBreak, 12, 0),
    ];
    scenario.edits = vec![drain_edit(1, "d1", "s1"), dropped_drain_edit(3, "d2", "s2")];
    scenario.edits[0].zone_share = Some(("z1".into(), "0.5".into()));

    // When
    let outcomes = play_with_each_delivery("failure", scenario);

    // Then
    for outcome in outcomes {
        assert!(outcome.edits.iter().all(|edit| edit.is_in_force && edit.rejection.is_none()), "{outcome:?}");
        assert!(outcome.requests > 200 && outcome.succeeded > outcome.requests / 2, "{outcome:?}");
    }
}

/// The feed drains the only server: the drain holds, and proxies reject requests at once.
#[test]
fn requests_are_rejected_at_once_when_the_only_server_drains() {
    // Given
    let mut scenario = scenario(1, 2);
    scenario.faults = vec![ScheduledFault::new(2, FaultKind::Drain, 1, 3)];

    // When
    let outcome = play("last", scenario);

    // Then
    assert!(outcome.counts.no_endpoint > 10, "{outcome:?}");
}

/// Each of two planners, one of which is killed and started again, writes an event log that replays to the same commands,
/// also in another process, and from which the scenario can be inferred.
#[test]
fn event_logs_replay_to_the_same_commands_over_a_kill_and_show_the_faults() {
    // Given
    let mut scenario = scenario(8, 6);
    scenario.planner_count = 2;
    scenario.faults = vec![
        ScheduledFault::new(1, FaultKind::Crash, 2, 3),
        ScheduledFault::new(4, FaultKind::PlannerKill, 1, 1),
        ScheduledFault::new(6, FaultKind::StreamBreak, 6, 0),
    ];
    scenario.edits = vec![drain_edit(2, "d1", "s1")];
    let folder = Folder::new("record");

    // When
    let outcome = Testbed::new(scenario, 9, &folder.0, &program(), &[]).unwrap().play().unwrap();

    // Then
    assert_eq!(outcome.violations, Vec::<String>::new());
    let mut starts = 0;
    for planner in 0..2 {
        let log = folder.0.join(format!("record-{planner}"));
        let days = runloom_event_log::folder::days(&log).unwrap();
        for (number, entries) in days.iter().enumerate() {
            assert_replays_to_the_same_commands(&log, entries, days.len() - 1 - number);
        }
        starts += days.len();
        assert_scenario_is_inferred(&folder, &days);
    }
    assert_eq!(starts, 3);
}

/// `back` is how many starts before the last one the entries are of.
fn assert_replays_to_the_same_commands(log: &Path, entries: &[Entry], back: usize) {
    let replay = runloom_replay::exact::replay(entries, runloom_daemon::planner_runtime::BUILD).unwrap();
    assert_eq!(replay.first, None, "{} {back}", log.display());
    assert!(replay.turns > 10 && replay.messages >= 3, "{replay:?}");
    let other_process =
        std::process::Command::new(program()).arg("again").arg(log).arg(back.to_string()).output().unwrap();
    assert_eq!(String::from_utf8(other_process.stdout).unwrap().trim(), replay.digest);
}

fn assert_scenario_is_inferred(folder: &Folder, days: &[Vec<Entry>]) {
    let inferred = runloom_replay::infer::infer(days).unwrap();
    let fault = |kind| inferred.troubles.iter().find(|fault| fault.kind == kind);
    assert_eq!(fault("crash").map(|crash| crash.servers.len()), Some(2), "{inferred:?}");
    assert_eq!(fault("planner-kill").is_some(), days.len() == 2, "{inferred:?}");
    assert_eq!((inferred.servers, inferred.edits.len()), (8, 1), "{inferred:?}");
    // The testbed can play it.
    let file = folder.0.join("day.xml");
    std::fs::write(&file, inferred.xml()).unwrap();
    let read = runloom_testbed::scenario::read(&file.display().to_string()).unwrap();
    assert_eq!((read.server_count, read.faults.len()), (8, inferred.troubles.len()));
}

/// Ten thousand unsafe commands pass through a running planner, and none reaches a proxy, by what the sockets showed.
#[test]
fn ten_thousand_unsafe_commands_reach_no_proxy() {
    // Given
    let mut scenario = scenario(6, 4);
    scenario.duration = Duration::from_secs(12);
    scenario.faults = vec![ScheduledFault::new(1, FaultKind::Crash, 1, 2)];
    let folder = Folder::new("flood");

    // When
    let mut testbed = Testbed::new(scenario, 5, &folder.0, &program(), &["--spoil=flood"]).unwrap();
    let outcome = testbed.play().unwrap();

    // Then
    let is_rejection = |name: &str| name.starts_with("runloom_refused");
    let rejected: f64 =
        outcome.metrics.iter().filter(|(name, _)| is_rejection(name)).map(|(_, value)| value).sum();
    assert_eq!(
        (outcome.violations.as_slice(), outcome.duplicated_effects, outcome.counts.no_endpoint),
        (&[][..], 0, 0),
        "{outcome:?}"
    );
    assert!(rejected >= 10_000.0, "{rejected} {:?}", outcome.metrics);
    assert!(outcome.succeeded * 10 > outcome.requests * 9, "{outcome:?}");
}

/// The safety guard keeps the rules where commands are corrupted; without it they are broken.
#[test]
fn corrupted_commands_break_rules_only_without_the_safety_guard() {
    let cases = [("drop-all", true), ("drop-all", false), ("halves", true), ("halves", false)];
    std::thread::scope(|scope| {
        for (corruption, is_guarded) in cases {
            scope.spawn(move || {
                let folder = Folder::new(&format!("{corruption}-{is_guarded}"));
                let run = play_corrupted_scenario(&folder.0, &program(), corruption, is_guarded).unwrap();
                assert_eq!(run.violations.is_empty(), is_guarded, "{corruption} {is_guarded}: {run:?}");
            });
        }
    });
}

#[test]
fn an_operators_drain_of_the_last_open_server_is_refused_with_its_path() {
    let planner = PlannerWithOperator::new("pool");
    let mut client = planner.client();
    let listed = |name: &str| {
        let text = format!(
            "<roster xmlns='urn:runloom:fleet'><server><name>{name}</name><address>127.0.0.1:9</address><zone>a</zone>\
             <mode>ready</mode></server></roster>"
        );
        Element::parse(&text).unwrap()
    };
    let drain = |name: &str| {
        let server = Element::new(FLEET, "server").with_leaf("name", name).with_leaf("drain", true);
        Element::new(FLEET, "fleet").with(server)
    };
    client.edit(listed("s1"), None).unwrap();
    let refused = client.edit(drain("s1"), Some("last")).unwrap_err().to_string();
    assert!(refused.contains("empties-pool") && refused.contains("/fleet/server[name='s1']"), "{refused}");
    client.edit(listed("s2"), None).unwrap();
    client.edit(drain("s1"), Some("last")).unwrap();
    assert!(client.edit(drain("s2"), None).is_err());
    // A bound is raised for a while only, and shown.
    let raise = |until: u64| {
        let guard = Element::new(FLEET, "guard").with_leaf("cold-multiple", 20).with_leaf("until", until);
        Element::new(FLEET, "fleet").with(guard)
    };
    let now = runloom_daemon::wall_ms();
    assert!(client.edit(raise(now + 7_200_000), None).unwrap_err().to_string().contains("guard-until"));
    client.edit(raise(now + 600_000), Some("raised")).unwrap();
    let state = client.get(Element::new(STATE, "state").with(Element::new(STATE, "guard"))).unwrap();
    assert!(state.to_text().contains("<raised-until>"), "{}", state.to_text());
}

/// Killed two hundred times at whatever point: all that was written reads back, each start's entries counting up
/// without a gap, and nothing is there twice.
#[test]
fn a_record_whose_writer_is_killed_two_hundred_times_reads_back_whole() {
    let folder = Folder::new("kills");
    let record = folder.0.join("record");
    let newest = || runloom_event_log::folder::segments(&record).ok()?.last().map(|s| s.number);
    for k in 0..200u64 {
        let before = newest().unwrap_or(0);
        let mut child =
            std::process::Command::new(program()).arg("writes").arg("--folder").arg(&record).spawn().unwrap();
        // Killed by what it wrote, on all parts of its way: start, first segment, closing segments; a busy
        // machine's writers would be killed by the clock before they wrote anything.
        while newest().unwrap_or(0) < before + k % 6 {
            assert_eq!(child.try_wait().unwrap(), None, "it writes until it is killed");
            std::thread::sleep(Duration::from_micros(200));
        }
        std::thread::sleep(Duration::from_micros((k * 7919) % 3_000));
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let (mut starts, mut next, mut all) = (0, 0, 0u64);
    for segment in runloom_event_log::folder::segments(&record).unwrap() {
        let (entries, _) = runloom_event_log::folder::read(&segment).unwrap();
        for entry in entries {
            all += 1;
            if matches!(entry.what, runloom_event_log::RecordedEvent::Start { .. }) {
                (starts, next) = (starts + 1, 1);
            } else {
                assert_eq!(entry.at, next, "{segment:?}");
                next += 1;
            }
        }
    }
    assert!(starts > 50 && all > 10_000, "{starts} starts, {all} entries");
}

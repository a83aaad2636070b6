//! End-to-end scenarios with failures. Planners are processes of their own, and all connections are on loopback.

mod help;

use help::{program, Folder};
use runloom_event_log::Entry;
use runloom_testbed::benchmarks::play_corrupted_scenario;
use runloom_testbed::scenario::{DeliveryMode, FaultKind, Scenario, ScheduledEdit, ScheduledFault};
use runloom_testbed::testbed::{ScenarioOutcome, Testbed};
use std::path::Path;
use std::time::Duration;

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
        only_draining_binds: false,
        selection: "less-busy".into(),
        admission: "none".into(),
        entries_per_second: 20_000,
        faults: vec![],
        edits: vec![],
    }
}

/// An operator's edit that drains a server; `at` is in seconds.
fn drain_edit(at: u64, id: &str, server: &str) -> ScheduledEdit {
    ScheduledEdit {
        at: Duration::from_secs(at),
        id: id.into(),
        zone_share: None,
        drain: Some((server.to_string(), true)),
        drops_connection: false,
    }
}

/// As [`drain_edit`], with a session that the operator closes before the first reply.
fn dropped_drain_edit(at: u64, id: &str, server: &str) -> ScheduledEdit {
    ScheduledEdit { drops_connection: true, ..drain_edit(at, id, server) }
}

/// Plays the same scenario with each kind of delivery, in parallel.
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

/// Plays a scenario, and checks that no rule was broken and that no request took effect twice that must not.
fn play(name: &str, scenario: Scenario) -> ScenarioOutcome {
    let folder = Folder::new(name);
    let mut testbed = Testbed::new(scenario, 5, &folder.0, &program(), &[]).unwrap();
    let outcome = testbed.run().unwrap();
    assert_eq!((outcome.violations.as_slice(), outcome.duplicated_effects), (&[][..], 0), "{outcome:?}");
    outcome
}

/// Two proxies that do not read their streams must not delay a drain at the forty others.
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

/// The feed drains the only server. The drain stays in force, and proxies reject requests immediately.
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

/// Two planners, of which one is killed and restarted, each write an event log. Each start in a log replays to the same
/// commands, also in another process, and the scenario can be inferred from each log.
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
    let outcome = Testbed::new(scenario, 9, &folder.0, &program(), &[]).unwrap().run().unwrap();

    // Then
    assert_eq!(outcome.violations, Vec::<String>::new());
    let mut starts = 0;
    for planner in 0..2 {
        let log = folder.0.join(format!("record-{planner}"));
        let runs = runloom_event_log::read_runs(&log).unwrap();
        for (number, entries) in runs.iter().enumerate() {
            assert_replays_to_the_same_commands(&log, entries, runs.len() - 1 - number);
        }
        starts += runs.len();
        assert_scenario_is_inferred(&folder, &runs);
    }
    assert_eq!(starts, 3);
}

/// `starts_back` is 0 for entries of the log's last start, 1 for those of the one before, and so on.
fn assert_replays_to_the_same_commands(log: &Path, entries: &[Entry], starts_back: usize) {
    let replay = runloom_replay::exact::replay(entries, runloom_daemon::planner_runtime::BUILD).unwrap();
    assert_eq!(replay.first_difference, None, "{} {starts_back}", log.display());
    assert!(replay.steps > 10 && replay.messages >= 3, "{replay:?}");
    let other_process = std::process::Command::new(program())
        .arg("again")
        .arg(log)
        .arg(starts_back.to_string())
        .output()
        .unwrap();
    assert_eq!(String::from_utf8(other_process.stdout).unwrap().trim(), replay.digest);
}

fn assert_scenario_is_inferred(folder: &Folder, runs: &[Vec<Entry>]) {
    let inferred = runloom_replay::scenario_inference::infer(runs).unwrap();
    let fault = |kind| inferred.faults.iter().find(|fault| fault.kind == kind);
    assert_eq!(fault("crash").map(|crash| crash.servers.len()), Some(2), "{inferred:?}");
    assert_eq!(fault("planner-kill").is_some(), runs.len() == 2, "{inferred:?}");
    assert_eq!((inferred.server_count, inferred.edits.len()), (8, 1), "{inferred:?}");
    // The testbed can read the inferred scenario.
    let file = folder.0.join("day.xml");
    std::fs::write(&file, inferred.to_xml()).unwrap();
    let read = runloom_testbed::scenario::read(&file.display().to_string()).unwrap();
    assert_eq!((read.server_count, read.faults.len()), (8, inferred.faults.len()));
}

/// A running planner's guard rejects ten thousand unsafe commands; by what the sockets show, none reaches a proxy.
#[test]
fn ten_thousand_unsafe_commands_reach_no_proxy() {
    // Given
    let mut scenario = scenario(6, 4);
    scenario.duration = Duration::from_secs(12);
    scenario.faults = vec![ScheduledFault::new(1, FaultKind::Crash, 1, 2)];
    let folder = Folder::new("flood");

    // When
    let mut testbed = Testbed::new(scenario, 5, &folder.0, &program(), &["--spoil=flood"]).unwrap();
    let outcome = testbed.run().unwrap();

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

/// With the safety guard no rule is broken although commands are corrupted; without it rules are broken.
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

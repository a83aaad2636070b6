//! The whole path, with the failures it is for: planners as processes, everything else on loopback.

mod help;

use help::{own, Desk, Folder};
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::{FLEET, STATE};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::scenario::{Edit, Fronts, Scenario, ScheduledFault};
use runloom_testbed::world::{Outcomes, Testbed};
use std::io::Write;
use std::net::TcpStream;
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
        let mut desk = Desk::new(point, Some(point));
        let mut client = desk.client();
        let first = client.ask(edit_config("running", create("s1")), Some("once"));
        if point != "replied" {
            assert!(first.is_err(), "{point}");
        }
        let _ = desk.child.wait();
        desk.restart();
        let mut client = desk.client();
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
    let desk = Desk::new("dropped", None);
    let mut client = desk.client();
    client.send(edit_config("running", create("s1")), Some("d1"));
    drop(client);
    let mut client = desk.client();
    client.ask(edit_config("running", create("s1")), Some("d1")).unwrap();
    assert_eq!((words(&mut client), ids(&mut client).len()), (1, 1));
}

/// Over a restart too, as RFC 6241 has it.
#[test]
fn a_confirmed_commit_whose_client_or_planner_disappears_is_taken_back() {
    let mut desk = Desk::new("confirmed", None);
    let mut client = desk.client();
    client.ask(edit_config("candidate", create("s1")), None).unwrap();
    client.ask(operation("commit", &["confirmed"]), None).unwrap();
    assert_eq!(words(&mut client), 1);
    drop(client);
    let mut client = desk.client();
    let end = Instant::now() + Duration::from_secs(20);
    while words(&mut client) > 0 && Instant::now() < end {}
    assert_eq!(words(&mut client), 0);
    client.ask(edit_config("candidate", create("s1")), None).unwrap();
    client.ask(operation("commit", &["confirmed"]).with(Element::leaf(BASE, "persist", "x")), None).unwrap();
    assert_eq!(words(&mut client), 1);
    desk.restart();
    assert_eq!(words(&mut desk.client()), 0);
}

#[test]
fn locks_keep_overlapping_edits_apart_and_go_with_their_session() {
    let desk = Desk::new("locks", None);
    let (mut a, mut b) = (desk.client(), desk.client());
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
    let desk = Desk::new("garbage", None);
    let mut plain = TcpStream::connect(desk.at).unwrap();
    plain.write_all(&[0x55; 4096]).unwrap();
    let mut subscriber = TcpStream::connect(desk.pubsub).unwrap();
    subscriber.write_all(&[0x10; 4096]).unwrap();
    let mut stalled = TcpStream::connect(desk.at).unwrap();
    stalled.write_all(&[0x16, 0x03, 0x01]).unwrap();
    let mut half = desk.client();
    half.send_raw(b"\n#400000\n<rpc message-id='1'");
    let mut endless = desk.client();
    for _ in 0..40 {
        endless.send_raw(&[b"\n#65536\n".as_slice(), &[b'x'; 65536]].concat());
    }
    let mut client = desk.client();
    client.edit(create("s1"), Some("fine")).unwrap();
    assert_eq!(words(&mut client), 1);
    assert!(
        endless.ask(operation("get", &[]), None).is_err(),
        "a message larger than any may be ends its session"
    );
}

#[test]
fn a_proxys_certificate_may_not_edit_and_strangers_may_not_even_connect() {
    let desk = Desk::new("papers", None);
    let proxy = TlsPolicy::load(&desk.issuer.issue("f1", Some("proxy.runloom")).unwrap()).unwrap();
    let mut client = Client::open(desk.at, &proxy, Duration::from_secs(20)).unwrap();
    assert!(client.edit(create("s1"), None).unwrap_err().to_string().contains("access-denied"));
    let others = Issuer::new(&desk.folder.0.join("others")).unwrap();
    let stranger = TlsPolicy::load(&others.issue("staff", None).unwrap()).unwrap();
    assert!(Client::open(desk.at, &stranger, Duration::from_secs(20)).is_err());
    assert_eq!(words(&mut desk.client()), 0);
}

#[test]
fn an_edit_that_cannot_be_kept_is_not_accepted_and_reads_go_on() {
    let desk = Desk::new("disk", None);
    let mut client = desk.client();
    client.edit(create("s1"), None).unwrap();
    // The folder is replaced by a file: nothing can be written there.
    let state = desk.folder.0.join("state");
    std::fs::remove_dir_all(&state).unwrap();
    std::fs::write(&state, b"in the way").unwrap();
    assert!(client.edit(create("s2"), Some("lost")).is_err());
    let mut client = desk.client();
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

fn day(servers: usize, forwarders: usize) -> Scenario {
    let ms = Duration::from_millis;
    Scenario {
        fleet: None,
        fronts: Fronts::default(),
        lives: None,
        recorded: true,
        lasts: ms(8000),
        servers,
        forwarders,
        zones: 2,
        planners: 1,
        rate: 60.0,
        work: ms(20),
        cores: 2,
        warm: ms(3000),
        drain: ms(4000),
        bare: ms(4000),
        feed_late: ms(200),
        only_drains_bind: false,
        pick: "less-busy".into(),
        levels: "none".into(),
        lines_per_second: 20_000,
        troubles: vec![],
        edits: vec![],
    }
}

fn trouble(at: u64, kind: &str, count: usize, lasts: u64) -> ScheduledFault {
    let seconds = Duration::from_secs;
    ScheduledFault {
        at: seconds(at),
        kind: kind.into(),
        count,
        lasts: seconds(lasts),
        size: 1.0,
        servers: vec![],
    }
}

fn drain(at: u64, id: &str, server: &str, dropped: bool) -> Edit {
    let drain = Some((server.to_string(), true));
    Edit { at: Duration::from_secs(at), id: id.into(), share: None, drain, dropped }
}

/// The same day by edits, by subscriptions and by both, at the same time.
fn on_each_front(name: &str, day: Scenario) -> Vec<Outcomes> {
    std::thread::scope(|scope| {
        let one = |fronts: Fronts| {
            let (name, day) = (format!("{name}-{fronts:?}"), Scenario { fronts, ..day.clone() });
            scope.spawn(move || play(&name, day))
        };
        let days = [Fronts::Netconf, Fronts::Pubsub, Fronts::Mixed].map(one);
        days.into_iter().map(|day| day.join().unwrap()).collect()
    })
}

fn play(name: &str, day: Scenario) -> Outcomes {
    let folder = Folder::new(name);
    let outcome = Testbed::new(day, 5, &folder.0, &own(), &[]).unwrap().play().unwrap();
    assert_eq!((outcome.broken.as_slice(), outcome.doubled), (&[][..], 0), "{outcome:?}");
    outcome
}

/// Forwarders that read nothing any more, while forty others must get a drain in time.
#[test]
fn a_drain_reaches_forty_forwarders_in_time_beside_deaf_ones() {
    let mut day = day(12, 42);
    day.troubles = vec![trouble(1, "deaf", 2, 6)];
    day.edits = vec![drain(2, "d", "s1", true)];
    for outcome in on_each_front("deaf", day) {
        assert!(outcome.edits[0].in_force, "{outcome:?}");
    }
}

/// Killed between edits, with streams that break and servers that die: rules kept, nothing doubled.
#[test]
fn edits_under_failure_keep_the_rules() {
    let mut day = day(8, 12);
    day.troubles =
        vec![trouble(1, "crash", 2, 3), trouble(2, "planner-kill", 1, 1), trouble(5, "stream-break", 12, 0)];
    day.edits = vec![drain(1, "d1", "s1", false), drain(3, "d2", "s2", true)];
    day.edits[0].share = Some(("z1".into(), "0.5".into()));
    for outcome in on_each_front("failure", day) {
        assert!(outcome.edits.iter().all(|e| e.in_force && e.refused.is_none()), "{outcome:?}");
        assert!(outcome.queries > 200 && outcome.handled > outcome.queries / 2, "{outcome:?}");
    }
}

/// The only server drains by the feed's word: the drain is kept, queries are refused at once, and nothing is
/// pretended.
#[test]
fn where_the_only_server_drains_queries_are_refused_at_once() {
    let mut day = day(1, 2);
    day.troubles = vec![trouble(2, "drain", 1, 3)];
    let outcome = play("last", day);
    assert!(outcome.counts.no_endpoint > 10, "{outcome:?}");
}

/// What planners recorded apart, one of them over a kill and a restart, replays to the same orders, also in another
/// process; and the record tells what the day was.
#[test]
fn a_recorded_day_replays_to_the_same_orders_over_a_kill_and_tells_its_troubles() {
    let mut day = day(8, 6);
    day.planners = 2;
    day.troubles =
        vec![trouble(1, "crash", 2, 3), trouble(4, "planner-kill", 1, 1), trouble(6, "stream-break", 6, 0)];
    day.edits = vec![drain(2, "d1", "s1", false)];
    let folder = Folder::new("record");
    let outcome = Testbed::new(day, 9, &folder.0, &own(), &[]).unwrap().play().unwrap();
    assert_eq!(outcome.broken, Vec::<String>::new());
    let mut starts = 0;
    for planner in 0..2 {
        let record = folder.0.join(format!("record-{planner}"));
        let days = runloom_event_log::read_runs(&record).unwrap();
        for (k, entries) in days.iter().enumerate() {
            let same =
                runloom_replay::exact::replay(entries, runloom_daemon::planner_runtime::BUILD).unwrap();
            assert_eq!(same.first, None, "{planner} {k}");
            assert!(same.turns > 10 && same.messages >= 3, "{same:?}");
            let back = (days.len() - 1 - k).to_string();
            let again =
                std::process::Command::new(own()).arg("again").arg(&record).arg(back).output().unwrap();
            assert_eq!(String::from_utf8(again.stdout).unwrap().trim(), same.digest);
        }
        starts += days.len();
        let told = runloom_replay::infer::infer(&days).unwrap();
        let of = |kind| told.troubles.iter().find(|t| t.kind == kind);
        assert_eq!(of("crash").map(|t| t.servers.len()), Some(2), "{told:?}");
        assert_eq!(of("planner-kill").is_some(), days.len() == 2, "{told:?}");
        assert_eq!((told.servers, told.edits.len()), (8, 1), "{told:?}");
        // The rig takes it.
        std::fs::write(folder.0.join("day.xml"), told.xml()).unwrap();
        let read = runloom_testbed::scenario::read(&folder.0.join("day.xml").display().to_string()).unwrap();
        assert_eq!((read.servers, read.troubles.len()), (8, told.troubles.len()));
    }
    assert_eq!(starts, 3);
}

/// Ten thousand unsafe orders through a running planner: none reaches a forwarder, by what the sockets showed.
#[test]
fn ten_thousand_unsafe_orders_reach_no_forwarder() {
    let mut day = day(6, 4);
    day.lasts = Duration::from_secs(12);
    day.troubles = vec![trouble(1, "crash", 1, 2)];
    let folder = Folder::new("flood");
    let outcome = Testbed::new(day, 5, &folder.0, &own(), &["--spoil=flood"]).unwrap().play().unwrap();
    let refused: f64 =
        outcome.metrics.iter().filter(|(k, _)| k.starts_with("runloom_refused")).map(|(_, v)| v).sum();
    assert_eq!(
        (outcome.broken.as_slice(), outcome.doubled, outcome.counts.no_endpoint),
        (&[][..], 0, 0),
        "{outcome:?}"
    );
    assert!(refused >= 10_000.0, "{refused} {:?}", outcome.metrics);
    assert!(outcome.handled * 10 > outcome.queries * 9, "{outcome:?}");
}

/// The guard keeps the rules where the decisions are broken; without it they break.
#[test]
fn broken_decisions_break_no_rule_under_the_guard_and_do_without_it() {
    std::thread::scope(|scope| {
        for (way, guarded) in [("drop-all", true), ("drop-all", false), ("halves", true), ("halves", false)] {
            scope.spawn(move || {
                let folder = Folder::new(&format!("{way}-{guarded}"));
                let (broken, service) =
                    runloom_testbed::measure::spoilt_day(&folder.0, &own(), way, guarded).unwrap();
                assert_eq!(broken.is_empty(), guarded, "{way} {guarded} {service}: {broken:?}");
            });
        }
    });
}

#[test]
fn an_operators_drain_of_the_last_open_server_is_refused_with_its_path() {
    let desk = Desk::new("pool", None);
    let mut client = desk.client();
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
    let newest = || runloom_event_log::list_segments(&record).ok()?.last().map(|s| s.number);
    for k in 0..200u64 {
        let before = newest().unwrap_or(0);
        let mut child =
            std::process::Command::new(own()).arg("writes").arg("--folder").arg(&record).spawn().unwrap();
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
    for segment in runloom_event_log::list_segments(&record).unwrap() {
        let entries = runloom_event_log::read_segment(&segment).unwrap().entries;
        for entry in entries {
            all += 1;
            if matches!(entry.event, runloom_event_log::RecordedEvent::PlannerStarted { .. }) {
                (starts, next) = (starts + 1, 1);
            } else {
                assert_eq!(entry.at_us, next, "{segment:?}");
                next += 1;
            }
        }
    }
    assert!(starts > 50 && all > 10_000, "{starts} starts, {all} entries");
}

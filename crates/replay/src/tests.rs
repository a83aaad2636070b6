use crate::estimate::Estimate;
use crate::exact::replay;
use crate::other::{compare, Setting};
use runloom_control_session::{Action, ControlSession};
use runloom_controller::EndpointUpdate;
use runloom_event_log::{Entry, RecordedEvent};
use runloom_inventory::{Change, Server};
use runloom_model::order::{ClassArrivals, Report, ServerOutcomes};
use std::collections::BTreeMap;
use std::time::Duration;

const FLEET: &str = "<fleet xmlns='urn:runloom:fleet'><zone><name>a</name></zone><zone><name>b</name></zone><class>\
    <name>q</name><payoff>1</payoff><soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms>\
    <repeats>safe</repeats></class><grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms>\
    </grace><channel><lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel>\
    <cold><from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>4</count><planners>1</planners>\
    <pick>chance</pick><levels>none</levels><probes>true</probes><report-ms>1000</report-ms>\
    <report-lines-per-second>500</report-lines-per-second></proxies><list><only-drains-bind>false</only-drains-bind>\
    </list></fleet>";

const SERVERS: usize = 6;

fn server(k: usize, draining: bool) -> Change {
    Change::Is(Server {
        address: ([127, 0, 0, 1], 9000 + k as u16).into(),
        zone: if k % 2 == 0 { "a" } else { "b" }.into(),
        kind: "std".into(),
        cell: 0,
        draining,
        weight: 1.0,
        started: None,
    })
}

/// A day of a minute: four proxies, six servers of which one is late from the tenth second on and one drains at the
/// thirtieth; written down as the planner does.
fn a_day() -> Vec<Entry> {
    let mut driver = ControlSession::new(crate::fleet(FLEET).unwrap(), 7, 1_000_000);
    let start = RecordedEvent::Start {
        build: "test".into(),
        planner: "p".into(),
        seed: 7,
        epoch: 1_000_000,
        fleet: FLEET.into(),
    };
    driver.recorded_events = Some(vec![(Duration::ZERO, start)]);
    driver.update_endpoints(
        EndpointUpdate::Cached,
        (0..SERVERS).map(|k| (format!("s{k}"), server(k, false))).collect(),
    );
    let proxies: Vec<usize> = (0..4)
        .map(|p| driver.connect_proxy(&format!("f{p}"), if p % 2 == 0 { "a" } else { "b" }, 10.0, true))
        .collect();
    let mut day = Vec::new();
    for step in 0..600u64 {
        let now = Duration::from_millis(100 * step);
        if step == 300 {
            driver.update_endpoints(EndpointUpdate::Delta, vec![("s5".into(), server(5, true))]);
        }
        if step % 10 == 5 {
            for p in &proxies {
                // Late with all it does, but no failure: it stays in the tables.
                let late = |k: usize| k == 1 && step > 100;
                let met = (0..if step < 300 { SERVERS } else { SERVERS - 1 }).map(|k| ServerOutcomes {
                    server: format!("s{k}"),
                    tries: 4,
                    failed: 0,
                    took: Duration::from_millis(if late(k) { 90 } else { 40 }),
                    in_time: if late(k) { 0 } else { 4 },
                    load: vec![],
                    classes: vec![],
                });
                let came = vec![ClassArrivals { class: "q".into(), queries: 24, unanswered: 0 }];
                let report = Report { span: Duration::from_secs(1), met: met.collect(), came };
                driver.handle_report(now, *p, &report);
            }
        }
        let (deeds, _) = driver.step(now);
        for deed in deeds {
            if let Action::Send { proxy, number, .. } = deed {
                driver.acknowledge(now + Duration::from_millis(20), proxy, number);
            }
        }
        let noted = std::mem::take(driver.recorded_events.as_mut().unwrap());
        day.extend(noted.into_iter().map(|(at, what)| Entry { at: at.as_micros() as u64, what }));
    }
    day
}

#[test]
fn the_same_setting_gives_the_same_orders_byte_for_byte_each_time() {
    let day = a_day();
    let first = replay(&day, "test").unwrap();
    assert_eq!(first.first, None);
    assert!(first.turns > 200 && first.messages >= 8, "{first:?}");
    assert_eq!(replay(&day, "test").unwrap(), first);
}

#[test]
fn a_difference_is_told_with_its_place_and_a_reason() {
    let mut day = a_day();
    let place = day
        .iter()
        .position(
            |e| matches!(&e.what, RecordedEvent::Turn { sent, .. } if e.at > 20_000_000 && !sent.is_empty()),
        )
        .unwrap();
    if let RecordedEvent::Turn { texts, .. } = &mut day[place].what {
        texts[0].push(' ');
    }
    let found = replay(&day, "another").unwrap().first.unwrap();
    assert_eq!(found.at, day[place].at as f64 / 1e6);
    assert!(found.what.contains("another text") && found.why.contains("recorded by test"), "{found:?}");
    let mut gap = a_day();
    gap.insert(place, Entry { at: gap[place].at, what: RecordedEvent::Lost { entries: 3 } });
    assert!(replay(&gap, "test").unwrap().first.unwrap().why.contains("gap"));
    assert!(replay(&day[1..], "test").is_err());
}

#[test]
fn two_settings_that_are_one_come_to_the_same_and_two_that_are_not_do_not() {
    let day = a_day();
    let same = compare(&day, &Setting::default()).unwrap();
    assert_eq!(same.was, same.would);
    let (value, low, high) = same.service.would.unwrap();
    assert!((value - same.service.was).abs() < 1e-9 && low <= value && value <= high, "{same:?}");
    assert!(same.service.support > 0.999);
    assert_eq!(compare(&day, &Setting::default()).unwrap(), same, "twice the same");
    let shared = FLEET.replace("<name>b</name>", "<name>b</name><share>0.5</share>");
    let other = Setting {
        fleet: Some(crate::fleet(&shared.replace("9000</backlog>", "8000</backlog>")).unwrap()),
        ..Setting::default()
    };
    let compared = compare(&day, &other).unwrap();
    assert_eq!(compared.was, same.was);
    assert!(compared.was.rules_broken.is_empty(), "{compared:?}");
    // Zone b at half of its weight: its late server s1 gets less, and service would have been higher.
    assert!(compared.service.would.unwrap().0 > same.service.was + 0.02, "{compared:?}");
    let page = crate::page::page("a day & another", &compared).unwrap();
    assert!(
        page.matches("<svg").count() == 4 && page.contains("a day &amp; another") && page.contains("kept")
    );
}

/// No level: all that come are let in.
const FLOW: crate::estimate::Flow = crate::estimate::Flow { came: 100.0, was: 100.0, would: 100.0 };

/// By tables that stay off the failing server service would have been higher, by just that.
#[test]
fn the_estimate_follows_the_shares_and_says_nothing_without_support() {
    let share = |of: &[(&str, f64)]| -> BTreeMap<String, f64> {
        of.iter().map(|(n, p)| (n.to_string(), *p)).collect()
    };
    let met: BTreeMap<String, (u64, u64)> = [("a".to_string(), (50, 50)), ("b".to_string(), (50, 10))].into();
    let old = share(&[("a", 0.5), ("b", 0.5)]);
    let estimate = |new: &BTreeMap<String, f64>| {
        let mut e = Estimate::new(vec![("q".into(), 1.0)]);
        (0..60).for_each(|k| e.met(Duration::from_secs(k), "f", 0, &met, (&old, new), FLOW));
        e.service(1)
    };
    let (value, low, high) = estimate(&share(&[("a", 0.7), ("b", 0.3)])).would.unwrap();
    assert!((value - (0.7 + 0.3 * 0.2)).abs() < 1e-9 && low <= value && value <= high);
    assert!((estimate(&old).was - 0.6).abs() < 1e-9);
    // A server that was never met: unknown, and no number.
    let unknown = estimate(&share(&[("c", 0.5), ("a", 0.5)]));
    assert!(unknown.would.is_none() && unknown.support < 0.6, "{unknown:?}");
    // All of it to one server: more than it had by far, so the estimate does not carry.
    let heaped = estimate(&share(&[("a", 1.0)]));
    assert_eq!((heaped.carries, heaped.would), (0.0, None));
}

#[test]
fn a_list_that_ran_late_breaks_rule_three_by_the_tables_alone() {
    // The drain is in the record at 30 s; the messages that answer it are taken out on their way.
    let mut day = a_day();
    let fleet = crate::fleet(FLEET).unwrap();
    let mut force = crate::force::Force::new(fleet, 1_000_000);
    day.retain(|e| !(matches!(e.what, RecordedEvent::Turn { .. }) && e.at >= 30_000_000));
    for e in &day {
        force.happened(e);
        match &e.what {
            RecordedEvent::Turn { texts, sent, .. } => {
                for s in sent {
                    force.sent(
                        Duration::from_micros(e.at),
                        &s.proxy,
                        s.number,
                        &texts[s.text as usize],
                        s.lines,
                    );
                }
            }
            RecordedEvent::Applied { proxy, number } => force.applied(proxy, *number),
            _ => {}
        }
        force.look(Duration::from_micros(e.at));
    }
    assert!(
        force.broken().iter().any(|b| b.starts_with("rule 3") && b.contains("s5")),
        "{:?}",
        force.broken()
    );
}

#[test]
fn a_cold_server_that_tables_heap_queries_on_breaks_rule_four() {
    let fleet = crate::fleet(FLEET).unwrap();
    let listed = |name: &str, started| runloom_event_log::entry::RecordedServer {
        name: name.into(),
        address: "127.0.0.1:9".into(),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        draining: false,
        weight: 1.0,
        started,
    };
    let outcome = |cold: f64| {
        let mut force = crate::force::Force::new(fleet.clone(), 1_000_000);
        let what = [
            RecordedEvent::Joined { proxy: "f".into(), zone: "a".into(), rate: 30.0, fresh: true },
            RecordedEvent::Listed {
                whole: true,
                servers: vec![listed("w", None), listed("c", Some(1_000_000))],
                gone: vec![],
            },
            RecordedEvent::Report {
                proxy: "f".into(),
                span: 1_000_000,
                met: vec![runloom_event_log::entry::RecordedOutcome {
                    server: "w".into(),
                    tries: 10,
                    failed: 0,
                    took: 9,
                    in_time: 9,
                    load: vec![],
                }],
                came: vec![runloom_event_log::entry::RecordedArrivals {
                    class: "q".into(),
                    queries: 30,
                    unanswered: 0,
                }],
            },
        ];
        what.into_iter().for_each(|what| force.happened(&Entry { at: 0, what }));
        let lines =
            [("w".to_string(), ("127.0.0.1:9".to_string(), 1.0)), ("c".into(), ("127.0.0.1:9".into(), cold))];
        let table = runloom_model::order::TableEdit { lines: lines.into(), ..Default::default() };
        let binds = [("q".to_string(), 1)].into();
        let message =
            runloom_model::order::Message { tables: [(1, table)].into(), binds, ..Default::default() };
        force.sent(Duration::ZERO, "f", 1, &message.to_text(), 3);
        force.applied("f", 1);
        (0..8).for_each(|k| force.look(Duration::from_millis(1000 + 500 * k)));
        force.broken()
    };
    // Ten a second is what a warm one takes: at its start a cold one bears eight, a few seconds later thirteen.
    assert_eq!(outcome(0.3), Vec::<String>::new());
    assert_eq!(outcome(9.0), ["rule 4: c would be pushed over"]);
}

fn share(of: &[(&str, f64)]) -> BTreeMap<String, f64> {
    of.iter().map(|(n, p)| (n.to_string(), *p)).collect()
}

/// A server that is late with one class only: weighted by class, the other class is left as it was.
#[test]
fn classes_are_estimated_apart_and_weigh_by_their_payoffs() {
    let met = |b: u64| -> BTreeMap<String, (u64, u64)> {
        [("a".to_string(), (50, 50)), ("b".into(), (50, b))].into()
    };
    let (old, new) = (share(&[("a", 0.5), ("b", 0.5)]), share(&[("a", 0.6), ("b", 0.4)]));
    let mut e = Estimate::new(vec![("q".into(), 1.0), ("r".into(), 3.0)]);
    for k in 0..60 {
        e.met(Duration::from_secs(k), "f", 0, &met(0), (&old, &new), FLOW);
        e.met(Duration::from_secs(k), "f", 1, &met(50), (&old, &new), FLOW);
    }
    let service = e.service(1);
    assert!((service.was - (0.5 + 3.0) / 4.0).abs() < 1e-9);
    assert!((service.would.unwrap().0 - (0.6 + 3.0) / 4.0).abs() < 1e-9, "{service:?}");
    let would = |k: usize| service.classes[k].would.unwrap();
    assert!((would(0) - 0.6).abs() < 1e-9 && (would(1) - 1.0).abs() < 1e-9);
}

/// Six servers take forty a second and are in time with half; the others ten, all in time. More for the others is
/// known to make them late, though they never were; and past all that any server had, it is not known.
#[test]
fn what_a_load_does_is_taken_from_servers_that_had_it() {
    let name = |k: usize| format!("s{k:02}");
    let of = |heavy: f64, light: f64| -> BTreeMap<String, f64> {
        (0..12).map(|k| (name(k), if k < 6 { heavy } else { light })).collect()
    };
    let would = |new: &BTreeMap<String, f64>| {
        let mut e = Estimate::new(vec![("q".into(), 1.0)]);
        let met = (0..12).map(|k| (name(k), if k < 6 { (40, 20) } else { (10, 10) })).collect();
        let old = of(40.0 / 300.0, 10.0 / 300.0);
        (0..60).for_each(|k| e.met(Duration::from_secs(k), "f", 0, &met, (&old, new), FLOW));
        e.service(1)
    };
    let turned = would(&of(10.0 / 300.0, 40.0 / 300.0));
    let (value, ..) = turned.would.unwrap();
    assert!((value - 0.6).abs() < 0.02 && turned.carries >= 60.0, "{turned:?}");
    let heaped = would(&of(0.0, 50.0 / 300.0));
    assert_eq!((heaped.would, heaped.carries), (None, 0.0));
}

#[test]
fn a_record_tells_its_troubles_and_a_clock_that_was_set_back_does_not_turn_them_round() {
    let (first, mut second) = (a_day(), a_day());
    if let RecordedEvent::Start { epoch, .. } = &mut second[0].what {
        *epoch -= 500_000;
    }
    let told = crate::infer::infer(&[first, second]).unwrap();
    let of = |kind| told.troubles.iter().filter(|t| t.kind == kind).collect::<Vec<_>>();
    let slow = of("slow")[0];
    assert!(
        slow.servers.contains("s1") && (slow.at - 10.0).abs() < 2.0 && (slow.size - 2.25).abs() < 0.1,
        "{told:?}"
    );
    let drain = of("drain")[0];
    assert!(drain.servers.contains("s5") && (drain.at - 30.0).abs() < 1.0, "{told:?}");
    assert!((of("planner-kill")[0].at - 59.5).abs() < 1.0, "{told:?}");
    assert_eq!((told.servers, told.forwarders, told.zones), (6, 4, 2));
    assert!((told.rate - 96.0).abs() < 1.0 && told.xml().contains("<server>s5</server>"), "{told:?}");
}

/// Edits come three a second for an hour's worth: the record replays the same.
#[test]
fn ten_thousand_edits_replay_the_same() {
    let mut driver = ControlSession::new(crate::fleet(FLEET).unwrap(), 7, 1_000_000);
    let (build, planner) = ("test".to_string(), "p".to_string());
    let start = RecordedEvent::Start { build, planner, seed: 7, epoch: 1_000_000, fleet: FLEET.into() };
    driver.recorded_events = Some(vec![(Duration::ZERO, start)]);
    driver.update_endpoints(
        EndpointUpdate::Cached,
        (0..SERVERS).map(|k| (format!("s{k}"), server(k, false))).collect(),
    );
    driver.connect_proxy("f0", "a", 10.0, true);
    let mut day = Vec::new();
    for k in 0..10_000u64 {
        let now = Duration::from_millis(360 * (k + 1));
        let Change::Is(is) = server(k as usize % 5, false) else { unreachable!() };
        let weight = 1.0 + (k % 4) as f64;
        let change = Change::Is(Server { weight, ..is });
        driver.update_endpoints(EndpointUpdate::Delta, vec![(format!("s{}", k % 5), change)]);
        for deed in driver.step(now).0 {
            if let Action::Send { proxy, number, .. } = deed {
                driver.acknowledge(now + Duration::from_millis(5), proxy, number);
            }
        }
        let noted = std::mem::take(driver.recorded_events.as_mut().unwrap());
        day.extend(noted.into_iter().map(|(at, what)| Entry { at: at.as_micros() as u64, what }));
    }
    let same = replay(&day, "test").unwrap();
    assert_eq!(same.first, None);
    assert!(same.messages > 1000, "{same:?}");
}

/// A level that would have kept half of the queries out: they count as not answered, and the rest meet less load.
#[test]
fn what_a_level_refuses_is_not_service() {
    let met: BTreeMap<String, (u64, u64)> = [("a".to_string(), (50, 50)), ("b".to_string(), (50, 30))].into();
    let old = share(&[("a", 0.5), ("b", 0.5)]);
    let with = |would: f64| {
        let mut e = Estimate::new(vec![("q".into(), 1.0)]);
        let flow = crate::estimate::Flow { came: 100.0, was: 100.0, would };
        (0..60).for_each(|k| e.met(Duration::from_secs(k), "f", 0, &met, (&old, &old), flow));
        e.service(1)
    };
    assert!((with(50.0).would.unwrap().0 - 0.4).abs() < 1e-9);
    assert!((with(50.0).was - 0.8).abs() < 1e-9);
    // One that lets in twice as much brings servers more than they ever had: unknown.
    assert_eq!(with(200.0).would, None);
}

/// A server hangs and is taken out of the tables; its tries end at their outer limit, when no table names it any more.
/// Left out, the day would look better under its own setting than it was.
#[test]
fn tries_that_end_after_their_server_left_the_tables_count() {
    let mut e = Estimate::new(vec![("q".into(), 1.0)]);
    let both = share(&[("a", 0.5), ("b", 0.5)]);
    let one = share(&[("a", 1.0)]);
    let well: BTreeMap<String, (u64, u64)> = [("a".to_string(), (50, 50))].into();
    let late: BTreeMap<String, (u64, u64)> = [("a".to_string(), (50, 50)), ("b".into(), (50, 0))].into();
    for k in 0..60 {
        let (met, shares) = match k % 6 {
            0..3 => (&well, &both),
            3..5 => (&late, &one),
            _ => (&well, &one),
        };
        e.met(Duration::from_secs(k), "f", 0, met, (shares, shares), FLOW);
    }
    let service = e.service(1);
    assert!((service.was - 0.75).abs() < 0.01, "{service:?}");
    assert!((service.would.unwrap().0 - service.was).abs() < 1e-9, "{service:?}");
}

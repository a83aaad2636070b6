use crate::estimate::Estimate;
use crate::exact::replay;
use crate::other::{compare, Setting};
use runloom::interface::Listing;
use runloom_driver::{Deed, Driver};
use runloom_model::order::{Came, Met, Report};
use runloom_record::{Entry, Happened};
use runloom_roster::{Change, Server};
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
    let mut driver = Driver::new(crate::fleet(FLEET).unwrap(), 7, 1_000_000);
    let start = Happened::Start {
        build: "test".into(),
        planner: "p".into(),
        seed: 7,
        epoch: 1_000_000,
        fleet: FLEET.into(),
    };
    driver.witness = Some(vec![(Duration::ZERO, start)]);
    driver.list(Listing::Remembered, (0..SERVERS).map(|k| (format!("s{k}"), server(k, false))).collect());
    let proxies: Vec<usize> = (0..4)
        .map(|p| driver.joined(&format!("f{p}"), if p % 2 == 0 { "a" } else { "b" }, 10.0, true))
        .collect();
    let mut day = Vec::new();
    for step in 0..600u64 {
        let now = Duration::from_millis(100 * step);
        if step == 300 {
            driver.list(Listing::Changes, vec![("s5".into(), server(5, true))]);
        }
        if step % 10 == 5 {
            for p in &proxies {
                // Late with all it does, but no failure: it stays in the tables.
                let late = |k: usize| k == 1 && step > 100;
                let met = (0..if step < 300 { SERVERS } else { SERVERS - 1 }).map(|k| Met {
                    server: format!("s{k}"),
                    tries: 4,
                    failed: 0,
                    took: Duration::from_millis(if late(k) { 90 } else { 40 }),
                    in_time: if late(k) { 0 } else { 4 },
                    load: vec![],
                });
                let came = vec![Came { class: "q".into(), queries: 24, unanswered: 0 }];
                let report = Report { span: Duration::from_secs(1), met: met.collect(), came };
                driver.report(now, *p, &report);
            }
        }
        let (deeds, _) = driver.turn(now);
        for deed in deeds {
            if let Deed::Send { proxy, number, .. } = deed {
                driver.applied(now + Duration::from_millis(20), proxy, number);
            }
        }
        let noted = std::mem::take(driver.witness.as_mut().unwrap());
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
        .position(|e| matches!(&e.what, Happened::Turn { sent, .. } if e.at > 20_000_000 && !sent.is_empty()))
        .unwrap();
    if let Happened::Turn { texts, .. } = &mut day[place].what {
        texts[0].push(' ');
    }
    let found = replay(&day, "another").unwrap().first.unwrap();
    assert_eq!(found.at, day[place].at as f64 / 1e6);
    assert!(found.what.contains("another text") && found.why.contains("recorded by test"), "{found:?}");
    let mut gap = a_day();
    gap.insert(place, Entry { at: gap[place].at, what: Happened::Lost { entries: 3 } });
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
        page.matches("<svg").count() == 2 && page.contains("a day &amp; another") && page.contains("kept")
    );
}

/// By tables that stay off the failing server service would have been higher, by just that.
#[test]
fn the_estimate_follows_the_shares_and_says_nothing_without_support() {
    let share = |of: &[(&str, f64)]| -> BTreeMap<String, f64> {
        of.iter().map(|(n, p)| (n.to_string(), *p)).collect()
    };
    let met: BTreeMap<String, (u64, u64)> = [("a".to_string(), (50, 50)), ("b".to_string(), (50, 10))].into();
    let old = share(&[("a", 0.5), ("b", 0.5)]);
    let estimate = |new: &BTreeMap<String, f64>| {
        let mut e = Estimate::default();
        (0..60).for_each(|k| e.met(Duration::from_secs(k), &met, &old, new));
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
    day.retain(|e| !(matches!(e.what, Happened::Turn { .. }) && e.at >= 30_000_000));
    for e in &day {
        force.happened(e);
        match &e.what {
            Happened::Turn { texts, sent, .. } => {
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
            Happened::Applied { proxy, number } => force.applied(proxy, *number),
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
    let listed = |name: &str, started| runloom_record::entry::Server {
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
            Happened::Joined { proxy: "f".into(), zone: "a".into(), rate: 30.0, fresh: true },
            Happened::Listed {
                whole: true,
                servers: vec![listed("w", None), listed("c", Some(1_000_000))],
                gone: vec![],
            },
            Happened::Report {
                proxy: "f".into(),
                span: 1_000_000,
                met: vec![runloom_record::entry::Met {
                    server: "w".into(),
                    tries: 10,
                    failed: 0,
                    took: 9,
                    in_time: 9,
                    load: vec![],
                }],
                came: vec![runloom_record::entry::Came { class: "q".into(), queries: 30, unanswered: 0 }],
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

use super::*;
use runloom_inventory::Server as Listed;
use runloom_model::order::{ClassArrivals, ServerOutcomes};
use runloom_netconf::tree::Element;

const FLEET: &str = "<fleet xmlns='urn:runloom:fleet'><zone><name>a</name></zone><class><name>q</name>\
    <payoff>1</payoff><soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats>\
    </class><grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace><channel>\
    <lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel><cold>\
    <from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count><planners>1</planners>\
    <pick>chance</pick><levels>none</levels><probes>true</probes><report-ms>1000</report-ms>\
    <report-lines-per-second>2</report-lines-per-second></proxies><list><only-drains-bind>false</only-drains-bind>\
    </list></fleet>";

fn server(port: u16, draining: bool) -> Change {
    Change::Is(Listed {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        draining,
        weight: 1.0,
        started: None,
    })
}

fn driver() -> ControlSession {
    let fleet = Fleet::read(&Element::parse(FLEET).unwrap()).unwrap();
    let mut driver = ControlSession::new(fleet, 1, 0);
    let list = (1..4).map(|k| (format!("s{k}"), server(k, false))).collect();
    driver.list(EndpointUpdate::Cached, list);
    driver
}

fn bodies(deeds: &[Action]) -> Vec<String> {
    let text = |d: &Action| if let Action::Send { message, .. } = d { Some(message.to_text()) } else { None };
    deeds.iter().filter_map(text).collect()
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_proxy_that_joins_gets_its_tables_whole_in_one_message() {
    let mut driver = driver();
    driver.joined("f1", "a", 5.0, false);
    let (deeds, _) = driver.turn(ms(0));
    let sent = bodies(&deeds);
    assert_eq!(sent.len(), 1);
    assert!(
        sent[0].contains("operation=\"replace\"") && sent[0].contains("<bind><class>q</class>"),
        "{}",
        sent[0]
    );
    assert!((1..4).all(|k| sent[0].contains(&format!("127.0.0.1:{k}<"))));
}

#[test]
fn a_drain_goes_to_all_at_once_in_one_shared_text() {
    let mut driver = driver();
    let proxies = ["f1", "f2"].map(|name| driver.joined(name, "a", 5.0, true));
    driver.turn(ms(0));
    proxies.iter().for_each(|p| driver.applied(ms(5), *p, 1));
    driver.turn(ms(300));
    driver.list(EndpointUpdate::Delta, vec![("s2".into(), server(2, true))]);
    let (deeds, ordered) = driver.turn(ms(400));
    let message =
        |d: &'_ Action| if let Action::Send { message, .. } = d { Some(message.clone()) } else { None };
    let shared: Vec<Rc<Message>> = deeds.iter().filter_map(message).collect();
    assert!(Rc::ptr_eq(&shared[0], &shared[1]));
    let tables: Vec<&Action> = deeds.iter().filter(|d| matches!(d, Action::Table { .. })).collect();
    assert!(matches!(tables[..], [Action::Table { edit, .. }] if edit.lines["s2"].1 == 0.0), "{tables:?}");
    let sent = bodies(&deeds);
    assert!(sent[0].contains("<line nc:operation=\"remove\"><server>s2</server></line>"), "{}", sent[0]);
    assert!(ordered.servers.contains("s2") && ordered.proxies.len() == 2);
}

#[test]
fn a_second_join_under_the_same_name_is_a_leave_and_a_join() {
    let mut driver = driver();
    let first = driver.joined("f1", "a", 5.0, true);
    driver.turn(ms(0));
    assert_eq!(driver.members()[&first].waiting(), 1);
    assert_eq!(driver.joined("f1", "a", 5.0, false), first);
    let (deeds, _) = driver.turn(ms(10));
    assert_eq!((driver.members()[&first].waiting(), bodies(&deeds).len()), (1, 1));
}

#[test]
fn a_confirmation_covers_all_before_it_and_none_from_before_a_rejoin() {
    let mut driver = driver();
    let proxy = driver.joined("f1", "a", 5.0, true);
    driver.turn(ms(0));
    driver.applied(ms(3), proxy, 9);
    assert_eq!((driver.members()[&proxy].waiting(), driver.lines_waiting()), (0, 0));
    driver.left(proxy);
    driver.applied(ms(4), proxy, 1);
    assert!(driver.members().is_empty());
}

#[test]
fn reports_of_a_zone_add_up_and_are_handed_on_by_period_the_oldest_first() {
    let mut sums = ReportAggregator::new(ms(1000), 2.0);
    let met = ServerOutcomes { tries: 10, failed: 2, took: ms(100), ..ServerOutcomes::default() };
    sums.met(ms(1000), 0, 7, &met, ms(1000));
    sums.met(ms(1500), 0, 7, &met, ms(1000));
    sums.met(ms(1600), 0, 8, &met, ms(1000));
    sums.came(ms(1700), 3, 0, &ClassArrivals { queries: 4, ..ClassArrivals::default() }, ms(1000));
    let mut happened = Vec::new();
    sums.hand_on(ms(1999), &mut happened);
    assert!(happened.is_empty());
    sums.hand_on(ms(2000), &mut happened);
    assert_eq!(happened.len(), 2);
    let Event::OutcomeReport { attempts: tries, failures: failed, mean_latency: took, window: span, .. } =
        &happened[0]
    else {
        panic!("{happened:?}")
    };
    assert_eq!((*tries, *failed, took.as_millis(), *span), (20, 4, 100, ms(1500)));
    assert_eq!(sums.due(), Some(ms(3000)));
}

#[test]
fn new_facts_start_the_decisions_over_and_shares_do_not() {
    let mut driver = driver();
    driver.turn(ms(0));
    let shared = FLEET.replace("<name>a</name>", "<name>a</name><share>0.5</share>");
    let read = |text: &str| Fleet::read(&Element::parse(text).unwrap()).unwrap();
    assert!(!driver.refit(read(&shared), 2));
    assert!(driver.refit(read(&FLEET.replace("<backlog>9000", "<backlog>8000")), 2));
}

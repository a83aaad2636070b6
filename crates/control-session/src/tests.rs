use crate::published_tables::PublishedTables;
use crate::report_aggregator::ReportAggregator;
use crate::table_message::IndexNames;
use crate::{Action, ControlSession};
use runloom_controller::{EndpointUpdate, Event};
use runloom_inventory::{Change, Server};
use runloom_model::fleet::Fleet;
use runloom_model::report::{ClassArrivals, ServerOutcomes};
use runloom_model::table_update::UpdateMessage;
use runloom_netconf::tree::Element;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const FLEET: &str = "<fleet xmlns='urn:runloom:fleet'><zone><name>a</name></zone><class><name>q</name>\
    <payoff>1</payoff><soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats>\
    </class><grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace><channel>\
    <lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel><cold>\
    <from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count><planners>1</planners>\
    <pick>chance</pick><levels>none</levels><probes>true</probes><report-ms>1000</report-ms>\
    <report-lines-per-second>2</report-lines-per-second></proxies><list><only-drains-bind>false</only-drains-bind>\
    </list></fleet>";

fn fleet(xml: &str) -> Fleet {
    Fleet::read(&Element::parse(xml).unwrap()).unwrap()
}

fn server(port: u16, is_draining: bool) -> Change {
    Change::Updated(Server {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        is_draining,
        weight: 1.0,
        started_ms: None,
    })
}

/// A session with the servers s1 to s3, on ports 1 to 3.
fn session() -> ControlSession {
    let mut session = ControlSession::new(fleet(FLEET), 1, 0);
    let list = (1..4).map(|k| (format!("s{k}"), server(k, false))).collect();
    session.update_endpoints(EndpointUpdate::Cached, list);
    session
}

fn messages(actions: &[Action]) -> Vec<Rc<UpdateMessage>> {
    let message = |action: &Action| match action {
        Action::Send { message, .. } => Some(message.clone()),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}

fn message_texts(actions: &[Action]) -> Vec<String> {
    messages(actions).iter().map(|message| message.to_xml()).collect()
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_connecting_proxy_gets_its_complete_tables_in_one_message() {
    // Given a session with three servers.
    let mut session = session();
    // When a proxy connects.
    session.connect_proxy("f1", "a", 5.0, false);
    let (actions, _) = session.step(ms(0));
    // Then one message replaces all that it holds, with all servers and the assignment of its class.
    let sent = message_texts(&actions);
    assert_eq!(sent.len(), 1);
    assert!(sent[0].contains("operation=\"replace\""), "{}", sent[0]);
    assert!(sent[0].contains("<bind><class>q</class>"), "{}", sent[0]);
    assert!((1..4).all(|k| sent[0].contains(&format!("127.0.0.1:{k}<"))));
}

#[test]
fn a_drain_reaches_all_proxies_in_one_step_with_a_shared_message() {
    // Given two proxies that acknowledged their tables.
    let mut session = session();
    let proxies = ["f1", "f2"].map(|name| session.connect_proxy(name, "a", 5.0, true));
    session.step(ms(0));
    for proxy in proxies {
        session.acknowledge(ms(5), proxy, 1);
    }
    session.step(ms(300));
    // When a server drains.
    session.update_endpoints(EndpointUpdate::Delta, vec![("s2".into(), server(2, true))]);
    let (actions, issued) = session.step(ms(400));
    // Then one table changes, and both proxies get the same message.
    let shared = messages(&actions);
    assert!(Rc::ptr_eq(&shared[0], &shared[1]));
    let is_table = |action: &&Action| matches!(action, Action::UpdateTable { .. });
    let tables: Vec<&Action> = actions.iter().filter(is_table).collect();
    assert!(
        matches!(tables[..], [Action::UpdateTable { edit, .. }] if edit.entries["s2"].weight == 0.0),
        "{tables:?}"
    );
    let text = shared[0].to_xml();
    assert!(text.contains("<line nc:operation=\"remove\"><server>s2</server></line>"), "{text}");
    assert!(issued.servers.contains("s2"));
    assert_eq!(issued.messages.len(), 2);
}

#[test]
fn connecting_again_under_the_same_name_replaces_the_connection() {
    // Given a proxy with one message in flight.
    let mut session = session();
    let first = session.connect_proxy("f1", "a", 5.0, true);
    session.step(ms(0));
    assert_eq!(session.members()[&first].in_flight_messages(), 1);
    // When a proxy connects under the same name.
    let second = session.connect_proxy("f1", "a", 5.0, false);
    let (actions, _) = session.step(ms(10));
    // Then it has the same index, and only the new message is in flight.
    assert_eq!(second, first);
    assert_eq!(session.members()[&first].in_flight_messages(), 1);
    assert_eq!(messages(&actions).len(), 1);
}

#[test]
fn an_acknowledgement_covers_earlier_messages_and_is_ignored_after_a_disconnect() {
    // Given a proxy with one message in flight.
    let mut session = session();
    let proxy = session.connect_proxy("f1", "a", 5.0, true);
    session.step(ms(0));
    // When a higher number is acknowledged, then nothing is in flight.
    session.acknowledge(ms(3), proxy, 9);
    assert_eq!(session.members()[&proxy].in_flight_messages(), 0);
    assert_eq!(session.queued_entries(), 0);
    // When an acknowledgement arrives after the proxy is disconnected, then it has no effect.
    session.disconnect_proxy(proxy);
    session.acknowledge(ms(4), proxy, 1);
    assert!(session.members().is_empty());
}

#[test]
fn reports_of_a_zone_are_summed_and_delivered_once_per_period_oldest_first() {
    // Given a limit of two events per delivery, and reports under three keys.
    let mut reports = ReportAggregator::new(ms(1000), 2.0);
    let outcomes =
        ServerOutcomes { attempts: 10, failures: 2, mean_latency: ms(100), ..ServerOutcomes::default() };
    let arrivals = ClassArrivals { requests: 4, ..ClassArrivals::default() };
    reports.add_outcomes(ms(1000), 0, 7, &outcomes, ms(1000));
    reports.add_outcomes(ms(1500), 0, 7, &outcomes, ms(1000));
    reports.add_outcomes(ms(1600), 0, 8, &outcomes, ms(1000));
    reports.add_arrivals(ms(1700), 3, 0, &arrivals, ms(1000));
    // When the period has not elapsed, then nothing is delivered.
    let mut events = Vec::new();
    reports.deliver(ms(1999), &mut events);
    assert!(events.is_empty());
    // When it has elapsed, then the two oldest sums are delivered, and the third is due one period later.
    reports.deliver(ms(2000), &mut events);
    assert_eq!(events.len(), 2);
    let Event::OutcomeReport { attempts, failures, mean_latency, window, .. } = &events[0] else {
        panic!("{events:?}")
    };
    assert_eq!(*attempts, 20);
    assert_eq!(*failures, 4);
    assert_eq!(mean_latency.as_millis(), 100);
    assert_eq!(*window, ms(1500));
    assert_eq!(reports.next_delivery(), Some(ms(3000)));
}

#[test]
fn a_changed_configuration_restarts_the_controller_and_a_changed_zone_share_does_not() {
    // Given a session whose controller has started.
    let mut session = session();
    session.step(ms(0));
    // When a zone's share changes, then the controller continues.
    let with_share = FLEET.replace("<name>a</name>", "<name>a</name><share>0.5</share>");
    assert!(!session.reconfigure(fleet(&with_share), 2));
    // When the update channel's limit changes, then the controller starts over.
    let with_backlog = FLEET.replace("<backlog>9000", "<backlog>8000");
    assert!(session.reconfigure(fleet(&with_backlog), 2));
}

/// An ejection would never reach a proxy that shared the message of a proxy without tables: that message carries no
/// ejections.
#[test]
fn a_message_without_ejections_is_not_shared_with_proxies_that_need_them() {
    // Given proxy 0 without an assignment, and proxy 1 that was sent its table.
    let mut tables = PublishedTables::default();
    let names = IndexNames { server: &|_| "s3", address: &|_| String::new(), class: &|_| "q" };
    tables.connect_proxy(0);
    tables.connect_proxy(1);
    tables.assign(1, 1, std::iter::once(0));
    tables.take_messages(&[0, 1], &BTreeSet::new(), &names);
    // When a server is ejected, and proxy 0 gets a message only to acknowledge it.
    tables.set_ejected(3, true);
    let messages = tables.take_messages(&[0, 1], &BTreeSet::from([0]), &names);
    // Then only the message to proxy 1 carries the ejection; proxy 0 gets it with its first table.
    let ejections = |k: usize| messages[k].message.ejections.clone();
    assert_eq!((ejections(0), ejections(1)), (BTreeMap::new(), BTreeMap::from([("s3".into(), true)])));
}

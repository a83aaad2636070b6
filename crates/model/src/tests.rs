use crate::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use crate::schema::{derive, SchemaValidator};
use crate::table_update::{AdmissionLimit, EntryEdit, TableEdit, UpdateMessage};
use crate::*;
use runloom_controller::RetryPolicy;
use runloom_netconf::schema::NodeKind;
use runloom_netconf::tree::Element;
use std::time::Duration;

fn names(schema: &Schema, found: &mut Vec<String>) {
    found.push(schema.name.clone());
    schema.children.iter().for_each(|c| names(c, found));
}

#[test]
fn every_node_and_key_of_the_xsd_stands_in_the_yang_module() {
    for (xsd, tops, yang) in
        [(FLEET_XSD, &["fleet", "roster"][..], YANG[0].2), (PROXY_XSD, &["tables"], YANG[1].2)]
    {
        let mut found = Vec::new();
        for top in derive(xsd, tops).unwrap() {
            names(&top, &mut found);
        }
        assert!(found.len() > 10);
        let words = ["container", "list", "leaf", "leaf-list"];
        let stands = |name: &String| words.iter().any(|w| yang.contains(&format!("{w} {name} {{")));
        assert_eq!(found.iter().filter(|n| !stands(n)).collect::<Vec<_>>(), Vec::<&String>::new());
    }
}

#[test]
fn keys_and_leaf_lists_are_derived() {
    let fleet = &derive(FLEET_XSD, &["fleet"]).unwrap()[0];
    assert_eq!(fleet.child(FLEET, "zone").unwrap().kind, NodeKind::List(vec!["name".into()]));
    let load = fleet.child(FLEET, "list").unwrap().child(FLEET, "load").unwrap();
    assert_eq!(load.kind, NodeKind::LeafList);
}

#[test]
fn a_fault_names_line_element_and_reason() {
    let judge = SchemaValidator::new(FLEET_XSD).unwrap();
    let text =
        "<roster xmlns='urn:runloom:fleet'>\n <server>\n  <name>s1</name>\n  <address>nowhere</address>\n\
        <zone>a</zone><mode>ready</mode></server></roster>";
    let faults = judge.faults(text);
    assert_eq!((faults[0].line, faults[0].element.as_str()), (4, "address"), "{faults:?}");
    let twice =
        "<server><name>s1</name><address>1.1.1.1:1</address><zone>a</zone><mode>ready</mode></server>";
    let faults = judge.faults(&format!("<roster xmlns='urn:runloom:fleet'>{twice}{twice}</roster>"));
    assert!(!faults.is_empty(), "a key that stands twice");
}

#[test]
fn what_is_written_as_a_message_is_valid_by_the_schema() {
    let limit = AdmissionLimit { rate: Some(3.5), retry_policy: RetryPolicy::IfNotExecuted };
    let table = TableEdit {
        entries: [("s1".to_string(), EntryEdit { address: "127.0.0.1:1".into(), weight: 0.25 })].into(),
        admission_limits: [("q".to_string(), limit)].into(),
        ..TableEdit::default()
    };
    let assignments = [("q".to_string(), 1)].into();
    let message = UpdateMessage { tables: [(1, table)].into(), assignments, ..UpdateMessage::default() };
    let edit = Element::parse(&message.to_xml()).unwrap();
    let tables = edit.child("config").unwrap().child("tables").unwrap();
    let schema = Schema::root(derive(PROXY_XSD, &["tables"]).unwrap());
    let config = Element::new("", "config").with(tables.clone());
    let empty = std::sync::Arc::new(Element::new("", "data"));
    let applied = runloom_netconf::edit::apply(
        &schema,
        &empty,
        &config,
        runloom_netconf::edit::Operation::Merge,
        runloom_netconf::edit::ErrorOption::StopOnError,
    );
    assert_eq!(applied.errors, []);
    let data = applied.tree;
    assert_eq!(SchemaValidator::new(PROXY_XSD).unwrap().faults(&data.children[0].to_text()), []);
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let took = Duration::from_micros(70);
    let of =
        ClassOutcomes { class: "q".into(), attempts: 5, within_objective: 3, latencies: [(7, 4)].into() };
    let classes = vec![of];
    let met = ServerOutcomes {
        server: "s1".into(),
        attempts: 5,
        failures: 1,
        mean_latency: took,
        within_objective: 3,
        load: vec![2.0],
        classes,
    };
    let came = ClassArrivals { class: "q".into(), requests: 9, unanswered: 2 };
    let report = Report { window: Duration::from_millis(500), outcomes: vec![met], arrivals: vec![came] };
    assert_eq!(Report::read(&report.to_element()), Some(report));
}

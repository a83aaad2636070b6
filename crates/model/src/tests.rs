use crate::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use crate::schema::SchemaValidator;
use crate::schema_derivation::derive_schema;
use crate::table_update::{AdmissionLimit, EntryEdit, TableEdit, UpdateMessage};
use crate::{Schema, FLEET_NAMESPACE, FLEET_XSD, PROXY_XSD, YANG_MODULES};
use runloom_controller::RetryPolicy;
use runloom_netconf::edit::{apply, ErrorOption, Operation};
use runloom_netconf::schema::NodeKind;
use runloom_netconf::tree::Element;
use std::sync::Arc;
use std::time::Duration;

/// Names of a node and of all nodes below it.
fn collect_names(schema: &Schema, names: &mut Vec<String>) {
    names.push(schema.name.clone());
    for child in &schema.children {
        collect_names(child, names);
    }
}

#[test]
fn every_node_of_the_xsd_is_in_the_yang_module() {
    let fleet = (FLEET_XSD, &["fleet", "roster"][..], YANG_MODULES[0].2);
    let proxy = (PROXY_XSD, &["tables"][..], YANG_MODULES[1].2);
    for (xsd, top_elements, yang) in [fleet, proxy] {
        let mut names = Vec::new();
        for schema in derive_schema(xsd, top_elements).unwrap() {
            collect_names(&schema, &mut names);
        }
        assert!(names.len() > 10);
        let statements = ["container", "list", "leaf", "leaf-list"];
        let is_in_yang_module = |name: &String| {
            statements.iter().any(|statement| yang.contains(&format!("{statement} {name} {{")))
        };
        let missing: Vec<&String> = names.iter().filter(|name| !is_in_yang_module(name)).collect();
        assert_eq!(missing, Vec::<&String>::new());
    }
}

#[test]
fn list_keys_and_leaf_lists_are_derived_from_the_xsd() {
    let fleet = &derive_schema(FLEET_XSD, &["fleet"]).unwrap()[0];
    assert_eq!(fleet.child(FLEET_NAMESPACE, "zone").unwrap().kind, NodeKind::List(vec!["name".into()]));
    let load = fleet.child(FLEET_NAMESPACE, "list").unwrap().child(FLEET_NAMESPACE, "load").unwrap();
    assert_eq!(load.kind, NodeKind::LeafList);
}

#[test]
fn a_violation_names_line_element_and_reason() {
    let validator = SchemaValidator::new(FLEET_XSD).unwrap();
    // Given a value of the wrong type.
    let text =
        "<roster xmlns='urn:runloom:fleet'>\n <server>\n  <name>s1</name>\n  <address>nowhere</address>\n\
        <zone>a</zone><mode>ready</mode></server></roster>";
    let violations = validator.validate(text);
    assert_eq!(violations[0].line, 4, "{violations:?}");
    assert_eq!(violations[0].element, "address", "{violations:?}");
    // Given two entries with the same key.
    let server =
        "<server><name>s1</name><address>1.1.1.1:1</address><zone>a</zone><mode>ready</mode></server>";
    let violations =
        validator.validate(&format!("<roster xmlns='urn:runloom:fleet'>{server}{server}</roster>"));
    assert!(!violations.is_empty());
}

#[test]
fn a_table_update_results_in_a_valid_datastore() {
    // Given a message with an entry, a limit and an assignment.
    let limit = AdmissionLimit { rate: Some(3.5), retry_policy: RetryPolicy::IfNotExecuted };
    let entry = EntryEdit { address: "127.0.0.1:1".into(), weight: 0.25 };
    let table = TableEdit {
        entries: [("s1".to_string(), entry)].into(),
        admission_limits: [("q".to_string(), limit)].into(),
        ..TableEdit::default()
    };
    let assignments = [("q".to_string(), 1)].into();
    let message = UpdateMessage { tables: [(1, table)].into(), assignments, ..UpdateMessage::default() };
    let edit = Element::parse(&message.to_xml()).unwrap();
    let tables = edit.child("config").unwrap().child("tables").unwrap();
    // When it is applied to an empty datastore.
    let schema = Schema::root(derive_schema(PROXY_XSD, &["tables"]).unwrap());
    let config = Element::new("", "config").with(tables.clone());
    let empty = Arc::new(Element::new("", "data"));
    let applied = apply(&schema, &empty, &config, Operation::Merge, ErrorOption::StopOnError);
    // Then the result is valid by the XSD.
    assert_eq!(applied.errors, []);
    let validator = SchemaValidator::new(PROXY_XSD).unwrap();
    assert_eq!(validator.validate(&applied.tree.children[0].to_text()), []);
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let class_outcomes =
        ClassOutcomes { class: "q".into(), attempts: 5, within_objective: 3, latencies: [(7, 4)].into() };
    let outcomes = ServerOutcomes {
        server: "s1".into(),
        attempts: 5,
        failures: 1,
        mean_latency: Duration::from_micros(70),
        within_objective: 3,
        load: vec![2.0],
        classes: vec![class_outcomes],
    };
    let arrivals = ClassArrivals { class: "q".into(), requests: 9, unanswered: 2 };
    let report =
        Report { window: Duration::from_millis(500), outcomes: vec![outcomes], arrivals: vec![arrivals] };
    assert_eq!(Report::read(&report.to_element()), Some(report));
}

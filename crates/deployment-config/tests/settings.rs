//! Tests of how settings are read into the typed configuration.

use runloom_controller::config::{AdmissionKind, LoadMetric, SelectionMethod};
use runloom_controller::DeploymentConfig;

#[test]
fn settings_are_read_into_the_typed_configuration() {
    let settings = serde_json::json!({
        "classes": [{"name": "a", "aimS": 0.5}], "familyInfo": {"levelKind": "rps", "choice": "lottery"},
        "stats": {"fields": ["rif", "busy"], "how": "answers"}, "zones": ["x", "y"], "myZone": "y"});

    let read = runloom_deployment_config::read(&settings);

    assert_eq!(read.config.classes[0].latency_objective_seconds, 0.5);
    assert_eq!(read.config.admission, AdmissionKind::RequestRate);
    assert_eq!(read.config.selection, SelectionMethod::Random);
    assert_eq!(read.config.load_report.metrics, [LoadMetric::Other("rif".into()), LoadMetric::Utilization]);
    assert!(read.config.load_report.is_available);
    assert_eq!((read.zones.get("y"), read.config.zone_count), (Some(1), 2.0));
    assert_eq!((read.classes.get("a"), read.unlimited_rate), (Some(0), 1e9));
    assert_eq!(read.load_fields, ["rif", "busy"]);
}

#[test]
fn missing_and_mistyped_settings_keep_their_defaults() {
    let settings = serde_json::json!({"balancers": "two", "rules": {"coldFrom": null}, "familyInfo": 7});

    let read = runloom_deployment_config::read(&settings);

    assert_eq!(read.config, DeploymentConfig { zone_count: 0.0, ..DeploymentConfig::default() });
    assert_eq!(read.unlimited_rate, 1.0);
}

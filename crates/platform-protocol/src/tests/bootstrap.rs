//! Tests of bootstrap file parsing.

use super::*;

#[test]
fn bootstrap_values_missing_from_the_file_come_from_the_environment() {
    let text = json!({"seed": 5, "settings": {}, "listen": "127.0.0.1:1"}).to_string();
    let environment =
        EnvironmentDefaults { discovery: Some("127.0.0.1:7".into()), name: Some("n2".into()), listen: None };
    let bootstrap = BootstrapConfig::parse(&text, environment).unwrap();

    assert_eq!((bootstrap.name.as_str(), bootstrap.discovery.port(), bootstrap.seed), ("n2", 7, 5));
    assert_eq!(bootstrap.limits.sockets, 256);
}

#[test]
fn an_invalid_bootstrap_file_gives_a_one_line_error() {
    let error =
        |text: &str| BootstrapConfig::parse(text, EnvironmentDefaults::default()).unwrap_err().to_string();
    let texts = [
        "",
        "{",
        "[]",
        r#"{"settings": {}, "seed": 1, "listen": "x", "discovery": "127.0.0.1:1"}"#,
        r#"{"settings": 3, "seed": 1}"#,
        r#"{"settings": {}, "seed": 1, "listen": "127.0.0.1:1"}"#,
    ];
    texts.iter().for_each(|text| assert!(!error(text).contains('\n') && !error(text).is_empty()));

    assert!(error(texts[3]).contains("listen") && error(texts[5]).contains("discovery"));
}

//! Tests of message parsing and field validation.

use super::*;

proptest! {
    #[test]
    fn arbitrary_messages_never_panic(mut message in any_json(), kind in prop::sample::select(
        vec!["PING", "SOURCE", "SUBSCRIBE", "LOAD", "RATE", "ACK", "CONFIG"])) {
        if let Some(fields) = message.as_object_mut() {
            fields.insert("t".into(), kind.into());
        }
        let names = names();
        if let Ok(Message::Event(Event::ProxyConnected { proxy, zone, request_rate, .. })) = parse(&message, &names) {
            prop_assert!(proxy < names.proxy_limit && zone < 2 && request_rate >= 0.0);
        }
    }
}

#[test]
fn valid_messages_are_parsed() {
    let names = names();
    let parsed: Vec<Message> = valid_messages().iter().map(|m| parse(m, &names).unwrap()).collect();
    let window = ms(1000);
    let mean_latency = Duration::from_secs_f64(0.0415);
    let report = Message::Event(Event::OutcomeReport {
        zone: 0,
        server: 0,
        attempts: 12,
        failures: 3,
        mean_latency,
        window,
        load: vec![7.0, 61.0],
    });

    assert_eq!(parsed[0], report);
    assert_eq!(
        parsed[1],
        Message::Event(Event::ArrivalReport { proxy: 17, class: 0, requests: 19, unanswered: 0, window })
    );
    assert_eq!(
        parsed[2],
        Message::Event(Event::UpdateAcknowledged {
            proxy: 17,
            ack_token: 905,
            elapsed: Duration::from_secs_f64(0.3104)
        })
    );
    assert_eq!(
        parsed[3],
        Message::Event(Event::ProxyConnected { proxy: 17, zone: 0, request_rate: 2.0, has_no_table: true })
    );
    assert_eq!(parsed[4], Message::RegisterCollector { zone: 1 });
}

#[test]
fn a_missing_mistyped_or_out_of_range_field_makes_a_message_malformed() {
    let names = names();
    let invalid_values =
        [Value::Null, json!(-1), json!(1e300), json!("nowhere"), json!([1]), json!({"x": 1}), json!(true)];
    let mut cases = 0;
    for message in valid_messages() {
        for field in message.as_object().unwrap().keys().filter(|k| *k != "util") {
            for value in &invalid_values {
                let mut malformed = message.clone();
                malformed[field] = value.clone();
                // `true` is a valid value of this field.
                if field == "new" && value == true {
                    continue;
                }
                assert!(parse(&malformed, &names).is_err(), "{malformed}");
                cases += 1;
            }
            let mut malformed = message.clone();
            malformed.as_object_mut().unwrap().remove(field);
            assert!(parse(&malformed, &names).is_err(), "{malformed}");
        }
    }

    assert_eq!(cases, 7 * 24 - 1);
}

#[test]
fn a_load_report_may_be_absent_but_not_malformed() {
    let names = names();
    let with = |util: Value| {
        let mut message = valid_messages().remove(0);
        message["util"] = util;
        parse(&message, &names)
    };
    let load_of = |message: Result<Message, MalformedMessage>| {
        if let Ok(Message::Event(Event::OutcomeReport { load, .. })) = message {
            load
        } else {
            panic!("{message:?}")
        }
    };

    assert!(load_of(with(Value::Null)).is_empty());
    assert_eq!(load_of(with(json!({"queue": 2, "latency_ms": 4.5, "more": "x"}))), [2.0, 4.5]);
    assert!(load_of(with(json!({"queue": 2})))[1].is_nan());
    assert!([json!(3), json!("x"), json!({"queue": "2"}), json!({"queue": -2})]
        .map(with)
        .iter()
        .all(Result::is_err));
}

#[test]
fn more_failures_than_attempts_are_malformed_and_unknown_fields_are_not() {
    let names = names();
    let mut message = valid_messages().remove(0);
    message["note"] = json!("x");

    assert!(parse(&message, &names).is_ok());

    message["fail"] = json!(13);

    assert_eq!(parse(&message, &names), Err(MalformedMessage::InvalidField("fail")));
}

use super::support::*;
use crate::endpoint::HealthState::*;
use crate::endpoint::{Endpoint, TableEntry};
use crate::flow_control::InFlightUpdate;
use crate::{Command, DelayedRemovals};
use std::collections::BTreeSet;
use std::time::Duration;

/// The reports within the given seconds of a drain, at four evaluations a second, while the channel takes no update.
fn reports_within(drain_seconds: u64) -> Vec<(Duration, DelayedRemovals)> {
    let draining = Endpoint {
        health: Draining,
        published: Some(TableEntry { table: 1, weight: 1.0 }),
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![healthy_endpoint(0), draining]);
    controller.proxies = vec![proxy(Some(0))];
    let pending_acks = BTreeSet::from([0]);
    controller.channel.in_flight.push_back(InFlightUpdate { ack_token: 9, entries: 3999.0, pending_acks });
    let mut reports = Vec::new();
    while controller.now <= NOW + seconds(drain_seconds) {
        let since_drain = controller.now - NOW;
        reports.extend(publish_all(&mut controller).into_iter().filter_map(|command| match command {
            Command::LogDelayedRemovals(delay) => Some((since_drain, delay)),
            _ => None,
        }));
        controller.now += Duration::from_millis(250);
    }
    reports
}

/// Guards against a drain that is never published without a word to the operators.
#[test]
fn operators_are_told_of_a_removal_that_waits_for_the_channel() {
    let reports = reports_within(13);

    let times: Vec<Duration> = reports.iter().map(|(since_drain, _)| *since_drain).collect();
    assert_eq!(times, [seconds(2), seconds(12)]);
    let delay = &reports[0].1;
    assert_eq!((delay.endpoints, delay.proxies, delay.waited), (1, 1, seconds(2)));
    assert_eq!(delay.queued_entries, 3999.0);
    assert!(delay.available_entries < delay.required_entries, "{delay:?}");
}

#[test]
fn delayed_removals_are_reported_with_what_they_need_and_what_there_is() {
    let delay = DelayedRemovals {
        endpoints: 12,
        waited: Duration::from_millis(2250),
        required_entries: 600.0,
        available_entries: -125.0,
        queued_entries: 0.0,
        proxies: 400,
    };
    assert_eq!(
        delay.log_line(),
        "removals wait for the update channel: 12 servers out of service are still in tables, the first for 2.2 s; \
         400 proxies, 0 entries in flight, room for -125, a removal needs 600"
    );
}

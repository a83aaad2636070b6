use crate::flow_control::{InFlightUpdate, UpdateChannel};
use std::collections::BTreeSet;

#[test]
fn acknowledgement_clears_earlier_updates_and_its_share_of_its_own() {
    let update =
        |ack_token| InFlightUpdate { ack_token, entries: 10.0, pending_acks: BTreeSet::from([0, 1]) };
    let mut channel = UpdateChannel {
        in_flight: [update(1), update(2)].into(),
        last_ack_token: 2,
        ..UpdateChannel::default()
    };
    channel.acknowledge(0, 2);
    assert_eq!(channel.queued_entries(), 5.0);
    channel.acknowledge(0, 2);
    assert_eq!(channel.queued_entries(), 5.0);
}

#[test]
fn disconnected_proxy_is_not_waited_for() {
    let update = InFlightUpdate { ack_token: 1, entries: 10.0, pending_acks: BTreeSet::from([4]) };
    let mut channel = UpdateChannel { in_flight: [update].into(), ..UpdateChannel::default() };
    channel.disconnect(4);
    assert_eq!(channel.queued_entries(), 0.0);
}

//! Tests of the endpoint watch: timeouts, lost connections and changes of the agent's address.

use super::*;
use crate::endpoint_watch::{EndpointWatch, FIRST_RESPONSE_TIMEOUT, REDIAL_INTERVAL, SILENCE_TIMEOUT};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A chunk that contains one line.
fn chunk(line: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", line.len() + 1).as_bytes(), line, b"\n\r\n"].concat()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A watch on connection 1 that has received a response head.
fn open_watch() -> EndpointWatch {
    let mut watch = EndpointWatch::new(address(1));
    assert!(watch.should_dial(START));
    watch.handle_dialed(Some(1), START);
    assert!(watch.handle_bytes(1, HEAD, START).is_first);
    watch
}

#[test]
fn a_watch_expires_only_after_all_its_input_was_read() {
    let mut watch = open_watch();
    assert_eq!(watch.next_timeout(), START + SILENCE_TIMEOUT);

    let before_timeout = watch.take_expired(START + SILENCE_TIMEOUT - ms(1));
    let at_timeout = watch.take_expired(START + SILENCE_TIMEOUT);

    assert!(before_timeout.is_empty());
    assert_eq!(at_timeout, vec![1]);
    // The next connection is dialed in the same step, with a shorter timeout for its first bytes.
    assert!(watch.should_dial(START + SILENCE_TIMEOUT));
    watch.handle_dialed(Some(2), START + SILENCE_TIMEOUT);
    assert_eq!(watch.next_timeout(), START + SILENCE_TIMEOUT + FIRST_RESPONSE_TIMEOUT);
}

#[test]
fn lines_of_the_previous_watch_are_returned_after_an_address_change() {
    let mut watch = open_watch();
    let line = list(41, false, &[member("s-2", "DRAINING")]);
    let bytes = chunk(&line);
    let (half, rest) = bytes.split_at(bytes.len() / 2);
    assert_eq!(watch.handle_bytes(1, half, START).lines.len(), 0);

    assert_eq!(watch.change_address(address(2), START), None);

    assert!(watch.should_dial(START));
    watch.handle_dialed(Some(2), START);
    assert!(watch.owns(1) && watch.owns(2));
    let output = watch.handle_bytes(1, rest, START + ms(20));
    assert_eq!(output.lines, vec![[line.as_slice(), b"\n"].concat()]);
    assert!(!output.is_first && !output.should_close);
    // The end of the previous connection does not affect the current one.
    watch.handle_closed(1, START + ms(1500));
    assert!(!watch.owns(1) && watch.owns(2) && !watch.should_dial(START + ms(1500)));
}

#[test]
fn a_previous_watch_is_closed_at_its_deadline_and_by_the_next_address_change() {
    let mut watch = open_watch();

    watch.change_address(address(2), START);
    watch.handle_dialed(Some(2), START);
    watch.handle_bytes(2, HEAD, START + ms(2900));

    assert_eq!(watch.next_timeout(), START + ms(3000));
    assert_eq!(watch.take_expired(START + ms(3000)), vec![1]);

    watch.change_address(address(3), START + ms(3100));
    watch.handle_dialed(Some(3), START + ms(3100));
    let closed = watch.change_address(address(4), START + ms(3200));

    // A second address change closes the previous watch, although it has not ended.
    assert_eq!(closed, Some(2));
    assert!(watch.owns(3));
}

#[test]
fn a_watch_that_ends_or_is_unreadable_is_dialed_again_after_the_interval() {
    for end in [&b"0\r\n\r\n"[..], b"zz\r\n"] {
        let mut watch = open_watch();

        let output = watch.handle_bytes(1, end, START);

        assert!(output.should_close && !watch.owns(1));
        assert_eq!((watch.next_timeout(), watch.should_dial(START)), (START + REDIAL_INTERVAL, false));
        // A later report that it was closed does not postpone the next attempt.
        watch.handle_closed(1, START + ms(100));
        assert!(watch.should_dial(START + REDIAL_INTERVAL));
    }
}

#[test]
fn a_restarted_watch_and_a_failed_attempt_are_dialed_again_after_the_interval() {
    let mut watch = open_watch();

    assert_eq!(watch.restart(START), Some(1));

    assert!(!watch.owns(1) && watch.should_dial(START + REDIAL_INTERVAL));

    watch.handle_dialed(None, START + REDIAL_INTERVAL);

    assert!(!watch.should_dial(START + REDIAL_INTERVAL) && watch.should_dial(START + REDIAL_INTERVAL * 2));
}

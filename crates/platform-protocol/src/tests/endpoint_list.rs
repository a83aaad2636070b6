//! The endpoint list and the reading of its watch.

use super::*;

proptest! {
    #[test]
    fn a_watch_gives_the_same_lines_wherever_its_bytes_are_split(cuts in prop::collection::vec(1usize..30, 1..60)) {
        let lines = [&list(41, true, &[member("s-1", "SERVING")])[..], b"", &list(42, false, &[])];
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for line in lines {
            // A chunk may end within a line.
            for half in [&line[..line.len() / 2], &[&line[line.len() / 2..], b"\n"].concat()] {
                if !half.is_empty() {
                    bytes.extend(format!("{:x}\r\n", half.len()).bytes().chain(half.iter().copied()));
                    bytes.extend(b"\r\n");
                }
            }
        }
        let (mut watch, mut read, mut rest) = (WatchReader::default(), Vec::new(), bytes.as_slice());
        for cut in cuts.iter().cycle() {
            let (segment, after) = rest.split_at((*cut).min(rest.len()));
            read.extend(watch.push(segment).unwrap());
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        let read: Vec<&[u8]> = read.iter().map(|l| l.trim_ascii_end()).collect();
        prop_assert_eq!(read, lines);
    }

    #[test]
    fn arbitrary_watch_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut watch = WatchReader::default();
        let _ = watch.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if let Ok(lines) = watch.push(&bytes) {
            let mut platform = platform();
            lines.iter().for_each(|line| _ = platform.handle_list_line(line, START));
            prop_assert_eq!(platform.list_revision(), 40);
        }
    }
}

#[test]
fn older_revisions_and_malformed_lines_change_nothing() {
    let mut platform = platform();
    platform.handle_list_line(&list(39, true, &[]), START).unwrap();
    platform.handle_list_line(&list(40, false, &[member("s-1", "DELETED")]), START).unwrap();
    assert!(platform.handle_list_line(b"{\"revision\": 50", START).is_err());
    assert!(platform
        .handle_list_line(br#"{"revision": "50", "complete": true, "members": []}"#, START)
        .is_err());
    platform.handle_list_line(b"\r\n", START).unwrap();
    assert_eq!((platform.list_revision(), platform.list_events.len(), platform.list.malformed), (40, 0, 2));
}

#[test]
fn the_last_of_duplicate_entries_holds_and_malformed_entries_are_skipped() {
    let mut platform = platform();
    let malformed = json!({"id": "s-9", "phase": "ASLEEP"});
    platform
        .handle_list_line(
            &list(41, false, &[member("s-1", "SERVING"), malformed, member("s-1", "DRAINING")]),
            START,
        )
        .unwrap();
    let Event::EndpointsListed { update, records } = &platform.list_events[0] else {
        panic!("{:?}", platform.list_events)
    };
    assert_eq!((*update, records.len(), records[0].state), (EndpointUpdate::Delta, 1, ListedState::Draining));
}

#[test]
fn a_server_start_before_the_planner_start_is_on_the_clock() {
    let mut list = EndpointList::new(EPOCH);
    let mut up = member("s-1", "SERVING");
    let mut started = |since: u64| {
        up["up_since_ms"] = json!(since);
        let line = json!({"revision": 1, "complete": true, "members": [up]});
        list.apply(&line, ListSource::Watch, &mut names(), START).unwrap().unwrap().records[0].started
    };
    assert_eq!(started(EPOCH + 3_590_000), Some(START - ms(10_000)));
    assert_eq!((started(0), started(EPOCH - 5)), (None, None));
}

#[test]
fn health_checks_go_to_a_changed_address() {
    let mut platform = platform();
    let mut moved = member("s-1", "SERVING");
    moved["host_port"] = json!("127.0.0.1:77");
    platform.handle_list_line(&list(41, false, &[moved]), START).unwrap();
    let actions: Vec<Action> = (0..30).flat_map(|k| platform.step_at(START + ms(250 * k))).collect();
    let check_count = |port| {
        let expected = SocketAddr::from(([127, 0, 0, 1], port));
        actions
            .iter()
            .filter(|action| matches!(action, Action::CheckHealth { address, .. } if *address == expected))
            .count()
    };
    assert!(check_count(77) > 0 && check_count(9) > 0);
}

#[test]
fn a_response_that_is_no_list_is_unreadable() {
    let fails = |bytes: &[u8]| WatchReader::default().push(bytes).is_err();
    assert!(fails(b"HTTP/1.1 503 No\r\n\r\n") && fails(b"SSH-2.0-x\r\n"));
    assert!(fails(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n"));
    let mut watch = WatchReader::default();
    let lines = watch.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n").unwrap();
    assert!(lines.is_empty() && watch.is_complete());
}

//! Tests of the endpoint list and of the parsing of its watch.

use super::*;

proptest! {
    #[test]
    fn a_watch_gives_the_same_lines_wherever_its_bytes_are_split(cuts in prop::collection::vec(1usize..30, 1..60)) {
        let lines = [&list(41, true, &[member("s-1", "SERVING")])[..], b"", &list(42, false, &[])];
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for line in lines {
            // Each line is sent in two chunks, since a chunk may end within a line.
            for half in [&line[..line.len() / 2], &[&line[line.len() / 2..], b"\n"].concat()] {
                if !half.is_empty() {
                    bytes.extend(format!("{:x}\r\n", half.len()).bytes().chain(half.iter().copied()));
                    bytes.extend(b"\r\n");
                }
            }
        }
        let mut watch = WatchReader::default();
        let mut read = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts.iter().cycle() {
            let (segment, after) = rest.split_at((*cut).min(rest.len()));
            read.extend(watch.push(segment).unwrap());
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        let read: Vec<&[u8]> = read.iter().map(|line| line.trim_ascii_end()).collect();
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

    receive_list(&mut platform, 39, &[], START);
    receive_changes(&mut platform, 40, &[member("s-1", "DELETED")], START);
    let truncated = platform.handle_list_line(b"{\"revision\": 50", START);
    let mistyped =
        platform.handle_list_line(br#"{"revision": "50", "complete": true, "members": []}"#, START);
    let empty = platform.handle_list_line(b"\r\n", START);

    assert!(truncated.is_err() && mistyped.is_err() && empty.is_ok());
    assert_eq!(platform.list_revision(), 40);
    assert_eq!((platform.list_events.len(), platform.list.malformed), (0, 2));
}

#[test]
fn the_last_of_duplicate_entries_holds_and_malformed_entries_are_skipped() {
    let mut platform = platform();
    let malformed = json!({"id": "s-9", "phase": "ASLEEP"});

    let members = [member("s-1", "SERVING"), malformed, member("s-1", "DRAINING")];
    receive_changes(&mut platform, 41, &members, START);

    let Event::EndpointsListed { update, records } = &platform.list_events[0] else {
        panic!("{:?}", platform.list_events)
    };
    assert_eq!(*update, EndpointUpdate::Delta);
    assert_eq!((records.len(), records[0].state), (1, ListedState::Draining));
}

#[test]
fn a_server_start_before_the_planner_start_has_a_time_on_the_clock() {
    let mut list = EndpointList::new(EPOCH);
    let mut started_at = |unix_ms: u64| {
        let mut server = member("s-1", "SERVING");
        server["up_since_ms"] = json!(unix_ms);
        let line = json!({"revision": 1, "complete": true, "members": [server]});
        list.apply(&line, ListSource::Watch, &mut names(), START).unwrap().unwrap().records[0].started
    };

    assert_eq!(started_at(EPOCH + 3_590_000), Some(START - ms(10_000)));
    assert_eq!((started_at(0), started_at(EPOCH - 5)), (None, None));
}

#[test]
fn health_checks_go_to_a_changed_address() {
    let mut platform = platform();
    let mut moved = member("s-1", "SERVING");
    moved["host_port"] = json!("127.0.0.1:77");

    receive_changes(&mut platform, 41, &[moved], START);
    let actions: Vec<Action> = (0..30).flat_map(|step| platform.step_at(START + ms(250 * step))).collect();

    let check_count = |port| {
        let expected = SocketAddr::from(([127, 0, 0, 1], port));
        let is_expected =
            |action: &&Action| matches!(action, Action::CheckHealth { address, .. } if *address == expected);
        actions.iter().filter(is_expected).count()
    };
    assert!(check_count(77) > 0 && check_count(9) > 0);
}

#[test]
fn a_lagging_agent_is_ignored_and_reset_revisions_are_accepted() {
    let mut platform = platform();

    receive_list(&mut platform, 7, &[member("s-1", "SERVING")], START);
    receive_changes(&mut platform, 8, &[member("s-1", "DRAINING")], START + ms(5000));

    assert_eq!((platform.list_revision(), platform.list_events.len()), (40, 0));
    assert!(!platform.reset_outdated_revision(START + ms(5999)));

    // The agent reaches the held revision, so it only lagged.
    receive_changes(&mut platform, 40, &[], START + ms(5999));

    assert!(!platform.reset_outdated_revision(START + ms(60_000)));

    receive_changes(&mut platform, 8, &[], START + ms(60_000));
    platform.step_at(START + ms(60_000));

    // The core's next timeout includes that of the reset.
    assert!(platform.next_timeout().is_some_and(|at| at <= START + ms(66_000)));
    assert!(platform.reset_outdated_revision(START + ms(66_000)));
    assert!(!platform.reset_outdated_revision(START + ms(66_001)));
    assert_eq!(platform.list_revision(), 0);

    receive_list(&mut platform, 9, &[member("s-1", "DRAINING")], START + ms(66_100));

    assert_eq!(platform.list_revision(), 9);
}

#[test]
fn a_repeated_complete_list_removes_a_missing_server_once() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let members = [member("s-1", "SERVING"), member("s-3", "SERVING")];

    receive_list(&mut platform, 41, &members, START);

    let removal = json!(["s-2", 0.0]);
    let updates = written(&platform.step_at(START), 1);
    assert!(updates
        .iter()
        .filter_map(|update| update["rows"].as_array())
        .any(|rows| rows.contains(&removal)));

    for revision in [41, 42] {
        receive_list(&mut platform, revision, &members, START + ms(10));

        let updates = written(&platform.step_at(START + ms(10)), 1);
        assert!(updates.iter().all(|update| !update.to_string().contains("s-2")), "{updates:?}");
    }
}

#[test]
fn a_response_that_is_not_a_valid_watch_is_malformed() {
    let is_malformed = |bytes: &[u8]| WatchReader::default().push(bytes).is_err();

    assert!(is_malformed(b"HTTP/1.1 503 No\r\n\r\n"));
    assert!(is_malformed(b"SSH-2.0-x\r\n"));
    assert!(is_malformed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n"));
}

#[test]
fn a_response_without_lines_is_complete() {
    let mut watch = WatchReader::default();

    let lines = watch.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n").unwrap();

    assert!(lines.is_empty() && watch.is_complete());
}

/// Guards against losing changes when discovery resets its revisions and reaches the held one again within the time by
/// which an agent may lag.
#[test]
fn an_agent_that_catches_up_is_asked_for_the_complete_list() {
    let mut platform = platform();
    // Revisions restart at 38; this revision 40 is not the one that is held.
    receive_list(&mut platform, 38, &[member("s-1", "SERVING")], START);
    receive_changes(&mut platform, 39, &[member("s-2", "DELETED")], START + ms(100));
    assert!(!platform.take_must_reread_list());
    receive_changes(&mut platform, 40, &[member("s-1", "DRAINING")], START + ms(200));

    assert!(platform.take_must_reread_list());
    assert_eq!((platform.watch_revision(), platform.list_revision()), (0, 40));

    // An agent that keeps all changes replies with those since the beginning instead of the complete list.
    receive_changes(&mut platform, 40, &[member("s-1", "DRAINING")], START + ms(500));
    assert_eq!(platform.list_events.len(), 1);

    receive_list(&mut platform, 40, &[member("s-1", "DRAINING")], START + ms(600));
    let Some(Event::EndpointsListed { update, records }) = platform.list_events.last() else {
        panic!("no list")
    };
    assert_eq!((*update, records.len()), (EndpointUpdate::Snapshot, 1));
    assert_eq!((platform.watch_revision(), platform.take_must_reread_list()), (40, false));
}

//! Tests of framing with arbitrarily split and malformed input.

use super::*;

proptest! {
    #[test]
    fn frames_give_the_same_messages_wherever_they_are_split(ids in prop::collection::vec(0u64..99, 1..8),
        cuts in prop::collection::vec(1usize..40, 1..60)) {
        let messages: Vec<Value> = ids.into_iter().map(connect_message).collect();
        let bytes = framed(&messages);
        let mut reader = FrameReader::new(MAX_MESSAGE_BYTES);
        let (mut rest, mut read) = (bytes.as_slice(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (segment, after) = rest.split_at((*cut).min(rest.len()));
            reader.push(segment);
            while let Some(message) = reader.next_message().unwrap() {
                read.push(message);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(read, messages);
        prop_assert_eq!(reader.buffered(), 0);
    }

    #[test]
    fn arbitrary_bytes_never_panic_and_memory_stays_bounded(segments in prop::collection::vec(
        prop::collection::vec(any::<u8>(), 0..600), 0..40)) {
        let mut reader = FrameReader::new(MAX_FIRST_MESSAGE_BYTES);
        'segments: for segment in segments {
            reader.push(&segment);
            loop {
                match reader.next_message() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => break 'segments,
                }
            }
            prop_assert!(reader.buffered() <= MAX_FIRST_MESSAGE_BYTES + 4);
        }
    }
}

#[test]
fn invalid_lengths_and_bodies_are_errors_at_once() {
    let unreadable = |bytes: &[u8]| {
        let mut reader = FrameReader::new(MAX_MESSAGE_BYTES);
        reader.push(bytes);
        reader.next_message().unwrap_err()
    };

    assert_eq!(unreadable(b"GET / HTTP/1.1"), FrameError::InvalidLength);
    assert_eq!(unreadable(&[0, 0, 0, 0]), FrameError::InvalidLength);
    assert_eq!(unreadable(&((1u32 << 20) + 1).to_le_bytes()), FrameError::InvalidLength);
    assert_eq!(unreadable(b"\x02\0\0\0[]"), FrameError::InvalidBody);
    assert_eq!(unreadable(b"\x03\0\0\0{x}"), FrameError::InvalidBody);
}

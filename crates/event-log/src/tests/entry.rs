//! Tests of stored forms that differ from the Rust types.

use crate::entry::{Entry, RecordedEvent, RecordedHint};

#[test]
fn hints_are_stored_and_exported_as_tuples() {
    let hint = RecordedHint { server: "s1".into(), speed_factor_bits: 1, suspicion_bits: 2 };
    assert_eq!(
        postcard::to_stdvec(&hint).unwrap(),
        postcard::to_stdvec(&("s1".to_string(), 1u64, 2u64)).unwrap()
    );
    let entry = Entry { at_us: 5, event: RecordedEvent::WarmStart { hints: vec![hint] } };
    let bytes = postcard::to_stdvec(&entry).unwrap();
    assert_eq!(postcard::from_bytes::<Entry>(&bytes).unwrap(), entry);
}

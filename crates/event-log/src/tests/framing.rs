//! Tests of decoding journals that are truncated, corrupt, or of another version.

use super::support::{entries, journal};
use crate::entry::{OLDEST_VERSION, VERSION};
use crate::framing::{decode_journal, header, JournalError};

/// Position of the version in a journal.
const VERSION_FIELD: std::ops::Range<usize> = 8..12;

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(
        mut bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..600),
        with_header: bool,
    ) {
        if with_header {
            bytes.splice(0..0, header());
        }
        if let Ok(journal) = decode_journal(&bytes) {
            proptest::prop_assert_eq!(journal.complete_bytes + journal.torn_bytes, bytes.len());
        }
    }
}

/// A killed writer may leave any prefix of a journal.
#[test]
fn every_prefix_of_a_journal_decodes_to_its_complete_entries() {
    // Given a journal, and where each of its entries ends.
    let all = entries(9);
    let bytes = journal(&all);
    let ends: Vec<usize> = (0..=9).map(|count| journal(&all[..count]).len()).collect();
    for cut in 0..=bytes.len() {
        // When it is truncated, then the entries before the cut are decoded, and the rest is torn.
        let decoded = decode_journal(&bytes[..cut]).unwrap();
        let complete = ends.iter().filter(|end| **end <= cut).count().saturating_sub(1);
        assert_eq!(decoded.entries, all[..complete], "cut at {cut}");
        let complete_bytes = if cut >= ends[0] { ends[complete] } else { 0 };
        assert_eq!(decoded.torn_bytes, cut - complete_bytes, "cut at {cut}");
    }
}

#[test]
fn a_flipped_bit_is_detected_and_no_entry_before_it_is_lost() {
    let all = entries(6);
    let bytes = journal(&all);
    for position in header().len()..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[position] ^= 0x40;
        let decoded = decode_journal(&corrupt).unwrap();
        let before = (0..=6).rev().find(|count| journal(&all[..*count]).len() <= position).unwrap();
        assert_eq!(decoded.entries, all[..before], "flipped at {position}");
    }
}

#[test]
fn an_unknown_version_and_another_kind_of_file_are_different_errors() {
    let mut bytes = journal(&entries(1));
    bytes[VERSION_FIELD.start] = 9;
    assert_eq!(decode_journal(&bytes), Err(JournalError::UnknownVersion(9)));
    assert_eq!(decode_journal(b"something else altogether"), Err(JournalError::NotAJournal));
}

/// Version 1 lacks only the kinds of entries that were added last, so it is decoded without an upgrade.
#[test]
fn an_older_version_is_decoded_and_an_unknown_one_is_rejected() {
    let mut bytes = journal(&entries(30));
    bytes[VERSION_FIELD].copy_from_slice(&OLDEST_VERSION.to_le_bytes());
    assert_eq!(decode_journal(&bytes).unwrap().entries, entries(30));
    for version in [0, VERSION + 1] {
        bytes[VERSION_FIELD].copy_from_slice(&version.to_le_bytes());
        assert_eq!(decode_journal(&bytes).unwrap_err(), JournalError::UnknownVersion(version));
    }
}

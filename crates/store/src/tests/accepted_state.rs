//! Tests of patches to the accepted state.

use crate::{chunk_entries, AcceptedState, EntrySource, ListChunk, PatchError, StatePatch};
use proptest::prelude::*;

fn entry_text(entry: u32) -> String {
    format!("<e>{entry}</e>")
}

/// A patch that turns the state's entries into this list.
fn patch_to_list(state: &AcceptedState, list: &[u32]) -> StatePatch {
    let source = |entry: &u32| {
        let text = entry_text(*entry);
        match state.entries.iter().position(|old| *old == text) {
            Some(index) => EntrySource::Existing(index as u32),
            None => EntrySource::New(text),
        }
    };
    StatePatch { chunks: Some(chunk_entries(list.iter().map(source))), ..StatePatch::default() }
}

proptest! {
    #[test]
    fn patches_turn_one_list_into_another_and_survive_encoding(
        lists in prop::collection::vec(prop::collection::vec(0u32..30, 0..20), 1..12),
    ) {
        let mut state = AcceptedState::default();
        for (k, list) in lists.iter().enumerate() {
            let rollback_entries = (k % 3 == 0).then(|| Some(vec!["b".into()]));
            let patch = StatePatch { rollback_entries, ..patch_to_list(&state, list) };
            state.apply(StatePatch::decode(&patch.encode()).unwrap()).unwrap();
            let texts: Vec<String> = list.iter().map(|entry| entry_text(*entry)).collect();
            prop_assert_eq!(&state.entries, &texts);
            prop_assert_eq!(&AcceptedState::decode(&state.encode()).unwrap(), &state);
        }
        // A patch that was made for another list is rejected.
        let chunks = Some(vec![ListChunk::Existing { from: 19, count: 9 }]);
        let error = state.apply(StatePatch { chunks, ..StatePatch::default() });
        let entries = state.entries.len();
        prop_assert_eq!(error, Err(PatchError::UnknownEntries { from: 19, to: 28, entries }));
    }
}

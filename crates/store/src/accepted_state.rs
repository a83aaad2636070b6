//! What operators' edits came to: the fleet's entries, the accepted edits, and what a confirmed commit rolls back to.
//!
//! One edit is stored as a patch of the entries: some hundred bytes, however large the fleet is. The order of fields
//! and variants is part of the stored form.

use crate::error::DecodeError;
use serde::{Deserialize, Serialize};

/// Edits that are stored.
const MAX_EDITS: usize = 1024;

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    /// Its id.
    pub id: String,
    /// Who made it.
    pub author: String,
    /// Digest of its content.
    pub digest: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// A chunk of a list of entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChunk {
    /// Entries of the list before.
    Existing {
        /// Index of the first.
        from: u32,
        /// How many.
        count: u32,
    },
    /// An entry that was not in it.
    New(String),
}

/// What one batch of edits changed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatePatch {
    /// The new list of entries; `None` if it did not change.
    pub chunks: Option<Vec<ListChunk>>,
    /// The edits of the batch.
    pub edits: Vec<AcceptedEdit>,
    /// The new [`AcceptedState::rollback_entries`]; `None` if it did not change.
    pub rollback_entries: Option<Option<Vec<String>>>,
}

/// All that is stored.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AcceptedState {
    /// The fleet's entries as XML.
    pub entries: Vec<String>,
    /// The entries that a confirmed commit rolls back to while it waits for its confirmation (RFC 6241, section 8.4).
    pub rollback_entries: Option<Vec<String>>,
    /// The accepted edits, oldest first.
    pub edits: Vec<AcceptedEdit>,
}

/// A patch does not fit the state.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PatchError {
    /// It was made for another list.
    #[error("a patch names entries {from} to {to} of {entries}")]
    UnknownEntries {
        /// Index of the first entry that it names.
        from: usize,
        /// Index after the last one.
        to: usize,
        /// Entries of the state.
        entries: usize,
    },
}

impl AcceptedState {
    /// Applies a patch.
    pub fn apply(&mut self, patch: StatePatch) -> Result<(), PatchError> {
        if let Some(chunks) = patch.chunks {
            self.entries = self.assemble(chunks)?;
        }
        if let Some(rollback_entries) = patch.rollback_entries {
            self.rollback_entries = rollback_entries;
        }
        self.edits.extend(patch.edits);
        self.edits.drain(..self.edits.len().saturating_sub(MAX_EDITS));
        Ok(())
    }

    fn assemble(&self, chunks: Vec<ListChunk>) -> Result<Vec<String>, PatchError> {
        let mut entries = Vec::new();
        for chunk in chunks {
            match chunk {
                ListChunk::New(text) => entries.push(text),
                ListChunk::Existing { from, count } => {
                    entries.extend_from_slice(self.existing_entries(from as usize, count as usize)?);
                }
            }
        }
        Ok(entries)
    }

    fn existing_entries(&self, from: usize, count: usize) -> Result<&[String], PatchError> {
        let to = from.saturating_add(count);
        let entries = self.entries.len();
        self.entries.get(from..to).ok_or(PatchError::UnknownEntries { from, to, entries })
    }

    /// The stored form.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads the stored form.
    pub fn decode(bytes: &[u8]) -> Result<AcceptedState, DecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

impl StatePatch {
    /// The stored form.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads the stored form.
    pub fn decode(bytes: &[u8]) -> Result<StatePatch, DecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Encodes texts, numbers and lists of them, which cannot fail.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Where an entry of a new list comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntrySource {
    /// Its index in the list before.
    Existing(u32),
    /// It was not in it.
    New(String),
}

/// The chunks of a new list, in its order.
pub fn chunk_entries(entries: impl Iterator<Item = EntrySource>) -> Vec<ListChunk> {
    let mut chunks: Vec<ListChunk> = Vec::new();
    for entry in entries {
        match (entry, chunks.last_mut()) {
            (EntrySource::Existing(index), Some(ListChunk::Existing { from, count }))
                if *from + *count == index =>
            {
                *count += 1;
            }
            (EntrySource::Existing(index), _) => {
                chunks.push(ListChunk::Existing { from: index, count: 1 });
            }
            (EntrySource::New(text), _) => chunks.push(ListChunk::New(text)),
        }
    }
    chunks
}

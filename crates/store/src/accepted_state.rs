//! Result of the operators' edits: the fleet's entries, the accepted edits, and what a confirmed commit rolls back to.
//! An entry here is a child element of `<fleet>`, as XML.
//!
//! Each batch of edits is stored as a patch of the entries: an edit takes some hundred bytes, however large the fleet
//! is. The order of fields and variants is part of the stored form.

use crate::error::DecodeError;
use serde::{Deserialize, Serialize};

/// Number of edits that are kept; older ones are dropped.
const MAX_EDITS: usize = 1024;

/// An accepted edit, without the changes that it made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    /// Id that the operator gave, or that was generated.
    pub id: String,
    /// User that made the edit.
    pub author: String,
    /// Digest of its content, to recognize a repeated edit.
    pub digest: String,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// Consecutive entries of a new list, described relative to the previous list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChunk {
    /// A range of entries copied from the previous list.
    Existing {
        /// Index of the first entry in the previous list.
        from: u32,
        /// Number of entries.
        count: u32,
    },
    /// An entry that the previous list does not have.
    New(String),
}

/// The changes of one batch of edits to the [`AcceptedState`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatePatch {
    /// The new list of entries; `None` if unchanged.
    pub chunks: Option<Vec<ListChunk>>,
    /// Edits of the batch, oldest first.
    pub edits: Vec<AcceptedEdit>,
    /// The new [`AcceptedState::rollback_entries`]; the outer `None` means unchanged.
    pub rollback_entries: Option<Option<Vec<String>>>,
}

/// All stored state that results from operators' edits.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AcceptedState {
    /// The fleet's entries, as XML.
    pub entries: Vec<String>,
    /// The entries that a confirmed commit rolls back to if it is not confirmed (RFC 6241, section 8.4); `None` if no
    /// commit waits for its confirmation.
    pub rollback_entries: Option<Vec<String>>,
    /// The newest accepted edits, oldest first.
    pub edits: Vec<AcceptedEdit>,
}

/// A patch that cannot be applied to the state.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PatchError {
    /// The patch was made for another list of entries.
    #[error("a patch names entries {from} to {to} of {entries}")]
    UnknownEntries {
        /// Index of the first entry that a chunk refers to.
        from: usize,
        /// Index after the last entry that it refers to.
        to: usize,
        /// Number of entries in the state.
        entries: usize,
    },
}

impl AcceptedState {
    /// Applies a patch, which must have been made for this state; on failure the state is unchanged.
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

    /// Encodes the stored form.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes the stored form.
    pub fn decode(bytes: &[u8]) -> Result<AcceptedState, DecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

impl StatePatch {
    /// Encodes the stored form.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes the stored form.
    pub fn decode(bytes: &[u8]) -> Result<StatePatch, DecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Encodes a value made of texts, numbers and lists. Their encoding cannot fail, so the empty fallback is never used.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Where an entry of a new list comes from, as input of [`chunk_entries`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntrySource {
    /// Index of the same entry in the previous list.
    Existing(u32),
    /// An entry that the previous list does not have.
    New(String),
}

/// Describes a new list as chunks, in its order. Entries that are consecutive in both lists become one chunk.
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

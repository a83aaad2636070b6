//! What operators' edits came to, as it is kept: the fleet's entries as texts, the ledger, and what a confirmed commit
//! goes back to. One edit is a patch of the entries, some hundred bytes however large the fleet is.

use serde::{Deserialize, Serialize};

/// An edit that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    pub id: String,
    pub who: String,
    pub digest: String,
    /// Milliseconds since 1970.
    pub accepted: u64,
}

/// A part of a list of entries: so many of those before, or a new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListPiece {
    Old { from: u32, count: u32 },
    New(String),
}

/// What one batch of edits changed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatePatch {
    /// None: the fleet is as it was.
    pub pieces: Option<Vec<ListPiece>>,
    pub noted: Vec<AcceptedEdit>,
    /// What a confirmed commit goes back to, if that changed.
    pub before: Option<Option<Vec<String>>>,
}

/// All that is kept.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AcceptedState {
    pub entries: Vec<String>,
    pub before: Option<Vec<String>>,
    pub noted: Vec<AcceptedEdit>,
}

/// Edits kept: as many as the ledger holds.
pub const NOTED_MOST: usize = 1024;

impl AcceptedState {
    /// Takes a patch in. An error: it is of another list than this.
    pub fn take(&mut self, patch: StatePatch) -> Result<(), String> {
        if let Some(pieces) = patch.pieces {
            let mut entries = Vec::new();
            for piece in pieces {
                match piece {
                    ListPiece::New(text) => entries.push(text),
                    ListPiece::Old { from, count } => {
                        let (from, count) = (from as usize, count as usize);
                        let old = self.entries.get(from..from.saturating_add(count));
                        entries.extend_from_slice(old.ok_or("a patch names entries that are not there")?);
                    }
                }
            }
            self.entries = entries;
        }
        self.before = patch.before.unwrap_or_else(|| self.before.take());
        self.noted.extend(patch.noted);
        self.noted.drain(..self.noted.len().saturating_sub(NOTED_MOST));
        Ok(())
    }

    pub fn write(&self) -> Vec<u8> {
        // Texts, numbers and lists of them can always be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Result<AcceptedState, String> {
        postcard::from_bytes(bytes).map_err(|e| e.to_string())
    }
}

impl StatePatch {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Result<StatePatch, String> {
        postcard::from_bytes(bytes).map_err(|e| e.to_string())
    }
}

/// What makes one list of another: `places` has, for each entry of the new one, its place in the old one, or its text.
pub fn pieces(places: impl Iterator<Item = Result<u32, String>>) -> Vec<ListPiece> {
    let mut pieces: Vec<ListPiece> = Vec::new();
    for place in places {
        match (place, pieces.last_mut()) {
            (Ok(at), Some(ListPiece::Old { from, count })) if *from + *count == at => *count += 1,
            (Ok(at), _) => pieces.push(ListPiece::Old { from: at, count: 1 }),
            (Err(text), _) => pieces.push(ListPiece::New(text)),
        }
    }
    pieces
}

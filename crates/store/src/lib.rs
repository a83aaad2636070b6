//! What outlasts a planner's process, in a folder: a snapshot by generation and a journal of what was accepted since.
//! Whatever is cut off, lost or reordered between two syncs, what was said to be kept is read back, once. Files are
//! versioned and checksummed; two generations are there at any time. Decides nothing about servers; [`Disk`] is the
//! only way to files.

pub mod accepted;
pub mod disk;
pub mod learned;

use disk::Disk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

/// The first bytes of every file.
const MAGIC: [u8; 4] = *b"RLST";
/// A frame larger than this was never written: twice the largest message that an edit may come in, and all of a
/// fleet of thousands of servers.
const FRAME_MOST: usize = 64 << 20;
/// Generations kept: the newest, and the one before in case the newest cannot be read.
const GENERATIONS: u64 = 2;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Written by a newer version: it would be lost if this one went on.
    #[error("{file} is of version {found}, and this program knows up to {known}")]
    Newer { file: String, found: u16, known: u16 },
    #[error("{file}: {reason}")]
    Unusable { file: String, reason: String },
    /// An earlier write failed, and what is on disk is not known: a snapshot has to come first.
    #[error("what was written last is not known to be on disk")]
    Unknown,
    /// A frame larger than can be read back.
    #[error("{0} bytes are more than one entry may have")]
    TooLarge(usize),
}

/// What a file is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum Part {
    State,
    Journal,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    part: Part,
    version: u16,
    generation: u64,
}

/// One step from a version to the next.
pub type Upgrade = fn(Vec<u8>) -> Result<Vec<u8>, String>;

/// Under which name things are kept, in which version, and how older ones are brought up: the first step is from
/// version 1 to 2, for the snapshot and for entries of the journal.
#[derive(Clone, Copy)]
pub struct Layout {
    pub name: &'static str,
    pub version: u16,
    pub upgrades: &'static [(Upgrade, Upgrade)],
    /// A journal longer than this is followed by a snapshot: read back well within a second.
    pub journal_most: usize,
}

/// What was read back.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OpenedState {
    pub state: Option<Vec<u8>>,
    /// Entries since the snapshot, oldest first.
    pub entries: Vec<Vec<u8>>,
    /// What was set aside or cut off, in words.
    pub notes: Vec<String>,
}

pub struct Store<D> {
    disk: D,
    layout: Layout,
    generation: u64,
    written: usize,
    /// Whether the journal's end is known: not before the first snapshot, nor after a write that failed.
    sound: bool,
}

/// A file as it was read: its head, its frames, and what of it could not be read.
struct Contents {
    head: Head,
    frames: Vec<Vec<u8>>,
    rest: usize,
}

fn frame(bytes: &[u8], out: &mut Vec<u8>) -> Result<(), StoreError> {
    if bytes.len() > FRAME_MOST {
        return Err(StoreError::TooLarge(bytes.len()));
    }
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    // Over the length too: a length that was cut off half written must not pass.
    out.extend_from_slice(&sum(bytes).to_le_bytes());
    out.extend_from_slice(bytes);
    Ok(())
}

fn sum(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(bytes.len() as u32).to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

/// The first frame, and where it ends; none: it is cut off or wrong.
fn unframe(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let number = |at: usize| bytes.get(at..at + 4).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]));
    let (length, check) = (number(0)? as usize, number(4)?);
    if length > FRAME_MOST {
        return None;
    }
    let body = bytes.get(8..8 + length)?;
    (sum(body) == check).then_some((body, 8 + length))
}

fn read(bytes: &[u8]) -> Option<Contents> {
    let mut rest = bytes.strip_prefix(&MAGIC)?;
    let (head, end) = unframe(rest)?;
    let head: Head = postcard::from_bytes(head).ok()?;
    rest = &rest[end..];
    let mut frames = Vec::new();
    while let Some((body, end)) = unframe(rest) {
        frames.push(body.to_vec());
        rest = &rest[end..];
    }
    Some(Contents { head, frames, rest: rest.len() })
}

fn begun(head: Head) -> Result<Vec<u8>, StoreError> {
    let mut out = MAGIC.to_vec();
    let unusable = |e: postcard::Error| StoreError::Unusable { file: "head".into(), reason: e.to_string() };
    frame(&postcard::to_stdvec(&head).map_err(unusable)?, &mut out)?;
    Ok(out)
}

impl<D: Disk> Store<D> {
    /// Reads back what is there. A snapshot must follow before anything is kept: nothing is ever written behind an
    /// end that may have been cut off.
    pub fn open(disk: D, layout: Layout) -> Result<(Store<D>, OpenedState), StoreError> {
        let mut store = Store { disk, layout, generation: 0, written: 0, sound: false };
        let opened = store.recover()?;
        Ok((store, opened))
    }

    fn file(&self, part: Part, generation: u64) -> String {
        let part = if part == Part::State { "state" } else { "journal" };
        format!("{}.{part}.{generation}", self.layout.name)
    }

    /// Files of this name, by generation.
    fn there(&self) -> Result<BTreeMap<(Part, u64), String>, StoreError> {
        let mut all = BTreeMap::new();
        for file in self.disk.list()? {
            let Some(rest) = file.strip_prefix(self.layout.name).and_then(|r| r.strip_prefix('.')) else {
                continue;
            };
            let Some((part, generation)) = rest.split_once('.') else { continue };
            let part = match part {
                "state" => Part::State,
                "journal" => Part::Journal,
                _ => continue,
            };
            if let Ok(generation) = generation.parse::<u64>() {
                all.insert((part, generation), file);
            }
        }
        Ok(all)
    }

    fn recover(&mut self) -> Result<OpenedState, StoreError> {
        let there = self.there()?;
        let mut opened = OpenedState::default();
        // The next snapshot's files are new, whatever was left of an earlier one.
        self.generation = there.keys().map(|(_, g)| *g).max().unwrap_or(0);
        let mut from = 0;
        let states = there.iter().rev().filter(|((part, _), _)| *part == Part::State);
        for ((_, generation), file) in states.map(|(k, f)| (*k, f.clone())).collect::<Vec<_>>() {
            match self.contents(&file, Part::State, generation)? {
                Some(mut contents) if contents.frames.len() == 1 && contents.rest == 0 => {
                    let state = contents.frames.remove(0);
                    opened.state = Some(self.upgraded(&file, contents.head.version, state, |u| u.0)?);
                    from = generation;
                    break;
                }
                _ => {
                    let aside = format!("{file}.broken");
                    self.disk.rename(&file, &aside)?;
                    opened.notes.push(format!("{file} is broken: set aside as {aside}"));
                }
            }
        }
        // What the broken newer snapshots had is in the journals since.
        for ((_, generation), file) in there.iter().filter(|((p, g), _)| *p == Part::Journal && *g >= from) {
            let Some(contents) = self.contents(file, Part::Journal, *generation)? else {
                opened.notes.push(format!("{file} was cut off before its first entry"));
                continue;
            };
            for entry in contents.frames {
                opened.entries.push(self.upgraded(file, contents.head.version, entry, |u| u.1)?);
            }
            if contents.rest > 0 {
                opened.notes.push(format!("{file}: {} bytes at its end were cut off", contents.rest));
            }
        }
        if opened.state.is_none() && from == 0 && there.keys().any(|(p, _)| *p == Part::State) {
            opened.notes.push("no snapshot could be read".into());
        }
        Ok(opened)
    }

    /// A file; none: broken from its beginning, or another's.
    fn contents(&self, file: &str, part: Part, generation: u64) -> Result<Option<Contents>, StoreError> {
        let Some(contents) = read(&self.disk.read(file)?) else { return Ok(None) };
        if contents.head.part != part || contents.head.generation != generation {
            return Ok(None);
        }
        if contents.head.version > self.layout.version {
            let (found, known) = (contents.head.version, self.layout.version);
            return Err(StoreError::Newer { file: file.into(), found, known });
        }
        Ok(Some(contents))
    }

    fn upgraded(
        &self,
        file: &str,
        version: u16,
        bytes: Vec<u8>,
        which: impl Fn(&(Upgrade, Upgrade)) -> Upgrade,
    ) -> Result<Vec<u8>, StoreError> {
        let steps = self.layout.upgrades.iter().skip(usize::from(version.max(1)) - 1);
        let step = |bytes, up| which(up)(bytes);
        let unusable = |reason| StoreError::Unusable { file: file.into(), reason };
        steps.take(usize::from(self.layout.version - version.max(1))).try_fold(bytes, step).map_err(unusable)
    }

    /// All that there is, in place of everything before; what comes after is entries. Once this returns it is there
    /// after a power cut; if it fails, what was there before is.
    pub fn snapshot(&mut self, state: &[u8]) -> Result<(), StoreError> {
        self.sound = false;
        let (version, generation) = (self.layout.version, self.generation + 1);
        // A number is never used again, be it that this fails half way.
        self.generation = generation;
        let (file, journal) = (self.file(Part::State, generation), self.file(Part::Journal, generation));
        let mut bytes = begun(Head { part: Part::State, version, generation })?;
        frame(state, &mut bytes)?;
        // The journal first: a snapshot that is there has one.
        self.disk.create(&journal)?;
        self.disk.append(&journal, &begun(Head { part: Part::Journal, version, generation })?)?;
        self.disk.sync(&journal)?;
        let beside = format!("{file}.new");
        self.disk.create(&beside)?;
        self.disk.append(&beside, &bytes)?;
        self.disk.sync(&beside)?;
        self.disk.rename(&beside, &file)?;
        self.disk.sync_folder()?;
        (self.written, self.sound) = (0, true);
        // What cannot be removed is in nobody's way.
        let _ = self.prune();
        Ok(())
    }

    /// Keeps entries; once this returns they are there after a power cut. If it fails, whether they are is not known,
    /// and nothing more can be kept before the next snapshot.
    pub fn append(&mut self, entries: &[Vec<u8>]) -> Result<(), StoreError> {
        if !self.sound {
            return Err(StoreError::Unknown);
        }
        let mut bytes = Vec::new();
        entries.iter().try_for_each(|entry| frame(entry, &mut bytes))?;
        let journal = self.file(Part::Journal, self.generation);
        self.sound = false;
        self.disk.append(&journal, &bytes)?;
        self.disk.sync(&journal)?;
        self.sound = true;
        self.written += bytes.len();
        Ok(())
    }

    pub fn wants_snapshot(&self) -> bool {
        !self.sound || self.written > self.layout.journal_most
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Removes all but the newest generations, and what was left half made. Gives the files' names.
    pub fn prune(&mut self) -> Result<Vec<String>, StoreError> {
        let there = self.there()?;
        let mut snapshots: Vec<u64> =
            there.keys().filter(|(p, _)| *p == Part::State).map(|(_, g)| *g).collect();
        snapshots.sort_unstable();
        let keep = snapshots.iter().rev().take(GENERATIONS as usize).min().copied().unwrap_or(0);
        let old = there.iter().filter(|((_, g), _)| *g < keep).map(|(_, f)| f.clone());
        let prefix = format!("{}.", self.layout.name);
        let half = self.disk.list()?.into_iter().filter(|f| f.starts_with(&prefix) && f.ends_with(".new"));
        let gone: Vec<String> = old.chain(half).collect();
        gone.iter().try_for_each(|file| self.disk.remove(file))?;
        Ok(gone)
    }

    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }
}

/// One file as it is, for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileDescription {
    pub file: String,
    pub bytes: usize,
    /// Version, generation and number of entries; none: it cannot be read.
    pub head: Option<(u16, u64, usize)>,
    /// Bytes at the end that are no whole entry.
    pub rest: usize,
}

/// All files of the store's form in a folder.
pub fn describe(disk: &impl Disk) -> Result<Vec<FileDescription>, StoreError> {
    let mut all = Vec::new();
    for file in disk.list()? {
        if !file.contains(".state.") && !file.contains(".journal.") {
            continue;
        }
        let bytes = disk.read(&file)?;
        let contents = read(&bytes);
        let head = contents.as_ref().map(|c| (c.head.version, c.head.generation, c.frames.len()));
        let rest = contents.map_or(bytes.len(), |c| c.rest);
        all.push(FileDescription { file, bytes: bytes.len(), head, rest });
    }
    Ok(all)
}

#[cfg(test)]
mod tests;

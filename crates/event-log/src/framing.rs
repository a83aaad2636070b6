//! Frames: length, checksum, payload. Free of I/O.

use crate::entry::{Entry, OLDEST, VERSION};

/// What a journal begins with, the schema's version behind it.
const MAGIC: &[u8; 8] = b"runlrec\n";
/// A frame larger than this is none: the largest turn, 592 whole tables, takes some 2 MB.
const FRAME_MOST: usize = 16 << 20;

/// The head of a journal.
pub fn head() -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    out
}

/// Adds one entry to a buffer.
pub fn push(entry: &Entry, out: &mut Vec<u8>) -> Result<(), postcard::Error> {
    let from = out.len();
    out.extend_from_slice(&[0; 8]);
    if let Err(e) = postcard::to_io(entry, &mut *out) {
        out.truncate(from);
        return Err(e);
    }
    let (length, sum) = ((out.len() - from - 8) as u32, crc32fast::hash(&out[from + 8..]));
    out[from..from + 4].copy_from_slice(&length.to_le_bytes());
    out[from + 4..from + 8].copy_from_slice(&sum.to_le_bytes());
    Ok(())
}

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Unreadable {
    #[error("it is no journal")]
    NoJournal,
    #[error("its version is {0}, this build reads {OLDEST} to {VERSION}")]
    Version(u32),
}

/// What a journal holds.
#[derive(Debug, Default, PartialEq)]
pub struct Read {
    pub entries: Vec<Entry>,
    /// Bytes that are whole frames, the head with them.
    pub whole: usize,
    /// Bytes behind them: a frame that was not finished, or one that does not check.
    pub torn: usize,
}

fn number(bytes: &[u8]) -> usize {
    bytes.iter().rev().fold(0, |n, b| n << 8 | usize::from(*b))
}

/// Reads a journal up to its end, or to the first frame that is not whole.
pub fn read(bytes: &[u8]) -> Result<Read, Unreadable> {
    let head = head();
    if bytes.len() < head.len() {
        // Killed while the head was written: nothing was recorded.
        return if head.starts_with(bytes) || bytes.starts_with(MAGIC) {
            Ok(Read { torn: bytes.len(), ..Read::default() })
        } else {
            Err(Unreadable::NoJournal)
        };
    }
    if &bytes[..8] != MAGIC {
        return Err(Unreadable::NoJournal);
    }
    let version = number(&bytes[8..12]) as u32;
    if !(OLDEST..=VERSION).contains(&version) {
        return Err(Unreadable::Version(version));
    }
    let mut read = Read { whole: head.len(), ..Read::default() };
    while let Some((size, sum)) =
        bytes.get(read.whole..read.whole + 8).map(|h| (number(&h[..4]), number(&h[4..])))
    {
        let from = read.whole + 8;
        let Some(payload) = (size <= FRAME_MOST).then(|| bytes.get(from..from + size)).flatten() else {
            break;
        };
        if crc32fast::hash(payload) as usize != sum {
            break;
        }
        let Ok(entry) = postcard::from_bytes(payload) else { break };
        read.entries.push(entry);
        read.whole = from + size;
    }
    read.torn = bytes.len() - read.whole;
    Ok(read)
}

//! Framing: a frame is a little-endian length of four bytes, followed by a body of that length, one JSON object.

use serde::de::IgnoredAny;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt;

/// The protocol's limit on the length of a message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The limit on the length of a message until its connection has identified itself, bytes: the first message is small,
/// and hundreds of unidentified connections must not exhaust the memory.
pub const MAX_FIRST_MESSAGE_BYTES: usize = 4 << 10;
/// The shortest JSON object, bytes.
const MIN_MESSAGE_BYTES: usize = 2;
/// Bytes of the length prefix.
const LENGTH_BYTES: usize = 4;
/// Buffer capacity that is kept between messages, bytes; the memory that a longer message took beyond it is released.
const RETAINED_CAPACITY: usize = 4 << 10;

/// Why a connection's bytes cannot be split into frames any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The length is below the shortest message or above the limit.
    InvalidLength,
    /// The body is not a JSON object.
    InvalidBody,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FrameError::InvalidLength => "frame length is out of range",
            FrameError::InvalidBody => "frame body is not a JSON object",
        })
    }
}

impl std::error::Error for FrameError {}

/// Splits a byte stream into messages; the received segments may end anywhere.
#[derive(Debug)]
pub struct FrameReader {
    input: Vec<u8>,
    consumed: usize,
    max_bytes: usize,
}

impl FrameReader {
    /// A reader that rejects messages longer than `max_bytes`.
    pub fn new(max_bytes: usize) -> FrameReader {
        FrameReader { input: Vec::new(), consumed: 0, max_bytes }
    }

    /// Changes the length limit for the messages that follow.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// The number of received bytes that are not part of a returned message.
    pub fn buffered(&self) -> usize {
        self.input.len() - self.consumed
    }

    /// Removes and returns the next message; `None` while it is incomplete.
    pub fn next_message(&mut self) -> Result<Option<Value>, FrameError> {
        let rest = &self.input[self.consumed..];
        let Some(prefix) = rest.first_chunk::<LENGTH_BYTES>() else {
            self.compact();
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if !(MIN_MESSAGE_BYTES..=self.max_bytes).contains(&length) {
            return Err(FrameError::InvalidLength);
        }
        let Some(body) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            self.compact();
            return Ok(None);
        };
        let message = parse_object(body);
        self.consumed += LENGTH_BYTES + length;
        message.map(Some).ok_or(FrameError::InvalidBody)
    }

    fn compact(&mut self) {
        self.input.drain(..self.consumed);
        self.consumed = 0;
        if self.input.len() < RETAINED_CAPACITY && self.input.capacity() > RETAINED_CAPACITY {
            self.input.shrink_to(RETAINED_CAPACITY);
        }
    }
}

/// Parses a message's body.
///
/// A number outside the range of `f64` makes one field invalid and must not end the connection: such a message is
/// returned as an object without fields, which [`crate::message::parse`] rejects as malformed.
fn parse_object(body: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(body).ok()?;
    let without_numbers = || serde_json::from_str::<BTreeMap<String, IgnoredAny>>(text).map(|_| json!({}));
    serde_json::from_str(text).or_else(|_| without_numbers()).ok().filter(Value::is_object)
}

/// Appends a frame with this body to `out`.
pub fn write_frame(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(body);
}

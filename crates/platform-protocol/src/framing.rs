//! Messages on a connection: a length of four bytes, the least first, and so many bytes of one JSON object.

use serde::de::IgnoredAny;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The protocol's own bound of a message.
pub const MESSAGE_MOST: usize = 1 << 20;
/// A first message is a joining or a sign of life, a hundred bytes or so. Who announces more before it has
/// joined is none of the platform's, and is not to fill memory that hundreds of them would add up to.
pub const FIRST_MOST: usize = 4 << 10;
/// The shortest object there is.
const MESSAGE_LEAST: usize = 2;
const HEAD: usize = 4;
/// Room that is kept for the next bytes; what a long message took beyond it is given back.
const KEPT: usize = 4 << 10;

/// Why a connection can't be read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// A length that can't be.
    Length,
    /// Not a JSON object.
    Body,
}

/// Reads messages out of bytes, however they are split.
#[derive(Debug)]
pub struct Reader {
    input: Vec<u8>,
    from: usize,
    most: usize,
}

impl Reader {
    pub fn new(most: usize) -> Reader {
        Reader { input: Vec::new(), from: 0, most }
    }

    /// Takes messages up to so many bytes from now on.
    pub fn allow(&mut self, most: usize) {
        self.most = most;
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Bytes of a message that is not whole yet.
    pub fn held(&self) -> usize {
        self.input.len() - self.from
    }

    /// The next whole message; `None`: it is not here yet.
    pub fn next_message(&mut self) -> Result<Option<Value>, Unreadable> {
        let rest = &self.input[self.from..];
        let Some(head) = rest.first_chunk::<HEAD>() else {
            self.tidy();
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if !(MESSAGE_LEAST..=self.most).contains(&length) {
            return Err(Unreadable::Length);
        }
        let Some(body) = rest.get(HEAD..HEAD + length) else {
            self.tidy();
            return Ok(None);
        };
        let message = object(body);
        self.from += HEAD + length;
        message.map(Some).ok_or(Unreadable::Body)
    }

    fn tidy(&mut self) {
        self.input.drain(..self.from);
        self.from = 0;
        if self.input.len() < KEPT && self.input.capacity() > KEPT {
            self.input.shrink_to(KEPT);
        }
    }
}

/// A message's body. A figure past what a number can hold is a field out of range, and not the end of the
/// connection: such a message comes as an object without fields, which the next judge takes for spoilt.
fn object(body: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(body).ok()?;
    let too_large = || serde_json::from_str::<BTreeMap<String, IgnoredAny>>(text).map(|_| json!({}));
    serde_json::from_str(text).or_else(|_| too_large()).ok().filter(Value::is_object)
}

/// Appends a message to what is to be written.
pub fn write(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(body);
}

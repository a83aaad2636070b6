//! The two framings of RFC 6242: end-of-message, used for `<hello>` and base:1.0, and chunked.

use std::error::Error;
use std::fmt;

/// End-of-message framing, section 4.3.
const END_OF_MESSAGE: &[u8] = b"]]>]]>";
/// Chunked framing, section 4.2: each chunk's header starts with this.
const CHUNK_START: &[u8] = b"\n#";
/// Digits of a chunk's size: section 4.2 allows up to 4,294,967,295.
const MAX_SIZE_DIGITS: usize = 10;

/// Why the stream cannot be read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// A message is larger than the limit.
    MessageTooLarge,
    /// A chunk's header is malformed.
    MalformedChunkHeader,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FramingError::MessageTooLarge => "a message is larger than allowed",
            FramingError::MalformedChunkHeader => "a chunk's head is malformed",
        })
    }
}

impl Error for FramingError {}

/// Where in a chunked message the stream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkPosition {
    /// Before a chunk's header, or within it.
    Header,
    /// Within a chunk of which this many bytes are still to come.
    Data(usize),
}

/// Splits a stream of bytes into messages. It holds one unfinished message, and what was pushed behind it.
#[derive(Debug)]
pub struct Deframer {
    is_chunked: bool,
    max_message_bytes: usize,
    input: Vec<u8>,
    /// Bytes of `input` that were searched for the end of a message.
    searched: usize,
    message: Vec<u8>,
    position: ChunkPosition,
}

impl Deframer {
    /// A deframer that starts with end-of-message framing, as every session does.
    pub fn new(max_message_bytes: usize) -> Self {
        Deframer {
            is_chunked: false,
            max_message_bytes,
            input: vec![],
            searched: 0,
            message: vec![],
            position: ChunkPosition::Header,
        }
    }

    /// Switches to chunked framing from the next message on.
    pub fn use_chunked_framing(&mut self) {
        self.is_chunked = true;
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Bytes that it holds.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() + self.message.len()
    }

    /// The next complete message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.is_chunked {
            self.next_chunked_message()
        } else {
            self.next_delimited_message()
        }
    }

    fn next_delimited_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        // The delimiter may have come in two pieces.
        let start = self.searched.saturating_sub(END_OF_MESSAGE.len() - 1);
        let mut windows = self.input[start..].windows(END_OF_MESSAGE.len());
        let Some(offset) = windows.position(|window| window == END_OF_MESSAGE) else {
            self.searched = self.input.len();
            let is_too_big = self.input.len() > self.max_message_bytes + END_OF_MESSAGE.len();
            return if is_too_big { Err(FramingError::MessageTooLarge) } else { Ok(None) };
        };
        let end = start + offset;
        let rest = self.input.split_off(end + END_OF_MESSAGE.len());
        let mut message = std::mem::replace(&mut self.input, rest);
        message.truncate(end);
        self.searched = 0;
        if message.len() > self.max_message_bytes {
            return Err(FramingError::MessageTooLarge);
        }
        Ok(Some(message))
    }

    fn next_chunked_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let mut used = 0;
        let message = loop {
            match self.position {
                ChunkPosition::Data(remaining) => {
                    used += self.take_data(used, remaining)?;
                    if self.position != ChunkPosition::Header {
                        break None;
                    }
                }
                ChunkPosition::Header => match parse_header(&self.input[used..])? {
                    None => break None,
                    Some(header) => {
                        used += header.length;
                        match header.size {
                            Some(size) => self.position = ChunkPosition::Data(size),
                            None => break Some(std::mem::take(&mut self.message)),
                        }
                    }
                },
            }
        };
        self.input.drain(..used);
        Ok(message)
    }

    /// Adds what there is of a chunk's data, from offset `start` of the input, to the message. Returns how much it was.
    fn take_data(&mut self, start: usize, remaining: usize) -> Result<usize, FramingError> {
        let available = &self.input[start..];
        let taken = remaining.min(available.len());
        if self.message.len() + taken > self.max_message_bytes {
            return Err(FramingError::MessageTooLarge);
        }
        self.message.extend_from_slice(&available[..taken]);
        self.position = match remaining - taken {
            0 => ChunkPosition::Header,
            remaining => ChunkPosition::Data(remaining),
        };
        Ok(taken)
    }
}

/// A chunk's header.
struct ChunkHeader {
    /// Bytes of the header itself.
    length: usize,
    /// Bytes of the chunk; `None`: the message ends here.
    size: Option<usize>,
}

/// Reads the header at the front of `bytes`; `None`: it is not complete yet.
fn parse_header(bytes: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
    let available = bytes.len().min(CHUNK_START.len());
    if bytes[..available] != CHUNK_START[..available] {
        return Err(FramingError::MalformedChunkHeader);
    }
    let rest = &bytes[available..];
    match rest {
        [] => Ok(None),
        [b'#', rest @ ..] => parse_end_of_chunks(rest),
        [b'0', ..] => Err(FramingError::MalformedChunkHeader),
        _ => parse_chunk_size(rest),
    }
}

/// Reads what follows `\n##`.
fn parse_end_of_chunks(rest: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
    match rest {
        [] => Ok(None),
        [b'\n', ..] => Ok(Some(ChunkHeader { length: CHUNK_START.len() + 2, size: None })),
        _ => Err(FramingError::MalformedChunkHeader),
    }
}

/// Reads the size that follows `\n#`, and the line's end.
fn parse_chunk_size(rest: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > MAX_SIZE_DIGITS {
        return Err(FramingError::MalformedChunkHeader);
    }
    match rest.get(digits) {
        None => Ok(None),
        Some(b'\n') if digits > 0 => {
            let text =
                std::str::from_utf8(&rest[..digits]).map_err(|_| FramingError::MalformedChunkHeader)?;
            let size: u32 = text.parse().map_err(|_| FramingError::MalformedChunkHeader)?;
            Ok(Some(ChunkHeader { length: CHUNK_START.len() + digits + 1, size: Some(size as usize) }))
        }
        Some(_) => Err(FramingError::MalformedChunkHeader),
    }
}

/// Appends a framed message to `out`.
pub fn frame(message: &str, is_chunked: bool, out: &mut Vec<u8>) {
    if is_chunked {
        out.extend_from_slice(format!("\n#{}\n", message.len()).as_bytes());
        out.extend_from_slice(message.as_bytes());
        out.extend_from_slice(b"\n##\n");
    } else {
        out.extend_from_slice(message.as_bytes());
        out.extend_from_slice(END_OF_MESSAGE);
    }
}

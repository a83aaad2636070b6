//! The two framings of RFC 6242: end-of-message framing for `<hello>` and base:1.0, and chunked framing for base:1.1.

use std::error::Error;
use std::fmt;

/// The delimiter of end-of-message framing (section 4.3).
const END_OF_MESSAGE: &[u8] = b"]]>]]>";
/// The start of each chunk header in chunked framing (section 4.2).
const CHUNK_START: &[u8] = b"\n#";
/// Maximum number of digits of a chunk size: section 4.2 allows up to 4,294,967,295.
const MAX_SIZE_DIGITS: usize = 10;

/// Why no further message can be read from the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// A message exceeds the size limit.
    MessageTooLarge,
    /// A chunk header is malformed.
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

/// The read position within a chunked message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkPosition {
    /// Before or within a chunk header.
    Header,
    /// Within a chunk's data, with this many bytes of it still to read.
    Data(usize),
}

/// Splits a byte stream into messages. It buffers one incomplete message and the bytes pushed after it.
#[derive(Debug)]
pub struct Deframer {
    is_chunked: bool,
    max_message_bytes: usize,
    input: Vec<u8>,
    /// Number of bytes of `input` already searched for the end-of-message delimiter.
    searched: usize,
    message: Vec<u8>,
    position: ChunkPosition,
}

impl Deframer {
    /// Creates a deframer that starts with end-of-message framing, as every session does.
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

    /// Switches to chunked framing, starting with the next message.
    pub fn use_chunked_framing(&mut self) {
        self.is_chunked = true;
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Number of buffered bytes, including the data of an incomplete chunked message.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() + self.message.len()
    }

    /// Removes and returns the next complete message; `None` if more bytes are needed.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.is_chunked {
            self.next_chunked_message()
        } else {
            self.next_delimited_message()
        }
    }

    fn next_delimited_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        // The delimiter may be split between two reads.
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

    /// Moves the available data of the current chunk, from offset `start` of the input, to the message. Returns the
    /// number of bytes moved.
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

/// A parsed chunk header, or the end-of-chunks marker.
struct ChunkHeader {
    /// Length of the header itself in bytes.
    length: usize,
    /// Size of the chunk in bytes; `None` for the end-of-chunks marker.
    size: Option<usize>,
}

/// Parses the header at the start of `bytes`; `None` if it is incomplete.
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

/// Parses the rest of an end-of-chunks marker, which follows `\n##`.
fn parse_end_of_chunks(rest: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
    match rest {
        [] => Ok(None),
        [b'\n', ..] => Ok(Some(ChunkHeader { length: CHUNK_START.len() + 2, size: None })),
        _ => Err(FramingError::MalformedChunkHeader),
    }
}

/// Parses the chunk size that follows `\n#`, and the newline after it.
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

/// Appends a message to `out` with chunked or end-of-message framing.
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

//! The two framings of RFC 6242: the end-of-message mark, used for `<hello>` and base:1.0, and chunks.

const END: &[u8] = b"]]>]]>";
/// Digits of a chunk's size: RFC 6242 allows 4,294,967,295.
const DIGITS_MOST: usize = 10;

/// Why the stream can't be followed any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// A message is larger than the limit.
    TooBig,
    /// What should be a chunk's head is none.
    BadChunk,
}

impl std::fmt::Display for FramingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            FramingError::TooBig => "a message is larger than allowed",
            FramingError::BadChunk => "a chunk's head is malformed",
        })
    }
}

impl std::error::Error for FramingError {}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Before a chunk's head, or within it.
    Head,
    /// Within a chunk, with so many bytes to come.
    Body(usize),
}

/// Cuts a stream of bytes into messages. It holds one unfinished message of at most `most` bytes, and what
/// was pushed behind it.
#[derive(Debug)]
pub struct Deframer {
    chunked: bool,
    most: usize,
    input: Vec<u8>,
    /// How far `input` was looked through, and used up.
    seen: usize,
    message: Vec<u8>,
    place: Place,
}

impl Deframer {
    /// One that starts with the end-of-message mark, as every session does.
    pub fn new(most: usize) -> Self {
        let (input, message) = (Vec::new(), Vec::new());
        Deframer { chunked: false, most, input, seen: 0, message, place: Place::Head }
    }

    /// From the next message on, chunks.
    pub fn chunk(&mut self) {
        self.chunked = true;
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Bytes held at the moment.
    pub fn held(&self) -> usize {
        self.input.len() + self.message.len()
    }

    /// The next whole message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.chunked {
            self.by_chunks()
        } else {
            self.by_mark()
        }
    }

    fn by_mark(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let from = self.seen.saturating_sub(END.len() - 1);
        if let Some(place) = self.input[from..].windows(END.len()).position(|w| w == END) {
            let rest = self.input.split_off(from + place + END.len());
            let mut message = std::mem::replace(&mut self.input, rest);
            message.truncate(from + place);
            self.seen = 0;
            return if message.len() > self.most { Err(FramingError::TooBig) } else { Ok(Some(message)) };
        }
        self.seen = self.input.len();
        if self.input.len() > self.most + END.len() {
            return Err(FramingError::TooBig);
        }
        Ok(None)
    }

    fn by_chunks(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let mut used = 0;
        let found = loop {
            let rest = &self.input[used..];
            match self.place {
                Place::Body(left) => {
                    let part = left.min(rest.len());
                    if self.message.len() + part > self.most {
                        return Err(FramingError::TooBig);
                    }
                    self.message.extend_from_slice(&rest[..part]);
                    used += part;
                    if part < left {
                        self.place = Place::Body(left - part);
                        break None;
                    }
                    self.place = Place::Head;
                }
                Place::Head => match head(rest)? {
                    None => break None,
                    Some((length, None)) => {
                        used += length;
                        break Some(std::mem::take(&mut self.message));
                    }
                    Some((length, Some(size))) => {
                        used += length;
                        self.place = Place::Body(size);
                    }
                },
            }
        };
        self.input.drain(..used);
        Ok(found)
    }
}

/// A chunk's head at the front of `bytes`: its length, and the size it tells, `None` for the last one.
fn head(bytes: &[u8]) -> Result<Option<(usize, Option<usize>)>, FramingError> {
    for (k, want) in b"\n#".iter().enumerate() {
        match bytes.get(k) {
            None => return Ok(None),
            Some(byte) if byte != want => return Err(FramingError::BadChunk),
            Some(_) => {}
        }
    }
    if bytes.get(2) == Some(&b'#') {
        return match bytes.get(3) {
            None => Ok(None),
            Some(b'\n') => Ok(Some((4, None))),
            Some(_) => Err(FramingError::BadChunk),
        };
    }
    let digits = bytes[2..].iter().take_while(|b| b.is_ascii_digit()).count();
    if digits > DIGITS_MOST || bytes.get(2) == Some(&b'0') {
        return Err(FramingError::BadChunk);
    }
    match bytes.get(2 + digits) {
        None => Ok(None),
        Some(b'\n') if digits > 0 => {
            let text = std::str::from_utf8(&bytes[2..2 + digits]).map_err(|_| FramingError::BadChunk)?;
            let size: u64 = text.parse().map_err(|_| FramingError::BadChunk)?;
            if size > u64::from(u32::MAX) {
                return Err(FramingError::BadChunk);
            }
            Ok(Some((3 + digits, Some(size as usize))))
        }
        Some(_) => Err(FramingError::BadChunk),
    }
}

/// Frames one message.
pub fn frame(message: &str, chunked: bool, out: &mut Vec<u8>) {
    if chunked {
        out.extend_from_slice(format!("\n#{}\n", message.len()).as_bytes());
        out.extend_from_slice(message.as_bytes());
        out.extend_from_slice(b"\n##\n");
    } else {
        out.extend_from_slice(message.as_bytes());
        out.extend_from_slice(END);
    }
}

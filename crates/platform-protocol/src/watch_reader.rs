//! Splits an HTTP/1.1 response of the discovery agent, chunked or not, into lines.

use std::fmt;
use std::ops::Range;

/// Maximum length of a response head, bytes; a usual one has a few hundred.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum length of a line and of a chunk, bytes; a line has some hundred bytes for each server.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum length of a chunk's size line with its extensions, bytes.
const MAX_CHUNK_HEADER_BYTES: usize = 64;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;
const LINE_END: &[u8] = b"\r\n";

/// A response, line or list entry of the endpoint watch is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedWatchData;

impl fmt::Display for MalformedWatchData {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("malformed data from the endpoint watch")
    }
}

impl std::error::Error for MalformedWatchData {}

/// Parser state: the part of the response that comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Head,
    ChunkSize,
    /// The remaining bytes of a chunk, this many.
    ChunkData(usize),
    /// The line end after a chunk's data.
    ChunkEnd,
    /// A body without chunked encoding, which ends with the connection.
    PlainBody,
    Complete,
}

/// The result of one parsing step.
struct Progress {
    /// The number of bytes consumed.
    consumed: usize,
    /// The state after the step.
    next: State,
    /// The range of the consumed bytes that are part of lines.
    data: Range<usize>,
}

impl Progress {
    fn without_data(consumed: usize, next: State) -> Progress {
        Progress { consumed, next, data: 0..0 }
    }
}

/// Splits one response into lines; the received segments may end anywhere.
#[derive(Debug)]
pub struct WatchReader {
    state: State,
    input: Vec<u8>,
    line: Vec<u8>,
}

impl Default for WatchReader {
    fn default() -> Self {
        WatchReader { state: State::Head, input: Vec::new(), line: Vec::new() }
    }
}

impl WatchReader {
    /// Appends received bytes and returns the lines that they complete, with their line ends and including empty ones.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, MalformedWatchData> {
        self.input.extend_from_slice(bytes);
        let mut lines = Vec::new();
        let mut consumed = 0;
        while let Some(progress) = self.parse(&self.input[consumed..])? {
            for segment in self.input[consumed..][progress.data].split_inclusive(|byte| *byte == b'\n') {
                self.line.extend_from_slice(segment);
                if self.line.last() == Some(&b'\n') {
                    lines.push(std::mem::take(&mut self.line));
                }
            }
            if self.line.len() > MAX_LINE_BYTES {
                return Err(MalformedWatchData);
            }
            consumed += progress.consumed;
            self.state = progress.next;
        }
        self.input.drain(..consumed);
        Ok(lines)
    }

    /// Whether the last chunk was received. A response without chunked encoding is never complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Performs one parsing step; `None` if it needs more bytes.
    fn parse(&self, rest: &[u8]) -> Result<Option<Progress>, MalformedWatchData> {
        match self.state {
            State::Head => parse_head(rest),
            State::Complete => Ok(None),
            _ if rest.is_empty() => Ok(None),
            State::ChunkSize => parse_chunk_size(rest),
            State::ChunkData(size) => {
                let consumed = size.min(rest.len());
                let next = if consumed == size { State::ChunkEnd } else { State::ChunkData(size - consumed) };
                Ok(Some(Progress { consumed, next, data: 0..consumed }))
            }
            State::ChunkEnd if rest.len() < LINE_END.len() => Ok(None),
            State::ChunkEnd if rest.starts_with(LINE_END) => {
                Ok(Some(Progress::without_data(LINE_END.len(), State::ChunkSize)))
            }
            State::ChunkEnd => Err(MalformedWatchData),
            State::PlainBody => {
                Ok(Some(Progress { consumed: rest.len(), next: State::PlainBody, data: 0..rest.len() }))
            }
        }
    }
}

fn parse_head(rest: &[u8]) -> Result<Option<Progress>, MalformedWatchData> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(rest).map_err(|_| MalformedWatchData)? {
        httparse::Status::Partial if rest.len() > MAX_HEAD_BYTES => Err(MalformedWatchData),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(_) if response.code != Some(200) => Err(MalformedWatchData),
        httparse::Status::Complete(consumed) => {
            let next = if is_chunked(response.headers) { State::ChunkSize } else { State::PlainBody };
            Ok(Some(Progress::without_data(consumed, next)))
        }
    }
}

fn is_chunked(headers: &[httparse::Header]) -> bool {
    headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding") && header.value.eq_ignore_ascii_case(b"chunked")
    })
}

fn parse_chunk_size(rest: &[u8]) -> Result<Option<Progress>, MalformedWatchData> {
    match httparse::parse_chunk_size(rest).map_err(|_| MalformedWatchData)? {
        httparse::Status::Partial if rest.len() > MAX_CHUNK_HEADER_BYTES => Err(MalformedWatchData),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete((consumed, 0)) => {
            Ok(Some(Progress::without_data(consumed, State::Complete)))
        }
        httparse::Status::Complete((_, size)) if size > MAX_LINE_BYTES as u64 => Err(MalformedWatchData),
        httparse::Status::Complete((consumed, size)) => {
            Ok(Some(Progress::without_data(consumed, State::ChunkData(size as usize))))
        }
    }
}

//! HTTP/1.1 messages with a `content-length` (RFC 9112), without I/O, as far as proxies, health checks and the metrics
//! endpoint need them.

/// Longest accepted head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Longest accepted body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Most headers of an accepted message.
const MAX_HEADERS: usize = 48;
/// Most numbers read from one header; further ones are ignored.
const MAX_HEADER_NUMBERS: usize = 4;
/// Headers that apply to one connection and are not forwarded (RFC 9110, section 7.6.1), and the content length, which
/// is computed from the body.
const HOP_BY_HOP_HEADERS: [&str; 4] = ["connection", "content-length", "keep-alive", "transfer-encoding"];

/// A header: its name in lower case, and its value.
pub type Header = (String, String);

/// A request or a response.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Message {
    /// A request's method; empty in a response.
    pub method: String,
    /// A request's path; empty in a response.
    pub path: String,
    /// A response's status code; 0 in a request.
    pub code: u16,
    /// Its headers.
    pub headers: Vec<Header>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the sender closes the connection after it.
    pub close: bool,
}

/// Why a message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// It is not valid HTTP/1.1.
    #[error("the HTTP message is malformed: its head cannot be parsed, or its content-length is invalid or ambiguous")]
    Malformed,
    /// Its head or its body is too long.
    #[error("the HTTP message is too long: its head or its body exceeds the limit")]
    TooLarge,
    /// It has a transfer encoding; only bodies with a length are supported.
    #[error("the HTTP message has a transfer encoding; only bodies with a content-length are supported")]
    LengthRequired,
}

impl Message {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// The comma-separated numbers in a header; NaN for a value that is not a number.
    pub fn numbers(&self, name: &str) -> Vec<f64> {
        let values = self.header(name).unwrap_or_default().split(',').filter(|value| !value.is_empty());
        let number = |value: &str| value.trim().parse().unwrap_or(f64::NAN);
        values.take(MAX_HEADER_NUMBERS).map(number).collect()
    }

    /// The length of the body. Differing content lengths are rejected, since they allow request smuggling (RFC 9112,
    /// section 11.2).
    fn body_length(&self) -> Result<usize, HttpError> {
        if self.header("transfer-encoding").is_some() {
            return Err(HttpError::LengthRequired);
        }
        let lengths = self.headers.iter().filter(|(name, _)| name == "content-length");
        let mut lengths = lengths.map(|(_, value)| value.as_str());
        let Some(length) = lengths.next() else { return Ok(0) };
        if lengths.any(|other| other != length) {
            return Err(HttpError::Malformed);
        }
        length.parse().map_err(|_| HttpError::Malformed)
    }
}

/// The kind of message that a reader reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// Reads requests or responses from a stream of bytes.
#[derive(Debug)]
pub struct MessageReader {
    kind: MessageKind,
    input: Vec<u8>,
}

/// A parsed head, and its length in bytes.
struct Head {
    message: Message,
    length: usize,
}

impl MessageReader {
    /// A reader of requests.
    pub fn requests() -> MessageReader {
        MessageReader { kind: MessageKind::Request, input: vec![] }
    }

    /// A reader of responses.
    pub fn responses() -> MessageReader {
        MessageReader { kind: MessageKind::Response, input: vec![] }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Number of received bytes that no returned message includes.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len()
    }

    /// The next complete message, if there is one. After an error the stream cannot be read any further.
    pub fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        let Some(Head { mut message, length: head_length }) = self.parse_head()? else {
            return if self.input.len() > MAX_HEAD_BYTES { Err(HttpError::TooLarge) } else { Ok(None) };
        };
        let body_length = message.body_length()?;
        if body_length > MAX_BODY_BYTES || head_length > MAX_HEAD_BYTES {
            return Err(HttpError::TooLarge);
        }
        let end = head_length + body_length;
        if self.input.len() < end {
            return Ok(None);
        }
        message.close = message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        message.body = self.input[head_length..end].to_vec();
        self.input.drain(..end);
        Ok(Some(message))
    }

    /// Parses the head, if it is complete.
    fn parse_head(&self) -> Result<Option<Head>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut message = Message::default();
        let status = match self.kind {
            MessageKind::Response => {
                let mut response = httparse::Response::new(&mut headers);
                let status = response.parse(&self.input).map_err(|_| HttpError::Malformed)?;
                message.code = response.code.unwrap_or(0);
                message.headers = owned_headers(response.headers);
                status
            }
            MessageKind::Request => {
                let mut request = httparse::Request::new(&mut headers);
                let status = request.parse(&self.input).map_err(|_| HttpError::Malformed)?;
                message.method = request.method.unwrap_or_default().to_string();
                message.path = request.path.unwrap_or_default().to_string();
                message.headers = owned_headers(request.headers);
                status
            }
        };
        match status {
            httparse::Status::Complete(length) => Ok(Some(Head { message, length })),
            httparse::Status::Partial => Ok(None),
        }
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<Header> {
    let owned = |header: &httparse::Header| {
        (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).into_owned())
    };
    headers.iter().map(owned).collect()
}

/// Writes the headers without the hop-by-hop ones, the content length, and the body.
fn write_headers_and_body(headers: &[Header], body: &[u8], out: &mut Vec<u8>) {
    for (name, value) in headers.iter().filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str())) {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

/// Serializes a request for forwarding: hop-by-hop headers are left out.
pub fn serialize_request(request: &Message) -> Vec<u8> {
    let mut out = format!("{} {} HTTP/1.1\r\n", request.method, request.path).into_bytes();
    write_headers_and_body(&request.headers, &request.body, &mut out);
    out
}

/// Serializes a response, without hop-by-hop headers.
pub fn serialize_response(code: u16, headers: &[Header], body: &[u8]) -> Vec<u8> {
    let reason = match code {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    };
    let mut out = format!("HTTP/1.1 {code} {reason}\r\n").into_bytes();
    write_headers_and_body(headers, body, &mut out);
    out
}

//! HTTP/1.1 heads and bodies with a length, free of I/O; enough for a plain proxy and a probe.

/// A head larger than this is refused: twice what any client here sends.
pub const HEAD_MOST: usize = 16 << 10;
/// A body larger than this is refused: queries and answers are small.
pub const BODY_MOST: usize = 1 << 20;

/// A message: its first line's parts, its headers, its body.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Message {
    /// A query's method and path; empty in an answer.
    pub method: String,
    pub path: String,
    /// An answer's code; 0 in a query.
    pub code: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The connection is closed behind it.
    pub close: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bad {
    Malformed,
    TooBig,
    /// Bodies without a length are not taken.
    NoLength,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Numbers in a header, separated by commas; what is none reads as NaN.
    pub fn numbers(&self, name: &str) -> Vec<f64> {
        let text = self.header(name).unwrap_or_default();
        text.split(',')
            .filter(|t| !t.is_empty())
            .take(4)
            .map(|t| t.trim().parse().unwrap_or(f64::NAN))
            .collect()
    }
}

/// Reads messages from a stream of bytes, queries or answers.
#[derive(Debug, Default)]
pub struct Reader {
    answers: bool,
    input: Vec<u8>,
}

impl Reader {
    pub fn queries() -> Reader {
        Reader::default()
    }

    pub fn answers() -> Reader {
        Reader { answers: true, input: vec![] }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    pub fn held(&self) -> usize {
        self.input.len()
    }

    /// The next whole message.
    pub fn next_message(&mut self) -> Result<Option<Message>, Bad> {
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut message = Message::default();
        let head = if self.answers {
            let mut parsed = httparse::Response::new(&mut headers);
            let status = parsed.parse(&self.input).map_err(|_| Bad::Malformed)?;
            message.code = parsed.code.unwrap_or(0);
            message.headers = named(parsed.headers);
            status
        } else {
            let mut parsed = httparse::Request::new(&mut headers);
            let status = parsed.parse(&self.input).map_err(|_| Bad::Malformed)?;
            message.method = parsed.method.unwrap_or_default().to_string();
            message.path = parsed.path.unwrap_or_default().to_string();
            message.headers = named(parsed.headers);
            status
        };
        let httparse::Status::Complete(head) = head else {
            return if self.input.len() > HEAD_MOST { Err(Bad::TooBig) } else { Ok(None) };
        };
        if message.header("transfer-encoding").is_some() {
            return Err(Bad::NoLength);
        }
        let lengths: Vec<&str> =
            message.headers.iter().filter(|(n, _)| n == "content-length").map(|(_, v)| v.as_str()).collect();
        // Two lengths that differ are a way to smuggle a query past a proxy.
        if lengths.windows(2).any(|w| w[0] != w[1]) {
            return Err(Bad::Malformed);
        }
        let length: usize = lengths.first().map_or(Ok(0), |l| l.parse()).map_err(|_| Bad::Malformed)?;
        if length > BODY_MOST || head > HEAD_MOST {
            return Err(Bad::TooBig);
        }
        if self.input.len() < head + length {
            return Ok(None);
        }
        message.close = message.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        message.body = self.input[head..head + length].to_vec();
        self.input.drain(..head + length);
        Ok(Some(message))
    }
}

fn named(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text =
        |h: &httparse::Header| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned());
    headers.iter().map(text).collect()
}

/// Headers that concern one connection only, and are not passed on.
const OWN: [&str; 4] = ["connection", "content-length", "keep-alive", "transfer-encoding"];

fn write_rest(headers: &[(String, String)], body: &[u8], out: &mut Vec<u8>) {
    for (name, value) in headers.iter().filter(|(n, _)| !OWN.contains(&n.as_str())) {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

/// Writes a query as it came, for the next connection.
pub fn write_query(query: &Message) -> Vec<u8> {
    let mut out = format!("{} {} HTTP/1.1\r\n", query.method, query.path).into_bytes();
    write_rest(&query.headers, &query.body, &mut out);
    out
}

/// Writes an answer.
pub fn write_answer(code: u16, headers: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let reason = match code {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    };
    let mut out = format!("HTTP/1.1 {code} {reason}\r\n").into_bytes();
    write_rest(headers, body, &mut out);
    out
}

//! Stand-ins for servers and clients: HTTP/1.1 over loopback, one thread for each connection.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// A server announces work that takes longer than this.
const INTERIM_AFTER: Duration = Duration::from_millis(500);

/// A client gives a request up after this time, longer than any outer limit.
const GIVES_UP_AFTER: Duration = Duration::from_secs(5);

/// A request that reached a server: when, which server, and its id.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub server: String,
    pub id: String,
}

/// All requests that reached servers.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A server that answers each request after its work, and health checks at once.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(name: &str, work: Duration, record: &Record, arrivals: &Arrivals) -> Result<Server, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let (record, arrivals, name_of_thread) = (record.clone(), arrivals.clone(), name.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, arrivals, name) = (record.clone(), arrivals.clone(), name_of_thread.clone());
                std::thread::spawn(move || serve(stream, &name, work, &record, &arrivals));
            }
        });
        Ok(Server { name: name.to_string(), address })
    }
}

fn serve(stream: TcpStream, name: &str, work: Duration, record: &Record, arrivals: &Arrivals) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_message(&mut reader) {
        if let Some(id) = head.header("request-id") {
            let at = record.now();
            let forwarder = head.header("runloom-proxy").unwrap_or_default();
            record.note(&format!("server {name} got {id} from {forwarder}"));
            let arrival = Arrival { at, server: name.to_string(), id: id.to_string() };
            arrivals.lock().expect("not poisoned").push(arrival);
            let own_work =
                head.header("work-ms").and_then(|text| text.parse().ok()).map(Duration::from_millis);
            if !run_request(&mut writer, own_work.unwrap_or(work)) {
                return;
            }
        }
        // The answer names its request.
        let body = head.header("request-id").unwrap_or("ok");
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if writer.write_all(response.as_bytes()).is_err() || head.closes() {
            return;
        }
    }
}

/// Does the work of a request. Work that takes long is announced by an interim response (RFC 9110, section 15.2), so that
/// the peer knows that the request is being processed. False if the connection has ended.
fn run_request(writer: &mut TcpStream, work: Duration) -> bool {
    if work > INTERIM_AFTER {
        std::thread::sleep(INTERIM_AFTER);
        if writer.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").is_err() {
            return false;
        }
    }
    let rest = if work > INTERIM_AFTER { work - INTERIM_AFTER } else { work };
    std::thread::sleep(rest);
    true
}

/// A message: its first line, its headers and its body.
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a message with its body; `None` if the connection ended before its end.
fn read_message(reader: &mut impl BufRead) -> Option<Head> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut head = Head { first_line: first_line.trim().to_string(), headers, body: String::new() };
    let length: usize = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    head.body = String::from_utf8_lossy(&body).into_owned();
    Some(head)
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// An answer with this status.
    Answered(u16),
    /// The answer to another request, with this id.
    Foreign(String),
    /// The request was written, and the connection ended without an answer.
    NoAnswer,
    /// No connection, or the request could not be written.
    NotSent,
}

/// Requests that cost more work than usual: while `is_on`, one of `one_of` takes `work`.
#[derive(Clone, Default)]
pub struct Costly {
    pub is_on: Arc<AtomicBool>,
    pub one_of: u64,
    pub work: Duration,
    counted: Arc<AtomicU64>,
}

impl Costly {
    pub fn new(one_of: u64, work: Duration) -> Costly {
        Costly { one_of, work, ..Costly::default() }
    }

    fn draw(&self) -> Option<Duration> {
        if !self.is_on.load(Ordering::Relaxed) {
            return None;
        }
        let count = self.counted.fetch_add(1, Ordering::Relaxed) + 1;
        (count % self.one_of == 0).then_some(self.work)
    }
}

/// Clients that send requests to a proxy one after the other, each on a connection that it keeps.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub endings: Arc<Mutex<Vec<(Duration, String, Ending)>>>,
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

impl Clients {
    /// Starts `count` clients of a proxy, which pause for `pause` between two requests of `class`.
    pub fn start(proxy: SocketAddr, class: &str, count: usize, pause: Duration, record: &Record) -> Clients {
        Clients::with_costly(proxy, class, count, pause, record, &Costly::default())
    }

    /// As [`Clients::start`]; some requests cost more work.
    pub fn with_costly(
        proxy: SocketAddr,
        class: &str,
        count: usize,
        pause: Duration,
        record: &Record,
        costly: &Costly,
    ) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let endings = Arc::new(Mutex::new(Vec::new()));
        let client = |number: usize| {
            // Different pauses, so that the clients do not send in step.
            let pause = pause + Duration::from_millis(7 * number as u64);
            let (stop, endings, record) = (stop.clone(), endings.clone(), record.clone());
            let class = class.to_string();
            let costly = costly.clone();
            std::thread::spawn(move || {
                let mut connection = None;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("r{}", LAST_ID.fetch_add(1, Ordering::Relaxed) + 1);
                    let work = costly.draw();
                    record.note(&format!("client sends {id} {class}, its own work {work:?}"));
                    let ending = request(&mut connection, proxy, &class, &id, work);
                    record.note(&format!("client of {id}: {ending:?}"));
                    endings.lock().expect("not poisoned").push((record.now(), id, ending));
                    std::thread::sleep(pause);
                }
            })
        };
        let threads = (0..count).map(client).collect();
        Clients { stop, threads, endings }
    }

    /// Lets each client finish its request, and ends them.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn request(
    connection: &mut Option<BufReader<TcpStream>>,
    proxy: SocketAddr,
    class: &str,
    id: &str,
    work: Option<Duration>,
) -> Ending {
    if connection.is_none() {
        let Ok(stream) = TcpStream::connect(proxy) else { return Ending::NotSent };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(GIVES_UP_AFTER));
        *connection = Some(BufReader::new(stream));
    }
    let Some(reader) = connection.as_mut() else { return Ending::NotSent };
    let work = work.map(|work| format!("work-ms: {}\r\n", work.as_millis())).unwrap_or_default();
    let text = format!(
        "POST /{class}/{id} HTTP/1.1\r\nhost: proxy\r\nrequest-id: {id}\r\n{work}content-length: 0\r\n\r\n"
    );
    if reader.get_mut().write_all(text.as_bytes()).is_err() {
        *connection = None;
        return Ending::NotSent;
    }
    loop {
        let Some(head) = read_message(reader) else {
            *connection = None;
            return Ending::NoAnswer;
        };
        let status = head.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        // An interim response (RFC 9110, section 15.2): the final one follows.
        if (100..200).contains(&status) {
            continue;
        }
        if head.closes() {
            *connection = None;
        }
        return match status {
            200 if head.body != id => Ending::Foreign(head.body),
            _ => Ending::Answered(status),
        };
    }
}

//! A process of `runloom platform`: its configuration file, its signals, and what the system says of it.

use super::lock;
use runloom_platform_protocol::framing::{write_frame, FrameReader, MAX_MESSAGE_BYTES};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A process has to answer its first `PING` within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Descriptors that the configuration allows a process.
pub const SOCKET_LIMIT: usize = 256;
/// Memory that it allows, MiB.
pub const MEMORY_LIMIT_MB: u64 = 32;
/// Entries a second that the channel takes: enough for one table of all servers, whose content the checks know.
const CHANNEL_RATE: f64 = 20_000.0;
/// Proxies that the settings name.
const PROXY_COUNT: u64 = 32;

/// What a process is configured with.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where its agent listens.
    pub discovery: SocketAddr,
    /// The list as last held.
    pub known: Value,
    /// Seed of its random choices.
    pub seed: u64,
}

impl Configuration {
    /// The configuration file's text.
    pub fn to_json(&self) -> String {
        json!({"name": "soak", "listen": self.listen.to_string(), "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "known": self.known,
            "settings": {"balancers": 1, "classes": [{"name": "lookup", "aimS": 0.5, "credit": 1.0},
                    {"name": "order", "aimS": 0.8, "credit": 2.0}],
                "familyInfo": {"backlog": 4000.0, "channelRate": CHANNEL_RATE, "overhead": 4.0, "proxies": PROXY_COUNT,
                    "levelKind": "none", "unservedMaxS": 2.5},
                "limits": {"probing": true}, "stats": {"fields": ["q"], "how": "answers"}, "zones": ["a"],
                "rules": {"drainGraceS": 2.0, "coldFrom": 0.5, "warmAfterS": 1.0}}})
        .to_string()
    }
}

/// A signal, by its name for `kill`.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    /// SIGHUP.
    Hangup,
    /// SIGTERM.
    Term,
    /// SIGKILL.
    Kill,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Hangup => "HUP",
            Signal::Term => "TERM",
            Signal::Kill => "KILL",
        }
    }
}

/// A running process, which is killed when dropped.
pub struct PlatformProcess {
    child: Mutex<Child>,
    id: u32,
    address: SocketAddr,
    file: PathBuf,
}

impl PlatformProcess {
    /// Writes the configuration file and starts the program; its log is appended to `log`.
    pub fn start(
        program: &Path,
        configuration: &Configuration,
        log: &Path,
    ) -> Result<PlatformProcess, String> {
        let file = log.with_extension("json");
        std::fs::write(&file, configuration.to_json()).map_err(|e| e.to_string())?;
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .arg("platform")
            .env("EDGE_CONFIG", &file)
            .stdout(std::process::Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(PlatformProcess { id: child.id(), child: Mutex::new(child), address: configuration.listen, file })
    }

    /// Waits for its first answer to a `PING`; `None` if that takes too long.
    pub fn wait_until_ready(&self) -> Option<Instant> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline && self.exit_status().is_none() {
            if answers_ping(self.address).unwrap_or(false) {
                return Some(Instant::now());
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        None
    }

    /// How it ended, if it has.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Waits for its end.
    pub fn wait(&self) {
        let _ = lock(&self.child).wait();
    }

    /// Sends a signal, unless it has ended.
    pub fn signal(&self, signal: Signal) {
        if self.exit_status().is_none() {
            let kill = format!("kill -{} {} 2>/dev/null", signal.name(), self.id);
            let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
        }
    }

    /// Sends signals at once, one after the other, unless it has ended.
    pub fn signal_all(&self, signals: &[Signal]) {
        if self.exit_status().is_none() {
            let kills: Vec<String> =
                signals.iter().map(|signal| format!("kill -{} {}", signal.name(), self.id)).collect();
            let _ =
                Command::new("/bin/sh").args(["-c", &format!("({}) 2>/dev/null", kills.join("; "))]).status();
        }
    }

    /// Replaces the configuration file at once.
    pub fn write_configuration(&self, configuration: &Configuration) {
        let new = self.file.with_extension("new");
        let _ =
            std::fs::write(&new, configuration.to_json()).and_then(|()| std::fs::rename(&new, &self.file));
    }

    /// Writes the first half of the configuration file.
    pub fn write_half_configuration(&self, configuration: &Configuration) {
        let text = configuration.to_json();
        let _ = std::fs::write(&self.file, &text[..text.len() / 2]);
    }

    /// Its open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id)).map_or(0, Iterator::count)
    }

    /// Its peak memory in KiB.
    pub fn peak_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id)).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn answers_ping(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, READY_TIMEOUT)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut bytes = Vec::new();
    write_frame(&mut bytes, json!({"t": "PING"}).to_string().as_bytes());
    stream.write_all(&bytes)?;
    let mut reader = FrameReader::new(MAX_MESSAGE_BYTES);
    let mut buffer = [0; 256];
    loop {
        let count = stream.read(&mut buffer)?;
        reader.push(&buffer[..count]);
        match reader.next_message() {
            Ok(Some(message)) => return Ok(message["t"] == "PONG"),
            Ok(None) if count > 0 => {}
            _ => return Ok(false),
        }
    }
}

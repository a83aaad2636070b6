//! A process of `runloom platform`: its configuration file, the signals to it, and its resource use.

use super::lock;
use runloom_platform_protocol::framing::{write_frame, FrameReader, MAX_MESSAGE_BYTES};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A process must answer its first `PING` within this time of its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Socket limit in the configuration.
pub const SOCKET_LIMIT: usize = 256;
/// Memory limit in the configuration, in MiB.
pub const MEMORY_LIMIT_MB: u64 = 32;
/// Entries per second that the update channel takes: enough for a single table of all servers, so that the checks know
/// what it must contain.
const CHANNEL_RATE: f64 = 20_000.0;
/// Number of proxies that the settings allow.
const PROXY_COUNT: u64 = 32;

/// The configuration of a process.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Address on which it listens.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// The complete endpoint list as last known.
    pub known_list: Value,
    /// Seed of its random decisions.
    pub seed: u64,
}

impl Configuration {
    /// The contents of the configuration file.
    pub fn to_json(&self) -> String {
        json!({"name": "soak", "listen": self.listen.to_string(), "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "known": self.known_list,
            "settings": {"balancers": 1, "classes": [{"name": "lookup", "aimS": 0.5, "credit": 1.0},
                    {"name": "order", "aimS": 0.8, "credit": 2.0}],
                "familyInfo": {"backlog": 4000.0, "channelRate": CHANNEL_RATE, "overhead": 4.0, "proxies": PROXY_COUNT,
                    "levelKind": "none", "unservedMaxS": 2.5},
                "limits": {"probing": true}, "stats": {"fields": ["q"], "how": "answers"}, "zones": ["a"],
                "rules": {"drainGraceS": 2.0, "coldFrom": 0.5, "warmAfterS": 1.0}}})
        .to_string()
    }
}

/// A signal that a process is sent.
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
    /// The name that the `kill` command takes.
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
    pid: u32,
    address: SocketAddr,
    configuration_file: PathBuf,
}

impl PlatformProcess {
    /// Writes the configuration file and starts the program; its log is appended to `log`.
    pub fn start(
        program: &Path,
        configuration: &Configuration,
        log: &Path,
    ) -> Result<PlatformProcess, String> {
        let configuration_file = log.with_extension("json");
        std::fs::write(&configuration_file, configuration.to_json()).map_err(|e| e.to_string())?;
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .arg("platform")
            .env("EDGE_CONFIG", &configuration_file)
            .stdout(std::process::Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(PlatformProcess {
            pid: child.id(),
            child: Mutex::new(child),
            address: configuration.listen,
            configuration_file,
        })
    }

    /// Waits for the first answer to a `PING`; `None` if it does not come within `READY_TIMEOUT` or the process exits.
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

    /// Its exit status; `None` while it runs.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Waits until it exits.
    pub fn wait(&self) {
        let _ = lock(&self.child).wait();
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&self, signal: Signal) {
        if self.exit_status().is_none() {
            let kill = format!("kill -{} {} 2>/dev/null", signal.name(), self.pid);
            let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
        }
    }

    /// Sends signals in quick succession by one shell, unless the process has exited.
    pub fn signal_all(&self, signals: &[Signal]) {
        if self.exit_status().is_none() {
            let kills: Vec<String> =
                signals.iter().map(|signal| format!("kill -{} {}", signal.name(), self.pid)).collect();
            let _ =
                Command::new("/bin/sh").args(["-c", &format!("({}) 2>/dev/null", kills.join("; "))]).status();
        }
    }

    /// Replaces the configuration file atomically.
    pub fn write_configuration(&self, configuration: &Configuration) {
        let new = self.configuration_file.with_extension("new");
        let _ = std::fs::write(&new, configuration.to_json())
            .and_then(|()| std::fs::rename(&new, &self.configuration_file));
    }

    /// Overwrites the configuration file with the first half of its contents.
    pub fn write_half_configuration(&self, configuration: &Configuration) {
        let text = configuration.to_json();
        let _ = std::fs::write(&self.configuration_file, &text[..text.len() / 2]);
    }

    /// Number of its open descriptors; 0 if it has exited.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count)
    }

    /// Its peak resident memory in KiB; 0 if it has exited.
    pub fn peak_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.configuration_file);
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

//! Planners as processes of their own, with their addresses, resource usage and metrics.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use runloom_model::tls_files::TlsFiles;
use socket2::{Domain, Socket, Type};

#[cfg(test)]
mod tests;

const METRICS_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const METRICS_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of the clock ticks in which the kernel counts processor time.
const CLOCK_TICK_MS: u64 = 10;

/// Returns free addresses that stay reserved until this process ends.
///
/// Each is held by a socket that is bound, does not listen, and shares its address with other sockets that set
/// `SO_REUSEADDR`, as planners' sockets do. Otherwise two tests could be given the same address before either listens,
/// or the system could assign the address of a planner that is being restarted to a connection.
///
/// # Errors
/// Returns the cause if no socket can be opened.
pub fn reserve_addresses<const N: usize>() -> std::io::Result<[SocketAddr; N]> {
    static RESERVED: Mutex<Vec<Socket>> = Mutex::new(Vec::new());
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for address in &mut addresses {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // The option is set only after the bind: without it, the system picks no address that is in use.
        socket.bind(&(*address).into())?;
        socket.set_reuse_address(true)?;
        *address = socket.local_addr()?.as_socket().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        RESERVED.lock().unwrap_or_else(PoisonError::into_inner).push(socket);
    }
    Ok(addresses)
}

/// Where a planner listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerAddresses {
    /// Address for management clients.
    pub edits: SocketAddr,
    /// Address for proxies that call home.
    pub call_home: SocketAddr,
    /// Address for proxies that subscribe.
    pub pubsub: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
}

impl PlannerAddresses {
    /// Reserves four free addresses; see [`reserve_addresses`].
    ///
    /// # Errors
    /// Returns the cause if no socket can be opened.
    pub fn reserve() -> std::io::Result<PlannerAddresses> {
        let [edits, call_home, pubsub, metrics] = reserve_addresses()?;
        Ok(PlannerAddresses { edits, call_home, pubsub, metrics })
    }

    /// The addresses as elements of a planner's settings.
    pub fn to_xml(&self) -> String {
        format!(
            "<edits>{}</edits><home>{}</home><pubsub>{}</pubsub><metrics>{}</metrics>",
            self.edits, self.call_home, self.pubsub, self.metrics
        )
    }

    /// Reads the addresses that a planner prints at its start, one per line, the one for metrics last. `None` if one is
    /// missing.
    fn read(output: ChildStdout) -> std::io::Result<Option<PlannerAddresses>> {
        let mut by_name: BTreeMap<String, SocketAddr> = BTreeMap::new();
        for line in BufReader::new(output).lines() {
            let line = line?;
            let Some((name, address)) = line.split_once(' ') else { break };
            if let Ok(address) = address.parse() {
                by_name.insert(name.to_string(), address);
            }
            if name == "metrics" {
                break;
            }
        }
        let address = |name: &str| by_name.get(name).copied();
        let addresses = || {
            Some(PlannerAddresses {
                edits: address("edits")?,
                call_home: address("home")?,
                pubsub: address("pubsub")?,
                metrics: address("metrics")?,
            })
        };
        Ok(addresses())
    }
}

/// The command by which a planner's process is started.
#[derive(Debug, Clone, Copy)]
pub struct PlannerCommand<'a> {
    /// The testbed's program, whose `planner` sub-command runs a planner.
    pub program: &'a Path,
    /// The planner's settings file.
    pub settings: &'a Path,
    /// Seed of the planner's random numbers.
    pub seed: u64,
    /// File to which the planner's standard error is appended.
    pub log: &'a Path,
    /// Further arguments, for test hooks.
    pub arguments: &'a [String],
}

/// A planner's process, which is killed when the value is dropped.
pub struct PlannerProcess {
    /// `None` after [`PlannerProcess::kill`] or [`PlannerProcess::wait`].
    child: Option<Child>,
    /// Where the planner listens.
    pub addresses: PlannerAddresses,
}

impl PlannerProcess {
    /// Starts a planner and waits until it listens.
    ///
    /// # Errors
    /// Returns the cause, with the last line of its log, if it does not start.
    pub fn start(command: PlannerCommand<'_>) -> Result<PlannerProcess, String> {
        let mut child = spawn(command).map_err(|e| e.to_string())?;
        let output = child.stdout.take().ok_or("the planner's standard output is not piped")?;
        match PlannerAddresses::read(output).map_err(|e| e.to_string())? {
            Some(addresses) => Ok(PlannerProcess { child: Some(child), addresses }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                let log = std::fs::read_to_string(command.log).unwrap_or_default();
                let last_line = log.lines().last().unwrap_or_default();
                Err(format!("the planner did not start; its log {} ends: {last_line}", command.log.display()))
            }
        }
    }

    /// Kills the process, if it runs, and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process ends by itself.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// The process id; `None` after [`PlannerProcess::kill`] or [`PlannerProcess::wait`].
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Memory and processor time of the process up to now; zeros after [`PlannerProcess::kill`] or
    /// [`PlannerProcess::wait`].
    pub fn resource_usage(&self) -> ResourceUsage {
        self.id().map(ResourceUsage::of_process).unwrap_or_default()
    }
}

impl Drop for PlannerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(command: PlannerCommand<'_>) -> std::io::Result<Child> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(command.log)?;
    Command::new(command.program)
        .args(["planner", "--settings"])
        .arg(command.settings)
        .args(["--seed", &command.seed.to_string()])
        .args(command.arguments)
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
}

/// Memory and processor time of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Processor time since the start of the process, in user and kernel mode.
    pub cpu: Duration,
}

impl ResourceUsage {
    fn of_process(id: u32) -> ResourceUsage {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kib = resident.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // Fields after the command's name, which is in parentheses: 11 is the user time and 12 the system time.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks: u64 = [11, 12].iter().filter_map(|k| fields.get(*k)?.parse::<u64>().ok()).sum();
        ResourceUsage { resident_kib, cpu: Duration::from_millis(ticks * CLOCK_TICK_MS) }
    }
}

/// The `tls` element of a planner's settings; `rules` are its access rules as `may` elements.
pub fn tls_xml(credentials: &TlsFiles, rules: &str) -> String {
    format!(
        "<tls><certificate>{}</certificate><key>{}</key><trust>{}</trust>{rules}</tls>",
        credentials.certificate.display(),
        credentials.key.display(),
        credentials.trust.display()
    )
}

/// Reads a planner's metrics by name; `None` if the planner does not answer.
pub fn read_metrics(address: SocketAddr) -> Option<BTreeMap<String, f64>> {
    let mut stream = TcpStream::connect_timeout(&address, METRICS_CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(METRICS_READ_TIMEOUT)).ok()?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: planner\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text.lines().filter(|line| line.starts_with("runloom_")).filter_map(parse_metric).collect())
}

fn parse_metric(line: &str) -> Option<(String, f64)> {
    let (name, value) = line.rsplit_once(' ')?;
    Some((name.to_string(), value.parse().ok()?))
}

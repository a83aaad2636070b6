//! The project's programs as processes, in a temporary folder that is removed at the end.

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A temporary folder. It has a file with the ids of all processes that were started, with which `run.sh` ends those
/// that are left if the case is interrupted.
pub struct Folder(pub PathBuf);

impl Folder {
    /// The folder that `run.sh` made.
    pub fn from_environment() -> Result<Folder, String> {
        std::env::var_os("REVIEW_FOLDER")
            .map(|path| Folder(path.into()))
            .ok_or("REVIEW_FOLDER is not set".into())
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.path(name);
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path)
    }

    fn note_process(&self, id: u32) {
        let file = OpenOptions::new().create(true).append(true).open(self.path("processes"));
        let _ = file.and_then(|mut file| writeln!(file, "{id}"));
    }
}

/// A process of the program `runloom`; killed when dropped.
pub struct Process {
    child: Child,
    /// The lines that it printed before it was ready, as name and address.
    pub addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts `target/release/runloom` with these arguments, and waits until it has printed `count` addresses.
    pub fn start(
        folder: &Folder,
        name: &str,
        arguments: &[&str],
        environment: &[(&str, &str)],
        count: usize,
    ) -> Result<Process, String> {
        let program = std::env::var_os("RUNLOOM").ok_or("RUNLOOM is not set")?;
        let log = OpenOptions::new().create(true).append(true).open(folder.path(&format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        folder.note_process(child.id());
        let output = child.stdout.take().ok_or("no standard output")?;
        let mut process = Process { child, addresses: Vec::new() };
        let mut lines = BufReader::new(output).lines();
        while process.addresses.len() < count {
            let line = lines.next().ok_or(format!("{name} ended before it was ready"))?;
            let line = line.map_err(|error| error.to_string())?;
            if let Some((name, address)) = line.split_once(' ') {
                let address = address.parse().map_err(|_| format!("not an address: {line}"))?;
                process.addresses.push((name.to_string(), address));
            }
        }
        Ok(process)
    }

    /// The address that was printed under this name.
    pub fn address(&self, name: &str) -> Result<SocketAddr, String> {
        let found = self.addresses.iter().find(|(printed, _)| printed == name);
        found.map(|(_, address)| *address).ok_or(format!("no address of {name}"))
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    /// Waits until the process has ended; false if it has not within `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

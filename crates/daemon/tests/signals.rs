//! Signals to `runloom planner` and `runloom forwarder`.

use rcgen::{BasicConstraints, CertificateParams, IsCa, KeyPair, SanType};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Limit of every wait, longer than any step takes on a slow machine. No assertion depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const FLEET: &str = "<fleet><zone><name>a</name></zone><class><name>q</name><payoff>1</payoff><soft-limit-ms>500\
    </soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats></class><grace><drain-ms>2000</drain-ms>\
    <bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace><channel><lines-per-second>9000</lines-per-second>\
    <backlog>9000</backlog><overhead>4</overhead></channel><cold><from>0.2</from><warm-after-ms>9000</warm-after-ms>\
    </cold><proxies><count>2</count><planners>1</planners><pick>chance</pick><levels>none</levels><probes>false\
    </probes><report-ms>1000</report-ms><report-lines-per-second>500</report-lines-per-second></proxies><list>\
    <only-drains-bind>false</only-drains-bind></list></fleet>";

/// A temporary folder for certificates and settings; removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("runloom-signals-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a certificate for the DNS names, its key and its authority; returns the `<tls>` element with their paths.
    fn issue(&self, names: &[&str]) -> String {
        let authority_key = KeyPair::generate().unwrap();
        let mut authority = CertificateParams::new(vec![]).unwrap();
        authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority = authority.self_signed(&authority_key).unwrap();
        let mut params = CertificateParams::new(vec![]).unwrap();
        params.subject_alt_names =
            names.iter().map(|name| SanType::DnsName((*name).try_into().unwrap())).collect();
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &authority, &authority_key).unwrap();
        std::fs::write(self.file("own.pem"), certificate.pem()).unwrap();
        std::fs::write(self.file("own.key"), key.serialize_pem()).unwrap();
        std::fs::write(self.file("trust.pem"), authority.pem()).unwrap();
        let path = |name: &str| self.file(name).display().to_string();
        format!(
            "<tls><certificate>{}</certificate><key>{}</key><trust>{}</trust></tls>",
            path("own.pem"),
            path("own.key"),
            path("trust.pem")
        )
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the built program; killed at the end of the test.
struct Process {
    child: Child,
    /// Lines of its standard output and of its log.
    lines: Receiver<String>,
}

impl Process {
    fn start(command: &str, settings: &Path) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_runloom"))
            .args([command, "--settings", settings.to_str().unwrap()])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = channel();
        let forward = |output: Box<dyn std::io::Read + Send>| {
            let sender = sender.clone();
            let output = BufReader::new(output).lines();
            std::thread::spawn(move || output.map_while(Result::ok).for_each(|line| _ = sender.send(line)));
        };
        forward(Box::new(child.stdout.take().unwrap()));
        forward(Box::new(child.stderr.take().unwrap()));
        Process { child, lines }
    }

    /// Reads lines until one contains `part`, and returns that line.
    fn wait_for(&self, part: &str) -> String {
        loop {
            let line =
                self.lines.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("no line contains {part}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    fn signal(&self, signal: &str) {
        let kill = format!("kill -{signal} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Checks that two successive SIGHUPs are logged, that `address` still accepts connections, and that SIGTERM ends
    /// the process with exit code 0, even right after another SIGHUP.
    fn check_signals(&mut self, address: SocketAddr) {
        for _ in 0..2 {
            self.signal("HUP");
            self.wait_for("certificates are read again");
        }
        TcpStream::connect(address).unwrap();
        self.signal("HUP");
        self.signal("TERM");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn address_in(line: &str) -> SocketAddr {
    line.split(' ').nth(1).unwrap().parse().unwrap()
}

/// A planner, and its address for edits.
fn start_planner(folder: &Folder) -> (Process, SocketAddr) {
    let tls = folder.issue(&["p", "planner.runloom"]);
    let state = folder.file("state");
    let settings = folder.file("planner.xml");
    let listen = "<edits>127.0.0.1:0</edits><home>127.0.0.1:0</home>";
    let text = format!(
        "<planner xmlns='urn:runloom:fleet'><name>p</name>{listen}<folder>{}</folder>{tls}{FLEET}</planner>",
        state.display()
    );
    std::fs::write(&settings, text).unwrap();
    let planner = Process::start("planner", &settings);
    let address = address_in(&planner.wait_for("edits "));
    (planner, address)
}

/// Guards against a planner that ends on SIGHUP, as is the default for this signal.
#[test]
fn a_planner_reads_certificates_again_on_sighup_and_keeps_running() {
    let folder = Folder::new("planner");
    let (mut planner, address) = start_planner(&folder);
    planner.check_signals(address);
}

/// Guards against a planner that ends when a file of its event log or state reaches the limit on file size: a write
/// beyond the limit raises SIGXFSZ, whose default action ends the process.
#[test]
fn a_limit_on_file_size_does_not_end_a_planner() {
    let folder = Folder::new("limit");
    let (mut planner, address) = start_planner(&folder);
    planner.signal("XFSZ");
    planner.check_signals(address);
}

/// Guards against a proxy that ends on SIGHUP, and with it all requests in flight.
#[test]
fn a_proxy_reads_certificates_again_on_sighup_and_keeps_running() {
    let folder = Folder::new("proxy");
    let tls = folder.issue(&["f1", "proxy.runloom"]);
    let settings = folder.file("forwarder.xml");
    let text = format!(
        "<forwarder xmlns='urn:runloom:fleet'><name>f1</name><zone>a</zone><listen>127.0.0.1:0</listen>\
         <planner>127.0.0.1:9</planner>{tls}<pick>chance</pick><shun-after>3</shun-after><shun-ms>4000</shun-ms>\
         <report-ms>1000</report-ms><class><name>q</name><payoff>1</payoff><soft-limit-ms>500</soft-limit-ms>\
         <outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats></class></forwarder>"
    );
    std::fs::write(&settings, text).unwrap();
    let mut proxy = Process::start("forwarder", &settings);
    let address = address_in(&proxy.wait_for("listen "));
    proxy.check_signals(address);
}

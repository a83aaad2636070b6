//! Test helpers: the process of one planner, and an operator that sends it edits.

#![allow(dead_code)] // Each test binary uses only a part of this module.

pub mod identities;
pub mod requests;

use runloom_daemon::client::Client;
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::tls_files::TlsFiles;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::planner_process::{tls_xml, PlannerAddresses, PlannerCommand, PlannerProcess};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Far longer than a request takes.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const FIRST_SEED: u64 = 1;
const RESTART_SEED: u64 = 2;

/// The testbed's program, whose sub-commands run planners' processes.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_runloom-testbed"))
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("runloom-whole-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A planner without proxies, with an operator's credentials.
pub struct PlannerWithOperator {
    pub folder: Folder,
    pub process: PlannerProcess,
    pub addresses: PlannerAddresses,
    /// The operator's credentials.
    pub policy: TlsPolicy,
    pub issuer: Issuer,
    settings_file: PathBuf,
}

const FLEET_XML: &str = "<fleet><zone><name>a</name></zone><zone><name>b</name></zone><class><name>q</name>\
    <payoff>1</payoff><soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats>\
    </class><grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace><channel>\
    <lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel><cold>\
    <from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count><planners>1</planners>\
    <pick>chance</pick><levels>none</levels><probes>false</probes><report-ms>1000</report-ms>\
    <report-lines-per-second>500</report-lines-per-second></proxies><list><only-drains-bind>false</only-drains-bind>\
    </list></fleet>";

fn write_settings(
    file: &Path,
    folder: &Path,
    credentials: &TlsFiles,
    rules: &str,
    addresses: &PlannerAddresses,
) {
    let text = format!(
        "<planner xmlns='urn:runloom:fleet'><name>p</name>{}<folder>{}</folder>{}{FLEET_XML}</planner>",
        addresses.to_xml(),
        folder.join("state").display(),
        tls_xml(credentials, rules)
    );
    std::fs::write(file, text).unwrap();
}

fn start_process(folder: &Folder, settings: &Path, seed: u64, arguments: &[String]) -> PlannerProcess {
    PlannerProcess::start(PlannerCommand {
        program: &program(),
        settings,
        seed,
        log: &folder.0.join("log"),
        arguments,
    })
    .unwrap()
}

impl PlannerWithOperator {
    pub fn new(name: &str) -> PlannerWithOperator {
        PlannerWithOperator::with_crash_point(name, None)
    }

    /// As [`PlannerWithOperator::new`]; the process exits at this point of handling an edit.
    pub fn with_crash_point(name: &str, crash_point: Option<&str>) -> PlannerWithOperator {
        let planner = |issuer: &Issuer| issuer.issue("p", Some("planner.runloom")).unwrap();
        let operator = |issuer: &Issuer| issuer.issue("staff", None).unwrap();
        PlannerWithOperator::start(name, crash_point, planner, operator, "")
    }

    /// As [`PlannerWithOperator::new`], with other credentials of planner and operator, and with access rules for the
    /// planner's settings.
    pub fn with_credentials(
        name: &str,
        planner: impl FnOnce(&Issuer) -> TlsFiles,
        operator: impl FnOnce(&Issuer) -> TlsFiles,
        rules: &str,
    ) -> PlannerWithOperator {
        PlannerWithOperator::start(name, None, planner, operator, rules)
    }

    fn start(
        name: &str,
        crash_point: Option<&str>,
        planner: impl FnOnce(&Issuer) -> TlsFiles,
        operator: impl FnOnce(&Issuer) -> TlsFiles,
        rules: &str,
    ) -> PlannerWithOperator {
        let folder = Folder::new(name);
        let issuer = Issuer::new(&folder.0.join("papers")).unwrap();
        let credentials = planner(&issuer);
        let settings_file = folder.0.join("planner.xml");
        // Written to the settings, so that a restarted planner listens on the same addresses.
        let addresses = PlannerAddresses::reserve().unwrap();
        write_settings(&settings_file, &folder.0, &credentials, rules, &addresses);
        let arguments: Vec<String> = crash_point.map(|point| format!("--dies={point}")).into_iter().collect();
        let process = start_process(&folder, &settings_file, FIRST_SEED, &arguments);
        let policy = TlsPolicy::load(&operator(&issuer)).unwrap();
        PlannerWithOperator { folder, process, addresses, policy, issuer, settings_file }
    }

    /// Opens a session of the operator.
    pub fn client(&self) -> Client {
        Client::open(self.addresses.edits, &self.policy, REQUEST_TIMEOUT).unwrap()
    }

    /// Kills the process if it runs, and starts it again without a crash point.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = start_process(&self.folder, &self.settings_file, RESTART_SEED, &[]);
    }
}

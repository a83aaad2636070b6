//! One planner's process, and members of staff.

#![allow(dead_code)] // Each test program uses a part of it.

use runloom_daemon::client::Client;
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::tls_files::TlsFiles;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::world::{free, tls_xml, Process};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::Duration;

/// The rig's own program, which runs the planners' processes.
pub fn own() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_runloom-testbed"))
}

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

/// One planner without proxies, and a member of staff.
pub struct Desk {
    pub folder: Folder,
    pub child: Child,
    pub at: SocketAddr,
    /// Where proxies subscribe.
    pub pubsub: SocketAddr,
    pub home: SocketAddr,
    pub metrics: SocketAddr,
    pub terms: TlsPolicy,
    pub issuer: Issuer,
    settings: PathBuf,
}

const FLEET_XML: &str = "<fleet><zone><name>a</name></zone><zone><name>b</name></zone><class><name>q</name>\
    <payoff>1</payoff><soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats>\
    </class><grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace><channel>\
    <lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel><cold>\
    <from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count><planners>1</planners>\
    <pick>chance</pick><levels>none</levels><probes>false</probes><report-ms>1000</report-ms>\
    <report-lines-per-second>500</report-lines-per-second></proxies><list><only-drains-bind>false</only-drains-bind>\
    </list></fleet>";

fn write_settings(path: &Path, folder: &Path, papers: &TlsFiles, rules: &str, at: [SocketAddr; 4]) {
    let text = format!(
        "<planner xmlns='urn:runloom:fleet'><name>p</name><edits>{}</edits><home>{}</home><pubsub>{}</pubsub>\
         <metrics>{}</metrics><folder>{}</folder>{}{FLEET_XML}</planner>",
        at[0],
        at[1],
        at[2],
        at[3],
        folder.join("state").display(),
        tls_xml(papers, rules)
    );
    std::fs::write(path, text).unwrap();
}

impl Desk {
    pub fn new(name: &str, dies: Option<&str>) -> Desk {
        let papers = |issuer: &Issuer| issuer.issue("p", Some("planner.runloom")).unwrap();
        let staff = |issuer: &Issuer| issuer.issue("staff", None).unwrap();
        Desk::by(name, dies, papers, staff, "")
    }

    /// One with certificates of its own, and rules for the planner's settings.
    pub fn by(
        name: &str,
        dies: Option<&str>,
        papers: impl FnOnce(&Issuer) -> TlsFiles,
        staff: impl FnOnce(&Issuer) -> TlsFiles,
        rules: &str,
    ) -> Desk {
        let folder = Folder::new(name);
        let issuer = Issuer::new(&folder.0.join("papers")).unwrap();
        let papers = papers(&issuer);
        let settings = folder.0.join("planner.xml");
        let any = free().unwrap();
        write_settings(&settings, &folder.0, &papers, rules, any);
        let dies = dies.map(|point| format!("--dies={point}"));
        let trial: Vec<&str> = dies.iter().map(String::as_str).collect();
        let (child, at) = Process::start(&own(), &settings, 1, &folder.0.join("log"), &trial).unwrap();
        let (pubsub, metrics) = (at.pubsub.unwrap(), at.metrics.unwrap());
        write_settings(&settings, &folder.0, &papers, rules, [at.edits, at.home, pubsub, metrics]);
        let terms = TlsPolicy::load(&staff(&issuer)).unwrap();
        Desk { folder, child, at: at.edits, pubsub, home: at.home, metrics, terms, issuer, settings }
    }

    pub fn client(&self) -> Client {
        Client::open(self.at, &self.terms, Duration::from_secs(20)).unwrap()
    }

    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = Process::start(&own(), &self.settings, 2, &self.folder.0.join("log"), &[]).unwrap().0;
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

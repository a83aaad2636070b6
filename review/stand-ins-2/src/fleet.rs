//! A small deployment: one planner, forwarders, servers, and the NETCONF clients of operators and of the feed.

use crate::http::{Arrivals, Clients, Server};
use crate::process::{Folder, Process};
use crate::record::Record;
use runloom_daemon::client::{edit_config, Client, ClientError};
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::listed_server::ListedServer;
use runloom_model::tls_files::TlsFiles;
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::planner_process::{reserve_addresses, tls_xml};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The grace after a drain, as in the settings below.
pub const DRAIN_GRACE: Duration = Duration::from_millis(2500);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

const CLASSES: &str = "<class><name>title-search</name><payoff>1</payoff><soft-limit-ms>750</soft-limit-ms>\
    <outer-limit-ms>2500</outer-limit-ms><repeats>safe</repeats></class>\
    <class><name>loan-checkout</name><payoff>2</payoff><soft-limit-ms>500</soft-limit-ms>\
    <outer-limit-ms>1500</outer-limit-ms><repeats>never</repeats></class>";

/// The running deployment.
pub struct Fleet {
    pub record: Record,
    pub folder: Folder,
    pub arrivals: Arrivals,
    pub servers: Vec<Server>,
    pub planner: Process,
    pub forwarders: Vec<Process>,
    pub edits: SocketAddr,
    planner_settings: PathBuf,
    operator: TlsPolicy,
    feed: TlsPolicy,
}

impl Fleet {
    /// Starts `servers` servers in two zones, a planner and two forwarders.
    pub fn start(record: &Record, servers: usize, work: Duration) -> Result<Fleet, String> {
        let folder = Folder::from_environment()?;
        let issuer = Issuer::new(&folder.path("credentials"))?;
        let arrivals = Arrivals::default();
        let servers: Result<Vec<Server>, String> = (1..=servers)
            .map(|number| Server::start(&format!("s{number}"), work, record, &arrivals))
            .collect();
        let servers = servers?;
        let [edits, home] = reserve_addresses().map_err(|error| error.to_string())?;
        let credentials = issuer.issue("planner-1", Some("planner.runloom"))?;
        let settings = planner_settings(edits, home, &folder, &credentials);
        let planner_settings = folder.write("planner.xml", &settings)?;
        let planner = start_planner(&folder, &planner_settings)?;
        record.say(&format!("planner started, edits at {edits}"));
        let load = |name: &str| {
            issuer
                .issue(name, None)
                .and_then(|files| TlsPolicy::load(&files).map_err(|error| error.to_string()))
        };
        let (operator, feed) = (load("staff")?, load("feed")?);
        let mut forwarders = Vec::new();
        for (number, zone) in [(1, "san-jose"), (2, "heredia")] {
            let name = format!("forwarder-{number}");
            let credentials = issuer.issue(&name, Some("proxy.runloom"))?;
            let settings = forwarder_settings(&name, zone, home, &credentials, &servers);
            let file = folder.write(&format!("{name}.xml"), &settings)?;
            let arguments = ["forwarder", "--settings", &file.display().to_string()];
            forwarders.push(Process::start(&folder, &name, &arguments, &[], 1)?);
        }
        let record = record.clone();
        Ok(Fleet {
            record,
            folder,
            arrivals,
            servers,
            planner,
            forwarders,
            edits,
            planner_settings,
            operator,
            feed,
        })
    }

    /// Starts the planner again, at the same address and with the same folder.
    pub fn restart_planner(&mut self) -> Result<(), String> {
        self.planner = start_planner(&self.folder, &self.planner_settings)?;
        Ok(())
    }

    /// Starts clients at each forwarder.
    pub fn start_clients(&self, class: &str, count: usize, pause: Duration) -> Result<Vec<Clients>, String> {
        let clients = |forwarder: &Process| {
            Ok(Clients::start(forwarder.address("listen")?, class, count, pause, &self.record))
        };
        self.forwarders.iter().map(clients).collect()
    }

    /// Opens a session of an operator, at the planner or at a relay before it.
    pub fn operator(&self, address: SocketAddr) -> Result<Client, String> {
        Client::open(address, &self.operator, ANSWER_TIMEOUT).map_err(|error| error.to_string())
    }

    /// Opens a session of the feed, and replaces the complete list.
    pub fn feed(&self, draining: &[&str]) -> Result<Client, String> {
        let mut client =
            Client::open(self.edits, &self.feed, ANSWER_TIMEOUT).map_err(|error| error.to_string())?;
        let roster = Element::new(FLEET_NAMESPACE, "roster").with_attribute(BASE, "operation", "replace");
        let roster = self.listed().iter().fold(roster, |roster, (name, listed)| {
            let is_draining = draining.contains(&name.as_str());
            roster.with(ListedServer { is_draining, ..listed.clone() }.to_element(name))
        });
        self.call(&mut client, "feed: the complete list", edit_config("running", roster), None)?;
        Ok(client)
    }

    /// The feed reports that a server drains. Returns when the planner had answered.
    pub fn report_drain(&self, feed: &mut Client, server: &str) -> Result<Duration, String> {
        let listed = self.listed().remove(server).ok_or("unknown server")?;
        let element = ListedServer { is_draining: true, ..listed }.to_element(server);
        let element = element.with_attribute(BASE, "operation", "replace");
        let roster = Element::new(FLEET_NAMESPACE, "roster").with(element);
        self.call(feed, &format!("feed: {server} drains"), edit_config("running", roster), None)?;
        Ok(self.record.now())
    }

    fn listed(&self) -> BTreeMap<String, ListedServer> {
        let listed = |(index, server): (usize, &Server)| {
            let zone = if index % 2 == 0 { "san-jose" } else { "heredia" };
            let listed = ListedServer {
                address: server.address,
                zone: zone.to_string(),
                kind: String::new(),
                cell: 0,
                is_draining: false,
                weight: 1.0,
                started_ms: None,
            };
            (server.name.clone(), listed)
        };
        self.servers.iter().enumerate().map(listed).collect()
    }

    /// Sends an operation, waits for its reply and records both.
    pub fn call(
        &self,
        client: &mut Client,
        what: &str,
        operation: Element,
        id: Option<&str>,
    ) -> Result<Element, String> {
        let id_text = id.map(|id| format!(" (edit-id {id})")).unwrap_or_default();
        self.record.say(&format!("{what}{id_text}: sent"));
        let reply = client.call(operation, id);
        match &reply {
            Ok(_) => self.record.say(&format!("{what}{id_text}: answered ok")),
            Err(error) => self.record.say(&format!("{what}{id_text}: {error}")),
        }
        reply.map_err(|error: ClientError| error.to_string())
    }

    /// The number of requests that reached a server from `from` to `until`.
    pub fn count(&self, server: &str, from: Duration, until: Duration) -> usize {
        let arrivals = self.arrivals.lock().expect("not poisoned");
        arrivals.iter().filter(|a| a.server == server && a.at > from && a.at <= until).count()
    }

    /// Waits until the forwarders have connected to the planner, which takes them 2 s at most, and every server gets
    /// requests.
    pub fn wait_for_traffic(&self) -> Result<(), String> {
        std::thread::sleep(Duration::from_secs(3));
        let end = self.record.now() + Duration::from_secs(20);
        while self.record.now() < end {
            let from = self.record.now();
            std::thread::sleep(Duration::from_secs(1));
            if self.servers.iter().all(|server| self.count(&server.name, from, self.record.now()) > 0) {
                return Ok(());
            }
        }
        Err("not every server gets requests".into())
    }
}

fn start_planner(folder: &Folder, settings: &std::path::Path) -> Result<Process, String> {
    let arguments = ["planner", "--settings", &settings.display().to_string()];
    Process::start(folder, "planner", &arguments, &[], 2)
}

/// As `deploy/planner.xml`.
fn planner_settings(edits: SocketAddr, home: SocketAddr, folder: &Folder, tls: &TlsFiles) -> String {
    format!(
        "<planner xmlns=\"urn:runloom:fleet\"><name>planner-1</name><edits>{edits}</edits><home>{home}</home>\
         <folder>{}</folder>{}<fleet><zone><name>san-jose</name></zone><zone><name>heredia</name></zone>{CLASSES}\
         <grace><drain-ms>{}</drain-ms><bare-ms>3000</bare-ms><reply-ms>1500</reply-ms></grace>\
         <channel><lines-per-second>2800</lines-per-second><backlog>4200</backlog><overhead>4</overhead></channel>\
         <cold><from>0.2</from><warm-after-ms>15000</warm-after-ms></cold>\
         <proxies><count>2</count><planners>1</planners><pick>less-busy</pick><levels>none</levels>\
         <probes>true</probes><report-ms>1000</report-ms><report-lines-per-second>60</report-lines-per-second>\
         </proxies><list><only-drains-bind>false</only-drains-bind><load>held</load></list></fleet></planner>",
        folder.path("state").display(),
        tls_xml(tls, ""),
        DRAIN_GRACE.as_millis(),
    )
}

/// As `deploy/forwarder.xml`.
fn forwarder_settings(
    name: &str,
    zone: &str,
    home: SocketAddr,
    tls: &TlsFiles,
    servers: &[Server],
) -> String {
    let standing = |server: &Server| {
        format!("<standing><name>{}</name><address>{}</address></standing>", server.name, server.address)
    };
    let standing: String = servers.iter().map(standing).collect();
    format!(
        "<forwarder xmlns=\"urn:runloom:fleet\"><name>{name}</name><zone>{zone}</zone><listen>127.0.0.1:0</listen>\
         <planner>{home}</planner>{}<pick>less-busy</pick><shun-after>3</shun-after><shun-ms>4000</shun-ms>\
         <report-ms>1000</report-ms>{CLASSES}{standing}</forwarder>",
        tls_xml(tls, ""),
    )
}

/// An operation with an empty element for each parameter.
pub fn operation(name: &str, parameters: &[&str]) -> Element {
    let empty = |parameter: &&str| Element::new(BASE, parameter);
    parameters.iter().map(empty).fold(Element::new(BASE, name), Element::with)
}

/// `<lock>` or `<unlock>` of the candidate.
pub fn candidate_lock(name: &str) -> Element {
    Element::new(BASE, name).with(operation("target", &["candidate"]))
}

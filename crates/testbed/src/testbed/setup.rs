//! Sets up a testbed: credentials, servers, planners, proxies and management clients.

use super::restart_observation::RestartObservation;
use super::{EndpointListing, ObservedProxy, Testbed, MAX_UPDATE_LAG_US};
use crate::fake_servers::{FakeServers, ServerCapacity};
use crate::issuer::Issuer;
use crate::load_generator::{LoadGenerator, CLASSES};
use crate::management_clients::{self, ManagementState};
use crate::planner_process::{PlannerAddresses, PlannerCommand, PlannerProcess};
use crate::rule_checker::Observations;
use crate::scenario::{DeliveryMode, Scenario};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::SeedableRng;
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_daemon::tls_credentials::{PLANNER_DNS_NAME, PROXY_DNS_NAME};
use runloom_event_loop::EventLoop;
use runloom_identity::access::{AccessRule, Permission, Principal};
use runloom_model::proxy_settings::{ProxySettings, TableDelivery};
use runloom_model::tls_files::TlsFiles;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Lifetime of the identities of the feed and the operators, in seconds.
const MANAGEMENT_IDENTITY_SECONDS: i64 = 3600;
/// Number of servers of its own zone that a proxy knows when it starts.
const BOOTSTRAP_SERVER_COUNT: usize = 6;
/// A proxy's circuit breaker for a server opens after this many failures in a row, for this time.
const CIRCUIT_BREAKER_FAILURES: u32 = 3;
const CIRCUIT_BREAKER_OPEN: Duration = Duration::from_secs(4);
const PROXY_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Factor on a proxy's number from which its seed is derived, so that proxies have different seeds.
const PROXY_SEED_MULTIPLIER: u64 = 0x9e37_79b9;

/// The SPIFFE ID of a component, in the testbed's trust domain.
fn spiffe_id(name: &str) -> String {
    let kind = match name {
        "staff" | "feed" => "tool",
        name if name.starts_with("planner") => "planner",
        _ => "proxy",
    };
    format!("spiffe://testbed.example/{kind}/{name}")
}

fn planner_name(planner: usize) -> String {
    format!("planner-{planner}")
}

fn proxy_name(proxy: usize) -> String {
    format!("f{proxy}")
}

/// Replaces the access rules of credentials by those that permit the scenario's planners to send commands.
fn trust_planners(credentials: TlsFiles, scenario: &Scenario) -> TlsFiles {
    let principal = |planner| Principal::parse(&spiffe_id(&planner_name(planner))).ok();
    let principals = (0..scenario.planner_count).filter_map(principal);
    let rules =
        principals.map(|principal| AccessRule { principal, permission: Permission::Command }).collect();
    TlsFiles { rules, ..credentials }
}

/// Credentials of a management client: a SPIFFE identity if the scenario uses them, else a DNS name.
fn management_credentials(issuer: &Issuer, scenario: &Scenario, name: &str) -> Result<TlsFiles, String> {
    if scenario.identity_lifetime.is_none() {
        return issuer.issue(name, None);
    }
    let credentials = issuer.issue_identity(name, &spiffe_id(name), MANAGEMENT_IDENTITY_SECONDS, |_| {})?;
    Ok(trust_planners(credentials, scenario))
}

fn start_servers(event_loop: &mut EventLoop, scenario: &Scenario) -> std::io::Result<FakeServers> {
    let mut servers = FakeServers::new(ServerCapacity {
        service_time: scenario.service_time,
        cores: scenario.cores,
        warm_up: scenario.warm_up,
    });
    for server in 0..scenario.server_count {
        servers.add(event_loop, &format!("z{}", server % scenario.zone_count), false)?;
    }
    Ok(servers)
}

/// The way in which one proxy receives its tables.
fn table_delivery(mode: DeliveryMode, proxy: usize) -> TableDelivery {
    match mode {
        DeliveryMode::Pubsub => TableDelivery::Weights,
        DeliveryMode::Mixed if proxy % 2 == 1 => TableDelivery::Weights,
        DeliveryMode::Subsets => TableDelivery::Subsets,
        DeliveryMode::Netconf | DeliveryMode::Mixed => TableDelivery::Edits,
    }
}

impl Testbed {
    /// Starts servers, planners, proxies and feeds; settings, logs, credentials and state are written to `folder`.
    ///
    /// `program` is the testbed's own program, which also runs the planners; `planner_arguments` are added to their
    /// command line.
    ///
    /// # Errors
    /// Returns the cause if a process, a socket or a file fails.
    pub fn new(
        scenario: Scenario,
        seed: u64,
        folder: &Path,
        program: &Path,
        planner_arguments: &[&str],
    ) -> Result<Testbed, String> {
        let issuer = Issuer::new(&folder.join("papers"))?;
        let mut event_loop = EventLoop::new().map_err(|e| e.to_string())?;
        // The limit of handshakes per iteration is meant for a loop with one component; here all proxies share a loop.
        event_loop.max_handshakes = usize::MAX;
        let servers = start_servers(&mut event_loop, &scenario).map_err(|e| e.to_string())?;
        let mut testbed = Testbed {
            rng: StdRng::seed_from_u64(seed),
            planner_seed: seed,
            scenario_seed: seed,
            folder: folder.to_path_buf(),
            program: program.to_path_buf(),
            planner_arguments: planner_arguments.iter().map(|argument| argument.to_string()).collect(),
            planners: vec![],
            servers,
            clients: LoadGenerator::new(vec![], scenario.request_rate),
            proxies: vec![],
            connection_owners: BTreeMap::new(),
            management: Arc::new(ManagementState::default()),
            management_threads: vec![],
            epoch: Instant::now(),
            listing: EndpointListing::default(),
            scheduled_actions: vec![],
            observations: Observations::default(),
            entries_received: 0,
            operator_credentials: management_credentials(&issuer, &scenario, "staff")?,
            feed_credentials: management_credentials(&issuer, &scenario, "feed")?,
            issuer,
            identities_renewed_at: event_loop.now(),
            scenario_start: event_loop.now(),
            settle_time: Duration::ZERO,
            synthetic_request_rate: None,
            synthetic_requests_until: Duration::ZERO,
            slow_reader_share: 0.0,
            first_received: BTreeMap::new(),
            update_lag_us: Histogram::new_with_bounds(1, MAX_UPDATE_LAG_US, 3).map_err(|e| e.to_string())?,
            stream_generations: BTreeMap::new(),
            restart: RestartObservation::default(),
            event_loop,
            scenario,
        };
        testbed.start_planners()?;
        testbed.start_proxies()?;
        testbed.start_feeds();
        Ok(testbed)
    }

    /// Credentials of a planner or a proxy: a SPIFFE identity if the scenario uses them, else its DNS name and that of
    /// its role.
    fn component_credentials(&self, name: &str, role: &'static str) -> Result<TlsFiles, String> {
        let Some(lifetime) = self.scenario.identity_lifetime else {
            return self.issuer.issue(name, Some(role));
        };
        let seconds = lifetime.as_secs() as i64;
        let credentials = self.issuer.issue_identity(name, &spiffe_id(name), seconds, |_| {})?;
        Ok(trust_planners(credentials, &self.scenario))
    }

    /// Issues new identities to planners and proxies when half of the lifetime of the old ones has passed.
    pub(super) fn renew_identities(&mut self) -> Result<(), String> {
        let Some(lifetime) = self.scenario.identity_lifetime else { return Ok(()) };
        if self.event_loop.now() < self.identities_renewed_at + lifetime / 2 {
            return Ok(());
        }
        self.identities_renewed_at = self.event_loop.now();
        let planners = (0..self.scenario.planner_count).map(planner_name);
        let proxies = (0..self.scenario.proxy_count).map(proxy_name);
        for name in planners.chain(proxies) {
            self.issuer.issue_identity(&name, &spiffe_id(&name), lifetime.as_secs() as i64, |_| {})?;
        }
        Ok(())
    }

    fn planner_settings_file(&self, planner: usize) -> PathBuf {
        self.folder.join(format!("planner-{planner}.xml"))
    }

    /// The folder in which a planner keeps its state.
    pub(super) fn planner_state_folder(&self, planner: usize) -> PathBuf {
        self.folder.join(format!("state-{planner}"))
    }

    fn start_planners(&mut self) -> Result<(), String> {
        for planner in 0..self.scenario.planner_count {
            let credentials = self.component_credentials(&planner_name(planner), PLANNER_DNS_NAME)?;
            // Reserved here, so that a restarted planner listens on the same addresses.
            let addresses = PlannerAddresses::reserve().map_err(|e| e.to_string())?;
            let settings = self.planner_settings_xml(planner, &credentials, &addresses);
            std::fs::write(self.planner_settings_file(planner), settings).map_err(|e| e.to_string())?;
            let process = self.start_planner(planner)?;
            self.planners.push(process);
        }
        Ok(())
    }

    /// Starts a planner with its settings file, which has been written before.
    pub(super) fn start_planner(&self, planner: usize) -> Result<PlannerProcess, String> {
        PlannerProcess::start(PlannerCommand {
            program: &self.program,
            settings: &self.planner_settings_file(planner),
            seed: self.planner_seed,
            log: &self.folder.join(format!("planner-{planner}.log")),
            arguments: &self.planner_arguments,
        })
    }

    fn start_proxies(&mut self) -> Result<(), String> {
        let mut addresses = Vec::new();
        for proxy in 0..self.scenario.proxy_count {
            let settings = self.proxy_settings(proxy)?;
            let seed = self.planner_seed ^ (proxy as u64 + 1).wrapping_mul(PROXY_SEED_MULTIPLIER);
            let (runtime, address) =
                ProxyRuntime::start(&mut self.event_loop, settings, seed).map_err(|e| e.to_string())?;
            addresses.push(address);
            self.proxies.push(ObservedProxy { runtime, connection: None, streams: 0 });
            self.register_connections(proxy);
        }
        self.clients = LoadGenerator::new(addresses, self.scenario.request_rate);
        Ok(())
    }

    fn proxy_settings(&self, proxy: usize) -> Result<ProxySettings, String> {
        let name = proxy_name(proxy);
        let zone = format!("z{}", proxy % self.scenario.zone_count);
        let delivery = table_delivery(self.scenario.delivery, proxy);
        let local_servers = self.servers.all.iter().filter(|server| server.zone == zone);
        let bootstrap_servers = local_servers.take(BOOTSTRAP_SERVER_COUNT);
        Ok(ProxySettings {
            tls: self.component_credentials(&name, PROXY_DNS_NAME)?,
            name,
            static_servers: bootstrap_servers.map(|server| (server.name.clone(), server.address)).collect(),
            zone,
            listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            table_delivery: delivery,
            planner_addresses: self.planner_addresses(delivery, proxy),
            selection: self.scenario.selection.clone(),
            circuit_breaker_failures: CIRCUIT_BREAKER_FAILURES,
            circuit_breaker_open: CIRCUIT_BREAKER_OPEN,
            report_period: PROXY_REPORT_INTERVAL,
            classes: CLASSES.iter().map(|class| class.to_settings()).collect(),
        })
    }

    /// The planners' addresses in the order of a proxy's settings. Consecutive proxies begin with different planners.
    fn planner_addresses(&self, delivery: TableDelivery, proxy: usize) -> Vec<SocketAddr> {
        let address = |planner: &PlannerProcess| match delivery {
            TableDelivery::Edits => planner.addresses.call_home,
            _ => planner.addresses.pubsub,
        };
        let mut addresses: Vec<SocketAddr> = self.planners.iter().map(address).collect();
        let planner_count = addresses.len();
        addresses.rotate_left(proxy % planner_count);
        addresses
    }

    fn start_feeds(&mut self) {
        self.management.publish_list(Duration::ZERO, self.endpoint_list());
        for (index, planner) in self.planners.iter().enumerate() {
            self.management_threads.push(management_clients::spawn_feed(
                index,
                planner.addresses.edits,
                self.feed_credentials.clone(),
                self.management.clone(),
                self.epoch,
            ));
        }
    }
}

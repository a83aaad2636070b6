//! SPIFFE identities of one trust domain, and a planner that checks them.

use super::requests::list_servers;
use super::PlannerWithOperator;
use runloom_daemon::client::Client;
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_identity::access::{AccessRule, Permission, Principal};
use runloom_model::tls_files::TlsFiles;
use runloom_testbed::issuer::Issuer;
use std::time::Duration;

/// An identity's lifetime in seconds that no test reaches.
pub const HOUR: i64 = 3600;
/// Far longer than an edit of the feed takes.
const FEED_TIMEOUT: Duration = Duration::from_secs(40);
pub const ALL_SERVERS: [&str; 3] = ["s1", "s2", "s3"];
pub const PLANNER_ID: &str = "spiffe://valle.example/planner/p";
pub const PROXY_ID: &str = "spiffe://valle.example/proxy/f1";
pub const OPERATOR_ID: &str = "spiffe://valle.example/staff/lead";
pub const FEED_ID: &str = "spiffe://valle.example/feed";

pub const ACCESS_RULES: &str = "<may><whom>spiffe://valle.example/proxy/*</whom><join/></may>\
    <may><whom>spiffe://valle.example/staff/*</whom><read>*</read></may>\
    <may><whom>spiffe://valle.example/staff/lead</whom><kill/><write>fleet</write></may>\
    <may><whom>spiffe://valle.example/feed</whom><write>roster</write></may>";

/// Credentials whose holder takes commands from one planner only.
pub fn trust_planner(credentials: TlsFiles, planner: &str) -> TlsFiles {
    let rules =
        vec![AccessRule { principal: Principal::parse(planner).unwrap(), permission: Permission::Command }];
    TlsFiles { rules, ..credentials }
}

/// Issues an identity that expires after some seconds.
pub fn issue(issuer: &Issuer, name: &str, id: &str, seconds: i64) -> TlsFiles {
    issuer.issue_identity(name, id, seconds, |_| {}).unwrap()
}

/// Issues the credentials of an operator who may change the fleet.
pub fn operator_credentials(issuer: &Issuer) -> TlsFiles {
    trust_planner(issue(issuer, "lead", OPERATOR_ID, HOUR), PLANNER_ID)
}

/// Starts a planner whose identity expires after some seconds.
pub fn start_planner(name: &str, seconds: i64) -> PlannerWithOperator {
    let planner = |issuer: &Issuer| issue(issuer, "p", PLANNER_ID, seconds);
    PlannerWithOperator::with_credentials(name, planner, operator_credentials, ACCESS_RULES)
}

/// Adds three servers to the endpoint list, with the feed's identity.
pub fn list_all_servers(planner: &PlannerWithOperator) {
    let feed = issue(&planner.issuer, "feed", FEED_ID, HOUR);
    let policy = TlsPolicy::load(&trust_planner(feed, PLANNER_ID)).unwrap();
    let mut client = Client::open(planner.addresses.edits, &policy, FEED_TIMEOUT).unwrap();
    for server in ALL_SERVERS {
        client.edit(list_servers(&[server]), None).unwrap();
    }
}

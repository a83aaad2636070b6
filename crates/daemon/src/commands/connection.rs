//! The connection of a command to a planner.

use super::error::CommandError;
use crate::client::Client;
use crate::tls_credentials::TlsPolicy;
use runloom_identity::access::{AccessRule, Permission, Principal};
use runloom_identity::id::SpiffeId;
use runloom_model::tls_files::TlsFiles;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How to connect to a planner.
#[derive(Debug, Clone)]
pub struct ConnectionOptions {
    /// The planner's NETCONF address.
    pub planner: SocketAddr,
    /// The client's certificate chain, PEM.
    pub certificate: PathBuf,
    /// The client's key, PEM.
    pub key: PathBuf,
    /// Certificates of trusted authorities, PEM.
    pub trust: PathBuf,
    /// The planner's SPIFFE identity; without it, certificates identify their holders by DNS names.
    pub planner_id: Option<String>,
    /// Time to wait for each reply.
    pub timeout: Duration,
}

impl ConnectionOptions {
    /// Connects to the planner, and opens a NETCONF session.
    pub fn open(&self) -> Result<Client, CommandError> {
        let mut rules = vec![];
        if let Some(planner_id) = &self.planner_id {
            let id = SpiffeId::parse(planner_id)?;
            rules.push(AccessRule { principal: Principal::Exact(id), permission: Permission::Command });
        }
        let files = TlsFiles {
            certificate: self.certificate.clone(),
            key: self.key.clone(),
            trust: self.trust.clone(),
            rules,
            federated: vec![],
        };
        let tls = TlsPolicy::load(&files)?;
        Ok(Client::open(self.planner, &tls, self.timeout)?)
    }
}

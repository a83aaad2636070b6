//! Files with certificates, and the access rules of their holders: `<tls>`.

use crate::settings_error::InvalidSettings;
use runloom_identity::access::{AccessRule, Permission, Principal};
use runloom_netconf::tree::Element;
use std::path::PathBuf;

/// Files with certificates, and access rules.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TlsFiles {
    /// Its own certificate chain.
    pub certificate: PathBuf,
    /// The key of its certificate.
    pub key: PathBuf,
    /// The authorities that it trusts.
    pub trust: PathBuf,
    /// Other trust domains, and the files with their bundles.
    pub federated: Vec<(String, PathBuf)>,
    /// Access rules for SPIFFE identities. Without any, holders are told apart by DNS names.
    pub rules: Vec<AccessRule>,
}

impl TlsFiles {
    /// Reads `<tls>` in `parent`, which is valid by the schema.
    pub fn read(parent: &Element) -> Result<TlsFiles, InvalidSettings> {
        let empty = Element::default();
        let tls = parent.child("tls").unwrap_or(&empty);
        let path = |name: &str| PathBuf::from(tls.text_of(name).unwrap_or_default());
        let mut rules = Vec::new();
        for may in tls.named("may") {
            rules.extend(read_rules(may)?);
        }
        Ok(TlsFiles {
            certificate: path("certificate"),
            key: path("key"),
            trust: path("trust"),
            federated: tls.named("federated").map(|federated| read_federated(federated)).collect(),
            rules,
        })
    }

    /// Whether certificates name their holders by SPIFFE identities.
    pub fn uses_spiffe_ids(&self) -> bool {
        !self.rules.is_empty()
    }
}

/// Reads `<may>`: one rule for each permission.
fn read_rules(may: &Element) -> Result<Vec<AccessRule>, InvalidSettings> {
    let whom = may.text_of("whom").unwrap_or_default();
    let principal = Principal::parse(whom).map_err(|error| InvalidSettings {
        path: format!("/tls/may[whom='{whom}']/whom"),
        reason: error.to_string(),
    })?;
    let parts = |name: &str| may.named(name).map(|part| part.text.clone()).collect::<Vec<String>>();
    let permissions = [
        may.child("order").map(|_| Permission::Command),
        may.child("join").map(|_| Permission::Connect),
        may.child("kill").map(|_| Permission::KillSession),
        may.child("read").map(|_| Permission::Read(parts("read"))),
        may.child("write").map(|_| Permission::Write(parts("write"))),
    ];
    let rule = |may: Permission| AccessRule { principal: principal.clone(), permission: may };
    Ok(permissions.into_iter().flatten().map(rule).collect())
}

/// Reads `<federated>`: trust domain, and the file with its bundle.
fn read_federated(federated: &Element) -> (String, PathBuf) {
    let text = |name: &str| federated.text_of(name).unwrap_or_default();
    (text("domain").to_string(), PathBuf::from(text("bundle")))
}

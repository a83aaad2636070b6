//! TLS settings (`<tls>`): files with certificates and keys, and access rules for the holders of certificates.

use crate::settings_error::InvalidSettings;
use runloom_identity::access::{AccessRule, Permission, Principal};
use runloom_netconf::tree::Element;
use std::path::PathBuf;

/// Paths of certificate files, and access rules.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TlsFiles {
    /// PEM file with the process's own certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key of its certificate.
    pub key: PathBuf,
    /// File with the authorities that it trusts.
    pub trust: PathBuf,
    /// Federated trust domains, each with the file of its bundle.
    pub federated: Vec<(String, PathBuf)>,
    /// Access rules for SPIFFE IDs. If empty, holders are identified by the DNS names in their certificates.
    pub rules: Vec<AccessRule>,
}

impl TlsFiles {
    /// Reads `<tls>` in `parent`, which must be valid by the schema. Without `<tls>`, all paths and lists are empty.
    pub fn read(parent: &Element) -> Result<TlsFiles, InvalidSettings> {
        let empty = Element::default();
        let tls = parent.child("tls").unwrap_or(&empty);
        let path = |name: &str| PathBuf::from(tls.text_of(name).unwrap_or_default());
        let mut rules = Vec::new();
        for element in tls.named("may") {
            rules.extend(read_rules(element)?);
        }
        Ok(TlsFiles {
            certificate: path("certificate"),
            key: path("key"),
            trust: path("trust"),
            federated: tls.named("federated").map(|federated| read_federated(federated)).collect(),
            rules,
        })
    }

    /// Whether holders of certificates are identified by SPIFFE IDs rather than DNS names.
    pub fn uses_spiffe_ids(&self) -> bool {
        !self.rules.is_empty()
    }
}

/// Reads `<may>`: one rule for each kind of permission that it grants to `<whom>`.
fn read_rules(element: &Element) -> Result<Vec<AccessRule>, InvalidSettings> {
    let principal_text = element.text_of("whom").unwrap_or_default();
    let principal = Principal::parse(principal_text).map_err(|error| InvalidSettings {
        path: format!("/tls/may[whom='{principal_text}']/whom"),
        reason: error.to_string(),
    })?;
    let parts = |name: &str| element.named(name).map(|part| part.text.clone()).collect::<Vec<String>>();
    let permissions = [
        element.child("order").map(|_| Permission::Command),
        element.child("join").map(|_| Permission::Connect),
        element.child("kill").map(|_| Permission::KillSession),
        element.child("read").map(|_| Permission::Read(parts("read"))),
        element.child("write").map(|_| Permission::Write(parts("write"))),
    ];
    let rule = |permission: Permission| AccessRule { principal: principal.clone(), permission };
    Ok(permissions.into_iter().flatten().map(rule).collect())
}

/// Reads `<federated>`: the trust domain, and the file with its bundle.
fn read_federated(federated: &Element) -> (String, PathBuf) {
    let text = |name: &str| federated.text_of(name).unwrap_or_default();
    (text("domain").to_string(), PathBuf::from(text("bundle")))
}

//! Mutual TLS with credentials from files, and the holder of a certificate. With identity rules in the settings a
//! certificate identifies its holder by a SPIFFE identity alone (X509-SVID). Without rules it identifies the holder and
//! its role by DNS names: `planner.runloom`, `proxy.runloom`, or no role for operators, tools and feeds. Changed files
//! are read again while the process runs; new credentials come into force only if all files can be used.

mod error;
mod files;
mod verifier;

pub use error::{HolderError, TlsError};

use files::{file_stamps, read_credentials, FileStamp};
use runloom_identity::access::{check_access, AccessRule, RequestedAccess};
use runloom_identity::bundle::TrustStore;
use runloom_identity::id::SpiffeId;
use runloom_identity::svid::{self, Svid};
use runloom_model::tls_files::TlsFiles;
use rustls::client::Resumption;
use rustls::crypto::ring;
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::NoServerSessionStorage;
use rustls::{ClientConfig, ServerConfig};
use std::sync::Arc;
use verifier::ReloadableCredentials;
use x509_parser::extensions::GeneralName;

/// DNS name in certificates of planners.
pub const PLANNER_DNS_NAME: &str = "planner.runloom";
/// DNS name in certificates of proxies.
pub const PROXY_DNS_NAME: &str = "proxy.runloom";

/// Client and server configurations of mutual TLS 1.3, with credentials that can be reloaded from their files.
#[derive(Clone)]
pub struct TlsPolicy {
    /// For the TLS server side of a connection.
    pub server_config: Arc<ServerConfig>,
    /// For the TLS client side of a connection.
    pub client_config: Arc<ClientConfig>,
    credentials: Arc<ReloadableCredentials>,
    /// Stamps of the files when they were last read.
    stamps: Vec<FileStamp>,
}

impl TlsPolicy {
    /// Reads the certificate chain, the key and the trusted authorities from their files.
    pub fn load(files: &TlsFiles) -> Result<TlsPolicy, TlsError> {
        let provider = Arc::new(ring::default_provider());
        let stamps = file_stamps(files);
        let mut trust = TrustStore::default();
        let credentials = read_credentials(files, &provider, &mut trust)?;
        let credentials = Arc::new(ReloadableCredentials::new(files.clone(), provider, credentials, trust));
        Ok(TlsPolicy {
            server_config: Arc::new(build_server_config(&credentials)?),
            client_config: Arc::new(build_client_config(&credentials)?),
            credentials,
            stamps,
        })
    }

    /// Reads the files again if one has changed. If they cannot be used, the previous credentials stay in force.
    /// Returns whether new credentials are in force, for new connections.
    pub fn reload(&mut self) -> Result<bool, TlsError> {
        let stamps = file_stamps(&self.credentials.files);
        if stamps == self.stamps {
            return Ok(false);
        }
        let mut trust = self.credentials.trust();
        let read = read_credentials(&self.credentials.files, &self.credentials.provider, &mut trust);
        // Also set if reading failed: a half-written file is read again once it changes, not at each call.
        self.stamps = stamps;
        self.credentials.replace(read?, trust);
        Ok(true)
    }

    /// Whether a certificate would still be accepted; its authority may have been removed by a reload.
    pub fn still_trusts(&self, certificate: &[u8]) -> bool {
        let certificate = CertificateDer::from(certificate);
        let Ok(authorities) = self.credentials.authorities_for(&certificate) else { return false };
        authorities.client_verifier.verify_client_cert(&certificate, &[], UnixTime::now()).is_ok()
    }

    /// The process's own identity, if certificates hold SPIFFE identities.
    pub fn own_identity(&self) -> Option<Svid> {
        self.credentials.credentials().own_identity.clone()
    }

    /// The holder of a certificate that TLS has verified.
    pub fn identify(&self, certificate: &[u8]) -> Result<CertificateHolder, HolderError> {
        let files = &self.credentials.files;
        if files.uses_spiffe_ids() {
            let svid = svid::parse(certificate)?;
            Ok(CertificateHolder::by_identity(svid, &files.rules))
        } else {
            CertificateHolder::by_dns_names(certificate).ok_or(HolderError::NoName)
        }
    }
}

fn unusable_error(error: rustls::Error) -> TlsError {
    TlsError::Unusable(error.to_string())
}

/// Builds the server side's configuration without session resumption: a resumed session is not verified again, and
/// would outlive its identity.
fn build_server_config(credentials: &Arc<ReloadableCredentials>) -> Result<ServerConfig, TlsError> {
    let mut config = ServerConfig::builder_with_provider(credentials.provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable_error)?
        .with_client_cert_verifier(credentials.clone())
        .with_cert_resolver(credentials.clone());
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    Ok(config)
}

/// Builds the client side's configuration, without session resumption for the same reason.
fn build_client_config(credentials: &Arc<ReloadableCredentials>) -> Result<ClientConfig, TlsError> {
    let mut config = ClientConfig::builder_with_provider(credentials.provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable_error)?
        .dangerous()
        .with_custom_certificate_verifier(credentials.clone())
        .with_client_cert_resolver(credentials.clone());
    config.resumption = Resumption::disabled();
    Ok(config)
}

/// The server name that a TLS client expects of a peer with a role.
pub fn server_name(role: &'static str) -> ServerName<'static> {
    ServerName::try_from(role).expect("a role is a DNS name")
}

/// A SPIFFE identity, and when it expires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderIdentity {
    /// The SPIFFE id.
    pub id: SpiffeId,
    /// End of its validity, in seconds since 1970.
    pub expires_at: i64,
}

/// The holder of a certificate.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CertificateHolder {
    /// The name under which edits and logs refer to it.
    pub name: String,
    /// Whether it may command proxies.
    pub is_planner: bool,
    /// Whether it may connect to a planner as a proxy.
    pub is_proxy: bool,
    /// Its identity, if certificates hold SPIFFE identities.
    pub identity: Option<HolderIdentity>,
}

impl CertificateHolder {
    /// The name of a planner or proxy is the last segment of its identity's path; that of others is the complete
    /// identity.
    fn by_identity(svid: Svid, rules: &[AccessRule]) -> CertificateHolder {
        let Svid { id, not_after, .. } = svid;
        let last_segment = id.name().unwrap_or_default().to_string();
        let is_proxy = check_access(rules, &id, RequestedAccess::Connect { name: &last_segment }).is_ok();
        let is_planner = check_access(rules, &id, RequestedAccess::Command).is_ok();
        let name = if is_proxy || is_planner { last_segment } else { id.to_string() };
        let identity = Some(HolderIdentity { id, expires_at: not_after });
        CertificateHolder { name, is_planner, is_proxy, identity }
    }

    /// The DNS names of roles set the role, and the first other DNS name is the holder's name; `None` without one.
    fn by_dns_names(certificate: &[u8]) -> Option<CertificateHolder> {
        let (_, parsed) = x509_parser::parse_x509_certificate(certificate).ok()?;
        let names = parsed.subject_alternative_name().ok()??;
        let mut holder = CertificateHolder::default();
        for name in &names.value.general_names {
            match name {
                GeneralName::DNSName(PLANNER_DNS_NAME) => holder.is_planner = true,
                GeneralName::DNSName(PROXY_DNS_NAME) => holder.is_proxy = true,
                GeneralName::DNSName(name) if holder.name.is_empty() => holder.name = name.to_string(),
                _ => {}
            }
        }
        (!holder.name.is_empty()).then_some(holder)
    }

    /// Whether its identity has expired at `now`, in seconds since 1970.
    pub fn has_expired(&self, now: i64) -> bool {
        self.identity.as_ref().is_some_and(|identity| now > identity.expires_at)
    }
}

//! Certificates and keys from files, and the terms of TLS that follow. Every certificate names its holder and
//! its role as DNS names: `planner.runloom`, `proxy.runloom`, or neither for staff, tools and feeds.

use runloom_model::fleet::Papers;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use x509_parser::extensions::GeneralName;

pub const PLANNER: &str = "planner.runloom";
pub const PROXY: &str = "proxy.runloom";

#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    #[error("{0}: {1}")]
    File(PathBuf, String),
    #[error("certificate and key do not fit TLS: {0}")]
    Terms(String),
}

/// Terms for both ends of TLS, with mutual certificates.
#[derive(Clone)]
pub struct Terms {
    pub answers: Arc<ServerConfig>,
    pub starts: Arc<ClientConfig>,
}

impl Terms {
    pub fn load(papers: &Papers) -> Result<Terms, Unusable> {
        let bad = |path: &Path, e: rustls::pki_types::pem::Error| Unusable::File(path.into(), e.to_string());
        let list = |path: &Path| -> Result<Vec<CertificateDer<'static>>, Unusable> {
            let read = CertificateDer::pem_file_iter(path).map_err(|e| bad(path, e))?;
            read.collect::<Result<_, _>>().map_err(|e| bad(path, e))
        };
        let chain = list(&papers.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&papers.key).map_err(|e| bad(&papers.key, e))?;
        let mut roots = RootCertStore::empty();
        for root in list(&papers.trust)? {
            roots.add(root).map_err(|e| Unusable::File(papers.trust.clone(), e.to_string()))?;
        }
        let (roots, terms) = (Arc::new(roots), |e: rustls::Error| Unusable::Terms(e.to_string()));
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|e| Unusable::Terms(e.to_string()))?;
        let answers = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(terms)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(terms)?;
        let starts = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(terms)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(terms)?;
        Ok(Terms { answers: Arc::new(answers), starts: Arc::new(starts) })
    }
}

/// The role's name, as TLS wants it.
pub fn server_name(role: &'static str) -> ServerName<'static> {
    ServerName::try_from(role).expect("a role is a DNS name")
}

/// Who a certificate is for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Holder {
    pub name: String,
    pub planner: bool,
    pub proxy: bool,
}

/// Reads the holder off a certificate that TLS has found trustworthy; `None` if it names nobody.
pub fn holder(certificate: &[u8]) -> Option<Holder> {
    let (_, parsed) = x509_parser::parse_x509_certificate(certificate).ok()?;
    let names = parsed.subject_alternative_name().ok()??;
    let mut holder = Holder::default();
    for name in &names.value.general_names {
        match name {
            GeneralName::DNSName(PLANNER) => holder.planner = true,
            GeneralName::DNSName(PROXY) => holder.proxy = true,
            GeneralName::DNSName(own) if holder.name.is_empty() => holder.name = own.to_string(),
            _ => {}
        }
    }
    (!holder.name.is_empty()).then_some(holder)
}

//! Reads certificates, keys and trust bundles from their files.

use super::error::TlsError;
use runloom_identity::bundle::{Bundle, TrustStore};
use runloom_identity::id::TrustDomain;
use runloom_identity::svid::{self, Svid};
use runloom_model::tls_files::TlsFiles;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::WebPkiClientVerifier;
use rustls::sign::CertifiedKey;
use rustls::RootCertStore;
use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

/// Permission bits that give the group or others access to a key's file.
const OTHERS_MODE_MASK: u32 = 0o077;
/// The permission bits in the mode of a file.
const PERMISSIONS_MASK: u32 = 0o777;

/// The authorities of one trust domain, for both sides of TLS.
#[derive(Debug, Clone)]
pub(super) struct Authorities {
    pub roots: Arc<RootCertStore>,
    pub client_verifier: Arc<dyn ClientCertVerifier>,
}

/// Credentials that were read from files.
#[derive(Debug, Clone)]
pub(super) struct Credentials {
    pub key: Arc<CertifiedKey>,
    /// By trust domain; under `None` if certificates identify their holders by DNS names.
    pub authorities: BTreeMap<Option<TrustDomain>, Authorities>,
    /// The process's own identity, if certificates hold SPIFFE identities.
    pub own_identity: Option<Svid>,
}

/// Modification time and length of a file, by which changes are detected; `None` if the file cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FileStamp(Option<(SystemTime, u64)>);

/// The stamps of all files.
pub(super) fn file_stamps(files: &TlsFiles) -> Vec<FileStamp> {
    let paths = [&files.certificate, &files.key, &files.trust];
    let paths = paths.into_iter().chain(files.federated.iter().map(|(_, path)| path));
    let stamp = |path: &PathBuf| {
        let metadata = std::fs::metadata(path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    };
    paths.map(|path| FileStamp(stamp(path))).collect()
}

fn file_error(path: &Path, reason: impl ToString) -> TlsError {
    TlsError::File { path: path.to_path_buf(), reason: reason.to_string() }
}

/// Reads all files. `trust` holds the bundles that were read before, and is changed only if all files can be used.
pub(super) fn read_credentials(
    files: &TlsFiles,
    provider: &Arc<CryptoProvider>,
    trust: &mut TrustStore,
) -> Result<Credentials, TlsError> {
    let chain = read_certificates(&files.certificate)?;
    let key = read_key(files)?;
    let own_identity = read_own_identity(files, &chain)?;
    // Also checks that key and certificate belong together.
    let key = CertifiedKey::from_der(chain, key, provider);
    let key = key.map_err(|error| TlsError::Unusable(error.to_string()))?;
    let own_authorities = read_own_authorities(files)?;
    let authorities = match &own_identity {
        None => BTreeMap::from([(None, build_authorities(&own_authorities, &files.trust, provider)?)]),
        Some(own) => read_federation(files, own, own_authorities, provider, trust)?,
    };
    Ok(Credentials { key: Arc::new(key), authorities, own_identity })
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let unreadable = |error: pem::Error| file_error(path, error);
    let certificates = CertificateDer::pem_file_iter(path).map_err(unreadable)?;
    certificates.collect::<Result<_, _>>().map_err(unreadable)
}

/// Reads the key. With identities, a key file to which the group or others have access is rejected.
fn read_key(files: &TlsFiles) -> Result<PrivateKeyDer<'static>, TlsError> {
    let path = &files.key;
    if files.uses_spiffe_ids() {
        let metadata = std::fs::metadata(path).map_err(|error| file_error(path, error))?;
        let mode = metadata.permissions().mode();
        if mode & OTHERS_MODE_MASK != 0 {
            let permissions = mode & PERMISSIONS_MASK;
            return Err(file_error(path, format!("others may read this key (mode {permissions:o})")));
        }
    }
    PrivateKeyDer::from_pem_file(path).map_err(|error| file_error(path, error))
}

fn read_own_identity(files: &TlsFiles, chain: &[CertificateDer<'static>]) -> Result<Option<Svid>, TlsError> {
    match chain.first() {
        Some(leaf) if files.uses_spiffe_ids() => {
            svid::parse(leaf).map(Some).map_err(|error| file_error(&files.certificate, error))
        }
        _ => Ok(None),
    }
}

fn read_own_authorities(files: &TlsFiles) -> Result<Vec<Vec<u8>>, TlsError> {
    let certificates = read_certificates(&files.trust)?;
    if certificates.is_empty() {
        return Err(file_error(&files.trust, "the trust bundle contains no certificate"));
    }
    Ok(certificates.iter().map(|certificate| certificate.to_vec()).collect())
}

/// A trust domain's bundle, and the file that it was read from.
struct DomainBundle<'a> {
    domain: TrustDomain,
    bundle: Bundle,
    path: &'a Path,
}

/// The authorities of the process's own trust domain and of those that it federates with.
fn read_federation(
    files: &TlsFiles,
    own: &Svid,
    own_authorities: Vec<Vec<u8>>,
    provider: &Arc<CryptoProvider>,
    trust: &mut TrustStore,
) -> Result<BTreeMap<Option<TrustDomain>, Authorities>, TlsError> {
    if let Some(index) = own_authorities.iter().position(|der| !svid::is_authority(der)) {
        return Err(file_error(&files.trust, format!("certificate {} is no authority's", index + 1)));
    }
    let mut bundles = vec![];
    for (domain, path) in &files.federated {
        let domain = TrustDomain::parse(domain).map_err(|error| file_error(path, error))?;
        bundles.push(DomainBundle { domain, bundle: read_bundle(path)?, path });
    }
    bundles.push(DomainBundle {
        domain: own.id.trust_domain().clone(),
        bundle: Bundle { authorities: own_authorities, ..Bundle::default() },
        path: &files.trust,
    });
    let mut new_trust = trust.clone();
    let mut authorities = BTreeMap::new();
    for DomainBundle { domain, bundle, path } in bundles {
        let domain_authorities = build_authorities(&bundle.authorities, path, provider)?;
        authorities.insert(Some(domain.clone()), domain_authorities);
        new_trust.insert(domain, bundle).map_err(|error| file_error(path, error))?;
    }
    *trust = new_trust;
    Ok(authorities)
}

fn read_bundle(path: &Path) -> Result<Bundle, TlsError> {
    let document = std::fs::read(path).map_err(|error| file_error(path, error))?;
    Bundle::parse(&document).map_err(|error| file_error(path, error))
}

fn build_authorities(
    certificates: &[Vec<u8>],
    path: &Path,
    provider: &Arc<CryptoProvider>,
) -> Result<Authorities, TlsError> {
    let mut roots = RootCertStore::empty();
    for der in certificates {
        roots.add(CertificateDer::from(der.clone())).map_err(|error| file_error(path, error))?;
    }
    let roots = Arc::new(roots);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build();
    let client_verifier = verifier.map_err(|error| file_error(path, error))?;
    Ok(Authorities { roots, client_verifier })
}

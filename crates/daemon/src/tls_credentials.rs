//! Certificates and keys from files, the terms of TLS that follow, and who a certificate is for. With rules in the
//! settings a certificate names its holder by a SPIFFE identity and by nothing else; without, by DNS names: its own,
//! and its role, `planner.runloom`, `proxy.runloom`, or neither for staff, tools and feeds. Files that change are read
//! again while the process runs, whole or not at all.

use runloom_identity::access::{decide, RequestedAccess, Rule};
use runloom_identity::bundle::{Bundle, Trust};
use runloom_identity::id::{Domain, Id};
use runloom_identity::svid::{self, Svid};
use runloom_model::fleet::TlsFiles;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::{
    verify_server_cert_signed_by_trust_anchor, verify_server_name, ResolvesClientCert, Resumption,
};
use rustls::crypto::{ring, verify_tls13_signature, CryptoProvider};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::server::{
    ClientHello, NoServerSessionStorage, ParsedCertificate, ResolvesServerCert, WebPkiClientVerifier,
};
use rustls::sign::CertifiedKey;
use rustls::{
    ClientConfig, DigitallySignedStruct, DistinguishedName, RootCertStore, ServerConfig, SignatureScheme,
};
use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};
use std::time::SystemTime;
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

/// Whom one domain's authorities vouch for, at either end of TLS.
#[derive(Debug, Clone)]
struct Authorities {
    roots: Arc<RootCertStore>,
    clients: Arc<dyn ClientCertVerifier>,
}

/// What the files hold.
#[derive(Debug, Clone)]
struct Read {
    key: Arc<CertifiedKey>,
    /// By trust domain; without identities, by none.
    authorities: BTreeMap<Option<Domain>, Authorities>,
    own: Option<Svid>,
}

/// When files were last written, and how long they are.
type Stamps = Vec<Option<(SystemTime, u64)>>;

#[derive(Debug)]
struct Live {
    papers: TlsFiles,
    provider: Arc<CryptoProvider>,
    read: RwLock<(Arc<Read>, Trust)>,
}

/// Terms for both ends of TLS, with mutual certificates.
#[derive(Clone)]
pub struct TlsPolicy {
    pub answers: Arc<ServerConfig>,
    pub starts: Arc<ClientConfig>,
    live: Arc<Live>,
    stamps: Stamps,
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Unusable> {
    let bad = |e: rustls::pki_types::pem::Error| Unusable::File(path.into(), e.to_string());
    CertificateDer::pem_file_iter(path).map_err(bad)?.collect::<Result<_, _>>().map_err(bad)
}

fn bundle(path: &Path) -> Result<Bundle, Unusable> {
    let bad = |e: String| Unusable::File(path.into(), e);
    let document = std::fs::read(path).map_err(|e| bad(e.to_string()))?;
    Bundle::read(&document).map_err(|e| bad(e.to_string()))
}

fn authorities(
    ders: &[Vec<u8>],
    from: &Path,
    provider: &Arc<CryptoProvider>,
) -> Result<Authorities, Unusable> {
    let mut roots = RootCertStore::empty();
    for der in ders {
        let added = roots.add(CertificateDer::from(der.clone()));
        added.map_err(|e| Unusable::File(from.into(), e.to_string()))?;
    }
    let roots = Arc::new(roots);
    let clients = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build();
    let clients = clients.map_err(|e| Unusable::File(from.into(), e.to_string()))?;
    Ok(Authorities { roots, clients })
}

/// Reads all files. With identities, a key that others may read is refused.
fn read(papers: &TlsFiles, provider: &Arc<CryptoProvider>, trust: &mut Trust) -> Result<Read, Unusable> {
    let chain = certificates(&papers.certificate)?;
    let bad_key = |e: String| Unusable::File(papers.key.clone(), e);
    if papers.by_identity() {
        let mode = std::fs::metadata(&papers.key).map_err(|e| bad_key(e.to_string()))?.permissions().mode();
        if mode & 0o077 != 0 {
            return Err(bad_key(format!("others may read this key (mode {:o})", mode & 0o777)));
        }
    }
    let key = PrivateKeyDer::from_pem_file(&papers.key).map_err(|e| bad_key(e.to_string()))?;
    let own = match (papers.by_identity(), chain.first()) {
        (true, Some(leaf)) => {
            let own =
                svid::read(leaf).map_err(|e| Unusable::File(papers.certificate.clone(), e.to_string()))?;
            Some(own)
        }
        _ => None,
    };
    // That key and certificate go together is checked here.
    let key = CertifiedKey::from_der(chain, key, provider).map_err(|e| Unusable::Terms(e.to_string()))?;
    let ders: Vec<Vec<u8>> = certificates(&papers.trust)?.iter().map(|c| c.to_vec()).collect();
    if ders.is_empty() {
        return Err(Unusable::File(papers.trust.clone(), "it has no certificate".into()));
    }
    let mut all = BTreeMap::new();
    let Some(svid) = &own else {
        all.insert(None, authorities(&ders, &papers.trust, provider)?);
        return Ok(Read { key: Arc::new(key), authorities: all, own });
    };
    if let Some(k) = ders.iter().position(|der| !svid::vouches(der)) {
        return Err(Unusable::File(papers.trust.clone(), format!("certificate {} is no authority's", k + 1)));
    }
    let unusable = |path: &Path, e: String| Unusable::File(path.into(), e);
    let mut next = trust.clone();
    let bundles = papers.federated.iter().map(|(domain, path)| {
        let domain = Domain::read(domain).map_err(|e| unusable(path, e.to_string()))?;
        Ok((domain, bundle(path)?, path.as_path()))
    });
    let mut bundles = bundles.collect::<Result<Vec<_>, Unusable>>()?;
    let first = Bundle { authorities: ders, ..Bundle::default() };
    bundles.push((svid.id.domain().clone(), first, &papers.trust));
    for (domain, bundle, path) in bundles {
        all.insert(Some(domain.clone()), authorities(&bundle.authorities, path, provider)?);
        next.take(domain, bundle).map_err(|e| unusable(path, e.to_string()))?;
    }
    *trust = next;
    Ok(Read { key: Arc::new(key), authorities: all, own })
}

fn stamps(papers: &TlsFiles) -> Stamps {
    let files = [&papers.certificate, &papers.key, &papers.trust];
    let files = files.into_iter().chain(papers.federated.iter().map(|(_, path)| path));
    let stamp = |path: &PathBuf| {
        let there = std::fs::metadata(path).ok()?;
        Some((there.modified().ok()?, there.len()))
    };
    files.map(stamp).collect()
}

impl Live {
    fn now(&self) -> Arc<Read> {
        self.read.read().unwrap_or_else(|e| e.into_inner()).0.clone()
    }

    /// The authorities that may vouch for a certificate: those of its own identity's domain, or all there are.
    fn over(&self, certificate: &[u8]) -> Result<Authorities, rustls::Error> {
        let refused = |why: String| rustls::Error::General(why);
        let domain = match self.papers.by_identity() {
            false => None,
            true => Some(svid::read(certificate).map_err(|e| refused(e.to_string()))?.id.domain().clone()),
        };
        let found = self.now().authorities.get(&domain).cloned();
        found.ok_or_else(|| refused("its trust domain is not known here".into()))
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }

    fn signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }
}

impl ResolvesServerCert for Live {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.now().key.clone())
    }
}

impl ResolvesClientCert for Live {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.now().key.clone())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

impl ServerCertVerifier for Live {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        name: &ServerName<'_>,
        _: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let authorities = self.over(certificate)?;
        let parsed = ParsedCertificate::try_from(certificate)?;
        let algorithms = self.provider.signature_verification_algorithms.all;
        verify_server_cert_signed_by_trust_anchor(
            &parsed,
            &authorities.roots,
            intermediates,
            now,
            algorithms,
        )?;
        // An identity is its only name: whether it is the right one is for the rules.
        if !self.papers.by_identity() {
            verify_server_name(&parsed, name)?;
        }
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("TLS 1.2 is not spoken here".into()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

impl ClientCertVerifier for Live {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        // Authorities change while this runs; no hint is the one that stays true.
        &[]
    }

    fn verify_client_cert(
        &self,
        certificate: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.over(certificate)?.clients.verify_client_cert(certificate, intermediates, now)
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("TLS 1.2 is not spoken here".into()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

impl TlsPolicy {
    pub fn load(papers: &TlsFiles) -> Result<TlsPolicy, Unusable> {
        let provider = Arc::new(ring::default_provider());
        let stamps = stamps(papers);
        let mut trust = Trust::default();
        let first = Arc::new(read(papers, &provider, &mut trust)?);
        let live =
            Live { papers: papers.clone(), provider: provider.clone(), read: RwLock::new((first, trust)) };
        let (live, terms) = (Arc::new(live), |e: rustls::Error| Unusable::Terms(e.to_string()));
        let mut answers = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(terms)?
            .with_client_cert_verifier(live.clone())
            .with_cert_resolver(live.clone());
        let mut starts = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(terms)?
            .dangerous()
            .with_custom_certificate_verifier(live.clone())
            .with_client_cert_resolver(live.clone());
        // A session that is resumed is not verified again: it would outlive the identity that it began with.
        answers.session_storage = Arc::new(NoServerSessionStorage {});
        answers.send_tls13_tickets = 0;
        starts.resumption = Resumption::disabled();
        Ok(TlsPolicy { answers: Arc::new(answers), starts: Arc::new(starts), live, stamps })
    }

    /// Reads the files again if one of them changed. What cannot be used is left, and what was read before stays in
    /// force. `Ok(true)`: new ones are in force, for connections from now on.
    pub fn renew(&mut self) -> Result<bool, Unusable> {
        let now = stamps(&self.live.papers);
        if now == self.stamps {
            return Ok(false);
        }
        let mut trust = self.live.read.read().unwrap_or_else(|e| e.into_inner()).1.clone();
        let read = read(&self.live.papers, &self.live.provider, &mut trust);
        // A file that is half written is looked at again once it changes: not at every turn.
        self.stamps = now;
        *self.live.read.write().unwrap_or_else(|e| e.into_inner()) = (Arc::new(read?), trust);
        Ok(true)
    }

    /// Whether a certificate would still be taken: its authority may have been struck.
    pub fn vouches(&self, certificate: &[u8]) -> bool {
        let certificate = CertificateDer::from(certificate);
        let over = self.live.over(&certificate);
        over.is_ok_and(|a| a.clients.verify_client_cert(&certificate, &[], UnixTime::now()).is_ok())
    }

    /// One's own identity, and when it ends, seconds since 1970.
    pub fn own(&self) -> Option<Svid> {
        self.live.now().own.clone()
    }

    /// Who a certificate is for that TLS has found trustworthy; an error in words: nobody.
    pub fn holder(&self, certificate: &[u8]) -> Result<CertificateHolder, String> {
        match self.live.papers.by_identity() {
            false => by_names(certificate).ok_or_else(|| "it names nobody".to_string()),
            true => {
                let svid = svid::read(certificate).map_err(|e| e.to_string())?;
                Ok(CertificateHolder::by_identity(svid, &self.live.papers.rules))
            }
        }
    }
}

/// The role's name, as TLS wants it.
pub fn server_name(role: &'static str) -> ServerName<'static> {
    ServerName::try_from(role).expect("a role is a DNS name")
}

/// Who a certificate is for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CertificateHolder {
    pub name: String,
    pub planner: bool,
    pub proxy: bool,
    /// Its identity, and when that ends, seconds since 1970.
    pub id: Option<(Id, i64)>,
}

impl CertificateHolder {
    fn by_identity(svid: Svid, rules: &[Rule]) -> CertificateHolder {
        let Svid { id, until, .. } = svid;
        let own = id.name().unwrap_or_default().to_string();
        let proxy = decide(rules, &id, RequestedAccess::Join { name: &own }).is_ok();
        let planner = decide(rules, &id, RequestedAccess::Order).is_ok();
        // Proxies and planners go by the last part of their path, staff by all of it.
        let name = if proxy || planner { own } else { id.to_string() };
        CertificateHolder { name, planner, proxy, id: Some((id, until)) }
    }

    /// Whether its identity has ended at `now`, seconds since 1970.
    pub fn has_ended(&self, now: i64) -> bool {
        self.id.as_ref().is_some_and(|(_, until)| now > *until)
    }
}

/// The holder by DNS names.
fn by_names(certificate: &[u8]) -> Option<CertificateHolder> {
    let (_, parsed) = x509_parser::parse_x509_certificate(certificate).ok()?;
    let names = parsed.subject_alternative_name().ok()??;
    let mut holder = CertificateHolder::default();
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

//! Credentials that can be replaced while TLS configurations use them, and the verification of peers with them.

use super::files::{Authorities, Credentials};
use runloom_identity::bundle::TrustStore;
use runloom_identity::svid;
use runloom_model::tls_files::TlsFiles;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::{verify_server_cert_signed_by_trust_anchor, verify_server_name, ResolvesClientCert};
use rustls::crypto::{verify_tls13_signature, CryptoProvider};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::server::{ClientHello, ParsedCertificate, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls::{DigitallySignedStruct, DistinguishedName, SignatureScheme};
use std::sync::{Arc, PoisonError, RwLock};

/// The credentials in force, and the bundles from which their authorities were read.
#[derive(Debug)]
struct CredentialsInForce {
    credentials: Arc<Credentials>,
    trust: TrustStore,
}

/// The credentials that new connections use: certificate, key and authorities.
#[derive(Debug)]
pub(super) struct ReloadableCredentials {
    pub files: TlsFiles,
    pub provider: Arc<CryptoProvider>,
    in_force: RwLock<CredentialsInForce>,
}

impl ReloadableCredentials {
    pub(super) fn new(
        files: TlsFiles,
        provider: Arc<CryptoProvider>,
        credentials: Credentials,
        trust: TrustStore,
    ) -> ReloadableCredentials {
        let in_force = CredentialsInForce { credentials: Arc::new(credentials), trust };
        ReloadableCredentials { files, provider, in_force: RwLock::new(in_force) }
    }

    /// The credentials in force.
    pub(super) fn credentials(&self) -> Arc<Credentials> {
        self.in_force.read().unwrap_or_else(PoisonError::into_inner).credentials.clone()
    }

    /// The bundles in force.
    pub(super) fn trust(&self) -> TrustStore {
        self.in_force.read().unwrap_or_else(PoisonError::into_inner).trust.clone()
    }

    /// Puts other credentials in force, for new connections.
    pub(super) fn replace(&self, credentials: Credentials, trust: TrustStore) {
        let in_force = CredentialsInForce { credentials: Arc::new(credentials), trust };
        *self.in_force.write().unwrap_or_else(PoisonError::into_inner) = in_force;
    }

    /// The authorities that may have issued a certificate: those of its identity's trust domain; with DNS names, all.
    pub(super) fn authorities_for(&self, certificate: &[u8]) -> Result<Authorities, rustls::Error> {
        let domain = if self.files.uses_spiffe_ids() {
            let svid = svid::parse(certificate).map_err(|error| rustls::Error::General(error.to_string()))?;
            Some(svid.id.trust_domain().clone())
        } else {
            None
        };
        let authorities = self.credentials().authorities.get(&domain).cloned();
        authorities.ok_or_else(|| {
            rustls::Error::General("no bundle is configured for the certificate's trust domain".into())
        })
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }

    fn verify_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }
}

fn tls12_not_supported() -> rustls::Error {
    rustls::Error::General("TLS 1.2 is not supported".into())
}

impl ResolvesServerCert for ReloadableCredentials {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.credentials().key.clone())
    }
}

impl ResolvesClientCert for ReloadableCredentials {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.credentials().key.clone())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

impl ServerCertVerifier for ReloadableCredentials {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        name: &ServerName<'_>,
        _: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let authorities = self.authorities_for(certificate)?;
        let parsed = ParsedCertificate::try_from(certificate)?;
        verify_server_cert_signed_by_trust_anchor(
            &parsed,
            &authorities.roots,
            intermediates,
            now,
            self.provider.signature_verification_algorithms.all,
        )?;
        // A certificate with a SPIFFE identity has no other name; the access rules decide on the identity.
        if !self.files.uses_spiffe_ids() {
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
        Err(tls12_not_supported())
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

impl ClientCertVerifier for ReloadableCredentials {
    /// Sends no hints, since authorities may change while the process runs.
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        certificate: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        let authorities = self.authorities_for(certificate)?;
        authorities.client_verifier.verify_client_cert(certificate, intermediates, now)
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(tls12_not_supported())
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

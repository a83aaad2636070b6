//! A stand-in for a certificate issuer: one authority, whose certificates hold a SPIFFE identity or DNS names.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose,
    SanType,
};
use runloom_model::tls_files::TlsFiles;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// A certificate authority that writes the certificates and keys that it issues into a folder.
pub struct Issuer {
    folder: PathBuf,
    key: KeyPair,
    authority: rcgen::Certificate,
}

fn error_text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl Issuer {
    /// Creates an authority with a new key, and writes its certificate to `trust.pem` in `folder`.
    ///
    /// # Errors
    /// Returns the cause if the folder or the file cannot be written.
    pub fn new(folder: &Path) -> Result<Issuer, String> {
        std::fs::create_dir_all(folder).map_err(error_text)?;
        let key = KeyPair::generate().map_err(error_text)?;
        let mut params = CertificateParams::new(vec![]).map_err(error_text)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "runloom testbed");
        let authority = params.self_signed(&key).map_err(error_text)?;
        std::fs::write(folder.join("trust.pem"), authority.pem()).map_err(error_text)?;
        Ok(Issuer { folder: folder.to_path_buf(), key, authority })
    }

    /// Issues a certificate with the SPIFFE identity `id`, in the files `name.pem` and `name.key`. A second one under
    /// the same name replaces the first.
    ///
    /// It expires after `seconds`; if negative, it expired that long ago. `change` is applied to the certificate before
    /// it is signed.
    ///
    /// # Errors
    /// Returns the cause if the identity is invalid or a file cannot be written.
    pub fn issue_identity(
        &self,
        name: &str,
        id: &str,
        seconds: i64,
        change: impl FnOnce(&mut CertificateParams),
    ) -> Result<TlsFiles, String> {
        let mut params = leaf_params(vec![])?;
        params.subject_alt_names.push(SanType::URI(id.try_into().map_err(error_text)?));
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        let now = SystemTime::now();
        params.not_before = (now - Duration::from_secs(1)).into();
        let lifetime = Duration::from_secs(seconds.unsigned_abs());
        let expiry = if seconds >= 0 { now + lifetime } else { now - lifetime };
        params.not_after = expiry.into();
        change(&mut params);
        self.sign_and_write(name, params)
    }

    /// Issues a certificate with DNS names: the holder's own, and that of its role if it has one.
    ///
    /// # Errors
    /// Returns the cause if a file cannot be written.
    pub fn issue(&self, name: &str, role: Option<&str>) -> Result<TlsFiles, String> {
        let names: Vec<String> = [Some(name), role].into_iter().flatten().map(str::to_string).collect();
        self.sign_and_write(name, leaf_params(names)?)
    }

    fn sign_and_write(&self, name: &str, params: CertificateParams) -> Result<TlsFiles, String> {
        let key = KeyPair::generate().map_err(error_text)?;
        let certificate = params.signed_by(&key, &self.authority, &self.key).map_err(error_text)?;
        self.write(name, &certificate.pem(), &key.serialize_pem())
    }

    /// Writes both files under temporary names and renames them, so that no reader sees a half-written file.
    fn write(&self, name: &str, certificate: &str, key: &str) -> Result<TlsFiles, String> {
        let path = |extension: &str| self.folder.join(format!("{name}.{extension}"));
        for (extension, contents) in [("key", key), ("pem", certificate)] {
            let temporary = path(&format!("{extension}.new"));
            std::fs::write(&temporary, contents).map_err(error_text)?;
            std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))
                .map_err(error_text)?;
            std::fs::rename(&temporary, path(extension)).map_err(error_text)?;
        }
        let trust = self.folder.join("trust.pem");
        Ok(TlsFiles { certificate: path("pem"), key: path("key"), trust, ..TlsFiles::default() })
    }
}

/// Parameters of a certificate that is valid for TLS servers and clients.
fn leaf_params(names: Vec<String>) -> Result<CertificateParams, String> {
    let mut params = CertificateParams::new(names).map_err(error_text)?;
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    Ok(params)
}

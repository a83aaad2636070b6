//! A stand-in for a certificate issuer: one authority, and a certificate for each name and role.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose,
    SanType,
};
use runloom_model::tls_files::TlsFiles;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// A certificate authority that writes its certificates and keys into a folder.
pub struct Issuer {
    folder: PathBuf,
    key: KeyPair,
    authority: rcgen::Certificate,
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl Issuer {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    /// Returns the cause if its files cannot be written.
    pub fn new(folder: &Path) -> Result<Issuer, String> {
        std::fs::create_dir_all(folder).map_err(text)?;
        let key = KeyPair::generate().map_err(text)?;
        let mut params = CertificateParams::new(vec![]).map_err(text)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "runloom testbed");
        let authority = params.self_signed(&key).map_err(text)?;
        std::fs::write(folder.join("trust.pem"), authority.pem()).map_err(text)?;
        Ok(Issuer { folder: folder.to_path_buf(), key, authority })
    }

    /// Issues a SPIFFE identity, in files under a name. A second one under the same name replaces the first.
    ///
    /// It expires in `seconds`, or expired so long ago if that is negative. `change` is applied to the certificate
    /// before it is signed.
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
        params.subject_alt_names.push(SanType::URI(id.try_into().map_err(text)?));
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        let now = SystemTime::now();
        params.not_before = (now - Duration::from_secs(1)).into();
        let lifetime = Duration::from_secs(seconds.unsigned_abs());
        let expiry = if seconds >= 0 { now + lifetime } else { now - lifetime };
        params.not_after = expiry.into();
        change(&mut params);
        self.sign_and_write(name, params)
    }

    /// Issues a certificate by DNS names: the holder's own, and its role's if it has one.
    ///
    /// # Errors
    /// Returns the cause if a file cannot be written.
    pub fn issue(&self, name: &str, role: Option<&str>) -> Result<TlsFiles, String> {
        let names: Vec<String> = [Some(name), role].into_iter().flatten().map(str::to_string).collect();
        self.sign_and_write(name, leaf_params(names)?)
    }

    fn sign_and_write(&self, name: &str, params: CertificateParams) -> Result<TlsFiles, String> {
        let key = KeyPair::generate().map_err(text)?;
        let certificate = params.signed_by(&key, &self.authority, &self.key).map_err(text)?;
        self.write(name, &certificate.pem(), &key.serialize_pem())
    }

    /// Writes both files beside their place and renames them, so that no reader sees half a file.
    fn write(&self, name: &str, certificate: &str, key: &str) -> Result<TlsFiles, String> {
        let path = |extension: &str| self.folder.join(format!("{name}.{extension}"));
        for (extension, contents) in [("key", key), ("pem", certificate)] {
            let temporary = path(&format!("{extension}.new"));
            std::fs::write(&temporary, contents).map_err(text)?;
            std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600)).map_err(text)?;
            std::fs::rename(&temporary, path(extension)).map_err(text)?;
        }
        let trust = self.folder.join("trust.pem");
        Ok(TlsFiles { certificate: path("pem"), key: path("key"), trust, ..TlsFiles::default() })
    }
}

/// A certificate for both ends of a connection.
fn leaf_params(names: Vec<String>) -> Result<CertificateParams, String> {
    let mut params = CertificateParams::new(names).map_err(text)?;
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    Ok(params)
}

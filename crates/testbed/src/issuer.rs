//! The issuer stand-in: one authority, and a certificate for each name and role.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose,
    SanType,
};
use runloom_model::tls_files::TlsFiles;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

pub struct Issuer {
    folder: PathBuf,
    key: KeyPair,
    authority: rcgen::Certificate,
}

fn told(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl Issuer {
    pub fn new(folder: &Path) -> Result<Issuer, String> {
        std::fs::create_dir_all(folder).map_err(told)?;
        let key = KeyPair::generate().map_err(told)?;
        let mut params = CertificateParams::new(vec![]).map_err(told)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "runloom rig");
        let authority = params.self_signed(&key).map_err(told)?;
        std::fs::write(folder.join("trust.pem"), authority.pem()).map_err(told)?;
        Ok(Issuer { folder: folder.to_path_buf(), key, authority })
    }

    /// Writes certificate and key of a SPIFFE identity under a name, which ends so many seconds from now; `change` is done
    /// to the certificate before it is signed. Written anew under the same name, it takes the old one's place.
    pub fn identity(
        &self,
        name: &str,
        id: &str,
        seconds: i64,
        change: impl FnOnce(&mut CertificateParams),
    ) -> Result<TlsFiles, String> {
        let key = KeyPair::generate().map_err(told)?;
        let mut params = CertificateParams::new(vec![]).map_err(told)?;
        params.subject_alt_names.push(SanType::URI(id.try_into().map_err(told)?));
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let now = std::time::SystemTime::now();
        params.not_before = (now - std::time::Duration::from_secs(1)).into();
        params.not_after = match seconds >= 0 {
            true => (now + std::time::Duration::from_secs(seconds.unsigned_abs())).into(),
            false => (now - std::time::Duration::from_secs(seconds.unsigned_abs())).into(),
        };
        change(&mut params);
        let certificate = params.signed_by(&key, &self.authority, &self.key).map_err(told)?;
        self.write(name, &certificate.pem(), &key.serialize_pem())
    }

    /// Both files, each beside its place and then put there: no reader sees a half.
    fn write(&self, name: &str, certificate: &str, key: &str) -> Result<TlsFiles, String> {
        let at = |end: &str| self.folder.join(format!("{name}.{end}"));
        for (end, text) in [("key", key), ("pem", certificate)] {
            let beside = at(&format!("{end}.new"));
            std::fs::write(&beside, text).map_err(told)?;
            std::fs::set_permissions(&beside, std::fs::Permissions::from_mode(0o600)).map_err(told)?;
            std::fs::rename(&beside, at(end)).map_err(told)?;
        }
        let trust = self.folder.join("trust.pem");
        Ok(TlsFiles { certificate: at("pem"), key: at("key"), trust, ..TlsFiles::default() })
    }

    /// Writes certificate and key of a holder; the role's name, if any, stands beside its own.
    pub fn issue(&self, name: &str, role: Option<&str>) -> Result<TlsFiles, String> {
        let names: Vec<String> = [Some(name), role].into_iter().flatten().map(str::to_string).collect();
        let key = KeyPair::generate().map_err(told)?;
        let mut params = CertificateParams::new(names).map_err(told)?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &self.authority, &self.key).map_err(told)?;
        self.write(name, &certificate.pem(), &key.serialize_pem())
    }
}

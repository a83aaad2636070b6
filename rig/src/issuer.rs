//! The issuer stand-in: one authority, and a certificate for each name and role.

use rcgen::{BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, KeyPair};
use runloom_model::fleet::Papers;
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

    /// Writes certificate and key of a holder; the role's name, if any, stands beside its own.
    pub fn issue(&self, name: &str, role: Option<&str>) -> Result<Papers, String> {
        let names: Vec<String> = [Some(name), role].into_iter().flatten().map(str::to_string).collect();
        let key = KeyPair::generate().map_err(told)?;
        let mut params = CertificateParams::new(names).map_err(told)?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &self.authority, &self.key).map_err(told)?;
        let at = |end: &str| self.folder.join(format!("{name}.{end}"));
        std::fs::write(at("pem"), certificate.pem()).map_err(told)?;
        std::fs::write(at("key"), key.serialize_pem()).map_err(told)?;
        Ok(Papers { certificate: at("pem"), key: at("key"), trust: self.folder.join("trust.pem") })
    }
}

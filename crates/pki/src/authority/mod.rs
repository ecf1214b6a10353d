//! The certificate authority: a directory with its certificate and key, the index of what it has issued, and its
//! revocation list.

mod issued;
mod request;
mod signing;

pub use issued::{CertificateState, IssuedCertificate};
pub use request::CertificateRequest;
pub(crate) use request::MAX_VALIDITY_DAYS;

use crate::error::Error;
use crate::files::{self, Readers};
use rcgen::{Issuer, KeyPair};
use request::check_name;
use signing::SignedCertificate;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use time::OffsetDateTime;

/// The most certificates that an authority issues.
pub(crate) const MAX_CERTIFICATES: usize = 100_000;
/// The most names that an error lists.
const MAX_NAMES_IN_ERROR: usize = 10;

/// The file of the authority's private key.
const KEY_FILE: &str = "authority.key";
/// The file of the authority's certificate.
const CERTIFICATE_FILE: &str = "authority.pem";
/// The file of the index of issued certificates.
const INDEX_FILE: &str = "issued.json";
/// The file of the revocation list.
const REVOCATION_LIST_FILE: &str = "revoked.pem";

/// A certificate that was issued into files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedFile {
    /// Its record in the index.
    pub certificate: IssuedCertificate,
    /// The file of the certificate.
    pub path: PathBuf,
}

/// An open certificate authority.
pub struct Authority {
    directory: PathBuf,
    issuer: Issuer<'static, KeyPair>,
    issued: Vec<IssuedCertificate>,
}

impl Authority {
    /// Creates an authority in a directory that is empty or does not exist.
    ///
    /// # Errors
    /// The name or the number of days is invalid, the directory is not empty, or a file cannot be written.
    pub fn create(
        directory: &Path,
        name: &str,
        days: u32,
        now: OffsetDateTime,
    ) -> Result<(), Error> {
        let signed = signing::sign_authority(name, days, now)?;
        files::create_directory(directory)?;
        files::create(&directory.join(KEY_FILE), &signed.key, Readers::Owner)?;
        files::create(
            &directory.join(CERTIFICATE_FILE),
            &signed.certificate,
            Readers::All,
        )?;
        files::create(&directory.join(INDEX_FILE), "[]", Readers::Owner)?;
        let authority = Authority::open(directory)?;
        let list = authority.sign_revocation_list(now)?;
        files::create(&authority.revocation_list_path(), &list, Readers::All)
    }

    /// Opens the authority in a directory.
    ///
    /// # Errors
    /// A file is missing or invalid.
    pub fn open(directory: &Path) -> Result<Self, Error> {
        let key_path = directory.join(KEY_FILE);
        if !key_path.exists() {
            let directory = directory.into();
            return Err(Error::NoAuthority { directory });
        }
        let invalid = |path: &Path| {
            let path = path.to_path_buf();
            move |source| Error::InvalidAuthority { path, source }
        };
        let key = files::read_private(&key_path)?;
        let key = KeyPair::from_pem(&key).map_err(invalid(&key_path))?;
        let certificate_path = directory.join(CERTIFICATE_FILE);
        let certificate = files::read(&certificate_path)?;
        let issuer = Issuer::from_ca_cert_pem(&certificate, key);
        let issuer = issuer.map_err(invalid(&certificate_path))?;
        let index_path = directory.join(INDEX_FILE);
        let index = files::read(&index_path)?;
        let issued = serde_json::from_str(&index).map_err(|source| Error::IssuedIndex {
            path: index_path,
            source,
        })?;
        Ok(Authority {
            directory: directory.to_path_buf(),
            issuer,
            issued,
        })
    }

    /// The certificates that the authority has issued, oldest first.
    pub fn issued(&self) -> &[IssuedCertificate] {
        &self.issued
    }

    /// The file of the revocation list, which has to be copied to every agent.
    pub fn revocation_list_path(&self) -> PathBuf {
        self.directory.join(REVOCATION_LIST_FILE)
    }

    /// Issues a certificate into `NAME.pem` and `NAME.key` of a directory. If one of these files exists, both stay as they
    /// are and nothing is issued.
    ///
    /// # Errors
    /// The request is invalid, a file exists already, or a file cannot be written.
    pub fn issue(
        &mut self,
        request: CertificateRequest<'_>,
        directory: &Path,
        now: OffsetDateTime,
    ) -> Result<IssuedFile, Error> {
        request.require_hosts()?;
        let (signed, issued) = self.sign(&request, now)?;
        let paths = CertificatePaths::new(directory, request.name);
        paths.require_absent()?;
        self.record(issued.clone())?;
        files::create(&paths.key, &signed.key, Readers::Owner)?;
        files::create(&paths.certificate, &signed.certificate, Readers::All)?;
        Ok(IssuedFile {
            certificate: issued,
            path: paths.certificate,
        })
    }

    /// Issues a new certificate with a new key in place of the latest one of a name, and replaces its files. The former
    /// certificate stays valid until it expires, unless `revoke_former` is set.
    ///
    /// # Errors
    /// No certificate of the name is usable, the number of days is invalid, or a file cannot be written.
    pub fn rotate(
        &mut self,
        name: &str,
        days: u32,
        directory: &Path,
        revoke_former: bool,
        now: OffsetDateTime,
    ) -> Result<IssuedCertificate, Error> {
        let is_usable = |issued: &&IssuedCertificate| {
            issued.name == name && issued.state(now) != CertificateState::Revoked
        };
        let former = self.issued.iter().rev().find(is_usable).cloned();
        let former = former.ok_or_else(|| self.unknown_certificate(name))?;
        let request = CertificateRequest {
            name,
            role: former.role,
            hosts: &former.hosts,
            days,
        };
        let (signed, issued) = self.sign(&request, now)?;
        self.record(issued.clone())?;
        let paths = CertificatePaths::new(directory, name);
        // A program that reads both files in between notices that they do not match, and reads them again.
        files::replace(&paths.key, &signed.key, Readers::Owner)?;
        files::replace(&paths.certificate, &signed.certificate, Readers::All)?;
        if revoke_former {
            self.revoke(&former.serial, now)?;
        }
        Ok(issued)
    }

    /// Revokes the certificate with a serial number, or all certificates of a name. Returns those that were not revoked
    /// before.
    ///
    /// # Errors
    /// There is no such certificate, or a file cannot be written.
    pub fn revoke(
        &mut self,
        which: &str,
        now: OffsetDateTime,
    ) -> Result<Vec<IssuedCertificate>, Error> {
        let is_meant = |issued: &IssuedCertificate| issued.serial == which || issued.name == which;
        if !self.issued.iter().any(is_meant) {
            return Err(self.unknown_certificate(which));
        }
        let mut revoked = Vec::new();
        for issued in &mut self.issued {
            if is_meant(issued) && issued.revoked_at.is_none() {
                issued.revoked_at = Some(now.unix_timestamp());
                revoked.push(issued.clone());
            }
        }
        // The revocation list first: it keeps the holders out even if the index cannot be written.
        let list = self.sign_revocation_list(now)?;
        files::replace(&self.revocation_list_path(), &list, Readers::All)?;
        self.write_index()?;
        Ok(revoked)
    }

    fn unknown_certificate(&self, which: &str) -> Error {
        let names: BTreeSet<&str> = self.issued.iter().map(|i| i.name.as_str()).collect();
        let names = names.into_iter().take(MAX_NAMES_IN_ERROR);
        Error::UnknownCertificate {
            which: which.into(),
            known: names.map(str::to_string).collect(),
        }
    }

    fn sign(
        &self,
        request: &CertificateRequest<'_>,
        now: OffsetDateTime,
    ) -> Result<(SignedCertificate, IssuedCertificate), Error> {
        check_name(request.name, request.role)?;
        if self.issued.len() >= MAX_CERTIFICATES {
            return Err(Error::TooManyCertificates);
        }
        signing::sign_certificate(&self.issuer, request, now)
    }

    fn sign_revocation_list(&self, now: OffsetDateTime) -> Result<String, Error> {
        signing::sign_revocation_list(&self.issuer, &self.issued, now)
    }

    /// Adds a certificate to the index. This is done before its files are written, so that every certificate that exists
    /// can be revoked.
    fn record(&mut self, issued: IssuedCertificate) -> Result<(), Error> {
        self.issued.push(issued);
        self.write_index()
    }

    fn write_index(&self) -> Result<(), Error> {
        let path = self.directory.join(INDEX_FILE);
        let index = serde_json::to_string_pretty(&self.issued);
        let index = index.map_err(|source| Error::IssuedIndex {
            path: path.clone(),
            source,
        })?;
        files::replace(&path, &index, Readers::Owner)
    }
}

/// The files of one certificate.
struct CertificatePaths {
    certificate: PathBuf,
    key: PathBuf,
}

impl CertificatePaths {
    /// The files of a certificate of this name. A `*`, which shells expand, becomes `any`.
    fn new(directory: &Path, name: &str) -> Self {
        let stem = name.replace('*', "any");
        CertificatePaths {
            certificate: directory.join(format!("{stem}.pem")),
            key: directory.join(format!("{stem}.key")),
        }
    }

    fn require_absent(&self) -> Result<(), Error> {
        for path in [&self.certificate, &self.key] {
            if path.exists() {
                return Err(Error::AlreadyIssued { path: path.clone() });
            }
        }
        Ok(())
    }
}

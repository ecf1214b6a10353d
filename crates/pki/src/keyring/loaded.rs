//! The key files as they were read.

use crate::error::Error;
use crate::files;
use crate::identity::Identity;
use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer, pem};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::sign::CertifiedKey;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The paths of a program's key files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// The certificates of the trusted authorities; several while one authority replaces another.
    pub authority: PathBuf,
    /// The program's own certificate.
    pub certificate: PathBuf,
    /// The private key of that certificate.
    pub key: PathBuf,
    /// The revocation lists of the authorities. An agent should have them.
    pub revoked: Option<PathBuf>,
}

/// The texts of the key files.
#[derive(Debug, PartialEq)]
pub(super) struct KeyTexts {
    authority: String,
    certificate: String,
    key: String,
    revoked: Option<String>,
}

/// The key files as they were read, ready for use in TLS.
#[derive(Debug)]
pub(super) struct LoadedKeys {
    pub(super) own: Arc<CertifiedKey>,
    /// None if the program's own certificate has no role.
    pub(super) own_identity: Option<Identity>,
    pub(super) client_verifier: Arc<dyn ClientCertVerifier>,
    pub(super) server_verifier: Arc<dyn ServerCertVerifier>,
    /// To notice changes.
    pub(super) texts: KeyTexts,
}

impl KeyTexts {
    fn read(files: &KeyFiles) -> Result<Self, Error> {
        Ok(KeyTexts {
            authority: files::read(&files.authority)?,
            certificate: files::read(&files.certificate)?,
            key: files::read_private(&files.key)?,
            revoked: files.revoked.as_deref().map(files::read).transpose()?,
        })
    }
}

impl LoadedKeys {
    /// Reads the key files.
    pub(super) fn read(files: &KeyFiles, provider: &Arc<CryptoProvider>) -> Result<Self, Error> {
        let texts = KeyTexts::read(files)?;
        let roots = Arc::new(parse_roots(&files.authority, &texts.authority)?);
        let chain = parse_chain(&files.certificate, &texts.certificate)?;
        let own_identity = chain.first().and_then(|own| Identity::read(own).ok());
        let key = PrivateKeyDer::from_pem_slice(texts.key.as_bytes());
        let key = key.map_err(pem_error(&files.key))?;
        let own = CertifiedKey::from_der(chain, key, provider);
        let own = own.map_err(|source| Error::KeyMismatch {
            key: files.key.clone(),
            certificate: files.certificate.clone(),
            source,
        })?;
        let lists = match (&files.revoked, &texts.revoked) {
            (Some(path), Some(text)) => parse_revocation_lists(path, text)?,
            _ => Vec::new(),
        };
        let unusable = |source: VerifierBuilderError| Error::UnusableVerifier {
            path: files.authority.clone(),
            source,
        };
        // While one authority replaces another there may be the revocation list of only one of them. So a certificate is
        // accepted if there is no list of its authority.
        let client_verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(provider))
                .with_crls(lists.clone())
                .only_check_end_entity_revocation()
                .allow_unknown_revocation_status()
                .build()
                .map_err(unusable)?;
        let server_verifier =
            WebPkiServerVerifier::builder_with_provider(roots, Arc::clone(provider))
                .with_crls(lists)
                .only_check_end_entity_revocation()
                .allow_unknown_revocation_status()
                .build()
                .map_err(unusable)?;
        Ok(LoadedKeys {
            own: Arc::new(own),
            own_identity,
            client_verifier,
            server_verifier,
            texts,
        })
    }
}

/// Makes the error of reading a file in the PEM format.
fn pem_error(path: &Path) -> impl Fn(pem::Error) -> Error + '_ {
    move |source| Error::Pem {
        path: path.into(),
        source,
    }
}

fn parse_roots(path: &Path, text: &str) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for root in CertificateDer::pem_slice_iter(text.as_bytes()) {
        let root = root.map_err(pem_error(path))?;
        roots.add(root).map_err(|source| Error::UnusableAuthority {
            path: path.into(),
            source,
        })?;
    }
    if roots.is_empty() {
        return Err(Error::NoCertificate { path: path.into() });
    }
    Ok(roots)
}

fn parse_chain(path: &Path, text: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    let chain = chain.map_err(pem_error(path))?;
    if chain.is_empty() {
        return Err(Error::NoCertificate { path: path.into() });
    }
    Ok(chain)
}

fn parse_revocation_lists(
    path: &Path,
    text: &str,
) -> Result<Vec<CertificateRevocationListDer<'static>>, Error> {
    let lists: Result<Vec<_>, _> =
        CertificateRevocationListDer::pem_slice_iter(text.as_bytes()).collect();
    let lists = lists.map_err(pem_error(path))?;
    if lists.is_empty() {
        return Err(Error::NoRevocationList { path: path.into() });
    }
    Ok(lists)
}

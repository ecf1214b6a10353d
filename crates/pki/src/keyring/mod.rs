//! A program's own certificate and key, and the authorities that it trusts.

mod loaded;
mod presented;
mod tls;

pub use loaded::KeyFiles;
pub use presented::PresentedCertificate;

use crate::error::Error;
use crate::identity::Identity;
use crate::rejection::CertificateRejection;
use loaded::LoadedKeys;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::{CertificateDer, UnixTime};
use rustls::{ClientConfig, ServerConfig};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// The protocol of the connections, in terms of application-layer protocol negotiation.
const ALPN_HTTP_1_1: &[u8] = b"http/1.1";

/// A program's own certificate and key, and the authorities that it trusts, as its key files were last read.
///
/// Open connections survive a change of the files. Whoever serves them has to call [`Keyring::verify_again`] at each
/// request, since a certificate may expire or be revoked while its connection is open.
#[derive(Debug)]
pub struct Keyring {
    files: KeyFiles,
    provider: Arc<CryptoProvider>,
    loaded: RwLock<Arc<LoadedKeys>>,
}

impl Keyring {
    /// Reads the key files.
    ///
    /// # Errors
    /// A file cannot be read, is invalid, or does not match another one.
    pub fn load(files: KeyFiles) -> Result<Arc<Self>, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let loaded = RwLock::new(Arc::new(LoadedKeys::read(&files, &provider)?));
        Ok(Arc::new(Keyring {
            files,
            provider,
            loaded,
        }))
    }

    /// Reads the key files again; new connections use what they contain then. Returns whether a file has changed.
    ///
    /// # Errors
    /// A file cannot be read, is invalid, or does not match another one. The keyring stays as it was.
    pub fn reload(&self) -> Result<bool, Error> {
        let new = LoadedKeys::read(&self.files, &self.provider)?;
        let has_changed = new.texts != self.loaded().texts;
        if has_changed {
            *self.loaded.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(new);
        }
        Ok(has_changed)
    }

    fn loaded(&self) -> Arc<LoadedKeys> {
        Arc::clone(&self.loaded.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The identity in the program's own certificate; none if it has no role.
    pub fn own_identity(&self) -> Option<Identity> {
        self.loaded().own_identity.clone()
    }

    /// Verifies a client's certificate chain, whose first certificate is the client's own, at the time `now` in seconds
    /// since 1970. Returns the identity in it.
    ///
    /// # Errors
    /// The certificate is rejected.
    pub fn verify(
        &self,
        chain: &[CertificateDer<'_>],
        now: u64,
    ) -> Result<Identity, CertificateRejection> {
        let (own, intermediates) = chain
            .split_first()
            .ok_or_else(|| CertificateRejection::Unrecognized("none was shown".into()))?;
        let time = UnixTime::since_unix_epoch(Duration::from_secs(now));
        self.loaded()
            .client_verifier
            .verify_client_cert(own, intermediates, time)
            .map_err(|error| CertificateRejection::from(&error))?;
        Identity::read(own)
    }

    /// Verifies the certificate of a connection at one of its requests. The result is that of [`Keyring::verify`];
    /// signatures are verified only if the key files have changed since the last call.
    ///
    /// # Errors
    /// The certificate is rejected.
    pub fn verify_again(
        &self,
        presented: &PresentedCertificate,
        now: u64,
    ) -> Result<Identity, CertificateRejection> {
        let loaded = self.loaded();
        if let Some(identity) = presented.verified_identity(&loaded, now) {
            return Ok(identity);
        }
        presented.clear_verified();
        let identity = self.verify(presented.chain(), now)?;
        presented.remember_verified(loaded, &identity);
        Ok(identity)
    }

    /// The TLS settings of a listener. Every client has to present a certificate that is valid at the handshake.
    ///
    /// # Errors
    /// The TLS library does not support the settings.
    pub fn server_config(self: &Arc<Self>) -> Result<Arc<ServerConfig>, Error> {
        let builder = ServerConfig::builder_with_provider(Arc::clone(&self.provider));
        let builder = builder.with_protocol_versions(&[&rustls::version::TLS13])?;
        let own = Arc::clone(self);
        let mut config = builder
            .with_client_cert_verifier(own.clone())
            .with_cert_resolver(own);
        config.alpn_protocols = vec![ALPN_HTTP_1_1.to_vec()];
        // In a resumed session the client would not present its certificate again.
        config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Arc::new(config))
    }

    /// The TLS settings for connections to an agent.
    ///
    /// # Errors
    /// The TLS library does not support the settings.
    pub fn client_config(self: &Arc<Self>) -> Result<Arc<ClientConfig>, Error> {
        let builder = ClientConfig::builder_with_provider(Arc::clone(&self.provider));
        let builder = builder.with_protocol_versions(&[&rustls::version::TLS13])?;
        let own = Arc::clone(self);
        let builder = builder
            .dangerous()
            .with_custom_certificate_verifier(own.clone());
        let mut config = builder.with_client_cert_resolver(own);
        config.alpn_protocols = vec![ALPN_HTTP_1_1.to_vec()];
        config.resumption = rustls::client::Resumption::disabled();
        Ok(Arc::new(config))
    }
}

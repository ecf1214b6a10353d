//! A certificate that the other side of a connection has presented.

use super::loaded::LoadedKeys;
use crate::identity::Identity;
use rustls::pki_types::CertificateDer;
use std::sync::{Arc, Mutex, PoisonError};

/// The certificate chain that the other side of a connection presented at the handshake, with the result of its last
/// verification.
#[derive(Debug)]
pub struct PresentedCertificate {
    chain: Vec<CertificateDer<'static>>,
    verified: Mutex<Option<Verified>>,
}

/// A successful verification. It stays true until the key files change or the certificate expires.
#[derive(Debug)]
struct Verified {
    /// The key files that it was verified by.
    keys: Arc<LoadedKeys>,
    identity: Identity,
    /// From when the certificate is valid: seconds since 1970.
    valid_from: i64,
}

impl PresentedCertificate {
    /// A chain from a handshake: the certificate of the other side first.
    pub fn new(chain: &[CertificateDer<'static>]) -> Self {
        PresentedCertificate {
            chain: chain.to_vec(),
            verified: Mutex::new(None),
        }
    }

    pub(super) fn chain(&self) -> &[CertificateDer<'static>] {
        &self.chain
    }

    /// The identity found by the last verification, if that was by these key files and the certificate is valid at the
    /// time `now`, in seconds since 1970.
    pub(super) fn verified_identity(&self, keys: &Arc<LoadedKeys>, now: u64) -> Option<Identity> {
        let verified = self.lock();
        let verified = verified.as_ref()?;
        let now = i64::try_from(now).unwrap_or(i64::MAX);
        let is_valid = (verified.valid_from..=verified.identity.valid_until).contains(&now);
        (Arc::ptr_eq(&verified.keys, keys) && is_valid).then(|| verified.identity.clone())
    }

    /// Discards the last verification.
    pub(super) fn clear_verified(&self) {
        *self.lock() = None;
    }

    /// Remembers a successful verification. Does nothing for a chain of several certificates, since the validity of each
    /// would have to be remembered.
    pub(super) fn remember_verified(&self, keys: Arc<LoadedKeys>, identity: &Identity) {
        let [only] = self.chain.as_slice() else {
            return;
        };
        if let Ok((_, parsed)) = x509_parser::parse_x509_certificate(only) {
            *self.lock() = Some(Verified {
                keys,
                identity: identity.clone(),
                valid_from: parsed.validity().not_before.timestamp(),
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Verified>> {
        self.verified.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

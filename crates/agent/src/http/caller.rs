//! The other end of a connection: its address, and who it is by its certificate.

use super::response::Rejection;
use crate::clock::unix_seconds;
use hyper::StatusCode;
use madderloom_pki::{Identity, Keyring, Permission, PresentedCertificate};
use std::net::SocketAddr;
use std::rc::Rc;

/// The other end of a connection.
#[derive(Clone)]
pub(crate) struct Caller {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The certificate that it showed in the TLS handshake.
    pub(crate) certificate: Rc<PresentedCertificate>,
}

impl Caller {
    /// Checks the certificate again, and returns who shows it. It may expire or be revoked while the connection is open.
    pub(crate) fn identify(&self, keyring: &Keyring) -> Result<Identity, Rejection> {
        keyring
            .verify_again(&self.certificate, unix_seconds())
            .map_err(|error| {
                tracing::warn!(
                    peer = %self.address,
                    %error,
                    "request rejected: certificate not valid"
                );
                Rejection::new(StatusCode::FORBIDDEN, error.to_string())
            })
    }

    /// Checks that the role of a caller permits an operation.
    pub(crate) fn authorize(
        &self,
        peer: &Identity,
        permission: Permission<'_>,
    ) -> Result<(), Rejection> {
        if peer.role.permits(&peer.name, permission) {
            return Ok(());
        }
        let Identity {
            name, role, serial, ..
        } = peer;
        tracing::warn!(
            peer = %self.address,
            %name,
            %role,
            %serial,
            operation = %permission,
            "request rejected: not permitted to the role"
        );
        let error = format!("{name} has the role {role} and may not {permission}");
        Err(Rejection::new(StatusCode::FORBIDDEN, error))
    }
}

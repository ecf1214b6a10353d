//! The public key infrastructure of a fleet: a small certificate authority, certificates that carry a role, and TLS
//! settings that follow their key files.
//!
//! - [`Role`] and [`Permission`] decide who may do what; they do no I/O.
//! - [`Authority`] is a directory with the authority's key, the certificates that it has issued and its revocation list.
//! - [`Keyring`] is a program's own certificate and key, the authorities that it trusts and their revocation list, read
//!   from files and read again while the program runs. It makes the TLS settings, under which both sides present a
//!   certificate, and verifies certificates: it returns the [`Identity`] in one, or the [`CertificateRejection`].
//!
//! Private keys are created readable by their owner alone. A key file that others can read is not used.

mod authority;
mod error;
mod files;
mod hexadecimal;
mod identity;
mod keyring;
mod rejection;
mod role;

pub use authority::{
    Authority, CertificateRequest, CertificateState, IssuedCertificate, IssuedFile,
};
pub use error::Error;
pub use identity::Identity;
pub use keyring::{KeyFiles, Keyring, PresentedCertificate};
pub use rejection::{CertificateRejection, describe_handshake_error};
pub use role::{Permission, Role};

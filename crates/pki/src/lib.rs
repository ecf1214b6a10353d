//! Keys of a fleet: a small authority of one's own, certificates that carry a role, and TLS that follows its files.
//!
//! - [`role`] decides who may do what, free of I/O.
//! - [`Authority`] is a directory with the authority's key, what it has issued and what it has revoked.
//! - [`Keyring`] is a program's own certificate, the authorities that it trusts and the list of what is revoked, read
//!   from files, and read again while it runs. It makes the settings for TLS, in which both sides show a
//!   certificate, and says of a certificate whose it is or, in one sentence, why it is refused.
//!
//! Private keys are created readable by their owner alone; one that others can read is not used.

mod authority;
mod files;
mod keyring;
pub mod role;

pub use authority::{Authority, Issued, State};
pub use keyring::{Files, Keyring, Peer, Refused, Shown, explain};
pub use role::{Role, Verb};

//! The errors of this crate. Their texts are shown to operators.

use crate::authority::{MAX_CERTIFICATES, MAX_VALIDITY_DAYS};
use crate::files::MAX_FILE_BYTES;
use crate::role::Role;
use std::io;
use std::path::PathBuf;

/// Why a key file, a certificate or an authority cannot be read, made or used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused an operation on a file or directory.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// An authority is to be created in a directory that has files.
    #[error("{} is not empty; name a directory that is empty or does not exist", path.display())]
    DirectoryNotEmpty {
        /// The directory.
        path: PathBuf,
    },
    /// A file is larger than any key file is.
    #[error(
        "{}: has {bytes} bytes, which is too much for a key file; the most are {MAX_FILE_BYTES}",
        path.display()
    )]
    FileTooLarge {
        /// The file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// The permissions of a private key let users other than its owner read it.
    #[error(
        "{}: others can read this key (mode {mode:o}); make a new one, or run chmod 600 on it if they never could",
        path.display()
    )]
    KeyReadableByOthers {
        /// The file of the key.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The temporary file exists that a replacement of a file is written to.
    #[error("{source}; another command may be at work there, else remove that file")]
    ReplacementInProgress {
        /// Why the temporary file was not created.
        source: Box<Error>,
    },
    /// A file is not in the PEM format.
    #[error("{}: {source}", path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: rustls::pki_types::pem::Error,
    },
    /// A file that should contain certificates has none.
    #[error("{}: holds no certificate", path.display())]
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// A file that should contain revocation lists has none.
    #[error("{}: holds no list of revoked certificates", path.display())]
    NoRevocationList {
        /// The file.
        path: PathBuf,
    },
    /// The certificate of an authority cannot be trusted.
    #[error("{}: {source}", path.display())]
    UnusableAuthority {
        /// The file with the authority's certificate.
        path: PathBuf,
        /// What is wrong with it.
        source: rustls::Error,
    },
    /// Certificates cannot be verified with these authorities and revocation lists.
    #[error("{}: {source}", path.display())]
    UnusableVerifier {
        /// The file with the authorities' certificates.
        path: PathBuf,
        /// What is wrong with it.
        source: rustls::server::VerifierBuilderError,
    },
    /// The private key does not belong to the certificate.
    #[error("{}: does not fit {}: {source}", key.display(), certificate.display())]
    KeyMismatch {
        /// The file of the key.
        key: PathBuf,
        /// The file of the certificate.
        certificate: PathBuf,
        /// What is wrong with them.
        source: rustls::Error,
    },
    /// The TLS library does not support the settings.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The directory contains no authority.
    #[error(
        "{place}: no authority is there; `madderloom keys init --dir {place}` founds one",
        place = directory.display()
    )]
    NoAuthority {
        /// The directory.
        directory: PathBuf,
    },
    /// The key or the certificate of the authority cannot be read.
    #[error("{}: {source}", path.display())]
    InvalidAuthority {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: rcgen::Error,
    },
    /// The index of issued certificates cannot be read or written.
    #[error("{}: {source}", path.display())]
    IssuedIndex {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A key, a certificate or a revocation list cannot be made.
    #[error("{what}: {source}")]
    Generate {
        /// What was to be made.
        what: &'static str,
        /// Why it was not.
        source: rcgen::Error,
    },
    /// A certificate that was just made cannot be read.
    #[error("{0}")]
    ReadCertificate(#[source] x509_parser::nom::Err<x509_parser::error::X509Error>),
    /// There is no role of this name.
    #[error("{text:?} is no role; there are view, operate, instance and agent")]
    UnknownRole {
        /// The name.
        text: String,
    },
    /// A name cannot stand in a certificate.
    #[error(
        "{name:?}: a name has 1 to 64 letters, digits and . _ -, not a dot first{}",
        group_hint(.role)
    )]
    InvalidName {
        /// The name.
        name: String,
        /// The role of the certificate; only an instance's name may end in `*`.
        role: Role,
    },
    /// A host cannot stand in a certificate.
    #[error("{host:?}: is no host")]
    InvalidHost {
        /// The host.
        host: String,
        /// What is wrong with it.
        source: rcgen::Error,
    },
    /// An agent's certificate is requested without a host.
    #[error("an agent's certificate needs the hosts or addresses it is reached at (--host)")]
    MissingHost,
    /// A certificate is requested for no time, or for too long.
    #[error("{days} days: a certificate is good for 1 to {MAX_VALIDITY_DAYS} days")]
    InvalidValidity {
        /// The requested number of days.
        days: u32,
    },
    /// The end of a certificate's validity cannot be represented.
    #[error("the time is out of range; is the clock wrong?")]
    TimeOutOfRange,
    /// A file of a new certificate exists already.
    #[error("{}: is there already; `keys rotate` puts a new one in its place", path.display())]
    AlreadyIssued {
        /// The file.
        path: PathBuf,
    },
    /// No usable certificate has this name or serial number.
    #[error("nothing that is good was issued for {which:?}; {}", known_names(.known))]
    UnknownCertificate {
        /// The name or serial number.
        which: String,
        /// Some names that certificates were issued for.
        known: Vec<String>,
    },
    /// The authority has issued the most certificates that it may.
    #[error("{MAX_CERTIFICATES} certificates were issued; found a new authority")]
    TooManyCertificates,
}

impl From<Error> for String {
    /// For callers that only show the text.
    fn from(error: Error) -> String {
        error.to_string()
    }
}

fn group_hint(role: &Role) -> &'static str {
    match role {
        Role::Instance => ", with * at its end for all that begin so",
        Role::View | Role::Operate | Role::Agent => "",
    }
}

fn known_names(names: &[String]) -> String {
    if names.is_empty() {
        "nothing was issued yet".into()
    } else {
        format!("there are {}", names.join(", "))
    }
}

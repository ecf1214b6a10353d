//! The errors of an agent or a relay: why it cannot start, or cannot keep its state.

use madderloom_pki::Role;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why an agent or a relay cannot start, or an agent cannot keep its state.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The keys cannot be read or used.
    #[error("{0}")]
    Keys(#[source] madderloom_pki::Error),
    /// The certificate is for another role.
    #[error("{}: is for {role}, not for an agent", certificate.display())]
    WrongRole {
        /// The file of the certificate.
        certificate: PathBuf,
        /// The role in it.
        role: Role,
    },
    /// The certificate contains no role.
    #[error("{}: holds no role", certificate.display())]
    NoRole {
        /// The file of the certificate.
        certificate: PathBuf,
    },
    /// The address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The audit log cannot be opened.
    #[error("{}: {source}", path.display())]
    OpenAuditLog {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// A line of the audit log cannot be formatted.
    #[error("{0}")]
    FormatAuditLine(#[source] serde_json::Error),
    /// A line cannot be written to the audit log.
    #[error("audit log: {0}")]
    WriteAuditLog(#[source] io::Error),
    /// The directory of the store cannot be opened.
    #[error("{}: {source}", directory.display())]
    OpenDirectory {
        /// The directory of the store.
        directory: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The store of the durable records has failed.
    #[error("{}: {source}", directory.display())]
    Store {
        /// The directory of the store.
        directory: PathBuf,
        /// The error of the store.
        source: madderloom_store::Error,
    },
    /// A durable record cannot be read or written.
    #[error("{}: {key}: {source}", directory.display())]
    Record {
        /// The directory of the store.
        directory: PathBuf,
        /// The key of the record.
        key: String,
        /// Why it cannot be read or written.
        source: serde_json::Error,
    },
    /// Records are committed to a store before they were loaded.
    #[error("{}: is not open", directory.display())]
    StoreNotOpen {
        /// The directory of the store.
        directory: PathBuf,
    },
    /// A [`Storage`](crate::Storage) of another kind has failed.
    #[error("{0}")]
    Storage(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The storage was lost in an earlier failure.
    #[error("the storage is gone")]
    StorageLost,
    /// The thread that called the storage has failed.
    #[error("the storage is gone: {0}")]
    StorageThread(#[source] tokio::task::JoinError),
    /// The durable records do not make a state.
    #[error("the state makes no sense: {0}")]
    InvalidState(#[source] madderloom_control_plane::Error),
}

impl From<Error> for String {
    /// For callers that show nothing but the text.
    fn from(error: Error) -> String {
        error.to_string()
    }
}

//! Events of the lease server for the log.

use std::fmt;

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseServerEvent {
    /// All leases of former servers have expired: each limit can be granted in full.
    Recovered,
    /// An instance uses grants of another server of this term, so two agents run on copies of one state. This server
    /// makes no more grants.
    ConflictingServer {
        /// The term of both.
        term: u64,
    },
    /// More than the capacity of a limit is granted. This never happens.
    Overcommitted {
        /// The name of the limit.
        limit: String,
    },
}

impl fmt::Display for LeaseServerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseServerEvent::Recovered => f.write_str(
                "fleet limits: all leases of former agents have expired; each limit can be granted in full",
            ),
            LeaseServerEvent::ConflictingServer { term } => write!(
                f,
                "fleet limits: another agent of term {term} grants leases; this one grants none any more. End one of \
                 them, and start the other with term_above = {term}"
            ),
            LeaseServerEvent::Overcommitted { limit } => write!(
                f,
                "fleet limits: more than the capacity of {limit} is granted: this is a bug"
            ),
        }
    }
}

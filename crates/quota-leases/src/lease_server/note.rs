//! Events of the lease server for the log.

use std::fmt;

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// All leases of former servers have expired: each limit can be granted in full.
    Recovered,
    /// An instance uses grants of another server of this term, so two agents run on copies of one state. This server
    /// makes no more grants.
    Conflict(u64),
    /// More than the whole of a limit is granted. This never happens.
    Overcommitted(String),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Recovered => f.write_str(
                "fleet limits: what a former agent lent is over; all of them can be lent",
            ),
            Note::Conflict(term) => write!(
                f,
                "fleet limits: another agent of term {term} lends; this one lends nothing any more. End one of them, and \
                 start the other with term_above = {term}"
            ),
            Note::Overcommitted(limit) => {
                write!(
                    f,
                    "fleet limits: {limit} is lent beyond itself: this is a bug"
                )
            }
        }
    }
}

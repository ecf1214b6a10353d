//! The errors of this crate.

/// Why the agent ignores what an instance reports of a list. The text names what the instance has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name of the list is empty, or longer than [`LONGEST_NAME`](crate::LONGEST_NAME).
    #[error("a list without a name, or with one that is too long")]
    InvalidName,
    /// The text of the list is longer than [`MOST_TEXT`](crate::MOST_TEXT).
    #[error("a list that is too long")]
    TextTooLong,
    /// The checksum of the text differs from that of the reported version.
    #[error("a list that is not the one that it says")]
    WrongChecksum,
    /// The agent has [`MOST_LISTS`](crate::MOST_LISTS) other lists already.
    #[error("more lists than an agent keeps")]
    TooManyLists,
}

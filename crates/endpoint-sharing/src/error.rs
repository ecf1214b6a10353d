//! The errors of this crate.

use crate::limits::{MAX_LIST_BYTES, MAX_LISTS, MAX_NAME_BYTES};

/// Why the agent ignores an instance's report of one list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name of the list is empty, or longer than [`MAX_NAME_BYTES`].
    #[error("the name of the list is empty or longer than {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// The text of the list is longer than [`MAX_LIST_BYTES`].
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    TextTooLong,
    /// The checksum of the text differs from that of the reported version.
    #[error("the checksum of the list differs from that of its version")]
    WrongChecksum,
    /// The agent already stores [`MAX_LISTS`] other lists.
    #[error("the agent already stores {MAX_LISTS} other lists")]
    TooManyLists,
}

//! What has become of the groups and of the compactions.

use crate::error::Error;
use crate::statistics::Statistics;

/// The counters and the latest errors of a [`GroupCommit`](crate::GroupCommit). Not persisted: counted from its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupCommitStatus {
    /// The error of the last write; `None` if it succeeded.
    pub last_write_error: Option<Error>,
    /// The error of the last compaction; `None` if it succeeded.
    pub last_compaction_error: Option<Error>,
    /// The count of compactions that succeeded.
    pub compactions: u64,
    /// The count of groups that were written.
    pub groups: u64,
    /// The count of batches in them.
    pub batches: u64,
    /// What the store held after the last group; `None` before the first.
    pub statistics: Option<Statistics>,
}

//! When the log is compacted, and when writes wait for that.

use crate::options::Options;

/// The segments beyond those that the log's length asks for at which compaction is due. Each restart with a write and
/// each failed write leaves one segment; each takes a file descriptor.
const MAX_EXTRA_SEGMENTS: u64 = 16;

/// The size of a log at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogSize {
    /// The bytes of the log.
    pub log_bytes: u64,
    /// The bytes of it that are live.
    pub live_bytes: u64,
    /// The count of segments.
    pub segments: u64,
}

impl LogSize {
    /// Whether a compaction is worth its cost: at least half of the log beyond the slack is dead, or the log is in too
    /// many pieces.
    pub fn is_compaction_due(&self, options: &Options) -> bool {
        let max_log_bytes = self
            .live_bytes
            .saturating_mul(2)
            .saturating_add(options.compaction_slack_bytes);
        let max_segments = MAX_EXTRA_SEGMENTS + 2 * self.log_bytes / options.segment_bytes;
        self.log_bytes > max_log_bytes || self.segments > max_segments
    }

    /// Whether writes outrun a running compaction, so that the log would grow without bound if they did not wait.
    pub fn should_stall_writes(&self, options: &Options) -> bool {
        let slack = options.compaction_slack_bytes.saturating_mul(2);
        self.log_bytes > self.live_bytes.saturating_mul(3).saturating_add(slack)
    }
}

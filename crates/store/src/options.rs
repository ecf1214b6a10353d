//! How a store is opened, and which crash an acknowledged write survives.

/// Which crash an acknowledged write survives.
///
/// | | crash of the process | power loss, crash of the system |
/// | --- | --- | --- |
/// | [`Relaxed`](Durability::Relaxed) | survives | may be lost |
/// | [`Durable`](Durability::Durable) | survives | survives |
///
/// In either case a batch is found complete or not at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// The write is in the page cache of the operating system.
    ///
    /// It survives a crash of the process. **It is not durable**: power loss or a crash of the system may lose it
    /// together with later relaxed writes. It never loses a part of a batch, and never an earlier write without all
    /// later ones. The next durable write makes it durable too.
    Relaxed,
    /// The write, and all writes before it, are flushed to the disk with `fdatasync`.
    ///
    /// It survives a crash of the process, a crash of the system and power loss, provided that the disk keeps what it
    /// reports as flushed.
    Durable,
}

/// How a store is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Whether a store is created where the directory holds none. No file is written before the first write.
    pub create: bool,
    /// Whether the store is opened for reading only. The directory is not changed, and other readers may open it at
    /// the same time.
    pub read_only: bool,
    /// The length in bytes after which a segment of the log is sealed and a new one begins. Limited to 1 KiB to 1 GiB;
    /// 16 MiB by default.
    pub segment_bytes: u64,
    /// The bytes by which the log may exceed twice the live bytes before compaction is due; 1 MiB by default.
    pub compaction_slack_bytes: u64,
    /// The most bytes that [`Store::append`](crate::Store::append) collects before a commit; 8 MiB by default.
    pub max_pending_bytes: usize,
    /// The most bytes that are written ahead of the log as zeros; 1 MiB by default. A flush costs less where the file
    /// need not grow, and a full disk is met before any byte of a batch is on it. The preallocation begins with 64 KiB
    /// and grows with the segment.
    pub max_preallocated_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            create: true,
            read_only: false,
            segment_bytes: 16 << 20,
            compaction_slack_bytes: 1 << 20,
            max_pending_bytes: 8 << 20,
            max_preallocated_bytes: 1 << 20,
        }
    }
}

/// The shortest segment that [`Options::segment_bytes`] may ask for. No measurement stands behind it; it keeps the
/// count of files in bounds.
const MIN_SEGMENT_BYTES: u64 = 1 << 10;

/// The longest segment that [`Options::segment_bytes`] may ask for: offsets within a segment have 32 bits, and the last
/// batch may exceed the limit.
const MAX_SEGMENT_BYTES: u64 = 1 << 30;

impl Options {
    /// The same options with the segment length within its bounds.
    pub(crate) fn within_bounds(self) -> Self {
        Options {
            segment_bytes: self
                .segment_bytes
                .clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
            ..self
        }
    }
}

//! What a store holds, and what it takes on the disk.

/// What a store holds, and what it takes on the disk. Not persisted: counted anew at each opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statistics {
    /// The count of keys, those that have expired and are not dropped yet included.
    pub keys: u64,
    /// The bytes that the live entries take in the log.
    pub live_bytes: u64,
    /// The bytes of the log, without preallocated zeros.
    pub log_bytes: u64,
    /// The count of segments.
    pub segments: u64,
    /// The sequence number of the next batch, which is the count of batches so far.
    pub next_sequence: u64,
    /// How many times the manifest was replaced.
    pub manifest_generation: u64,
    /// The bytes of a torn end that were ignored at the opening.
    pub truncated_bytes: u64,
}

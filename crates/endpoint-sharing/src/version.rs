//! The version of a list, and which of two versions is the newer.

use crate::timing::{HIGHER_VERSION_TIMEOUT, Micros};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// The version of a list.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct ListVersion {
    /// Discovery's number of the list, which grows with each change.
    pub index: u64,
    /// The CRC-32C of the text. It tells lists apart after discovery has restarted its numbering and reuses an index.
    #[serde(rename = "digest")]
    pub checksum: u32,
}

impl ListVersion {
    /// The version of a text.
    pub fn of(index: u64, text: &str) -> Self {
        ListVersion {
            index,
            checksum: crc32c::crc32c(text.as_bytes()),
        }
    }

    /// Whether a list of this version replaces one of the `other` version at the time `now`. `evidence_at` and
    /// `other_evidence_at` are the times of the latest evidence for each, by the same clock as `now`.
    pub(crate) fn supersedes(
        self,
        evidence_at: Micros,
        other: ListVersion,
        other_evidence_at: Micros,
        now: Micros,
    ) -> bool {
        let has_later_evidence = evidence_at > other_evidence_at;
        match self.index.cmp(&other.index) {
            Ordering::Greater => true,
            Ordering::Equal => self.checksum != other.checksum && has_later_evidence,
            Ordering::Less => {
                has_later_evidence && now.saturating_sub(other_evidence_at) > HIGHER_VERSION_TIMEOUT
            }
        }
    }
}

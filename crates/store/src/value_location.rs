//! Where a value is stored, and how it is read back.

use crate::disk::File;
use crate::error::{Error, Result};
use crate::format::{InvalidRecord, RECORD_HEADER_BYTES, Record, Records, segment_name};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The open segments by their ids.
pub(crate) type SegmentFiles<F> = BTreeMap<u32, Arc<F>>;

/// Where a value is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ValueLocation {
    /// The id of the segment.
    pub segment: u32,
    /// Where the value begins in the segment.
    pub offset: u32,
    /// The value's length in bytes.
    pub length: u32,
    /// The checksum of the value alone, so that a read need not read the whole frame.
    pub checksum: u32,
    /// The time from which the value reads as absent; [`NO_EXPIRY`](crate::format::NO_EXPIRY) for never.
    pub expires_at: u64,
}

impl ValueLocation {
    /// Whether the value has not expired by `now`.
    pub fn is_live(&self, now: u64) -> bool {
        self.expires_at > now
    }

    /// The bytes that the key and the value take in the log.
    pub fn log_bytes(&self, key: &[u8]) -> u64 {
        (RECORD_HEADER_BYTES + key.len()) as u64 + u64::from(self.length)
    }

    /// Reads the value and checks it.
    ///
    /// # Errors
    /// [`Error::Corrupted`] if the value differs from what was written; [`Error::Io`] if it cannot be read.
    pub fn read<F: File>(&self, files: &SegmentFiles<F>) -> Result<Vec<u8>> {
        self.read_from(files.get(&self.segment).map(Arc::as_ref))
    }

    /// Reads the value from its segment, `None` if that is not open. See [`ValueLocation::read`].
    pub fn read_from<F: File>(&self, file: Option<&F>) -> Result<Vec<u8>> {
        let name = segment_name(self.segment);
        let offset = u64::from(self.offset);
        let file =
            file.ok_or_else(|| Error::corrupted(&name, offset, "the segment is not open"))?;
        let mut value = vec![0; self.length as usize];
        let read = file
            .read_at(&mut value, offset)
            .map_err(|error| Error::io(&name, error))?;
        if read < value.len() || crc32c::crc32c(&value) != self.checksum {
            return Err(Error::corrupted(
                &name,
                offset,
                "a value is not what was written",
            ));
        }
        Ok(value)
    }
}

/// Calls `visit` for each record of a body that begins at `body_offset` of this segment, in their order: with the
/// location of the value, or with `None` for a deletion. It is called for no record if one of them is invalid.
pub(crate) fn for_each_record(
    body: &[u8],
    segment: u32,
    body_offset: u64,
    mut visit: impl FnMut(&[u8], Option<ValueLocation>),
) -> std::result::Result<(), InvalidRecord> {
    for record in Records::new(body) {
        check_offset(record?, body_offset)?;
    }
    for record in Records::new(body).flatten() {
        match record {
            Record::Put {
                key,
                value,
                value_offset,
                expires_at,
            } => {
                let location = ValueLocation {
                    segment,
                    offset: (body_offset + value_offset as u64) as u32,
                    length: value.len() as u32,
                    checksum: crc32c::crc32c(value),
                    expires_at,
                };
                visit(key, Some(location));
            }
            Record::Delete { key } => visit(key, None),
        }
    }
    Ok(())
}

/// Checks that the offset of a record's value in its segment has 32 bits.
fn check_offset(record: Record<'_>, body_offset: u64) -> std::result::Result<(), InvalidRecord> {
    let Record::Put { value_offset, .. } = record else {
        return Ok(());
    };
    match u32::try_from(body_offset + value_offset as u64) {
        Ok(_) => Ok(()),
        Err(_) => Err(InvalidRecord {
            offset: value_offset,
            problem: "a segment of more than 4 GiB",
        }),
    }
}

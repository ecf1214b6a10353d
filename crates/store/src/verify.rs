//! Checks a store without a change.

use crate::disk::{Disk, LockMode};
use crate::error::{Corruption, Error, Result};
use crate::format::{Manifest, Records, SegmentEntry, segment_id};
use crate::manifest_file::load_manifest;
use crate::recovery::lock_directory;
use crate::segment_files::{open_segment, reject_orphaned_segments};
use crate::segment_scan::{OnCorruption, scan_segment};

/// The result of [`verify()`]. The counts are those of what was read up to the first corruption.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerifyReport {
    /// The first corruption, in the order in which the segments apply; `None` if the store is sound.
    pub corruption: Option<Corruption>,
    /// The count of segments.
    pub segments: u64,
    /// The count of frames. A frame holds a batch, or a part of a compacted segment.
    pub frames: u64,
    /// The count of records.
    pub records: u64,
    /// The bytes of the segments, without preallocated zeros.
    pub bytes: u64,
    /// The bytes of a torn end, which were never acknowledged as durable. The next opening ignores them.
    pub torn_bytes: u64,
    /// The count of segments that no manifest lists, left by a crash. The next opening removes them.
    pub unlisted_segments: u64,
}

/// Reads the whole store and changes nothing. The memory that it takes is bounded by one batch.
///
/// # Errors
/// [`Error::Locked`], [`Error::StoreNotFound`], [`Error::UnsupportedVersion`], [`Error::Io`]. Corruption is not an error
/// here but part of the report.
pub fn verify<D: Disk>(disk: &D) -> Result<VerifyReport> {
    let _lock = lock_directory(disk, LockMode::Shared)?;
    let names = disk.list().map_err(Error::directory)?;
    let mut report = VerifyReport::default();
    match verify_all(disk, &names, &mut report) {
        Ok(()) => {}
        Err(Error::Corrupted(corruption)) => report.corruption = Some(corruption),
        Err(error) => return Err(error),
    }
    Ok(report)
}

fn verify_all<D: Disk>(disk: &D, names: &[String], report: &mut VerifyReport) -> Result<()> {
    let manifest = load_existing_manifest(disk, names)?;
    let ids = names.iter().filter_map(|name| segment_id(name));
    report.unlisted_segments = ids.filter(|id| !manifest.lists(*id)).count() as u64;
    for entry in &manifest.segments {
        verify_segment(disk, entry, report)?;
    }
    Ok(())
}

fn load_existing_manifest<D: Disk>(disk: &D, names: &[String]) -> Result<Manifest> {
    match load_manifest(disk)? {
        Some(manifest) => Ok(manifest),
        None => {
            reject_orphaned_segments(disk, names)?;
            Err(Error::StoreNotFound)
        }
    }
}

fn verify_segment<D: Disk>(
    disk: &D,
    entry: &SegmentEntry,
    report: &mut VerifyReport,
) -> Result<()> {
    let file = open_segment(disk, entry)?;
    let scan = scan_segment(&file, entry, OnCorruption::Fail, |frame| {
        report.frames += 1;
        report.records += Records::new(frame.body).count() as u64;
        Ok(())
    })?;
    report.segments += 1;
    report.bytes += scan.end.offset;
    report.torn_bytes += scan.torn_bytes;
    Ok(())
}

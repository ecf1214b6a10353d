//! Copies what can be read of a corrupted store into a new one.

use crate::batch::Batch;
use crate::disk::{Disk, File, LockMode};
use crate::error::{Corruption, Error, Result};
use crate::format::{
    FormatError, MANIFEST, NO_EXPIRY, Record, Records, SEGMENT_HEADER_BYTES, SegmentEntry,
    SegmentHeader, SegmentKind, segment_id, segment_name,
};
use crate::manifest_file::load_manifest;
use crate::options::{Durability, Options};
use crate::recovery::lock_directory;
use crate::segment_files::open_segment;
use crate::segment_scan::{LostRange, OnCorruption, scan_segment};
use crate::store::Store;

/// What [`salvage()`] copied, and what it could not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SalvageReport {
    /// The count of frames that were copied. A frame holds a batch, or a part of a compacted segment.
    pub frames: u64,
    /// The count of records that were copied.
    pub records: u64,
    /// The bytes of a torn end that were not copied: they were never acknowledged as durable.
    pub torn_bytes: u64,
    /// What could not be read, in the order in which it was stored.
    pub lost: Vec<LostRange>,
}

impl SalvageReport {
    fn add_lost(&mut self, corruption: Corruption, bytes: u64) {
        self.lost.push(LostRange {
            corruption,
            bytes,
            sequences: None,
        });
    }
}

/// Copies everything that can be read of a corrupted store into a new one in an empty directory, and reports what could
/// not. The corrupted store is not changed. Once it has returned `Ok` the copy survives power loss.
///
/// Keys whose last batch is lost read as they did before it: with an older value, or as present though they were
/// deleted. If the manifest itself is lost, segments that a finished compaction had replaced may be read too.
///
/// # Errors
/// [`Error::Locked`], [`Error::UnsupportedVersion`], [`Error::Io`]; [`Error::StoreNotFound`] if there is nothing to
/// read; [`Error::SalvageTargetNotEmpty`]; and any error of a write to the new directory.
pub fn salvage<D: Disk, E: Disk>(from: &D, to: E) -> Result<SalvageReport> {
    let _lock = lock_directory(from, LockMode::Shared)?;
    let mut report = SalvageReport::default();
    let segments = find_segments(from, &mut report)?;
    if !to.list().map_err(Error::directory)?.is_empty() {
        return Err(Error::SalvageTargetNotEmpty);
    }
    let mut store = Store::open(to, Options::default())?;
    for entry in &segments {
        copy_segment(from, entry, &mut store, &mut report)?;
    }
    store.commit(Durability::Durable)?;
    Ok(report)
}

/// The segments that the manifest lists, or, if it cannot be read, all that there are.
fn find_segments<D: Disk>(disk: &D, report: &mut SalvageReport) -> Result<Vec<SegmentEntry>> {
    match load_manifest(disk) {
        Ok(Some(manifest)) => Ok(manifest.segments),
        Ok(None) => find_segments_by_headers(disk, report),
        Err(Error::Corrupted(corruption)) => {
            report.add_lost(corruption, 0);
            find_segments_by_headers(disk, report)
        }
        Err(error) => Err(error),
    }
}

fn copy_segment<D: Disk, E: Disk>(
    disk: &D,
    entry: &SegmentEntry,
    store: &mut Store<E>,
    report: &mut SalvageReport,
) -> Result<()> {
    let file = match open_segment(disk, entry) {
        Ok(file) => file,
        Err(Error::Corrupted(corruption)) => {
            report.lost.push(lost_segment(entry, corruption));
            return Ok(());
        }
        Err(error) => return Err(error),
    };
    let scan = scan_segment(&file, entry, OnCorruption::Skip, |frame| {
        let batch = decode_batch(frame.body);
        report.frames += 1;
        report.records += batch.operations().len() as u64;
        store.write(&batch, Durability::Relaxed).map(|_| ())
    })?;
    report.torn_bytes += scan.torn_bytes;
    report.lost.extend(scan.lost);
    Ok(())
}

fn lost_segment(entry: &SegmentEntry, corruption: Corruption) -> LostRange {
    LostRange {
        corruption,
        bytes: entry.sealed.map_or(0, |sealed| sealed.offset),
        sequences: entry
            .sealed
            .map(|sealed| entry.first_sequence..sealed.next_sequence),
    }
}

/// The batch that a complete frame holds.
fn decode_batch(body: &[u8]) -> Batch {
    let mut batch = Batch::new();
    for record in Records::new(body).flatten() {
        match record {
            Record::Put {
                key,
                value,
                expires_at: NO_EXPIRY,
                ..
            } => batch.put(key, value),
            Record::Put {
                key,
                value,
                expires_at,
                ..
            } => batch.put_until(key, value, expires_at),
            Record::Delete { key } => batch.delete(key),
        };
    }
    batch
}

/// The segments in the order in which they apply, by their headers. A compacted segment holds what was there before the
/// batch whose sequence number it names. A file whose header cannot be read is skipped.
fn find_segments_by_headers<D: Disk>(
    disk: &D,
    report: &mut SalvageReport,
) -> Result<Vec<SegmentEntry>> {
    let names = disk.list().map_err(Error::directory)?;
    let ids: Vec<u32> = names.iter().filter_map(|name| segment_id(name)).collect();
    if ids.is_empty() && !names.iter().any(|name| name == MANIFEST) {
        return Err(Error::StoreNotFound);
    }
    let mut segments = Vec::new();
    for id in ids {
        segments.extend(read_segment_entry(disk, id, report)?);
    }
    segments.sort_unstable_by_key(|segment| {
        let is_log = segment.kind == SegmentKind::Log;
        (segment.first_sequence, is_log, segment.id)
    });
    Ok(segments)
}

/// The entry of a segment by its header; `None` if the header cannot be read, which is reported.
fn read_segment_entry<D: Disk>(
    disk: &D,
    id: u32,
    report: &mut SalvageReport,
) -> Result<Option<SegmentEntry>> {
    let name = segment_name(id);
    let io_error = |error| Error::io(&name, error);
    let file = disk.open(&name).map_err(io_error)?;
    let mut bytes = vec![0; SEGMENT_HEADER_BYTES];
    let read = file.read_at(&mut bytes, 0).map_err(io_error)?;
    bytes.truncate(read);
    let problem = match SegmentHeader::decode(&bytes) {
        Ok(header) if header.id == id => {
            return Ok(Some(SegmentEntry {
                id,
                kind: header.kind,
                first_sequence: header.first_sequence,
                sealed: None,
            }));
        }
        Ok(_) => "the header is that of another segment",
        Err(FormatError::Corrupted { problem, .. }) => problem,
        Err(FormatError::UnsupportedVersion { version }) => {
            return Err(Error::UnsupportedVersion {
                file: name,
                version,
            });
        }
    };
    let size = file.size().map_err(io_error)?;
    let corruption = Corruption {
        file: name,
        offset: 0,
        problem: problem.to_owned(),
    };
    report.add_lost(corruption, size);
    Ok(None)
}

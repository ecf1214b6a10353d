//! A store looked at from outside: checked without a change, and what can be read of a damaged one copied.

use crate::batch::Batch;
use crate::disk::{Disk, File};
use crate::error::{Corruption, Error, Result};
use crate::format::{
    Kind, Listed, MANIFEST, NEVER, Ops, Refusal, decode_segment_header, segment_id, segment_name,
};
use crate::manifest;
use crate::scan::{LostRange, Mode, scan};
use crate::store::{Durability, Options, Store};

/// What a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerifyReport {
    /// The first damage, in the order in which the files apply.
    pub corruption: Option<Corruption>,
    /// Files, frames, records and bytes that were read whole, up to the first damage.
    pub segments: u64,
    /// See `segments`.
    pub frames: u64,
    /// See `segments`.
    pub records: u64,
    /// See `segments`.
    pub bytes: u64,
    /// Bytes of a torn end: what was written and never acknowledged as durable. The next opening cuts them.
    pub torn_bytes: u64,
    /// Files that no manifest lists, left by a crash. The next opening removes them.
    pub unlisted_segments: u64,
}

/// Reads all of a store and changes nothing. Memory is bounded by one batch, not by the store.
///
/// # Errors
/// [`Error::Locked`], [`Error::StoreNotFound`], [`Error::UnsupportedVersion`], [`Error::Io`]. Damage is no error here: it is told.
pub fn verify<D: Disk>(disk: &D) -> Result<VerifyReport> {
    let directory = |e: std::io::Error| Error::io("directory", &e);
    let _lock = disk.lock(false).map_err(directory)?.ok_or(Error::Locked)?;
    let names = disk.list().map_err(directory)?;
    let mut verified = VerifyReport::default();
    let told = match load(disk, &names) {
        Ok(manifest) => {
            let ids: Vec<u32> = names.iter().filter_map(|n| segment_id(n)).collect();
            let listed = |id: &&u32| manifest.iter().any(|s| s.id == **id);
            verified.unlisted_segments = ids.iter().filter(|id| !listed(id)).count() as u64;
            manifest
                .iter()
                .try_for_each(|segment| verify_segment(disk, segment, &mut verified))
        }
        Err(error) => Err(error),
    };
    match told {
        Err(Error::Corrupted(damage)) => verified.corruption = Some(damage),
        other => other?,
    }
    Ok(verified)
}

fn load<D: Disk>(disk: &D, names: &[String]) -> Result<Vec<Listed>> {
    let manifest = manifest::load(disk)?;
    if manifest.is_none() {
        // Segments without a manifest that hold nothing are what a first write left that was not finished.
        names
            .iter()
            .filter_map(|n| segment_id(n))
            .try_for_each(|id| crate::store::refuse_orphan(disk, id))?;
    }
    Ok(manifest.ok_or(Error::StoreNotFound)?.segments)
}

fn open_segment<D: Disk>(disk: &D, listed: &Listed) -> Result<D::File> {
    let name = segment_name(listed.id);
    disk.open(&name).map_err(|e| match e.kind() {
        std::io::ErrorKind::NotFound => {
            Error::damage(&name, 0, "the manifest lists it, but it is gone")
        }
        _ => Error::io(&name, &e),
    })
}

fn verify_segment<D: Disk>(disk: &D, listed: &Listed, verified: &mut VerifyReport) -> Result<()> {
    let file = open_segment(disk, listed)?;
    let scanned = scan(&file, listed, Mode::Refuse, |frame| {
        verified.frames += 1;
        verified.records += Ops::of(frame.body).count() as u64;
        Ok(())
    })?;
    verified.segments += 1;
    verified.bytes += scanned.end;
    verified.torn_bytes += scanned.torn;
    Ok(())
}

/// What a salvage copied and what it could not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SalvageReport {
    /// Frames and records that were read whole.
    pub frames: u64,
    /// See `frames`.
    pub records: u64,
    /// Bytes of a torn end that were cut: they were never acknowledged as durable.
    pub torn_bytes: u64,
    /// What was passed over, in the order in which it stood.
    pub lost: Vec<LostRange>,
}

/// Copies all that can be read of a damaged store into a new one in an empty directory, and tells what could not.
/// The damaged one is not changed.
///
/// Keys whose last batch is lost read as they did before it: an older value may be there, or one that was deleted.
/// Where the manifest itself is lost, so may be what a finished compaction left to be removed.
///
/// # Errors
/// [`Error::Locked`], [`Error::UnsupportedVersion`], [`Error::Io`]; [`Error::StoreNotFound`] where there is nothing to read at all; and
/// where the new directory is not empty or can't be written.
pub fn salvage<D: Disk, E: Disk>(from: &D, to: E) -> Result<SalvageReport> {
    let directory = |e: std::io::Error| Error::io("directory", &e);
    let _lock = from.lock(false).map_err(directory)?.ok_or(Error::Locked)?;
    let mut salvaged = SalvageReport::default();
    let segments = match manifest::load(from) {
        Ok(Some(manifest)) => manifest.segments,
        Ok(None) => by_headers(from, &mut salvaged)?,
        Err(Error::Corrupted(damage)) => {
            salvaged.lost.push(LostRange {
                corruption: damage,
                bytes: 0,
                sequences: None,
            });
            by_headers(from, &mut salvaged)?
        }
        Err(error) => return Err(error),
    };
    if !to.list().map_err(directory)?.is_empty() {
        return Err(Error::Io {
            file: "directory".into(),
            kind: std::io::ErrorKind::AlreadyExists,
            problem: "the directory to salvage into is not empty".into(),
        });
    }
    let mut store = Store::open(to, Options::default())?;
    for listed in &segments {
        let file = match open_segment(from, listed) {
            Err(Error::Corrupted(damage)) => {
                let sequences = listed.sealed.map(|(_, next)| listed.first..next);
                let bytes = listed.sealed.map_or(0, |(length, _)| length);
                salvaged.lost.push(LostRange {
                    corruption: damage,
                    bytes,
                    sequences,
                });
                continue;
            }
            file => file?,
        };
        let scanned = scan(&file, listed, Mode::Salvage, |frame| {
            let mut batch = Batch::new();
            for op in Ops::of(frame.body).flatten() {
                salvaged.records += 1;
                match op.put {
                    Some((value, _, NEVER)) => batch.put(op.key, value),
                    Some((value, _, expires)) => batch.put_until(op.key, value, expires),
                    None => batch.delete(op.key),
                };
            }
            salvaged.frames += 1;
            store.write(&batch, Durability::Relaxed).map(|_| ())
        })?;
        salvaged.torn_bytes += scanned.torn;
        salvaged.lost.extend(scanned.lost);
    }
    store.commit(Durability::Durable)?;
    Ok(salvaged)
}

/// The segments in the order in which they apply, where no manifest tells: a compacted one holds what was there before
/// the batch that it names. A file whose header can't be read is passed over.
fn by_headers<D: Disk>(disk: &D, salvaged: &mut SalvageReport) -> Result<Vec<Listed>> {
    let names = disk.list().map_err(|e| Error::io("directory", &e))?;
    let ids: Vec<u32> = names.iter().filter_map(|n| segment_id(n)).collect();
    if ids.is_empty() && !names.iter().any(|n| n == MANIFEST) {
        return Err(Error::StoreNotFound);
    }
    let mut segments = Vec::new();
    for id in ids {
        let name = segment_name(id);
        let file = disk.open(&name).map_err(|e| Error::io(&name, &e))?;
        let mut bytes = vec![0; crate::format::SEGMENT_HEADER];
        let read = file
            .read_at(&mut bytes, 0)
            .map_err(|e| Error::io(&name, &e))?;
        bytes.truncate(read);
        match decode_segment_header(&bytes) {
            Ok((kind, told, first)) if told == id => segments.push(Listed {
                id,
                kind,
                first,
                sealed: None,
            }),
            Err(Refusal::Newer(version)) => {
                return Err(Error::UnsupportedVersion {
                    file: name,
                    version,
                });
            }
            other => {
                let problem = match other {
                    Err(Refusal::Damaged(_, problem)) => problem,
                    _ => "the header is that of another segment",
                };
                let bytes = file.size().map_err(|e| Error::io(&name, &e))?;
                let damage = Corruption {
                    file: name,
                    offset: 0,
                    problem: problem.into(),
                };
                salvaged.lost.push(LostRange {
                    corruption: damage,
                    bytes,
                    sequences: None,
                });
            }
        }
    }
    segments.sort_unstable_by_key(|s| (s.first, s.kind == Kind::Log, s.id));
    Ok(segments)
}

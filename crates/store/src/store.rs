//! The store: a log, an index of it, and the one place where files of the log are written.

use crate::batch::Batch;
use crate::compact::Compaction;
use crate::disk::{Disk, File};
use crate::error::{Error, Result};
use crate::format::{
    FRAME_HEADER, FrameHeader, Kind, Listed, MANIFEST_NEW, Manifest, SEGMENT_HEADER, encode_batch,
    encode_segment_header, segment_id, segment_name,
};
use crate::index::{self, Index, Loader, Snapshot};
use crate::manifest::{self, NotSwitched};
use crate::scan::{Mode, scan};
use std::io::ErrorKind;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// What survives, once a write is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// The write is with the operating system. It survives a crash of the process. **It is not durable**: a loss of
    /// power, or a crash of the system, may take it away, and with it later relaxed writes, but never a part of a
    /// batch, and never an earlier write without all later ones. The next durable write makes it durable, too.
    Relaxed,
    /// The write, and all before it, are flushed to the disk (`fdatasync`). It survives a crash of the process, of
    /// the system, and a loss of power, as far as the disk keeps what it says it has flushed.
    Durable,
}

/// How a store is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Whether a store is begun where there is none. Nothing is written before the first write.
    pub create: bool,
    /// Whether it is opened for reading alone: nothing in the directory is changed, and others may read it, too.
    pub read_only: bool,
    /// A segment of the log that holds so many bytes is followed by a new one. At most 1 GiB; 16 MiB by default.
    pub segment_bytes: u64,
    /// Bytes of the log beyond twice the live ones before compaction is due; 1 MiB by default.
    pub compaction_slack_bytes: u64,
    /// Bytes that may wait for a flush; 8 MiB by default.
    pub max_pending_bytes: usize,
    /// The most bytes that are reserved ahead of the log, with zeros: a flush is cheaper where the file need not grow,
    /// and a full disk is met before anything of a write is on it. Begins with 64 KiB or as many as the segment
    /// holds; 1 MiB by default.
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

/// The longest a segment may be set to, in bytes: places in it are 32 bits wide.
const LONGEST_SEGMENT: u64 = 1 << 30;
/// The least that is reserved ahead of the log, where not less is allowed at the most.
const LEAST_RESERVE: u64 = 64 << 10;
/// Relaxed writes are flushed once so many bytes of them are not, so that what must be kept of them is bounded.
const UNFLUSHED: usize = 1 << 20;
/// Segments beyond those that the log's length asks for before compaction is due.
const SEGMENTS: u64 = 16;
/// Entries whose place is renewed at a time after a compaction, while readers wait.
const RELOCATED: usize = 4096;

/// A frame that is kept until it is known to be durable.
struct Kept {
    sequence: u64,
    body: Vec<u8>,
}

/// The segment at the log's end.
struct Tail<F> {
    /// None where nothing more may be written to it: before the first write, and after a failed one.
    file: Option<Arc<F>>,
    id: u32,
    first: u64,
    /// Up to here it is written, and reserved.
    length: u64,
    reserved: u64,
    /// Up to here it is flushed, and the sequence number after that.
    flushed: (u64, u64),
    /// What is written or was found behind that.
    kept: Vec<Kept>,
}

/// What is moved in the index after a compaction.
struct Relocation<D: Disk> {
    compaction: Compaction<D>,
    at: usize,
    last: Option<index::Key>,
}

/// A store, for one owner: it writes, and it blocks while it does. [`Reader`] is for others; [`crate::GroupCommit`]
/// is for many writers and for those that must not block.
///
/// What an acknowledged write survives is told at [`Durability`]. A write that ended in an error was not
/// acknowledged: after a restart it may be there whole, or not at all. Until then it reads as absent.
pub struct Store<D: Disk> {
    disk: D,
    options: Options,
    index: Arc<RwLock<Index<D::File>>>,
    manifest: Manifest,
    /// None before the first write of a new store.
    tail: Option<Tail<D::File>>,
    pending: Vec<Vec<u8>>,
    pending_bytes: usize,
    next: u64,
    next_id: Arc<AtomicU32>,
    poisoned: Option<String>,
    relocation: Option<Relocation<D>>,
    cut: u64,
    _lock: D::Lock,
}

/// Reads a store from any thread, while its owner writes. It sees acknowledged writes alone.
pub struct Reader<D: Disk> {
    index: Arc<RwLock<Index<D::File>>>,
}

impl<D: Disk> Clone for Reader<D> {
    fn clone(&self) -> Self {
        Reader {
            index: Arc::clone(&self.index),
        }
    }
}

fn read_lock<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write_lock<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Disk> Reader<D> {
    /// A key's value, if it is there and does not expire by `now`.
    ///
    /// # Errors
    /// Where the value can't be read, or is not what was written.
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        let found = read_lock(&self.index).find(key, now);
        found
            .map(|(place, file)| index::read(place, file.as_ref()))
            .transpose()
    }

    /// Whether a key is there and does not expire by `now`. Reads no file.
    pub fn contains(&self, key: &[u8], now: u64) -> bool {
        read_lock(&self.index).find(key, now).is_some()
    }

    /// All that is there at this moment, to be read while writes go on. Takes no time that grows with the store.
    pub fn snapshot(&self) -> Snapshot<D::File> {
        read_lock(&self.index).snapshot()
    }
}

/// What a store holds and takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statistics {
    /// Keys, those that have expired and not been dropped yet included.
    pub keys: u64,
    /// Bytes in the log of what is live.
    pub live_bytes: u64,
    /// Bytes of the log.
    pub log_bytes: u64,
    /// Files of the log.
    pub segments: u64,
    /// The sequence number of the next batch.
    pub next_sequence: u64,
    /// Switches of the manifest so far.
    pub manifest_generation: u64,
    /// Bytes of a torn end that were cut at the opening.
    pub truncated_bytes: u64,
}

impl<D: Disk> Store<D> {
    /// Opens a store, or begins one. Reads the whole log.
    ///
    /// The end of the log is cut where it is torn: nothing acknowledged as durable is there. Nothing is written
    /// before the first write, but files that no manifest lists are removed.
    ///
    /// # Errors
    /// [`Error::Locked`], [`Error::StoreNotFound`], [`Error::UnsupportedVersion`]; [`Error::Corrupted`] where what was once whole can't
    /// be read; [`Error::Io`].
    pub fn open(disk: D, options: Options) -> Result<Self> {
        let directory = |e: std::io::Error| Error::io("directory", &e);
        let lock = disk
            .lock(!options.read_only)
            .map_err(directory)?
            .ok_or(Error::Locked)?;
        let names = disk.list().map_err(directory)?;
        let ids = names.iter().filter_map(|n| segment_id(n));
        let manifest = manifest::load(&disk)?;
        if manifest.is_none() {
            if !options.create || options.read_only {
                return Err(Error::StoreNotFound);
            }
            ids.clone().try_for_each(|id| refuse_orphan(&disk, id))?;
        }
        let manifest = manifest.unwrap_or_default();
        let mut loader = Loader::new();
        let mut files = Vec::new();
        let (mut tail, mut next, mut cut) = (None, 0, 0);
        for listed in &manifest.segments {
            let name = segment_name(listed.id);
            let file = disk.open(&name).map_err(|e| match e.kind() {
                ErrorKind::NotFound => {
                    Error::damage(&name, 0, "the manifest lists it, but it is gone")
                }
                _ => Error::io(&name, &e),
            })?;
            let mut kept = Vec::new();
            let scanned = scan(&file, listed, Mode::Refuse, |frame| {
                let applied = loader.apply(frame.body, listed.id, frame.body_at);
                applied
                    .map_err(|(at, why)| Error::damage(&name, frame.body_at + at as u64, why))?;
                if listed.sealed.is_none() {
                    // Only what stands behind the last flush is kept.
                    if frame.header.flushed == frame.header.sequence {
                        kept.clear();
                    }
                    kept.push(Kept {
                        sequence: frame.header.sequence,
                        body: frame.body.to_vec(),
                    });
                }
                Ok(())
            })?;
            if listed.kind == Kind::Log {
                next = scanned.next;
            }
            if listed.sealed.is_none() {
                cut = scanned.torn;
                tail = Some(Tail {
                    file: None,
                    id: listed.id,
                    first: listed.first,
                    length: scanned.end,
                    reserved: scanned.end,
                    flushed: scanned.proven,
                    kept,
                });
            }
            files.push((listed.id, Arc::new(file)));
        }
        let mut index = loader.end();
        index.files().extend(files);
        if !options.read_only && !names.is_empty() {
            remove_strays(&disk, &names, &manifest);
        }
        let last_id = ids
            .chain(manifest.segments.iter().map(|s| s.id))
            .max()
            .unwrap_or(0);
        Ok(Store {
            disk,
            options: Options {
                segment_bytes: options.segment_bytes.clamp(1 << 10, LONGEST_SEGMENT),
                ..options
            },
            index: Arc::new(RwLock::new(index)),
            manifest,
            tail,
            pending: Vec::new(),
            pending_bytes: 0,
            next,
            next_id: Arc::new(AtomicU32::new(last_id.saturating_add(1))),
            poisoned: None,
            relocation: None,
            cut,
            _lock: lock,
        })
    }

    /// A handle to read by, for other threads.
    pub fn reader(&self) -> Reader<D> {
        Reader {
            index: Arc::clone(&self.index),
        }
    }

    /// See [`Reader::get`].
    ///
    /// # Errors
    /// Where the value can't be read, or is not what was written.
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        self.reader().get(key, now)
    }

    /// See [`Reader::snapshot`].
    pub fn snapshot(&self) -> Snapshot<D::File> {
        self.reader().snapshot()
    }

    /// Takes a batch into the group that the next [`Store::commit`] writes. Nothing is promised, and nothing can be
    /// read, before that.
    ///
    /// # Errors
    /// [`Error::TooLarge`], [`Error::Busy`], [`Error::ReadOnly`]; the batch is not taken then.
    pub fn append(&mut self, batch: &Batch) -> Result<()> {
        batch.check()?;
        if self.options.read_only {
            return Err(Error::ReadOnly);
        }
        let size = batch.size() + FRAME_HEADER;
        if !self.pending.is_empty() && self.pending_bytes + size > self.options.max_pending_bytes {
            return Err(Error::Busy);
        }
        if !batch.is_empty() {
            self.pending.push(encode_batch(batch));
            self.pending_bytes += size;
        }
        Ok(())
    }

    /// Writes the group with one write, and for [`Durability::Durable`] flushes it with one `fdatasync`. Says how
    /// many batches there have ever been, these included.
    ///
    /// # Errors
    /// The whole group was not acknowledged. Nothing of it can be read in this process; after a restart each of its
    /// batches may be there whole. Where an earlier write failed this one may succeed: the log goes on in a new
    /// segment, but for [`Error::Poisoned`].
    pub fn commit(&mut self, durability: Durability) -> Result<u64> {
        let group = std::mem::take(&mut self.pending);
        self.pending_bytes = 0;
        if let Some(why) = &self.poisoned {
            return Err(Error::Poisoned(why.clone()));
        }
        if !group.is_empty() {
            self.write_group(group, durability)?;
        } else if durability == Durability::Durable && !self.options.read_only {
            self.flush_kept()?;
        }
        Ok(self.next)
    }

    /// One batch, alone.
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn write(&mut self, batch: &Batch, durability: Durability) -> Result<u64> {
        self.append(batch)?;
        self.commit(durability)
    }

    /// Sets a key to a value, durably.
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn put(&mut self, key: &[u8], value: &[u8]) -> Result<u64> {
        self.write(Batch::new().put(key, value), Durability::Durable)
    }

    /// Takes a key away, durably.
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn delete(&mut self, key: &[u8]) -> Result<u64> {
        self.write(Batch::new().delete(key), Durability::Durable)
    }

    fn write_group(&mut self, group: Vec<Vec<u8>>, durability: Durability) -> Result<()> {
        let full =
            |tail: &Tail<D::File>| tail.file.is_none() || tail.length >= self.options.segment_bytes;
        if self.tail.as_ref().is_none_or(full) {
            self.begin_segment()?;
        }
        let Some(tail) = self.tail.as_mut() else {
            return Err(Error::Closed);
        };
        let Some(file) = tail.file.clone() else {
            return Err(Error::Closed);
        };
        let name = segment_name(tail.id);

        let mut bytes = Vec::with_capacity(group.iter().map(|b| b.len() + FRAME_HEADER).sum());
        for (sequence, body) in (self.next..).zip(&group) {
            FrameHeader::of(body, sequence, tail.flushed.1).encode(tail.id, &mut bytes);
            bytes.extend_from_slice(body);
        }
        // Refused here, nothing of the group is on the disk, and the segment is as it was.
        reserve(
            &*file,
            tail,
            bytes.len() as u64,
            self.options.max_preallocated_bytes,
        )
        .map_err(|e| Error::io(&name, &e))?;
        let kept_bytes: usize = tail.kept.iter().map(|k| k.body.len()).sum();
        let flush = durability == Durability::Durable || kept_bytes + bytes.len() > UNFLUSHED;
        let written = file.write_at(&bytes, tail.length);
        let flushed = written.and_then(|()| if flush { file.sync() } else { Ok(()) });
        if let Err(error) = flushed {
            // Nothing is known of what stands behind the last flush: the log goes on elsewhere.
            tail.file = None;
            return Err(Error::io(&name, &error));
        }

        let mut index = write_lock(&self.index);
        let mut at = tail.length;
        for body in group {
            // It was encoded by this program and lies below 4 GiB.
            let _ = index.apply(&body, tail.id, at + FRAME_HEADER as u64);
            at += (FRAME_HEADER + body.len()) as u64;
            if !flush {
                tail.kept.push(Kept {
                    sequence: self.next,
                    body,
                });
            }
            self.next += 1;
        }
        tail.length = at;
        if flush {
            tail.flushed = (at, self.next);
            tail.kept.clear();
        }
        Ok(())
    }

    /// Makes the relaxed writes durable that are not.
    fn flush_kept(&mut self) -> Result<()> {
        let Some(tail) = self.tail.as_mut().filter(|t| !t.kept.is_empty()) else {
            return Ok(());
        };
        let Some(file) = &tail.file else {
            return self.begin_segment();
        };
        match file.sync() {
            Ok(()) => {
                tail.flushed = (tail.length, self.next);
                tail.kept.clear();
                Ok(())
            }
            Err(error) => {
                tail.file = None;
                Err(Error::io(&segment_name(tail.id), &error))
            }
        }
    }

    /// Seals the log's last segment where it is known to be flushed, and goes on in a new one, which begins with all
    /// that stands behind that.
    fn begin_segment(&mut self) -> Result<()> {
        let id = self.new_id()?;
        let name = segment_name(id);
        let first = self.tail.as_ref().map_or(0, |t| t.flushed.1);
        let kept = self
            .tail
            .as_mut()
            .map(|t| std::mem::take(&mut t.kept))
            .unwrap_or_default();
        let mut tail = Tail {
            file: None,
            id,
            first,
            length: SEGMENT_HEADER as u64,
            reserved: 0,
            flushed: (0, 0),
            kept: Vec::new(),
        };
        let made = make_segment(
            &self.disk,
            &name,
            &mut tail,
            &kept,
            self.options.max_preallocated_bytes,
        )
        .map_err(|e| Error::io(&name, &e));
        let mut segments = self.manifest.segments.clone();
        let mut emptied = None;
        if let Some(old) = &self.tail {
            segments.pop();
            if old.flushed.1 > old.first {
                let (first, sealed) = (old.first, Some(old.flushed));
                segments.push(Listed {
                    id: old.id,
                    kind: Kind::Log,
                    first,
                    sealed,
                });
            } else {
                emptied = Some(old.id);
            }
        }
        segments.push(Listed {
            id,
            kind: Kind::Log,
            first,
            sealed: None,
        });
        match made.and_then(|file| self.switch(segments).map(|()| file)) {
            Ok(file) => {
                let mut index = write_lock(&self.index);
                index.files().insert(id, Arc::clone(&file));
                let mut at = SEGMENT_HEADER as u64;
                for frame in kept {
                    let _ = index.apply(&frame.body, id, at + FRAME_HEADER as u64);
                    at += (FRAME_HEADER + frame.body.len()) as u64;
                }
                tail.flushed = (at, self.next);
                tail.file = Some(file);
                self.tail = Some(tail);
                if let Some(old) = emptied {
                    index.files().remove(&old);
                    let _ = self.disk.remove(&segment_name(old));
                }
                Ok(())
            }
            Err(error) => {
                if self.poisoned.is_none() {
                    // It is removed at the next opening, too.
                    let _ = self.disk.remove(&name);
                }
                if let Some(tail) = &mut self.tail {
                    tail.kept = kept;
                }
                Err(error)
            }
        }
    }

    fn new_id(&self) -> Result<u32> {
        take_id(&self.next_id)
    }

    /// Switches to a manifest of these segments.
    fn switch(&mut self, segments: Vec<Listed>) -> Result<()> {
        let manifest = Manifest {
            generation: self.manifest.generation + 1,
            segments,
        };
        match manifest::switch(&self.disk, &manifest) {
            Ok(()) => {
                self.manifest = manifest;
                Ok(())
            }
            Err(NotSwitched::Refused(error)) => Err(error),
            Err(NotSwitched::Unknown(error)) => {
                self.poisoned = Some(error.to_string());
                Err(Error::Poisoned(error.to_string()))
            }
        }
    }

    // ---- Compaction ----

    /// Whether the log is so much longer than what is live, or in so many pieces, that compaction is worth its cost:
    /// longer than twice the live bytes and [`Options::compaction_slack_bytes`], or more than 16 segments beyond those it fills.
    pub fn is_compaction_due(&self, now: u64) -> bool {
        if self.options.read_only || self.poisoned.is_some() || self.relocation.is_some() {
            return false;
        }
        let log = self.log_bytes();
        let live = read_lock(&self.index).live(now);
        let most = live
            .saturating_mul(2)
            .saturating_add(self.options.compaction_slack_bytes);
        log > most
            || self.manifest.segments.len() as u64 > SEGMENTS + 2 * log / self.options.segment_bytes
    }

    /// Whether writes outrun a compaction: the log is longer than three times the live bytes and twice
    /// [`Options::compaction_slack_bytes`]. Then they are to wait for its end, or the log would grow without bound.
    pub fn writes_should_stall(&self, now: u64) -> bool {
        let live = read_lock(&self.index).live(now);
        let slack = self.options.compaction_slack_bytes.saturating_mul(2);
        self.log_bytes() > live.saturating_mul(3).saturating_add(slack)
    }

    fn log_bytes(&self) -> u64 {
        let sealed: u64 = self
            .manifest
            .segments
            .iter()
            .filter_map(|s| Some(s.sealed?.0))
            .sum();
        sealed + self.tail.as_ref().map_or(0, |t| t.length)
    }

    /// Begins a compaction: what was written so far is flushed and sealed, and what of it is live at `now` is to be
    /// written anew by [`Compaction::step`], on any thread, while writes go on here. An expired entry is gone for
    /// good with it, even if later times passed in are earlier.
    ///
    /// # Errors
    /// Where the log's end can't be sealed; the store goes on as it was.
    pub fn begin_compaction(&mut self, now: u64) -> Result<Compaction<D>> {
        self.commit(Durability::Durable)?;
        if self.options.read_only {
            return Err(Error::ReadOnly);
        }
        self.relocate_entries(usize::MAX);
        self.begin_segment()?;
        let inputs = self
            .manifest
            .segments
            .iter()
            .filter(|s| s.sealed.is_some())
            .map(|s| s.id)
            .collect();
        Ok(Compaction::begin(
            self.disk.clone(),
            self.snapshot(),
            inputs,
            Arc::clone(&self.next_id),
            self.options.segment_bytes,
            self.next,
            now,
        ))
    }

    /// Puts a finished compaction in place of what it read. Survives a crash at any point: the segments before, or
    /// those after, are found.
    ///
    /// # Errors
    /// The store goes on with the segments before, and what was written by the compaction is removed.
    pub fn finish_compaction(&mut self, mut compaction: Compaction<D>) -> Result<()> {
        if let Some(why) = &self.poisoned {
            return Err(Error::Poisoned(why.clone()));
        }
        let (outputs, inputs) = compaction.outputs()?;
        // The names are to be there before a manifest lists them.
        self.disk.sync().map_err(|e| Error::io("directory", &e))?;
        let mut segments = outputs;
        segments.extend(
            self.manifest
                .segments
                .iter()
                .filter(|s| !inputs.contains(&s.id)),
        );
        let switched = self.switch(segments);
        if switched.is_ok() || self.poisoned.is_some() {
            compaction.keep_outputs();
        }
        switched?;
        write_lock(&self.index).files().extend(compaction.files());
        for id in &inputs {
            // Files that are open stay readable; what can't be removed now is at the next opening.
            let _ = self.disk.remove(&segment_name(*id));
        }
        self.relocation = Some(Relocation {
            compaction,
            at: 0,
            last: None,
        });
        Ok(())
    }

    /// Goes on with a compaction's last part: renews the places of up to so many entries in the index. Says whether
    /// there are more.
    pub fn relocate_entries(&mut self, most: usize) -> bool {
        let mut left = most;
        while let Some(moving) = &mut self.relocation {
            if left == 0 {
                return true;
            }
            let step = left.min(RELOCATED);
            left -= step;
            let mut index = write_lock(&self.index);
            let (done, last) =
                moving
                    .compaction
                    .relocate(&mut index, moving.last.as_deref(), moving.at, step);
            moving.at += done;
            moving.last = last;
            if done < step {
                let inputs = moving.compaction.inputs();
                index.files().retain(|id, _| !inputs.contains(id));
                drop(index);
                self.relocation = None;
            }
        }
        false
    }

    /// Compacts at once, to the end.
    ///
    /// # Errors
    /// See [`Store::begin_compaction`], [`Compaction::step`] and [`Store::finish_compaction`].
    pub fn compact(&mut self, now: u64) -> Result<()> {
        let mut compaction = self.begin_compaction(now)?;
        while !compaction.step(usize::MAX)? {}
        self.finish_compaction(compaction)?;
        self.relocate_entries(usize::MAX);
        Ok(())
    }

    /// What the store holds and takes.
    pub fn statistics(&self, now: u64) -> Statistics {
        let index = read_lock(&self.index);
        Statistics {
            keys: index.len() as u64,
            live_bytes: index.live(now),
            log_bytes: self.log_bytes(),
            segments: self.manifest.segments.len() as u64,
            next_sequence: self.next,
            manifest_generation: self.manifest.generation,
            truncated_bytes: self.cut,
        }
    }
}

pub(crate) fn take_id(next: &AtomicU32) -> Result<u32> {
    let taken = next.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |id| id.checked_add(1));
    taken.map_err(|_| Error::TooLarge {
        what: "the count of segments",
        size: usize::MAX,
        most: u32::MAX as usize,
    })
}

/// Writes zeros ahead of what is to be written.
fn reserve<F: File>(file: &F, tail: &mut Tail<F>, more: u64, most: u64) -> std::io::Result<()> {
    let need = tail.length + more;
    if need <= tail.reserved {
        return Ok(());
    }
    let from = tail.reserved.max(tail.length);
    let ahead = tail.length.max(LEAST_RESERVE).min(most);
    let zeros = |to: u64| {
        file.write_at(&vec![0; (to - from) as usize], from)
            .inspect_err(|_| {
                // A part of them may have taken the last room there was; the manifest, for one, needs some.
                let _ = file.truncate(from);
            })
    };
    // Where there is no room for more, there may be for this.
    let to = match zeros(need + ahead) {
        Ok(()) => need + ahead,
        Err(_) => {
            zeros(need)?;
            need
        }
    };
    tail.reserved = to;
    Ok(())
}

/// A new segment with what it begins with, flushed, its name too.
fn make_segment<D: Disk>(
    disk: &D,
    name: &str,
    tail: &mut Tail<D::File>,
    kept: &[Kept],
    most_reserve: u64,
) -> std::io::Result<Arc<D::File>> {
    let file = disk.create(name)?;
    let mut bytes = encode_segment_header(Kind::Log, tail.id, tail.first).to_vec();
    for frame in kept {
        FrameHeader::of(&frame.body, frame.sequence, tail.first).encode(tail.id, &mut bytes);
        bytes.extend_from_slice(&frame.body);
    }
    tail.length = 0;
    reserve(&file, tail, bytes.len() as u64, most_reserve)?;
    file.write_at(&bytes, 0)?;
    tail.length = bytes.len() as u64;
    file.sync()?;
    disk.sync()?;
    Ok(Arc::new(file))
}

/// Without a manifest there is no store yet, so a segment there holds nothing. One that does is what is left of a
/// store whose manifest was lost; to begin anew would lose it for good.
pub(crate) fn refuse_orphan<D: Disk>(disk: &D, id: u32) -> Result<()> {
    let name = segment_name(id);
    let file = disk.open(&name).map_err(|e| Error::io(&name, &e))?;
    let size = file.size().map_err(|e| Error::io(&name, &e))?;
    let mut bytes = vec![0; FRAME_HEADER + SEGMENT_HEADER];
    let read = file
        .read_at(&mut bytes, 0)
        .map_err(|e| Error::io(&name, &e))?;
    bytes.truncate(read);
    let behind = bytes.get(SEGMENT_HEADER..).unwrap_or_default();
    if size > SEGMENT_HEADER as u64 && behind.iter().any(|b| *b != 0) {
        return Err(Error::damage(
            crate::format::MANIFEST,
            0,
            format!("it is gone, but {name} holds records"),
        ));
    }
    Ok(())
}

/// Removes what a crash left in the middle of a switch or of a compaction.
fn remove_strays<D: Disk>(disk: &D, names: &[String], manifest: &Manifest) {
    let listed = |id| manifest.segments.iter().any(|s| s.id == id);
    let stray =
        |name: &&String| **name == MANIFEST_NEW || segment_id(name).is_some_and(|id| !listed(id));
    let mut strays = names.iter().filter(stray).peekable();
    // The manifest may have been renamed and its name not be flushed: with what it replaced removed and the rename
    // lost, nothing would be left.
    if strays.peek().is_some() && disk.sync().is_ok() {
        for name in strays {
            // What stays takes room and no more.
            let _ = disk.remove(name);
        }
    }
}

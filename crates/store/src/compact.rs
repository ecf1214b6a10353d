//! Compaction: what is live is written anew, in the order of its keys, beside the log that goes on.

use crate::disk::{Disk, File};
use crate::error::{Error, Result};
use crate::format::{
    FRAME_HEADER, FrameHeader, Kind, Listed, SEGMENT_HEADER, encode_put, encode_segment_header,
    segment_name,
};
use crate::index::{Index, Key, Place, Snapshot, read};
use crate::store::take_id;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

/// A frame of a compacted segment is closed before its body holds so many bytes; a larger record has its own.
const FRAME: usize = 64 << 10;

/// A segment that is written.
struct Output<F> {
    file: Arc<F>,
    listed: Listed,
    length: u64,
    next: u64,
    body: Vec<u8>,
}

/// A compaction on its way. It reads what was there when it began and writes files that nothing else knows of, so it
/// may run on another thread than the store. Dropped before [`crate::Store::finish_compaction`] took it, it removes
/// what it wrote.
pub struct Compaction<D: Disk> {
    disk: D,
    snapshot: Snapshot<D::File>,
    inputs: Vec<u32>,
    next_id: Arc<AtomicU32>,
    segment: u64,
    /// All batches below this number are in what is read.
    first: u64,
    now: u64,
    last: Option<Key>,
    /// For each entry of the snapshot, in order, where it is now; none where it has expired.
    places: Vec<Option<(u32, u32)>>,
    open: Option<Output<D::File>>,
    done: Vec<(Listed, Arc<D::File>)>,
    finished: bool,
    kept: bool,
}

impl<D: Disk> Compaction<D> {
    pub(crate) fn begin(
        disk: D,
        snapshot: Snapshot<D::File>,
        inputs: Vec<u32>,
        next_id: Arc<AtomicU32>,
        segment: u64,
        first: u64,
        now: u64,
    ) -> Self {
        Compaction {
            disk,
            snapshot,
            inputs,
            next_id,
            segment,
            first,
            now,
            last: None,
            places: Vec::new(),
            open: None,
            done: Vec::new(),
            finished: false,
            kept: false,
        }
    }

    /// Writes about so many more bytes. Says whether it is finished.
    ///
    /// # Errors
    /// Where something can't be read or written. The compaction is then to be dropped; nothing is lost.
    pub fn step(&mut self, bytes: usize) -> Result<bool> {
        let snapshot = self.snapshot.clone();
        let last = self.last.clone();
        let mut written = 0;
        for (key, place) in snapshot.entries_after(last.as_deref()) {
            if written >= bytes {
                return Ok(false);
            }
            self.last = Some(Arc::clone(key));
            if place.expires <= self.now {
                self.places.push(None);
                continue;
            }
            // A value that is not what was written is not passed on under a new checksum.
            let value = read(place, snapshot.file(place.segment))?;
            written += key.len() + value.len();
            self.put(key, &value, place.expires)?;
        }
        self.close()?;
        self.finished = true;
        Ok(true)
    }

    fn put(&mut self, key: &[u8], value: &[u8], expires: u64) -> Result<()> {
        if self.open.is_none() {
            let id = take_id(&self.next_id)?;
            let name = segment_name(id);
            let failed = |e: std::io::Error| Error::io(&name, &e);
            let file = Arc::new(self.disk.create(&name).map_err(failed)?);
            let listed = Listed {
                id,
                kind: Kind::Compacted,
                first: self.first,
                sealed: None,
            };
            let (length, next) = (SEGMENT_HEADER as u64, self.first);
            self.open = Some(Output {
                file: Arc::clone(&file),
                listed,
                length,
                next,
                body: Vec::new(),
            });
            file.write_at(&encode_segment_header(Kind::Compacted, id, self.first), 0)
                .map_err(failed)?;
        }
        let Some(output) = &mut self.open else {
            return Err(Error::Closed);
        };
        if output.body.len() + key.len() + value.len() >= FRAME {
            output.close_frame()?;
        }
        encode_put(key, value, expires, &mut output.body);
        let offset = output.length as usize + FRAME_HEADER + output.body.len() - value.len();
        // A segment ends at a GiB and a few MiB at the most.
        self.places.push(Some((output.listed.id, offset as u32)));
        if output.length + output.body.len() as u64 >= self.segment {
            self.close()
        } else {
            Ok(())
        }
    }

    /// Flushes the segment that is written.
    fn close(&mut self) -> Result<()> {
        let Some(output) = &mut self.open else {
            return Ok(());
        };
        output.close_frame()?;
        output
            .file
            .sync()
            .map_err(|e| Error::io(&segment_name(output.listed.id), &e))?;
        if let Some(Output {
            file,
            listed,
            length,
            next,
            ..
        }) = self.open.take()
        {
            self.done.push((
                Listed {
                    sealed: Some((length, next)),
                    ..listed
                },
                file,
            ));
        }
        Ok(())
    }

    /// The segments that were written and those they stand for.
    pub(crate) fn outputs(&self) -> Result<(Vec<Listed>, Vec<u32>)> {
        if !self.finished {
            return Err(Error::Closed);
        }
        Ok((
            self.done.iter().map(|(listed, _)| *listed).collect(),
            self.inputs.clone(),
        ))
    }

    pub(crate) fn inputs(&self) -> &[u32] {
        &self.inputs
    }

    pub(crate) fn files(&self) -> impl Iterator<Item = (u32, Arc<D::File>)> + '_ {
        self.done
            .iter()
            .map(|(listed, file)| (listed.id, Arc::clone(file)))
    }

    pub(crate) fn keep_outputs(&mut self) {
        self.kept = true;
    }

    /// Renews the places of up to so many entries behind a key, the first of which has this number. Says how many,
    /// and the key of the last.
    pub(crate) fn relocate(
        &self,
        index: &mut Index<D::File>,
        last: Option<&[u8]>,
        at: usize,
        most: usize,
    ) -> (usize, Option<Key>) {
        let (mut done, mut key) = (0, last.map(Key::from));
        let places = self.places.iter().skip(at).take(most);
        for ((entry, from), to) in self.snapshot.entries_after(last).zip(places) {
            let to = to.map(|(segment, offset)| Place {
                segment,
                offset,
                ..from
            });
            index.relocate(entry, from, to);
            done += 1;
            key = Some(Arc::clone(entry));
        }
        (done, key)
    }
}

impl<F: File> Output<F> {
    fn close_frame(&mut self) -> Result<()> {
        if self.body.is_empty() {
            return Ok(());
        }
        let body = std::mem::take(&mut self.body);
        let mut bytes = Vec::with_capacity(FRAME_HEADER + body.len());
        FrameHeader::of(&body, self.next, 0).encode(self.listed.id, &mut bytes);
        bytes.extend_from_slice(&body);
        let written = self.file.write_at(&bytes, self.length);
        written.map_err(|e| Error::io(&segment_name(self.listed.id), &e))?;
        self.length += bytes.len() as u64;
        self.next += 1;
        Ok(())
    }
}

impl<D: Disk> Drop for Compaction<D> {
    fn drop(&mut self) {
        if !self.kept {
            let open = self.open.iter().map(|o| o.listed.id);
            for id in self.done.iter().map(|(listed, _)| listed.id).chain(open) {
                // What can't be removed now is at the next opening.
                let _ = self.disk.remove(&segment_name(id));
            }
        }
    }
}

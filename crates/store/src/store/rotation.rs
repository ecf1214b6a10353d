//! The change from one active segment to the next, and the replacement of the manifest.

use super::Store;
use crate::active_segment::{ActiveSegment, FIRST_FRAME_OFFSET};
use crate::disk::Disk;
use crate::error::Result;
use crate::format::{Manifest, SegmentEntry, SegmentHeader, SegmentKind, segment_name};
use crate::manifest_file::{ReplaceError, replace_manifest};
use std::sync::Arc;

impl<D: Disk> Store<D> {
    /// Seals the active segment behind its last flushed frame and goes on in a new one, which begins with copies of the
    /// frames behind that.
    ///
    /// At any point of a crash or of power loss either the former or the new segment is found, and with it every batch
    /// that was acknowledged as durable.
    pub(super) fn rotate_segment(&mut self) -> Result<()> {
        let id = self.segment_ids.allocate()?;
        let activated = self.create_segment(id).and_then(|segment| {
            self.replace_manifest(self.segments_with(&segment))?;
            Ok(segment)
        });
        match activated {
            Ok(segment) => {
                self.activate(segment);
                Ok(())
            }
            Err(error) => {
                // A manifest in doubt may list it.
                if !self.poison.is_poisoned() {
                    // What cannot be removed now is removed by the next recovery.
                    let _ = self.disk.remove(&segment_name(id));
                }
                Err(error)
            }
        }
    }

    /// Creates a segment that begins with the unflushed frames of the active one.
    fn create_segment(&self, id: u32) -> Result<ActiveSegment<D::File>> {
        let former = self.active.as_ref();
        let header = SegmentHeader {
            kind: SegmentKind::Log,
            id,
            first_sequence: former.map_or(0, |active| active.flushed().next_sequence),
        };
        let unflushed = former.map_or(&[][..], ActiveSegment::unflushed);
        ActiveSegment::create(
            &self.disk,
            header,
            unflushed,
            self.next_sequence,
            self.options.max_preallocated_bytes,
        )
    }

    /// The segments of the manifest once this one is active.
    fn segments_with(&self, segment: &ActiveSegment<D::File>) -> Vec<SegmentEntry> {
        let mut segments = self.manifest.segments.clone();
        if let Some(former) = &self.active {
            segments.pop();
            segments.extend(former.sealed_entry());
        }
        segments.push(segment.active_entry());
        segments
    }

    /// Makes a segment that the manifest lists the active one.
    fn activate(&mut self, segment: ActiveSegment<D::File>) {
        let former = self.active.take();
        let mut index = self.index.write();
        if let Some(file) = segment.writable_file() {
            index.files_mut().insert(segment.id(), Arc::clone(file));
        }
        if let Some(former) = former {
            let frames = former.unflushed().iter();
            let bodies = frames.map(|frame| frame.body.as_slice());
            index.apply_frames(bodies, segment.id(), FIRST_FRAME_OFFSET);
            if former.sealed_entry().is_none() {
                index.files_mut().remove(&former.id());
                // What cannot be removed now is removed by the next recovery.
                let _ = self.disk.remove(&segment_name(former.id()));
            }
        }
        drop(index);
        self.active = Some(segment);
    }

    /// Replaces the manifest by one of these segments. The store is poisoned if it is unknown which of the two survives
    /// power loss.
    pub(super) fn replace_manifest(&mut self, segments: Vec<SegmentEntry>) -> Result<()> {
        let manifest = Manifest {
            generation: self.manifest.generation + 1,
            segments,
        };
        match replace_manifest(&self.disk, &manifest) {
            Ok(()) => {
                self.manifest = manifest;
                Ok(())
            }
            Err(ReplaceError::Unchanged(error)) => Err(error),
            Err(ReplaceError::InDoubt(error)) => Err(self.poison.poison(error)),
        }
    }
}

//! A part of a file in memory.

use crate::disk::File;
use crate::error::{Error, Result};

/// The bytes that are read of a file at a time. No measurement stands behind the number.
pub(super) const CHUNK_BYTES: usize = 256 << 10;

/// Reads a file through one buffer, which holds one chunk, or one frame if that is larger.
pub(super) struct Window<'a, F> {
    file: &'a F,
    name: &'a str,
    /// The offset behind the last byte that is read.
    end: u64,
    /// The offset of the buffer's first byte.
    start: u64,
    buffer: Vec<u8>,
}

impl<'a, F: File> Window<'a, F> {
    pub fn new(file: &'a F, name: &'a str, end: u64) -> Self {
        Window {
            file,
            name,
            end,
            start: 0,
            buffer: Vec::new(),
        }
    }

    /// The offset behind the last byte that is read.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// The bytes from this offset, as many as asked for or as there are before the end.
    pub fn get(&mut self, offset: u64, length: usize) -> Result<&[u8]> {
        let remaining = usize::try_from(self.end.saturating_sub(offset)).unwrap_or(usize::MAX);
        let length = length.min(remaining);
        let buffered = self.start..self.start + self.buffer.len() as u64;
        if offset < buffered.start || offset + length as u64 > buffered.end {
            self.fill(offset, length.max(CHUNK_BYTES).min(remaining))?;
        }
        let from = (offset - self.start) as usize;
        let to = (from + length).min(self.buffer.len());
        Ok(self.buffer.get(from..to).unwrap_or_default())
    }

    fn fill(&mut self, offset: u64, length: usize) -> Result<()> {
        self.buffer.resize(length, 0);
        self.start = offset;
        let read = self
            .file
            .read_at(&mut self.buffer, offset)
            .map_err(|error| Error::io(self.name, error))?;
        self.buffer.truncate(read);
        Ok(())
    }
}

//! Zeros that are written ahead of the log.
//!
//! A flush of a file that does not grow writes no metadata, and a full disk is met before any byte of a batch is
//! written.

use crate::disk::File;
use std::io;

/// The least that is preallocated, unless the options allow less. It covers a few hundred small batches; no measurement
/// stands behind the number.
const MIN_PREALLOCATED_BYTES: u64 = 64 << 10;

/// How far a segment's file is filled with zeros or frames.
///
/// It guarantees nothing about a crash: preallocated zeros are no frames, and recovery does not count them.
pub(crate) struct Preallocation {
    /// The offset behind the last byte that is written.
    end: u64,
    /// The most bytes that are written ahead.
    max_bytes: u64,
}

impl Preallocation {
    /// For an empty file.
    pub fn new(max_bytes: u64) -> Self {
        Preallocation { end: 0, max_bytes }
    }

    /// Makes sure that so many more bytes fit behind the first `length` bytes of the file.
    ///
    /// # Errors
    /// If there is no space for them; the file is then as it was.
    pub fn ensure<F: File>(&mut self, file: &F, length: u64, more: u64) -> io::Result<()> {
        let required = length + more;
        if required <= self.end {
            return Ok(());
        }
        let start = self.end.max(length);
        let ahead = length.max(MIN_PREALLOCATED_BYTES).min(self.max_bytes);
        self.end = match write_zeros(file, start, required + ahead) {
            Ok(()) => required + ahead,
            // Where there is no space to write ahead, there may be enough for these bytes.
            Err(_) => {
                write_zeros(file, start, required)?;
                required
            }
        };
        Ok(())
    }
}

fn write_zeros<F: File>(file: &F, start: u64, end: u64) -> io::Result<()> {
    let zeros = vec![0; (end - start) as usize];
    file.write_at(&zeros, start).inspect_err(|_| {
        // A part of them may have taken the last space there was, and the manifest needs some. Where the file cannot
        // be shortened the zeros do no harm.
        let _ = file.truncate(start);
    })
}

//! The lines of a watch, put together from the pieces in which they arrive.

use bytes::{Buf, BytesMut};

/// Bytes that have arrived and are not part of a line that was taken.
#[derive(Default)]
pub(super) struct LineBuffer(BytesMut);

impl LineBuffer {
    /// Appends a piece.
    pub(super) fn extend(&mut self, piece: &[u8]) {
        self.0.extend_from_slice(piece);
    }

    /// Takes the next complete line that is not blank, without the bytes that end it. A blank line is a heartbeat.
    pub(super) fn next_line(&mut self) -> Option<BytesMut> {
        while let Some(end) = self.0.iter().position(|byte| *byte == b'\n') {
            let line = self.0.split_to(end);
            self.0.advance(1);
            if !line.trim_ascii().is_empty() {
                return Some(line);
            }
        }
        None
    }

    /// The length of the line that is not complete, in bytes.
    pub(super) fn incomplete(&self) -> usize {
        self.0.len()
    }
}

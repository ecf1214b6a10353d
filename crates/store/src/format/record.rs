//! The records of a frame's body: one for each operation of a batch.

use super::integers::{u16_at, u32_at, u64_at};
use crate::batch::{Batch, Operation};

/// The bytes of a record beside its key and its value.
pub(crate) const RECORD_HEADER_BYTES: usize = 15;
/// The expiry of a record that does not expire.
pub(crate) const NO_EXPIRY: u64 = u64::MAX;

const PUT: u8 = 1;
const DELETE: u8 = 2;

/// Encodes a batch as a frame's body.
pub(crate) fn encode_batch(batch: &Batch) -> Vec<u8> {
    let mut body = Vec::with_capacity(batch.size());
    for operation in batch.operations() {
        match operation {
            Operation::Put {
                key,
                value,
                expires_at,
            } => encode_put(key, value, expires_at.unwrap_or(NO_EXPIRY), &mut body),
            Operation::Delete { key } => encode_record(DELETE, key, &[], NO_EXPIRY, &mut body),
        }
    }
    body
}

/// Appends a record that sets a key to a value.
pub(crate) fn encode_put(key: &[u8], value: &[u8], expires_at: u64, body: &mut Vec<u8>) {
    encode_record(PUT, key, value, expires_at, body);
}

fn encode_record(code: u8, key: &[u8], value: &[u8], expires_at: u64, body: &mut Vec<u8>) {
    body.push(code);
    body.extend_from_slice(&(key.len() as u16).to_le_bytes());
    body.extend_from_slice(&(value.len() as u32).to_le_bytes());
    body.extend_from_slice(&expires_at.to_le_bytes());
    body.extend_from_slice(key);
    body.extend_from_slice(value);
}

/// One record of a frame's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Record<'a> {
    /// A key is set to a value.
    Put {
        key: &'a [u8],
        value: &'a [u8],
        /// Where the value begins in the body.
        value_offset: usize,
        /// [`NO_EXPIRY`] for a value that does not expire.
        expires_at: u64,
    },
    /// A key is deleted.
    Delete { key: &'a [u8] },
}

/// A record that the store does not write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidRecord {
    /// Where the record begins in the body.
    pub offset: usize,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// Iterates over the records of a frame's body in their order. An error ends the iteration.
pub(crate) struct Records<'a> {
    body: &'a [u8],
    offset: usize,
}

impl<'a> Records<'a> {
    pub fn new(body: &'a [u8]) -> Self {
        Records { body, offset: 0 }
    }

    fn decode_next(&mut self) -> Option<Record<'a>> {
        let code = *self.body.get(self.offset)?;
        let key_length = usize::from(u16_at(self.body, self.offset + 1)?);
        let value_length = u32_at(self.body, self.offset + 3)? as usize;
        let expires_at = u64_at(self.body, self.offset + 7)?;
        let key_offset = self.offset + RECORD_HEADER_BYTES;
        let value_offset = key_offset + key_length;
        let end = value_offset.checked_add(value_length)?;
        let key = self.body.get(key_offset..value_offset)?;
        let value = self.body.get(value_offset..end)?;
        self.offset = end;
        match code {
            PUT => Some(Record::Put {
                key,
                value,
                value_offset,
                expires_at,
            }),
            DELETE if value.is_empty() => Some(Record::Delete { key }),
            _ => None,
        }
    }
}

impl<'a> Iterator for Records<'a> {
    type Item = Result<Record<'a>, InvalidRecord>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.offset >= self.body.len() {
            return None;
        }
        let offset = self.offset;
        let record = self.decode_next().ok_or(InvalidRecord {
            offset,
            problem: "a record makes no sense",
        });
        if record.is_err() {
            self.offset = self.body.len();
        }
        Some(record)
    }
}

//! Batches: operations that are applied together.

use crate::error::{Error, Result};
use crate::format::{MAX_BATCH_BYTES, MAX_KEY_BYTES, RECORD_HEADER_BYTES};

/// One operation of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Sets a key to a value.
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
        /// From this time on the key reads as absent; `None` for never.
        expires_at: Option<u64>,
    },
    /// Deletes a key.
    Delete { key: Vec<u8> },
}

impl Operation {
    fn key(&self) -> &[u8] {
        match self {
            Operation::Put { key, .. } | Operation::Delete { key } => key,
        }
    }

    /// The bytes that the operation takes in the log.
    fn encoded_size(&self) -> usize {
        match self {
            Operation::Put { key, value, .. } => RECORD_HEADER_BYTES + key.len() + value.len(),
            Operation::Delete { key } => RECORD_HEADER_BYTES + key.len(),
        }
    }
}

/// Operations that become visible together and survive together.
///
/// After a crash of the process and after power loss, at any byte, either all operations of a batch are found or none
/// is. Which batches survive is a matter of the [`Durability`](crate::Durability) they were written with. Of two
/// operations on one key the later one counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    operations: Vec<Operation>,
    size: usize,
}

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new() -> Self {
        Batch::default()
    }

    /// Sets a key to a value that does not expire. A key has 0 to [`MAX_KEY_BYTES`] bytes.
    pub fn put(&mut self, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> &mut Self {
        self.push(Operation::Put {
            key: key.into(),
            value: value.into(),
            expires_at: None,
        })
    }

    /// Sets a key to a value that expires: for readers whose clock has reached `expires_at` the key is absent. The unit
    /// is the caller's.
    pub fn put_until(
        &mut self,
        key: impl Into<Vec<u8>>,
        value: impl Into<Vec<u8>>,
        expires_at: u64,
    ) -> &mut Self {
        self.push(Operation::Put {
            key: key.into(),
            value: value.into(),
            expires_at: Some(expires_at),
        })
    }

    /// Deletes a key, if it exists.
    pub fn delete(&mut self, key: impl Into<Vec<u8>>) -> &mut Self {
        self.push(Operation::Delete { key: key.into() })
    }

    fn push(&mut self, operation: Operation) -> &mut Self {
        self.size += operation.encoded_size();
        self.operations.push(operation);
        self
    }

    pub(crate) fn operations(&self) -> &[Operation] {
        &self.operations
    }

    /// Whether the batch holds no operation.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// The bytes that the batch takes in the log, without the 32 bytes of its frame's header.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }

    /// Checks the batch against the limits of the format.
    pub(crate) fn check_limits(&self) -> Result<()> {
        for operation in &self.operations {
            let size = operation.key().len();
            if size > MAX_KEY_BYTES {
                return Err(Error::KeyTooLarge { size });
            }
        }
        if self.size > MAX_BATCH_BYTES {
            return Err(Error::BatchTooLarge { size: self.size });
        }
        Ok(())
    }
}

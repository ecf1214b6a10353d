//! A batch: operations that happen together or not at all.

use crate::error::{Error, Result};
use crate::format::{MAX_BATCH_BYTES, MAX_KEY_BYTES, OP_HEADER};

/// One operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
        expires: Option<u64>,
    },
    Delete {
        key: Vec<u8>,
    },
}

impl Op {
    fn size(&self) -> usize {
        match self {
            Op::Put { key, value, .. } => OP_HEADER + key.len() + value.len(),
            Op::Delete { key } => OP_HEADER + key.len(),
        }
    }
}

/// Operations that become visible together and survive together: after a crash at any point either all of them are
/// there or none is. Where two concern one key, the later one holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    ops: Vec<Op>,
    size: usize,
}

impl Batch {
    /// A batch of nothing.
    pub fn new() -> Self {
        Batch::default()
    }

    /// Sets a key to a value, for good. A key has at most 65,535 bytes and may have none.
    pub fn put(&mut self, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> &mut Self {
        self.push(Op::Put {
            key: key.into(),
            value: value.into(),
            expires: None,
        })
    }

    /// Sets a key to a value until a time, on the clock of whoever reads: from then on it reads as absent.
    pub fn put_until(
        &mut self,
        key: impl Into<Vec<u8>>,
        value: impl Into<Vec<u8>>,
        expires: u64,
    ) -> &mut Self {
        self.push(Op::Put {
            key: key.into(),
            value: value.into(),
            expires: Some(expires),
        })
    }

    /// Takes a key away, if it is there.
    pub fn delete(&mut self, key: impl Into<Vec<u8>>) -> &mut Self {
        self.push(Op::Delete { key: key.into() })
    }

    fn push(&mut self, op: Op) -> &mut Self {
        self.size += op.size();
        self.ops.push(op);
        self
    }

    pub(crate) fn ops(&self) -> &[Op] {
        &self.ops
    }

    /// Whether there is no operation in it.
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }

    /// What it takes in the log, in bytes, without a frame's 32.
    pub fn size(&self) -> usize {
        self.size
    }

    pub(crate) fn check(&self) -> Result<()> {
        for op in &self.ops {
            let (Op::Put { key, .. } | Op::Delete { key }) = op;
            if key.len() > MAX_KEY_BYTES {
                return Err(Error::TooLarge {
                    what: "a key",
                    size: key.len(),
                    most: MAX_KEY_BYTES,
                });
            }
        }
        if self.size > MAX_BATCH_BYTES {
            return Err(Error::TooLarge {
                what: "a batch",
                size: self.size,
                most: MAX_BATCH_BYTES,
            });
        }
        Ok(())
    }
}

//! What power loss does to changes that were not flushed.

use super::state::{Change, State};

/// What of the unflushed changes power loss takes away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// All of them.
    All,
    /// None: only the process ends, and a later power loss may still take the unflushed changes away.
    Nothing,
    /// All but the first so many bytes, in the order in which they were written, and the changes of names before that.
    AllAfter(u64),
    /// Any of them by this seed: each write torn at any byte, and names on their own.
    Random(u64),
}

/// Decides which changes survive.
pub(super) struct LossPlan {
    loss: Loss,
    /// The state of the generator, for [`Loss::Random`].
    seed: u64,
    /// The bytes that still survive.
    remaining_bytes: u64,
}

impl LossPlan {
    pub fn new(loss: Loss) -> Self {
        let (seed, remaining_bytes) = match loss {
            Loss::Random(seed) => (seed, u64::MAX),
            Loss::AllAfter(bytes) => (0, bytes),
            Loss::All | Loss::Nothing => (0, 0),
        };
        LossPlan {
            loss,
            seed,
            remaining_bytes,
        }
    }

    /// Applies a change to what is flushed, as far as it survives.
    pub fn apply(&mut self, state: &mut State, change: Change) {
        if !self.survives() {
            return;
        }
        match change {
            Change::Write {
                inode,
                offset,
                mut bytes,
            } => {
                let surviving = self.surviving_bytes(bytes.len() as u64);
                bytes.truncate(usize::try_from(surviving).unwrap_or(usize::MAX));
                self.remaining_bytes = self.remaining_bytes.saturating_sub(bytes.len() as u64);
                state.flush_change(Change::Write {
                    inode,
                    offset,
                    bytes,
                });
            }
            other => state.flush_change(other),
        }
    }

    fn survives(&mut self) -> bool {
        match self.loss {
            Loss::All | Loss::Nothing => false,
            Loss::AllAfter(_) => self.remaining_bytes > 0,
            Loss::Random(_) => splitmix64(&mut self.seed).is_multiple_of(2),
        }
    }

    /// How many bytes of a surviving write of this length are on the disk.
    fn surviving_bytes(&mut self, length: u64) -> u64 {
        let is_torn =
            matches!(self.loss, Loss::Random(_)) && splitmix64(&mut self.seed).is_multiple_of(4);
        if is_torn {
            splitmix64(&mut self.seed) % (length + 1)
        } else {
            self.remaining_bytes
        }
    }
}

/// SplitMix64 (Steele, Lea and Flood 2014). It stands here so that a seed means the same in every version.
fn splitmix64(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

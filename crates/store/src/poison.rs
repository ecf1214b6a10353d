//! Refuses writes once it is unknown which manifest survives power loss.

use crate::error::{Error, Result};

/// Whether the store still accepts writes.
///
/// A store is poisoned when a manifest was renamed and the directory could not be flushed: either manifest may survive
/// power loss, so nothing may be written that relies on one of them. The state ends with the process or with a new
/// opening of the store, which finds one of the two. A failed write or flush of a segment does not poison the store.
pub(crate) enum Poison {
    /// The store accepts writes.
    Sound,
    /// The store accepts no write.
    Poisoned {
        /// The failure that left the manifest in doubt.
        cause: Error,
    },
}

impl Poison {
    /// # Errors
    /// [`Error::Poisoned`].
    pub fn check(&self) -> Result<()> {
        match self {
            Poison::Sound => Ok(()),
            Poison::Poisoned { cause } => Err(poisoned(cause)),
        }
    }

    pub fn is_poisoned(&self) -> bool {
        matches!(self, Poison::Poisoned { .. })
    }

    /// Poisons the store and returns the error that its writes return from now on.
    pub fn poison(&mut self, cause: Error) -> Error {
        let error = poisoned(&cause);
        *self = Poison::Poisoned { cause };
        error
    }
}

fn poisoned(cause: &Error) -> Error {
    Error::Poisoned {
        cause: Box::new(cause.clone()),
    }
}

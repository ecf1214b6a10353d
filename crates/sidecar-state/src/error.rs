//! The errors of this crate. Operations on a store return the errors of [`madderloom_store`].

use crate::idempotency::{MAX_KEY_BYTES, MAX_SERVICE_NAME_BYTES};

/// Why a request cannot have an idempotency record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Its idempotency key, or the name of its service, is too long.
    #[error(
        "an id of more than {MAX_KEY_BYTES} bytes, or a service's name of more than {MAX_SERVICE_NAME_BYTES}"
    )]
    KeyTooLong,
}

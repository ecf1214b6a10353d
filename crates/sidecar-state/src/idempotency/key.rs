//! The key of an idempotency record.

use crate::error::Error;

/// The longest idempotency key of a request, in bytes.
pub const MAX_KEY_BYTES: usize = 1024;
/// The longest name of a service, in bytes. Its length is stored in one byte.
pub const MAX_SERVICE_NAME_BYTES: usize = 255;

/// The beginning of every key of a record in the store.
pub(super) const KEY_PREFIX: &[u8] = b"sub/";

/// The identity of a request: its service and its idempotency key, as the bytes of the key in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(Vec<u8>);

impl IdempotencyKey {
    /// The identity of a request.
    ///
    /// # Errors
    /// `key` has more than [`MAX_KEY_BYTES`], or the service's name more than [`MAX_SERVICE_NAME_BYTES`].
    pub fn new(service: &str, key: &[u8]) -> Result<Self, Error> {
        let service_length = u8::try_from(service.len()).map_err(|_| Error::KeyTooLong)?;
        if key.len() > MAX_KEY_BYTES {
            return Err(Error::KeyTooLong);
        }
        let mut bytes = KEY_PREFIX.to_vec();
        // The length before the name keeps different pairs of service and key apart.
        bytes.push(service_length);
        bytes.extend_from_slice(service.as_bytes());
        bytes.extend_from_slice(key);
        Ok(IdempotencyKey(bytes))
    }

    /// The key in the store.
    pub(super) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

//! The keys of snapshots in the store.

/// The beginning of every key of a snapshot: `warm/SERVICE\0PART`.
pub(super) const KEY_PREFIX: &str = "warm/";
/// What separates the name of a service, which has no byte 0, from the part. So no name is the beginning of another.
pub(super) const NAME_END: u8 = 0;

/// The keys of one service's snapshot.
pub(super) struct SnapshotKeys {
    /// The key of the header.
    pub(super) header: Vec<u8>,
    /// The beginning of each server's key.
    pub(super) servers: Vec<u8>,
    /// The beginning of each class's key.
    pub(super) classes: Vec<u8>,
}

impl SnapshotKeys {
    pub(super) fn of(service: &str) -> Self {
        let key = |part: &str| {
            let mut key = format!("{KEY_PREFIX}{service}").into_bytes();
            key.push(NAME_END);
            key.extend_from_slice(part.as_bytes());
            key
        };
        SnapshotKeys {
            header: key("taken"),
            servers: key("server/"),
            classes: key("class/"),
        }
    }
}

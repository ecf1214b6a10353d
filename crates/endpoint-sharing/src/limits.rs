//! Limits on the lists that are shared.

/// The longest text of a list that is shared, in bytes: about 3,000 endpoints, or 1,024 with long names. Even if every
/// byte has to be escaped, such a text fits into an instance's message. Longer lists are not shared.
pub const MAX_LIST_BYTES: usize = 256 << 10;
/// The longest text, in bytes, that is sent to an agent that has not stated its own limit.
pub const DEFAULT_ACCEPTED_LIST_BYTES: usize = 40 << 10;
/// The most lists that an instance shares, and the most that an agent stores.
pub const MAX_LISTS: usize = 16;
/// The longest name of a list, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The number of instances watching discovery that is enough for a fleet, even if some of them fail one by one.
pub const ENOUGH_WATCHERS: usize = 8;

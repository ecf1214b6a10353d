//! The bounds of names, settings, changes and durations. All of them are checked before a document or a message takes
//! effect.

use crate::Micros;

/// The longest name of an instance, a server, a zone, a label, in bytes.
pub const LONGEST_NAME: usize = 128;
/// The longest text of a route, in bytes.
pub const LONGEST_ROUTE: usize = 4_096;
/// The greatest weight of a server: a hundred times its listed capacity, in thousandths.
pub const GREATEST_WEIGHT: u32 = 100_000;
/// The most settings of one change, and the most that are in effect on an instance beside its own file.
pub const MOST_SETTINGS: usize = 1_024;

/// The longest note of a change, in bytes.
pub const LONGEST_NOTE: usize = 1_024;
/// The most labels of an instance or a selector, and the most waves of a rollout.
pub const MOST_PATTERNS: usize = 256;
/// The most names, and the most zones, that a change selects instances by: it may name each instance of a large fleet.
pub const MOST_NAMES: usize = 4_096;
/// The number of newest layers that can be undone.
pub const UNDOABLE: usize = 32;
/// The most layers in effect.
pub const MOST_LAYERS: usize = 256;

/// The longest duration that a rollout policy may set: a day, in microseconds.
pub const LONGEST_WAIT: Micros = 86_400_000_000;
/// The shortest report interval that an agent may request, in microseconds.
pub const MIN_REPORT_INTERVAL: Micros = 100_000;
/// The longest report interval that an agent may request, in microseconds.
pub const MAX_REPORT_INTERVAL: Micros = 60_000_000;

//! The bounds of names, settings, changes and durations. All of them are checked before a document or a message takes
//! effect.

use crate::Micros;

/// The longest name of an instance, a server, a zone, a label, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The longest text of a route, in bytes.
pub const MAX_ROUTE_BYTES: usize = 4_096;
/// The greatest weight of a server, in thousandths of its listed capacity: a hundred times the capacity.
pub const MAX_WEIGHT: u32 = 100_000;
/// The most settings of one change, and the most that are in effect on an instance beside its own file.
pub const MAX_SETTINGS: usize = 1_024;

/// The longest note of a change, in bytes.
pub const MAX_NOTE_BYTES: usize = 1_024;
/// The most labels of an instance or a selector, and the most stages of a rollout.
pub const MAX_PATTERNS: usize = 256;
/// The most names, and the most zones, of a selector: it may name each instance of a large fleet.
pub const MAX_SELECTED_NAMES: usize = 4_096;
/// The number of newest layers that can be undone; the others may be merged away.
pub const MAX_UNDOABLE_LAYERS: usize = 32;
/// The most layers in effect.
pub const MAX_LAYERS: usize = 256;

/// The longest duration that a rollout policy may set: a day, in microseconds.
pub const MAX_WAIT: Micros = 86_400_000_000;
/// The shortest report interval that an agent may request, in microseconds.
pub const MIN_REPORT_INTERVAL: Micros = 100_000;
/// The longest report interval that an agent may request, in microseconds.
pub const MAX_REPORT_INTERVAL: Micros = 60_000_000;

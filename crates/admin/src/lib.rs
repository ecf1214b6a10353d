//! What on-call staff ask of a running sidecar, free of sockets and clocks: the grammar of their calls, the duty that a
//! sidecar does while it serves, drains or stops, and the figures that it reports.

pub mod command;
pub mod lifecycle;
pub mod stats;

/// A time in microseconds, on a clock whose zero means nothing.
pub type Micros = u64;

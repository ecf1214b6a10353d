//! The control commands of a running sidecar without sockets and clocks: the command syntax, the lifecycle state (serving,
//! draining or stopping) and the reported statistics.

pub mod command;
pub mod lifecycle;
pub mod stats;

/// A time in microseconds on a clock with an arbitrary zero.
pub type Micros = u64;

//! Several services in one process, free of I/O: which of them a request goes to, what each may hold, and whose
//! turn it is on the one thread.
//!
//! - [`request`] reads from a request's head the one host and the one path that it names, or says why it names none.
//! - [`routes`] finds the route of a request, by a stated total order of how specific routes are.
//! - [`shares`] divides what is limited (descriptors, bytes, open requests) into guaranteed and common parts.
//! - [`rate`] bounds how many requests come in a second.
//! - [`turns`] divides the time of the thread by weight.
//!
//! Nothing here reads a clock; where time matters it is passed in, in whole microseconds of a monotonic clock.

pub mod rate;
pub mod request;
pub mod routes;
pub mod shares;
pub mod turns;

/// A time, or a span of time, in microseconds. Times only ever grow; their zero means nothing.
pub type Micros = u64;

//! The decision module of madderloom, a client-side load balancer.
//!
//! It is a pure state machine without clock, threads or I/O: the embedder hands [`Balancer::handle`] one
//! [`Event`] at a time with the present time and carries out the [`Action`]s it gets back. See the README
//! for an example and `docs/design.md` for the mechanism.

// The tests inside share their driver with those outside, which names the crate.
#[cfg(test)]
extern crate self as madderloom_balancer;

#[cfg(test)]
#[path = "../tests/common/mod.rs"]
mod common;
mod decide;
mod discovery_evidence;
mod discovery_poll;
pub mod interface;
#[cfg(test)]
mod interval_tests;
mod memory;
pub mod settings;
mod snapshot;
mod state;

pub use interface::*;
pub use memory::{ClassMemory, Memory, ServerMemory};
pub use snapshot::{ClassView, ServerView, Snapshot};
pub use state::Balancer;

/// The README's example is compiled with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;

//! The decision module of madderloom, a client-side load balancer.
//!
//! It is a pure state machine without clock, threads or I/O: the embedder passes [`Balancer::handle`] one
//! [`Event`] at a time with the current time, and carries out the [`Action`]s that it returns. The README has
//! an example, and `docs/design.md` describes the mechanism.

// The unit tests share their test driver with the integration tests, which refer to the crate by its name.
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
mod measurements;
mod request_state;
pub mod settings;
mod snapshot;
mod state;

pub use discovery_evidence::DiscoveryDiagnosis;
pub use interface::*;
pub use measurements::{ClassMeasurements, Measurements, ServerMeasurements};
pub use snapshot::{ClassView, ServerView, Snapshot};
pub use state::Balancer;

/// Compiles the example in the README with the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;

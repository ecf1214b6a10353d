//! Leases of fleet-wide limits. The agent's [`LeaseServer`] grants each instance a share of each limit for a bounded
//! time. An instance's [`LeaseHolder`] admits requests within its leases, or within its [`SafeCapacity`] while it holds
//! none. The crate has no clock and does no I/O: the caller passes times in as whole microseconds.
//!
//! # The bound
//!
//! For every window of length `W`, whatever links fail and whatever processes crash, stall or restart, as long as no
//! two agents grant leases unaware of each other:
//!
//! ```text
//! admitted by all instances   <=  rate * W + burst  +  n * (safe rate * W + safe burst)
//! in flight at all instances  <=  in flight         +  n * safe in flight
//! ```
//!
//! where `n` is the number of instances without a lease in the window. The reasons:
//!
//! 1. The rates, the bursts and the requests in flight of all leases that are valid at any one time add up to no more
//!    than the limit. The server counts a grant as outstanding until the instance has acknowledged a later one, or
//!    until the grant has expired by the server's clock with the greatest drift added ([`CLOCK_DRIFT_DIVISOR`]). The
//!    instance counts the duration from before it sent its report, so it never uses a lease for longer than the server
//!    assumes. Of several grants that may be in use by one instance, the greatest counts.
//! 2. A lease is a token bucket that starts empty. A new lease keeps the tokens that have accumulated, up to the new
//!    burst; tokens above it are lost, and all tokens are lost when the lease expires. So all buckets together never
//!    hold more than the burst, and they fill at the leased rates only.
//! 3. The number admitted during a window is at most the number of tokens at its beginning and of those added since.
//!
//! The server keeps a part of each rate back ([`RATE_RESERVE_DIVISOR`]), so that a clock that runs fast by that much
//! does not fill its bucket faster than the limit allows.
//!
//! # Staleness
//!
//! A lowered limit is in force everywhere after at most one lease duration and the greatest drift over it. Capacity that
//! one instance does not use reaches another one within three reports: the second instance requests more, the others
//! receive smaller grants and acknowledge them, the second instance receives a greater one.

mod bound;
mod capacity;
mod fair_share;
#[cfg(test)]
mod fair_share_tests;
mod injected_bug;
mod lease_holder;
mod lease_server;
mod messages;
mod name_pattern;

pub use bound::Bound;
pub use capacity::{Capacity, MAX_RATE_OR_BURST, ONE_REQUEST, UNBOUNDED};
pub use injected_bug::InjectedBug;
#[cfg(any(test, feature = "explore"))]
pub use injected_bug::with_injected_bug;
pub use lease_holder::{HeldLimitStatus, LeaseChange, LeaseHolder, Rejection, SafeCapacity};
pub use lease_server::{
    AddressedGrant, HolderWeight, LeaseServer, LeaseServerEvent, Limit, LimitStatus,
};
pub use messages::{Grant, Lease, LeaseRequest, LeaseRequests, ServerId};
pub use name_pattern::matches_pattern;

pub(crate) use injected_bug::is_injected;

/// A point in time or a duration, in microseconds. Times never decrease; their zero has no meaning.
pub type Micros = u64;

/// The server counts a lease as outstanding for one part in this many (5%) longer than its duration. This covers an
/// instance whose clock is 2% slow beside a server whose clock is 2% fast.
pub const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// The server keeps back one part in this many (2%) of each rate, because a bucket fills by its instance's clock.
pub const RATE_RESERVE_DIVISOR: u64 = 50;
/// The shortest lease duration, in microseconds.
pub const MIN_LEASE_DURATION: Micros = 500_000;
/// The longest lease duration, in microseconds. A holder uses no grant for longer, whatever the grant says.
pub const MAX_LEASE_DURATION: Micros = 600_000_000;
/// The greatest number of limits that one instance takes part in. The limits for single servers count one each.
pub const MAX_LIMITS_PER_HOLDER: usize = 256;

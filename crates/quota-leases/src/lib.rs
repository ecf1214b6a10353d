//! Fleet-wide limits as leases. The agent's [`LeaseServer`] grants a share of each limit for a bounded time. An
//! instance's [`LeaseHolder`] admits requests within its lease, or within its [`Safe`] amount while it holds none.
//! The crate has no clock and does no I/O: the caller passes times in as whole microseconds.
//!
//! # The bound
//!
//! For every window of length `W`, whatever links fail and whatever processes die, freeze or come back, as long as no
//! two agents grant leases unaware of each other:
//!
//! ```text
//! admitted by all instances  <=  rate * W + burst  +  n * (safe rate * W + safe burst)
//! open at all instances      <=  open              +  n * safe open
//! ```
//!
//! where `n` is the number of instances without a lease in the window. The reasons:
//!
//! 1. The rates, the bursts and the open requests of all leases that are valid at any one time add up to no more than
//!    the limit. The server counts a grant as outstanding until the instance has acknowledged a later one, or until
//!    the grant has expired by the server's clock with [`DRIFT`] added. The instance counts the duration from before
//!    it sent its request, so it never uses a lease for longer than the server assumes. Of several grants that may be
//!    in use by one instance, the greatest counts.
//! 2. A lease is a token bucket that starts empty. A new lease keeps the tokens that have accumulated, up to the new
//!    burst; tokens above it are lost, and all tokens are lost when the lease expires. So all buckets together never
//!    hold more than the burst, and they fill at the leased rates only.
//! 3. The number admitted during a window is at most the number of tokens at its beginning and of those added since.
//!
//! The server grants each rate less [`FAST`], so that a clock that runs fast by that much does not fill its bucket
//! faster than the limit allows.
//!
//! # Staleness
//!
//! A lowered limit is in force everywhere after at most one lease duration and [`DRIFT`] of it. Capacity that one
//! instance does not use reaches another one within three reports: the second instance asks for more, the others
//! receive smaller grants and acknowledge them, the second instance receives a greater one.

mod amount;
mod bound;
mod divide;
#[cfg(test)]
mod divide_tests;
mod injected_bug;
mod lease_holder;
mod lease_server;
mod messages;
mod pattern;

pub use amount::{Amount, ONE, UNBOUNDED};
pub use bound::Bound;
pub use divide::{Demand, divide};
pub use injected_bug::InjectedBug;
#[cfg(any(test, feature = "explore"))]
pub use injected_bug::with_injected_bug;
pub use lease_holder::{Denied, LeaseHolder, Safe, Standing};
pub use lease_server::{LeaseServer, Limit, LimitStatus, Note};
pub use messages::{Grant, Lease, LeaseRequest, LeaseRequests, ServerId};
pub use pattern::fits;

pub(crate) use injected_bug::is_injected;

// Former names of public types, for code that still uses them.
pub use crate::{Grant as Lent, LeaseRequest as Ask, LeaseRequests as Asks, ServerId as Who};
pub use lease_holder::LeaseHolder as Holder;
pub use lease_server::{LeaseServer as Lender, LimitStatus as View};

/// A point in time or a duration, in microseconds. Times never decrease; their zero has no meaning.
pub type Micros = u64;

/// The greatest drift between two clocks: the server counts a lease as outstanding for one part in this many longer
/// than its duration. This covers an instance whose clock is 2% slow beside a server whose clock is 2% fast.
pub const DRIFT: u64 = 20;
/// The server keeps back one part in this many of each rate (2%), because a bucket fills by its instance's clock.
pub const FAST: u64 = 50;
/// The shortest and the longest lease duration, in microseconds.
pub const LEASES: (Micros, Micros) = (500_000, 600_000_000);
/// The most limits that an instance takes part in. The shares for single servers count one each.
pub const MOST_LIMITS: usize = 256;
/// The greatest rate (thousandths of a request a second) or burst (thousandths of a request).
pub const MOST: u64 = 1_000_000_000_000;

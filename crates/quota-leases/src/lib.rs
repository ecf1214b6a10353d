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

mod bound;
mod divide;
mod lease_holder;
mod lease_server;

pub use bound::Bound;
pub use divide::{Demand, divide};
pub use lease_holder::{Denied, LeaseHolder, Safe, Standing};
pub use lease_server::{LeaseServer, Limit, LimitStatus, Note};

// Former names of public types, for code that still uses them.
pub use crate::{Grant as Lent, LeaseRequest as Ask, LeaseRequests as Asks, ServerId as Who};
pub use lease_holder::LeaseHolder as Holder;
pub use lease_server::{LeaseServer as Lender, LimitStatus as View};

use serde::{Deserialize, Serialize};

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
/// The value of a figure that a limit does not bound.
pub const UNBOUNDED: u64 = u64::MAX;
/// One request, in the thousandths that rates and bursts are counted in.
pub const ONE: u64 = 1_000;

/// Whether a pattern matches a name: it equals the name, or is a prefix of it followed by `*`.
pub fn fits(pattern: &str, name: &str) -> bool {
    pattern
        .strip_suffix('*')
        .map_or(pattern == name, |prefix| name.starts_with(prefix))
}

/// A share of a limit, or the whole limit. A figure is [`UNBOUNDED`] where the limit does not bound it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Amount {
    /// Thousandths of a request a second.
    pub rate: u64,
    /// Thousandths of a request that may be admitted at once.
    pub burst: u64,
    /// Requests open at the same time.
    pub open: u64,
}

impl Amount {
    /// No bounds.
    pub const UNBOUNDED: Amount = Amount {
        rate: UNBOUNDED,
        burst: UNBOUNDED,
        open: UNBOUNDED,
    };
    /// Nothing.
    pub const NOTHING: Amount = Amount {
        rate: 0,
        burst: 0,
        open: 0,
    };

    /// Combines each figure with that of `other`.
    pub fn with(self, other: Amount, combine: impl Fn(u64, u64) -> u64) -> Amount {
        Amount {
            rate: combine(self.rate, other.rate),
            burst: combine(self.burst, other.burst),
            open: combine(self.open, other.open),
        }
    }

    /// The lesser of each pair of figures.
    pub fn lesser(self, other: Amount) -> Amount {
        self.with(other, u64::min)
    }

    /// The greater of each pair of figures.
    pub fn greater(self, other: Amount) -> Amount {
        self.with(other, u64::max)
    }

    /// Whether at least one figure is greater than that of `other`.
    pub fn exceeds(self, other: Amount) -> bool {
        self.rate > other.rate || self.burst > other.burst || self.open > other.open
    }
}

/// Identifies a start of a lease server: the term of its agent, and a number drawn at random at the start. Two
/// servers may have the same term where one was started on an old copy of the other's state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerId {
    /// The term of the agent.
    pub term: u64,
    /// Drawn at random at the start.
    pub id: u64,
}

/// What an instance reports of one limit: what it holds, what it needs and what it uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The name of the limit; for a limit of each server, followed by a slash and the server.
    pub limit: String,
    /// The amount leased at present; nothing without a lease.
    pub holds: Amount,
    /// The recent rate of requests, admitted or not, in thousandths a second.
    pub wanted: u64,
    /// The recent maximum of requests that were open at once or would have been.
    pub wanted_open: u64,
    /// Requests that are open now.
    pub open: u64,
    /// The recent rate of admitted requests, in thousandths a second.
    pub used: u64,
}

/// The part of an instance's report that is about its limits. It also acknowledges the grant that the instance uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequests {
    /// The sequence number of the report within this start of the instance, from 1.
    pub seq: u64,
    /// The server whose grant the instance uses; none before the first grant.
    pub by: Option<ServerId>,
    /// The number of that grant. The server may forget all earlier ones.
    pub number: u64,
    /// One entry for each limit.
    pub of: Vec<LeaseRequest>,
}

/// A lease of a share of one limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The limit, as in the request.
    pub limit: String,
    /// The leased share.
    pub amount: Amount,
    /// The whole limit.
    pub whole: Amount,
}

/// A message of the lease server to one start of an instance: all leases that this start holds from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    /// The start of the instance that the grant is for.
    pub start: u64,
    /// The server that made the grant.
    pub by: ServerId,
    /// The sequence number of the grants to this start, from 1.
    pub number: u64,
    /// The sequence number of the last report that the server had received.
    pub answers: u64,
    /// How long the leases are valid, counted from when that report was made. In microseconds.
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// The leases. The instance has no lease of any other limit and falls back to its safe amount there.
    pub of: Vec<Lease>,
}

/// Bugs that the explorer injects to check that it finds them. A program that serves has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The server reuses capacity as soon as it has sent a smaller grant.
    ReuseBeforeAcknowledgement,
    /// The server forgets a lease as soon as it expires, without [`DRIFT`].
    NoDrift,
    /// The server identifies instances by their names and not by their starts.
    IdentifyByName,
    /// A server that starts grants at once, without waiting for the former server's leases to expire.
    NoRecovery,
    /// A server remembers the duration of its own leases only, and not that of the former server's.
    ForgetFormerDuration,
    /// An instance counts the duration of a lease from its arrival.
    CountFromArrival,
    /// An instance accepts every grant, however old.
    NoFencing,
    /// An instance fills its bucket with each grant.
    RefillOnGrant,
    /// The server reuses the capacity of open requests when the lease expires.
    ForgetOpen,
}

#[cfg(any(test, feature = "explore"))]
thread_local! {
    static INJECTED_BUG: std::cell::Cell<Option<InjectedBug>> = const { std::cell::Cell::new(None) };
}

/// Calls `run` with a bug injected into all lease servers and holders of this thread.
#[cfg(any(test, feature = "explore"))]
pub fn with_injected_bug<T>(bug: Option<InjectedBug>, run: impl FnOnce() -> T) -> T {
    let former = INJECTED_BUG.replace(bug);
    let result = run();
    INJECTED_BUG.set(former);
    result
}

/// Whether a bug is injected. Always false in a program that serves.
#[inline]
pub(crate) fn is_injected(_bug: InjectedBug) -> bool {
    #[cfg(any(test, feature = "explore"))]
    return INJECTED_BUG.get() == Some(_bug);
    #[cfg(not(any(test, feature = "explore")))]
    false
}

//! Limits that hold for a whole fleet, as leases: the agent's [`Lender`] lends parts of each limit for a bounded time, and
//! an instance's [`Holder`] lets requests in under a lease that holds, or under its [`Safe`] part where none does. No
//! clock, no I/O: times are passed in as whole microseconds.
//!
//! # The bound
//!
//! For every window of length `W`, whatever links fail and whatever processes die, freeze or come back, as long as no two
//! agents lend unaware of each other:
//!
//! ```text
//! let in by all instances  <=  rate * W + burst  +  n * (safe rate * W + safe burst)
//! open at all instances    <=  open              +  n * safe open
//! ```
//!
//! where `n` is the number of instances without a lease in the window. Why:
//!
//! 1. The rates, the bursts and the open requests of all leases that hold at any one time come to no more than the limit.
//!    The lender counts a lease as out until the instance has said that it obeys a later one, or until its end by the
//!    lender's clock with [`DRIFT`] added; an instance counts the same end from before it asked, so that it never obeys
//!    longer than that. Of leases that may hold at once for one instance the greatest counts.
//! 2. A lease is a bucket that begins empty. Taking another lease keeps what has run in, up to the new burst; what is over
//!    that, and all of it when the lease ends, is lost. So what all buckets hold together is never above the burst, and
//!    grows by the leased rates alone.
//! 3. Let in during a window is at most what the buckets held at its beginning and what ran in since.
//!
//! Rates are lent less [`FAST`], so that a clock that runs that much fast fills no bucket faster than the limit says.
//!
//! # Staleness
//!
//! A limit that was lowered holds everywhere after at most one lease and [`DRIFT`] of it. What one instance does not use
//! reaches another within three reports: it asks; the others are told of less and say that they obey; it is told of more.

mod bound;
mod divide;
mod holder;
mod lender;

pub use bound::Bound;
pub use divide::{Want, divide};
pub use holder::{Denied, Holder, Safe, Standing};
pub use lender::{Lender, Limit, Note, View};

use serde::{Deserialize, Serialize};

/// A time, or a span of time, in microseconds. Times only ever grow; their zero means nothing.
pub type Micros = u64;

/// By how much two clocks may run apart: a lease is counted as out for one part in so many longer than it lasts. It covers
/// an instance 2% slow beside a lender 2% fast.
pub const DRIFT: u64 = 20;
/// One part in so many of a rate is not lent, since a bucket fills by its instance's clock: 2%.
pub const FAST: u64 = 50;
/// The shortest and the longest lease, in microseconds.
pub const LEASES: (Micros, Micros) = (500_000, 600_000_000);
/// The most limits that an instance takes part in, those of single servers counted each.
pub const MOST_LIMITS: usize = 256;
/// The most of a rate (thousandths of a request a second) or a burst (thousandths of a request).
pub const MOST: u64 = 1_000_000_000_000;
/// Stands for no bound at all.
pub const UNBOUNDED: u64 = u64::MAX;
/// One request, in the thousandths that rates and bursts are counted in.
pub const ONE: u64 = 1_000;

/// Whether a pattern fits a name: it is the name, or its beginning with `*` behind it.
pub fn fits(pattern: &str, name: &str) -> bool {
    pattern.strip_suffix('*').map_or(pattern == name, |begin| name.starts_with(begin))
}

/// A part of a limit, or all of it. [`UNBOUNDED`] where the limit says nothing of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Amount {
    /// Thousandths of a request a second.
    pub rate: u64,
    /// Thousandths of a request that may come at once.
    pub burst: u64,
    /// Requests open at once.
    pub open: u64,
}

impl Amount {
    /// No bounds.
    pub const UNBOUNDED: Amount = Amount { rate: UNBOUNDED, burst: UNBOUNDED, open: UNBOUNDED };
    /// Nothing.
    pub const NOTHING: Amount = Amount { rate: 0, burst: 0, open: 0 };

    /// Of each part what a function of both makes.
    pub fn with(self, other: Amount, of: impl Fn(u64, u64) -> u64) -> Amount {
        Amount {
            rate: of(self.rate, other.rate),
            burst: of(self.burst, other.burst),
            open: of(self.open, other.open),
        }
    }

    /// The lesser of each.
    pub fn lesser(self, other: Amount) -> Amount {
        self.with(other, u64::min)
    }

    /// The greater of each.
    pub fn greater(self, other: Amount) -> Amount {
        self.with(other, u64::max)
    }

    /// Whether some part of this is more than that of the other.
    pub fn exceeds(self, other: Amount) -> bool {
        self.rate > other.rate || self.burst > other.burst || self.open > other.open
    }
}

/// Which agent: its term, and a number drawn at random at its start. Two agents may come to have one term, where one was
/// started on an old copy of the other's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Who {
    /// Its term.
    pub term: u64,
    /// Drawn at its start.
    pub id: u64,
}

/// What an instance says of one limit with each report.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Ask {
    /// The limit's name; behind a slash the server, where it is for each server.
    pub limit: String,
    /// What it holds; nothing without a lease.
    pub holds: Amount,
    /// Requests that came of late, let in or not: thousandths a second.
    pub wanted: u64,
    /// The most that were or would have been open at once of late.
    pub wanted_open: u64,
    /// Requests that are open now.
    pub open: u64,
    /// Requests that were let in of late: thousandths a second.
    pub used: u64,
}

/// What an instance says of all its limits with one report.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Asks {
    /// Counts the reports of this start, from 1.
    pub seq: u64,
    /// Whose word it obeys; none while it has had none.
    pub by: Option<Who>,
    /// The number of the word of theirs that it obeys, which they may forget all earlier ones for.
    pub number: u64,
    /// A line each.
    pub of: Vec<Ask>,
}

/// A part of one limit that is lent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The limit, as it was asked for.
    pub limit: String,
    /// What is lent.
    pub amount: Amount,
    /// All of the limit.
    pub whole: Amount,
}

/// The agent's word to one start of an instance: from now on exactly this is lent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lent {
    /// Which start of the instance it is for.
    pub start: u64,
    /// Whose word it is.
    pub by: Who,
    /// Counts the words to this start, from 1.
    pub number: u64,
    /// The report that it answers, or the last one that had come.
    pub answers: u64,
    /// It lasts so many microseconds from when that report was made.
    pub lasts: Micros,
    /// What is lent. Of any other limit no lease holds: there its safe part does.
    pub of: Vec<Lease>,
}

/// Bugs that the explorer plants to see whether it finds them. None outside of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// The lender takes what it has told less of as free at once.
    LendBeforeObeyed,
    /// The lender forgets a lease at its very end, without [`DRIFT`].
    NoDrift,
    /// The lender knows instances by their names, not by their starts.
    NamesAlone,
    /// A lender that starts lends at once, not knowing what the former one lent.
    NoLearning,
    /// A lender remembers how long its own leases last, not those of the former one.
    ForgetLength,
    /// An instance counts a lease from when it comes.
    CountFromArrival,
    /// An instance obeys whatever comes, however old.
    NoFencing,
    /// An instance fills its bucket with each lease.
    FillAnew,
    /// The lender takes back what is open with the lease.
    ForgetOpen,
}

#[cfg(any(test, feature = "explore"))]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Planted>> = const { std::cell::Cell::new(None) };
}

/// Does something with a bug planted in the machines of this thread.
#[cfg(any(test, feature = "explore"))]
pub fn with_planted<T>(bug: Option<Planted>, act: impl FnOnce() -> T) -> T {
    let former = PLANTED.replace(bug);
    let done = act();
    PLANTED.set(former);
    done
}

/// Whether a bug is planted.
#[inline]
pub(crate) fn planted(_bug: Planted) -> bool {
    #[cfg(any(test, feature = "explore"))]
    return PLANTED.get() == Some(_bug);
    #[cfg(not(any(test, feature = "explore")))]
    false
}

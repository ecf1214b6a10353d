//! The story of each server: what happened there, in steps that widen with age, and an event where a server departs
//! from what is usual for it.
//!
//! [`Story`] is told of attempts and happenings with the time passed in, and reads no clock. Its memory for each
//! server is fixed ([`Story::bytes_for_each_server`]). A departure is found by sequential tests whose setting is a
//! rate of false alarms, not a threshold; what is usual is learned, by the time of day as well. What the story knows
//! of servers that are half well goes to the decision module as [`Evidence`].

mod departure;
mod detector;
mod line;
mod recording;
mod sketch;
mod story;
mod usual;

pub use departure::{Departure, Evidence, Fault, Phase, Subject};
pub use line::{Happening, Line, Noted, Step};
pub use recording::{Moment, Recording};
pub use sketch::Sketch;
pub use story::{Arrival, Gauge, Observed, Settings, Story};

/// A time, or a span of time, in whole microseconds. Times only ever grow.
pub type Micros = u64;

/// A second.
pub(crate) const S: Micros = 1_000_000;

//! What an instance knows, to be shown. Nothing here changes what it will decide.

use crate::interface::{Listed, Micros, Report, ServerId};
use crate::state::Balancer;

/// An instance as it stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// By their places in the settings.
    pub classes: Vec<ClassView>,
    /// In the order of their ids.
    pub servers: Vec<ServerView>,
    /// Requests that are not forgotten: open ones, and those with an attempt that is still out.
    pub requests: usize,
    /// Repeats that may be sent now beyond first attempts.
    pub retry_budget: f64,
}

/// A class as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassView {
    /// Its requests that are open.
    pub open: u32,
    /// Its usual work, in microseconds: a low quantile of its answers' times.
    pub usual: f64,
    /// Its slow answers, in microseconds: a high quantile of their times.
    pub slow: f64,
    /// The mean time to the end of its requests, as a part of the aim.
    pub delay: f64,
    /// Requests lately served in a second; none until two moments are known.
    pub served: Option<f64>,
    /// When one was last refused early.
    pub refused: Option<Micros>,
    /// Requests that a level of reduced service has turned away.
    pub given_up: u64,
}

/// A server as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// As it is listed.
    pub listed: Listed,
    /// Its part of the requests of its lane, by its weight beside the others'; 0 for one that gets none.
    pub share: f64,
    /// What it serves, in work over time; 0 until it was first weighed.
    pub value: f64,
    /// The sums that it is weighed by, both in microseconds and faded: the work that it answered, and the time that all
    /// attempts there took.
    pub measured: (f64, f64),
    /// Attempts that ended there of late and may have run: of what it was sent, what told something of it.
    pub answers: f64,
    /// Attempts of this instance that are out there.
    pub out: usize,
    /// Failures in a row, by their weight.
    pub failures: u32,
    /// Until when it gets nothing, if it was ejected and has not come back.
    pub ejected_until: Option<Micros>,
    /// The share of its capacity that it is held to have; 1 for one that is warm.
    pub warmth: f64,
    /// When it last answered, or was first listed.
    pub last_answer: Micros,
    /// When it was last asked for its load, and what it told.
    pub report: Option<(Micros, Option<Report>)>,
}

impl Balancer {
    /// Requests that levels of reduced service have turned away, of all classes.
    pub fn given_up(&self) -> u64 {
        self.classes.iter().map(|seen| seen.given_up).sum()
    }

    /// The share of the servers that take new work which fail: that are ejected, or silent past what was due. None
    /// where there is no such server.
    pub fn failing(&self, now: Micros) -> Option<f64> {
        let ready = self.ready.iter().filter_map(|id| self.servers.get(id));
        let failing = ready
            .filter(|s| s.ejected_until.is_some() || s.stalled(now))
            .count();
        (!self.ready.is_empty()).then(|| failing as f64 / self.ready.len() as f64)
    }

    /// What it knows at this time.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        let class = |seen: &crate::state::ClassSeen| ClassView {
            open: seen.open,
            usual: seen.cost.at,
            slow: seen.slow.at,
            delay: seen.delay,
            served: Some(seen.served.rate(now) * 1e6).filter(|rate| rate.is_finite()),
            refused: seen.refused,
            given_up: seen.given_up,
        };
        let lane = |long: Option<bool>| {
            let of = self
                .servers
                .values()
                .filter(move |s| long.is_some() && s.long == long);
            of.map(|s| s.value).sum::<f64>()
        };
        let (short, long) = (lane(Some(false)), lane(Some(true)));
        let server = |(_, s): (&ServerId, &crate::state::Server)| {
            let whole = if s.long == Some(true) { long } else { short };
            ServerView {
                listed: s.listed,
                share: if s.long.is_some() && whole > 0.0 {
                    s.value / whole
                } else {
                    0.0
                },
                value: s.value,
                measured: (s.size_sum, s.time_sum),
                answers: s.ended.get(now),
                out: s.out.len(),
                failures: s.failures,
                ejected_until: s.ejected_until,
                warmth: s.warmth(now, &self.settings.rules),
                last_answer: s.last_answer,
                report: s.report,
            }
        };
        Snapshot {
            classes: self.classes.iter().map(class).collect(),
            servers: self.servers.iter().map(server).collect(),
            requests: self.requests.len(),
            retry_budget: self.retry_budget,
        }
    }
}

//! What a run leaves behind: plain data, written as JSON, read by `compare` and `report`.

use madderloom_config_reader::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One run: an arm with a seed. Byte for byte the same for the same experiment, arm and seed in virtual time.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// The experiment's name.
    pub experiment: String,
    /// The arm's.
    pub arm: String,
    /// The seed.
    pub seed: u64,
    /// `virtual` or `sockets`.
    pub driver: String,
    /// Why the run counts for nothing: it fell behind real time, its policy panicked, it was broken off.
    pub void: Option<String>,
    /// Over all classes, what arrived after the warm-up.
    pub total: Tally,
    /// By class.
    pub classes: BTreeMap<String, Tally>,
    /// By server.
    pub servers: BTreeMap<String, ServerTally>,
    /// Steps of the experiment's window, from its beginning.
    pub windows: Vec<Window>,
    /// The time from the end of the last fault until goodput was back at 0.95 of what it was before the first;
    /// none where it never was, or there was no fault.
    pub recovery: Option<Span>,
    /// Rules broken, each with the story of a request that broke it; the first few of each rule.
    pub broken: Vec<Breach>,
    /// Broken rules, counted, by rule.
    pub breaches: BTreeMap<String, u64>,
}

/// What became of requests.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Tally {
    /// First tries that arrived; a client's retries belong to its first try.
    pub asked: u64,
    /// Tries in all, retries too.
    pub tries: u64,
    /// Worth asked for.
    pub worth: f64,
    /// Worth earned.
    pub earned: f64,
    /// First tries that ended served within their aim, late, refused, failed; and clients that left.
    pub in_time: u64,
    /// See `in_time`.
    pub late: u64,
    /// See `in_time`.
    pub refused: u64,
    /// See `in_time`.
    pub failed: u64,
    /// See `in_time`.
    pub left: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Attempts by outcome, as the interface names them.
    pub outcomes: BTreeMap<String, u64>,
    /// Attempts that crossed zones.
    pub crossed: u64,
    /// Probes.
    pub probes: u64,
    /// Time from when a request was due to its answer, for what was served: a histogram.
    pub latency: Latency,
}

impl Tally {
    /// Worth earned over worth asked for; 1 where nothing was.
    pub fn goodput(&self) -> f64 {
        if self.worth > 0.0 {
            self.earned / self.worth
        } else {
            1.0
        }
    }
}

/// Latencies in microseconds: pairs of a bucket's upper end and its count, in rising order, with three significant
/// digits kept.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Latency {
    /// Upper ends and counts.
    pub buckets: Vec<(u64, u64)>,
    /// The sum of all, for the mean.
    pub sum: u64,
}

/// What a server did.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerTally {
    /// Its kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Attempts that reached it.
    pub attempts: u64,
    /// Requests that it ran, and ran again.
    pub executed: u64,
    /// See `executed`.
    pub repeated: u64,
    /// Requests that it turned away.
    pub turned_away: u64,
    /// Connections opened to it.
    pub connections: u64,
    /// Microseconds of its cores' time that were used, and that were used for what nobody got.
    pub busy: u64,
    /// See `busy`.
    pub wasted: u64,
}

/// A step of the time series.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Window {
    /// Worth that was asked for by what arrived in it, and earned by the same.
    pub worth: f64,
    /// See `worth`.
    pub earned: f64,
    /// By class: first tries that arrived, and of them in time.
    pub classes: BTreeMap<String, (u64, u64)>,
    /// Percentiles 50, 90 and 99 of the latency of what was answered in it.
    pub latency: (u64, u64, u64),
    /// Attempts sent.
    pub attempts: u64,
    /// By server in the order of `Run::servers`: the part of its cores' time that was used.
    pub load: Vec<f32>,
}

/// A rule that was broken.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Breach {
    /// `dropped-request`, `repeated-effect`, `unsafe-drain` or `unsafe-fail-back`.
    pub rule: String,
    /// When.
    pub at: Span,
    /// Everything that happened to the request or the server, a line each, with its time.
    pub story: Vec<String>,
}

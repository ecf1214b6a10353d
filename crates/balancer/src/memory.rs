//! What an instance has measured, to be kept over a restart and given to the next. How much of it still counts is
//! for the embedder to say: what it gives back holds as if it had been measured now.

use crate::interface::{Micros, ServerId};
use crate::state::{Balancer, Server};

/// What an instance has measured. Times and work are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// Classes, by their places in the settings.
    pub classes: Vec<ClassMemory>,
    /// The mean work of a request, and the mean time of an answer.
    pub means: (f64, f64),
    /// In the order of their ids.
    pub servers: Vec<ServerMemory>,
}

/// What was measured of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassMemory {
    /// Its usual work: a low quantile of its answers' times. Above 0.
    pub usual: f64,
    /// Its slow answers: a high quantile of their times. Above 0.
    pub slow: f64,
}

/// What was measured of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerMemory {
    /// Which server.
    pub server: ServerId,
    /// When it had last started, as it was listed: of another life nothing holds.
    pub started: Option<Micros>,
    /// The work that it answered, faded by the module's rule. Not below 0.
    pub work: f64,
    /// The time that all attempts took, those that failed included, faded alike. Not below 0.
    pub time: f64,
    /// Failures in a row, by their weight.
    pub failures: u32,
    /// How much longer it is ejected; 0 where it is not.
    pub ejected: Micros,
    /// How long that ejection is in all: the next doubles it.
    pub ejection: Micros,
}

/// The longest ejection that is taken over: one from elsewhere must not keep a server away for good.
const LONGEST: Micros = 60_000_000;

fn is_size(x: f64) -> bool {
    x.is_finite() && x > 0.0
}

impl Balancer {
    /// What it has measured by now: of a server, from its first answer or failure on.
    pub fn memory(&self, now: Micros) -> Memory {
        let known = |s: &&Server| s.time_sum > 0.0 || s.failures > 0;
        let server = |s: &Server| ServerMemory {
            server: s.listed.server,
            started: s.listed.started,
            work: s.size_sum,
            time: s.time_sum,
            failures: s.failures,
            ejected: s.ejected_until.map_or(0, |until| until.saturating_sub(now)),
            ejection: s.ejection,
        };
        Memory {
            classes: self
                .classes
                .iter()
                .map(|seen| ClassMemory {
                    usual: seen.cost.at,
                    slow: seen.slow.at,
                })
                .collect(),
            means: (self.mean_size.at, self.mean_time.at),
            servers: self.servers.values().filter(known).map(server).collect(),
        }
    }

    /// Begins with what was measured of classes before. To be called before the first request; what makes no sense
    /// is left as it is.
    pub fn recall_classes(&mut self, memory: &Memory) {
        for (seen, class) in self.classes.iter_mut().zip(&memory.classes) {
            for (quantile, at) in [(&mut seen.cost, class.usual), (&mut seen.slow, class.slow)] {
                quantile.at = if is_size(at) { at } else { quantile.at };
            }
        }
        for (mean, at) in [
            (&mut self.mean_size, memory.means.0),
            (&mut self.mean_time, memory.means.1),
        ] {
            mean.at = if is_size(at) { at } else { mean.at };
        }
    }

    /// Takes over what was measured of a server before, once it is listed. False where it is not listed yet, and
    /// this may be tried again. Nothing is taken over of a server that has started anew since, of one that this
    /// instance has measured or sent to itself, or that makes no sense.
    pub fn recall_server(&mut self, now: Micros, memory: &ServerMemory) -> bool {
        let Some(server) = self.servers.get_mut(&memory.server) else {
            return false;
        };
        let untouched = server.time_sum == 0.0 && server.failures == 0 && server.out.is_empty();
        let is_sum = |x: f64| x.is_finite() && x >= 0.0;
        let sound = is_sum(memory.work) && is_sum(memory.time);
        if untouched && sound && server.listed.started == memory.started {
            (server.size_sum, server.time_sum) = (memory.work, memory.time);
            server.failures = memory.failures;
            server.ejection = memory.ejection.min(LONGEST);
            server.ejected_until =
                (memory.ejected > 0).then(|| now.saturating_add(memory.ejected.min(LONGEST)));
        }
        true
    }
}

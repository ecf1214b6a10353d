//! What lies between instances and servers: zones, ways with jitter, cuts, and connections that break.

use crate::experiment;
use crate::seeds::Random;
use madderloom_balancer::Micros;
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};

/// Which way something goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From an instance to a server.
    There,
    /// From a server to an instance.
    Back,
}

/// What becomes of a request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// It gets through.
    Through,
    /// The connection breaks before its last byte is written: it never ran.
    BreaksBefore,
    /// The connection breaks after it: it runs, and nobody hears of it.
    BreaksAfter,
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    number: u32,
    zone: u32,
    answers_alone: bool,
}

/// The network of a run.
pub struct Network {
    same: f64,
    cross: f64,
    jitter: Option<LogNormal<f64>>,
    cuts: Vec<Cut>,
    /// Number, server, share.
    resets: Vec<(u32, u32, f64)>,
    random: Random,
}

impl Network {
    /// A network where all is well.
    pub fn new(spec: &experiment::Network, random: Random) -> Self {
        let jitter = LogNormal::from_mean_cv(1.0, spec.jitter)
            .ok()
            .filter(|_| spec.jitter > 0.0);
        let (same, cross) = (spec.same.micros() as f64, spec.cross.micros() as f64);
        Network {
            same,
            cross,
            jitter,
            cuts: Vec::new(),
            resets: Vec::new(),
            random,
        }
    }

    /// How long a message takes one way between an instance in a zone and a server in one; none where it is lost.
    pub fn latency(&mut self, instance: u32, server: u32, way: Way) -> Option<Micros> {
        if !self.reaches(instance, server, way) {
            return None;
        }
        let mean = if instance == server {
            self.same
        } else {
            self.cross
        };
        let factor = self
            .jitter
            .map_or(1.0, |jitter| jitter.sample(&mut self.random));
        Some((mean * factor).round().max(1.0) as Micros)
    }

    /// Whether anything gets through this way.
    pub fn reaches(&self, instance: u32, server: u32, way: Way) -> bool {
        let crosses = |cut: &&Cut| (cut.zone == instance) != (cut.zone == server);
        !self
            .cuts
            .iter()
            .filter(crosses)
            .any(|cut| !cut.answers_alone || way == Way::Back)
    }

    /// What becomes of a request to this server.
    pub fn passage(&mut self, server: u32) -> Passage {
        let whole = 1.0 - self.breaking(server);
        if whole >= 1.0 || self.random.random::<f64>() < whole {
            Passage::Through
        } else if self.random.random::<bool>() {
            Passage::BreaksBefore
        } else {
            Passage::BreaksAfter
        }
    }

    /// The share of connections to this server that break under a request.
    pub fn breaking(&self, server: u32) -> f64 {
        let whole = self
            .resets
            .iter()
            .filter(|r| r.1 == server)
            .map(|r| 1.0 - r.2)
            .product::<f64>();
        1.0 - whole
    }

    /// A zone is cut off from all others, both ways or answers alone, under a number by which that ends.
    pub fn cut(&mut self, number: u32, zone: u32, answers_alone: bool) {
        self.cuts.push(Cut {
            number,
            zone,
            answers_alone,
        });
    }

    /// A share of the connections to a server breaks under a request.
    pub fn reset(&mut self, number: u32, server: u32, share: f64) {
        self.resets.push((number, server, share));
    }

    /// What began under this number is over.
    pub fn mend(&mut self, number: u32) {
        self.cuts.retain(|cut| cut.number != number);
        self.resets.retain(|reset| reset.0 != number);
    }
}

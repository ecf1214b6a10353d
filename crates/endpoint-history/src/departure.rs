//! Departures from what is usual, and what the decision module is told of them.

use crate::Micros;
use madderloom_balancer::ServerId;
use serde::Serialize;
use std::fmt;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A part of what it takes is not answered well: errors, breaks behind the last byte, time-outs. It may have run.
    LosesAnswers,
    /// A part of what it is offered it turns away, or breaks off before all of it was there. It has not run, and may go
    /// elsewhere at once.
    RefusesWork,
    /// It serves as it did, but slower.
    Slow,
    /// It serves heavy requests slower than it did, and light ones as ever.
    SlowWhenHeavy,
    /// It answers nothing, for longer than chance would have it.
    Silent,
    /// What it reports of itself does not fit what is met there.
    Disagrees,
}

/// Whom a departure is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// One server.
    Server(#[serde(serialize_with = "hex")] ServerId),
    /// All servers of a zone, and few others: it may be the way there.
    Zone(u32),
    /// Half of all servers or more: where all are bad, none is.
    Fleet,
}

fn hex<W: serde::Serializer>(server: &ServerId, writer: W) -> Result<W::Ok, W::Error> {
    writer.collect_str(server)
}

/// Where a departure stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnomalyPhase {
    /// It has just been found.
    Raised,
    /// It goes on, and has changed much since it was last told of.
    Updated,
    /// It is over.
    Cleared,
}

/// A departure from what is usual, with its evidence.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Anomaly {
    /// Its number, the same until it is over.
    pub number: u64,
    /// Whom it is about.
    pub subject: Subject,
    /// What is wrong.
    pub fault: Fault,
    /// The class that alone it befalls, by its place in the settings.
    pub class: Option<u32>,
    /// When it most likely began.
    pub began: Micros,
    /// When this was said.
    pub at: Micros,
    /// What is said.
    pub phase: AnomalyPhase,
    /// The share of what is wrong since it began, and the usual one. For slowness: of what is over the usual limit.
    pub share: f64,
    /// See `share`.
    pub usual: f64,
    /// Observations since it began.
    pub observations: u32,
}

impl Fault {
    /// What is wrong, in words that go behind a name.
    pub fn words(self) -> &'static str {
        match self {
            Fault::LosesAnswers => "loses answers",
            Fault::RefusesWork => "refuses work",
            Fault::Slow => "is slow",
            Fault::SlowWhenHeavy => "is slow for heavy requests",
            Fault::Silent => "is silent",
            Fault::Disagrees => "reports what does not fit",
        }
    }
}

impl Anomaly {
    /// It in a line, with the name of the server or the zone, and the class's where it is about one.
    pub fn told(&self, name: &str, class: Option<&str>) -> String {
        let said = match self.phase {
            AnomalyPhase::Raised => "departs from its usual",
            AnomalyPhase::Updated => "still departs from its usual",
            AnomalyPhase::Cleared => "is as usual again",
        };
        let subject = match self.subject {
            Subject::Server(_) => format!("server {name}"),
            Subject::Zone(_) => format!("zone {name}"),
            Subject::Fleet => "the fleet".to_string(),
        };
        let of_class = class
            .map(|class| format!(" for {class}"))
            .unwrap_or_default();
        let (share, usual) = (100.0 * self.share, 100.0 * self.usual);
        let (fault, all) = (self.fault.words(), self.observations);
        format!("{subject} {said}: {fault}{of_class} ({share:.1}% of {all}, usually {usual:.1}%)")
    }
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = self.class.map(|class| format!("class {class}"));
        let name = match self.subject {
            Subject::Server(server) => server.to_string(),
            Subject::Zone(zone) => zone.to_string(),
            Subject::Fleet => String::new(),
        };
        f.write_str(&self.told(&name, class.as_deref()))
    }
}

/// What the story knows of a server that is half well, for the decision module. Never proof: it may be given less
/// weight for it, and nothing is sent twice because of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evidence {
    /// Which server.
    #[serde(serialize_with = "hex")]
    pub server: ServerId,
    /// The class whose answers alone it loses, by its place in the settings; none where it is not one alone.
    pub class: Option<u32>,
    /// The share of attempts (of that class) that are lost there though they may have run.
    pub loses: f64,
    /// The share that it provably does not take.
    pub refuses: f64,
    /// Whether it is slower than usual.
    pub slow: bool,
    /// How sure that is, from 0 to 1; 1 where a departure is raised.
    pub confidence: f64,
    /// When the last observation was made that this rests on.
    pub at: Micros,
    /// It is so of the whole fleet or the whole zone: no reason to prefer another one there.
    pub shared: bool,
}

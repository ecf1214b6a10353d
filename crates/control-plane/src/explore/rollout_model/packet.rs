//! Messages in transit between the agent and the instances.

use super::hashed::hash_of;
use crate::protocol::{Outcome, Stamp, ToAgent, ToInstance, Who};
use std::fmt;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Packet {
    Up { name: usize, message: ToAgent },
    Down { name: usize, message: ToInstance },
}

impl Packet {
    pub(super) fn name(&self) -> usize {
        match self {
            Packet::Up { name, .. } | Packet::Down { name, .. } => *name,
        }
    }

    pub(super) fn hash_without_name(&self) -> u64 {
        match self.clone() {
            Packet::Up {
                message: ToAgent::Register(mut registration),
                ..
            } => {
                registration.who.name.clear();
                hash_of(registration)
            }
            Packet::Up {
                message: ToAgent::Report(mut report),
                ..
            } => {
                report.who.name.clear();
                hash_of(report)
            }
            Packet::Down { message, .. } => hash_of(message),
        }
    }
}

/// A message in transit, for display.
#[derive(Clone, Debug)]
pub struct PacketShown(pub(super) Packet);

impl fmt::Display for PacketShown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = |outcome: &Outcome| match outcome {
            Outcome::Applied => "applied".to_string(),
            Outcome::Refused(problem) => format!("refused ({problem})"),
        };
        match &self.0 {
            Packet::Up {
                message: ToAgent::Register(registration),
                ..
            } => {
                let Who {
                    name,
                    start,
                    incarnation,
                } = &registration.who;
                write!(
                    f,
                    "{name} (start {start}, incarnation {incarnation}) -> agent: I want to be known"
                )
            }
            Packet::Up {
                message: ToAgent::Report(report),
                ..
            } => {
                let Who { name, start, .. } = &report.who;
                write!(
                    f,
                    "{name} (start {start}) -> agent: I have revision {}",
                    report.holding.revision
                )?;
                report.answer.as_ref().map_or(Ok(()), |a| {
                    let Stamp { term, number } = a.stamp;
                    write!(
                        f,
                        ", {} order {term}.{number} (revision {})",
                        outcome(&a.outcome),
                        a.revision
                    )
                })
            }
            Packet::Down { name, message } => {
                write!(f, "agent -> i{name}: ")?;
                match message {
                    ToInstance::Welcome(w) => {
                        write!(
                            f,
                            "welcome start {} as incarnation {}, term {}",
                            w.start, w.incarnation, w.term
                        )
                    }
                    ToInstance::Order(o) => {
                        let Stamp { term, number } = o.stamp;
                        write!(
                            f,
                            "order {term}.{number} for start {}: have revision {}",
                            o.start, o.revision
                        )
                    }
                    other => write!(f, "{other:?}"),
                }
            }
        }
    }
}

//! Messages in transit between the agent and the instances.

use super::hashed::hash_of;
use crate::protocol::{FencingToken, InstanceId, Outcome, ToAgent, ToInstance};
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
                registration.id.name.clear();
                hash_of(registration)
            }
            Packet::Up {
                message: ToAgent::Report(mut report),
                ..
            } => {
                report.id.name.clear();
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
                let InstanceId {
                    name,
                    start,
                    incarnation,
                } = &registration.id;
                write!(
                    f,
                    "{name} (start {start}, incarnation {incarnation}) -> agent: I want to be known"
                )
            }
            Packet::Up {
                message: ToAgent::Report(report),
                ..
            } => {
                let InstanceId { name, start, .. } = &report.id;
                write!(
                    f,
                    "{name} (start {start}) -> agent: I have revision {}",
                    report.applied.revision
                )?;
                report.answer.as_ref().map_or(Ok(()), |a| {
                    let FencingToken { term, number } = a.fencing_token;
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
                        let FencingToken { term, number } = o.fencing_token;
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

//! Messages in transit between the agent and the instances.

use crate::explore::state_hash::hash_of;
use crate::protocol::{FencingToken, InstanceId, Outcome, ToAgent, ToInstance};
use std::fmt;

/// A connection in one direction between the newest agent and a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Channel {
    /// The index of the process.
    pub process: usize,
    /// Whether messages go from the process to the agent.
    pub is_to_agent: bool,
}

/// A message in transit, with the number of the instance's name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Packet {
    ToAgent { name: usize, message: ToAgent },
    ToInstance { name: usize, message: ToInstance },
}

impl Packet {
    pub(super) fn name(&self) -> usize {
        match self {
            Packet::ToAgent { name, .. } | Packet::ToInstance { name, .. } => *name,
        }
    }

    /// The start of the instance that it comes from or goes to.
    pub(super) fn start(&self) -> u64 {
        match self {
            Packet::ToAgent { message, .. } => message.sender().start,
            Packet::ToInstance { message, .. } => message.start(),
        }
    }

    /// A hash that is the same for instances that differ only by their names.
    pub(super) fn hash_without_name(&self) -> u64 {
        match self.clone() {
            Packet::ToAgent {
                message: ToAgent::Register(mut registration),
                ..
            } => {
                registration.id.name.clear();
                hash_of(registration)
            }
            Packet::ToAgent {
                message: ToAgent::Report(mut report),
                ..
            } => {
                report.id.name.clear();
                hash_of(report)
            }
            Packet::ToInstance { message, .. } => hash_of(message),
        }
    }
}

/// A message in transit, for display.
#[derive(Clone, Debug)]
pub struct ShownPacket(pub(super) Packet);

impl fmt::Display for ShownPacket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Packet::ToAgent { message, .. } => write_to_agent(f, message),
            Packet::ToInstance { name, message } => {
                write!(f, "agent -> i{name}: ")?;
                write_to_instance(f, message)
            }
        }
    }
}

fn write_to_agent(f: &mut fmt::Formatter<'_>, message: &ToAgent) -> fmt::Result {
    let InstanceId {
        name,
        start,
        incarnation,
    } = message.sender();
    match message {
        ToAgent::Register(_) => write!(
            f,
            "{name} (start {start}, incarnation {incarnation}) -> agent: registers"
        ),
        ToAgent::Report(report) => {
            let revision = report.applied.revision;
            write!(
                f,
                "{name} (start {start}) -> agent: reports revision {revision}"
            )?;
            let Some(answer) = &report.answer else {
                return Ok(());
            };
            let FencingToken { term, number } = answer.fencing_token;
            match &answer.outcome {
                Outcome::Applied => f.write_str(", applied")?,
                Outcome::Refused(problem) => write!(f, ", refused ({problem})")?,
            }
            write!(f, " order {term}.{number} (revision {})", answer.revision)
        }
    }
}

fn write_to_instance(f: &mut fmt::Formatter<'_>, message: &ToInstance) -> fmt::Result {
    match message {
        ToInstance::Welcome(welcome) => write!(
            f,
            "welcome start {} as incarnation {}, term {}",
            welcome.start, welcome.incarnation, welcome.term
        ),
        ToInstance::Order(order) => {
            let FencingToken { term, number } = order.fencing_token;
            write!(
                f,
                "order {term}.{number} for start {}: have revision {}",
                order.start, order.revision
            )
        }
        other => write!(f, "{other:?}"),
    }
}

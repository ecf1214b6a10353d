//! The transitions of the model, as a trace shows them.

use super::packet::{Packet, PacketShown};
use std::fmt;

/// A transition.
#[derive(Clone, Debug)]
pub enum Step {
    #[allow(missing_docs)]
    Deliver {
        packet: Box<PacketShown>,
        agent: usize,
        from: Option<(usize, bool)>,
    },
    #[allow(missing_docs)]
    Keep(Box<PacketShown>),
    #[allow(missing_docs)]
    AgentTick(usize),
    #[allow(missing_docs)]
    InstanceTick(usize),
    #[allow(missing_docs)]
    Take(usize),
    #[allow(missing_docs)]
    KillAgent,
    #[allow(missing_docs)]
    KillUnsaved(usize),
    #[allow(missing_docs)]
    Kill {
        process: usize,
        keeps: bool,
        backwards: bool,
    },
    #[allow(missing_docs)]
    Push { change: usize, base: u64 },
    #[allow(missing_docs)]
    Stop(usize),
    #[allow(missing_docs)]
    Undo(usize),
    #[allow(missing_docs)]
    Pass,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Deliver {
                packet,
                agent,
                from,
            } => {
                let late = if from.is_none() { " late" } else { "" };
                write!(f, "comes{late}: {packet}")?;
                if let (Packet::Up { .. }, true) = (&packet.0, *agent > 0) {
                    write!(f, " (agent {agent})")?;
                }
                Ok(())
            }
            Step::Keep(packet) => write!(f, "will come late or once more: {packet}"),
            Step::AgentTick(agent) => write!(f, "agent {agent}'s clock reaches its next deadline"),
            Step::InstanceTick(process) => {
                write!(f, "process {process}'s clock reaches its next deadline")
            }
            Step::Take(process) => write!(
                f,
                "process {process} carries out the order that it was given"
            ),
            Step::KillAgent => f.write_str("the agent is killed and started again"),
            Step::KillUnsaved(change) => {
                write!(
                    f,
                    "an operator pushes change {change}; the agent is killed before it is saved"
                )
            }
            Step::Kill {
                process,
                keeps,
                backwards,
            } => {
                let with = if *keeps {
                    "what it kept"
                } else {
                    "nothing kept"
                };
                let clock = if *backwards {
                    ", its clock set back"
                } else {
                    ""
                };
                write!(
                    f,
                    "process {process} is killed and started again with {with}{clock}"
                )
            }
            Step::Push { change, base } => {
                write!(
                    f,
                    "an operator pushes change {change}, made on revision {base}"
                )
            }
            Step::Stop(change) => write!(f, "an operator stops change {change}"),
            Step::Undo(change) => write!(f, "an operator takes change {change} back"),
            Step::Pass => f.write_str("time passes for all"),
        }
    }
}

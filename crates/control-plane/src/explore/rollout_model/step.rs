//! The transitions of the model, as a trace shows them.

use super::packet::{Channel, Packet, ShownPacket};
use std::fmt;

/// A transition. Agents, processes and changes are identified by their index.
#[derive(Clone, Debug)]
pub enum Step {
    /// A message arrives.
    Deliver {
        /// The message.
        packet: Box<ShownPacket>,
        /// The agent that a message to an agent arrives at.
        agent: usize,
        /// The channel that it is in transit on; `None` for a late message.
        channel: Option<Channel>,
    },
    /// A message in transit will also arrive late.
    Duplicate(Box<ShownPacket>),
    /// An agent's clock advances to its next deadline.
    AgentTick(usize),
    /// A process's clock advances to its next deadline.
    InstanceTick(usize),
    /// A process carries out the order that it was given, or refuses it.
    ExecuteOrder(usize),
    /// The newest agent is killed and started again from its disk.
    KillAgent,
    /// An operator pushes a change; the agent is killed before its records are durable.
    KillAgentBeforeSave(usize),
    /// A process is killed and started again.
    KillInstance {
        /// The process.
        process: usize,
        /// Whether it starts with the state that it persisted.
        keeps_memory: bool,
        /// Whether its incarnation begins anew, as where its clock was set back.
        resets_incarnation: bool,
    },
    /// An operator pushes a change.
    Push {
        /// The change.
        change: usize,
        /// The revision that it is made on.
        base: u64,
    },
    /// An operator stops a change.
    Stop(usize),
    /// An operator undoes a change.
    Undo(usize),
    /// Time advances for all to the next deadline of any of them.
    AdvanceTime,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Deliver {
                packet,
                agent,
                channel,
            } => {
                let late = if channel.is_none() { " late" } else { "" };
                write!(f, "arrives{late}: {packet}")?;
                if let (Packet::ToAgent { .. }, true) = (&packet.0, *agent > 0) {
                    write!(f, " (agent {agent})")?;
                }
                Ok(())
            }
            Step::Duplicate(packet) => write!(f, "will arrive late or a second time: {packet}"),
            Step::AgentTick(agent) => write!(f, "agent {agent}'s clock reaches its next deadline"),
            Step::InstanceTick(process) => {
                write!(f, "process {process}'s clock reaches its next deadline")
            }
            Step::ExecuteOrder(process) => write!(f, "process {process} carries out its order"),
            Step::KillAgent => f.write_str("the agent is killed and started again"),
            Step::KillAgentBeforeSave(change) => write!(
                f,
                "an operator pushes change {change}; the agent is killed before it is saved"
            ),
            Step::KillInstance {
                process,
                keeps_memory,
                resets_incarnation,
            } => {
                let with = if *keeps_memory { "its" } else { "no" };
                let clock = if *resets_incarnation {
                    ", its clock set back"
                } else {
                    ""
                };
                write!(
                    f,
                    "process {process} is killed and started again with {with} persisted state{clock}"
                )
            }
            Step::Push { change, base } => write!(
                f,
                "an operator pushes change {change}, made on revision {base}"
            ),
            Step::Stop(change) => write!(f, "an operator stops change {change}"),
            Step::Undo(change) => write!(f, "an operator undoes change {change}"),
            Step::AdvanceTime => f.write_str("time advances for all"),
        }
    }
}

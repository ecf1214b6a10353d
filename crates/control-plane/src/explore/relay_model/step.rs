//! The transitions of the model, as a trace shows them.

use std::fmt;

/// A transition. Agents, relays and instances are identified by their index.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request of an instance arrives at its relay.
    Request(usize),
    /// The answer arrives at the instance.
    Answer(usize),
    /// A message arrives over the instance's watch.
    PushToInstance(usize),
    /// An instance carries an order out.
    ExecuteOrder(usize),
    /// A batch of a relay arrives at the agent.
    Batch(usize),
    /// The answer arrives at the relay.
    BatchAnswer(usize),
    /// A message of the agent arrives over a relay's watch.
    WatchMessage(usize),
    /// A message arrives that an instance left behind when it moved.
    DeliverLate(usize),
    /// A relay connects to an agent.
    Connect {
        /// The relay.
        relay: usize,
        /// The agent.
        agent: usize,
    },
    /// The connection of a relay to its agent is cut.
    Cut(usize),
    /// The agent is killed and started again.
    KillAgent {
        /// Whether its records are lost.
        loses_state: bool,
    },
    /// A relay is killed, and another one takes its place.
    KillRelay(usize),
    /// An instance moves to the next relay.
    Move {
        /// The instance.
        instance: usize,
        /// Whether its last message arrives at the former relay all the same.
        leaves_request: bool,
    },
    /// The change is pushed.
    Push,
    /// Time advances to the next deadline.
    AdvanceTime,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Request(at) => write!(f, "i{at}'s message arrives at its relay"),
            Step::Answer(at) => write!(f, "the answer to it arrives at i{at}"),
            Step::PushToInstance(at) => write!(f, "a message arrives over i{at}'s watch"),
            Step::ExecuteOrder(at) => write!(f, "i{at} carries its order out"),
            Step::Batch(at) => write!(f, "a batch of relay {at} arrives at the agent"),
            Step::BatchAnswer(at) => write!(f, "the answer arrives at relay {at}"),
            Step::WatchMessage(at) => {
                write!(f, "a message arrives over the watch of relay {at}")
            }
            Step::DeliverLate(_) => f.write_str("a late message arrives"),
            Step::Connect { relay, agent } => write!(f, "relay {relay} connects to agent {agent}"),
            Step::Cut(at) => write!(f, "the connection of relay {at} is cut"),
            Step::KillAgent { loses_state: true } => {
                f.write_str("the agent is killed and loses its records")
            }
            Step::KillAgent { .. } => f.write_str("the agent is killed"),
            Step::KillRelay(at) => write!(f, "relay {at} is killed"),
            Step::Move { instance, .. } => write!(f, "i{instance} moves to the next relay"),
            Step::Push => f.write_str("the change is pushed"),
            Step::AdvanceTime => f.write_str("time advances"),
        }
    }
}

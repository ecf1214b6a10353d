//! The transitions of the model, as a trace shows them.

use std::fmt;

/// A transition. Instances are identified by their index.
#[derive(Clone, Debug)]
pub enum Step {
    /// A second passes.
    Tick,
    /// An instance sends a report.
    Report(usize),
    /// A message in transit arrives.
    Deliver {
        /// The index of the message among those in transit.
        message: usize,
        /// The message as a trace shows it.
        shown: String,
    },
    /// An instance admits all requests that it can; they stay in flight for as long as they may.
    Admit(usize),
    /// The agent is killed, and another one starts.
    KillAgent,
    /// Another process takes the first instance's name.
    ReplaceInstance,
    /// Instances with little demand now have much, and the other way round.
    ChangeDemand,
    /// The limit is lowered to half.
    LowerLimit,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Tick => f.write_str("a second passes"),
            Step::Report(at) => write!(f, "{at} reports"),
            Step::Deliver { shown, .. } => write!(f, "{shown} arrives"),
            Step::Admit(at) => write!(f, "{at} admits all requests that it can"),
            Step::KillAgent => f.write_str("the agent is killed, another one starts"),
            Step::ReplaceInstance => f.write_str("another process takes the name of 0"),
            Step::ChangeDemand => f.write_str("demands change"),
            Step::LowerLimit => f.write_str("the limit is lowered"),
        }
    }
}

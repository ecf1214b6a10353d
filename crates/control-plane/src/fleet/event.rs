//! Events of the agent's state machine for the log.

use crate::membership::MemberState;
use crate::protocol::Outcome;
use crate::rollout::Phase;
use std::fmt;

/// An event for the log. Its text is the line in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FleetEvent {
    /// The state of a member has changed.
    MemberState {
        /// The member.
        name: String,
        /// Its new state.
        state: MemberState,
    },
    /// A start was rejected because another one holds its name.
    NameConflict {
        /// The name.
        name: String,
        /// The incarnation of the start that was rejected.
        rejected_incarnation: u64,
        /// The incarnation of the holder.
        holder_incarnation: u64,
    },
    /// An instance has answered an order.
    OrderAnswered {
        /// The instance.
        name: String,
        /// The id of the change.
        change: String,
        /// The outcome of the order.
        outcome: Outcome,
    },
    /// A rollout has entered a phase.
    Rollout {
        /// The id of the change.
        change: String,
        /// The new phase.
        phase: Phase,
        /// Why the rollout stops or is rolled back.
        reason: Option<String>,
    },
    /// An instance knows of an agent of this later term; this agent issues no more orders.
    Superseded {
        /// The later term.
        term: u64,
    },
    /// An event of the lease server.
    Leases(madderloom_quota_leases::LeaseServerEvent),
}

impl fmt::Display for FleetEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetEvent::MemberState { name, state } => {
                write!(f, "{name} is {}", format!("{state:?}").to_lowercase())
            }
            FleetEvent::NameConflict {
                name,
                rejected_incarnation,
                holder_incarnation,
            } => write!(
                f,
                "name conflict: {name}: incarnation {rejected_incarnation} rejected, held by incarnation \
                 {holder_incarnation}"
            ),
            FleetEvent::OrderAnswered {
                name,
                change,
                outcome: Outcome::Applied,
            } => write!(f, "{name}: {change} applied"),
            FleetEvent::OrderAnswered {
                name,
                change,
                outcome: Outcome::Refused(problem),
            } => write!(f, "{name}: {change} refused: {problem}"),
            FleetEvent::Rollout {
                change,
                phase,
                reason: Some(reason),
            } => write!(f, "{change}: {phase}: {reason}"),
            FleetEvent::Rollout { change, phase, .. } => write!(f, "{change}: {phase}"),
            FleetEvent::Superseded { term } => write!(
                f,
                "superseded by an agent of term {term}: no more orders are issued"
            ),
            FleetEvent::Leases(event) => event.fmt(f),
        }
    }
}

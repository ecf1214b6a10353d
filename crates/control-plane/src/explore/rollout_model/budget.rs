//! How often each fault and each command may still happen.

use super::RolloutModel;
use super::state::ModelState;
use super::step::Step;

impl RolloutModel {
    /// Counts a transition from a state.
    pub(super) fn spend(&self, state: &mut ModelState, step: &Step) {
        let repeats_push = self.is_repeated_push(state, step);
        let remaining = &mut state.remaining;
        match step {
            Step::Duplicate(_) => remaining.late_messages -= 1,
            Step::AgentTick(_) => remaining.agent_ticks -= 1,
            Step::InstanceTick(at) => {
                let ends_session = state.processes[*at].value.machine.ends_session();
                remaining.disconnects -= u8::from(ends_session);
            }
            Step::KillAgent | Step::KillAgentBeforeSave(_) => remaining.agent_kills -= 1,
            Step::KillInstance { .. } => remaining.instance_kills -= 1,
            Step::Push { .. } => remaining.repeated_pushes -= u8::from(repeats_push),
            Step::Stop(_) | Step::Undo(_) => remaining.commands -= 1,
            Step::Deliver { .. } | Step::ExecuteOrder(_) | Step::AdvanceTime => {}
        }
    }

    /// Whether a step pushes a change that was accepted before, or on a revision that is not the newest.
    fn is_repeated_push(&self, state: &ModelState, step: &Step) -> bool {
        let Step::Push { change, base } = step else {
            return false;
        };
        state.acceptance(*change).is_some() || *base < self.newest_fleet(state).newest_revision()
    }
}

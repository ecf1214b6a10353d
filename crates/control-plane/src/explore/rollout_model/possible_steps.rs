//! The transitions that are possible in a state, and the fair one.

use super::RolloutModel;
use super::packet::{Packet, ShownPacket};
use super::state::ModelState;
use super::step::Step;
use crate::explore::fixture::TIME_UNIT;
use crate::{InjectedBug, Micros, is_injected};

/// Deadlines of an agent that are further away concern only the memory of names: its clock does not advance to them.
const MAX_DEADLINE: Micros = 100 * TIME_UNIT;

impl RolloutModel {
    /// All transitions that are possible in a state, always in the same order.
    pub(super) fn possible_steps(&self, state: &ModelState) -> Vec<Step> {
        let mut steps = Vec::new();
        self.add_deliveries(state, &mut steps);
        self.add_instance_steps(state, &mut steps);
        if state.remaining.agent_ticks > 0 {
            let has_deadline = |agent: &usize| {
                let deadline = state.agents[*agent].fleet.next_deadline(0);
                deadline.is_some_and(|deadline| deadline < MAX_DEADLINE)
            };
            let agents = (0..state.agents.len()).filter(has_deadline);
            steps.extend(agents.map(Step::AgentTick));
        }
        if state.remaining.agent_kills > 0 {
            steps.push(Step::KillAgent);
        }
        for change in 0..self.changes {
            self.add_operator_steps(state, change, &mut steps);
        }
        steps
    }

    fn add_deliveries(&self, state: &ModelState, steps: &mut Vec<Step>) {
        for (packet, channel) in state.packets() {
            let shown = || Box::new(ShownPacket(packet.clone()));
            let agents = match packet {
                Packet::ToAgent { .. } => 0..state.agents.len(),
                Packet::ToInstance { .. } => 0..1,
            };
            steps.extend(agents.map(|agent| Step::Deliver {
                packet: shown(),
                agent,
                channel,
            }));
            let may_duplicate = state.remaining.late_messages > 0
                && channel.is_some()
                && !state.late.contains_key(packet);
            if may_duplicate {
                steps.push(Step::Duplicate(shown()));
            }
        }
    }

    fn add_instance_steps(&self, state: &ModelState, steps: &mut Vec<Step>) {
        for (at, process) in state.processes.iter().enumerate() {
            let process = &process.value;
            if process.in_progress.is_some() {
                steps.push(Step::ExecuteOrder(at));
            }
            if state.remaining.disconnects > 0 || !process.machine.ends_session() {
                steps.push(Step::InstanceTick(at));
            }
            if state.remaining.instance_kills > 0 {
                steps.push(Step::KillInstance {
                    process: at,
                    keeps_memory: true,
                    resets_incarnation: false,
                });
                steps.push(Step::KillInstance {
                    process: at,
                    keeps_memory: false,
                    resets_incarnation: true,
                });
            }
        }
    }

    fn add_operator_steps(&self, state: &ModelState, change: usize, steps: &mut Vec<Step>) {
        let remaining = &state.remaining;
        if state.acceptance(change).is_some() {
            if remaining.repeated_pushes > 0 {
                steps.push(Step::Push { change, base: 0 });
            }
            if remaining.commands > 0 {
                steps.extend([Step::Stop(change), Step::Undo(change)]);
            }
            return;
        }
        let newest = self.newest_fleet(state).newest_revision();
        steps.push(Step::Push {
            change,
            base: newest,
        });
        if newest > 0 && remaining.repeated_pushes > 0 {
            steps.push(Step::Push { change, base: 0 });
        }
        if is_injected(InjectedBug::SendBeforeSave) && remaining.agent_kills > 0 {
            steps.push(Step::KillAgentBeforeSave(change));
        }
    }

    /// The next transition of a fair continuation: messages arrive, orders are carried out, time advances.
    pub(super) fn next_fair_step(&self, state: &ModelState) -> Option<Step> {
        if self.check_at_rest(state).is_some() {
            return None;
        }
        let executes = |process: usize| state.processes[process].value.in_progress.is_some();
        if let Some(process) = (0..state.processes.len()).find(|process| executes(*process)) {
            return Some(Step::ExecuteOrder(process));
        }
        let step = match state.packets().next() {
            Some((packet, channel)) => Step::Deliver {
                packet: Box::new(ShownPacket(packet.clone())),
                agent: state.newest_agent(),
                channel,
            },
            None => Step::AdvanceTime,
        };
        Some(step)
    }
}

//! Processes that are killed and started again.

use super::RolloutModel;
use super::agent::Disk;
use super::packet::{Channel, Packet};
use super::process::Process;
use super::state::ModelState;
use crate::explore::Invariant;
use crate::explore::fixture::{fleet_rules, now};
use crate::{Fleet, InjectedBug, PersistedInstance, is_injected};
use std::sync::Arc;

impl RolloutModel {
    /// The newest agent is killed and started again from its disk.
    pub(super) fn kill_agent(&self, state: &mut ModelState) {
        let Some(last) = state.agents.last().cloned() else {
            return;
        };
        let mut records: Disk = (*last.disk).clone();
        if is_injected(InjectedBug::ForgetRollout) {
            records.remove("rollout");
        }
        match Fleet::restore(fleet_rules(), now(), 0, records) {
            Err(problem) => {
                state.violation = Some(Invariant::Durable.violated(problem.to_string()));
            }
            Ok((fleet, out)) => {
                if self.stale_agent && state.agents.len() == 1 {
                    state.agents.push(last);
                }
                let agent = state.newest_agent();
                self.commit(state, agent, fleet, out);
            }
        }
    }

    /// A process is killed and started again, with the state that it persisted or with none.
    pub(super) fn kill_instance(
        &self,
        state: &mut ModelState,
        at: usize,
        keeps_memory: bool,
        resets_incarnation: bool,
    ) {
        let former = Arc::clone(&state.processes[at].value);
        let former_who = former.machine.id();
        state.starts[former.name] += 1;
        let incarnation = if resets_incarnation {
            1
        } else {
            former_who.incarnation + 1
        };
        let (memory, obeyed_term) = if keeps_memory {
            (former.memory.clone(), former.obeyed_term)
        } else {
            (PersistedInstance::default(), 0)
        };
        let start = state.starts[former.name];
        let mut process = Process::new(former.name, start, incarnation, memory);
        process.obeyed_term = obeyed_term;
        // Messages to the former start were sent over a connection that is gone.
        state.in_transit.remove(&Channel {
            process: at,
            is_to_agent: false,
        });
        state.late.retain(|packet, _| {
            let is_lost = matches!(packet, Packet::ToInstance { .. })
                && packet.start() == former_who.start
                && packet.name() == former.name;
            !is_lost
        });
        state.processes[at] = process.hashed();
    }
}

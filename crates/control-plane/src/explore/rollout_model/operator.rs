//! The commands of operators.

use super::RolloutModel;
use super::state::{AcceptedChange, ModelState};
use crate::change::Change;
use crate::explore::Invariant;
use crate::explore::fixture::now;
use crate::{Accepted, Author, Fleet, FleetOutput};

impl RolloutModel {
    /// An operator pushes a change, perhaps again.
    pub(super) fn push(&self, state: &mut ModelState, change: usize, base: u64) {
        let document = self.pushed_document(state, change, base);
        let agent = state.newest_agent();
        let mut fleet = (*state.agents[agent].fleet).clone();
        let (result, out) = fleet.push(now(), document.clone(), Author::default());
        self.commit(state, agent, fleet, out);
        if let Ok(accepted) = result {
            record_acceptance(state, change, &accepted);
            state.pushed[change] = Some(document);
        }
    }

    /// An operator pushes a change; the messages are sent, and the agent is killed before its records are durable.
    pub(super) fn push_without_save(&self, state: &mut ModelState, change: usize) {
        let base = self.newest_fleet(state).newest_revision();
        let document = self.pushed_document(state, change, base);
        let mut fleet = self.newest_fleet(state).clone();
        let (_, out) = fleet.push(now(), document, Author::default());
        self.send_to_instances(state, out.messages);
    }

    /// The document of a change: the one that was pushed before, or a new one.
    fn pushed_document(&self, state: &ModelState, change: usize, base: u64) -> Change {
        state.pushed[change]
            .clone()
            .unwrap_or_else(|| self.change(change, base))
    }

    /// An operator stops a change.
    pub(super) fn stop(&self, state: &mut ModelState, change: usize) {
        self.command(state, |fleet| {
            fleet
                .stop(now(), &format!("c{change}"), &Author::default())
                .1
        });
    }

    /// An operator undoes a change.
    pub(super) fn undo(&self, state: &mut ModelState, change: usize) {
        self.command(state, |fleet| {
            fleet
                .undo(now(), &format!("c{change}"), Author::default())
                .1
        });
    }

    fn command(&self, state: &mut ModelState, command: impl FnOnce(&mut Fleet) -> FleetOutput) {
        let agent = state.newest_agent();
        let mut fleet = (*state.agents[agent].fleet).clone();
        let out = command(&mut fleet);
        self.commit(state, agent, fleet, out);
    }
}

/// Records that a change was accepted, and checks that a repeated push has the same result.
fn record_acceptance(state: &mut ModelState, change: usize, accepted: &Accepted) {
    let revision = accepted.revision;
    match state.acceptance(change) {
        None => state.accepted.push(AcceptedChange { change, revision }),
        Some(former) if former.revision != revision => {
            let details = format!("change {change} was accepted twice, as different revisions");
            state.violation = Some(Invariant::Durable.violated(details));
        }
        Some(_) => {}
    }
}

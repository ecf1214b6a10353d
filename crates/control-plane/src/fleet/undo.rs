//! Operators stop rollouts and undo changes.

use super::push::impossible;
use super::rejection::{Accepted, Rejection};
use super::{Fleet, FleetOutput, Time};
use crate::author::Author;
use crate::bounds::MAX_NAME_BYTES;
use crate::change::{Change, Operation};
use crate::policy::{FailureAction, RolloutPolicy};
use crate::rollout::RolloutResult;
use crate::selector::Selector;

impl Fleet {
    /// Stops a rollout: instances that have the change keep it. Nothing has changed where that is rejected.
    pub fn stop(
        &mut self,
        time: Time,
        id: &str,
        by: &Author,
    ) -> (Result<Accepted, Rejection>, FleetOutput) {
        let mut out = FleetOutput::default();
        (self.try_stop(time, id, by, &mut out), out)
    }

    fn try_stop(
        &mut self,
        time: Time,
        id: &str,
        by: &Author,
        out: &mut FleetOutput,
    ) -> Result<Accepted, Rejection> {
        self.require_not_superseded()?;
        let Some(rollout) = self
            .rollout
            .as_mut()
            .filter(|rollout| rollout.change.id == id)
        else {
            return Err(match self.find_change(id) {
                Some(_) => Rejection::Impossible(format!("{id} has ended; undo it if it is to go")),
                None => Rejection::Impossible(format!("no change {id} is known")),
            });
        };
        if rollout.is_undo() {
            return Err(Rejection::Impossible(format!(
                "{id} takes a change back, which is not stopped halfway; push that change anew instead"
            )));
        }
        let has_stopped = rollout.stop(format!("stopped by {}", by.name));
        let accepted = Accepted {
            id: id.to_string(),
            revision: rollout.revision,
            repeat: !has_stopped,
        };
        self.advance(time, out);
        Ok(accepted)
    }

    /// Undoes a change that is being rolled out or is in effect. Nothing has changed where that is rejected.
    pub fn undo(
        &mut self,
        time: Time,
        id: &str,
        by: Author,
    ) -> (Result<Accepted, Rejection>, FleetOutput) {
        let mut out = FleetOutput::default();
        (self.try_undo(time, id, by, &mut out), out)
    }

    fn try_undo(
        &mut self,
        time: Time,
        id: &str,
        by: Author,
        out: &mut FleetOutput,
    ) -> Result<Accepted, Rejection> {
        self.require_not_superseded()?;
        if let Some(result) = self.undo_rollout(time, id, &by, out) {
            return result;
        }
        if let Some(accepted) = self.find_undo(id) {
            return Ok(accepted);
        }
        self.layers
            .undoable(id)
            .map_err(|error| impossible(&error))?;
        let change = self.undo_change(id);
        self.begin_rollout(time, change, by, out)
    }

    /// Rolls back the rollout under way; none where it is not that of the change.
    fn undo_rollout(
        &mut self,
        time: Time,
        id: &str,
        by: &Author,
        out: &mut FleetOutput,
    ) -> Option<Result<Accepted, Rejection>> {
        let rollout = self
            .rollout
            .as_mut()
            .filter(|rollout| rollout.change.id == id)?;
        if rollout.is_undo() {
            return Some(Err(Rejection::Impossible(format!(
                "{id} takes a change back; push that one anew instead"
            ))));
        }
        let next_revision = self.newest_revision.saturating_add(1);
        let reason = format!("taken back by {}", by.name);
        let has_begun = rollout.roll_back(time.now, next_revision, reason);
        let revision = rollout.rollback_revision.unwrap_or(rollout.revision);
        if has_begun {
            self.newest_revision = next_revision;
            self.save_settled(out);
        }
        self.advance(time, out);
        Some(Ok(Accepted {
            id: id.to_string(),
            revision,
            repeat: !has_begun,
        }))
    }

    /// The undo of a change that is under way or has ended, if there is one.
    fn find_undo(&self, id: &str) -> Option<Accepted> {
        let undoes = |change: &Change| matches!(&change.operation, Operation::Undo(of) if of == id);
        let repeated = |change: &Change, revision: u64| Accepted {
            id: change.id.clone(),
            revision,
            repeat: true,
        };
        if let Some(rollout) = &self.rollout
            && undoes(&rollout.change)
        {
            return Some(repeated(&rollout.change, rollout.revision));
        }
        let newest = self
            .history
            .iter()
            .rev()
            .find(|entry| entry.change.id == id || undoes(&entry.change))?;
        let is_undone = newest.result == RolloutResult::RolledBack || undoes(&newest.change);
        is_undone.then(|| {
            let revision = newest.rollback_revision.unwrap_or(newest.revision);
            repeated(&newest.change, revision)
        })
    }

    /// The change that undoes another one, on all instances at once.
    fn undo_change(&self, id: &str) -> Change {
        let next_revision = self.newest_revision.saturating_add(1);
        Change {
            id: format!("undo-{next_revision}-{id}")
                .chars()
                .take(MAX_NAME_BYTES)
                .collect(),
            base: self.newest_revision,
            note: String::new(),
            select: Selector::default(),
            rollout: RolloutPolicy {
                stages: Vec::new(),
                max_in_flight: u32::MAX,
                stage_pause: 0,
                max_failures: u32::MAX,
                on_failure: FailureAction::Stop,
                gate: None,
                ..RolloutPolicy::default()
            },
            operation: Operation::Undo(id.to_string()),
        }
    }
}

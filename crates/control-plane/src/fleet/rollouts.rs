//! The rollout under way: it is advanced, persisted, and finished once it has ended.

use super::event::FleetEvent;
use super::record::{HistoryEntry, ROLLOUT_KEY, Record, SETTLED_KEY, history_key, target_key};
use super::{Fleet, FleetOutput, MAX_HISTORY, MAX_REMEMBERED_RESULTS, Time};
use crate::change::{Change, Operation};
use crate::layers::Layer;
use crate::membership::MemberState;
use crate::rollout::{Phase, Rollout, RolloutResult, Target, TargetState, Unsaved};
use crate::selector::Selector;
use std::collections::BTreeMap;

impl Fleet {
    /// Advances the rollout, and sends the orders that have become due.
    pub(super) fn advance(&mut self, time: Time, out: &mut FleetOutput) {
        if self.superseded_by.is_some() {
            return;
        }
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let (membership, instances) = (&self.membership, &self.instances);
        let counts_of_alive = |name: &str| {
            let member = membership.get(name)?;
            let instance = instances.get(name)?;
            (member.state == MemberState::Alive).then_some(instance.counts)
        };
        let next_revision = self.newest_revision.saturating_add(1);
        if rollout.advance(time.now, next_revision, &counts_of_alive) {
            self.newest_revision = next_revision;
            self.save_settled(out);
        }
        self.persist_rollout(time, out);
    }

    /// Saves the newest revision and the layers in effect.
    pub(super) fn save_settled(&self, out: &mut FleetOutput) {
        let record = Record::Settled(self.newest_revision, self.layers.clone());
        out.save(SETTLED_KEY, record);
    }

    /// Persists what has changed of the rollout, finishes it where it has ended, and sends the orders that are due.
    fn persist_rollout(&mut self, time: Time, out: &mut FleetOutput) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let unsaved = std::mem::take(&mut rollout.unsaved);
        save_rollout(rollout, &unsaved, out);
        if self.reported_phase != Some(rollout.phase) {
            self.reported_phase = Some(rollout.phase);
            out.events.push(FleetEvent::Rollout {
                change: rollout.change.id.clone(),
                phase: rollout.phase,
                reason: rollout.reason.clone(),
            });
        }
        let concerns_all =
            unsaved.head && matches!(rollout.phase, Phase::RollingBack | Phase::Ended(_));
        let names: Vec<String> = if concerns_all {
            rollout.targets.keys().cloned().collect()
        } else {
            unsaved.targets.into_iter().collect()
        };
        if let Phase::Ended(result) = rollout.phase {
            self.finish_rollout(time, result, out);
        }
        for name in names {
            self.send_order(&name, out);
        }
    }

    /// Moves the rollout that has ended into the history, and puts its change into effect.
    fn finish_rollout(&mut self, time: Time, result: RolloutResult, out: &mut FleetOutput) {
        let Some(rollout) = self.rollout.take() else {
            return;
        };
        self.reported_phase = None;
        self.settle(&rollout, result);
        if let Some(fleet_limits) = &mut self.fleet_limits {
            fleet_limits.apply_layers(time.now, &self.layers);
        }
        out.delete(ROLLOUT_KEY);
        self.save_settled(out);
        let entry = HistoryEntry {
            change: rollout.change,
            revision: rollout.revision,
            rollback_revision: rollout.rollback_revision,
            by: rollout.by,
            result,
            reason: rollout.reason,
            ended_at: time.wall,
        };
        self.remember(entry, rollout.targets, out);
    }

    /// Puts the change of a rollout that has ended into the layers, as far as it is in effect.
    fn settle(&mut self, rollout: &Rollout, result: RolloutResult) {
        let Rollout {
            change, revision, ..
        } = rollout;
        let select = match (&change.operation, result) {
            (Operation::Undo(id), RolloutResult::Completed) => {
                self.layers = self.layers.without(id);
                return;
            }
            // An undo is neither stopped nor undone.
            (Operation::Undo(_), _) | (Operation::Set(_), RolloutResult::RolledBack) => return,
            (Operation::Set(_), RolloutResult::Completed) => change.select.clone(),
            (Operation::Set(_), RolloutResult::Stopped) => {
                let names = names_with_change(&rollout.targets);
                if names.is_empty() {
                    // A selector without names would match all instances.
                    return;
                }
                Selector::named(names)
            }
        };
        self.add_layer(change, *revision, select);
    }

    fn add_layer(&mut self, change: &Change, revision: u64, select: Selector) {
        if let Operation::Set(edits) = &change.operation {
            self.layers.add(Layer {
                revision,
                id: change.id.clone(),
                select,
                edits: edits.clone(),
            });
        }
    }

    /// Adds a change to the history, and drops the oldest entry and results beyond the bounds.
    fn remember(
        &mut self,
        entry: HistoryEntry,
        targets: BTreeMap<String, Target>,
        out: &mut FleetOutput,
    ) {
        out.save(
            history_key(entry.revision),
            Record::HistoryEntry(Box::new(entry.clone())),
        );
        self.results.insert(entry.revision, targets);
        self.history.push_back(entry);
        if self.results.len() > MAX_REMEMBERED_RESULTS
            && let Some((revision, targets)) = self.results.pop_first()
        {
            for name in targets.keys() {
                out.delete(target_key(revision, name));
            }
        }
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            out.delete(history_key(oldest.revision));
        }
    }
}

/// The names of the targets that have the change.
fn names_with_change(targets: &BTreeMap<String, Target>) -> Vec<String> {
    targets
        .iter()
        .filter(|(_, target)| target.state == TargetState::Applied)
        .map(|(name, _)| name.clone())
        .collect()
}

/// Saves the parts of a rollout that have changed.
fn save_rollout(rollout: &Rollout, unsaved: &Unsaved, out: &mut FleetOutput) {
    for name in &unsaved.targets {
        if let Some(target) = rollout.targets.get(name) {
            let persisted = Target {
                deadline: None,
                ..target.clone()
            };
            out.save(
                target_key(rollout.revision, name),
                Record::Target(persisted),
            );
        }
    }
    if unsaved.head {
        out.save(ROLLOUT_KEY, Record::Rollout(Box::new(rollout.head())));
    }
}

//! Changes that operators push.

use super::record::HistoryEntry;
use super::rejection::{Accepted, InterveningChange, Rejection, SupersededBy, describe_operation};
use super::{Fleet, FleetOutput, Time};
use crate::author::Author;
use crate::bounds::{MAX_LAYERS, MAX_SETTINGS};
use crate::change::{Change, Operation};
use crate::health_gate::RequestCounts;
use crate::membership::{Member, MemberState};
use crate::rollout::Rollout;
use crate::selector::Selector;
use crate::settings::{Edits, Key};
use crate::{Error, Problem};
use std::collections::BTreeMap;

/// The request counts of all instances when a rollout begins.
struct RolloutGroups {
    /// Those of the instances that the change is for.
    selected: BTreeMap<String, RequestCounts>,
    /// Those of all others.
    others: BTreeMap<String, RequestCounts>,
}

pub(super) fn impossible(error: &Error) -> Rejection {
    Rejection::Impossible(error.to_string())
}

impl Fleet {
    /// Pushes a change. Its id names it permanently, and it must have been made on the newest revision. Nothing has
    /// changed where it is rejected.
    pub fn push(
        &mut self,
        time: Time,
        change: Change,
        by: Author,
    ) -> (Result<Accepted, Rejection>, FleetOutput) {
        let mut out = FleetOutput::default();
        let result = self.try_push(time, change, by, &mut out);
        (result, out)
    }

    fn try_push(
        &mut self,
        time: Time,
        change: Change,
        by: Author,
        out: &mut FleetOutput,
    ) -> Result<Accepted, Rejection> {
        if let Some((former, revision)) = self.find_change(&change.id) {
            return accept_repeat(former, revision, change);
        }
        self.require_not_superseded()?;
        let mut problems = change.check();
        if let Operation::Undo(_) = change.operation {
            problems.push(Problem {
                field: "what".into(),
                problem: "a change is undone by its id".into(),
            });
        }
        if !problems.is_empty() {
            return Err(Rejection::Invalid(problems));
        }
        if change.base != self.newest_revision {
            return Err(self.conflict(change.base));
        }
        self.begin_rollout(time, change, by, out)
    }

    /// Begins the rollout of a change, if none is under way.
    pub(super) fn begin_rollout(
        &mut self,
        time: Time,
        change: Change,
        by: Author,
        out: &mut FleetOutput,
    ) -> Result<Accepted, Rejection> {
        if let Operation::Set(edits) = &change.operation {
            self.check_fleet_limits(edits)?;
        }
        if let Some(rollout) = &self.rollout {
            return Err(Rejection::Busy {
                id: rollout.change.id.clone(),
                by: rollout.by.clone(),
            });
        }
        if self.layers.0.len() >= MAX_LAYERS {
            return Err(Rejection::Impossible(format!(
                "{MAX_LAYERS} changes are in effect one over the other; undo some, or push one for all instances that \
                 sets anew what they set"
            )));
        }
        let RolloutGroups { selected, others } = self.rollout_groups(&change)?;
        self.newest_revision = self.newest_revision.saturating_add(1);
        let accepted = Accepted {
            id: change.id.clone(),
            revision: self.newest_revision,
            repeat: false,
        };
        let rollout = Rollout::new(change, self.newest_revision, by, selected, others);
        self.rollout = Some(rollout);
        self.save_settled(out);
        self.advance(time, out);
        Ok(accepted)
    }

    /// Requires that the agent's file has the fleet-wide limits that a change sets.
    fn check_fleet_limits(&self, edits: &Edits) -> Result<(), Rejection> {
        let is_known = |limit: &str| {
            self.fleet_limits
                .as_ref()
                .is_some_and(|fleet_limits| fleet_limits.has_limit(limit))
        };
        let unknown: Vec<&str> = edits
            .keys()
            .filter_map(|key| match key {
                Key::Fleet { limit, .. } if !is_known(limit) => Some(limit.as_str()),
                _ => None,
            })
            .collect();
        if unknown.is_empty() {
            return Ok(());
        }
        Err(Rejection::Invalid(vec![Problem {
            field: "set".into(),
            problem: format!("the agent's file has no fleet limit {}", unknown.join(", ")),
        }]))
    }

    /// Divides the members into those that a change is for and all others.
    fn rollout_groups(&self, change: &Change) -> Result<RolloutGroups, Rejection> {
        let select = match &change.operation {
            Operation::Set(_) => &change.select,
            Operation::Undo(id) => self.undoable_selector(id)?,
        };
        let mut groups = RolloutGroups {
            selected: BTreeMap::new(),
            others: BTreeMap::new(),
        };
        let members = self
            .membership
            .iter()
            .filter(|(_, member)| member.state != MemberState::Gone);
        for (name, member) in members {
            let group = if select.matches(name, &member.attributes) {
                self.check_settings_count(name, member, &change.operation)?;
                &mut groups.selected
            } else {
                &mut groups.others
            };
            let instance = self.instances.get(name);
            let counts = instance.map(|instance| instance.counts).unwrap_or_default();
            group.insert(name.clone(), counts);
        }
        Ok(groups)
    }

    fn undoable_selector(&self, id: &str) -> Result<&Selector, Rejection> {
        let layer = self
            .layers
            .undoable(id)
            .map_err(|error| impossible(&error))?;
        Ok(&layer.select)
    }

    /// Requires that an instance does not get too many settings by a change.
    fn check_settings_count(
        &self,
        name: &str,
        member: &Member,
        operation: &Operation,
    ) -> Result<(), Rejection> {
        let Operation::Set(edits) = operation else {
            return Ok(());
        };
        let (mut overlay, _) = self.layers.overlay(name, &member.attributes);
        overlay.apply(edits);
        let count = overlay.0.len();
        if count > MAX_SETTINGS {
            return Err(Rejection::Impossible(format!(
                "{name} would have {count} settings; there are {MAX_SETTINGS} at most"
            )));
        }
        Ok(())
    }

    /// Requires that no later agent has taken over.
    pub(super) fn require_not_superseded(&self) -> Result<(), Rejection> {
        match self.superseded_by {
            Some(term) => Err(Rejection::Superseded(SupersededBy { term })),
            None => Ok(()),
        }
    }

    /// A change under way or in the history, with the revision that it made.
    pub(super) fn find_change(&self, id: &str) -> Option<(&Change, u64)> {
        let under_way = self
            .rollout
            .iter()
            .map(|rollout| (&rollout.change, rollout.revision));
        let ended = self
            .history
            .iter()
            .map(|entry| (&entry.change, entry.revision));
        under_way.chain(ended).find(|(change, _)| change.id == id)
    }

    /// The rejection of a change that was made on a revision which is not the newest.
    fn conflict(&self, base: u64) -> Rejection {
        let ended = self
            .history
            .iter()
            .filter(|entry| entry.rollback_revision.unwrap_or(entry.revision) > base)
            .map(intervening_entry);
        let under_way = self
            .rollout
            .iter()
            .filter(|rollout| rollout.rollback_revision.unwrap_or(rollout.revision) > base)
            .map(intervening_rollout);
        let since: Vec<InterveningChange> = ended.chain(under_way).collect();
        let oldest = since
            .first()
            .map_or(self.newest_revision + 1, |change| change.revision);
        Rejection::Conflict {
            base,
            newest: self.newest_revision,
            since,
            more: oldest > base.saturating_add(1),
        }
    }
}

/// Accepts a change that repeats an accepted one: it may differ in its base only.
fn accept_repeat(former: &Change, revision: u64, change: Change) -> Result<Accepted, Rejection> {
    let change = Change {
        base: former.base,
        ..change
    };
    if *former != change {
        return Err(Rejection::IdUsed { revision });
    }
    Ok(Accepted {
        id: change.id,
        revision,
        repeat: true,
    })
}

fn intervening_entry(entry: &HistoryEntry) -> InterveningChange {
    InterveningChange {
        revision: entry.revision,
        id: entry.change.id.clone(),
        by: entry.by.clone(),
        result: Some(entry.result),
        difference: describe_operation(&entry.change),
    }
}

fn intervening_rollout(rollout: &Rollout) -> InterveningChange {
    InterveningChange {
        revision: rollout.revision,
        id: rollout.change.id.clone(),
        by: rollout.by.clone(),
        result: None,
        difference: describe_operation(&rollout.change),
    }
}

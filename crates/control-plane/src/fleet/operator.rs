//! The commands of operators: push, stop and undo a change.

use super::declined::{Accepted, Declined, Since, StandDown, difference};
use super::record::{By, Record};
use super::{Fleet, Output, Time};
use crate::change::{Change, MOST_LAYERS, Policy, Selector, Then, What};
use crate::membership::Presence;
use crate::rollout::{End, Rollout};
use crate::settings::{Key, MOST_SETTINGS};
use crate::{Error, Problem};
use std::collections::BTreeMap;

fn impossible(error: Error) -> Declined {
    Declined::Impossible(error.to_string())
}

impl Fleet {
    /// Pushes a change. Its id names it permanently, and it must have been made on the newest revision.
    ///
    /// # Errors
    /// Why the change was not accepted; nothing has changed then.
    pub fn push(
        &mut self,
        time: Time,
        change: Change,
        by: By,
    ) -> (Result<Accepted, Declined>, Output) {
        let mut out = Output::default();
        let done = self.try_push(time, change, by, &mut out);
        (done, out)
    }

    fn try_push(
        &mut self,
        time: Time,
        change: Change,
        by: By,
        out: &mut Output,
    ) -> Result<Accepted, Declined> {
        if let Some((former, revision)) = self.find_change(&change.id) {
            // The same change on another base repeats a request that was accepted.
            if *former
                != (Change {
                    base: former.base,
                    ..change.clone()
                })
            {
                return Err(Declined::IdUsed { revision });
            }
            return Ok(Accepted {
                id: change.id,
                revision,
                repeat: true,
            });
        }
        if let Some(term) = self.stood_down {
            return Err(Declined::StoodDown(StandDown { term }));
        }
        let mut problems = change.check();
        if let What::Undo(_) = change.what {
            problems.push(Problem {
                field: "what".into(),
                problem: "a change is undone by its id".into(),
            });
        }
        if !problems.is_empty() {
            return Err(Declined::Invalid(problems));
        }
        if change.base != self.newest {
            return Err(self.conflict(change.base));
        }
        self.begin(time, change, by, out)
    }

    fn begin(
        &mut self,
        time: Time,
        change: Change,
        by: By,
        out: &mut Output,
    ) -> Result<Accepted, Declined> {
        if let What::Set(edits) = &change.what {
            let known = |limit: &str| {
                self.fleet_limits
                    .as_ref()
                    .is_some_and(|fleet_limits| fleet_limits.has_limit(limit))
            };
            let unknown: Vec<&str> = edits
                .keys()
                .filter_map(|key| match key {
                    Key::Fleet { limit, .. } if !known(limit) => Some(limit.as_str()),
                    _ => None,
                })
                .collect();
            if !unknown.is_empty() {
                let field = "set".into();
                let problem = format!("the agent's file has no fleet limit {}", unknown.join(", "));
                return Err(Declined::Invalid(vec![Problem { field, problem }]));
            }
        }
        if let Some(rollout) = &self.rollout {
            return Err(Declined::Busy {
                id: rollout.change.id.clone(),
                by: rollout.by.clone(),
            });
        }
        if self.layers.0.len() >= MOST_LAYERS {
            let why = format!(
                "{MOST_LAYERS} changes are in effect one over the other; undo some, or push one for all instances that \
                 sets anew what they set"
            );
            return Err(Declined::Impossible(why));
        }
        let select = match &change.what {
            What::Set(_) => &change.select,
            What::Undo(id) => &self.layers.undoable(id).map_err(impossible)?.select,
        };
        let (mut chosen, mut others) = (BTreeMap::new(), BTreeMap::new());
        for (name, member) in self
            .membership
            .iter()
            .filter(|(_, member)| member.presence != Presence::Gone)
        {
            let counts = self
                .instances
                .get(name)
                .map(|instance| instance.counts)
                .unwrap_or_default();
            if let What::Set(edits) = &change.what
                && select.matches(name, &member.traits)
            {
                let mut overlay = self.layers.overlay(name, &member.traits).0;
                overlay.apply(edits);
                if overlay.0.len() > MOST_SETTINGS {
                    let why = format!(
                        "{name} would have {} settings; there are {MOST_SETTINGS} at most",
                        overlay.0.len()
                    );
                    return Err(Declined::Impossible(why));
                }
            }
            let group = if select.matches(name, &member.traits) {
                &mut chosen
            } else {
                &mut others
            };
            group.insert(name.clone(), counts);
        }
        self.newest = self.newest.saturating_add(1);
        let accepted = Accepted {
            id: change.id.clone(),
            revision: self.newest,
            repeat: false,
        };
        self.rollout = Some(Rollout::new(change, self.newest, by, chosen, others));
        out.saves.insert(
            "settled".into(),
            Some(Record::Settled(self.newest, self.layers.clone())),
        );
        self.advance(time, out);
        Ok(accepted)
    }

    /// Stops a rollout: instances that have the change keep it.
    pub fn stop(&mut self, time: Time, id: &str, by: &By) -> (Result<Accepted, Declined>, Output) {
        let mut out = Output::default();
        (self.try_stop(time, id, by, &mut out), out)
    }

    fn try_stop(
        &mut self,
        time: Time,
        id: &str,
        by: &By,
        out: &mut Output,
    ) -> Result<Accepted, Declined> {
        if let Some(term) = self.stood_down {
            return Err(Declined::StoodDown(StandDown { term }));
        }
        let Some(rollout) = self
            .rollout
            .as_mut()
            .filter(|rollout| rollout.change.id == id)
        else {
            return Err(match self.find_change(id) {
                Some(_) => Declined::Impossible(format!("{id} has ended; undo it if it is to go")),
                None => Declined::Impossible(format!("no change {id} is known")),
            });
        };
        if rollout.is_undo() {
            let why = format!(
                "{id} takes a change back, which is not stopped halfway; push that change anew instead"
            );
            return Err(Declined::Impossible(why));
        }
        let repeat = !rollout.stop(format!("stopped by {}", by.who));
        let accepted = Accepted {
            id: id.to_string(),
            revision: rollout.revision,
            repeat,
        };
        self.advance(time, out);
        Ok(accepted)
    }

    /// Undoes a change that is being rolled out or is in effect.
    pub fn undo(&mut self, time: Time, id: &str, by: By) -> (Result<Accepted, Declined>, Output) {
        let mut out = Output::default();
        (self.try_undo(time, id, by, &mut out), out)
    }

    fn try_undo(
        &mut self,
        time: Time,
        id: &str,
        by: By,
        out: &mut Output,
    ) -> Result<Accepted, Declined> {
        if let Some(term) = self.stood_down {
            return Err(Declined::StoodDown(StandDown { term }));
        }
        if let Some(rollout) = self
            .rollout
            .as_mut()
            .filter(|rollout| rollout.change.id == id)
        {
            if rollout.is_undo() {
                return Err(Declined::Impossible(format!(
                    "{id} takes a change back; push that one anew instead"
                )));
            }
            let next = self.newest.saturating_add(1);
            let taken = rollout.take_back(time.now, next, format!("taken back by {}", by.who));
            let revision = rollout.back_revision.unwrap_or(rollout.revision);
            if taken {
                self.newest = next;
                out.saves.insert(
                    "settled".into(),
                    Some(Record::Settled(self.newest, self.layers.clone())),
                );
            }
            self.advance(time, out);
            return Ok(Accepted {
                id: id.to_string(),
                revision,
                repeat: !taken,
            });
        }
        let undone = |what: &What| matches!(what, What::Undo(of) if of == id);
        if let Some(rollout) = self
            .rollout
            .as_ref()
            .filter(|rollout| undone(&rollout.change.what))
        {
            let Rollout {
                change, revision, ..
            } = rollout;
            return Ok(Accepted {
                id: change.id.clone(),
                revision: *revision,
                repeat: true,
            });
        }
        let former = self
            .history
            .iter()
            .rev()
            .find(|entry| entry.change.id == id || undone(&entry.change.what));
        if let Some(entry) = former
            && (entry.end == End::TakenBack || undone(&entry.change.what))
        {
            let revision = entry.back_revision.unwrap_or(entry.revision);
            return Ok(Accepted {
                id: entry.change.id.clone(),
                revision,
                repeat: true,
            });
        }
        self.layers.undoable(id).map_err(impossible)?;
        let policy = Policy {
            waves: Vec::new(),
            at_once: u32::MAX,
            pause: 0,
            failures: u32::MAX,
            then: Then::Stop,
            gate: None,
            ..Policy::default()
        };
        let change = Change {
            id: format!("undo-{}-{id}", self.newest.saturating_add(1))
                .chars()
                .take(crate::settings::LONGEST_NAME)
                .collect(),
            base: self.newest,
            note: String::new(),
            select: Selector::default(),
            rollout: policy,
            what: What::Undo(id.to_string()),
        };
        self.begin(time, change, by, out)
    }

    fn find_change(&self, id: &str) -> Option<(&Change, u64)> {
        let rollout = self
            .rollout
            .iter()
            .map(|rollout| (&rollout.change, rollout.revision));
        let history = self
            .history
            .iter()
            .map(|entry| (&entry.change, entry.revision));
        rollout.chain(history).find(|(change, _)| change.id == id)
    }

    fn conflict(&self, base: u64) -> Declined {
        let ended = self
            .history
            .iter()
            .map(|e| (&e.change, e.revision, e.back_revision, &e.by, Some(e.end)));
        let under_way = self
            .rollout
            .iter()
            .map(|r| (&r.change, r.revision, r.back_revision, &r.by, None));
        let since: Vec<Since> = ended
            .chain(under_way)
            .filter(|(_, revision, back, ..)| back.unwrap_or(*revision) > base)
            .map(|(change, revision, _, by, end)| {
                let (id, by) = (change.id.clone(), by.clone());
                Since {
                    revision,
                    id,
                    by,
                    end,
                    difference: difference(change),
                }
            })
            .collect();
        let oldest = since
            .first()
            .map_or(self.newest + 1, |since| since.revision);
        let more = oldest > base.saturating_add(1);
        Declined::Conflict {
            base,
            newest: self.newest,
            since,
            more,
        }
    }
}

//! The rollout under way: it is advanced, persisted, and finished once it has ended.

use super::note::Note;
use super::record::{Entry, Record};
use super::{Fleet, HISTORY, Output, RESULTS, Time};
use crate::change::{Layer, Selector, What};
use crate::membership::Presence;
use crate::rollout::{End, Phase, Rollout, Step, Target};

impl Fleet {
    /// Advances the rollout, and sends the orders that have become due.
    pub(super) fn advance(&mut self, time: Time, out: &mut Output) {
        if self.stood_down.is_some() {
            return;
        }
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let (membership, instances) = (&self.membership, &self.instances);
        let counts = |name: &str| {
            let alive = membership
                .get(name)
                .is_some_and(|member| member.presence == Presence::Alive);
            instances
                .get(name)
                .filter(|_| alive)
                .map(|instance| instance.counts)
        };
        if rollout.advance(time.now, self.newest.saturating_add(1), &counts) {
            self.newest = self.newest.saturating_add(1);
            out.saves.insert(
                "settled".into(),
                Some(Record::Settled(self.newest, self.layers.clone())),
            );
        }
        self.persist_rollout(time, out);
    }

    /// Persists what has changed of the rollout, finishes it where it has ended, and sends the orders that are due.
    fn persist_rollout(&mut self, time: Time, out: &mut Output) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let unsaved = std::mem::take(&mut rollout.unsaved);
        for name in &unsaved.targets {
            if let Some(target) = rollout.targets.get(name) {
                let key = format!("target/{:020}/{name}", rollout.revision);
                out.saves.insert(
                    key,
                    Some(Record::Target(Target {
                        until: None,
                        ..target.clone()
                    })),
                );
            }
        }
        if unsaved.head {
            out.saves.insert(
                "rollout".into(),
                Some(Record::Rollout(Box::new(rollout.head()))),
            );
        }
        if self.noted_phase != Some(rollout.phase) {
            self.noted_phase = Some(rollout.phase);
            out.notes.push(Note::Rollout(
                rollout.change.id.clone(),
                rollout.phase,
                rollout.why.clone(),
            ));
        }
        let names: Vec<String> =
            if unsaved.head && matches!(rollout.phase, Phase::Back | Phase::Ended(_)) {
                rollout.targets.keys().cloned().collect()
            } else {
                unsaved.targets.into_iter().collect()
            };
        if let Phase::Ended(end) = rollout.phase {
            self.finish_rollout(time, end, out);
        }
        for name in names {
            self.send_order(&name, out);
        }
    }

    fn finish_rollout(&mut self, time: Time, end: End, out: &mut Output) {
        let Some(rollout) = self.rollout.take() else {
            return;
        };
        self.noted_phase = None;
        let Rollout {
            change,
            revision,
            back_revision,
            by,
            why,
            targets,
            ..
        } = rollout;
        match (&change.what, end) {
            (What::Set(edits), End::Done | End::Stopped) => {
                let applied = |target: &Target| target.step == Step::Applied;
                let select = match end {
                    End::Done => change.select.clone(),
                    _ => Selector::named(
                        targets
                            .iter()
                            .filter(|(_, t)| applied(t))
                            .map(|(name, _)| name.clone()),
                    ),
                };
                // No instance has it: a selector without names would match all.
                if end == End::Done || !select.names.is_empty() {
                    self.layers.add(Layer {
                        revision,
                        id: change.id.clone(),
                        select,
                        edits: edits.clone(),
                    });
                }
            }
            (What::Undo(id), End::Done) => self.layers = self.layers.without(id),
            // An undo is neither stopped nor undone.
            (What::Undo(_), _) | (What::Set(_), End::TakenBack) => {}
        }
        if let Some(fleet_limits) = &mut self.fleet_limits {
            fleet_limits.apply_layers(time.now, &self.layers);
        }
        let entry = Entry {
            change,
            revision,
            back_revision,
            by,
            end,
            why,
            ended: time.wall,
        };
        out.saves.insert("rollout".into(), None);
        out.saves.insert(
            "settled".into(),
            Some(Record::Settled(self.newest, self.layers.clone())),
        );
        out.saves.insert(
            format!("entry/{revision:020}"),
            Some(Record::Entry(Box::new(entry.clone()))),
        );
        self.results.insert(revision, targets);
        self.history.push_back(entry);
        if self.results.len() > RESULTS
            && let Some((revision, targets)) = self.results.pop_first()
        {
            out.saves.extend(
                targets
                    .into_keys()
                    .map(|name| (format!("target/{revision:020}/{name}"), None)),
            );
        }
        if self.history.len() > HISTORY
            && let Some(entry) = self.history.pop_front()
        {
            out.saves
                .insert(format!("entry/{:020}", entry.revision), None);
        }
    }
}

//! The invariants of a state, and of a state at rest.

use super::RolloutModel;
use super::state::{ModelState, Process};
use crate::change::What;
use crate::membership::Presence;
use crate::protocol::{Outcome, Stamp};
use crate::rollout::{End, Reason, Step as TargetStep};
use crate::{Fleet, Session};

impl RolloutModel {
    pub(super) fn fleet<'w>(&self, state: &'w ModelState) -> &'w Fleet {
        let last = state.agents.len() - 1;
        &state.agents[last].fleet
    }

    /// Checks the invariants of every state.
    pub(super) fn check_state(&self, state: &ModelState) -> Result<(), String> {
        if let Some(violation) = &state.violation {
            return Err(violation.clone());
        }
        let fleet = self.fleet(state);
        let possible = self.possible.get_or_init(|| self.all_possible());
        for process in state.processes.iter().map(|process| &process.value) {
            let who = process.machine.who();
            let start = who.start;
            if process.effective != process.machine.overlay().0 {
                return Err(format!(
                    "whole: start {start} says that it has what is not in effect"
                ));
            }
            if !possible
                .iter()
                .any(|overlay| overlay.0 == process.effective)
            {
                return Err(format!("whole: start {start} has half of a change"));
            }
            let revision = process.machine.overlay().0.len() as u64;
            if revision > 0 && process.memory.revision > fleet.newest() && !self.stale_agent {
                let revision = process.memory.revision;
                return Err(format!(
                    "lasting: start {start} has revision {revision}, which the agent does not know"
                ));
            }
            let in_session = |other: &Process| {
                other.name == process.name
                    && other.machine.session() == Session::In
                    && other.machine.who().incarnation == who.incarnation
            };
            if in_session(process)
                && state
                    .processes
                    .iter()
                    .filter(|other| in_session(&other.value))
                    .count()
                    > 1
            {
                return Err(format!(
                    "one name: two processes are {} under incarnation {}",
                    who.name, who.incarnation
                ));
            }
            self.check_record(fleet, process)?;
        }
        if let Some(rollout) = fleet.rollout() {
            let sent = rollout
                .targets
                .values()
                .filter(|target| target.step == TargetStep::Sent)
                .count();
            if sent > self.at_once as usize {
                return Err(format!("waves: {sent} instances are under way at once"));
            }
            let through = |wave: u32| {
                rollout
                    .targets
                    .values()
                    .all(|t| t.wave > wave || t.step.is_final())
            };
            let begun = |t: &crate::rollout::Target| {
                !matches!(
                    t.step,
                    TargetStep::Pending | TargetStep::Failed(Reason::NotReached)
                )
            };
            if rollout
                .targets
                .values()
                .any(|t| t.wave > 0 && begun(t) && !through(t.wave - 1))
            {
                return Err("waves: a wave has begun before the one before it was through".into());
            }
        }
        for (change, revision) in &state.accepted {
            let id = format!("c{change}");
            let under_way = fleet
                .rollout()
                .map(|rollout| (&rollout.change.id, rollout.revision));
            let mut known = fleet
                .history()
                .map(|entry| (&entry.change.id, entry.revision))
                .chain(under_way);
            if !known.any(|known| known == (&id, *revision)) {
                return Err(format!(
                    "lasting: {id} was accepted as revision {revision} and is not known"
                ));
            }
        }
        Ok(())
    }

    /// Checks that the agent's record of an answer agrees with the instance.
    fn check_record(&self, fleet: &Fleet, process: &Process) -> Result<(), String> {
        let who = process.machine.who();
        let holder = fleet
            .membership()
            .get(&who.name)
            .filter(|member| member.start == who.start);
        let line = fleet.line(&who.name).filter(|_| holder.is_some());
        let Some((line, outcome)) = line.and_then(|line| Some((line, line.answer.as_ref()?)))
        else {
            return Ok(());
        };
        let stamp = Stamp {
            term: fleet.term(),
            number: line.number,
        };
        let said = process
            .machine
            .answer()
            .filter(|answer| answer.stamp == stamp);
        let Some(said) = said else {
            let has = process.machine.stamp();
            return Err(format!(
                "true: the agent has recorded that {} {outcome:?} order {stamp:?}, which it has never met: it is at {has:?}",
                who.name
            ));
        };
        let held =
            *outcome != Outcome::Applied || process.machine.holding().overlay == said.overlay;
        if said.outcome != *outcome || !held {
            return Err(format!(
                "true: the agent has recorded {outcome:?} of {}, which made otherwise of it",
                who.name
            ));
        }
        Ok(())
    }

    /// Whether the state is at rest; if it is, whether it is the desired one.
    pub(super) fn rest(&self, state: &ModelState) -> Option<Result<(), String>> {
        let fleet = self.fleet(state);
        if fleet.rollout().is_some() {
            return None;
        }
        for process in state.processes.iter().map(|process| &process.value) {
            let who = process.machine.who();
            let member = fleet
                .membership()
                .get(&who.name)
                .filter(|m| m.presence == Presence::Alive)?;
            if process.in_progress.is_some() {
                return None;
            }
            if member.start != who.start {
                // Another process holds the name, and this one knows it.
                let holder = |other: &Process| other.machine.who().start == member.start;
                let held = state.processes.iter().any(|other| holder(&other.value));
                if held && process.machine.session() != Session::In {
                    continue;
                }
                return None;
            }
            let line = fleet.line(&who.name)?;
            if process.machine.session() != Session::In
                || !fleet.in_line(&who.name)? && !matches!(line.answer, Some(Outcome::Refused(_)))
                || line.holding.overlay != process.machine.holding().overlay
            {
                return None;
            }
        }
        Some(self.check_rest(state, fleet))
    }

    fn check_rest(&self, state: &ModelState, fleet: &Fleet) -> Result<(), String> {
        for entry in fleet.history() {
            let targets = fleet.results(entry.revision).cloned().unwrap_or_default();
            if let Some((name, target)) = targets.iter().find(|(_, target)| !target.step.is_final())
            {
                return Err(format!(
                    "rest: {} has ended, {name} is {}",
                    entry.change.id, target.step
                ));
            }
        }
        let Some(last) = fleet.history().last() else {
            return Ok(());
        };
        let What::Set(edits) = &last.change.what else {
            return Ok(());
        };
        let targets = fleet.results(last.revision).cloned().unwrap_or_default();
        for process in state.processes.iter().map(|process| &process.value) {
            let who = process.machine.who();
            let has = edits
                .iter()
                .all(|(key, value)| process.effective.get(key) == value.as_ref());
            let holder = fleet
                .membership()
                .get(&who.name)
                .is_some_and(|member| member.start == who.start);
            let Some(target) = targets.get(&who.name).filter(|_| holder) else {
                continue;
            };
            let refused = matches!(
                fleet.line(&who.name).and_then(|l| l.answer.as_ref()),
                Some(Outcome::Refused(_))
            );
            if last.end == End::TakenBack && has {
                return Err(format!(
                    "rest: {} was taken back and {} still has it",
                    last.change.id, who.name
                ));
            }
            if last.end != End::TakenBack && target.step == TargetStep::Applied && !has && !refused
            {
                return Err(format!(
                    "rest: {} is recorded as applied and {} does not have it",
                    last.change.id, who.name
                ));
            }
            if matches!(target.step, TargetStep::Refused(_)) && has {
                return Err(format!(
                    "rest: {} is recorded as refused and {} has it",
                    last.change.id, who.name
                ));
            }
        }
        Ok(())
    }
}

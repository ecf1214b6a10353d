//! States at rest, in which a fair continuation changes nothing any more, and their invariants.

use super::RolloutModel;
use super::process::Process;
use super::state::ModelState;
use crate::change::Operation;
use crate::explore::{Invariant, InvariantViolation};
use crate::membership::MemberState;
use crate::protocol::Outcome;
use crate::rollout::{RolloutResult, Target, TargetState};
use crate::settings::Edits;
use crate::{Fleet, HistoryEntry, Session};

impl RolloutModel {
    /// `None` where the state is not at rest; otherwise whether it is the desired one.
    pub(super) fn check_at_rest(
        &self,
        state: &ModelState,
    ) -> Option<Result<(), InvariantViolation>> {
        let fleet = self.newest_fleet(state);
        let mut processes = state.processes.iter().map(|process| &process.value);
        let is_at_rest = fleet.rollout().is_none()
            && processes.all(|process| is_settled(state, fleet, process).unwrap_or(false));
        is_at_rest.then(|| check_desired_state(state, fleet))
    }
}

/// Whether nothing remains to be done about a process; `None` where the agent does not know its name.
fn is_settled(state: &ModelState, fleet: &Fleet, process: &Process) -> Option<bool> {
    let who = process.machine.id();
    let member = fleet.membership().get(&who.name)?;
    if member.state != MemberState::Alive || process.in_progress.is_some() {
        return Some(false);
    }
    let has_session = process.machine.session() == Session::Registered;
    if member.start != who.start {
        // Another process holds the name, and this one knows it.
        let holder_exists = state
            .processes
            .iter()
            .any(|other| other.value.machine.id().start == member.start);
        return Some(holder_exists && !has_session);
    }
    let record = fleet.instance(&who.name)?;
    let has_refused = matches!(record.outcome, Some(Outcome::Refused(_)));
    let is_current = fleet.has_converged(&who.name)? || has_refused;
    let record_is_current = record.applied.fingerprint == process.machine.applied().fingerprint;
    Some(has_session && is_current && record_is_current)
}

/// Checks that every rollout has ended, and that every instance has the last change in effect or is recorded as having
/// refused it.
fn check_desired_state(state: &ModelState, fleet: &Fleet) -> Result<(), InvariantViolation> {
    for entry in fleet.history() {
        let targets = fleet.results(entry.revision).cloned().unwrap_or_default();
        let unfinished = targets.iter().find(|(_, target)| !target.state.is_final());
        if let Some((name, target)) = unfinished {
            let details = format!("{} has ended, {name} is {}", entry.change.id, target.state);
            return Err(Invariant::DesiredState.violated(details));
        }
    }
    let Some(last) = fleet.history().last() else {
        return Ok(());
    };
    let Operation::Set(edits) = &last.change.operation else {
        return Ok(());
    };
    let targets = fleet.results(last.revision).cloned().unwrap_or_default();
    for process in state.processes.iter().map(|process| &process.value) {
        let who = process.machine.id();
        let holds_name = fleet
            .membership()
            .get(&who.name)
            .is_some_and(|member| member.start == who.start);
        if let Some(target) = targets.get(&who.name).filter(|_| holds_name) {
            check_process(fleet, last, edits, target, process)?;
        }
    }
    Ok(())
}

/// Checks that a process has the last change in effect exactly where its result says so.
fn check_process(
    fleet: &Fleet,
    last: &HistoryEntry,
    edits: &Edits,
    target: &Target,
    process: &Process,
) -> Result<(), InvariantViolation> {
    let (id, name) = (&last.change.id, &process.machine.id().name);
    let has_change = edits
        .iter()
        .all(|(key, value)| process.effective.get(key) == value.as_ref());
    let has_refused = matches!(
        fleet
            .instance(name)
            .and_then(|record| record.outcome.as_ref()),
        Some(Outcome::Refused(_))
    );
    let is_undone = last.result == RolloutResult::RolledBack;
    if is_undone && has_change {
        let details = format!("{id} was undone and {name} still has it in effect");
        return Err(Invariant::DesiredState.violated(details));
    }
    let is_applied = target.state == TargetState::Applied;
    if !is_undone && is_applied && !has_change && !has_refused {
        let details = format!("{id} is recorded as applied and {name} does not have it in effect");
        return Err(Invariant::DesiredState.violated(details));
    }
    if matches!(target.state, TargetState::Refused(_)) && has_change {
        let details = format!("{id} is recorded as refused and {name} has it in effect");
        return Err(Invariant::DesiredState.violated(details));
    }
    Ok(())
}

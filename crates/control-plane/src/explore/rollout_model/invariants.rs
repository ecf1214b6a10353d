//! The invariants of every state.

use super::RolloutModel;
use super::process::Process;
use super::state::ModelState;
use crate::explore::{Invariant, InvariantViolation};
use crate::protocol::{FencingToken, Outcome};
use crate::rollout::{FailureReason, Rollout, Target, TargetState};
use crate::{Fleet, Session};

impl RolloutModel {
    /// Checks the invariants of every state.
    pub(super) fn check_every_state(&self, state: &ModelState) -> Result<(), InvariantViolation> {
        if let Some(violation) = &state.violation {
            return Err(violation.clone());
        }
        let fleet = self.newest_fleet(state);
        for process in state.processes.iter().map(|process| &process.value) {
            self.check_settings(fleet, process)?;
            check_unique_name(state, process)?;
            check_record(fleet, process)?;
        }
        if let Some(rollout) = fleet.rollout() {
            self.check_waves(rollout)?;
        }
        check_accepted(state, fleet)
    }

    /// Checks that a process has whole changes in effect, reports them, and has none that the agent has lost.
    fn check_settings(&self, fleet: &Fleet, process: &Process) -> Result<(), InvariantViolation> {
        let start = process.machine.id().start;
        let reported = process.machine.overlay();
        if process.effective != reported.0 {
            let details = format!("start {start} reports settings that are not in effect");
            return Err(Invariant::Atomic.violated(details));
        }
        let possible = self.possible.get_or_init(|| self.possible_overlays());
        if !possible
            .iter()
            .any(|overlay| overlay.0 == process.effective)
        {
            let details = format!("start {start} has a part of a change in effect");
            return Err(Invariant::Atomic.violated(details));
        }
        let revision = process.memory.revision;
        if !reported.0.is_empty() && revision > fleet.newest_revision() && !self.stale_agent {
            let details =
                format!("start {start} has revision {revision}, which the agent does not know");
            return Err(Invariant::Durable.violated(details));
        }
        Ok(())
    }

    /// Checks the number of unanswered orders, and that each stage begins after the one before it is complete.
    fn check_waves(&self, rollout: &Rollout) -> Result<(), InvariantViolation> {
        let targets = || rollout.targets.values();
        let unanswered = targets()
            .filter(|target| target.state == TargetState::Sent)
            .count();
        if unanswered > self.max_unanswered as usize {
            let details = format!("{unanswered} instances have an unanswered order");
            return Err(Invariant::Stages.violated(details));
        }
        let is_complete =
            |stage: u32| targets().all(|target| target.stage > stage || target.state.is_final());
        let began_early = |target: &Target| {
            target.stage > 0 && has_begun(target) && !is_complete(target.stage - 1)
        };
        if targets().any(began_early) {
            let details = "a stage has begun before the one before it was complete";
            return Err(Invariant::Stages.violated(details));
        }
        Ok(())
    }
}

/// Whether a target has received an order.
fn has_begun(target: &Target) -> bool {
    !matches!(
        target.state,
        TargetState::Pending | TargetState::Failed(FailureReason::NotReached)
    )
}

/// Checks that no other process has a session under the name and the incarnation of this one.
fn check_unique_name(state: &ModelState, process: &Process) -> Result<(), InvariantViolation> {
    let who = process.machine.id();
    let has_this_session = |other: &Process| {
        other.name == process.name
            && other.machine.session() == Session::Registered
            && other.machine.id().incarnation == who.incarnation
    };
    let sessions = || {
        let processes = state.processes.iter();
        processes
            .filter(|other| has_this_session(&other.value))
            .count()
    };
    if has_this_session(process) && sessions() > 1 {
        let details = format!(
            "two processes are {} under incarnation {}",
            who.name, who.incarnation
        );
        return Err(Invariant::UniqueName.violated(details));
    }
    Ok(())
}

/// Checks that the agent's record of an answer agrees with the instance.
fn check_record(fleet: &Fleet, process: &Process) -> Result<(), InvariantViolation> {
    let who = process.machine.id();
    let holds_name = fleet
        .membership()
        .get(&who.name)
        .is_some_and(|member| member.start == who.start);
    let record = fleet.instance(&who.name).filter(|_| holds_name);
    let Some((record, outcome)) =
        record.and_then(|record| Some((record, record.outcome.as_ref()?)))
    else {
        return Ok(());
    };
    let stamp = FencingToken {
        term: fleet.term(),
        number: record.last_order_number,
    };
    let answer = process
        .machine
        .answer()
        .filter(|answer| answer.fencing_token == stamp);
    let Some(answer) = answer else {
        let known = process.machine.fencing_token();
        let details = format!(
            "the agent has recorded that {} {outcome:?} order {stamp:?}, which it never carried out: it is at {known:?}",
            who.name
        );
        return Err(Invariant::Accurate.violated(details));
    };
    let has_settings =
        *outcome != Outcome::Applied || process.machine.applied().fingerprint == answer.fingerprint;
    if answer.outcome != *outcome || !has_settings {
        let details = format!(
            "the agent has recorded {outcome:?} of {}, which has another outcome",
            who.name
        );
        return Err(Invariant::Accurate.violated(details));
    }
    Ok(())
}

/// Checks that the newest agent knows every accepted change.
fn check_accepted(state: &ModelState, fleet: &Fleet) -> Result<(), InvariantViolation> {
    for accepted in &state.accepted {
        let (id, revision) = (format!("c{}", accepted.change), accepted.revision);
        let under_way = fleet
            .rollout()
            .map(|rollout| (&rollout.change.id, rollout.revision));
        let mut known = fleet
            .history()
            .map(|entry| (&entry.change.id, entry.revision))
            .chain(under_way);
        if !known.any(|known| known == (&id, revision)) {
            let details = format!("{id} was accepted as revision {revision} and is not known");
            return Err(Invariant::Durable.violated(details));
        }
    }
    Ok(())
}

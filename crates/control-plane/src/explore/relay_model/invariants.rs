//! The invariants of a state, and of a state at rest.

use super::bounds::edits;
use super::state::RelayModelState;
use crate::explore::{Invariant, InvariantViolation};
use crate::membership::MemberState;
use crate::protocol::{FencingToken, Outcome};
use crate::settings::{Key, Value};
use crate::{Fleet, Session};
use std::collections::BTreeMap;

/// The settings of the change.
fn changed() -> BTreeMap<Key, Value> {
    edits()
        .into_iter()
        .filter_map(|(key, value)| Some((key, value?)))
        .collect()
}

/// Checks the invariants of every state.
pub(super) fn check_every_state(state: &RelayModelState) -> Result<(), InvariantViolation> {
    if let Some(violation) = &state.violation {
        return Err(violation.clone());
    }
    let changed = changed();
    let fleet = newest_fleet(state);
    for instance in &state.instances {
        let name = instance.name();
        if instance.effective != instance.machine.overlay().0 {
            let details = format!("{name} reports settings that are not in effect");
            return Err(Invariant::Atomic.violated(details));
        }
        if !instance.effective.is_empty() && instance.effective != changed {
            let details = format!("{name} has a part of the change in effect");
            return Err(Invariant::Atomic.violated(details));
        }
        let Some((record, outcome)) = fleet
            .instance(name)
            .and_then(|record| Some((record, record.outcome.as_ref()?)))
        else {
            continue;
        };
        let stamp = FencingToken {
            term: fleet.term(),
            number: record.last_order_number,
        };
        let answer = instance
            .machine
            .answer()
            .filter(|answer| answer.fencing_token == stamp);
        if answer.is_none_or(|answer| answer.outcome != *outcome) {
            let details = format!(
                "{outcome:?} of {name} is recorded for {stamp:?}, which it never carried out"
            );
            return Err(Invariant::Accurate.violated(details));
        }
    }
    Ok(())
}

/// The state machine of the newest agent.
fn newest_fleet(state: &RelayModelState) -> &Fleet {
    &state.agents[state.newest_agent()].fleet
}

/// `None` where the state is not at rest; otherwise whether it is the desired one.
pub(super) fn check_at_rest(state: &RelayModelState) -> Option<Result<(), InvariantViolation>> {
    let fleet = newest_fleet(state);
    if fleet.rollout().is_some() || !state.deliveries().is_empty() || !state.late.is_empty() {
        return None;
    }
    let newest = state.newest_agent();
    if state.relays.iter().any(|relay| relay.agent != Some(newest)) {
        return None;
    }
    for instance in &state.instances {
        let member = fleet.membership().get(instance.name())?;
        let is_alive =
            member.state == MemberState::Alive && member.start == instance.machine.id().start;
        let record = fleet.instance(instance.name())?;
        let record_is_current =
            record.applied.fingerprint == instance.machine.applied().fingerprint;
        if !is_alive
            || instance.machine.session() != Session::Registered
            || !fleet.has_converged(instance.name())?
            || !record_is_current
        {
            return None;
        }
    }
    Some(check_desired_state(state, fleet))
}

/// Checks that every instance has the change in effect exactly where the agent does.
fn check_desired_state(state: &RelayModelState, fleet: &Fleet) -> Result<(), InvariantViolation> {
    let is_in_effect = !fleet.layers().0.is_empty();
    let desired = if is_in_effect {
        changed()
    } else {
        BTreeMap::new()
    };
    for instance in &state.instances {
        if instance.effective != desired {
            let details = format!("{} has {:?}", instance.name(), instance.effective);
            return Err(Invariant::DesiredState.violated(details));
        }
        let answer = fleet
            .instance(instance.name())
            .and_then(|record| record.outcome.clone());
        if matches!(answer, Some(Outcome::Refused(_))) {
            let details = format!("{} is recorded as having refused", instance.name());
            return Err(Invariant::DesiredState.violated(details));
        }
    }
    Ok(())
}

//! The invariants of a state, and of a state at rest.

use super::edits;
use super::state::RelayModelState;
use crate::explore::rollout_model::rules;
use crate::membership::Presence;
use crate::protocol::{Outcome, Stamp};
use crate::settings::{Key, Value};
use crate::{Fleet, Rules, Session};
use std::collections::BTreeMap;

/// The rules of the agents.
pub(super) fn fleet_rules() -> Rules {
    rules()
}

/// The settings of the change.
fn changed() -> BTreeMap<Key, Value> {
    edits()
        .into_iter()
        .filter_map(|(key, value)| Some((key, value?)))
        .collect()
}

/// Checks the invariants of every state.
pub(super) fn check_state(state: &RelayModelState) -> Result<(), String> {
    if let Some(violation) = &state.violation {
        return Err(violation.clone());
    }
    let changed = changed();
    let fleet = newest(state);
    for instance in &state.instances {
        let name = instance.name();
        if instance.effective != instance.machine.overlay().0 {
            return Err(format!(
                "whole: {name} says that it has what is not in effect"
            ));
        }
        if !instance.effective.is_empty() && instance.effective != changed {
            return Err(format!("whole: {name} has half of the change"));
        }
        let Some((line, outcome)) = fleet
            .line(name)
            .and_then(|line| Some((line, line.answer.as_ref()?)))
        else {
            continue;
        };
        let stamp = Stamp {
            term: fleet.term(),
            number: line.number,
        };
        let answer = instance
            .machine
            .answer()
            .filter(|answer| answer.stamp == stamp);
        if answer.is_none_or(|answer| answer.outcome != *outcome) {
            return Err(format!(
                "true: {outcome:?} of {name} is recorded for {stamp:?}, which it never carried out"
            ));
        }
    }
    Ok(())
}

fn newest(state: &RelayModelState) -> &Fleet {
    &state.agents[state.agents.len() - 1].fleet
}

/// Whether the state is at rest; if it is, whether it is the desired one.
pub(super) fn rest(state: &RelayModelState) -> Option<Result<(), String>> {
    let fleet = newest(state);
    if fleet.rollout().is_some() || !state.deliveries().is_empty() || !state.late.is_empty() {
        return None;
    }
    let newest = state.agents.len() - 1;
    if state.relays.iter().any(|relay| relay.agent != Some(newest)) {
        return None;
    }
    for instance in &state.instances {
        let member = fleet.membership().get(instance.name())?;
        let is_alive =
            member.presence == Presence::Alive && member.start == instance.machine.who().start;
        let line = fleet.line(instance.name())?;
        let agrees = line.holding.overlay == instance.machine.holding().overlay;
        if !is_alive
            || instance.machine.session() != Session::In
            || !fleet.in_line(instance.name())?
            || !agrees
        {
            return None;
        }
    }
    Some(check_rest(state, fleet))
}

fn check_rest(state: &RelayModelState, fleet: &Fleet) -> Result<(), String> {
    let is_in_effect = !fleet.layers().0.is_empty();
    let wanted = if is_in_effect {
        changed()
    } else {
        BTreeMap::new()
    };
    for instance in &state.instances {
        if instance.effective != wanted {
            return Err(format!(
                "rest: {} has {:?}",
                instance.name(),
                instance.effective
            ));
        }
        let refused = fleet
            .line(instance.name())
            .and_then(|line| line.answer.clone());
        if matches!(refused, Some(Outcome::Refused(_))) {
            return Err(format!(
                "rest: {} is recorded as having refused",
                instance.name()
            ));
        }
    }
    Ok(())
}

//! The figures of a run that lines are laid through.

use super::record::{RunRecord, StepRecord, Work};
use super::steps::Step;
use serde::Serialize;

/// A figure of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Resident memory of the agent in calm.
    AgentMemory,
    /// Processor time of the agent in calm.
    AgentProcessor,
    /// Bytes between agent and instances in calm.
    Bytes,
    /// Messages between agent and instances in calm.
    Messages,
    /// Connections at the agent.
    Connections,
    /// Processor time of all hollow instances in calm.
    InstancesProcessor,
    /// From a push to all until the change is in force at the last instance.
    PushAllLast,
    /// From a push to one service until it is in force at the last one.
    PushServiceLast,
    /// From a push to one zone until it is in force at the last one.
    PushZoneLast,
    /// Processor time of the agent for a push to all, beyond that of calm.
    PushAllProcessor,
    /// Bytes for a push to all, beyond those of calm.
    PushAllBytes,
    /// From the start of all at once until the last one is registered.
    StartLast,
    /// Processor time of the agent from the start of all at once until the last one is registered.
    StartProcessor,
    /// From the agent's restart with its state until the last instance is back.
    RestartLast,
    /// Processor time of the agent from its restart with its state until the last instance is back.
    RestartProcessor,
    /// From the agent's restart without its state until the last instance is back.
    RestartWithoutStateLast,
    /// From a zone's return until its last instance is back.
    ZoneLast,
    /// From a rack's return until its last instance is back.
    RackLast,
    /// From the end of a region's cut until its last instance is back.
    RegionLast,
    /// From the end of a region's cut until a change made meanwhile is in force at its last instance.
    RegionInForce,
    /// From a push while a region is cut until the rollout has ended.
    RegionRollout,
    /// Processor time of all relays in calm.
    RelaysProcessor,
    /// Resident memory of all relays in calm.
    RelaysMemory,
    /// Processor time of all relays from the start of all at once until the last one is registered.
    RelaysStartProcessor,
}

impl Figure {
    /// All of them, in the order in which they are told.
    pub const ALL: [Figure; 24] = [
        Figure::AgentMemory,
        Figure::AgentProcessor,
        Figure::Bytes,
        Figure::Messages,
        Figure::Connections,
        Figure::InstancesProcessor,
        Figure::PushAllLast,
        Figure::PushServiceLast,
        Figure::PushZoneLast,
        Figure::PushAllProcessor,
        Figure::PushAllBytes,
        Figure::StartLast,
        Figure::StartProcessor,
        Figure::RestartLast,
        Figure::RestartProcessor,
        Figure::RestartWithoutStateLast,
        Figure::ZoneLast,
        Figure::RackLast,
        Figure::RegionLast,
        Figure::RegionInForce,
        Figure::RegionRollout,
        Figure::RelaysProcessor,
        Figure::RelaysMemory,
        Figure::RelaysStartProcessor,
    ];

    /// Its name, with its unit.
    pub fn name(self) -> &'static str {
        match self {
            Figure::AgentMemory => "agent, calm: memory [MB]",
            Figure::AgentProcessor => "agent, calm: processor time [% of a core]",
            Figure::Bytes => "agent, calm: both directions [KB/s]",
            Figure::Messages => "agent, calm: both directions [messages/s]",
            Figure::Connections => "agent: connections",
            Figure::InstancesProcessor => {
                "all hollow instances, calm: processor time [% of a core]"
            }
            Figure::PushAllLast => "push to all: last in force [ms]",
            Figure::PushServiceLast => "push to one service: last in force [ms]",
            Figure::PushZoneLast => "push to one zone: last in force [ms]",
            Figure::PushAllProcessor => "push to all: agent's processor time beyond calm [ms]",
            Figure::PushAllBytes => "push to all: both directions beyond calm [KB]",
            Figure::StartLast => "start of all at once: last registered [s]",
            Figure::StartProcessor => {
                "start of all at once: the agent's processor time until then [s]"
            }
            Figure::RestartLast => "agent restarted with its state: last back [s]",
            Figure::RestartProcessor => {
                "agent restarted with its state: its processor time until then [s]"
            }
            Figure::RestartWithoutStateLast => "agent restarted without its state: last back [s]",
            Figure::ZoneLast => "zone back: its last instance back [s]",
            Figure::RackLast => "rack back: its last instance back [s]",
            Figure::RegionLast => "region's cut ends: its last instance back [s]",
            Figure::RegionInForce => {
                "region's cut ends: change made meanwhile in force at its last [s]"
            }
            Figure::RegionRollout => "push while a region is cut: rollout ended [s]",
            Figure::RelaysProcessor => "all relays, calm: processor time [% of a core]",
            Figure::RelaysMemory => "all relays, calm: memory [MB]",
            Figure::RelaysStartProcessor => {
                "start of all at once: all relays' processor time until then [s]"
            }
        }
    }

    /// Its value in a run; none where the step was not taken, or something was missing.
    pub fn of(self, run: &RunRecord) -> Option<f64> {
        let calm = || run.step(Step::Calm);
        let rate = |value: fn(&Work) -> f64| calm().map(|step| value(&step.agent) / step.seconds);
        let both = |work: &Work| work.bytes() as f64 / 1e3;
        match self {
            Figure::AgentMemory => calm().map(|step| step.agent.memory as f64 / 1e6),
            Figure::AgentProcessor => rate(|work| 100.0 * work.cpu_seconds),
            Figure::Bytes => rate(both),
            Figure::Messages => rate(|work| (work.messages_in + work.messages_out) as f64),
            Figure::Connections => calm().map(|step| step.agent.connections as f64),
            Figure::InstancesProcessor => {
                calm().map(|step| 100.0 * step.instances.cpu_seconds / step.seconds)
            }
            Figure::PushAllLast => last(run, Step::PushAll, "in_force"),
            Figure::PushServiceLast => last(run, Step::PushService, "in_force"),
            Figure::PushZoneLast => last(run, Step::PushZone, "in_force"),
            Figure::PushAllProcessor => beyond_calm(run, |work| 1e3 * work.cpu_seconds),
            Figure::PushAllBytes => beyond_calm(run, both),
            Figure::StartLast => seconds(run, Step::Start, "registered"),
            Figure::StartProcessor => run.step(Step::Start).map(|step| step.agent.cpu_seconds),
            Figure::RestartLast => seconds(run, Step::RestartWithState, "healed"),
            Figure::RestartProcessor => run
                .step(Step::RestartWithState)
                .map(|step| step.agent.cpu_seconds),
            Figure::RestartWithoutStateLast => seconds(run, Step::RestartWithoutState, "healed"),
            Figure::ZoneLast => seconds(run, Step::ZoneLost, "healed"),
            Figure::RackLast => seconds(run, Step::RackLost, "healed"),
            Figure::RegionLast => seconds(run, Step::RegionCut, "back"),
            Figure::RegionInForce => seconds(run, Step::RegionCut, "in_force_after_heal"),
            Figure::RegionRollout => seconds(run, Step::RegionCut, "rollout_ended"),
            Figure::RelaysProcessor => relays(run, Step::Calm)
                .map(|(relays, seconds)| 100.0 * relays.cpu_seconds / seconds),
            Figure::RelaysMemory => {
                relays(run, Step::Calm).map(|(relays, _)| relays.memory as f64 / 1e6)
            }
            Figure::RelaysStartProcessor => {
                relays(run, Step::Start).map(|(relays, _)| relays.cpu_seconds)
            }
        }
    }
}

/// What all relays of a run did within a step, and how long it was looked at; none where there are no relays.
fn relays(run: &RunRecord, step: Step) -> Option<(&Work, f64)> {
    let step = run.step(step).filter(|_| run.relays > 0)?;
    Some((&step.relays, step.seconds))
}

/// When the last of a step's times came, in milliseconds.
fn last(run: &RunRecord, step: Step, times: &str) -> Option<f64> {
    let times = run.step(step)?.times.get(times)?;
    (times.missing == 0).then_some(times.last_ms)
}

fn seconds(run: &RunRecord, step: Step, times: &str) -> Option<f64> {
    last(run, step, times).map(|ms| ms / 1e3)
}

/// What a push to all cost the agent, less what calm costs in the same time.
fn beyond_calm(run: &RunRecord, value: fn(&Work) -> f64) -> Option<f64> {
    let (push, calm): (&StepRecord, &StepRecord) =
        (run.step(Step::PushAll)?, run.step(Step::Calm)?);
    Some(value(&push.agent) - value(&calm.agent) / calm.seconds * push.seconds)
}

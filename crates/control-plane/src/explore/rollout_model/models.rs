//! The models that are explored in each test run, and larger ones.

use super::RolloutModel;
use crate::policy::FailureAction;

/// The models that are explored in each test run.
#[expect(clippy::too_many_lines, reason = "a list of models")]
pub fn rollout_models() -> Vec<RolloutModel> {
    let usual = || RolloutModel {
        disconnects: 0,
        ..RolloutModel::default()
    };
    let all_at_once = || RolloutModel {
        stages: vec![],
        max_unanswered: 3,
        agent_ticks: 0,
        ..usual()
    };
    vec![
        RolloutModel {
            name: "one instance, both killed once",
            processes: vec![0],
            instance_kills: 1,
            agent_kills: 1,
            late_messages: 1,
            ..usual()
        },
        RolloutModel {
            name: "the agent killed at any step",
            agent_kills: 1,
            late_messages: 1,
            ..usual()
        },
        RolloutModel {
            name: "an instance killed at any step",
            instance_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "a connection cut at any step",
            disconnects: 1,
            ..usual()
        },
        RolloutModel {
            name: "one instance refuses, the change undone",
            refusing_names: vec![1],
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "one instance refuses, the rollout stopped",
            refusing_names: vec![1],
            on_failure: FailureAction::Stop,
            late_messages: 1,
            ..usual()
        },
        RolloutModel {
            name: "stopped or undone by an operator at any step",
            commands: 1,
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "an agent that does not know that it was replaced",
            processes: vec![0],
            agent_kills: 1,
            stale_agent: true,
            late_messages: 1,
            agent_ticks: 0,
            ..usual()
        },
        RolloutModel {
            name: "two processes with one name",
            processes: vec![0, 0],
            starts_settled: false,
            disconnects: 1,
            ..usual()
        },
        RolloutModel {
            name: "two changes, made on one revision, pushed again",
            processes: vec![0],
            changes: 2,
            repeated_pushes: 1,
            late_messages: 1,
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "one at a time, the agent killed",
            stages: vec![],
            max_unanswered: 1,
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "three symmetric instances, the agent killed",
            processes: vec![0, 1, 2],
            symmetric: true,
            agent_kills: 1,
            ..all_at_once()
        },
        RolloutModel {
            name: "three symmetric instances, one killed",
            processes: vec![0, 1, 2],
            symmetric: true,
            instance_kills: 1,
            ..all_at_once()
        },
    ]
}

/// Larger models, for a longer run.
pub fn larger_rollout_models() -> Vec<RolloutModel> {
    let usual = RolloutModel::default;
    vec![
        RolloutModel {
            name: "one instance, all faults",
            processes: vec![0],
            instance_kills: 1,
            agent_kills: 1,
            late_messages: 1,
            commands: 1,
            ..usual()
        },
        RolloutModel {
            name: "two instances, both sides killed",
            instance_kills: 1,
            agent_kills: 1,
            late_messages: 1,
            disconnects: 0,
            ..usual()
        },
        RolloutModel {
            name: "an agent that does not know that it was replaced, an instance killed",
            processes: vec![0],
            agent_kills: 1,
            stale_agent: true,
            late_messages: 1,
            instance_kills: 1,
            disconnects: 0,
            ..usual()
        },
        RolloutModel {
            name: "two processes with one name, both sides killed",
            processes: vec![0, 0],
            instance_kills: 1,
            agent_kills: 1,
            starts_settled: false,
            disconnects: 0,
            ..usual()
        },
        RolloutModel {
            name: "two changes by two operators, stopped and undone",
            changes: 2,
            repeated_pushes: 1,
            commands: 1,
            disconnects: 0,
            late_messages: 1,
            ..usual()
        },
        RolloutModel {
            name: "three instances in two stages, the agent killed twice",
            processes: vec![0, 1, 2],
            disconnects: 0,
            agent_kills: 2,
            ..usual()
        },
    ]
}

//! The models that are explored in each test run, and larger ones.

use super::RolloutModel;
use crate::change::Then;

/// The models that are explored in each test run.
pub fn rollout_models() -> Vec<RolloutModel> {
    let usual = || RolloutModel {
        disconnects: 0,
        ..RolloutModel::default()
    };
    let all = || RolloutModel {
        waves: vec![],
        at_once: 3,
        agent_ticks: 0,
        ..usual()
    };
    vec![
        RolloutModel {
            name: "one instance, both killed once",
            processes: vec![0],
            kills: 1,
            agent_kills: 1,
            late: 1,
            ..usual()
        },
        RolloutModel {
            name: "the agent killed at any step",
            agent_kills: 1,
            late: 1,
            ..usual()
        },
        RolloutModel {
            name: "an instance killed at any step",
            kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "a connection cut at any step",
            disconnects: 1,
            ..usual()
        },
        RolloutModel {
            name: "one instance refuses, taken back",
            refuses: vec![1],
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "one instance refuses, stopped",
            refuses: vec![1],
            then: Then::Stop,
            late: 1,
            ..usual()
        },
        RolloutModel {
            name: "stopped or taken back by hand at any step",
            commands: 1,
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "an agent that does not know that it was replaced",
            processes: vec![0],
            agent_kills: 1,
            stale_agent: true,
            late: 1,
            agent_ticks: 0,
            ..usual()
        },
        RolloutModel {
            name: "two processes with one name",
            processes: vec![0, 0],
            settled: false,
            disconnects: 1,
            ..usual()
        },
        RolloutModel {
            name: "two changes, made on one revision, pushed again",
            processes: vec![0],
            changes: 2,
            repeats: 1,
            late: 1,
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "one at a time, the agent killed",
            waves: vec![],
            at_once: 1,
            agent_kills: 1,
            ..usual()
        },
        RolloutModel {
            name: "three alike, the agent killed",
            processes: vec![0, 1, 2],
            symmetric: true,
            agent_kills: 1,
            ..all()
        },
        RolloutModel {
            name: "three alike, one killed",
            processes: vec![0, 1, 2],
            symmetric: true,
            kills: 1,
            ..all()
        },
    ]
}

/// Larger models, for a longer run.
pub fn larger_rollout_models() -> Vec<RolloutModel> {
    let usual = RolloutModel::default;
    vec![
        RolloutModel {
            name: "one instance, everything",
            processes: vec![0],
            kills: 1,
            agent_kills: 1,
            late: 1,
            commands: 1,
            ..usual()
        },
        RolloutModel {
            name: "two instances, both sides killed",
            kills: 1,
            agent_kills: 1,
            late: 1,
            disconnects: 0,
            ..usual()
        },
        RolloutModel {
            name: "an agent that does not know that it was replaced, cuts",
            processes: vec![0],
            agent_kills: 1,
            stale_agent: true,
            late: 1,
            kills: 1,
            disconnects: 0,
            ..usual()
        },
        RolloutModel {
            name: "two processes with one name, both sides killed",
            processes: vec![0, 0],
            kills: 1,
            agent_kills: 1,
            settled: false,
            disconnects: 0,
            ..usual()
        },
        RolloutModel {
            name: "two changes by two operators, stopped and taken back",
            changes: 2,
            repeats: 1,
            commands: 1,
            disconnects: 0,
            late: 1,
            ..usual()
        },
        RolloutModel {
            name: "three instances in two waves, the agent killed twice",
            processes: vec![0, 1, 2],
            disconnects: 0,
            agent_kills: 2,
            ..usual()
        },
    ]
}

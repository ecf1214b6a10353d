//! The models that are explored in each test run, and larger ones.

use super::RelayModel;

/// The models that are explored in each test run.
pub fn relay_models() -> Vec<RelayModel> {
    let usual = || RelayModel {
        instances: vec![0],
        relays: 1,
        pushes: true,
        ..RelayModel::default()
    };
    vec![
        RelayModel {
            name: "the agent killed twice at any step, time advances",
            agent_kills: 2,
            cuts: 1,
            time_advances: 2,
            ..usual()
        },
        RelayModel {
            name: "the agent killed, its records lost, a cut",
            agent_kills: 2,
            loses_state: true,
            cuts: 1,
            time_advances: 1,
            ..usual()
        },
        RelayModel {
            name: "an agent that does not know that it was replaced, two relays, an instance that moves",
            relays: 2,
            agent_kills: 1,
            stale_agent: true,
            moves: 2,
            late_messages: 1,
            cuts: 1,
            time_advances: 2,
            ..usual()
        },
        RelayModel {
            name: "a relay killed at any step",
            relay_kills: 2,
            cuts: 1,
            time_advances: 2,
            ..usual()
        },
        RelayModel {
            name: "an instance that moves in the middle of a change, late messages",
            relays: 2,
            moves: 2,
            late_messages: 1,
            cuts: 1,
            time_advances: 2,
            ..usual()
        },
        RelayModel {
            name: "two instances behind one relay, its connection cut, the agent killed",
            instances: vec![0, 0],
            agent_kills: 1,
            cuts: 1,
            ..usual()
        },
    ]
}

/// Larger models, which take minutes.
pub fn larger_relay_models() -> Vec<RelayModel> {
    let usual = || RelayModel {
        instances: vec![0, 1],
        relays: 2,
        pushes: true,
        ..RelayModel::default()
    };
    vec![
        RelayModel {
            name: "two relays, the agent killed, its records lost, a cut",
            agent_kills: 1,
            loses_state: true,
            cuts: 1,
            time_advances: 1,
            ..usual()
        },
        RelayModel {
            name: "two relays, a relay killed, an instance that moves, late reports",
            relay_kills: 1,
            moves: 1,
            late_messages: 1,
            ..usual()
        },
    ]
}

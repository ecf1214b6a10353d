//! The bounds that are explored at each landing, and larger ones.

use super::Bounds;
use crate::change::Then;

/// The worlds that are explored at each landing.
pub fn shipped() -> Vec<Bounds> {
    let usual = || Bounds { cuts: 0, ..Bounds::default() };
    let all = || Bounds { waves: vec![], at_once: 3, agent_ticks: 0, ..usual() };
    vec![
        Bounds {
            name: "one instance, both killed once",
            processes: vec![0],
            kills: 1,
            agent_kills: 1,
            late: 1,
            ..usual()
        },
        Bounds { name: "the agent killed at any step", agent_kills: 1, late: 1, ..usual() },
        Bounds { name: "an instance killed at any step", kills: 1, ..usual() },
        Bounds { name: "a connection cut at any step", cuts: 1, ..usual() },
        Bounds { name: "one instance refuses, taken back", refuses: vec![1], agent_kills: 1, ..usual() },
        Bounds {
            name: "one instance refuses, stopped",
            refuses: vec![1],
            then: Then::Stop,
            late: 1,
            ..usual()
        },
        Bounds { name: "stopped or taken back by hand at any step", commands: 1, agent_kills: 1, ..usual() },
        Bounds {
            name: "an agent that does not know that it was replaced",
            processes: vec![0],
            agent_kills: 1,
            ghost: true,
            late: 1,
            agent_ticks: 0,
            ..usual()
        },
        Bounds {
            name: "two processes with one name",
            processes: vec![0, 0],
            settled: false,
            cuts: 1,
            ..usual()
        },
        Bounds {
            name: "two changes, made on one revision, pushed again",
            processes: vec![0],
            changes: 2,
            repeats: 1,
            late: 1,
            agent_kills: 1,
            ..usual()
        },
        Bounds {
            name: "one at a time, the agent killed",
            waves: vec![],
            at_once: 1,
            agent_kills: 1,
            ..usual()
        },
        Bounds {
            name: "three alike, the agent killed",
            processes: vec![0, 1, 2],
            alike: true,
            agent_kills: 1,
            ..all()
        },
        Bounds { name: "three alike, one killed", processes: vec![0, 1, 2], alike: true, kills: 1, ..all() },
    ]
}

/// Larger ones, for a quiet hour.
pub fn large() -> Vec<Bounds> {
    let usual = Bounds::default;
    vec![
        Bounds {
            name: "one instance, everything",
            processes: vec![0],
            kills: 1,
            agent_kills: 1,
            late: 1,
            commands: 1,
            ..usual()
        },
        Bounds {
            name: "two instances, both sides killed",
            kills: 1,
            agent_kills: 1,
            late: 1,
            cuts: 0,
            ..usual()
        },
        Bounds {
            name: "an agent that does not know that it was replaced, cuts",
            processes: vec![0],
            agent_kills: 1,
            ghost: true,
            late: 1,
            kills: 1,
            cuts: 0,
            ..usual()
        },
        Bounds {
            name: "two processes with one name, both sides killed",
            processes: vec![0, 0],
            kills: 1,
            agent_kills: 1,
            settled: false,
            cuts: 0,
            ..usual()
        },
        Bounds {
            name: "two changes by two operators, stopped and taken back",
            changes: 2,
            repeats: 1,
            commands: 1,
            cuts: 0,
            late: 1,
            ..usual()
        },
        Bounds {
            name: "three instances in two waves, the agent killed twice",
            processes: vec![0, 1, 2],
            cuts: 0,
            agent_kills: 2,
            ..usual()
        },
    ]
}

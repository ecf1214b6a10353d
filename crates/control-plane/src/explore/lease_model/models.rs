//! The models that are explored in each test run, and larger ones.

use super::{LeaseModel, WholeRequests};

/// The models that are explored in each test run.
#[expect(clippy::too_many_lines, reason = "a list of models")]
pub fn lease_models() -> Vec<LeaseModel> {
    let base = base();
    vec![
        LeaseModel {
            name: "two instances, messages late or lost, demands that change",
            demand_changes: 1,
            ..base.clone()
        },
        LeaseModel {
            name: "three reports each",
            ticks: 3,
            reports: 3,
            ..base.clone()
        },
        LeaseModel {
            name: "grants that arrive after newer ones",
            reordering: true,
            reports: 3,
            ticks: 2,
            first_duration: 3,
            second_duration: 3,
            ..base.clone()
        },
        LeaseModel {
            name: "reports that are late or lost",
            late_reports: true,
            late_grants: false,
            reports: 3,
            ..base.clone()
        },
        LeaseModel {
            name: "reports that arrive after newer ones",
            late_reports: true,
            late_grants: false,
            reordering: true,
            admission: true,
            ..base.clone()
        },
        LeaseModel {
            name: "reports and grants that are late or lost",
            late_reports: true,
            ticks: 2,
            ..base.clone()
        },
        LeaseModel {
            name: "an agent 2% fast and an instance 2% slow",
            agent_drift: 2,
            instance_drift: -2,
            ..base.clone()
        },
        LeaseModel {
            name: "an agent 2% slow and an instance 2% fast",
            agent_drift: -2,
            instance_drift: 2,
            ..base.clone()
        },
        LeaseModel {
            name: "an agent that is killed",
            agent_kill: true,
            ..base.clone()
        },
        LeaseModel {
            name: "the next agent with shorter leases",
            agent_kill: true,
            first_duration: 3,
            second_duration: 1,
            ..base.clone()
        },
        LeaseModel {
            name: "another process of the first one's name",
            replacement: true,
            ticks: 3,
            ..base.clone()
        },
        LeaseModel {
            name: "a limit that is lowered",
            lowered_limit: true,
            limit: WholeRequests {
                rate: 4,
                burst: 4,
                in_flight: 4,
            },
            ..base.clone()
        },
        LeaseModel {
            name: "requests that are admitted",
            admission: true,
            limit: WholeRequests {
                rate: 1,
                burst: 2,
                in_flight: 9,
            },
            ..base.clone()
        },
        LeaseModel {
            name: "requests that stay in flight for long",
            admission: true,
            max_request_duration: 4,
            ticks: 5,
            limit: WholeRequests {
                rate: 9,
                burst: 9,
                in_flight: 2,
            },
            ..base
        },
    ]
}

/// Two instances with two reports each, whose grants may be late or lost.
fn base() -> LeaseModel {
    LeaseModel {
        name: "",
        instances: 2,
        limit: WholeRequests {
            rate: 2,
            burst: 2,
            in_flight: 2,
        },
        ticks: 4,
        reports: 2,
        first_duration: 2,
        second_duration: 2,
        agent_kill: false,
        replacement: false,
        demand_changes: 0,
        lowered_limit: false,
        max_request_duration: 1,
        agent_drift: 0,
        instance_drift: 0,
        late_reports: false,
        late_grants: true,
        reordering: false,
        admission: false,
    }
}

/// Larger models, for a longer run.
pub fn larger_lease_models() -> Vec<LeaseModel> {
    let larger = |model: LeaseModel| LeaseModel {
        reports: model.reports + 1,
        ticks: model.ticks + 1,
        demand_changes: 1,
        ..model
    };
    lease_models().into_iter().map(larger).collect()
}

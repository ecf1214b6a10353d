//! The rows of a fleet with a relay in each zone: the relay's own, and those of the agent above.

use super::capacity::{CONNECTIONS, Reckoner, Row, Wanted, reckoned};
use super::figures::Figure;
use super::measured::RELAYS;

/// Machines of agents above the relays, today.
const AGENTS: f64 = 1.0;

impl Reckoner<'_> {
    /// Rows of a fleet with a relay in each zone; none where that was not measured.
    pub(super) fn behind_relays(&self) -> Vec<Row> {
        if !self.measured.series.contains_key(RELAYS) {
            return Vec::new();
        }
        let mut rows = self.relay();
        rows.extend(self.agent_above_relays());
        rows.extend(self.faults_with_relays());
        rows
    }

    fn relay(&self) -> Vec<Row> {
        let zones = f64::from(self.file.size.zones);
        let row = |what, figure, budget, unit| {
            self.row(Wanted {
                series: RELAYS,
                role: "relay",
                what,
                figure,
                factor: 1.0 / zones,
                budget,
                unit,
                carried_by: "`agent/src/relay/task.rs` `RelayTask`, one thread",
            })
        };
        vec![
            row(
                "ordinary day: processor time of each",
                Figure::RelaysProcessor,
                Some(100.0),
                "% of a core",
            ),
            row(
                "ordinary day: memory of each",
                Figure::RelaysMemory,
                None,
                "MB",
            ),
            row(
                "start of all at once: processor time of each",
                Figure::RelaysStartProcessor,
                None,
                "s",
            ),
            reckoned(
                "relay",
                "connections of each".into(),
                (CONNECTIONS * (self.sidecars / zones + 1.0).round(), None),
                "",
                "code: two of each instance of a zone, and two to the agent",
                "`agent/src/relay/server.rs` `Relay`",
            ),
            reckoned(
                "relay",
                "machines, with the agent's".into(),
                (zones + AGENTS, Some(f64::from(self.file.budget.machines))),
                "",
                "size: one relay in each zone, one agent above",
                "`agent/src/relay/server.rs` `Relay`",
            ),
        ]
    }

    fn agent_above_relays(&self) -> Vec<Row> {
        let role = "agent above relays";
        let mut rows = self.ordinary_day(RELAYS, role).to_vec();
        rows.extend(self.pushes(
            RELAYS,
            role,
            "`control-plane/src/fleet/registry.rs` `Fleet::report_all`",
        ));
        rows
    }

    fn faults_with_relays(&self) -> Vec<Row> {
        let within = Some(self.file.budget.change_seconds());
        let row = |role, what, figure, carried_by| {
            self.row(Wanted {
                series: RELAYS,
                role,
                what,
                figure,
                factor: 1.0,
                budget: within,
                unit: "s",
                carried_by,
            })
        };
        let (agent, relay) = (
            "agent above relays",
            "`control-plane/src/relay/mod.rs` `Relay`",
        );
        vec![
            row(
                agent,
                "start of all at once: last registered",
                Figure::StartLast,
                relay,
            ),
            row(
                agent,
                "restarted with its state: has all of them",
                Figure::RestartLast,
                relay,
            ),
            row(
                agent,
                "restarted without its state: has all of them",
                Figure::RestartWithoutStateLast,
                relay,
            ),
            row(
                agent,
                "zone back: its last instance back",
                Figure::ZoneLast,
                relay,
            ),
            row(
                agent,
                "rack back: its last instance back",
                Figure::RackLast,
                relay,
            ),
            row(
                agent,
                "region's cut over: it has all of them",
                Figure::RegionLast,
                relay,
            ),
            row(
                agent,
                "region's cut over: change made meanwhile in force at its last",
                Figure::RegionInForce,
                relay,
            ),
            row(
                "command line, relays",
                "push while a region is cut: rollout ended",
                Figure::RegionRollout,
                "`control-plane/src/rollout.rs` `Rollout`",
            ),
        ]
    }
}

//! Lines of a capacity that no measurement is needed for, or that there is none of: arithmetic of the size, bounds that stand
//! in the code, and what was not measured.

use super::capacity::{CONNECTIONS, DAY, Reckoner, Row, exactly, reckoned};
use crate::hop::Row as HopRow;
use madderloom_agent::DEFAULT_MAX_CONNECTIONS;
use madderloom_control_plane::change::MOST_LAYERS;
use madderloom_control_plane::membership::Leases;
use madderloom_control_plane::settings::MOST_SETTINGS;
use madderloom_control_plane::spread::Pace;
use madderloom_endpoint_sharing::MAX_LISTS;

/// What carries a call through a sidecar.
const TRANSACTION: &str = "`sidecar/src/transaction.rs`";

impl Reckoner<'_> {
    /// What follows from the size alone.
    pub(super) fn arithmetic(&self) -> Vec<Row> {
        let size = &self.file.size;
        let row = |role, what: &str, value: f64, budget, unit, from, carried_by| {
            reckoned(role, what.into(), (value, budget), unit, from, carried_by)
        };
        vec![
            row(
                "sidecar",
                "calls through each",
                size.calls_per_second / self.sidecars,
                None,
                "/s",
                "size: calls / sidecars; what they cost was not measured here",
                "`sidecar/src/transaction.rs`",
            ),
            row(
                "agent",
                "restarts of a day: registrations",
                size.restarts_per_day / DAY,
                Some(f64::from(Pace::default().rate)),
                "/s",
                "size: restarts / day, beside the usual pace",
                "`control-plane/src/spread.rs` `Pace`",
            ),
            row(
                "agent",
                "its machine is one of those that fail: every so many days",
                self.sidecars / size.machines_failing_per_day.max(f64::MIN_POSITIVE),
                None,
                "days",
                "size: sidecars / machines failing a day, all machines alike",
                "one process, `agent/src/server/mod.rs` `Agent`",
            ),
        ]
    }

    /// What hops behind each other add to a call.
    fn added_by_hops(&self, hops: &HopRow) -> Row {
        let HopRow {
            depth,
            clients,
            program,
            direct,
            ..
        } = hops;
        let added = program.p99.saturating_sub(direct.p99) as f64 / 1e3;
        Row {
            role: "sidecar",
            what: format!("added to a call, 99 in 100, {depth} deep, {clients} busy clients"),
            value: Some(exactly(added)),
            budget: Some(self.file.budget.added_to_call_ms),
            unit: "ms",
            from: format!(
                "lab hop, one run: 99 in 100 answered within {} µs with the hops, {} µs without",
                program.p99, direct.p99
            ),
            carried_by: TRANSACTION,
        }
    }

    /// What was not measured, and is not filled in.
    pub(super) fn others(&self) -> Vec<Row> {
        let budget = &self.file.budget;
        let row = |role, what: &str, budget, unit, carried_by| Row {
            role,
            what: what.into(),
            value: None,
            budget,
            unit,
            from: "not measured".into(),
            carried_by,
        };
        let hops = self
            .measured
            .hops
            .iter()
            .map(|hops| self.added_by_hops(hops));
        let mut rows: Vec<Row> = hops.collect();
        if rows.is_empty() {
            let what = "added to a call, 99 in 100, ten deep";
            rows.push(row(
                "sidecar",
                what,
                Some(budget.added_to_call_ms),
                "ms",
                TRANSACTION,
            ));
        }
        rows.extend([
            row(
                "sidecar",
                "memory with lists of many services",
                Some(budget.sidecar_memory_mb),
                "MB",
                "`sidecar/src/pool.rs`",
            ),
            row(
                "sidecar",
                "processor time of `tune` by servers",
                Some(budget.sidecar_core_percent),
                "% of a core",
                "`balancer/src/decide.rs`",
            ),
            row(
                "discovery",
                "calls and watches as lists are shared",
                None,
                "",
                "`endpoint-sharing/src/distributor.rs` `EndpointListDistributor`",
            ),
            row(
                "command line",
                "`instances`, `top` and `history` at this size",
                None,
                "",
                "`agent/src/view`",
            ),
        ]);
        rows
    }

    /// Bounds that stand in the code or are usual in its files, beside what the size needs of them.
    pub(super) fn bounds(&self) -> Vec<Row> {
        let services = f64::from(self.file.size.services);
        let connections = CONNECTIONS * self.sidecars;
        let rate = f64::from(Pace::default().rate);
        let bound = |what: &str, needs: f64, budget: f64, unit, from, carried_by| {
            reckoned(
                "bound in code",
                what.into(),
                (needs, Some(budget)),
                unit,
                from,
                carried_by,
            )
        };
        vec![
            bound(
                "settings of one overlay, with one for each service",
                services,
                MOST_SETTINGS as f64,
                "",
                "code: fixed",
                "`control-plane/src/settings.rs` `MOST_SETTINGS`",
            ),
            bound(
                "layers in effect, with one for each service",
                services,
                MOST_LAYERS as f64,
                "",
                "code: fixed",
                "`control-plane/src/change.rs` `MOST_LAYERS`",
            ),
            bound(
                "lists that the fleet shares, with one for each service",
                services,
                MAX_LISTS as f64,
                "",
                "code: fixed",
                "`endpoint-sharing/src/limits.rs` `MAX_LISTS`",
            ),
            bound(
                "names known to an agent",
                self.sidecars,
                Leases::default().most as f64,
                "",
                "code: usual; `leases.instances` goes to 65,536",
                "`control-plane/src/membership.rs` `Leases`",
            ),
            bound(
                "connections of an agent",
                connections,
                DEFAULT_MAX_CONNECTIONS as f64,
                "",
                "code: usual; `connections` has no upper bound but the system's descriptors",
                "`agent/src/config/mod.rs` `AgentConfig`",
            ),
            bound(
                "all register at the usual pace",
                self.sidecars / rate,
                self.file.budget.change_seconds(),
                "s",
                "code: usual; sidecars / `registrations.rate`",
                "`control-plane/src/spread.rs` `Pace`",
            ),
        ]
    }
}

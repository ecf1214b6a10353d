//! `[timeline]`: whether the history of each endpoint is recorded, and how much of it.

use madderloom_config_reader::{Document, Span};
use madderloom_endpoint_history::{EndpointHistory, Settings};
use serde::Deserialize;

/// The section as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    false_alarms_a_day: Option<f64>,
    servers: Option<u64>,
    remember_left: Option<Span>,
}

/// Maximum time for which the history of a server that has left is retained.
const MAX_RETENTION_AFTER_LEAVING: Span = Span::s(7 * 86_400);

impl Section {
    /// Checks the section. `memory` is `limits.memory` in bytes; `pools` is the number of pools that share it.
    pub(crate) fn check(
        self,
        document: &mut Document<'_>,
        memory: Option<u64>,
        pools: usize,
    ) -> Settings {
        let defaults = Settings::default();
        let false_alarms_a_day = self
            .false_alarms_a_day
            .unwrap_or(defaults.false_alarms_per_day);
        document.require(
            (0.001..=1_000.0).contains(&false_alarms_a_day),
            "timeline.false_alarms_a_day",
            "must lie in 0.001 to 1000",
        );
        let bytes_per_server = EndpointHistory::max_bytes_per_endpoint() as u64;
        let max_servers = memory.map_or(u64::MAX, |memory| {
            memory / 2 / bytes_per_server.saturating_mul(pools.max(1) as u64)
        });
        // The default is limited to as many servers as fit into half of `limits.memory`.
        let servers = self
            .servers
            .unwrap_or((defaults.max_endpoints as u64).min(max_servers).max(1));
        document.require(
            (1..=4_096).contains(&servers),
            "timeline.servers",
            "must lie in 1 to 4096",
        );
        let bytes = servers
            .saturating_mul(pools.max(1) as u64)
            .saturating_mul(bytes_per_server);
        document.require(
            memory.is_none_or(|memory| bytes <= memory / 2),
            "timeline.servers",
            format_args!(
                "may take {} MiB in {} pools, which is over half of limits.memory; write less",
                bytes >> 20,
                pools.max(1)
            ),
        );
        let remember_left = self
            .remember_left
            .map_or(defaults.retention_after_leaving, Span::micros);
        document.require(
            remember_left <= MAX_RETENTION_AFTER_LEAVING.micros(),
            "timeline.remember_left",
            format_args!("must be at most {MAX_RETENTION_AFTER_LEAVING}"),
        );
        Settings {
            false_alarms_per_day: false_alarms_a_day,
            retention_after_leaving: remember_left,
            max_endpoints: servers as usize,
        }
    }
}

//! `[timeline]`: whether the history of each endpoint is kept, and how much of it.

use madderloom_config_reader::{Document, Span};
use madderloom_endpoint_history::{EndpointHistory, Settings};
use serde::Deserialize;

/// The section as it is written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    false_alarms_a_day: Option<f64>,
    servers: Option<u64>,
    remember_left: Option<Span>,
}

/// The longest that a server which left is remembered.
const LONGEST: Span = Span::s(7 * 86_400);

impl Section {
    /// With the memory that the file grants, and the pools that share it.
    pub(crate) fn check(
        self,
        document: &mut Document<'_>,
        memory: Option<u64>,
        pools: usize,
    ) -> Settings {
        let usual = Settings::default();
        let false_alarms_a_day = self
            .false_alarms_a_day
            .unwrap_or(usual.false_alarms_per_day);
        document.require(
            (0.001..=1_000.0).contains(&false_alarms_a_day),
            "timeline.false_alarms_a_day",
            "must lie in 0.001 to 1000",
        );
        let each = EndpointHistory::max_bytes_per_endpoint() as u64;
        let granted = memory.map_or(u64::MAX, |memory| {
            memory / 2 / each.saturating_mul(pools.max(1) as u64)
        });
        // Where nothing is said, as many as the memory that the file grants has room for.
        let servers = self
            .servers
            .unwrap_or((usual.max_endpoints as u64).min(granted).max(1));
        document.require(
            (1..=4_096).contains(&servers),
            "timeline.servers",
            "must lie in 1 to 4096",
        );
        let bytes = servers
            .saturating_mul(pools.max(1) as u64)
            .saturating_mul(each);
        document.require(
            memory.is_none_or(|memory| bytes <= memory / 2),
            "timeline.servers",
            format_args!(
                "may take {} MiB in {} pools, over half of limits.memory; write less",
                bytes >> 20,
                pools.max(1)
            ),
        );
        let remember_left = self
            .remember_left
            .map_or(usual.retention_after_leaving, Span::micros);
        document.require(
            remember_left <= LONGEST.micros(),
            "timeline.remember_left",
            format_args!("is over {LONGEST}; write less"),
        );
        Settings {
            false_alarms_per_day: false_alarms_a_day,
            retention_after_leaving: remember_left,
            max_endpoints: servers as usize,
        }
    }
}

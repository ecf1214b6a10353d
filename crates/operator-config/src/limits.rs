//! `[limits]`, and the `limits` of listeners and pools: limits of shared resources.

use crate::OperatorConfig;
use madderloom_config_reader::{Document, Size};
use madderloom_routing::rate::Rate;
use madderloom_routing::shares::Part;
use serde::Deserialize;

/// The section of the whole process as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    descriptors: Option<u64>,
    memory: Option<Size>,
    open: Option<u64>,
    bodies: Option<Size>,
}

/// Resource limits of the whole process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of file descriptors. Clients and servers get half of them each, minus a few reserved ones. Lower limits
    /// of the platform or the system apply. At least 64.
    pub descriptors: Option<u64>,
    /// Maximum memory. A lower limit of the platform applies. At least 8 MiB.
    pub memory: Option<Size>,
    /// Maximum number of requests in flight, over all services. Default 20,000; 1 to 1,000,000.
    pub open: u64,
    /// Maximum size of all bodies of requests in flight. Default a quarter of the memory; at most half of it.
    pub bodies: Option<Size>,
}

impl Section {
    pub(crate) fn check(self, document: &mut Document<'_>) -> Limits {
        let Section {
            descriptors,
            memory,
            open,
            bodies,
        } = self;
        document.require(
            descriptors.is_none_or(|d| d >= 64),
            "limits.descriptors",
            "must be at least 64",
        );
        document.require(
            memory.is_none_or(|m| m >= Size(8 << 20)),
            "limits.memory",
            "must be at least 8MiB",
        );
        let open = open.unwrap_or(20_000);
        document.require(
            (1..=1_000_000).contains(&open),
            "limits.open",
            "must lie in 1 to 1000000",
        );
        if let (Some(bodies), Some(memory)) = (bodies, memory) {
            document.require(
                bodies.0 <= memory.0 / 2,
                "limits.bodies",
                "must be at most half of limits.memory",
            );
        }
        document.require(
            bodies.is_none_or(|b| b >= Size(64 << 10)),
            "limits.bodies",
            "must be at least 64KiB",
        );
        Limits {
            descriptors,
            memory,
            open,
            bodies,
        }
    }
}

/// Bounds of a count as written in the file.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct CountSection {
    guaranteed: Option<u64>,
    most: Option<u64>,
}

/// Bounds of a size as written in the file.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SizeSection {
    guaranteed: Option<Size>,
    most: Option<Size>,
}

/// The limits of a listener or a pool as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct MemberSection {
    open: CountSection,
    bodies: SizeSection,
    connections: CountSection,
    requests_per_second: Option<f64>,
    burst: Option<u32>,
    weight: Option<u32>,
}

/// Bounds of a member's share of one resource. A member is a listener or a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareBounds {
    /// The share reserved for the member, which is not lent to others. If absent: an equal share of half of the resource.
    pub guaranteed: Option<u64>,
    /// The maximum share including what is borrowed. If absent: the whole resource.
    pub max: Option<u64>,
}

/// A limit of the request rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Average requests per second; 0.001 to 1,000,000.
    pub per_second: f64,
    /// Burst size in requests; 1 to 1,000,000. Default: the requests of a tenth of a second.
    pub burst: u32,
}

impl RateLimit {
    /// Creates a full token bucket.
    pub fn bucket(&self) -> Rate {
        Rate::new(self.per_second, self.burst)
    }
}

/// Limits of the resources that the clients of a listener, or the requests of a pool, use together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Requests in flight.
    pub open: ShareBounds,
    /// Bytes of the request bodies.
    pub bodies: ShareBounds,
    /// Connections: from clients for a listener, to servers for a pool.
    pub connections: ShareBounds,
    /// Limit of the request rate; unlimited if absent.
    pub rate: Option<RateLimit>,
    /// Weight of its share of the thread's time, relative to the others. Default 1; 1 to 1,000.
    pub weight: u32,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        let unbounded = ShareBounds::default();
        ResourceLimits {
            open: unbounded,
            bodies: unbounded,
            connections: unbounded,
            rate: None,
            weight: 1,
        }
    }
}

impl MemberSection {
    pub(crate) fn check(&self, document: &mut Document<'_>, section: &str) -> ResourceLimits {
        let mut bounds = |name: &str, guaranteed: Option<u64>, max: Option<u64>| {
            let is_valid = guaranteed
                .zip(max)
                .is_none_or(|(guaranteed, max)| guaranteed <= max);
            document.require(
                is_valid,
                &format!("{section}.{name}.guaranteed"),
                "is over `most`; write less",
            );
            document.require(
                max != Some(0),
                &format!("{section}.{name}.most"),
                "must be at least 1",
            );
            ShareBounds { guaranteed, max }
        };
        let open = bounds("open", self.open.guaranteed, self.open.most);
        let connections = bounds(
            "connections",
            self.connections.guaranteed,
            self.connections.most,
        );
        let (guaranteed, max) = (
            self.bodies.guaranteed.map(|s| s.0),
            self.bodies.most.map(|s| s.0),
        );
        let bodies = bounds("bodies", guaranteed, max);
        let per_second = self.requests_per_second;
        let is_valid = per_second.is_none_or(|r| (0.001..=1e6).contains(&r));
        document.require(
            is_valid,
            &format!("{section}.requests_per_second"),
            "must lie in 0.001 to 1000000",
        );
        let (burst_field, burst) = (format!("{section}.burst"), self.burst);
        document.require(
            burst.is_none_or(|b| (1..=1_000_000).contains(&b)),
            &burst_field,
            "must lie in 1 to 1000000",
        );
        let lacks_rate = burst.is_some()
            && per_second.is_none()
            && !document.has(&format!("{section}.requests_per_second"));
        document.require(
            !lacks_rate,
            &burst_field,
            "has no effect without requests_per_second; write both",
        );
        let rate = per_second.map(|per_second| {
            let default_burst = (per_second / 10.0).ceil().clamp(1.0, 1e6) as u32;
            RateLimit {
                per_second,
                burst: burst.unwrap_or(default_burst),
            }
        });
        let weight = self.weight.unwrap_or(1);
        document.require(
            (1..=1_000).contains(&weight),
            &format!("{section}.weight"),
            "must lie in 1 to 1000",
        );
        ResourceLimits {
            open,
            bodies,
            connections,
            rate,
            weight,
        }
    }
}

/// Divides `total` units of a resource among members. Members without a configured guaranteed share get equal shares of half
/// of the units, or of what the configured shares leave if that is less. The guaranteed shares never exceed `total` in sum.
pub fn resource_shares(total: u64, members: &[ShareBounds]) -> Vec<Part> {
    let configured: u64 = members
        .iter()
        .filter_map(|b| b.guaranteed)
        .fold(0, u64::saturating_add);
    let unconfigured = members.iter().filter(|b| b.guaranteed.is_none()).count() as u64;
    let default_share = (total / 2).min(total.saturating_sub(configured)) / unconfigured.max(1);
    // The check of the file rejects shares above the configured total, but the system may provide less than configured.
    let scale = if configured > total {
        total as f64 / configured as f64
    } else {
        1.0
    };
    let share_of = |bounds: &ShareBounds| {
        let max = bounds.max.unwrap_or(total).min(total);
        let guaranteed = bounds
            .guaranteed
            .map_or(default_share, |g| (g as f64 * scale) as u64);
        Part {
            guaranteed: guaranteed.min(max),
            most: max,
        }
    };
    members.iter().map(share_of).collect()
}

/// Reports guaranteed shares whose sum exceeds the resources of the process.
pub(crate) fn check_guaranteed_shares(document: &mut Document<'_>, operator: &OperatorConfig) {
    type SelectBounds = fn(&ResourceLimits) -> ShareBounds;
    let limits = &operator.limits;
    let connections = limits.descriptors.map(|d| d / 2);
    let bodies = limits
        .bodies
        .or(limits.memory.map(|m| Size(m.0 / 4)))
        .map(|b| b.0);
    let totals: [(&str, Option<u64>, SelectBounds); 3] = [
        ("open", Some(limits.open), |m| m.open),
        ("bodies", bodies, |m| m.bodies),
        ("connections", connections, |m| m.connections),
    ];
    let listeners: Vec<&ResourceLimits> = operator.listeners.iter().map(|l| &l.limits).collect();
    let pools: Vec<&ResourceLimits> = operator.pools.iter().map(|p| &p.limits).collect();
    for (section, members) in [("listeners", listeners), ("pools", pools)] {
        for (name, total, bounds_of) in &totals {
            let guaranteed = |m: &&ResourceLimits| bounds_of(m).guaranteed;
            let sum = members
                .iter()
                .filter_map(guaranteed)
                .fold(0, u64::saturating_add);
            let last = members.iter().rposition(|m| guaranteed(m).is_some());
            if let (Some(total), Some(last)) =
                (total, last.filter(|_| total.is_some_and(|t| sum > t)))
            {
                let field = format!("{section}[{last}].limits.{name}.guaranteed");
                let problem = format!(
                    "the guaranteed shares of all {section} come to {sum}, and there are {total}"
                );
                document.problem(&field, problem);
            }
        }
    }
}

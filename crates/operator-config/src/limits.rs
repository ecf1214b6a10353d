//! `[limits]`, and the `limits` of listeners and pools: who may hold how much.

use crate::OperatorConfig;
use madderloom_config_reader::{Document, Size};
use madderloom_routing::rate::Rate;
use madderloom_routing::shares::Part;
use serde::Deserialize;

/// The section of the whole process as it is written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    descriptors: Option<u64>,
    memory: Option<Size>,
    open: Option<u64>,
    bodies: Option<Size>,
}

/// What the whole process may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// File descriptors; clients and servers get half of them each, less a few. The platform's and the system's bound
    /// where they are less. At least 64.
    pub descriptors: Option<u64>,
    /// Memory. The platform's where that is less. At least 8 MiB.
    pub memory: Option<Size>,
    /// Requests that are open at once, of all services together. Usually 20,000; 1 to 1,000,000.
    pub open: u64,
    /// Bytes of bodies that open requests hold together. Usually a quarter of the memory, and at most half of it.
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
                "is over half of the memory; write less",
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

/// Bounds of a count as they are written.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Counts {
    guaranteed: Option<u64>,
    most: Option<u64>,
}

/// Bounds of a size as they are written.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Sizes {
    guaranteed: Option<Size>,
    most: Option<Size>,
}

/// The limits of a listener or a pool as they are written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct MemberSection {
    open: Counts,
    bodies: Sizes,
    connections: Counts,
    requests_per_second: Option<f64>,
    burst: Option<u32>,
    weight: Option<u32>,
}

/// Bounds of one thing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareBounds {
    /// What is lent to nobody. Where it is not given: an equal part of half of what there is.
    pub guaranteed: Option<u64>,
    /// What may be held in all, borrowed or not. Where it is not given: all that there is.
    pub max: Option<u64>,
}

/// How many requests come in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// On average; 0.001 to 1,000,000.
    pub per_second: f64,
    /// At once; 1 to 1,000,000, usually a tenth of a second's.
    pub burst: u32,
}

impl RateLimit {
    /// The bucket, full.
    pub fn bucket(&self) -> Rate {
        Rate::new(self.per_second, self.burst)
    }
}

/// What the clients of a listener, or the requests of a pool, may hold together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Requests that are open.
    pub open: ShareBounds,
    /// Bytes of their bodies.
    pub bodies: ShareBounds,
    /// Connections: of clients at a listener, to servers at a pool.
    pub connections: ShareBounds,
    /// No bound where it is not given.
    pub rate: Option<RateLimit>,
    /// Its part of the thread's time beside the others'. Usually 1; 1 to 1,000.
    pub weight: u32,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        let all = ShareBounds::default();
        ResourceLimits {
            open: all,
            bodies: all,
            connections: all,
            rate: None,
            weight: 1,
        }
    }
}

impl MemberSection {
    pub(crate) fn check(&self, document: &mut Document<'_>, at: &str) -> ResourceLimits {
        let mut bounds = |name: &str, guaranteed: Option<u64>, most: Option<u64>| {
            let sound = guaranteed.zip(most).is_none_or(|(g, m)| g <= m);
            document.require(
                sound,
                &format!("{at}.{name}.guaranteed"),
                "is over `most`; write less",
            );
            document.require(
                most != Some(0),
                &format!("{at}.{name}.most"),
                "must be at least 1",
            );
            ShareBounds {
                guaranteed,
                max: most,
            }
        };
        let open = bounds("open", self.open.guaranteed, self.open.most);
        let connections = bounds(
            "connections",
            self.connections.guaranteed,
            self.connections.most,
        );
        let (guaranteed, most) = (
            self.bodies.guaranteed.map(|s| s.0),
            self.bodies.most.map(|s| s.0),
        );
        let bodies = bounds("bodies", guaranteed, most);
        let per_second = self.requests_per_second;
        let sound = per_second.is_none_or(|r| (0.001..=1e6).contains(&r));
        document.require(
            sound,
            &format!("{at}.requests_per_second"),
            "must lie in 0.001 to 1000000",
        );
        let (named, burst) = (format!("{at}.burst"), self.burst);
        document.require(
            burst.is_none_or(|b| (1..=1_000_000).contains(&b)),
            &named,
            "must lie in 1 to 1000000",
        );
        let alone = burst.is_some()
            && per_second.is_none()
            && !document.has(&format!("{at}.requests_per_second"));
        document.require(
            !alone,
            &named,
            "has no effect without requests_per_second; write both",
        );
        let rate = per_second.map(|per_second| {
            let usual = (per_second / 10.0).ceil().clamp(1.0, 1e6) as u32;
            RateLimit {
                per_second,
                burst: burst.unwrap_or(usual),
            }
        });
        let weight = self.weight.unwrap_or(1);
        document.require(
            (1..=1_000).contains(&weight),
            &format!("{at}.weight"),
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

/// The parts of members in so many units. Members whose guaranteed part is not given have an equal part of half of
/// the units each, or of what the others leave of it. The guaranteed parts never come to more than the units.
pub fn resource_shares(total: u64, members: &[ShareBounds]) -> Vec<Part> {
    let given: u64 = members
        .iter()
        .filter_map(|b| b.guaranteed)
        .fold(0, u64::saturating_add);
    let silent = members.iter().filter(|b| b.guaranteed.is_none()).count() as u64;
    let usual = (total / 2).min(total.saturating_sub(given)) / silent.max(1);
    // More than there is was refused with the file; here it may be that the system gives less than the file says.
    let scale = if given > total {
        total as f64 / given as f64
    } else {
        1.0
    };
    let part = |bounds: &ShareBounds| {
        let most = bounds.max.unwrap_or(total).min(total);
        let own = bounds
            .guaranteed
            .map_or(usual, |g| (g as f64 * scale) as u64);
        Part {
            guaranteed: own.min(most),
            most,
        }
    };
    members.iter().map(part).collect()
}

/// Notes guaranteed parts that come to more than the process has.
pub(crate) fn check_parts(document: &mut Document<'_>, operator: &OperatorConfig) {
    type Pick = fn(&ResourceLimits) -> ShareBounds;
    let limits = &operator.limits;
    let half = limits.descriptors.map(|d| d / 2);
    let bodies = limits
        .bodies
        .or(limits.memory.map(|m| Size(m.0 / 4)))
        .map(|b| b.0);
    let totals: [(&str, Option<u64>, Pick); 3] = [
        ("open", Some(limits.open), |m| m.open),
        ("bodies", bodies, |m| m.bodies),
        ("connections", half, |m| m.connections),
    ];
    let listeners: Vec<&ResourceLimits> = operator.listeners.iter().map(|l| &l.limits).collect();
    let pools: Vec<&ResourceLimits> = operator.pools.iter().map(|p| &p.limits).collect();
    for (section, members) in [("listeners", listeners), ("pools", pools)] {
        for (name, total, pick) in &totals {
            let given = |m: &&ResourceLimits| pick(m).guaranteed;
            let sum = members
                .iter()
                .filter_map(given)
                .fold(0, u64::saturating_add);
            let last = members.iter().rposition(|m| given(m).is_some());
            if let (Some(total), Some(last)) =
                (total, last.filter(|_| total.is_some_and(|t| sum > t)))
            {
                let field = format!("{section}[{last}].limits.{name}.guaranteed");
                let problem = format!(
                    "the guaranteed parts of all {section} come to {sum}, and there are {total}"
                );
                document.problem(&field, problem);
            }
        }
    }
}

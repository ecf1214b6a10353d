//! `[[control.fleet_limits]]`: the fleet-wide limits that apply to this instance, the requests that they apply to, and the
//! capacity that the instance may use while it has no lease.

use crate::names::{Names, is_name};
use http::HeaderName;
use madderloom_config_reader::Document;
use madderloom_control_plane::settings::check_name;
use madderloom_quota_leases::{Capacity, ONE_REQUEST, SafeCapacity, UNBOUNDED};
use serde::Deserialize;

/// Maximum number of limits of one instance.
const MAX_LIMITS: usize = 128;
/// Maximum rate in requests per second, and maximum number of requests in flight, of a safe capacity.
const MAX_REQUESTS: f64 = 1e8;

/// One limit as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    name: String,
    pool: String,
    class: Option<String>,
    header: Option<String>,
    value: Option<String>,
    each_server: bool,
    safe: SafeSection,
}

#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SafeSection {
    requests_per_second: Option<f64>,
    burst: Option<u32>,
    open: Option<u64>,
    divide_by: Option<u64>,
}

/// A name, or a name prefix followed by `*`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern(String);

impl Pattern {
    /// Whether the pattern matches a name.
    pub fn matches(&self, name: &str) -> bool {
        madderloom_quota_leases::matches_pattern(&self.0, name)
    }
}

/// One fleet-wide limit that applies to this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetLimit {
    /// Its name in the agent's file.
    pub name: String,
    /// The pools whose requests it limits.
    pub pool: Pattern,
    /// The class that it limits; all classes if none. GraphQL operations get their class later, so a limit with a class
    /// does not apply to them.
    pub class: Option<Pattern>,
    /// Limits only requests that have this header with a matching value, such as the name of a tenant.
    pub header: Option<(HeaderName, Pattern)>,
    /// Whether the limit applies to each server of the pools separately and counts attempts.
    pub each_server: bool,
    /// The capacity that may be used while the instance has no valid lease.
    pub safe_capacity: SafeCapacity,
}

pub(crate) fn check(
    document: &mut Document<'_>,
    sections: Vec<Section>,
    pools: &Names,
) -> Vec<FleetLimit> {
    document.require(
        sections.len() <= MAX_LIMITS,
        "control.fleet_limits",
        "are too many; at most 128 are allowed",
    );
    let mut names: Vec<String> = Vec::new();
    let mut limits = Vec::new();
    for (index, section) in sections.into_iter().take(MAX_LIMITS).enumerate() {
        let field = |name: &str| format!("control.fleet_limits[{index}].{name}");
        if let Err(problem) = check_name(&section.name) {
            document.problem(&field("name"), problem);
        }
        document.require(
            !names.contains(&section.name),
            &field("name"),
            "is not unique",
        );
        names.push(section.name.clone());
        limits.push(section.check(document, &field, pools));
    }
    limits
}

impl Section {
    fn check(
        self,
        document: &mut Document<'_>,
        field: &dyn Fn(&str) -> String,
        pools: &Names,
    ) -> FleetLimit {
        let pool = Pattern(if self.pool.is_empty() {
            "*".into()
        } else {
            self.pool
        });
        if !(0..pools.len()).any(|index| pool.matches(pools.name(index))) {
            let known: Vec<&str> = (0..pools.len()).map(|index| pools.name(index)).collect();
            document.problem(
                &field("pool"),
                format_args!("matches no pool; there are {}", known.join(", ")),
            );
        }
        let class = self.class.map(Pattern);
        let is_valid = |class: &Pattern| {
            is_name(class.0.strip_suffix('*').unwrap_or(&class.0)) || class.0 == "*"
        };
        document.require(
            class.as_ref().is_none_or(is_valid),
            &field("class"),
            "is not a class name or a prefix followed by *",
        );
        document.require(
            !self.each_server || (class.is_none() && self.header.is_none()),
            &field("each_server"),
            "counts all attempts at a server; remove class and header",
        );
        let header = match (self.header, self.value) {
            (None, None) => None,
            (Some(header), Some(value)) => match header.parse::<HeaderName>() {
                Ok(name) => Some((name, Pattern(value))),
                Err(_) => {
                    document.problem(&field("header"), "is not a header name");
                    None
                }
            },
            (Some(_), None) => {
                document.problem(
                    &field("value"),
                    "is missing; write the header's value, or a prefix followed by *",
                );
                None
            }
            (None, Some(_)) => {
                document.problem(&field("value"), "needs header");
                None
            }
        };
        let safe_capacity = self.safe.check(document, field);
        FleetLimit {
            name: self.name,
            pool,
            class,
            header,
            each_server: self.each_server,
            safe_capacity,
        }
    }
}

impl SafeSection {
    fn check(self, document: &mut Document<'_>, field: &dyn Fn(&str) -> String) -> SafeCapacity {
        let SafeSection {
            requests_per_second: rate,
            burst,
            open,
            divide_by,
        } = self;
        let rate_is_valid = rate.is_none_or(|rate| (0.0..=MAX_REQUESTS).contains(&rate));
        document.require(
            rate_is_valid,
            &field("safe.requests_per_second"),
            "must lie in 0 to 100000000",
        );
        let open_is_valid = open.is_none_or(|open| open as f64 <= MAX_REQUESTS);
        document.require(
            open_is_valid,
            &field("safe.open"),
            "must be 100000000 at most",
        );
        if let Some(divisor) = divide_by {
            let has_no_figures = rate.is_none() && burst.is_none() && open.is_none();
            document.require(
                has_no_figures,
                &field("safe.divide_by"),
                "cannot be combined with other fields of safe",
            );
            document.require(divisor > 0, &field("safe.divide_by"), "must be 1 or more");
            return SafeCapacity::Fraction(divisor.max(1));
        }
        if rate.is_none() && open.is_none() {
            document.require(
                burst.is_none(),
                &field("safe.burst"),
                "needs requests_per_second",
            );
            return SafeCapacity::Zero;
        }
        let to_units =
            |requests: f64| (requests.clamp(0.0, MAX_REQUESTS) * ONE_REQUEST as f64).round() as u64;
        SafeCapacity::Fixed(Capacity {
            // A safe capacity without a rate is limited only by the requests in flight.
            rate: rate.map_or(UNBOUNDED, to_units),
            burst: rate.map_or(UNBOUNDED, |_| to_units(f64::from(burst.unwrap_or(1)))),
            in_flight: open.unwrap_or(UNBOUNDED),
        })
    }
}

//! `[[control.fleet_limits]]`: the fleet-wide limits that this instance takes part in, for which of its requests, and what
//! it may let in while it has no lease.

use crate::names::{Names, is_name};
use http::HeaderName;
use madderloom_config_reader::Document;
use madderloom_control_plane::settings::check_name;
use madderloom_quota_leases::{Capacity, ONE_REQUEST, SafeCapacity, UNBOUNDED};
use serde::Deserialize;

/// The most limits of one instance.
const MOST: usize = 128;
/// The most requests of a safe part, a second, at once or open.
const MOST_REQUESTS: f64 = 1e8;

/// One limit as it is written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    name: String,
    pool: String,
    class: Option<String>,
    header: Option<String>,
    value: Option<String>,
    each_server: bool,
    safe: SafePart,
}

#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SafePart {
    requests_per_second: Option<f64>,
    burst: Option<u32>,
    open: Option<u64>,
    divide_by: Option<u64>,
}

/// A name, or the beginning of several with `*` behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern(String);

impl Pattern {
    /// Whether it fits a name.
    pub fn matches(&self, name: &str) -> bool {
        madderloom_quota_leases::matches_pattern(&self.0, name)
    }
}

/// One limit that this instance takes part in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetLimit {
    /// As the agent's file names it.
    pub name: String,
    /// Of the requests to which pools it is.
    pub pool: Pattern,
    /// Of which class; of GraphQL operations, which have theirs later, none. All, where none is given.
    pub class: Option<Pattern>,
    /// Of those that carry this header with such a value, such as a tenant's.
    pub header: Option<(HeaderName, Pattern)>,
    /// It is for each server of the pools by itself, and counts attempts.
    pub each_server: bool,
    /// What may be let in while no lease holds.
    pub safe_capacity: SafeCapacity,
}

pub(crate) fn check(
    document: &mut Document<'_>,
    sections: Vec<Section>,
    pools: &Names,
) -> Vec<FleetLimit> {
    document.require(
        sections.len() <= MOST,
        "control.fleet_limits",
        "are too many; there are 128 at most",
    );
    let mut names: Vec<String> = Vec::new();
    let mut limits = Vec::new();
    for (at, section) in sections.into_iter().take(MOST).enumerate() {
        let field = |name: &str| format!("control.fleet_limits[{at}].{name}");
        if let Err(problem) = check_name(&section.name) {
            document.problem(&field("name"), problem);
        }
        document.require(
            !names.contains(&section.name),
            &field("name"),
            "is there twice; names are unique",
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
        if !(0..pools.len()).any(|place| pool.matches(pools.name(place))) {
            let known: Vec<&str> = (0..pools.len()).map(|place| pools.name(place)).collect();
            document.problem(
                &field("pool"),
                format_args!("fits no pool; there are {}", known.join(", ")),
            );
        }
        let class = self.class.map(Pattern);
        let sound = |class: &Pattern| {
            is_name(class.0.strip_suffix('*').unwrap_or(&class.0)) || class.0 == "*"
        };
        document.require(
            class.as_ref().is_none_or(sound),
            &field("class"),
            "is no class, nor the beginning of one",
        );
        document.require(
            !self.each_server || (class.is_none() && self.header.is_none()),
            &field("each_server"),
            "counts all attempts at a server; take class and header out",
        );
        let header = match (self.header, self.value) {
            (None, None) => None,
            (Some(header), Some(value)) => match header.parse::<HeaderName>() {
                Ok(name) => Some((name, Pattern(value))),
                Err(_) => {
                    document.problem(&field("header"), "is no header's name");
                    None
                }
            },
            (Some(_), None) => {
                document.problem(
                    &field("value"),
                    "is missing; write the header's value, or its beginning and *",
                );
                None
            }
            (None, Some(_)) => {
                document.problem(&field("value"), "goes with a header");
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

impl SafePart {
    fn check(self, document: &mut Document<'_>, field: &dyn Fn(&str) -> String) -> SafeCapacity {
        let SafePart {
            requests_per_second: rate,
            burst,
            open,
            divide_by,
        } = self;
        let sound = rate.is_none_or(|rate| (0.0..=MOST_REQUESTS).contains(&rate));
        document.require(
            sound,
            &field("safe.requests_per_second"),
            "must lie in 0 to 100000000",
        );
        let open_is_sound = open.is_none_or(|open| open as f64 <= MOST_REQUESTS);
        document.require(
            open_is_sound,
            &field("safe.open"),
            "must be 100000000 at most",
        );
        if let Some(resource_shares) = divide_by {
            let alone = rate.is_none() && burst.is_none() && open.is_none();
            document.require(
                alone,
                &field("safe.divide_by"),
                "stands alone, without figures",
            );
            document.require(
                resource_shares > 0,
                &field("safe.divide_by"),
                "must be 1 or more",
            );
            return SafeCapacity::Fraction(resource_shares.max(1));
        }
        if rate.is_none() && open.is_none() {
            document.require(
                burst.is_none(),
                &field("safe.burst"),
                "goes with requests_per_second",
            );
            return SafeCapacity::Zero;
        }
        let thousandths =
            |figure: f64| (figure.clamp(0.0, MOST_REQUESTS) * ONE_REQUEST as f64).round() as u64;
        SafeCapacity::Fixed(Capacity {
            // A safe part that bounds only what is open lets in no more than that at once.
            rate: rate.map_or(UNBOUNDED, thousandths),
            burst: rate.map_or(UNBOUNDED, |_| thousandths(f64::from(burst.unwrap_or(1)))),
            in_flight: open.unwrap_or(UNBOUNDED),
        })
    }
}

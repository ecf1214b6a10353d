//! `[[fleet_limits]]`: limits that hold for all instances together.

use madderloom_config_reader::{Document, Span};
use madderloom_control_plane::settings::check_name;
use madderloom_quota_leases::{Amount, Limit, ONE, UNBOUNDED};
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The most fleet-wide limits of a file.
const MAX_LIMITS: usize = 128;
/// The most that a limit can be set to: requests a second, at once or in flight. Figures beyond are typing errors.
const MAX_FIGURE: f64 = 1e8;
/// The most weights of a limit.
const MAX_WEIGHTS: usize = 256;
/// The greatest weight; the least is 1.
const MAX_WEIGHT: u32 = 1_000;
/// How long a request can be in flight, where the file does not say.
const DEFAULT_LONGEST: Span = Span::s(60);
/// The most that it can be set to.
const MAX_LONGEST: Span = Span::s(3_600);

/// An entry of the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct FleetLimitEntry {
    name: String,
    requests_per_second: Option<f64>,
    burst: Option<u32>,
    open: Option<u64>,
    floor: f64,
    weights: BTreeMap<String, u32>,
    by_zone: bool,
    each_server: bool,
    longest: Option<Span>,
}

/// Checks the entries of a file, and returns the limits by their names.
pub(super) fn read_limits(
    entries: Vec<FleetLimitEntry>,
    document: &mut Document<'_>,
) -> BTreeMap<String, Limit> {
    document.require(
        entries.len() <= MAX_LIMITS,
        "fleet_limits",
        "are too many; there are 128 at most",
    );
    let mut limits = BTreeMap::new();
    for (index, entry) in entries.into_iter().enumerate() {
        entry.check(index, document);
        let name = entry.name.clone();
        if limits.insert(name, entry.into_limit()).is_some() {
            document.problem(
                &format!("fleet_limits[{index}].name"),
                "is that of another one",
            );
        }
    }
    limits
}

impl FleetLimitEntry {
    /// Reports what is wrong with the entry of this index.
    fn check(&self, index: usize, document: &mut Document<'_>) {
        let field = |name: &str| format!("fleet_limits[{index}].{name}");
        if let Err(problem) = check_name(&self.name) {
            document.problem(&field("name"), problem);
        }
        let rate = self.requests_per_second;
        let is_figure = |figure: f64| (0.0..=MAX_FIGURE).contains(&figure);
        let mut require = |holds, name, text| document.require(holds, &field(name), text);
        require(
            rate.is_some() || self.open.is_some(),
            "name",
            "bounds nothing; write requests_per_second, open, or both",
        );
        require(
            rate.is_none_or(is_figure),
            "requests_per_second",
            "must lie in 0 to 100000000",
        );
        require(
            rate.is_some() || self.burst.is_none(),
            "burst",
            "goes with requests_per_second",
        );
        require(
            self.burst.is_none_or(|burst| burst > 0),
            "burst",
            "must be 1 or more",
        );
        require(
            self.open.is_none_or(|open| open as f64 <= MAX_FIGURE),
            "open",
            "must be 100000000 at most",
        );
        require(is_figure(self.floor), "floor", "must lie in 0 to 100000000");
        require(
            self.are_weights_valid(),
            "weights",
            "are 256 at most, each 1 to 1000",
        );
        require(
            self.longest() <= MAX_LONGEST,
            "longest",
            "must be 1h at most",
        );
    }

    fn are_weights_valid(&self) -> bool {
        let mut weights = self.weights.values();
        self.weights.len() <= MAX_WEIGHTS && weights.all(|weight| (1..=MAX_WEIGHT).contains(weight))
    }

    fn longest(&self) -> Span {
        self.longest.unwrap_or(DEFAULT_LONGEST)
    }

    fn into_limit(self) -> Limit {
        let longest = self.longest().micros();
        let rate = self.requests_per_second;
        // By default the requests of one second, so that each of many instances gets one request of it or more.
        let default_burst = rate.map(|rate| rate.max(1.0));
        let burst = self.burst.map(f64::from).or(default_burst);
        Limit {
            whole: Amount {
                rate: rate.map_or(UNBOUNDED, to_thousandths),
                burst: burst.map_or(UNBOUNDED, to_thousandths),
                open: self.open.unwrap_or(UNBOUNDED),
            },
            floor: to_thousandths(self.floor),
            weights: in_order_of_precedence(self.weights),
            by_zone: self.by_zone,
            each_server: self.each_server,
            longest,
        }
    }
}

fn to_thousandths(figure: f64) -> u64 {
    (figure.clamp(0.0, MAX_FIGURE) * ONE as f64).round() as u64
}

/// The weights in the order in which their names are tried: whole names first, then beginnings (`shop-*`), longer ones first.
fn in_order_of_precedence(weights: BTreeMap<String, u32>) -> Vec<(String, u64)> {
    let weights = weights.into_iter();
    let mut weights: Vec<(String, u64)> = weights
        .map(|(name, weight)| (name, u64::from(weight)))
        .collect();
    weights.sort_by_key(|(name, _)| (name.ends_with('*'), Reverse(name.len())));
    weights
}

//! Where instances are: which service, zone and region each belongs to, and groups of them that a step is about.

use madderloom_control_plane::change::{Selector, Traits};
use madderloom_control_plane::settings::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Regions.
pub const REGIONS: usize = 4;
/// Zones, shared out to the regions in turn.
pub const ZONES: usize = 13;
/// Instances of one service.
pub const PER_SERVICE: usize = 10;
/// Machines of one rack.
pub const RACK: usize = 40;

/// The name of an instance.
pub fn name(number: usize) -> String {
    format!("shop-{number}")
}

/// The name of the zone that an instance is in. Neighbouring numbers are in different zones.
pub fn zone(number: usize) -> String {
    zone_name(zone_number(number))
}

/// The number of the zone that an instance is in.
pub fn zone_number(number: usize) -> usize {
    number % ZONES
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

/// The region that an instance is in.
pub fn region(number: usize) -> usize {
    zone_number(number) % REGIONS
}

/// The name of the service that an instance belongs to.
pub fn service(number: usize) -> String {
    format!("service-{:04}", number / PER_SERVICE)
}

/// What an instance says of itself.
pub fn traits(number: usize) -> Traits {
    let labels = [
        ("service", service(number)),
        ("region", format!("region-{}", region(number))),
    ];
    Traits {
        zone: zone(number),
        labels: labels
            .into_iter()
            .map(|(label, value)| (label.to_string(), value))
            .collect(),
        build: env!("CARGO_PKG_VERSION").to_string(),
        file: Fingerprint::of(&"an operator file"),
    }
}

/// Some of the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// All of them.
    All,
    /// Those of the first service.
    Service,
    /// Those of the first zone.
    Zone,
    /// Those of the first region.
    Region,
    /// The first [`RACK`] of the first zone.
    Rack,
    /// A single one.
    One(usize),
}

impl Group {
    /// Whether an instance is one of these.
    pub fn holds(self, number: usize) -> bool {
        match self {
            Group::All => true,
            Group::Service => number < PER_SERVICE,
            Group::Zone => number.is_multiple_of(ZONES),
            Group::Region => region(number) == 0,
            Group::Rack => number.is_multiple_of(ZONES) && number / ZONES < RACK,
            Group::One(one) => number == one,
        }
    }

    /// How many of so many instances these are.
    pub fn count(self, instances: usize) -> usize {
        (0..instances).filter(|number| self.holds(*number)).count()
    }

    /// What selects these in a change; none for those that no label tells apart.
    pub fn selector(self) -> Option<Selector> {
        match self {
            Group::All => Some(Selector::default()),
            Group::Service => {
                let labels = BTreeMap::from([("service".to_string(), service(0))]);
                Some(Selector {
                    labels,
                    ..Selector::default()
                })
            }
            Group::Zone => Some(Selector {
                zones: vec![zone_name(0)],
                ..Selector::default()
            }),
            Group::Region => {
                let labels = BTreeMap::from([("region".to_string(), "region-0".to_string())]);
                Some(Selector {
                    labels,
                    ..Selector::default()
                })
            }
            Group::Rack => None,
            Group::One(number) => Some(Selector::named([name(number)])),
        }
    }
}

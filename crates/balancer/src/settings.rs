//! Reads the settings object, which describes an instance's site. The simulator's first message and a
//! sidecar's configuration file contain the same object.

use crate::interface::*;
use serde::Deserialize;

/// Defaults for fields that a site omits.
mod defaults {
    use crate::interface::Micros;

    pub fn conn_idle() -> Micros {
        60_000_000
    }
    pub fn connect_timeout() -> Micros {
        250_000
    }
    pub fn ask_within() -> Micros {
        10_000_000
    }
    pub fn max_open() -> usize {
        20_000
    }
}

/// The settings object, with the field names of its external format. Unknown keys are ignored.
#[derive(Deserialize)]
struct SettingsObject {
    group_size: u32,
    my_zone: u32,
    period: Micros,
    services: Vec<ServiceSettings>,
    #[serde(default)]
    tenants: Vec<TenantSettings>,
    discovery: DiscoveryMode,
    limits: LimitSettings,
    #[serde(default)]
    load_report: LoadReportFormat,
    safety: SafetySettings,
    #[serde(default)]
    tariffs: PriceSettings,
    #[serde(default)]
    worth_by: WeightBasis,
    #[serde(default)]
    areas: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

#[derive(Deserialize)]
struct ServiceSettings {
    #[serde(default)]
    name: String,
    on_time: Micros,
    #[serde(default)]
    aim_stretch: f64,
    give_up: Micros,
    effect: RetrySafetyName,
    #[serde(default)]
    key_scope: ScopeName,
    #[serde(default)]
    window: Micros,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
enum WeightBasis {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum RetrySafetyName {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "lowercase")]
enum ScopeName {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize)]
struct TenantSettings {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum DiscoveryMode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct LimitSettings {
    cancel: bool,
    #[serde(default = "defaults::conn_idle")]
    conn_idle: Micros,
    #[serde(default = "defaults::connect_timeout")]
    connect_timeout: Micros,
    #[serde(default = "defaults::max_open")]
    max_open: usize,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: Micros,
    max_attempts: u32,
    #[serde(default)]
    probes: bool,
}

#[derive(Deserialize, Default)]
struct LoadReportFormat {
    #[serde(default)]
    how: String,
    #[serde(default)]
    fields: Vec<String>,
}

/// Positions of the values in a load report that the balancer uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReportLayout {
    in_flight: Option<usize>,
    errors_per_second: Option<usize>,
}

impl LoadReportLayout {
    fn from_format(format: &LoadReportFormat) -> Self {
        let position = |name: &str| format.fields.iter().position(|field| field == name);
        LoadReportLayout {
            in_flight: position("rif").or(position("q")),
            errors_per_second: position("fail_rate"),
        }
    }

    /// Reads a load report: values separated by commas, in the order of the settings' fields.
    pub fn parse_report(self, row: &str) -> Option<LoadReport> {
        let value = |position: usize| {
            row.split(',')
                .nth(position)?
                .parse()
                .ok()
                .filter(|value| *value >= 0.0)
        };
        let in_flight = self.in_flight.and_then(value)?;
        Some(LoadReport {
            in_flight,
            errors_per_second: self.errors_per_second.and_then(value).unwrap_or(0.0),
        })
    }
}

#[derive(Deserialize)]
struct SafetySettings {
    #[serde(default = "defaults::ask_within")]
    ask_within: Micros,
    cold_from: f64,
    cold: Micros,
    fall: Micros,
    /// No drain grace if the site omits it.
    #[serde(default)]
    drain_grace: Micros,
}

#[derive(Deserialize, Default)]
struct PriceSettings {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    probe: f64,
}

/// Settings of a site, read from its settings object.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(from = "SettingsObject")]
pub struct Site {
    /// Settings of the balancer.
    pub settings: Settings,
    /// Layout of the servers' load reports.
    pub layout: LoadReportLayout,
    /// Names of the classes, in the order of their indexes.
    pub classes: Vec<String>,
    /// Names of the zones, in the order of their indexes.
    pub zones: Vec<String>,
    /// Names of the machine kinds, in the order of their indexes.
    pub kinds: Vec<String>,
    /// The other side closes a connection that has been idle for this long.
    pub conn_idle: Micros,
    /// Connection timeout.
    pub connect_timeout: Micros,
    /// Maximum number of requests in flight.
    pub max_open: usize,
}

impl Site {
    /// Reads a settings object. The error message contains the path of the invalid field.
    pub fn from_json(json: &str) -> Result<Self, String> {
        let mut deserializer = serde_json::Deserializer::from_str(json);
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| error.to_string())
    }
}

impl From<SettingsObject> for Site {
    fn from(object: SettingsObject) -> Self {
        let layout = LoadReportLayout::from_format(&object.load_report);
        let reports_load = object.load_report.how != "none" && layout.in_flight.is_some();
        Site {
            layout,
            classes: object
                .services
                .iter()
                .map(|service| service.name.clone())
                .collect(),
            zones: object.areas.clone(),
            kinds: object.kinds.clone(),
            conn_idle: object.limits.conn_idle,
            connect_timeout: object.limits.connect_timeout,
            max_open: object.limits.max_open,
            settings: balancer_settings(object, reports_load),
        }
    }
}

fn balancer_settings(object: SettingsObject, reports_load: bool) -> Settings {
    let class = |service: &ServiceSettings| Class {
        latency_objective: service.on_time,
        latency_objective_stretch: service.aim_stretch,
        deadline: service.give_up,
        retry_safety: match service.effect {
            RetrySafetyName::Safe => RetrySafety::Idempotent,
            RetrySafetyName::Unsafe => RetrySafety::NonIdempotent,
            RetrySafetyName::Keyed => RetrySafety::IdempotentWithKey {
                scope: match service.key_scope {
                    ScopeName::All => DeduplicationScope::All,
                    ScopeName::Zone => DeduplicationScope::Zone,
                    ScopeName::Cell => DeduplicationScope::Cell,
                },
                window: service.window,
            },
        },
        priority_weight: service.worth,
        late_weight_share: service.late_worth,
    };
    Settings {
        group_size: object.group_size,
        zone: object.my_zone,
        tick: object.period,
        classes: object.services.iter().map(class).collect(),
        tenants: object
            .tenants
            .iter()
            .map(|tenant| Tenant {
                quota: tenant.quota_per_s,
            })
            .collect(),
        discovery_on_request: object.discovery == DiscoveryMode::Subscribe,
        limits: Limits {
            cancel: object.limits.cancel,
            // A probe is useless if servers do not report their load.
            probes: object.limits.probes && reports_load,
            retry_after: object.limits.retry_after,
            max_retry_after: object.limits.max_retry_after,
            max_attempts: object.limits.max_attempts,
        },
        rules: SafetyRules {
            slow_start_min_share: object.safety.cold_from,
            slow_start_window: object.safety.cold,
            overload_window: object.safety.fall,
            max_poll_interval: object.safety.ask_within,
            drain_grace: object.safety.drain_grace,
        },
        prices: Prices {
            cross_zone: object.tariffs.cross_zone,
            probe: object.tariffs.probe,
        },
        weight_per_work: object.worth_by == WeightBasis::Work,
    }
}

/// Converts the path of a field in [`Settings`] to its path in the settings object, for error messages.
pub fn settings_key(field: &str) -> String {
    let names = [
        ("classes", "services"),
        ("tenants", "tenants"),
        ("rules", "safety"),
        ("prices", "tariffs"),
        ("aim", "on_time"),
        ("deadline", "give_up"),
        ("quota", "quota_per_s"),
        ("tick", "period"),
    ];
    let external_part = |part: &str| {
        let (name, index) = part.split_at(part.find('[').unwrap_or(part.len()));
        let name = names
            .iter()
            .find(|(internal, _)| *internal == name)
            .map_or(name, |(_, external)| external);
        format!("{name}{index}")
    };
    field
        .split('.')
        .map(external_part)
        .collect::<Vec<_>>()
        .join(".")
}

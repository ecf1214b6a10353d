//! The settings object: what an instance is told of its site. The simulator's first message and a
//! sidecar's configuration hold the same object, and both are read here.

use crate::interface::*;
use serde::Deserialize;

/// What holds where a site is silent.
mod usual {
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

/// Start-up settings as the dialect words them. Unknown keys are skipped.
#[derive(Deserialize)]
struct Profile {
    group_size: u32,
    my_zone: u32,
    period: Micros,
    services: Vec<Service>,
    #[serde(default)]
    tenants: Vec<ClientGroup>,
    discovery: Discovery,
    limits: SiteLimits,
    #[serde(default)]
    load_report: LoadReport,
    safety: Safety,
    #[serde(default)]
    tariffs: Tariffs,
    #[serde(default)]
    worth_by: WorthBy,
    #[serde(default)]
    areas: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

#[derive(Deserialize)]
struct Service {
    #[serde(default)]
    name: String,
    on_time: Micros,
    #[serde(default)]
    aim_stretch: f64,
    give_up: Micros,
    effect: EffectName,
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
enum WorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum EffectName {
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
struct ClientGroup {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct SiteLimits {
    cancel: bool,
    #[serde(default = "usual::conn_idle")]
    conn_idle: Micros,
    #[serde(default = "usual::connect_timeout")]
    connect_timeout: Micros,
    #[serde(default = "usual::max_open")]
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
struct LoadReport {
    #[serde(default)]
    how: String,
    #[serde(default)]
    fields: Vec<String>,
}

/// Where in a load report the values stand that are read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Layout {
    held: Option<usize>,
    errors: Option<usize>,
}

impl Layout {
    fn of(report: &LoadReport) -> Self {
        let place = |name: &str| report.fields.iter().position(|f| f == name);
        Layout {
            held: place("rif").or(place("q")),
            errors: place("fail_rate"),
        }
    }

    /// Reads a report whose values come in the order of the settings.
    pub fn report(self, row: &str) -> Option<Report> {
        let value = |place: usize| {
            row.split(',')
                .nth(place)?
                .parse()
                .ok()
                .filter(|v| *v >= 0.0)
        };
        let held = self.held.and_then(value)?;
        Some(Report {
            held,
            errors: self.errors.and_then(value).unwrap_or(0.0),
        })
    }
}

#[derive(Deserialize)]
struct Safety {
    #[serde(default = "usual::ask_within")]
    ask_within: Micros,
    cold_from: f64,
    cold: Micros,
    fall: Micros,
    /// Where a site is silent, there is no grace.
    #[serde(default)]
    drain_grace: Micros,
}

#[derive(Deserialize, Default)]
struct Tariffs {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    probe: f64,
}

/// A site, as its settings object tells of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(from = "Profile")]
pub struct Site {
    /// What the balancer is told.
    pub settings: Settings,
    /// How a load report is laid out.
    pub layout: Layout,
    /// The names of the classes, by their place in the settings.
    pub classes: Vec<String>,
    /// The names of the zones, likewise.
    pub zones: Vec<String>,
    /// The names of the machine kinds, likewise.
    pub kinds: Vec<String>,
    /// A connection that has stood idle for this long is closed by the other side.
    pub conn_idle: Micros,
    /// A connection that has not come up within this time is taken not to come.
    pub connect_timeout: Micros,
    /// Requests that may be open at once.
    pub max_open: usize,
}

impl Site {
    /// Reads a settings object and names the field that makes no sense.
    pub fn from_json(json: &str) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_str(json);
        serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())
    }
}

impl From<Profile> for Site {
    fn from(profile: Profile) -> Self {
        let layout = Layout::of(&profile.load_report);
        let reports = profile.load_report.how != "none" && layout.held.is_some();
        Site {
            layout,
            classes: profile.services.iter().map(|s| s.name.clone()).collect(),
            zones: profile.areas.clone(),
            kinds: profile.kinds.clone(),
            conn_idle: profile.limits.conn_idle,
            connect_timeout: profile.limits.connect_timeout,
            max_open: profile.limits.max_open,
            settings: balancer_settings(profile, reports),
        }
    }
}

fn balancer_settings(profile: Profile, reports: bool) -> Settings {
    let class = |s: &Service| Class {
        aim: s.on_time,
        aim_stretch: s.aim_stretch,
        deadline: s.give_up,
        effect: match s.effect {
            EffectName::Safe => Effect::Safe,
            EffectName::Unsafe => Effect::Unsafe,
            EffectName::Keyed => Effect::Keyed {
                scope: match s.key_scope {
                    ScopeName::All => Scope::All,
                    ScopeName::Zone => Scope::Zone,
                    ScopeName::Cell => Scope::Cell,
                },
                window: s.window,
            },
        },
        worth: s.worth,
        late_worth: s.late_worth,
    };
    Settings {
        group_size: profile.group_size,
        zone: profile.my_zone,
        tick: profile.period,
        classes: profile.services.iter().map(class).collect(),
        tenants: profile
            .tenants
            .iter()
            .map(|t| Tenant {
                quota: t.quota_per_s,
            })
            .collect(),
        discovery_on_request: profile.discovery == Discovery::Subscribe,
        limits: Limits {
            cancel: profile.limits.cancel,
            // A probe that tells no load is of no use.
            probes: profile.limits.probes && reports,
            retry_after: profile.limits.retry_after,
            max_retry_after: profile.limits.max_retry_after,
            max_attempts: profile.limits.max_attempts,
        },
        rules: Rules {
            cold_from: profile.safety.cold_from,
            cold: profile.safety.cold,
            fall: profile.safety.fall,
            ask_within: profile.safety.ask_within,
            drain_grace: profile.safety.drain_grace,
        },
        prices: Prices {
            cross_zone: profile.tariffs.cross_zone,
            probe: profile.tariffs.probe,
        },
        worth_by_work: profile.worth_by == WorthBy::Work,
    }
}

/// The name that a field of [`Settings`] has in the settings object, for errors that name it.
pub fn written_name(field: &str) -> String {
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
    let written = |part: &str| {
        let (name, index) = part.split_at(part.find('[').unwrap_or(part.len()));
        let name = names
            .iter()
            .find(|(ours, _)| *ours == name)
            .map_or(name, |(_, theirs)| theirs);
        format!("{name}{index}")
    };
    field.split('.').map(written).collect::<Vec<_>>().join(".")
}

//! The agent's file.

use madderloom_config_reader::{Document, Problem, Span};
use madderloom_control_plane::Rules;
use madderloom_control_plane::fleet_limits::FleetLimitSettings;
use madderloom_control_plane::membership::Leases;
use madderloom_control_plane::settings::check_name;
use madderloom_control_plane::spread::Pace;
use madderloom_pki::Files;
use madderloom_quota_leases::{
    Bound, Capacity, HolderWeight, Limit, MAX_LEASE_DURATION, MIN_LEASE_DURATION, ONE_REQUEST,
    UNBOUNDED,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The most connections at a time where the agent's file does not say: two for each instance that is known by default, and
/// some for operators.
pub const USUAL_CONNECTIONS: usize = 40_000;

/// An agent's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it keeps what must last; without it that is lost with the process.
    pub state: Option<PathBuf>,
    /// Where it writes who asked for what.
    pub audit: PathBuf,
    /// Its keys.
    pub keys: Files,
    /// The term of this start is above this one.
    pub term_above: u64,
    /// The most connections at a time.
    pub connections: usize,
    /// Leases, paces, reports.
    pub rules: Rules,
    /// Fleet-wide limits.
    pub lending: FleetLimitSettings,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    version: u32,
    listen: Option<SocketAddr>,
    state: Option<PathBuf>,
    audit: Option<PathBuf>,
    term_above: u64,
    connections: Option<usize>,
    keys: KeysPart,
    leases: LeasesPart,
    registrations: RegistrationsPart,
    fleet_limits: Vec<FleetLimit>,
}

/// The keys of a server.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct KeysPart {
    authority: Option<PathBuf>,
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
    revoked: Option<PathBuf>,
}

impl KeysPart {
    /// The files, beside the file that names them.
    pub(crate) fn files(self, document: &mut Document<'_>, place: &Path) -> Files {
        let mut needed = |path, field| needed_path(document, place, path, field);
        Files {
            authority: needed(self.authority, "keys.authority"),
            certificate: needed(self.certificate, "keys.certificate"),
            key: needed(self.key, "keys.key"),
            revoked: self.revoked.map(|path| beside(place, path)),
        }
    }
}

/// A path in a file, which is beside it.
pub(crate) fn beside(place: &Path, path: PathBuf) -> PathBuf {
    place.parent().unwrap_or(Path::new("")).join(path)
}

/// A path that a file has to name.
pub(crate) fn needed_path(
    document: &mut Document<'_>,
    place: &Path,
    path: Option<PathBuf>,
    field: &str,
) -> PathBuf {
    document.require(
        path.is_some(),
        field,
        "is missing; write the path of a file",
    );
    beside(place, path.unwrap_or_default())
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LeasesPart {
    report: Option<Span>,
    lease: Option<Span>,
    grace: Option<Span>,
    memory: Option<Span>,
    instances: Option<usize>,
    limits: Option<Span>,
}

/// A fleet-wide limit as it is written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FleetLimit {
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

/// The most requests a second, at once or open, of a fleet-wide limit.
const MOST: f64 = 1e8;
/// A request is open no longer, if nothing else is said.
const LONGEST: Span = Span::s(60);

impl FleetLimit {
    fn check(self, at: usize, document: &mut Document<'_>) -> (String, Limit) {
        let FleetLimit {
            name,
            requests_per_second: rate,
            burst,
            open,
            ..
        } = &self;
        let field = |name: &str| format!("fleet_limits[{at}].{name}");
        if let Err(problem) = check_name(name) {
            document.problem(&field("name"), problem);
        }
        let bounds = rate.is_some() || open.is_some();
        document.require(
            bounds,
            &field("name"),
            "bounds nothing; write requests_per_second, open, or both",
        );
        let sound = |rate: f64| (0.0..=MOST).contains(&rate);
        document.require(
            rate.is_none_or(sound),
            &field("requests_per_second"),
            "must lie in 0 to 100000000",
        );
        document.require(
            rate.is_some() || burst.is_none(),
            &field("burst"),
            "goes with requests_per_second",
        );
        document.require(
            burst.is_none_or(|burst| burst > 0),
            &field("burst"),
            "must be 1 or more",
        );
        document.require(
            open.is_none_or(|open| open as f64 <= MOST),
            &field("open"),
            "must be 100000000 at most",
        );
        document.require(
            sound(self.floor),
            &field("floor"),
            "must lie in 0 to 100000000",
        );
        let heavy = self
            .weights
            .values()
            .all(|weight| (1..=1_000).contains(weight));
        document.require(
            heavy && self.weights.len() <= 256,
            &field("weights"),
            "are 256 at most, each 1 to 1000",
        );
        let longest = self.longest.unwrap_or(LONGEST);
        document.require(
            longest <= Span::s(3_600),
            &field("longest"),
            "must be 1h at most",
        );
        let thousandths =
            |figure: f64| (figure.clamp(0.0, MOST) * ONE_REQUEST as f64).round() as u64;
        // Usually a second's worth, so that each of many has a request or more of it.
        let burst = burst.map(f64::from).or(rate.map(|rate| rate.max(1.0)));
        let total = Capacity {
            rate: rate.map_or(UNBOUNDED, thousandths),
            burst: burst.map_or(UNBOUNDED, thousandths),
            in_flight: open.unwrap_or(UNBOUNDED),
        };
        let mut weights: Vec<HolderWeight> = self
            .weights
            .into_iter()
            .map(|(pattern, weight)| HolderWeight {
                pattern,
                weight: u64::from(weight),
            })
            .collect();
        // Whole names first, then the longer beginnings.
        weights.sort_by_key(|weight| {
            let pattern = &weight.pattern;
            (pattern.ends_with('*'), std::cmp::Reverse(pattern.len()))
        });
        (
            self.name,
            Limit {
                total,
                min_rate: thousandths(self.floor),
                weights,
                by_zone: self.by_zone,
                per_server: self.each_server,
                max_request_duration: longest.micros(),
            },
        )
    }
}

/// The pace of registrations.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RegistrationsPart {
    rate: Option<u32>,
    burst: Option<u32>,
    horizon: Option<Span>,
}

impl RegistrationsPart {
    /// The pace, which is the usual one where the file does not say.
    pub(crate) fn pace(&self, document: &mut Document<'_>, usual: Pace) -> Pace {
        let pace = Pace {
            rate: self.rate.unwrap_or(usual.rate),
            burst: self.burst.unwrap_or(usual.burst),
            horizon: self.horizon.map_or(usual.horizon, Span::micros),
        };
        document.require(
            pace.rate > 0,
            "registrations.rate",
            "must be 1 or more a second",
        );
        document.require(
            pace.horizon >= 1_000_000,
            "registrations.horizon",
            "must be 1s or more",
        );
        pace
    }
}

impl Config {
    /// Reads an agent's file; paths in it are beside it.
    ///
    /// # Errors
    /// Every problem of the file, with its place.
    pub fn read(text: &str, place: &Path) -> Result<Self, Vec<Problem>> {
        let (mut document, file) = Document::read::<File>(text)?;
        document.require(file.version == 1, "version", "must be 1");
        let keys = file.keys.files(&mut document, place);
        let audit = needed_path(&mut document, place, file.audit, "audit");
        document.require(
            file.listen.is_some(),
            "listen",
            "is missing; write an address such as \"10.0.0.5:7070\"",
        );
        let usual = Rules::default();
        let micros = |span: Option<Span>, usual: u64| span.map_or(usual, Span::micros);
        let (part, leases) = (&file.leases, usual.leases);
        let rules = Rules {
            every: micros(part.report, usual.every),
            leases: Leases {
                lease: micros(part.lease, leases.lease),
                grace: micros(part.grace, leases.grace),
                memory: micros(part.memory, leases.memory),
                most: part.instances.unwrap_or(leases.most),
            },
            pace: file.registrations.pace(&mut document, usual.pace),
        };
        let every = rules.every;
        document.require(
            (100_000..=60_000_000).contains(&every),
            "leases.report",
            "must be from 100ms to 1m",
        );
        document.require(
            rules.leases.lease / 3 >= every,
            "leases.lease",
            "must be three reports or more",
        );
        document.require(
            rules.leases.grace > 0,
            "leases.grace",
            "must be more than nothing",
        );
        document.require(
            (1..=65_536).contains(&rules.leases.most),
            "leases.instances",
            "must be from 1 to 65536",
        );
        let duration = micros(file.leases.limits, rules.leases.lease);
        document.require(
            duration / 3 >= every && (MIN_LEASE_DURATION..=MAX_LEASE_DURATION).contains(&duration),
            "leases.limits",
            "must be three reports or more, and from 500ms to 10m",
        );
        let mut limits = BTreeMap::new();
        document.require(
            file.fleet_limits.len() <= 128,
            "fleet_limits",
            "are too many; there are 128 at most",
        );
        for (at, limit) in file.fleet_limits.into_iter().enumerate() {
            let (name, limit) = limit.check(at, &mut document);
            if limits.insert(name, limit).is_some() {
                document.problem(
                    &format!("fleet_limits[{at}].name"),
                    "is that of another one",
                );
            }
        }
        let connections = file.connections.unwrap_or(USUAL_CONNECTIONS);
        document.require(connections >= 4, "connections", "must be 4 or more");
        let config = Config {
            listen: file.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            state: file.state.map(|path| beside(place, path)),
            audit,
            keys,
            term_above: file.term_above,
            connections,
            rules,
            lending: FleetLimitSettings { limits, duration },
        };
        document.finish(config)
    }
}

impl Config {
    /// What each fleet-wide limit bounds, and how stale it may be, in figures.
    pub fn bounds(&self) -> Vec<Bound> {
        let FleetLimitSettings { limits, duration } = &self.lending;
        let bound = |(name, limit): (&String, &Limit)| Bound {
            limit: if limit.per_server {
                format!("{name} (each server by itself)")
            } else {
                name.clone()
            },
            total: limit.total,
            lease_duration: *duration,
            report_interval: self.rules.every,
            max_request_duration: limit.max_request_duration,
        };
        limits.iter().map(bound).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "version = 1\nlisten = \"127.0.0.1:7070\"\naudit = \"audit.log\"\n[keys]\n\
        authority = \"authority.pem\"\ncertificate = \"agent.pem\"\nkey = \"agent.key\"\n[leases]\nlease = \"9s\"\n";

    #[test]
    fn a_file_is_read_with_paths_beside_it() {
        let config = Config::read(FILE, Path::new("/etc/fleet/agent.toml")).expect("sound");
        assert_eq!(config.keys.key, Path::new("/etc/fleet/agent.key"));
        assert_eq!((config.rules.leases.lease, config.state), (9_000_000, None));
    }

    #[test]
    fn the_examples_make_sense() {
        let agent = include_str!("../../../examples/fleet/agent.toml");
        assert!(Config::read(agent, Path::new("agent.toml")).is_ok());
        for change in [
            include_str!("../../../examples/fleet/slow-w7.toml"),
            include_str!("../../../examples/fleet/calm.toml"),
        ] {
            assert!(madderloom_control_plane::file::read(change, Some(0)).is_ok());
        }
    }

    #[test]
    fn what_is_missing_or_makes_no_sense_is_told_with_its_field() {
        let text = FILE
            .replace("9s", "8s")
            .replace("key = \"agent.key\"\n", "")
            .replace("listen", "lisetn");
        let problems = Config::read(&text, Path::new("agent.toml")).expect_err("problems");
        let fields: Vec<&str> = problems
            .iter()
            .map(|problem| problem.field.as_str())
            .collect();
        for field in ["lisetn", "listen", "keys.key", "leases.lease"] {
            assert!(fields.contains(&field), "{field} in {fields:?}");
        }
    }
}

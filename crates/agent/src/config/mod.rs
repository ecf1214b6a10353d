//! The agent's configuration file.

mod fleet_limit;
mod sections;

pub use sections::DEFAULT_MAX_CONNECTIONS;
pub(crate) use sections::{
    KeysSection, RegistrationsSection, check_version, max_connections, required_listen_address,
    required_path, resolve_path,
};

use fleet_limit::{FleetLimitEntry, read_limits};
use madderloom_config_reader::{Document, Problem, Span};
use madderloom_control_plane::fleet_limits::FleetLimitSettings;
use madderloom_control_plane::membership::Leases;
use madderloom_control_plane::{Micros, Rules};
use madderloom_pki::KeyFiles;
use madderloom_quota_leases::{Bound, LEASES, Limit};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// The report intervals that can be set, in microseconds.
const REPORT_INTERVALS: RangeInclusive<Micros> = 100_000..=60_000_000;
/// The number of report intervals that a lease must cover, so that two lost reports do not end it.
const REPORTS_PER_LEASE: u64 = 3;
/// The most instances that can be set to be known.
const INSTANCE_COUNTS: RangeInclusive<usize> = 1..=65_536;

/// The settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The directory of the durable records. None: they are lost with the process.
    pub state_directory: Option<PathBuf>,
    /// The audit log: the file that records who requested which change.
    pub audit_log: PathBuf,
    /// The agent's keys.
    pub keys: KeyFiles,
    /// The term of this start is above this one.
    pub term_above: u64,
    /// The most connections at a time.
    pub max_connections: usize,
    /// Leases, paces, reports.
    pub rules: Rules,
    /// Fleet-wide limits.
    pub fleet_limits: FleetLimitSettings,
}

/// The file, as it is written.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    version: u32,
    listen: Option<SocketAddr>,
    state: Option<PathBuf>,
    audit: Option<PathBuf>,
    term_above: u64,
    connections: Option<usize>,
    keys: KeysSection,
    leases: LeasesSection,
    registrations: RegistrationsSection,
    fleet_limits: Vec<FleetLimitEntry>,
}

/// `[leases]`: the leases of names and of fleet-wide limits.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LeasesSection {
    report: Option<Span>,
    lease: Option<Span>,
    grace: Option<Span>,
    memory: Option<Span>,
    instances: Option<usize>,
    limits: Option<Span>,
}

impl LeasesSection {
    /// The report interval, in microseconds.
    fn report_interval(&self, document: &mut Document<'_>) -> Micros {
        let interval = self.report.map_or(Rules::default().every, Span::micros);
        document.require(
            REPORT_INTERVALS.contains(&interval),
            "leases.report",
            "must be from 100ms to 1m",
        );
        interval
    }

    /// The leases of names.
    fn name_leases(&self, document: &mut Document<'_>, report_interval: Micros) -> Leases {
        let defaults = Leases::default();
        let leases = Leases {
            lease: self.lease.map_or(defaults.lease, Span::micros),
            grace: self.grace.map_or(defaults.grace, Span::micros),
            memory: self.memory.map_or(defaults.memory, Span::micros),
            most: self.instances.unwrap_or(defaults.most),
        };
        document.require(
            covers_reports(leases.lease, report_interval),
            "leases.lease",
            "must be three reports or more",
        );
        document.require(
            leases.grace > 0,
            "leases.grace",
            "must be more than nothing",
        );
        document.require(
            INSTANCE_COUNTS.contains(&leases.most),
            "leases.instances",
            "must be from 1 to 65536",
        );
        leases
    }

    /// The duration of leases of fleet-wide limits, in microseconds: by default that of the leases of names.
    fn limit_lease(
        &self,
        document: &mut Document<'_>,
        report_interval: Micros,
        name_lease: Micros,
    ) -> Micros {
        let duration = self.limits.map_or(name_lease, Span::micros);
        document.require(
            covers_reports(duration, report_interval) && (LEASES.0..=LEASES.1).contains(&duration),
            "leases.limits",
            "must be three reports or more, and from 500ms to 10m",
        );
        duration
    }
}

fn covers_reports(lease: Micros, report_interval: Micros) -> bool {
    lease / REPORTS_PER_LEASE >= report_interval
}

impl AgentConfig {
    /// Reads the file of an agent. Paths in it are relative to the directory of `path`.
    ///
    /// # Errors
    /// All problems of the file, each with its place.
    pub fn read(text: &str, path: &Path) -> Result<Self, Vec<Problem>> {
        let (mut document, file) = Document::read::<File>(text)?;
        check_version(&mut document, file.version);
        let keys = file.keys.files(&mut document, path);
        let audit_log = required_path(&mut document, path, file.audit, "audit");
        let listen = required_listen_address(&mut document, file.listen);
        let pace = file
            .registrations
            .pace(&mut document, Rules::default().pace);
        let every = file.leases.report_interval(&mut document);
        let leases = file.leases.name_leases(&mut document, every);
        let duration = file.leases.limit_lease(&mut document, every, leases.lease);
        let limits = read_limits(file.fleet_limits, &mut document);
        let max_connections = max_connections(&mut document, file.connections);
        let config = AgentConfig {
            listen,
            state_directory: file.state.map(|state| resolve_path(path, state)),
            audit_log,
            keys,
            term_above: file.term_above,
            max_connections,
            rules: Rules {
                leases,
                pace,
                every,
            },
            fleet_limits: FleetLimitSettings { limits, duration },
        };
        document.finish(config)
    }

    /// What each fleet-wide limit guarantees: how much can be admitted, and how stale a lease can be.
    pub fn bounds(&self) -> Vec<Bound> {
        let limits = self.fleet_limits.limits.iter();
        limits
            .map(|(name, limit)| self.bound(name, limit))
            .collect()
    }

    fn bound(&self, name: &str, limit: &Limit) -> Bound {
        let name = if limit.each_server {
            format!("{name} (each server by itself)")
        } else {
            name.to_string()
        };
        Bound {
            name,
            whole: limit.whole,
            lease: self.fleet_limits.duration,
            every: self.rules.every,
            longest: limit.longest,
        }
    }
}

//! The relay's configuration file.

use crate::config::{
    KeysSection, RegistrationsSection, check_version, max_connections, required_listen_address,
    required_path,
};
use madderloom_config_reader::{Document, Problem, Span};
use madderloom_control_plane::Micros;
use madderloom_control_plane::relay::RelayRules;
use madderloom_control_plane::settings::check_name;
use madderloom_pki::KeyFiles;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// The most agents that a relay can be configured with.
const MAX_AGENTS: usize = 8;
/// How long the relay can be set to wait for the agent's answer before it answers an instance itself, in microseconds. An
/// instance regards a registration as lost after 5 s.
const ANSWER_TIMEOUTS: RangeInclusive<Micros> = 10_000..=4_000_000;
/// The leases of instances that can be set, in microseconds.
const LEASES: RangeInclusive<Micros> = 300_000..=600_000_000;
/// The most instances that can be set to be known.
const INSTANCE_COUNTS: RangeInclusive<usize> = 1..=65_536;

/// The settings of a relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Its name, which no other relay has.
    pub name: String,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Its keys as a server, with a certificate for an agent.
    pub keys: KeyFiles,
    /// The most connections at a time.
    pub max_connections: usize,
    /// The agents above it, `HOST:PORT` each, one at least. It is connected to one at a time, and connects to the next where
    /// that fails.
    pub agents: Vec<String>,
    /// Its keys as a client, with a certificate for an instance that is valid for the names of all its instances.
    pub client_keys: KeyFiles,
    /// Leases, bounds, paces.
    pub rules: RelayRules,
}

/// The file, as it is written.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    version: u32,
    name: String,
    listen: Option<SocketAddr>,
    connections: Option<usize>,
    keys: KeysSection,
    parent: ParentSection,
    children: ChildrenSection,
    registrations: RegistrationsSection,
}

/// `[parent]`: the agents above.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ParentSection {
    agents: Vec<String>,
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
}

/// `[children]`: the instances.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ChildrenSection {
    lease: Option<Span>,
    answer: Option<Span>,
    instances: Option<usize>,
}

impl RelayConfig {
    /// Reads the file of a relay. Paths in it are relative to the directory of `path`.
    ///
    /// # Errors
    /// All problems of the file, each with its place.
    pub fn read(text: &str, path: &Path) -> Result<Self, Vec<Problem>> {
        let (mut document, file) = Document::read::<File>(text)?;
        check_version(&mut document, file.version);
        if let Err(problem) = check_name(&file.name) {
            document.problem("name", problem);
        }
        let listen = required_listen_address(&mut document, file.listen);
        file.parent.check_agents(&mut document);
        let keys = file.keys.files(&mut document, path);
        let (certificate, key) = (file.parent.certificate, file.parent.key);
        let client_keys = KeyFiles {
            certificate: required_path(&mut document, path, certificate, "parent.certificate"),
            key: required_path(&mut document, path, key, "parent.key"),
            ..keys.clone()
        };
        let defaults = RelayRules::default();
        let pace = file.registrations.pace(&mut document, defaults.pace);
        let rules = file
            .children
            .rules(&mut document, RelayRules { pace, ..defaults });
        let max_connections = max_connections(&mut document, file.connections);
        let config = RelayConfig {
            name: file.name,
            listen,
            keys,
            max_connections,
            agents: file.parent.agents,
            client_keys,
            rules,
        };
        document.finish(config)
    }
}

impl ParentSection {
    /// Checks that there are agents, and that each is `HOST:PORT`.
    fn check_agents(&self, document: &mut Document<'_>) {
        document.require(
            (1..=MAX_AGENTS).contains(&self.agents.len()),
            "parent.agents",
            "must be from 1 to 8 addresses, such as [\"10.0.0.5:7070\"]",
        );
        for (index, agent) in self.agents.iter().enumerate() {
            let port = agent.rsplit_once(':').map(|(_, port)| port.parse::<u16>());
            document.require(
                matches!(port, Some(Ok(_))),
                &format!("parent.agents[{index}]"),
                "must be HOST:PORT",
            );
        }
    }
}

impl ChildrenSection {
    /// The rules, by default those given.
    fn rules(&self, document: &mut Document<'_>, defaults: RelayRules) -> RelayRules {
        let rules = RelayRules {
            lease: self.lease.map_or(defaults.lease, Span::micros),
            answer_timeout: self.answer.map_or(defaults.answer_timeout, Span::micros),
            max_children: self.instances.unwrap_or(defaults.max_children),
            ..defaults
        };
        document.require(
            ANSWER_TIMEOUTS.contains(&rules.answer_timeout),
            "children.answer",
            "must be from 10ms to 4s",
        );
        document.require(
            LEASES.contains(&rules.lease),
            "children.lease",
            "must be from 300ms to 10m",
        );
        document.require(
            INSTANCE_COUNTS.contains(&rules.max_children),
            "children.instances",
            "must be from 1 to 65536",
        );
        rules
    }
}

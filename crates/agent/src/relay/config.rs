//! The relay's file.

use crate::config::{KeysPart, RegistrationsPart, USUAL_CONNECTIONS, needed_path};
use madderloom_config_reader::{Document, Problem, Span};
use madderloom_control_plane::registration_limiter::RegistrationRate;
use madderloom_control_plane::relay::RelaySettings;
use madderloom_control_plane::settings::check_name;
use madderloom_pki::Files;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The most agents that a relay may be told of.
const MAX_AGENTS: usize = 8;
/// The longest that an instance may have to wait for the agent's answer: it takes a registration for lost after 5 s.
const LONGEST_ANSWER: Span = Span::s(4);

/// A relay's settings.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Its name among all relays.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its keys as a server: a certificate for an agent.
    pub keys: Files,
    /// The most connections at a time.
    pub connections: usize,
    /// The agents above it, `HOST:PORT` each. It connects to one at a time, and to the next where that fails.
    pub agents: Vec<String>,
    /// Its keys as a client: a certificate for an instance that is good for the names of all its instances.
    pub parent_keys: Files,
    /// Leases, bounds, paces.
    pub rules: RelaySettings,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    version: u32,
    name: String,
    listen: Option<SocketAddr>,
    connections: Option<usize>,
    keys: KeysPart,
    parent: ParentPart,
    children: ChildrenPart,
    registrations: RegistrationsPart,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ParentPart {
    agents: Vec<String>,
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ChildrenPart {
    lease: Option<Span>,
    answer: Option<Span>,
    instances: Option<usize>,
}

impl RelayConfig {
    /// Reads a relay's file; paths in it are beside it.
    ///
    /// # Errors
    /// Every problem of the file, with its place.
    pub fn read(text: &str, place: &Path) -> Result<Self, Vec<Problem>> {
        let (mut document, file) = Document::read::<File>(text)?;
        document.require(file.version == 1, "version", "must be 1");
        if let Err(problem) = check_name(&file.name) {
            document.problem("name", problem);
        }
        let missing = "is missing; write an address such as \"10.0.0.5:7070\"";
        document.require(file.listen.is_some(), "listen", missing);
        let count = file.parent.agents.len();
        document.require(
            (1..=MAX_AGENTS).contains(&count),
            "parent.agents",
            "must be from 1 to 8 addresses, such as [\"10.0.0.5:7070\"]",
        );
        for (at, agent) in file.parent.agents.iter().enumerate() {
            let port = agent.rsplit_once(':').map(|(_, port)| port.parse::<u16>());
            let is_address = matches!(port, Some(Ok(_)));
            document.require(
                is_address,
                &format!("parent.agents[{at}]"),
                "must be HOST:PORT",
            );
        }
        let keys = file.keys.files(&mut document, place);
        let parent_keys = Files {
            certificate: needed_path(
                &mut document,
                place,
                file.parent.certificate,
                "parent.certificate",
            ),
            key: needed_path(&mut document, place, file.parent.key, "parent.key"),
            ..keys.clone()
        };
        let pace = file
            .registrations
            .pace(&mut document, RelaySettings::default().registration_rate);
        let rules = file.children.rules(pace);
        let answer = file.children.answer.unwrap_or(Span::s(2));
        document.require(
            answer <= LONGEST_ANSWER && rules.answer_timeout >= 10_000,
            "children.answer",
            "must be from 10ms to 4s",
        );
        document.require(
            (300_000..=600_000_000).contains(&rules.child_lease),
            "children.lease",
            "must be from 300ms to 10m",
        );
        document.require(
            (1..=65_536).contains(&rules.max_children),
            "children.instances",
            "must be from 1 to 65536",
        );
        let connections = file.connections.unwrap_or(USUAL_CONNECTIONS);
        document.require(connections >= 4, "connections", "must be 4 or more");
        let config = RelayConfig {
            name: file.name,
            listen: file.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            keys,
            connections,
            agents: file.parent.agents,
            parent_keys,
            rules,
        };
        document.finish(config)
    }
}

impl ChildrenPart {
    fn rules(&self, pace: RegistrationRate) -> RelaySettings {
        let usual = RelaySettings::default();
        RelaySettings {
            child_lease: self.lease.map_or(usual.child_lease, Span::micros),
            answer_timeout: self.answer.map_or(usual.answer_timeout, Span::micros),
            max_children: self.instances.unwrap_or(usual.max_children),
            registration_rate: pace,
        }
    }
}

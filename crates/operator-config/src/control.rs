//! `[control]`: the agent that this instance registers with, and the identity that it uses.

use crate::fleet_limits::{self, FleetLimit};
use crate::names::Names;
use madderloom_config_reader::Document;
use madderloom_control_plane::selector::Attributes;
use madderloom_control_plane::settings::check_name;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The section as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    agent: String,
    name: String,
    zone: String,
    labels: BTreeMap<String, String>,
    state: Option<PathBuf>,
    keys: Keys,
    share_lists: String,
    fleet_limits: Vec<fleet_limits::Section>,
}

#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Keys {
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
}

/// The agent that this instance registers with, and the identity that it uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Address of the agent as HOST:PORT.
    pub agent: String,
    /// Name of the instance; by default that of the process.
    pub name: String,
    /// Zone of the instance, used by the selectors of changes; may be empty.
    pub zone: String,
    /// Labels of the instance, used by the selectors of changes.
    pub labels: BTreeMap<String, String>,
    /// File that stores the incarnation, the agent's term and the overlay for the next start.
    pub state: Option<PathBuf>,
    /// File with the certificates of the trusted authorities.
    pub authority: PathBuf,
    /// File with the certificate of the instance.
    pub certificate: PathBuf,
    /// File with the private key of the instance.
    pub key: PathBuf,
    /// Name under which the instance shares the server lists of its pools with the fleet; none if it does not share them.
    pub share_lists: Option<String>,
    /// The fleet-wide limits that apply to the instance.
    pub fleet_limits: Vec<FleetLimit>,
}

impl Section {
    pub(crate) fn check(
        self,
        document: &mut Document<'_>,
        process: &str,
        pools: &Names,
    ) -> Control {
        let Section {
            agent,
            name,
            zone,
            labels,
            state,
            keys,
            share_lists,
            fleet_limits,
        } = self;
        let fleet_limits = fleet_limits::check(document, fleet_limits, pools);
        let port = agent
            .rsplit_once(':')
            .filter(|(host, _)| !host.is_empty())
            .map(|(_, port)| port);
        let has_port = port.is_some_and(|port| port.parse::<u16>().is_ok());
        document.require(
            has_port,
            "control.agent",
            "is not HOST:PORT; write one such as \"10.0.0.5:7070\"",
        );
        let name = if name.is_empty() {
            process.to_string()
        } else {
            name
        };
        if let Err(problem) = check_name(&name) {
            document.problem(
                "control.name",
                format_args!("{problem}; it is the name of the instance at the agent"),
            );
        }
        let attributes = Attributes {
            zone: zone.clone(),
            labels: labels.clone(),
            ..Attributes::default()
        };
        if let Err(problem) = attributes.check() {
            document.problem(&format!("control.{}", problem.field), problem.problem);
        }
        let paths = [
            ("authority", &keys.authority),
            ("certificate", &keys.certificate),
            ("key", &keys.key),
        ];
        for (name, path) in paths {
            let missing = path.as_os_str().is_empty();
            document.require(
                !missing,
                &format!("control.keys.{name}"),
                "is missing; write the path of a file",
            );
        }
        let share_lists = Some(share_lists).filter(|name| !name.is_empty());
        if let Some(Err(problem)) = share_lists.as_deref().map(check_name) {
            document.problem(
                "control.share_lists",
                format_args!("{problem}; it must be the same for all instances that share lists"),
            );
        }
        let Keys {
            authority,
            certificate,
            key,
        } = keys;
        Control {
            agent,
            name,
            zone,
            labels,
            state,
            authority,
            certificate,
            key,
            share_lists,
            fleet_limits,
        }
    }
}

impl Control {
    /// Resolves relative paths against the directory of this file.
    pub(crate) fn resolve_paths(self, file: &Path) -> Self {
        let directory = file.parent().unwrap_or(Path::new(""));
        let resolve = |path: PathBuf| directory.join(path);
        Control {
            state: self.state.map(resolve),
            authority: resolve(self.authority),
            certificate: resolve(self.certificate),
            key: resolve(self.key),
            ..self
        }
    }
}

//! `[control]`: the agent that this instance registers with, and as whom.

use crate::fleet_limits::{self, FleetLimit};
use crate::names::Names;
use madderloom_config_reader::Document;
use madderloom_control_plane::change::Traits;
use madderloom_control_plane::settings::check_name;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The section as it is written.
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

/// The agent that this instance registers with, and as whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// The agent, as HOST:PORT.
    pub agent: String,
    /// The name that it goes by; usually that of the process.
    pub name: String,
    /// Its zone, by which changes select it; may be empty.
    pub zone: String,
    /// Labels, by which changes select it.
    pub labels: BTreeMap<String, String>,
    /// Where it keeps its incarnation, the term of the agent and what is set beside the file, for its next start.
    pub state: Option<PathBuf>,
    /// Certificates of the authorities that it trusts.
    pub authority: PathBuf,
    /// Its certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// Under which name it shares the lists of its pools with the fleet; none where it shares nothing.
    pub share_lists: Option<String>,
    /// The fleet-wide limits that it takes part in.
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
        let sound = port.is_some_and(|port| port.parse::<u16>().is_ok());
        document.require(
            sound,
            "control.agent",
            "is no HOST:PORT; write one such as \"10.0.0.5:7070\"",
        );
        let name = if name.is_empty() {
            process.to_string()
        } else {
            name
        };
        if let Err(problem) = check_name(&name) {
            document.problem(
                "control.name",
                format_args!("{problem}; it is what the agent lists"),
            );
        }
        let traits = Traits {
            zone: zone.clone(),
            labels: labels.clone(),
            ..Traits::default()
        };
        if let Err(problem) = traits.check() {
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
                format_args!("{problem}; it is the same for all that share"),
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
    /// The same with its paths beside this file.
    pub(crate) fn beside(self, file: &Path) -> Self {
        let directory = file.parent().unwrap_or(Path::new(""));
        let at = |path: PathBuf| directory.join(path);
        Control {
            state: self.state.map(at),
            authority: at(self.authority),
            certificate: at(self.certificate),
            key: at(self.key),
            ..self
        }
    }
}

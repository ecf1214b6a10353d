//! The operator file: the configuration of madderloom that does not come from the platform.
//!
//! The file is TOML; each of its sections has a module. A module defines the section as written in the file (with the
//! field names of the file) and a check, which reports every problem with its position to the [`Document`] and returns the
//! validated section. A new subsystem adds a module with its section, a field in `File`, and a line in
//! [`OperatorConfig::parse`].
//!
//! In addition to the file there may be the platform's own configuration (`RELAY_CONFIG`). It defines one listener and one
//! pool, both named [`PLATFORM`], which routes of the file may refer to.

mod admin;
mod control;
mod fleet_limits;
mod levels;
mod limits;
mod listeners;
mod names;
mod pools;
mod process;
mod routes;
mod source;
mod state;
mod timeline;

pub use admin::Admin;
pub use control::Control;
pub use fleet_limits::{FleetLimit, Pattern};
pub use levels::PoolLevels;
pub use limits::{Limits, RateLimit, ResourceLimits, ShareBounds, resource_shares};
pub use listeners::Listener;
pub use madderloom_config_reader::Problem;
pub use names::PLATFORM;
pub use pools::{Pool, Server};
pub use process::Process;
pub use source::Source;
pub use state::{PersistenceOptions, State};

use madderloom_config_reader::Document;
use madderloom_routing::routes::{Route, Table};
use names::Names;
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// The format version of the operator file that this program supports.
pub const FORMAT_VERSION: u32 = 1;

/// The file as written.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    version: Option<u32>,
    process: process::Section,
    listeners: Vec<listeners::Section>,
    pools: Vec<pools::Section>,
    routes: Vec<routes::Section>,
    limits: limits::Section,
    admin: Option<admin::Section>,
    timeline: Option<timeline::Section>,
    control: Option<control::Section>,
    state: Option<state::Section>,
}

/// The validated file: all references resolve, all values are within their bounds, and no two routes conflict.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// Settings of the whole process.
    pub process: Process,
    /// In the order of the file. Routes refer to them by their index here plus 1; 0 is that of the platform.
    pub listeners: Vec<Listener>,
    /// In the order of the file. Routes refer to them by their index here plus 1; 0 is that of the platform.
    pub pools: Vec<Pool>,
    /// In the order of the file.
    pub routes: Vec<Route>,
    /// Limits that all services share.
    pub limits: Limits,
    /// Address of the admin view; not served if absent.
    pub admin: Option<Admin>,
    /// How the history of each pool's servers is recorded; not recorded if absent.
    pub timeline: Option<madderloom_endpoint_history::Settings>,
    /// The agent to register with, if any.
    pub control: Option<Control>,
    /// State that is persisted across restarts; none if absent.
    pub state: Option<State>,
}

/// The reasons why a file is invalid.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigErrors {
    /// Path of the file.
    pub file: PathBuf,
    /// All problems in the order of the file; never empty.
    pub problems: Vec<Problem>,
}

impl fmt::Display for ConfigErrors {
    /// Formats all problems in one line, for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problems: Vec<String> = self
            .problems
            .iter()
            .map(|p| format!("{}:{p}", self.file.display()))
            .collect();
        f.write_str(&problems.join("; "))
    }
}

impl OperatorConfig {
    /// Reads the file and the files that it refers to.
    pub fn load(file: &Path) -> Result<Self, ConfigErrors> {
        let parsed =
            OperatorConfig::parse(&read_operator_file(file)?, &referenced_file_reader(file));
        let parsed = parsed.map_err(|problems| ConfigErrors {
            file: file.to_path_buf(),
            problems,
        });
        parsed.map(|operator| operator.resolve_paths(file))
    }

    /// Resolves relative paths against the directory of this file.
    fn resolve_paths(mut self, file: &Path) -> Self {
        if let Some(state) = &mut self.state {
            state.dir = file.parent().unwrap_or(Path::new("")).join(&state.dir);
        }
        self.control = self.control.map(|control| control.resolve_paths(file));
        self
    }

    /// Parses and checks the text of the file. `read` returns the text of a referenced file by the path in the operator file.
    pub fn parse(
        text: &str,
        read: &dyn Fn(&str) -> Result<String, String>,
    ) -> Result<Self, Vec<Problem>> {
        let (mut document, file) = Document::read::<File>(text)?;
        if !document.has("version") {
            document.problem(
                "version",
                format_args!("is missing; write version = {FORMAT_VERSION}"),
            );
        } else if file
            .version
            .is_some_and(|version| version != FORMAT_VERSION)
        {
            document.problem(
                "version",
                format_args!("is not known to this program; it reads {FORMAT_VERSION}"),
            );
        }
        let listeners = Names::of(
            &mut document,
            "listeners",
            file.listeners.iter().map(|l| l.name.as_str()),
        );
        let pools = Names::of(
            &mut document,
            "pools",
            file.pools.iter().map(|p| p.name.as_str()),
        );
        let state = file.state.map(|state| state.check(&mut document));
        let checked_pools = pools::check(&mut document, file.pools, state.as_ref(), read);
        let pool_at = |index: usize| checked_pools.get(index.checked_sub(1)?)?.as_ref();
        let name = file.process.name().to_string();
        let operator = OperatorConfig {
            process: file.process.check(&mut document),
            routes: routes::check(&mut document, &file.routes, &listeners, &pools, &pool_at),
            listeners: listeners::check(&mut document, file.listeners),
            // An invalid pool is none here and has a problem in the document.
            pools: checked_pools.into_iter().flatten().collect(),
            admin: file.admin.map(|admin| admin.check(&mut document)),
            limits: file.limits.check(&mut document),
            timeline: None,
            control: file
                .control
                .map(|control| control.check(&mut document, &name, &pools)),
            state,
        };
        let memory = operator.limits.memory.map(|size| size.0);
        let pools = operator.pools.len();
        let timeline = file
            .timeline
            .map(|section| section.check(&mut document, memory, pools));
        let operator = OperatorConfig {
            timeline,
            ..operator
        };
        if let Some(state) = &operator.state {
            state.check_memory(&mut document, operator.limits.memory.map(|size| size.0));
        }
        limits::check_guaranteed_shares(&mut document, &operator);
        document.finish(operator)
    }

    /// Whether it can only be used together with the platform's configuration.
    pub fn needs_platform(&self) -> bool {
        self.listeners.is_empty() || self.pools.is_empty()
    }

    /// The routing table. The platform's listener has index 0; those of the file follow.
    pub fn route_table(&self) -> Table {
        // The check of the file has already rejected conflicting routes.
        Table::new(self.routes.clone(), self.listeners.len() + 1).unwrap_or_default()
    }

    /// The name of a listener by the index that routes use.
    pub fn listener_name(&self, index: usize) -> &str {
        index
            .checked_sub(1)
            .and_then(|index| self.listeners.get(index))
            .map_or(PLATFORM, |l| &l.name)
    }

    /// The name of a pool by the index that routes use.
    pub fn pool_name(&self, index: usize) -> &str {
        index
            .checked_sub(1)
            .and_then(|index| self.pools.get(index))
            .map_or(PLATFORM, |p| &p.name)
    }

    /// The degradation levels of the pools; pools without levels are left out.
    pub fn levels(&self) -> Vec<PoolLevels> {
        let levels_of = |pool: &Pool| {
            Some(PoolLevels {
                pool: pool.name.clone(),
                plan: pool.levels.clone()?,
            })
        };
        self.pools.iter().filter_map(levels_of).collect()
    }

    /// A one-line summary of the configuration.
    pub fn summary(&self) -> String {
        let list = |names: Vec<&str>| {
            if names.is_empty() {
                "the platform's".to_string()
            } else {
                names.join(", ")
            }
        };
        let listeners = list(self.listeners.iter().map(|l| l.name.as_str()).collect());
        let pools = list(self.pools.iter().map(|p| p.name.as_str()).collect());
        let admin = self
            .admin
            .as_ref()
            .map_or("off".to_string(), Admin::to_string);
        let agent = self
            .control
            .as_ref()
            .map(|c| format!("; agent {} as {}", c.agent, c.name));
        let timeline = if self.timeline.is_some() { "on" } else { "off" };
        let (routes, agent) = (self.routes.len(), agent.unwrap_or_default());
        format!(
            "listeners {listeners}; pools {pools}; {routes} routes; admin view {admin}; time lines {timeline}{agent}"
        )
    }
}

/// Reads the text of an operator file.
fn read_operator_file(file: &Path) -> Result<String, ConfigErrors> {
    std::fs::read_to_string(file).map_err(|e| {
        let (line, column, field, problem) = (1, 1, String::new(), format!("can't be read: {e}"));
        ConfigErrors {
            file: file.to_path_buf(),
            problems: vec![Problem {
                line,
                column,
                field,
                problem,
            }],
        }
    })
}

/// Returns a function that reads the files that an operator file refers to, relative to its directory.
fn referenced_file_reader(file: &Path) -> impl Fn(&str) -> Result<String, String> {
    let directory = file.parent().unwrap_or(Path::new("")).to_path_buf();
    move |name| std::fs::read_to_string(directory.join(name)).map_err(|e| e.to_string())
}

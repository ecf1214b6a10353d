//! The operator file: what an installation wants of madderloom beyond what its platform tells it.
//!
//! One TOML file, in sections with a module each. A module has the section as it is written (its fields are the
//! file's) and a check, which notes every problem at its place in the [`Document`] and gives the section as it is
//! used. A later subsystem adds a module with its section, a field in `File`, and a line in [`Operator::parse`].
//!
//! Beside the file there may be the platform's own configuration (`RELAY_CONFIG`). It stands for one listener and
//! one pool, both named [`PLATFORM`], which routes of the file may name like those of its own.

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

/// The version of the format that this program reads.
pub const FORMAT_VERSION: u32 = 1;

/// The file as it is written.
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

/// The file as it is used: every name in it is known, every figure is within its bounds, no two routes clash.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// What concerns the whole process.
    pub process: Process,
    /// In the file's order. Routes name them by their place here plus 1: 0 is the platform's.
    pub listeners: Vec<Listener>,
    /// In the file's order. Routes name them by their place here plus 1: 0 is the platform's.
    pub pools: Vec<Pool>,
    /// In the file's order.
    pub routes: Vec<Route>,
    /// What all services have together.
    pub limits: Limits,
    /// Where the admin view is served; nowhere if it is not named.
    pub admin: Option<Admin>,
    /// How the story of each pool's servers is kept; not at all if it is not named.
    pub timeline: Option<madderloom_endpoint_history::Settings>,
    /// The agent that it registers with; none if none is named.
    pub control: Option<Control>,
    /// What outlasts the process; nothing if it is not named.
    pub state: Option<State>,
}

/// Why a file can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigErrors {
    /// The file.
    pub file: PathBuf,
    /// All that is wrong with it, in its order; never empty.
    pub problems: Vec<Problem>,
}

impl fmt::Display for ConfigErrors {
    /// All in one line, for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let told: Vec<String> = self
            .problems
            .iter()
            .map(|p| format!("{}:{p}", self.file.display()))
            .collect();
        f.write_str(&told.join("; "))
    }
}

impl OperatorConfig {
    /// Reads the file and those that it names.
    pub fn load(file: &Path) -> Result<Self, ConfigErrors> {
        let read = OperatorConfig::parse(&text_of(file)?, &beside(file));
        let read = read.map_err(|problems| ConfigErrors {
            file: file.to_path_buf(),
            problems,
        });
        read.map(|operator| operator.beside(file))
    }

    /// The same with the directories that it names beside this file.
    fn beside(mut self, file: &Path) -> Self {
        if let Some(state) = &mut self.state {
            state.dir = file.parent().unwrap_or(Path::new("")).join(&state.dir);
        }
        self.control = self.control.map(|control| control.beside(file));
        self
    }

    /// Reads the file's text. `read` gives the text of a file that it names, by the name that stands there.
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
        let checked = pools::check(&mut document, file.pools, state.as_ref(), read);
        let known = |place: usize| checked.get(place.checked_sub(1)?)?.as_ref();
        let name = file.process.name().to_string();
        let operator = OperatorConfig {
            process: file.process.check(&mut document),
            routes: routes::check(&mut document, &file.routes, &listeners, &pools, &known),
            listeners: listeners::check(&mut document, file.listeners),
            // One that is missing here is a problem of the document.
            pools: checked.into_iter().flatten().collect(),
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
        limits::check_parts(&mut document, &operator);
        document.finish(operator)
    }

    /// Whether it is of use only beside the platform's configuration.
    pub fn needs_platform(&self) -> bool {
        self.listeners.is_empty() || self.pools.is_empty()
    }

    /// The routes, ready to be looked up. The platform's listener has the place 0, the file's follow.
    pub fn route_table(&self) -> Table {
        // No two clash: that is checked with the file.
        Table::new(self.routes.clone(), self.listeners.len() + 1).unwrap_or_default()
    }

    /// The name of a listener by the place that routes know it by.
    pub fn listener_name(&self, place: usize) -> &str {
        place
            .checked_sub(1)
            .and_then(|at| self.listeners.get(at))
            .map_or(PLATFORM, |l| &l.name)
    }

    /// The name of a pool by the place that routes know it by.
    pub fn pool_name(&self, place: usize) -> &str {
        place
            .checked_sub(1)
            .and_then(|at| self.pools.get(at))
            .map_or(PLATFORM, |p| &p.name)
    }

    /// What the pools give up when, for people and programs; those without levels are left out.
    pub fn levels(&self) -> Vec<PoolLevels> {
        let of = |pool: &Pool| {
            Some(PoolLevels {
                pool: pool.name.clone(),
                plan: pool.levels.clone()?,
            })
        };
        self.pools.iter().filter_map(of).collect()
    }

    /// What it configures, in a few words.
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

/// The text of an operator file.
fn text_of(file: &Path) -> Result<String, ConfigErrors> {
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

/// Reads files that an operator file names.
fn beside(file: &Path) -> impl Fn(&str) -> Result<String, String> {
    let directory = file.parent().unwrap_or(Path::new("")).to_path_buf();
    move |name| std::fs::read_to_string(directory.join(name)).map_err(|e| e.to_string())
}

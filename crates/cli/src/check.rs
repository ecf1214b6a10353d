//! `madderloom check`: whether a file makes sense, and where it does not.

use crate::output::{Output, tell, tell_problems};
use madderloom_config_reader::Problem;
use madderloom_endpoint_sharing::DiscoveryCallSchedule;
use madderloom_operator_config::{OperatorConfig, PoolLevels};
use madderloom_quota_leases::{Capacity, ONE_REQUEST, SafeCapacity, UNBOUNDED};
use madderloom_sidecar::Config;
use std::path::PathBuf;
use std::process::ExitCode;

/// Says whether a configuration, an operator file, an agent's or a relay's file makes sense, and where it does not.
///
/// A name that ends in `.toml` is an operator file's or, with `listen` or `audit` before its first section, an agent's;
/// with a section `[parent]` too, a relay's;
/// one in `.json` is a configuration's; else the content tells. Files of keys are not opened.
/// Nothing is started and nothing is connected to. Exits with 0 where the file makes sense, with 1 where it
/// does not or can't be read.
#[derive(clap::Args)]
pub(crate) struct Check {
    /// The file, as RELAY_CONFIG or --operator names it for `serve`
    file: PathBuf,
    /// How the outcome is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Check {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let name = self.file.display();
        let text = std::fs::read_to_string(&self.file).map_err(|e| format!("{name}: {e}"))?;
        let extension = self.file.extension().and_then(|e| e.to_str());
        let is_object = || text.trim_start().starts_with('{');
        let operator = extension == Some("toml") || (extension != Some("json") && !is_object());
        let checked = if operator && is_relays(&text) {
            let read = madderloom_agent::relay::RelayConfig::read(&text, &self.file);
            read.map(|config| (relays_summary(&config), Vec::new(), Vec::new(), Vec::new()))
        } else if operator && is_agents(&text) {
            let read = madderloom_agent::AgentConfig::read(&text, &self.file);
            read.map(|config| {
                (
                    agents_summary(&config),
                    agents_bounds(&config),
                    Vec::new(),
                    Vec::new(),
                )
            })
        } else if operator {
            OperatorConfig::load(&self.file)
                .map(|o| (o.summary(), safe_parts(&o), shared_lists(&o), o.levels()))
                .map_err(|faults| faults.problems)
        } else {
            let summary = |c: Config| (c.summary(), Vec::new(), Vec::new(), Vec::new());
            Config::from_json(&text).map(summary).map_err(|problem| {
                let madderloom_sidecar::ConfigError {
                    field,
                    line,
                    column,
                    problem,
                } = problem;
                vec![Problem {
                    field,
                    line,
                    column,
                    problem,
                }]
            })
        };
        match (&checked, self.output) {
            (Ok((summary, limits, lists, levels)), Output::Text) => {
                let levels: String = levels.iter().map(|levels| format!("\n{levels}")).collect();
                let limits: String = limits
                    .iter()
                    .chain(lists)
                    .map(|limit| format!("\n{limit}"))
                    .collect();
                tell(format_args!(
                    "{name}: makes sense: {summary}{limits}{levels}"
                ));
            }
            (Ok((summary, limits, lists, levels)), Output::Json) => {
                let levels: serde_json::Value = levels.iter().map(PoolLevels::to_json).collect();
                let told = serde_json::json!({
                    "file": self.file, "summary": summary, "fleet_limits": limits, "shared_lists": lists,
                    "levels": levels, "problems": [],
                });
                tell(told);
            }
            (Err(problems), output) => tell_problems(&self.file, problems, output),
        }
        Ok(if checked.is_ok() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

/// Whether this is an agent's file, by what stands before its first section.
fn is_agents(text: &str) -> bool {
    let head = text
        .lines()
        .map(str::trim_start)
        .take_while(|line| !line.starts_with('['));
    let names = head
        .filter_map(|line| line.split_once('='))
        .map(|(name, _)| name.trim());
    names
        .into_iter()
        .any(|name| ["listen", "audit"].contains(&name))
}

/// Whether this is a relay's file: that of an agent which has one above it.
fn is_relays(text: &str) -> bool {
    is_agents(text) && text.lines().any(|line| line.trim() == "[parent]")
}

/// What its fleet-wide limits bound, as arithmetic.
fn agents_bounds(config: &madderloom_agent::AgentConfig) -> Vec<String> {
    config.bounds().iter().map(ToString::to_string).collect()
}

/// What an instance may let in of each fleet-wide limit while it has no lease.
fn safe_parts(operator: &OperatorConfig) -> Vec<String> {
    let limits = operator
        .control
        .iter()
        .flat_map(|control| &control.fleet_limits);
    let told = limits.map(|limit| {
        let name = &limit.name;
        let own = match limit.safe_capacity {
            SafeCapacity::Zero => "nothing".to_string(),
            SafeCapacity::Fraction(of) => format!("a part in {of} of the limit, as the last lease told it; nothing before one came"),
            SafeCapacity::Fixed(Capacity {
                rate,
                burst,
                in_flight: open,
            }) => {
                let thousandths = |figure: u64| figure as f64 / ONE_REQUEST as f64;
                let rates = format!("{} x W + {} in any W seconds", thousandths(rate), thousandths(burst));
                let rates = Some(rates).filter(|_| rate != UNBOUNDED);
                let open = Some(format!("{open} open at once")).filter(|_| open != UNBOUNDED);
                rates.into_iter().chain(open).collect::<Vec<_>>().join(", and ")
            }
        };
        format!("fleet limit {name}: without a lease this instance lets in {own}; n such instances n times as much")
    });
    told.collect()
}

/// How old a list of each pool that is shared with the fleet may be.
fn shared_lists(operator: &OperatorConfig) -> Vec<String> {
    let shares = operator
        .control
        .as_ref()
        .is_some_and(|control| control.share_lists.is_some());
    let pools = operator
        .pools
        .iter()
        .filter(|pool| shares && pool.discovery.is_some());
    let told = pools.map(|pool| {
        let ask_within = pool.site.settings.rules.max_poll_interval;
        let schedule = DiscoveryCallSchedule::within(ask_within);
        let (name, seconds) = (&pool.name, |micros: u64| micros as f64 / 1e6);
        let (after, spread) = (seconds(schedule.earliest_age), seconds(schedule.spread));
        let within = seconds(ask_within);
        format!(
            "pool {name}: its list is shared: this instance calls discovery itself once what it knows is {after} s old, \
             and up to {spread} s later: with 5% for its clock within {within} s"
        )
    });
    told.collect()
}

/// What a relay's file configures, in a few words.
fn relays_summary(config: &madderloom_agent::relay::RelayConfig) -> String {
    let (name, listen, agents) = (&config.name, config.listen, config.agents.join(", "));
    format!(
        "the relay {name} on {listen}, below the agent at {agents}; {} instances at most",
        config.rules.max_children
    )
}

/// What an agent's file configures, in a few words.
fn agents_summary(config: &madderloom_agent::AgentConfig) -> String {
    let state = config
        .state_directory
        .as_ref()
        .map_or("nowhere".to_string(), |state| state.display().to_string());
    let (listen, key) = (config.listen, config.keys.certificate.display());
    format!("an agent on {listen} with {key}; state kept in {state}")
}

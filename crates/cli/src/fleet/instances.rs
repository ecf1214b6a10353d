//! `instances` and `show`: who belongs to the fleet, and how one of them stands.

use super::connection::{Connection, get, is_missing, unknown};
use super::text::{json, shares, table};
use crate::output::{Output, tell};
use madderloom_agent::view::{InstanceDetailView, InstanceView};
use std::process::ExitCode;

/// Lists the instances of the fleet.
///
/// `IN LINE` says whether an instance has what the fleet has settled on, by its last report; `REVISION` is the newest
/// change that it has.
#[derive(clap::Args)]
pub(crate) struct Instances {
    #[command(flatten)]
    connection: Connection,
    /// How they are told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Instances {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        self.connection.run(async |client| {
            let instances: Vec<InstanceView> = get(&client, "/v1/instances").await?;
            match self.output {
                Output::Json => json(&instances),
                Output::Text if instances.is_empty() => {
                    tell(format_args!("no instance has registered yet"))
                }
                Output::Text => tell(format_args!("{}", table(&instances))),
            }
            Ok(ExitCode::SUCCESS)
        })
    }
}

/// Shows one instance, with what the fleet has settled on for it.
#[derive(clap::Args)]
pub(crate) struct Show {
    /// Its name
    name: String,
    #[command(flatten)]
    connection: Connection,
    /// How it is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Show {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        self.connection.run(async |client| {
            let found =
                get::<InstanceDetailView>(&client, &format!("/v1/instances/{}", self.name)).await;
            let whole = match found {
                Err(failed) if is_missing(&failed) => {
                    let known: Vec<InstanceView> = get(&client, "/v1/instances").await?;
                    let names = known.into_iter().map(|instance| instance.name);
                    return Err(unknown("instance", &self.name, names));
                }
                found => found?,
            };
            if self.output == Output::Json {
                json(&whole);
                return Ok(ExitCode::SUCCESS);
            }
            let instance = &whole.instance;
            tell(format_args!("{}", table(std::slice::from_ref(instance))));
            let labels: Vec<String> = instance
                .labels
                .iter()
                .map(|(label, value)| format!("{label}={value}"))
                .collect();
            tell(format_args!(
                "build {}, incarnation {}",
                instance.build, instance.incarnation
            ));
            tell(format_args!(
                "own file {}, labels {}",
                instance.config_fingerprint,
                labels.join(" ")
            ));
            if !instance.fleet_limits.is_empty() {
                tell(format_args!("{}", shares(&instance.fleet_limits)));
            }
            tell(format_args!("the fleet has settled on:"));
            if whole.intended_settings.is_empty() {
                tell(format_args!("  nothing beside its own file"));
            }
            whole
                .intended_settings
                .iter()
                .for_each(|line| tell(format_args!("  {line}")));
            Ok(ExitCode::SUCCESS)
        })
    }
}

//! Which agent is asked, and as whom.

use super::REFUSED;
use super::declined::explain;
use hyper::Method;
use madderloom_agent::{Client, ClientError};
use madderloom_pki::KeyFiles;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Why a command that speaks to the agent has failed.
pub(super) enum CommandError {
    /// The agent could not be asked, or did not do what it was asked for.
    Client(ClientError),
    /// A file or the command line is wrong, or names what is not there.
    Invalid(String),
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        CommandError::Client(error)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Client(error) => error.fmt(f),
            CommandError::Invalid(text) => f.write_str(text),
        }
    }
}

/// Which agent, and as whom.
#[derive(clap::Args)]
pub(super) struct Connection {
    /// The agent, as HOST:PORT
    #[arg(
        long,
        env = "MADDERLOOM_AGENT",
        default_value = "127.0.0.1:7070",
        value_name = "HOST:PORT"
    )]
    agent: String,
    /// Whose certificate and key are shown: NAME.pem and NAME.key
    #[arg(long = "as", env = "MADDERLOOM_AS", value_name = "NAME")]
    whom: String,
    /// Where these and authority.pem are
    #[arg(
        long,
        env = "MADDERLOOM_KEYS",
        default_value = ".",
        value_name = "DIRECTORY"
    )]
    keys: PathBuf,
}

impl Connection {
    fn client(&self) -> Result<Client, String> {
        let at = |file: String| self.keys.join(file);
        let files = KeyFiles {
            authority: at("authority.pem".into()),
            certificate: at(format!("{}.pem", self.whom)),
            key: at(format!("{}.key", self.whom)),
            revoked: None,
        };
        Ok(Client::new(&self.agent, files)?)
    }

    /// Runs a command that speaks to the agent.
    pub(super) fn run(
        &self,
        command: impl AsyncFnOnce(Client) -> Result<ExitCode, CommandError>,
    ) -> Result<ExitCode, String> {
        let client = self.client()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        let done = tokio::task::LocalSet::new().block_on(&runtime, command(client));
        match done {
            Err(CommandError::Client(ClientError::Declined(declined))) => {
                explain(&declined);
                Ok(ExitCode::from(REFUSED))
            }
            done => done.map_err(|failed| failed.to_string()),
        }
    }
}

pub(super) async fn get<T: for<'a> serde::Deserialize<'a>>(
    client: &Client,
    path: &str,
) -> Result<T, ClientError> {
    client.request(Method::GET, path, Vec::new()).await
}

/// What is not there, with the nearest name that is.
pub(super) fn unknown(kind: &str, name: &str, known: impl Iterator<Item = String>) -> CommandError {
    let near = known
        .map(|known| (strsim::jaro_winkler(name, &known), known))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let suggestion = match near {
        Some((likeness, near)) if likeness > 0.7 => format!("; did you mean {near}?"),
        _ => String::new(),
    };
    CommandError::Invalid(format!("there is no {kind} {name:?}{suggestion}"))
}

pub(super) fn is_missing(failed: &ClientError) -> bool {
    matches!(failed, ClientError::Rejected { status, .. } if status.as_u16() == 404)
}

//! `madderloom level`: an operator's orders on the service level of a pool.

use crate::place::Place;
use madderloom_config_reader::Span;
use serde_json::{Value, json};
use std::process::ExitCode;

/// Pins a pool's level of service, bars one, or takes that back
///
/// The process's admin view must be on a Unix socket: `socket = "..."` in [admin] of the operator file. Orders are told
/// in its log with who gave them, and end by themselves. Exits with 0 where the order was taken, with 1 where not.
#[allow(
    rustdoc::broken_intra_doc_links,
    reason = "help text: the brackets are those of a section of the file"
)]
#[derive(clap::Subcommand)]
#[command(
    after_help = "Example:\n  madderloom level pin reports reduced --for 30m --operator operator.toml"
)]
pub(crate) enum Level {
    /// Has a level hold, whatever the signals say
    Pin(Order),
    /// Has a level left and not entered
    Bar(Order),
    /// Takes back the pin of a pool, or where a level is named, its bar
    Clear(Clear),
}

#[derive(clap::Args)]
pub(crate) struct Order {
    /// The pool
    pool: String,
    /// The level, by its name in the file; `full` for full service
    level: String,
    /// For how long, such as 30m; 7d at most
    #[arg(long = "for", value_name = "SPAN")]
    lasts: Span,
    /// Who orders it, for the log
    #[arg(long, env = "USER", default_value = "")]
    by: String,
    #[command(flatten)]
    place: Place,
}

#[derive(clap::Args)]
pub(crate) struct Clear {
    /// The pool
    pool: String,
    /// The level whose bar is taken back; the pin where none is named
    level: Option<String>,
    /// Who takes it back, for the log
    #[arg(long, env = "USER", default_value = "")]
    by: String,
    #[command(flatten)]
    place: Place,
}

impl Level {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let (place, pool, asked) = match self {
            Level::Pin(order) => order.asked("pin"),
            Level::Bar(order) => order.asked("bar"),
            Level::Clear(Clear {
                pool,
                level,
                by,
                place,
            }) => (
                place,
                pool,
                json!({"order": "clear", "level": level, "by": by}),
            ),
        };
        let at = place.find()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        runtime.block_on(madderloom_sidecar::admin::post_level_order(
            &at, &pool, &asked,
        ))?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Order {
    fn asked(self, order: &str) -> (Place, String, Value) {
        let Order {
            pool,
            level,
            lasts,
            by,
            place,
        } = self;
        let asked = json!({"order": order, "level": level, "for_us": lasts.micros(), "by": by});
        (place, pool, asked)
    }
}

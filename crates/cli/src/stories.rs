//! `madderloom servers`, `server` and `events`: the story of each server, by the admin view of a running process.

use crate::output::{Output, Table, tell};
use crate::place::{Place, wait_for};
use madderloom_sidecar::admin::{
    FetchError, fetch_bytes, fetch_json, follow_events, percent_encoded,
};
use serde_json::Value;
use std::io::Write;
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Lists the servers of a running process: how each stands, and what became of what it was sent lately
///
/// The admin view must be on, and for more than the present so must the time lines: [admin] and [timeline] in the
/// operator file. Exits with 0 where no server departs from its usual, else with 1.
#[allow(
    rustdoc::broken_intra_doc_links,
    reason = "help text: the brackets are those of a section of the file"
)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  madderloom servers --operator operator.toml")]
pub(crate) struct Servers {
    #[command(flatten)]
    place: Place,
    /// Those of one pool alone
    #[arg(long)]
    pool: Option<String>,
    /// How it is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Servers {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let mut told = wait_for(fetch_json(&self.place.find()?, "/v1/servers"))??;
        if let Some(pool) = &self.pool {
            for part in ["servers", "shared"] {
                told[part] = list(&told[part])
                    .iter()
                    .filter(|one| one["pool"] == **pool)
                    .cloned()
                    .collect();
            }
        }
        let departs = |one: &Value| !list(&one["departures"]).is_empty();
        let calm = list(&told["shared"]).is_empty() && !list(&told["servers"]).iter().any(departs);
        match self.output {
            Output::Json => tell(&told),
            Output::Text => tell(servers(&told).trim_end()),
        }
        Ok(if calm {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

fn servers(told: &Value) -> String {
    let mut table = Table::new([
        "server", "pool", "zone", "state", "share", "out", "served", "lost", "refused", "p50 ms",
        "p99 ms",
    ]);
    let mut departures = String::new();
    for server in list(&told["servers"]) {
        let lately = &server["lately"];
        table.row([
            text(&server["name"]),
            text(&server["pool"]),
            text(&server["zone"]),
            if server["ejected_for_us"].is_null() {
                text(&server["state"])
            } else {
                "ejected".into()
            },
            format!("{:.1}%", 100.0 * number(&server["share"])),
            text(&server["out"]),
            text(&lately["served"]),
            text(&lately["lost"]),
            text(&lately["refused"]),
            ms(&lately["p50_us"]),
            ms(&lately["p99_us"]),
        ]);
        for departure in list(&server["departures"]) {
            departures += &format!("{}: {}\n", text(&server["pool"]), text(&departure["text"]));
        }
    }
    for departure in list(&told["shared"]) {
        departures += &format!(
            "{}: {}\n",
            text(&departure["pool"]),
            text(&departure["text"])
        );
    }
    if told["timelines"] != true {
        departures += "time lines are off; write [timeline] into the operator file to have them\n";
    }
    if departures.is_empty() {
        format!("{table}\n")
    } else {
        format!("{table}\n\n{departures}")
    }
}

/// Shows the story of one server: what it answered, what departed from its usual, what was decided about it
///
/// Exits with 0 where it does not depart from its usual, else, or where no story is kept of it, with 1.
#[derive(clap::Args)]
#[command(
    after_help = "Examples:\n  madderloom server --operator operator.toml node-3\n  \
                        madderloom server --operator operator.toml node-3 --svg night.svg --span 2d"
)]
pub(crate) struct Server {
    #[command(flatten)]
    place: Place,
    /// Its name
    name: String,
    /// The pool, where several have a server of this name
    #[arg(long)]
    pool: Option<String>,
    /// How far back it is told
    #[arg(long, value_enum, default_value_t = Span::Minutes)]
    span: Span,
    /// Has a plot of it written to this file, as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Has its time line written to this file, for the lab to play as a fault
    #[arg(long, value_name = "FILE")]
    export: Option<PathBuf>,
    /// How it is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

/// How far back a story is told.
#[derive(Clone, Copy, PartialEq, clap::ValueEnum)]
enum Span {
    #[value(name = "2min")]
    Seconds,
    #[value(name = "15min")]
    Minutes,
    #[value(name = "2h")]
    Hours,
    #[value(name = "2d")]
    Days,
}

impl Span {
    /// Its name, as the admin view has it, and its length in microseconds.
    fn known(self) -> (&'static str, f64) {
        match self {
            Span::Seconds => ("2min", 120e6),
            Span::Minutes => ("15min", 900e6),
            Span::Hours => ("2h", 7_200e6),
            Span::Days => ("2d", 172_800e6),
        }
    }
}

impl Server {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let at = self.place.find()?;
        let (span, length) = self.span.known();
        let pool = self
            .pool
            .as_ref()
            .map(|pool| format!("pool={}&", percent_encoded(pool)))
            .unwrap_or_default();
        let path = format!("/v1/servers/{}", percent_encoded(&self.name));
        let unknown = |fault| match fault {
            FetchError::NotFound => format!(
                "no story is kept of a server {}; `madderloom servers` lists them, and [timeline] in the operator file keeps \
                 their stories",
                self.name
            ),
            FetchError::Problem(problem) => problem,
        };
        let told =
            wait_for(fetch_json(&at, &format!("{path}?{pool}span={span}")))?.map_err(unknown)?;
        let [story] = list(&told["stories"]) else {
            let pools: Vec<String> = list(&told["stories"])
                .iter()
                .map(|s| text(&s["pool"]))
                .collect();
            return Err(format!(
                "several pools have a server {}: {}; name one with --pool",
                self.name,
                pools.join(", ")
            ));
        };
        if let Some(file) = &self.svg {
            let drawn = wait_for(fetch_bytes(
                &at,
                &format!("{path}/plot.svg?{pool}span={span}"),
            ))?
            .map_err(unknown)?;
            write(file, &drawn)?;
        }
        if let Some(file) = &self.export {
            let text =
                serde_json::to_string_pretty(&story["recording"]).map_err(|e| e.to_string())?;
            write(file, format!("{text}\n").as_bytes())?;
        }
        match self.output {
            Output::Json => tell(story),
            Output::Text => tell(self::story(story, length).trim_end()),
        }
        let calm = list(&story["departures"]).is_empty();
        Ok(if calm {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

fn write(file: &Path, bytes: &[u8]) -> Result<(), String> {
    std::fs::write(file, bytes).map_err(|e| format!("{}: {e}", file.display()))
}

fn story(story: &Value, span: f64) -> String {
    let now = number(&story["now_us"]);
    let mut told = format!(
        "{} of {}, {}, {}\n",
        text(&story["name"]),
        text(&story["pool"]),
        text(&story["address"]),
        if story["ejected_for_us"].is_null() {
            text(&story["state"])
        } else {
            "ejected".into()
        },
    );
    for departure in list(&story["departures"]) {
        told += &format!("{}\n", text(&departure["text"]));
    }
    let mut table = Table::new([
        "from",
        "for s",
        "served",
        "lost",
        "refused",
        "turned away",
        "p50 ms",
        "p99 ms",
        "most out",
        "share",
        "reported",
    ]);
    for step in list(&story["steps"])
        .iter()
        .filter(|step| number(&step["from_us"]) >= now - span)
    {
        let sum = |names: &[&str]| {
            names
                .iter()
                .map(|name| number(&step[name]))
                .sum::<f64>()
                .to_string()
        };
        let middle = if step["p50_us"].is_null() {
            &step["mean_us"]
        } else {
            &step["p50_us"]
        };
        table.row([
            clock(&step["from_us"]),
            format!("{}", number(&step["width_us"]) / 1e6),
            text(&step["served"]),
            sum(&["error", "timeout", "reset"]),
            sum(&["full", "connect_failed"]),
            text(&step["turned_away"]),
            ms(middle),
            ms(&step["p99_us"]),
            text(&step["most_out"]),
            format!("{:.1}%", 100.0 * number(&step["region"])),
            text(&step["reported"]["held"]),
        ]);
    }
    told += &format!("\n{table}\n");
    let mut notes = Table::new(["at", "what", "times", "last"]);
    for note in list(&story["notes"]) {
        notes.row([
            clock(&note["at_us"]),
            text(&note["text"]),
            text(&note["times"]),
            clock(&note["last_us"]),
        ]);
    }
    told + &format!("\n{notes}\n")
}

/// Tells what happened to servers of late, and with --follow what happens
#[derive(clap::Args)]
#[command(
    after_help = "Example:\n  madderloom events --operator operator.toml --follow --output json"
)]
pub(crate) struct Events {
    #[command(flatten)]
    place: Place,
    /// Stays, and tells what comes until it is ended
    #[arg(long)]
    follow: bool,
    /// Begins with the event of this number
    #[arg(long, value_name = "NUMBER")]
    from: Option<u64>,
    /// How it is told; JSON has a line for each event
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Events {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let at = self.place.find()?;
        let from = self.from.unwrap_or(0);
        if !self.follow {
            let told = wait_for(fetch_json(&at, &format!("/v1/events?after={from}")))??;
            if number(&told["oldest"]) > from as f64 && self.from.is_some() {
                let _ = writeln!(
                    std::io::stderr(),
                    "madderloom: the oldest that is kept is {}",
                    told["oldest"]
                );
            }
            let _ = list(&told["events"])
                .iter()
                .try_for_each(|event| self.tell(event));
            return Ok(ExitCode::SUCCESS);
        }
        let line = |line: &str| match serde_json::from_str(line) {
            Ok(event) => self.tell(&event),
            Err(_) => ControlFlow::Continue(()),
        };
        wait_for(follow_events(
            &at,
            &format!("/v1/events?follow=1&after={from}"),
            line,
        ))?
        .map_err(|fault| match fault {
            FetchError::NotFound => {
                "time lines are off; write [timeline] into the operator file".to_string()
            }
            FetchError::Problem(problem) => problem,
        })?;
        Err(format!("{at}: the process has ended"))
    }

    /// Ends where nobody reads any more.
    fn tell(&self, event: &Value) -> ControlFlow<()> {
        let line = match (self.output, event["missed"].as_u64()) {
            (Output::Json, _) => event.to_string(),
            (Output::Text, Some(missed)) => format!("{missed} older events are not kept any more"),
            (Output::Text, None) => {
                format!(
                    "{}  {}: {}",
                    clock(&event["at_us"]),
                    text(&event["pool"]),
                    text(&event["text"])
                )
            }
        };
        match writeln!(std::io::stdout().lock(), "{line}") {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn ms(us: &Value) -> String {
    us.as_f64()
        .map_or_else(|| "-".to_string(), |us| format!("{:.1}", us / 1e3))
}

/// A time of the clock, in UTC, to the second.
fn clock(us: &Value) -> String {
    let seconds = us
        .as_u64()
        .and_then(|us| i64::try_from(us / 1_000_000).ok());
    let time = seconds.and_then(|seconds| OffsetDateTime::from_unix_timestamp(seconds).ok());
    time.and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| "-".to_string())
}

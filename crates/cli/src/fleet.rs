//! The commands that speak to an agent: what they show, and what their exit codes say.

use crate::output::{Output, Table, tell};
use clap::Subcommand;
use hyper::Method;
use madderloom_agent::view::{Figures, Instance, InstanceWhole, Rollouts, Share, Status};
use madderloom_agent::{Client, Failed};
use madderloom_fleet::change::{Change, Policy, Selector, Traits, What};
use madderloom_fleet::membership::Presence;
use madderloom_fleet::rollout::{End, Rollout as FleetRollout};
use madderloom_fleet::settings::{Edits, Key, Value};
use madderloom_fleet::{Accepted, By, Declined};
use madderloom_keys::Files;
use madderloom_roster::SharedList;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use time::OffsetDateTime;
use time::macros::format_description;

/// A change was declined, or an instance refused it.
const REFUSED: u8 = 3;
/// A rollout was stopped or taken back, or an instance failed.
const FAILED: u8 = 4;
/// How often a rollout is looked at.
const LOOK: Duration = Duration::from_millis(300);

/// Which agent, and as whom.
#[derive(clap::Args)]
struct Connection {
    /// The agent, as HOST:PORT
    #[arg(long, env = "MADDERLOOM_AGENT", default_value = "127.0.0.1:7070", value_name = "HOST:PORT")]
    agent: String,
    /// Whose certificate and key are shown: NAME.pem and NAME.key
    #[arg(long = "as", env = "MADDERLOOM_AS", value_name = "NAME")]
    whom: String,
    /// Where these and authority.pem are
    #[arg(long, env = "MADDERLOOM_KEYS", default_value = ".", value_name = "DIRECTORY")]
    keys: PathBuf,
}

impl Connection {
    fn client(&self) -> Result<Client, String> {
        let at = |file: String| self.keys.join(file);
        let files = Files {
            authority: at("authority.pem".into()),
            certificate: at(format!("{}.pem", self.whom)),
            key: at(format!("{}.key", self.whom)),
            revoked: None,
        };
        Client::new(&self.agent, files)
    }

    /// Runs a command that speaks to the agent.
    fn run(&self, command: impl AsyncFnOnce(Client) -> Result<ExitCode, Failed>) -> Result<ExitCode, String> {
        let client = self.client()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        let done = tokio::task::LocalSet::new().block_on(&runtime, command(client));
        match done {
            Err(Failed::Declined(declined)) => {
                explain(&declined);
                Ok(ExitCode::from(REFUSED))
            }
            done => done.map_err(|failed| failed.to_string()),
        }
    }
}

/// Tells why a change was declined, with what to do.
fn explain(declined: &Declined) {
    let mut text = format!("madderloom: declined: {declined}");
    if let Declined::Conflict { base, newest, since, more } = declined {
        text = format!("madderloom: declined: made on revision {base}, but the fleet is at {newest}");
        if *more {
            text += "\n  (what came right after it is no longer remembered)";
        }
        for since in since {
            let end = since.end.map_or("rolling out", ended);
            text += &format!(
                "\n  revision {}: {} by {}, {}, {end}",
                since.revision,
                since.id,
                since.by.who,
                when(since.by.at)
            );
            for line in &since.difference {
                text += &format!("\n    {line}");
            }
        }
        text += &format!("\nlook whether the change is still right, then push it with base = {newest}");
    }
    let _ = writeln!(std::io::stderr(), "{text}");
}

fn ended(end: End) -> &'static str {
    match end {
        End::Done => "done",
        End::Stopped => "stopped",
        End::TakenBack => "taken back",
    }
}

fn when(millis: u64) -> String {
    let format = format_description!("[year]-[month]-[day] [hour]:[minute]:[second]Z");
    let seconds = i64::try_from(millis / 1_000).unwrap_or(0);
    let time = OffsetDateTime::from_unix_timestamp(seconds).ok();
    time.and_then(|time| time.format(format).ok()).unwrap_or_else(|| "?".into())
}

fn json(value: &impl Serialize) {
    tell(format_args!("{}", serde_json::to_string(value).unwrap_or_default()));
}

async fn get<T: for<'a> serde::Deserialize<'a>>(client: &Client, path: &str) -> Result<T, Failed> {
    client.get(Method::GET, path, Vec::new()).await
}

/// What is not there, with the nearest name that is.
fn unknown(kind: &str, name: &str, known: impl Iterator<Item = String>) -> Failed {
    let near =
        known.map(|known| (strsim::jaro_winkler(name, &known), known)).max_by(|a, b| a.0.total_cmp(&b.0));
    let suggestion = match near {
        Some((likeness, near)) if likeness > 0.7 => format!("; did you mean {near}?"),
        _ => String::new(),
    };
    Failed::Unheard(format!("there is no {kind} {name:?}{suggestion}"))
}

fn is_missing(failed: &Failed) -> bool {
    matches!(failed, Failed::Refused(status, _) if status.as_u16() == 404)
}

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

fn line(instance: &Instance) -> [String; 8] {
    let in_line = match (&instance.refused, instance.in_line) {
        (Some(_), _) => "refused",
        (None, Some(true)) => "yes",
        (None, Some(false)) => "no",
        (None, None) => "?",
    };
    let share = instance.counts.bad as f64 * 100.0 / instance.counts.ended.max(1) as f64;
    let mut note = instance.refused.clone().unwrap_or_default();
    let without =
        instance.fleet_limits.iter().filter(|(_, share)| share.instances > 0 && share.with_part == 0);
    let without: Vec<&str> = without.map(|(name, _)| name.as_str()).collect();
    if !without.is_empty() {
        note = format!("no lease of {} {note}", without.join(", "));
    }
    if let Some(rival) = instance.rival {
        note = format!("another process wants this name (incarnation {rival}) {note}");
    }
    [
        instance.name.clone(),
        presence(instance.presence).into(),
        instance.zone.clone(),
        instance.revision.to_string(),
        in_line.into(),
        instance.counts.ended.to_string(),
        format!("{share:.1}%"),
        note,
    ]
}

/// The lists that the fleet shares, a row each.
fn lists(lists: &BTreeMap<String, SharedList>) -> Table {
    let mut table = Table::new(["SHARED LIST", "VERSION", "AGE", "WATCHED BY", "BEHIND"]);
    for (name, list) in lists {
        table.row([
            name.clone(),
            list.version.to_string(),
            format!("{:.1} s", list.age_us as f64 / 1e6),
            list.watched.to_string(),
            list.behind.to_string(),
        ]);
    }
    table
}

/// Fleet-wide limits, or parts of them, a row each.
fn shares(limits: &BTreeMap<String, Share>) -> Table {
    let mut table = Table::new([
        "FLEET LIMIT",
        "ALL",
        "LENT",
        "USED/S",
        "WANTED/S",
        "OPEN",
        "OVER/S",
        "INSTANCES",
        "WITHOUT A LEASE",
    ]);
    for (name, share) in limits {
        let figures = |figures: &Figures| {
            let rate = figures.requests_per_second.map(|rate| format!("{rate:.1}/s"));
            let open = figures.open.map(|open| format!("{open} open"));
            rate.into_iter().chain(open).collect::<Vec<_>>().join(", ")
        };
        table.row([
            name.clone(),
            figures(&share.whole),
            figures(&share.lent),
            format!("{:.1}", share.used),
            format!("{:.1}", share.wanted),
            share.open.to_string(),
            format!("{:.1}", share.over),
            share.instances.to_string(),
            share.instances.saturating_sub(share.with_part).to_string(),
        ]);
    }
    table
}

fn presence(presence: Presence) -> &'static str {
    match presence {
        Presence::Joining => "joining",
        Presence::Alive => "alive",
        Presence::Suspect => "suspect",
        Presence::Gone => "gone",
    }
}

fn table(instances: &[Instance]) -> Table {
    let mut table = Table::new(["NAME", "STATE", "ZONE", "REVISION", "IN LINE", "REQUESTS", "BAD", "NOTE"]);
    instances.iter().for_each(|instance| table.row(line(instance)));
    table
}

impl Instances {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        self.connection.run(async |client| {
            let instances: Vec<Instance> = get(&client, "/v1/instances").await?;
            match self.output {
                Output::Json => json(&instances),
                Output::Text if instances.is_empty() => tell(format_args!("no instance has registered yet")),
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
            let found = get::<InstanceWhole>(&client, &format!("/v1/instances/{}", self.name)).await;
            let whole = match found {
                Err(failed) if is_missing(&failed) => {
                    let known: Vec<Instance> = get(&client, "/v1/instances").await?;
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
            let labels: Vec<String> =
                instance.labels.iter().map(|(label, value)| format!("{label}={value}")).collect();
            tell(format_args!("build {}, incarnation {}", instance.build, instance.incarnation));
            tell(format_args!("own file {}, labels {}", instance.file, labels.join(" ")));
            if !instance.fleet_limits.is_empty() {
                tell(format_args!("{}", shares(&instance.fleet_limits)));
            }
            tell(format_args!("the fleet has settled on:"));
            if whole.settled.is_empty() {
                tell(format_args!("  nothing beside its own file"));
            }
            whole.settled.iter().for_each(|line| tell(format_args!("  {line}")));
            Ok(ExitCode::SUCCESS)
        })
    }
}

/// Pushes a change to the fleet, and waits until each instance has it, refused it or failed.
///
/// Exits with 0 where all have it, with 3 where it was declined or an instance refused it, with 4 where it was
/// stopped or taken back or an instance failed, and with 1 where the agent could not be asked.
#[derive(clap::Args)]
pub(crate) struct Push {
    /// The change, a TOML file; `base` in it is the revision that it was made on
    file: PathBuf,
    /// Say whether the agent would accept it now, and for which instances it is; change nothing. What an instance
    /// itself would refuse shows only there. Exits with 0 or 3
    #[arg(long, conflicts_with = "no_wait")]
    dry_run: bool,
    #[command(flatten)]
    connection: Connection,
    #[command(flatten)]
    waiting: Waiting,
}

#[derive(clap::Args)]
struct Waiting {
    /// Return once it is accepted
    #[arg(long)]
    no_wait: bool,
    /// How it is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Push {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let name = self.file.display().to_string();
        let text = std::fs::read_to_string(&self.file).map_err(|e| format!("{name}: {e}"))?;
        let read = |newest| {
            madderloom_fleet::file::read(&text, newest).map_err(|problems| {
                let lines: Vec<String> = problems.iter().map(|problem| format!("{name}:{problem}")).collect();
                lines.join("\n")
            })
        };
        // All but the revision can be said before anyone is asked.
        read(Some(0))?;
        self.connection.run(async |client| {
            let status: Status = get(&client, "/v1/status").await?;
            let change = read(Some(status.revision)).map_err(Failed::Unheard)?;
            if self.dry_run {
                return dry_run(&client, change, &status, self.waiting.output).await;
            }
            push(&client, &change, &self.waiting).await
        })
    }
}

/// Tells what a push would do, by what the agent shows of itself.
async fn dry_run(
    client: &Client,
    change: Change,
    status: &Status,
    output: Output,
) -> Result<ExitCode, Failed> {
    let instances: Vec<Instance> = get(client, "/v1/instances").await?;
    let known: Vec<Rollouts> = get(client, "/v1/rollouts").await?;
    let (id, base, newest) = (change.id.clone(), change.base, status.revision);
    let difference = madderloom_fleet::difference(&change);
    let why = if let Some(term) = status.stood_down {
        Some(format!("an agent of term {term} has taken over"))
    } else if let Some(former) = known.iter().find(|former| former.id == id) {
        let same = former.difference == difference;
        let told = if same { "a push of the same changes nothing" } else { "choose another id" };
        Some(format!("{id} is revision {}; {told}", former.revision))
    } else if base != newest {
        Some(format!("made on revision {base}, but the fleet is at {newest}"))
    } else {
        status.rolling_out.as_ref().map(|other| format!("{other} is rolling out"))
    };
    let there = instances.iter().filter(|instance| instance.presence != Presence::Gone);
    let chosen = there.filter(|instance| {
        let (zone, labels) = (instance.zone.clone(), instance.labels.clone());
        change.select.matches(&instance.name, &Traits { zone, labels, ..Traits::default() })
    });
    let chosen = chosen.map(|instance| (instance.name.clone(), instance.counts)).collect();
    let by = By { who: String::new(), at: 0 };
    let rollout = FleetRollout::new(change, newest.saturating_add(1), by, chosen, Default::default());
    let waves = rollout.targets.iter().map(|(name, target)| (name.as_str(), target.wave + 1));
    let waves: BTreeMap<&str, u32> = waves.collect();
    if output == Output::Json {
        json(&serde_json::json!({
            "id": id, "base": base, "accepted": why.is_none(), "why": why, "difference": difference, "waves": waves,
        }));
    } else {
        match &why {
            Some(why) => tell(format_args!("{id} would be declined: {why}")),
            None => tell(format_args!("{id} would be accepted as revision {}", newest.saturating_add(1))),
        }
        difference.iter().for_each(|line| tell(format_args!("  {line}")));
        let mut table = Table::new(["NAME", "WAVE"]);
        waves.iter().for_each(|(name, wave)| table.row([name.to_string(), wave.to_string()]));
        match waves.is_empty() {
            true => tell(format_args!("no instance is selected")),
            false => tell(format_args!("{table}")),
        }
    }
    Ok(if why.is_none() { ExitCode::SUCCESS } else { ExitCode::from(REFUSED) })
}

async fn push(client: &Client, change: &Change, waiting: &Waiting) -> Result<ExitCode, Failed> {
    let body = serde_json::to_vec(change).unwrap_or_default();
    let accepted: Accepted = client.get(Method::POST, "/v1/changes", body).await?;
    follow(client, &accepted, waiting).await
}

/// Waits until a rollout has ended, showing where it is.
async fn follow(client: &Client, accepted: &Accepted, waiting: &Waiting) -> Result<ExitCode, Failed> {
    if waiting.no_wait {
        match waiting.output {
            Output::Json => json(accepted),
            Output::Text => {
                tell(format_args!("{} is accepted as revision {}", accepted.id, accepted.revision))
            }
        }
        return Ok(ExitCode::SUCCESS);
    }
    let mut shown = String::new();
    let path = format!("/v1/rollouts/{}", accepted.id);
    loop {
        let rollout: Rollouts = get(client, &path).await?;
        let progress = format!("{}: {}: {}", rollout.id, rollout.phase, counts(&rollout));
        if progress != shown && waiting.output == Output::Text {
            show_progress(&progress);
            shown = progress;
        }
        if rollout.end.is_some() {
            if std::io::stderr().is_terminal() && waiting.output == Output::Text {
                let _ = writeln!(std::io::stderr());
            }
            tell_rollout(&rollout, waiting.output);
            return Ok(code(&rollout));
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// On a terminal in one line that is written over, else a line each.
fn show_progress(progress: &str) {
    let mut err = std::io::stderr();
    let _ = if err.is_terminal() { write!(err, "\r\x1b[K{progress}") } else { writeln!(err, "{progress}") };
    let _ = err.flush();
}

fn counts(rollout: &Rollouts) -> String {
    let counts: Vec<String> =
        rollout.counts.iter().map(|(state, count)| format!("{count} {state}")).collect();
    if counts.is_empty() { "no instance is selected".into() } else { counts.join(", ") }
}

fn code(rollout: &Rollouts) -> ExitCode {
    if rollout.is_applied() {
        ExitCode::SUCCESS
    } else if rollout.is_refused() {
        ExitCode::from(REFUSED)
    } else {
        ExitCode::from(FAILED)
    }
}

fn tell_rollout(rollout: &Rollouts, output: Output) {
    if output == Output::Json {
        return json(rollout);
    }
    let why = rollout.why.as_ref().map(|why| format!(": {why}")).unwrap_or_default();
    let Rollouts { id, revision, by, phase, .. } = rollout;
    tell(format_args!("{id}, revision {revision}, by {} at {}: {phase}{why}", by.who, when(by.at)));
    rollout.difference.iter().for_each(|line| tell(format_args!("  {line}")));
    tell(format_args!("{}", counts(rollout)));
    let mut table = Table::new(["NAME", "WAVE", "RESULT", "REASON", "TAKEN BACK"]);
    let odd = rollout.results.iter().filter(|(_, result)| result.state != "applied" || result.back.is_some());
    let mut any = false;
    for (name, result) in odd {
        any = true;
        let text = |text: &Option<String>| text.clone().unwrap_or_default();
        let row = [
            name.clone(),
            result.wave.to_string(),
            result.state.clone(),
            text(&result.reason),
            text(&result.back),
        ];
        table.row(row);
    }
    if any {
        tell(format_args!("{table}"));
    }
}

/// Shows a rollout, stops it or takes it back.
#[derive(clap::Args)]
pub(crate) struct Rollout {
    #[command(subcommand)]
    what: RolloutVerb,
}

#[derive(Subcommand)]
enum RolloutVerb {
    /// Shows where it is, and each instance that has it not; exit codes as those of `push`
    Status(One),
    /// Stops it: instances that have it keep it
    Stop(One),
    /// Takes it back, also once it is over
    Undo(One),
}

#[derive(clap::Args)]
struct One {
    /// The change's id
    id: String,
    #[command(flatten)]
    connection: Connection,
    #[command(flatten)]
    waiting: Waiting,
}

impl Rollout {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let (one, verb) = match self.what {
            RolloutVerb::Status(one) => (one, None),
            RolloutVerb::Stop(one) => (one, Some("stop")),
            RolloutVerb::Undo(one) => (one, Some("undo")),
        };
        one.connection.run(async |client| {
            let path = format!("/v1/rollouts/{}", one.id);
            if let Some(verb) = verb {
                let accepted =
                    client.get::<Accepted>(Method::POST, &format!("{path}/{verb}"), Vec::new()).await?;
                let code = follow(&client, &accepted, &one.waiting).await?;
                // What was asked for is that it ends so.
                return Ok(if one.waiting.no_wait || verb == "stop" {
                    ExitCode::SUCCESS
                } else {
                    undone(code)
                });
            }
            match get::<Rollouts>(&client, &path).await {
                Err(failed) if is_missing(&failed) => {
                    let known: Vec<Rollouts> = get(&client, "/v1/rollouts").await?;
                    Err(unknown("change", &one.id, known.into_iter().map(|rollout| rollout.id)))
                }
                Err(failed) => Err(failed),
                Ok(rollout) => {
                    tell_rollout(&rollout, one.waiting.output);
                    Ok(if rollout.end.is_none() { ExitCode::SUCCESS } else { code(&rollout) })
                }
            }
        })
    }
}

/// A change that was taken back on the way counts as undone.
fn undone(code: ExitCode) -> ExitCode {
    if code == ExitCode::from(FAILED) { ExitCode::SUCCESS } else { code }
}

/// Lists the changes of late, newest first.
#[derive(clap::Args)]
pub(crate) struct History {
    #[command(flatten)]
    connection: Connection,
    /// How they are told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl History {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        self.connection.run(async |client| {
            let all: Vec<Rollouts> = get(&client, "/v1/rollouts").await?;
            if self.output == Output::Json {
                json(&all);
                return Ok(ExitCode::SUCCESS);
            }
            let mut table = Table::new(["REVISION", "CHANGE", "BY", "AT", "STATE", "INSTANCES", "WHAT"]);
            for rollout in &all {
                let what = match rollout.difference.as_slice() {
                    [one] => one.clone(),
                    [first, ..] => format!("{first} and {} more", rollout.difference.len() - 1),
                    [] => String::new(),
                };
                let Rollouts { id, revision, by, phase, .. } = rollout;
                let row = [revision.to_string(), id.clone(), by.who.clone(), when(by.at), phase.clone()];
                let [revision, id, who, at, phase] = row;
                table.row([revision, id, who, at, phase, counts(rollout), what]);
            }
            tell(format_args!("{table}"));
            Ok(ExitCode::SUCCESS)
        })
    }
}

/// Drains a server: instances send it nothing new. Exit codes as those of `push`.
#[derive(clap::Args)]
pub(crate) struct Drain {
    /// The server, as discovery names it
    server: String,
    /// Lift it again
    #[arg(long)]
    lift: bool,
    /// For instances of this zone alone; may be given again
    #[arg(long = "zone", value_name = "ZONE")]
    zones: Vec<String>,
    /// Why
    #[arg(long, default_value = "")]
    note: String,
    #[command(flatten)]
    connection: Connection,
    #[command(flatten)]
    waiting: Waiting,
}

impl Drain {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let key: Key = format!("drain/{}", self.server).parse()?;
        self.connection.run(async |client| {
            let status: Status = get(&client, "/v1/status").await?;
            let verb = if self.lift { "lift" } else { "drain" };
            let drained = Some(Value::Drained(true)).filter(|_| !self.lift);
            let change = Change {
                id: format!("{verb}-{}-{}", self.server, status.revision + 1),
                base: status.revision,
                note: self.note.clone(),
                select: Selector { zones: self.zones.clone(), ..Selector::default() },
                // A drain is wanted at once, and harms nobody who is slow to hear of it.
                rollout: Policy {
                    waves: vec![],
                    at_once: 1_000,
                    pause: 0,
                    failures: u32::MAX,
                    gate: None,
                    ..Policy::default()
                },
                what: What::Set(Edits::from([(key.clone(), drained)])),
            };
            push(&client, &change, &self.waiting).await
        })
    }
}

/// Watches the fleet in the terminal, until it is interrupted.
#[derive(clap::Args)]
pub(crate) struct Top {
    #[command(flatten)]
    connection: Connection,
    /// Seconds between two looks
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    every: u64,
    /// Look once, and end
    #[arg(long)]
    once: bool,
}

/// Rows of instances on a screen that is written anew; what is written once has all of them.
const ROWS: usize = 40;

impl Top {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        self.connection.run(async |client| {
            let live = !self.once && std::io::stdout().is_terminal();
            loop {
                let view = look(&client, if live { ROWS } else { usize::MAX }).await;
                let text = match &view {
                    Ok(view) => view.to_string(),
                    Err(failed) if live => format!("{failed}; trying again"),
                    Err(_) => return view.map(|_| ExitCode::SUCCESS),
                };
                if !live {
                    tell(format_args!("{text}"));
                    return Ok(ExitCode::SUCCESS);
                }
                tell(format_args!("\x1b[H\x1b[2J{text}"));
                tokio::time::sleep(Duration::from_secs(self.every)).await;
            }
        })
    }
}

struct View {
    status: Status,
    rollout: Option<Rollouts>,
    instances: Vec<Instance>,
    /// So many instances are shown at most.
    rows: usize,
}

async fn look(client: &Client, rows: usize) -> Result<View, Failed> {
    let status: Status = get(client, "/v1/status").await?;
    let rollout = match &status.rolling_out {
        // It may have ended since.
        Some(id) => get(client, &format!("/v1/rollouts/{id}")).await.ok(),
        None => None,
    };
    let mut instances: Vec<Instance> = get(client, "/v1/instances").await?;
    // What needs a look stands first.
    instances.sort_by_key(|i| {
        (i.presence == Presence::Alive && i.in_line == Some(true) && i.refused.is_none(), i.name.clone())
    });
    Ok(View { status, rollout, instances, rows })
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Status { term, revision, instances, in_effect, stood_down, .. } = &self.status;
        let there: Vec<String> = instances.iter().map(|(state, count)| format!("{count} {state}")).collect();
        let changes = in_effect.len();
        writeln!(
            f,
            "revision {revision}, {changes} changes in effect, term {term}; instances: {}",
            there.join(", ")
        )?;
        if let Some(term) = stood_down {
            writeln!(f, "an agent of term {term} has taken over: this one gives no orders any more")?;
        }
        match &self.rollout {
            Some(rollout) => writeln!(f, "{}: {}: {}", rollout.id, rollout.phase, counts(rollout))?,
            None => writeln!(f, "nothing is rolling out")?,
        }
        if !self.status.fleet_limits.is_empty() {
            if self.status.lends_all == Some(false) {
                writeln!(f, "fleet limits: what a former agent lent may be out, and is lent again alone")?;
            }
            writeln!(f, "{}", shares(&self.status.fleet_limits))?;
        }
        if !self.status.shared_lists.is_empty() {
            writeln!(f, "{}", lists(&self.status.shared_lists))?;
        }
        let shown = &self.instances[..self.instances.len().min(self.rows)];
        write!(f, "{}", table(shown))?;
        match self.instances.len() - shown.len() {
            0 => Ok(()),
            more => write!(f, "\nand {more} more"),
        }
    }
}

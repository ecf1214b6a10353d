//! `madderloom status`: what a running process knows, by its admin view.

use crate::output::{Output, table, tell};
use crate::place::{Place, wait_for};
use serde_json::Value;
use std::process::ExitCode;
use std::time::Duration;

/// Shows what a running process knows: its listeners, pools and servers.
///
/// Its admin view must be on: `[admin]` in the operator file. Exits with 0 where every pool knows a server, with 1
/// where one does not or the process can't be reached.
#[derive(clap::Args)]
#[command(after_help = "Example:\n  madderloom status --operator operator.toml reports")]
pub(crate) struct Status {
    #[command(flatten)]
    place: Place,
    /// One pool alone, with its classes
    pool: Option<String>,
    /// How it is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Status {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let at = self.place.find()?;
        let mut status = wait_for(madderloom_sidecar::admin::fetch_status(&at))??;
        if let Some(name) = &self.pool {
            let pools = list(&status["pools"]);
            let known = pools
                .iter()
                .map(|p| text(&p["name"]))
                .collect::<Vec<_>>()
                .join(", ");
            let found: Vec<Value> = pools
                .iter()
                .filter(|p| p["name"] == **name)
                .cloned()
                .collect();
            if found.is_empty() {
                return Err(format!("there is no pool {name}; there are {known}"));
            }
            status["pools"] = found.into();
        }
        match self.output {
            Output::Json => tell(&status),
            Output::Text => tell(told(&status, self.pool.is_some()).trim_end()),
        }
        let ready = list(&status["pools"])
            .iter()
            .all(|p| p["ready"] == true || p["state"] != "serving");
        Ok(if ready {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if !number.is_u64() && !number.is_i64() => format!("{float:.2}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

/// The part of the time since the start that was spent on this.
fn thread(of: &Value, up: f64) -> String {
    format!("{:.1}%", 100.0 * number(&of["thread"]["us"]) / up.max(1.0))
}

/// What is held of what may be.
fn part(held: &Value) -> String {
    format!("{}/{}", text(&held["used"]), text(&held["most"]))
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|cell| cell.to_string()).collect()
}

/// Connections by their state, what they hold, and the timers.
fn connections(status: &Value) -> String {
    let (all, timers) = (&status["connections"], &status["timers"]);
    let held = &all["held"];
    let idle: f64 = list(&status["pools"])
        .iter()
        .map(|pool| number(&pool["connections"]["idle"]))
        .sum();
    let servers = &status["limits"]["server_connections"]["used"];
    let kib = |bytes: &Value| format!("{:.0} KiB", number(bytes) / 1024.0);
    let rows = [
        row(&["connections", "number", "held"]),
        row(&[
            "clients, parked",
            &text(&all["parked"]),
            &kib(&held["parked"]),
        ]),
        row(&[
            "clients, served",
            &text(&all["served"]),
            &kib(&held["served"]),
        ]),
        row(&["servers", &text(servers), &kib(&held["servers"])]),
        row(&["servers, idle", &format!("{idle}"), ""]),
        row(&["at most", "", &kib(&held["most"])]),
        row(&["timers set", &text(&timers["set"]), ""]),
    ];
    table(&rows) + "\n"
}

fn told(status: &Value, classes: bool) -> String {
    let up = number(&status["up_us"]);
    let name = status["name"]
        .as_str()
        .filter(|n| !n.is_empty())
        .unwrap_or("madderloom");
    let since = humantime(up);
    let mut told = format!("{name}, build {}, up {since}\n\n", text(&status["build"]));
    let mut rows = vec![row(&[
        "listener",
        "address",
        "state",
        "connections",
        "open",
        "bodies",
        "denied",
        "thread",
    ])];
    for listener in list(&status["listeners"]) {
        let limits = &listener["limits"];
        let denied: f64 = ["connections", "open", "bodies"]
            .iter()
            .map(|l| number(&limits[l]["denied"]))
            .sum();
        rows.push(vec![
            text(&listener["name"]),
            text(&listener["address"]),
            text(&listener["state"]),
            part(&limits["connections"]),
            part(&limits["open"]),
            part(&limits["bodies"]),
            format!("{denied}"),
            thread(listener, up),
        ]);
    }
    told += &table(&rows);
    told += &connections(status);
    let columns = [
        "pool",
        "state",
        "servers",
        "open",
        "served",
        "refused",
        "failed",
        "turned away",
        "connections",
        "thread",
    ];
    let mut rows = vec![row(&columns)];
    for pool in list(&status["pools"]) {
        let servers = list(&pool["servers"]);
        let ready = servers
            .iter()
            .filter(|s| s["state"] == "ready" && s["ejected_for_us"].is_null())
            .count();
        let requests = &pool["requests"];
        rows.push(vec![
            text(&pool["name"]),
            text(&pool["state"]),
            format!("{ready}/{}", servers.len()),
            part(&pool["limits"]["open"]),
            text(&requests["served"]),
            text(&requests["refused"]),
            text(&requests["failed"]),
            text(&requests["turned_away"]),
            part(&pool["limits"]["connections"]),
            thread(pool, up),
        ]);
    }
    told += &format!("\n{}", table(&rows));
    told += &fleet_limits(&status["fleet_limits"]);
    told += &shared_lists(&status["shared_lists"]);
    told += &levels(list(&status["pools"]), classes);
    if classes {
        let mut rows = vec![row(&[
            "class", "effect", "open", "usual ms", "slow ms", "delay", "served/s",
        ])];
        for class in list(&status["pools"])
            .iter()
            .flat_map(|pool| list(&pool["classes"]))
        {
            let ms = |us: &Value| format!("{:.1}", number(us) / 1e3);
            rows.push(vec![
                text(&class["name"]),
                text(&class["effect"]),
                text(&class["open"]),
                ms(&class["usual_us"]),
                ms(&class["slow_us"]),
                text(&class["delay"]),
                text(&class["served_per_s"]),
            ]);
        }
        told += &format!("\n{}", table(&rows));
    }
    let columns = [
        "server",
        "pool",
        "address",
        "zone",
        "state",
        "share",
        "out",
        "failures",
        "last answer s",
    ];
    let mut rows = vec![row(&columns)];
    for pool in list(&status["pools"]) {
        for server in list(&pool["servers"]) {
            let state = if server["ejected_for_us"].is_null() {
                text(&server["state"])
            } else {
                "ejected".into()
            };
            rows.push(vec![
                text(&server["name"]),
                text(&pool["name"]),
                text(&server["address"]),
                text(&server["zone"]),
                state,
                format!("{:.1}%", 100.0 * number(&server["share"])),
                text(&server["out"]),
                text(&server["failures"]),
                format!("{:.1}", number(&server["last_answer_ago_us"]) / 1e6),
            ]);
        }
    }
    told + &format!("\n{}", table(&rows))
}

/// Fleet-wide limits: what this instance may let in, and whether under a lease.
fn fleet_limits(of: &Value) -> String {
    let Some(limits) = of["limits"].as_object() else {
        return String::new();
    };
    let lease = match of["leased"] == true {
        true => format!(
            "a lease of term {} holds for {:.1} s more",
            text(&of["term"]),
            number(&of["ends_us"]) / 1e6
        ),
        false => format!("no lease holds, for {}", humantime(number(&of["since_us"]))),
    };
    let figures = |of: &Value| {
        let told = [
            ("requests_per_second", "/s"),
            ("burst", " at once"),
            ("open", " open"),
        ];
        let told = told.iter().filter(|(name, _)| !of[name].is_null());
        told.map(|(name, unit)| text(&of[name]) + unit)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let mut rows = vec![row(&[
        "fleet limit",
        "may let in",
        "all of it",
        "used/s",
        "open",
        "denied",
    ])];
    for (name, limit) in limits {
        rows.push(vec![
            name.clone(),
            figures(&limit["may"]),
            figures(&limit["whole"]),
            text(&limit["used"]),
            text(&limit["open"]),
            text(&limit["denied"]),
        ]);
    }
    format!("\n{lease}\n{}", table(&rows))
}

/// Lists that the fleet shares, with how old what is known of each may be.
fn shared_lists(of: &Value) -> String {
    let Some(lists) = of.as_object() else {
        return String::new();
    };
    let mut rows = vec![row(&["shared list", "version", "age"])];
    for (name, list) in lists {
        rows.push(vec![
            name.clone(),
            text(&list["version"]),
            humantime(number(&list["age_us"])),
        ]);
    }
    format!("\n{}", table(&rows))
}

/// The level of each pool that has levels, with what caused it, the orders that hold and, `in_full`, the last changes
/// and the signals.
fn levels(pools: &[Value], in_full: bool) -> String {
    let leveled: Vec<&Value> = pools
        .iter()
        .filter(|pool| !pool["service_level"].is_null())
        .collect();
    if leveled.is_empty() {
        return String::new();
    }
    let span = |us: &Value| humantime(number(us));
    let mut rows = vec![row(&[
        "pool",
        "level",
        "since",
        "turned away by it",
        "cause",
        "orders",
    ])];
    for pool in &leveled {
        let level = &pool["service_level"];
        let last = list(&level["history"]).last();
        let order = |order: &Value| {
            let what = if order["pin"] == true {
                "pinned"
            } else {
                "barred"
            };
            let (name, by) = (text(&order["level"]), text(&order["by"]));
            format!("{name} {what} for {} by {by}", span(&order["for_us"]))
        };
        let orders: Vec<String> = list(&level["orders"]).iter().map(order).collect();
        rows.push(vec![
            text(&pool["name"]),
            text(&level["level"]),
            span(&level["since_us"]),
            text(&level["given_up"]),
            last.map_or("-".into(), |change| text(&change["cause"])),
            if orders.is_empty() {
                "-".into()
            } else {
                orders.join("; ")
            },
        ]);
    }
    let mut told = format!("\n{}", table(&rows));
    if in_full {
        let full = |name: &Value| {
            if name.is_null() {
                "full".to_string()
            } else {
                text(name)
            }
        };
        let mut rows = vec![row(&["changed", "from", "to", "cause"])];
        for change in leveled
            .iter()
            .flat_map(|pool| list(&pool["service_level"]["history"]))
            .rev()
        {
            let ago = format!("{} ago", span(&change["ago_us"]));
            rows.push(vec![
                ago,
                full(&change["from"]),
                full(&change["to"]),
                text(&change["cause"]),
            ]);
        }
        told += &format!("\n{}", table(&rows));
        let mut rows = vec![row(&["signal", "now"])];
        let signals = leveled
            .iter()
            .filter_map(|pool| pool["service_level"]["signals"].as_object());
        for (name, value) in signals.flatten() {
            let value = if name == "list_age" {
                span(value)
            } else {
                format!("{:.3}", number(value))
            };
            rows.push(vec![name.clone(), value]);
        }
        told += &format!("\n{}", table(&rows));
    }
    told
}

fn humantime(us: f64) -> String {
    madderloom_config_reader::Span(Duration::from_secs_f64(us / 1e6).as_secs() * 1_000_000)
        .to_string()
}

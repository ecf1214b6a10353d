//! What a hop costs: CPU for each request of the real program beside that of a bare pass-through of the same shape,
//! in one run and in turns, so that whatever else the machine does meanwhile falls on both.

mod bare;
mod chain;
mod load;

pub use bare::PassThrough;

use crate::cli::{Output, tell, tell_json};
use crate::sockets::child::{Process, Usage};
use crate::sockets::itself::on_one_thread;
use chain::Chain;
use load::Answers;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Before a round counts, connections are opened and what is decided on settles.
const SETTLE: Duration = Duration::from_millis(500);
const STOP: Duration = Duration::from_secs(10);

/// Measures what a hop costs: CPU and time a request, beside a bare pass-through and beside no hop at all.
#[derive(clap::Args)]
pub struct Hop {
    /// Busy clients, a figure for each series of rounds
    #[arg(long, value_delimiter = ',', default_value = "16,64,256", value_parser = clap::value_parser!(u32).range(1..=2000))]
    clients: Vec<u32>,
    /// Seconds that each of the two is loaded in all, for each figure of clients
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Rounds that these seconds are shared out to; the two take turns
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=1000))]
    rounds: u32,
    /// Hops behind each other, for a call that goes so deep, a figure for each series of rounds
    #[arg(long, value_delimiter = ',', default_value = "1", value_parser = clap::value_parser!(u32).range(1..=20))]
    depth: Vec<u32>,
    /// Instant servers behind
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=64))]
    servers: u32,
    /// The program that is measured, as a path of its `madderloom`; else the sidecar that is built into the lab
    #[arg(long)]
    binary: Option<PathBuf>,
    /// What is printed
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

/// Some figure over all rounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Half of the rounds lie below it.
    pub median: f64,
    /// The least and the greatest.
    pub least: f64,
    /// See `least`.
    pub greatest: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |place: usize| values.get(place).copied().unwrap_or(0.0);
        let (half, last) = (values.len() / 2, values.len().saturating_sub(1));
        let median = if values.len().is_multiple_of(2) && half > 0 {
            (at(half - 1) + at(half)) / 2.0
        } else {
            at(half)
        };
        Spread {
            median,
            least: at(0),
            greatest: at(last),
        }
    }
}

/// One of the two under some clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// CPU for each request, in microseconds.
    pub cpu: Spread,
    /// Requests a second.
    pub rate: Spread,
    /// Latency at the clients, over all rounds, in microseconds.
    pub p50: u64,
    /// See `p50`.
    pub p99: u64,
    /// Answers other than 200.
    pub bad: u64,
    /// Resident bytes at the end.
    pub memory: u64,
}

/// Both under some clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Hops behind each other.
    pub depth: u32,
    /// How many clients.
    pub clients: u32,
    /// The program.
    pub program: Figures,
    /// The pass-through.
    pub bare: Figures,
    /// The same clients at a server, with no hop.
    pub direct: Figures,
    /// How many times as much CPU the program takes, paired by round.
    pub ratio: Spread,
}

struct Round {
    answers: Answers,
    cpu: f64,
    rate: f64,
    memory: u64,
}

impl Hop {
    /// Measures and prints.
    ///
    /// # Errors
    /// Something did not start, or answered nothing.
    pub fn run(self) -> Result<(), String> {
        if !(self.seconds >= 0.1 && self.seconds <= 3600.0) {
            return Err(format!(
                "--seconds {}: must lie in 0.1..=3600",
                self.seconds
            ));
        }
        if cfg!(debug_assertions) && self.output == Output::Text {
            eprintln!("this is a debug build: its figures say nothing of a release");
        }
        // This thread starts the processes, and stays.
        let rows = on_one_thread(self.measure())?;
        match self.output {
            Output::Text => tell(&table(&rows)),
            Output::Json => tell_json(&rows)?,
        }
        Ok(())
    }

    async fn measure(&self) -> Result<Vec<Row>, String> {
        let mut rows = Vec::new();
        for &depth in &self.depth {
            rows.extend(self.measure_chain(depth).await?);
        }
        Ok(rows)
    }

    async fn measure_chain(&self, depth: u32) -> Result<Vec<Row>, String> {
        let servers = load::instant_servers(self.servers).map_err(|e| format!("servers: {e}"))?;
        let dir = tempfile::tempdir().map_err(|e| format!("a folder for configurations: {e}"))?;
        let program = Chain::start(depth, &servers, |number, next| {
            let name = format!("program-{number}");
            let config = config(next);
            Process::start(
                &name,
                &["sidecar"],
                self.binary.as_deref(),
                Some((dir.path(), &config)),
            )
        });
        let program = program.await?;
        let bare = Chain::start(depth, &servers, |number, next| {
            let named: Vec<String> = next.iter().map(|at| format!("--server={at}")).collect();
            let named = std::iter::once("pass-through").chain(named.iter().map(String::as_str));
            Process::start(
                &format!("pass-through-{number}"),
                &named.collect::<Vec<_>>(),
                None,
                None,
            )
        });
        let bare = bare.await?;
        let direct = Chain::direct(servers[0]);
        // Read by now: nothing of it stays behind where this is broken off.
        drop(dir);

        let mut rows = Vec::new();
        for &clients in &self.clients {
            let (mut of_program, mut of_bare, mut of_direct) = (Vec::new(), Vec::new(), Vec::new());
            for round in 0..self.rounds {
                // Whoever goes first gains or loses by it in every other round alone.
                if round.is_multiple_of(2) {
                    of_program.push(self.round(&program, clients)?);
                    of_bare.push(self.round(&bare, clients)?);
                } else {
                    of_bare.push(self.round(&bare, clients)?);
                    of_program.push(self.round(&program, clients)?);
                }
                of_direct.push(self.round(&direct, clients)?);
            }
            let ratio = of_program
                .iter()
                .zip(&of_bare)
                .map(|(p, b)| p.cpu / b.cpu)
                .collect();
            let ratio = Spread::of(ratio);
            let (program, bare, direct) =
                (figures(&of_program), figures(&of_bare), figures(&of_direct));
            rows.push(Row {
                depth,
                clients,
                program,
                bare,
                direct,
                ratio,
            });
        }
        program.stop(STOP).await?;
        bare.stop(STOP).await?;
        Ok(rows)
    }

    fn round(&self, of: &Chain, clients: u32) -> Result<Round, String> {
        let load =
            |time| load::busy_clients(of.at(), clients, time).map_err(|e| format!("clients: {e}"));
        load(SETTLE)?;
        let (begun, before) = (Instant::now(), of.usage());
        let time = Duration::from_secs_f64(self.seconds / f64::from(self.rounds));
        let answers = load(time)?;
        let (took, Usage { cpu, memory, .. }) = (begun.elapsed(), of.usage());
        if answers.good == 0 {
            return Err(format!("{} answers nothing: {}", of.at(), of.last_line()));
        }
        let all = (answers.good + answers.bad) as f64;
        let cpu = cpu.saturating_sub(before.cpu) as f64 / 1e3 / all;
        Ok(Round {
            cpu,
            rate: all / took.as_secs_f64(),
            answers,
            memory,
        })
    }
}

fn figures(rounds: &[Round]) -> Figures {
    let mut latency = None;
    for round in rounds {
        match &mut latency {
            None => latency = Some(round.answers.latency.clone()),
            // All have the same bounds.
            Some(all) => _ = all.add(&round.answers.latency),
        }
    }
    let quantile = |q| latency.as_ref().map_or(0, |all| all.value_at_quantile(q));
    Figures {
        cpu: Spread::of(rounds.iter().map(|r| r.cpu).collect()),
        rate: Spread::of(rounds.iter().map(|r| r.rate).collect()),
        p50: quantile(0.5),
        p99: quantile(0.99),
        bad: rounds.iter().map(|r| r.answers.bad).sum(),
        memory: rounds.last().map_or(0, |r| r.memory),
    }
}

/// A site with one class that nothing is refused of at any load that clients who wait for their answers can make.
fn config(servers: &[SocketAddr]) -> String {
    let endpoints: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, address)| {
            serde_json::json!({"name": format!("s-{at}"), "address": address, "zone": "a", "type": "m",
                "group": 0, "status": "in_service", "weight": 1.0, "since_ms": 0})
        })
        .collect();
    serde_json::json!({
        "name": "hop", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "5eed",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 8192},
        "known": {"index": 1, "snapshot": true, "endpoints": endpoints},
        "settings": {"group_size": 1, "my_zone": 0, "period": 1000, "discovery": "automatic",
            "areas": ["a"], "kinds": ["m"],
            "services": [{"name": "submit", "effect": "unsafe", "on_time": 1_000_000, "give_up": 2_000_000,
                "worth": 1.0}],
            "limits": {"cancel": true, "max_attempts": 6, "retry_after": true, "max_retry_after": 2_000_000},
            "safety": {"cold": 1_000_000, "cold_from": 0.3, "fall": 1_000_000}}
    })
    .to_string()
}

fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:>4} {:>7}  {:<12} {:>24} {:>10} {:>8} {:>8} {:>6} {:>7}  {}\n",
        "hops",
        "clients",
        "",
        "CPU µs a request",
        "requests/s",
        "p50 µs",
        "p99 µs",
        "bad",
        "MiB",
        "ratio"
    );
    let spread = |s: &Spread| format!("{:.1} ({:.1} to {:.1})", s.median, s.least, s.greatest);
    for row in rows {
        for (name, figures) in [
            ("program", &row.program),
            ("pass-through", &row.bare),
            ("no hop", &row.direct),
        ] {
            let ratio = if name == "program" {
                format!(
                    "{:.2} ({:.2} to {:.2})",
                    row.ratio.median, row.ratio.least, row.ratio.greatest
                )
            } else {
                String::new()
            };
            let line = format!(
                "{:>4} {:>7}  {name:<12} {:>24} {:>10.0} {:>8} {:>8} {:>6} {:>7.1}  {ratio}",
                row.depth,
                row.clients,
                spread(&figures.cpu),
                figures.rate.median,
                figures.p50,
                figures.p99,
                figures.bad,
                figures.memory as f64 / 1_048_576.0
            );
            text.push_str(line.trim_end());
            text.push('\n');
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::Spread;

    #[test]
    fn a_spread_is_the_middle_and_both_ends_whatever_the_order() {
        let odd = Spread::of(vec![3.0, 1.0, 2.0]);
        assert_eq!(
            odd,
            Spread {
                median: 2.0,
                least: 1.0,
                greatest: 3.0
            }
        );
        assert_eq!(Spread::of(vec![4.0, 1.0, 2.0, 3.0]).median, 2.5);
        assert_eq!(
            Spread::of(vec![7.0]),
            Spread {
                median: 7.0,
                least: 7.0,
                greatest: 7.0
            }
        );
    }
}

//! `madderloom-lab up`: a small fleet at work on this machine, to be watched.

use crate::cli::{table, tell};
use crate::experiment::{Arm, Class, Effect, Experiment, Fault, FaultKind, ServerKind};
use crate::record::Run;
use crate::sockets::itself::{on_one_thread, told_to_stop};
use crate::sockets::stage::{Purpose, Snapshot, Stage};
use console::Term;
use madderloom_config_reader::Span;
use std::collections::VecDeque;
use std::fmt::Write;
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::process::ExitCode;

/// It ends by itself after this, where nobody ends it before.
const DAY: Span = Span::s(86_400);

/// Changes that are shown below the table.
const SHOWN: usize = 5;

/// Shows a small fleet at work on this machine: stand-ins for servers and discovery, a real sidecar for each instance and
/// a light load, all on loopback, with a table drawn anew each second until Ctrl-C.
///
/// Into a pipe it prints a line a second. Exits with 0 where it was ended by Ctrl-C, SIGTERM or its time, with 1 where
/// something did not start or stop in good order, or a rule was broken.
#[derive(clap::Args)]
pub struct Up {
    /// What breaks while one watches, all at the same time where several are named
    #[arg(long, value_enum, value_name = "NAME")]
    fault: Vec<Break>,
    /// When it breaks
    #[arg(long, value_name = "TIME", default_value = "8s")]
    break_after: Span,
    /// How long it lasts
    #[arg(long, value_name = "TIME", default_value = "15s")]
    break_for: Span,
    /// Requests a second, all instances together
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Servers
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=64))]
    servers: u32,
    /// Instances of the application, each with a sidecar of its own
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=16))]
    instances: u32,
    /// Ends by itself after this
    #[arg(long = "for", value_name = "TIME")]
    lasts: Option<Span>,
    /// For the random numbers of load and faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Another build's `madderloom`, for the sidecars; else the sidecar that is built into the lab
    #[arg(long, value_name = "PATH")]
    binary: Option<PathBuf>,
}

/// What can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Break {
    /// Half of the servers lose three answers in ten
    Gray,
    /// A third of the servers take five times as long
    Slow,
    /// A third of the servers crash, and come back cold
    Crash,
    /// A third of the servers are drained
    Drain,
    /// One zone is cut off from the others
    Zone,
    /// Discovery is down, and a server crashes meanwhile
    Discovery,
}

impl Up {
    /// Shows it.
    ///
    /// # Errors
    /// Something did not start, or did not stop in good order.
    pub fn run(self) -> Result<ExitCode, String> {
        let experiment = self.experiment()?;
        let arm = Arm {
            name: "madderloom".into(),
            binary: self.binary.as_ref().map(|path| path.display().to_string()),
            ..Arm::default()
        };
        let (run, void) = on_one_thread(self.show(&experiment, &arm))?;
        // Broken off is how it ends; anything else is told.
        let mut text = summary(&run);
        // Broken off is how it ends, and a busy machine is no fault of what is shown.
        if let Some(why) = void.filter(|why| !why.starts_with("broken off")) {
            let _ = writeln!(text, "this machine was busy: {why}");
        }
        if let Some(why) = &run.void {
            let _ = writeln!(text, "{why}");
        }
        let well = run.breaches.is_empty() && run.void.is_none();
        for breach in &run.broken {
            let _ = writeln!(
                text,
                "{} at {}:\n  {}",
                breach.rule,
                breach.at,
                breach.story.join("\n  ")
            );
        }
        tell(&text);
        Ok(if well {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }

    async fn show(
        &self,
        experiment: &Experiment,
        arm: &Arm,
    ) -> Result<(Run, Option<String>), String> {
        let stop = told_to_stop()?;
        tokio::pin!(stop);
        let stage = tokio::select! {
            stage = Stage::set(experiment, arm, self.seed, Purpose::Show) => stage?,
            () = &mut stop => return Ok((Run::default(), None)),
        };
        let hint = (0..self.instances).find_map(|at| stage.address(at)).map(|address| {
            format!(
                "ask for yourself: curl -i -X POST -H 'X-Trace-Id: 1' -H 'X-Expires-In-Ms: 1500' -d paper \
                 http://{address}/submit\n"
            )
        });
        let mut screen = Screen::new(hint.unwrap_or_default(), self.rate);
        let stopped = async {
            stop.await;
            if let Ok(again) = told_to_stop() {
                tokio::task::spawn_local(async move {
                    again.await;
                    // Whoever asks twice does not want to wait. The system ends the sidecars.
                    std::process::exit(130);
                });
            }
        };
        let void = stage
            .play(
                &mut |snapshot| {
                    screen.draw(snapshot);
                    ControlFlow::Continue(())
                },
                stopped,
            )
            .await;
        let run = stage.end(None).await;
        Ok((run, void))
    }

    fn experiment(&self) -> Result<Experiment, String> {
        if !(self.rate.is_finite() && self.rate > 0.0 && self.rate <= 20_000.0) {
            return Err(format!(
                "--rate {}: must lie above 0 and at most at 20000",
                self.rate
            ));
        }
        let lasts = self.lasts.unwrap_or(DAY);
        if lasts < Span::s(1) || lasts > DAY {
            return Err(format!("--for {lasts}: must lie in 1s..=24h"));
        }
        let class = |name: &str, effect, share, work| Class {
            name: name.into(),
            effect,
            share,
            work: Span::ms(work),
            aim: Span::ms(300),
            deadline: Span::ms(1_500),
            ..Class::default()
        };
        // Unequal machines: what the sidecars are there for.
        let kind = |name: &str, count, speed| ServerKind {
            name: name.into(),
            count,
            cores: 3,
            speed,
            cold_from: 0.3,
            cold: Span::s(4),
            ..ServerKind::default()
        };
        let slow = self.servers / 2;
        let kinds = [
            kind("fast", self.servers - slow, 1.3),
            kind("slow", slow, 0.7),
        ];
        let mut experiment = Experiment {
            version: crate::experiment::VERSION,
            name: "up".into(),
            duration: lasts,
            servers: kinds.into_iter().filter(|kind| kind.count > 0).collect(),
            classes: vec![
                class("read", Effect::Safe, 3.0, 15),
                class("submit", Effect::Unsafe, 1.0, 25),
            ],
            faults: self
                .fault
                .iter()
                .flat_map(|fault| self.faults(*fault))
                .collect(),
            ..Experiment::default()
        };
        experiment.instances.count = self.instances;
        experiment.clients.rate = self.rate;
        experiment.network.cross = Span::ms(1);
        experiment.discovery.notice = Span::s(1);
        Ok(experiment)
    }

    fn faults(&self, fault: Break) -> Vec<Fault> {
        let one = |kind, share, size| Fault {
            at: self.break_after,
            lasts: self.break_for,
            kind,
            share,
            size,
            ..Fault::default()
        };
        match fault {
            Break::Gray => vec![one(FaultKind::LostAnswers, 0.5, 0.3)],
            Break::Slow => vec![one(FaultKind::Slow, 0.34, 5.0)],
            Break::Crash => vec![one(FaultKind::Crash, 0.34, 0.0)],
            Break::Drain => vec![one(FaultKind::Drain, 0.34, 0.0)],
            Break::Zone => {
                let zone = vec!["zone:a".to_string()];
                vec![Fault {
                    servers: zone,
                    ..one(FaultKind::CutZone, 0.0, 0.0)
                }]
            }
            Break::Discovery => {
                let server = vec!["fast-0".to_string()];
                let at = Span(self.break_after.micros() + self.break_for.micros() / 4);
                let lasts = Span((self.break_for.micros() / 2).max(1));
                let crash = Fault {
                    servers: server,
                    at,
                    lasts,
                    ..one(FaultKind::Crash, 0.0, 0.0)
                };
                vec![one(FaultKind::DiscoveryDown, 0.0, 0.0), crash]
            }
        }
    }
}

/// Where it is drawn.
struct Screen {
    term: Term,
    hint: String,
    rate: f64,
    /// Lines that stand there from the last time.
    lines: usize,
    changes: VecDeque<String>,
}

impl Screen {
    fn new(hint: String, rate: f64) -> Self {
        let term = Term::stdout();
        if !term.is_term() {
            tell(&hint);
        }
        Screen {
            term,
            hint,
            rate,
            lines: 0,
            changes: VecDeque::new(),
        }
    }

    fn draw(&mut self, now: &Snapshot<'_>) {
        let at = Span(now.at);
        if !self.term.is_term() {
            return tell(&line(now));
        }
        for change in &now.changes {
            self.changes.push_back(format!("{at}: {change}"));
            if self.changes.len() > SHOWN {
                self.changes.pop_front();
            }
        }
        let mut text = format!(
            "madderloom-lab up: {at}, {} requests a second; Ctrl-C ends it\n{}\n{}\n",
            self.rate,
            self.hint,
            overview(now)
        );
        let _ = writeln!(text, "{}\n{}", servers(now), instances(now));
        for change in &self.changes {
            let _ = writeln!(text, "{change}");
        }
        // A terminal that has gone away loses the table and nothing else.
        let _ = self.term.clear_last_lines(self.lines);
        let width = self.term.size().1.max(1);
        self.lines = text
            .lines()
            .map(|line| {
                console::measure_text_width(line)
                    .div_ceil(usize::from(width))
                    .max(1)
            })
            .sum();
        tell(&text);
    }
}

fn overview(now: &Snapshot<'_>) -> String {
    let seen = now.seen;
    let goodput = if seen.worth > 0.0 {
        seen.earned / seen.worth
    } else {
        1.0
    };
    let latency = |q| seen.latency.value_at_quantile(q) as f64 / 1e3;
    format!(
        "goodput {goodput:.3}, p50 {:.1} ms, p99 {:.1} ms, {} served, {} refused, {} failed",
        latency(0.5),
        latency(0.99),
        seen.served,
        seen.refused,
        seen.failed
    )
}

fn servers(now: &Snapshot<'_>) -> comfy_table::Table {
    let mut table = table(&[
        "server",
        "zone",
        "requests/s",
        "in flight",
        "errors/s",
        "state",
    ]);
    let seconds = now.window as f64 / 1e6;
    for (server, (requests, errors)) in now.servers.iter().zip(&now.seen.servers) {
        table.add_row([
            server.place.name.clone(),
            server.zone.to_string(),
            format!("{:.0}", *requests as f64 / seconds),
            server.held.to_string(),
            format!("{:.0}", *errors as f64 / seconds),
            server.state.clone(),
        ]);
    }
    table
}

fn instances(now: &Snapshot<'_>) -> comfy_table::Table {
    let mut table = table(&[
        "sidecar",
        "zone",
        "requests/s",
        "not served/s",
        "CPU",
        "memory",
        "state",
    ]);
    let seconds = now.window as f64 / 1e6;
    for (instance, (tries, unserved)) in now.instances.iter().zip(&now.seen.instances) {
        table.add_row([
            instance.name.to_string(),
            instance.zone.to_string(),
            format!("{:.0}", *tries as f64 / seconds),
            format!("{:.0}", *unserved as f64 / seconds),
            format!("{:.1}%", 100.0 * instance.cpu),
            format!("{:.1} MiB", instance.memory as f64 / 1_048_576.0),
            instance.state.to_string(),
        ]);
    }
    table
}

/// All of it in a line.
fn line(now: &Snapshot<'_>) -> String {
    let seconds = now.window as f64 / 1e6;
    let mut text = format!("{}: {}; requests/s:", Span(now.at), overview(now));
    for (server, (requests, _)) in now.servers.iter().zip(&now.seen.servers) {
        let _ = write!(
            text,
            " {} {:.0}",
            server.place.name,
            *requests as f64 / seconds
        );
    }
    for change in &now.changes {
        let _ = write!(text, "; {change}");
    }
    text.push('\n');
    text
}

fn summary(run: &Run) -> String {
    let (total, rules) = (&run.total, run.breaches.iter());
    let mut text = format!(
        "{} requests, {} served in time, {} late, {} refused, {} failed; {:.3} attempts a request; goodput {:.4}; rules: ",
        total.asked,
        total.in_time,
        total.late,
        total.refused,
        total.failed + total.left,
        if total.asked > 0 {
            total.attempts as f64 / total.asked as f64
        } else {
            0.0
        },
        total.goodput()
    );
    let broken: Vec<String> = rules
        .map(|(rule, count)| format!("{rule} broken {count} times"))
        .collect();
    text.push_str(if broken.is_empty() { "none broken" } else { "" });
    text.push_str(&broken.join(", "));
    text.push('\n');
    text
}

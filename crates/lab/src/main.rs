//! The lab's command line.

use clap::{Parser, Subcommand};
use madderloom_lab::cli::{Check, Compare, Count, List, Report, Run};
use madderloom_lab::hop::{Hop, PassThrough};
use madderloom_lab::scale::{Scale, ScaleChild, ScaleWorker};
use madderloom_lab::sockets::itself::AsSidecar;
use madderloom_lab::up::Up;
use std::io::Write;
use std::process::ExitCode;

/// What a balancing policy makes of a day, in virtual time and on real sockets.
///
/// Exits with 0 where all is well, with 1 where it is not or can't be done, with 2 where the command line makes no
/// sense; `run` also with 3 where an expectation failed, with 4 where runs are void, and with 130 where it was broken off.
#[derive(Parser)]
#[command(
    name = "madderloom-lab",
    version,
    propagate_version = true,
    max_term_width = 100
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists the shipped experiments, or prints one
    List(List),
    /// Says whether experiment files make sense, and where they do not
    Check(Check),
    /// Plays all arms of an experiment with all its seeds
    Run(Run),
    /// Compares arms, seed by seed
    Compare(Compare),
    /// Adds up what all instances of a fleet did, from their logs
    Count(Count),
    /// Writes one HTML page of a folder of results
    Report(Report),
    /// Shows a small fleet at work on this machine, and what it makes of a fault
    Up(Up),
    /// Measures what a hop costs: CPU a request, beside a bare pass-through
    Hop(Hop),
    /// Measures what thousands of instances cost an agent, and what they cost themselves
    Scale(Box<Scale>),
    #[command(hide = true)]
    ScaleChild(ScaleChild),
    #[command(hide = true)]
    ScaleWorker(ScaleWorker),
    #[command(hide = true)]
    Sidecar(AsSidecar),
    #[command(hide = true)]
    PassThrough(PassThrough),
    #[command(hide = true, name = madderloom_lab::schedule::ONE_RUN)]
    OneRun,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::List(list) => list.run(),
        Command::Check(check) => check.run(),
        Command::Run(run) => run.run(),
        Command::Compare(compare) => compare.run(),
        Command::Count(count) => count.run(),
        Command::Report(report) => report.run(),
        Command::Up(up) => up.run(),
        Command::Hop(hop) => hop.run().map(|()| ExitCode::SUCCESS),
        Command::Scale(scale) => scale.run(),
        Command::ScaleChild(child) => child.run().map(|()| ExitCode::SUCCESS),
        Command::ScaleWorker(worker) => worker.run().map(|()| ExitCode::SUCCESS),
        Command::Sidecar(sidecar) => sidecar.run().map(|()| ExitCode::SUCCESS),
        Command::PassThrough(bare) => bare.run().map(|()| ExitCode::SUCCESS),
        Command::OneRun => madderloom_lab::schedule::one_run().map(|()| ExitCode::SUCCESS),
    };
    done.unwrap_or_else(|problem| {
        // Standard error may be closed; that must not hide the exit code.
        let _ = writeln!(std::io::stderr(), "madderloom-lab: {problem}");
        ExitCode::FAILURE
    })
}

//! The sockets driver: real `madderloom serve` processes on loopback, in real time, against stand-ins that are driven
//! by the same models as in virtual time.
//!
//! **What is void.** A run in which over 1% of the lab's timers were over 20 ms late fell behind real time; one in which
//! a sidecar waited for a core for over 20% of it was short of a machine; one whose sidecar ended by itself, or not
//! with 0 when it was told to, was not played to its end. All such runs say so and count for nothing.
//!
//! **What differs from virtual time.** The judge sees attempts as they reach a server, not as they are decided on: one
//! that never came whole is in no book, and what the sidecar called off or gave up is told apart by the time it had
//! named. A refused connection is a 503 with `X-Never-Ran`, since the system has accepted it by then. Arms other than
//! the decision module play in virtual time alone; discovery is always asked.

pub mod books;
pub mod child;
pub mod clock;
pub mod config;
pub mod itself;
pub mod stage;

use crate::experiment::{Arm, Experiment};
use crate::record::Run;
use madderloom_config_reader::Span;
use stage::{Purpose, Stage};
use std::future::pending;
use std::ops::ControlFlow;

/// Plays an arm with a seed, and takes as long as the day does. `watch` is told once each window how far it has come;
/// it may break the run off. The sidecars are the lab itself, or the arm's `binary`. No process is left behind, however
/// this ends: the calling thread is the one that starts them, and the system ends them with it.
///
/// A run that could not be set up, was broken off or fell behind is void and says so.
pub fn run(
    experiment: &Experiment,
    arm: &Arm,
    seed: u64,
    watch: &dyn Fn(Span) -> ControlFlow<()>,
) -> Run {
    let played = itself::on_one_thread(async {
        let stage = Stage::set(experiment, arm, seed, Purpose::Record).await?;
        let why = stage
            .play(&mut |snapshot| watch(Span(snapshot.at)), pending())
            .await;
        Ok(stage.end(why).await)
    });
    played.unwrap_or_else(|problem| Run {
        experiment: experiment.name.clone(),
        arm: arm.name.clone(),
        seed,
        driver: "sockets".into(),
        void: Some(problem),
        ..Run::default()
    })
}

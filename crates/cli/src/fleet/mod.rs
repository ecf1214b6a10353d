//! The commands that speak to an agent: what they show, and what their exit codes say.

mod connection;
mod declined;
mod follow;
mod instances;
mod push;
mod rollout;
mod text;
mod top;

pub(crate) use instances::{Instances, Show};
pub(crate) use push::{Drain, Push};
pub(crate) use rollout::{History, Rollout};
pub(crate) use top::Top;

use std::time::Duration;

/// A change was declined, or an instance refused it.
const REFUSED: u8 = 3;
/// A rollout was stopped or taken back, or an instance failed.
const FAILED: u8 = 4;
/// How often a rollout is looked at.
const LOOK: Duration = Duration::from_millis(300);

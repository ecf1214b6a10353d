//! What many instances cost: thousands of hollow ones around a real agent, counted at both sides.
//!
//! `hollow` is an instance without a data path, `worker` a process of many, [`conductor`] takes an agent and its
//! instances through [`steps`], [`record`] holds what came of it.

pub mod agent;
mod bounds;
pub mod capacity;
mod child;
mod command;
pub mod conductor;
pub mod figures;
mod hollow;
pub mod limits;
pub mod line;
mod lists;
pub mod markdown;
pub mod measured;
pub mod places;
pub mod protocol;
pub mod real;
pub mod record;
pub mod relays;
pub mod size;
pub mod steps;
mod switch;
mod tables;
pub mod usage;
mod with_relays;
mod worker;
mod workers;

pub use child::ScaleChild;
pub use command::Scale;
pub use worker::ScaleWorker;

//! The agent, the command line and real sidecars as processes on loopback.

mod commands;
mod faults;
mod limits;
mod lists;
mod many;
mod overlay;
mod relays;
mod rig;
mod wire;

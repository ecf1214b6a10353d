//! The models: each a state machine without I/O, with the time passed in (whole microseconds that never go back).
//!
//! Both drivers play the same ones: [`crate::virtual_time`] from event to event, the sockets driver by the clock.

pub mod clients;
pub mod discovery;
pub mod faults;
pub mod network;
pub mod server;

//! The relay: an agent to the instances of one zone, and the one connection of them all to the agent above. What it
//! decides, and what it does not, is told at [`madderloom_control_plane::relay`].
//!
//! Instances need no other setting than its address in place of the agent's. It keeps nothing on disk: after a restart
//! its instances register anew, at its own pace.

mod config;
mod core;
mod parent;
mod paths;

pub use config::RelayConfig;
pub use paths::{Relay, RelayView};

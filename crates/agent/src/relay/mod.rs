//! The relay: an agent to the instances of one zone, and the one connection of them all to the agent above. What it decides,
//! and what it leaves to the agent, is documented at [`madderloom_control_plane::relay`].
//!
//! Instances need no other setting than its address in place of the agent's. It keeps nothing on disk: after a restart its
//! instances register anew, at the relay's own pace.

mod agent_connection;
mod agent_list;
mod config;
mod server;
mod task;

pub use config::RelayConfig;
pub use server::{Relay, RelayView};

//! Stand-ins for everything around a sidecar: servers, discovery and clients that speak its protocol on loopback. What
//! they do is decided by the models; the network between zones is in the time that they take.

pub mod clients;
pub mod discovery;
pub mod door;
pub mod server;
pub mod wire;

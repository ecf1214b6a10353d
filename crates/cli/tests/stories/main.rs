//! The story of each server as operators see it, over sockets: a departure is told within seconds, the stream of
//! events is bounded, a page shows what it is told and runs nothing of it.

#[allow(
    dead_code,
    reason = "shared with the tests of the sidecar, which use more of it"
)]
#[path = "../sidecar/rig.rs"]
mod rig;
#[allow(
    dead_code,
    reason = "shared with the tests of services, which use more of it"
)]
#[path = "../services/stand_ins.rs"]
mod stand_ins;

mod departures;
mod seen;

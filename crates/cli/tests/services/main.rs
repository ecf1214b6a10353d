//! Several services in one process, started as a program and talked to over sockets.

#[allow(
    dead_code,
    reason = "shared with the tests of the sidecar, which use more of it"
)]
#[path = "../sidecar/rig.rs"]
mod rig;
#[allow(
    dead_code,
    reason = "shared with the tests of stories, which use more of it"
)]
mod stand_ins;

mod levels;
mod operators;
mod reload;
mod routing;
mod walls;

//! GraphQL routes of the real program: nothing unsafe runs twice, no answer goes to the wrong operation, and each
//! operation is answered once, while servers break, hang, spoil answers and restart.

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

mod front;
mod servers;
mod under_faults;

//! What programs read of madderloom: the sidecar's admin view, the answers at its second address, and `--output json` of
//! the command line, each with all its fields and their types, and exactly where they are fixed.

#[allow(
    dead_code,
    reason = "shared with the tests of the fleet, which use more of it"
)]
#[path = "../fleet/rig.rs"]
mod fleet_rig;
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

mod admin_view;
mod commands;
mod fleet;
mod shape;

use serde_json::Value;
use std::process::Output;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The object that a command tells, which is one line.
fn told(done: &Output) -> Value {
    let told = text(&done.stdout);
    assert_eq!(
        told.matches('\n').count(),
        1,
        "{told}{}",
        text(&done.stderr)
    );
    serde_json::from_str(&told).unwrap_or_else(|problem| panic!("{problem}: {told}"))
}

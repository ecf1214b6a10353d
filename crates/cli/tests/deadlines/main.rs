//! One deadline for a request: its final answer is due its client's time behind the client's last byte, whatever the request waits
//! for on its way.

#[path = "../sidecar/rig.rs"]
#[allow(dead_code, reason = "each test target uses a part of it")]
mod rig;

mod answers;
mod begun_answers;
mod begun_draws;
mod reasons;
mod uploads;

use std::time::Duration;

/// How much later than its time a final answer may come: the protocol's slack of every time limit.
const SLACK: Duration = Duration::from_millis(50);
/// An answer that comes later than this behind its time is lost by the operators' rules.
const LOST_AFTER: Duration = Duration::from_millis(500);

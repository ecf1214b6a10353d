//! The operators' acceptance at the rare moments: each crossing of `docs/acceptance.md` is forced here, with the real program
//! as a process and peers of which the test writes and reads every byte. What the peers saw is judged.

#[path = "../sidecar/rig.rs"]
#[allow(dead_code, reason = "each test target uses a part of it")]
mod rig;

mod repeats;

//! What the program must bear where no one ever comes: a log that nobody reads, a socket that fails for good, an
//! environment that cannot be read, and servers that all fail at once. The real program, its peers played by the test.

#[allow(
    dead_code,
    reason = "shared with the tests of the sidecar, which use more of it"
)]
#[path = "../sidecar/rig.rs"]
mod rig;

mod border;
mod log;
mod start_without_descriptors;
mod writes;

//! What the program must bear where no one ever comes: a log that nobody reads, a socket that fails for good, an
//! environment that cannot be read, and servers that all fail at once. The real program, its peers played by the test.

#[allow(dead_code, reason = "shared with the tests of the sidecar, which use more of it")]
#[path = "../sidecar/rig.rs"]
mod rig;

mod border;
mod log;
mod writes;

use rig::{Conn, Message, Node};
use std::sync::Arc;

/// A server whose every connection is served by a thread of its own, which may write what it wants and ends the connection
/// by returning false.
fn serve(node: Node, each: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static) {
    let each = Arc::new(each);
    std::thread::spawn(move || {
        loop {
            let Some(mut conn) = node.try_accept() else {
                std::thread::sleep(std::time::Duration::from_millis(1));
                continue;
            };
            let each = Arc::clone(&each);
            std::thread::spawn(move || while conn.read().is_some_and(|message| each(&message, &mut conn)) {});
        }
    });
}

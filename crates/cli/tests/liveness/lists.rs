//! A discovery that tells much at once.

use crate::rig::{ScriptedServer, listing, until};
use crate::{is_reached, start};
use std::time::{Duration, Instant};

/// Servers of the list, and how many changes of one of them are written at once.
const SERVERS: usize = 2_000;
const CHANGES: u64 = 5_000;
/// The longest wait for an answer is at most this part of the time that the process takes for all changes.
const PART: u32 = 4;

#[test]
fn many_changes_that_come_at_once_hold_up_no_request() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    let mut watch = sidecar.discovery.accept();
    assert!(watch.read().is_some());
    let names: Vec<String> = (0..SERVERS).map(|at| format!("n{at}")).collect();
    let entries: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), node.address(), "in_service"))
        .collect();
    watch.write_watch_line(&listing(42, true, &entries).to_string());
    until("the list is read", || watch.unread_outgoing() == 0);
    is_reached(&sidecar);
    let change = |number: u64| {
        let status = if number.is_multiple_of(2) {
            "terminating"
        } else {
            "in_service"
        };
        listing(43 + number, false, &[("n7", node.address(), status)]).to_string()
    };
    let changes: Vec<String> = (0..CHANGES).map(change).collect();
    let began = Instant::now();
    watch.write_watch_line(&changes.join("\n"));
    let mut longest = Duration::ZERO;
    while watch.unread_outgoing() > 0 {
        let asked = Instant::now();
        is_reached(&sidecar);
        longest = longest.max(asked.elapsed());
    }
    let all = began.elapsed();
    assert!(
        longest * PART < all,
        "a request waited for {longest:?} of {all:?}"
    );
}

//! Processes that have not begun to listen get no other's address.

use std::collections::HashSet;

#[test]
fn no_address_is_given_twice_though_nobody_listens_there_yet() {
    let given: HashSet<_> = (0..600)
        .map(|_| madderloom_fault_testing::unique_address())
        .collect();
    assert_eq!(given.len(), 600);
}

/// Whatever still calls a peer that has gone, another test's process for example, must not reach the next one.
#[test]
fn no_peer_listens_where_a_former_one_did() {
    let given: HashSet<_> = (0..600)
        .map(|_| madderloom_fault_testing::peer::ScriptedServer::new().address())
        .collect();
    assert_eq!(given.len(), 600);
}

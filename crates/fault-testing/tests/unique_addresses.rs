//! Addresses given to test processes are unique, also before the processes listen on them.

use std::collections::HashSet;

#[test]
fn no_address_is_given_twice_even_before_anyone_listens_there() {
    let given: HashSet<_> = (0..600)
        .map(|_| madderloom_fault_testing::unique_address())
        .collect();
    assert_eq!(given.len(), 600);
}

/// A client that still calls a closed peer, such as another test's process, must not reach a later one.
#[test]
fn no_peer_reuses_the_address_of_an_earlier_one() {
    let given: HashSet<_> = (0..600)
        .map(|_| madderloom_fault_testing::peer::ScriptedServer::new().address())
        .collect();
    assert_eq!(given.len(), 600);
}

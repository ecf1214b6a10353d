//! Processes that have not begun to listen get no other's address.

use std::collections::HashSet;

#[test]
fn no_address_is_given_twice_though_nobody_listens_there_yet() {
    let given: HashSet<_> = (0..600).map(|_| madderloom_rig::own_address()).collect();
    assert_eq!(given.len(), 600);
}

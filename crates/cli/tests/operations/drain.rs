//! Draining a sidecar, and taking it back.

use super::{answer, asked, ready, until};
use crate::rig::{ScriptedServer, request};

#[test]
fn a_drained_sidecar_serves_what_still_comes_ends_its_connections_and_comes_back() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let mut kept = sidecar.client();
    kept.write(request("recheck", 1900, ""));
    let mut conn = node.accept();
    answer(&mut conn, "200 OK");
    assert_eq!(kept.read().expect("an answer").status(), 200);
    // So that each request comes over a connection of its own.
    drop(conn);
    let mut idle = sidecar.client();
    let mut open = sidecar.ask("submit-check", 19_000);
    let mut slow = node.accept();
    assert!(slow.read().is_some());
    assert_eq!(ready(&sidecar), 200);

    assert_eq!(sidecar.call("LAMEDUCK\n"), "ok\n");
    assert_ne!(ready(&sidecar), 200);
    assert_eq!(sidecar.call("LAMEDUCK\n"), "ok\n");
    // On a connection that was open, and on a new one.
    let mut late = sidecar.client();
    for client in [&mut kept, &mut late] {
        client.write(request("recheck", 1900, ""));
        let mut conn = node.accept();
        answer(&mut conn, "200 OK");
        let told = client.read().expect("an answer");
        assert_eq!(
            (told.status(), told.header("connection")),
            (200, Some("close"))
        );
        assert!(client.line().is_none());
    }
    // Idle ones go; what is open is not cut off.
    assert!(idle.line().is_none());
    assert_eq!(sidecar.figure("app.open_requests"), 1);
    slow.respond("200 OK", "made");
    assert_eq!(open.read().expect("an answer").status(), 200);
    assert_eq!(sidecar.call("PING\n"), "ok\n");

    assert_eq!(sidecar.call("REJOIN\n"), "ok\n");
    assert_eq!(ready(&sidecar), 200);
    let mut client = sidecar.client();
    for _ in 0..2 {
        client.write(request("recheck", 1900, ""));
        let mut conn = node.accept();
        answer(&mut conn, "200 OK");
        let told = client.read().expect("an answer");
        assert_eq!((told.status(), told.header("connection")), (200, None));
    }
}

#[test]
fn a_rejoin_without_a_drain_changes_nothing_and_a_stop_ends_a_drain() {
    let node = ScriptedServer::new();
    let mut sidecar = asked(&[&node]);
    assert_eq!(sidecar.call("REJOIN\n"), "ok\n");
    assert_eq!(ready(&sidecar), 200);
    assert_eq!(sidecar.call("LAMEDUCK\n"), "ok\n");
    sidecar.signal("TERM");
    sidecar.wait_for("stopping");
    assert!(sidecar.call("REJOIN\n").starts_with("fail "));
    assert_ne!(ready(&sidecar), 200);
    until("it has ended", || {
        sidecar.child.try_wait().expect("it can be asked").is_some()
    });
    assert_eq!(sidecar.child.wait().expect("it has ended").code(), Some(0));
}

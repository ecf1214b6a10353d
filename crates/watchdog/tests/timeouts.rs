//! Timeouts across a stop of the process. The only test of its file, since it stops all others of one process too.

use madderloom_watchdog::timeout;
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::net::unix::pipe::Receiver;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

const LIMIT: Duration = Duration::from_millis(300);
/// Stops this process, sends it a byte while it is stopped, and lets it go on once the limit has passed.
const STOPS_PARENT: &str =
    "sleep 0.05; kill -STOP $PPID; sleep 0.05; echo x; sleep 0.4; kill -CONT $PPID";

/// Guards against giving up a call whose response arrived while the process was stopped. The response is read by the task of
/// the connection, which has not run yet when the timer of the call fires.
#[test]
fn what_arrived_during_a_stop_is_in_time() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut child = Command::new("/bin/sh")
            .args(["-c", STOPS_PARENT])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a shell");
        let output: OwnedFd = child.stdout.take().expect("piped").into();
        let output = Receiver::from_owned_fd(output).expect("a pipe");
        let (responded, response) = oneshot::channel();
        tokio::task::spawn_local(async move {
            output.readable().await.expect("it can be read");
            let _ = responded.send(());
        });
        let result = timeout(LIMIT, response).await;
        assert!(matches!(result, Ok(Ok(()))), "{result:?}");
        child.wait().expect("it ends");
    });
}

/// What does not arrive is given up all the same.
#[test]
fn what_does_not_arrive_times_out() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let result = LocalSet::new().block_on(&runtime, timeout(LIMIT, std::future::pending::<()>()));
    assert!(result.is_err());
}

//! Tests of the waits in [`super::readiness`] on sockets within this process.

use super::readiness::{SocketEvent, poll_read, writable_or_peer_readable};
use std::future::poll_fn;
use std::pin::pin;
use std::sync::mpsc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Tokio's cooperative budget for one poll of a task.
const BUDGET: usize = 128;

/// Fails a test whose task never yields its thread.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a thread of its own, so that a task that never yields fails the test instead of hanging it.
fn run(test: impl Future<Output = ()> + Send + 'static) {
    let (sender, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("runtime starts");
        runtime.block_on(test);
        let _ = sender.send(());
    });
    ended
        .recv_timeout(TEST_TIMEOUT)
        .expect("the test ends without a panic and yields");
}

/// Both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let local = TcpStream::connect(listener.local_addr().expect("listener is bound"))
        .await
        .expect("listener accepts");
    let (peer, _) = listener.accept().await.expect("connection arrives");
    (local, peer)
}

/// Writes until the send buffer is full.
fn fill_send_buffer(stream: &TcpStream) {
    while stream.try_write(&[0; 64 << 10]).is_ok() {}
}

/// A stream with a full send buffer, whose cached readiness is readable though there is nothing to read.
async fn blocked_stream_with_stale_read_readiness() -> (TcpStream, TcpStream) {
    let (local, mut peer) = connection().await;
    peer.write_all(b"x").await.expect("send buffer has space");
    local.readable().await.expect("connection is open");
    // A read that fills its buffer does not clear tokio's cached readiness.
    assert_eq!(local.try_read(&mut [0]).expect("one byte is ready"), 1);
    fill_send_buffer(&local);
    (local, peer)
}

#[test]
fn a_blocked_writer_is_not_woken_by_stale_read_readiness() {
    run(async {
        let (local, mut peer) = blocked_stream_with_stale_read_readiness().await;
        let mut wait = Box::pin(writable_or_peer_readable(&local));
        let mut pending_polls = 0;
        for _ in 0..2 * BUDGET {
            match poll_fn(|context| Poll::Ready(wait.as_mut().poll(context))).await {
                Poll::Pending => pending_polls += 1,
                Poll::Ready(event) => {
                    // The kernel may still move bytes to the peer's receive buffer, which frees space here.
                    assert_eq!(event.expect("connection is open"), SocketEvent::Writable);
                    fill_send_buffer(&local);
                    wait = Box::pin(writable_or_peer_readable(&local));
                }
            }
            tokio::task::yield_now().await;
        }
        assert!(
            pending_polls > BUDGET,
            "it was pending {pending_polls} times"
        );
        peer.write_all(b"x").await.expect("send buffer has space");
        while writable_or_peer_readable(&local)
            .await
            .expect("connection is open")
            != SocketEvent::PeerReadable
        {}
    });
}

#[test]
fn a_blocked_writer_continues_once_there_is_space_and_stops_when_the_peer_closes() {
    run(async {
        let (local, peer) = blocked_stream_with_stale_read_readiness().await;
        let mut received = vec![0; 64 << 20];
        let mut wait = pin!(writable_or_peer_readable(&local));
        let wakeup = loop {
            if let Poll::Ready(event) =
                poll_fn(|context| Poll::Ready(wait.as_mut().poll(context))).await
            {
                break event.expect("connection is open");
            }
            let _ = peer.try_read(&mut received);
            tokio::task::yield_now().await;
        };
        assert_eq!(wakeup, SocketEvent::Writable);
        fill_send_buffer(&local);
        drop(peer);
        while writable_or_peer_readable(&local)
            .await
            .expect("connection is open")
            != SocketEvent::PeerReadable
        {}
    });
}

/// Far more bytes are ready than one poll's budget of single-byte reads.
#[test]
fn a_reader_yields_after_its_budget_however_much_is_ready() {
    run(async {
        let (local, mut peer) = connection().await;
        peer.write_all(&[0; 10 * BUDGET])
            .await
            .expect("send buffer has space");
        local.readable().await.expect("connection is open");
        tokio::task::yield_now().await;
        let mut reads_in_one_poll = 0;
        poll_fn(|context| {
            while poll_read(&local, context, |stream| stream.try_read(&mut [0])).is_ready() {
                reads_in_one_poll += 1;
            }
            Poll::Ready(())
        })
        .await;
        assert!(
            (1..=BUDGET).contains(&reads_in_one_poll),
            "{reads_in_one_poll} reads in one poll"
        );
    });
}

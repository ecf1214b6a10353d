//! The waits of [`super::readiness`] over sockets of this process.

use super::readiness::{SocketEvent, poll_read, writable_or_peer_readable};
use std::future::poll_fn;
use std::pin::pin;
use std::sync::mpsc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// The runtime's budget for one turn of a task.
const BUDGET: usize = 128;

/// Ends a test in which a task holds its thread.
const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a test on a thread of its own: one that never gives way fails and does not hang.
fn run(test: impl Future<Output = ()> + Send + 'static) {
    let (sender, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(test);
        let _ = sender.send(());
    });
    ended
        .recv_timeout(PATIENCE)
        .expect("it ends without a panic and gives way");
}

/// Both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let own = TcpStream::connect(listener.local_addr().expect("it is bound"))
        .await
        .expect("it accepts");
    let (peer, _) = listener.accept().await.expect("it comes");
    (own, peer)
}

/// Writes until there is no more room.
fn fill(stream: &TcpStream) {
    while stream.try_write(&[0; 64 << 10]).is_ok() {}
}

/// A stream that takes no more, and is remembered as readable though there is nothing to read.
async fn blocked_and_remembered_as_readable() -> (TcpStream, TcpStream) {
    let (own, mut peer) = connection().await;
    peer.write_all(b"x").await.expect("there is room");
    own.readable().await.expect("it stands");
    // A read that gets all it asks for tells the runtime nothing of what is left.
    assert_eq!(own.try_read(&mut [0]).expect("a byte"), 1);
    fill(&own);
    (own, peer)
}

#[test]
fn a_blocked_writer_is_not_woken_by_what_was_readable_before() {
    run(async {
        let (own, mut peer) = blocked_and_remembered_as_readable().await;
        let mut waits = Box::pin(writable_or_peer_readable(&own));
        let mut waited = 0;
        for _ in 0..2 * BUDGET {
            match poll_fn(|context| Poll::Ready(waits.as_mut().poll(context))).await {
                Poll::Pending => waited += 1,
                Poll::Ready(by) => {
                    // The system may still move bytes on to the peer's end, and have room here again.
                    assert_eq!(by.expect("it stands"), SocketEvent::Writable);
                    fill(&own);
                    waits = Box::pin(writable_or_peer_readable(&own));
                }
            }
            tokio::task::yield_now().await;
        }
        assert!(waited > BUDGET, "it waited {waited} times");
        peer.write_all(b"x").await.expect("there is room");
        while writable_or_peer_readable(&own).await.expect("it stands") != SocketEvent::PeerReadable
        {
        }
    });
}

#[test]
fn a_blocked_writer_goes_on_once_there_is_room_and_stops_at_a_close() {
    run(async {
        let (own, peer) = blocked_and_remembered_as_readable().await;
        let mut taken = vec![0; 64 << 20];
        let mut waits = pin!(writable_or_peer_readable(&own));
        let unblocked_by = loop {
            if let Poll::Ready(by) =
                poll_fn(|context| Poll::Ready(waits.as_mut().poll(context))).await
            {
                break by.expect("it stands");
            }
            let _ = peer.try_read(&mut taken);
            tokio::task::yield_now().await;
        };
        assert_eq!(unblocked_by, SocketEvent::Writable);
        fill(&own);
        drop(peer);
        while writable_or_peer_readable(&own).await.expect("it stands") != SocketEvent::PeerReadable
        {
        }
    });
}

/// What lies there to be read byte by byte is more than a turn's worth.
#[test]
fn a_reader_gives_way_after_its_budget_whatever_is_there_to_read() {
    run(async {
        let (own, mut peer) = connection().await;
        peer.write_all(&[0; 10 * BUDGET])
            .await
            .expect("there is room");
        own.readable().await.expect("it stands");
        tokio::task::yield_now().await;
        let mut in_a_turn = 0;
        poll_fn(|context| {
            while poll_read(&own, context, |stream| stream.try_read(&mut [0])).is_ready() {
                in_a_turn += 1;
            }
            Poll::Ready(())
        })
        .await;
        assert!(
            (1..=BUDGET).contains(&in_a_turn),
            "{in_a_turn} reads in one turn"
        );
    });
}

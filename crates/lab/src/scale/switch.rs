//! A link of an instance that can be held: neither end hears of the other, and neither is told so.

use madderloom_agent::traffic::{CountedStream, TrafficCounters};
use madderloom_agent::{ByteStream, DialFuture, Dialer};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

#[derive(Default)]
struct State {
    held: bool,
    waiting: Vec<Waker>,
    /// Streams that were given up while the link was held: the other end must not hear of it before the release.
    given_up: Vec<CountedStream<TcpStream>>,
}

/// Holds and releases all streams of one instance.
pub struct Switch {
    counters: Arc<TrafficCounters>,
    state: Mutex<State>,
    released: Notify,
}

impl Switch {
    /// A link that is not held, whose bytes are counted.
    pub fn new(counters: Arc<TrafficCounters>) -> Arc<Self> {
        Arc::new(Switch {
            counters,
            state: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Nothing passes from now on, in either direction; connecting takes until the release.
    pub fn hold(&self) {
        self.state().held = true;
    }

    /// What waits passes on. Streams that were given up meanwhile end now.
    pub fn release(&self) {
        let State {
            waiting, given_up, ..
        } = std::mem::take(&mut *self.state());
        drop(given_up);
        waiting.into_iter().for_each(Waker::wake);
        self.released.notify_waiters();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nothing passes now; the task is then woken at the release.
    fn holds(&self, context: &Context<'_>) -> bool {
        let mut state = self.state();
        if state.held {
            state.waiting.push(context.waker().clone());
        }
        state.held
    }

    async fn until_released(&self) {
        loop {
            let released = self.released.notified();
            if !self.state().held {
                return;
            }
            released.await;
        }
    }
}

/// Opens streams that a switch holds.
pub struct SwitchedDial(pub Arc<Switch>);

impl Dialer for SwitchedDial {
    fn dial<'a>(&'a self, address: &'a str) -> DialFuture<'a> {
        Box::pin(async move {
            self.0.until_released().await;
            let address: SocketAddr = address.parse().map_err(io::Error::other)?;
            let stream = TcpSocket::new_v4()?.connect(address).await?;
            let _ = stream.set_nodelay(true);
            let stream = CountedStream::new(stream, Arc::clone(&self.0.counters));
            let stream = Switched {
                stream: Some(stream),
                switch: Arc::clone(&self.0),
            };
            Ok(Box::new(stream) as Box<dyn ByteStream>)
        })
    }
}

struct Switched {
    /// There until it is dropped.
    stream: Option<CountedStream<TcpStream>>,
    switch: Arc<Switch>,
}

impl Switched {
    /// The stream, where it may be used now.
    fn open(&mut self, context: &Context<'_>) -> Option<Pin<&mut CountedStream<TcpStream>>> {
        if self.switch.holds(context) {
            None
        } else {
            self.stream.as_mut().map(Pin::new)
        }
    }
}

impl Drop for Switched {
    fn drop(&mut self) {
        let mut state = self.switch.state();
        if state.held {
            state.given_up.extend(self.stream.take());
        }
    }
}

impl AsyncRead for Switched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.open(context)
            .map_or(Poll::Pending, |stream| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for Switched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.open(context)
            .map_or(Poll::Pending, |stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.open(context).map_or(Poll::Pending, |stream| {
            stream.poll_write_vectored(context, slices)
        })
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(CountedStream::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.open(context)
            .map_or(Poll::Pending, |stream| stream.poll_flush(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.open(context)
            .map_or(Poll::Pending, |stream| stream.poll_shutdown(context))
    }
}

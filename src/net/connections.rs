//! Connections to servers: opened when none is idle, used by one flow at a time, dropped before the other
//! side would close them, and no more of them than there are descriptors for.

use super::log;
use crate::Micros;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

type Sender = SendRequest<Full<Bytes>>;

/// A connection in the hands of one flow. Dropped, it is closed; only [`Connections::keep`] saves it.
pub(super) struct Lease {
    pub(super) sender: Sender,
    /// It has carried a request before, so it may have been closed from the other side meanwhile.
    pub(super) used: bool,
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    lease: Lease,
    since: Instant,
}

/// Why there is no connection.
pub(super) enum NoConnection {
    /// The server is not reached.
    Failed,
    /// This sidecar has no descriptor left for it.
    Exhausted,
}

/// All connections to servers.
pub(super) struct Connections {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    /// When an answer last came from an address.
    heard: RefCell<HashMap<SocketAddr, Instant>>,
    open: Rc<Cell<usize>>,
    most: usize,
    idle_for: Duration,
    connect_timeout: Duration,
}

/// Counts a connection for as long as its task lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Counted(Rc::clone(open))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connections {
    pub(super) fn new(idle: Micros, connect_timeout: Micros, most: usize) -> Self {
        Connections {
            idle: RefCell::default(),
            heard: RefCell::default(),
            open: Rc::default(),
            most,
            // The other side closes at this age at the latest: a request written then would be lost.
            idle_for: Duration::from_micros(idle / 10 * 8),
            connect_timeout: Duration::from_micros(connect_timeout),
        }
    }

    /// A connection to this address: the one used last, since the others may then grow old, or a new one.
    pub(super) async fn take(&self, address: SocketAddr) -> Result<Lease, NoConnection> {
        while let Some(mut lease) = self.take_idle(address) {
            // An answer may have been read just now, and its connection be a moment from ready.
            if lease.sender.ready().await.is_ok() {
                return Ok(lease);
            }
        }
        self.open(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(&address)?;
        let found = waiting.pop().filter(|i| i.since.elapsed() < self.idle_for);
        if found.is_none() {
            // What lies under an old one is older still.
            idle.remove(&address);
        }
        found.map(|i| i.lease)
    }

    async fn open(&self, address: SocketAddr) -> Result<Lease, NoConnection> {
        if self.open.get() >= self.most {
            self.drop_oldest();
            if self.open.get() > self.most {
                return Err(NoConnection::Exhausted);
            }
        }
        let counted = Counted::new(&self.open);
        let made = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = match made {
            Ok(Ok(stream)) => stream,
            Ok(Err(problem)) if is_exhausted(&problem) => {
                log(format_args!("no descriptor for a connection: {problem}"));
                return Err(NoConnection::Exhausted);
            }
            _ => return Err(NoConnection::Failed),
        };
        // Only a delay is lost where this cannot be set.
        let _ = stream.set_nodelay(true);
        let made = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|_| NoConnection::Failed)?;
        let task = tokio::task::spawn_local(async move {
            let _counted = counted;
            // How it ended is told to the flow that used it.
            let _ = connection.await;
        });
        Ok(Lease { sender, used: false, address, task: task.abort_handle() })
    }

    /// Puts a connection by for the next flow. Its answer must have been read whole.
    pub(super) fn keep(&self, mut lease: Lease) {
        self.heard.borrow_mut().insert(lease.address, Instant::now());
        if lease.sender.is_closed() {
            return;
        }
        lease.used = true;
        let mut idle = self.idle.borrow_mut();
        idle.entry(lease.address).or_default().push(Idle { lease, since: Instant::now() });
    }

    /// Nothing came for a flow that was sent then. If nothing has come from there at all since, the machine may
    /// be cut off: open connections stay open and silent then, and each would cost a request its whole time.
    /// A new one that does not come up proves at once that nothing ran.
    pub(super) fn suspect(&self, address: SocketAddr, sent: Instant) {
        if self.heard.borrow().get(&address).is_none_or(|heard| *heard < sent) {
            self.idle.borrow_mut().remove(&address);
        }
    }

    /// Drops what has been idle for too long, or was closed from the other side.
    pub(super) fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, waiting| {
            waiting.retain(|i| i.since.elapsed() < self.idle_for && !i.lease.sender.is_closed());
            !waiting.is_empty()
        });
        self.heard.borrow_mut().retain(|_, at| at.elapsed() < self.idle_for);
    }

    /// Makes room for a new connection.
    pub(super) fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(to, waiting)| Some((waiting.first()?.since, *to))).min();
        if let Some(waiting) = oldest.and_then(|(_, to)| idle.get_mut(&to)) {
            waiting.remove(0);
        }
    }
}

/// Whether an error tells that this process or machine has no descriptor left.
pub(super) fn is_exhausted(problem: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(problem.raw_os_error(), Some(ENFILE | EMFILE))
}

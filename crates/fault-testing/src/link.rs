//! A link between two processes: a TCP proxy with a port of its own that forwards its connections to a target.

use crate::{into_tokio, listen, runtime};
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks queued per connection and direction.
const QUEUED_CHUNKS_PER_DIRECTION: usize = 64;

/// Direction of traffic on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the side that connects to the link.
    ToServer,
    /// To the side that connects to the link.
    ToClient,
}

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DirectionState {
    /// Bytes are dropped. A connection that lost bytes stays silent forever, because later bytes would be out of context.
    cut: bool,
    /// Bytes are held, in order, until they are released.
    held: bool,
    /// Delay of each byte.
    delay: Duration,
    /// Limit in bytes per second.
    rate: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    to: SocketAddr,
    directions: [DirectionState; 2],
    /// Connections with a lower number are held, regardless of later ones.
    held_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
    /// New connections are accepted and never read.
    blackholes: bool,
    /// For each direction, the number of bytes still forwarded before it is cut.
    cut_after: [Option<u64>; 2],
}

struct Shared {
    state: watch::Sender<State>,
    /// Forwarded bytes by direction.
    forwarded_bytes: [AtomicU64; 2],
    /// Number of accepted connections.
    accepted: AtomicU64,
}

/// A link. Unless stated otherwise, every command takes effect immediately, on open and on later connections. Dropping the
/// link closes it and its connections.
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: AbortHandle,
}

impl Link {
    /// Creates a link to this address, without faults.
    pub fn new(to: SocketAddr) -> Self {
        let (listener, address) = listen();
        let state = State {
            to,
            directions: [DirectionState::default(); 2],
            held_below: 0,
            reset_below: 0,
            blackholes: false,
            cut_after: [None; 2],
        };
        let shared = Arc::new(Shared {
            state: watch::Sender::new(state),
            forwarded_bytes: Default::default(),
            accepted: AtomicU64::new(0),
        });
        let task_state = Arc::clone(&shared);
        let task = runtime().spawn(async move {
            let listener = into_tokio(listener);
            // Dropping the set closes the connections with the link.
            let mut open = tokio::task::JoinSet::new();
            loop {
                while open.try_join_next().is_some() {}
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let number = task_state.accepted.fetch_add(1, Ordering::Relaxed);
                        open.spawn(connection(Arc::clone(&task_state), stream, number));
                    }
                    Err(_) => sleep(Duration::from_millis(5)).await,
                }
            }
        });
        Link {
            address,
            shared,
            accepting: task.abort_handle(),
        }
    }

    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to this address; open ones are not affected.
    pub fn set_target(&self, to: SocketAddr) {
        self.change(|state| state.to = to);
    }

    /// Drops the bytes of this direction.
    pub fn cut(&self, direction: Direction) {
        self.change(|state| state.directions[direction as usize].cut = true);
    }

    /// Drops the bytes of both directions.
    pub fn cut_both(&self) {
        self.change(|state| state.directions.iter_mut().for_each(|way| way.cut = true));
    }

    /// Cuts this direction after this many more bytes over all connections.
    pub fn cut_after(&self, direction: Direction, bytes: u64) {
        self.change(|state| state.cut_after[direction as usize] = Some(bytes));
    }

    /// Holds the bytes of this direction until [`Link::release`], and the end of a connection too, so bytes may arrive long
    /// after their sender has disconnected.
    pub fn hold(&self, direction: Direction) {
        self.change(|state| state.directions[direction as usize].held = true);
    }

    /// Holds the open connections in both directions until [`Link::release`]; new ones are not affected. So the bytes of an
    /// old connection arrive after those of a new one.
    pub fn hold_existing(&self) {
        let accepted = self.shared.accepted.load(Ordering::Relaxed);
        self.change(|state| state.held_below = accepted);
    }

    /// Releases all held bytes immediately.
    pub fn release(&self) {
        self.change(|state| {
            state.held_below = 0;
            state.directions.iter_mut().for_each(|way| way.held = false);
        });
    }

    /// Delays each byte in both directions.
    pub fn delay(&self, each: Duration) {
        self.change(|state| state.directions.iter_mut().for_each(|way| way.delay = each));
    }

    /// Limits each direction of each connection to this many bytes per second.
    pub fn throttle(&self, bytes_per_second: u64) {
        self.change(|state| {
            state
                .directions
                .iter_mut()
                .for_each(|way| way.rate = Some(bytes_per_second.max(1)));
        });
    }

    /// Resets every open connection at both ends.
    pub fn reset(&self) {
        let accepted = self.shared.accepted.load(Ordering::Relaxed);
        self.change(|state| state.reset_below = accepted);
    }

    /// Accepts new connections and never reads from them.
    pub fn blackhole(&self) {
        self.change(|state| state.blackholes = true);
    }

    /// Removes all faults. Held bytes are released; connections that lost bytes stay silent, and blackholed ones are reset.
    pub fn heal(&self) {
        self.change(|state| {
            let to = state.to;
            let reset_below = state.reset_below;
            *state = State {
                to,
                directions: [DirectionState::default(); 2],
                held_below: 0,
                reset_below,
                blackholes: false,
                cut_after: [None; 2],
            };
        });
    }

    /// Number of bytes forwarded so far in this direction.
    pub fn forwarded_bytes(&self, direction: Direction) -> u64 {
        self.shared.forwarded_bytes[direction as usize].load(Ordering::Relaxed)
    }

    /// Number of connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    fn change(&self, update: impl FnOnce(&mut State)) {
        self.shared.state.send_modify(update);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn connection(shared: Arc<Shared>, near: TcpStream, number: u64) {
    let mut state = shared.state.subscribe();
    let (to, blackholes) = {
        let state = state.borrow();
        (state.to, state.blackholes)
    };
    let near_duplicate = near.as_fd().try_clone_to_owned();
    if blackholes {
        let _ = state
            .wait_for(|state| !state.blackholes || state.reset_below > number)
            .await;
        return near_duplicate
            .into_iter()
            .for_each(|end| abort_on_close(&end));
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let ends: Vec<OwnedFd> = near_duplicate
        .into_iter()
        .chain(far.as_fd().try_clone_to_owned())
        .collect();
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // Unlike the stream's own halves, these do not shut the connection down when they are dropped.
    let ((near_read, near_write), (far_read, far_write)) =
        (tokio::io::split(near), tokio::io::split(far));
    let to_server = forward(
        Arc::clone(&shared),
        Direction::ToServer,
        number,
        near_read,
        far_write,
    );
    let to_client = forward(
        Arc::clone(&shared),
        Direction::ToClient,
        number,
        far_read,
        near_write,
    );
    tokio::select! {
        _ = async { tokio::try_join!(to_server, to_client) } => {}
        _ = state.wait_for(|state| state.reset_below > number) => ends.iter().for_each(abort_on_close),
    }
}

/// Makes the last close of the socket send a reset.
fn abort_on_close(end: &OwnedFd) {
    let _ = rustix::net::sockopt::set_socket_linger(end, Some(Duration::ZERO));
}

/// Forwards one direction. An error ends the connection; an end of stream is forwarded unless it was dropped.
async fn forward(
    shared: Arc<Shared>,
    direction: Direction,
    number: u64,
    from: ReadHalf<TcpStream>,
    to: WriteHalf<TcpStream>,
) -> Result<(), ()> {
    let (sender, chunks) = mpsc::channel(QUEUED_CHUNKS_PER_DIRECTION);
    let reading = read(Arc::clone(&shared), direction, from, sender);
    tokio::try_join!(reading, write(shared, direction, number, to, chunks)).map(|_| ())
}

/// A chunk and the time when it was read; none for the end of stream.
type Chunk = (Instant, Option<Vec<u8>>);

async fn read(
    shared: Arc<Shared>,
    direction: Direction,
    mut from: ReadHalf<TcpStream>,
    to: mpsc::Sender<Chunk>,
) -> Result<(), ()> {
    let (mut buffer, mut lost) = (vec![0; READ_CHUNK_BYTES], false);
    loop {
        // A broken connection is treated as ended, and the other side sees the end.
        let mut read = from.read(&mut buffer).await.unwrap_or(0);
        shared.state.send_if_modified(|state| {
            lost |= state.directions[direction as usize].cut;
            let Some(left) = &mut state.cut_after[direction as usize] else {
                return false;
            };
            let pass = (*left).min(read as u64);
            *left -= pass;
            if pass < read as u64 {
                state.directions[direction as usize].cut = true;
                state.cut_after[direction as usize] = None;
                // The bytes before the cut are still forwarded.
                read = pass as usize;
            }
            false
        });
        if lost {
            match read {
                // The end of stream is dropped too.
                0 => std::future::pending().await,
                _ => continue,
            }
        }
        let chunk = (read > 0).then(|| buffer[..read].to_vec());
        let ended = chunk.is_none();
        to.send((Instant::now(), chunk)).await.map_err(|_| ())?;
        if ended {
            return Ok(());
        }
    }
}

async fn write(
    shared: Arc<Shared>,
    direction: Direction,
    number: u64,
    mut to: WriteHalf<TcpStream>,
    mut chunks: mpsc::Receiver<Chunk>,
) -> Result<(), ()> {
    let mut state = shared.state.subscribe();
    while let Some((read_at, chunk)) = chunks.recv().await {
        let free = |state: &State| {
            !state.directions[direction as usize].held && number >= state.held_below
        };
        let DirectionState { delay, rate, .. } = match state.wait_for(free).await {
            Ok(state) => state.directions[direction as usize],
            Err(_) => return Err(()),
        };
        sleep_until(read_at + delay).await;
        let Some(chunk) = chunk else {
            let _ = to.shutdown().await;
            return Ok(());
        };
        if let Some(rate) = rate {
            sleep(Duration::from_secs_f64(chunk.len() as f64 / rate as f64)).await;
        }
        to.write_all(&chunk).await.map_err(|_| ())?;
        shared.forwarded_bytes[direction as usize].fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    Ok(())
}

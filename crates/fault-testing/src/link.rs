//! A link between two processes: a port of its task_state, whose connections go on to where it leads.

use crate::{listen, runtime, taken};
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

/// Bytes that are read at once; a connection holds 64 of such chunks in each direction at most.
const READ_CHUNK_BYTES: usize = 16 << 10;
const QUEUED_CHUNKS_PER_DIRECTION: usize = 64;

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the one who connects.
    ToServer,
    /// To the one who connects.
    ToClient,
}

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DirectionState {
    /// They are lost, and a connection that has lost some stays silent for good: what comes behind makes no sense.
    cut: bool,
    /// They wait, in order, until they are let go.
    held: bool,
    /// Each takes so long.
    delay: Duration,
    /// So many go on in a second.
    rate: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    to: SocketAddr,
    directions: [DirectionState; 2],
    /// Connections with a number below this one are held, whatever holds for later ones.
    held_below: u64,
    /// Connections with a number below this one are reset.
    reset_below: u64,
    /// New connections are taken and never read.
    blackholes: bool,
    /// In each direction so many more bytes pass, then it is cut.
    cut_after: [Option<u64>; 2],
}

struct Shared {
    state: watch::Sender<State>,
    /// Bytes that went through, by direction, and connections taken.
    forwarded_bytes: [AtomicU64; 2],
    accepted: AtomicU64,
}

/// A link. All commands take effect at once, on the connections that are open as on later ones, where nothing else is
/// said. It ends, with its connections, when it is dropped.
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: AbortHandle,
}

impl Link {
    /// A link to this address, open in both directions.
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
            let listener = taken(listener);
            // Connections end with the link.
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

    /// Where to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// New connections lead here; open ones stay where they are.
    pub fn set_target(&self, to: SocketAddr) {
        self.change(|state| state.to = to);
    }

    /// What goes this way is lost.
    pub fn cut(&self, direction: Direction) {
        self.change(|state| state.directions[direction as usize].cut = true);
    }

    /// What goes either way is lost.
    pub fn cut_both(&self) {
        self.change(|state| state.directions.iter_mut().for_each(|way| way.cut = true));
    }

    /// So many more bytes go this way, over all connections; then it is cut.
    pub fn cut_after(&self, direction: Direction, bytes: u64) {
        self.change(|state| state.cut_after[direction as usize] = Some(bytes));
    }

    /// What goes this way waits until [`Link::let_go`], the end of a connection too: its bytes may arrive long after
    /// its sender has gone.
    pub fn hold(&self, direction: Direction) {
        self.change(|state| state.directions[direction as usize].held = true);
    }

    /// The connections that are open now wait in both directions until [`Link::let_go`]; later ones go on. So the bytes
    /// of an old connection come behind those of a new one.
    pub fn hold_existing(&self) {
        let accepted = self.shared.accepted.load(Ordering::Relaxed);
        self.change(|state| state.held_below = accepted);
    }

    /// All that waits goes on at once.
    pub fn release(&self) {
        self.change(|state| {
            state.held_below = 0;
            state.directions.iter_mut().for_each(|way| way.held = false);
        });
    }

    /// Each byte takes so long, in each direction.
    pub fn delay(&self, each: Duration) {
        self.change(|state| state.directions.iter_mut().for_each(|way| way.delay = each));
    }

    /// So many bytes a second, in each direction of each connection.
    pub fn throttle(&self, bytes_per_second: u64) {
        self.change(|state| {
            state
                .directions
                .iter_mut()
                .for_each(|way| way.rate = Some(bytes_per_second.max(1)));
        });
    }

    /// Every open connection is reset at both ends.
    pub fn reset(&self) {
        let accepted = self.shared.accepted.load(Ordering::Relaxed);
        self.change(|state| state.reset_below = accepted);
    }

    /// New connections are taken, and nothing is ever read from them.
    pub fn blackhole(&self) {
        self.change(|state| state.blackholes = true);
    }

    /// All is as at the beginning. What is held goes on; connections that have lost bytes stay silent, and those that
    /// were swallowed are reset.
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

    /// Bytes that went through so far, in this direction.
    pub fn forwarded_bytes(&self, direction: Direction) -> u64 {
        self.shared.forwarded_bytes[direction as usize].load(Ordering::Relaxed)
    }

    /// Connections taken so far.
    pub fn accepted_connections(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    fn change(&self, how: impl FnOnce(&mut State)) {
        self.shared.state.send_modify(how);
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
    let near_too = near.as_fd().try_clone_to_owned();
    if blackholes {
        let _ = state
            .wait_for(|state| !state.blackholes || state.reset_below > number)
            .await;
        return near_too.into_iter().for_each(|end| abort_on_close(&end));
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let ends: Vec<OwnedFd> = near_too
        .into_iter()
        .chain(far.as_fd().try_clone_to_owned())
        .collect();
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // Unlike the stream's task_state halves, these say nothing to the other end when they are dropped.
    let ((near_read, near_write), (far_read, far_write)) =
        (tokio::io::split(near), tokio::io::split(far));
    let out = forward(
        Arc::clone(&shared),
        Direction::ToServer,
        number,
        near_read,
        far_write,
    );
    let back = forward(
        Arc::clone(&shared),
        Direction::ToClient,
        number,
        far_read,
        near_write,
    );
    tokio::select! {
        _ = async { tokio::try_join!(out, back) } => {}
        _ = state.wait_for(|state| state.reset_below > number) => ends.iter().for_each(abort_on_close),
    }
}

/// The last close of it sends a reset.
fn abort_on_close(end: &OwnedFd) {
    let _ = rustix::net::sockopt::set_socket_linger(end, Some(Duration::ZERO));
}

/// Carries one direction. An error ends the connection; an end that was not lost goes on.
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

/// A chunk, and when it was read; none where the sender has ended.
type Chunk = (Instant, Option<Vec<u8>>);

async fn read(
    shared: Arc<Shared>,
    direction: Direction,
    mut from: ReadHalf<TcpStream>,
    to: mpsc::Sender<Chunk>,
) -> Result<(), ()> {
    let (mut buffer, mut lost) = (vec![0; READ_CHUNK_BYTES], false);
    loop {
        // A connection that is broken carries nothing further, and the other end sees it end.
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
                // What went before the cut arrives.
                read = pass as usize;
            }
            false
        });
        if lost {
            match read {
                // Nobody hears of its end.
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

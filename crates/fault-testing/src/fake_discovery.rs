//! A stand-in discovery, which works through calls in turn and dies of too many.

use crate::{Arrivals, Server, listen, lock, runtime, taken};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::{AbortHandle, JoinSet};

/// An empty line response so often that it is there, and a longest head that is read.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_HEAD_BYTES: usize = 8 << 10;
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What it writes in the place of a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListResponse {
    /// The list.
    #[default]
    List,
    /// A line that makes no sense.
    Malformed,
    /// The first half of the list, and the end.
    Truncated,
}

/// When it timing a call that has waited for too long. Its work is done in its turn all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectTiming {
    /// In the moment in which the call has waited for so long.
    AtDeadline,
    /// When the turn of the call has come, and its work is done.
    AfterProcessing,
}

/// What it bears, and how it answers.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryBehavior {
    /// Work for one call. Calls are worked through in turn, those that their callers gave up too.
    pub work_per_call: Duration,
    /// Calls that it bears at once. One more, and it is down: all connections end and new ones are refused.
    pub max_waiting_calls: usize,
    /// How long it is down then.
    pub downtime: Duration,
    /// What it response.
    pub response: ListResponse,
}

struct State {
    behavior: DiscoveryBehavior,
    /// Refuses each call so long after it arrived_at.
    reject_after: Option<Duration>,
    /// Refuses a call that has waited for so long.
    timeout: Option<(Duration, RejectTiming)>,
    waiting: usize,
    down_until: Option<Instant>,
    crashes: Vec<Instant>,
    calls: Vec<(Instant, Instant)>,
    notified_watches: usize,
}

struct Shared {
    /// As it is written, to those who call and to those who watch.
    list: watch::Sender<String>,
    state: Mutex<State>,
    processing: Semaphore,
    /// Counts crashes, each of which ends all connections.
    crash_count: watch::Sender<usize>,
}

/// A discovery that the test plays. It speaks no more of the protocol than the watch.
pub struct FakeDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

/// A whole list, of this version, in which all serve.
pub fn list_json(index: u64, servers: &[&Server]) -> String {
    list_json_with_draining(index, servers, &[])
}

/// A whole list, of this version, in which those of these names drain and all others serve.
fn list_json_with_draining(index: u64, servers: &[&Server], draining: &[&str]) -> String {
    let entry = |server: &&Server| {
        let status = if draining.contains(&server.name.as_str()) {
            "terminating"
        } else {
            "in_service"
        };
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m1\",\"group\":0,\
             \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{}}}",
            server.name, server.address, server.since_ms
        )
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    format!(
        "{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}",
        entries.join(",")
    )
}

impl FakeDiscovery {
    /// One that lists these, of version 2: a list that was known before is older.
    pub fn new(behavior: DiscoveryBehavior, servers: &[&Server]) -> Self {
        let (listener, address) = listen();
        let (waiting, crashes, calls, notified_watches) = Default::default();
        let state = State {
            behavior,
            reject_after: None,
            timeout: None,
            waiting,
            down_until: None,
            crashes,
            calls,
            notified_watches,
        };
        let (list, crash_count) = (
            watch::Sender::new(list_json(2, servers)),
            watch::Sender::new(0),
        );
        let shared = Arc::new(Shared {
            list,
            state: Mutex::new(state),
            processing: Semaphore::new(1),
            crash_count,
        });
        let task = runtime()
            .spawn(accept(listener, Arc::clone(&shared)))
            .abort_handle();
        FakeDiscovery {
            address,
            shared,
            task,
        }
    }

    /// It behaves otherwise from now on.
    pub fn set_behavior(&self, change: impl FnOnce(&mut DiscoveryBehavior)) {
        change(&mut lock(&self.shared.state).behavior);
    }

    /// From now on its list is of this version, and those of these names drain in it; open watches hear of it at once.
    pub fn publish(&self, index: u64, servers: &[&Server], draining: &[&str]) {
        self.shared
            .list
            .send_replace(list_json_with_draining(index, servers, draining));
    }

    /// It dies now, and is back after so long.
    pub fn crash(&self, down: Duration) {
        crash(&self.shared, &mut lock(&self.shared.state), down);
    }

    /// From now on it answers each call with 503, so long after the call arrived_at, and does no work for it. Open watches end.
    pub fn reject_calls(&self, after: Duration) {
        lock(&self.shared.state).reject_after = Some(after);
        self.shared.crash_count.send_modify(|many| *many += 1);
    }

    /// It takes calls again. Those that it was about to refuse are refused all the same.
    pub fn accept_calls(&self) {
        lock(&self.shared.state).reject_after = None;
    }

    /// From now on a call that has waited for so long is answered with 503. Its work is done in its turn all the same.
    pub fn set_call_timeout(&self, timeout: Duration, timing: RejectTiming) {
        lock(&self.shared.state).timeout = Some((timeout, timing));
    }

    /// The calls that it took, from when each was whole until it was answered or lost.
    pub fn calls(&self) -> Arrivals {
        let mut calls = lock(&self.shared.state).calls.clone();
        calls.sort_unstable();
        Arrivals::at(calls)
    }

    /// When it crash_count, of too many calls or at the test's word.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.shared.state).crashes.clone()
    }

    /// Connections over which it has told the list that holds, and that stand.
    pub fn notified_watches(&self) -> usize {
        lock(&self.shared.state).notified_watches
    }
}

impl Drop for FakeDiscovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn crash(shared: &Shared, state: &mut State, down: Duration) {
    state.crashes.push(Instant::now());
    state.down_until = Some(Instant::now() + down);
    shared.crash_count.send_modify(|many| *many += 1);
}

async fn accept(listener: std::net::TcpListener, shared: Arc<Shared>) {
    let listener = taken(listener);
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let is_down = lock(&shared.state)
            .down_until
            .is_some_and(|until| Instant::now() < until);
        if is_down {
            continue;
        }
        let (shared, mut crash_count) = (Arc::clone(&shared), shared.crash_count.subscribe());
        open.spawn(async move {
            tokio::select! {
                _ = crash_count.changed() => {}
                _ = serve(stream, Arc::clone(&shared)) => {}
            }
        });
    }
}

/// A call that is not answered yet, or a watch that was told.
struct CountGuard<'o>(&'o Shared, fn(&mut State) -> &mut usize);

impl<'o> CountGuard<'o> {
    fn new(shared: &'o Shared, which: fn(&mut State) -> &mut usize) -> Self {
        *which(&mut lock(&shared.state)) += 1;
        CountGuard(shared, which)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        *(self.1)(&mut lock(&self.0.state)) -= 1;
    }
}

/// The work for one call, in its turn; gives how long the call waited for that.
async fn work(shared: Arc<Shared>) -> Option<Duration> {
    let arrived_at = Instant::now();
    let _waiting = CountGuard::new(&shared, |state| &mut state.waiting);
    let _processing = shared.processing.acquire().await.ok()?;
    let waited = arrived_at.elapsed();
    let work_time = lock(&shared.state).behavior.work_per_call;
    tokio::time::sleep(work_time).await;
    Some(waited)
}

/// Whether the call is to be answered with the list: false where it waited in vain.
async fn finishes_in_time(shared: &Arc<Shared>) -> Option<bool> {
    let timeout = lock(&shared.state).timeout;
    let Some((timeout, timing)) = timeout else {
        work(Arc::clone(shared)).await?;
        return Some(true);
    };
    let work = tokio::spawn(work(Arc::clone(shared)));
    match timing {
        RejectTiming::AtDeadline => Some(tokio::time::timeout(timeout, work).await.is_ok()),
        RejectTiming::AfterProcessing => Some(work.await.ok()?? <= timeout),
    }
}

async fn reject(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(REJECTION).await.ok()
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > MAX_HEAD_BYTES || stream.read_buf(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let arrived_at = Instant::now();
    let reject_after = lock(&shared.state).reject_after;
    if let Some(after) = reject_after {
        tokio::time::sleep(after).await;
        return reject(&mut stream).await;
    }
    {
        let mut state = lock(&shared.state);
        // Until it is answered it may as well be answered now.
        state.calls.push((arrived_at, arrived_at));
        if state.waiting >= state.behavior.max_waiting_calls {
            let down = state.behavior.downtime;
            crash(&shared, &mut state, down);
            return None;
        }
    }
    if !finishes_in_time(&shared).await? {
        return reject(&mut stream).await;
    }
    let response = {
        let mut state = lock(&shared.state);
        let call = state.calls.iter_mut().rfind(|(at, _)| *at == arrived_at);
        call.into_iter().for_each(|(_, end)| *end = Instant::now());
        state.behavior.response
    };
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await
        .ok()?;
    let mut list_updates = shared.list.subscribe();
    let list = list_updates.borrow_and_update().clone();
    let line = match response {
        ListResponse::List => format!("{list}\n"),
        ListResponse::Malformed => "{\"index\":\"so\"}\n".into(),
        ListResponse::Truncated => list[..list.len() / 2].into(),
    };
    stream
        .write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())
        .await
        .ok()?;
    if response == ListResponse::Truncated {
        return None;
    }
    let _notified = (response == ListResponse::List)
        .then(|| CountGuard::new(&shared, |state| &mut state.notified_watches));
    loop {
        tokio::select! {
            () = tokio::time::sleep(KEEPALIVE_INTERVAL) => stream.write_all(b"1\r\n\n\r\n").await.ok()?,
            _ = list_updates.changed() => {
                let list = list_updates.borrow_and_update().clone();
                stream.write_all(format!("{:x}\r\n{list}\n\r\n", list.len() + 1).as_bytes()).await.ok()?;
            }
            gone = stream.readable() => {
                gone.ok()?;
                // The caller has no more to say: what there is to read is its end.
                if stream.try_read(&mut [0; 64]).is_ok_and(|count| count == 0) {
                    return None;
                }
            }
        }
    }
}

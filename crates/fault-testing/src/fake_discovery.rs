//! A fake discovery service that processes calls one at a time and crashes under too many.

use crate::{Arrivals, Server, into_tokio, listen, lock, runtime};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::{AbortHandle, JoinSet};

/// Interval of the empty lines on a watch that show that the service is up.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What it sends as the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListResponse {
    /// The complete list.
    #[default]
    List,
    /// A line that cannot be parsed.
    Malformed,
    /// The first half of the list, then the end of the connection.
    Truncated,
}

/// When it rejects a call that has waited too long. Discovery still processes the call in its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectTiming {
    /// As soon as the call has waited for the timeout.
    AtDeadline,
    /// After the call was dequeued and its work is done.
    AfterProcessing,
}

/// Capacity of the service and its responses.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryBehavior {
    /// Processing time of a call. Calls are processed one at a time, including those that their callers have abandoned.
    pub work_per_call: Duration,
    /// Maximum number of waiting calls. One more crashes the service: it closes all connections and rejects new ones.
    pub max_waiting_calls: usize,
    /// How long it is down after a crash.
    pub downtime: Duration,
    /// What it sends as the list.
    pub response: ListResponse,
}

struct State {
    behavior: DiscoveryBehavior,
    /// Rejects each call this long after its arrival.
    reject_after: Option<Duration>,
    /// Rejects a call that has waited this long, at the given moment.
    timeout: Option<(Duration, RejectTiming)>,
    waiting: usize,
    down_until: Option<Instant>,
    crashes: Vec<Instant>,
    calls: Vec<(Instant, Instant)>,
    notified_watches: usize,
}

struct Shared {
    /// The list as JSON, for callers and open watches.
    list: watch::Sender<String>,
    state: Mutex<State>,
    processing: Semaphore,
    /// Counts crashes and other events, each of which closes all connections.
    disconnect_count: watch::Sender<usize>,
}

/// A fake discovery service, controlled by the test. It implements only the watch of the protocol.
pub struct FakeDiscovery {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

/// A full list of this version as JSON, in which all servers are in service.
pub fn list_json(index: u64, servers: &[&Server]) -> String {
    list_json_with_draining(index, servers, &[])
}

/// A full list of this version as JSON, in which the named servers drain and all others are in service.
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
    /// Starts a service that lists these servers with version 2, so that a previously known list is older.
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
        let (list, disconnect_count) = (
            watch::Sender::new(list_json(2, servers)),
            watch::Sender::new(0),
        );
        let shared = Arc::new(Shared {
            list,
            state: Mutex::new(state),
            processing: Semaphore::new(1),
            disconnect_count,
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

    /// Changes its behavior from now on.
    pub fn set_behavior(&self, change: impl FnOnce(&mut DiscoveryBehavior)) {
        change(&mut lock(&self.shared.state).behavior);
    }

    /// Publishes a list of this version, in which the named servers drain. Open watches are notified immediately.
    pub fn publish(&self, index: u64, servers: &[&Server], draining: &[&str]) {
        self.shared
            .list
            .send_replace(list_json_with_draining(index, servers, draining));
    }

    /// Crashes now and is up again after this time.
    pub fn crash(&self, down: Duration) {
        crash(&self.shared, &mut lock(&self.shared.state), down);
    }

    /// From now on, answers each call with 503 this long after its arrival and does no work for it. Closes open watches.
    pub fn reject_calls(&self, after: Duration) {
        lock(&self.shared.state).reject_after = Some(after);
        self.shared
            .disconnect_count
            .send_modify(|count| *count += 1);
    }

    /// Accepts calls again. Calls that are already being rejected are still rejected.
    pub fn accept_calls(&self) {
        lock(&self.shared.state).reject_after = None;
    }

    /// From now on, answers a call that has waited this long with 503. Discovery still processes the call in its turn.
    pub fn set_call_timeout(&self, timeout: Duration, timing: RejectTiming) {
        lock(&self.shared.state).timeout = Some((timeout, timing));
    }

    /// The calls it accepted, each from its complete arrival until it was answered or lost.
    pub fn calls(&self) -> Arrivals {
        let mut calls = lock(&self.shared.state).calls.clone();
        calls.sort_unstable();
        Arrivals::at(calls)
    }

    /// When it crashed, because of too many calls or on the test's command.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.shared.state).crashes.clone()
    }

    /// Number of open watches to which it has sent the list.
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
    shared.disconnect_count.send_modify(|count| *count += 1);
}

async fn accept(listener: std::net::TcpListener, shared: Arc<Shared>) {
    let listener = into_tokio(listener);
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
        let (shared, mut disconnect_count) =
            (Arc::clone(&shared), shared.disconnect_count.subscribe());
        open.spawn(async move {
            tokio::select! {
                _ = disconnect_count.changed() => {}
                _ = serve(stream, Arc::clone(&shared)) => {}
            }
        });
    }
}

/// Counts an unanswered call or a notified watch until it is dropped.
struct CountGuard<'o>(&'o Shared, fn(&mut State) -> &mut usize);

impl<'o> CountGuard<'o> {
    fn new(shared: &'o Shared, counter: fn(&mut State) -> &mut usize) -> Self {
        *counter(&mut lock(&shared.state)) += 1;
        CountGuard(shared, counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        *(self.1)(&mut lock(&self.0.state)) -= 1;
    }
}

/// Does the work for one call when it is dequeued, and returns how long the call waited.
async fn work(shared: Arc<Shared>) -> Option<Duration> {
    let arrived_at = Instant::now();
    let _waiting = CountGuard::new(&shared, |state| &mut state.waiting);
    let _processing = shared.processing.acquire().await.ok()?;
    let waited = arrived_at.elapsed();
    let work_time = lock(&shared.state).behavior.work_per_call;
    tokio::time::sleep(work_time).await;
    Some(waited)
}

/// Whether the call gets the list; false if it is to be rejected because it waited too long.
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
        // The end time is a placeholder until the call is answered.
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
                // The caller sends nothing more, so readable means the end of the connection.
                if stream.try_read(&mut [0; 64]).is_ok_and(|count| count == 0) {
                    return None;
                }
            }
        }
    }
}

//! A stand-in discovery, which works through calls in turn and dies of too many.

use crate::{Arrivals, Server, listen, lock, runtime, taken};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::{AbortHandle, JoinSet};

/// An empty line says so often that it is there, and a longest head that is read.
const THERE: Duration = Duration::from_millis(500);
const HEAD: usize = 8 << 10;
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What it writes in the place of a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Says {
    /// The list.
    #[default]
    List,
    /// A line that makes no sense.
    Nonsense,
    /// The first half of the list, and the end.
    Half,
}

/// When it refuses a call that has waited for too long. Its work is done in its turn all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refuses {
    /// In the moment in which the call has waited for so long.
    Sharply,
    /// When the turn of the call has come, and its work is done.
    InTurn,
}

/// What it bears, and how it answers.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Work for one call. Calls are worked through in turn, those that their callers gave up too.
    pub each: Duration,
    /// Calls that it bears at once. One more, and it is down: all connections end and new ones are refused.
    pub most: usize,
    /// How long it is down then.
    pub down: Duration,
    /// What it says.
    pub says: Says,
}

struct State {
    manner: Manner,
    /// Refuses each call so long after it came.
    refuses_after: Option<Duration>,
    /// Refuses a call that has waited for so long.
    patience: Option<(Duration, Refuses)>,
    waiting: usize,
    down_until: Option<Instant>,
    deaths: Vec<Instant>,
    calls: Vec<(Instant, Instant)>,
    told: usize,
}

struct Own {
    /// As it is written, to those who call and to those who watch.
    list: watch::Sender<String>,
    state: Mutex<State>,
    turn: Semaphore,
    /// Counts deaths, each of which ends all connections.
    died: watch::Sender<usize>,
}

/// A discovery that the test plays. It speaks no more of the protocol than the watch.
pub struct Lists {
    /// Where it listens.
    pub address: SocketAddr,
    own: Arc<Own>,
    task: AbortHandle,
}

/// A whole list, of this version, in which all serve.
pub fn listing(index: u64, servers: &[&Server]) -> String {
    listing_but(index, servers, &[])
}

/// A whole list, of this version, in which those of these names drain and all others serve.
fn listing_but(index: u64, servers: &[&Server], draining: &[&str]) -> String {
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

impl Lists {
    /// One that lists these, of version 2: a list that was known before is older.
    pub fn new(manner: Manner, servers: &[&Server]) -> Self {
        let (listener, address) = listen();
        let (waiting, deaths, calls, told) = Default::default();
        let state = State {
            manner,
            refuses_after: None,
            patience: None,
            waiting,
            down_until: None,
            deaths,
            calls,
            told,
        };
        let (list, died) = (
            watch::Sender::new(listing(2, servers)),
            watch::Sender::new(0),
        );
        let own = Arc::new(Own {
            list,
            state: Mutex::new(state),
            turn: Semaphore::new(1),
            died,
        });
        let task = runtime()
            .spawn(accept(listener, Arc::clone(&own)))
            .abort_handle();
        Lists { address, own, task }
    }

    /// It behaves otherwise from now on.
    pub fn behave(&self, change: impl FnOnce(&mut Manner)) {
        change(&mut lock(&self.own.state).manner);
    }

    /// From now on its list is of this version, and those of these names drain in it; open watches hear of it at once.
    pub fn publish(&self, index: u64, servers: &[&Server], draining: &[&str]) {
        self.own
            .list
            .send_replace(listing_but(index, servers, draining));
    }

    /// It dies now, and is back after so long.
    pub fn die(&self, down: Duration) {
        die(&self.own, &mut lock(&self.own.state), down);
    }

    /// From now on it answers each call with 503, so long after the call came, and does no work for it. Open watches end.
    pub fn refuse(&self, after: Duration) {
        lock(&self.own.state).refuses_after = Some(after);
        self.own.died.send_modify(|many| *many += 1);
    }

    /// It takes calls again. Those that it was about to refuse are refused all the same.
    pub fn take_calls(&self) {
        lock(&self.own.state).refuses_after = None;
    }

    /// From now on a call that has waited for so long is answered with 503. Its work is done in its turn all the same.
    pub fn set_patience(&self, patience: Duration, refuses: Refuses) {
        lock(&self.own.state).patience = Some((patience, refuses));
    }

    /// The calls that it took, from when each was whole until it was answered or lost.
    pub fn calls(&self) -> Arrivals {
        let mut calls = lock(&self.own.state).calls.clone();
        calls.sort_unstable();
        Arrivals::at(calls)
    }

    /// When it died, of too many calls or at the test's word.
    pub fn deaths(&self) -> Vec<Instant> {
        lock(&self.own.state).deaths.clone()
    }

    /// Connections over which it has told the list that holds, and that stand.
    pub fn told(&self) -> usize {
        lock(&self.own.state).told
    }
}

impl Drop for Lists {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn die(own: &Own, state: &mut State, down: Duration) {
    state.deaths.push(Instant::now());
    state.down_until = Some(Instant::now() + down);
    own.died.send_modify(|many| *many += 1);
}

async fn accept(listener: std::net::TcpListener, own: Arc<Own>) {
    let listener = taken(listener);
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let is_down = lock(&own.state)
            .down_until
            .is_some_and(|until| Instant::now() < until);
        if is_down {
            continue;
        }
        let (own, mut died) = (Arc::clone(&own), own.died.subscribe());
        open.spawn(async move {
            tokio::select! {
                _ = died.changed() => {}
                _ = serve(stream, Arc::clone(&own)) => {}
            }
        });
    }
}

/// A call that is not answered yet, or a watch that was told.
struct Counted<'o>(&'o Own, fn(&mut State) -> &mut usize);

impl<'o> Counted<'o> {
    fn new(own: &'o Own, which: fn(&mut State) -> &mut usize) -> Self {
        *which(&mut lock(&own.state)) += 1;
        Counted(own, which)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        *(self.1)(&mut lock(&self.0.state)) -= 1;
    }
}

/// The work for one call, in its turn; gives how long the call waited for that.
async fn work(own: Arc<Own>) -> Option<Duration> {
    let came = Instant::now();
    let _waiting = Counted::new(&own, |state| &mut state.waiting);
    let _turn = own.turn.acquire().await.ok()?;
    let waited = came.elapsed();
    let each = lock(&own.state).manner.each;
    tokio::time::sleep(each).await;
    Some(waited)
}

/// Whether the call is to be answered with the list: false where it waited in vain.
async fn worked_through(own: &Arc<Own>) -> Option<bool> {
    let patience = lock(&own.state).patience;
    let Some((patience, refuses)) = patience else {
        work(Arc::clone(own)).await?;
        return Some(true);
    };
    let work = tokio::spawn(work(Arc::clone(own)));
    match refuses {
        Refuses::Sharply => Some(tokio::time::timeout(patience, work).await.is_ok()),
        Refuses::InTurn => Some(work.await.ok()?? <= patience),
    }
}

async fn refuse(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(REFUSAL).await.ok()
}

async fn serve(mut stream: TcpStream, own: Arc<Own>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > HEAD || stream.read_buf(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let came = Instant::now();
    let refuses_after = lock(&own.state).refuses_after;
    if let Some(after) = refuses_after {
        tokio::time::sleep(after).await;
        return refuse(&mut stream).await;
    }
    {
        let mut state = lock(&own.state);
        // Until it is answered it may as well be answered now.
        state.calls.push((came, came));
        if state.waiting >= state.manner.most {
            let down = state.manner.down;
            die(&own, &mut state, down);
            return None;
        }
    }
    if !worked_through(&own).await? {
        return refuse(&mut stream).await;
    }
    let says = {
        let mut state = lock(&own.state);
        let call = state.calls.iter_mut().rfind(|(at, _)| *at == came);
        call.into_iter().for_each(|(_, end)| *end = Instant::now());
        state.manner.says
    };
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await
        .ok()?;
    let mut news = own.list.subscribe();
    let list = news.borrow_and_update().clone();
    let line = match says {
        Says::List => format!("{list}\n"),
        Says::Nonsense => "{\"index\":\"so\"}\n".into(),
        Says::Half => list[..list.len() / 2].into(),
    };
    stream
        .write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())
        .await
        .ok()?;
    if says == Says::Half {
        return None;
    }
    let _told = (says == Says::List).then(|| Counted::new(&own, |state| &mut state.told));
    loop {
        tokio::select! {
            () = tokio::time::sleep(THERE) => stream.write_all(b"1\r\n\n\r\n").await.ok()?,
            _ = news.changed() => {
                let list = news.borrow_and_update().clone();
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

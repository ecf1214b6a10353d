//! Stand-in servers that answer what they are asked, and remember when each request arrived.

use crate::{listen, lock, runtime, taken};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

/// By how many the worst window that begins and ends with one of these times, in their order, was over this rate; below
/// all numbers where there is none. Every window is looked at in one pass: times less the rate's line, against the lowest
/// point before.
pub fn max_window_excess(times: impl IntoIterator<Item = f64>, rate: f64) -> f64 {
    let (mut worst, mut lowest) = (f64::NEG_INFINITY, f64::INFINITY);
    for (before, at) in times.into_iter().enumerate() {
        let line = rate * at;
        lowest = lowest.min(before as f64 - line);
        worst = worst.max((before + 1) as f64 - line - lowest);
    }
    worst
}

/// When requests arrived and for how long each was open, as a server saw it. Those of several servers may be put
/// together.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Vec<(Instant, Instant)>);

impl Arrivals {
    /// All of these together.
    pub fn of_servers<'s>(servers: impl IntoIterator<Item = &'s Server>) -> Self {
        let mut all: Vec<_> = servers
            .into_iter()
            .flat_map(|server| lock(&server.seen).open.clone())
            .collect();
        all.sort_unstable();
        Arrivals(all)
    }

    /// Of these, from when each came until it was done, in their order.
    pub(crate) fn at(open: Vec<(Instant, Instant)>) -> Self {
        Arrivals(open)
    }

    /// Those that arrived from then on.
    pub fn since(&self, from: Instant) -> Self {
        Arrivals(
            self.0
                .iter()
                .filter(|(at, _)| *at >= from)
                .copied()
                .collect(),
        )
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// By how much the worst window was over a rate with a burst: over every window that begins and ends with an
    /// arrival, so many arrived more than `rate × length + burst`. At or below 0 where the bound was kept. `jitter` is
    /// how much later one may arrive than it was let in; each window is taken as that much longer.
    pub fn rate_excess(&self, rate: f64, burst: f64, jitter: Duration) -> f64 {
        let Some((first, _)) = self.0.first() else {
            return f64::NEG_INFINITY;
        };
        let times = self
            .0
            .iter()
            .map(|(at, _)| at.duration_since(*first).as_secs_f64());
        max_window_excess(times, rate) - burst - rate * jitter.as_secs_f64()
    }

    /// The most that were open at once.
    pub fn max_concurrent(&self) -> usize {
        let begun = self.0.iter().map(|(at, _)| (*at, 1i64));
        let mut steps: Vec<(Instant, i64)> = begun
            .chain(self.0.iter().map(|(_, end)| (*end, -1)))
            .collect();
        // One that ends as another begins goes first.
        steps.sort_unstable();
        let mut open = 0;
        steps
            .iter()
            .map(|(_, step)| {
                open += step;
                open
            })
            .max()
            .unwrap_or(0)
            .max(0) as usize
    }

    /// Arrivals a second between two times.
    pub fn rate(&self, from: Instant, to: Instant) -> f64 {
        let there = self
            .0
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .count();
        there as f64 / to.duration_since(from).as_secs_f64()
    }
}

#[derive(Default)]
struct Seen {
    open: Vec<(Instant, Instant)>,
    /// When each request came, by its id.
    came: BTreeMap<String, Vec<Instant>>,
    /// When requests came while it was cold, for as far back as it falls by.
    cold: VecDeque<Instant>,
    fell: Option<Instant>,
}

/// How a server starts cold, and what pushes it over: the protocol's figures.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The part of its capacity that it starts with; the rest comes evenly.
    pub min_share: f64,
    /// It is warm after this.
    pub duration: Duration,
    /// While it is cold it bears in such a window...
    pub window: Duration,
    /// ...so many times what it can do at that moment, N, and what chance adds, by the operators' stricter term: 2 √N + 2. One
    /// more, and it falls: its connections are reset and it never comes back.
    pub overload_factor: f64,
}

impl SlowStart {
    /// Its part of its capacity at this age.
    fn warmth(&self, age: Duration) -> f64 {
        (self.min_share + (1.0 - self.min_share) * age.as_secs_f64() / self.duration.as_secs_f64())
            .min(1.0)
    }
}

/// What a server answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// 200.
    #[default]
    Success,
    /// 500: it may have run.
    InternalError,
    /// Nothing: it takes what comes and is silent.
    NoResponse,
}

/// How a server does its work.
struct Works {
    time: Duration,
    answers: Mutex<ResponseMode>,
    cold: Option<(SlowStart, Instant)>,
    fell: watch::Sender<bool>,
}

impl Works {
    /// How warm it is; none where it never was cold, or is not any more.
    fn warmth(&self, now: Instant) -> Option<(SlowStart, f64)> {
        let (cold, started) = self.cold?;
        let warmth = cold.warmth(now.duration_since(started));
        (warmth < 1.0).then_some((cold, warmth))
    }

    /// Something has come. Gives whether that pushes it over.
    fn is_pushed_over(&self, seen: &mut Seen, now: Instant) -> bool {
        let Some((cold, warmth)) = self.warmth(now) else {
            return false;
        };
        seen.cold.push_back(now);
        while seen
            .cold
            .front()
            .is_some_and(|at| now.duration_since(*at) > cold.window)
        {
            seen.cold.pop_front();
        }
        let can = warmth * cold.window.as_secs_f64() / self.time.as_secs_f64();
        let bears = cold.overload_factor * can;
        seen.cold.len() as f64 > bears + 2.0 * bears.sqrt() + 2.0
    }
}

/// A server that answers every request with 200.
pub struct Server {
    /// Its name in lists.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, in milliseconds of Unix time; 0 for long ago.
    pub since_ms: u64,
    seen: Arc<Mutex<Seen>>,
    works: Arc<Works>,
    task: AbortHandle,
}

impl Server {
    /// One that answers at once.
    pub fn new(name: &str) -> Self {
        Server::with_service_time(name, Duration::ZERO)
    }

    /// One that takes so long for each request.
    pub fn with_service_time(name: &str, time: Duration) -> Self {
        Server::build(name, time, None)
    }

    /// One that starts now, is cold, and takes so long for each request once it is warm: as much longer as it is
    /// colder. Nothing queues there, so that what comes is what its callers sent and not what it let them.
    pub fn with_slow_start(name: &str, time: Duration, cold: SlowStart) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let since_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        let mut server = Server::build(name, time, Some((cold, Instant::now())));
        server.since_ms = since_ms;
        server
    }

    fn build(name: &str, time: Duration, cold: Option<(SlowStart, Instant)>) -> Self {
        let (listener, address) = listen();
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let (answers, fell) = (Mutex::default(), watch::Sender::new(false));
        let works = Arc::new(Works {
            time,
            answers,
            cold,
            fell,
        });
        let (own, doing) = (Arc::clone(&seen), Arc::clone(&works));
        let task = runtime().spawn(async move {
            let listener = taken(listener);
            let mut open = JoinSet::new();
            let mut fell = doing.fell.subscribe();
            loop {
                while open.try_join_next().is_some() {}
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    // All connections end with this.
                    _ = fell.changed() => return,
                };
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let (seen, works) = (Arc::clone(&own), Arc::clone(&doing));
                let answer = service_fn(move |request| {
                    answer(Arc::clone(&seen), Arc::clone(&works), request)
                });
                open.spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), answer));
            }
        });
        Server {
            name: name.into(),
            address,
            since_ms: 0,
            seen,
            works,
            task: task.abort_handle(),
        }
    }

    /// It answers so from now on.
    pub fn set_response(&self, answers: ResponseMode) {
        *lock(&self.works.answers) = answers;
    }

    /// When it was pushed over, if it was.
    pub fn overloaded_at(&self) -> Option<Instant> {
        lock(&self.seen).fell
    }

    /// How often each request was seen by all of these together.
    pub fn request_counts_of(servers: &[Server]) -> BTreeMap<String, u32> {
        let mut seen = BTreeMap::new();
        for (id, times) in servers.iter().flat_map(Server::request_counts) {
            *seen.entry(id).or_default() += times;
        }
        seen
    }

    /// How often each request was seen, by its `X-Trace-Id`.
    pub fn request_counts(&self) -> BTreeMap<String, u32> {
        lock(&self.seen)
            .came
            .iter()
            .map(|(id, came)| (id.clone(), came.len() as u32))
            .collect()
    }

    /// Each time at which this request came, by its `X-Trace-Id`.
    pub fn arrival_times(&self, id: &str) -> Vec<Instant> {
        lock(&self.seen).came.get(id).cloned().unwrap_or_default()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request is counted as it comes and not once its answer is first worked at: `hyper` does not begin with that where the
/// connection has ended meanwhile.
fn answer(
    seen: Arc<Mutex<Seen>>,
    works: Arc<Works>,
    request: Request<Incoming>,
) -> impl Future<Output = Result<Response<Full<Bytes>>, Infallible>> {
    let came = Instant::now();
    let id = request
        .headers()
        .get("x-trace-id")
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default();
    {
        let mut seen = lock(&seen);
        seen.came.entry(id.to_string()).or_default().push(came);
        if works.is_pushed_over(&mut seen, came) {
            seen.fell.get_or_insert(came);
            works.fell.send_replace(true);
        }
    }
    work(seen, works, request, came)
}

/// Does a request's work and answers it.
async fn work(
    seen: Arc<Mutex<Seen>>,
    works: Arc<Works>,
    request: Request<Incoming>,
    came: Instant,
) -> Result<Response<Full<Bytes>>, Infallible> {
    // One that breaks off is answered like any other: it arrived.
    let _ = request.into_body().collect().await;
    let time = works
        .warmth(came)
        .map_or(works.time, |(_, warmth)| works.time.div_f64(warmth));
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    lock(&seen).open.push((came, Instant::now()));
    let mut response = Response::new(Full::new(Bytes::from_static(b"ok")));
    let answers = *lock(&works.answers);
    match answers {
        ResponseMode::Success => {}
        ResponseMode::InternalError => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        ResponseMode::NoResponse => std::future::pending().await,
    }
    Ok(response)
}

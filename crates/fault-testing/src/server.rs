//! Test servers that answer requests and record when each one arrived.

use crate::{into_tokio, listen, lock, runtime};
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

/// The largest excess of events over this rate in any window that starts and ends with one of these ordered times;
/// negative infinity if there are none. Examines all windows in one pass by comparing the event count minus `rate × time`
/// with its lowest earlier value.
pub fn max_window_excess(times: impl IntoIterator<Item = f64>, rate: f64) -> f64 {
    let (mut worst, mut lowest) = (f64::NEG_INFINITY, f64::INFINITY);
    for (before, at) in times.into_iter().enumerate() {
        let line = rate * at;
        lowest = lowest.min(before as f64 - line);
        worst = worst.max((before + 1) as f64 - line - lowest);
    }
    worst
}

/// Arrival and completion times of requests as recorded by a server. Those of several servers can be combined.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Vec<(Instant, Instant)>);

impl Arrivals {
    /// The arrivals at all of these servers.
    pub fn of_servers<'s>(servers: impl IntoIterator<Item = &'s Server>) -> Self {
        let mut all: Vec<_> = servers
            .into_iter()
            .flat_map(|server| lock(&server.record).open.clone())
            .collect();
        all.sort_unstable();
        Arrivals(all)
    }

    /// From ordered pairs of arrival and completion time.
    pub(crate) fn at(open: Vec<(Instant, Instant)>) -> Self {
        Arrivals(open)
    }

    /// The arrivals at or after this time.
    pub fn since(&self, from: Instant) -> Self {
        Arrivals(
            self.0
                .iter()
                .filter(|(at, _)| *at >= from)
                .copied()
                .collect(),
        )
    }

    /// Number of arrivals.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no arrivals.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The largest number of arrivals above `rate × length + burst` in any window that starts and ends with an arrival. At
    /// most 0 if the bound holds. `jitter` is how much later a request may arrive than it was admitted; each window is
    /// extended by it.
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

    /// Maximum number of concurrent requests.
    pub fn max_concurrent(&self) -> usize {
        let begun = self.0.iter().map(|(at, _)| (*at, 1i64));
        let mut steps: Vec<(Instant, i64)> = begun
            .chain(self.0.iter().map(|(_, end)| (*end, -1)))
            .collect();
        // At equal times, ends sort before starts.
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

    /// Arrivals per second between two times.
    pub fn rate(&self, from: Instant, to: Instant) -> f64 {
        let count = self
            .0
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .count();
        count as f64 / to.duration_since(from).as_secs_f64()
    }
}

#[derive(Default)]
struct ServerRecord {
    open: Vec<(Instant, Instant)>,
    /// Arrival times by request id.
    arrivals: BTreeMap<String, Vec<Instant>>,
    /// Arrival times during slow start, within the overload window.
    slow_start: VecDeque<Instant>,
    overloaded: Option<Instant>,
}

/// Slow start of a server and its overload limit, with the protocol's figures.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity at the start; the rest is added linearly.
    pub min_share: f64,
    /// Duration of slow start.
    pub duration: Duration,
    /// Length of the overload window.
    pub window: Duration,
    /// Multiple of its current capacity that it tolerates in an overload window. If that is N requests, another 2 √N + 2 are
    /// tolerated for random variation (the operators' stricter term). One more makes it fail: it resets its connections and
    /// never comes back.
    pub overload_factor: f64,
}

impl SlowStart {
    /// Share of its capacity at this age.
    fn capacity_share(&self, age: Duration) -> f64 {
        (self.min_share + (1.0 - self.min_share) * age.as_secs_f64() / self.duration.as_secs_f64())
            .min(1.0)
    }
}

/// How a server responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// 200.
    #[default]
    Success,
    /// 500: the request may have run.
    InternalError,
    /// No response: it accepts requests and stays silent.
    NoResponse,
}

/// Configuration of a server.
struct ServerConfig {
    time: Duration,
    response_mode: Mutex<ResponseMode>,
    slow_start: Option<(SlowStart, Instant)>,
    overloaded: watch::Sender<bool>,
}

impl ServerConfig {
    /// Its slow start and current share of capacity; none outside slow start.
    fn slow_start_state(&self, now: Instant) -> Option<(SlowStart, f64)> {
        let (slow_start, started) = self.slow_start?;
        let share = slow_start.capacity_share(now.duration_since(started));
        (share < 1.0).then_some((slow_start, share))
    }

    /// Records an arrival and returns whether it overloads the server.
    fn is_overloaded_by_arrival(&self, record: &mut ServerRecord, now: Instant) -> bool {
        let Some((slow_start, share)) = self.slow_start_state(now) else {
            return false;
        };
        record.slow_start.push_back(now);
        while record
            .slow_start
            .front()
            .is_some_and(|at| now.duration_since(*at) > slow_start.window)
        {
            record.slow_start.pop_front();
        }
        let capacity = share * slow_start.window.as_secs_f64() / self.time.as_secs_f64();
        let tolerated = slow_start.overload_factor * capacity;
        record.slow_start.len() as f64 > tolerated + 2.0 * tolerated.sqrt() + 2.0
    }
}

/// A server that answers every request with 200 by default.
pub struct Server {
    /// Name in lists.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Start time in milliseconds of Unix time; 0 for long ago.
    pub since_ms: u64,
    record: Arc<Mutex<ServerRecord>>,
    config: Arc<ServerConfig>,
    task: AbortHandle,
}

impl Server {
    /// Starts a server that answers immediately.
    pub fn new(name: &str) -> Self {
        Server::with_service_time(name, Duration::ZERO)
    }

    /// Starts a server with this service time per request.
    pub fn with_service_time(name: &str, time: Duration) -> Self {
        Server::build(name, time, None)
    }

    /// Starts a server in slow start. `time` is its service time after slow start; before, it is divided by the share of
    /// capacity. Requests do not queue, so the arrivals reflect what callers sent and not what the server could process.
    pub fn with_slow_start(name: &str, time: Duration, slow_start: SlowStart) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let since_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        let mut server = Server::build(name, time, Some((slow_start, Instant::now())));
        server.since_ms = since_ms;
        server
    }

    fn build(name: &str, time: Duration, slow_start: Option<(SlowStart, Instant)>) -> Self {
        let (listener, address) = listen();
        let record: Arc<Mutex<ServerRecord>> = Arc::default();
        let (response_mode, overloaded) = (Mutex::default(), watch::Sender::new(false));
        let config = Arc::new(ServerConfig {
            time,
            response_mode,
            slow_start,
            overloaded,
        });
        let (task_record, task_config) = (Arc::clone(&record), Arc::clone(&config));
        let task = runtime().spawn(async move {
            let listener = into_tokio(listener);
            let mut open = JoinSet::new();
            let mut overloaded = task_config.overloaded.subscribe();
            loop {
                while open.try_join_next().is_some() {}
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    // Dropping the set closes all connections.
                    _ = overloaded.changed() => return,
                };
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let (record, config) = (Arc::clone(&task_record), Arc::clone(&task_config));
                let handler = service_fn(move |request| {
                    handle_request(Arc::clone(&record), Arc::clone(&config), request)
                });
                open.spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), handler));
            }
        });
        Server {
            name: name.into(),
            address,
            since_ms: 0,
            record,
            config,
            task: task.abort_handle(),
        }
    }

    /// Changes how it responds from now on.
    pub fn set_response(&self, mode: ResponseMode) {
        *lock(&self.config.response_mode) = mode;
    }

    /// When it failed because of overload, if it did.
    pub fn overloaded_at(&self) -> Option<Instant> {
        lock(&self.record).overloaded
    }

    /// How often each request arrived at all of these servers together.
    pub fn request_counts_of(servers: &[Server]) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for (id, count) in servers.iter().flat_map(Server::request_counts) {
            *counts.entry(id).or_default() += count;
        }
        counts
    }

    /// How often each request arrived, by its `X-Trace-Id`.
    pub fn request_counts(&self) -> BTreeMap<String, u32> {
        lock(&self.record)
            .arrivals
            .iter()
            .map(|(id, times)| (id.clone(), times.len() as u32))
            .collect()
    }

    /// Arrival times of a request, by its `X-Trace-Id`.
    pub fn arrival_times(&self, id: &str) -> Vec<Instant> {
        lock(&self.record)
            .arrivals
            .get(id)
            .cloned()
            .unwrap_or_default()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Records a request on arrival and not when its response future is first polled, because `hyper` does not poll that if the
/// connection has ended meanwhile.
fn handle_request(
    record: Arc<Mutex<ServerRecord>>,
    config: Arc<ServerConfig>,
    request: Request<Incoming>,
) -> impl Future<Output = Result<Response<Full<Bytes>>, Infallible>> {
    let arrived_at = Instant::now();
    let id = request
        .headers()
        .get("x-trace-id")
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default();
    {
        let mut record = lock(&record);
        record
            .arrivals
            .entry(id.to_string())
            .or_default()
            .push(arrived_at);
        if config.is_overloaded_by_arrival(&mut record, arrived_at) {
            record.overloaded.get_or_insert(arrived_at);
            config.overloaded.send_replace(true);
        }
    }
    process_request(record, config, request, arrived_at)
}

/// Processes a request and answers it.
async fn process_request(
    record: Arc<Mutex<ServerRecord>>,
    config: Arc<ServerConfig>,
    request: Request<Incoming>,
    arrived_at: Instant,
) -> Result<Response<Full<Bytes>>, Infallible> {
    // A request whose body is incomplete is answered like any other: it arrived.
    let _ = request.into_body().collect().await;
    let time = config
        .slow_start_state(arrived_at)
        .map_or(config.time, |(_, share)| config.time.div_f64(share));
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    lock(&record).open.push((arrived_at, Instant::now()));
    let mut response = Response::new(Full::new(Bytes::from_static(b"ok")));
    let response_mode = *lock(&config.response_mode);
    match response_mode {
        ResponseMode::Success => {}
        ResponseMode::InternalError => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        ResponseMode::NoResponse => std::future::pending().await,
    }
    Ok(response)
}

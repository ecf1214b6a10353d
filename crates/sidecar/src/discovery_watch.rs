//! Calls to discovery and the watch on changes of the endpoint list: opening it, reading it, and giving it up.

use super::discovery_calls::CallId;
use super::list_reader::ListReader;
use super::pool::{ListUpdate, MAX_LISTED_SERVERS, apply_update};
use super::service::Service;
use super::supervision::AbortOnDrop;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use madderloom_balancer::{DiscoveryUpdate, Event, Micros};
use madderloom_endpoint_sharing::first_discovery_wait;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// A watch that says nothing for this long, no heartbeat either, is stalled: it is given up and opened anew. Discovery beats
/// every 2 s; what it has to tell counts as told after 6 s whether it came or not.
const STALLED: Duration = Duration::from_secs(3);
/// A call is given up when its connection has not come up after this.
const CONNECTS: Duration = Duration::from_secs(1);
/// A call whose answer has not begun after this is silent: another one has to be made in time. It goes on waiting, since
/// discovery may only have many callers, and would work off the other one behind it.
const ANSWERS: Duration = Duration::from_millis(4_500);
/// A silent call is given up after this.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// In microseconds.
const MILLISECOND: Micros = 1_000;

/// Follows another discovery from now on. The list is kept until that one speaks; its versions have nothing to
/// do with those of the former, so it is asked from the beginning.
pub(super) fn switch_discovery(service: &Rc<Service>, discovery: SocketAddr) {
    let former = service.pool.set_discovery(discovery);
    let of = &service.log_prefix;
    tracing::info!(%discovery, "{of}configuration read again: discovery is at {discovery}");
    if former != Some(discovery) {
        service.pool.calls.end_all();
        service.pool.reset_list_version();
        service.process.shared_lists.forget(&service.name);
        open_watch(service, true);
    }
}

/// Opens the watch, in place of one that is open, as the module says. One that the fleet called for meanwhile stays.
pub(super) fn poll_discovery(service: &Rc<Service>) {
    if !(service.pool.is_calling_discovery() && service.process.shared_lists.shares(&service.name))
    {
        open_watch(service, true);
    }
}

/// Calls discovery now, for all of the fleet, where this instance does not watch it already.
pub(super) fn call_for_fleet(service: &Rc<Service>) {
    if !service.pool.is_calling_discovery() && !service.is_draining() {
        open_watch(service, false);
    }
}

/// Ends the watch, since enough others of the fleet watch: discovery is called again when what they tell is too old.
pub(super) fn stop_watching(service: &Rc<Service>) {
    if service.pool.is_calling_discovery() && !service.is_draining() {
        open_watch(service, true);
    }
}

fn open_watch(service: &Rc<Service>, waits: bool) {
    // A fixed list has nothing to follow, and all that it holds is known.
    let Some(discovery) = service.pool.discovery() else {
        return;
    };
    let id = service.pool.calls.next_id();
    let own = Rc::clone(service);
    let task = watchdog::spawn(TaskKind::DiscoveryWatch, async move {
        if waits {
            wait_until_call_due(&own).await;
        }
        own.pool.set_calling_discovery(true);
        let mut call = Call::begin(id, own.process.clock.now());
        let Err(problem) = follow(&own, discovery, &mut call).await;
        call_ended(&own, discovery, &call, &problem);
    });
    service.pool.set_calling_discovery(false);
    service.process.shared_lists.watch_ended(&service.name);
    service.pool.calls.begin(id, task.abort_handle());
}

/// Whoever is told by its fleet spares discovery the call.
async fn wait_until_call_due(service: &Service) {
    let ask_within = service
        .active_settings()
        .site
        .settings
        .rules
        .max_poll_interval;
    // Without any server a request may be waiting for the list.
    let first = if service.pool.has_servers() {
        first_discovery_wait(service.process.clock.uptime(), ask_within)
    } else {
        0
    };
    service
        .process
        .shared_lists
        .wait_until_call_due(&service.name, ask_within, first)
        .await;
}

fn call_ended(service: &Rc<Service>, discovery: SocketAddr, call: &Call, problem: &str) {
    service.pool.calls.ended(call.id);
    let now = service.process.clock.now();
    log_failure(service, discovery, problem, call.began, now);
    if !call.fell_silent {
        not_called(service);
    }
    if call.state != CallState::GivenUp {
        let failed = DiscoveryUpdate::CallFailed {
            list_known_at: call.since,
            waited: call.waited(now),
            connection_broken: call.state == CallState::Waiting,
        };
        service.handle(now, Event::DiscoveryUpdated(failed));
    }
}

/// The call goes on waiting, and the module is told that another one has to be made in time.
fn call_fell_silent(service: &Rc<Service>, call: &mut Call) {
    call.fell_silent = true;
    service.pool.calls.fell_silent(call.id);
    not_called(service);
    let now = service.process.clock.now();
    let of = &service.log_prefix;
    let lasted_ms = now.saturating_sub(call.began) / MILLISECOND;
    tracing::info!(
        lasted_ms,
        "{of}no answer of discovery after {lasted_ms} ms; the call goes on waiting"
    );
    let since = call.began;
    service.handle(
        now,
        Event::DiscoveryUpdated(DiscoveryUpdate::CallUnanswered {
            call_started_at: since,
        }),
    );
}

/// The first list of a call makes it the watch, and ends all other calls.
fn watch_opened(service: &Rc<Service>, call: &Call, now: Micros) {
    service.pool.calls.answered(call.id);
    service.handle(now, Event::DiscoveryUpdated(DiscoveryUpdate::WatchOpened));
    log_first_list(service, call.began, now);
}

/// No call of this instance is held to be answered.
fn not_called(service: &Service) {
    service.pool.set_calling_discovery(false);
    service.process.shared_lists.watch_ended(&service.name);
}

/// Says what ended a call or its watch, how long that lasted, and how old the list is that is still in use.
fn log_failure(
    service: &Service,
    discovery: SocketAddr,
    problem: &str,
    began: Micros,
    now: Micros,
) {
    let of = &service.log_prefix;
    let lasted_ms = now.saturating_sub(began) / MILLISECOND;
    let list_age_ms = service.pool.list_age(now).unwrap_or(0) / MILLISECOND;
    tracing::warn!(
        %discovery,
        lasted_ms,
        list_age_ms,
        "{of}discovery at {discovery}: {problem}, after {lasted_ms} ms; list is {list_age_ms} ms old"
    );
}

/// Says when discovery is called next.
pub(super) fn log_next_call(service: &Service, now: Micros, at: Micros) {
    let of = &service.log_prefix;
    let due_ms = at.saturating_sub(now) / MILLISECOND;
    tracing::info!(due_ms, "{of}next call to discovery in {due_ms} ms");
}

/// Says that the first list of a call has come.
fn log_first_list(service: &Service, began: Micros, now: Micros) {
    let of = &service.log_prefix;
    let version = service.pool.list_version();
    let servers = service.pool.server_count();
    let lasted_ms = now.saturating_sub(began) / MILLISECOND;
    tracing::info!(
        version,
        servers,
        lasted_ms,
        "{of}discovery answered: list version {version}, {servers} servers, after {lasted_ms} ms"
    );
}

/// How far a call for the list has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// Discovery is not reached yet.
    Connecting,
    /// It was reached and asked, and has not answered.
    Waiting,
    /// It has not answered for so long that nothing is expected any more.
    GivenUp,
    /// It has answered that it takes no call.
    Refused,
    /// It answers.
    Answered,
}

/// A call for the list.
struct Call {
    id: CallId,
    /// When it began.
    began: Micros,
    state: CallState,
    /// Another call was wanted, since this one had no answer for long.
    fell_silent: bool,
    /// When discovery was reached and asked.
    asked: Micros,
    /// Whether it has brought a list.
    has_list: bool,
    /// What discovery had then is known: its beginning, and from its answer on the last word of the watch.
    since: Micros,
}

impl Call {
    fn begin(id: CallId, now: Micros) -> Self {
        Call {
            id,
            began: now,
            state: CallState::Connecting,
            fell_silent: false,
            asked: now,
            has_list: false,
            since: now,
        }
    }

    /// How long discovery, once reached, let the call wait before it failed.
    fn waited(&self, now: Micros) -> Micros {
        match self.state {
            CallState::Waiting | CallState::Refused => now.saturating_sub(self.asked),
            CallState::Connecting | CallState::GivenUp | CallState::Answered => 0,
        }
    }
}

/// Follows the watch for as long as it holds.
async fn follow(
    service: &Rc<Service>,
    discovery: SocketAddr,
    call: &mut Call,
) -> Result<Infallible, String> {
    let pool = &service.pool;
    let stream = timeout(CONNECTS, service.process.connect(discovery))
        .await
        .map_err(no_word)?;
    let stream = stream.map_err(|e| e.to_string())?;
    call.asked = service.process.clock.now();
    call.state = CallState::Waiting;
    let made = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = made.map_err(|e| e.to_string())?;
    let _task = AbortOnDrop(watchdog::spawn(TaskKind::DiscoveryConnection, async move {
        // How it ended shows in the body that is read from it.
        let _ = connection.await;
    }));
    let request = Request::get(format!(
        "/v1/endpoints?watch=1&after={}",
        pool.list_version()
    ))
    .header(header::HOST, discovery.to_string())
    .body(Empty::<Bytes>::new())
    .map_err(|e| e.to_string())?;
    let answer = wait_for_answer(service, sender.send_request(request), call).await?;
    if answer.status() != StatusCode::OK {
        call.state = CallState::Refused;
        return Err(format!("answered {}", answer.status()));
    }
    call.state = CallState::Answered;
    if std::mem::take(&mut call.fell_silent) {
        pool.set_calling_discovery(true);
    }
    read_lines(service, answer.into_body(), call).await
}

/// The answer to a call, however long it takes within bounds.
async fn wait_for_answer(
    service: &Rc<Service>,
    answer: impl Future<Output = hyper::Result<Response<Incoming>>>,
    call: &mut Call,
) -> Result<Response<Incoming>, String> {
    let mut answer = std::pin::pin!(answer);
    let in_time = timeout(ANSWERS, &mut answer).await;
    let answer = match in_time {
        Ok(answer) => answer,
        Err(_) => {
            call_fell_silent(service, call);
            let late = timeout(LONGEST_WAIT, answer).await;
            late.map_err(|elapsed| {
                call.state = CallState::GivenUp;
                no_word(elapsed)
            })?
        }
    };
    answer.map_err(|e| e.to_string())
}

fn no_word(_: Elapsed) -> String {
    "no word for too long".to_string()
}

async fn read_lines(
    service: &Rc<Service>,
    mut body: Incoming,
    call: &mut Call,
) -> Result<Infallible, String> {
    let mut reader = ListReader::default();
    loop {
        let frame = timeout(STALLED, body.frame()).await.map_err(no_word)?;
        let frame = frame
            .ok_or("the watch has ended")?
            .map_err(|e| e.to_string())?;
        let now = service.process.clock.now();
        let was_within = reader.is_within();
        reader.push(frame.data_ref().map_or(&[], |d| d.as_ref()));
        while let Some(object) = reader.next()? {
            apply_line(service, now, &object)?;
            if !std::mem::replace(&mut call.has_list, true) {
                watch_opened(service, call, now);
            }
            // Each costs as much as the list is long, and what was read at once may hold thousands.
            tokio::task::yield_now().await;
        }
        // Until a list is whole nothing is known of what was to be told since it began.
        if !was_within || !reader.is_within() {
            service.pool.set_list_known_at(now);
            call.since = now;
        }
        if !reader.is_within() {
            // Where a list is on its way, something has changed.
            service
                .process
                .shared_lists
                .discovery_confirmed(&service.name);
        }
    }
}

/// Takes in one object of a watch, and tells the fleet of it.
fn apply_line(service: &Rc<Service>, now: Micros, object: &[u8]) -> Result<(), String> {
    let listing: ListUpdate =
        serde_json::from_slice(object).map_err(|e| format!("makes no sense: {e}"))?;
    if listing.len() > MAX_LISTED_SERVERS {
        return Err(format!("lists {} servers", listing.len()));
    }
    let ask_within = service
        .active_settings()
        .site
        .settings
        .rules
        .max_poll_interval;
    let shared = &service.process.shared_lists;
    if listing.is_full_list()
        && !shared.accepts_from_discovery(&service.name, listing.version(), ask_within)
    {
        return Err(format!(
            "lists version {}, which is older than the fleet's",
            listing.version()
        ));
    }
    apply_update(service, now, listing);
    shared.discovery_updated(&service.name, service.pool.list_version(), || {
        service.pool.shared_text()
    });
    Ok(())
}

//! Calls to discovery, and the watch for endpoint list updates that an answered call becomes.

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
use madderloom_watchdog::{self as watchdog, Elapsed, TaskKind, timeout};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A watch that sends nothing for this long, not even a heartbeat, is closed and opened again. Discovery sends heartbeats every
/// 2 s; an instance is assumed to know a change after 6 s, whether or not the update has arrived.
const WATCH_STALL_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// If the response to a call has not started after this time, the call counts as unanswered and another one has to be made in
/// time. The first one stays open: discovery may just be overloaded, and would process the second call after the first.
const UNANSWERED_AFTER: Duration = Duration::from_millis(4_500);
/// An unanswered call is abandoned after this further time.
const UNANSWERED_CALL_TIMEOUT: Duration = Duration::from_secs(60);
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Switches to another discovery service. The current list stays in use until that service sends one. Its list versions are
/// unrelated to those of the former service, so the complete list is requested.
pub(super) fn switch_discovery(service: &Rc<Service>, discovery: SocketAddr) {
    let former = service.pool.set_discovery(discovery);
    let log_prefix = &service.log_prefix;
    tracing::info!(%discovery, "{log_prefix}configuration read again: discovery is at {discovery}");
    if former != Some(discovery) {
        service.pool.calls.abort_all();
        service.pool.reset_list_version();
        service.process.shared_lists.forget(&service.name);
        open_watch(service, true);
    }
}

/// Opens the watch at the request of the balancer, replacing an open one. A request must not be dropped: the balancer schedules no
/// other call until this one, or one that replaces it, has ended.
pub(super) fn poll_discovery(service: &Rc<Service>) {
    open_watch(service, true);
}

/// Calls discovery immediately on behalf of the fleet, unless this instance watches it already.
pub(super) fn call_for_fleet(service: &Rc<Service>) {
    if !service.pool.is_calling_discovery() && !service.is_draining() {
        open_watch(service, false);
    }
}

/// Closes the watch because enough other instances of the fleet watch discovery. It is called again when the lists that they
/// share become too old.
pub(super) fn stop_watching(service: &Rc<Service>) {
    if service.pool.is_calling_discovery() && !service.is_draining() {
        open_watch(service, true);
    }
}

fn open_watch(service: &Rc<Service>, is_delayed: bool) {
    // A static list needs no watch.
    let Some(discovery) = service.pool.discovery() else {
        return;
    };
    let id = service.pool.calls.next_id();
    let task_service = Rc::clone(service);
    let task = watchdog::spawn(TaskKind::DiscoveryWatch, async move {
        if is_delayed {
            wait_until_call_due(&task_service).await;
        }
        log_call(&task_service, is_delayed);
        task_service.pool.set_calling_discovery(true);
        let now = task_service.process.clock.now();
        task_service.handle(now, Event::DiscoveryUpdated(DiscoveryUpdate::CallStarted));
        let mut call = Call::begin(id, now);
        let Err(error) = watch(&task_service, discovery, &mut call).await;
        call_ended(&task_service, discovery, &call, &error);
    });
    service.pool.set_calling_discovery(false);
    service.process.shared_lists.watch_ended(&service.name);
    service.pool.calls.begin(id, task.abort_handle());
}

/// Delays a call to discovery for as long as the fleet shares recent lists.
async fn wait_until_call_due(service: &Service) {
    let max_poll_interval = service
        .active_settings()
        .site
        .settings
        .rules
        .max_poll_interval;
    // If no server is known, requests may be waiting for the list.
    let first_wait = if service.pool.has_servers() {
        first_discovery_wait(service.process.clock.uptime(), max_poll_interval)
    } else {
        0
    };
    service
        .process
        .shared_lists
        .wait_until_call_due(&service.name, max_poll_interval, first_wait)
        .await;
}

fn call_ended(service: &Rc<Service>, discovery: SocketAddr, call: &Call, error: &str) {
    service.pool.calls.ended(call.id);
    let now = service.process.clock.now();
    log_failure(service, discovery, error, call.started_at, now);
    if !call.is_unanswered {
        clear_calling(service);
    }
    if call.state != CallState::Abandoned {
        let failed = DiscoveryUpdate::CallFailed {
            list_known_at: call.list_known_at,
            waited: call.waited(now),
            connection_broken: call.state == CallState::AwaitingResponse,
        };
        service.handle(now, Event::DiscoveryUpdated(failed));
    }
}

/// Marks a call as unanswered and notifies the balancer that another one has to be made in time. The call stays open.
fn call_unanswered(service: &Rc<Service>, call: &mut Call) {
    call.is_unanswered = true;
    service.pool.calls.mark_unanswered(call.id);
    clear_calling(service);
    let now = service.process.clock.now();
    let log_prefix = &service.log_prefix;
    let lasted_ms = now.saturating_sub(call.started_at) / MICROS_PER_MILLISECOND;
    tracing::info!(
        lasted_ms,
        "{log_prefix}no response from discovery after {lasted_ms} ms; keeping the call open"
    );
    let call_started_at = call.started_at;
    service.handle(
        now,
        Event::DiscoveryUpdated(DiscoveryUpdate::CallUnanswered { call_started_at }),
    );
}

/// Handles the first list of a call: the call becomes the watch, and all other calls are aborted.
fn watch_opened(service: &Rc<Service>, call: &Call, now: Micros) {
    service.pool.calls.answered(call.id);
    // A call that was due while the response began has taken its place.
    service.pool.set_calling_discovery(true);
    service.handle(now, Event::DiscoveryUpdated(DiscoveryUpdate::WatchOpened));
    log_first_list(service, call.started_at, now);
}

/// Records that this instance no longer counts as calling or watching discovery.
fn clear_calling(service: &Service) {
    service.pool.set_calling_discovery(false);
    service.process.shared_lists.watch_ended(&service.name);
}

/// Logs why a call or its watch ended, how long it lasted, and the age of the list in use.
fn log_failure(
    service: &Service,
    discovery: SocketAddr,
    error: &str,
    started_at: Micros,
    now: Micros,
) {
    let log_prefix = &service.log_prefix;
    let lasted_ms = now.saturating_sub(started_at) / MICROS_PER_MILLISECOND;
    let list_age_ms = service.pool.list_age(now).unwrap_or(0) / MICROS_PER_MILLISECOND;
    tracing::warn!(
        %discovery,
        lasted_ms,
        list_age_ms,
        "{log_prefix}discovery at {discovery}: {error}, after {lasted_ms} ms; list is {list_age_ms} ms old"
    );
}

/// Logs that discovery is called, and why the call was not left to another instance of the fleet.
fn log_call(service: &Service, is_delayed: bool) {
    let log_prefix = &service.log_prefix;
    let shared_lists = &service.process.shared_lists;
    let waited_for_fleet = is_delayed && shared_lists.shares(&service.name);
    let evidence_age = shared_lists.evidence_age(&service.name);
    match evidence_age.map(|age| age / MICROS_PER_MILLISECOND) {
        _ if !waited_for_fleet => tracing::info!("{log_prefix}calling discovery: a call is due"),
        Some(age_ms) => tracing::info!(
            age_ms,
            "{log_prefix}calling discovery: the fleet last confirmed the list {age_ms} ms ago"
        ),
        None => tracing::info!("{log_prefix}calling discovery: no list from the fleet"),
    }
}

/// Logs when discovery is called next, how old the list is, and what the failed calls show of discovery.
pub(super) fn log_next_call(service: &Service, now: Micros, at: Micros) {
    let log_prefix = &service.log_prefix;
    let due_ms = at.saturating_sub(now) / MICROS_PER_MILLISECOND;
    let list_age_ms = service.pool.list_age(now).unwrap_or(0) / MICROS_PER_MILLISECOND;
    let diagnosis = service.discovery_diagnosis(now);
    tracing::info!(
        due_ms,
        list_age_ms,
        %diagnosis,
        "{log_prefix}next call to discovery in {due_ms} ms; discovery: {diagnosis}"
    );
}

/// Logs the first list of a call.
fn log_first_list(service: &Service, started_at: Micros, now: Micros) {
    let log_prefix = &service.log_prefix;
    let version = service.pool.list_version();
    let servers = service.pool.server_count();
    let lasted_ms = now.saturating_sub(started_at) / MICROS_PER_MILLISECOND;
    tracing::info!(
        version,
        servers,
        lasted_ms,
        "{log_prefix}discovery answered: list version {version}, {servers} servers, after {lasted_ms} ms"
    );
}

/// The progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// The connection is not established yet.
    Connecting,
    /// The connection is established, and no response has started.
    AwaitingResponse,
    /// No response started before the last timeout.
    Abandoned,
    /// Discovery has answered with another status than 200.
    Rejected,
    /// The response has started; its body is the watch.
    Streaming,
}

/// One call to discovery for the endpoint list.
struct Call {
    id: CallId,
    started_at: Micros,
    state: CallState,
    /// No response started for so long that another call was requested.
    is_unanswered: bool,
    /// When the connection to discovery was established.
    connected_at: Micros,
    /// Whether the call has returned a list.
    has_list: bool,
    /// The list of this time is known: the start of the call, and from its response on the last message of the watch.
    list_known_at: Micros,
}

impl Call {
    fn begin(id: CallId, now: Micros) -> Self {
        Call {
            id,
            started_at: now,
            state: CallState::Connecting,
            is_unanswered: false,
            connected_at: now,
            has_list: false,
            list_known_at: now,
        }
    }

    /// How long the call waited for a response, after the connection was established, until it failed.
    fn waited(&self, now: Micros) -> Micros {
        match self.state {
            CallState::AwaitingResponse | CallState::Rejected => {
                now.saturating_sub(self.connected_at)
            }
            CallState::Connecting | CallState::Abandoned | CallState::Streaming => 0,
        }
    }
}

/// Calls discovery and reads the watch until it ends.
async fn watch(
    service: &Rc<Service>,
    discovery: SocketAddr,
    call: &mut Call,
) -> Result<Infallible, String> {
    let pool = &service.pool;
    let stream = timeout(CONNECT_TIMEOUT, service.process.connect(discovery))
        .await
        .map_err(timed_out)?;
    let stream = stream.map_err(|e| e.to_string())?;
    call.connected_at = service.process.clock.now();
    call.state = CallState::AwaitingResponse;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
    let _connection_task =
        AbortOnDrop(watchdog::spawn(TaskKind::DiscoveryConnection, async move {
            // Errors are returned by the body that is read from the connection.
            let _ = connection.await;
        }));
    let request = Request::get(format!(
        "/v1/endpoints?watch=1&after={}",
        pool.list_version()
    ))
    .header(header::HOST, discovery.to_string())
    .body(Empty::<Bytes>::new())
    .map_err(|e| e.to_string())?;
    let response = wait_for_response(service, sender.send_request(request), call).await?;
    if response.status() != StatusCode::OK {
        call.state = CallState::Rejected;
        return Err(format!("answered {}", response.status()));
    }
    call.state = CallState::Streaming;
    if std::mem::take(&mut call.is_unanswered) {
        pool.set_calling_discovery(true);
    }
    read_updates(service, response.into_body(), call).await
}

/// Waits for the start of the response, at most until the last timeout.
async fn wait_for_response(
    service: &Rc<Service>,
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    call: &mut Call,
) -> Result<Response<Incoming>, String> {
    let mut response = std::pin::pin!(response);
    let in_time = timeout(UNANSWERED_AFTER, &mut response).await;
    let response = match in_time {
        Ok(response) => response,
        Err(_) => {
            call_unanswered(service, call);
            let late = timeout(UNANSWERED_CALL_TIMEOUT, response).await;
            late.map_err(|elapsed| {
                call.state = CallState::Abandoned;
                timed_out(elapsed)
            })?
        }
    };
    response.map_err(|e| e.to_string())
}

fn timed_out(_: Elapsed) -> String {
    "timed out".to_string()
}

async fn read_updates(
    service: &Rc<Service>,
    mut body: Incoming,
    call: &mut Call,
) -> Result<Infallible, String> {
    let mut reader = ListReader::default();
    loop {
        let frame = timeout(WATCH_STALL_TIMEOUT, body.frame())
            .await
            .map_err(timed_out)?;
        let frame = frame
            .ok_or("the watch has ended")?
            .map_err(|e| e.to_string())?;
        let now = service.process.clock.now();
        let was_within_object = reader.is_within_object();
        reader.push(frame.data_ref().map_or(&[], |d| d.as_ref()));
        while let Some(object) = reader.next()? {
            handle_update(service, now, &object)?;
            if !std::mem::replace(&mut call.has_list, true) {
                watch_opened(service, call, now);
            }
            // Each update costs time in proportion to the length of the list, and one frame may contain thousands of them.
            tokio::task::yield_now().await;
        }
        // While an object is incomplete, the changes since it began are unknown.
        if !was_within_object || !reader.is_within_object() {
            service.pool.set_list_known_at(now);
            call.list_known_at = now;
        }
        if !reader.is_within_object() {
            // An incomplete list means that something has changed.
            service
                .process
                .shared_lists
                .discovery_confirmed(&service.name);
        }
    }
}

/// Applies one update of the watch and shares the list with the fleet.
fn handle_update(service: &Rc<Service>, now: Micros, object: &[u8]) -> Result<(), String> {
    let update: ListUpdate =
        serde_json::from_slice(object).map_err(|e| format!("invalid endpoint list: {e}"))?;
    if update.len() > MAX_LISTED_SERVERS {
        return Err(format!(
            "the list has {} servers; the limit is {MAX_LISTED_SERVERS}",
            update.len()
        ));
    }
    let max_poll_interval = service
        .active_settings()
        .site
        .settings
        .rules
        .max_poll_interval;
    let shared = &service.process.shared_lists;
    if update.is_full_list()
        && !shared.accepts_from_discovery(&service.name, update.version(), max_poll_interval)
    {
        return Err(format!(
            "list version {} is older than the fleet's",
            update.version()
        ));
    }
    apply_update(service, now, update);
    shared.discovery_updated(&service.name, service.pool.list_version(), || {
        service.pool.shared_text()
    });
    Ok(())
}

//! Load probes: requests to a server for its load report.

use super::exchange::{self, CompleteBody, RequestMessage, ResponseReader};
use super::exchange_progress::ExchangeProgress;
use super::service::Service;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Method, StatusCode};
use madderloom_balancer::{Event, LoadReport, Micros, ServerId};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::future::Ready;
use std::rc::Rc;

/// Timeout of a probe. A report that takes longer is outdated.
const PROBE_TIMEOUT: Micros = 300_000;

/// Sends a probe and reports the result to the balancer.
pub(super) fn start(service: &Rc<Service>, server: ServerId) {
    let task_service = Rc::clone(service);
    watchdog::spawn(TaskKind::LoadProbe, async move {
        let report = task_service
            .process
            .timeout(PROBE_TIMEOUT, fetch_report(&task_service, server))
            .await
            .flatten();
        let now = task_service.process.clock.now();
        task_service.handle(now, Event::ProbeCompleted(server, report));
    });
}

async fn fetch_report(service: &Rc<Service>, server: ServerId) -> Option<LoadReport> {
    let address = service.pool.address(server)?;
    let mut message = RequestMessage::new(&Method::GET, "/status/load");
    message.add_header(
        &header::HOST,
        &HeaderValue::from_maybe_shared(Bytes::from(address.to_string())).ok()?,
    );
    message.finish(Bytes::new());
    let connection = service.connections.acquire(server, address).await.ok()?;
    let progress = ExchangeProgress::default();
    exchange::send(&connection.stream, &message, None::<Ready<()>>, &progress)
        .await
        .ok()?;
    let mut response = ResponseReader::default();
    let head = response.read_head(&connection.stream).await.ok()?;
    let CompleteBody { body, reusable } = response
        .read_complete_body(&service.process, &head, &connection.stream)
        .await
        .ok()?;
    service.connections.record_response(server);
    if reusable && progress.complete.get() {
        service.connections.release(connection);
    }
    std::str::from_utf8(&body)
        .ok()
        .filter(|_| head.status == StatusCode::OK)
        .and_then(parse_report)
}

/// Parses `TEXT inflight=7, queue=2, util=0.61`; unknown names are ignored.
fn parse_report(text: &str) -> Option<LoadReport> {
    let text = text.trim().strip_prefix("TEXT ")?;
    let value = |wanted: &str| {
        let mut pairs = text
            .split(',')
            .filter_map(|pair| pair.trim().split_once('='));
        let (_, value) = pairs.find(|(name, _)| *name == wanted)?;
        value
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite() && *v >= 0.0)
    };
    // The names of the protocol or those of the settings: some servers send the latter.
    let first_of = |name, alternative| value(name).or_else(|| value(alternative));
    let reported_in_flight = first_of("inflight", "rif").or_else(|| first_of("queue", "q"))?;
    Some(LoadReport {
        in_flight: reported_in_flight,
        errors_per_second: first_of("eps", "fail_rate").unwrap_or(0.0),
    })
}

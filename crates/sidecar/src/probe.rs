//! Load probes: a server is asked for its load report.

use super::exchange::{self, CompleteBody, RequestMessage, ResponseReader, SendProgress};
use super::service::Service;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Method, StatusCode};
use madderloom_balancer::{Event, LoadReport, Micros, ServerId};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::future::Ready;
use std::rc::Rc;

/// A server that has not answered by then has nothing to tell that is still true.
const WAIT: Micros = 300_000;

/// Asks, and tells the module what came back.
pub(super) fn start(service: &Rc<Service>, server: ServerId) {
    let own = Rc::clone(service);
    watchdog::spawn(TaskKind::LoadProbe, async move {
        let report = own.process.timeout(WAIT, ask(&own, server)).await.flatten();
        let now = own.process.clock.now();
        own.handle(now, Event::ProbeCompleted(server, report));
    });
}

async fn ask(service: &Rc<Service>, server: ServerId) -> Option<LoadReport> {
    let address = service.pool.address(server)?;
    let mut message = RequestMessage::new(&Method::GET, "/status/load");
    message.add_header(
        &header::HOST,
        &HeaderValue::from_maybe_shared(Bytes::from(address.to_string())).ok()?,
    );
    message.finish(Bytes::new());
    let mut lease = service.connections.acquire(server, address).await.ok()?;
    let progress = SendProgress::default();
    exchange::send(&lease.stream, &message, None::<Ready<()>>, &progress)
        .await
        .ok()?;
    let mut answer = ResponseReader::default();
    let head = answer.read_head(&mut lease.stream).await.ok()?;
    let CompleteBody { body, reusable } = answer
        .read_complete_body(&head, &mut lease.stream)
        .await
        .ok()?;
    service.connections.record_response(server);
    if reusable && progress.complete.get() {
        service.connections.release(lease);
    }
    std::str::from_utf8(&body)
        .ok()
        .filter(|_| head.status == StatusCode::OK)
        .and_then(report)
}

/// Reads `TEXT inflight=7, queue=2, util=0.61`; names that are not known are passed over.
fn report(text: &str) -> Option<LoadReport> {
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
    // The protocol's words, or those of the settings: nodes have been seen to use the latter.
    let either = |one, other| value(one).or_else(|| value(other));
    let held = either("inflight", "rif").or_else(|| either("queue", "q"))?;
    Some(LoadReport {
        in_flight: held,
        errors_per_second: either("eps", "fail_rate").unwrap_or(0.0),
    })
}

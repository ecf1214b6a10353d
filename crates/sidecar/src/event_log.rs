//! The event log: one line at log level `debug` for each thing that this instance does with servers and discovery, so that
//! the logs of a whole fleet can be evaluated together (`madderloom-lab count`). At any other level, a request costs only
//! the check of the level.
//!
//! | `what` | other fields |
//! | --- | --- |
//! | `start` | none: a pool has started to serve |
//! | `listed` | `server` with its `name`, `state`, `kind`, `started` |
//! | `request` | `request`, `class` |
//! | `send` | `request`, `server` |
//! | `probe` | `server` |
//! | `open` | `server`, `up`: the result of a connection attempt |
//! | `ended` | `request`, `server`, `outcome`, `us`: the duration of the attempt in microseconds |
//! | `refuse`, `fail` | `request` |
//! | `ask` | none: discovery is polled |
//!
//! `t` is the time in microseconds since 1970 on the sidecar's own clock. `server` is the server's id, which is the same at
//! every instance.

use super::service::Service;
use madderloom_balancer::{
    Action, AttemptResult, DiscoveryUpdate, Event, Micros, ServerEntry, ServerId,
};
use tracing::{Level, debug, enabled};

/// Logs that a pool has started to serve, with nothing measured yet.
pub(super) fn started(now: Micros) {
    debug!(t = now, what = "start", "start");
}

/// Logs an event that the balancer receives.
pub(super) fn event(service: &Service, now: Micros, event: &Event<'_>) {
    match event {
        // Names are looked up only if they are logged.
        Event::DiscoveryUpdated(
            DiscoveryUpdate::FullList(list) | DiscoveryUpdate::ListChanges(list),
        ) if enabled!(Level::DEBUG) => {
            for ServerEntry {
                server,
                state,
                kind,
                started_at: started,
                ..
            } in *list
            {
                let (name, started) = (service.pool.name(*server), started.unwrap_or(0));
                debug!(t = now, what = "listed", %server, %name, ?state, kind, started, "listed {name}: {state:?}");
            }
        }
        Event::RequestReceived(new) => {
            let (request, class) = (new.id, new.class);
            debug!(
                t = now,
                what = "request",
                request,
                class,
                "request {request}"
            );
        }
        Event::AttemptEnded(AttemptResult {
            request,
            server,
            outcome,
            elapsed: us,
            ..
        }) => {
            debug!(t = now, what = "ended", request, %server, ?outcome, us, "ended {request}: {outcome:?} after {us} us");
        }
        _ => {}
    }
}

/// Logs an action of the balancer.
pub(super) fn action(now: Micros, action: &Action) {
    match action {
        Action::Send {
            request, server, ..
        } => {
            debug!(t = now, what = "send", request, %server, "send {request}")
        }
        Action::Probe(server) => debug!(t = now, what = "probe", %server, "probe"),
        Action::Reject { request, .. } => {
            debug!(t = now, what = "refuse", request, "refuse {request}")
        }
        Action::Fail { request } => debug!(t = now, what = "fail", request, "fail {request}"),
        Action::PollDiscovery => debug!(t = now, what = "ask", "ask discovery"),
        _ => {}
    }
}

/// Logs the result of a connection attempt to a server.
pub(super) fn opened(now: Micros, server: ServerId, up: bool) {
    debug!(t = now, what = "open", %server, up, "open: up {up}");
}

//! The trail: what this instance does to servers and to discovery, a line each at the log's level `debug`, so that the
//! logs of a whole fleet can be counted together (`madderloom-lab count`). At any other level a request costs a look at
//! the level and nothing else.
//!
//! | `what` | the values beside it |
//! | --- | --- |
//! | `start` | none: a process has begun to serve |
//! | `listed` | `server` with its `name`, `state`, `kind`, `started` |
//! | `request` | `request`, `class` |
//! | `send` | `request`, `server` |
//! | `probe` | `server` |
//! | `open` | `server`, `up`: a connection was asked for, and whether it came up |
//! | `ended` | `request`, `server`, `outcome`, `us`: how long the attempt took |
//! | `refuse`, `fail` | `request` |
//! | `ask` | none |
//!
//! `t` is the time in microseconds since 1970 by the sidecar's own clock; a `server` is its id, the same at every
//! instance.

use super::service::Service;
use madderloom_balancer::{
    Action, AttemptResult, DiscoveryUpdate, Event, Micros, ServerEntry, ServerId,
};
use tracing::{Level, debug, enabled};

/// A pool has begun to serve, with nothing measured yet.
pub(super) fn started(now: Micros) {
    debug!(t = now, what = "start", "start");
}

/// What the module is told.
pub(super) fn event(service: &Service, now: Micros, event: &Event<'_>) {
    match event {
        // Names are looked up where they are written alone.
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

/// What the module has done.
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

/// A connection to a server was asked for.
pub(super) fn opened(now: Micros, server: ServerId, up: bool) {
    debug!(t = now, what = "open", %server, up, "open: up {up}");
}

//! The trail: what this instance does to servers and to discovery, a line each at the log's level `debug`, so that the
//! logs of a whole fleet can be counted together (`madderloom-lab count`). At any other level a request costs a look at
//! the level and nothing else.
//!
//! | `what` | the values beside it |
//! | --- | --- |
//! | `listed` | `server` with its `name`, `state`, `kind`, `started` |
//! | `request` | `class` |
//! | `send`, `probe` | `server` |
//! | `open` | `server`, `up`: a connection was asked for, and whether it came up |
//! | `ended` | `server`, `outcome`, `us`: how long the attempt took |
//! | `refuse`, `fail`, `ask` | none |
//!
//! `t` is the time in microseconds since 1970 by the sidecar's own clock; a `server` is its id, the same at every
//! instance.

use super::service::Service;
use madderloom_balancer::{Action, Event, Members, Micros, ServerId};

fn is_on() -> bool {
    tracing::enabled!(tracing::Level::DEBUG)
}

/// What the module is told.
pub(super) fn event(service: &Service, now: Micros, event: &Event<'_>) {
    if !is_on() {
        return;
    }
    match event {
        Event::Members(Members::Full(list) | Members::Changes(list)) => {
            for listed in *list {
                let (server, state, kind) = (listed.server.0, listed.state, listed.kind);
                let (name, started) = (service.pool.name(listed.server), listed.started.unwrap_or(0));
                tracing::debug!(t = now, what = "listed", server = %format_args!("{server:016x}"), %name, ?state, kind, started, "listed {name}: {state:?}");
            }
        }
        Event::Request(new) => {
            tracing::debug!(t = now, what = "request", class = new.class, "request {}", new.id);
        }
        Event::Closed(closed) => {
            let (server, outcome, us) = (closed.server.0, closed.outcome, closed.elapsed);
            tracing::debug!(t = now, what = "ended", server = %format_args!("{server:016x}"), ?outcome, us, "ended {}: {outcome:?} after {us} us", closed.request);
        }
        _ => {}
    }
}

/// What the module has done.
pub(super) fn action(now: Micros, action: &Action) {
    if !is_on() {
        return;
    }
    match action {
        Action::Send { request, server, .. } => {
            tracing::debug!(t = now, what = "send", server = %format_args!("{:016x}", server.0), "send {request}");
        }
        Action::Probe(server) => {
            tracing::debug!(t = now, what = "probe", server = %format_args!("{:016x}", server.0), "probe");
        }
        Action::Refuse { request, .. } => tracing::debug!(t = now, what = "refuse", "refuse {request}"),
        Action::Fail { request } => tracing::debug!(t = now, what = "fail", "fail {request}"),
        Action::Subscribe => tracing::debug!(t = now, what = "ask", "ask discovery"),
        _ => {}
    }
}

/// A connection to a server was asked for.
pub(super) fn opened(now: Micros, server: ServerId, up: bool) {
    if is_on() {
        tracing::debug!(t = now, what = "open", server = %format_args!("{:016x}", server.0), up, "open: up {up}");
    }
}

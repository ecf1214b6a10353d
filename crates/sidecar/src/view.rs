//! The JSON objects of the admin view: the process, its listeners, its pools and their servers, and the endpoint history.

use super::agent_link::AgentLink;
use super::counts::OutcomeCounts;
use super::fair_scheduler::charged_account;
use super::history_recorder::{HistoryRecorder, event_text};
use super::levels;
use super::limits::SharedLimit;
use super::listener::Listener;
use super::process_state::ProcessState;
use super::service::Service;
use madderloom_balancer::{Micros, Outcome, RetrySafety, ServerId, ServerState, ServerView};
use madderloom_endpoint_history::{Interval, LatencySketch, Recording, Subject, Timeline};
use madderloom_routing::shares::Held;
use madderloom_routing::turns::Spent;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The format version of the JSON objects.
const FORMAT_VERSION: u32 = 1;

/// The state of the process that the admin view reads.
#[derive(Clone)]
pub(super) struct AdminView {
    pub(super) process: Rc<ProcessState>,
    pub(super) agent_link: Rc<AgentLink>,
    pub(super) name: String,
}

impl AdminView {
    /// The pool with this name that is not draining.
    pub(super) fn pool(&self, name: &str) -> Option<Rc<Service>> {
        let services = self.process.services.borrow();
        services
            .iter()
            .find(|service| service.name == name && !service.is_draining())
            .cloned()
    }

    /// The state of the process: listeners, pools, servers, limits and counters.
    pub(super) fn status(&self) -> Value {
        let process = &self.process;
        let now = process.clock.now();
        let limits = &process.shared_limits;
        let [parked, served, servers] = process.connection_bytes();
        let timers = process.timers.stats();
        let long_polls = madderloom_watchdog::counts();
        let usage = |limit: &Rc<SharedLimit>| json!({"used": limit.used(), "total": limit.total()});
        json!({
            "version": FORMAT_VERSION,
            "name": self.name,
            "build": env!("CARGO_PKG_VERSION"),
            "up_us": process.clock.uptime(),
            "stopping": process.is_stopping(),
            "routes": process.route_count.get(),
            "files_read": process.operator_files_applied.get(),
            "control": self.agent_link.view(),
            "fleet_limits": process.fleet_limits.view(),
            "shared_lists": process.shared_lists.view(),
            "limits": {
                "client_connections": usage(&limits.client_connections),
                "server_connections": usage(&limits.server_connections),
                "open": usage(&limits.requests_by_pool),
                "bodies": usage(&limits.body_bytes_by_pool),
            },
            "state": process.state_writer.get().map(|writer| writer.view()),
            "connections": {
                "parked": process.client_connections.get() - process.active_client_connections.get(),
                "served": process.active_client_connections.get(),
                "held": {"parked": parked, "served": served, "servers": servers, "most": process.max_connection_bytes.get()},
            },
            "timers": {"set": timers.pending, "rung": timers.fired, "full_turns": timers.budget_exhausted_runs},
            "event_loop": {"busy_turns": long_polls.busy, "stalled_turns": long_polls.stalled},
            "listeners": process.listeners.borrow().iter().map(|l| listener(l)).collect::<Value>(),
            "pools": process.services.borrow().iter().map(|s| pool(s, now)).collect::<Value>(),
        })
    }
}

fn share_usage(usage: Held) -> Value {
    json!({
        "used": usage.used, "peak": usage.peak, "guaranteed": usage.part.guaranteed, "most": usage.part.most,
        "denied": usage.denied,
    })
}

fn counts(counts: &OutcomeCounts) -> Value {
    json!({
        "served": counts.served.get(), "late": counts.late.get(), "refused": counts.rejected.get(), "failed": counts.failed.get(),
        "turned_away": counts.rejected_by_limit.get(), "over_rate": counts.over_rate_limit.get(),
        "senseless": counts.client_errors.get(),
    })
}

fn lateness(counts: &OutcomeCounts) -> Value {
    let bounds = counts.lateness.counts();
    bounds
        .map(|(over_ms, requests)| json!({"over_ms": over_ms, "requests": requests}))
        .collect()
}

fn cpu_time(spent: Spent) -> Value {
    json!({"us": spent.nanos / 1_000, "waits": spent.waits})
}

fn listener(listener: &Listener) -> Value {
    json!({
        "name": *listener.name.borrow(),
        "address": listener.address.to_string(),
        "state": if listener.is_draining() { "leaving" } else { "serving" },
        "connections_taken": listener.clients.accepted(),
        "connections_ended": listener.clients.ends().collect::<BTreeMap<_, _>>(),
        "connections": {
            "parked": listener.clients.parked(), "served": listener.clients.active(), "woken": listener.clients.wakeups(),
        },
        "requests": {"senseless": listener.counts.client_errors.get()},
        "limits": {
            "connections": share_usage(listener.connection_limit.usage()),
            "open": share_usage(listener.request_limits.in_flight()),
            "bodies": share_usage(listener.request_limits.body_bytes()),
        },
        "thread": cpu_time(listener.cpu_time_used()),
    })
}

fn pool(service: &Service, now: Micros) -> Value {
    let snapshot = service.snapshot();
    let elapsed_since = |at: Micros| now.saturating_sub(at);
    let settings = service.active_settings();
    let classes = settings
        .class_slots
        .iter()
        .zip(&snapshot.classes)
        .filter(|(slot, _)| !slot.retired);
    let classes = classes.map(|(slot, seen)| {
        let class = &slot.entry;
        json!({
            "name": class.name,
            "effect": match class.retry_safety() {
                RetrySafety::Idempotent => "safe",
                RetrySafety::IdempotentWithKey { .. } => "keyed",
                RetrySafety::NonIdempotent => "unsafe",
            },
            "open": seen.in_flight, "usual_us": seen.service_time, "slow_us": seen.tail_latency, "delay": seen.latency_ratio,
            "served_per_s": seen.served_per_second, "refused_ago_us": seen.last_rejected.map(elapsed_since),
            "behind_deadline": lateness(&class.counts),
        })
    });
    let account =
        charged_account(&service.charged).map_or_else(Spent::default, |account| account.usage());
    json!({
        "name": service.name,
        "state": if service.is_draining() { "leaving" } else { "serving" },
        "ready": service.pool.has_servers(),
        "discovery": service.pool.discovery().map(|at| at.to_string()),
        "list_version": service.pool.list_version(),
        "classes": classes.collect::<Value>(),
        "servers": snapshot.servers.iter().map(|s| server(service, s, now)).collect::<Value>(),
        "requests": counts(&service.counts.total()),
        "unfinished_responses": service.counts.unfinished_responses.counts().collect::<BTreeMap<_, _>>(),
        "refused_for": service.counts.exhaustions.counts().collect::<BTreeMap<_, _>>(),
        "open": service.transactions.borrow().len(),
        "retry_budget": snapshot.retry_budget,
        "service_level": levels::view(service, now),
        "connections": {"idle": service.connections.idle_count(), "opened": service.connections.opened_count()},
        "limits": {
            "connections": share_usage(service.connections.slots.usage()),
            "open": share_usage(service.request_limits.in_flight()),
            "bodies": share_usage(service.request_limits.body_bytes()),
        },
        "thread": cpu_time(account),
    })
}

fn server(service: &Service, seen: &ServerView, now: Micros) -> Value {
    let listed = &seen.entry;
    let settings = service.active_settings();
    let zone = settings.site.zones.get(listed.zone as usize);
    let kind = settings.site.kinds.get(listed.kind as usize);
    let ejected = seen.ejected_until.map(|until| until.saturating_sub(now));
    json!({
        "name": service.pool.name(listed.server),
        "address": service.pool.address(listed.server).map(|address| address.to_string()),
        "zone": zone, "kind": kind, "cell": listed.cell, "capacity": listed.capacity,
        "state": match listed.state {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
            ServerState::Gone => "gone",
        },
        "share": seen.traffic_share, "out": seen.in_flight, "failures": seen.failure_score, "ejected_for_us": ejected,
        "warmth": seen.slow_start_factor, "last_answer_ago_us": now.saturating_sub(seen.last_response),
        "report": seen.last_probe.map(|(at, report)| json!({
            "ago_us": now.saturating_sub(at), "held": report.map(|r| r.in_flight), "errors_per_s": report.map(|r| r.errors_per_second),
        })),
    })
}

/// The length of the intervals in the recent summary of a server, which covers the current interval and the one before.
const RECENT_INTERVAL_US: Micros = 60_000_000;

impl AdminView {
    /// All listed servers, and those that have left but still have a history, each with a summary of its recent attempts.
    pub(super) fn servers(&self) -> Value {
        let now = self.process.clock.now();
        let services = self.process.services.borrow();
        let rows = services.iter().flat_map(|service| {
            let snapshot = service.snapshot();
            let recorder = service.history_recorder.borrow();
            let history = recorder.as_deref();
            let mut rows: Vec<Value> = snapshot
                .servers
                .iter()
                .map(|seen| server_row(service, seen, history, now))
                .collect();
            if let Some(recorder) = history {
                let left = recorder
                    .history
                    .known_endpoints()
                    .filter_map(|known| Some((known.server, known.left_at?)));
                rows.extend(
                    left.map(|(id, at)| left_row(service, recorder, id, now.saturating_sub(at))),
                );
            }
            rows
        });
        let rows: Vec<Value> = rows.collect();
        let is_recording = self.records_history();
        let shared = services.iter().flat_map(|service| {
            let recorder = service.history_recorder.borrow();
            let history = recorder.as_deref();
            let all = history.into_iter().flat_map(|recorder| {
                let all = recorder.history.active_anomalies().filter(|d| !matches!(d.subject, Subject::Endpoint(_)));
                all.map(|d| json!({"pool": service.name, "departure": d, "text": recorder.describe(service, d)}))
            });
            all.collect::<Vec<Value>>()
        });
        json!({
            "version": FORMAT_VERSION, "name": self.name, "now_us": now, "timelines": is_recording,
            "servers": rows, "shared": shared.collect::<Vec<Value>>(),
        })
    }

    /// Whether any pool records the history of its servers.
    pub(super) fn records_history(&self) -> bool {
        self.process
            .services
            .borrow()
            .iter()
            .any(|service| service.history_recorder.borrow().is_some())
    }

    /// The histories of the servers with this name, one for each pool that has such a server; only that of `pool` where given.
    pub(super) fn histories(&self, name: &str, pool: Option<&str>) -> Vec<Value> {
        let now = self.process.clock.now();
        let services = self.process.services.borrow();
        let found = services
            .iter()
            .filter(|service| pool.is_none_or(|pool| service.name == pool));
        let found = found.filter_map(|service| {
            let recorder = service.history_recorder.borrow();
            let recorder = recorder.as_deref()?;
            let id = recorder.server_id(name)?;
            let timeline = recorder.history.timeline(id)?;
            let snapshot = service.snapshot();
            let seen = snapshot.servers.iter().find(|seen| seen.entry.server == id);
            let left = recorder.history.known_endpoints().find(|endpoint| endpoint.server == id).and_then(|endpoint| endpoint.left_at);
            let mut row = match seen {
                Some(seen) => server_row(service, seen, Some(recorder), now),
                None => {
                    let ago = now.saturating_sub(left.unwrap_or(now));
                    left_row(service, recorder, id, ago)
                }
            };
            let notes = timeline.events().map(|note| {
                let (event, text) = event_text(&note.event);
                json!({"at_us": note.first_at, "last_us": note.last_at, "times": note.count, "event": event, "text": text})
            });
            row["now_us"] = now.into();
            row["notes"] = notes.collect();
            row["steps"] = timeline.finest_entries().iter().map(|entry| interval_view(entry.width, &entry.interval)).collect();
            let evidence = recorder.history.evidence().find(|evidence| evidence.server == id);
            row["evidence"] = json!(evidence);
            row["recording"] = json!(Recording::of(name, timeline));
            Some(row)
        });
        found.collect()
    }

    /// The retained events from this number on, of all pools.
    pub(super) fn events(&self, after: u64) -> Vec<u8> {
        let admin_events = &self.process.admin_events;
        let (oldest, lines) = admin_events.events_from(after);
        let mut body = format!(
            "{{\"version\":{FORMAT_VERSION},\"oldest\":{oldest},\"next\":{},\"events\":[",
            admin_events.next_number()
        );
        let lines: Vec<&str> = lines
            .iter()
            .filter_map(|l| std::str::from_utf8(l).ok())
            .map(str::trim_end)
            .collect();
        body += &lines.join(",");
        body += "]}";
        body.into_bytes()
    }
}

fn server_row(
    service: &Service,
    seen: &ServerView,
    recorder: Option<&HistoryRecorder>,
    now: Micros,
) -> Value {
    let mut row = server(service, seen, now);
    row["pool"] = service.name.as_str().into();
    if let Some(recorder) = recorder {
        add_history(&mut row, service, recorder, seen.entry.server);
    }
    row
}

fn left_row(service: &Service, recorder: &HistoryRecorder, id: ServerId, ago: Micros) -> Value {
    let known = recorder.last_listing(id);
    let settings = service.active_settings();
    let zone = known.and_then(|(listed, _)| settings.site.zones.get(listed.zone as usize));
    let kind = known.and_then(|(listed, _)| settings.site.kinds.get(listed.kind as usize));
    let mut row = json!({
        "name": recorder.name(id), "pool": service.name, "state": "left", "left_ago_us": ago,
        "address": known.and_then(|(_, address)| address).map(|address| address.to_string()), "zone": zone, "kind": kind,
    });
    add_history(&mut row, service, recorder, id);
    row
}

fn add_history(row: &mut Value, service: &Service, recorder: &HistoryRecorder, id: ServerId) {
    if let Some(timeline) = recorder.history.timeline(id) {
        row["lately"] = recent_summary(timeline);
    }
    let own = recorder
        .history
        .active_anomalies()
        .filter(|d| d.subject == Subject::Endpoint(id));
    row["departures"] = own
        .map(|d| json!({"departure": d, "text": recorder.describe(service, d)}))
        .collect::<Vec<Value>>()
        .into();
}

/// Counts of the outcomes in the most recent intervals, and the latency quantiles of the served attempts.
fn recent_summary(timeline: &Timeline) -> Value {
    let mut steps: Vec<&Interval> = timeline.intervals(RECENT_INTERVAL_US).collect();
    let steps = steps.split_off(steps.len().saturating_sub(2));
    let sum = |outcomes: &[Outcome]| -> u64 {
        steps
            .iter()
            .flat_map(|step| outcomes.iter().map(|o| u64::from(step.ended(*o))))
            .sum()
    };
    let mut latency = LatencySketch::default();
    steps
        .iter()
        .filter_map(|step| step.latencies.as_ref())
        .for_each(|part| latency.merge(part));
    json!({
        "from_us": steps.first().map(|step| step.start),
        "served": sum(&[Outcome::Ok]),
        "lost": sum(&[Outcome::Error, Outcome::Timeout, Outcome::Reset]),
        "refused": sum(&[Outcome::Full, Outcome::ConnectFailed]),
        "turned_away": steps.iter().map(|step| u64::from(step.rejected_requests)).sum::<u64>(),
        "p50_us": latency.quantile(0.5), "p99_us": latency.quantile(0.99),
    })
}

fn interval_view(width: Micros, step: &Interval) -> Value {
    let served = step.ended(Outcome::Ok);
    let quantile = |part: f64| {
        step.latencies
            .as_ref()
            .and_then(|latency| latency.quantile(part))
    };
    json!({
        "from_us": step.start, "width_us": width,
        "served": served, "error": step.ended(Outcome::Error), "full": step.ended(Outcome::Full),
        "timeout": step.ended(Outcome::Timeout), "connect_failed": step.ended(Outcome::ConnectFailed),
        "reset": step.ended(Outcome::Reset), "cancelled": step.ended(Outcome::Cancelled),
        "moot": step.ended(Outcome::Moot),
        "mean_us": step.latency_sum.checked_div(u64::from(served)),
        "p50_us": quantile(0.5), "p99_us": quantile(0.99),
        "most_out": step.max_in_flight, "region": step.region_fraction, "turned_away": step.rejected_requests,
        "reported": step.reported.map(|load| json!({"held": load.held, "age_us": load.age})),
    })
}

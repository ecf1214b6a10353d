//! Records the endpoint history of a service's servers, and publishes its events to the admin view.

use super::admin_events::{AdminEvent, AdminEvents};
use super::service::Service;
use foldhash::quality::FixedState;
use madderloom_balancer::{
    AttemptResult, DiscoveryUpdate, LogEvent, Micros, Outcome, RequestId, ServerEntry, ServerId,
    ServerState, Snapshot,
};
use madderloom_endpoint_history::{
    Anomaly, AnomalyPhase, CompletedAttempt, EndpointEvent, EndpointGauges, EndpointHistory,
    ListedEndpoint, ReportedLoad, Settings, Subject, WaitingAttempt,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// The number of samples over which the mean cost hint of a class is averaged.
const COST_HINT_SAMPLES: f64 = 1_000.0;
/// How many in-flight attempts of a server are checked: the oldest show that the server does not respond.
const MAX_CHECKED_ATTEMPTS: usize = 64;

/// An attempt that ended, with data that the balancer does not get.
pub(super) struct EndedAttempt {
    pub(super) result: AttemptResult,
    pub(super) class: u32,
    pub(super) cost_hint: Option<Micros>,
    pub(super) sent_at: Micros,
}

/// A server as it was last listed.
struct RecordedServer {
    name: Box<str>,
    listed: ServerEntry,
    address: Option<SocketAddr>,
    is_ejected: bool,
    /// The classes of its in-flight attempts, oldest first.
    in_flight: BTreeMap<(Micros, RequestId, u32), u32>,
}

/// Records the history of a service's servers.
pub(super) struct HistoryRecorder {
    pub(super) history: EndpointHistory,
    settings: Settings,
    pool: Rc<str>,
    /// How long a started server warms up at most.
    slow_start_window: Micros,
    /// Listed servers, and servers that have left but still have a history.
    servers: HashMap<ServerId, RecordedServer, FixedState>,
    minute: u16,
    /// For each class, the mean cost hint and the number of samples behind it.
    cost_hints: Vec<(f64, f64)>,
}

impl HistoryRecorder {
    pub(super) fn new(pool: &str, settings: Settings, slow_start_window: Micros) -> Self {
        HistoryRecorder {
            history: EndpointHistory::new(settings),
            settings,
            pool: pool.into(),
            slow_start_window,
            servers: HashMap::default(),
            minute: 0,
            cost_hints: Vec::new(),
        }
    }

    pub(super) fn reconfigure(&mut self, now: Micros, settings: Settings) {
        if settings != self.settings {
            self.settings = settings;
            self.history.reconfigure(now, settings);
        }
    }

    /// The name of a listed or recorded server; its id where it is neither.
    pub(super) fn name(&self, id: ServerId) -> Box<str> {
        self.servers
            .get(&id)
            .map_or_else(|| id.to_string().into(), |server| server.name.clone())
    }

    /// The last list entry of a server and its last address.
    pub(super) fn last_listing(&self, id: ServerId) -> Option<(&ServerEntry, Option<SocketAddr>)> {
        self.servers
            .get(&id)
            .map(|server| (&server.listed, server.address))
    }

    /// The id of the listed or recorded server with this name.
    pub(super) fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers
            .iter()
            .find(|(_, server)| *server.name == *name)
            .map(|(id, _)| *id)
    }

    /// Records a server list or changes to it.
    pub(super) fn record_server_list(
        &mut self,
        service: &Service,
        now: Micros,
        update: &DiscoveryUpdate<'_>,
    ) {
        let (listed, full) = match update {
            DiscoveryUpdate::FullList(listed) => (*listed, true),
            DiscoveryUpdate::ListChanges(listed) => (*listed, false),
            DiscoveryUpdate::CallFailed { .. }
            | DiscoveryUpdate::CallUnanswered { .. }
            | DiscoveryUpdate::CallStarted
            | DiscoveryUpdate::WatchOpened => return,
        };
        // The first list contains no changes.
        let is_first = self.servers.is_empty();
        if full {
            let present: BTreeSet<ServerId> = listed.iter().map(|server| server.server).collect();
            let missing: Vec<ServerId> = self
                .servers
                .keys()
                .filter(|id| !present.contains(id))
                .copied()
                .collect();
            missing
                .into_iter()
                .for_each(|id| self.server_left(service, now, id));
        }
        for server in listed {
            match server.state {
                ServerState::Gone => self.server_left(service, now, server.server),
                _ => self.server_listed(service, now, server, is_first),
            }
        }
    }

    fn server_listed(
        &mut self,
        service: &Service,
        now: Micros,
        listed: &ServerEntry,
        is_first: bool,
    ) {
        let id = listed.server;
        let address = service.pool.address(id);
        let former = self
            .servers
            .get(&id)
            .map(|server| (server.listed, server.address));
        let was_gone = former.is_some_and(|(former, _)| former.state == ServerState::Gone);
        let restarted = former.is_some_and(|(former, _)| listed.started_at > former.started_at);
        let warming_up_until = listed
            .started_at
            .map_or(0, |at| at.saturating_add(self.slow_start_window));
        let endpoint = ListedEndpoint {
            zone: listed.zone,
            machine_kind: listed.kind,
            restarted,
            warming_up_until,
        };
        self.history.endpoint_listed(now, id, endpoint);
        let server = self.servers.entry(id).or_insert_with(|| RecordedServer {
            name: service.pool.name(id),
            listed: *listed,
            address,
            is_ejected: false,
            in_flight: BTreeMap::new(),
        });
        (server.listed, server.address) = (*listed, address);
        if (former.is_none() || was_gone) && !is_first {
            self.publish(service, now, id, "joined", "is listed");
        }
        if restarted {
            self.publish(service, now, id, "restarted", "has started anew");
        }
        let was_draining = former.is_some_and(|(former, _)| former.state == ServerState::Draining);
        match (was_draining, listed.state == ServerState::Draining) {
            (false, true) => self.record_event(service, now, id, EndpointEvent::Draining),
            (true, false) => self.record_event(service, now, id, EndpointEvent::Ready),
            _ => {}
        }
        // Another server that had this address has lost it.
        let moved = former.is_none_or(|(_, at)| at != address);
        if moved && let Some(address) = address {
            let former = self
                .servers
                .iter()
                .find(|(other, server)| **other != id && server.address == Some(address));
            if let Some(former) = former.map(|(other, _)| *other) {
                self.record_event(service, now, former, EndpointEvent::AddressTaken);
                if let Some(server) = self.servers.get_mut(&former) {
                    server.address = None;
                }
            }
        }
    }

    fn server_left(&mut self, service: &Service, now: Micros, id: ServerId) {
        let Some(server) = self
            .servers
            .get_mut(&id)
            .filter(|server| server.listed.state != ServerState::Gone)
        else {
            return;
        };
        server.listed.state = ServerState::Gone;
        server.is_ejected = false;
        self.history.endpoint_left(now, id);
        self.publish(service, now, id, "left", "is gone from the list");
    }

    /// Records an event that the balancer logged.
    pub(super) fn record_log_event(&mut self, service: &Service, now: Micros, event: LogEvent) {
        let (id, recorded) = match event {
            LogEvent::ServerEjected(id, outcome) => (id, EndpointEvent::Ejected(outcome)),
            LogEvent::ServerRestored(id) => (id, EndpointEvent::Restored),
            LogEvent::ClassOverloaded(_) | LogEvent::DiscoveryFailed => return,
        };
        if let Some(server) = self.servers.get_mut(&id) {
            server.is_ejected = matches!(recorded, EndpointEvent::Ejected(_));
        }
        self.record_event(service, now, id, recorded);
    }

    fn record_event(&mut self, service: &Service, now: Micros, id: ServerId, event: EndpointEvent) {
        let (name, text) = event_text(&event);
        self.history.record_event(now, id, event);
        self.publish(service, now, id, name, &text);
    }

    fn publish(&self, service: &Service, now: Micros, id: ServerId, event: &str, text: &str) {
        let server = self.name(id);
        let text = format!("{server} {text}");
        service.process.admin_events.push(AdminEvent {
            at: now,
            pool: &self.pool,
            server: Some(&server),
            event,
            text: &text,
        });
    }

    /// Records that an attempt was sent.
    pub(super) fn record_attempt_start(
        &mut self,
        service: &Service,
        now: Micros,
        id: ServerId,
        (request, attempt): (RequestId, u32),
        class: u32,
    ) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.in_flight.insert((now, request, attempt), class);
        // An ejected server gets only trial requests.
        if server.is_ejected {
            self.record_event(service, now, id, EndpointEvent::TrialSent);
        }
    }

    /// Records the result of an attempt.
    pub(super) fn record_attempt_end(&mut self, now: Micros, ended: &EndedAttempt) {
        let AttemptResult {
            request,
            attempt,
            server,
            outcome,
            elapsed,
            ..
        } = ended.result;
        if let Some(recorded) = self.servers.get_mut(&server) {
            recorded
                .in_flight
                .remove(&(ended.sent_at, request, attempt));
        }
        let relative_size = self.relative_size(ended.class, ended.cost_hint);
        let completed = CompletedAttempt {
            server,
            class: ended.class,
            outcome,
            elapsed,
            relative_size,
        };
        self.history.record_attempt(now, self.minute, &completed);
    }

    /// A request's cost hint relative to the mean cost hint of its class.
    fn relative_size(&mut self, class: u32, cost_hint: Option<Micros>) -> f64 {
        let Some(cost_hint) = cost_hint else {
            return 1.0;
        };
        let index = class as usize;
        if self.cost_hints.len() <= index {
            self.cost_hints.resize(index + 1, (0.0, 0.0));
        }
        let (mean, weight) = &mut self.cost_hints[index];
        let size = if *weight > 0.0 && *mean > 0.0 {
            cost_hint as f64 / *mean
        } else {
            1.0
        };
        *weight = (*weight + 1.0).min(COST_HINT_SAMPLES);
        *mean += (cost_hint as f64 - *mean) / *weight;
        size
    }

    /// Records the requests in flight that a server reported.
    pub(super) fn record_load_report(&mut self, now: Micros, id: ServerId, reported: f64) {
        let in_flight = self
            .servers
            .get(&id)
            .map_or(0, |server| server.in_flight.len());
        self.history.record_load_report(
            now,
            id,
            reported,
            u32::try_from(in_flight).unwrap_or(u32::MAX),
        );
    }

    /// Records a request that ended unserved; `id` is the last server that had it.
    pub(super) fn record_rejection(&mut self, now: Micros, id: ServerId) {
        self.history.record_rejection(now, id);
    }

    /// Samples all servers, and reports anomalies. To be called once a second.
    pub(super) fn sample(
        &mut self,
        service: &Service,
        now: Micros,
        minute: u16,
        snapshot: &Snapshot,
    ) {
        self.minute = minute;
        for view in &snapshot.servers {
            let id = view.entry.server;
            let reported = view.last_probe.and_then(|(at, report)| {
                Some(ReportedLoad {
                    held: report?.in_flight,
                    age: now.saturating_sub(at),
                })
            });
            let in_flight = u32::try_from(view.in_flight).unwrap_or(u32::MAX);
            self.history.record_gauges(
                now,
                id,
                EndpointGauges {
                    in_flight,
                    region_fraction: view.traffic_share,
                    reported,
                },
            );
            if let Some(server) = self.servers.get(&id) {
                let oldest = server.in_flight.iter().take(MAX_CHECKED_ATTEMPTS);
                let waiting = oldest.map(|((sent, ..), class)| WaitingAttempt {
                    class: *class,
                    age: now.saturating_sub(*sent),
                });
                self.history.check_waiting_attempts(now, id, waiting);
            }
        }
        for anomaly in self.history.poll_anomalies(now) {
            self.report_anomaly(service, &anomaly);
        }
        let recorded: BTreeSet<ServerId> = self
            .history
            .known_endpoints()
            .map(|known| known.server)
            .collect();
        self.servers
            .retain(|id, server| server.listed.state != ServerState::Gone || recorded.contains(id));
    }

    /// Describes an anomaly in one line, with the names of its subject and class.
    pub(super) fn describe(&self, service: &Service, anomaly: &Anomaly) -> String {
        let name = match anomaly.subject {
            Subject::Endpoint(id) => self.name(id).into_string(),
            Subject::Zone(zone) => service
                .active_settings()
                .site
                .zones
                .get(zone as usize)
                .cloned()
                .unwrap_or_else(|| zone.to_string()),
            Subject::Fleet => String::new(),
        };
        let settings = service.active_settings();
        let class = anomaly.class.and_then(|class| settings.class_at(class));
        anomaly.describe(&name, class.map(|class| class.name.as_str()))
    }

    fn report_anomaly(&self, service: &Service, anomaly: &Anomaly) {
        let text = self.describe(service, anomaly);
        let prefix = &service.log_prefix;
        let (event_name, is_active) = match anomaly.phase {
            AnomalyPhase::Raised => ("raised", true),
            AnomalyPhase::Updated => ("updated", true),
            AnomalyPhase::Cleared => ("cleared", false),
        };
        if is_active {
            tracing::warn!(number = anomaly.number, "{prefix}{text}");
        } else {
            tracing::info!(number = anomaly.number, "{prefix}{text}");
        }
        let server = match anomaly.subject {
            Subject::Endpoint(id) => Some(self.name(id)),
            Subject::Zone(_) | Subject::Fleet => None,
        };
        let event = AdminEvent {
            at: anomaly.reported_at,
            pool: &self.pool,
            server: server.as_deref(),
            event: event_name,
            text: &text,
        };
        service
            .process
            .admin_events
            .push_with_details(event, &json!({"departure": anomaly}));
    }
}

/// The event name for programs, and the text for people that follows the server's name.
pub(super) fn event_text(event: &EndpointEvent) -> (&'static str, String) {
    match event {
        EndpointEvent::Joined => ("joined", "is listed".to_string()),
        EndpointEvent::Restarted => ("restarted", "has started anew".to_string()),
        EndpointEvent::AddressTaken => (
            "address_taken",
            "has lost its address to another server".to_string(),
        ),
        EndpointEvent::Draining => ("draining", "drains".to_string()),
        EndpointEvent::Ready => ("ready", "takes new work again".to_string()),
        EndpointEvent::Left => ("left", "is gone from the list".to_string()),
        EndpointEvent::Ejected(outcome) => (
            "ejected",
            format!(
                "is ejected, since attempts there {}",
                outcome_text(*outcome)
            ),
        ),
        EndpointEvent::TrialSent => ("trial", "is sent a request on trial".to_string()),
        EndpointEvent::Restored => ("restored", "is trusted again after its trial".to_string()),
        EndpointEvent::AnomalyRaised(number) => (
            "raised",
            format!("departs from its usual (number {number})"),
        ),
        EndpointEvent::AnomalyCleared(number) => {
            ("cleared", format!("is as usual again (number {number})"))
        }
    }
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "were served",
        Outcome::Error => "ended with errors",
        Outcome::Full => "were turned away",
        Outcome::Timeout => "timed out",
        Outcome::ConnectFailed => "made no connection",
        Outcome::Reset => "broke",
        Outcome::Cancelled => "were called off",
        Outcome::Moot => "were never sent",
    }
}

impl AdminEvents {
    /// Adds an event without details.
    pub(super) fn push(&self, event: AdminEvent<'_>) {
        self.push_with_details(event, &json!({}));
    }
}

#[cfg(test)]
#[path = "history_event_text_tests.rs"]
mod history_event_text_tests;

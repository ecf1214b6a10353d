//! What tells the story of a service's servers what happens to them, and what is said of it to whoever follows.

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

/// The mean of clients' guesses of a class's work rests on about so many of them.
const GUESSES: f64 = 1_000.0;
/// Attempts that are out at a server are looked at up to so many: the oldest tell of silence.
const LOOKED_AT: usize = 64;

/// An attempt that ended, with what the module is not told of it.
pub(super) struct EndedAttempt {
    pub(super) result: AttemptResult,
    pub(super) class: u32,
    pub(super) cost_hint: Option<Micros>,
    pub(super) sent_at: Micros,
}

/// A server as it was last listed.
struct Known {
    name: Box<str>,
    listed: ServerEntry,
    address: Option<SocketAddr>,
    is_ejected: bool,
    /// Attempts that are out there, the oldest first, with their classes.
    out: BTreeMap<(Micros, RequestId, u32), u32>,
}

/// Keeps the story of a service's servers.
pub(super) struct HistoryRecorder {
    pub(super) history: EndpointHistory,
    settings: Settings,
    pool: Rc<str>,
    /// How long a server that has started is cold at most.
    cold: Micros,
    /// Those that are listed, and those that are remembered.
    servers: HashMap<ServerId, Known, FixedState>,
    minute: u16,
    /// For each class the mean of its guesses, and how many it rests on.
    guesses: Vec<(f64, f64)>,
}

impl HistoryRecorder {
    pub(super) fn new(pool: &str, settings: Settings, cold: Micros) -> Self {
        HistoryRecorder {
            history: EndpointHistory::new(settings),
            settings,
            pool: pool.into(),
            cold,
            servers: HashMap::default(),
            minute: 0,
            guesses: Vec::new(),
        }
    }

    pub(super) fn reconfigure(&mut self, now: Micros, settings: Settings) {
        if settings != self.settings {
            self.settings = settings;
            self.history.reconfigure(now, settings);
        }
    }

    /// The name of a server that is listed or remembered.
    pub(super) fn name(&self, id: ServerId) -> Box<str> {
        self.servers
            .get(&id)
            .map_or_else(|| id.to_string().into(), |known| known.name.clone())
    }

    /// Where a server is, or was last, and how it was listed.
    pub(super) fn last_listing(&self, id: ServerId) -> Option<(&ServerEntry, Option<SocketAddr>)> {
        self.servers
            .get(&id)
            .map(|known| (&known.listed, known.address))
    }

    /// The server of a name, if it is listed or remembered.
    pub(super) fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers
            .iter()
            .find(|(_, known)| *known.name == *name)
            .map(|(id, _)| *id)
    }

    /// The list of servers, or changes of it.
    pub(super) fn record_server_list(
        &mut self,
        service: &Service,
        now: Micros,
        members: &DiscoveryUpdate<'_>,
    ) {
        let (listed, full) = match members {
            DiscoveryUpdate::FullList(listed) => (*listed, true),
            DiscoveryUpdate::ListChanges(listed) => (*listed, false),
            DiscoveryUpdate::CallFailed { .. }
            | DiscoveryUpdate::CallUnanswered { .. }
            | DiscoveryUpdate::WatchOpened => return,
        };
        // The first list tells of nothing that happened.
        let is_first = self.servers.is_empty();
        if full {
            let there: BTreeSet<ServerId> = listed.iter().map(|server| server.server).collect();
            let gone: Vec<ServerId> = self
                .servers
                .keys()
                .filter(|id| !there.contains(id))
                .copied()
                .collect();
            gone.into_iter().for_each(|id| self.left(service, now, id));
        }
        for server in listed {
            match server.state {
                ServerState::Gone => self.left(service, now, server.server),
                _ => self.arrived(service, now, server, is_first),
            }
        }
    }

    fn arrived(&mut self, service: &Service, now: Micros, listed: &ServerEntry, is_first: bool) {
        let id = listed.server;
        let address = service.pool.address(id);
        let former = self
            .servers
            .get(&id)
            .map(|known| (known.listed, known.address));
        let is_back = former.is_some_and(|(former, _)| former.state == ServerState::Gone);
        let restarted = former.is_some_and(|(former, _)| listed.started_at > former.started_at);
        let warming_up_until = listed
            .started_at
            .map_or(0, |at| at.saturating_add(self.cold));
        let arrival = ListedEndpoint {
            zone: listed.zone,
            machine_kind: listed.kind,
            restarted,
            warming_up_until,
        };
        self.history.endpoint_listed(now, id, arrival);
        let known = self.servers.entry(id).or_insert_with(|| Known {
            name: service.pool.name(id),
            listed: *listed,
            address,
            is_ejected: false,
            out: BTreeMap::new(),
        });
        (known.listed, known.address) = (*listed, address);
        if (former.is_none() || is_back) && !is_first {
            self.say(service, now, id, "joined", "is listed");
        }
        if restarted {
            self.say(service, now, id, "restarted", "has started anew");
        }
        let was_draining = former.is_some_and(|(former, _)| former.state == ServerState::Draining);
        match (was_draining, listed.state == ServerState::Draining) {
            (false, true) => self.happened(service, now, id, EndpointEvent::Draining),
            (true, false) => self.happened(service, now, id, EndpointEvent::Ready),
            _ => {}
        }
        // Whoever was found there before is not any more.
        let moved = former.is_none_or(|(_, at)| at != address);
        if moved && let Some(address) = address {
            let former = self
                .servers
                .iter()
                .find(|(other, known)| **other != id && known.address == Some(address));
            if let Some(former) = former.map(|(other, _)| *other) {
                self.happened(service, now, former, EndpointEvent::AddressTaken);
                if let Some(known) = self.servers.get_mut(&former) {
                    known.address = None;
                }
            }
        }
    }

    fn left(&mut self, service: &Service, now: Micros, id: ServerId) {
        let Some(known) = self
            .servers
            .get_mut(&id)
            .filter(|known| known.listed.state != ServerState::Gone)
        else {
            return;
        };
        known.listed.state = ServerState::Gone;
        known.is_ejected = false;
        self.history.endpoint_left(now, id);
        self.say(service, now, id, "left", "is gone from the list");
    }

    /// The module wrote a line for the operators.
    pub(super) fn record_log_event(&mut self, service: &Service, now: Micros, note: LogEvent) {
        let (id, what) = match note {
            LogEvent::ServerEjected(id, outcome) => (id, EndpointEvent::Ejected(outcome)),
            LogEvent::ServerRestored(id) => (id, EndpointEvent::Restored),
            LogEvent::ClassOverloaded(_) | LogEvent::DiscoveryFailed => return,
        };
        if let Some(known) = self.servers.get_mut(&id) {
            known.is_ejected = matches!(what, EndpointEvent::Ejected(_));
        }
        self.happened(service, now, id, what);
    }

    fn happened(&mut self, service: &Service, now: Micros, id: ServerId, what: EndpointEvent) {
        let (name, text) = event_text(&what);
        self.history.record_event(now, id, what);
        self.say(service, now, id, name, &text);
    }

    fn say(&self, service: &Service, now: Micros, id: ServerId, event: &str, text: &str) {
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

    /// An attempt was sent.
    pub(super) fn record_attempt_start(
        &mut self,
        service: &Service,
        now: Micros,
        id: ServerId,
        (request, attempt): (RequestId, u32),
        class: u32,
    ) {
        let Some(known) = self.servers.get_mut(&id) else {
            return;
        };
        known.out.insert((now, request, attempt), class);
        // It gets nothing while it is ejected but on trial.
        if known.is_ejected {
            self.happened(service, now, id, EndpointEvent::TrialSent);
        }
    }

    /// An attempt ended.
    pub(super) fn record_attempt_end(&mut self, now: Micros, ended: &EndedAttempt) {
        let AttemptResult {
            request,
            attempt,
            server,
            outcome,
            elapsed,
            ..
        } = ended.result;
        if let Some(known) = self.servers.get_mut(&server) {
            known.out.remove(&(ended.sent_at, request, attempt));
        }
        let size = self.size(ended.class, ended.cost_hint);
        let seen = CompletedAttempt {
            server,
            class: ended.class,
            outcome,
            elapsed,
            relative_size: size,
        };
        self.history.record_attempt(now, self.minute, &seen);
    }

    /// A request's size over its class's usual one, as clients guess them.
    fn size(&mut self, class: u32, guess: Option<Micros>) -> f64 {
        let Some(guess) = guess else { return 1.0 };
        let place = class as usize;
        if self.guesses.len() <= place {
            self.guesses.resize(place + 1, (0.0, 0.0));
        }
        let (mean, weight) = &mut self.guesses[place];
        let size = if *weight > 0.0 && *mean > 0.0 {
            guess as f64 / *mean
        } else {
            1.0
        };
        *weight = (*weight + 1.0).min(GUESSES);
        *mean += (guess as f64 - *mean) / *weight;
        size
    }

    /// A server has told how much it holds.
    pub(super) fn record_load_report(&mut self, now: Micros, id: ServerId, held: f64) {
        let out = self.servers.get(&id).map_or(0, |known| known.out.len());
        self.history
            .record_load_report(now, id, held, u32::try_from(out).unwrap_or(u32::MAX));
    }

    /// A request ended unserved, and this server had it last.
    pub(super) fn record_rejection(&mut self, now: Micros, id: ServerId) {
        self.history.record_rejection(now, id);
    }

    /// Looks at how all stand, and says what departs from its usual. To be called once a second.
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
            let out = u32::try_from(view.in_flight).unwrap_or(u32::MAX);
            self.history.record_gauges(
                now,
                id,
                EndpointGauges {
                    in_flight: out,
                    region_fraction: view.traffic_share,
                    reported,
                },
            );
            if let Some(known) = self.servers.get(&id) {
                let oldest = known.out.iter().take(LOOKED_AT);
                let waiting = oldest.map(|((sent, ..), class)| WaitingAttempt {
                    class: *class,
                    age: now.saturating_sub(*sent),
                });
                self.history.check_waiting_attempts(now, id, waiting);
            }
        }
        for departure in self.history.poll_anomalies(now) {
            self.departed(service, &departure);
        }
        let remembered: BTreeSet<ServerId> = self
            .history
            .known_endpoints()
            .map(|known| known.server)
            .collect();
        self.servers
            .retain(|id, known| known.listed.state != ServerState::Gone || remembered.contains(id));
    }

    /// A departure in a line: whom it is about by name, and for which class.
    pub(super) fn describe(&self, service: &Service, departure: &Anomaly) -> String {
        let name = match departure.subject {
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
        let tuned = service.active_settings();
        let class = departure.class.and_then(|class| tuned.class_at(class));
        departure.describe(&name, class.map(|class| class.name.as_str()))
    }

    fn departed(&self, service: &Service, departure: &Anomaly) {
        let text = self.describe(service, departure);
        let of = &service.log_prefix;
        let (event, is_bad) = match departure.phase {
            AnomalyPhase::Raised => ("raised", true),
            AnomalyPhase::Updated => ("updated", true),
            AnomalyPhase::Cleared => ("cleared", false),
        };
        if is_bad {
            tracing::warn!(number = departure.number, "{of}{text}");
        } else {
            tracing::info!(number = departure.number, "{of}{text}");
        }
        let server = match departure.subject {
            Subject::Endpoint(id) => Some(self.name(id)),
            Subject::Zone(_) | Subject::Fleet => None,
        };
        let said = AdminEvent {
            at: departure.reported_at,
            pool: &self.pool,
            server: server.as_deref(),
            event,
            text: &text,
        };
        service
            .process
            .admin_events
            .push_with_details(said, &json!({"departure": departure}));
    }
}

/// A happening as one word for programs, and what people are told behind the server's name.
pub(super) fn event_text(what: &EndpointEvent) -> (&'static str, String) {
    match what {
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
            format!("is ejected, since attempts there {}", ended(*outcome)),
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

fn ended(outcome: Outcome) -> &'static str {
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
    /// Takes in what was said of a server.
    pub(super) fn push(&self, said: AdminEvent<'_>) {
        self.push_with_details(said, &json!({}));
    }
}

#[cfg(test)]
#[path = "history_event_text_tests.rs"]
mod history_event_text_tests;

//! The requests that an agent answers: who may send them, and what they do.

use super::listener::{Listener, RequestHandler};
use crate::audit_log::{AuditEvent, AuditLog};
use crate::clock::unix_millis;
use crate::delivery_routes::RelayId;
use crate::fleet_task::{ChangeOutcome, FleetHandle, Unavailable};
use crate::http::{
    Body, Caller, Rejection, WatchResponder, check_name_in_path, instance_permission,
    json_response, number_in_query, raw_json_response, read_json,
};
use crate::traffic::TrafficCounters;
use crate::view::{InstanceDetailView, InstanceView, RolloutView, StatusView};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use madderloom_control_plane::change::Change;
use madderloom_control_plane::protocol::{LARGEST_FROM_INSTANCE, LARGEST_ORDER, ToAgent};
use madderloom_control_plane::relay::{Batch, LARGEST_BATCH, MAX_BATCH};
use madderloom_control_plane::{Accepted, By, Declined};
use madderloom_pki::{Identity, Keyring, Permission};
use serde::Serialize;
use std::sync::Arc;

/// The longest body of a batch, in bytes: a relay fills it until [`LARGEST_BATCH`] is passed by at most one message.
const MAX_BATCH_BODY: usize = LARGEST_BATCH + LARGEST_FROM_INSTANCE;

/// Answers the requests to an agent.
pub(super) struct AgentRequests {
    fleet: FleetHandle,
    audit_log: AuditLog,
    keyring: Arc<Keyring>,
    counters: Arc<TrafficCounters>,
    watches: WatchResponder,
}

/// The response to a request, or why it is rejected.
type Answer = Result<Response<Body>, Rejection>;

/// A request whose caller is known.
struct IdentifiedRequest {
    caller: Caller,
    peer: Identity,
    request: Request<Incoming>,
}

/// The body of the response to a change that is declined.
#[derive(Serialize)]
struct DeclinedBody<'a> {
    error: String,
    declined: &'a Declined,
}

impl From<Unavailable> for Rejection {
    fn from(reason: Unavailable) -> Self {
        Rejection::unavailable(reason)
    }
}

impl RequestHandler for AgentRequests {
    async fn answer(&self, caller: Caller, request: Request<Incoming>) -> Response<Body> {
        match self.try_answer(caller, request).await {
            Ok(response) => response,
            Err(rejection) => rejection.into(),
        }
    }
}

impl AgentRequests {
    /// Answers the requests over the connections of a listener.
    pub(super) fn new(fleet: FleetHandle, audit_log: AuditLog, listener: &Listener) -> Self {
        let (keyring, counters) = (&listener.keyring, &listener.counters);
        AgentRequests {
            fleet,
            audit_log,
            keyring: Arc::clone(keyring),
            counters: Arc::clone(counters),
            watches: WatchResponder {
                keyring: Arc::clone(keyring),
                counters: Arc::clone(counters),
            },
        }
    }

    async fn try_answer(&self, caller: Caller, request: Request<Incoming>) -> Answer {
        let peer = caller.identify(&self.keyring)?;
        let path = request.uri().path().to_string();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let identified = IdentifiedRequest {
            caller,
            peer,
            request,
        };
        if let ["v1", "relays", relay, action] = segments.as_slice() {
            return self.answer_relay(identified, relay, action).await;
        }
        self.authorize(&identified, &path, &segments)?;
        let is_read = identified.request.method() == Method::GET;
        if is_read {
            self.answer_read(identified, &path, &segments).await
        } else {
            self.answer_write(identified, &path, &segments).await
        }
    }

    /// Checks that the role of the caller permits a request. A change that is not permitted goes into the audit log.
    fn authorize(
        &self,
        identified: &IdentifiedRequest,
        path: &str,
        segments: &[&str],
    ) -> Result<(), Rejection> {
        let method = identified.request.method();
        let permission = match instance_permission(method, segments) {
            Some(permission) => permission,
            None if *method == Method::GET => Permission::ViewFleet,
            None => Permission::ChangeFleet,
        };
        let permitted = identified.caller.authorize(&identified.peer, permission);
        if permitted.is_err() && permission == Permission::ChangeFleet {
            let event = AuditEvent {
                peer: &identified.peer,
                operation: method.as_str(),
                subject: path,
            };
            // The request is rejected whether or not that can be recorded.
            let _ = self.audit_log.append(&event, "refused: wrong role");
        }
        permitted
    }

    async fn answer_read(
        &self,
        identified: IdentifiedRequest,
        path: &str,
        segments: &[&str],
    ) -> Answer {
        let fleet = &self.fleet;
        let view = match segments {
            ["v1", "status"] => {
                let traffic = self.counters.read();
                fleet
                    .view(move |snapshot| StatusView::new(snapshot, traffic))
                    .await?
            }
            ["v1", "instances"] => fleet.view(InstanceView::all).await?,
            ["v1", "instances", name] => {
                let name = name.to_string();
                fleet
                    .find_view(move |snapshot| InstanceDetailView::new(snapshot, &name))
                    .await?
            }
            ["v1", "instances", name, "orders"] => {
                let start = number_in_query(&identified.request, "start")?;
                let messages = fleet.watch_instance(name.to_string(), start).await;
                return Ok(self.watches.respond(identified.caller, messages));
            }
            ["v1", "rollouts"] => {
                fleet
                    .view(|snapshot| RolloutView::all(snapshot.fleet))
                    .await?
            }
            ["v1", "rollouts", id] => {
                let id = id.to_string();
                fleet
                    .find_view(move |snapshot| RolloutView::find(snapshot.fleet, &id))
                    .await?
            }
            _ => return Err(unknown_path(&Method::GET, path, segments)),
        };
        match view {
            Some(view) => Ok(raw_json_response(StatusCode::OK, view)),
            None => Err(Rejection::not_found("there is nothing of that name")),
        }
    }

    async fn answer_write(
        &self,
        identified: IdentifiedRequest,
        path: &str,
        segments: &[&str],
    ) -> Answer {
        let IdentifiedRequest { peer, request, .. } = identified;
        let fleet = &self.fleet;
        match (request.method(), segments) {
            (&Method::POST, ["v1", "changes"]) => {
                let change: Box<Change> = read_json(request, LARGEST_ORDER).await?;
                let id = change.id.clone();
                let event = change_event(&peer, "push", &id);
                self.change_fleet(event, async |author| fleet.push(change, author).await)
                    .await
            }
            (&Method::POST, ["v1", "rollouts", id, "stop"]) => {
                let event = change_event(&peer, "stop", id);
                let id = id.to_string();
                self.change_fleet(event, async |author| fleet.stop(id, author).await)
                    .await
            }
            (&Method::POST, ["v1", "rollouts", id, "undo"]) => {
                let event = change_event(&peer, "undo", id);
                let id = id.to_string();
                self.change_fleet(event, async |author| fleet.undo(id, author).await)
                    .await
            }
            (&Method::POST, ["v1", "instances", name, "register" | "report"]) => {
                let message = read_json(request, LARGEST_FROM_INSTANCE).await?;
                self.answer_instance(name, message).await
            }
            (method, _) => Err(unknown_path(method, path, segments)),
        }
    }

    /// Answers a registration or a report of the instance that the path names.
    async fn answer_instance(&self, name: &str, message: ToAgent) -> Answer {
        check_name_in_path(&message, name)?;
        self.counters.add_messages_in(1);
        let messages = self.fleet.instance_message(message).await?;
        self.counters.add_messages_out(messages.len());
        Ok(json_response(StatusCode::OK, &messages))
    }

    /// Answers a request of a relay. Its certificate must be valid for the names of its instances.
    async fn answer_relay(
        &self,
        identified: IdentifiedRequest,
        relay: &str,
        action: &str,
    ) -> Answer {
        let IdentifiedRequest {
            caller,
            peer,
            request,
        } = identified;
        let relay = RelayId {
            certificate: peer.name.clone(),
            name: relay.to_string(),
            start: number_in_query(&request, "start")?,
        };
        match (request.method(), action) {
            (&Method::POST, "batch") => {
                let batch: Batch = read_json(request, MAX_BATCH_BODY).await?;
                self.answer_batch(&caller, &peer, relay, batch).await
            }
            (&Method::GET, "watch") => {
                let known_term = number_in_query(&request, "term").unwrap_or(0);
                let messages = self.fleet.watch_relay(relay, known_term).await;
                Ok(self.watches.respond(caller, messages))
            }
            (method, _) => Err(Rejection::not_found(format!(
                "there is no {method} {action} of a relay"
            ))),
        }
    }

    async fn answer_batch(
        &self,
        caller: &Caller,
        peer: &Identity,
        relay: RelayId,
        batch: Batch,
    ) -> Answer {
        if batch.messages.len() > MAX_BATCH {
            let error = format!("messages: are more than {MAX_BATCH}");
            return Err(Rejection::bad_request(error));
        }
        for message in &batch.messages {
            caller.authorize(peer, Permission::ActAsInstance(&message.who().name))?;
        }
        self.counters.add_messages_in(batch.messages.len());
        let answer = self.fleet.relay_batch(relay, batch).await?;
        self.counters.add_messages_out(answer.messages.len());
        Ok(json_response(StatusCode::OK, &answer))
    }

    /// Changes the fleet, with a line in the audit log before and after. Where the first one cannot be written, nothing is
    /// changed.
    async fn change_fleet(
        &self,
        event: AuditEvent<'_>,
        change: impl AsyncFnOnce(By) -> Result<ChangeOutcome, Unavailable>,
    ) -> Answer {
        self.audit_log
            .append(&event, "asked")
            .map_err(Rejection::unavailable)?;
        let author = By {
            who: event.peer.name.clone(),
            at: unix_millis(),
        };
        let outcome = change(author).await;
        self.record_outcome(&event, &outcome_text(&outcome));
        match outcome? {
            Ok(accepted) => Ok(json_response(StatusCode::OK, &accepted)),
            Err(declined) => Ok(declined_response(&declined)),
        }
    }

    fn record_outcome(&self, event: &AuditEvent<'_>, outcome: &str) {
        let AuditEvent {
            peer,
            operation,
            subject,
        } = event;
        let (name, serial) = (&peer.name, &peer.serial);
        if let Err(error) = self.audit_log.append(event, outcome) {
            tracing::error!(%error, %name, operation, subject, outcome, "audit record not written");
        }
        tracing::info!(%name, %serial, operation, subject, outcome, "change requested");
    }
}

fn change_event<'a>(peer: &'a Identity, operation: &'a str, id: &'a str) -> AuditEvent<'a> {
    AuditEvent {
        peer,
        operation,
        subject: id,
    }
}

/// The outcome of a change, as the audit log records it.
fn outcome_text(outcome: &Result<ChangeOutcome, Unavailable>) -> String {
    match outcome {
        Ok(Ok(Accepted {
            revision,
            repeat: false,
            ..
        })) => format!("accepted as revision {revision}"),
        Ok(Ok(Accepted { revision, .. })) => format!("repeats what made revision {revision}"),
        Ok(Err(declined)) => format!("declined: {declined}"),
        Err(reason) => format!("not done: {reason}"),
    }
}

fn declined_response(declined: &Declined) -> Response<Body> {
    let status = match declined {
        Declined::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Declined::Impossible(_) => StatusCode::NOT_FOUND,
        Declined::StoodDown(_) => StatusCode::SERVICE_UNAVAILABLE,
        Declined::Conflict { .. } | Declined::Busy { .. } | Declined::IdUsed { .. } => {
            StatusCode::CONFLICT
        }
    };
    let body = DeclinedBody {
        error: declined.to_string(),
        declined,
    };
    json_response(status, &body)
}

fn unknown_path(method: &Method, path: &str, segments: &[&str]) -> Rejection {
    if segments.first() == Some(&"v1") {
        Rejection::not_found(format!("there is no {method} {path}"))
    } else {
        Rejection::not_found("this agent speaks version 1 of the protocol: paths begin with /v1/")
    }
}

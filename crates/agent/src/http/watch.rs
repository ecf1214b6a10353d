//! Responses that never end by themselves: a line of JSON for each message, and a blank one now and then.

use super::caller::Caller;
use super::response::Body;
use crate::clock::unix_seconds;
use crate::traffic::TrafficCounters;
use bytes::Bytes;
use http_body_util::channel::Sender;
use http_body_util::{BodyExt, Channel};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use madderloom_pki::Keyring;
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde::Serialize;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

/// The interval at which a watch sends a blank line. Clients regard a watch as failed after 12 s without one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Answers requests that open a watch.
#[derive(Clone)]
pub(crate) struct WatchResponder {
    /// Checks the caller's certificate again before each line.
    pub(crate) keyring: Arc<Keyring>,
    /// Counts the messages.
    pub(crate) counters: Arc<TrafficCounters>,
}

impl WatchResponder {
    /// The response to a request that opens a watch. It ends with the messages, with the connection, and when the caller's
    /// certificate has expired or was revoked.
    pub(crate) fn respond<T: Serialize + 'static>(
        &self,
        caller: Caller,
        messages: mpsc::Receiver<T>,
    ) -> Response<Body> {
        let (sender, body) = Channel::<Bytes, Infallible>::new(1);
        let watch = Watch {
            responder: self.clone(),
            caller,
            messages,
            sender,
        };
        watchdog::spawn(TaskKind::AgentConnection, watch.run());
        let mut response = Response::new(BodyExt::boxed(body));
        response.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/x-ndjson"),
        );
        response
    }
}

struct Watch<T> {
    responder: WatchResponder,
    caller: Caller,
    messages: mpsc::Receiver<T>,
    sender: Sender<Bytes, Infallible>,
}

impl<T: Serialize> Watch<T> {
    async fn run(mut self) {
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut line = tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => serde_json::to_vec(&message).unwrap_or_default(),
                    // Another watch has taken the place of this one.
                    None => return,
                },
                _ = heartbeat.tick() => Vec::new(),
            };
            let certificate = &self.caller.certificate;
            let checked = self
                .responder
                .keyring
                .verify_again(certificate, unix_seconds());
            if checked.is_err() {
                return;
            }
            let is_message = !line.is_empty();
            line.push(b'\n');
            if self.sender.send_data(Bytes::from(line)).await.is_err() {
                return;
            }
            self.responder
                .counters
                .add_messages_out(usize::from(is_message));
        }
    }
}

//! The task that owns the relay's state machine. It takes the requests of instances and what the agent above says, in turn.

use super::agent_connection::{
    AgentConnection, AgentEvent, ConnectionError, ConnectionEvent, ConnectionNumber,
    ConnectionSettings, RelayIdentity,
};
use super::agent_list::AgentList;
use super::config::RelayConfig;
use crate::clock::Clock;
use crate::delivery_routes::DeliveryRoutes;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{MAX_BATCH, Relay, RelayOutput, RelayStatus, RequestId};
use madderloom_pki::Keyring;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The most requests that wait. Senders beyond wait for room.
const REQUEST_QUEUE_CAPACITY: usize = 4_096;
/// The most events of the connection that wait: one message for each instance of a zone.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// How long the first message of a batch waits for others. A full batch is sent at once.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// The shortest pause before the relay connects again.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The most that is added to that pause at random, so that the relays of a fleet do not all connect at the same moment.
const RECONNECT_JITTER: Duration = Duration::from_millis(300);

/// A request to the relay, with where its answer goes.
enum Request {
    /// A registration or a report of an instance.
    Message {
        message: Box<ToAgent>,
        reply: oneshot::Sender<Vec<ToInstance>>,
    },
    /// Opens the watch of one start of an instance.
    WatchInstance {
        name: String,
        start: u64,
        reply: oneshot::Sender<mpsc::Receiver<ToInstance>>,
    },
    /// Shows the state.
    State { reply: oneshot::Sender<RelayState> },
}

/// The state of a relay.
pub(super) struct RelayState {
    /// The address of the agent that it is connected to, or tries to connect to.
    pub(super) agent: String,
    /// The state of its state machine.
    pub(super) status: RelayStatus,
}

/// Sends requests to the task. An answer is `None` where the relay is stopping.
#[derive(Clone)]
pub(super) struct RelayHandle(mpsc::Sender<Request>);

impl RelayHandle {
    /// Handles a registration or a report, and returns the messages for the instance.
    pub(super) async fn instance_message(&self, message: Box<ToAgent>) -> Option<Vec<ToInstance>> {
        self.send(|reply| Request::Message { message, reply }).await
    }

    /// Opens the watch of one start of an instance.
    pub(super) async fn watch_instance(
        &self,
        name: String,
        start: u64,
    ) -> Option<mpsc::Receiver<ToInstance>> {
        self.send(|reply| Request::WatchInstance { name, start, reply })
            .await
    }

    /// Returns the state.
    pub(super) async fn state(&self) -> Option<RelayState> {
        self.send(|reply| Request::State { reply }).await
    }

    async fn send<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.0.send(request(reply)).await.ok()?;
        answer.await.ok()
    }
}

/// Starts the task. Must be called within a [`tokio::task::LocalSet`]. It ends with the last handle.
pub(super) fn start(config: &RelayConfig, keyring: Arc<Keyring>, seed: u128) -> RelayHandle {
    let (sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    let (events_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut rng = oorandom::Rand64::new(seed);
    let task = RelayTask {
        clock: Clock::new(),
        relay: Relay::new(config.rules),
        routes: DeliveryRoutes::default(),
        unanswered: HashMap::new(),
        next_request: 0,
        agents: AgentList::new(config.agents.clone()),
        keyring,
        identity: RelayIdentity {
            name: config.name.clone(),
            start: rng.rand_u64(),
        },
        uplink: Uplink::Closed {
            reopen_at: Instant::now(),
        },
        last_connection: 0,
        events: events_sender,
        rng,
    };
    watchdog::spawn(TaskKind::AgentCore, task.run(requests, events));
    RelayHandle(sender)
}

/// The connection to the agent above.
enum Uplink {
    /// There is none.
    Closed {
        /// When the next one is opened.
        reopen_at: Instant,
    },
    /// There is one, or one is being opened.
    Open {
        connection: AgentConnection,
        /// When the next batch is sent, where a message waits for it.
        batch_due: Option<Instant>,
    },
}

impl Uplink {
    /// When there is something to do without an event.
    fn next_timer(&self) -> Option<Instant> {
        match self {
            Uplink::Closed { reopen_at } => Some(*reopen_at),
            Uplink::Open { batch_due, .. } => *batch_due,
        }
    }

    /// Whether an event is of this connection, and not of one that was given up.
    fn is_open(&self, number: ConnectionNumber) -> bool {
        matches!(self, Uplink::Open { connection, .. } if connection.number() == number)
    }
}

struct RelayTask {
    clock: Clock,
    relay: Relay,
    routes: DeliveryRoutes,
    /// Where the answers to requests go. The state machine answers each of them within a bounded time.
    unanswered: HashMap<RequestId, oneshot::Sender<Vec<ToInstance>>>,
    next_request: RequestId,
    agents: AgentList,
    keyring: Arc<Keyring>,
    identity: RelayIdentity,
    uplink: Uplink,
    last_connection: ConnectionNumber,
    events: mpsc::Sender<ConnectionEvent>,
    rng: oorandom::Rand64,
}

impl RelayTask {
    async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
        mut events: mpsc::Receiver<ConnectionEvent>,
    ) {
        loop {
            let due = self.next_timer();
            let timer = async {
                match due {
                    Some(due) => tokio::time::sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                Some(event) = events.recv() => self.handle_event(event),
                () = timer => {}
            }
            self.do_due_work();
        }
    }

    fn next_timer(&self) -> Option<Instant> {
        let tick = self.relay.next().map(|at| self.clock.instant_at(at));
        tick.into_iter().chain(self.uplink.next_timer()).min()
    }

    fn handle_request(&mut self, request: Request) {
        match request {
            Request::Message { message, reply } => {
                let id = self.next_request;
                self.next_request += 1;
                self.unanswered.insert(id, reply);
                let jitter = self.rng.rand_u64();
                let output = self.relay.receive(self.clock.now(), id, *message, jitter);
                self.deliver(output);
            }
            // The requester may have disconnected.
            Request::WatchInstance { name, start, reply } => {
                let _ = reply.send(self.routes.watch_instance(name, start));
            }
            Request::State { reply } => {
                let _ = reply.send(RelayState {
                    agent: self.agents.current().to_string(),
                    status: self.relay.status(),
                });
            }
        }
    }

    fn handle_event(&mut self, ConnectionEvent { connection, event }: ConnectionEvent) {
        if !self.uplink.is_open(connection) {
            return;
        }
        let now = self.clock.now();
        let output = match event {
            AgentEvent::Connected { term } => {
                self.agents.log_connected(term);
                self.relay.parent_connected(now, term);
                RelayOutput::default()
            }
            AgentEvent::Message(message) => self.relay.parent_message(message),
            AgentEvent::BatchAnswered(answer) => self.relay.batch_answered(now, answer),
            AgentEvent::Lost(error) => return self.disconnect(&error.into()),
        };
        self.deliver(output);
        if !self.relay.is_connected() {
            self.disconnect(&ConnectionError::StaleTerm);
        }
    }

    /// Gives the connection up. The next agent is connected to after a pause.
    fn disconnect(&mut self, error: &ConnectionError) {
        self.agents.advance(error);
        let jitter = RECONNECT_JITTER.mul_f64(self.rng.rand_float());
        self.uplink = Uplink::Closed {
            reopen_at: Instant::now() + MIN_RECONNECT_DELAY + jitter,
        };
        let output = self.relay.parent_lost(self.clock.now());
        self.deliver(output);
    }

    fn do_due_work(&mut self) {
        let now = self.clock.now();
        if self.relay.next().is_some_and(|at| at <= now) {
            let output = self.relay.tick(now);
            self.deliver(output);
        }
        if let Uplink::Closed { reopen_at } = self.uplink
            && Instant::now() >= reopen_at
        {
            self.connect();
        }
        self.send_due_batch();
    }

    fn connect(&mut self) {
        self.last_connection += 1;
        let settings = ConnectionSettings {
            number: self.last_connection,
            address: self.agents.current(),
            keyring: &self.keyring,
            known_term: self.relay.term(),
            events: self.events.clone(),
        };
        match AgentConnection::open(settings, self.identity.clone()) {
            Ok(connection) => {
                self.uplink = Uplink::Open {
                    connection,
                    batch_due: None,
                };
            }
            Err(error) => self.disconnect(&error.into()),
        }
    }

    /// Sends the messages that wait, where they have waited for long enough or fill a batch.
    fn send_due_batch(&mut self) {
        let Uplink::Open {
            connection,
            batch_due,
        } = &mut self.uplink
        else {
            return;
        };
        let waiting = self.relay.ready_for_batch();
        if waiting == 0 {
            *batch_due = None;
            return;
        }
        let due = *batch_due.get_or_insert_with(|| Instant::now() + BATCH_DELAY);
        if waiting < MAX_BATCH && Instant::now() < due {
            return;
        }
        *batch_due = None;
        if let Some(batch) = self.relay.take_batch() {
            let left = connection.send(batch);
            self.relay.put_back(left);
        }
    }

    /// Sends the answers and the messages of an output.
    fn deliver(&mut self, output: RelayOutput) {
        for (request, messages) in output.answers {
            if let Some(reply) = self.unanswered.remove(&request) {
                // The requester may have disconnected.
                let _ = reply.send(messages);
            }
        }
        for push in output.pushes {
            self.routes.send(push.name, push.message);
        }
    }
}

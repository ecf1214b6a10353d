//! The relay's state machine, driven: one task that takes what instances ask and what the agent above says, in turn.

use super::config::RelayConfig;
use super::parent::{Connection, Identity, ParentEvent};
use crate::clock::Clock;
use crate::routes::Routes;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{
    MAX_BATCH_MESSAGES, Relay, RelayOutput, RelayStatus, RequestId,
};
use madderloom_pki::Keyring;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Requests that wait to be taken.
const REQUESTS: usize = 4_096;
/// Events of the connection to the agent that wait to be taken.
const EVENTS: usize = 4_096;
/// How long the first message of a batch waits for others; less where the batch is full.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// The shortest delay before the relay connects again; up to [`RECONNECT_SPREAD`] is added at random.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The most that is added at random, so that the relays of a fleet do not all connect in one moment.
const RECONNECT_SPREAD: Duration = Duration::from_millis(300);

/// A request to the relay.
pub(super) enum Ask {
    /// A message of an instance.
    Message(Box<ToAgent>, oneshot::Sender<Vec<ToInstance>>),
    /// A watch of a start of an instance.
    Watch(String, u64, oneshot::Sender<mpsc::Receiver<ToInstance>>),
    /// How it stands, and the address of the agent that it is connected to, or tries.
    Status(oneshot::Sender<(RelayStatus, String)>),
}

/// How the relay is asked. An answer is missing once it stops.
#[derive(Clone)]
pub(super) struct RelayCore(mpsc::Sender<Ask>);

impl RelayCore {
    /// Asks, and waits for the answer.
    pub(super) async fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.0.send(ask(reply)).await.ok()?;
        answer.await.ok()
    }
}

struct Driver {
    clock: Clock,
    relay: Relay,
    routes: Routes,
    /// Requests that are not answered yet. The relay answers each in a bounded time.
    waiting: HashMap<RequestId, oneshot::Sender<Vec<ToInstance>>>,
    next_request: RequestId,
    agents: Vec<String>,
    /// The place of the agent that is tried or connected to.
    agent: usize,
    keyring: Arc<Keyring>,
    identity: Identity,
    connection: Option<Connection>,
    connections: u64,
    events: mpsc::Sender<(u64, ParentEvent)>,
    /// When a connection is tried next, where there is none.
    reconnect: Instant,
    /// Why the last connection to each agent ended, by its place, until there is another one.
    problems: BTreeMap<usize, String>,
    /// When the next batch is due, where something waits for it.
    batch_due: Option<Instant>,
    rng: oorandom::Rand64,
}

/// Starts the relay's task.
pub(super) fn start(config: &RelayConfig, keyring: Arc<Keyring>, seed: u128) -> RelayCore {
    let (asks, asked) = mpsc::channel(REQUESTS);
    let (events, happened) = mpsc::channel(EVENTS);
    let mut rng = oorandom::Rand64::new(seed);
    let driver = Driver {
        clock: Clock::new(),
        relay: Relay::new(config.rules),
        routes: Routes::default(),
        waiting: HashMap::new(),
        next_request: 0,
        agents: config.agents.clone(),
        agent: 0,
        keyring,
        identity: Identity {
            name: config.name.clone(),
            start: rng.rand_u64(),
        },
        connection: None,
        connections: 0,
        events,
        reconnect: Instant::now(),
        problems: BTreeMap::new(),
        batch_due: None,
        rng,
    };
    watchdog::spawn(TaskKind::AgentCore, driver.run(asked, happened));
    RelayCore(asks)
}

impl Driver {
    async fn run(
        mut self,
        mut asked: mpsc::Receiver<Ask>,
        mut happened: mpsc::Receiver<(u64, ParentEvent)>,
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
                ask = asked.recv() => match ask {
                    Some(ask) => self.take_ask(ask),
                    None => return,
                },
                Some((number, event)) = happened.recv() => self.take_event(number, event),
                () = timer => {}
            }
            self.do_what_is_due();
        }
    }

    fn next_timer(&self) -> Option<Instant> {
        let tick = self.relay.next_deadline().map(|at| self.clock.at(at));
        let reconnect = Some(self.reconnect).filter(|_| self.connection.is_none());
        [tick, reconnect, self.batch_due]
            .into_iter()
            .flatten()
            .min()
    }

    fn take_ask(&mut self, ask: Ask) {
        match ask {
            Ask::Message(message, reply) => {
                let request = self.next_request;
                self.next_request += 1;
                self.waiting.insert(request, reply);
                let jitter = self.rng.rand_u64();
                let output = self
                    .relay
                    .receive(self.clock.now(), request, *message, jitter);
                self.deliver(output);
            }
            Ask::Watch(name, start, reply) => {
                let _ = reply.send(self.routes.watch(name, start));
            }
            Ask::Status(reply) => {
                let _ = reply.send((self.relay.status(), self.agents[self.agent].clone()));
            }
        }
    }

    fn take_event(&mut self, number: u64, event: ParentEvent) {
        if self
            .connection
            .as_ref()
            .is_none_or(|connection| connection.number() != number)
        {
            // Of a connection that was given up.
            return;
        }
        let now = self.clock.now();
        let output = match event {
            ParentEvent::Connected(term) => {
                self.problems.clear();
                tracing::info!(
                    "connected to the agent at {}, term {term}",
                    self.agents[self.agent]
                );
                self.relay.parent_connected(now, term);
                RelayOutput::default()
            }
            ParentEvent::Message(message) => self.relay.parent_message(message),
            ParentEvent::Answered(answer) => self.relay.batch_answered(now, answer),
            ParentEvent::Lost(why) => return self.disconnect(&why),
        };
        self.deliver(output);
        if !self.relay.is_connected() {
            self.disconnect("it is of an earlier term than one that is known");
        }
    }

    /// Gives the connection up; the next agent is tried after a while.
    fn disconnect(&mut self, why: &str) {
        self.log_problem(why);
        self.connection = None;
        self.batch_due = None;
        self.agent = (self.agent + 1) % self.agents.len();
        let spread = RECONNECT_SPREAD.mul_f64(self.rng.rand_float());
        self.reconnect = Instant::now() + RECONNECT_DELAY + spread;
        let output = self.relay.parent_lost(self.clock.now());
        self.deliver(output);
    }

    /// Logs why there is no connection, once for as long as it is the same.
    fn log_problem(&mut self, why: &str) {
        let prefix = format!("agent at {}: ", self.agents[self.agent]);
        let problem = format!("{prefix}{}", why.strip_prefix(&prefix).unwrap_or(why));
        if self.problems.get(&self.agent) != Some(&problem) {
            tracing::warn!("{problem}");
            self.problems.insert(self.agent, problem);
        }
    }

    fn do_what_is_due(&mut self) {
        let now = self.clock.now();
        if self.relay.next_deadline().is_some_and(|at| at <= now) {
            let output = self.relay.tick(now);
            self.deliver(output);
        }
        if self.connection.is_none() && Instant::now() >= self.reconnect {
            self.connect();
        }
        self.send_batch();
    }

    fn connect(&mut self) {
        self.connections += 1;
        let begun = Connection::begin(
            (self.connections, self.relay.term()),
            &self.agents[self.agent],
            &self.keyring,
            self.identity.clone(),
            self.events.clone(),
        );
        match begun {
            Ok(connection) => self.connection = Some(connection),
            Err(why) => self.disconnect(&why),
        }
    }

    fn send_batch(&mut self) {
        let outgoing = self.relay.ready_for_batch();
        if outgoing == 0 {
            self.batch_due = None;
            return;
        }
        let due = *self
            .batch_due
            .get_or_insert_with(|| Instant::now() + BATCH_DELAY);
        if outgoing < MAX_BATCH_MESSAGES && Instant::now() < due {
            return;
        }
        self.batch_due = None;
        if let Some(connection) = &self.connection
            && let Some(batch) = self.relay.take_batch()
        {
            let left = connection.send(batch);
            self.relay.put_back(left);
        }
    }

    fn deliver(&mut self, output: RelayOutput) {
        for answer in output.answers {
            if let Some(reply) = self.waiting.remove(&answer.request) {
                let _ = reply.send(answer.messages);
            }
        }
        for push in output.pushes {
            self.routes.send(push.name, push.message);
        }
    }
}

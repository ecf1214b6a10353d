//! The state machine of a relay: an agent to the instances behind it (its children), and the one connection of them all
//! to the agent above (its parent).
//!
//! A relay decides nothing. It forwards the messages of the [protocol](crate::protocol) in batches, and answers by
//! itself in three cases only:
//!
//! - While the parent is unreachable, or does not answer within [`RelaySettings::answer_timeout`], a registered child
//!   that reports gets its lease renewed, under the greatest known term. So children keep their sessions, and do not
//!   all register anew when the parent is back.
//! - A child that registers while the parent is unreachable is asked to retry later or, if a parent has accepted this
//!   start before, is welcomed again.
//! - Registrations are admitted at the relay's own rate.
//!
//! When a parent is back, or another one has taken its place, the relay sends the last report of each child that has
//! sent a message within two report intervals. A parent that does not know a child gets its registration from the
//! relay, without a message to the child.
//!
//! # Bounds
//! - Staleness: a message waits for one batch to be answered, and a child for an answer until `answer_timeout`. Leases
//!   of limits and ages of lists count from the child's own clock, so that a relay that delays or repeats messages makes
//!   them shorter and never longer: to the state machines at both ends a relay is a connection that loses, delays and
//!   repeats messages.
//! - No conflicting decisions: orders, leases and lists carry the term of the agent that decided; a relay drops those of
//!   a term below the greatest that it knows.
//! - Memory: [`RelaySettings::max_children`] children, for each one registration, one report and one outgoing message. A
//!   child that has sent no message for [`RelaySettings::child_lease`] is forgotten.

mod child;
mod children;
mod parent;
mod wire;

pub use wire::{
    AddressedMessage, Batch, BatchAnswer, MAX_BATCH_BYTES, MAX_BATCH_MESSAGES, WatchLine,
};

use crate::Micros;
use crate::protocol::{ToAgent, ToInstance};
use crate::registration_limiter::{RegistrationLimiter, RegistrationRate};
use child::{Child, ChildKey};
use std::collections::{BTreeMap, BTreeSet};

/// The delay after which a child that was rejected registers again, in microseconds; a random time up to as much again is
/// added.
const RETRY_DELAY: Micros = 1_000_000;
/// The report interval until a parent has set another one, in microseconds.
const DEFAULT_REPORT_INTERVAL: Micros = 3_000_000;

/// Identifies a request of a child to its embedder.
pub type RequestId = u64;

/// The settings of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RelaySettings {
    /// How long a child without messages is remembered, in microseconds; three report intervals where these are longer.
    pub child_lease: Micros,
    /// The longest time that a child waits for the parent's answer, in microseconds; below the 5 s after which an instance
    /// repeats a registration.
    pub answer_timeout: Micros,
    /// The most children.
    pub max_children: usize,
    /// The rate at which children may register.
    pub registration_rate: RegistrationRate,
}

impl Default for RelaySettings {
    /// 400 registrations a second: 850 children of one zone are back after some 2 s, and their handshakes, 2 ms for the
    /// two connections of each, take four fifths of one core meanwhile.
    fn default() -> Self {
        RelaySettings {
            child_lease: 10_000_000,
            answer_timeout: 2_000_000,
            max_children: 16_384,
            registration_rate: RegistrationRate {
                per_second: 400,
                ..RegistrationRate::default()
            },
        }
    }
}

/// The answer to a request of a child.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAnswer {
    /// The request.
    pub request: RequestId,
    /// The messages to the child; there may be none.
    pub messages: Vec<ToInstance>,
}

/// The result of a call. Answers and messages that cannot be delivered are dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayOutput {
    /// Answers to requests of children.
    pub answers: Vec<RelayAnswer>,
    /// Messages for the watches of children, by name.
    pub pushes: Vec<AddressedMessage>,
}

impl RelayOutput {
    /// Answers a request with messages.
    fn answer(&mut self, request: RequestId, messages: Vec<ToInstance>) {
        self.answers.push(RelayAnswer { request, messages });
    }
}

/// The status of a relay, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RelayStatus {
    /// Whether the parent answers.
    pub is_connected: bool,
    /// The greatest known term.
    pub term: u64,
    /// The number of children.
    pub children: usize,
    /// The number of children that a parent has accepted.
    pub registered: usize,
    /// The number of messages for the parent that were not sent yet.
    pub outgoing: usize,
    /// The number of requests that the relay has answered by itself.
    #[serde(rename = "answered_alone")]
    pub answered_locally: u64,
}

/// The state of the connection to the parent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ParentConnection {
    /// The parent is unreachable.
    Disconnected,
    /// The parent accepts a batch.
    Idle,
    /// The parent has not answered a batch yet, which has messages of these children.
    BatchInFlight(Vec<ChildKey>),
}

/// The state machine of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Relay {
    settings: RelaySettings,
    term: u64,
    parent: ParentConnection,
    report_interval: Micros,
    children: BTreeMap<ChildKey, Child>,
    /// The deadline of each child.
    deadlines: BTreeSet<(Micros, ChildKey)>,
    /// Children with a message for the parent, by the number of the message: the longest waiting first.
    outgoing: BTreeMap<u64, ChildKey>,
    next_outgoing: u64,
    registrations: RegistrationLimiter,
    answered_locally: u64,
}

impl Relay {
    /// Creates a relay without children that is not connected to a parent.
    pub fn new(settings: RelaySettings) -> Self {
        Relay {
            settings,
            term: 0,
            parent: ParentConnection::Disconnected,
            report_interval: DEFAULT_REPORT_INTERVAL,
            children: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            outgoing: BTreeMap::new(),
            next_outgoing: 0,
            registrations: RegistrationLimiter::new(settings.registration_rate),
            answered_locally: 0,
        }
    }

    /// The status of the relay.
    pub fn status(&self) -> RelayStatus {
        RelayStatus {
            is_connected: self.is_connected(),
            term: self.term,
            children: self.children.len(),
            registered: self
                .children
                .values()
                .filter(|child| child.is_registered)
                .count(),
            outgoing: self.outgoing.len(),
            answered_locally: self.answered_locally,
        }
    }

    /// The greatest known term of an agent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether the parent answers.
    pub fn is_connected(&self) -> bool {
        self.parent != ParentConnection::Disconnected
    }

    /// The number of messages for the next batch; 0 while a batch is not answered yet.
    pub fn ready_for_batch(&self) -> usize {
        if self.parent == ParentConnection::Idle {
            self.outgoing.len()
        } else {
            0
        }
    }

    /// When [`Relay::tick`] is due next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Forgets children whose lease has expired, and answers those that have waited for too long.
    pub fn tick(&mut self, now: Micros) -> RelayOutput {
        let mut output = RelayOutput::default();
        while let Some((_, key)) = self.deadlines.first().filter(|(at, _)| *at <= now).cloned() {
            self.answer_locally(now, &key, &mut output);
            if self
                .children
                .get(&key)
                .is_some_and(|child| child.forget_at <= now)
            {
                self.forget(&key, &mut output);
            }
        }
        output
    }

    /// Handles a request of a child. `jitter` must be random.
    pub fn receive(
        &mut self,
        now: Micros,
        request: RequestId,
        message: ToAgent,
        jitter: u64,
    ) -> RelayOutput {
        let mut output = RelayOutput::default();
        match message {
            ToAgent::Register(registration) => {
                self.register(now, request, registration, jitter, &mut output)
            }
            ToAgent::Report(report) => self.report(now, request, report, &mut output),
        }
        output
    }

    /// Sets the clock back.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.registrations.rebase(by);
        let children = std::mem::take(&mut self.children);
        self.deadlines.clear();
        for (key, mut child) in children {
            child.rebase(by);
            self.deadlines.insert((child.deadline(), key.clone()));
            self.children.insert(key, child);
        }
    }

    /// A hash without the counters that grow for ever and decide nothing.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn explored_hash(&self) -> u64 {
        let order: Vec<&ChildKey> = self.outgoing.values().collect();
        let state = (
            self.term,
            &self.parent,
            self.report_interval,
            &self.children,
            order,
        );
        crate::explore::hash_of((state, &self.registrations))
    }
}

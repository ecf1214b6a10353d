//! The state machine of a relay: an agent to the instances behind it (its children), and the one connection of them all
//! to the agent above (its parent).
//!
//! A relay decides nothing. It passes the messages of the [protocol](crate::protocol) on, in batches, and answers by
//! itself in three cases only:
//!
//! - While the parent is away, or does not answer within [`RelayRules::answer_timeout`], a registered child that reports
//!   is told that its lease is renewed, under the greatest known term. So children keep their sessions, and do not all
//!   register anew when the parent is back.
//! - A child that registers while the parent is away is told to come later, or, where the parent has accepted this start
//!   before, is welcomed as it was.
//! - Registrations are admitted at the relay's own pace.
//!
//! When a parent is back, or another one has taken its place, the relay sends the last report of each child that was
//! heard within two report intervals. A parent that does not know a child gets its registration from the relay, without
//! a message to the child.
//!
//! # What is bounded
//! - Staleness: a message waits for one batch to be answered, and a child for an answer until `answer_timeout`. Leases of
//!   limits and ages of lists count from the child's own clock, so that a relay that delays or repeats messages makes
//!   them shorter and never longer: to the state machines at both ends a relay is a connection that loses, delays and
//!   repeats messages.
//! - No two answers for one thing: orders, leases and lists carry the term of the agent that decided; a relay drops
//!   those of a term below the greatest it knows.
//! - Memory: [`RelayRules::max_children`] children, for each one registration, one report and one outgoing message. A
//!   child that is not heard for [`RelayRules::lease`] is forgotten.

mod child;
mod children;
mod parent;
mod wire;

pub use wire::{Addressed, Batch, BatchAnswer, LARGEST_BATCH, MAX_BATCH, WatchLine};

use crate::Micros;
use crate::protocol::{ToAgent, ToInstance};
use crate::spread::{Pace, Spread};
use child::{Child, ChildKey};
use std::collections::{BTreeMap, BTreeSet};

/// The delay after which a child that is turned away registers again, in microseconds; up to as much again is added at
/// random.
const RETRY_DELAY: Micros = 1_000_000;
/// The report interval until a parent has told another one, in microseconds.
const REPORT_INTERVAL: Micros = 3_000_000;

/// Identifies a request of a child to its embedder.
pub type RequestId = u64;

/// The settings of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RelayRules {
    /// How long a child without messages is remembered, in microseconds; three report intervals where these are longer.
    pub lease: Micros,
    /// The longest that a child waits for the parent's answer, in microseconds; below the 5 s after which an instance
    /// takes a registration for lost.
    pub answer_timeout: Micros,
    /// The most children.
    pub max_children: usize,
    /// The rate at which children may register.
    pub pace: Pace,
}

impl Default for RelayRules {
    /// 400 registrations a second: 850 children of one zone are back after some 2 s, and their handshakes, 2 ms for the
    /// two connections of each, take four fifths of one core meanwhile.
    fn default() -> Self {
        RelayRules {
            lease: 10_000_000,
            answer_timeout: 2_000_000,
            max_children: 16_384,
            pace: Pace {
                rate: 400,
                ..Pace::default()
            },
        }
    }
}

/// What a call has led to. Answers and messages that cannot be delivered are dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayOutput {
    /// Answers to requests of children.
    pub answers: Vec<(RequestId, Vec<ToInstance>)>,
    /// Messages for the watches of children, by name.
    pub pushes: Vec<Addressed>,
}

/// How a relay stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RelayStatus {
    /// Whether the parent answers.
    pub is_connected: bool,
    /// The greatest known term.
    pub term: u64,
    /// Children.
    pub children: usize,
    /// Children that a parent has accepted.
    pub registered: usize,
    /// Messages for the parent that were not sent yet.
    pub outgoing: usize,
    /// Reports that the relay has answered by itself.
    pub answered_alone: u64,
}

/// The state machine of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Relay {
    rules: RelayRules,
    term: u64,
    is_connected: bool,
    every: Micros,
    children: BTreeMap<ChildKey, Child>,
    /// The deadline of each child.
    deadlines: BTreeSet<(Micros, ChildKey)>,
    /// Children with a message for the parent, by the number of the message: the longest waiting first.
    outgoing: BTreeMap<u64, ChildKey>,
    next_outgoing: u64,
    /// Children of the batch that the parent has not answered yet; none where there is no such batch.
    in_flight: Option<Vec<ChildKey>>,
    spread: Spread,
    answered_alone: u64,
}

impl Relay {
    /// A relay without children whose parent is away.
    pub fn new(rules: RelayRules) -> Self {
        Relay {
            rules,
            term: 0,
            is_connected: false,
            every: REPORT_INTERVAL,
            children: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            outgoing: BTreeMap::new(),
            next_outgoing: 0,
            in_flight: None,
            spread: Spread::new(rules.pace),
            answered_alone: 0,
        }
    }

    /// How it stands.
    pub fn status(&self) -> RelayStatus {
        RelayStatus {
            is_connected: self.is_connected,
            term: self.term,
            children: self.children.len(),
            registered: self
                .children
                .values()
                .filter(|child| child.is_registered)
                .count(),
            outgoing: self.outgoing.len(),
            answered_alone: self.answered_alone,
        }
    }

    /// The greatest known term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether the parent answers.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// How many messages could go with a batch now: none while one is not answered yet.
    pub fn ready_for_batch(&self) -> usize {
        if self.is_connected && self.in_flight.is_none() {
            self.outgoing.len()
        } else {
            0
        }
    }

    /// When [`Relay::tick`] is due next.
    pub fn next(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Forgets children that are not heard any more, and answers those that have waited for too long.
    pub fn tick(&mut self, now: Micros) -> RelayOutput {
        let mut output = RelayOutput::default();
        while let Some((_, key)) = self.deadlines.first().filter(|(at, _)| *at <= now).cloned() {
            self.answer_alone(now, &key, &mut output);
            if self
                .children
                .get(&key)
                .is_some_and(|child| child.until <= now)
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
        self.spread.rebase(by);
        let children = std::mem::take(&mut self.children);
        self.deadlines.clear();
        for (key, mut child) in children {
            child.rebase(by);
            self.deadlines.insert((child.deadline(), key.clone()));
            self.children.insert(key, child);
        }
    }

    /// A hash without what grows for ever and decides nothing.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn explored_hash(&self) -> u64 {
        let order: Vec<&ChildKey> = self.outgoing.values().collect();
        let state = (
            self.term,
            self.is_connected,
            self.every,
            &self.children,
            order,
            &self.in_flight,
        );
        crate::explore::hash_of((state, &self.spread))
    }
}

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
mod wire;

pub use wire::{Addressed, Batch, BatchAnswer, LARGEST_BATCH, MAX_BATCH, WatchLine};

use crate::protocol::{Register, Report, ToAgent, ToInstance, Welcome};
use crate::spread::{Pace, Spread};
use crate::{InjectedBug, Micros, is_injected};
use child::{Child, ChildKey, Waiting, repeatable};
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
    /// How long a child without messages is remembered, in microseconds.
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
            pace: Pace { rate: 400, ..Pace::default() },
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
            registered: self.children.values().filter(|child| child.is_registered).count(),
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
        if self.is_connected && self.in_flight.is_none() { self.outgoing.len() } else { 0 }
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
            if self.children.get(&key).is_some_and(|child| child.until <= now) {
                self.forget(&key);
            }
        }
        output
    }

    /// Handles a request of a child. `jitter` must be random.
    pub fn receive(&mut self, now: Micros, request: RequestId, message: ToAgent, jitter: u64) -> RelayOutput {
        let mut output = RelayOutput::default();
        match message {
            ToAgent::Register(registration) => self.register(now, request, registration, jitter, &mut output),
            ToAgent::Report(report) => self.report(now, request, report, &mut output),
        }
        output
    }

    /// The parent takes batches from now on. Every child that was heard of late is sent to it.
    pub fn parent_connected(&mut self, now: Micros, term: u64) -> RelayOutput {
        if term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            // Another one has taken its place.
            return RelayOutput::default();
        }
        self.term = self.term.max(term);
        self.is_connected = true;
        let recent = now.saturating_sub(self.every.saturating_mul(2));
        let keys: Vec<ChildKey> = self.children.keys().cloned().collect();
        for key in keys {
            let child = &self.children[&key];
            if child.heard < recent || !child.is_registered || child.must_register {
                continue;
            }
            let message = match &child.last_report {
                Some(report) => ToAgent::Report(report.clone()),
                None => ToAgent::Register(child.registration.clone()),
            };
            self.queue(&key, message);
        }
        RelayOutput::default()
    }

    /// The parent does not answer, or its watch has ended. Children that wait are answered.
    pub fn parent_lost(&mut self, now: Micros) -> RelayOutput {
        let mut output = RelayOutput::default();
        self.is_connected = false;
        self.in_flight = None;
        self.outgoing.clear();
        let keys: Vec<ChildKey> = self.children.keys().cloned().collect();
        for key in keys {
            if let Some(child) = self.children.get_mut(&key) {
                child.outgoing = None;
            }
            self.answer_alone(now, &key, &mut output);
        }
        output
    }

    /// The next batch for the parent; none where there is nothing to send, or a batch is not answered yet.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if !self.is_connected || self.in_flight.is_some() || self.outgoing.is_empty() {
            return None;
        }
        let mut batch = Batch::default();
        let mut keys = Vec::new();
        while batch.messages.len() < MAX_BATCH
            && let Some((_, key)) = self.outgoing.pop_first()
        {
            if let Some(message) = self.children.get_mut(&key).and_then(|child| child.outgoing.take()) {
                batch.messages.push(message);
                keys.push(key);
            }
        }
        if keys.is_empty() {
            return None;
        }
        self.in_flight = Some(keys);
        Some(batch)
    }

    /// Puts the messages of a batch back that did not fit into the request for it.
    pub fn put_back(&mut self, messages: Vec<ToAgent>) {
        for message in messages {
            let key = key_of(&message);
            if let Some(keys) = &mut self.in_flight {
                keys.retain(|in_flight| *in_flight != key);
            }
            if self.children.get(&key).is_some_and(|child| child.outgoing.is_none()) {
                self.queue(&key, message);
            }
        }
    }

    /// Handles the parent's answer to the last batch.
    pub fn batch_answered(&mut self, now: Micros, answer: BatchAnswer) -> RelayOutput {
        let Some(keys) = self.in_flight.take() else { return RelayOutput::default() };
        if answer.term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            // A parent that was replaced: another connection has to be made.
            return self.parent_lost(now);
        }
        self.term = self.term.max(answer.term);
        let mut by_child: BTreeMap<ChildKey, Vec<ToInstance>> =
            keys.into_iter().map(|key| (key, Vec::new())).collect();
        for Addressed { name, message } in answer.messages {
            let key = ChildKey { name, start: message.start() };
            by_child.entry(key).or_default().push(message);
        }
        let mut output = RelayOutput::default();
        for (key, messages) in by_child {
            self.deliver(&key, messages, &mut output);
        }
        output
    }

    /// Handles a message that came over the watch at the parent.
    pub fn parent_message(&mut self, message: Addressed) -> RelayOutput {
        let mut output = RelayOutput::default();
        let key = ChildKey { name: message.name.clone(), start: message.message.start() };
        let term = term_of(&message.message).unwrap_or(self.term);
        if term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            return output;
        }
        self.term = self.term.max(term);
        self.push(&key, message.message, &mut output);
        output
    }

    /// Sends a message over the watch of a child. One that would overtake an answer under a former term is dropped: read
    /// behind it, that answer would end the session. The next report brings the message again.
    fn push(&self, key: &ChildKey, message: ToInstance, output: &mut RelayOutput) {
        let Some(child) = self.children.get(key) else { return };
        let overtakes = child.unread_term.is_some_and(|unread| unread < self.term);
        // That a lease is renewed is the answer to a report, and says nothing over a watch.
        let is_answer = matches!(message, ToInstance::Renewed { .. });
        if (!overtakes || is_injected(InjectedBug::RelayOvertakesAnswers)) && !is_answer {
            output.pushes.push(Addressed { name: key.name.clone(), message });
        }
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
        let state = (self.term, self.is_connected, self.every, &self.children, order, &self.in_flight);
        crate::explore::hash_of((state, &self.spread))
    }

    fn register(
        &mut self,
        now: Micros,
        request: RequestId,
        registration: Register,
        jitter: u64,
        output: &mut RelayOutput,
    ) {
        let start = registration.who.start;
        if registration.who.check().and_then(|()| registration.traits.check()).is_err() {
            return output.answers.push((request, Vec::new()));
        }
        self.observe_child_term(registration.term);
        let key = ChildKey { name: registration.who.name.clone(), start };
        let is_known = self.children.get(&key).is_some_and(|child| child.is_registered);
        let later = |again: Micros| vec![ToInstance::Later { start, again }];
        if !is_known {
            if !self.is_connected {
                return output.answers.push((request, later(RETRY_DELAY + jitter % RETRY_DELAY)));
            }
            if let Err(again) = self.spread.admit(now, &key.name, jitter) {
                return output.answers.push((request, later(again)));
            }
            if !self.children.contains_key(&key) && self.children.len() >= self.rules.max_children {
                return output.answers.push((request, later(self.rules.pace.horizon)));
            }
        }
        let until = now.saturating_add(self.rules.lease);
        let child =
            self.children.entry(key.clone()).or_insert_with(|| Child::new(registration.clone(), now, until));
        child.registration = registration.clone();
        child.must_register = false;
        child.unread_term = if self.is_connected { None } else { Some(self.term) };
        child.heard = now;
        self.set_deadline(&key, until);
        if self.is_connected {
            self.wait(now, &key, request, output);
            self.queue(&key, ToAgent::Register(registration));
        } else {
            output.answers.push((request, vec![self.welcome(start, registration.who.incarnation)]));
        }
    }

    fn report(&mut self, now: Micros, request: RequestId, report: Report, output: &mut RelayOutput) {
        let start = report.who.start;
        let key = ChildKey { name: report.who.name.clone(), start };
        self.observe_child_term(report.term);
        let child = self.children.get_mut(&key);
        let Some(child) = child.filter(|child| child.is_registered && !child.must_register) else {
            return output.answers.push((request, vec![ToInstance::Unknown { start }]));
        };
        child.unread_term = None;
        child.registration.who = report.who.clone();
        child.last_report = Some(repeatable(&report));
        child.heard = now;
        self.set_deadline(&key, now.saturating_add(self.rules.lease));
        self.wait(now, &key, request, output);
        if self.is_connected {
            self.queue(&key, ToAgent::Report(report));
        } else {
            self.answer_alone(now, &key, output);
        }
    }

    /// A child may have heard of a later agent elsewhere: this parent was replaced then.
    fn observe_child_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    fn welcome(&self, start: u64, incarnation: u64) -> ToInstance {
        let spread = self.spread.span(self.children.len());
        ToInstance::Welcome(Welcome { start, incarnation, term: self.term, every: self.every, spread })
    }

    /// Has a request wait for the parent. One that waited before is answered with nothing.
    fn wait(&mut self, now: Micros, key: &ChildKey, request: RequestId, output: &mut RelayOutput) {
        let waiting = Waiting { request, until: now.saturating_add(self.rules.answer_timeout) };
        let Some(child) = self.children.get_mut(key) else { return };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        if let Some(former) = child.waiting.replace(waiting) {
            output.answers.push((former.request, Vec::new()));
        }
        self.deadlines.insert((child.deadline(), key.clone()));
    }

    /// Takes the request of a child that waits, if one does.
    fn take_waiting(&mut self, key: &ChildKey) -> Option<RequestId> {
        let child = self.children.get_mut(key)?;
        self.deadlines.remove(&(child.deadline(), key.clone()));
        let waiting = child.waiting.take();
        child.unread_term = waiting.map(|_| self.term).or(child.unread_term);
        self.deadlines.insert((child.deadline(), key.clone()));
        waiting.map(|waiting| waiting.request)
    }

    /// Answers a child that waits without the parent.
    fn answer_alone(&mut self, now: Micros, key: &ChildKey, output: &mut RelayOutput) {
        let is_overdue = |waiting: &Waiting| !self.is_connected || waiting.until <= now;
        let child = self.children.get(key);
        let Some(child) = child.filter(|child| child.waiting.as_ref().is_some_and(is_overdue)) else {
            return;
        };
        let (start, term) = (key.start, self.term);
        let answer = match child.is_registered {
            true => ToInstance::Renewed { start, term },
            false => ToInstance::Later { start, again: RETRY_DELAY },
        };
        if let Some(request) = self.take_waiting(key) {
            self.answered_alone += 1;
            output.answers.push((request, vec![answer]));
        }
    }

    fn set_deadline(&mut self, key: &ChildKey, until: Micros) {
        let Some(child) = self.children.get_mut(key) else { return };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        child.until = until;
        self.deadlines.insert((child.deadline(), key.clone()));
    }

    fn forget(&mut self, key: &ChildKey) {
        if let Some(child) = self.children.remove(key) {
            self.deadlines.remove(&(child.deadline(), key.clone()));
        }
    }

    /// The parent has decided which start holds the name.
    fn forget_other_starts(&mut self, holder: &ChildKey) {
        let first = ChildKey { name: holder.name.clone(), start: 0 };
        let last = ChildKey { name: holder.name.clone(), start: u64::MAX };
        let keys: Vec<ChildKey> = self.children.range(first..=last).map(|(key, _)| key.clone()).collect();
        keys.iter().filter(|key| *key != holder).for_each(|key| self.forget(key));
    }

    /// Sends a message of a child to the parent with one of the next batches.
    fn queue(&mut self, key: &ChildKey, message: ToAgent) {
        let Some(child) = self.children.get_mut(key) else { return };
        if child.outgoing.replace(message).is_none() {
            self.outgoing.insert(self.next_outgoing, key.clone());
            self.next_outgoing += 1;
        }
    }

    /// Delivers the parent's messages to a child: as the answer that it waits for, or over its watch.
    fn deliver(&mut self, key: &ChildKey, messages: Vec<ToInstance>, output: &mut RelayOutput) {
        if !self.children.contains_key(key) {
            return;
        }
        let is_waiting = self.children[key].waiting.is_some();
        let mut delivered = Vec::new();
        for message in messages {
            delivered.extend(self.translate(key, message, is_waiting));
        }
        match self.take_waiting(key) {
            Some(request) => output.answers.push((request, delivered)),
            None => delivered.into_iter().for_each(|message| self.push(key, message, output)),
        }
    }

    /// What a child gets of a message of the parent; none where the message concerns the relay alone.
    fn translate(&mut self, key: &ChildKey, message: ToInstance, is_waiting: bool) -> Option<ToInstance> {
        let (start, term) = (key.start, self.term);
        match message {
            ToInstance::Welcome(welcome) => {
                self.every = welcome.every;
                self.forget_other_starts(key);
                let child = self.children.get_mut(key)?;
                let was_registered = std::mem::replace(&mut child.is_registered, true);
                child.must_register =
                    welcome.incarnation != child.registration.who.incarnation && !is_waiting;
                let report = child.last_report.clone().filter(|_| !is_waiting && !child.must_register);
                if let Some(report) = report {
                    self.queue(key, ToAgent::Report(report));
                }
                if was_registered && !is_waiting {
                    return None;
                }
                Some(self.welcome(start, welcome.incarnation))
            }
            ToInstance::Unknown { .. } => {
                // The parent was started anew without its state: the relay registers the child for it.
                let child = self.children.get(key)?;
                let registration = ToAgent::Register(child.registration.clone());
                if !is_injected(InjectedBug::RelayForgetsToRegister) {
                    self.queue(key, registration);
                }
                Some(ToInstance::Renewed { start, term }).filter(|_| is_waiting)
            }
            ToInstance::Later { again, .. } => {
                let child = self.children.get_mut(key)?;
                if is_waiting && !child.is_registered {
                    return Some(ToInstance::Later { start, again });
                }
                // The registration that the relay made for it: made again with its next report.
                child.must_register = true;
                None
            }
            ToInstance::Superseded { by, again, .. } => {
                self.children.get_mut(key)?.is_registered = false;
                Some(ToInstance::Superseded { start, by, again })
            }
            other => Some(other),
        }
    }
}

fn key_of(message: &ToAgent) -> ChildKey {
    let who = message.who();
    ChildKey { name: who.name.clone(), start: who.start }
}

/// The term of the agent that decided what a message says; none where it says nothing that lasts.
fn term_of(message: &ToInstance) -> Option<u64> {
    match message {
        ToInstance::Welcome(welcome) => Some(welcome.term),
        ToInstance::Renewed { term, .. } => Some(*term),
        ToInstance::Order(order) => Some(order.stamp.term),
        ToInstance::Lent(grant) => Some(grant.by.term),
        ToInstance::Lists(lists) => Some(lists.stamp.term),
        ToInstance::Superseded { .. } | ToInstance::Later { .. } | ToInstance::Unknown { .. } => None,
    }
}

//! The relay's side towards its parent: connections, batches and the messages that come down.

use super::child::ChildKey;
use super::wire::{Addressed, Batch, BatchAnswer, MAX_BATCH};
use super::{Relay, RelayOutput};
use crate::instance::REPORT_INTERVALS;
use crate::protocol::{ToAgent, ToInstance, Welcome};
use crate::{InjectedBug, Micros, is_injected};
use std::collections::BTreeMap;

impl Relay {
    /// The parent takes batches from now on. Every child that was heard of late is sent to it.
    pub fn parent_connected(&mut self, now: Micros, term: u64) {
        if term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            // Another one has taken its place.
            return;
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
            if let Some(message) = self
                .children
                .get_mut(&key)
                .and_then(|child| child.outgoing.take())
            {
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
            if self
                .children
                .get(&key)
                .is_some_and(|child| child.outgoing.is_none())
            {
                self.queue(&key, message);
            }
        }
    }

    /// Handles the parent's answer to the last batch.
    pub fn batch_answered(&mut self, now: Micros, answer: BatchAnswer) -> RelayOutput {
        let Some(keys) = self.in_flight.take() else {
            return RelayOutput::default();
        };
        if answer.term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            // A parent that was replaced: another connection has to be made.
            return self.parent_lost(now);
        }
        self.term = self.term.max(answer.term);
        let mut by_child: BTreeMap<ChildKey, Vec<ToInstance>> =
            keys.into_iter().map(|key| (key, Vec::new())).collect();
        for Addressed { name, message } in answer.messages {
            let key = ChildKey {
                name,
                start: message.start(),
            };
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
        let key = ChildKey {
            name: message.name.clone(),
            start: message.message.start(),
        };
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
        let Some(child) = self.children.get(key) else {
            return;
        };
        let overtakes = child.unread_term.is_some_and(|unread| unread < self.term);
        // That a lease is renewed is the answer to a report, and says nothing over a watch.
        let is_answer = matches!(message, ToInstance::Renewed { .. });
        if (!overtakes || is_injected(InjectedBug::RelayOvertakesAnswers)) && !is_answer {
            output.pushes.push(Addressed {
                name: key.name.clone(),
                message,
            });
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
            delivered.extend(self.translate(key, message, is_waiting, output));
        }
        match self.take_waiting(key) {
            Some(request) => output.answers.push((request, delivered)),
            None => delivered
                .into_iter()
                .for_each(|message| self.push(key, message, output)),
        }
    }

    /// The parent has accepted a registration: one that the child waits for, or one that the relay made for it.
    fn accept(
        &mut self,
        key: &ChildKey,
        welcome: &Welcome,
        is_waiting: bool,
    ) -> Option<ToInstance> {
        self.every = welcome.every.clamp(REPORT_INTERVALS.0, REPORT_INTERVALS.1);
        let child = self.children.get_mut(key)?;
        let was_registered = std::mem::replace(&mut child.is_registered, true);
        if is_waiting || !was_registered {
            return Some(self.welcome(key.start, welcome.incarnation));
        }
        child.must_register = welcome.incarnation != child.registration.who.incarnation;
        if let Some(report) = child.last_report.clone().filter(|_| !child.must_register) {
            self.queue(key, ToAgent::Report(report));
        }
        None
    }

    /// What a child gets of a message of the parent; none where the message concerns the relay alone.
    fn translate(
        &mut self,
        key: &ChildKey,
        message: ToInstance,
        is_waiting: bool,
        output: &mut RelayOutput,
    ) -> Option<ToInstance> {
        let (start, term) = (key.start, self.term);
        match message {
            ToInstance::Welcome(welcome) => {
                self.forget_other_starts(key, output);
                self.accept(key, &welcome, is_waiting)
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
    ChildKey {
        name: who.name.clone(),
        start: who.start,
    }
}

/// The term of the agent that decided what a message says; none where it says nothing that lasts.
fn term_of(message: &ToInstance) -> Option<u64> {
    match message {
        ToInstance::Welcome(welcome) => Some(welcome.term),
        ToInstance::Renewed { term, .. } => Some(*term),
        ToInstance::Order(order) => Some(order.stamp.term),
        ToInstance::Lent(grant) => Some(grant.by.term),
        ToInstance::Lists(lists) => Some(lists.sent_at.term),
        ToInstance::Superseded { .. } | ToInstance::Later { .. } | ToInstance::Unknown { .. } => {
            None
        }
    }
}

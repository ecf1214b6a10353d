//! The relay's side towards its parent: connections, batches and the parent's messages.

use super::child::ChildKey;
use super::wire::{AddressedMessage, Batch, BatchAnswer, MAX_BATCH_MESSAGES};
use super::{ParentConnection, Relay, RelayOutput};
use crate::bounds::{MAX_REPORT_INTERVAL, MIN_REPORT_INTERVAL};
use crate::protocol::{ToAgent, ToInstance, Welcome};
use crate::{InjectedBug, Micros, is_injected};
use std::collections::BTreeMap;

impl Relay {
    /// Begins a connection to a parent, which accepts batches from now on. The state of every child that has sent a message
    /// recently is sent to it.
    pub fn parent_connected(&mut self, now: Micros, term: u64) {
        if term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            // Another parent has superseded it.
            return;
        }
        self.term = self.term.max(term);
        if self.parent == ParentConnection::Disconnected {
            self.parent = ParentConnection::Idle;
        }
        let recent = now.saturating_sub(self.report_interval.saturating_mul(2));
        let keys: Vec<ChildKey> = self.children.keys().cloned().collect();
        for key in keys {
            let child = &self.children[&key];
            if child.last_message_at < recent || !child.is_registered || child.must_register {
                continue;
            }
            let message = match &child.last_report {
                Some(report) => ToAgent::Report(report.clone()),
                None => ToAgent::Register(child.registration.clone()),
            };
            self.queue(&key, message);
        }
    }

    /// Ends the connection: the parent does not answer, or its watch has ended. All pending requests are answered.
    pub fn parent_lost(&mut self, now: Micros) -> RelayOutput {
        let mut output = RelayOutput::default();
        self.parent = ParentConnection::Disconnected;
        self.outgoing.clear();
        let keys: Vec<ChildKey> = self.children.keys().cloned().collect();
        for key in keys {
            if let Some(child) = self.children.get_mut(&key) {
                child.outgoing = None;
            }
            self.answer_locally(now, &key, &mut output);
        }
        output
    }

    /// The next batch for the parent; none where there is nothing to send, or a batch is not answered yet.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if self.parent != ParentConnection::Idle {
            return None;
        }
        let mut batch = Batch::default();
        let mut keys = Vec::new();
        while batch.messages.len() < MAX_BATCH_MESSAGES
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
        self.parent = ParentConnection::BatchInFlight(keys);
        Some(batch)
    }

    /// Returns the messages of a batch that did not fit into its request to the queue.
    pub fn put_back(&mut self, messages: Vec<ToAgent>) {
        for message in messages {
            let key = ChildKey::from(message.sender());
            if let ParentConnection::BatchInFlight(keys) = &mut self.parent {
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
        let ParentConnection::BatchInFlight(keys) = &mut self.parent else {
            return RelayOutput::default();
        };
        let keys = std::mem::take(keys);
        self.parent = ParentConnection::Idle;
        if answer.term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            // The parent was superseded: another connection has to be made.
            return self.parent_lost(now);
        }
        self.term = self.term.max(answer.term);
        let mut by_child: BTreeMap<ChildKey, Vec<ToInstance>> =
            keys.into_iter().map(|key| (key, Vec::new())).collect();
        for AddressedMessage { name, message } in answer.messages {
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

    /// Handles a message that arrived over the watch at the parent.
    pub fn parent_message(&mut self, message: AddressedMessage) -> RelayOutput {
        let mut output = RelayOutput::default();
        let key = ChildKey {
            name: message.name.clone(),
            start: message.message.start(),
        };
        let term = message.message.term().unwrap_or(self.term);
        if term < self.term && !is_injected(InjectedBug::RelayObeysFormerTerms) {
            return output;
        }
        self.term = self.term.max(term);
        self.push(&key, message.message, &mut output);
        output
    }

    /// Sends a message over the watch of a child. A message that would overtake an answer under a former term is dropped,
    /// since that answer, read after it, would end the session. The next report repeats the message.
    fn push(&self, key: &ChildKey, message: ToInstance, output: &mut RelayOutput) {
        let Some(child) = self.children.get(key) else {
            return;
        };
        let overtakes = child.unread_term.is_some_and(|unread| unread < self.term);
        // A renewal answers a report, and has no meaning over a watch.
        let is_answer = matches!(message, ToInstance::Renewed { .. });
        if (!overtakes || is_injected(InjectedBug::RelayOvertakesAnswers)) && !is_answer {
            output.pushes.push(AddressedMessage {
                name: key.name.clone(),
                message,
            });
        }
    }

    /// Delivers the parent's messages to a child: as the answer to its pending request, or over its watch.
    fn deliver(&mut self, key: &ChildKey, messages: Vec<ToInstance>, output: &mut RelayOutput) {
        if !self.children.contains_key(key) {
            return;
        }
        let is_awaited = self.children[key].pending.is_some();
        let mut delivered = Vec::new();
        for message in messages {
            delivered.extend(self.translate(key, message, is_awaited, output));
        }
        match self.take_pending(key) {
            Some(request) => output.answer(request, delivered),
            None => delivered
                .into_iter()
                .for_each(|message| self.push(key, message, output)),
        }
    }

    /// Handles that the parent has accepted a registration: one that the child waits for, or one that the relay made for
    /// it.
    fn accept(
        &mut self,
        key: &ChildKey,
        welcome: &Welcome,
        is_awaited: bool,
    ) -> Option<ToInstance> {
        self.report_interval = welcome
            .report_interval
            .clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL);
        let child = self.children.get_mut(key)?;
        let was_registered = std::mem::replace(&mut child.is_registered, true);
        if is_awaited || !was_registered {
            return Some(self.welcome(key.start, welcome.incarnation));
        }
        child.must_register = welcome.incarnation != child.registration.id.incarnation;
        if let Some(report) = child.last_report.clone().filter(|_| !child.must_register) {
            self.queue(key, ToAgent::Report(report));
        }
        None
    }

    /// Translates a message of the parent into the message that the child gets; none where it concerns the relay only.
    fn translate(
        &mut self,
        key: &ChildKey,
        message: ToInstance,
        is_awaited: bool,
        output: &mut RelayOutput,
    ) -> Option<ToInstance> {
        let (start, term) = (key.start, self.term);
        match message {
            ToInstance::Welcome(welcome) => {
                self.forget_other_starts(key, output);
                self.accept(key, &welcome, is_awaited)
            }
            ToInstance::NotRegistered { .. } => {
                // The parent has restarted without its state: the relay registers the child.
                let child = self.children.get(key)?;
                let registration = ToAgent::Register(child.registration.clone());
                if !is_injected(InjectedBug::RelayForgetsToRegister) {
                    self.queue(key, registration);
                }
                Some(ToInstance::Renewed { start, term }).filter(|_| is_awaited)
            }
            ToInstance::RetryLater { retry_after, .. } => {
                let child = self.children.get_mut(key)?;
                if is_awaited && !child.is_registered {
                    return Some(ToInstance::RetryLater { start, retry_after });
                }
                // The relay made the registration: the child has to register itself when it next reports.
                child.must_register = true;
                None
            }
            ToInstance::Superseded {
                holder_incarnation,
                retry_after,
                ..
            } => {
                self.children.get_mut(key)?.is_registered = false;
                Some(ToInstance::Superseded {
                    start,
                    holder_incarnation,
                    retry_after,
                })
            }
            other => Some(other),
        }
    }
}

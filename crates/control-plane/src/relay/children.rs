//! The relay's side towards its children: registrations, reports and the answers to them.

use super::child::{Child, ChildKey, PendingRequest, repeatable};
use super::{RETRY_DELAY, Relay, RelayOutput, RequestId};
use crate::Micros;
use crate::protocol::{Register, Report, ToAgent, ToInstance, Welcome};

impl Relay {
    /// Handles a registration. One with invalid fields is answered with no messages.
    pub(super) fn register(
        &mut self,
        now: Micros,
        request: RequestId,
        registration: Register,
        jitter: u64,
        output: &mut RelayOutput,
    ) {
        let start = registration.id.start;
        let checked = registration
            .id
            .check()
            .and_then(|()| registration.attributes.check());
        if checked.is_err() {
            return output.answer(request, Vec::new());
        }
        self.observe_child_term(registration.term);
        let key = ChildKey::from(&registration.id);
        let is_known = self
            .children
            .get(&key)
            .is_some_and(|child| child.is_registered);
        if !is_known && let Err(retry_after) = self.admit(now, &key, jitter) {
            return output.answer(request, vec![ToInstance::RetryLater { start, retry_after }]);
        }
        let forget_at = now.saturating_add(self.child_lease());
        let is_connected = self.is_connected();
        let child = self
            .children
            .entry(key.clone())
            .or_insert_with(|| Child::new(registration.clone(), now, forget_at));
        child.registration = registration.clone();
        child.last_report = None;
        child.must_register = false;
        child.unread_term = (!is_connected).then_some(self.term);
        child.last_message_at = now;
        self.renew_lease(&key, forget_at);
        if is_connected {
            self.await_parent(now, &key, request, output);
            self.queue(&key, ToAgent::Register(registration));
        } else {
            let welcome = self.welcome(start, registration.id.incarnation);
            output.answer(request, vec![welcome]);
        }
    }

    /// Admits the registration of a start that no parent has accepted, or returns the delay after which to try again.
    pub(super) fn admit(&mut self, now: Micros, key: &ChildKey, jitter: u64) -> Result<(), Micros> {
        if !self.is_connected() {
            return Err(RETRY_DELAY + jitter % RETRY_DELAY);
        }
        self.registrations.admit(now, &key.name, jitter)?;
        let is_full = self.children.len() >= self.settings.max_children;
        if is_full && !self.children.contains_key(key) {
            Err(self.settings.registration_rate.max_delay)
        } else {
            Ok(())
        }
    }

    /// Handles a report: it is sent to the parent or, while the parent is unreachable, answered here.
    pub(super) fn report(
        &mut self,
        now: Micros,
        request: RequestId,
        report: Report,
        output: &mut RelayOutput,
    ) {
        let start = report.id.start;
        let key = ChildKey::from(&report.id);
        self.observe_child_term(report.term);
        let child = self.children.get_mut(&key);
        let Some(child) = child.filter(|child| child.is_registered && !child.must_register) else {
            return output.answer(request, vec![ToInstance::NotRegistered { start }]);
        };
        child.unread_term = None;
        child.registration.id = report.id.clone();
        child.last_report = Some(repeatable(&report));
        child.last_message_at = now;
        self.renew_lease(&key, now.saturating_add(self.child_lease()));
        self.await_parent(now, &key, request, output);
        if self.is_connected() {
            self.queue(&key, ToAgent::Report(report));
        } else {
            self.answer_locally(now, &key, output);
        }
    }

    /// Records the term that a child knows. A later one than the parent's shows that the parent was superseded.
    pub(super) fn observe_child_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// The answer to an accepted registration, with the relay's own reconnect window.
    pub(super) fn welcome(&self, start: u64, incarnation: u64) -> ToInstance {
        let reconnect_window = self.registrations.reconnect_window(self.children.len());
        ToInstance::Welcome(Welcome {
            start,
            incarnation,
            term: self.term,
            report_interval: self.report_interval,
            reconnect_window,
        })
    }

    /// How long a child without messages is remembered, in microseconds; at least three report intervals.
    fn child_lease(&self) -> Micros {
        self.settings
            .child_lease
            .max(self.report_interval.saturating_mul(3))
    }

    /// Keeps a request until the parent has answered it. A former one of the child is answered with no messages.
    pub(super) fn await_parent(
        &mut self,
        now: Micros,
        key: &ChildKey,
        request: RequestId,
        output: &mut RelayOutput,
    ) {
        let pending = PendingRequest {
            request,
            deadline: now.saturating_add(self.settings.answer_timeout),
        };
        let Some(child) = self.children.get_mut(key) else {
            return;
        };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        if let Some(former) = child.pending.replace(pending) {
            output.answer(former.request, Vec::new());
        }
        self.deadlines.insert((child.deadline(), key.clone()));
    }

    /// Takes the pending request of a child, if there is one.
    pub(super) fn take_pending(&mut self, key: &ChildKey) -> Option<RequestId> {
        let child = self.children.get_mut(key)?;
        self.deadlines.remove(&(child.deadline(), key.clone()));
        let pending = child.pending.take();
        child.unread_term = pending.map(|_| self.term).or(child.unread_term);
        self.deadlines.insert((child.deadline(), key.clone()));
        pending.map(|pending| pending.request)
    }

    /// Answers the pending request of a child without the parent, if the parent is unreachable or late.
    pub(super) fn answer_locally(&mut self, now: Micros, key: &ChildKey, output: &mut RelayOutput) {
        let is_connected = self.is_connected();
        let is_due = |pending: &PendingRequest| !is_connected || pending.deadline <= now;
        let child = self.children.get(key);
        let Some(child) = child.filter(|child| child.pending.as_ref().is_some_and(is_due)) else {
            return;
        };
        let (start, term) = (key.start, self.term);
        let answer = match child.is_registered {
            true => ToInstance::Renewed { start, term },
            false => ToInstance::RetryLater {
                start,
                retry_after: RETRY_DELAY,
            },
        };
        if let Some(request) = self.take_pending(key) {
            self.answered_locally += 1;
            output.answer(request, vec![answer]);
        }
    }

    /// Postpones the time at which a child is forgotten.
    pub(super) fn renew_lease(&mut self, key: &ChildKey, forget_at: Micros) {
        let Some(child) = self.children.get_mut(key) else {
            return;
        };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        child.forget_at = forget_at;
        self.deadlines.insert((child.deadline(), key.clone()));
    }

    /// Forgets a child. Its pending request is answered with no messages.
    pub(super) fn forget(&mut self, key: &ChildKey, output: &mut RelayOutput) {
        let Some(child) = self.children.remove(key) else {
            return;
        };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        if let Some(pending) = child.pending {
            output.answer(pending.request, Vec::new());
        }
    }

    /// Forgets the other starts of a name, once the parent has decided which one holds it.
    pub(super) fn forget_other_starts(&mut self, holder: &ChildKey, output: &mut RelayOutput) {
        let first = ChildKey {
            name: holder.name.clone(),
            start: 0,
        };
        let last = ChildKey {
            name: holder.name.clone(),
            start: u64::MAX,
        };
        let keys: Vec<ChildKey> = self
            .children
            .range(first..=last)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter()
            .filter(|key| *key != holder)
            .for_each(|key| self.forget(key, output));
    }

    /// Queues a message of a child for one of the next batches.
    pub(super) fn queue(&mut self, key: &ChildKey, message: ToAgent) {
        let Some(child) = self.children.get_mut(key) else {
            return;
        };
        if child.outgoing.replace(message).is_none() {
            self.outgoing.insert(self.next_outgoing, key.clone());
            self.next_outgoing += 1;
        }
    }
}

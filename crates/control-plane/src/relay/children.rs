//! The relay's side towards its children: registrations, reports and the answers to them.

use super::child::{Child, ChildKey, Waiting, repeatable};
use super::{RETRY_DELAY, Relay, RelayOutput, RequestId};
use crate::Micros;
use crate::protocol::{Register, Report, ToAgent, ToInstance, Welcome};

impl Relay {
    pub(super) fn register(
        &mut self,
        now: Micros,
        request: RequestId,
        registration: Register,
        jitter: u64,
        output: &mut RelayOutput,
    ) {
        let start = registration.who.start;
        if registration
            .who
            .check()
            .and_then(|()| registration.traits.check())
            .is_err()
        {
            return output.answers.push((request, Vec::new()));
        }
        self.observe_child_term(registration.term);
        let key = ChildKey {
            name: registration.who.name.clone(),
            start,
        };
        let is_known = self
            .children
            .get(&key)
            .is_some_and(|child| child.is_registered);
        if !is_known && let Err(again) = self.admit(now, &key, jitter) {
            return output
                .answers
                .push((request, vec![ToInstance::Later { start, again }]));
        }
        let until = now.saturating_add(self.lease());
        let child = self
            .children
            .entry(key.clone())
            .or_insert_with(|| Child::new(registration.clone(), now, until));
        child.registration = registration.clone();
        child.last_report = None;
        child.must_register = false;
        child.unread_term = if self.is_connected {
            None
        } else {
            Some(self.term)
        };
        child.heard = now;
        self.set_deadline(&key, until);
        if self.is_connected {
            self.wait(now, &key, request, output);
            self.queue(&key, ToAgent::Register(registration));
        } else {
            output.answers.push((
                request,
                vec![self.welcome(start, registration.who.incarnation)],
            ));
        }
    }

    /// Whether a start that no parent has accepted may register now; else the delay after which it should try again.
    pub(super) fn admit(&mut self, now: Micros, key: &ChildKey, jitter: u64) -> Result<(), Micros> {
        if !self.is_connected {
            return Err(RETRY_DELAY + jitter % RETRY_DELAY);
        }
        self.spread.admit(now, &key.name, jitter)?;
        let is_full = self.children.len() >= self.rules.max_children;
        if is_full && !self.children.contains_key(key) {
            Err(self.rules.pace.horizon)
        } else {
            Ok(())
        }
    }

    pub(super) fn report(
        &mut self,
        now: Micros,
        request: RequestId,
        report: Report,
        output: &mut RelayOutput,
    ) {
        let start = report.who.start;
        let key = ChildKey {
            name: report.who.name.clone(),
            start,
        };
        self.observe_child_term(report.term);
        let child = self.children.get_mut(&key);
        let Some(child) = child.filter(|child| child.is_registered && !child.must_register) else {
            return output
                .answers
                .push((request, vec![ToInstance::Unknown { start }]));
        };
        child.unread_term = None;
        child.registration.who = report.who.clone();
        child.last_report = Some(repeatable(&report));
        child.heard = now;
        self.set_deadline(&key, now.saturating_add(self.lease()));
        self.wait(now, &key, request, output);
        if self.is_connected {
            self.queue(&key, ToAgent::Report(report));
        } else {
            self.answer_alone(now, &key, output);
        }
    }

    /// A child may have heard of a later agent elsewhere: this parent was replaced then.
    pub(super) fn observe_child_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    pub(super) fn welcome(&self, start: u64, incarnation: u64) -> ToInstance {
        let spread = self.spread.span(self.children.len());
        ToInstance::Welcome(Welcome {
            start,
            incarnation,
            term: self.term,
            every: self.every,
            spread,
        })
    }

    /// How long a child without messages is remembered: no less than three of the reports that the parent asks for.
    pub(super) fn lease(&self) -> Micros {
        self.rules.lease.max(self.every.saturating_mul(3))
    }

    /// Has a request wait for the parent. One that waited before is answered with nothing.
    pub(super) fn wait(
        &mut self,
        now: Micros,
        key: &ChildKey,
        request: RequestId,
        output: &mut RelayOutput,
    ) {
        let waiting = Waiting {
            request,
            until: now.saturating_add(self.rules.answer_timeout),
        };
        let Some(child) = self.children.get_mut(key) else {
            return;
        };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        if let Some(former) = child.waiting.replace(waiting) {
            output.answers.push((former.request, Vec::new()));
        }
        self.deadlines.insert((child.deadline(), key.clone()));
    }

    /// Takes the request of a child that waits, if one does.
    pub(super) fn take_waiting(&mut self, key: &ChildKey) -> Option<RequestId> {
        let child = self.children.get_mut(key)?;
        self.deadlines.remove(&(child.deadline(), key.clone()));
        let waiting = child.waiting.take();
        child.unread_term = waiting.map(|_| self.term).or(child.unread_term);
        self.deadlines.insert((child.deadline(), key.clone()));
        waiting.map(|waiting| waiting.request)
    }

    /// Answers a child that waits without the parent.
    pub(super) fn answer_alone(&mut self, now: Micros, key: &ChildKey, output: &mut RelayOutput) {
        let is_overdue = |waiting: &Waiting| !self.is_connected || waiting.until <= now;
        let child = self.children.get(key);
        let Some(child) = child.filter(|child| child.waiting.as_ref().is_some_and(is_overdue))
        else {
            return;
        };
        let (start, term) = (key.start, self.term);
        let answer = match child.is_registered {
            true => ToInstance::Renewed { start, term },
            false => ToInstance::Later {
                start,
                again: RETRY_DELAY,
            },
        };
        if let Some(request) = self.take_waiting(key) {
            self.answered_alone += 1;
            output.answers.push((request, vec![answer]));
        }
    }

    pub(super) fn set_deadline(&mut self, key: &ChildKey, until: Micros) {
        let Some(child) = self.children.get_mut(key) else {
            return;
        };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        child.until = until;
        self.deadlines.insert((child.deadline(), key.clone()));
    }

    /// Forgets a child. A request of it that waits is answered with nothing.
    pub(super) fn forget(&mut self, key: &ChildKey, output: &mut RelayOutput) {
        let Some(child) = self.children.remove(key) else {
            return;
        };
        self.deadlines.remove(&(child.deadline(), key.clone()));
        output
            .answers
            .extend(child.waiting.map(|waiting| (waiting.request, Vec::new())));
    }

    /// The parent has decided which start holds the name.
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

    /// Sends a message of a child to the parent with one of the next batches.
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

//! The instance's side of the protocol.
//!
//! An instance connects to the agent, registers, reports at regular intervals, and applies the newest order, either
//! in full or not at all. It never waits for the agent: while there is none it goes on with the settings that it has.
//! The cost is one message for each report and each order, and the memory of two orders at most.

use crate::change::Traits;
use crate::gate::Counts;
use crate::protocol::{
    Answer, Holding, Order, Outcome, Register, Report, Stamp, ToAgent, ToInstance, Who,
};
use crate::settings::Overlay;
use crate::{InjectedBug, Micros, is_injected};
use madderloom_endpoint_sharing::EndpointListUpdates;
use madderloom_quota_leases::Grant;
use serde::{Deserialize, Serialize};

/// How long an instance waits for an answer to its registration, in microseconds.
const REGISTRATION_TIMEOUT: Micros = 5_000_000;
/// The number of unanswered reports in a row after which the agent counts as unreachable, unless set otherwise.
const MAX_UNANSWERED: u32 = 3;
/// The shortest time before an instance returns to an agent that was unreachable, in microseconds.
const SHORTEST_WAIT: Micros = 200_000;
/// The longest delay that an agent may ask for, in microseconds.
const LONGEST_WAIT: Micros = 120_000_000;
/// The shortest and the longest report interval that an agent may ask for, in microseconds.
pub(crate) const REPORT_INTERVALS: (Micros, Micros) = (100_000, 60_000_000);

/// The state of an instance's session with the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Session {
    /// The instance is not registered; it will register when its timer is due.
    Out,
    /// It has sent a registration and waits for the answer.
    Asked,
    /// It is registered.
    In,
}

/// The state of an instance that its next start should find again, where it can persist any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    /// The incarnation; the next start takes a greater one.
    pub incarnation: u64,
    /// The greatest known term of an agent.
    pub term: u64,
    /// The revision in effect.
    pub revision: u64,
    /// All settings in effect beside those of the instance's own file.
    pub overlay: Overlay,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The time of [`Instance::next`] has come.
    Timer,
    /// A message of the agent has arrived.
    Message(&'a ToInstance),
    /// The embedder has applied the order of [`Action::Take`] in full, or has refused it and changed nothing.
    Taken(Outcome),
    /// The connection to the agent is lost.
    Lost,
    /// The instance's own file was read again, so that an order that was refused may be tried again.
    FileChanged(&'a Traits),
    /// The agent should receive a report now: capacity of a limit was freed, or discovery has sent an event.
    Report,
}

/// An output of the state machine. Actions must be carried out in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Persist this for the next start.
    Keep(Memory),
    /// Check the whole order, then apply it in full or not at all, and report the outcome by [`Event::Taken`].
    Take(Order),
    /// Send this to the agent. A message that cannot be sent is dropped.
    Send(ToAgent),
    /// Use these leases of fleet-wide limits.
    Lent(Grant),
    /// Use these lists, which the fleet shares.
    Lists(EndpointListUpdates),
}

/// The state machine of one start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    who: Who,
    traits: Traits,
    session: Session,
    term: u64,
    stamp: Stamp,
    holding: Holding,
    overlay: Overlay,
    answer: Option<Answer>,
    in_progress: Option<Order>,
    queued: Option<Order>,
    counts: Counts,
    next: Micros,
    every: Micros,
    spread: Micros,
    unanswered: u32,
    max_unanswered: u32,
}

impl Instance {
    /// Creates the state machine of a start. `memory` is what the last start persisted. Its overlay must be in effect
    /// already; it must be empty where it could not be applied. `who.incarnation` is raised above the persisted one.
    pub fn new(now: Micros, mut who: Who, traits: Traits, memory: Memory) -> Self {
        who.incarnation = who.incarnation.max(memory.incarnation.saturating_add(1));
        let Memory {
            term,
            revision,
            overlay,
            ..
        } = memory;
        let (stamp, answer, in_progress, queued, counts) = Default::default();
        Instance {
            who,
            traits,
            session: Session::Out,
            term,
            stamp,
            holding: Holding {
                revision,
                overlay: overlay.fingerprint(),
            },
            overlay,
            answer,
            in_progress,
            queued,
            counts,
            next: now,
            every: 3_000_000,
            spread: 1_000_000,
            unanswered: 0,
            max_unanswered: MAX_UNANSWERED,
        }
    }

    /// Sets the number of unanswered reports in a row after which the agent counts as unreachable.
    pub fn max_unanswered(self, reports: u32) -> Self {
        Instance {
            max_unanswered: reports.max(1),
            ..self
        }
    }

    /// Sets the request counts of the window that ends now; the next report contains them.
    pub fn count(&mut self, counts: Counts) {
        self.counts = counts;
    }

    /// When [`Event::Timer`] is due.
    pub fn next(&self) -> Micros {
        self.next
    }

    /// The state of the session with the agent.
    pub fn session(&self) -> Session {
        self.session
    }

    /// The identity of this start. The agent may have raised the incarnation.
    pub fn who(&self) -> &Who {
        &self.who
    }

    /// All settings in effect beside those of the instance's own file.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    /// The revision and the fingerprint of the settings in effect.
    pub fn holding(&self) -> &Holding {
        &self.holding
    }

    /// The stamp of the last order that this start has obeyed.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The greatest known term of an agent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The answer to the last order.
    pub fn answer(&self) -> Option<&Answer> {
        self.answer.as_ref()
    }

    /// Handles an event and appends the resulting actions. `jitter` must be random.
    pub fn handle(
        &mut self,
        now: Micros,
        event: Event<'_>,
        jitter: u64,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Timer if now < self.next => {}
            Event::Timer => self.on_timer(now, jitter, actions),
            Event::Message(message) => self.on_message(now, message, jitter, actions),
            Event::Taken(outcome) => self.order_completed(outcome, actions),
            Event::Lost => self.end_session(now, jitter),
            Event::Report if self.session == Session::In => {
                actions.push(Action::Send(self.report()))
            }
            Event::Report => {}
            Event::FileChanged(traits) => {
                self.traits = traits.clone();
                self.answer = None;
                // The registration tells the agent about it.
                self.session = Session::Out;
                self.next = now;
            }
        }
    }

    fn on_timer(&mut self, now: Micros, jitter: u64, actions: &mut Vec<Action>) {
        match self.session {
            Session::Out | Session::Asked => {
                self.session = Session::Asked;
                self.next = now
                    .saturating_add(REGISTRATION_TIMEOUT)
                    .saturating_add(jitter % REGISTRATION_TIMEOUT);
                let registration = Register {
                    who: self.who.clone(),
                    traits: self.traits.clone(),
                    term: self.term,
                };
                actions.push(Action::Send(ToAgent::Register(registration)));
            }
            Session::In if self.unanswered >= self.max_unanswered => self.end_session(now, jitter),
            Session::In => {
                self.unanswered += 1;
                self.next = now.saturating_add(self.every);
                actions.push(Action::Send(self.report()));
            }
        }
    }

    /// Ends the session. The instance registers again after a random delay.
    fn end_session(&mut self, now: Micros, jitter: u64) {
        self.session = Session::Out;
        self.unanswered = 0;
        self.next = now
            .saturating_add(SHORTEST_WAIT)
            .saturating_add(jitter % self.spread.max(1));
    }

    fn on_message(
        &mut self,
        now: Micros,
        message: &ToInstance,
        jitter: u64,
        actions: &mut Vec<Action>,
    ) {
        let wait = |again: Micros| now.saturating_add(again.clamp(1, LONGEST_WAIT));
        match message {
            ToInstance::Welcome(welcome) if welcome.start == self.who.start => {
                if self.session != Session::Asked || !self.observe_term(welcome.term, actions) {
                    return;
                }
                self.session = Session::In;
                self.unanswered = 0;
                self.every = welcome.every.clamp(REPORT_INTERVALS.0, REPORT_INTERVALS.1);
                self.spread = welcome.spread.clamp(1, LONGEST_WAIT);
                if self.who.incarnation != welcome.incarnation {
                    self.who.incarnation = welcome.incarnation;
                    actions.push(Action::Keep(self.persisted_state()));
                }
                self.next = now.saturating_add(self.every);
                self.unanswered = 1;
                actions.push(Action::Send(self.report()));
            }
            ToInstance::Renewed { start, term }
                if *start == self.who.start && self.session == Session::In =>
            {
                if *term < self.term {
                    // This agent was replaced and does not know it: look for the other one.
                    return self.end_session(now, jitter);
                }
                self.observe_term(*term, actions);
                self.unanswered = 0;
            }
            ToInstance::Superseded { start, again, .. } | ToInstance::Later { start, again }
                if *start == self.who.start =>
            {
                self.session = Session::Out;
                self.next = wait(*again);
            }
            ToInstance::Unknown { start }
                if *start == self.who.start && self.session == Session::In =>
            {
                self.session = Session::Out;
                self.next = now;
            }
            // Messages from an agent outside a session are ignored.
            ToInstance::Lent(grant)
                if grant.start == self.who.start
                    && self.session == Session::In
                    && self.observe_term(grant.by.term, actions) =>
            {
                actions.push(Action::Lent(grant.clone()));
            }
            ToInstance::Lists(lists)
                if lists.incarnation == self.who.start
                    && self.session == Session::In
                    && self.observe_term(lists.sent_at.term, actions) =>
            {
                actions.push(Action::Lists(lists.clone()));
            }
            ToInstance::Order(order) if order.start == self.who.start => {
                self.on_order(order, actions)
            }
            _ => {}
        }
    }

    /// Records the term of an agent that has sent a message. Returns false where a later term is known.
    fn observe_term(&mut self, term: u64, actions: &mut Vec<Action>) -> bool {
        if term > self.term {
            self.term = term;
            actions.push(Action::Keep(self.persisted_state()));
        }
        term >= self.term
    }

    fn on_order(&mut self, order: &Order, actions: &mut Vec<Action>) {
        let fenced = !is_injected(InjectedBug::NoFencing);
        if self.session != Session::In || fenced && !self.observe_term(order.stamp.term, actions) {
            return;
        }
        if fenced && order.stamp < self.stamp {
            return;
        }
        if let Some(in_progress) = &self.in_progress {
            // One order at a time is carried out; of those that arrive meanwhile, the newest is kept.
            let newest = self.queued.as_ref().unwrap_or(in_progress);
            if order.stamp > newest.stamp {
                self.queued = Some(order.clone());
            }
            return;
        }
        if order.stamp == self.stamp && !is_injected(InjectedBug::ForgetRepeats) {
            return actions.push(Action::Send(self.report()));
        }
        let overlay = order.overlay.fingerprint();
        let holds = overlay == self.holding.overlay;
        let same = |answer: &&mut Answer| {
            answer.change == order.change
                && answer.revision == order.revision
                && answer.overlay == overlay
        };
        let known = self.answer.as_mut().filter(same);
        if let Some(answer) = known.filter(|answer| holds || answer.outcome != Outcome::Applied)
            && !is_injected(InjectedBug::ForgetRepeats)
        {
            // A repeated order under a later stamp: the answer is repeated too, and nothing is applied.
            answer.stamp = order.stamp;
            self.stamp = order.stamp;
            return actions.push(Action::Send(self.report()));
        }
        if is_injected(InjectedBug::AckBeforeEffect) {
            self.record_outcome(order, Outcome::Applied);
            actions.push(Action::Send(self.report()));
        }
        self.in_progress = Some(order.clone());
        actions.push(Action::Take(order.clone()));
    }

    fn record_outcome(&mut self, order: &Order, outcome: Outcome) {
        let overlay = order.overlay.fingerprint();
        let Order {
            stamp,
            change,
            revision,
            ..
        } = order.clone();
        if outcome == Outcome::Applied {
            self.overlay = order.overlay.clone();
            self.holding = Holding { revision, overlay };
        }
        self.stamp = stamp;
        self.answer = Some(Answer {
            stamp,
            change,
            revision,
            overlay,
            outcome,
        });
    }

    fn order_completed(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(order) = self.in_progress.take() else {
            return;
        };
        self.record_outcome(&order, outcome);
        actions.push(Action::Keep(self.persisted_state()));
        actions.push(Action::Send(self.report()));
        if let Some(next) = self.queued.take() {
            self.on_order(&next, actions);
        }
    }

    fn persisted_state(&self) -> Memory {
        Memory {
            incarnation: self.who.incarnation,
            term: self.term,
            revision: self.holding.revision,
            overlay: self.overlay.clone(),
        }
    }

    fn report(&self) -> ToAgent {
        ToAgent::Report(Report {
            who: self.who.clone(),
            term: self.term,
            answer: self.answer.clone(),
            holding: self.holding.clone(),
            counts: self.counts,
            asks: None,
            tells: None,
        })
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn forget_name(&mut self) {
        self.who.name.clear();
    }

    /// Whether the next timer ends the session.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn ends_session(&self) -> bool {
        self.session == Session::In && self.unanswered >= self.max_unanswered
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.next = self.next.saturating_sub(by);
    }
}

//! The instance's side of the protocol.
//!
//! It connects outwards, registers, reports at a steady pace, and has in effect what the newest order says, whole or
//! not at all. It never waits for the agent: without one it goes on with what it has. What it costs: one message out
//! per report and per order obeyed, and the memory of two orders at most.

use crate::change::Traits;
use crate::gate::Counts;
use crate::protocol::{Answer, Holding, Order, Outcome, Register, Report, Stamp, ToAgent, ToInstance, Who};
use crate::settings::Overlay;
use crate::{Micros, Planted, planted};
use madderloom_quota::Lent;
use madderloom_roster::Lists;
use serde::{Deserialize, Serialize};

/// How long an answer to a registration is waited for, in microseconds.
const PATIENCE: Micros = 5_000_000;
/// So many reports in a row without an answer, and the agent is held to be away, if nothing else was said.
const UNANSWERED: u32 = 3;
/// How long at least an instance waits before it comes back to an agent that was away, in microseconds.
const SHORTEST_WAIT: Micros = 200_000;
/// The longest wait that an agent may ask for, in microseconds.
const LONGEST_WAIT: Micros = 120_000_000;
/// The shortest and the longest gap between reports that an agent may ask for, in microseconds.
const GAPS: (Micros, Micros) = (100_000, 60_000_000);

/// Where an instance stands with the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Session {
    /// It is not known there; it will ask when the time comes.
    Out,
    /// It has asked to be known.
    Asked,
    /// It is known by its name.
    In,
}

/// What of an instance outlives it, if it may keep anything at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    /// The incarnation it went by; the next start takes a greater one.
    pub incarnation: u64,
    /// The greatest term of an agent that it has heard of.
    pub term: u64,
    /// The revision it had in effect.
    pub revision: u64,
    /// All that it had in effect beside its own file.
    pub overlay: Overlay,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The time asked for has come.
    Timer,
    /// The agent has said something.
    Message(&'a ToInstance),
    /// The order given to the embedder was checked whole and has taken effect whole, or was refused and has not.
    Taken(Outcome),
    /// The connection to the agent is lost.
    Lost,
    /// Its own file was read again: what was refused may be tried again.
    FileChanged(&'a Traits),
    /// The agent is to be told at once: something that was lent is not used any more, or discovery has spoken.
    Report,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Keep this for the next start.
    Keep(Memory),
    /// Check all of this, then have all of it in effect, or nothing; then tell [`Event::Taken`].
    Take(Order),
    /// Send this to the agent. What can't be sent is dropped.
    Send(ToAgent),
    /// This is lent of fleet-wide limits.
    Lent(Lent),
    /// This is what the fleet goes by of lists that it shares.
    Lists(Lists),
}

/// One start of an instance.
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
    taking: Option<Order>,
    waiting: Option<Order>,
    counts: Counts,
    next: Micros,
    every: Micros,
    spread: Micros,
    unanswered: u32,
    away_after: u32,
}

impl Instance {
    /// A start. `memory` is what the last one kept; its overlay must be in effect already, and be empty where it
    /// could not be. `who.incarnation` is raised above the one kept.
    pub fn new(now: Micros, mut who: Who, traits: Traits, memory: Memory) -> Self {
        who.incarnation = who.incarnation.max(memory.incarnation.saturating_add(1));
        let Memory { term, revision, overlay, .. } = memory;
        let (stamp, answer, taking, waiting, counts) = Default::default();
        Instance {
            who,
            traits,
            session: Session::Out,
            term,
            stamp,
            holding: Holding { revision, overlay: overlay.fingerprint() },
            overlay,
            answer,
            taking,
            waiting,
            counts,
            next: now,
            every: 3_000_000,
            spread: 1_000_000,
            unanswered: 0,
            away_after: UNANSWERED,
        }
    }

    /// Holds the agent to be away after so many reports in a row without an answer.
    pub fn away_after(self, reports: u32) -> Self {
        Instance { away_after: reports.max(1), ..self }
    }

    /// Its requests within the window that ends now; they go with the next report.
    pub fn count(&mut self, counts: Counts) {
        self.counts = counts;
    }

    /// When [`Event::Timer`] is due.
    pub fn next(&self) -> Micros {
        self.next
    }

    /// Where it stands with the agent.
    pub fn session(&self) -> Session {
        self.session
    }

    /// Who it is. The incarnation may have been raised by the agent.
    pub fn who(&self) -> &Who {
        &self.who
    }

    /// All that it has in effect beside its own file.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    /// The revision and the fingerprint of what it has in effect.
    pub fn holding(&self) -> &Holding {
        &self.holding
    }

    /// The last order that it obeyed in this start.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The greatest term of an agent that it has heard of.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// What it made of the last order.
    pub fn answer(&self) -> Option<&Answer> {
        self.answer.as_ref()
    }

    /// Something has happened. `jitter` is a random number.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, jitter: u64, actions: &mut Vec<Action>) {
        match event {
            Event::Timer if now < self.next => {}
            Event::Timer => self.timer(now, jitter, actions),
            Event::Message(message) => self.message(now, message, jitter, actions),
            Event::Taken(outcome) => self.taken(outcome, actions),
            Event::Lost => self.away(now, jitter),
            Event::Report if self.session == Session::In => actions.push(Action::Send(self.report())),
            Event::Report => {}
            Event::FileChanged(traits) => {
                self.traits = traits.clone();
                self.answer = None;
                // The agent learns of it by the registration.
                self.session = Session::Out;
                self.next = now;
            }
        }
    }

    fn timer(&mut self, now: Micros, jitter: u64, actions: &mut Vec<Action>) {
        match self.session {
            Session::Out | Session::Asked => {
                self.session = Session::Asked;
                self.next = now.saturating_add(PATIENCE).saturating_add(jitter % PATIENCE);
                let wish = Register { who: self.who.clone(), traits: self.traits.clone(), term: self.term };
                actions.push(Action::Send(ToAgent::Register(wish)));
            }
            Session::In if self.unanswered >= self.away_after => self.away(now, jitter),
            Session::In => {
                self.unanswered += 1;
                self.next = now.saturating_add(self.every);
                actions.push(Action::Send(self.report()));
            }
        }
    }

    /// The agent is away: it is come back to at a time of its own.
    fn away(&mut self, now: Micros, jitter: u64) {
        self.session = Session::Out;
        self.unanswered = 0;
        self.next = now.saturating_add(SHORTEST_WAIT).saturating_add(jitter % self.spread.max(1));
    }

    fn message(&mut self, now: Micros, message: &ToInstance, jitter: u64, actions: &mut Vec<Action>) {
        let wait = |again: Micros| now.saturating_add(again.clamp(1, LONGEST_WAIT));
        match message {
            ToInstance::Welcome(welcome) if welcome.start == self.who.start => {
                if self.session != Session::Asked || !self.hear(welcome.term, actions) {
                    return;
                }
                self.session = Session::In;
                self.unanswered = 0;
                self.every = welcome.every.clamp(GAPS.0, GAPS.1);
                self.spread = welcome.spread.clamp(1, LONGEST_WAIT);
                if self.who.incarnation != welcome.incarnation {
                    self.who.incarnation = welcome.incarnation;
                    actions.push(Action::Keep(self.memory()));
                }
                self.next = now.saturating_add(self.every);
                self.unanswered = 1;
                actions.push(Action::Send(self.report()));
            }
            ToInstance::Renewed { start, term }
                if *start == self.who.start && self.session == Session::In =>
            {
                if *term < self.term {
                    // An agent that was replaced and does not know it: the other one is sought.
                    return self.away(now, jitter);
                }
                self.hear(*term, actions);
                self.unanswered = 0;
            }
            ToInstance::Superseded { start, again, .. } | ToInstance::Later { start, again }
                if *start == self.who.start =>
            {
                self.session = Session::Out;
                self.next = wait(*again);
            }
            ToInstance::Unknown { start } if *start == self.who.start && self.session == Session::In => {
                self.session = Session::Out;
                self.next = now;
            }
            // From an agent that is not followed any more, or not yet, nothing is taken.
            ToInstance::Lent(lent)
                if lent.start == self.who.start
                    && self.session == Session::In
                    && self.hear(lent.by.term, actions) =>
            {
                actions.push(Action::Lent(lent.clone()));
            }
            ToInstance::Lists(lists)
                if lists.start == self.who.start
                    && self.session == Session::In
                    && self.hear(lists.stamp.term, actions) =>
            {
                actions.push(Action::Lists(lists.clone()));
            }
            ToInstance::Order(order) if order.start == self.who.start => self.order(order, actions),
            _ => {}
        }
    }

    /// An agent has spoken. False if a later one has been heard of.
    fn hear(&mut self, term: u64, actions: &mut Vec<Action>) -> bool {
        if term > self.term {
            self.term = term;
            actions.push(Action::Keep(self.memory()));
        }
        term >= self.term
    }

    fn order(&mut self, order: &Order, actions: &mut Vec<Action>) {
        let fenced = !planted(Planted::NoFencing);
        if self.session != Session::In || fenced && !self.hear(order.stamp.term, actions) {
            return;
        }
        if fenced && order.stamp < self.stamp {
            return;
        }
        if let Some(taking) = &self.taking {
            // One at a time; of those that come meanwhile the newest counts.
            let newest = self.waiting.as_ref().unwrap_or(taking);
            if order.stamp > newest.stamp {
                self.waiting = Some(order.clone());
            }
            return;
        }
        if order.stamp == self.stamp && !planted(Planted::ForgetRepeats) {
            return actions.push(Action::Send(self.report()));
        }
        let overlay = order.overlay.fingerprint();
        let holds = overlay == self.holding.overlay;
        let same = |answer: &&mut Answer| {
            answer.change == order.change && answer.revision == order.revision && answer.overlay == overlay
        };
        let known = self.answer.as_mut().filter(same);
        if let Some(answer) = known.filter(|answer| holds || answer.outcome != Outcome::Applied)
            && !planted(Planted::ForgetRepeats)
        {
            // The same again under a later stamp: the same answer, and nothing is done.
            answer.stamp = order.stamp;
            self.stamp = order.stamp;
            return actions.push(Action::Send(self.report()));
        }
        if planted(Planted::AckBeforeEffect) {
            self.obey(order, Outcome::Applied);
            actions.push(Action::Send(self.report()));
        }
        self.taking = Some(order.clone());
        actions.push(Action::Take(order.clone()));
    }

    fn obey(&mut self, order: &Order, outcome: Outcome) {
        let overlay = order.overlay.fingerprint();
        let Order { stamp, change, revision, .. } = order.clone();
        if outcome == Outcome::Applied {
            self.overlay = order.overlay.clone();
            self.holding = Holding { revision, overlay };
        }
        self.stamp = stamp;
        self.answer = Some(Answer { stamp, change, revision, overlay, outcome });
    }

    fn taken(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(order) = self.taking.take() else { return };
        self.obey(&order, outcome);
        actions.push(Action::Keep(self.memory()));
        actions.push(Action::Send(self.report()));
        if let Some(next) = self.waiting.take() {
            self.order(&next, actions);
        }
    }

    fn memory(&self) -> Memory {
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

    /// Whether the next timer finds the agent away.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn goes_away(&self) -> bool {
        self.session == Session::In && self.unanswered >= self.away_after
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.next = self.next.saturating_sub(by);
    }
}

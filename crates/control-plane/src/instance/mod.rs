//! The instance's side of the protocol.
//!
//! An instance connects to the agent, registers, reports at regular intervals, and applies the newest order, either
//! in full or not at all. It never waits for the agent: while there is none it continues with the settings that it
//! has. It keeps two orders at most, and sends one message for each report and each order.

mod interface;
mod orders;

pub use interface::{Action, Event, PersistedInstance, Session};

use crate::Micros;
use crate::bounds::{MAX_REPORT_INTERVAL, MIN_REPORT_INTERVAL};
use crate::health_gate::RequestCounts;
use crate::protocol::{
    Answer, AppliedConfiguration, FencingToken, InstanceId, Register, Report, ToAgent, ToInstance,
    Welcome,
};
use crate::selector::Attributes;
use crate::settings::Overlay;
use orders::OrderState;

/// How long an instance waits for an answer to its registration, in microseconds. A random time up to as much again is
/// added.
const REGISTRATION_TIMEOUT: Micros = 5_000_000;
/// The number of unanswered reports in a row after which the agent counts as unreachable, unless set otherwise.
const MAX_UNANSWERED_REPORTS: u32 = 3;
/// The shortest time before an instance returns to an agent that was unreachable, in microseconds.
const MIN_RECONNECT_DELAY: Micros = 200_000;
/// The longest delay that an agent may ask for, in microseconds.
const MAX_RECONNECT_DELAY: Micros = 120_000_000;
/// The report interval until an agent has set another one, in microseconds.
const DEFAULT_REPORT_INTERVAL: Micros = 3_000_000;
/// The time over which instances spread their return until an agent has set another one, in microseconds.
const DEFAULT_RECONNECT_WINDOW: Micros = 1_000_000;

/// The state machine of one start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    id: InstanceId,
    attributes: Attributes,
    session: Session,
    /// The greatest known term of an agent.
    term: u64,
    /// The token of the last order that this start has obeyed.
    fencing_token: FencingToken,
    applied: AppliedConfiguration,
    overlay: Overlay,
    answer: Option<Answer>,
    order: OrderState,
    counts: RequestCounts,
    next_timer: Micros,
    report_interval: Micros,
    reconnect_window: Micros,
    unanswered_reports: u32,
    max_unanswered_reports: u32,
}

impl Instance {
    /// Creates the state machine of a start. `persisted` is what the last start persisted. Its overlay must be in
    /// effect already; it must be empty where it could not be applied. The incarnation is raised above the persisted
    /// one.
    pub fn new(
        now: Micros,
        mut id: InstanceId,
        attributes: Attributes,
        persisted: PersistedInstance,
    ) -> Self {
        id.incarnation = id.incarnation.max(persisted.incarnation.saturating_add(1));
        Instance {
            id,
            attributes,
            session: Session::Unregistered,
            term: persisted.term,
            fencing_token: FencingToken::default(),
            applied: AppliedConfiguration {
                revision: persisted.revision,
                fingerprint: persisted.overlay.fingerprint(),
            },
            overlay: persisted.overlay,
            answer: None,
            order: OrderState::Idle,
            counts: RequestCounts::default(),
            next_timer: now,
            report_interval: DEFAULT_REPORT_INTERVAL,
            reconnect_window: DEFAULT_RECONNECT_WINDOW,
            unanswered_reports: 0,
            max_unanswered_reports: MAX_UNANSWERED_REPORTS,
        }
    }

    /// Sets the number of unanswered reports in a row after which the agent counts as unreachable; at least 1.
    pub fn with_max_unanswered_reports(self, reports: u32) -> Self {
        Instance {
            max_unanswered_reports: reports.max(1),
            ..self
        }
    }

    /// Sets the request counts of the window that ends now; the next report contains them.
    pub fn set_request_counts(&mut self, counts: RequestCounts) {
        self.counts = counts;
    }

    /// When [`Event::Timer`] is due.
    pub fn next_timer(&self) -> Micros {
        self.next_timer
    }

    /// The state of the session with the agent.
    pub fn session(&self) -> Session {
        self.session
    }

    /// The identity of this start. The agent may have raised the incarnation.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// All settings in effect beside those of the instance's own file.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    /// The revision and the fingerprint of the settings in effect.
    pub fn applied(&self) -> &AppliedConfiguration {
        &self.applied
    }

    /// The token of the last order that this start has obeyed.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The greatest known term of an agent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The answer to the last order.
    pub fn answer(&self) -> Option<&Answer> {
        self.answer.as_ref()
    }

    fn is_registered(&self) -> bool {
        self.session == Session::Registered
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
            Event::Timer if now < self.next_timer => {}
            Event::Timer => self.on_timer(now, jitter, actions),
            Event::Message(message) if message.start() == self.id.start => {
                self.on_message(now, message, jitter, actions);
            }
            Event::Message(_) => {}
            Event::OrderCompleted(outcome) => self.on_order_completed(outcome, actions),
            Event::ConnectionLost => self.end_session(now, jitter),
            Event::ReportRequested if self.is_registered() => {
                actions.push(Action::Send(self.report()));
            }
            Event::ReportRequested => {}
            Event::FileChanged(attributes) => {
                self.attributes = attributes.clone();
                self.answer = None;
                // The registration tells the agent about the new file.
                self.register_at(now);
            }
        }
    }

    fn on_timer(&mut self, now: Micros, jitter: u64, actions: &mut Vec<Action>) {
        match self.session {
            Session::Unregistered | Session::Registering => self.register(now, jitter, actions),
            Session::Registered if self.unanswered_reports >= self.max_unanswered_reports => {
                self.end_session(now, jitter);
            }
            Session::Registered => {
                self.unanswered_reports += 1;
                self.next_timer = now.saturating_add(self.report_interval);
                actions.push(Action::Send(self.report()));
            }
        }
    }

    /// Sends a registration.
    fn register(&mut self, now: Micros, jitter: u64, actions: &mut Vec<Action>) {
        self.session = Session::Registering;
        self.next_timer = now
            .saturating_add(REGISTRATION_TIMEOUT)
            .saturating_add(jitter % REGISTRATION_TIMEOUT);
        let registration = Register {
            id: self.id.clone(),
            attributes: self.attributes.clone(),
            term: self.term,
        };
        actions.push(Action::Send(ToAgent::Register(registration)));
    }

    /// Ends the session, if there is one. The instance registers at the given time.
    fn register_at(&mut self, time: Micros) {
        self.session = Session::Unregistered;
        self.next_timer = time;
    }

    /// Ends the session. The instance registers again after a random delay.
    fn end_session(&mut self, now: Micros, jitter: u64) {
        self.unanswered_reports = 0;
        let delay = MIN_RECONNECT_DELAY.saturating_add(jitter % self.reconnect_window.max(1));
        self.register_at(now.saturating_add(delay));
    }

    /// Handles a message for this start. Messages that need a session are ignored outside of one.
    fn on_message(
        &mut self,
        now: Micros,
        message: &ToInstance,
        jitter: u64,
        actions: &mut Vec<Action>,
    ) {
        match message {
            ToInstance::Welcome(welcome) => self.on_welcome(now, welcome, actions),
            ToInstance::Renewed { term, .. } if self.is_registered() => {
                self.on_renewed(now, *term, jitter, actions);
            }
            ToInstance::Superseded { retry_after, .. }
            | ToInstance::RetryLater { retry_after, .. } => {
                self.register_at(now.saturating_add((*retry_after).clamp(1, MAX_RECONNECT_DELAY)));
            }
            ToInstance::NotRegistered { .. } if self.is_registered() => self.register_at(now),
            ToInstance::LeaseGrant(grant)
                if self.is_registered() && self.observe_term(grant.server.term, actions) =>
            {
                actions.push(Action::UseLeases(grant.clone()));
            }
            ToInstance::EndpointLists(lists)
                if self.is_registered() && self.observe_term(lists.sent_at.term, actions) =>
            {
                actions.push(Action::UseLists(lists.clone()));
            }
            ToInstance::Order(order) => self.on_order(order, actions),
            ToInstance::Renewed { .. }
            | ToInstance::NotRegistered { .. }
            | ToInstance::LeaseGrant(_)
            | ToInstance::EndpointLists(_) => {}
        }
    }

    /// Begins a session.
    fn on_welcome(&mut self, now: Micros, welcome: &Welcome, actions: &mut Vec<Action>) {
        if self.session != Session::Registering || !self.observe_term(welcome.term, actions) {
            return;
        }
        self.session = Session::Registered;
        self.report_interval = welcome
            .report_interval
            .clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL);
        self.reconnect_window = welcome.reconnect_window.clamp(1, MAX_RECONNECT_DELAY);
        if self.id.incarnation != welcome.incarnation {
            self.id.incarnation = welcome.incarnation;
            actions.push(Action::Persist(self.persisted_state()));
        }
        self.next_timer = now.saturating_add(self.report_interval);
        self.unanswered_reports = 1;
        actions.push(Action::Send(self.report()));
    }

    fn on_renewed(&mut self, now: Micros, term: u64, jitter: u64, actions: &mut Vec<Action>) {
        if !self.observe_term(term, actions) {
            // This agent was superseded and does not know it: connect to the other one.
            return self.end_session(now, jitter);
        }
        self.unanswered_reports = 0;
    }

    /// Records the term of an agent that has sent a message. Returns false where a later term is known.
    fn observe_term(&mut self, term: u64, actions: &mut Vec<Action>) -> bool {
        if term > self.term {
            self.term = term;
            actions.push(Action::Persist(self.persisted_state()));
        }
        term >= self.term
    }

    fn persisted_state(&self) -> PersistedInstance {
        PersistedInstance {
            incarnation: self.id.incarnation,
            term: self.term,
            revision: self.applied.revision,
            overlay: self.overlay.clone(),
        }
    }

    fn report(&self) -> ToAgent {
        ToAgent::Report(Report {
            id: self.id.clone(),
            term: self.term,
            answer: self.answer.clone(),
            applied: self.applied.clone(),
            counts: self.counts,
            lease_requests: None,
            endpoint_lists: None,
        })
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn forget_name(&mut self) {
        self.id.name.clear();
    }

    /// Whether the next timer ends the session.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn ends_session(&self) -> bool {
        self.is_registered() && self.unanswered_reports >= self.max_unanswered_reports
    }

    /// Sets the clock back.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.next_timer = self.next_timer.saturating_sub(by);
    }
}

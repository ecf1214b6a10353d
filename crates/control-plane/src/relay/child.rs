//! What a relay knows of one start of an instance behind it.

use super::RequestId;
use crate::Micros;
use crate::protocol::{Register, Report, ToAgent};

/// Identifies one start of an instance. Two processes of one name are two children: the parent decides between them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ChildKey {
    pub(super) name: String,
    pub(super) start: u64,
}

/// A request of a child that waits for the parent's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiting {
    pub(super) request: RequestId,
    /// When the relay answers by itself.
    pub(super) until: Micros,
}

/// One start of an instance behind the relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Child {
    /// Its last registration.
    pub(super) registration: Register,
    /// Whether the parent has accepted the registration, be it a former parent.
    pub(super) is_registered: bool,
    /// The parent has granted another incarnation than the child has: the child has to register again.
    pub(super) must_register: bool,
    /// The last report, without what only a fresh report may say; sent again when the parent is back.
    pub(super) last_report: Option<Report>,
    /// When the last message came.
    pub(super) heard: Micros,
    /// When the relay forgets it.
    pub(super) until: Micros,
    /// The next message for the parent; a later one takes the place of one that was not sent.
    pub(super) outgoing: Option<ToAgent>,
    /// The term of the last answer, until the next request of the child shows that it has read it.
    pub(super) unread_term: Option<u64>,
    /// The request that waits for the parent's answer.
    pub(super) waiting: Option<Waiting>,
}

impl Child {
    /// A child that has just registered.
    pub(super) fn new(registration: Register, now: Micros, until: Micros) -> Self {
        Child {
            registration,
            is_registered: false,
            must_register: false,
            last_report: None,
            heard: now,
            until,
            outgoing: None,
            unread_term: None,
            waiting: None,
        }
    }

    /// Sets its clock back.
    #[cfg(any(test, feature = "explore"))]
    pub(super) fn rebase(&mut self, by: Micros) {
        self.heard = self.heard.saturating_sub(by);
        self.until = self.until.saturating_sub(by);
        if let Some(waiting) = &mut self.waiting {
            waiting.until = waiting.until.saturating_sub(by);
        }
    }

    /// When the relay has to look at it next.
    pub(super) fn deadline(&self) -> Micros {
        self.waiting
            .map_or(self.until, |waiting| waiting.until.min(self.until))
    }
}

/// The part of a report that stays true for a while. Leases and lists are bounded by the age of what they answer: a
/// report that is repeated asks for none.
pub(super) fn repeatable(report: &Report) -> Report {
    Report {
        asks: None,
        tells: None,
        ..report.clone()
    }
}

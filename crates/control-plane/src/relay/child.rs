//! The state that a relay keeps of one start of an instance behind it.

use super::RequestId;
use crate::Micros;
use crate::protocol::{InstanceId, Register, Report, ToAgent};

/// Identifies one start of an instance. Two processes of one name are two children: the parent decides between them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ChildKey {
    pub(super) name: String,
    pub(super) start: u64,
}

impl From<&InstanceId> for ChildKey {
    fn from(id: &InstanceId) -> Self {
        ChildKey {
            name: id.name.clone(),
            start: id.start,
        }
    }
}

/// A request of a child that waits for the parent's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) request: RequestId,
    /// When the relay answers by itself.
    pub(super) deadline: Micros,
}

/// One start of an instance behind the relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Child {
    /// Its last registration.
    pub(super) registration: Register,
    /// Whether the parent has accepted the registration, be it a former parent.
    pub(super) is_registered: bool,
    /// Whether the child has to register again, because the parent has granted another incarnation than the child has.
    pub(super) must_register: bool,
    /// The last report, without the parts that only a fresh report may contain; sent again when the parent is back.
    pub(super) last_report: Option<Report>,
    /// When the last message arrived.
    pub(super) last_message_at: Micros,
    /// When the relay forgets the child.
    pub(super) forget_at: Micros,
    /// The next message for the parent; a later one replaces one that was not sent.
    pub(super) outgoing: Option<ToAgent>,
    /// The term of the last answer, until the next request of the child shows that it has read it.
    pub(super) unread_term: Option<u64>,
    /// The request that waits for the parent's answer.
    pub(super) pending: Option<PendingRequest>,
}

impl Child {
    /// A child that has just registered.
    pub(super) fn new(registration: Register, now: Micros, forget_at: Micros) -> Self {
        Child {
            registration,
            is_registered: false,
            must_register: false,
            last_report: None,
            last_message_at: now,
            forget_at,
            outgoing: None,
            unread_term: None,
            pending: None,
        }
    }

    /// Sets its clock back.
    #[cfg(any(test, feature = "explore"))]
    pub(super) fn rebase(&mut self, by: Micros) {
        self.last_message_at = self.last_message_at.saturating_sub(by);
        self.forget_at = self.forget_at.saturating_sub(by);
        if let Some(pending) = &mut self.pending {
            pending.deadline = pending.deadline.saturating_sub(by);
        }
    }

    /// When the relay has to answer or to forget the child next.
    pub(super) fn deadline(&self) -> Micros {
        self.pending.map_or(self.forget_at, |pending| {
            pending.deadline.min(self.forget_at)
        })
    }
}

/// The part of a report that may be repeated. Leases and lists are bounded by the age of the request that they answer,
/// so that a repeated report requests none.
pub(super) fn repeatable(report: &Report) -> Report {
    Report {
        lease_requests: None,
        endpoint_lists: None,
        ..report.clone()
    }
}

//! The discovery calls that a pool has in flight: the newest, which may have become the watch, and older ones that are still
//! unanswered.
//!
//! Discovery processes a queued call even if its caller has timed out. So an unanswered call is kept open: when discovery
//! reaches it, it is either answered, or the time of its failure shows how long the queue is.

use std::cell::{Cell, RefCell};
use tokio::task::AbortHandle;

/// The most unanswered calls kept besides the newest. One more aborts the oldest.
const MAX_UNANSWERED_CALLS: usize = 2;

/// Identifies one call of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallId(u64);

struct InFlightCall {
    id: CallId,
    /// The call has been waiting for a response for longer than expected.
    is_unanswered: bool,
    task: AbortHandle,
}

/// All calls of one pool that have not ended, the newest last.
#[derive(Default)]
pub(super) struct DiscoveryCalls {
    last_id: Cell<u64>,
    in_flight: RefCell<Vec<InFlightCall>>,
}

impl DiscoveryCalls {
    pub(super) fn next_id(&self) -> CallId {
        self.last_id.set(self.last_id.get() + 1);
        CallId(self.last_id.get())
    }

    /// Registers a new call. It replaces all calls except unanswered ones.
    pub(super) fn begin(&self, id: CallId, task: AbortHandle) {
        self.abort_where(|call| !call.is_unanswered);
        let mut in_flight = self.in_flight.borrow_mut();
        if in_flight.len() == MAX_UNANSWERED_CALLS {
            in_flight.remove(0).task.abort();
        }
        let is_unanswered = false;
        in_flight.push(InFlightCall {
            id,
            is_unanswered,
            task,
        });
    }

    /// Marks a call as unanswered: it stays open when another one begins.
    pub(super) fn mark_unanswered(&self, id: CallId) {
        let mut in_flight = self.in_flight.borrow_mut();
        if let Some(call) = in_flight.iter_mut().find(|call| call.id == id) {
            call.is_unanswered = true;
        }
    }

    /// Aborts all calls but this one, which has returned a list. It is the watch now, and the next call replaces it.
    pub(super) fn answered(&self, id: CallId) {
        self.abort_where(|call| call.id != id);
        for call in self.in_flight.borrow_mut().iter_mut() {
            call.is_unanswered = false;
        }
    }

    /// Removes a call that has ended by itself.
    pub(super) fn ended(&self, id: CallId) {
        self.in_flight.borrow_mut().retain(|call| call.id != id);
    }

    pub(super) fn abort_all(&self) {
        self.abort_where(|_| true);
    }

    fn abort_where(&self, should_abort: impl Fn(&InFlightCall) -> bool) {
        self.in_flight.borrow_mut().retain(|call| {
            let aborts = should_abort(call);
            if aborts {
                call.task.abort();
            }
            !aborts
        });
    }
}

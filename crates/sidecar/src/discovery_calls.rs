//! The calls to discovery that a pool has in hand: the newest, which may have become the watch, and such as had no answer for so
//! long that a newer one was made.
//!
//! Discovery works off a call also when its caller has given up, so that a call that waits in its queue is worth keeping: when
//! its turn comes it is answered, or its end tells how long the queue is.

use std::cell::{Cell, RefCell};
use tokio::task::AbortHandle;

/// Calls that are kept behind the newest. The oldest ends for one more.
const MAX_SILENT_CALLS: usize = 2;

/// Names one call of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallId(u64);

struct OpenCall {
    id: CallId,
    /// It has had no answer for long.
    is_silent: bool,
    task: AbortHandle,
}

/// All calls of one pool that have not ended, the newest last.
#[derive(Default)]
pub(super) struct DiscoveryCalls {
    last_id: Cell<u64>,
    open: RefCell<Vec<OpenCall>>,
}

impl DiscoveryCalls {
    /// The name of the next call.
    pub(super) fn next_id(&self) -> CallId {
        self.last_id.set(self.last_id.get() + 1);
        CallId(self.last_id.get())
    }

    /// A call begins in the place of those that are not silent.
    pub(super) fn begin(&self, id: CallId, task: AbortHandle) {
        self.end_where(|call| !call.is_silent);
        let mut open = self.open.borrow_mut();
        if open.len() == MAX_SILENT_CALLS {
            open.remove(0).task.abort();
        }
        let is_silent = false;
        open.push(OpenCall {
            id,
            is_silent,
            task,
        });
    }

    /// The call has had no answer for long. It stays when another one begins.
    pub(super) fn fell_silent(&self, id: CallId) {
        let mut open = self.open.borrow_mut();
        if let Some(call) = open.iter_mut().find(|call| call.id == id) {
            call.is_silent = true;
        }
    }

    /// The call has brought a list, and all others end.
    pub(super) fn answered(&self, id: CallId) {
        self.end_where(|call| call.id != id);
    }

    /// The call has ended by itself.
    pub(super) fn ended(&self, id: CallId) {
        self.open.borrow_mut().retain(|call| call.id != id);
    }

    /// Ends all calls.
    pub(super) fn end_all(&self) {
        self.end_where(|_| true);
    }

    fn end_where(&self, ends: impl Fn(&OpenCall) -> bool) {
        self.open.borrow_mut().retain(|call| {
            let ends = ends(call);
            if ends {
                call.task.abort();
            }
            !ends
        });
    }
}

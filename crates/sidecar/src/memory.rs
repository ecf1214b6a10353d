//! The memory that the process may allocate. Its allocator counts every byte, so that nothing escapes the account. Before
//! something is buffered for a client it is checked against what is left; what does not fit waits or is rejected.
//!
//! Purposes have different shares, so that what was begun can end: new work is refused first, and responses may use all of it.
//!
//! Whoever waits asks for memory or for a connection to be released ([`ProcessState::request_release`]). Clients that are
//! slower than they have to be, and hold what others wait for, grant these requests by ending.

use super::counts::CountGuard;
use super::process_state::ProcessState;
use madderloom_balancer::Micros;
use peak_alloc::PeakAlloc;
use std::cell::Cell;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// The part of the platform's limit, in percent, that may be allocated. The rest is for the program itself, and for what the
/// allocator keeps between blocks in use.
const ALLOCATED_PERCENT: u64 = 60;
/// So many client connections are served however much memory is allocated for other purposes.
const MIN_SERVED_CONNECTIONS: usize = 16;
/// Delay between two checks of work that waits for memory.
const RETRY_DELAY: Micros = 10_000;
/// So much work waits for memory at most; more is rejected at once.
const MAX_WAITING: usize = 64;
/// The most requests for a release that are remembered.
const MAX_RELEASE_REQUESTS: u32 = 64;
/// How long requests for a release hold unless another is made. Slow clients check them more often.
const RELEASE_REQUEST_LIFETIME: Micros = 300_000;
/// While others wait, a client that is further behind the minimum rate than this gives way.
const MAX_CLIENT_LAG: Micros = 500_000;

/// What memory is allocated for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryPurpose {
    /// A client's connection that becomes active.
    Connection,
    /// The same, with a complete request: it does not depend on its client's pace, and does not wait for those that do.
    CompleteRequest,
    /// Bytes of a request.
    Request,
    /// Bytes of a response.
    Response,
    /// Bytes of a response that are read ahead of what its client takes.
    ReadAhead,
}

impl MemoryPurpose {
    /// The part of the budget, in percent, up to which memory is allocated for this.
    const fn share_percent(self) -> u64 {
        match self {
            MemoryPurpose::ReadAhead => 45,
            MemoryPurpose::Connection => 60,
            MemoryPurpose::Request => 75,
            MemoryPurpose::CompleteRequest => 85,
            MemoryPurpose::Response => 95,
        }
    }
}

/// What the process may allocate, and who waits for it.
pub(super) struct MemoryBudget {
    limit: Cell<u64>,
    release_requests: Cell<u32>,
    /// When the last of them was made.
    release_requested_at: Cell<Micros>,
    /// How much work waits for memory.
    waiting: Cell<usize>,
    /// Slow clients that have ended for others.
    released: Cell<u64>,
}

/// What a process with `memory` bytes in all may allocate.
const fn limit_of(memory: u64) -> u64 {
    memory / 100 * ALLOCATED_PERCENT
}

impl MemoryBudget {
    /// The budget of a process with `memory` bytes in all.
    pub(super) fn new(memory: u64) -> Self {
        MemoryBudget {
            limit: Cell::new(limit_of(memory)),
            release_requests: Cell::new(0),
            release_requested_at: Cell::new(0),
            waiting: Cell::new(0),
            released: Cell::new(0),
        }
    }

    pub(super) fn set_memory(&self, memory: u64) {
        self.limit.set(limit_of(memory));
    }

    fn has_room(&self, purpose: MemoryPurpose, bytes: usize) -> bool {
        let allocated = (ALLOCATOR.current_usage() + bytes) as u64;
        allocated <= self.limit.get() / 100 * purpose.share_percent()
    }

    fn request_release(&self, now: Micros) {
        self.release_requested_at.set(now);
        let requests = self.release_requests.get() + 1;
        self.release_requests
            .set(requests.min(MAX_RELEASE_REQUESTS));
    }

    /// Whether a client that is this far behind the minimum rate has to end for others. Grants one request for a release if so.
    /// Requests that were not repeated are void: whoever made them waits no longer.
    pub(super) fn must_release(&self, lag: Micros, now: Micros) -> bool {
        if now.saturating_sub(self.release_requested_at.get()) > RELEASE_REQUEST_LIFETIME {
            self.release_requests.set(0);
        }
        let requests = self.release_requests.get();
        if requests == 0 || lag < MAX_CLIENT_LAG {
            return false;
        }
        self.release_requests.set(requests - 1);
        self.released.set(self.released.get() + 1);
        let count = self.released.get();
        if count.is_power_of_two() {
            tracing::warn!(
                count,
                "slow clients ended because others wait for memory or connections: {count}"
            );
        }
        true
    }
}

impl ProcessState {
    /// Whether so many bytes may be allocated for this purpose now.
    pub(super) fn has_memory(&self, purpose: MemoryPurpose, bytes: usize) -> bool {
        self.memory.has_room(purpose, bytes)
            || self.active_client_connections.get() < MIN_SERVED_CONNECTIONS
    }

    /// Asks the slow clients to release what they hold.
    pub(super) fn request_release(&self) {
        self.memory.request_release(self.clock.now());
    }

    /// Waits until so many bytes may be allocated for this purpose. False if they may not within `timeout`.
    pub(super) async fn wait_for_memory(
        &self,
        purpose: MemoryPurpose,
        bytes: usize,
        timeout: Micros,
    ) -> bool {
        self.wait_until_memory(timeout, || self.has_memory(purpose, bytes))
            .await
    }

    /// Waits until so many bytes of a response may be allocated. Any number of responses may wait: their requests were admitted.
    /// The caller bounds the time.
    pub(super) async fn wait_for_response_memory(&self, bytes: usize) {
        while !self.has_memory(MemoryPurpose::Response, bytes) {
            self.request_release();
            self.sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until `has_memory` says so. False if it does not within `timeout`, or if [`MAX_WAITING`] others wait.
    pub(super) async fn wait_until_memory(
        &self,
        timeout: Micros,
        has_memory: impl Fn() -> bool,
    ) -> bool {
        if has_memory() {
            return true;
        }
        if self.memory.waiting.get() >= MAX_WAITING {
            self.request_release();
            return false;
        }
        let _waiting = CountGuard::new(&self.memory.waiting);
        let deadline = self.clock.now().saturating_add(timeout);
        while !has_memory() {
            if self.clock.now() >= deadline {
                return false;
            }
            self.request_release();
            self.sleep(RETRY_DELAY).await;
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Micros = 1_000_000_000;

    /// A client is not cut off for somebody who waits no longer.
    #[test]
    fn requests_for_a_release_are_granted_once_each_and_expire() {
        let budget = MemoryBudget::new(32 << 20);
        assert!(!budget.must_release(MAX_CLIENT_LAG, NOW));
        budget.request_release(NOW);
        assert!(!budget.must_release(MAX_CLIENT_LAG - 1, NOW), "fast enough");
        assert!(budget.must_release(MAX_CLIENT_LAG, NOW));
        assert!(!budget.must_release(MAX_CLIENT_LAG, NOW), "granted twice");
        budget.request_release(NOW);
        let later = NOW + RELEASE_REQUEST_LIFETIME + 1;
        assert!(!budget.must_release(MAX_CLIENT_LAG, later), "expired");
    }
}

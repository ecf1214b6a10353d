//! The state of one request: its limits, its attempts, and the response that a server has started. The decisions on it are in
//! `decide.rs`.

use crate::interface::*;
use smallvec::SmallVec;

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The server's list entry when the attempt was sent.
    pub entry: ServerEntry,
    pub sent_at: Micros,
    /// None while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_executed(&self) -> bool {
        !self.outcome.is_some_and(Outcome::proves_not_executed)
    }
}

/// The times of a request whose body is being streamed, counted from the end of its body.
#[derive(Clone, Copy)]
pub(crate) struct PausedTimeouts {
    pub until_header_timeout: Micros,
    pub until_deadline: Micros,
}

/// A response that a server has started and that is not complete.
#[derive(Clone, Copy)]
pub(crate) struct StartedResponse {
    /// Index of its attempt.
    pub attempt: u32,
    pub started_at: Micros,
}

pub(crate) struct Request {
    pub class: usize,
    pub key: u64,
    /// Estimated work, in microseconds.
    pub work: f64,
    /// When it arrived, or when its streamed body was complete.
    pub received_at: Micros,
    /// How much of the time since then this process did not run.
    pub stalled: Micros,
    /// When an attempt times out if no response has started: a later one would be worth nothing.
    pub header_timeout_at: Micros,
    /// When the client stops waiting, whatever a response is worth.
    pub client_deadline: ClientDeadline,
    /// First function of the hash family for the next selection of a server.
    pub next_hash: u32,
    /// Servers probed before the first attempt.
    pub probed: SmallVec<[ServerId; 4]>,
    pub attempts: SmallVec<[Attempt; 4]>,
    pub max_attempts: usize,
    /// While the body is streamed: how long to wait for a response after the body is complete.
    pub paused_timeouts: Option<PausedTimeouts>,
    /// Its body is or was streamed. The embedder knows how much of the body its server has read, and
    /// applies the header timeout.
    pub is_upload: bool,
    /// The response that a server has started.
    pub started_response: Option<StartedResponse>,
    /// Whether the client has its response, or a streaming response has started: no further decision is made.
    pub concluded: bool,
}

impl Request {
    pub fn new(
        class: usize,
        key: u64,
        work: f64,
        received_at: Micros,
        (header_timeout_at, client_deadline): (Micros, ClientDeadline),
        max_attempts: usize,
    ) -> Self {
        Request {
            class,
            key,
            work,
            received_at,
            stalled: 0,
            header_timeout_at,
            client_deadline,
            next_hash: 0,
            probed: SmallVec::new(),
            attempts: SmallVec::new(),
            max_attempts,
            paused_timeouts: None,
            is_upload: false,
            started_response: None,
            concluded: false,
        }
    }

    /// The time since it was received in which this process ran, up to the beginning of its response: a server that writes its
    /// response slowly works on something else meanwhile.
    pub fn latency(&self, now: Micros) -> Micros {
        let until = self
            .started_response
            .map_or(now, |response| response.started_at);
        until
            .saturating_sub(self.received_at)
            .saturating_sub(self.stalled)
    }

    /// Whether it counts as one of the requests of its class that are in flight.
    pub fn is_counted_in_flight(&self) -> bool {
        !self.concluded && self.paused_timeouts.is_none() && self.started_response.is_none()
    }

    /// When its attempt in flight times out. The header timeout applies until a response starts; for an upload the embedder applies
    /// it, by [`Event::RequestExpired`].
    pub fn attempt_ends_at(&self) -> Micros {
        if self.is_upload || self.started_response.is_some() {
            self.client_deadline.0
        } else {
            self.header_timeout_at
        }
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }

    /// The first attempt that may have been executed.
    pub fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())
    }

    /// When an attempt that starts now times out. With a streamed body the time runs from the client's last byte, which may come
    /// now.
    pub fn attempt_timeout_at(&self, now: Micros) -> Micros {
        self.paused_timeouts.map_or(self.header_timeout_at, |wait| {
            now.saturating_add(wait.until_header_timeout)
        })
    }

    /// When an attempt may start at the latest. A non-idempotent attempt with less time left than a slow response takes may be
    /// executed and still be reported as failed, whereas a rejection tells the client that a retry is safe. At most half of
    /// the request's time is reserved for this, so that no request is rejected on arrival.
    pub fn last_attempt_start(&self, retry_safety: RetrySafety, tail_latency: f64) -> Micros {
        let total_time = self.header_timeout_at.saturating_sub(self.received_at);
        let reserved = if retry_safety == RetrySafety::NonIdempotent {
            (tail_latency as Micros).min(total_time / 2)
        } else {
            0
        };
        self.header_timeout_at - reserved
    }

    /// Until when a further attempt is safe. An idempotency window starts when the first attempt that may have been executed
    /// was sent. That is taken as the time when its server was chosen, before any byte was written, and one tick is kept in
    /// reserve. So whatever is written before the returned time arrives within the window, even if connecting takes long.
    pub fn write_by(&self, retry_safety: RetrySafety, tick: Micros) -> Micros {
        match (self.first_possible_execution(), retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => Micros::MAX,
            (Some(_), RetrySafety::NonIdempotent) => 0,
            (Some(first), RetrySafety::IdempotentWithKey { window, .. }) => {
                (first.sent_at + window).saturating_sub(tick)
            }
        }
    }
}

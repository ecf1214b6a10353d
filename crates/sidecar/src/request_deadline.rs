//! When the final response to a request is due: its client's time behind the client's last byte.
//!
//! There is one [`RequestDeadline`] for a request, made where its head is read, for everything that the request waits for. While
//! the client certainly has not written its last byte, the time does not run. From the earliest moment on at which it may have
//! been written, it does: bytes that nobody reads lie in the buffers of the system.

use super::client::Client;
use super::lateness::{WaitKind, WaitTimes};
use super::process_state::ProcessState;
use super::upload::BodyLength;
use super::upload_pace::UploadPace;
use madderloom_balancer::Micros;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

/// Subtracted from a client's time, which counts from when the client sent the request, not from when it was read.
pub(super) const CLIENT_DEADLINE_MARGIN: Micros = 1_000;
/// The most of a body that the system's buffers hold between a client and this process: what Linux allows by default to the
/// sending and to the receiving side (`tcp_wmem`, `tcp_rmem`).
const SYSTEM_BUFFER_BYTES: u64 = (4 << 20) + (6 << 20);
/// After so many bytes the time at which they had been read is noted.
const MARK_INTERVAL_BYTES: u64 = 1 << 20;
/// How often a client that may not have written its last byte is looked at, and whether the process stops.
const CHECK_INTERVAL: Micros = 50_000;

/// How far the body of a request had been read at a time.
struct ReadMark {
    at: Micros,
    bytes_read: u64,
}

/// When the final response to one request is due.
pub(super) struct RequestDeadline {
    process: Rc<ProcessState>,
    client: Rc<Client>,
    length: BodyLength,
    /// How long the client waits, counted from its last byte.
    time_left: Cell<Micros>,
    bytes_read: Cell<u64>,
    /// Within the last [`SYSTEM_BUFFER_BYTES`], oldest first.
    read_marks: RefCell<VecDeque<ReadMark>>,
    /// A time at which the client had not written its last byte, concluded from the bytes read since.
    unfinished_at: Cell<Micros>,
    /// The body's reader waits for its next bytes.
    awaits_body: Cell<bool>,
    /// Set once the body has been read to its end: the earliest time at which the last byte may have been written.
    last_byte_at: Cell<Option<Micros>>,
    /// How long an upload's response may take to start, counted from when its server has read the upload.
    header_timeout: Cell<Micros>,
    /// How fast the server reads an upload.
    upload_pace: UploadPace,
    /// A server has started its response.
    response_started: Cell<bool>,
    /// The time is over, and the request ends.
    expired: Cell<bool>,
    /// What the request has waited for.
    pub(super) waits: WaitTimes,
}

impl RequestDeadline {
    /// The deadline of a request whose head has been read, and whose client waits for `time_left`.
    pub(super) fn new(
        process: &Rc<ProcessState>,
        client: &Rc<Client>,
        length: BodyLength,
        time_left: Micros,
    ) -> Rc<Self> {
        let last_byte_at = (length == BodyLength::Known(0)).then(|| client.unfinished_at());
        let waits = WaitTimes::default();
        waits.add(WaitKind::Activation, client.take_activation_wait());
        Rc::new(RequestDeadline {
            process: Rc::clone(process),
            client: Rc::clone(client),
            length,
            time_left: Cell::new(time_left.saturating_sub(CLIENT_DEADLINE_MARGIN)),
            bytes_read: Cell::new(0),
            read_marks: RefCell::default(),
            unfinished_at: Cell::new(0),
            awaits_body: Cell::new(false),
            last_byte_at: Cell::new(last_byte_at),
            header_timeout: Cell::new(Micros::MAX),
            upload_pace: UploadPace::default(),
            response_started: Cell::new(false),
            expired: Cell::new(false),
            waits,
        })
    }

    /// The length of the body.
    pub(super) fn length(&self) -> BodyLength {
        self.length
    }

    /// The bytes of the body that have been read.
    pub(super) fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// So many further bytes of the body have been read.
    pub(super) fn record_read(&self, bytes: u64, now: Micros) {
        let bytes_read = self.bytes_read.get() + bytes;
        self.bytes_read.set(bytes_read);
        let mut marks = self.read_marks.borrow_mut();
        // At the time of a mark, the client had written no more than the buffers hold beyond it.
        while let Some(mark) = marks.front()
            && bytes_read > mark.bytes_read.saturating_add(SYSTEM_BUFFER_BYTES)
        {
            self.unfinished_at.set(mark.at);
            marks.pop_front();
        }
        let last = marks.back().map_or(0, |mark| mark.bytes_read);
        if bytes_read >= last + MARK_INTERVAL_BYTES {
            marks.push_back(ReadMark {
                at: now,
                bytes_read,
            });
        }
    }

    /// The body has been read to its end. Returns the earliest time at which its last byte may have been written.
    pub(super) fn record_body_complete(&self) -> Micros {
        let at = self.unfinished_at();
        self.last_byte_at.set(Some(at));
        at
    }

    fn unfinished_at(&self) -> Micros {
        self.client.unfinished_at().max(self.unfinished_at.get())
    }

    /// Whether the client certainly has not written its last byte. Looks at its socket.
    pub(super) fn awaits_client(&self, now: Micros) -> bool {
        if self.last_byte_at.get().is_some() {
            return false;
        }
        let is_silent = self.client.is_silent(now);
        let remaining = match self.length {
            BodyLength::Known(length) => length.saturating_sub(self.bytes_read.get()),
            BodyLength::Chunked => 0,
        };
        // A socket without unread bytes shows nothing while some that were read wait for the reader.
        (self.awaits_body.get() && is_silent) || remaining > SYSTEM_BUFFER_BYTES
    }

    /// When the final response is due. This moves on while the client certainly has not written its last byte.
    pub(super) fn due_at(&self, now: Micros) -> Micros {
        self.due_at_if(self.awaits_client(now), now)
    }

    /// As [`RequestDeadline::due_at`], with what [`RequestDeadline::awaits_client`] said.
    pub(super) fn due_at_if(&self, awaits_client: bool, now: Micros) -> Micros {
        let time_left = self.time_left.get();
        if awaits_client {
            return now.saturating_add(time_left);
        }
        let last_byte_at = self
            .last_byte_at
            .get()
            .unwrap_or_else(|| self.unfinished_at());
        let due_at = last_byte_at.saturating_add(time_left);
        let remaining = due_at.saturating_sub(now);
        now.saturating_add(self.process.cap_time_left(now, remaining))
    }

    /// How long it is until the final response is due; 0 if it is overdue.
    pub(super) fn remaining(&self, now: Micros) -> Micros {
        self.due_at(now).saturating_sub(now)
    }

    /// How much later than due it is now.
    pub(super) fn lateness(&self) -> Micros {
        let now = self.process.clock.now();
        now.saturating_sub(self.due_at(now))
    }

    /// How long the client waits, counted from its last byte.
    pub(super) fn time_left(&self) -> Micros {
        self.time_left.get()
    }

    /// An upload to a server starts. It times out at `header_timeout_at` if the server reads none of it until then.
    pub(super) fn start_upload(&self, header_timeout_at: Micros) {
        let now = self.process.clock.now();
        self.header_timeout
            .set(header_timeout_at.saturating_sub(now));
        self.upload_pace.start(now);
    }

    /// The system has accepted so many bytes of the upload.
    pub(super) fn record_upload(&self, bytes: usize) {
        let now = self.process.clock.now();
        self.upload_pace.record_write(now, bytes);
    }

    /// The system's buffers are full: it accepts no more of the upload before the server reads some.
    pub(super) fn record_full_upload_buffers(&self) {
        let now = self.process.clock.now();
        self.upload_pace.record_full_buffers(now);
    }

    /// Sets whether a server has started its response.
    pub(super) fn set_response_started(&self, started: bool) {
        self.response_started.set(started);
    }

    /// How long the response to an upload that starts now may take.
    pub(super) fn upload_time_left(&self, now: Micros) -> Micros {
        self.remaining(now).min(self.header_timeout.get())
    }

    /// When an upload times out: the header timeout after the server has read it, or has stopped reading it, unless a response has
    /// started; when the final response is due at the latest.
    fn upload_times_out_at(&self, now: Micros) -> Micros {
        let awaits_client = self.awaits_client(now);
        let due_at = self.due_at_if(awaits_client, now);
        if self.response_started.get() {
            return due_at;
        }
        let counted_from = if awaits_client {
            now
        } else {
            let last_byte_at = self.last_byte_at.get();
            let last_byte_at = last_byte_at.unwrap_or_else(|| self.unfinished_at());
            last_byte_at.max(self.upload_pace.taken_at())
        };
        due_at.min(counted_from.saturating_add(self.header_timeout.get()))
    }

    /// Completes when the final response is due.
    pub(super) async fn until_due(&self) {
        self.until(|now| self.due_at(now)).await;
    }

    /// Completes when an upload times out.
    pub(super) async fn until_upload_times_out(&self) {
        self.until(|now| self.upload_times_out_at(now)).await;
    }

    /// Completes at a time that moves on while the client or the server of an upload does, and that is earlier once the process
    /// stops.
    async fn until(&self, ends_at: impl Fn(Micros) -> Micros) {
        loop {
            let now = self.process.clock.now();
            let ends_at = ends_at(now);
            if now >= ends_at {
                return;
            }
            let check_at = ends_at.min(now.saturating_add(CHECK_INTERVAL));
            self.process.sleep_until(check_at).await;
        }
    }

    /// The time is over: attempts of the request end.
    pub(super) fn expire(&self) {
        self.expired.set(true);
    }

    /// See [`RequestDeadline::expire`].
    pub(super) fn has_expired(&self) -> bool {
        self.expired.get()
    }

    /// Marks that the body's reader waits for bytes, until the returned value is dropped.
    pub(super) fn await_body(&self) -> AwaitsBody<'_> {
        self.awaits_body.set(true);
        AwaitsBody(self)
    }
}

/// See [`RequestDeadline::await_body`].
pub(super) struct AwaitsBody<'a>(&'a RequestDeadline);

impl Drop for AwaitsBody<'_> {
    fn drop(&mut self) {
        self.0.awaits_body.set(false);
    }
}

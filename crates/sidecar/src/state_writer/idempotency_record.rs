//! The idempotency record of one request: before any part of a request that must not run twice is written to a server, the
//! store records that it may run.

use super::{StateWriter, Withdrawal};
use crate::service::Service;
use crate::transaction::FinalResponse;
use hyper::HeaderMap;
use madderloom_sidecar_state::{
    Admission, Error as KeyError, IdempotencyKey, IdempotencyMode, WriteVerdict,
};
use madderloom_store::{Batch, Durability, Error};
use std::cell::Cell;
use std::rc::Rc;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteBarrier {
    /// It may be sent.
    Open,
    /// It can't be recorded, and no part of it was sent.
    Rejected,
    /// Another request with its key may have run.
    MayHaveRun,
}

/// The state of a request's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordProgress {
    /// Not written yet.
    New,
    /// The record is being written; no part of the request was sent.
    Recording,
    /// The request may be sent.
    MaySend,
    /// The request has ended.
    Ended,
}

/// The idempotency record of one request. If it is dropped before the request has ended, the client has disconnected: the
/// request stays recorded as one that may have run, unless no part of it was sent.
pub(crate) struct IdempotencyRecord {
    writer: Rc<StateWriter>,
    key: IdempotencyKey,
    mode: IdempotencyMode,
    progress: Cell<RecordProgress>,
}

impl IdempotencyRecord {
    pub(super) fn new(
        writer: &Rc<StateWriter>,
        key: IdempotencyKey,
        mode: IdempotencyMode,
    ) -> Self {
        IdempotencyRecord {
            writer: Rc::clone(writer),
            key,
            mode,
            progress: Cell::new(RecordProgress::New),
        }
    }

    /// The record of a request that must not run twice. None if its pool keeps no records or the request has no idempotency
    /// key. `part` numbers the parts of a request that is sent in several; each has a record of its own.
    pub(crate) fn for_request(
        service: &Service,
        headers: &HeaderMap,
        part: Option<usize>,
    ) -> Result<Option<Self>, KeyError> {
        let mode = service.persistence.get().ledger;
        let writer = service.process.state_writer.get();
        let Some(writer) = writer.filter(|_| mode != IdempotencyMode::Off) else {
            return Ok(None);
        };
        let key_headers = writer.key_headers.borrow();
        let mut present = key_headers
            .iter()
            .filter_map(|name| Some((name, headers.get(name)?)));
        let Some((name, value)) = present.find(|(_, value)| !value.is_empty()) else {
            return Ok(None);
        };
        // The header's name before the value keeps keys from different headers apart.
        let mut key = [name.as_str().as_bytes(), b"\0", value.as_bytes()].concat();
        if let Some(part) = part {
            key.extend_from_slice(format!("\0{part}").as_bytes());
        }
        let key = IdempotencyKey::new(&service.name, &key)?;
        Ok(Some(IdempotencyRecord::new(writer, key, mode)))
    }

    /// Writes the record and decides whether the request may be sent. Has to be awaited before any part of it is sent; returns
    /// immediately for later attempts of the same request.
    pub(crate) async fn pass_barrier(&self) -> WriteBarrier {
        match self.progress.get() {
            RecordProgress::New => {}
            RecordProgress::MaySend => return WriteBarrier::Open,
            // An earlier attempt was cancelled while it waited here; no part of the request was sent.
            RecordProgress::Recording | RecordProgress::Ended => return WriteBarrier::Rejected,
        }
        match self.writer.admit(&self.key, self.mode) {
            Admission::Record { batch, durability } => self.record(batch, durability).await,
            Admission::Send => {
                self.progress.set(RecordProgress::MaySend);
                WriteBarrier::Open
            }
            Admission::Fail => {
                self.progress.set(RecordProgress::Ended);
                WriteBarrier::MayHaveRun
            }
            Admission::Reject => {
                self.progress.set(RecordProgress::Ended);
                WriteBarrier::Rejected
            }
        }
    }

    async fn record(&self, batch: Batch, durability: Durability) -> WriteBarrier {
        self.progress.set(RecordProgress::Recording);
        let written = self.writer.write(batch, durability).await;
        self.writer.log_availability(&written);
        if self.mode == IdempotencyMode::Durable && written == Err(Error::Busy) {
            // The record may still be written. The deletion follows it in the queue.
            self.withdraw();
            return WriteBarrier::Rejected;
        }
        let mut tracker = self.writer.tracker.borrow_mut();
        match tracker.record_written(&self.key, &written) {
            WriteVerdict::Send => {
                self.progress.set(RecordProgress::MaySend);
                WriteBarrier::Open
            }
            WriteVerdict::Reject => {
                self.progress.set(RecordProgress::Ended);
                WriteBarrier::Rejected
            }
        }
    }

    /// Updates the record after the final response.
    pub(crate) fn answered(&self, response: &FinalResponse) {
        if !self.is_open() {
            return;
        }
        match response {
            FinalResponse::Served(_) => {
                self.progress.set(RecordProgress::Ended);
                let batch = self.writer.tracker.borrow_mut().answered(&self.key);
                // If this is lost, the request counts as one that may have run, which has the same effect.
                let _ = batch.map(|batch| self.writer.submit(batch, Durability::Relaxed, drop));
            }
            // A request is rejected only if it has not run.
            FinalResponse::Rejected { .. } => self.withdraw(),
            FinalResponse::Failed => self.abandon(),
        }
    }

    fn is_open(&self) -> bool {
        matches!(
            self.progress.get(),
            RecordProgress::Recording | RecordProgress::MaySend
        )
    }

    #[cfg(test)]
    pub(super) fn progress(&self) -> RecordProgress {
        self.progress.get()
    }

    fn abandon(&self) {
        self.progress.set(RecordProgress::Ended);
        self.writer.tracker.borrow_mut().abandon(&self.key);
    }

    /// Deletes the record, even if it is still in the queue: the request has not run.
    fn withdraw(&self) {
        self.progress.set(RecordProgress::Ended);
        let Some(batch) = self.writer.tracker.borrow_mut().withdraw(&self.key) else {
            return;
        };
        let (results, key) = (self.writer.withdrawals.clone(), self.key.clone());
        // If the deletion is refused immediately, the tracker remembers that the request has not run. When the process stops,
        // there is no receiver.
        let _ = self
            .writer
            .submit(batch, Durability::Relaxed, move |written| {
                let _ = results.send(Withdrawal { key, written });
            });
    }
}

impl Drop for IdempotencyRecord {
    fn drop(&mut self) {
        match self.progress.get() {
            RecordProgress::Recording => self.withdraw(),
            RecordProgress::MaySend => self.abandon(),
            RecordProgress::New | RecordProgress::Ended => {}
        }
    }
}

//! Writes the persistent state: idempotency records, warm-start snapshots and operators' orders on service levels. Used only
//! if the operator file has a `[state]` section.
//!
//! The store's own thread writes and flushes, and does nothing else. The serving thread submits batches and awaits the results
//! like any other I/O. The program keeps serving whatever happens to the disk.

mod idempotency_record;
mod opening;
#[cfg(test)]
mod state_writer_tests;

pub(super) use idempotency_record::{IdempotencyRecord, WriteBarrier};

use hyper::header::HeaderName;
use madderloom_operator_config::State;
use madderloom_sidecar_state::{
    Admission, IdempotencyKey, IdempotencyMode, IdempotencyTracker, RestoredService,
    restore_services,
};
use madderloom_store::{Batch, Disk, Durability, Error, GroupCommit, GroupCommitStatus, Store};
use opening::{is_permanent, open_store};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

/// Timeout of a write. A write that takes longer counts as rejected, since the disk hangs.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Key prefix of operators' orders on service levels; the service's name follows.
pub(super) const LEVEL_ORDERS_PREFIX: &str = "level/";
/// Maximum number of bytes queued for writing.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Timeout of the last flush at a graceful shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The result of writing a batch: its sequence number.
type Written = Result<u64, Error>;

/// A store, independent of the type of its disk.
trait StateStore: Send {
    fn admit(
        &self,
        tracker: &mut IdempotencyTracker,
        key: &IdempotencyKey,
        mode: IdempotencyMode,
        now: u64,
    ) -> Admission;
    fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        on_written: Box<dyn FnOnce(Written) + Send>,
    ) -> Result<(), Error>;
    fn status(&self) -> GroupCommitStatus;
}

impl<D: Disk> StateStore for GroupCommit<D> {
    fn admit(
        &self,
        tracker: &mut IdempotencyTracker,
        key: &IdempotencyKey,
        mode: IdempotencyMode,
        now: u64,
    ) -> Admission {
        tracker.admit(self.reader(), key, mode, now)
    }

    fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        on_written: Box<dyn FnOnce(Written) + Send>,
    ) -> Result<(), Error> {
        GroupCommit::submit(self, batch, durability, on_written)
    }

    fn status(&self) -> GroupCommitStatus {
        GroupCommit::status(self)
    }
}

/// The result of deleting the record of a request that was not executed.
struct Withdrawal {
    key: IdempotencyKey,
    written: Written,
}

/// The store of the process, and the idempotency records in it.
pub(super) struct StateWriter {
    state: RefCell<State>,
    /// The headers that can hold a request's idempotency key, in the order of preference.
    key_headers: RefCell<Vec<HeaderName>>,
    /// None if the disk did not allow it to be opened, and after it was closed.
    store: RefCell<Option<Box<dyn StateStore>>>,
    tracker: RefCell<IdempotencyTracker>,
    /// The store time as the store's thread knows it.
    store_time: Arc<AtomicU64>,
    started_at: Instant,
    /// The last write of a record has failed.
    is_failing: Cell<bool>,
    withdrawals: UnboundedSender<Withdrawal>,
    /// The receiving end, until [`StateWriter::process_withdrawals`] takes it.
    withdrawal_results: RefCell<Option<UnboundedReceiver<Withdrawal>>>,
    /// The warm-start snapshots of earlier processes, by services' names.
    pub(super) restored_services: RefCell<BTreeMap<String, RestoredService>>,
    /// Operators' orders on service levels as they were last written, by services' names.
    pub(super) level_orders: RefCell<BTreeMap<String, Vec<u8>>>,
}

impl StateWriter {
    /// Opens the store and writes to it once, so that a directory that can't be written shows at the start. Blocks.
    pub(super) fn open(state: State) -> Result<Rc<Self>, String> {
        let writer = StateWriter::without_store(state);
        let Err(error) =
            open_store(&writer.state.borrow().dir).and_then(|store| writer.start_store(store))
        else {
            return Ok(Rc::new(writer));
        };
        let hint = match error {
            Error::Corrupted(_) => "; see `madderloom store verify` and `salvage`",
            Error::Io { ref source, .. } if source.kind() == ErrorKind::NotFound => {
                "; make the directory first"
            }
            _ => "",
        };
        let problem = format!(
            "state.dir: {}: {error}{hint}",
            writer.state.borrow().dir.display()
        );
        if is_permanent(&error) {
            return Err(problem);
        }
        tracing::error!("{problem}; no state is recorded until a restart");
        Ok(Rc::new(writer))
    }

    fn without_store(state: State) -> Self {
        let (withdrawals, withdrawal_results) = unbounded_channel();
        StateWriter {
            key_headers: RefCell::new(key_headers(&state)),
            tracker: RefCell::new(IdempotencyTracker::empty(state.idempotency_limits)),
            state: RefCell::new(state),
            store: RefCell::default(),
            store_time: Arc::default(),
            started_at: Instant::now(),
            is_failing: Cell::new(false),
            withdrawals,
            withdrawal_results: RefCell::new(Some(withdrawal_results)),
            restored_services: RefCell::default(),
            level_orders: RefCell::default(),
        }
    }

    /// Restores the state from a store, and writes to it from now on.
    fn start_store<D: Disk>(&self, mut store: Store<D>) -> Result<(), Error> {
        let snapshot = store.snapshot();
        let tracker =
            IdempotencyTracker::open(self.state.borrow().idempotency_limits, &snapshot, 0);
        for batch in tracker.upgrade_records(&snapshot, 0) {
            // A power loss brings the former records back at most, which the next start rewrites.
            store.write(&batch, Durability::Relaxed)?;
        }
        self.tracker.replace(tracker);
        self.publish_store_time();
        // A snapshot that cannot be read counts as none.
        self.restored_services
            .replace(restore_services(&snapshot).unwrap_or_default());
        let orders = snapshot
            .scan(LEVEL_ORDERS_PREFIX.as_bytes(), 0)
            .flatten()
            .map(|(key, orders)| {
                let name = key.get(LEVEL_ORDERS_PREFIX.len()..).unwrap_or_default();
                (String::from_utf8_lossy(name).into_owned(), orders)
            });
        self.level_orders.replace(orders.collect());
        let published = Arc::clone(&self.store_time);
        let store_time = move || published.load(Ordering::Relaxed);
        let store = GroupCommit::start(store, MAX_QUEUED_BYTES, store_time)?;
        self.store.replace(Some(Box::new(store)));
        Ok(())
    }

    /// Checks whether the writer can continue under the section of a newer operator file.
    pub(super) fn check_reconfiguration(&self, state: Option<&State>) -> Result<(), String> {
        match state {
            Some(state) if state.dir == self.state.borrow().dir => Ok(()),
            _ => Err("state.dir: can't change while the program runs; restart it".to_string()),
        }
    }

    pub(super) fn reconfigure(&self, state: State) {
        self.key_headers.replace(key_headers(&state));
        self.tracker
            .borrow_mut()
            .set_limits(state.idempotency_limits, micros_since(self.started_at));
        self.state.replace(state);
    }

    /// Tells the store's thread the store time, by which it removes expired records. It may be behind, and is never ahead.
    fn publish_store_time(&self) {
        let now = micros_since(self.started_at);
        let store_time = self.tracker.borrow().store_time(now);
        self.store_time.store(store_time, Ordering::Relaxed);
    }

    pub(super) fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Processes the results of deleting records. Has to run for as long as the process serves.
    pub(super) async fn process_withdrawals(self: Rc<Self>) {
        let Some(mut results) = self.withdrawal_results.take() else {
            return;
        };
        while let Some(Withdrawal { key, written }) = results.recv().await {
            self.tracker.borrow_mut().withdrawal_written(&key, &written);
        }
    }

    /// Hands a batch to the store's thread, which calls `on_written`, unless this returns an error.
    fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        on_written: impl FnOnce(Written) + Send + 'static,
    ) -> Result<(), Error> {
        let store = self.store.borrow();
        let store = store.as_ref().ok_or(Error::Closed)?;
        store.submit(batch, durability, Box::new(on_written))
    }

    /// Writes a batch. A batch that is not written within [`WRITE_TIMEOUT`] counts as rejected, although it may be written
    /// later.
    pub(super) async fn write(&self, batch: Batch, durability: Durability) -> Written {
        self.publish_store_time();
        let (sender, written) = oneshot::channel();
        self.submit(batch, durability, move |written| {
            // The receiver may be gone.
            let _ = sender.send(written);
        })?;
        match madderloom_watchdog::timeout(WRITE_TIMEOUT, written).await {
            Ok(written) => written.unwrap_or(Err(Error::Closed)),
            Err(_) => Err(Error::Busy),
        }
    }

    fn admit(&self, key: &IdempotencyKey, mode: IdempotencyMode) -> Admission {
        self.publish_store_time();
        let mut tracker = self.tracker.borrow_mut();
        match &*self.store.borrow() {
            Some(store) => store.admit(&mut tracker, key, mode, micros_since(self.started_at)),
            None if mode == IdempotencyMode::Durable => Admission::Reject,
            None => Admission::Send,
        }
    }

    /// Logs once when writing records starts to fail, and once when it succeeds again.
    fn log_availability(&self, written: &Written) {
        let dir = &self.state.borrow().dir;
        match written {
            Err(error) if !self.is_failing.replace(true) => {
                tracing::warn!("{}: no record can be written: {error}", dir.display());
            }
            Ok(_) if self.is_failing.replace(false) => {
                tracing::info!("{}: records are written again", dir.display());
            }
            _ => {}
        }
    }

    /// The part of the admin view on the persistent state.
    pub(super) fn view(&self) -> serde_json::Value {
        let (tracker, store) = (self.tracker.borrow(), self.store.borrow());
        let status = store
            .as_ref()
            .map(|store| store.status())
            .unwrap_or_default();
        let text = |error: Option<Error>| error.map(|error| error.to_string());
        serde_json::json!({
            "directory": self.state.borrow().dir.display().to_string(),
            "open": store.is_some(), "recording": !self.is_failing.get(),
            "entries": tracker.len(), "unrecorded": tracker.unrecorded_count(),
            "groups": status.groups, "batches": status.batches, "compactions": status.compactions,
            "refusing": text(status.last_write_error), "not_compacting": text(status.last_compaction_error),
            "log_bytes": status.statistics.map(|statistics| statistics.log_bytes), "live_bytes": status.statistics.map(|statistics| statistics.live_bytes),
        })
    }

    /// Flushes and closes the store. If its disk hangs, returns after [`CLOSE_TIMEOUT`] without the last flush.
    pub(super) fn close(&self) {
        let Some(store) = self.store.take() else {
            return;
        };
        let (sender, closed) = std::sync::mpsc::channel();
        let close = move || {
            drop(store);
            let _ = sender.send(());
        };
        let closing = std::thread::Builder::new()
            .name("store-end".to_string())
            .spawn(close);
        if closing.is_ok() {
            let _ = closed.recv_timeout(CLOSE_TIMEOUT);
        }
    }
}

fn key_headers(state: &State) -> Vec<HeaderName> {
    state
        .id_headers
        .iter()
        .filter_map(|name| HeaderName::try_from(name.as_str()).ok())
        .collect()
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

//! The ledger in the request's way: before anything of a request that must not run twice is written to a server, the
//! store holds that it may run. Nothing of this is there where the operator file has no `[state]`.
//!
//! The store's own thread writes and flushes, and touches nothing else; the serving thread hands batches over and
//! waits for word of them as for any other I/O. Whatever befalls the disk, the program goes on.

use super::service::Service;
use super::transaction::Answer;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use madderloom_operator_config::State;
use madderloom_sidecar_state::{Begin, Id, Ledger, LongId, Mode, Next, Recollection, recollect};
use madderloom_store::{
    Batch, Disk, Durability, Error, GroupCommit, GroupCommitStatus, Options, RealDisk, Store,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

/// A store that has not taken a record after so long does not take it: its disk hangs.
const RECORDED_WITHIN: Duration = Duration::from_secs(1);
/// Keys of operators' orders on levels begin with this; the service's name follows.
pub(super) const ORDERS: &str = "level/";
/// Bytes that may wait to be written.
const WAITING: usize = 8 << 20;
/// How long the planned stop waits for the last flush.
const CLOSED_WITHIN: Duration = Duration::from_secs(3);

type Done = Result<u64, Error>;

/// A store of any disk.
trait Records: Send {
    fn begin(&self, ledger: &mut Ledger, id: &Id, mode: Mode, now: u64) -> Begin;
    fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        done: Box<dyn FnOnce(Done) + Send>,
    ) -> Result<(), Error>;
    fn status(&self) -> GroupCommitStatus;
}

impl<D: Disk> Records for GroupCommit<D> {
    fn begin(&self, ledger: &mut Ledger, id: &Id, mode: Mode, now: u64) -> Begin {
        ledger.begin(self.reader(), id, mode, now)
    }

    fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        done: Box<dyn FnOnce(Done) + Send>,
    ) -> Result<(), Error> {
        GroupCommit::submit(self, batch, durability, done)
    }

    fn status(&self) -> GroupCommitStatus {
        GroupCommit::status(self)
    }
}

/// The store of the process, and its ledger.
pub(super) struct Keeper {
    state: RefCell<State>,
    ids: RefCell<Vec<HeaderName>>,
    /// None where the disk did not let it be opened, and once it is closed.
    store: RefCell<Option<Box<dyn Records>>>,
    ledger: RefCell<Ledger>,
    began: Instant,
    /// The last word of it was that nothing can be recorded.
    refusing: Cell<bool>,
    /// What came of taking away records of requests that never ran.
    withdrawn: UnboundedSender<(Id, Done)>,
    to_withdraw: RefCell<Option<UnboundedReceiver<(Id, Done)>>>,
    /// What earlier processes left of services, by their names.
    pub(super) recollections: RefCell<BTreeMap<String, Recollection>>,
    /// Operators' orders on the levels of services as they were written last, by the services' names.
    pub(super) orders: RefCell<BTreeMap<String, Vec<u8>>>,
}

impl Keeper {
    /// Opens the store, and writes to it once: a directory that can't be written is told of at the start. Blocks.
    pub(super) fn open(state: State) -> Result<Rc<Self>, String> {
        let keeper = Keeper::without_store(state);
        let Err(error) =
            open_store(&keeper.state.borrow().dir).and_then(|store| keeper.begin_with(store))
        else {
            return Ok(Rc::new(keeper));
        };
        let next = match error {
            Error::Corrupted(_) => "; see `madderloom store verify` and `salvage`",
            Error::Io { ref source, .. } if source.kind() == ErrorKind::NotFound => {
                "; make the directory first"
            }
            _ => "",
        };
        let told = format!(
            "state.dir: {}: {error}{next}",
            keeper.state.borrow().dir.display()
        );
        if is_lasting(&error) {
            return Err(told);
        }
        tracing::error!("{told}; nothing is recorded until a restart");
        Ok(Rc::new(keeper))
    }

    fn without_store(state: State) -> Self {
        let (withdrawn, to_withdraw) = unbounded_channel();
        Keeper {
            ids: RefCell::new(headers(&state)),
            ledger: RefCell::new(Ledger::empty(state.rules)),
            state: RefCell::new(state),
            store: RefCell::default(),
            began: Instant::now(),
            refusing: Cell::new(false),
            withdrawn,
            to_withdraw: RefCell::new(Some(to_withdraw)),
            recollections: RefCell::default(),
            orders: RefCell::default(),
        }
    }

    /// Takes over what a store holds, and writes to it from now on.
    fn begin_with<D: Disk>(&self, store: Store<D>) -> Result<(), Error> {
        let (snapshot, began) = (store.snapshot(), self.began);
        let ledger = Ledger::open(self.state.borrow().rules, &snapshot, 0);
        let base = ledger.time(0);
        self.ledger.replace(ledger);
        // What can't be read is not remembered.
        self.recollections
            .replace(recollect(&snapshot).unwrap_or_default());
        let orders = snapshot
            .scan(ORDERS.as_bytes(), 0)
            .flatten()
            .map(|(key, orders)| {
                let name = key.get(ORDERS.len()..).unwrap_or_default();
                (String::from_utf8_lossy(name).into_owned(), orders)
            });
        self.orders.replace(orders.collect());
        let store = GroupCommit::start(store, WAITING, move || base.saturating_add(micros(began)))?;
        self.store.replace(Some(Box::new(store)));
        Ok(())
    }

    /// Whether it could go on under a newer file's section.
    pub(super) fn may_change(&self, state: Option<&State>) -> Result<(), String> {
        match state {
            Some(state) if state.dir == self.state.borrow().dir => Ok(()),
            _ => Err("state.dir: can't change while the program runs; restart it".to_string()),
        }
    }

    pub(super) fn change(&self, state: State) {
        self.ids.replace(headers(&state));
        self.ledger.borrow_mut().change(state.rules);
        self.state.replace(state);
    }

    pub(super) fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Hears which records were taken away. To be run for as long as the process serves.
    pub(super) async fn run(self: Rc<Self>) {
        let Some(mut told) = self.to_withdraw.take() else {
            return;
        };
        while let Some((id, done)) = told.recv().await {
            self.ledger.borrow_mut().withdrawn(&id, &done);
        }
    }

    /// Hands a batch over; `done` hears of it on the store's thread, unless it is refused at once.
    fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        done: impl FnOnce(Done) + Send + 'static,
    ) -> Result<(), Error> {
        let store = self.store.borrow();
        store
            .as_ref()
            .ok_or(Error::Closed)?
            .submit(batch, durability, Box::new(done))
    }

    /// Writes a batch. What is not written within a while is as good as refused, though it may be written yet.
    pub(super) async fn write(&self, batch: Batch, durability: Durability) -> Done {
        let (told, done) = oneshot::channel();
        self.submit(batch, durability, move |done| {
            // Whoever asked may have gone.
            let _ = told.send(done);
        })?;
        match tokio::time::timeout(RECORDED_WITHIN, done).await {
            Ok(done) => done.unwrap_or(Err(Error::Closed)),
            Err(_) => Err(Error::Busy),
        }
    }

    fn begin(&self, id: &Id, mode: Mode) -> Begin {
        match &*self.store.borrow() {
            Some(store) => store.begin(&mut self.ledger.borrow_mut(), id, mode, micros(self.began)),
            None if mode == Mode::Durable => Begin::Refuse,
            None => Begin::Send,
        }
    }

    /// Logs when records can't be written any more, and when they can again: once each.
    fn note(&self, done: &Done) {
        let dir = &self.state.borrow().dir;
        match done {
            Err(error) if !self.refusing.replace(true) => {
                tracing::warn!("{}: no record can be written: {error}", dir.display());
            }
            Ok(_) if self.refusing.replace(false) => {
                tracing::info!("{}: records are written again", dir.display());
            }
            _ => {}
        }
    }

    /// What the admin view shows of it.
    pub(super) fn view(&self) -> serde_json::Value {
        let (ledger, store) = (self.ledger.borrow(), self.store.borrow());
        let status = store
            .as_ref()
            .map(|store| store.status())
            .unwrap_or_default();
        let told = |error: Option<Error>| error.map(|e| e.to_string());
        serde_json::json!({
            "directory": self.state.borrow().dir.display().to_string(),
            "open": store.is_some(), "recording": !self.refusing.get(),
            "entries": ledger.len(), "unrecorded": ledger.unrecorded(),
            "groups": status.groups, "batches": status.batches, "compactions": status.compactions,
            "refusing": told(status.last_write_error), "not_compacting": told(status.last_compaction_error),
            "log_bytes": status.statistics.map(|statistics| statistics.log_bytes), "live_bytes": status.statistics.map(|statistics| statistics.live_bytes),
        })
    }

    /// Flushes and closes the store, unless its disk hangs: then the process ends without.
    pub(super) fn close(&self) {
        let Some(store) = self.store.take() else {
            return;
        };
        let (told, closed) = std::sync::mpsc::channel();
        let close = move || {
            drop(store);
            let _ = told.send(());
        };
        if std::thread::Builder::new()
            .name("store-end".to_string())
            .spawn(close)
            .is_ok()
        {
            let _ = closed.recv_timeout(CLOSED_WITHIN);
        }
    }
}

fn headers(state: &State) -> Vec<HeaderName> {
    state
        .ids
        .iter()
        .filter_map(|name| HeaderName::try_from(name.as_str()).ok())
        .collect()
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Opens the store and writes to it, so that what is wrong with the directory shows now.
fn open_store(dir: &Path) -> Result<Store<RealDisk>, Error> {
    let disk = RealDisk::open(dir).map_err(Error::directory)?;
    let mut store = Store::open(disk, Options::default())?;
    let mut start = Batch::new();
    start.put(
        "start",
        std::time::UNIX_EPOCH
            .elapsed()
            .unwrap_or_default()
            .as_secs()
            .to_string(),
    );
    match store.write(&start, Durability::Durable) {
        Err(error) if is_lasting(&error) => Err(error),
        // Full, or failing: what is there can be read, and the rest may get better.
        _ => Ok(store),
    }
}

/// What an operator must put right before the program can start. What a disk refuses at one time and not at another
/// must not keep it from starting.
fn is_lasting(error: &Error) -> bool {
    use ErrorKind::{NotADirectory, NotFound, PermissionDenied, ReadOnlyFilesystem};
    match error {
        Error::Io { source, .. } => {
            matches!(
                source.kind(),
                NotADirectory | NotFound | PermissionDenied | ReadOnlyFilesystem
            )
        }
        Error::Corrupted(_) | Error::UnsupportedVersion { .. } | Error::Locked => true,
        _ => false,
    }
}

/// What the ledger says to a request that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gate {
    /// It may be sent.
    Open,
    /// It can't be recorded, and nothing of it was sent.
    Refused,
    /// Another with its identity may have run.
    MayHaveRun,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stand {
    New,
    Recording,
    MaySend,
    Ended,
}

/// One request's entry in the ledger. Dropped before its end, the client has gone: it stays as one that may have run,
/// unless nothing of it was sent.
pub(super) struct Entry {
    keeper: Rc<Keeper>,
    id: Id,
    mode: Mode,
    stand: Cell<Stand>,
}

impl Entry {
    /// That of a request that must not run twice, where its pool keeps a ledger and the request has an identity. Of
    /// a request in parts each has its own.
    pub(super) fn of(
        service: &Service,
        headers: &HeaderMap,
        part: Option<usize>,
    ) -> Result<Option<Self>, LongId> {
        let mode = service.kept.get().ledger;
        let Some(keeper) = service.common.keeper.get().filter(|_| mode != Mode::Off) else {
            return Ok(None);
        };
        let ids = keeper.ids.borrow();
        let mut given = ids
            .iter()
            .filter_map(|name| Some((name, headers.get(name)?)));
        let Some((name, value)) = given.find(|(_, value)| !value.is_empty()) else {
            return Ok(None);
        };
        // With its header before it, no id of one sort is taken for one of another.
        let mut id = [name.as_str().as_bytes(), b"\0", value.as_bytes()].concat();
        if let Some(part) = part {
            id.extend_from_slice(format!("\0{part}").as_bytes());
        }
        let id = Id::new(&service.name, &id)?;
        Ok(Some(Entry {
            keeper: Rc::clone(keeper),
            id,
            mode,
            stand: Cell::new(Stand::New),
        }))
    }

    /// To be passed before anything is sent. Later attempts of the same request pass at once.
    pub(super) async fn pass(&self) -> Gate {
        match self.stand.get() {
            Stand::New => {}
            Stand::MaySend => return Gate::Open,
            // Nothing was sent by an attempt that was called off here.
            Stand::Recording | Stand::Ended => return Gate::Refused,
        }
        let (batch, durability) = match self.keeper.begin(&self.id, self.mode) {
            Begin::Record(batch, durability) => (batch, durability),
            Begin::Send => {
                self.stand.set(Stand::MaySend);
                return Gate::Open;
            }
            Begin::Fail => {
                self.stand.set(Stand::Ended);
                return Gate::MayHaveRun;
            }
            Begin::Refuse => {
                self.stand.set(Stand::Ended);
                return Gate::Refused;
            }
        };
        self.stand.set(Stand::Recording);
        let done = self.keeper.write(batch, durability).await;
        self.keeper.note(&done);
        if self.mode == Mode::Durable && done == Err(Error::Busy) {
            // It may be written yet: what takes it away goes behind it.
            self.withdraw();
            return Gate::Refused;
        }
        match self.keeper.ledger.borrow_mut().recorded(&self.id, &done) {
            Next::Send => {
                self.stand.set(Stand::MaySend);
                Gate::Open
            }
            Next::Refuse => {
                self.stand.set(Stand::Ended);
                Gate::Refused
            }
        }
    }

    /// The request has its final answer.
    pub(super) fn end(&self, answer: &Answer) {
        if !matches!(self.stand.get(), Stand::Recording | Stand::MaySend) {
            return;
        }
        match answer {
            Answer::Served(_) => {
                self.stand.set(Stand::Ended);
                let batch = self.keeper.ledger.borrow_mut().answered(&self.id);
                // Lost, it is one that may have run, and answered alike.
                let _ = batch.map(|batch| self.keeper.submit(batch, Durability::Relaxed, drop));
            }
            // That is promised only of what has not run.
            Answer::Refused { .. } => self.withdraw(),
            Answer::Failed => self.give_up(),
        }
    }

    fn give_up(&self) {
        self.stand.set(Stand::Ended);
        self.keeper.ledger.borrow_mut().given_up(&self.id);
    }

    /// It never ran: its record is to go, also where it is still on its way.
    fn withdraw(&self) {
        self.stand.set(Stand::Ended);
        let Some(batch) = self.keeper.ledger.borrow_mut().never_ran(&self.id) else {
            return;
        };
        let (told, id) = (self.keeper.withdrawn.clone(), self.id.clone());
        // Nobody hears it once the process stops; refused at once, it stays remembered as one that never ran.
        let _ = self.keeper.submit(batch, Durability::Relaxed, move |done| {
            let _ = told.send((id, done));
        });
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        match self.stand.get() {
            Stand::Recording => self.withdraw(),
            Stand::MaySend => self.give_up(),
            Stand::New | Stand::Ended => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use madderloom_sidecar_state::{Aging, Rules};
    use madderloom_store::sim::SimDisk;
    use rstest::rstest;

    fn keeper() -> Keeper {
        Keeper::without_store(State {
            dir: "state".into(),
            usual: madderloom_operator_config::Kept::default(),
            ids: Vec::new(),
            rules: Rules {
                window: 60_000_000,
                most: 1_000,
            },
            warm_every: madderloom_config_reader::Span::s(5),
            aging: Aging { half: 1, oldest: 1 },
        })
    }

    fn over(disk: &SimDisk) -> Rc<Keeper> {
        let keeper = keeper();
        // So little is reserved ahead that a full disk is met at once.
        let options = Options {
            segment_bytes: 1 << 20,
            max_preallocated_bytes: 64,
            ..Options::default()
        };
        let store = Store::open(disk.clone(), options).expect("it opens");
        keeper.begin_with(store).expect("its thread starts");
        Rc::new(keeper)
    }

    fn entry(keeper: &Rc<Keeper>, mode: Mode, name: &str) -> Entry {
        let id = Id::new("pay", name.as_bytes()).expect("it is short");
        Entry {
            keeper: Rc::clone(keeper),
            id,
            mode,
            stand: Cell::new(Stand::New),
        }
    }

    fn run<T>(task: impl Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(task)
    }

    /// A disk that hangs: what is handed over is never heard of again.
    struct Hung(GroupCommit<SimDisk>);

    impl Records for Hung {
        fn begin(&self, ledger: &mut Ledger, id: &Id, mode: Mode, now: u64) -> Begin {
            Records::begin(&self.0, ledger, id, mode, now)
        }

        fn submit(
            &self,
            _: Batch,
            _: Durability,
            done: Box<dyn FnOnce(Done) + Send>,
        ) -> Result<(), Error> {
            std::mem::forget(done);
            Ok(())
        }

        fn status(&self) -> GroupCommitStatus {
            GroupCommitStatus::default()
        }
    }

    #[test]
    fn many_requests_wait_for_one_flush() {
        let keeper = over(&SimDisk::new());
        run(async {
            let entries: Vec<Entry> = (0..200)
                .map(|n| entry(&keeper, Mode::Durable, &n.to_string()))
                .collect();
            let mut passing: Vec<_> = entries.iter().map(|entry| Box::pin(entry.pass())).collect();
            // All have handed their records over before the first hears.
            let waker = std::task::Waker::noop();
            let mut context = std::task::Context::from_waker(waker);
            passing.retain_mut(|passing| passing.as_mut().poll(&mut context).is_pending());
            assert!(!passing.is_empty(), "the serving thread waits for the disk");
            for passing in passing {
                let _ = passing.await;
            }
            assert!(
                entries
                    .iter()
                    .all(|entry| entry.stand.get() == Stand::MaySend)
            );
        });
        let status = keeper
            .store
            .borrow()
            .as_ref()
            .map(|store| store.status())
            .expect("it is open");
        assert!(status.batches == 200 && status.groups < 200, "{status:?}");
    }

    #[rstest]
    #[case::full(true)]
    #[case::failing(false)]
    fn a_disk_that_refuses_and_gets_better_refuses_no_longer_than_that(#[case] full: bool) {
        let disk = SimDisk::new();
        let keeper = over(&disk);
        run(async {
            assert_eq!(
                entry(&keeper, Mode::Durable, "before").pass().await,
                Gate::Open
            );
            if full {
                disk.set_capacity(Some(0));
            } else {
                // The write itself succeeds, its flush does not.
                disk.fail_in(2, ErrorKind::Other);
            }
            assert_eq!(
                entry(&keeper, Mode::Durable, "a").pass().await,
                Gate::Refused
            );
            assert!(keeper.refusing.get());
            if full {
                assert_eq!(entry(&keeper, Mode::Relaxed, "b").pass().await, Gate::Open);
            }
            disk.set_capacity(None);
            disk.clear_failures();
            assert_eq!(entry(&keeper, Mode::Durable, "a").pass().await, Gate::Open);
            assert!(!keeper.refusing.get());
        });
    }

    #[test]
    fn a_disk_that_hangs_is_as_one_that_refuses() {
        let store = Store::open(SimDisk::new(), Options::default()).expect("it opens");
        let keeper = keeper();
        let hung = Hung(GroupCommit::start(store, WAITING, || 0).expect("its thread starts"));
        keeper.store.replace(Some(Box::new(hung)));
        let keeper = Rc::new(keeper);
        run(async {
            let (durable, relaxed) = (
                entry(&keeper, Mode::Durable, "a"),
                entry(&keeper, Mode::Relaxed, "b"),
            );
            assert_eq!(
                tokio::join!(durable.pass(), relaxed.pass()),
                (Gate::Refused, Gate::Open)
            );
            // One that was refused was not sent: it may come again.
            assert_eq!(
                entry(&keeper, Mode::Durable, "b").pass().await,
                Gate::MayHaveRun
            );
            assert_eq!(
                entry(&keeper, Mode::Durable, "a").pass().await,
                Gate::Refused
            );
        });
    }

    #[test]
    fn what_a_client_left_before_it_was_recorded_is_taken_away_again() {
        let disk = SimDisk::new();
        let keeper = over(&disk);
        let pump = Rc::clone(&keeper);
        run(async {
            let left = entry(&keeper, Mode::Durable, "a");
            let mut passing = Box::pin(left.pass());
            let mut context = std::task::Context::from_waker(std::task::Waker::noop());
            let _ = passing.as_mut().poll(&mut context);
            drop(passing);
            assert!(left.stand.get() == Stand::Recording);
            drop(left);
            tokio::select! {
                () = pump.run() => panic!("it hears no more"),
                () = async {
                    while !keeper.ledger.borrow().is_empty() {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                } => {}
            }
            assert_eq!(entry(&keeper, Mode::Durable, "a").pass().await, Gate::Open);
        });
    }
}

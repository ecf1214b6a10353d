//! The ledger of submissions: requests that must never run twice, and whether each may have run.
//!
//! Before the last byte of such a request is written to a server, the ledger holds that it may run; with the answer,
//! that it was answered. After a crash a request with an id that may have run is answered at once as failed: it is
//! never sent again, and never refused as if another try were harmless.

use madderloom_store::{Batch, Disk, Durability, Error, File, Reader, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most bytes of a request's id, and of a service's name.
pub const MAX_ID: usize = 1024;
/// See [`MAX_ID`].
pub const MAX_SERVICE: usize = 255;

const PREFIX: &[u8] = b"sub/";
const MAY_RUN: &[u8] = b"r";
const ANSWERED: &[u8] = b"a";
/// Entries are counted by their expiry in steps of about a second (2^20 µs), so that the count stays small.
const STEP: u32 = 20;

/// What the ledger promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Nothing is kept. A restart forgets all ids.
    #[default]
    Off,
    /// Every request is recorded before it is sent, without waiting for the disk. Ids that may have run survive a crash
    /// of the process; a loss of power may lose the latest. Where the store can't take a record, the request is sent
    /// all the same, and counted.
    Relaxed,
    /// A request is sent only once its record would survive a loss of power. Where the store can't take the record, it
    /// is refused before anything is sent.
    Durable,
}

/// How the ledger works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The longest time from a request's sending in which a repeat of it can come, in microseconds.
    pub window: u64,
    /// The most entries that are held. Beyond them [`Mode::Durable`] refuses and [`Mode::Relaxed`] records no more.
    pub most: usize,
}

/// A request's identity: its service and its id, as bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(Vec<u8>);

/// An id, or a service's name, is longer than may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongId;

impl std::fmt::Display for LongId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "an id of more than {MAX_ID} bytes, or a service's name of more than {MAX_SERVICE}"
        )
    }
}

impl std::error::Error for LongId {}

impl Id {
    /// The identity of a request.
    ///
    /// # Errors
    /// Where the id has more than 1,024 bytes or the service's name more than 255.
    pub fn new(service: &str, id: &[u8]) -> Result<Self, LongId> {
        let length = u8::try_from(service.len()).map_err(|_| LongId)?;
        if id.len() > MAX_ID {
            return Err(LongId);
        }
        let mut key = PREFIX.to_vec();
        // With its length before it no name and id are taken for another pair.
        key.push(length);
        key.extend_from_slice(service.as_bytes());
        key.extend_from_slice(id);
        Ok(Id(key))
    }
}

/// What the ledger knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Was {
    /// It was sent, or was about to be; whether it ran is not known.
    MayHaveRun,
    /// It ran, and its answer was given.
    Answered,
}

/// What is to be done with a request before its last byte is written to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Send it: nothing is to be recorded.
    Send,
    /// Write this to the store, tell [`Ledger::recorded`] what came of it, and do as that says.
    Record(Batch, Durability),
    /// Answer at once that it has failed: another request with this id may run, or did. See [`Ledger::was`].
    Fail,
    /// Refuse it: no more entries may be held, and nothing was sent.
    Refuse,
}

/// What is to be done once the store has taken a record or refused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request.
    Send,
    /// Refuse it: nothing was sent.
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Recording,
    Recorded,
    Unrecorded,
    /// It never ran; its record is yet to be taken away.
    Withdrawn,
}

struct Open {
    expires: u64,
    state: State,
    mode: Mode,
}

/// The ledger of one process. Its memory is bounded by the requests that are open and by [`Rules::most`].
///
/// Its time is the time it has been running, over all starts: it goes on at a start from where the last record left it,
/// and no other clock is read. So an entry lasts for at least the window in real time, whatever a machine's clock does
/// between two starts, and longer by the time that the process was down.
pub struct Ledger {
    rules: Rules,
    /// The caller's time at the start, and its own.
    started: (u64, u64),
    open: BTreeMap<Id, Open>,
    /// Entries held, by the step in which they expire.
    held: BTreeMap<u64, usize>,
    count: usize,
    unrecorded: u64,
}

impl Ledger {
    /// The ledger as a store holds it. `now` is the caller's time in microseconds, which only grows.
    pub fn open<F: File>(rules: Rules, snapshot: &Snapshot<F>, now: u64) -> Self {
        let mut held: BTreeMap<u64, usize> = BTreeMap::new();
        let mut latest = None;
        // With the earliest time asked for, none has expired yet.
        for entry in snapshot.keys(PREFIX, 0) {
            let expires = entry.expires_at.unwrap_or(u64::MAX);
            *held.entry(expires >> STEP).or_default() += 1;
            latest = latest.max(Some(expires));
        }
        // The latest was recorded one window before it expires, so the ledger's time had come so far at least.
        let resumed = latest.map_or(0, |latest| latest.saturating_sub(rules.window));
        let count = held.values().sum();
        Ledger {
            rules,
            started: (now, resumed),
            open: BTreeMap::new(),
            held,
            count,
            unrecorded: 0,
        }
    }

    /// A ledger without a store.
    pub fn empty(rules: Rules) -> Self {
        let (open, held) = Default::default();
        Ledger {
            rules,
            started: (0, 0),
            open,
            held,
            count: 0,
            unrecorded: 0,
        }
    }

    /// Other rules hold from now on. A shorter window holds for the entries that are there as well: its time goes ahead
    /// by the difference. Else a start would take an old entry's expiry for a later time than it was, and forget those
    /// that came behind it.
    pub fn change(&mut self, rules: Rules) {
        self.started.1 = self
            .started
            .1
            .saturating_add(self.rules.window.saturating_sub(rules.window));
        self.rules = rules;
    }

    /// The ledger's time, by which entries expire: the clock that the store's reads and compactions are to be given.
    pub fn time(&self, now: u64) -> u64 {
        let (started, resumed) = self.started;
        resumed.saturating_add(now.saturating_sub(started))
    }

    /// What is to be done with a request before its last byte is written to a server. To be asked once for each
    /// request, whose further attempts stand under the same record. Reads no file, so it does not block.
    pub fn begin<D: Disk>(&mut self, reader: &Reader<D>, id: &Id, mode: Mode, now: u64) -> Begin {
        if mode == Mode::Off {
            return Begin::Send;
        }
        let time = self.time(now);
        self.forget_expired(time);
        match self.open.get(id).map(|open| (open.state, open.expires)) {
            // The record that is still there is known to be of one that never ran.
            Some((State::Withdrawn, expires)) => {
                self.open.remove(id);
                self.release(expires);
            }
            // Two that are open with one id: the second is not known from a repeat.
            Some(_) => return Begin::Fail,
            None if reader.contains(&id.0, time) => return Begin::Fail,
            None => {}
        }
        let expires = time.saturating_add(self.rules.window);
        if self.count >= self.rules.most {
            if mode == Mode::Durable {
                return Begin::Refuse;
            }
            self.unrecorded += 1;
            self.open.insert(
                id.clone(),
                Open {
                    expires,
                    state: State::Unrecorded,
                    mode,
                },
            );
            return Begin::Send;
        }
        self.open.insert(
            id.clone(),
            Open {
                expires,
                state: State::Recording,
                mode,
            },
        );
        *self.held.entry(expires >> STEP).or_default() += 1;
        self.count += 1;
        let mut batch = Batch::new();
        batch.put_until(id.0.clone(), MAY_RUN, expires);
        let durable = mode == Mode::Durable;
        Begin::Record(
            batch,
            if durable {
                Durability::Durable
            } else {
                Durability::Relaxed
            },
        )
    }

    /// What is held of a request that is not open, read from the store's files. An entry that can't be read may have
    /// run.
    pub fn was<D: Disk>(&self, reader: &Reader<D>, id: &Id, now: u64) -> Option<Was> {
        match reader.get(&id.0, self.time(now)) {
            Ok(None) => None,
            Ok(Some(state)) if state == ANSWERED => Some(Was::Answered),
            Ok(Some(_)) | Err(_) => Some(Was::MayHaveRun),
        }
    }

    /// What is to be done once the store has taken or refused the record of [`Begin::Record`].
    ///
    /// Of a refused record nothing reads in this process, so a repeat is served as new. After a restart it may be found
    /// all the same; then a repeat is answered as failed, which is true of what may have run and safe of what has not.
    pub fn recorded(&mut self, id: &Id, done: &Result<u64, Error>) -> Next {
        let Some(open) = self
            .open
            .get_mut(id)
            .filter(|o| o.state == State::Recording)
        else {
            return Next::Refuse;
        };
        if done.is_ok() {
            open.state = State::Recorded;
            return Next::Send;
        }
        let (expires, durable) = (open.expires, open.mode == Mode::Durable);
        if durable {
            self.open.remove(id);
        } else {
            open.state = State::Unrecorded;
            self.unrecorded += 1;
        }
        self.release(expires);
        if durable { Next::Refuse } else { Next::Send }
    }

    /// The request was answered: what is to be written, relaxed. Its loss makes the request one that may have run,
    /// which is answered in the same way. None where it was marked already, or nothing of it was recorded.
    pub fn answered(&mut self, id: &Id) -> Option<Batch> {
        let open = self.open.remove(id)?;
        (open.state == State::Recorded).then(|| {
            let mut batch = Batch::new();
            batch.put_until(id.0.clone(), ANSWERED, open.expires);
            batch
        })
    }

    /// The request has ended, and no attempt of it can have run: what is to be written, relaxed, so that another try
    /// is served. Its record may be on its way still: batches apply in their order. [`Ledger::withdrawn`] is to be
    /// told what came of it; until then another try is served all the same.
    pub fn never_ran(&mut self, id: &Id) -> Option<Batch> {
        let open = self.open.get_mut(id)?;
        if open.state == State::Unrecorded {
            self.open.remove(id);
            return None;
        }
        open.state = State::Withdrawn;
        let mut batch = Batch::new();
        batch.delete(id.0.clone());
        Some(batch)
    }

    /// What came of the batch of [`Ledger::never_ran`]. Where the store did not take it, the request is remembered as
    /// one that never ran for as long as its record lasts, but not over a restart.
    pub fn withdrawn(&mut self, id: &Id, done: &Result<u64, Error>) {
        let open = self
            .open
            .get(id)
            .filter(|open| open.state == State::Withdrawn && done.is_ok());
        if let Some(expires) = open.map(|open| open.expires) {
            self.open.remove(id);
            self.release(expires);
        }
    }

    /// The request has ended without an answer, and may have run: it stays recorded as that.
    pub fn given_up(&mut self, id: &Id) {
        self.open.remove(id);
    }

    /// Entries held, open ones included.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Requests that were sent though nothing of them could be recorded.
    pub fn unrecorded(&self) -> u64 {
        self.unrecorded
    }

    fn release(&mut self, expires: u64) {
        let step = expires >> STEP;
        if let Some(count) = self.held.get_mut(&step) {
            *count = count.saturating_sub(1);
            self.count = self.count.saturating_sub(1);
            if *count == 0 {
                self.held.remove(&step);
            }
        }
    }

    fn forget_expired(&mut self, time: u64) {
        let mut any = false;
        while let Some(first) = self.held.first_entry().filter(|e| *e.key() < time >> STEP) {
            self.count = self.count.saturating_sub(first.remove());
            any = true;
        }
        if any {
            self.open.retain(|_, open| {
                open.state != State::Withdrawn || open.expires >> STEP >= time >> STEP
            });
        }
    }
}

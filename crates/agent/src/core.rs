//! The fleet's machine, driven: one task that takes what is asked in turn, makes what came of it last, and only then
//! answers and sends. What is asked while it writes is taken together and written together.

use crate::Error;
use crate::batch::{self, Sends};
use crate::clock::Clock;
use crate::routes::{RelayId, Routes};
use crate::storage::{Saves, Storage};
use crate::traffic::Traffic;
use crate::view;
use madderloom_control_plane::change::Change;
use madderloom_control_plane::fleet_limits::FleetLimitSettings;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer, WatchLine};
use madderloom_control_plane::{Accepted, By, Declined, Fleet, Micros, Note, Output, Rules, Time};
use madderloom_endpoint_sharing::Relay as ListRelay;
use madderloom_quota_leases::LeaseServerEvent;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Messages that are taken together, beyond those of the request that reaches it: some 0.1 ms each, so that a turn stays
/// below what the watchdog warns of.
const TOGETHER: usize = 512;
/// So many asked things wait at most.
const WAITING: usize = 4_096;
/// How long after a failed write the storage is tried again.
const AGAIN: Duration = Duration::from_secs(1);

/// The agent can't keep what it decides, so that it decides nothing.
#[derive(Clone, Debug)]
pub(crate) struct Unable(pub(crate) String);

type Reply<T> = oneshot::Sender<Result<T, Unable>>;

/// What someone wants to see of it, as JSON.
type Look = Box<dyn FnOnce(&Fleet, &ListRelay, &Routes, Micros) -> Vec<u8> + Send>;

/// What is asked of the machine.
pub(crate) enum Ask {
    Instance(Box<ToAgent>, Reply<Vec<ToInstance>>),
    Batch(RelayId, Batch, Reply<BatchAnswer>),
    Push(Box<Change>, By, Reply<Result<Accepted, Declined>>),
    Stop(String, By, Reply<Result<Accepted, Declined>>),
    Undo(String, By, Reply<Result<Accepted, Declined>>),
    See(Look, Reply<Vec<u8>>),
    Watch(String, u64, Reply<mpsc::Receiver<ToInstance>>),
    WatchRelay(RelayId, u64, Reply<mpsc::Receiver<WatchLine>>),
}

/// How the machine is asked.
#[derive(Clone)]
pub(crate) struct Core(mpsc::Sender<Ask>);

impl Core {
    pub(crate) async fn ask<T>(&self, ask: impl FnOnce(Reply<T>) -> Ask) -> Result<T, Unable> {
        let gone = || Unable("the agent is stopping".into());
        let (reply, answer) = oneshot::channel();
        self.0.send(ask(reply)).await.map_err(|_| gone())?;
        answer.await.map_err(|_| gone())?
    }

    pub(crate) async fn see<T: serde::Serialize>(
        &self,
        what: impl FnOnce(&Fleet, Micros) -> T + Send + 'static,
    ) -> Result<Vec<u8>, Unable> {
        self.see_all(|fleet, _, _, now| what(fleet, now)).await
    }

    /// The same, of the lists that the fleet shares and the ways to instances as well.
    async fn see_all<T: serde::Serialize>(
        &self,
        what: impl FnOnce(&Fleet, &ListRelay, &Routes, Micros) -> T + Send + 'static,
    ) -> Result<Vec<u8>, Unable> {
        let written = |fleet: &Fleet, lists: &ListRelay, routes: &Routes, now| {
            serde_json::to_vec(&what(fleet, lists, routes, now)).unwrap_or_default()
        };
        self.ask(|reply| Ask::See(Box::new(written), reply)).await
    }

    /// The messages for a start of an instance that come of what others ask. There are none where the agent is unable.
    pub(crate) async fn watch(&self, name: String, start: u64) -> mpsc::Receiver<ToInstance> {
        self.ask(|reply| Ask::Watch(name, start, reply))
            .await
            .unwrap_or_else(|_| mpsc::channel(1).1)
    }

    /// The messages for all instances behind a start of a relay, which knows of this term. There are none where the agent
    /// is unable.
    pub(crate) async fn watch_relay(&self, relay: RelayId, term: u64) -> mpsc::Receiver<WatchLine> {
        self.ask(|reply| Ask::WatchRelay(relay, term, reply))
            .await
            .unwrap_or_else(|_| mpsc::channel(1).1)
    }
}

/// An answer that waits until what it tells of lasts.
type Held = Box<dyn FnOnce(Result<(), Unable>)>;

/// What has come of the requests that are taken together.
#[derive(Default)]
struct Turn {
    saves: Saves,
    sends: Sends,
    /// Answers that wait until what they tell of lasts.
    held: Vec<Held>,
}

impl Turn {
    /// Logs the events of an output and keeps its records. Returns its messages.
    fn record(&mut self, out: Output) -> Sends {
        for note in &out.notes {
            match note {
                Note::Leases(
                    LeaseServerEvent::Overcommitted { .. }
                    | LeaseServerEvent::ConflictingServer { .. },
                ) => {
                    tracing::error!("{note}")
                }
                note => tracing::info!("{note}"),
            }
        }
        self.saves.extend(out.saves);
        out.sends
    }

    /// The same, and sends its messages.
    fn record_and_send(&mut self, out: Output) {
        let sends = self.record(out);
        self.sends.extend(sends);
    }
}

impl Ask {
    /// The messages of instances in it; at least one.
    fn messages(&self) -> usize {
        match self {
            Ask::Batch(_, batch, _) => batch.messages.len().max(1),
            _ => 1,
        }
    }

    /// Answers that nothing is done.
    fn refuse(self, unable: &Unable) {
        let unable = unable.clone();
        match self {
            Ask::Instance(_, reply) => drop(reply.send(Err(unable))),
            Ask::Batch(_, _, reply) => drop(reply.send(Err(unable))),
            Ask::Push(_, _, reply) | Ask::Stop(_, _, reply) | Ask::Undo(_, _, reply) => {
                drop(reply.send(Err(unable)));
            }
            Ask::See(_, reply) => drop(reply.send(Err(unable))),
            Ask::Watch(_, _, reply) => drop(reply.send(Err(unable))),
            Ask::WatchRelay(_, _, reply) => drop(reply.send(Err(unable))),
        }
    }
}

struct Driver {
    clock: Clock,
    rules: Rules,
    lending: FleetLimitSettings,
    storage: Option<Box<dyn Storage>>,
    fleet: Result<Fleet, Unable>,
    /// The lists that the fleet shares. Each term learns them anew.
    lists: ListRelay,
    routes: Routes,
    rng: oorandom::Rand64,
    above: u64,
    /// When storage that failed is tried again.
    again: Instant,
}

/// Starts the machine from what lasts, in a new term.
pub(crate) async fn start(
    clock: Clock,
    rules: Rules,
    lending: FleetLimitSettings,
    above: u64,
    storage: Box<dyn Storage>,
    seed: u128,
) -> Result<Core, Error> {
    let (sender, asked) = mpsc::channel(WAITING);
    let mut driver = Driver {
        clock,
        rules,
        lending,
        storage: Some(storage),
        fleet: Err(Unable(String::new())),
        lists: ListRelay::new(0, 0),
        routes: Routes::default(),
        rng: oorandom::Rand64::new(seed),
        above,
        again: Instant::now(),
    };
    driver.restore().await?;
    watchdog::spawn(TaskKind::AgentCore, driver.run(asked));
    Ok(Core(sender))
}

impl Driver {
    async fn run(mut self, mut asked: mpsc::Receiver<Ask>) {
        loop {
            let due = match &self.fleet {
                Ok(fleet) => fleet.next(self.clock.now()).map(|at| self.clock.at(at)),
                // A time that does not move on with all that is asked meanwhile.
                Err(_) => Some(self.again),
            };
            let timer = async {
                match due {
                    Some(due) => tokio::time::sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            let first = tokio::select! {
                ask = asked.recv() => match ask {
                    Some(ask) => Some(ask),
                    None => return,
                },
                () = timer => None,
            };
            if self.fleet.is_err() && first.is_none() {
                match self.restore().await {
                    Ok(()) => tracing::info!("the state can be written again"),
                    Err(problem) => tracing::warn!("{problem}"),
                }
                self.again = Instant::now() + AGAIN;
                continue;
            }
            let mut all: Vec<Ask> = first.into_iter().collect();
            let mut messages: usize = all.iter().map(Ask::messages).sum();
            while messages < TOGETHER
                && let Ok(ask) = asked.try_recv()
            {
                messages += ask.messages();
                all.push(ask);
            }
            self.take(all).await;
        }
    }

    /// Takes what was asked, in turn; makes it last; answers.
    async fn take(&mut self, all: Vec<Ask>) {
        if let Err(unable) = &self.fleet {
            return all.into_iter().for_each(|ask| ask.refuse(unable));
        }
        let mut turn = Turn::default();
        let time = self.clock.time();
        if let Ok(fleet) = &mut self.fleet {
            let due = fleet.tick(time);
            turn.record_and_send(due);
        }
        for ask in all {
            self.handle(time, ask, &mut turn);
        }
        let Turn { saves, sends, held } = turn;
        let durable = if saves.is_empty() {
            Ok(())
        } else {
            self.commit(saves).await
        };
        match durable {
            Ok(()) => {
                sends
                    .into_iter()
                    .for_each(|(name, message)| self.routes.send(name, message));
                held.into_iter().for_each(|answer| answer(Ok(())));
            }
            Err(problem) => {
                // What was decided may last or not: the machine is made anew from what does.
                tracing::error!("{problem}");
                let unable = Unable(format!("the agent can't write its state: {problem}"));
                self.fleet = Err(unable.clone());
                self.again = Instant::now() + AGAIN;
                held.into_iter()
                    .for_each(|answer| answer(Err(unable.clone())));
            }
        }
    }

    /// Has the state machine handle one request.
    fn handle(&mut self, time: Time, ask: Ask, turn: &mut Turn) {
        let Ok(fleet) = &mut self.fleet else { return };
        match ask {
            Ask::Instance(message, reply) => {
                let sends = turn.record(fleet.receive(time, &message, self.rng.rand_u64()));
                let name = &message.who().name;
                let (own, others): (Sends, Sends) =
                    sends.into_iter().partition(|(to, _)| to == name);
                turn.sends.extend(others);
                let mut own: Vec<ToInstance> =
                    own.into_iter().map(|(_, message)| message).collect();
                if own.iter().any(ToInstance::is_acceptance)
                    && let Some((answer, updates)) =
                        batch::share_lists(&mut self.lists, time.now, &message)
                {
                    own.push(ToInstance::Lists(answer));
                    turn.sends.extend(updates);
                }
                turn.held.push(hold(reply, own));
            }
            Ask::Batch(relay, batch, reply) => {
                let sends =
                    turn.record(fleet.receive_batch(time, &batch.messages, self.rng.rand_u64()));
                let shared = (&mut self.routes, &mut self.lists, time.now);
                let (answer, others) = batch::answer(fleet.term(), &batch, &relay, sends, shared);
                turn.sends.extend(others);
                turn.held.push(hold(reply, answer));
            }
            Ask::Push(change, by, reply) => {
                let (done, out) = fleet.push(time, *change, by);
                turn.record_and_send(out);
                turn.held.push(hold(reply, done));
            }
            Ask::Stop(id, by, reply) => {
                let (done, out) = fleet.stop(time, &id, &by);
                turn.record_and_send(out);
                turn.held.push(hold(reply, done));
            }
            Ask::Undo(id, by, reply) => {
                let (done, out) = fleet.undo(time, &id, by);
                turn.record_and_send(out);
                turn.held.push(hold(reply, done));
            }
            Ask::See(what, reply) => {
                turn.held.push(hold(
                    reply,
                    what(fleet, &self.lists, &self.routes, time.now),
                ));
            }
            Ask::Watch(name, start, reply) => {
                turn.held.push(hold(reply, self.routes.watch(name, start)))
            }
            Ask::WatchRelay(relay, term, reply) => {
                turn.record_and_send(fleet.hear_of_term(term));
                turn.held
                    .push(hold(reply, self.routes.watch_relay(relay, fleet.term())));
            }
        }
    }

    async fn commit(&mut self, saves: Saves) -> Result<(), Error> {
        let mut storage = self.storage.take().ok_or(Error::StorageLost)?;
        let task = tokio::task::spawn_blocking(move || {
            let done = storage.commit(saves);
            (storage, done)
        });
        let (storage, done) = task.await.map_err(Error::StorageThread)?;
        self.storage = Some(storage);
        done
    }

    async fn restore(&mut self) -> Result<(), Error> {
        let mut storage = self.storage.take().ok_or(Error::StorageLost)?;
        let task = tokio::task::spawn_blocking(move || {
            let records = storage.load();
            (storage, records)
        });
        let (storage, records) = task.await.map_err(Error::StorageThread)?;
        self.storage = Some(storage);
        let (mut fleet, mut out) =
            Fleet::restore(self.rules, self.clock.time(), self.above, records?)
                .map_err(Error::InvalidState)?;
        let leases =
            fleet.serve_fleet_limits(self.clock.time(), self.lending.clone(), self.rng.rand_u64());
        out.saves.extend(leases.saves);
        self.commit(out.saves).await?;
        self.lists = ListRelay::new(fleet.term(), self.rng.rand_u64());
        tracing::info!(
            "term {} begins at revision {}",
            fleet.term(),
            fleet.newest()
        );
        self.fleet = Ok(fleet);
        Ok(())
    }
}

fn hold<T: 'static>(reply: Reply<T>, answer: T) -> Held {
    Box::new(move |lasting| drop(reply.send(lasting.map(|()| answer))))
}

pub(crate) async fn status(core: &Core, traffic: Traffic) -> Result<Vec<u8>, Unable> {
    let status = move |fleet: &Fleet, lists: &ListRelay, routes: &Routes, now| view::Status {
        traffic,
        relays: routes.relays(),
        ..view::status(fleet, lists, now)
    };
    core.see_all(status).await
}

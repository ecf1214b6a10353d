//! The task itself: which commands are taken together, and how each is handled.

use super::command::{Command, Unavailable};
use super::effects::PendingEffects;
use super::handle::FleetHandle;
use super::relay_batch::{HandledBatch, InstanceMessages, SharedState, share_lists};
use super::state_store::StateStore;
use crate::Error;
use crate::clock::Clock;
use crate::delivery_routes::{DeliveryRoutes, RelayId};
use crate::storage::Storage;
use crate::view::FleetSnapshot;
use madderloom_control_plane::fleet_limits::FleetLimitSettings;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer};
use madderloom_control_plane::{Fleet, Rules, Time};
use madderloom_endpoint_sharing::EndpointListDistributor;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The weight at which no further command joins those that are taken together. A message is some 0.1 ms of work, so that a
/// turn stays below the duration that the watchdog warns of.
const MAX_TURN_WEIGHT: usize = 512;
/// The most commands that wait. Senders beyond wait for room.
const COMMAND_QUEUE_CAPACITY: usize = 4_096;
/// The interval at which a state that is lost is loaded again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// How the state machine is set.
pub(crate) struct FleetTaskSettings {
    /// Leases, paces, reports.
    pub(crate) rules: Rules,
    /// Fleet-wide limits.
    pub(crate) fleet_limits: FleetLimitSettings,
    /// The term of the agent is above this one.
    pub(crate) term_above: u64,
    /// The seed of the random numbers that spread messages in time.
    pub(crate) seed: u128,
}

/// Loads the state from the durable records in a new term, and starts the task. Must be called within a
/// [`tokio::task::LocalSet`]. The task ends with the last handle.
pub(crate) async fn start(
    settings: FleetTaskSettings,
    storage: Box<dyn Storage>,
) -> Result<FleetHandle, Error> {
    let clock = Clock::new();
    let FleetTaskSettings {
        rules,
        fleet_limits,
        term_above,
        seed,
    } = settings;
    let mut store = StateStore::new(clock, rules, fleet_limits, term_above, storage);
    let mut rng = oorandom::Rand64::new(seed);
    let fleet = store.load(&mut rng).await?;
    let task = FleetTask {
        clock,
        store,
        lists: EndpointListDistributor::new(fleet.term(), rng.rand_u64()),
        state: FleetState::Loaded(Box::new(fleet)),
        routes: DeliveryRoutes::default(),
        rng,
    };
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    watchdog::spawn(TaskKind::AgentCore, task.run(commands));
    Ok(FleetHandle::new(sender))
}

/// Whether the state machine can be used.
enum FleetState {
    /// It agrees with the durable records.
    Loaded(Box<Fleet>),
    /// It may not agree with them: it was dropped, and is loaded again.
    Lost {
        /// Why commands are rejected until then.
        reason: Unavailable,
        /// When it is loaded again.
        reload_at: Instant,
    },
}

struct FleetTask {
    clock: Clock,
    store: StateStore,
    state: FleetState,
    /// The endpoint lists that the fleet shares. Each term learns them anew from reports.
    lists: EndpointListDistributor,
    routes: DeliveryRoutes,
    rng: oorandom::Rand64,
}

impl FleetTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            let timer = wait_until(self.next_timer());
            let first = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => Some(command),
                    None => return,
                },
                () = timer => None,
            };
            if first.is_none() && matches!(self.state, FleetState::Lost { .. }) {
                self.reload().await;
                continue;
            }
            let turn = take_together(first, &mut commands);
            self.handle_all(turn).await;
        }
    }

    /// When the task has work without a command.
    fn next_timer(&self) -> Option<Instant> {
        match &self.state {
            FleetState::Loaded(fleet) => {
                let next = fleet.next(self.clock.now());
                next.map(|at| self.clock.instant_at(at))
            }
            // The time is fixed, so that commands that keep arriving do not postpone it.
            FleetState::Lost { reload_at, .. } => Some(*reload_at),
        }
    }

    /// Tries to load a state that was lost.
    async fn reload(&mut self) {
        match self.store.load(&mut self.rng).await {
            Ok(fleet) => {
                self.lists = EndpointListDistributor::new(fleet.term(), self.rng.rand_u64());
                self.state = FleetState::Loaded(Box::new(fleet));
                tracing::info!("state loaded again");
            }
            Err(error) => {
                tracing::warn!(%error, "state not loaded");
                if let FleetState::Lost { reload_at, .. } = &mut self.state {
                    *reload_at = Instant::now() + RELOAD_INTERVAL;
                }
            }
        }
    }

    /// Drops a state whose records could not be written: they may be durable or not.
    fn lose_state(&mut self, error: Error) -> Unavailable {
        tracing::error!(%error, "state not written");
        let reason = Unavailable::StateNotWritten(Arc::new(error));
        self.state = FleetState::Lost {
            reason: reason.clone(),
            reload_at: Instant::now() + RELOAD_INTERVAL,
        };
        reason
    }

    /// Handles commands in turn, makes the records durable, and then sends messages and answers.
    async fn handle_all(&mut self, commands: Vec<Command>) {
        let time = self.clock.time();
        let mut effects = PendingEffects::default();
        match &mut self.state {
            FleetState::Loaded(fleet) => effects.add(fleet.tick(time)),
            FleetState::Lost { reason, .. } => {
                for command in commands {
                    command.reject(reason.clone());
                }
                return;
            }
        }
        for command in commands {
            self.handle(time, command, &mut effects);
        }
        let changes = std::mem::take(&mut effects.record_changes);
        let committed = if changes.is_empty() {
            Ok(())
        } else {
            self.store.commit(changes).await
        };
        let durable = committed.map_err(|error| self.lose_state(error));
        if durable.is_ok() {
            for (instance, message) in std::mem::take(&mut effects.messages) {
                self.routes.send(instance, message);
            }
        }
        effects.send_replies(&durable);
    }

    /// Has the state machine handle one command. Does nothing where the state is lost.
    fn handle(&mut self, time: Time, command: Command, effects: &mut PendingEffects) {
        let FleetState::Loaded(fleet) = &mut self.state else {
            return;
        };
        match command {
            Command::InstanceMessage { message, reply } => {
                let answer = self.handle_instance_message(time, &message, effects);
                effects.reply(reply, answer);
            }
            Command::RelayBatch {
                relay,
                batch,
                reply,
            } => {
                let answer = self.handle_relay_batch(time, &relay, &batch, effects);
                effects.reply(reply, answer);
            }
            Command::Push {
                change,
                author,
                reply,
            } => {
                let (outcome, output) = fleet.push(time, *change, author);
                effects.add(output);
                effects.reply(reply, outcome);
            }
            Command::Stop { id, author, reply } => {
                let (outcome, output) = fleet.stop(time, &id, &author);
                effects.add(output);
                effects.reply(reply, outcome);
            }
            Command::Undo { id, author, reply } => {
                let (outcome, output) = fleet.undo(time, &id, author);
                effects.add(output);
                effects.reply(reply, outcome);
            }
            Command::Query { query, reply } => {
                let snapshot = FleetSnapshot {
                    fleet,
                    lists: &self.lists,
                    routes: &self.routes,
                    now: time.now,
                };
                effects.reply(reply, query(&snapshot));
            }
            Command::WatchInstance { name, start, reply } => {
                effects.reply(reply, self.routes.watch_instance(name, start));
            }
            Command::WatchRelay {
                relay,
                known_term,
                reply,
            } => {
                effects.add(fleet.hear_of_term(known_term));
                effects.reply(reply, self.routes.watch_relay(relay, fleet.term()));
            }
        }
    }

    /// Handles a registration or a report. Returns the messages for the instance itself.
    fn handle_instance_message(
        &mut self,
        time: Time,
        message: &ToAgent,
        effects: &mut PendingEffects,
    ) -> Vec<ToInstance> {
        let FleetState::Loaded(fleet) = &mut self.state else {
            return Vec::new();
        };
        let output = fleet.receive(time, message, self.rng.rand_u64());
        let messages = effects.add_records(output);
        let name = &message.who().name;
        let (own, others): (InstanceMessages, InstanceMessages) =
            messages.into_iter().partition(|(to, _)| to == name);
        effects.messages.extend(others);
        let mut own: Vec<ToInstance> = own.into_iter().map(|(_, message)| message).collect();
        if own.iter().any(ToInstance::is_acceptance)
            && let Some(update) = share_lists(&mut self.lists, time.now, message)
        {
            own.push(ToInstance::Lists(update.answer));
            effects.messages.extend(update.others);
        }
        own
    }

    /// Handles the registrations and reports in a batch of a relay.
    fn handle_relay_batch(
        &mut self,
        time: Time,
        relay: &RelayId,
        batch: &Batch,
        effects: &mut PendingEffects,
    ) -> BatchAnswer {
        let FleetState::Loaded(fleet) = &mut self.state else {
            return BatchAnswer::default();
        };
        let output = fleet.receive_batch(time, &batch.messages, self.rng.rand_u64());
        let handled = HandledBatch {
            relay,
            batch,
            term: fleet.term(),
            messages: effects.add_records(output),
        };
        let (answer, watched) = handled.answer(&mut SharedState {
            routes: &mut self.routes,
            lists: &mut self.lists,
            now: time.now,
        });
        effects.messages.extend(watched);
        answer
    }
}

/// Completes at a time; never where there is none.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// The first command, with those that wait behind it, up to [`MAX_TURN_WEIGHT`].
fn take_together(first: Option<Command>, waiting: &mut mpsc::Receiver<Command>) -> Vec<Command> {
    let mut commands: Vec<Command> = first.into_iter().collect();
    let mut weight: usize = commands.iter().map(Command::weight).sum();
    while weight < MAX_TURN_WEIGHT
        && let Ok(command) = waiting.try_recv()
    {
        weight += command.weight();
        commands.push(command);
    }
    commands
}

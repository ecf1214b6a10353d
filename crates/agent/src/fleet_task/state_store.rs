//! The durable records behind the fleet's state machine.

use crate::Error;
use crate::clock::Clock;
use crate::storage::{RecordChanges, Storage};
use madderloom_control_plane::fleet_limits::FleetLimitSettings;
use madderloom_control_plane::{Fleet, Rules};

/// Loads the state machine from the durable records, and commits changes of them. Calls of the storage run on a thread for
/// blocking work.
pub(super) struct StateStore {
    clock: Clock,
    rules: Rules,
    fleet_limits: FleetLimitSettings,
    /// The term of each load is above this one.
    term_above: u64,
    /// Absent while a call is under way, and for good after a call has panicked.
    storage: Option<Box<dyn Storage>>,
}

impl StateStore {
    pub(super) fn new(
        clock: Clock,
        rules: Rules,
        fleet_limits: FleetLimitSettings,
        term_above: u64,
        storage: Box<dyn Storage>,
    ) -> Self {
        StateStore {
            clock,
            rules,
            fleet_limits,
            term_above,
            storage: Some(storage),
        }
    }

    /// Restores the state machine in a new term, which is durable on return.
    pub(super) async fn load(&mut self, rng: &mut oorandom::Rand64) -> Result<Fleet, Error> {
        let records = self.with_storage(|storage| storage.load()).await?;
        let time = self.clock.time();
        let (mut fleet, mut output) = Fleet::restore(self.rules, time, self.term_above, records)
            .map_err(Error::InvalidState)?;
        let limits =
            fleet.serve_fleet_limits(self.clock.time(), self.fleet_limits.clone(), rng.rand_u64());
        output.saves.extend(limits.saves);
        self.commit(output.saves).await?;
        tracing::info!(
            term = fleet.term(),
            revision = fleet.newest(),
            "term started"
        );
        Ok(fleet)
    }

    /// Makes changes of records durable, all or none. After an error it is unknown which.
    pub(super) async fn commit(&mut self, changes: RecordChanges) -> Result<(), Error> {
        self.with_storage(move |storage| storage.commit(changes))
            .await
    }

    async fn with_storage<T: Send + 'static>(
        &mut self,
        call: impl FnOnce(&mut dyn Storage) -> Result<T, Error> + Send + 'static,
    ) -> Result<T, Error> {
        let mut storage = self.storage.take().ok_or(Error::StorageLost)?;
        let task = tokio::task::spawn_blocking(move || {
            let result = call(storage.as_mut());
            (storage, result)
        });
        let (storage, result) = task.await.map_err(Error::StorageThread)?;
        self.storage = Some(storage);
        result
    }
}

//! The warm start: what the module has measured goes into the store every few seconds and at the planned stop, and
//! comes back, weighed by its age, after a restart.

use super::common::Common;
use super::ledger::Keeper;
use super::service::Service;
use madderloom_balancer::{Memory, Micros, ServerId, ServerMemory};
use madderloom_sidecar_state::{
    ClassMemory, Recalled, Recollection, ServerMemory as KeptServer, Warm, WarmWriter, blend,
};
use madderloom_store::{Batch, Durability};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What is left of an earlier process's measurements: of servers that are not listed yet.
#[derive(Default)]
pub(super) struct Remembered {
    warm: Option<Warm>,
    left: BTreeMap<ServerId, KeptServer>,
}

/// By the machine's clock, which alone goes on while the program is down.
fn unix_now() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn memory_of(server: ServerId, kept: &KeptServer) -> ServerMemory {
    let KeptServer {
        started,
        work,
        time,
        failures,
        ejected,
        ejection,
        ..
    } = *kept;
    ServerMemory {
        server,
        started,
        work,
        time,
        failures,
        ejected,
        ejection,
    }
}

impl Remembered {
    /// What an earlier process left of a pool that keeps a warm start; it is given out once.
    pub(super) fn of(keeper: &Keeper, pool: &str) -> Self {
        let mut recollections = keeper.recollections.borrow_mut();
        let warm = recollections
            .get_mut(pool)
            .and_then(|found| found.warm.take());
        let servers = warm.iter().flat_map(|warm| &warm.servers);
        let left = servers
            .map(|server| (ServerId::named(&server.name), server.clone()))
            .collect();
        Remembered { warm, left }
    }

    fn recalled(&self, keeper: &Keeper) -> Option<Recalled> {
        let recalled = self.warm.as_ref()?.recall(unix_now(), keeper.state().aging);
        (recalled.weight > 0.0).then_some(recalled)
    }

    /// The servers as they were listed, where that is not too long ago.
    pub(super) fn listed(&self, keeper: &Keeper) -> Vec<KeptServer> {
        self.recalled(keeper)
            .map(|recalled| recalled.servers)
            .unwrap_or_default()
    }

    /// What was measured of classes and on the whole, mixed by its age into what the module would begin with.
    pub(super) fn classes(
        &self,
        keeper: &Keeper,
        service: &Service,
        begun: &Memory,
    ) -> Option<Memory> {
        let Recalled {
            weight,
            classes,
            means,
            ..
        } = self.recalled(keeper)?;
        let mixed = |guess: f64, kept: f64| blend(guess, kept, weight);
        let mut memory = begun.clone();
        for (class, name) in memory.classes.iter_mut().zip(&service.tuned().site.classes) {
            if let Some(kept) = classes.iter().find(|kept| kept.name == *name) {
                (class.usual, class.slow) =
                    (mixed(class.usual, kept.cost), mixed(class.slow, kept.slow));
            }
        }
        memory.means = (mixed(begun.means.0, means.0), mixed(begun.means.1, means.1));
        Some(memory)
    }

    /// Gives what is left of servers to `take`, which says whether it needs that no more.
    pub(super) fn servers(&mut self, keeper: &Keeper, mut take: impl FnMut(&ServerMemory) -> bool) {
        if self.left.is_empty() {
            return;
        }
        let Some(Recalled { servers, .. }) = self.recalled(keeper) else {
            *self = Remembered::default();
            return;
        };
        for server in &servers {
            let id = ServerId::named(&server.name);
            if self.left.contains_key(&id) && take(&memory_of(id, server)) {
                self.left.remove(&id);
            }
        }
    }
}

/// Writes snapshots for as long as the process serves.
pub(super) async fn run(common: Rc<Common>, keeper: Rc<Keeper>) {
    forget_others(&common, &keeper).await;
    loop {
        tokio::time::sleep(Duration::from_micros(keeper.state().warm_every.micros())).await;
        write(&common, &keeper).await;
    }
}

/// Pools that keep no warm start leave nothing behind.
async fn forget_others(common: &Common, keeper: &Keeper) {
    let mut forgotten = Vec::new();
    keeper.recollections.borrow_mut().retain(|name, found| {
        let kept = common
            .services
            .borrow()
            .iter()
            .any(|s| s.name == *name && s.kept.get().warm_start);
        if !kept {
            forgotten.push(found.writer.forget());
        }
        kept
    });
    for batch in forgotten {
        // What is not taken away now is at the next start.
        let _ = keeper.write(batch, Durability::Relaxed).await;
    }
}

/// One snapshot of each pool that keeps them.
pub(super) async fn write(common: &Common, keeper: &Keeper) {
    let services = common.services.borrow().clone();
    for service in services
        .iter()
        .filter(|s| s.kept.get().warm_start && !s.is_leaving())
    {
        let (batch, entries): (Batch, _) = {
            let mut recollections = keeper.recollections.borrow_mut();
            let found = recollections.entry(service.name.clone());
            let found = found.or_insert_with(|| Recollection {
                warm: None,
                writer: WarmWriter::empty(&service.name),
            });
            found.writer.batch(&taken(service))
        };
        // Where it is not written, the next one writes all that changed since the last that was.
        if keeper.write(batch, Durability::Relaxed).await.is_ok()
            && let Some(found) = keeper.recollections.borrow_mut().get_mut(&service.name)
        {
            found.writer.written(entries);
        }
    }
}

fn taken(service: &Service) -> Warm {
    let now: Micros = service.common.clock.now();
    let memory = service.memory(now);
    let measured: BTreeMap<ServerId, &ServerMemory> =
        memory.servers.iter().map(|s| (s.server, s)).collect();
    let mut servers = service.pool.listed_memories();
    for (id, server) in &mut servers {
        if let Some(measured) = measured.get(id) {
            server.started = measured.started;
            (server.work, server.time) = (measured.work, measured.time);
            (server.failures, server.ejected) = (measured.failures, measured.ejected);
            server.ejection = measured.ejection;
        }
    }
    let tuned = service.tuned();
    let class =
        |(place, seen): (&super::tuned::Place, &madderloom_balancer::ClassMemory)| ClassMemory {
            name: place.entry.name.clone(),
            cost: seen.usual,
            slow: seen.slow,
        };
    Warm {
        taken: unix_now(),
        means: memory.means,
        servers: servers.into_values().collect(),
        classes: tuned
            .places
            .iter()
            .zip(&memory.classes)
            .filter(|(place, _)| !place.retired)
            .map(class)
            .collect(),
    }
}

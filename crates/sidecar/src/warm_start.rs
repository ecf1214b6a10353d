//! The warm start: the balancer's measurements are written to the store every few seconds and at a graceful shutdown, and are
//! used after a restart, weighted by their age.

use super::process_state::ProcessState;
use super::service::Service;
use super::state_writer::StateWriter;
use madderloom_balancer::{Measurements, Micros, ServerId, ServerMeasurements};
use madderloom_sidecar_state::{
    ClassSnapshot, DecayedSnapshot, Means, PendingSnapshot, RestoredService, ServerSnapshot,
    SnapshotWriter, WarmStartSnapshot, blend,
};
use madderloom_store::Durability;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The snapshot of an earlier process, and which of its servers are not restored yet.
#[derive(Default)]
pub(super) struct WarmStart {
    snapshot: Option<WarmStartSnapshot>,
    /// The servers that discovery has not listed since the start.
    unlisted: BTreeSet<ServerId>,
}

/// Unix time in microseconds. Snapshots need a clock that runs while the program does not.
fn unix_now() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// The measurements that the balancer restores from a server's snapshot.
fn measurements_of(server: ServerId, snapshot: &ServerSnapshot) -> ServerMeasurements {
    ServerMeasurements {
        server,
        started_at: snapshot.incarnation_started_at,
        work: snapshot.work,
        attempt_time: snapshot.attempt_time,
        failure_score: snapshot.consecutive_failures,
        ejection_remaining: snapshot.ejection_left,
        ejection_duration: snapshot.ejection_time,
    }
}

impl WarmStart {
    /// The stored snapshot of a pool that has a warm start. Each snapshot is returned once.
    pub(super) fn from_store(writer: &StateWriter, pool: &str) -> Self {
        let mut restored_services = writer.restored_services.borrow_mut();
        let snapshot = restored_services
            .get_mut(pool)
            .and_then(|restored| restored.snapshot.take());
        let servers = snapshot.iter().flat_map(|snapshot| &snapshot.servers);
        let unlisted = servers
            .map(|server| ServerId::from_name(&server.name))
            .collect();
        WarmStart { snapshot, unlisted }
    }

    /// The snapshot, decayed by its present age; none if its weight is zero.
    fn decayed(&self, writer: &StateWriter) -> Option<DecayedSnapshot> {
        let decay = writer.state().snapshot_decay;
        let decayed = self.snapshot.as_ref()?.decayed(unix_now(), decay);
        (decayed.weight > 0.0).then_some(decayed)
    }

    /// The servers of the snapshot; none if it is too old.
    pub(super) fn stored_servers(&self, writer: &StateWriter) -> Vec<ServerSnapshot> {
        self.decayed(writer)
            .map(|decayed| decayed.servers)
            .unwrap_or_default()
    }

    /// The stored measurements of request classes and of all requests, blended with the balancer's initial assumptions.
    pub(super) fn restore_classes(
        &self,
        writer: &StateWriter,
        service: &Service,
        initial: &Measurements,
    ) -> Option<Measurements> {
        let DecayedSnapshot {
            weight,
            classes,
            means,
            ..
        } = self.decayed(writer)?;
        let blended = |initial: f64, stored: f64| blend(initial, stored, weight);
        let mut measurements = initial.clone();
        for (class, name) in measurements
            .classes
            .iter_mut()
            .zip(&service.active_settings().site.classes)
        {
            if let Some(stored) = classes.iter().find(|stored| stored.name == *name) {
                class.service_time = blended(class.service_time, stored.usual_work);
                class.tail_latency = blended(class.tail_latency, stored.slow_time);
            }
        }
        measurements.mean_work_and_time = (
            blended(initial.mean_work_and_time.0, means.work),
            blended(initial.mean_work_and_time.1, means.answer_time),
        );
        Some(measurements)
    }

    /// Passes each server that is not restored yet to `restore`, which returns whether the balancer has accepted it.
    pub(super) fn restore_servers(
        &mut self,
        writer: &StateWriter,
        mut restore: impl FnMut(&ServerMeasurements) -> bool,
    ) {
        if self.unlisted.is_empty() {
            return;
        }
        let Some(DecayedSnapshot { servers, .. }) = self.decayed(writer) else {
            *self = WarmStart::default();
            return;
        };
        for server in &servers {
            let id = ServerId::from_name(&server.name);
            if self.unlisted.contains(&id) && restore(&measurements_of(id, server)) {
                self.unlisted.remove(&id);
            }
        }
    }
}

/// Writes snapshots periodically while the process serves.
pub(super) async fn write_periodically(process: Rc<ProcessState>, writer: Rc<StateWriter>) {
    delete_unused(&process, &writer).await;
    loop {
        tokio::time::sleep(Duration::from_micros(
            writer.state().snapshot_interval.micros(),
        ))
        .await;
        write_snapshots(&process, &writer).await;
    }
}

/// Deletes the snapshots of services that no longer have a warm start.
async fn delete_unused(process: &ProcessState, writer: &StateWriter) {
    let mut batches = Vec::new();
    writer
        .restored_services
        .borrow_mut()
        .retain(|name, restored| {
            let services = process.services.borrow();
            let is_used = services
                .iter()
                .any(|service| service.name == *name && service.persistence.get().warm_start);
            if !is_used {
                batches.push(restored.writer.delete_batch());
            }
            is_used
        });
    for batch in batches {
        // Snapshots that can't be deleted now are deleted at the next start.
        let _ = writer.write(batch, Durability::Relaxed).await;
    }
}

/// Writes one snapshot of each service that has a warm start.
pub(super) async fn write_snapshots(process: &ProcessState, writer: &StateWriter) {
    let services = process.services.borrow().clone();
    for service in services
        .iter()
        .filter(|service| service.persistence.get().warm_start && !service.is_draining())
    {
        let mut pending = prepare(writer, service);
        let batch = std::mem::take(&mut pending.batch);
        // If the write fails, the next snapshot contains all changes since the last successful one.
        if writer.write(batch, Durability::Relaxed).await.is_ok()
            && let Some(restored) = writer.restored_services.borrow_mut().get_mut(&service.name)
        {
            restored.writer.set_written(pending);
        }
    }
}

/// The changes that store a snapshot of a service.
fn prepare(writer: &StateWriter, service: &Service) -> PendingSnapshot {
    let mut restored_services = writer.restored_services.borrow_mut();
    let restored = restored_services
        .entry(service.name.clone())
        .or_insert_with(|| RestoredService {
            snapshot: None,
            writer: SnapshotWriter::empty(&service.name),
        });
    restored.writer.prepare(&take_snapshot(service))
}

fn take_snapshot(service: &Service) -> WarmStartSnapshot {
    let now: Micros = service.process.clock.now();
    let measurements = service.measurements(now);
    let measured: BTreeMap<ServerId, &ServerMeasurements> =
        measurements.servers.iter().map(|s| (s.server, s)).collect();
    let mut servers = service.pool.server_snapshots();
    for (id, server) in &mut servers {
        if let Some(measured) = measured.get(id) {
            server.incarnation_started_at = measured.started_at;
            server.work = measured.work;
            server.attempt_time = measured.attempt_time;
            server.consecutive_failures = measured.failure_score;
            server.ejection_left = measured.ejection_remaining;
            server.ejection_time = measured.ejection_duration;
        }
    }
    let settings = service.active_settings();
    let slots = settings.class_slots.iter().zip(&measurements.classes);
    let classes = slots
        .filter(|(slot, _)| !slot.retired)
        .map(|(slot, class)| ClassSnapshot {
            name: slot.entry.name.clone(),
            usual_work: class.service_time,
            slow_time: class.tail_latency,
        });
    WarmStartSnapshot {
        taken_at: unix_now(),
        means: Means::from(measurements.mean_work_and_time),
        servers: servers.into_values().collect(),
        classes: classes.collect(),
    }
}

//! A new instance restores the measurements of a former one, except those of other incarnations and invalid values.

mod common;
use common::*;
use madderloom_balancer::*;

/// An instance with four servers, of which one fails all requests and another is four times slower than the rest.
fn rig_with_measurements() -> Rig {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    for _ in 0..300 {
        let (id, actions) = rig.request(0);
        let Some(server) = sent(&actions) else {
            continue;
        };
        let (outcome, elapsed) = match server.0 {
            0 => (Outcome::Error, 5 * MS),
            1 => (Outcome::Ok, 80 * MS),
            _ => (Outcome::Ok, 20 * MS),
        };
        rig.now += elapsed;
        let mut actions = rig.close(id, 0, server, outcome, elapsed);
        let mut attempt = 1;
        while let Some(server) = sent(&actions) {
            rig.now += 20 * MS;
            actions = rig.close(id, attempt, server, Outcome::Ok, 20 * MS);
            attempt += 1;
        }
    }
    rig
}

fn new_instance(measurements: &Measurements, servers: &[ServerEntry], now: Micros) -> Rig {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &[]);
    rig.now = now;
    rig.balancer.restore_class_measurements(measurements);
    assert!(
        measurements
            .servers
            .iter()
            .all(|server| !rig.balancer.restore_server_measurements(now, server)),
        "no server is listed yet"
    );
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(servers)));
    assert!(
        measurements
            .servers
            .iter()
            .all(|server| rig.balancer.restore_server_measurements(now, server))
    );
    rig
}

#[test]
fn a_new_instance_restores_the_measurements_of_the_last_one() {
    let rig = rig_with_measurements();
    let measurements = rig.balancer.measurements(rig.now);
    assert!(
        measurements.servers[0].failure_score > 0 && measurements.servers[0].ejection_duration > 0,
        "{measurements:?}"
    );
    let mut restored = new_instance(&measurements, &fleet(4), rig.now);
    assert_eq!(restored.balancer.measurements(rig.now), measurements);
    // Restoring again changes nothing.
    assert!(restored.balancer.restore_server_measurements(
        rig.now,
        &ServerMeasurements {
            work: 1.0,
            ..measurements.servers[1]
        }
    ));
    assert_eq!(restored.balancer.measurements(rig.now), measurements);
    let counts = restored.count_by_server(100, |_| 5 * MS);
    let count = |server: u64| counts.get(&ServerId(server)).copied().unwrap_or(0);
    assert!(
        count(0) <= 5 && count(1) < count(2) && count(1) < count(3),
        "{counts:?}"
    );
    let mut fresh = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    assert!(fresh.count_by_server(100, |_| 5 * MS)[&ServerId(0)] > 10);
}

#[test]
fn measurements_of_another_incarnation_and_invalid_values_are_not_restored() {
    let rig = rig_with_measurements();
    let mut measurements = rig.balancer.measurements(rig.now);
    let mut servers = fleet(4);
    servers[0].started_at = Some(rig.now - S);
    measurements.servers[1].work = f64::NAN;
    measurements.servers[2].attempt_time = -1.0;
    measurements.servers[3].ejection_remaining = u64::MAX;
    measurements.classes[0] = ClassMeasurements {
        service_time: 0.0,
        tail_latency: f64::INFINITY,
    };
    measurements.mean_work_and_time = (f64::NAN, -1.0);
    let new_instance = new_instance(&measurements, &servers, rig.now);
    let restored = new_instance.balancer.measurements(rig.now);
    assert_eq!(
        restored
            .servers
            .iter()
            .map(|s| s.server.0)
            .collect::<Vec<_>>(),
        [3]
    );
    assert!(
        restored.servers[0].ejection_remaining <= 60 * S,
        "the ejection is limited"
    );
    let fresh = Rig::new(settings(&[RetrySafety::Idempotent]), &[])
        .balancer
        .measurements(0);
    assert_eq!(
        (restored.classes, restored.mean_work_and_time),
        (fresh.classes, fresh.mean_work_and_time)
    );
}

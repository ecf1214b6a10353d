//! What was measured holds for the next instance as for the one that measured it, and nothing else does.

mod common;
use common::*;
use madderloom_balancer::*;

/// One of four servers fails all that it gets, another is four times slower than the rest.
fn experienced() -> Rig {
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

fn next(memory: &Measurements, servers: &[ServerEntry], now: Micros) -> Rig {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &[]);
    rig.now = now;
    rig.balancer.restore_class_measurements(memory);
    assert!(
        memory
            .servers
            .iter()
            .all(|server| !rig.balancer.restore_server_measurements(now, server)),
        "none is listed yet"
    );
    rig.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(servers)));
    assert!(
        memory
            .servers
            .iter()
            .all(|server| rig.balancer.restore_server_measurements(now, server))
    );
    rig
}

#[test]
fn the_next_instance_knows_what_the_last_one_measured() {
    let rig = experienced();
    let memory = rig.balancer.measurements(rig.now);
    assert!(
        memory.servers[0].failure_score > 0 && memory.servers[0].ejection_duration > 0,
        "{memory:?}"
    );
    let mut warm = next(&memory, &fleet(4), rig.now);
    assert_eq!(warm.balancer.measurements(rig.now), memory);
    // Once more changes nothing.
    assert!(warm.balancer.restore_server_measurements(
        rig.now,
        &ServerMeasurements {
            work: 1.0,
            ..memory.servers[1]
        }
    ));
    assert_eq!(warm.balancer.measurements(rig.now), memory);
    let spread = warm.count_by_server(100, |_| 5 * MS);
    let got = |server: u64| spread.get(&ServerId(server)).copied().unwrap_or(0);
    assert!(
        got(0) <= 5 && got(1) < got(2) && got(1) < got(3),
        "{spread:?}"
    );
    let mut cold = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    assert!(cold.count_by_server(100, |_| 5 * MS)[&ServerId(0)] > 10);
}

#[test]
fn of_another_life_and_of_what_makes_no_sense_nothing_holds() {
    let rig = experienced();
    let mut memory = rig.balancer.measurements(rig.now);
    let mut servers = fleet(4);
    servers[0].started_at = Some(rig.now - S);
    memory.servers[1].work = f64::NAN;
    memory.servers[2].attempt_time = -1.0;
    memory.servers[3].ejection_remaining = u64::MAX;
    memory.classes[0] = ClassMeasurements {
        service_time: 0.0,
        tail_latency: f64::INFINITY,
    };
    memory.mean_work_and_time = (f64::NAN, -1.0);
    let next = next(&memory, &servers, rig.now);
    let kept = next.balancer.measurements(rig.now);
    assert_eq!(
        kept.servers.iter().map(|s| s.server.0).collect::<Vec<_>>(),
        [3]
    );
    assert!(
        kept.servers[0].ejection_remaining <= 60 * S,
        "no ejection is for good"
    );
    let fresh = Rig::new(settings(&[RetrySafety::Idempotent]), &[])
        .balancer
        .measurements(0);
    assert_eq!(
        (kept.classes, kept.mean_work_and_time),
        (fresh.classes, fresh.mean_work_and_time)
    );
}

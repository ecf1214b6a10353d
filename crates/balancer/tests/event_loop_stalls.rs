//! A process that did not run for a while: the time counts neither against its servers nor as latency of its requests.

mod common;
use common::*;
use madderloom_balancer::*;

const STALL: Micros = 390 * MS;
const SERVICE_TIME: Micros = 10 * MS;

/// A balancer of three servers that have each served requests in the same time.
fn warmed_up() -> Rig {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(3));
    for _ in 0..300 {
        rig.serve(0, SERVICE_TIME);
    }
    rig
}

/// Guards against taking servers for stalled whose responses could not be read, and requests for late.
#[test]
fn a_stall_makes_no_server_look_stalled_and_no_class_late() {
    let mut rig = warmed_up();
    let before = rig.balancer.snapshot(rig.now).classes[0].latency_ratio;
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("a server gets the request");
    rig.now += STALL;
    assert!(
        rig.balancer.failing_server_share(rig.now) > Some(0.0),
        "without notice of the stall the server looks stalled"
    );
    rig.event(Event::EventLoopStalled(STALL));
    assert_eq!(rig.balancer.failing_server_share(rig.now), Some(0.0));
    rig.now += SERVICE_TIME;
    rig.close(id, 0, server, Outcome::Ok, SERVICE_TIME);
    let after = rig.balancer.snapshot(rig.now).classes[0].latency_ratio;
    assert!(after < 1.1 * before, "{before} to {after}");
}

/// Guards against extending a client's deadline by the time in which this process did not run.
#[test]
fn a_stall_moves_no_deadline() {
    let mut rig = warmed_up();
    let (id, _) = rig.request(0);
    rig.now += 1_200 * MS;
    rig.event(Event::EventLoopStalled(1_200 * MS));
    let actions = rig.event(Event::TimerFired(Timer::Request(id)));
    assert!(
        actions.contains(&Action::Fail { request: id }),
        "{actions:?}"
    );
}

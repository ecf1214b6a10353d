//! The snapshot shows the state that the balancer decides by.

mod common;
use common::*;
use madderloom_balancer::DiscoveryUpdate::FullList;
use madderloom_balancer::*;

#[test]
fn the_snapshot_shows_shares_requests_in_flight_and_ejections() {
    let mut balancer =
        Balancer::new(settings(&[RetrySafety::NonIdempotent]), 1).expect("valid settings");
    let mut actions = Vec::new();
    let servers: Vec<ServerEntry> = (1..=4).map(listed).collect();
    balancer.handle(S, Event::DiscoveryUpdated(FullList(&servers)), &mut actions);
    assert_eq!(balancer.snapshot(S).servers.len(), 4);
    let mut now = 2 * S;
    // One server fails all requests, the others answer in 10 ms.
    for id in 1..=60 {
        actions.clear();
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: None,
            time_left: 400 * MS,
            cost_hint: None,
            client_retry: false,
        };
        balancer.handle(now, Event::RequestReceived(new), &mut actions);
        let sent = actions.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = sent else { continue };
        let view = balancer.snapshot(now);
        assert_eq!((view.classes[0].in_flight, view.tracked_requests), (1, 1));
        assert_eq!(view.servers.iter().map(|s| s.in_flight).sum::<usize>(), 1);
        now += 10 * MS;
        let outcome = if server == ServerId(1) {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let result = AttemptResult {
            request: id,
            attempt: 0,
            server,
            outcome,
            elapsed: 10 * MS,
            request_ended: true,
        };
        balancer.handle(now, Event::AttemptEnded(result), &mut actions);
    }
    let view = balancer.snapshot(now);
    assert_eq!((view.classes[0].in_flight, view.tracked_requests), (0, 0));
    let ejected: Vec<ServerId> = view
        .servers
        .iter()
        .filter(|s| s.ejected_until.is_some())
        .map(|s| s.entry.server)
        .collect();
    assert_eq!(ejected, [ServerId(1)]);
    let total_share: f64 = view.servers.iter().map(|s| s.traffic_share).sum();
    assert!((total_share - 1.0).abs() < 1e-9, "{total_share}");
    assert!(
        view.servers
            .iter()
            .all(|s| s.in_flight == 0 && s.slow_start_factor == 1.0)
    );
}

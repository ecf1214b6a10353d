//! What an instance shows of itself is what it goes by.

mod common;
use common::*;
use madderloom_balancer::*;

#[test]
fn shares_open_requests_and_ejections_are_shown_as_they_stand() {
    let mut balancer =
        Balancer::new(settings(&[RetrySafety::NonIdempotent]), 1).expect("the settings make sense");
    let mut actions = Vec::new();
    let servers: Vec<ServerEntry> = (1..=4).map(listed).collect();
    balancer.handle(
        S,
        Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&servers)),
        &mut actions,
    );
    assert_eq!(balancer.snapshot(S).servers.len(), 4);
    let mut now = 2 * S;
    // One server fails all that it gets, the others answer in 10 ms.
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
        let open = balancer.snapshot(now);
        assert_eq!((open.classes[0].in_flight, open.tracked_requests), (1, 1));
        assert_eq!(open.servers.iter().map(|s| s.in_flight).sum::<usize>(), 1);
        now += 10 * MS;
        let outcome = if server == ServerId(1) {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let closed = AttemptResult {
            request: id,
            attempt: 0,
            server,
            outcome,
            elapsed: 10 * MS,
            request_ended: true,
        };
        balancer.handle(now, Event::AttemptEnded(closed), &mut actions);
    }
    let seen = balancer.snapshot(now);
    assert_eq!((seen.classes[0].in_flight, seen.tracked_requests), (0, 0));
    let ejected: Vec<ServerId> = seen
        .servers
        .iter()
        .filter(|s| s.ejected_until.is_some())
        .map(|s| s.entry.server)
        .collect();
    assert_eq!(ejected, [ServerId(1)]);
    let whole: f64 = seen.servers.iter().map(|s| s.traffic_share).sum();
    assert!((whole - 1.0).abs() < 1e-9, "{whole}");
    assert!(
        seen.servers
            .iter()
            .all(|s| s.in_flight == 0 && s.slow_start_factor == 1.0)
    );
}

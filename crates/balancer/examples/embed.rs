//! Drives a balancer through a request, a failed attempt with its retry, a draining server and invalid settings.
//! Run with `cargo run --example embed`.

use madderloom_balancer::*;

const MS: Micros = 1_000;

fn settings() -> Settings {
    Settings {
        group_size: 1,
        zone: 0,
        tick: MS,
        classes: vec![Class {
            latency_objective: 200 * MS,
            latency_objective_stretch: 0.0,
            deadline: 500 * MS,
            retry_safety: RetrySafety::Idempotent,
            priority_weight: 1.0,
            late_weight_share: 0.0,
        }],
        tenants: Vec::new(),
        discovery_on_request: true,
        limits: Limits {
            cancel: true,
            probes: false,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            max_attempts: 3,
        },
        rules: SafetyRules {
            slow_start_min_share: 0.2,
            slow_start_window: 10_000 * MS,
            overload_window: 1_000 * MS,
            max_poll_interval: 10_000 * MS,
            drain_grace: 3_000 * MS,
        },
        prices: Prices::default(),
        weight_per_work: false,
    }
}

fn entry(server: u64, state: ServerState) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: 0,
        cell: 0,
        kind: 0,
        started_at: None,
        capacity: 1.0,
        state,
    }
}

fn request(id: RequestId) -> Event<'static> {
    let time_left = 500 * MS;
    Event::RequestReceived(NewRequest {
        id,
        class: 0,
        tenant: 0,
        key: None,
        time_left,
        cost_hint: None,
        client_retry: false,
    })
}

fn attempt_ended(
    request: RequestId,
    attempt: u32,
    server: ServerId,
    outcome: Outcome,
) -> Event<'static> {
    // The embedder returns a response to the client itself, which ends the request.
    let request_ended = outcome == Outcome::Ok;
    Event::AttemptEnded(AttemptResult {
        request,
        attempt,
        server,
        outcome,
        elapsed: 20 * MS,
        request_ended,
    })
}

/// The server of the last attempt.
fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().rev().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

fn main() -> Result<(), SettingsError> {
    let invalid = Settings {
        classes: Vec::new(),
        ..settings()
    };
    println!(
        "rejected: {}",
        Balancer::new(invalid, 1)
            .err()
            .map(|e| e.to_string())
            .unwrap_or_default()
    );

    let mut balancer = Balancer::new(settings(), 1)?;
    let mut actions = Vec::new();
    let mut now: Micros = 1_000_000;

    let servers = [entry(1, ServerState::Ready), entry(2, ServerState::Ready)];
    balancer.handle(
        now,
        Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&servers)),
        &mut actions,
    );

    // A request causes its first attempt, and a timer to return when it fires.
    balancer.handle(now, request(1), &mut actions);
    println!("{actions:?}");
    let first = sent(&actions).expect("a server is listed");

    // The attempt fails, and the retry goes to the other server.
    now += 20 * MS;
    actions.clear();
    balancer.handle(
        now,
        attempt_ended(1, 0, first, Outcome::Error),
        &mut actions,
    );
    println!("{actions:?}");
    let second = sent(&actions).expect("there is another server");
    assert_ne!(first, second);
    now += 20 * MS;
    balancer.handle(now, attempt_ended(1, 1, second, Outcome::Ok), &mut actions);

    // The second server drains and receives no new requests.
    let draining = [entry(second.0, ServerState::Draining)];
    balancer.handle(
        now,
        Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&draining)),
        &mut actions,
    );
    for id in 2..20 {
        actions.clear();
        balancer.handle(now, request(id), &mut actions);
        let server = sent(&actions).expect("one server is ready");
        assert_eq!(server, first);
        now += 20 * MS;
        balancer.handle(now, attempt_ended(id, 0, server, Outcome::Ok), &mut actions);
    }
    println!("all later requests went to {first:?}");
    Ok(())
}

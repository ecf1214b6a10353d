//! Extreme values that occur only in months of operation: absurd hints, times and counts, and clients or changes of settings
//! that must have no lasting effect.

mod common;
use common::*;
use madderloom_balancer::*;

/// A hint estimates the work of a request. An absurd hint of a single request gave one server the whole interval for minutes.
#[test]
fn one_absurd_cost_hint_does_not_change_the_regions() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.cost_hint = Some(10 * MS);
    rig.count_by_server(400, |_| 10 * MS);
    for hint in [u64::MAX, 1 << 53, 3_600 * S] {
        rig.cost_hint = Some(hint);
        rig.serve(0, 10 * MS).expect("the request is sent");
        rig.cost_hint = Some(10 * MS);
        rig.now += S;
        let max_count = rig
            .count_by_server(400, |_| 10 * MS)
            .into_values()
            .max()
            .unwrap_or(0);
        assert!(
            max_count < 300,
            "after a hint of {hint}, one of four servers got {max_count} of 400 requests"
        );
    }
}

fn send_request(
    rig: &mut Rig,
    id: RequestId,
    time_left: Micros,
    client_retry: bool,
) -> Vec<Action> {
    let new = NewRequest {
        id,
        class: 0,
        tenant: 0,
        key: None,
        time_left,
        cost_hint: None,
        client_retry,
    };
    let actions = rig.event(Event::RequestReceived(new));
    if let Some(server) = sent(&actions) {
        rig.now += 5 * MS;
        rig.close(id, 0, server, Outcome::Ok, 5 * MS);
    }
    actions
}

/// The age of a client retry is estimated from its remaining time compared with that of first tries. If the longest time of
/// any first try ever were the reference, all later client retries would be rejected.
#[rstest::rstest]
#[case::deadline_of_its_class(1_200 * MS)]
#[case::one_day(86_400 * S)]
fn one_client_with_a_long_timeout_does_not_cause_the_client_retries_of_others_to_be_rejected(
    #[case] longest_time_left: Micros,
) {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    send_request(&mut rig, 1, longest_time_left, false);
    for id in 2..10_000 {
        send_request(&mut rig, id, 600 * MS, false);
    }
    assert!(
        !rejected(&send_request(&mut rig, 10_000, 600 * MS, true)),
        "a recent client retry was rejected for its age"
    );
    assert!(
        rejected(&send_request(&mut rig, 10_001, 400 * MS, true)),
        "an old client retry must still be rejected"
    );
}

/// The mean latency ratio is relative to the latency objective. Under a much shorter objective it was far above 1, and the
/// class admitted almost nothing, so that no response could show its recovery.
#[test]
fn a_class_serves_again_after_its_latency_objective_is_cut_to_a_hundredth() {
    let mut long_settings = settings(&[RetrySafety::Idempotent]);
    (
        long_settings.classes[0].latency_objective,
        long_settings.classes[0].deadline,
    ) = (10 * S, 30 * S);
    let mut rig = Rig::new(long_settings.clone(), &fleet(4));
    rig.count_by_server(100, |_| 9 * S);
    let mut short_settings = long_settings;
    (
        short_settings.classes[0].latency_objective,
        short_settings.classes[0].deadline,
    ) = (100 * MS, 1_200 * MS);
    let change = SettingsChange {
        settings: short_settings,
        inherited_from: vec![Some(0)],
        retired: vec![false],
    };
    rig.event(Event::SettingsChanged(&change));
    rig.now += 60 * S;
    let rejected = rig.stream(6_000, 10 * MS, 20 * MS, |_| (0, 0));
    let late_rejections = rejected[3_000..]
        .iter()
        .filter(|rejected| **rejected)
        .count();
    assert!(
        late_rejections < 300,
        "half a minute later {late_rejections} of 3000 requests were still rejected"
    );
}

/// A server that fails for months must not overflow its failure score.
#[test]
fn a_failure_score_saturates() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(1));
    let measurements = ServerMeasurements {
        server: ServerId(0),
        started_at: None,
        work: 1.0,
        attempt_time: 1.0,
        failure_score: u32::MAX - 1,
        ejection_remaining: 0,
        ejection_duration: 0,
    };
    assert!(
        rig.balancer
            .restore_server_measurements(rig.now, &measurements)
    );
    for _ in 0..4 {
        let (id, actions) = rig.request(0);
        let server = sent(&actions).expect("the only server receives it");
        rig.close(id, 0, server, Outcome::Reset, MS);
        rig.now += 10 * S;
    }
    assert_eq!(
        rig.balancer.snapshot(rig.now).servers[0].failure_score,
        u32::MAX
    );
}

/// Durations that overflow when they are added to a time.
#[test]
fn a_duration_above_the_maximum_is_an_error_that_names_its_field() {
    let too_long = MAX_DURATION + 1;
    let keyed = RetrySafety::IdempotentWithKey {
        scope: DeduplicationScope::All,
        window: too_long,
    };
    type Setter = fn(&mut Settings, Micros);
    let cases: [(&str, Setter); 7] = [
        ("classes[0].aim", |s, t| s.classes[0].latency_objective = t),
        ("classes[0].deadline", |s, t| s.classes[0].deadline = t),
        ("tick", |s, t| s.tick = t),
        ("limits.max_retry_after", |s, t| {
            s.limits.max_retry_after = t
        }),
        ("rules.cold", |s, t| s.rules.slow_start_window = t),
        ("rules.fall", |s, t| s.rules.overload_window = t),
        ("rules.ask_within", |s, t| s.rules.max_poll_interval = t),
    ];
    for (field, set_duration) in cases {
        let mut settings = settings(&[RetrySafety::Idempotent]);
        set_duration(&mut settings, MAX_DURATION);
        assert!(Balancer::new(settings.clone(), 1).is_ok(), "{field}");
        set_duration(&mut settings, too_long);
        assert_eq!(
            Balancer::new(settings, 1).err().map(|e| e.field).as_deref(),
            Some(field)
        );
    }
    assert_eq!(
        settings(&[keyed])
            .validate()
            .err()
            .map(|e| e.field)
            .as_deref(),
        Some("classes[0].window")
    );
    // The longest valid durations work.
    let mut long = settings(&[RetrySafety::IdempotentWithKey {
        scope: DeduplicationScope::All,
        window: MAX_DURATION,
    }]);
    (long.classes[0].latency_objective, long.classes[0].deadline) = (MAX_DURATION, MAX_DURATION);
    (long.rules.slow_start_window, long.rules.overload_window) = (MAX_DURATION, MAX_DURATION);
    let mut rig = Rig::new(
        long,
        &[
            ServerEntry {
                started_at: Some(1_000 * S),
                ..listed(0)
            },
            listed(1),
        ],
    );
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Ok] {
        let (id, actions) = rig.request(0);
        let server = sent(&actions).expect("sent");
        rig.now += S;
        rig.close(id, 0, server, outcome, S);
    }
}

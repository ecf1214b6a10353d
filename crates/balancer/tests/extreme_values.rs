//! What months alone bring that a day does not: figures from outside beyond all reason, and what one odd client or one
//! change leaves behind for good.

mod common;
use common::*;
use madderloom_balancer::*;

/// A hint says how much work a request is. One server would have the whole interval for minutes, by one request.
#[test]
fn one_hint_beyond_all_reason_moves_no_region() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    rig.cost_hint = Some(10 * MS);
    rig.count_by_server(400, |_| 10 * MS);
    for hint in [u64::MAX, 1 << 53, 3_600 * S] {
        rig.cost_hint = Some(hint);
        rig.serve(0, 10 * MS).expect("it is served");
        rig.cost_hint = Some(10 * MS);
        rig.now += S;
        let most = rig
            .count_by_server(400, |_| 10 * MS)
            .into_values()
            .max()
            .unwrap_or(0);
        assert!(
            most < 300,
            "after a hint of {hint}, one of four servers got {most} of 400 requests"
        );
    }
}

fn tried(rig: &mut Rig, id: RequestId, time_left: Micros, repeat: bool) -> Vec<Action> {
    let new = NewRequest {
        id,
        class: 0,
        tenant: 0,
        key: None,
        time_left,
        cost_hint: None,
        client_retry: repeat,
    };
    let actions = rig.event(Event::RequestReceived(new));
    if let Some(server) = sent(&actions) {
        rig.now += 5 * MS;
        rig.close(id, 0, server, Outcome::Ok, 5 * MS);
    }
    actions
}

/// Repeats are told to be old by what is left to them beside first tries. The longest that any first try ever had would
/// have all repeats refused from then on.
#[rstest::rstest]
#[case::as_long_as_its_class_allows(1_200 * MS)]
#[case::a_day(86_400 * S)]
fn one_client_that_waits_longer_than_all_others_does_not_shut_out_their_repeats(
    #[case] longest: Micros,
) {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    tried(&mut rig, 1, longest, false);
    for id in 2..10_000 {
        tried(&mut rig, id, 600 * MS, false);
    }
    assert!(
        !rejected(&tried(&mut rig, 10_000, 600 * MS, true)),
        "a repeat was refused for its age"
    );
    assert!(
        rejected(&tried(&mut rig, 10_001, 400 * MS, true)),
        "an old one still is"
    );
}

/// A mean delay is a part of the aim. Against a much shorter aim it was many times the whole, and the class let in next to
/// nothing, so that nothing could show that it was well.
#[test]
fn a_class_whose_aim_is_cut_to_a_hundredth_serves_again() {
    let mut long = settings(&[RetrySafety::Idempotent]);
    (long.classes[0].latency_objective, long.classes[0].deadline) = (10 * S, 30 * S);
    let mut rig = Rig::new(long.clone(), &fleet(4));
    rig.count_by_server(100, |_| 9 * S);
    let mut short = long;
    (
        short.classes[0].latency_objective,
        short.classes[0].deadline,
    ) = (100 * MS, 1_200 * MS);
    let retuned = SettingsChange {
        settings: short,
        inherited_from: vec![Some(0)],
        retired: vec![false],
    };
    rig.event(Event::SettingsChanged(&retuned));
    rig.now += 60 * S;
    let rejected = rig.stream(6_000, 10 * MS, 20 * MS, |_| (0, 0));
    let late = rejected[3_000..]
        .iter()
        .filter(|rejected| **rejected)
        .count();
    assert!(
        late < 300,
        "half a minute later {late} of 3000 were still refused"
    );
}

/// A server that fails for months.
#[test]
fn a_count_of_failures_stops_at_its_end() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(1));
    let memory = ServerMeasurements {
        server: ServerId(0),
        started_at: None,
        work: 1.0,
        attempt_time: 1.0,
        failure_score: u32::MAX - 1,
        ejection_remaining: 0,
        ejection_duration: 0,
    };
    assert!(rig.balancer.restore_server_measurements(rig.now, &memory));
    for _ in 0..4 {
        let (id, actions) = rig.request(0);
        let server = sent(&actions).expect("the only one there is");
        rig.close(id, 0, server, Outcome::Reset, MS);
        rig.now += 10 * S;
    }
    assert_eq!(
        rig.balancer.snapshot(rig.now).servers[0].failure_score,
        u32::MAX
    );
}

/// Spans that could not be added to a time.
#[test]
fn a_span_beyond_all_clocks_is_an_error_that_names_its_field() {
    let forever = MAX_DURATION + 1;
    let keyed = RetrySafety::IdempotentWithKey {
        scope: DeduplicationScope::All,
        window: forever,
    };
    type Set = fn(&mut Settings, Micros);
    let cases: [(&str, Set); 7] = [
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
    for (field, set) in cases {
        let mut settings = settings(&[RetrySafety::Idempotent]);
        set(&mut settings, MAX_DURATION);
        assert!(Balancer::new(settings.clone(), 1).is_ok(), "{field}");
        set(&mut settings, forever);
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
    // The longest that are sound break nothing.
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

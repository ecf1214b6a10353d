//! Changes of the settings while requests are in flight, and requests whose bodies are still being received.

mod common;
use common::*;
use madderloom_balancer::*;

const KEYED: RetrySafety = RetrySafety::IdempotentWithKey {
    scope: DeduplicationScope::All,
    window: 4 * S,
};

fn settings_change(
    classes: Vec<Class>,
    inherited_from: &[Option<u32>],
    retired: &[bool],
    max_attempts: u32,
) -> SettingsChange {
    let mut settings = settings(&[]);
    settings.classes = classes;
    settings.limits.max_attempts = max_attempts;
    SettingsChange {
        settings,
        inherited_from: inherited_from.to_vec(),
        retired: retired.to_vec(),
    }
}

#[test]
fn a_request_in_flight_keeps_the_class_and_the_attempts_that_it_was_received_with() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(3));
    let (in_flight, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    // The class becomes idempotent, under another index, with at most two attempts.
    let change = settings_change(
        vec![
            class(RetrySafety::NonIdempotent),
            class(RetrySafety::Idempotent),
        ],
        &[Some(0), Some(0)],
        &[true, false],
        2,
    );
    rig.event(Event::SettingsChanged(&change));
    rig.now += 10 * MS;
    let actions = rig.close(in_flight, 0, server, Outcome::Error, 10 * MS);
    assert!(
        actions.contains(&Action::Fail { request: in_flight }),
        "{actions:?}"
    );
    let (second_request, actions) = rig.request(1);
    let first = sent(&actions).expect("sent");
    let second = sent(&rig.close(second_request, 0, first, Outcome::Error, 10 * MS))
        .expect("an idempotent request may be retried");
    let actions = rig.close(second_request, 1, second, Outcome::Error, 10 * MS);
    assert!(sent(&actions).is_none(), "it was sent a third time");
}

#[test]
fn measurements_of_servers_outlast_a_settings_change() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let elapsed = |s: ServerId| if s.0 == 0 { 80 * MS } else { 20 * MS };
    rig.count_by_server(600, elapsed);
    let mut reweighted_class = class(RetrySafety::Idempotent);
    reweighted_class.priority_weight = 3.0;
    rig.event(Event::SettingsChanged(&settings_change(
        vec![class(RetrySafety::Idempotent), reweighted_class],
        &[Some(0), Some(0)],
        &[true, false],
        4,
    )));
    let slow_count = (0..200)
        .filter(|_| {
            let (id, actions) = rig.request(1);
            let server = sent(&actions).expect("sent");
            rig.now += 20 * MS;
            rig.close(id, 0, server, Outcome::Ok, elapsed(server));
            server.0 == 0
        })
        .count();
    assert!(
        slow_count < 40,
        "a server four times slower got {slow_count} of 200"
    );
}

#[test]
fn the_deadline_of_a_request_runs_from_its_last_byte() {
    let mut rig = Rig::new(settings(&[KEYED]), &fleet(2));
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    rig.event(Event::RequestBodyStarted(id));
    // Long after the deadline of its class.
    rig.now += 20 * S;
    let actions = rig.event(Event::TimerFired(Timer::Request(id)));
    assert!(actions.is_empty(), "{actions:?}");
    let body_received_at = rig.now;
    let actions = rig.event(Event::RequestBodyReceived(id));
    let Some(Action::SetTimer {
        at,
        timer: Timer::Request(_),
    }) = actions.first()
    else {
        panic!("no timer ends it: {actions:?}");
    };
    assert!(
        *at > body_received_at && *at <= body_received_at + 1_200 * MS,
        "{at} after {body_received_at}"
    );
    rig.now = *at;
    let actions = rig.event(Event::TimerFired(Timer::Request(id)));
    assert!(
        actions.contains(&Action::Fail { request: id }),
        "{actions:?}"
    );
    let _ = server;
}

#[test]
fn a_request_that_cannot_be_sent_again_is_not_retried() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(3));
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    rig.event(Event::RequestBodyStarted(id));
    rig.event(Event::RetriesDisabled(id));
    let actions = rig.close(id, 0, server, Outcome::Full, 10 * MS);
    assert!(sent(&actions).is_none());
    assert!(
        matches!(actions[..], [.., Action::Reject { .. }]),
        "{actions:?}"
    );
}

#[test]
fn a_further_attempt_of_a_request_with_a_streamed_body_has_a_time_limit() {
    let mut rig = Rig::new(settings(&[KEYED]), &fleet(3));
    let (id, actions) = rig.request(0);
    let (server, first_limit) = sent_with_limit(&actions, rig.now).expect("sent");
    rig.event(Event::RequestBodyStarted(id));
    rig.now += 300 * MS;
    let actions = rig.close(id, 0, server, Outcome::ConnectFailed, 300 * MS);
    let (_, limit) = sent_with_limit(&actions, rig.now).expect("sent again");
    assert_eq!(limit, first_limit);
}

/// The server and the time limit of the attempt among these actions.
fn sent_with_limit(actions: &[Action], now: Micros) -> Option<(ServerId, Micros)> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            server, timeout_at, ..
        } => Some((*server, timeout_at - now)),
        _ => None,
    })
}

#[test]
fn a_request_that_expires_while_its_body_is_streamed_gets_no_further_attempt() {
    let mut rig = Rig::new(settings(&[KEYED]), &fleet(3));
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    rig.event(Event::RequestBodyStarted(id));
    rig.now += 300 * MS;
    let actions = rig.event(Event::RequestExpired(id));
    assert!(
        actions.is_empty(),
        "its attempt tells whether it can have run: {actions:?}"
    );
    let actions = rig.close(id, 0, server, Outcome::ConnectFailed, 300 * MS);
    assert!(sent(&actions).is_none());
    assert!(
        matches!(actions[..], [.., Action::Reject { .. }]),
        "{actions:?}"
    );
}

#[test]
fn a_request_that_expires_without_an_attempt_is_rejected_at_once() {
    let mut rig = Rig::new(settings(&[KEYED]), &[]);
    let (id, actions) = rig.request(0);
    assert!(sent(&actions).is_none());
    rig.event(Event::RequestBodyStarted(id));
    rig.now += 300 * MS;
    let actions = rig.event(Event::RequestExpired(id));
    assert!(
        matches!(actions[..], [Action::Reject { request, .. }] if request == id),
        "{actions:?}"
    );
    assert!(rig.event(Event::RequestExpired(id)).is_empty(), "twice");
}

//! Settings that change while requests are open, and requests whose bodies are on their way.

mod common;
use common::*;
use madderloom_balancer::*;

const KEYED: RetrySafety = RetrySafety::IdempotentWithKey {
    scope: DeduplicationScope::All,
    window: 4 * S,
};

fn retuned(
    classes: Vec<Class>,
    learned: &[Option<u32>],
    retired: &[bool],
    max_attempts: u32,
) -> SettingsChange {
    let mut settings = settings(&[]);
    settings.classes = classes;
    settings.limits.max_attempts = max_attempts;
    SettingsChange {
        settings,
        inherited_from: learned.to_vec(),
        retired: retired.to_vec(),
    }
}

#[test]
fn an_open_request_ends_under_the_class_and_the_attempts_that_it_came_under() {
    let mut rig = Rig::new(settings(&[RetrySafety::NonIdempotent]), &fleet(3));
    let (open, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    // The class is to be repeated freely from now on, under another number, and never more than once.
    let new = retuned(
        vec![
            class(RetrySafety::NonIdempotent),
            class(RetrySafety::Idempotent),
        ],
        &[Some(0), Some(0)],
        &[true, false],
        2,
    );
    rig.event(Event::SettingsChanged(&new));
    rig.now += 10 * MS;
    let actions = rig.close(open, 0, server, Outcome::Error, 10 * MS);
    assert!(
        actions.contains(&Action::Fail { request: open }),
        "{actions:?}"
    );
    let (next, actions) = rig.request(1);
    let first = sent(&actions).expect("sent");
    let second =
        sent(&rig.close(next, 0, first, Outcome::Error, 10 * MS)).expect("it may be repeated");
    let actions = rig.close(next, 1, second, Outcome::Error, 10 * MS);
    assert!(sent(&actions).is_none(), "it was sent a third time");
}

#[test]
fn what_was_learned_of_servers_outlasts_the_settings() {
    let mut rig = Rig::new(settings(&[RetrySafety::Idempotent]), &fleet(4));
    let elapsed = |s: ServerId| if s.0 == 0 { 80 * MS } else { 20 * MS };
    rig.count_by_server(600, elapsed);
    let mut changed = class(RetrySafety::Idempotent);
    changed.priority_weight = 3.0;
    rig.event(Event::SettingsChanged(&retuned(
        vec![class(RetrySafety::Idempotent), changed],
        &[Some(0), Some(0)],
        &[true, false],
        4,
    )));
    let slow = (0..200)
        .filter(|_| {
            let (id, actions) = rig.request(1);
            let server = sent(&actions).expect("sent");
            rig.now += 20 * MS;
            rig.close(id, 0, server, Outcome::Ok, elapsed(server));
            server.0 == 0
        })
        .count();
    assert!(slow < 40, "a server four times slower got {slow} of 200");
}

#[test]
fn the_time_of_a_request_runs_from_its_last_byte() {
    let mut rig = Rig::new(settings(&[KEYED]), &fleet(2));
    let (id, actions) = rig.request(0);
    let server = sent(&actions).expect("sent");
    rig.event(Event::RequestBodyStarted(id));
    // Long past all that its class allows.
    rig.now += 20 * S;
    let actions = rig.event(Event::TimerFired(Timer::Request(id)));
    assert!(actions.is_empty(), "{actions:?}");
    let whole = rig.now;
    let actions = rig.event(Event::RequestBodyReceived(id));
    let Some(Action::SetTimer {
        at,
        timer: Timer::Request(_),
    }) = actions.first()
    else {
        panic!("nothing ends it: {actions:?}");
    };
    assert!(
        *at > whole && *at <= whole + 1_200 * MS,
        "{at} after {whole}"
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
fn what_cannot_be_sent_again_is_not() {
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

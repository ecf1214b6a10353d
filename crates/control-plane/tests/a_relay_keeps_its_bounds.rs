//! The bounds of a relay: how many children, how long one waits, what is sent and what is repeated.

use madderloom_control_plane::protocol::{Register, Report, ToAgent, ToInstance, Welcome, Who};
use madderloom_control_plane::relay::{
    Addressed, Batch, BatchAnswer, MAX_BATCH, Relay, RelayRules,
};
use madderloom_control_plane::spread::Pace;
use madderloom_quota_leases::LeaseRequests;

const S: u64 = 1_000_000;
const TERM: u64 = 7;

fn rules() -> RelayRules {
    RelayRules {
        max_children: 1_000,
        pace: Pace {
            rate: 1_000_000,
            burst: 1_000_000,
            horizon: 60 * S,
        },
        ..RelayRules::default()
    }
}

fn who(number: usize) -> Who {
    Who {
        name: format!("shop-{number}"),
        start: number as u64 + 1,
        incarnation: 1,
    }
}

fn registration(number: usize) -> ToAgent {
    ToAgent::Register(Register {
        who: who(number),
        ..Register::default()
    })
}

fn report(number: usize) -> ToAgent {
    let asks = Some(Box::new(LeaseRequests::default()));
    ToAgent::Report(Report {
        who: who(number),
        term: TERM,
        asks,
        ..Report::default()
    })
}

fn welcome(number: usize) -> Addressed {
    let Who {
        name,
        start,
        incarnation,
    } = who(number);
    let welcome = Welcome {
        start,
        incarnation,
        term: TERM,
        every: 3 * S,
        spread: 100 * S,
    };
    Addressed {
        name,
        message: ToInstance::Welcome(welcome),
    }
}

fn addressed(number: usize, message: ToInstance) -> Addressed {
    Addressed {
        name: who(number).name,
        message,
    }
}

fn renewed(number: usize) -> ToInstance {
    ToInstance::Renewed {
        start: who(number).start,
        term: TERM,
    }
}

/// A relay whose parent has accepted so many children at the time 0.
fn relay_with(children: usize) -> Relay {
    let mut relay = Relay::new(rules());
    relay.parent_connected(0, TERM);
    for number in 0..children {
        assert!(
            relay
                .receive(0, number as u64, registration(number), 0)
                .answers
                .is_empty()
        );
    }
    while let Some(batch) = relay.take_batch() {
        let numbers = batch
            .messages
            .iter()
            .map(|message| message.who().start as usize - 1);
        let messages = numbers.map(welcome).collect();
        relay.batch_answered(
            0,
            BatchAnswer {
                term: TERM,
                messages,
            },
        );
    }
    assert_eq!(relay.status().registered, children);
    relay
}

fn names(batch: &Batch) -> Vec<&str> {
    batch
        .messages
        .iter()
        .map(|message| message.who().name.as_str())
        .collect()
}

#[test]
fn a_registration_is_answered_by_the_parent_with_the_relays_own_spread() {
    let mut relay = Relay::new(RelayRules::default());
    relay.parent_connected(0, TERM);
    assert!(relay.receive(0, 5, registration(0), 0).answers.is_empty());
    assert_eq!(names(&relay.take_batch().expect("a batch")), ["shop-0"]);
    let output = relay.batch_answered(
        0,
        BatchAnswer {
            term: TERM,
            messages: vec![welcome(0)],
        },
    );
    let [(5, messages)] = output.answers.as_slice() else {
        panic!("{output:?}")
    };
    let [ToInstance::Welcome(welcome)] = messages.as_slice() else {
        panic!("{messages:?}")
    };
    // One child at 400 a second: not the time that the whole fleet needs.
    assert_eq!((welcome.term, welcome.spread), (TERM, 2_500));
}

#[test]
fn a_child_waits_for_the_parent_until_the_answer_timeout_and_no_longer() {
    let mut relay = relay_with(1);
    assert!(relay.receive(S, 9, report(0), 0).answers.is_empty());
    let due = relay.next().expect("it waits");
    assert_eq!(due, S + rules().answer_timeout);
    assert!(relay.tick(due - 1).answers.is_empty());
    assert_eq!(relay.tick(due).answers, [(9, vec![renewed(0)])]);
    assert_eq!(relay.status().answered_alone, 1);
}

#[test]
fn while_the_parent_is_away_reports_are_answered_at_once_and_strangers_come_later() {
    let mut relay = relay_with(1);
    assert!(relay.receive(S, 1, report(0), 0).answers.is_empty());
    assert_eq!(relay.parent_lost(S).answers, [(1, vec![renewed(0)])]);
    assert_eq!(
        relay.receive(2 * S, 2, report(0), 0).answers,
        [(2, vec![renewed(0)])]
    );
    let output = relay.receive(2 * S, 3, registration(1), 500);
    assert_eq!(
        output.answers,
        [(
            3,
            vec![ToInstance::Later {
                start: 2,
                again: S + 500
            }]
        )]
    );
    // A start that is known is welcomed as it was.
    let output = relay.receive(2 * S, 4, registration(0), 0);
    assert!(
        matches!(output.answers.as_slice(), [(4, messages)] if matches!(messages[..], [ToInstance::Welcome(_)]))
    );
    assert!(relay.take_batch().is_none());
}

#[test]
fn a_parent_that_is_back_gets_the_last_reports_without_what_they_asked_for() {
    let mut relay = relay_with(3);
    relay.receive(S, 1, report(0), 0);
    relay.receive(S, 2, report(1), 0);
    relay.parent_lost(S);
    // The second one was not heard within two report intervals, the third never reported.
    relay.receive(8 * S, 3, report(0), 0);
    relay.parent_connected(8 * S, TERM + 1);
    let batch = relay.take_batch().expect("a batch");
    assert_eq!(names(&batch), ["shop-0"]);
    let [ToAgent::Report(report)] = batch.messages.as_slice() else {
        panic!("{batch:?}")
    };
    assert!(
        report.asks.is_none() && report.tells.is_none(),
        "{report:?}"
    );
}

#[test]
fn a_parent_that_does_not_know_a_child_gets_its_registration_from_the_relay() {
    let mut relay = relay_with(1);
    relay.receive(S, 1, report(0), 0);
    relay.take_batch().expect("the report");
    let unknown = addressed(0, ToInstance::Unknown { start: 1 });
    let output = relay.batch_answered(
        S,
        BatchAnswer {
            term: TERM,
            messages: vec![unknown],
        },
    );
    assert_eq!(
        output.answers,
        [(1, vec![renewed(0)])],
        "the child is told nothing of it"
    );
    let batch = relay.take_batch().expect("the registration");
    assert!(
        matches!(batch.messages.as_slice(), [ToAgent::Register(_)]),
        "{batch:?}"
    );
    let output = relay.batch_answered(
        S,
        BatchAnswer {
            term: TERM,
            messages: vec![welcome(0)],
        },
    );
    assert_eq!((output.answers.len(), output.pushes.len()), (0, 0));
    let batch = relay.take_batch().expect("the report again");
    assert!(
        matches!(batch.messages.as_slice(), [ToAgent::Report(_)]),
        "{batch:?}"
    );
}

#[test]
fn a_child_that_the_parent_gave_another_incarnation_registers_itself() {
    let mut relay = relay_with(1);
    relay.receive(S, 1, report(0), 0);
    relay.take_batch().expect("the report");
    let unknown = addressed(0, ToInstance::Unknown { start: 1 });
    relay.batch_answered(
        S,
        BatchAnswer {
            term: TERM,
            messages: vec![unknown],
        },
    );
    relay.take_batch().expect("the registration");
    let mut other = welcome(0);
    if let ToInstance::Welcome(welcome) = &mut other.message {
        welcome.incarnation = 5;
    }
    relay.batch_answered(
        S,
        BatchAnswer {
            term: TERM,
            messages: vec![other],
        },
    );
    let output = relay.receive(2 * S, 2, report(0), 0);
    assert_eq!(
        output.answers,
        [(2, vec![ToInstance::Unknown { start: 1 }])]
    );
}

#[test]
fn a_batch_has_256_messages_at_most_one_of_a_child_and_there_is_one_at_a_time() {
    let mut relay = relay_with(600);
    for number in 0..600 {
        relay.receive(S, number as u64, report(number), 0);
        relay.receive(S, 1_000 + number as u64, report(number), 0);
    }
    assert_eq!(
        relay.status().outgoing,
        600,
        "a later message takes the place of one that was not sent"
    );
    let batch = relay.take_batch().expect("a batch");
    assert_eq!(batch.messages.len(), MAX_BATCH);
    assert!(
        relay.take_batch().is_none() && relay.ready_for_batch() == 0,
        "one is under way"
    );
    // What did not fit into the request goes with a later one.
    let left = batch.messages[200..].to_vec();
    relay.put_back(left);
    relay.batch_answered(
        S,
        BatchAnswer {
            term: TERM,
            messages: vec![],
        },
    );
    let mut sent = 200;
    while let Some(batch) = relay.take_batch() {
        sent += batch.messages.len();
        relay.batch_answered(
            S,
            BatchAnswer {
                term: TERM,
                messages: vec![],
            },
        );
    }
    assert_eq!(sent, 600);
}

#[test]
fn no_more_children_than_the_bound_and_none_beyond_its_lease() {
    let mut relay = relay_with(1_000);
    let output = relay.receive(S, 7, registration(1_000), 0);
    assert_eq!(
        output.answers,
        [(
            7,
            vec![ToInstance::Later {
                start: 1_001,
                again: 60 * S
            }]
        )]
    );
    // Nine in ten report; the others are forgotten once their lease is over, also one that waits.
    (100..1_000).for_each(|number| drop(relay.receive(5 * S, number as u64, report(number), 0)));
    relay.parent_lost(5 * S);
    relay.tick(rules().lease);
    assert_eq!(relay.status().children, 900);
    relay.tick(5 * S + rules().lease);
    assert_eq!((relay.status().children, relay.next()), (0, None));
}

#[test]
fn where_reports_are_seldom_a_child_is_remembered_for_three_of_them() {
    let mut relay = Relay::new(rules());
    relay.parent_connected(0, TERM);
    relay.receive(0, 1, registration(0), 0);
    relay.take_batch().expect("the registration");
    let mut seldom = welcome(0);
    if let ToInstance::Welcome(welcome) = &mut seldom.message {
        welcome.every = 20 * S;
    }
    relay.batch_answered(
        0,
        BatchAnswer {
            term: TERM,
            messages: vec![seldom],
        },
    );
    relay.receive(S, 2, report(0), 0);
    relay.parent_lost(S);
    relay.tick(61 * S - 1);
    assert_eq!(relay.status().children, 1);
    relay.tick(61 * S);
    assert_eq!(relay.status().children, 0);
}

#[test]
fn registrations_are_admitted_at_the_relays_pace() {
    let pace = Pace {
        rate: 10,
        burst: 5,
        horizon: 60 * S,
    };
    let mut relay = Relay::new(RelayRules {
        pace,
        ..RelayRules::default()
    });
    relay.parent_connected(0, TERM);
    let later = (0..100).filter(|number| {
        let output = relay.receive(0, *number as u64, registration(*number), 0);
        matches!(output.answers.as_slice(), [(_, messages)] if matches!(messages[..], [ToInstance::Later { .. }]))
    });
    assert_eq!(
        later.count(),
        94,
        "the burst, and the one that opens the queue"
    );
}

#[test]
fn a_parent_of_a_former_term_is_left_and_what_it_says_is_dropped() {
    let mut relay = relay_with(1);
    // The child has heard of a later agent elsewhere.
    let later = Report {
        who: who(0),
        term: TERM + 1,
        ..Report::default()
    };
    relay.receive(S, 1, ToAgent::Report(later), 0);
    relay.take_batch().expect("the report");
    let output = relay.batch_answered(
        S,
        BatchAnswer {
            term: TERM,
            messages: vec![addressed(0, renewed(0))],
        },
    );
    let told = ToInstance::Renewed {
        start: 1,
        term: TERM + 1,
    };
    assert_eq!(output.answers, [(1, vec![told])]);
    assert!(!relay.is_connected());
    relay.parent_connected(S, TERM);
    assert!(!relay.is_connected(), "it is the former one still");
    relay.parent_connected(S, TERM + 1);
    assert!(relay.is_connected());
}

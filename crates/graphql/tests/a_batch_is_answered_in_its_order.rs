//! Batches: as unsafe as their most unsafe operation, or taken apart and put together again in their order.

mod common;

use common::*;
use madderloom_balancer::RetrySafety;
use madderloom_graphql::*;
use proptest::prelude::*;
use serde_json::{Value, json};

const KEYED: &str = r#"mutation { fileReport(input: {clientMutationId: "k"}) }"#;
const PAY: &str = "mutation { pay(key: 1) }";

fn batch(documents: &[&str]) -> Sent {
    let elements: Vec<String> = documents.iter().map(|document| text(document)).collect();
    Sent::post(format!("[{}]", elements.join(",")))
}

fn splitting() -> Front {
    front_with(|section| section.batch.split = true)
}

#[test]
fn a_batch_is_as_unsafe_as_its_most_unsafe_operation() {
    for (documents, wanted) in [
        (&["{a}", "{b}"][..], is("read", Why::Query)),
        (&["{a}", "mutation{b}"], is("file", Why::Mutation)),
        (&["mutation{b}", "{a}"], is("file", Why::Mutation)),
        (&["{a}", KEYED], is("keyed", Why::Keyed)),
        (&[PAY, "{a}", KEYED], is("keyed-cell", Why::Keyed)),
        (&[KEYED, "mutation{b}"], is("file", Why::Mutation)),
        (&["{a}", "not read"], is("file", Why::Unread)),
        (&["{a}", "{drain}"], is("file", Why::QueryOnce)),
        // Of classes alike in effect, the one with the longest aim: a batch is as slow as its slowest.
        (&["{a}", "query Dashboard{b}"], is("board", Why::Query)),
        (&["query Dashboard{b}", "{a}"], is("board", Why::Query)),
        (
            &["{a}", "mutation Slow{b}", "mutation{c}"],
            is("file-slow", Why::Mutation),
        ),
    ] {
        assert_eq!(
            class(&mut front(), &batch(documents)),
            wanted,
            "{documents:?}"
        );
    }
}

#[test]
fn keyed_operations_that_no_one_class_covers_make_a_batch_unsafe() {
    // One class discards repeats in fewer servers but for longer than the other.
    let effects = [
        (madderloom_balancer::DeduplicationScope::Cell, 9),
        (madderloom_balancer::DeduplicationScope::All, 5),
    ];
    let mut classes = classes();
    for (class, (scope, window)) in classes[4..].iter_mut().zip(effects) {
        class.effect = RetrySafety::IdempotentWithKey { scope, window };
    }
    let mut section = Section {
        query: "read".into(),
        mutation: "file".into(),
        ..Section::default()
    };
    for (name, class, key) in [
        ("fileReport", "keyed", "input.clientMutationId"),
        ("pay", "keyed-cell", "key"),
    ] {
        let rule = section.mutations.entry(name.into()).or_default();
        rule.effect = madderloom_graphql::section::EffectName::Keyed;
        (rule.class, rule.key) = (class.into(), key.into());
    }
    let mut front = Front::new(Policy::new(&section, &classes).expect("the section is sound"));
    assert_eq!(classed(&mut front, &batch(&[KEYED])).class, 4);
    assert_eq!(classed(&mut front, &batch(&[PAY])).class, 5);
    assert_eq!(
        classed(&mut front, &batch(&[KEYED, PAY])).effect,
        RetrySafety::NonIdempotent
    );
    let both = text("mutation { pay(key: 1) fileReport(input: {clientMutationId: 1}) }");
    assert_eq!(
        classed(&mut front, &Sent::post(both)).effect,
        RetrySafety::NonIdempotent
    );
}

#[test]
fn a_batch_has_the_subject_of_all_and_the_cost_of_all() {
    let mut front = front();
    let alone = classed(&mut front, &batch(&["{report(id: 1){b}}"]));
    let alike = classed(
        &mut front,
        &batch(&["{report(id: 1){b}}", "{x: report(id: 1){b}}"]),
    );
    let other = classed(
        &mut front,
        &batch(&["{report(id: 1){b}}", "{report(id: 2){b}}"]),
    );
    assert!(alone.key.is_some());
    assert_eq!((alike.key, other.key), (alone.key, None));
    assert_eq!((alone.cost, alike.cost), (Some(20), Some(40)));
}

#[test]
fn one_operation_at_fault_rejects_a_batch_that_goes_on_whole() {
    let sent = batch(&["{a}", "subscription{b}", "{c}"]);
    let rejection = sent.to(&mut front()).expect_err("no server hears of it");
    assert_eq!(
        (rejection.fault.code, rejection.operations),
        (Code::SubscriptionUnsupported, Some(3))
    );
    let reply: Value = serde_json::from_slice(&rejection.reply(Media::Json).body).expect("JSON");
    assert_eq!(
        reply.as_array().map(Vec::len),
        Some(3),
        "an answer for each"
    );
}

#[test]
fn a_batch_taken_apart_keeps_the_bytes_of_its_elements_and_the_fault_of_each() {
    let elements = [
        r#"{ "query" : "{a}",	"variables":{"x":1.0e2,"y":"\u00e9"} }"#.to_string(),
        text("subscription { a }"),
        text("mutation { a }"),
        r#"{"query":7}"#.to_string(),
    ];
    let sent = Sent::post(format!(
        " [\n{} ,{},\r\n{}\t, {} ]\n",
        elements[0], elements[1], elements[2], elements[3]
    ));
    let plan = sent.to(&mut splitting()).expect("it is taken apart");
    let Plan::Split(parts) = plan else {
        panic!("{plan:?}")
    };
    let effect = |part: &Part| (part.classed.effect, part.body.to_vec());
    let told: Vec<_> = parts
        .iter()
        .map(|part| part.as_ref().map(effect).map_err(|f| f.code))
        .collect();
    assert_eq!(
        told,
        [
            Ok((RetrySafety::Idempotent, elements[0].clone().into_bytes())),
            Err(Code::SubscriptionUnsupported),
            Ok((RetrySafety::NonIdempotent, elements[2].clone().into_bytes())),
            Err(Code::BadRequest),
        ]
    );
}

#[test]
fn what_is_no_batch_is_not_taken_apart() {
    let sent = Sent::post(text("{a}"));
    assert!(matches!(
        sent.to(&mut splitting()),
        Ok(Plan::Whole {
            operations: None,
            ..
        })
    ));
    let bad = Sent::post("[}");
    assert_eq!(
        bad.to(&mut splitting()).map_err(|r| r.fault.code),
        Err(Code::BadRequest)
    );
}

#[test]
fn safe_operations_run_beside_each_other_and_others_alone() {
    let keyed = RetrySafety::IdempotentWithKey {
        scope: madderloom_balancer::DeduplicationScope::All,
        window: 1,
    };
    let (s, u) = (RetrySafety::Idempotent, RetrySafety::NonIdempotent);
    assert_eq!(
        stages(&[s, s, u, s, keyed, u, s, s]),
        [0..2, 2..3, 3..4, 4..5, 5..6, 6..8]
    );
    assert_eq!(stages(&[]), []);
}

fn served(status: u16, body: &str) -> PartAnswer<'_> {
    PartAnswer::Served {
        status,
        body: body.as_bytes(),
    }
}

#[test]
fn answers_are_joined_unchanged_each_at_its_place() {
    let refused = || PartAnswer::Fault(Fault::refused(Some(250_000)));
    let failed = || PartAnswer::Fault(Fault::failed());
    let fine = r#"{ "data" : {"a":1e2,"é":"\u00e9"} , "errors":[{"message":"half"}]}"#;
    let joined = |answers: &[PartAnswer<'_>]| {
        let reply = join(answers, Media::GraphqlResponse);
        (
            reply.status,
            reply.retry_after,
            String::from_utf8(reply.body).expect("UTF-8"),
        )
    };
    let refusal = r#"{"errors":[{"extensions":{"code":"REFUSED"},"message":"refused: no server took it, and trying again is harmless"}]}"#;
    let (status, retry_after, body) =
        joined(&[served(200, fine), refused(), served(200, "\u{feff} {}\n")]);
    assert_eq!((status, retry_after), (200, None));
    assert_eq!(body, format!("[{fine},{refusal},{{}}]"));

    assert_eq!(
        joined(&[served(400, "{}"), served(400, "{}")]).0,
        400,
        "servers agree"
    );
    assert_eq!(
        joined(&[served(400, "{}"), served(200, "{}")]).0,
        200,
        "servers don't"
    );
    let later = PartAnswer::Fault(Fault::refused(Some(900_000)));
    let (status, retry_after, _) = joined(&[refused(), later]);
    assert_eq!(
        (status, retry_after),
        (503, Some(900_000)),
        "nothing ran: all of it may come again"
    );
    let (status, retry_after, _) = joined(&[refused(), failed()]);
    assert_eq!((status, retry_after), (502, None), "something may have run");
    for spoilt in ["", "[]", "7", "{", "<html>", "{}{}", "{},{}", "\u{feff}"] {
        let (status, _, body) = joined(&[refused(), served(200, spoilt)]);
        assert!(
            status == 502 && body.contains("UNREADABLE_ANSWER"),
            "{spoilt:?}: {status} {body}"
        );
        let read: Vec<Value> = serde_json::from_str(&body).expect("well-formed all the same");
        assert_eq!(read.len(), 2);
    }
}

/// An operation of a batch, and what a stand-in for a server makes of it.
#[derive(Clone, Debug)]
enum Fate {
    Answered(u16, Value),
    Spoilt(Vec<u8>),
    Refused,
    Failed,
}

fn fate() -> impl Strategy<Value = Fate> {
    let text = "[\\PC\"\\\\]{0,12}";
    prop_oneof![
        4 => (prop_oneof![Just(200u16), Just(400), Just(500)], text).prop_map(|(status, text)| {
            Fate::Answered(status, json!({ "data": { "echo": text }, "errors": [{ "message": text }] }))
        }),
        1 => prop::collection::vec(any::<u8>(), 0..8).prop_map(Fate::Spoilt),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Failed),
    ]
}

/// JSON with white space wherever it may stand, and some letters escaped.
fn spaced(value: &Value, spaces: &str) -> String {
    match value {
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| {
                let name: String = name
                    .chars()
                    .map(|c| format!("\\u{:04x}", c as u32))
                    .collect();
                format!(
                    "{spaces}\"{name}\"{spaces}:{spaces}{}{spaces}",
                    spaced(value, spaces)
                )
            });
            format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
        }
        other => other.to_string(),
    }
}

proptest! {
    #![proptest_config(cases(400))]

    /// The plain model: a list of operations, each with its bytes, class and fate, in order.
    #[test]
    fn splitting_and_joining_agree_with_a_plain_model(
        operations in prop::collection::vec((prop_oneof![Just("{a}"), Just("mutation{a}"), Just("subscription{a}"), Just("odd")], "[ \t\r\n]{0,3}", fate()), 1..=4),
    ) {
        let message = |(n, (document, spaces, _)): (usize, &(&str, String, Fate))| {
            spaced(&json!({ "query": document, "operationName": null, "variables": { "n": n } }), spaces)
        };
        let bytes: Vec<String> = operations.iter().enumerate().map(message).collect();
        let sent = Sent::post(format!("[{}]", bytes.join(" ,\n")));
        let plan = sent.to(&mut splitting());
        let Ok(Plan::Split(parts)) = plan else { return Err(TestCaseError::fail(format!("{plan:?}"))) };
        prop_assert_eq!(parts.len(), operations.len());

        let mut answers = Vec::new();
        let mut model = Vec::new();
        for ((part, bytes), (document, _, fate)) in parts.into_iter().zip(&bytes).zip(&operations) {
            let code = |code: &str| json!([code]);
            let own = |fault: Fault| (PartAnswer::Fault(fault.clone()), code(fault.code.name()));
            let part = match part {
                Ok(part) => part,
                Err(fault) => {
                    prop_assert_eq!(*document, "subscription{a}");
                    let (answer, told) = own(fault);
                    answers.push(answer);
                    model.push(told);
                    continue;
                }
            };
            prop_assert_eq!(std::str::from_utf8(part.body), Ok(bytes.as_str()));
            let wanted = if *document == "{a}" { RetrySafety::Idempotent } else { RetrySafety::NonIdempotent };
            prop_assert_eq!(part.classed.effect, wanted);
            let (answer, told) = match fate {
                Fate::Answered(status, body) => {
                    let body: &'static [u8] = Box::leak(body.to_string().into_bytes().into_boxed_slice());
                    (PartAnswer::Served { status: *status, body }, serde_json::from_slice(body).expect("JSON"))
                }
                Fate::Spoilt(bytes) => {
                    let body: &'static [u8] = Box::leak(bytes.clone().into_boxed_slice());
                    (PartAnswer::Served { status: 200, body }, code("UNREADABLE_ANSWER"))
                }
                Fate::Refused => own(Fault::refused(None)),
                Fate::Failed => own(Fault::failed()),
            };
            answers.push(answer);
            model.push(told);
        }
        let reply = join(&answers, Media::Json);
        let joined: Vec<Value> = serde_json::from_slice(&reply.body).expect("an array");
        let told: Vec<Value> = joined
            .into_iter()
            .map(|answer| match answer["errors"][0]["extensions"]["code"].as_str() {
                Some(code) => json!([code]),
                None => answer,
            })
            .collect();
        prop_assert_eq!(told, model);
        prop_assert!(reply.status != 503 || answers.iter().all(|a| matches!(a, PartAnswer::Fault(f) if f.code.proves_not_run())));
    }
}

//! Persisted queries: the class of a hash is that of the text which it is the SHA-256 of, or unsafe.

mod common;

use common::*;
use madderloom_graphql::*;
use proptest::prelude::*;

const QUERY: &str = "query Q { a }";
const MUTATION: &str = "mutation M { a }";

fn hash_alone(document: &str) -> Sent {
    Sent::post(persisted(document, false))
}

fn with_text(document: &str) -> Sent {
    Sent::post(persisted(document, true))
}

#[test]
fn a_hash_is_unsafe_until_its_text_has_come() {
    let mut front = front();
    assert_eq!(
        class(&mut front, &hash_alone(QUERY)),
        is("file", Why::UnknownHash)
    );
    assert_eq!(class(&mut front, &with_text(QUERY)), is("read", Why::Query));
    assert_eq!(
        class(&mut front, &hash_alone(QUERY)),
        is("read", Why::Query)
    );
    assert_eq!(
        class(&mut front, &hash_alone(MUTATION)),
        is("file", Why::UnknownHash)
    );
    assert_eq!(
        class(&mut front, &with_text(MUTATION)),
        is("file", Why::Mutation)
    );
    assert_eq!(
        class(&mut front, &hash_alone(MUTATION)),
        is("file", Why::Mutation)
    );
}

#[test]
fn a_mutations_hash_that_comes_again_after_a_break_is_unsafe_each_time() {
    let mut front = front();
    for _ in 0..3 {
        assert_eq!(
            class(&mut front, &hash_alone(MUTATION)),
            is("file", Why::UnknownHash)
        );
    }
    assert_eq!(
        class(&mut front, &with_text(MUTATION)),
        is("file", Why::Mutation)
    );
    for _ in 0..3 {
        assert_eq!(
            class(&mut front, &hash_alone(MUTATION)),
            is("file", Why::Mutation)
        );
    }
}

#[test]
fn a_text_that_its_hash_does_not_name_is_refused_and_teaches_nothing() {
    let mut front = front();
    let lie = persisted(MUTATION, false).replacen(
        '{',
        &format!("{{\"query\":{},", serde_json::json!(QUERY)),
        1,
    );
    assert_eq!(
        class(&mut front, &Sent::post(lie)),
        Err(Code::PersistedQueryMismatch)
    );
    assert_eq!(
        class(&mut front, &hash_alone(MUTATION)),
        is("file", Why::UnknownHash)
    );
    assert_eq!(
        class(&mut front, &hash_alone(QUERY)),
        is("file", Why::UnknownHash)
    );
}

#[test]
fn only_a_hash_as_servers_write_it_is_one() {
    let sent = |hash: serde_json::Value| {
        let extensions = serde_json::json!({"persistedQuery": {"version": 1, "sha256Hash": hash}});
        Sent::post(serde_json::json!({ "query": QUERY, "extensions": extensions }).to_string())
    };
    let good = hash(QUERY);
    assert_eq!(
        class(&mut front(), &sent(good.clone().into())),
        is("read", Why::Query)
    );
    for odd in [
        good.to_uppercase().into(),
        good[1..].into(),
        format!("{good}0").into(),
        format!("0x{}", &good[2..]).into(),
        "".into(),
        7.into(),
        serde_json::Value::Null,
        serde_json::json!([good]),
    ] {
        assert_eq!(
            class(&mut front(), &sent(odd.clone())),
            Err(Code::BadRequest),
            "{odd}"
        );
    }
    let no_object = r#"{"query":"{a}","extensions":{"persistedQuery":"x"}}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(no_object)),
        Err(Code::BadRequest)
    );
    let null = r#"{"query":"{a}","extensions":{"persistedQuery":null}}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(null)),
        is("read", Why::Query)
    );
}

#[test]
fn a_known_hash_still_takes_name_and_variables_from_its_message() {
    let several = "query Q { a } mutation M($k: ID!) { fileReport(input: {clientMutationId: $k}) }";
    let mut front = front();
    let sent = |name: &str, variables: serde_json::Value| {
        let extensions =
            serde_json::json!({"persistedQuery": {"version": 1, "sha256Hash": hash(several)}});
        let message = serde_json::json!({
            "extensions": extensions, "operationName": name, "variables": variables
        });
        Sent::post(message.to_string())
    };
    assert_eq!(
        class(&mut front, &with_text(several)),
        is("file", Why::NoOperation)
    );
    let none = serde_json::json!({});
    assert_eq!(
        class(&mut front, &sent("Q", none.clone())),
        is("read", Why::Query)
    );
    assert_eq!(
        class(&mut front, &sent("M", none.clone())),
        is("file", Why::Mutation)
    );
    assert_eq!(
        class(&mut front, &sent("M", serde_json::json!({"k": "k"}))),
        is("keyed", Why::Keyed)
    );
    assert_eq!(
        class(&mut front, &sent("N", none)),
        is("file", Why::NoOperation)
    );
}

#[test]
fn a_known_mutations_hash_by_get_is_405_and_an_unknown_one_is_unsafe() {
    let url = |document: &str| {
        let extensions = format!(
            r#"{{"persistedQuery":{{"version":1,"sha256Hash":"{}"}}}}"#,
            hash(document)
        );
        Sent::get(format!("extensions={}", extensions.replace('"', "%22")))
    };
    let mut front = front();
    assert_eq!(
        class(&mut front, &url(MUTATION)),
        is("file", Why::UnknownHash)
    );
    class(&mut front, &with_text(MUTATION)).expect("it is learned");
    assert_eq!(
        class(&mut front, &url(MUTATION)),
        Err(Code::MutationOverGet)
    );
    class(&mut front, &with_text(QUERY)).expect("it is learned");
    assert_eq!(class(&mut front, &url(QUERY)), is("read", Why::Query));
}

#[test]
fn a_hash_first_seen_inside_a_batch_is_learned_there_for_what_follows() {
    let batch = |elements: &[String]| Sent::post(format!("[{}]", elements.join(",")));
    let (text, alone) = (persisted(QUERY, true), persisted(QUERY, false));
    let before = batch(&[alone.clone(), text.clone()]);
    assert_eq!(
        class(&mut front(), &before),
        is("file", Why::UnknownHash),
        "the hash comes before its text"
    );
    let behind = batch(&[text.clone(), alone.clone()]);
    assert_eq!(class(&mut front(), &behind), is("read", Why::Query));
    let mut front = front();
    assert_eq!(class(&mut front, &before), is("file", Why::UnknownHash));
    assert_eq!(
        class(&mut front, &batch(&[alone.clone(), alone])),
        is("read", Why::Query),
        "learned by then"
    );
}

#[test]
fn what_only_holds_hashes_says_so() {
    let mut front = front();
    let mut hash_only = |sent: Sent| match sent.to(&mut front) {
        Ok(Plan::Whole { hash_only, .. }) => hash_only,
        other => panic!("{other:?}"),
    };
    assert!(hash_only(hash_alone(QUERY)));
    assert!(!hash_only(with_text(QUERY)));
    let both = format!("[{},{}]", persisted(QUERY, false), persisted(QUERY, true));
    assert!(!hash_only(Sent::post(both)));
    let none = format!(
        "[{},{}]",
        persisted(QUERY, false),
        persisted(MUTATION, false)
    );
    assert!(hash_only(Sent::post(none)));
}

#[test]
fn a_flood_of_texts_that_never_come_again_pushes_no_persisted_query_out() {
    let mut front = front_with(|section| {
        section.remember.persisted = 4;
        section.remember.others = 4;
    });
    class(&mut front, &with_text(QUERY)).expect("it is learned");
    for n in 0..1_000 {
        class(&mut front, &Sent::post(text(&format!("{{a{n}}}")))).expect("a query");
    }
    assert_eq!(
        class(&mut front, &hash_alone(QUERY)),
        is("read", Why::Query)
    );
    assert_eq!((front.usage().persisted.0, front.usage().others.0), (1, 4));
}

#[test]
fn the_table_holds_no_more_bytes_than_allowed() {
    let mut front = front_with(|section| {
        section.remember.bytes.0 = 64 << 10;
        section.limits.name.0 = 2_000;
    });
    let name = "n".repeat(1_000);
    for n in 0..200 {
        class(&mut front, &with_text(&format!("query {name}{n} {{a}}"))).expect("a query");
        assert!(front.usage().persisted.1 <= 64 << 10);
    }
    let (entries, bytes) = front.usage().persisted;
    assert!(
        bytes > 60 << 10 && entries > 40 && entries < 60,
        "{entries} entries of {bytes} bytes"
    );
}

proptest! {
    #![proptest_config(cases(64))]

    /// A table of some entries knows just those texts whose hashes were used last.
    #[test]
    fn the_least_used_is_forgotten_first(uses in prop::collection::vec((0usize..12, any::<bool>()), 1..120), most in 1usize..8) {
        let texts: Vec<String> = (0..12).map(|n| format!("query Q{n} {{ a }}")).collect();
        let mut front = front_with(|section| section.remember.persisted = most);
        let mut model: Vec<usize> = Vec::new();
        for (which, send_text) in uses {
            let known = model.contains(&which);
            let sent = if send_text { with_text(&texts[which]) } else { hash_alone(&texts[which]) };
            let wanted = if known || send_text { is("read", Why::Query) } else { is("file", Why::UnknownHash) };
            prop_assert_eq!(class(&mut front, &sent), wanted);
            if known || send_text {
                model.retain(|there| *there != which);
                model.push(which);
                if model.len() > most {
                    model.remove(0);
                }
            }
            prop_assert_eq!(front.usage().persisted.0, model.len());
        }
    }
}

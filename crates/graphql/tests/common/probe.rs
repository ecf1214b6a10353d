//! One run from bytes to class, for the fuzz target and for its twin among the tests.

use crate::oracle::{self, Kind};
use http::{HeaderMap, HeaderValue, Method, header};
use madderloom_balancer::{DeduplicationScope, RetrySafety};
use madderloom_graphql::section::{EffectName, Mutation};
use madderloom_graphql::{
    ClassInfo, Front, Media, Message, PartAnswer, Plan, Policy, Section, join, judge,
};
use serde_json::Value;

fn front(split: bool) -> Front {
    let class = |name: &str, effect| ClassInfo {
        name: name.into(),
        effect,
        aim: 1,
    };
    let keyed = RetrySafety::IdempotentWithKey {
        scope: DeduplicationScope::All,
        window: 1,
    };
    let classes = [
        class("read", RetrySafety::Idempotent),
        class("file", RetrySafety::NonIdempotent),
        class("keyed", keyed),
    ];
    let mut section = Section {
        query: "read".into(),
        mutation: "file".into(),
        ..Section::default()
    };
    section.batch.split = split;
    section.cost.field.0 = 1;
    let rule = Mutation {
        effect: EffectName::Keyed,
        class: "keyed".into(),
        key: "a.b".into(),
        ..Mutation::default()
    };
    section.mutations.insert("a".into(), rule);
    section.queries.entry("a".into()).or_default().cost = "b".into();
    Front::new(Policy::new(&section, &classes).expect("the section is sound"))
}

/// Goes from bytes to classes, and panics where one is safe while another parser reads a mutation.
pub fn probe(data: &[u8]) {
    let Some((how, rest)) = data.split_first() else {
        return;
    };
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let text = std::str::from_utf8(rest);
    match (how % 4, text) {
        // A document, and perhaps the name of its operation.
        (0, Ok(text)) => {
            let (document, name) = text
                .split_once('\u{1}')
                .map_or((text, None), |(d, name)| (d, Some(name)));
            let body = serde_json::json!({ "query": document, "operationName": name }).to_string();
            post(&headers, body.as_bytes(), false);
        }
        (1, Ok(url)) => {
            let message = Message {
                method: &Method::GET,
                query: Some(url),
                headers: &headers,
                body: b"",
            };
            let _ = front(false).take(&message).is_ok();
        }
        (2, _) => post(&headers, rest, true),
        _ => {
            post(&headers, rest, false);
            let _ = judge(200, None, rest, true);
            let joined = join(
                &[PartAnswer::Served {
                    status: 200,
                    body: rest,
                }],
                Media::Json,
            );
            assert!(serde_json::from_slice::<Vec<Value>>(&joined.body).is_ok() || is_beyond(rest));
        }
    }
}

/// JSON that is well-formed, but that a reader into values does not hold: too deep, or with numbers too large.
fn is_beyond(body: &[u8]) -> bool {
    serde_json::from_slice::<Value>(body).is_err()
}

fn post(headers: &HeaderMap, body: &[u8], split: bool) {
    let message = Message {
        method: &Method::POST,
        query: None,
        headers,
        body,
    };
    let safe = |bytes: &[u8]| {
        let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
        match serde_json::from_slice::<Value>(bytes) {
            Ok(Value::Array(all)) => all.iter().for_each(is_no_mutation),
            Ok(one) => is_no_mutation(&one),
            Err(_) => {}
        }
    };
    match front(split).take(&message) {
        Ok(Plan::Whole { classed, .. }) if classed.effect == RetrySafety::Idempotent => safe(body),
        Ok(Plan::Split(parts)) => {
            for part in parts
                .into_iter()
                .flatten()
                .filter(|part| part.classed.effect == RetrySafety::Idempotent)
            {
                safe(part.body);
            }
        }
        _ => {}
    }
}

fn is_no_mutation(message: &Value) {
    let Some(document) = message["query"].as_str() else {
        panic!("safe without a text: {message}")
    };
    let name = message["operationName"].as_str();
    for kind in [
        oracle::async_graphql(document, name),
        oracle::graphql_parser(document, name),
    ] {
        assert!(
            matches!(kind, None | Some(Kind::Query)),
            "{kind:?} in {document:?}"
        );
    }
}

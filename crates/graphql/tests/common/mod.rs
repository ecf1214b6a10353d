//! A site, a section for it, and messages.
#![allow(dead_code)] // each test file uses a part of it

use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use madderloom_balancer::{DeduplicationScope, RetrySafety};
use madderloom_config_reader::Document;
use madderloom_graphql::*;
use proptest::prelude::ProptestConfig;
use std::collections::BTreeMap;

pub const SECTION: &str = r#"
[graphql]
query = "read"
mutation = "file"
ignore = ["apiKey"]
[graphql.limits]
bytes = "64KiB"
tokens = 2000
depth = 8
aliases = 20
fields = 300
name = "64B"
[graphql.batch]
operations = 4
[graphql.cost]
field = "10us"
[graphql.operations.Dashboard]
class = "board"
[graphql.operations.Export]
repeat = false
[graphql.operations.Slow]
class = "file-slow"
[graphql.operations.Sneaky]
class = "read"
[graphql.queries.report]
subject = "id"
cost = "first"
[graphql.queries.drain]
repeat = false
[graphql.mutations.fileReport]
effect = "keyed"
key = "input.clientMutationId"
class = "keyed"
subject = "input.paper"
[graphql.mutations.pay]
effect = "keyed"
key = "key"
class = "keyed-cell"
[graphql.mutations.note]
subject = "paper"
"#;

pub fn classes() -> Vec<ClassInfo> {
    let keyed = |scope, window| RetrySafety::IdempotentWithKey { scope, window };
    let classes = [
        ("read", RetrySafety::Idempotent, 400_000),
        ("board", RetrySafety::Idempotent, 5_000_000),
        ("file", RetrySafety::NonIdempotent, 800_000),
        ("file-slow", RetrySafety::NonIdempotent, 9_000_000),
        ("keyed", keyed(DeduplicationScope::All, 10_000_000), 800_000),
        (
            "keyed-cell",
            keyed(DeduplicationScope::Cell, 5_000_000),
            800_000,
        ),
    ];
    classes
        .map(|(name, effect, aim)| ClassInfo {
            name: name.into(),
            effect,
            aim,
        })
        .to_vec()
}

#[derive(Default, serde::Deserialize)]
#[serde(default)]
struct File {
    graphql: Section,
}

/// The policy of a text, or its problems.
pub fn policy(text: &str) -> Result<Policy, Vec<String>> {
    let told = |problems: Vec<madderloom_config_reader::Problem>| -> Vec<String> {
        problems.iter().map(ToString::to_string).collect()
    };
    let (mut document, file) = Document::read::<File>(text).map_err(told)?;
    let policy = file.graphql.check(&mut document, "graphql", &classes());
    document
        .finish(policy)
        .map(|policy| policy.expect("without a problem there is a policy"))
        .map_err(told)
}

pub fn front() -> Front {
    Front::new(policy(SECTION).expect("the section is sound"))
}

/// A front whose section is changed.
pub fn front_with(change: impl FnOnce(&mut Section)) -> Front {
    let (_, mut file) = Document::read::<File>(SECTION).expect("TOML");
    change(&mut file.graphql);
    Front::new(Policy::new(&file.graphql, &classes()).expect("the section is sound"))
}

/// So many cases, alike on every run.
pub fn cases(cases: u32) -> ProptestConfig {
    let seed = proptest::test_runner::RngSeed::Fixed(7);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: seed,
        ..ProptestConfig::default()
    }
}

/// A request as a client sends it.
pub struct Sent {
    pub method: Method,
    pub query: Option<String>,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl Sent {
    pub fn post(body: impl Into<Vec<u8>>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        Sent {
            method: Method::POST,
            query: None,
            headers,
            body: body.into(),
        }
    }

    pub fn get(query: impl Into<String>) -> Self {
        Sent {
            method: Method::GET,
            query: Some(query.into()),
            headers: HeaderMap::new(),
            body: Vec::new(),
        }
    }

    pub fn url(mut self, query: &str) -> Self {
        self.query = Some(query.into());
        self
    }

    pub fn header(mut self, name: HeaderName, value: &'static str) -> Self {
        self.headers.append(name, HeaderValue::from_static(value));
        self
    }

    pub fn without(mut self, name: HeaderName) -> Self {
        self.headers.remove(name);
        self
    }

    pub fn to<'a>(&'a self, front: &mut Front) -> Result<Plan<'a>, Rejection> {
        front.take(&Message {
            method: &self.method,
            query: self.query.as_deref(),
            headers: &self.headers,
            body: &self.body,
        })
    }
}

/// A message with a document.
pub fn text(document: &str) -> String {
    serde_json::json!({ "query": document }).to_string()
}

/// A message with a document and variables.
pub fn with(document: &str, variables: serde_json::Value) -> String {
    serde_json::json!({ "query": document, "variables": variables }).to_string()
}

/// A message with an operation's name.
pub fn named(document: &str, name: &str) -> String {
    serde_json::json!({ "query": document, "operationName": name }).to_string()
}

/// The class of a message with one operation, by its name, and why.
pub fn class(front: &mut Front, sent: &Sent) -> Result<(String, Why), Code> {
    match sent.to(front) {
        Ok(Plan::Whole { classed, .. }) => {
            let class = &classes()[classed.class as usize];
            assert_eq!(class.effect, classed.effect, "a class has its own effect");
            Ok((class.name.clone(), classed.why))
        }
        Ok(Plan::Split(parts)) => panic!("{parts:?}"),
        Err(rejection) => Err(rejection.fault.code),
    }
}

/// What is known of a message with one operation.
pub fn classed(front: &mut Front, sent: &Sent) -> Classed {
    match sent.to(front) {
        Ok(Plan::Whole { classed, .. }) => classed,
        other => panic!("{other:?}"),
    }
}

/// The class of a document.
pub fn of(document: &str) -> Result<(String, Why), Code> {
    class(&mut front(), &Sent::post(text(document)))
}

/// A class and why, as [`of`] tells it.
pub fn is(class: &str, why: Why) -> Result<(String, Why), Code> {
    Ok((class.to_string(), why))
}

/// The SHA-256 of a text as a client writes it.
pub fn hash(text: &str) -> String {
    use sha2::Digest;
    sha2::Sha256::digest(text)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// A message with a hash, and with the text or without.
pub fn persisted(document: &str, with_text: bool) -> String {
    let mut message: BTreeMap<&str, serde_json::Value> = BTreeMap::new();
    message.insert(
        "extensions",
        serde_json::json!({ "persistedQuery": { "version": 1, "sha256Hash": hash(document) } }),
    );
    if with_text {
        message.insert("query", document.into());
    }
    serde_json::to_string(&message).expect("JSON")
}

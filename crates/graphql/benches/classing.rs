//! What classing adds to a hop: messages of three sizes, their documents new and seen before.

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use http::{HeaderMap, HeaderValue, Method, header};
use madderloom_balancer::RetrySafety;
use madderloom_graphql::{ClassInfo, Front, Message, Policy, Section};
use std::fmt::Write;

fn policy() -> Policy {
    let class = |name: &str, effect| ClassInfo {
        name: name.into(),
        effect,
        aim: 400_000,
    };
    let classes = [
        class("read", RetrySafety::Idempotent),
        class("file", RetrySafety::NonIdempotent),
    ];
    let mut section = Section {
        query: "read".into(),
        mutation: "file".into(),
        ..Section::default()
    };
    (section.limits.tokens, section.limits.aliases) = (20_000, 20_000);
    Policy::new(&section, &classes).expect("the section is sound")
}

/// A message of about so many bytes, of the kind that a dashboard sends: fields with aliases, arguments, variables, a
/// directive and a fragment.
fn message(bytes: usize) -> Vec<u8> {
    let mut document = String::from("query Board($id: ID!, $withScore: Boolean = true) {\n");
    let tail = "}\nfragment Row on Report { id name }\n";
    for row in 0.. {
        let mut line = String::new();
        let _ = writeln!(
            line,
            "  r{row}: report(id: $id, page: {{size: {row}, order: \"name\"}}) {{ status score @include(if: $withScore) ...Row }}",
        );
        if row > 0 && document.len() + line.len() + tail.len() + 60 > bytes {
            break;
        }
        document += &line;
    }
    document += tail;
    serde_json::json!({ "query": document, "variables": { "id": "p7" } })
        .to_string()
        .into_bytes()
}

fn classing(c: &mut Criterion) {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let mut group = c.benchmark_group("classing");
    for bytes in [200, 2 << 10, 60 << 10] {
        let body = message(bytes);
        let message = Message {
            method: &Method::POST,
            query: None,
            headers: &headers,
            body: &body,
        };
        group.throughput(Throughput::Bytes(body.len() as u64));
        let policy = policy();
        let mut front = Front::new(policy.clone());
        front.take(&message).expect("within the limits");
        group.bench_function(format!("seen/{bytes}"), |b| {
            b.iter(|| front.take(&message).is_ok())
        });
        group.bench_function(format!("new/{bytes}"), |b| {
            b.iter_batched_ref(
                || Front::new(policy.clone()),
                |front| front.take(&message).is_ok(),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(50);
    targets = classing
}
criterion_main!(benches);

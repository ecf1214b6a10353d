//! What a client gets from a GraphQL route, request by request.

use crate::rig::{Conn, Message, until};
use crate::servers::*;
use crate::stand_ins::Process;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn ask(client: &mut Conn, request: impl AsRef<[u8]>) -> (Message, Value) {
    client.write(request);
    let answer = client.read().expect("an answer");
    let body = serde_json::from_slice(&answer.body).expect("JSON");
    (answer, body)
}

fn code(body: &Value) -> &str {
    body["errors"][0]["extensions"]["code"]
        .as_str()
        .unwrap_or_default()
}

#[test]
fn operations_are_served_by_post_and_get_whole_and_apart() {
    let servers = Servers::start(1, |_| Fault::None);
    let process = servers.front();
    let mut client = process.client("front");
    let (answer, body) = ask(
        &mut client,
        post("/graphql", &message(FILE, "m1", true, false), "t1"),
    );
    assert_eq!(
        (answer.status(), body),
        (200, json!({"data": {"file": "m1"}}))
    );
    let batch = json!([
        message(READ, "q1", true, false),
        message(FILE, "m2", true, false),
        message(READ, "q2", true, false)
    ]);
    let wanted =
        json!([{"data": {"read": "q1"}}, {"data": {"file": "m2"}}, {"data": {"read": "q2"}}]);
    for (path, id) in [("/graphql", "t2"), ("/apart", "t3")] {
        let (answer, body) = ask(&mut client, post(path, &batch, id));
        assert_eq!((answer.status(), &body), (200, &wanted), "{path}");
    }
    assert_eq!(servers.ran("m2"), 2, "two requests of the client's own");
    // Neither an id nor a time is asked of clients of GraphQL.
    let body = message(READ, "q3", true, false).to_string();
    let plain = format!(
        "POST /graphql HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(ask(&mut client, plain).1, json!({"data": {"read": "q3"}}));
}

#[test]
fn a_mutation_that_is_in_the_ledger_fails_when_it_comes_again_and_each_part_of_a_batch_is_one() {
    let servers = Servers::start(1, |_| Fault::None);
    let directory = tempfile::tempdir().expect("a directory");
    let state = format!(
        "version = 1\n[state]\ndir = \"{}\"\nledger = \"durable\"\n",
        directory.path().display()
    );
    let text = servers.file("").replacen("version = 1\n", &state, 1);
    let batch = json!([
        message(FILE, "m1", true, false),
        message(FILE, "m2", true, false)
    ]);
    let keyed = |trace: &str| {
        let request = post("/apart", &batch, trace);
        request.replacen("Host: h\r\n", "Host: h\r\nIdempotency-Key: k1\r\n", 1)
    };
    let process = Process::start(&text);
    let (_, body) = ask(&mut process.client("front"), keyed("t1"));
    assert_eq!(
        body,
        json!([{"data": {"file": "m1"}}, {"data": {"file": "m2"}}])
    );
    drop(process);
    let process = Process::start(&text);
    let (_, body) = ask(&mut process.client("front"), keyed("t2"));
    assert!(
        body[0].get("data").is_none() && body[1].get("data").is_none(),
        "{body}"
    );
    assert_eq!((servers.came("m1"), servers.came("m2")), (1, 1));
}

/// The time of the requests that [`post`] makes.
const TIME_LEFT: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(50);

/// Servers run a request and never answer: alone, as a batch, and as a batch of which each operation is sent on its own.
#[rstest]
fn a_request_that_no_server_answers_is_answered_in_its_time(
    #[values("/graphql", "/apart")] path: &str,
    #[values(READ, FILE)] operation: &str,
    #[values(1, 3)] operations: usize,
) {
    let servers = Servers::start(2, |_| Fault::Hang);
    let process = servers.front();
    let messages: Vec<Value> = (0..operations)
        .map(|number| message(operation, &format!("m{number}"), true, false))
        .collect();
    let body = if operations == 1 {
        messages[0].clone()
    } else {
        json!(messages)
    };
    let started_at = Instant::now();
    let (_, answer) = ask(&mut process.client("front"), post(path, &body, "t1"));
    let took = started_at.elapsed();
    assert!(took <= TIME_LEFT + SLACK, "{took:?}: {answer}");
    let has_error = |answer: &Value| answer.get("errors").is_some();
    let failed = answer
        .as_array()
        .map_or(has_error(&answer), |answers| answers.iter().all(has_error));
    assert!(failed, "{answer}");
}

/// A client leaves while a server works on its mutation, and sends the same again.
#[rstest]
#[case::mutation(FILE, 1)]
#[case::query(READ, 2)]
fn a_mutation_that_comes_again_after_its_client_left_does_not_run_twice(
    #[case] operation: &str,
    #[case] runs: u32,
) {
    // The first exchange hangs, and those behind it are served.
    let first = |number| match number {
        0 => Fault::Hang,
        _ => Fault::None,
    };
    let servers = Servers::start(1, first);
    let process = servers.front();
    let text = post("/graphql", &message(operation, "m1", true, false), "t1");
    let mut client = process.client("front");
    client.write(&text);
    until("it runs", || servers.ran("m1") == 1);
    client.close();
    let mut other = process.client("front");
    ask(
        &mut other,
        post("/graphql", &message(READ, "q1", true, false), "t2"),
    );
    let (answer, _) = ask(&mut process.client("front"), &text);
    assert_eq!(answer.status(), if runs == 1 { 409 } else { 200 });
    assert_eq!(servers.ran("m1"), runs);
}

#[test]
fn a_partial_answer_goes_on_unchanged_and_its_mutation_is_not_sent_again() {
    let servers = Servers::start(2, |_| Fault::Partial);
    let process = servers.front();
    let (answer, body) = ask(
        &mut process.client("front"),
        post("/graphql", &message(FILE, "m1", true, false), "t1"),
    );
    assert_eq!(answer.status(), 200);
    assert_eq!(
        body,
        json!({"data": {"file": "m1"}, "errors": [{"message": "half", "path": ["file"]}]})
    );
    assert_eq!(
        answer.header("content-type"),
        Some("application/graphql-response+json")
    );
    assert_eq!(servers.came("m1"), 1);
}

#[test]
fn a_query_is_sent_again_after_a_spoilt_answer_and_a_mutation_is_not() {
    let first = |number| {
        if number == 0 {
            Fault::Spoilt
        } else {
            Fault::None
        }
    };
    let servers = Servers::start(2, first);
    let process = servers.front();
    let (_, body) = ask(
        &mut process.client("front"),
        post("/graphql", &message(READ, "q1", true, false), "t1"),
    );
    assert_eq!(
        (body, servers.came("q1")),
        (json!({"data": {"read": "q1"}}), 2)
    );

    let servers = Servers::start(2, first);
    let process = servers.front();
    let (answer, body) = ask(
        &mut process.client("front"),
        post("/graphql", &message(FILE, "m1", true, false), "t1"),
    );
    assert_eq!(
        (answer.status(), code(&body), servers.came("m1")),
        (502, "FAILED", 1)
    );
}

#[test]
fn a_persisted_hash_passes_its_not_found_on_and_is_learned_with_its_text() {
    let servers = Servers::start(1, |number| {
        if number == 2 {
            Fault::CutAnswer(3)
        } else {
            Fault::None
        }
    });
    let process = servers.front();
    let mut client = process.client("front");
    let (answer, body) = ask(
        &mut client,
        post("/graphql", &message(FILE, "m1", false, true), "t1"),
    );
    assert_eq!(
        (answer.status(), code(&body)),
        (200, "PERSISTED_QUERY_NOT_FOUND")
    );
    assert_eq!(servers.ran("m1"), 0);
    let (_, body) = ask(
        &mut client,
        post("/graphql", &message(FILE, "m1", true, true), "t2"),
    );
    assert_eq!(body, json!({"data": {"file": "m1"}}));
    // The answer to the hash alone breaks: it may have run.
    let (answer, body) = ask(
        &mut client,
        post("/graphql", &message(FILE, "m2", false, true), "t3"),
    );
    assert_eq!(
        (answer.status(), code(&body), servers.ran("m2")),
        (502, "FAILED", 1)
    );
    // The client's own next try is a request of its own, and unsafe as well.
    let (_, body) = ask(
        &mut client,
        post("/graphql", &message(FILE, "m3", false, true), "t4"),
    );
    assert_eq!(
        (body, servers.came("m3")),
        (json!({"data": {"file": "m3"}}), 1)
    );
}

#[test]
fn no_server_hears_of_what_is_refused() {
    let servers = Servers::start(1, |_| Fault::None);
    let process = servers.front();
    let mut client = process.client("front");
    let deep = format!("{}{}", "{a".repeat(40), "}".repeat(40));
    let subscription = "subscription { a }";
    for (document, wanted) in [
        (deep.as_str(), "TOO_DEEP"),
        (subscription, "SUBSCRIPTION_UNSUPPORTED"),
    ] {
        let sent = json!({"query": document, "variables": {"id": "x"}});
        let (answer, body) = ask(&mut client, post("/graphql", &sent, "t1"));
        assert_eq!((answer.status(), code(&body)), (400, wanted));
        assert_eq!(
            answer.header("content-type"),
            Some("application/graphql-response+json; charset=utf-8")
        );
    }
    let get = "GET /graphql?query=mutation%7Ba%7D HTTP/1.1\r\nHost: h\r\nAccept: application/json\r\n\r\n";
    let (answer, body) = ask(&mut client, get);
    assert_eq!(
        (answer.status(), code(&body), answer.header("allow")),
        (405, "MUTATION_OVER_GET", Some("POST"))
    );
    assert_eq!(
        answer.header("content-type"),
        Some("application/json; charset=utf-8")
    );
    // Of a batch taken apart, only what is at fault is not sent.
    let batch = json!([{"query": subscription}, message(READ, "q1", true, false)]);
    let (answer, body) = ask(&mut client, post("/apart", &batch, "t2"));
    assert_eq!(
        (answer.status(), code(&body[0])),
        (200, "SUBSCRIPTION_UNSUPPORTED")
    );
    assert_eq!(body[1], json!({"data": {"read": "q1"}}));
    let twice = post("/graphql", &json!({}), "t3")
        .replace("X-Expires-In-Ms: 1000", "X-Expires-In-Ms: 1, 2");
    let (answer, body) = ask(&mut client, twice);
    assert_eq!(
        (answer.status(), code(&body), answer.header("connection")),
        (400, "BAD_REQUEST", Some("close"))
    );
    assert_eq!(
        servers.shared.came.lock().expect("no thread panics").len(),
        1
    );
}

#[test]
fn what_no_server_takes_is_refused_in_graphql_with_advice() {
    let servers = Servers::start(1, |_| Fault::NeverRan);
    let process = servers.front();
    let mut client = process.client("front");
    for (path, batch) in [("/graphql", false), ("/graphql", true), ("/apart", true)] {
        let one = message(FILE, "m1", true, false);
        let sent = if batch { json!([one, one]) } else { one };
        let (answer, body) = ask(&mut client, post(path, &sent, "t1"));
        assert_eq!(answer.status(), 503, "{path}");
        assert!(answer.header("retry-after").is_some());
        let errors = if batch {
            body.as_array().expect("an array").clone()
        } else {
            vec![body]
        };
        assert!(
            errors.len() == if batch { 2 } else { 1 }
                && errors.iter().all(|e| code(e) == "REFUSED")
        );
    }
    assert_eq!(servers.ran("m1"), 0);
}

#[test]
fn a_newer_file_classes_by_its_own_rules() {
    let servers = Servers::start(1, |_| Fault::None);
    let text = servers.file("");
    let mut process = Process::start(&text);
    let sent = message(READ, "q1", true, false);
    assert_eq!(
        ask(&mut process.client("front"), post("/graphql", &sent, "t1"))
            .0
            .status(),
        200
    );
    let told = process.reload(&servers.file("[pools.graphql.limits]\ntokens = 3\n"));
    assert!(told.contains("read again"), "{told}");
    let (_, body) = ask(&mut process.client("front"), post("/graphql", &sent, "t2"));
    assert_eq!(
        code(&body),
        "TOO_MANY_TOKENS",
        "also of a document that was known"
    );
}

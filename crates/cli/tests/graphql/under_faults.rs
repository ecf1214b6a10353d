//! Tens of thousands of operations while servers break at every byte, hang, spoil answers and restart.

use crate::rig::Conn;
use crate::servers::*;
use crate::stand_ins::Process;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const CLIENTS: usize = 8;

/// One exchange in eight goes wrong; breaks move on by a byte each time.
fn faults(number: u64) -> Fault {
    let at = (number / 40) as usize;
    match number % 40 {
        1 => Fault::CutRequest(at),
        6 => Fault::CutAnswer(at),
        11 => Fault::Spoilt,
        16 => Fault::Failed,
        21 => Fault::NeverRan,
        26 | 31 => Fault::Partial,
        36 if at.is_multiple_of(8) => Fault::Hang,
        _ => Fault::None,
    }
}

/// What a client was told of an operation.
#[derive(Clone, Debug, PartialEq)]
enum Told {
    /// Its own answer, of a server.
    Data,
    /// A code.
    Code(String),
}

fn kind_of(number: usize) -> &'static str {
    match number % 10 {
        0..=4 => READ,
        5..=7 => FILE,
        _ => KEYED,
    }
}

fn told(answer: &Value, id: &str) -> Told {
    if let Some(code) = answer["errors"][0]["extensions"]["code"].as_str() {
        return Told::Code(code.to_string());
    }
    let data = answer["data"]
        .as_object()
        .unwrap_or_else(|| panic!("{id}: {answer}"));
    assert_eq!(
        data.values().next().and_then(Value::as_str),
        Some(id),
        "an answer of another operation"
    );
    Told::Data
}

/// One client: single operations, batches whole and apart, texts and hashes. What each operation was told.
fn client(
    process: &Process,
    client: usize,
    requests: usize,
) -> BTreeMap<String, (&'static str, Told)> {
    let connect = || Conn::new(TcpStream::connect(process.at("front")).expect("it accepts"));
    let (mut connection, mut outcomes) = (connect(), BTreeMap::new());
    for request in 0..requests {
        let operations = [1, 1, 1, 1, 2, 4][request % 6];
        let path = if request % 12 < 6 {
            "/graphql"
        } else {
            "/apart"
        };
        let named: Vec<(&str, String)> = (0..operations)
            .map(|n| {
                (
                    kind_of(client + 7 * request + 3 * n),
                    format!("{client}-{request}-{n}"),
                )
            })
            .collect();
        let by_hash = request % 4 == 1;
        let mut with_text = !by_hash;
        let answers = loop {
            let messages: Vec<Value> = named
                .iter()
                .map(|(text, id)| message(text, id, with_text, by_hash))
                .collect();
            let one = if operations == 1 {
                messages[0].clone()
            } else {
                Value::Array(messages)
            };
            connection.write(post(path, &one, &format!("{client}-{request}-{with_text}")));
            let answer = connection.read().expect("one answer for each request");
            let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
            if answer.header("connection") == Some("close") {
                connection = connect();
            }
            let answers = if operations == 1 {
                vec![body]
            } else {
                body.as_array().expect("an array").clone()
            };
            assert_eq!(answers.len(), operations, "each operation is answered once");
            // A client sends the text of what was not found; the others of a batch have been answered.
            let unknown =
                |a: &Value| a["errors"][0]["extensions"]["code"] == "PERSISTED_QUERY_NOT_FOUND";
            if answers.iter().all(unknown) && !with_text {
                with_text = true;
                continue;
            }
            break answers;
        };
        for ((text, id), answer) in named.into_iter().zip(answers) {
            let told = told(&answer, &id);
            outcomes.insert(id, (text, told));
        }
    }
    outcomes
}

#[test]
fn no_mutation_runs_twice_no_answer_is_anothers_and_each_operation_is_answered_once() {
    under_faults(300);
}

/// Twenty thousand operations: `cargo test -p madderloom --test graphql -- --ignored --nocapture`.
#[test]
#[ignore = "takes a minute or two"]
fn the_same_holds_for_twenty_thousand_operations() {
    under_faults(1_500);
}

/// One mutation after the other, while the connection breaks at each byte of request and answer in turn.
#[test]
fn a_break_at_any_byte_runs_no_mutation_twice() {
    const POSITIONS: u64 = 560;
    // Every other exchange goes well, so that no server is held to be lost.
    let servers = Servers::start(4, |number| match (number % 2, number / 2) {
        (1, at) if at < POSITIONS => Fault::CutRequest(at as usize),
        (1, at) => Fault::CutAnswer((at - POSITIONS) as usize),
        _ => Fault::None,
    });
    let process = servers.front();
    let mut client = process.client("front");
    let mut told = BTreeMap::new();
    // An answer is shorter than 200 bytes, a request than 560.
    for number in 0.. {
        let id = format!("m{number}");
        let request = post("/graphql", &message(FILE, &id, true, false), &id);
        assert!(request.len() < POSITIONS as usize, "{}", request.len());
        client.write(request);
        let answer = client.read().expect("one answer for each request");
        if answer.header("connection") == Some("close") {
            client = process.client("front");
        }
        let ran = servers.ran(&id);
        match answer.status() {
            200 => assert_eq!(ran, 1),
            503 => assert_eq!(ran, 0, "what is refused has not run"),
            502 => assert!(ran <= 1),
            other => panic!("{other}"),
        }
        *told.entry(answer.status()).or_insert(0) += 1;
        if servers.exchanges() > 2 * (POSITIONS + 200) {
            break;
        }
    }
    println!("{told:?}");
    assert!(told[&200] > 500 && told[&502] > 100, "{told:?}");
}

fn under_faults(requests: usize) {
    let servers = Servers::start(6, faults);
    let process = servers.front();
    let over = AtomicBool::new(false);
    let outcomes = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        // Restarts: one server after the other is away for a moment.
        scope.spawn(|| {
            for down in servers
                .down
                .iter()
                .cycle()
                .take_while(|_| !over.load(Ordering::Relaxed))
            {
                down.store(true, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(150));
                down.store(false, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(350));
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (process, outcomes) = (&process, &outcomes);
                scope.spawn(move || {
                    outcomes
                        .lock()
                        .expect("no thread panics")
                        .extend(client(process, n, requests))
                })
            })
            .collect();
        let ended: Vec<_> = clients.into_iter().map(|client| client.join()).collect();
        over.store(true, Ordering::Relaxed);
        ended
            .into_iter()
            .for_each(|client| client.expect("no client panics"));
    });
    let outcomes = outcomes.into_inner().expect("no thread panics");
    assert!(outcomes.len() > 12 * requests, "{}", outcomes.len());

    let mut counts: BTreeMap<(&str, String), usize> = BTreeMap::new();
    let mut repeated: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, (text, told)) in &outcomes {
        let (ran, came) = (servers.ran(id), servers.came(id));
        *repeated.entry(text).or_default() += usize::from(came > 1);
        assert!(*text == READ || ran <= 1, "{id} ran {ran} times: {told:?}");
        let code = match told {
            Told::Data => {
                assert!(ran >= 1, "{id} is answered and never ran");
                "data".to_string()
            }
            Told::Code(code) => {
                // A client may send again what was refused.
                assert!(
                    code != "REFUSED" || *text == READ || ran == 0,
                    "{id} is refused and ran"
                );
                code.clone()
            }
        };
        *counts
            .entry((text.split(' ').nth(1).unwrap_or_default(), code))
            .or_default() += 1;
    }
    println!(
        "{} operations: {counts:?}; came more than once: {repeated:?}",
        outcomes.len()
    );
    let of = |text: &str| outcomes.values().filter(|(t, _)| *t == text).count() as f64;
    let good = |text: &str| {
        outcomes
            .values()
            .filter(|(t, told)| *t == text && *told == Told::Data)
            .count() as f64
    };
    // Reads and keyed mutations outlive faults by being sent again; mutations must not be.
    assert!(good(READ) > 0.9 * of(READ), "{counts:?}");
    assert!(repeated[READ] > requests / 30, "{repeated:?}");
}

//! Submissions that are repeated after the ledger's window was raised and lowered again.

mod kit;
use kit::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WINDOW: &str = "60s";
const LONGER_WINDOW: &str = "1h";

fn operator_file(window: &str) -> String {
    format!("version = 1\n\n[state]\ndir = \"state\"\nledger = \"durable\"\nids = [\"X-Submission\"]\nwindow = \"{window}\"\n")
}

fn main() {
    let case = Case::begin();
    // How often the servers together have run each submission.
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let server = |name: &'static str| {
        let (runs, case) = (Arc::clone(&runs), case.clone());
        Server::start(name, move |message| {
            let submission = message.header("x-submission").to_string();
            let count = {
                let mut runs = lock(&runs);
                let count = runs.entry(submission.clone()).or_default();
                *count += 1;
                *count
            };
            case.say(format!("{name} runs {submission}, id {}: run {count}", message.header("x-trace-id")));
            // The answers to these are lost: the connection breaks once they have run.
            match submission.starts_with("lost") {
                true => Reply::Break,
                false => Reply::Served("filed".to_string()),
            }
        })
    };
    let servers = [server("s-1"), server("s-2")];
    let entries: Vec<Entry> = servers.iter().map(|server| Entry::of(server, "zona-4")).collect();
    let discovery = Discovery::start(&case, entries);

    let configuration = Configuration {
        listen: free_address(),
        discovery: discovery.address,
        areas: r#"["zona-4","mixco","villa-nueva"]"#,
        services: GUATE_SERVICES,
        known: discovery.whole(),
    };
    std::fs::create_dir_all(case.folder().join("state")).expect("a folder");
    let file = case.write("config.json", &configuration.json());
    let operator = case.write("operator.toml", &operator_file(WINDOW));
    let sidecar = case.start(
        "sidecar",
        &format!("target/release/madderloom serve --operator {}", operator.display()),
        &configuration.variables(&file),
    );
    case.wait_ready(configuration.listen);

    let submit = |submission: &str| {
        let more = format!("X-Submission: {submission}\r\n");
        let text = request("POST", "/submit-check", &fresh_id(), 1_400, &more, "a paper");
        let answer = ask(configuration.listen, &text, Duration::from_secs(5));
        let status = answer.map_or(0, |(status, _)| status);
        case.say(format!("client: {submission} is answered {status}"));
        status
    };
    let submissions: Vec<String> =
        (1..=3).flat_map(|n| [format!("answered-{n}"), format!("lost-{n}")]).collect();
    for submission in &submissions {
        submit(submission);
    }
    let once = lock(&runs).values().all(|count| *count == 1) && lock(&runs).len() == submissions.len();
    case.require(once, "each submission has run once before the disruption");
    for submission in &submissions {
        submit(submission);
    }
    let still_once = lock(&runs).values().all(|count| *count == 1);
    case.require(still_once, "a repeat before the disruption is not sent");

    if case.trouble() {
        for (number, window) in [LONGER_WINDOW, WINDOW].into_iter().enumerate() {
            case.write("operator.toml", &operator_file(window));
            case.say(format!("operator file: window = {window}"));
            case.signal(sidecar, "HUP");
            let taken = case.until(10, || {
                case.log_of("sidecar").matches("operator file read again: ").count() == number + 1
            });
            case.require(taken, "the sidecar has taken the file");
            pause(2_000);
        }
    } else {
        pause(4_000);
    }

    let repeated_at = case.ms();
    for submission in &submissions {
        submit(submission);
    }
    pause(200);
    case.say(format!("the repeats were sent {repeated_at} ms after the start, the window is {WINDOW}"));
    case.keep_log("sidecar");
    case.require(case.runs(sidecar), "the sidecar still runs");
    let twice: Vec<String> = lock(&runs)
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(submission, count)| format!("{submission} {count} times"))
        .collect();
    match twice.is_empty() {
        true => case.end(0, "no submission has run twice"),
        false => case.end(1, &format!("submissions ran more than once: {}", twice.join(", "))),
    }
}

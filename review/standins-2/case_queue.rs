//! A server that begins to drain once discovery, which was down and then crowded, answers at once again.

mod kit;
use kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the calls wait that discovery turns away: it is down at the first one, and has too many callers at the others,
/// which wait for its time limit, `timeout_ms` of the site's file.
const WAITS_MS: &[u64] = &[5, 3_000, 3_000];
/// A change counts as told so long after discovery had it and could be reached, and 50 ms more.
const TOLD_MS: u64 = 6_000 + 50;
/// `safety.drain_grace`, and 50 ms more.
const GRACE_MS: u64 = 3_000 + 50;
/// The server ends so long after it began to drain.
const ENDED_AFTER_MS: u64 = 11_000;
const WORK_MS: u64 = 150;

fn main() {
    let case = Case::begin();
    let runs: Arc<Mutex<Vec<(u64, &'static str)>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let server = |name: &'static str| {
        let (runs, case, ended) = (Arc::clone(&runs), case.clone(), Arc::clone(&ended));
        Server::start(name, move |message| {
            let is_gone = || name == "s-1" && ended.load(Ordering::SeqCst);
            if is_gone() {
                return Reply::Break;
            }
            lock(&runs).push((case.ms_of(message), name));
            case.say(format!("{name} gets {}", message.header("x-trace-id")));
            pause(WORK_MS);
            match is_gone() {
                true => Reply::Break,
                false => Reply::Served(name.to_string()),
            }
        })
    };
    let servers = [server("s-1"), server("s-2"), server("s-3")];
    let zones = ["zona-4", "mixco", "villa-nueva"];
    let entries: Vec<Entry> = servers.iter().zip(zones).map(|(server, zone)| Entry::of(server, zone)).collect();
    let discovery = Discovery::start(&case, entries.clone());
    let configuration = Configuration {
        listen: free_address(),
        discovery: discovery.address,
        areas: r#"["zona-4","mixco","villa-nueva"]"#,
        services: GUATE_SERVICES,
        known: discovery.whole(),
    };
    let file = case.write("config.json", &configuration.json());
    let sidecar = case.start("sidecar", "target/release/madderloom serve", &configuration.variables(&file));
    case.wait_ready(configuration.listen);

    // Four clients, some 20 submissions a second.
    let stop = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<u64>>> = Arc::default();
    let listen = configuration.listen;
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, failed, case) = (Arc::clone(&stop), Arc::clone(&failed), case.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = fresh_id();
                    let text = request("POST", "/submit-check", &id, 1_400, "", "a paper");
                    let status = ask(listen, &text, Duration::from_secs(4)).map_or(0, |(status, _)| status);
                    case.say(format!("client: {id} is answered {status}"));
                    if status != 200 && status != 503 {
                        lock(&failed).push(case.ms());
                    }
                    pause(40);
                }
            })
        })
        .collect();
    pause(4_000);

    if case.trouble() {
        case.say("discovery goes down, and is crowded when it is back");
        discovery.set_mood(Mood::Crowded(WAITS_MS));
        discovery.end_watches();
        let turned_away = case.until(45, || discovery.answered_503() == WAITS_MS.len());
        case.require(turned_away, "three calls were turned away");
        discovery.set_mood(Mood::Well);
        case.say("discovery answers each call at once from now on");
    } else {
        pause(12_000);
    }
    pause(200);
    let mut drained = entries[0].clone();
    drained.status = "terminating";
    let changed_at = case.ms();
    discovery.change(drained);
    let allowed_until = changed_at + TOLD_MS + GRACE_MS;
    pause(ENDED_AFTER_MS);
    ended.store(true, Ordering::SeqCst);
    let ended_at = case.ms();
    case.say("s-1 has drained and ends");
    pause(1_500);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    case.keep_log("sidecar");
    case.require(case.runs(sidecar), "the sidecar still runs");
    let after = |name: &str| lock(&runs).iter().filter(|(at, n)| *at > allowed_until && *n == name).count();
    let (late, others) = (after("s-1"), after("s-2"));
    let lost = lock(&failed).iter().filter(|at| (ended_at..ended_at + 1_000).contains(*at)).count();
    case.say(format!(
        "s-1 drains from {changed_at} ms on, allowed until {allowed_until} ms; after that s-1 got {late} requests, s-2 {others}; \
         {lost} submissions failed as s-1 ended at {ended_at} ms"
    ));
    case.require(others > 0, "the load went on");
    match late {
        0 => case.end(0, "nothing was sent to the draining server beyond its grace"),
        _ => case.end(
            1,
            &format!("{late} submissions were sent to the draining server beyond its grace, {lost} of them failed as it ended"),
        ),
    }
}

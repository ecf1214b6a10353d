//! Rechecks that are under way while a new configuration names one more zone.

mod kit;
use kit::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const BEFORE: &str = r#"["mixco","zona-4"]"#;
const AFTER: &str = r#"["mixco","villa-nueva","zona-4"]"#;
/// Keyed, and servers drop repeats within one zone.
const SERVICES: &str = r#"[
{"effect":"unsafe","give_up":1500000,"key_scope":"all","late_worth":0.0,"name":"submit-check","on_time":600000,"stream":false,"window":5000000,"worth":10.0},
{"effect":"keyed","give_up":2000000,"key_scope":"zone","late_worth":0.0,"name":"recheck","on_time":1500000,"stream":false,"window":4000000,"worth":30.0}]"#;
const RECHECKS: usize = 12;

fn main() {
    let case = Case::begin();
    // The zones that have run each key: the servers of a zone share what they have seen of keys.
    let zones_of_key: Arc<Mutex<BTreeMap<String, BTreeSet<&'static str>>>> = Arc::default();
    let lost_until = Arc::new(AtomicBool::new(false));
    let server = |name: &'static str, zone: &'static str| {
        let (zones_of_key, lost_until, case) = (Arc::clone(&zones_of_key), Arc::clone(&lost_until), case.clone());
        Server::start(name, move |message| {
            let key = message.header("idempotency-key").to_string();
            let is_new = lock(&zones_of_key).entry(key.clone()).or_default().insert(zone);
            case.say(format!("{name} in {zone} {} {key}", if is_new { "runs" } else { "drops the repeat of" }));
            if lost_until.load(Ordering::SeqCst) {
                return Reply::Served("similarity 12%".to_string());
            }
            // It has run; its answer is lost with the connection, a little after the moment of the disruption.
            while !lost_until.load(Ordering::SeqCst) {
                pause(5);
            }
            Reply::Break
        })
    };
    let servers =
        [(server("s-1", "mixco"), "mixco"), (server("s-2", "zona-4"), "zona-4"), (server("s-3", "villa-nueva"), "villa-nueva")];
    let entries: Vec<Entry> = servers.iter().map(|(server, zone)| Entry::of(server, zone)).collect();
    let discovery = Discovery::start(&case, entries);
    let mut configuration = Configuration {
        listen: free_address(),
        discovery: discovery.address,
        areas: BEFORE,
        services: SERVICES,
        known: discovery.whole(),
    };
    let file = case.write("config.json", &configuration.json());
    let sidecar = case.start("sidecar", "target/release/madderloom serve", &configuration.variables(&file));
    case.wait_ready(configuration.listen);
    pause(2_000);

    let listen = configuration.listen;
    let clients: Vec<_> = (0..RECHECKS)
        .map(|number| {
            let case = case.clone();
            std::thread::spawn(move || {
                let more = format!("Idempotency-Key: recheck-{number}\r\n");
                let text = request("POST", "/recheck", &fresh_id(), 1_900, &more, "once more");
                let status = ask(listen, &text, Duration::from_secs(5)).map_or(0, |(status, _)| status);
                case.say(format!("client: recheck-{number} is answered {status}"));
            })
        })
        .collect();
    pause(250);
    if case.trouble() {
        configuration.areas = AFTER;
        case.write("config.json", &configuration.json());
        case.say(format!("configuration: areas = {AFTER}"));
        case.signal(sidecar, "HUP");
        pause(300);
    } else {
        pause(310);
    }
    lost_until.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    case.keep_log("sidecar");
    case.require(case.runs(sidecar), "the sidecar still runs");
    let twice: Vec<String> = lock(&zones_of_key)
        .iter()
        .filter(|(_, zones)| zones.len() > 1)
        .map(|(key, zones)| format!("{key} in {zones:?}"))
        .collect();
    match twice.is_empty() {
        true => case.end(0, "no recheck has run in two zones"),
        false => case.end(1, &format!("rechecks ran in more than one zone: {}", twice.join(", "))),
    }
}

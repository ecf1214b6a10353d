//! An instance that shares its list with the fleet, after an outage of discovery in which the agent was killed too.

mod kit;
use kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Discovery turns all callers away, each after this time, and comes back some 3 s behind the last of so many calls.
const REFUSED_AFTER_MS: u64 = 900;
const REFUSED_CALLS: usize = 7;
/// How long the outage takes about, where there is none.
const OUTAGE_MS: u64 = 17_000;
/// A change counts as told so long after discovery had it and could be reached, and 50 ms more.
const TOLD_MS: u64 = 6_000 + 50;
/// `safety.drain_grace`, and the slack of the protocol page.
const GRACE_MS: u64 = 3_000 + 50;

fn main() {
    let case = Case::begin();
    let runs: Arc<Mutex<Vec<(u64, &'static str)>>> = Arc::default();
    let server = |name: &'static str| {
        let (runs, case) = (Arc::clone(&runs), case.clone());
        Server::start(name, move |message| {
            lock(&runs).push((case.ms_of(message), name));
            Reply::Served(name.to_string())
        })
    };
    let servers = [server("s-1"), server("s-2"), server("s-3")];
    let entries: Vec<Entry> = servers.iter().map(|server| Entry::of(server, "zona-4")).collect();
    let discovery = Discovery::start(&case, entries.clone());
    let (agent, front, admin) = (free_address(), free_address(), free_address());

    let program = std::env::current_dir().expect("the root").join("target/release/madderloom");
    let program = program.display().to_string();
    let folder = case.folder().display().to_string();
    for words in ["keys init", "keys issue agent --role agent --host 127.0.0.1", "keys issue shop-1 --role instance"] {
        let (status, text) = case.run(&format!("/bin/sh -c 'cd {folder} && exec {program} {words}'"), &[]);
        case.require(status == 0, &format!("madderloom {words}: {text}"));
    }
    let agent_file = case.write(
        "agent.toml",
        &format!(
            "version = 1\nlisten = \"{agent}\"\nstate = \"agent-state\"\naudit = \"audit.log\"\n\n[keys]\n\
             authority = \"keys/authority.pem\"\ncertificate = \"agent.pem\"\nkey = \"agent.key\"\n",
        ),
    );
    let known: Vec<String> = servers
        .iter()
        .map(|server| format!("{{ name = \"{}\", address = \"{}\", zone = \"zona-4\" }}", server.name, server.address))
        .collect();
    let shop = case.write(
        "shop-1.toml",
        &format!(
            r#"version = 1
[process]
name = "shop-1"
[admin]
listen = "{admin}"
[control]
agent = "{agent}"
zone = "north"
state = "shop-1-state"
share_lists = "eu"
[control.keys]
authority = "keys/authority.pem"
certificate = "shop-1.pem"
key = "shop-1.key"
[[listeners]]
name = "front"
address = "{front}"
[[pools]]
name = "reports"
discovery = "{}"
servers = [{}]
[pools.settings]
group_size = 4
my_zone = 0
period = 5000
discovery = "subscribe"
areas = ["zona-4", "mixco", "villa-nueva"]
services = [{{ name = "view", effect = "safe", on_time = 400_000, give_up = 1_200_000, worth = 1 }}]
limits = {{ cancel = true, max_attempts = 3, retry_after = true, max_retry_after = 2_000_000 }}
safety = {{ ask_within = 10_000_000, drain_grace = 3_000_000, cold = 8_400_000, cold_from = 0.31, fall = 2_000_000 }}
[[routes]]
name = "reports"
pool = "reports"
"#,
            discovery.address,
            known.join(", "),
        ),
    );
    let agent_process =
        case.start("agent", &format!("target/release/madderloom agent --config {}", agent_file.display()), &[]);
    let instance =
        case.start("instance", &format!("target/release/madderloom serve --operator {}", shop.display()), &[]);
    case.wait_ready(front);

    // A light load: a request each 50 ms.
    let stop = Arc::new(AtomicBool::new(false));
    let (ended, client) = (Arc::clone(&stop), case.clone());
    let load = std::thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let text = request("GET", "/view", &fresh_id(), 1_100, "", "");
            if ask(front, &text, Duration::from_secs(3)).is_none_or(|(status, _)| status != 200) {
                client.say("client: a request was not served");
            }
            pause(50);
        }
    });
    pause(6_000);

    // `outage` and `agent` leave the other one of the two disruptions out; they show that it takes both.
    let only = std::env::var("TROUBLE").unwrap_or_default();
    if case.trouble() && only != "agent" {
        case.say("discovery turns its callers away");
        discovery.set_mood(Mood::Crowded(&[REFUSED_AFTER_MS]));
        discovery.end_watches();
    }
    if case.trouble() && only != "agent" {
        let turned_away = case.until(30, || discovery.answered_503() == REFUSED_CALLS);
        case.require(turned_away, "so many calls were turned away");
        // Between one call and the next, which the agent has the instance make every 3 s.
        pause(1_000);
    } else {
        pause(OUTAGE_MS);
    }
    case.say(format!("{} calls were turned away", discovery.rejected()));
    if case.trouble() && only != "outage" {
        case.signal(agent_process, "KILL");
    }
    pause(2_000);
    case.say("discovery answers again");
    discovery.set_mood(Mood::Well);
    let mut drained = entries[0].clone();
    drained.status = "terminating";
    let changed_at = case.ms();
    discovery.change(drained);
    let told_at = changed_at + TOLD_MS;
    let allowed_until = told_at + GRACE_MS;
    pause(30_000);
    stop.store(true, Ordering::Relaxed);
    let _ = load.join();

    case.keep_log("instance");
    case.require(case.runs(instance), "the instance still runs");
    let after = |from: u64, name: &str| lock(&runs).iter().filter(|(at, n)| *at > from && *n == name).count();
    let (late, others) = (after(allowed_until, "s-1"), after(allowed_until, "s-2"));
    case.say(format!(
        "s-1 drains from {changed_at} ms on, told at {told_at} ms, allowed until {allowed_until} ms; after that s-1 got \
         {late} requests, s-2 {others}"
    ));
    let last = lock(&runs).iter().filter(|(_, name)| *name == "s-1").map(|(at, _)| *at).max();
    case.require(others > 0, "the load went on");
    match late {
        0 => case.end(0, "nothing was sent to the draining server beyond its grace"),
        _ => case.end(
            1,
            &format!(
                "{late} requests were sent to the draining server later than {GRACE_MS} ms after it was told, the last {} ms after",
                last.unwrap_or(0).saturating_sub(told_at)
            ),
        ),
    }
}

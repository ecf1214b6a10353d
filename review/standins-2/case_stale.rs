//! An instance that begins to share its list while another one that shares it is cut off from discovery.

mod kit;
use kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long one instance is cut off from discovery.
const CUT_MS: u64 = 6_000;
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
    let agent = free_address();
    let link = Link::to(discovery.address);

    let program = std::env::current_dir().expect("the root").join("target/release/madderloom");
    let program = program.display().to_string();
    let folder = case.folder().display().to_string();
    for words in ["keys init", "keys issue agent --role agent --host 127.0.0.1", "keys issue \"shop-*\" --role instance"] {
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
    let fronts = [free_address(), free_address()];
    let admins = [free_address(), free_address()];
    let shop = |number: usize, shares: bool| {
        let (front, admin) = (fronts[number], admins[number]);
        let follows = if number == 0 { discovery.address } else { link.address };
        let share = if shares { "share_lists = \"eu\"\n" } else { "" };
        case.write(
            &format!("shop-{number}.toml"),
            &format!(
                r#"version = 1
[process]
name = "shop-{number}"
[admin]
listen = "{admin}"
[control]
agent = "{agent}"
zone = "north"
state = "shop-{number}-state"
{share}
[control.keys]
authority = "keys/authority.pem"
certificate = "shop-any.pem"
key = "shop-any.key"
[[listeners]]
name = "front"
address = "{front}"
[[pools]]
name = "reports"
discovery = "{follows}"
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
                known.join(", "),
            ),
        )
    };
    case.start("agent", &format!("target/release/madderloom agent --config {}", agent_file.display()), &[]);
    let start = |number: usize, shares: bool| {
        let file = shop(number, shares);
        let name = format!("shop-{number}");
        case.start(&name, &format!("target/release/madderloom serve --operator {}", file.display()), &[])
    };
    let other = start(1, true);
    let instance = start(0, false);
    fronts.iter().for_each(|front| case.wait_ready(*front));
    let front = fronts[0];

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

    let cut_at = case.ms();
    if case.trouble() {
        case.say("shop-1 is cut off from discovery");
        case.require(link.cut(), "new connections do not come up");
    }
    pause(500);
    let mut drained = entries[0].clone();
    drained.status = "terminating";
    discovery.change(drained);
    // The watch of shop-0 is open: discovery has written the change to it by now.
    pause(300);
    let told_at = case.ms();
    pause(200);
    shop(0, true);
    case.say("the operator's file of shop-0 shares the list");
    case.signal(instance, "HUP");
    pause((cut_at + CUT_MS).saturating_sub(case.ms()));
    link.heal();
    case.say("shop-1 reaches discovery again");
    pause(8_000);
    stop.store(true, Ordering::Relaxed);
    let _ = load.join();

    case.keep_log("shop-0");
    case.keep_log("shop-1");
    case.require(case.runs(instance) && case.runs(other), "the instances still run");
    let after = |from: u64, name: &str| lock(&runs).iter().filter(|(at, n)| *at > from && *n == name).count();
    let allowed_until = told_at + GRACE_MS;
    let (late, others) = (after(allowed_until, "s-1"), after(allowed_until, "s-2"));
    case.say(format!(
        "s-1 drains, told before {told_at} ms, allowed until {allowed_until} ms; after that s-1 got \
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

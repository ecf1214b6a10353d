//! A change file that is pushed a second time, after other changes.

mod kit;
use kit::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Changes between the two pushes of the one file.
const OTHERS: usize = 64;

fn main() {
    let case = Case::begin();
    let runs: Arc<Mutex<BTreeMap<&'static str, u32>>> = Arc::default();
    let server = |name: &'static str| {
        let runs = Arc::clone(&runs);
        Server::start(name, move |_| {
            *lock(&runs).entry(name).or_default() += 1;
            Reply::Served(name.to_string())
        })
    };
    let servers = [server("r-one"), server("r-two")];
    let (agent, front, admin) = (free_address(), free_address(), free_address());

    let program = std::env::current_dir().expect("the root").join("target/release/madderloom");
    let program = program.display().to_string();
    let folder = case.folder().display().to_string();
    let variables = [
        ("MADDERLOOM_AGENT", agent.to_string()),
        ("MADDERLOOM_AS", "alice".to_string()),
        ("MADDERLOOM_KEYS", folder.clone()),
    ];
    let command = |words: &str| {
        let (status, text) = case.run(&format!("/bin/sh -c 'cd {folder} && exec {program} {words}'"), &variables);
        case.say(format!("madderloom {words}: exit {status}: {}", text.trim().replace('\n', " | ")));
        (status, text)
    };
    for words in [
        "keys init",
        "keys issue agent --role agent --host 127.0.0.1",
        "keys issue alice --role operate",
        "keys issue shop-any --role instance",
    ] {
        command(words);
    }
    let _ = std::fs::copy(format!("{folder}/keys/authority.pem"), format!("{folder}/authority.pem"));
    for name in ["authority.pem", "agent.pem", "agent.key", "shop-any.pem", "shop-any.key"] {
        let is_there = std::path::Path::new(&format!("{folder}/{name}")).exists();
        case.require(is_there, &format!("{name} was issued"));
    }
    let agent_file = case.write(
        "agent.toml",
        &format!(
            "version = 1\nlisten = \"{agent}\"\nstate = \"agent-state\"\naudit = \"audit.log\"\n\n[keys]\n\
             authority = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n",
            "authority.pem",
            "agent.pem",
            "agent.key",
        ),
    );
    let shop = case.write(
        "shop-1.toml",
        &format!(
            r#"version = 1
[process]
name = "shop-any"
[admin]
listen = "{admin}"
[control]
agent = "{agent}"
zone = "north"
state = "shop-1-state"
[control.keys]
authority = "{}"
certificate = "{}"
key = "{}"
[[listeners]]
name = "front"
address = "{front}"
[[pools]]
name = "reports"
servers = [
  {{ name = "r-one", address = "{}" }},
  {{ name = "r-two", address = "{}" }},
]
[pools.settings]
group_size = 4
my_zone = 0
period = 5000
discovery = "automatic"
services = [{{ name = "view", effect = "safe", on_time = 400_000, give_up = 1_200_000, worth = 1 }}]
limits = {{ cancel = true, max_attempts = 3, retry_after = true, max_retry_after = 2_000_000 }}
safety = {{ cold = 8_400_000, cold_from = 0.31, fall = 2_000_000 }}
[[routes]]
name = "reports"
pool = "reports"
"#,
            "authority.pem",
            "shop-any.pem",
            "shop-any.key",
            servers[0].address,
            servers[1].address,
        ),
    );
    let agent_process =
        case.start("agent", &format!("target/release/madderloom agent --config {}", agent_file.display()), &[]);
    let instance =
        case.start("instance", &format!("target/release/madderloom serve --operator {}", shop.display()), &[]);
    case.wait_ready(front);
    let alive = case.until(20, || {
        pause(300);
        command("instances").1.contains("alive")
    });
    case.require(alive, "the instance is at the agent");

    // Of 40 requests of clients, those that the servers ran.
    let load = |when: &str| {
        lock(&runs).clear();
        for _ in 0..40 {
            let text = request("GET", "/view", &fresh_id(), 1_100, "", "");
            ask(front, &text, Duration::from_secs(3));
        }
        let counts = lock(&runs).clone();
        case.say(format!("{when}: of 40 requests the servers ran {counts:?}"));
        counts
    };
    let change = |id: &str, set: &str| {
        let text = format!("version = 1\nid = \"{id}\"\n[rollout]\npause = \"0s\"\ngate = false\n[set]\n{set}\n");
        case.write(&format!("{id}.toml"), &text);
    };
    let gets = |counts: &BTreeMap<&'static str, u32>, name: &str| counts.get(name).copied().unwrap_or(0);

    change("night-1", "\"drain/r-one\" = true");
    let (status, _) = command("push night-1.toml");
    case.require(status == 0, "the plan was applied");
    case.require(gets(&load("the plan is applied"), "r-one") == 0, "r-one is drained");
    change("morning-1", "\"drain/r-one\" = \"file\"");
    let (status, _) = command("push morning-1.toml");
    case.require(status == 0, "the drain was lifted");
    case.require(gets(&load("the drain is lifted"), "r-one") > 0, "r-one gets work");

    // Applied again at once the plan changes nothing.
    let (status, text) = command("push night-1.toml");
    case.require(status == 0, "the plan is known");
    case.say(format!("applied again at once: {}", text.trim()));
    case.require(gets(&load("the plan is applied again at once"), "r-one") > 0, "r-one still gets work");

    for number in 0..OTHERS {
        let id = format!("tuning-{number}");
        change(&id, &format!("\"limit/reports/open\" = {}", 200 + number));
        let (status, _) = command(&format!("push {id}.toml"));
        case.require(status == 0, "a change of the day was applied");
    }
    case.require(gets(&load("after the changes of the day"), "r-one") > 0, "r-one still gets work");

    if case.trouble() {
        let (status, text) = command("push night-1.toml");
        case.say(format!("the plan, applied again: exit {status}: {}", text.trim()));
    }
    pause(1_000);
    let counts = load("at the end");
    command("history");
    case.keep_log("instance");
    let run = case.runs(agent_process) && case.runs(instance);
    case.require(run, "the agent and the instance still run");
    match gets(&counts, "r-one") {
        0 => case.end(1, "the second apply of one plan drained r-one again: it gets no work"),
        _ => case.end(0, "the second apply changed nothing"),
    }
}

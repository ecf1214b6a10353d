//! What a change sets on a sidecar that serves: each kind takes effect, stays over a new file and a new start, and
//! goes with the section that names the agent.

use crate::rig::{PAUSE, Rig, judge};
use madderloom_fault_testing::{LoadGenerator, Signal, wait_until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const AT_ONCE: &str = "waves = []\npause = \"0\"\nsilence = \"5s\"\nthen = \"stop\"";

/// Has the file of an instance read again, and gives what the log says of it.
fn reread(rig: &Rig, text: &str) -> String {
    let instance = &rig.instances[0];
    let next = instance.file.with_extension("next");
    std::fs::write(&next, text).expect("written");
    std::fs::rename(&next, &instance.file).expect("replaced");
    let program = instance.program();
    let told = || {
        program
            .log()
            .into_iter()
            .filter(|line| line.contains("read again"))
            .collect::<Vec<_>>()
    };
    let before = told().len();
    program.signal(Signal::HUP);
    wait_until("it is read", || told().get(before).cloned())
}

fn pushed(rig: &Rig, id: &str, set: &str) {
    let done = rig.push(id, AT_ONCE, set);
    assert!(
        done.status.success(),
        "{}",
        String::from_utf8_lossy(&done.stderr)
    );
    let results = rig.ended(id);
    assert!(
        results.values().all(|result| result["state"] == "applied"),
        "{results:?}"
    );
}

#[test]
fn a_drained_server_gets_nothing_new_and_no_request_is_lost_by_it() {
    let mut rig = Rig::new();
    rig.fleet(2);
    let load = LoadGenerator::start(&[rig.instances[0].front, rig.instances[1].front], PAUSE);
    let seen = |server: usize| rig.servers[server].request_counts().len();
    wait_until("all are asked", || {
        (0..3).all(|server| seen(server) > 5).then_some(())
    });
    rig.told("alice", &["drain", "w1"], 0);
    // What was on the way when the last one took it arrives.
    std::thread::sleep(Duration::from_millis(500));
    let (drained, other) = (seen(1), seen(0));
    wait_until("the others are asked", || {
        (seen(0) > other + 50).then_some(())
    });
    assert_eq!(seen(1), drained, "a drained server was asked");
    pushed(&rig, "none", "\"weight/w2\" = 0");
    std::thread::sleep(Duration::from_millis(500));
    let (unwanted, other) = (seen(2), seen(0));
    wait_until("the last one is asked", || {
        (seen(0) > other + 50).then_some(())
    });
    assert_eq!(seen(2), unwanted, "a server of no weight was asked");
    rig.told("alice", &["drain", "w1", "--lift"], 0);
    wait_until("it is asked again", || (seen(1) > drained).then_some(()));
    judge(&rig, &load.stop());
}

#[test]
fn limits_and_routes_stay_over_a_new_file_and_a_file_that_clashes_with_them_changes_nothing() {
    let mut rig = Rig::new();
    rig.fleet(1);
    let status = || rig.instances[0].status().expect("it is up");
    let most = || status()["pools"][0]["limits"]["open"]["most"].as_u64();
    let routes = || status()["routes"].as_u64();
    let extra =
        "\"limit/shop/open\" = 77\n\"route/extra\" = '''\nhost = \"extra\"\npool = \"shop\"\n'''";
    pushed(&rig, "both", extra);
    assert_eq!((most(), routes()), (Some(77), Some(2)));
    let told = reread(
        &rig,
        &rig.file(
            0,
            "[[routes]]\nname = \"more\"\nhost = \"more\"\npool = \"shop\"\n",
        ),
    );
    assert!(told.starts_with("operator file read again"), "{told}");
    assert_eq!((most(), routes()), (Some(77), Some(3)));
    // Alone it makes sense, but not with what is set beside it.
    let told = reread(
        &rig,
        &rig.file(
            0,
            "[[routes]]\nname = \"same\"\nhost = \"extra\"\npool = \"shop\"\n",
        ),
    );
    assert!(
        told.contains("not read again") && told.contains("beside it is set: set"),
        "{told}"
    );
    assert_eq!((most(), routes()), (Some(77), Some(3)));
    rig.until_alive(1);
    pushed(
        &rig,
        "back",
        "\"limit/shop/open\" = \"file\"\n\"route/extra\" = \"file\"",
    );
    assert_eq!(
        (most().map(|most| most > 77), routes()),
        (Some(true), Some(2))
    );
}

#[test]
fn what_is_set_holds_from_the_next_start_without_an_agent_and_goes_with_its_section() {
    let mut rig = Rig::new();
    rig.fleet(1);
    pushed(
        &rig,
        "all",
        "\"weight/w1\" = 2.5\n\"drain/w2\" = true\n\"limit/shop/open\" = 77",
    );
    rig.kill_agent();
    rig.instances[0].program = None;
    rig.instances = vec![rig.launch(0, "")];
    let instance = &rig.instances[0];
    let seen = || {
        let status = instance.status().expect("it is up");
        let most = status["pools"][0]["limits"]["open"]["most"].as_u64();
        (
            instance.server("w1"),
            instance.server("w2"),
            most == Some(77),
            status["control"].is_null(),
        )
    };
    let (ready, draining) = ("ready".to_string(), "draining".to_string());
    let set = (
        Some((ready.clone(), 2.5)),
        Some((draining, 1.0)),
        true,
        false,
    );
    assert_eq!(seen(), set);
    // No agent is there, and the instance serves.
    let load = LoadGenerator::start(&[instance.front], PAUSE);
    let text = rig.file(0, "");
    let from = text.find("[control]").expect("the section");
    let to = text.find("[[listeners]]").expect("the next one");
    let told = reread(&rig, &format!("{}{}", &text[..from], &text[to..]));
    assert!(told.starts_with("operator file read again"), "{told}");
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(
        seen(),
        (Some((ready.clone(), 1.0)), Some((ready, 1.0)), false, true)
    );
    judge(&rig, &load.stop());
}

#[test]
fn the_log_has_what_its_level_says_and_goes_back_to_that_of_the_command_line() {
    let mut rig = Rig::new();
    rig.fleet(1);
    let program = rig.instances[0].program();
    let count = |text: &str| {
        program
            .log()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    };
    let told = "operator file read again";
    pushed(&rig, "quiet", "log_level = \"error\"");
    // Read, and counted by the admin view.
    let files = || {
        rig.instances[0]
            .status()
            .and_then(|status| status["files_read"].as_u64())
    };
    let before = files();
    program.signal(Signal::HUP);
    wait_until("it is read", || (files() > before).then_some(()));
    assert_eq!(count(told), 0);
    pushed(&rig, "loud", "log_level = \"file\"");
    program.signal(Signal::HUP);
    wait_until("it is told", || (count(told) == 1).then_some(()));
}

#[test]
fn a_change_that_hurts_shows_in_the_instances_own_figures_and_is_taken_back() {
    let mut rig = Rig::new();
    rig.fleet(4);
    let load = LoadGenerator::start(
        &rig.instances
            .iter()
            .map(|instance| instance.front)
            .collect::<Vec<_>>(),
        PAUSE,
    );
    let enough = |instance: &serde_json::Value| {
        instance["counts"]["ended"]
            .as_u64()
            .is_some_and(|ended| ended > 100)
    };
    wait_until("all have figures", || {
        rig.listed().iter().all(enough).then_some(())
    });
    let text = "version = 1\nid = \"hurts\"\n[rollout]\nwaves = [1]\npause = \"3s\"\nthen = \"take-back\"\n\
        [rollout.gate]\nworse = \"1%\"\nevidence = 50\npatience = \"20s\"\n[set]\n\"limit/shop/requests_per_second\" = 5\n";
    std::fs::write(rig.at("hurts.toml"), text).expect("written");
    assert_eq!(
        rig.run("alice", &["push", "hurts.toml", "--no-wait"])
            .status
            .code(),
        Some(0)
    );
    let results = rig.ended("hurts");
    let applied = results
        .values()
        .filter(|result| result["state"] == "applied")
        .count();
    let why = rig.rollout("hurts").expect("it is remembered")["why"].to_string();
    assert!(applied == 1 && why.contains("bad"), "{why}: {results:?}");
    rig.until_alive(4);
    for instance in &rig.instances {
        assert_eq!(
            instance.set().map(|set| set.len()),
            Some(0),
            "{}",
            instance.name
        );
    }
    let got = load.stop();
    let odd: Vec<_> = got
        .iter()
        .filter(|got| ![Some(200), Some(503)].contains(&got.status))
        .collect();
    assert!(
        odd.is_empty() && got.iter().any(|got| got.status == Some(503)),
        "{odd:?}"
    );
}

#[test]
fn an_answer_that_comes_too_late_ended_badly() {
    let mut rig = Rig::new();
    // Nothing is answered within a microsecond.
    let text = rig
        .file(0, "")
        .replace("on_time = 2_000_000", "on_time = 1");
    rig.instances = vec![rig.launch_as("shop-0", &text)];
    rig.until_alive(1);
    let load = LoadGenerator::start(&[rig.instances[0].front], PAUSE);
    let counts = wait_until("it has figures", || {
        let counts = rig.listed().first()?["counts"].clone();
        (counts["ended"].as_u64()? > 50).then_some(counts)
    });
    assert_eq!(counts["bad"], counts["ended"]);
    load.stop();
}

/// A discovery whose watchers are told what the test says, and that it is there.
fn discovery(line: Arc<Mutex<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let line = Arc::clone(&line);
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let mut told = String::new();
                let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                while sent.is_ok() {
                    let now = line.lock().expect("no panic").clone();
                    let text = if now == told { "" } else { &now };
                    sent = stream.write_all(format!("{text}\n").as_bytes());
                    told = now;
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    address
}

#[test]
fn what_is_set_of_a_server_holds_over_every_list_that_names_it() {
    let mut rig = Rig::new();
    let listing = |index: u64, weight: f64, servers: &[usize]| {
        let one = |server: &usize| {
            let server = &rig.servers[*server];
            serde_json::json!({"name": server.name, "address": server.address, "zone": "", "type": "", "group": 0,
                "status": "in_service", "weight": weight, "since_ms": 0})
        };
        let endpoints: Vec<_> = servers.iter().map(one).collect();
        serde_json::json!({"index": index, "snapshot": true, "endpoints": endpoints}).to_string()
    };
    let lists = [
        listing(1, 1.0, &[0, 1]),
        listing(2, 3.0, &[0, 1]),
        listing(3, 3.0, &[0, 1, 2]),
    ];
    let line = Arc::new(Mutex::new(lists[0].clone()));
    let address = discovery(Arc::clone(&line));
    let text = rig.file(0, "").replace(
        "servers = [",
        &format!("discovery = \"{address}\"\nservers = ["),
    );
    let begin = text.find("servers = [").expect("servers");
    let end = begin + text[begin..].find("]\n").expect("their end");
    rig.instances = vec![rig.launch_as(
        "shop-0",
        &format!("{}servers = [{}", &text[..begin], &text[end..]),
    )];
    rig.until_alive(1);
    let instance = &rig.instances[0];
    let is = |server: &str, state: &str, capacity: f64| {
        wait_until(&format!("{server} is {state} with {capacity}"), || {
            (instance.server(server)? == (state.to_string(), capacity)).then_some(())
        });
    };
    // Also of one that no list has named yet.
    pushed(
        &rig,
        "set",
        "\"drain/w0\" = true\n\"weight/w1\" = 0.5\n\"weight/w2\" = 2",
    );
    is("w0", "draining", 1.0);
    is("w1", "ready", 0.5);
    line.lock().expect("no panic").clone_from(&lists[1]);
    is("w1", "ready", 1.5);
    is("w0", "draining", 3.0);
    line.lock().expect("no panic").clone_from(&lists[2]);
    is("w2", "ready", 6.0);
    pushed(
        &rig,
        "back",
        "\"drain/w0\" = \"file\"\n\"weight/w1\" = \"file\"\n\"weight/w2\" = \"file\"",
    );
    for server in ["w0", "w1", "w2"] {
        is(server, "ready", 3.0);
    }
}

//! What goes wrong between real sidecars and a real agent: the network, keys, disks and clocks.

use crate::rig::{ENOUGH_REQUESTS, Instance, PAUSE, Rig, judge};
use madderloom_fault_testing::{Direction, LoadGenerator, wait_until};
use madderloom_pki::{Authority, CertificateRequest, KeyFiles, Keyring, Role};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use time::OffsetDateTime;

const AT_ONCE: &str =
    "waves = []\npause = \"0\"\nsilence = \"2s\"\nfailures = 100\nthen = \"stop\"";

/// The presence of an instance, as the agent lists it.
fn presence(rig: &Rig, name: &str) -> Option<String> {
    let listed = rig
        .listed()
        .into_iter()
        .find(|instance| instance["name"] == name)?;
    listed["presence"].as_str().map(str::to_string)
}

fn weight(instance: &Instance, server: &str) -> Option<f64> {
    instance.server(server).map(|(_, capacity)| capacity)
}

/// Whether an instance serves a request.
fn serves(rig: &Rig, instance: &Instance) {
    let load = LoadGenerator::start(&[instance.front], PAUSE);
    std::thread::sleep(Duration::from_millis(1_500));
    // A machine that is busy with others makes fewer requests in that time.
    wait_until("enough requests are made", || {
        (load.results().len() >= ENOUGH_REQUESTS).then_some(())
    });
    judge(rig, &load.stop());
}

#[test]
fn a_zone_cut_off_in_one_direction_fails_serves_on_and_comes_in_line_when_it_is_back() {
    let mut rig = Rig::new();
    rig.fleet(4);
    let load = LoadGenerator::start(
        &rig.instances
            .iter()
            .map(|instance| instance.front)
            .collect::<Vec<_>>(),
        PAUSE,
    );
    for (round, lost) in [(1, Direction::ToServer), (2, Direction::ToClient)] {
        let north = &rig.roads["north"];
        north.cut(lost);
        let (id, set) = (format!("cut-{round}"), format!("\"weight/w1\" = {round}.5"));
        assert!(rig.push(&id, AT_ONCE, &set).status.success());
        let results = rig.ended(&id);
        for (name, result) in &results {
            let north = ["shop-0", "shop-2"].contains(&name.as_str());
            assert_eq!(
                result["state"],
                if north { "failed" } else { "applied" },
                "{lost:?}: {results:?}"
            );
            let reason = result["reason"].as_str().unwrap_or_default();
            assert!(!north || reason.contains("unreachable"), "{results:?}");
        }
        assert_eq!(
            weight(&rig.instances[1], "w1"),
            Some(f64::from(round) + 0.5)
        );
        north.heal();
        rig.until_alive(4);
        assert_eq!(
            weight(&rig.instances[0], "w1"),
            Some(f64::from(round) + 0.5),
            "{lost:?}"
        );
    }
    judge(&rig, &load.stop());
}

#[test]
fn a_certificate_that_expires_in_the_middle_costs_changes_alone_until_there_is_a_new_one() {
    let mut rig = Rig::new();
    // One that has eight seconds to go.
    let mut authority = Authority::open(&rig.at("keys")).expect("an authority");
    let almost = OffsetDateTime::now_utc() - time::Duration::days(1) + time::Duration::seconds(8);
    let request = CertificateRequest {
        name: "late-*",
        role: Role::Instance,
        hosts: &[],
        days: 1,
    };
    authority
        .issue(request, rig.directory.path(), almost)
        .expect("a certificate");
    drop(authority);
    let text = rig
        .file(1, "")
        .replace("\"shop-1\"", "\"late-1\"")
        .replace("shop-any", "late-any");
    let late = rig.launch_as("late-1", &text);
    rig.instances = vec![rig.launch(0, ""), late];
    rig.until_alive(2);
    let agent = rig.agent.as_ref().expect("it is up");
    agent.wait_for("the certificate has expired");
    wait_until("it is missed", || {
        (presence(&rig, "late-1")? == "gone").then_some(())
    });
    assert!(
        rig.push("meanwhile", AT_ONCE, "\"weight/w1\" = 2.5")
            .status
            .success()
    );
    rig.ended("meanwhile");
    assert_eq!(weight(&rig.instances[0], "w1"), Some(2.5));
    assert_eq!(
        weight(&rig.instances[1], "w1"),
        Some(1.0),
        "changed under a certificate that has expired"
    );
    serves(&rig, &rig.instances[1]);
    let renewed =
        crate::rig::madderloom(rig.directory.path(), &["keys", "rotate", "late-*"]).output();
    assert!(renewed.expect("it runs").status.success());
    rig.instances[1]
        .program()
        .wait_for("control: the keys were read again");
    rig.until_alive(2);
    assert_eq!(weight(&rig.instances[1], "w1"), Some(2.5));
}

#[test]
fn a_wrong_role_a_foreign_and_a_revoked_certificate_are_refused_logged_and_change_nothing() {
    let mut rig = Rig::new();
    let at = rig.directory.path().to_path_buf();
    let keys = |arguments: &[&str]| {
        let done = crate::rig::madderloom(&at, &[&["keys"], arguments].concat())
            .output()
            .expect("it runs");
        assert!(
            done.status.success(),
            "{arguments:?}: {}",
            String::from_utf8_lossy(&done.stderr)
        );
    };
    keys(&["--dir", "foreign", "init"]);
    std::fs::create_dir(rig.at("abroad")).expect("made");
    for (name, role) in [("shop-*", "instance"), ("alice", "operate")] {
        keys(&[
            "--dir", "foreign", "issue", name, "--role", role, "--out", "abroad",
        ]);
    }
    std::fs::copy(rig.at("authority.pem"), rig.at("abroad/authority.pem")).expect("copied");
    keys(&["issue", "gone-*", "--role", "instance"]);
    keys(&["issue", "mallory", "--role", "operate"]);
    let file = |name: &str, key: &str| {
        let text = rig
            .file(1, "")
            .replace("\"shop-1\"", &format!("\"{name}\""));
        text.replace("shop-any", key)
            .replace("kept-1", &format!("kept-{name}"))
    };
    let wrong = rig.launch_as("wrong-1", &file("wrong-1", "vic"));
    let stray = rig.launch_as("stray-1", &file("stray-1", "shop-any"));
    let foreign = rig.launch_as("shop-9", &file("shop-9", "abroad/shop-any"));
    let revoked = rig.launch_as("gone-1", &file("gone-1", "gone-any"));
    rig.instances = vec![rig.launch(0, ""), wrong, stray, foreign, revoked];
    rig.until_alive(2);
    let agent = rig.agent.as_ref().expect("it is up");
    agent.wait_for("name=vic role=view ");
    agent.wait_for("operation=be the instance stray-1");
    agent.wait_for(
        "error=the other side's certificate is refused: the certificate comes from another",
    );
    rig.instances[1]
        .program()
        .wait_for("is not for an instance; the agent will turn it away");
    keys(&["revoke", "gone-*"]);
    keys(&["revoke", "mallory"]);
    agent.wait_for("error=the certificate was revoked");
    let names: Vec<_> = rig
        .listed()
        .iter()
        .map(|instance| instance["name"].to_string())
        .collect();
    assert_eq!(names, ["\"gone-1\"", "\"shop-0\""]);

    // Operators with such certificates change nothing, and are told why.
    let push = "version = 1\nid = \"theirs\"\n[rollout]\ngate = false\n[set]\n\"weight/w1\" = 9\n";
    std::fs::write(rig.at("theirs.toml"), push).expect("written");
    let told = rig.told("mallory", &["push", "theirs.toml"], 1);
    assert!(told.contains("the certificate was revoked"), "{told}");
    let told = rig.told("alice", &["push", "theirs.toml", "--keys", "abroad"], 1);
    assert!(told.contains("comes from another authority"), "{told}");
    let told = rig.told("vic", &["push", "theirs.toml"], 1);
    assert!(told.contains("may not change the fleet"), "{told}");
    let audit = std::fs::read_to_string(rig.at("audit.log")).expect("an audit log");
    assert!(
        audit.contains("refused: wrong role") && audit.contains("vic"),
        "{audit}"
    );
    assert!(rig.rollout("theirs").is_none());

    assert!(
        rig.push("ours", AT_ONCE, "\"weight/w1\" = 2.5")
            .status
            .success()
    );
    rig.ended("ours");
    let weights: Vec<_> = rig
        .instances
        .iter()
        .map(|instance| weight(instance, "w1"))
        .collect();
    assert_eq!(weights, [2.5, 1.0, 1.0, 1.0, 1.0].map(Some));
    for turned_away in &rig.instances[1..] {
        serves(&rig, turned_away);
    }
}

#[test]
fn while_the_disk_is_full_nothing_is_accepted_and_nothing_changes() {
    let mut rig = Rig::new();
    rig.kill_agent();
    // No file may grow beyond 32 KiB, which is what a full disk looks like.
    let mut limited = Command::new("/bin/sh");
    let script = format!(
        "trap '' 25; ulimit -f 64; exec {} agent --config agent.toml",
        env!("CARGO_BIN_EXE_madderloom")
    );
    limited
        .current_dir(rig.directory.path())
        .args(["-c", &script]);
    rig.start_agent_by(limited);
    rig.fleet(3);
    let note = format!("note = \"{}\"", "x".repeat(900));
    let (mut number, mut accepted) = (0, 0);
    let told = loop {
        number += 1;
        let rollout = format!("{AT_ONCE}\n[select]\nnames = [\"shop-*\"]");
        let text = format!(
            "version = 1\nid = \"n{number}\"\n{note}\n[rollout]\ngate = false\n{rollout}\n[set]\n\"weight/w1\" = 1.{number:03}\n"
        );
        std::fs::write(rig.at("n.toml"), text).expect("written");
        let done = rig.run("alice", &["push", "n.toml"]);
        if !done.status.success() {
            break String::from_utf8_lossy(&done.stderr).into_owned();
        }
        accepted = number;
        assert!(number < 500, "it never gets full");
    };
    assert!(
        told.contains("too large") || told.contains("can't"),
        "{told}"
    );
    let before = 1.0 + f64::from(accepted) / 1e3;
    for instance in &rig.instances {
        assert_eq!(weight(instance, "w1"), Some(before));
        serves(&rig, instance);
    }
    rig.kill_agent();
    rig.start_agent();
    rig.until_alive(3);
    // Not heard of, or in doubt: the same push tells, and all have the same.
    rig.told("alice", &["push", "n.toml"], 0);
    for instance in &rig.instances {
        assert_eq!(weight(instance, "w1"), Some(1.0 + f64::from(number) / 1e3));
    }
}

#[test]
fn an_instance_whose_clock_was_set_back_wins_its_name_back() {
    let mut rig = Rig::new();
    // The clock was a year ahead when it last started.
    let ahead = (OffsetDateTime::now_utc().unix_timestamp() + 365 * 86_400) * 1_000_000;
    let kept = rig.at("kept-0");
    std::fs::create_dir(&kept).expect("made");
    let memory = serde_json::json!({"incarnation": ahead, "term": 0, "revision": 0, "overlay": {}});
    std::fs::write(kept.join("instance.json"), memory.to_string()).expect("written");
    rig.fleet(1);
    assert_eq!(
        rig.listed()[0]["incarnation"],
        ahead + 1,
        "what was kept counts, not the clock"
    );
    for start in 2..=3 {
        rig.instances[0].program = None;
        rig.instances = vec![rig.launch(0, "")];
        wait_until("it is back", || {
            (rig.listed().first()?["incarnation"] == ahead + start).then_some(())
        });
    }
    assert!(
        rig.push("one", AT_ONCE, "\"weight/w1\" = 2.5")
            .status
            .success()
    );
    rig.ended("one");
    // What it kept is lost, and its clock is a year behind its last incarnation: it has to wait until the agent
    // gives the former one up, and serves meanwhile.
    rig.instances[0].program = None;
    std::fs::remove_dir_all(&kept).expect("removed");
    rig.instances = vec![rig.launch(0, "")];
    serves(&rig, &rig.instances[0]);
    wait_until("it is back", || {
        let all = rig.listed();
        let incarnation = all.first()?["incarnation"].as_i64()?;
        (incarnation > ahead + 3 && all[0]["presence"] == "alive" && all[0]["in_line"] == true)
            .then_some(())
    });
    assert_eq!(weight(&rig.instances[0], "w1"), Some(2.5));
}

/// One with an agent's certificate that answers each connection's requests in its own senseless way.
fn babbler(rig: &Rig) -> (SocketAddr, Arc<[AtomicUsize; 3]>) {
    let (certificate, key) = (rig.at("agent.pem"), rig.at("agent.key"));
    let files = KeyFiles {
        authority: rig.at("authority.pem"),
        certificate,
        key,
        revoked: None,
    };
    let tls = Keyring::load(files)
        .and_then(|keyring| keyring.server_config())
        .expect("keys");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let asked: Arc<[AtomicUsize; 3]> = Arc::default();
    let counts = Arc::clone(&asked);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tls, counts) = (Arc::clone(&tls), Arc::clone(&counts));
            std::thread::spawn(move || {
                if let Ok(connection) = rustls::ServerConnection::new(tls) {
                    babble(rustls::StreamOwned::new(connection, stream), &counts);
                }
            });
        }
    });
    (address, asked)
}

/// The start that a request speaks for.
fn start_of(request: &str) -> u64 {
    let after = request.split("\"start\":").nth(1).unwrap_or_default();
    after
        .split(|c: char| !c.is_ascii_digit())
        .next()
        .and_then(|start| start.parse().ok())
        .unwrap_or(0)
}

fn babble(
    mut stream: rustls::StreamOwned<rustls::ServerConnection, TcpStream>,
    counts: &[AtomicUsize; 3],
) {
    let mut buffer = [0; 16 << 10];
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            return;
        }
        let request = String::from_utf8_lossy(buffer.get(..read).unwrap_or_default()).into_owned();
        let start = start_of(&request);
        let welcome = format!(
            "{{\"welcome\":{{\"start\":{start},\"incarnation\":{},\"term\":7,\"every\":0,\"spread\":0}}}}",
            u64::MAX
        );
        let order = |term: u64, key: &str, value: &str| {
            format!(
                "[{{\"order\":{{\"start\":{start},\"stamp\":{{\"term\":{term},\"number\":1}},\"change\":\"x\",\
                 \"revision\":9,\"overlay\":{{\"{key}\":{value}}}}}}}]"
            )
        };
        let line = request.lines().next().unwrap_or_default();
        let (counter, answers) = if line.contains("/register") {
            let garbage = "nonsense\r\n\r\n".to_string();
            let whole = format!("[{welcome}]");
            (
                &counts[0],
                vec![
                    whole.clone(),
                    "no JSON".into(),
                    String::new(),
                    whole,
                    garbage,
                ],
            )
        } else if line.contains("/report") {
            // Of another key, with a value of another kind, of an agent that was replaced, and without end.
            let sane = "{\"weight\":5000}";
            let answers = vec![
                order(7, "weight/w1", "{\"drained\":true}"),
                order(6, "weight/w1", sane),
                order(7, "weight/no name", sane),
                format!("[\"{}\"]", "x".repeat(9 << 20)),
            ];
            (&counts[1], answers)
        } else {
            (&counts[2], vec!["nonsense\n".into(), "{}\n".into()])
        };
        let at = counter.fetch_add(1, Ordering::Relaxed) % answers.len();
        let body = answers.get(at).cloned().unwrap_or_default();
        if body.starts_with("nonsense\r") {
            let _ = stream.write_all(body.as_bytes());
            return;
        }
        let status = if body.is_empty() {
            "500 Oops"
        } else {
            "200 OK"
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(body.as_bytes()))
            .is_err()
        {
            return;
        }
    }
}

#[test]
fn an_agent_that_talks_nonsense_changes_nothing_and_costs_little() {
    let mut rig = Rig::new();
    let (address, asked) = babbler(&rig);
    rig.roads["north"].set_target(address);
    rig.instances = vec![rig.launch(0, "")];
    let instance = &rig.instances[0];
    let memory = || {
        let id = instance.program().child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it is up");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))
            .expect("a line")
            .to_string();
        line.trim()
            .trim_end_matches(" kB")
            .parse::<u64>()
            .expect("a number")
    };
    let load = LoadGenerator::start(&[instance.front], PAUSE);
    let told = |at: usize| asked[at].load(Ordering::Relaxed);
    wait_until("all of the nonsense was told", || {
        (told(0) >= 6 && told(1) >= 9 && told(2) >= 2).then_some(())
    });
    judge(&rig, &load.stop());
    assert_eq!(instance.set().map(|set| set.len()), Some(0));
    assert_eq!(weight(instance, "w1"), Some(1.0));
    // Twice what is read of an answer, and what it serves with.
    assert!(memory() < 24 << 10, "{} kB", memory());
}

#[test]
fn of_two_processes_with_one_name_the_later_one_is_changed_the_agent_tells_and_both_serve() {
    let mut rig = Rig::new();
    rig.fleet(1);
    let twin = rig.launch_as("twin", &rig.file(0, "").replace("kept-0", "kept-twin"));
    rig.instances.push(twin);
    let load = LoadGenerator::start(&[rig.instances[0].front, rig.instances[1].front], PAUSE);
    wait_until("the agent tells", || {
        (!rig.listed().first()?["rival"].is_null()).then_some(())
    });
    let told = rig.told("vic", &["instances"], 0);
    assert!(told.contains("another process wants this name"), "{told}");
    assert!(
        rig.push("one", AT_ONCE, "\"weight/w1\" = 2.5")
            .status
            .success()
    );
    let results = rig.ended("one");
    assert!(
        results.len() == 1 && results["shop-0"]["state"] == "applied",
        "{results:?}"
    );
    let weights: Vec<_> = rig
        .instances
        .iter()
        .map(|instance| weight(instance, "w1"))
        .collect();
    assert_eq!(weights, [Some(1.0), Some(2.5)]);
    judge(&rig, &load.stop());
}

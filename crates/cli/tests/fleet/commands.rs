//! The agent as a process, instances that register with it, and the command line as an operator uses it.

use crate::rig::{found, madderloom};
use madderloom_agent::{ApplyFuture, Client, Link, LinkHandler};
use madderloom_control_plane::change::Traits;
use madderloom_control_plane::gate::Counts;
use madderloom_control_plane::protocol::{Outcome, Who};
use madderloom_control_plane::settings::Overlay;
use madderloom_control_plane::{Instance, Memory, Problem};
use madderloom_pki::KeyFiles;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Takes everything but a log level.
struct Toy;

impl LinkHandler for Toy {
    fn apply(&mut self, overlay: &Overlay) -> ApplyFuture {
        let outcome = match overlay.0.keys().any(|key| key.to_string() == "log_level") {
            true => Outcome::Refused(Problem {
                field: "set.log_level".into(),
                problem: "is fixed here".into(),
            }),
            false => Outcome::Applied,
        };
        Box::pin(std::future::ready(outcome))
    }

    fn request_counts(&mut self) -> Counts {
        Counts { ended: 100, bad: 1 }
    }

    fn persist(&mut self, _: &Memory) {}
}

struct Rig {
    directory: TempDir,
    agent: Child,
    address: String,
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.agent.kill();
        let _ = self.agent.wait();
    }
}

impl Rig {
    fn new() -> Self {
        let directory = found("report = \"100ms\"\n");
        let (agent, address) = start(directory.path());
        Rig {
            directory,
            agent,
            address,
        }
    }

    fn run(&self, who: &str, arguments: &[&str]) -> Output {
        let mut command = madderloom(self.directory.path(), arguments);
        command
            .args(["--agent", &self.address, "--as", who])
            .output()
            .expect("it runs")
    }

    fn told(&self, who: &str, arguments: &[&str], code: i32) -> String {
        let done = self.run(who, arguments);
        let told = format!(
            "{}{}",
            String::from_utf8_lossy(&done.stdout),
            String::from_utf8_lossy(&done.stderr)
        );
        assert_eq!(done.status.code(), Some(code), "{arguments:?}: {told}");
        told
    }

    fn file(&self, name: &str, text: &str) {
        std::fs::write(self.directory.path().join(name), text).expect("written");
    }

    /// Starts instances on a thread of their own, and waits until the agent lists them as alive.
    fn instances(&self, count: usize) {
        let at = |file: &str| self.directory.path().join(file);
        let (certificate, key) = (at("shop-any.pem"), at("shop-any.key"));
        let files = KeyFiles {
            authority: at("authority.pem"),
            certificate,
            key,
            revoked: None,
        };
        let address = self.address.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async {
                for number in 0..count {
                    let who = Who {
                        name: format!("shop-{number}"),
                        start: number as u64 + 1,
                        incarnation: 1,
                    };
                    let machine = Instance::new(0, who, Traits::default(), Memory::default());
                    let client = || Client::new(&address, files.clone()).expect("a client");
                    tokio::task::spawn_local(
                        Link::new(machine, Toy, client(), client(), number as u128).run(),
                    );
                }
                std::future::pending::<()>().await;
            });
        });
        let begin = Instant::now();
        while self
            .told("vic", &["instances"], 0)
            .matches(" alive ")
            .count()
            < count
        {
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "they do not come"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Starts the agent, and reads from its log where it listens.
fn start(at: &Path) -> (Child, String) {
    let mut command = madderloom(at, &["agent", "--config", "agent.toml"]);
    let mut agent = command.stderr(Stdio::piped()).spawn().expect("it starts");
    let mut log = BufReader::new(agent.stderr.take().expect("a pipe")).lines();
    let address = log
        .by_ref()
        .map_while(Result::ok)
        .find_map(|line| line.strip_prefix("listening on ").map(str::to_string));
    std::thread::spawn(move || log.for_each(drop));
    (agent, address.expect("it listens"))
}

const SLOW: &str = "version = 1\nid = \"slow-w7\"\n[rollout]\npause = \"0\"\ngate = false\n[set]\n\"weight/w7\" = 0.2\n";

#[test]
fn an_operator_sees_changes_and_takes_back() {
    let rig = Rig::new();
    rig.instances(3);
    rig.file("slow.toml", SLOW);
    let told = rig.told("alice", &["push", "slow.toml"], 0);
    assert!(
        told.contains("slow-w7, revision 1, by alice") && told.contains("3 applied"),
        "{told}"
    );
    assert!(
        rig.told("vic", &["show", "shop-1"], 0)
            .contains("weight/w7 = 0.2")
    );
    // The same file again, which names no base: nothing changes.
    assert!(
        rig.told("alice", &["push", "slow.toml"], 0)
            .contains("slow-w7, revision 1, by alice")
    );
    let told = rig.told("alice", &["drain", "w9", "--note", "new disk"], 0);
    assert!(told.contains("drain/w9 = true"), "{told}");
    let history = rig.told("vic", &["history"], 0);
    assert!(
        history
            .lines()
            .nth(1)
            .is_some_and(|line| line.contains("drain-w9-2")),
        "{history}"
    );
    rig.told("alice", &["rollout", "undo", "slow-w7"], 0);
    assert!(
        !rig.told("vic", &["show", "shop-1"], 0)
            .contains("weight/w7")
    );
    let top = rig.told("vic", &["top", "--once"], 0);
    assert!(
        top.contains("3 alive") && top.contains("nothing is rolling out"),
        "{top}"
    );
    let text = rig.run("vic", &["instances", "--output", "json"]).stdout;
    let listed: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    assert_eq!(
        (&listed[2]["name"], &listed[2]["in_line"]),
        (&"shop-2".into(), &true.into())
    );
}

/// A screen shows forty; what is written once, as into a pipe, is whole.
#[test]
fn a_look_that_is_written_once_has_all_instances() {
    const MANY: usize = 45;
    let rig = Rig::new();
    rig.instances(MANY);
    let top = rig.told("vic", &["top", "--once"], 0);
    let rows = top.lines().filter(|line| line.starts_with("shop-")).count();
    assert!(rows == MANY && !top.contains("more"), "{top}");
}

#[test]
fn exit_codes_tell_refused_and_failed_and_unheard_apart() {
    let rig = Rig::new();
    rig.instances(2);
    rig.file(
        "log.toml",
        "version = 1\nid = \"log\"\n[rollout]\npause = \"0\"\ngate = false\n[set]\nlog_level = \"debug\"\n",
    );
    let told = rig.told("alice", &["push", "log.toml"], 3);
    assert!(
        told.contains("set.log_level: is fixed here") && told.contains("taken back"),
        "{told}"
    );
    // Made on a revision that is not the newest.
    rig.file("old.toml", &SLOW.replace("id =", "base = 0\nid ="));
    let told = rig.told("alice", &["push", "old.toml"], 3);
    assert!(
        told.contains("the fleet is at 2") && told.contains("revision 1: log by alice"),
        "{told}"
    );
    rig.file("odd.toml", &SLOW.replace("0.2", "200"));
    let told = rig.told("alice", &["push", "odd.toml"], 1);
    assert!(
        told.contains("odd.toml:7:") && told.contains("must be a weight from 0 to 100"),
        "{told}"
    );
    rig.file("slow.toml", SLOW);
    assert!(
        rig.told("vic", &["push", "slow.toml"], 1)
            .contains("may not change the fleet")
    );
    assert!(
        rig.told("vic", &["show", "shop-11"], 1)
            .contains("did you mean shop-1?")
    );
    let told = rig.told("vic", &["rolout", "status", "log"], 2);
    assert!(told.contains("'rollout'"), "{told}");
}

#[test]
fn what_was_settled_on_outlives_a_killed_agent() {
    let mut rig = Rig::new();
    rig.instances(2);
    rig.file("slow.toml", SLOW);
    rig.told("alice", &["push", "slow.toml"], 0);
    rig.agent.kill().expect("killed");
    let _ = rig.agent.wait();
    assert!(
        rig.told("vic", &["history"], 1)
            .contains("agent at 127.0.0.1:")
    );
    (rig.agent, rig.address) = start(rig.directory.path());
    assert!(rig.told("vic", &["history"], 0).contains("slow-w7"));
    assert!(
        rig.told("vic", &["top", "--once"], 0)
            .starts_with("revision 1, 1 changes in effect, term 2")
    );
    let stop = Command::new("kill")
        .args(["-TERM", &rig.agent.id().to_string()])
        .status();
    assert!(stop.expect("it runs").success());
    assert_eq!(rig.agent.wait().expect("it ends").code(), Some(0));
}

#[test]
fn a_dry_run_tells_what_a_push_would_do_and_changes_nothing() {
    let rig = Rig::new();
    rig.instances(3);
    rig.file(
        "slow.toml",
        &SLOW.replace(
            "[rollout]",
            "[select]\nnames = [\"shop-1\", \"shop-2\"]\n[rollout]",
        ),
    );
    let told = rig.told("vic", &["push", "slow.toml", "--dry-run"], 0);
    assert!(
        told.contains("slow-w7 would be accepted as revision 1")
            && told.contains("weight/w7 = 0.2"),
        "{told}"
    );
    assert!(
        told.contains("shop-1") && told.contains("shop-2") && !told.contains("shop-0"),
        "{told}"
    );
    assert!(
        !rig.told("vic", &["show", "shop-1"], 0)
            .contains("weight/w7")
    );
    rig.told("alice", &["push", "slow.toml"], 0);
    let told = rig.told("vic", &["push", "slow.toml", "--dry-run"], 3);
    assert!(
        told.contains("would be declined: slow-w7 is revision 1; a push of the same"),
        "{told}"
    );
    rig.file(
        "old.toml",
        &SLOW.replace("id = \"slow-w7\"", "base = 0\nid = \"old\""),
    );
    let told = rig.told(
        "vic",
        &["push", "old.toml", "--dry-run", "--output", "json"],
        3,
    );
    let told: serde_json::Value = serde_json::from_str(&told).expect("JSON");
    assert_eq!(
        (&told["accepted"], &told["waves"]["shop-0"].is_u64()),
        (&false.into(), &true),
        "{told}"
    );
}

#[test]
fn completions_know_the_commands() {
    let done = madderloom(Path::new("."), &["completions", "bash"])
        .output()
        .expect("it runs");
    assert!(String::from_utf8_lossy(&done.stdout).contains("rollout"));
}

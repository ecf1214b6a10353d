//! An agent, instances that serve, servers behind them, clients that count what they got, and a network between the
//! instances and the agent that can be cut in one direction.

use madderloom_fault_testing::{Link, Program, RequestResult, Server, program_command, wait_until};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;
use tempfile::TempDir;

/// The program of this build, or the one that `MADDERLOOM_BINARY` names: a release build, for figures.
pub fn madderloom(at: &Path, arguments: &[&str]) -> Command {
    let mut command = program_command(env!("CARGO_BIN_EXE_madderloom"));
    command
        .current_dir(at)
        .args(arguments)
        .env_remove("RELAY_CONFIG");
    command
}

/// A directory with an authority, keys for the agent, two people and all instances, and the agent's file, which ends
/// with these leases.
pub fn found(leases: &str) -> TempDir {
    let directory = TempDir::new().expect("a directory");
    let at = directory.path();
    for arguments in [
        &["keys", "init"][..],
        &[
            "keys",
            "issue",
            "agent",
            "--role",
            "agent",
            "--host",
            "127.0.0.1",
        ],
        &["keys", "issue", "alice", "--role", "operate"],
        &["keys", "issue", "vic", "--role", "view"],
        &["keys", "issue", "shop-*", "--role", "instance"],
    ] {
        let done = madderloom(at, arguments).output().expect("it runs");
        assert!(
            done.status.success(),
            "{arguments:?}: {}",
            String::from_utf8_lossy(&done.stderr)
        );
    }
    std::fs::copy(at.join("keys/authority.pem"), at.join("authority.pem")).expect("copied");
    let config = format!(
        "version = 1\nlisten = \"127.0.0.1:0\"\nstate = \"state\"\naudit = \"audit.log\"\n[keys]\n\
         authority = \"authority.pem\"\ncertificate = \"agent.pem\"\nkey = \"agent.key\"\n\
         revoked = \"keys/revoked.pem\"\n[leases]\n{leases}"
    );
    std::fs::write(at.join("agent.toml"), config).expect("written");
    directory
}

/// A sidecar with an agent.
pub struct Instance {
    pub name: String,
    pub file: PathBuf,
    pub front: SocketAddr,
    pub admin: SocketAddr,
    /// None while it is down.
    pub program: Option<Program>,
}

impl Instance {
    /// What its admin view says.
    pub fn status(&self) -> Option<Value> {
        let mut stream = TcpStream::connect(self.admin).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream
            .write_all(b"GET /v1/status HTTP/1.1\r\nHost: it\r\n\r\n")
            .ok()?;
        let mut text = Vec::new();
        stream.read_to_end(&mut text).ok()?;
        let body = text.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
        serde_json::from_slice(text.get(body..)?).ok()
    }

    /// What it says is set beside its file.
    pub fn set(&self) -> Option<BTreeMap<String, Value>> {
        serde_json::from_value(self.status()?["control"]["set"].clone()).ok()
    }

    /// State and capacity of a server, as its decision module has it.
    pub fn server(&self, name: &str) -> Option<(String, f64)> {
        let status = self.status()?;
        let servers = status["pools"][0]["servers"].as_array()?;
        let server = servers.iter().find(|server| server["name"] == name)?;
        Some((
            server["state"].as_str()?.to_string(),
            server["capacity"].as_f64()?,
        ))
    }

    pub fn program(&self) -> &Program {
        self.program.as_ref().expect("it is up")
    }
}

pub struct Rig {
    pub directory: TempDir,
    pub agent: Option<Program>,
    pub address: SocketAddr,
    /// The ways to the agent, by zone.
    pub roads: BTreeMap<String, Link>,
    pub servers: Vec<Server>,
    pub instances: Vec<Instance>,
}

pub const ZONES: [&str; 2] = ["north", "south"];

impl Rig {
    /// An agent, and three servers `w0` to `w2`.
    pub fn new() -> Self {
        let directory = found(
            "report = \"300ms\"\nlease = \"3s\"\ngrace = \"3s\"\n[registrations]\nhorizon = \"1s\"\n",
        );
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let servers = (0..3).map(|n| Server::new(&format!("w{n}"))).collect();
        let (instances, roads) = Default::default();
        let mut rig = Rig {
            directory,
            agent: None,
            address: nowhere,
            roads,
            servers,
            instances,
        };
        rig.start_agent();
        rig.roads = ZONES
            .iter()
            .map(|zone| (zone.to_string(), Link::new(rig.address)))
            .collect();
        rig
    }

    pub fn at(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Starts the agent on what it kept; the roads lead there.
    pub fn start_agent(&mut self) {
        self.start_agent_by(madderloom(
            self.directory.path(),
            &["agent", "--config", "agent.toml"],
        ));
    }

    /// The same, by a command of the test's own.
    pub fn start_agent_by(&mut self, command: Command) {
        let agent = Program::start(command);
        let line = agent.wait_for("listening on ");
        self.address = line
            .rsplit(' ')
            .next()
            .and_then(|at| at.parse().ok())
            .expect("an address");
        self.roads
            .values()
            .for_each(|road| road.set_target(self.address));
        self.agent = Some(agent);
    }

    /// Kills the agent without a word.
    pub fn kill_agent(&mut self) {
        self.agent = None;
    }

    /// The servers as a pool of an operator file lists them.
    pub fn entries(&self) -> String {
        let listed =
            |s: &Server| format!("{{ name = \"{}\", address = \"{}\" }}", s.name, s.address);
        self.servers
            .iter()
            .map(listed)
            .collect::<Vec<_>>()
            .join(", ")
    }

    /// The operator file of an instance.
    pub fn file(&self, number: usize, more: &str) -> String {
        let road = &self.roads[ZONES[number % 2]];
        format!(
            "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n[control]\nagent = \"{}\"\nname = \"shop-{number}\"\n\
             zone = \"{}\"\nstate = \"kept-{number}\"\nkeys = {{ authority = \"authority.pem\", certificate = \
             \"shop-any.pem\", key = \"shop-any.key\" }}\n\
             [[listeners]]\nname = \"front\"\naddress = \"127.0.0.1:0\"\n\
             [[pools]]\nname = \"shop\"\nservers = [{}]\n[pools.settings]\ngroup_size = 1\nmy_zone = 0\nperiod = 5000\n\
             discovery = \"automatic\"\nservices = [{{ name = \"submit\", effect = \"unsafe\", on_time = 2_000_000, \
             give_up = 6_000_000, worth = 10, key_scope = \"all\", window = 4_000_000 }}]\nlimits = {{ cancel = true, \
             max_attempts = 6, retry_after = true, max_retry_after = 1_500_000 }}\nsafety = {{ cold = 1_000_000, \
             cold_from = 0.3, fall = 1_000_000 }}\n\
             [[routes]]\nname = \"all\"\npool = \"shop\"\n{more}",
            road.address(),
            ZONES[number % 2],
            self.entries(),
        )
    }

    /// Starts an instance; the number tells its name and its zone.
    pub fn launch(&self, number: usize, more: &str) -> Instance {
        self.launch_as(&format!("shop-{number}"), &self.file(number, more))
    }

    /// Starts an instance with this file.
    pub fn launch_as(&self, name: &str, text: &str) -> Instance {
        let file = self.at(&format!("{name}.toml"));
        std::fs::write(&file, text).expect("written");
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let name = name.to_string();
        let mut instance = Instance {
            name,
            file,
            front: nowhere,
            admin: nowhere,
            program: None,
        };
        self.relaunch(&mut instance);
        instance
    }

    /// Starts an instance that is down, with the file that it has.
    pub fn relaunch(&self, instance: &mut Instance) {
        let program = Program::start(madderloom(
            self.directory.path(),
            &[
                "serve",
                "--operator",
                instance.file.to_str().expect("a path"),
            ],
        ));
        let at = |text: &str| {
            program
                .wait_for(text)
                .rsplit(' ')
                .next()
                .and_then(|at| at.parse().ok())
        };
        instance.front = at("front: listening on ").expect("an address");
        instance.admin = at("admin view on ").expect("an address");
        instance.program = Some(program);
    }

    /// Starts so many instances, and waits until the agent has them all.
    pub fn fleet(&mut self, count: usize) {
        self.instances = (0..count).map(|number| self.launch(number, "")).collect();
        self.until_alive(count);
    }

    pub fn until_alive(&self, count: usize) {
        wait_until("all are alive", || {
            let all = self.listed();
            let there = all
                .iter()
                .filter(|i| i["presence"] == "alive" && i["in_line"] == true);
            (there.count() == count).then_some(())
        });
    }

    pub fn run(&self, who: &str, arguments: &[&str]) -> Output {
        let mut command = madderloom(self.directory.path(), arguments);
        command
            .args(["--agent", &self.address.to_string(), "--as", who])
            .output()
            .expect("it runs")
    }

    pub fn told(&self, who: &str, arguments: &[&str], code: i32) -> String {
        let done = self.run(who, arguments);
        let told = format!(
            "{}{}",
            String::from_utf8_lossy(&done.stdout),
            String::from_utf8_lossy(&done.stderr)
        );
        assert_eq!(done.status.code(), Some(code), "{arguments:?}: {told}");
        told
    }

    fn json(&self, arguments: &[&str]) -> Option<Value> {
        let done = self.run("vic", &[arguments, &["--output", "json"]].concat());
        serde_json::from_slice(&done.stdout).ok()
    }

    /// The instances as the agent lists them; none where it can't be asked.
    pub fn listed(&self) -> Vec<Value> {
        let all = self.json(&["instances"]);
        all.and_then(|all| all.as_array().cloned())
            .unwrap_or_default()
    }

    pub fn rollout(&self, id: &str) -> Option<Value> {
        self.json(&["rollout", "status", id])
            .filter(|rollout| rollout["id"] == id)
    }

    /// Waits until a rollout has ended, and gives how each instance did.
    pub fn ended(&self, id: &str) -> BTreeMap<String, Value> {
        wait_until(&format!("the end of {id}"), || {
            let rollout = self
                .rollout(id)
                .filter(|rollout| !rollout["end"].is_null())?;
            serde_json::from_value(rollout["results"].clone()).ok()
        })
    }

    /// Writes a change, and pushes it without waiting.
    pub fn push(&self, id: &str, rollout: &str, set: &str) -> Output {
        let text = format!(
            "version = 1\nid = \"{id}\"\n[rollout]\ngate = false\n{rollout}\n[set]\n{set}\n"
        );
        let name = format!("{id}.toml");
        std::fs::write(self.at(&name), text).expect("written");
        self.run("alice", &["push", &name, "--no-wait"])
    }
}

/// Between an answer and a client's next request.
pub const PAUSE: Duration = Duration::from_millis(10);

/// Fewer prove nothing.
pub const ENOUGH_REQUESTS: usize = 21;

/// Every request of these had its one answer from one server: none was lost, none repeated.
pub fn judge(rig: &Rig, got: &[RequestResult]) {
    let seen = Server::request_counts_of(&rig.servers);
    let twice: Vec<_> = seen.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "seen twice: {twice:?}");
    let lost: Vec<_> = got
        .iter()
        .filter(|got| got.status != Some(200) || !seen.contains_key(&got.id))
        .collect();
    assert!(
        lost.is_empty(),
        "{} of {} were not served: {lost:?}",
        lost.len(),
        got.len()
    );
    assert!(
        got.len() >= ENOUGH_REQUESTS,
        "{} requests prove nothing",
        got.len()
    );
}

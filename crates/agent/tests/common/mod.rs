//! An agent and instances in one process, over real sockets and TLS.

// Each file of tests uses a part of it.
#![allow(dead_code)]

use madderloom_agent::relay::{Relay, RelayConfig, RelayView};
use madderloom_agent::{
    Agent, Client, Config, Error, Link, Saves, Settings, Storage, Taking, view,
};
use madderloom_config_reader::Problem;
use madderloom_control_plane::change::{Change, Operation};
use madderloom_control_plane::health_gate::RequestCounts;
use madderloom_control_plane::policy::{FailureAction, RolloutPolicy, StageSize};
use madderloom_control_plane::protocol::{InstanceId, Outcome, ToAgent};
use madderloom_control_plane::selector::{Attributes, Selector};
use madderloom_control_plane::settings::{Edits, Key, Overlay, Value};
use madderloom_control_plane::{Instance, PersistedInstance, Record};
use madderloom_pki::{Authority, Files, Role};
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use time::OffsetDateTime;
use tokio::task::JoinHandle;

/// Storage that can be taken from one agent to the next, and made to fail.
#[derive(Clone, Default)]
pub struct Disk(Arc<Mutex<DiskState>>);

#[derive(Default)]
struct DiskState {
    kept: std::collections::BTreeMap<String, Record>,
    full: bool,
    commits: usize,
}

impl Disk {
    pub fn fill(&self, full: bool) {
        self.0.lock().expect("not poisoned").full = full;
    }

    pub fn commits(&self) -> usize {
        self.0.lock().expect("not poisoned").commits
    }
}

impl Storage for Disk {
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error> {
        Ok(self
            .0
            .lock()
            .expect("not poisoned")
            .kept
            .clone()
            .into_iter()
            .collect())
    }

    fn commit(&mut self, saves: Saves) -> Result<(), Error> {
        let mut disk = self.0.lock().expect("not poisoned");
        if disk.full {
            return Err(Error::Storage("no space left on device".into()));
        }
        disk.commits += 1;
        for (key, record) in saves {
            // Through what a real disk would hold.
            let record = record.map(|r| serde_json::to_vec(&r).expect("JSON"));
            match record.map(|bytes| serde_json::from_slice(&bytes).expect("the same")) {
                Some(record) => disk.kept.insert(key, record),
                None => disk.kept.remove(&key),
            };
        }
        Ok(())
    }
}

/// What an instance of the tests has in effect, and what it refuses.
#[derive(Clone, Default)]
pub struct Toy(pub Rc<RefCell<ToyState>>);

#[derive(Default)]
pub struct ToyState {
    pub overlay: Overlay,
    pub taken: usize,
    pub refuses: Option<Key>,
    pub counts: RequestCounts,
    /// Its requests end badly while it has this.
    pub hurt_by: Option<Key>,
    pub memory: PersistedInstance,
    /// How often it has registered.
    pub registrations: usize,
}

impl Toy {
    fn meet(&self, overlay: &Overlay) -> Outcome {
        let mut toy = self.0.borrow_mut();
        toy.taken += 1;
        if let Some(key) = toy
            .refuses
            .clone()
            .filter(|key| overlay.0.contains_key(key))
        {
            let problem = "is not known to this instance".to_string();
            return Outcome::Refused(madderloom_control_plane::Problem {
                field: format!("set.{key}"),
                problem,
            });
        }
        toy.overlay = overlay.clone();
        Outcome::Applied
    }
}

impl Settings for Toy {
    fn take(&mut self, overlay: &Overlay) -> Taking {
        let outcome = self.meet(overlay);
        Box::pin(std::future::ready(outcome))
    }

    fn counts(&mut self) -> RequestCounts {
        let toy = self.0.borrow();
        let hurt = toy
            .hurt_by
            .as_ref()
            .is_some_and(|key| toy.overlay.0.contains_key(key));
        RequestCounts {
            bad: if hurt {
                toy.counts.ended / 2
            } else {
                toy.counts.bad
            },
            ..toy.counts
        }
    }

    fn keep(&mut self, memory: &PersistedInstance) {
        self.0.borrow_mut().memory = memory.clone();
    }

    fn sent(&mut self, message: &ToAgent) {
        self.0.borrow_mut().registrations += usize::from(matches!(message, ToAgent::Register(_)));
    }
}

/// A relay of the tests.
pub struct TestRelay {
    pub name: String,
    pub address: String,
    task: JoinHandle<()>,
}

pub struct Rig {
    pub directory: TempDir,
    pub address: String,
    pub disk: Disk,
    /// `[leases]` and `[registrations]` of the agent's file.
    paces: &'static str,
    /// The next term of the agent is above this one.
    term_above: u64,
    agent: Option<JoinHandle<()>>,
    links: Vec<JoinHandle<()>>,
}

impl Rig {
    pub async fn new() -> Self {
        let paces = "[leases]\nreport = \"100ms\"\nlease = \"2s\"\ngrace = \"2s\"\n[registrations]\nrate = 1000\n";
        Rig::at_paces(paces).await
    }

    pub async fn at_paces(paces: &'static str) -> Self {
        let directory = TempDir::new().expect("a directory");
        let now = OffsetDateTime::now_utc();
        let own = directory.path().join("keys");
        Authority::init(&own, "fleet", 30, now).expect("an authority");
        let mut authority = Authority::open(&own).expect("an authority");
        let hosts = ["127.0.0.1".to_string()];
        for (name, role, hosts) in [
            ("agent", Role::Agent, &hosts[..]),
            ("alice", Role::Operate, &[]),
            ("bob", Role::Operate, &[]),
            ("vic", Role::View, &[]),
            ("shop-*", Role::Instance, &[]),
        ] {
            authority
                .issue((name, role), hosts, 20, directory.path(), now)
                .expect("a certificate");
        }
        let mut rig = Rig {
            directory,
            address: "127.0.0.1:0".into(),
            disk: Disk::default(),
            paces,
            term_above: 0,
            agent: None,
            links: vec![],
        };
        rig.start_agent().await;
        rig
    }

    pub fn at(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub fn files(&self, name: &str) -> Files {
        Files {
            authority: self.at("keys/authority.pem"),
            certificate: self.at(&format!("{name}.pem")),
            key: self.at(&format!("{name}.key")),
            revoked: None,
        }
    }

    pub fn config(&self) -> Config {
        let text = format!(
            "version = 1\nlisten = \"{}\"\naudit = \"audit.log\"\nterm_above = {}\n[keys]\nauthority = \"keys/authority.pem\"\n\
             certificate = \"agent.pem\"\nkey = \"agent.key\"\nrevoked = \"keys/revoked.pem\"\n\
             {}",
            self.address, self.term_above, self.paces
        );
        let problems = |problems: Vec<Problem>| panic!("{problems:?}");
        Config::read(&text, &self.directory.path().join("agent.toml")).unwrap_or_else(problems)
    }

    /// Starts the agent where it was, from what it kept.
    pub async fn start_agent(&mut self) {
        let disk = Box::new(self.disk.clone());
        let begin = Instant::now();
        let agent = loop {
            // The port of the former one may take a moment to be free.
            match Agent::start(&self.config(), disk.clone()).await {
                Ok(agent) => break agent,
                Err(problem) if begin.elapsed() > Duration::from_secs(20) => panic!("{problem}"),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        self.address = agent.address().expect("an address").to_string();
        self.agent = Some(tokio::task::spawn_local(async move {
            agent
                .serve(std::future::pending())
                .await
                .expect("it serves");
        }));
    }

    pub async fn kill_agent(&mut self) {
        if let Some(agent) = self.agent.take() {
            agent.abort();
            let _ = agent.await;
        }
    }

    pub fn client(&self, name: &str) -> Client {
        Client::new(&self.address, self.files(name)).expect("a client")
    }

    pub fn start_instance(&mut self, number: usize, toy: &Toy) {
        self.start_instance_at(&self.address.clone(), number, toy);
    }

    /// Starts an instance whose agent, or relay, is at this address. Gives its place for [`Rig::kill_instance`].
    pub fn start_instance_at(&mut self, address: &str, number: usize, toy: &Toy) -> usize {
        let who = InstanceId {
            name: format!("shop-{number}"),
            start: 1_000 + self.links.len() as u64,
            incarnation: 1,
        };
        let zone = if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        };
        let traits = Attributes {
            zone: zone.into(),
            build: "test".into(),
            ..Attributes::default()
        };
        let memory = toy.0.borrow().memory.clone();
        let machine = Instance::new(0, who, traits, memory);
        let client = || Client::new(address, self.files("shop-any")).expect("a client");
        let link = Link::new(machine, toy.clone(), client(), client(), number as u128);
        self.links.push(tokio::task::spawn_local(link.run()));
        self.links.len() - 1
    }

    /// Starts a relay below the agent, at an address or at one that is free.
    pub async fn start_relay(&self, name: &str, address: &str) -> TestRelay {
        self.start_relay_below(&self.address, name, address).await
    }

    /// Starts a relay below what listens at `parent`.
    pub async fn start_relay_below(&self, parent: &str, name: &str, address: &str) -> TestRelay {
        let text = format!(
            "version = 1\nname = \"{name}\"\nlisten = \"{address}\"\n[keys]\nauthority = \"keys/authority.pem\"\n\
             certificate = \"agent.pem\"\nkey = \"agent.key\"\nrevoked = \"keys/revoked.pem\"\n[parent]\n\
             agents = [\"{}\"]\ncertificate = \"shop-any.pem\"\nkey = \"shop-any.key\"\n[children]\nlease = \"2s\"\n",
            parent
        );
        let problems = |problems: Vec<Problem>| panic!("{problems:?}");
        let config = RelayConfig::read(&text, &self.directory.path().join("relay.toml"));
        let config = config.unwrap_or_else(problems);
        let begin = Instant::now();
        let relay = loop {
            // The port of the former one may take a moment to be free.
            match Relay::start(&config).await {
                Ok(relay) => break relay,
                Err(problem) if begin.elapsed() > Duration::from_secs(20) => panic!("{problem}"),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        let address = relay.address().expect("an address").to_string();
        let task = tokio::task::spawn_local(async move {
            relay
                .serve(std::future::pending())
                .await
                .expect("it serves");
        });
        TestRelay {
            name: name.to_string(),
            address,
            task,
        }
    }

    /// What a relay says of itself.
    pub async fn relay_view(&self, relay: &TestRelay) -> Option<RelayView> {
        let client = Client::new(&relay.address, self.files("vic")).expect("a client");
        client
            .get(hyper::Method::GET, "/v1/relay", vec![])
            .await
            .ok()
    }

    /// Waits until a relay says what it should.
    pub async fn until_relay(
        &self,
        relay: &TestRelay,
        what: &str,
        holds: impl Fn(&RelayView) -> bool,
    ) {
        let begin = Instant::now();
        loop {
            let view = self.relay_view(relay).await;
            if view.as_ref().is_some_and(&holds) {
                return;
            }
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "never: {what}: {view:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The agent forgets everything; its next term is above this one.
    pub fn lose_state(&mut self, above: u64) {
        self.disk = Disk::default();
        self.term_above = above;
    }

    pub fn kill_instance(&mut self, place: usize) {
        self.links[place].abort();
    }

    /// Starts so many and waits until they are there.
    pub async fn fleet(&mut self, count: usize) -> Vec<Toy> {
        let toys: Vec<Toy> = (0..count).map(|_| Toy::default()).collect();
        for (number, toy) in toys.iter().enumerate() {
            self.start_instance(number, toy);
        }
        self.until("all are there", |status| {
            status.instances.get("alive") == Some(&count)
        })
        .await;
        toys
    }

    pub async fn status(&self) -> Option<view::Status> {
        self.client("vic")
            .get(hyper::Method::GET, "/v1/status", vec![])
            .await
            .ok()
    }

    pub async fn instances(&self) -> Vec<view::Instance> {
        self.client("vic")
            .get(hyper::Method::GET, "/v1/instances", vec![])
            .await
            .unwrap_or_default()
    }

    pub async fn until(&self, what: &str, holds: impl Fn(&view::Status) -> bool) {
        let begin = Instant::now();
        loop {
            let status = self.status().await;
            if status.as_ref().is_some_and(&holds) {
                return;
            }
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "never: {what}: {status:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a rollout has ended.
    pub async fn ended(&self, id: &str) -> view::Rollouts {
        let begin = Instant::now();
        loop {
            let path = format!("/v1/rollouts/{id}");
            let rollout = self
                .client("vic")
                .get::<view::Rollouts>(hyper::Method::GET, &path, vec![])
                .await;
            if let Ok(rollout) = &rollout
                && rollout.end.is_some()
            {
                return rollout.clone();
            }
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "never ends: {rollout:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn audit(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(self.at("audit.log")).unwrap_or_default();
        text.lines()
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect()
    }
}

impl TestRelay {
    /// Ends it without a word.
    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Sets a server's weight everywhere, in two waves, at once.
pub fn change(id: &str, base: u64, server: &str, weight: u32) -> Change {
    let edits = Edits::from([(Key::Weight(server.into()), Some(Value::Weight(weight)))]);
    Change {
        id: id.into(),
        base,
        note: String::new(),
        select: Selector::default(),
        rollout: RolloutPolicy {
            stages: vec![StageSize::Percent(20)],
            max_in_flight: 8,
            stage_pause: 0,
            answer_timeout: 10_000_000,
            max_failures: 0,
            on_failure: FailureAction::RollBack,
            gate: None,
        },
        operation: Operation::Set(edits),
    }
}

pub async fn push(
    client: &Client,
    change: &Change,
) -> Result<madderloom_control_plane::Accepted, madderloom_agent::Failed> {
    client
        .get(
            hyper::Method::POST,
            "/v1/changes",
            serde_json::to_vec(change).expect("JSON"),
        )
        .await
}

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

//! The agent of a fleet, with its keys and its instances.

use super::instance::TestInstance;
use super::storage::SharedStorage;
use super::{PATIENCE, start_server, wait_until};
use hyper::Method;
use madderloom_agent::view::{InstanceView, RolloutView, StatusView};
use madderloom_agent::{Agent, AgentConfig, Client, Link};
use madderloom_config_reader::Problem;
use madderloom_control_plane::Instance;
use madderloom_control_plane::change::Traits;
use madderloom_control_plane::protocol::Who;
use madderloom_pki::{Authority, CertificateRequest, KeyFiles, Role};
use std::path::{Path, PathBuf};
use tempfile::TempDir;
use time::OffsetDateTime;
use tokio::task::JoinHandle;

/// Paces at which the tests are not kept waiting.
const FAST_PACES: &str =
    "[leases]\nreport = \"100ms\"\nlease = \"2s\"\ngrace = \"2s\"\n[registrations]\nrate = 1000\n";

/// An agent that can be killed and started again, and the instances that were started.
pub struct TestFleet {
    pub directory: TempDir,
    /// The address of the agent.
    pub address: String,
    pub storage: SharedStorage,
    /// `[leases]` and `[registrations]` of the agent's file.
    paces: &'static str,
    /// The next term of the agent is above this one.
    term_above: u64,
    agent: Option<JoinHandle<()>>,
    links: Vec<JoinHandle<()>>,
}

impl TestFleet {
    /// Starts an agent without instances.
    pub async fn new() -> Self {
        TestFleet::with_paces(FAST_PACES).await
    }

    /// Starts an agent whose file has these sections `[leases]` and `[registrations]`.
    pub async fn with_paces(paces: &'static str) -> Self {
        let directory = TempDir::new().expect("a directory");
        issue_certificates(directory.path());
        let mut fleet = TestFleet {
            directory,
            address: "127.0.0.1:0".into(),
            storage: SharedStorage::default(),
            paces,
            term_above: 0,
            agent: None,
            links: vec![],
        };
        fleet.start_agent().await;
        fleet
    }

    /// The path of a file of the fleet.
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// The keys of this name.
    pub fn files(&self, name: &str) -> KeyFiles {
        KeyFiles {
            authority: self.path("keys/authority.pem"),
            certificate: self.path(&format!("{name}.pem")),
            key: self.path(&format!("{name}.key")),
            revoked: None,
        }
    }

    fn config(&self) -> AgentConfig {
        let text = format!(
            "version = 1\nlisten = \"{}\"\naudit = \"audit.log\"\nterm_above = {}\n[keys]\nauthority = \"keys/authority.pem\"\n\
             certificate = \"agent.pem\"\nkey = \"agent.key\"\nrevoked = \"keys/revoked.pem\"\n\
             {}",
            self.address, self.term_above, self.paces
        );
        let problems = |problems: Vec<Problem>| panic!("{problems:?}");
        AgentConfig::read(&text, &self.path("agent.toml")).unwrap_or_else(problems)
    }

    /// Starts the agent at its address, from the records in its storage.
    pub async fn start_agent(&mut self) {
        let config = self.config();
        let agent = start_server(async || {
            let storage = Box::new(self.storage.clone());
            Agent::start(&config, storage).await
        });
        let agent = agent.await;
        self.address = agent.address().expect("an address").to_string();
        self.agent = Some(tokio::task::spawn_local(async move {
            let served = agent.serve(std::future::pending()).await;
            served.expect("it serves");
        }));
    }

    /// Kills the agent.
    pub async fn kill_agent(&mut self) {
        if let Some(agent) = self.agent.take() {
            agent.abort();
            let _ = agent.await;
        }
    }

    /// The agent loses its records. Its next term is above this one.
    pub fn lose_records(&mut self, term_above: u64) {
        self.storage = SharedStorage::default();
        self.term_above = term_above;
    }

    /// A client of the agent, with the keys of this name.
    pub fn client(&self, name: &str) -> Client {
        Client::new(&self.address, self.files(name)).expect("a client")
    }

    /// Starts the instance of this number at the agent.
    pub fn start_instance(&mut self, number: usize, instance: &TestInstance) {
        self.start_instance_at(&self.address.clone(), number, instance);
    }

    /// Starts an instance whose agent, or relay, is at this address. Returns its index for [`TestFleet::kill_instance`].
    pub fn start_instance_at(
        &mut self,
        address: &str,
        number: usize,
        instance: &TestInstance,
    ) -> usize {
        let who = Who {
            name: format!("shop-{number}"),
            start: 1_000 + self.links.len() as u64,
            incarnation: 1,
        };
        let zone = if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        };
        let traits = Traits {
            zone: zone.into(),
            build: "test".into(),
            ..Traits::default()
        };
        let memory = instance.0.borrow().memory.clone();
        let machine = Instance::new(0, who, traits, memory);
        let client = || Client::new(address, self.files("shop-any")).expect("a client");
        let seed = number as u128;
        let link = Link::new(machine, instance.clone(), client(), client(), seed);
        self.links.push(tokio::task::spawn_local(link.run()));
        self.links.len() - 1
    }

    /// Kills the instance that was started as the one of this index.
    pub fn kill_instance(&mut self, index: usize) {
        self.links[index].abort();
    }

    /// Starts so many instances at the agent, and waits until all are alive.
    pub async fn start_instances(&mut self, count: usize) -> Vec<TestInstance> {
        let instances: Vec<TestInstance> = (0..count).map(|_| TestInstance::default()).collect();
        for (number, instance) in instances.iter().enumerate() {
            self.start_instance(number, instance);
        }
        self.wait_until_alive(count).await;
        instances
    }

    /// Waits until so many instances are alive.
    pub async fn wait_until_alive(&self, count: usize) {
        self.wait_for_status("all are alive", |status| {
            status.instances.get("alive") == Some(&count)
        })
        .await;
    }

    /// What the agent shows of itself, if it answers.
    pub async fn status(&self) -> Option<StatusView> {
        let client = self.client("vic");
        let status = client.request(Method::GET, "/v1/status", vec![]).await;
        status.ok()
    }

    /// The instances that the agent knows.
    pub async fn instances(&self) -> Vec<InstanceView> {
        let client = self.client("vic");
        let instances = client.request(Method::GET, "/v1/instances", vec![]).await;
        instances.unwrap_or_default()
    }

    /// Waits until the agent shows what it should.
    pub async fn wait_for_status(&self, what: &str, holds: impl Fn(&StatusView) -> bool) {
        let observe = async || self.status().await;
        wait_until(what, PATIENCE, observe, |status| {
            status.as_ref().is_some_and(&holds)
        })
        .await;
    }

    /// Waits until a rollout has ended.
    pub async fn rollout_ended(&self, id: &str) -> RolloutView {
        let path = format!("/v1/rollouts/{id}");
        let observe = async || {
            let client = self.client("vic");
            let rollout = client.request::<RolloutView>(Method::GET, &path, vec![]);
            rollout.await
        };
        let ended = wait_until("the rollout ends", PATIENCE, observe, |rollout| {
            rollout.as_ref().is_ok_and(|rollout| rollout.end.is_some())
        });
        ended.await.expect("it has ended")
    }

    /// The lines of the audit log.
    pub fn audit_log(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(self.path("audit.log")).unwrap_or_default();
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect()
    }
}

/// Founds an authority, and issues the certificates of the tests: an agent, two operators, a viewer, and one that is valid
/// for all instances.
fn issue_certificates(directory: &Path) {
    let now = OffsetDateTime::now_utc();
    let keys = directory.join("keys");
    Authority::create(&keys, "fleet", 30, now).expect("an authority");
    let mut authority = Authority::open(&keys).expect("an authority");
    let hosts = ["127.0.0.1".to_string()];
    for (name, role, hosts) in [
        ("agent", Role::Agent, &hosts[..]),
        ("alice", Role::Operate, &[]),
        ("bob", Role::Operate, &[]),
        ("vic", Role::View, &[]),
        ("shop-*", Role::Instance, &[]),
    ] {
        let request = CertificateRequest {
            name,
            role,
            hosts,
            days: 20,
        };
        authority
            .issue(request, directory, now)
            .expect("a certificate");
    }
}

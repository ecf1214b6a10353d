//! Relays between the agent and instances.

use super::fleet::TestFleet;
use super::{PATIENCE, start_server, wait_until};
use hyper::Method;
use madderloom_agent::Client;
use madderloom_agent::relay::{Relay, RelayConfig, RelayView};
use madderloom_config_reader::Problem;
use tokio::task::JoinHandle;

/// A relay that serves.
pub struct TestRelay {
    pub name: String,
    pub address: String,
    task: JoinHandle<()>,
}

impl TestRelay {
    /// Kills it, without the end of its connections being announced.
    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

impl TestFleet {
    /// Starts a relay below the agent, at this address; port 0 stands for one that is free.
    pub async fn start_relay(&self, name: &str, address: &str) -> TestRelay {
        self.start_relay_below(&self.address, name, address).await
    }

    /// Starts a relay below what listens at `parent`.
    pub async fn start_relay_below(&self, parent: &str, name: &str, address: &str) -> TestRelay {
        let text = format!(
            "version = 1\nname = \"{name}\"\nlisten = \"{address}\"\n[keys]\nauthority = \"keys/authority.pem\"\n\
             certificate = \"agent.pem\"\nkey = \"agent.key\"\nrevoked = \"keys/revoked.pem\"\n[parent]\n\
             agents = [\"{parent}\"]\ncertificate = \"shop-any.pem\"\nkey = \"shop-any.key\"\n[children]\nlease = \"2s\"\n"
        );
        let problems = |problems: Vec<Problem>| panic!("{problems:?}");
        let config = RelayConfig::read(&text, &self.path("relay.toml")).unwrap_or_else(problems);
        let relay = start_server(async || Relay::start(&config).await).await;
        let address = relay.address().expect("an address").to_string();
        let task = tokio::task::spawn_local(async move {
            let served = relay.serve(std::future::pending()).await;
            served.expect("it serves");
        });
        TestRelay {
            name: name.to_string(),
            address,
            task,
        }
    }

    /// What a relay shows of itself, if it answers.
    pub async fn relay_view(&self, relay: &TestRelay) -> Option<RelayView> {
        let client = Client::new(&relay.address, self.files("vic")).expect("a client");
        let view = client.request(Method::GET, "/v1/relay", vec![]).await;
        view.ok()
    }

    /// Waits until a relay shows what it should.
    pub async fn wait_for_relay(
        &self,
        relay: &TestRelay,
        what: &str,
        holds: impl Fn(&RelayView) -> bool,
    ) {
        let observe = async || self.relay_view(relay).await;
        wait_until(what, PATIENCE, observe, |view| {
            view.as_ref().is_some_and(&holds)
        })
        .await;
    }
}

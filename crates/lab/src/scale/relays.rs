//! The relays of a rig: one for each zone, as processes, each with a link to the agent that can be cut.

use super::agent::start_child;
use super::child::Program;
use super::places::{self, ZONES};
use super::usage::{self, Usage};
use crate::sockets::child::Process;
use madderloom_fault_testing::Link;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The relays of a rig; none where its instances are at the agent itself.
#[derive(Default)]
pub struct Relays(Vec<RelayProcess>);

struct RelayProcess {
    process: Process,
    link: Link,
    address: String,
}

impl Relays {
    /// Starts a relay for each zone, with the keys that lie in the directory.
    ///
    /// # Errors
    /// A file can't be written, or a relay does not start.
    pub async fn start(
        directory: &Path,
        binary: Option<PathBuf>,
        agent: &str,
        lease_ms: u64,
    ) -> Result<Self, String> {
        let agent: SocketAddr = agent.parse().map_err(|e| format!("{agent}: {e}"))?;
        let mut relays = Vec::new();
        for zone in 0..ZONES {
            let link = Link::new(agent);
            let name = format!("relay-{zone:02}");
            let path = directory.join(format!("{name}.toml"));
            let file = file(&name, &link.address().to_string(), lease_ms);
            std::fs::write(&path, file).map_err(|e| format!("{}: {e}", path.display()))?;
            let mut process = start_child(&name, Program::Relay, &path, binary.as_deref())?;
            let address = process.listens().await?.to_string();
            relays.push(RelayProcess {
                process,
                link,
                address,
            });
        }
        Ok(Relays(relays))
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Where they listen, by zone.
    pub fn addresses(&self) -> Vec<String> {
        self.0.iter().map(|relay| relay.address.clone()).collect()
    }

    /// Cuts the links of the first region's relays: neither end hears of the other.
    pub fn cut_region(&self) {
        self.of_first_region()
            .for_each(|relay| relay.link.cut_both());
    }

    /// The links are back.
    pub fn heal(&self) {
        self.0.iter().for_each(|relay| relay.link.heal());
    }

    /// What all of them used.
    pub fn usage(&self) -> Usage {
        let mut all = Usage::default();
        self.0
            .iter()
            .for_each(|relay| all += usage::of(relay.process.id()));
        all
    }

    fn of_first_region(&self) -> impl Iterator<Item = &RelayProcess> {
        self.0
            .iter()
            .enumerate()
            .filter(|(zone, _)| places::region(*zone) == 0)
            .map(|(_, relay)| relay)
    }
}

fn file(name: &str, agent: &str, lease_ms: u64) -> String {
    format!(
        "version = 1\nname = \"{name}\"\nlisten = \"127.0.0.1:0\"\n[keys]\nauthority = \"keys/authority.pem\"\n\
         certificate = \"agent.pem\"\nkey = \"agent.key\"\nrevoked = \"keys/revoked.pem\"\n[parent]\n\
         agents = [\"{agent}\"]\ncertificate = \"shop-any.pem\"\nkey = \"shop-any.key\"\n[children]\n\
         lease = \"{lease_ms}ms\"\n"
    )
}

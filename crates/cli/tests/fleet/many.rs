//! An agent at a port that it keeps, and many sidecars with a link of their own to it.

use crate::rig::{Rig, found, madderloom};
use madderloom_fault_testing::{
    Arrivals, Link, LoadGenerator, ManagedProcess, Program, Server, Testbed, unique_address,
};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Between an answer and a client's next request: some 50 a second each, far more than a limit of a test has.
pub const PAUSE: Duration = Duration::from_millis(20);

/// An agent at a port that it keeps, sidecars with a link of their own to it, and servers.
pub struct Fleet {
    pub rig: Rig,
    pub stage: Testbed,
    pub fronts: BTreeMap<String, SocketAddr>,
    /// The relays by zone; sidecars of a zone that has one are behind it.
    pub relays: BTreeMap<String, SocketAddr>,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound").port()
}

impl Fleet {
    /// An agent whose file ends with this, and these servers. Sidecars have this site.
    pub fn found(agent: &str, servers: Vec<Server>, site: &str) -> Self {
        let directory = found(agent);
        let port = free_port();
        let file = directory.path().join("agent.toml");
        let text = std::fs::read_to_string(&file).expect("written");
        std::fs::write(
            &file,
            text.replace("127.0.0.1:0", &format!("127.0.0.1:{port}")),
        )
        .expect("written");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let (instances, roads) = Default::default();
        let rig = Rig {
            directory,
            agent: None,
            address,
            roads,
            servers,
            instances,
        };
        std::fs::write(rig.at("site.json"), site).expect("written");
        let (stage, fronts, relays) = Default::default();
        let mut fleet = Fleet {
            rig,
            stage,
            fronts,
            relays,
        };
        fleet.add_agent("agent", "agent.toml", "state");
        fleet
    }

    pub fn add_agent(&mut self, name: &str, file: &'static str, state: &'static str) {
        let at = self.rig.directory.path().to_path_buf();
        let make = move |afresh: bool| {
            if afresh {
                let _ = std::fs::remove_dir_all(at.join(state));
            }
            madderloom(&at, &["agent", "--config", file])
        };
        let program = Program::start(make(false));
        program.wait_for("listening on ");
        self.stage
            .processes
            .insert(name.into(), ManagedProcess::new(program, make));
    }

    /// A relay of a zone, at a port that it keeps, with a link of its own to the agent. Its file ends with this.
    pub fn add_relay(&mut self, zone: &str, more: &str) {
        let (name, link, address) = (
            format!("relay-{zone}"),
            Link::new(self.rig.address),
            unique_address(),
        );
        let text = format!(
            "version = 1\nname = \"{name}\"\nlisten = \"{address}\"\n[keys]\nauthority = \"authority.pem\"\n\
             certificate = \"agent.pem\"\nkey = \"agent.key\"\nrevoked = \"keys/revoked.pem\"\n[parent]\n\
             agents = [\"{}\"]\ncertificate = \"shop-any.pem\"\nkey = \"shop-any.key\"\n{more}",
            link.address(),
        );
        std::fs::write(self.rig.at(&format!("{name}.toml")), text).expect("written");
        let (at, file) = (
            self.rig.directory.path().to_path_buf(),
            format!("{name}.toml"),
        );
        let make = move |_| madderloom(&at, &["relay", "--config", &file]);
        let program = Program::start(make(false));
        program.wait_for("listening on ");
        program.wait_for("connected to the agent");
        self.relays.insert(zone.into(), address);
        self.stage.links.insert(format!("{name}>agent"), link);
        self.stage
            .processes
            .insert(name, ManagedProcess::new(program, make));
    }

    /// A sidecar with a link of its own to the agent, or to the relay of its zone. It listens where it did before when it is started again.
    /// Its file ends with what its pool has, `pool`, and its agent's section with `own`.
    pub fn add(&mut self, name: &str, own_name: &str, own: &str, pool: &str) {
        self.begin(name, own_name, own, pool);
        self.stage.program(name).wait_for("front: listening on ");
    }

    /// The same, and it is not waited for.
    pub fn begin(&mut self, name: &str, own_name: &str, own: &str, pool: &str) {
        let zone = name.split('-').next().expect("a zone");
        let link = Link::new(self.relays.get(zone).copied().unwrap_or(self.rig.address));
        let front = unique_address();
        let text = format!(
            "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n[control]\nagent = \"{}\"\nname = \"{own_name}\"\n\
             zone = \"{zone}\"\nkeys = {{ authority = \"authority.pem\", certificate = \"shop-any.pem\", key = \
             \"shop-any.key\" }}\n{own}\n[[listeners]]\nname = \"front\"\naddress = \"{front}\"\n\
             [[pools]]\nname = \"shop\"\n{pool}\nsettings_file = \"site.json\"\n\
             [[routes]]\nname = \"all\"\npool = \"shop\"\n",
            link.address(),
        );
        std::fs::write(self.rig.at(&format!("{name}.toml")), text).expect("written");
        let (at, file) = (
            self.rig.directory.path().to_path_buf(),
            format!("{name}.toml"),
        );
        let make = move |_| madderloom(&at, &["serve", "--operator", &file]);
        let program = Program::start(make(false));
        self.fronts.insert(name.into(), front);
        self.stage.links.insert(format!("{name}>agent"), link);
        self.stage
            .processes
            .insert(name.into(), ManagedProcess::new(program, make));
    }

    /// Two clients at each sidecar.
    pub fn load(&self) -> LoadGenerator {
        self.load_with(PAUSE)
    }

    pub fn load_with(&self, pause: Duration) -> LoadGenerator {
        let fronts: Vec<SocketAddr> = self.fronts.values().flat_map(|front| [*front; 2]).collect();
        LoadGenerator::start(&fronts, pause)
    }

    /// Seconds of CPU that a process has used.
    pub fn cpu(&self, name: &str) -> f64 {
        let stat = std::fs::read_to_string(format!(
            "/proc/{}/stat",
            self.stage.program(name).child.id()
        ));
        let stat = stat.expect("it is up");
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        fields
            .skip(11)
            .take(2)
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / 100.0
    }

    pub fn arrivals(&self) -> Arrivals {
        Arrivals::of_servers(&self.rig.servers)
    }
}

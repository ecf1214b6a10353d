//! A worker process: many hollow instances on one thread, told what to do over standard input.

use super::hollow::{Hollow, Shared};
use super::places::Group;
use super::protocol::{Command, Reply, Setup, Totals};
use super::usage;
use crate::sockets::itself::{on_one_thread, stay_with};
use madderloom_agent::traffic::{Traffic, TrafficCounters};
use madderloom_pki::{KeyFiles, Keyring};
use std::cell::Cell;
use std::io::{BufRead, Write};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Plays hollow instances for the lab that started it, and ends with it.
#[derive(clap::Args)]
pub struct ScaleWorker {
    /// The lab's process
    #[arg(long)]
    parent: i32,
}

impl ScaleWorker {
    /// Does what it is told until its standard input ends.
    ///
    /// # Errors
    /// The lab has gone, or says what makes no sense.
    pub fn run(self) -> Result<(), String> {
        stay_with(self.parent)?;
        on_one_thread(async {
            let mut worker = Worker::default();
            let mut lines = lines();
            while let Some(line) = lines.recv().await {
                let command = serde_json::from_str(&line).map_err(|e| format!("{line}: {e}"))?;
                let reply = worker.obey(command).unwrap_or_else(Reply::Failed);
                let mut text = serde_json::to_vec(&reply).map_err(|e| e.to_string())?;
                text.push(b'\n');
                let mut out = std::io::stdout().lock();
                out.write_all(&text)
                    .and_then(|()| out.flush())
                    .map_err(|e| e.to_string())?;
            }
            Ok(())
        })
    }
}

/// The lines of standard input. A thread reads them, so that the instances go on meanwhile.
fn lines() -> mpsc::UnboundedReceiver<String> {
    let (sender, lines) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

#[derive(Default)]
struct Worker {
    shared: Option<Rc<Shared>>,
    instances: Vec<Hollow>,
}

impl Worker {
    fn obey(&mut self, command: Command) -> Result<Reply, String> {
        match command {
            Command::Setup(setup) => self.set_up(setup)?,
            Command::Start(group) => self.of(group).try_for_each(Hollow::start)?,
            Command::Stop(group) => self.of(group).for_each(Hollow::stop),
            Command::Hold(group) => self.of(group).for_each(|instance| instance.hold()),
            Command::Release(group) => self.of(group).for_each(|instance| instance.release()),
            Command::Discovery(version) => {
                self.shared.iter().for_each(|s| s.discovery.set(version))
            }
            Command::Mark => self.instances.iter().for_each(Hollow::mark),
            Command::CountRenewed(group) => {
                return Ok(Reply::Count(
                    self.of(group).filter_map(|one| one.renewed()).count(),
                ));
            }
            Command::Renewed(group) => {
                return Ok(Reply::Times(
                    self.of(group).filter_map(|one| one.renewed()).collect(),
                ));
            }
            Command::CountInForce(group, marker) => {
                return Ok(Reply::Count(
                    self.of(group)
                        .filter_map(|one| one.in_force(marker))
                        .count(),
                ));
            }
            Command::InForce(group, marker) => {
                return Ok(Reply::Times(
                    self.of(group)
                        .filter_map(|one| one.in_force(marker))
                        .collect(),
                ));
            }
            Command::Totals => return Ok(Reply::Totals(self.totals())),
        }
        Ok(Reply::Done)
    }

    fn of(&mut self, group: Group) -> impl Iterator<Item = &mut Hollow> {
        self.instances
            .iter_mut()
            .filter(move |instance| group.holds(instance.number))
    }

    fn set_up(&mut self, setup: Setup) -> Result<(), String> {
        let file = |ending: &str| setup.keys.join(format!("shop-any.{ending}"));
        let authority = setup.keys.join("keys/authority.pem");
        let files = KeyFiles {
            authority,
            certificate: file("pem"),
            key: file("key"),
            revoked: None,
        };
        let shared = Rc::new(Shared {
            agents: setup.agents,
            keyring: Keyring::load(files)?,
            manner: setup.manner,
            counters: Arc::new(TrafficCounters::default()),
            discovery: Rc::new(Cell::new(1)),
        });
        self.instances = setup
            .instances
            .map(|number| Hollow::new(number, &shared))
            .collect();
        self.shared = Some(shared);
        Ok(())
    }

    fn totals(&self) -> Totals {
        let traffic = self
            .shared
            .as_ref()
            .map_or(Traffic::default(), |shared| shared.counters.read());
        Totals {
            traffic,
            usage: usage::of(std::process::id()),
        }
    }
}

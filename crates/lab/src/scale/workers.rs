//! The worker processes of a rig, as its conductor sees them.

use super::limits::workers;
use super::places::Group;
use super::protocol::{Command, Manner, Reply, Setup, Totals};
use crate::sockets::child::own_program;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Stdio};

/// All hollow instances of a rig.
pub struct Workers(Vec<Worker>);

struct Worker {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Workers {
    /// Starts processes for so many instances, none of which is started yet. They are at the agent of this address, or at
    /// the relays of their zones.
    ///
    /// # Errors
    /// A process can't be started, or can't read the keys.
    pub fn start(
        instances: usize,
        agents: &[String],
        keys: &Path,
        manner: &Manner,
    ) -> Result<Self, String> {
        let each = instances.div_ceil(workers(instances));
        let mut all = Workers(Vec::new());
        for first in (0..instances).step_by(each.max(1)) {
            let mut worker = Worker::start()?;
            let setup = Setup {
                agents: agents.to_vec(),
                keys: keys.to_path_buf(),
                instances: first..instances.min(first + each),
                manner: manner.clone(),
            };
            worker.tell(&Command::Setup(setup))?;
            worker.hear()?;
            all.0.push(worker);
        }
        Ok(all)
    }

    /// Tells all workers, and waits until all have done it.
    ///
    /// # Errors
    /// One can't do it, or has ended.
    pub fn tell(&mut self, command: &Command) -> Result<(), String> {
        self.ask(command).map(|_| ())
    }

    /// Starts instances anew.
    ///
    /// # Errors
    /// A worker has ended.
    pub fn start_group(&mut self, group: Group) -> Result<(), String> {
        self.tell(&Command::Start(group))
    }

    /// How many, over all workers.
    ///
    /// # Errors
    /// A worker has ended.
    pub fn count(&mut self, command: &Command) -> Result<usize, String> {
        let replies = self.ask(command)?;
        Ok(replies
            .iter()
            .map(|reply| {
                if let Reply::Count(count) = reply {
                    *count
                } else {
                    0
                }
            })
            .sum())
    }

    /// Times, over all workers.
    ///
    /// # Errors
    /// A worker has ended.
    pub fn times(&mut self, command: &Command) -> Result<Vec<u64>, String> {
        let replies = self.ask(command)?;
        Ok(replies
            .into_iter()
            .flat_map(|reply| {
                if let Reply::Times(times) = reply {
                    times
                } else {
                    vec![]
                }
            })
            .collect())
    }

    /// What has passed and was used, over all workers.
    ///
    /// # Errors
    /// A worker has ended.
    pub fn totals(&mut self) -> Result<Totals, String> {
        let mut all = Totals::default();
        for reply in self.ask(&Command::Totals)? {
            if let Reply::Totals(totals) = reply {
                all += totals;
            }
        }
        Ok(all)
    }

    fn ask(&mut self, command: &Command) -> Result<Vec<Reply>, String> {
        self.0
            .iter_mut()
            .try_for_each(|worker| worker.tell(command))?;
        self.0.iter_mut().map(Worker::hear).collect()
    }
}

impl Worker {
    fn start() -> Result<Self, String> {
        let say = |problem: std::io::Error| format!("a worker: {problem}");
        let mut command = std::process::Command::new(own_program().map_err(say)?);
        command
            .args(["scale-worker", "--parent"])
            .arg(std::process::id().to_string());
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(say)?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err("a worker: has no pipes".into());
        };
        Ok(Worker {
            child,
            input,
            output: BufReader::new(output),
        })
    }

    fn tell(&mut self, command: &Command) -> Result<(), String> {
        let mut text = serde_json::to_vec(command).map_err(|e| e.to_string())?;
        text.push(b'\n');
        self.input
            .write_all(&text)
            .map_err(|e| format!("a worker has ended: {e}"))
    }

    fn hear(&mut self) -> Result<Reply, String> {
        let mut line = String::new();
        self.output
            .read_line(&mut line)
            .map_err(|e| format!("a worker has ended: {e}"))?;
        match serde_json::from_str(&line) {
            Ok(Reply::Failed(why)) => Err(why),
            Ok(reply) => Ok(reply),
            Err(_) => Err(format!("a worker has ended or makes no sense: {line:?}")),
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

//! A chain of hops: each passes on to the next one, and the last one to the servers.

use crate::sockets::child::{Process, Usage};
use std::net::SocketAddr;
use std::time::Duration;

/// Processes behind each other, the first of which the clients are at; none where they are at a server themselves.
pub(super) struct Chain {
    processes: Vec<Process>,
    at: SocketAddr,
}

impl Chain {
    /// No hop: the clients are at a server.
    pub(super) fn direct(at: SocketAddr) -> Self {
        Chain {
            processes: Vec::new(),
            at,
        }
    }

    /// So many hops before these servers. `start` starts one that passes on to these addresses.
    ///
    /// # Errors
    /// One does not start.
    pub(super) async fn start(
        depth: u32,
        servers: &[SocketAddr],
        start: impl Fn(u32, &[SocketAddr]) -> Result<Process, String>,
    ) -> Result<Self, String> {
        let mut next = servers.to_vec();
        let mut processes = Vec::new();
        for number in (1..=depth).rev() {
            let mut process = start(number, &next)?;
            next = vec![process.listens().await?];
            processes.insert(0, process);
        }
        let at = next.first().copied().ok_or("there is no server")?;
        Ok(Chain { processes, at })
    }

    /// Where its clients are.
    pub(super) fn at(&self) -> SocketAddr {
        self.at
    }

    /// What all of its processes used.
    pub(super) fn usage(&self) -> Usage {
        self.processes
            .iter()
            .map(Process::usage)
            .fold(Usage::default(), |all, one| Usage {
                cpu: all.cpu + one.cpu,
                waited: all.waited + one.waited,
                memory: all.memory + one.memory,
            })
    }

    /// The last line of the first one's log, for a report.
    pub(super) fn last_line(&self) -> String {
        self.processes
            .first()
            .map_or_else(|| "a server says nothing".into(), Process::last_line)
    }

    /// Stops all of them.
    ///
    /// # Errors
    /// One does not end in time.
    pub(super) async fn stop(self, patience: Duration) -> Result<(), String> {
        for process in self.processes {
            process.stop(patience).await?;
        }
        Ok(())
    }
}

//! Identity of a watched task: its name in the log and the mark shared between threads.

use std::fmt;
use std::net::SocketAddr;

/// Defines the kinds of tasks with their names.
macro_rules! task_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal,)*) => {
        /// The kinds of tasks that share an event loop.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub enum TaskKind {
            $($(#[$doc])* $kind,)*
        }

        impl TaskKind {
            const ALL: &[TaskKind] = &[$(TaskKind::$kind),*];

            /// Name in the log.
            pub fn name(self) -> &'static str {
                match self {
                    $(TaskKind::$kind => $name,)*
                }
            }
        }
    };
}

task_kinds! {
    /// Accepts client connections on a listener.
    AcceptLoop = "accept loop",
    /// Serves a client connection, with its requests and their attempts.
    ClientConnection = "client connection",
    /// Reads the rest of a request body after the response was sent.
    BodyDrain = "drain of a request body",
    /// Runs the timer wheel of the process.
    Timers = "timers",
    /// Housekeeping that runs every second.
    Maintenance = "upkeep",
    /// Runs tasks in the order of the fair queue.
    FairQueue = "fair queue",
    /// Watches discovery's server list.
    DiscoveryWatch = "discovery watch",
    /// Drives the connection to discovery.
    DiscoveryConnection = "discovery connection",
    /// Probes a server's load.
    LoadProbe = "load probe",
    /// Checks the conditions of the degradation levels.
    DegradationLevels = "service levels",
    /// Drains the process.
    Drain = "drain",
    /// Drains a pool that is no longer configured.
    PoolRemoval = "removal of a pool",
    /// Reloads the configuration files.
    Reload = "reload",
    /// Starts and stops the process.
    Lifecycle = "start and stop",
    /// Writes persisted state.
    PersistedState = "persisted state",
    /// Writes the snapshot for a warm start.
    WarmStartSnapshot = "snapshot for a warm start",
    /// Accepts connections to the admin view.
    AdminListener = "admin listener",
    /// Serves a connection to the admin view.
    AdminConnection = "admin connection",
    /// Accepts connections to the control address.
    ControlListener = "control listener",
    /// Serves a connection to the control address.
    ControlConnection = "control connection",
    /// Maintains the link to the agent.
    AgentLink = "agent link",
    /// Sends one message to the agent, or reads its stream of orders.
    AgentCall = "agent call",
    /// Runs the agent's state machines.
    AgentCore = "agent core",
    /// Serves an instance's or an operator's connection to the agent.
    AgentConnection = "agent connection",
    /// Checks keys and certificates for changes.
    KeyFiles = "key files",
}

/// A task: its kind and, if it serves a peer, the port of that peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// What the task does.
    pub kind: TaskKind,
    /// Port at the peer's end of the connection.
    pub peer_port: Option<u16>,
}

impl TaskKind {
    /// The task of this kind that serves this peer.
    pub fn for_peer(self, peer: SocketAddr) -> Task {
        Task {
            kind: self,
            peer_port: Some(peer.port()),
        }
    }
}

impl From<TaskKind> for Task {
    fn from(kind: TaskKind) -> Self {
        Task {
            kind,
            peer_port: None,
        }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.name())?;
        self.peer_port
            .map_or(Ok(()), |port| write!(f, " (peer port {port})"))
    }
}

/// A running poll packed into one word, so that another thread reads it atomically: the start time in milliseconds (high
/// 40 bits), the peer's port (16 bits), and the task kind counted from 1 (8 bits). Zero means that no poll is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollMark(u64);

impl PollMark {
    pub(crate) const IDLE: PollMark = PollMark(0);

    pub(crate) fn new(task: Task, started_ms: u64) -> Self {
        let port = u64::from(task.peer_port.unwrap_or(0));
        PollMark(started_ms << 24 | port << 8 | (task.kind as u64 + 1))
    }

    pub(crate) fn from_word(word: u64) -> Self {
        PollMark(word)
    }

    pub(crate) fn word(self) -> u64 {
        self.0
    }

    /// The task and the start time of its poll in milliseconds; none if no poll is running.
    pub(crate) fn task_and_start(self) -> Option<(Task, u64)> {
        let index = usize::try_from(self.0 & 0xff).ok()?.checked_sub(1)?;
        let kind = *TaskKind::ALL.get(index)?;
        let port = (self.0 >> 8 & 0xffff) as u16;
        Some((
            Task {
                kind,
                peer_port: (port > 0).then_some(port),
            },
            self.0 >> 24,
        ))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_mark_round_trips_its_task_and_start_time() {
        for kind in TaskKind::ALL {
            for peer_port in [None, Some(1), Some(u16::MAX)] {
                for started_ms in [0, 1, 1 << 39] {
                    let task = Task {
                        kind: *kind,
                        peer_port,
                    };
                    assert_eq!(
                        PollMark::new(task, started_ms).task_and_start(),
                        Some((task, started_ms))
                    );
                    assert_ne!(PollMark::new(task, started_ms), PollMark::IDLE);
                }
            }
        }
        assert_eq!(PollMark::IDLE.task_and_start(), None);
    }
}

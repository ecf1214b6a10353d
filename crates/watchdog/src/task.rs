//! What a watched task is, as it is named in the log, and as the mark that is shared between threads.

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

            /// Its name in the log.
            pub fn name(self) -> &'static str {
                match self {
                    $(TaskKind::$kind => $name,)*
                }
            }
        }
    };
}

task_kinds! {
    /// A listener takes clients.
    AcceptLoop = "accept loop",
    /// A client's connection, with the requests on it and their attempts at servers.
    ClientConnection = "client connection",
    /// The rest of a request body is read whose answer has been given.
    BodyDrain = "drain of a request body",
    /// The timer wheel of the process.
    Timers = "timers",
    /// What is looked after every second.
    Maintenance = "upkeep",
    /// Tasks are released in the order of the fair queue.
    FairQueue = "fair queue",
    /// The watch of discovery's list of servers.
    DiscoveryWatch = "discovery watch",
    /// The connection to discovery.
    DiscoveryConnection = "discovery connection",
    /// A server is asked for its load.
    LoadProbe = "load probe",
    /// Conditions of reduced service levels are checked.
    DegradationLevels = "service levels",
    /// The process drains.
    Drain = "drain",
    /// A pool that is no longer configured finishes what it has.
    PoolRemoval = "removal of a pool",
    /// The files are read again.
    Reload = "reload",
    /// The start and the stop of the process.
    Lifecycle = "start and stop",
    /// Persisted state is written.
    PersistedState = "persisted state",
    /// The snapshot for a warm start is written.
    WarmStartSnapshot = "snapshot for a warm start",
    /// The admin view takes readers.
    AdminListener = "admin listener",
    /// A reader of the admin view.
    AdminConnection = "admin connection",
    /// The second address takes callers.
    ControlListener = "control listener",
    /// A caller at the second address.
    ControlConnection = "control connection",
    /// The link to the agent.
    AgentLink = "agent link",
    /// One message to the agent, or its stream of orders.
    AgentCall = "agent call",
    /// The agent's state machines.
    AgentCore = "agent core",
    /// An instance's or an operator's connection to the agent.
    AgentConnection = "agent connection",
    /// Keys and certificates are looked at for changes.
    KeyFiles = "key files",
}

/// A task: its kind, and the port of the peer that it serves where there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// What it does.
    pub kind: TaskKind,
    /// The port at the peer's end of its connection.
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
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(self.kind.name())?;
        self.peer_port
            .map_or(Ok(()), |port| write!(to, " (peer port {port})"))
    }
}

/// A turn in one word, so that another thread reads it whole: the time of its beginning in milliseconds, the peer's port, and
/// the kind of the task counted from 1. Zero stands for no turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Mark(u64);

impl Mark {
    pub(crate) const IDLE: Mark = Mark(0);

    pub(crate) fn new(task: Task, began_ms: u64) -> Self {
        let port = u64::from(task.peer_port.unwrap_or(0));
        Mark(began_ms << 24 | port << 8 | (task.kind as u64 + 1))
    }

    pub(crate) fn from_word(word: u64) -> Self {
        Mark(word)
    }

    pub(crate) fn word(self) -> u64 {
        self.0
    }

    /// The task and when its turn began, in milliseconds; none where nothing runs.
    pub(crate) fn turn(self) -> Option<(Task, u64)> {
        let place = usize::try_from(self.0 & 0xff).ok()?.checked_sub(1)?;
        let kind = *TaskKind::ALL.get(place)?;
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
    fn a_mark_gives_back_the_task_and_the_time_that_it_was_made_of() {
        for kind in TaskKind::ALL {
            for peer_port in [None, Some(1), Some(u16::MAX)] {
                for began in [0, 1, 1 << 39] {
                    let task = Task {
                        kind: *kind,
                        peer_port,
                    };
                    assert_eq!(Mark::new(task, began).turn(), Some((task, began)));
                    assert_ne!(Mark::new(task, began), Mark::IDLE);
                }
            }
        }
        assert_eq!(Mark::IDLE.turn(), None);
    }
}

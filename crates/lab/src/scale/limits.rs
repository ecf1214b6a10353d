//! Whether the machine bears a fleet of some size, asked before anything is started.

use super::usage::Allowed;
use std::fmt;

/// Connections of one instance: one for its reports, one for its watch.
const CONNECTIONS: u64 = 2;
/// Descriptors of a process beside its connections.
const OWN_DESCRIPTORS: u64 = 64;
/// Bytes that an instance takes in the rig and in the agent together, by the first trials, rounded up.
const BYTES_PER_INSTANCE: u64 = 400 << 10;
/// Instances of one worker process at most.
const PER_WORKER: usize = 2_500;
/// Processes of a rig at most.
pub const MOST_PROCESSES: usize = 300;

/// Why a fleet of some size can't be had here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unable {
    /// A process would need more descriptors than it may open.
    Descriptors {
        /// Whose.
        process: &'static str,
        /// Instances that were wanted.
        instances: usize,
        /// Descriptors that this takes.
        needed: u64,
        /// Descriptors that the process may open.
        allowed: u64,
    },
    /// More than half of the machine's memory would be taken.
    Memory {
        /// Instances that were wanted.
        instances: usize,
        /// Bytes that this takes.
        needed: u64,
        /// Bytes that may be taken.
        allowed: u64,
    },
    /// More processes than a rig may start.
    Processes {
        /// Processes that were wanted.
        needed: usize,
    },
}

impl fmt::Display for Unable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unable::Descriptors {
                process,
                instances,
                needed,
                allowed,
            } => write!(
                f,
                "{instances} instances can't be had here: the {process} needs {needed} descriptors and may open \
                 {allowed}"
            ),
            Unable::Memory {
                instances,
                needed,
                allowed,
            } => write!(
                f,
                "{instances} instances can't be had here: they take {} MB or so, and half of the machine's memory \
                 is {} MB",
                needed >> 20,
                allowed >> 20
            ),
            Unable::Processes { needed } => {
                write!(
                    f,
                    "{needed} processes can't be had: a rig starts {MOST_PROCESSES} at most"
                )
            }
        }
    }
}

impl std::error::Error for Unable {}

/// Worker processes for so many instances.
pub fn workers(instances: usize) -> usize {
    instances.div_ceil(PER_WORKER).max(1)
}

/// Checks that so many hollow instances, and relays between them and the agent, can be had.
///
/// # Errors
/// The first limit that is in the way.
pub fn check(instances: usize, relays: usize, allowed: Allowed) -> Result<(), Unable> {
    // Behind relays, a relay has the connections of its instances, and the agent those of the relays.
    let at_agent = if relays == 0 { instances } else { relays };
    let at_relay = if relays == 0 {
        0
    } else {
        instances.div_ceil(relays)
    };
    let of_agent = CONNECTIONS * at_agent as u64 + OWN_DESCRIPTORS;
    let of_relay = CONNECTIONS * at_relay as u64 + OWN_DESCRIPTORS;
    let of_worker = CONNECTIONS * instances.div_ceil(workers(instances)) as u64 + OWN_DESCRIPTORS;
    for (process, needed) in [
        ("agent", of_agent),
        ("relay", of_relay),
        ("worker", of_worker),
    ] {
        if needed > allowed.descriptors {
            let allowed = allowed.descriptors;
            return Err(Unable::Descriptors {
                process,
                instances,
                needed,
                allowed,
            });
        }
    }
    let needed = BYTES_PER_INSTANCE * instances as u64;
    check_memory(instances, needed, allowed)?;
    check_processes(workers(instances) + relays + 2)
}

/// Checks that no more than half of the machine's memory is taken.
///
/// # Errors
/// More is.
pub fn check_memory(instances: usize, needed: u64, allowed: Allowed) -> Result<(), Unable> {
    let allowed = allowed.memory / 2;
    if needed > allowed {
        Err(Unable::Memory {
            instances,
            needed,
            allowed,
        })
    } else {
        Ok(())
    }
}

/// Checks that so many processes may be started.
///
/// # Errors
/// They may not.
pub fn check_processes(needed: usize) -> Result<(), Unable> {
    if needed > MOST_PROCESSES {
        Err(Unable::Processes { needed })
    } else {
        Ok(())
    }
}

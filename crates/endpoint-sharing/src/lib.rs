//! Endpoint lists shared within a fleet, so that few instances have to call discovery.
//!
//! Instances report the lists that discovery gave them to the agent. The agent's [`EndpointListDistributor`] passes on
//! the newest version of each. An instance's [`SharedEndpointLists`] tracks how old the lists that it holds are, and when
//! the instance has to call discovery itself. The crate does no I/O and reads no clock: times are passed in as
//! [`Micros`].
//!
//! # Guarantees
//!
//! Each list is sent with the age of its *evidence*: the time since discovery last confirmed, over some instance's
//! watch, that no newer list exists. The following holds for any loss, delay, duplication and reordering of messages,
//! and for any crash, pause and restart of a process:
//!
//! 1. No instance takes a list for younger than its evidence. An age is never counted from the arrival of a message. The
//!    instance counts its ages from the agent's latest timestamp, whose time the agent knows; the agent answers with an
//!    age as of the instance's own report, whose time the instance knows. The time a message travels counts as age.
//! 2. An instance calls discovery itself once its evidence reaches the age that [`DiscoveryCallSchedule`] gives; see
//!    [`SharedEndpointLists::discovery_call_due`]. Within the configured time no instance goes on using older evidence
//!    without calling, not even if all links fail at once.
//! 3. A list is replaced only by a higher version, or by the same version with later evidence. A lower version is
//!    accepted only after no evidence for the higher one has come for [`HIGHER_VERSION_TIMEOUT`]. So an older list that
//!    arrives late does not undo a drain.
//!
//! Clocks may differ in rate by one part in [`CLOCK_DRIFT_DIVISOR`]; ages are counted as that much longer.

mod distributor;
mod error;
mod held_list;
mod instance_table;
mod limits;
mod message;
mod pending_requests;
mod shared_endpoint_lists;
mod stored_list;
mod timing;
mod version;

pub use distributor::{
    Distribution, DistributionEvent, EndpointListDistributor, EndpointListStatus, Push,
};
pub use error::Error;
pub use limits::{
    DEFAULT_ACCEPTED_LIST_BYTES, ENOUGH_WATCHERS, MAX_LIST_BYTES, MAX_LISTS, MAX_NAME_BYTES,
};
pub use message::{
    AgentTimestamp, EndpointListReport, EndpointListReports, EndpointListUpdate,
    EndpointListUpdates,
};
pub use shared_endpoint_lists::{
    HeldListStatus, Offer, OwnList, SharedEndpointLists, UpdateOutcome,
};
pub use timing::{
    CLOCK_DRIFT_DIVISOR, DiscoveryCallSchedule, HIGHER_VERSION_TIMEOUT, Micros, agent_refresh_age,
    first_discovery_wait,
};
pub use version::ListVersion;

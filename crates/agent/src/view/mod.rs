//! What an agent shows of itself, of its instances and of rollouts: the JSON bodies of `GET` requests by operators.
//!
//! Names of fields on the wire are those of `docs/control-protocol.md`; where the name here differs, the attribute of the
//! field says so. A field that came with a later version has a default, so that the views of an earlier agent can be read.

mod fleet_limit;
mod instance;
mod rollout;
mod status;

pub use fleet_limit::{AmountView, FleetLimitView};
pub use instance::{InstanceDetailView, InstanceView};
pub use rollout::{RolloutView, TargetState, TargetView};
pub use status::StatusView;

use crate::delivery_routes::DeliveryRoutes;
use madderloom_control_plane::{Fleet, Micros};
use madderloom_endpoint_sharing::EndpointListDistributor;

/// The state that views are made of, at one time.
pub(crate) struct FleetSnapshot<'a> {
    /// Members, rollouts and fleet-wide limits.
    pub(crate) fleet: &'a Fleet,
    /// The endpoint lists that the fleet shares.
    pub(crate) lists: &'a EndpointListDistributor,
    /// The watches of instances and relays.
    pub(crate) routes: &'a DeliveryRoutes,
    /// The time, on the clock of the process.
    pub(crate) now: Micros,
}

//! What a link needs of the program of its instance.

use madderloom_control_plane::Memory;
use madderloom_control_plane::gate::Counts;
use madderloom_control_plane::protocol::{Outcome, ToAgent, ToInstance};
use madderloom_control_plane::settings::Overlay;
use madderloom_endpoint_sharing::{EndpointListReports, EndpointListUpdates};
use madderloom_quota_leases::{Grant, LeaseRequests};
use std::pin::Pin;

/// An order that is being carried out.
pub type ApplyFuture = Pin<Box<dyn Future<Output = Outcome>>>;

/// The program of an instance, as its link sees it. Calls must not block.
pub trait LinkHandler {
    /// Checks all of these settings, and has all of them in effect beside the instance's own file, or none. Orders are carried
    /// out one after the other. One that is dropped before it completes must have no effect.
    fn apply(&mut self, overlay: &Overlay) -> ApplyFuture;

    /// The requests that have ended within the last window of ten seconds.
    fn request_counts(&mut self) -> Counts;

    /// Persists what the next start of the instance needs, if the program can persist anything.
    fn persist(&mut self, memory: &Memory);

    /// The requests for leases of fleet-wide limits that go with the report that is made now. `term` is the greatest known
    /// term of an agent. None: the instance takes part in no fleet-wide limit.
    fn lease_requests(&mut self, _term: u64) -> Option<LeaseRequests> {
        None
    }

    /// Takes the grant of leases of fleet-wide limits. Returns whether a report is due at once, to confirm it.
    fn grant_received(&mut self, _grant: &Grant) -> bool {
        false
    }

    /// The reports on shared endpoint lists that go with the report that is made now. None: the instance shares no list.
    fn list_reports(&mut self) -> Option<EndpointListReports> {
        None
    }

    /// Takes an update of shared endpoint lists. Returns whether the agent wants a report at once.
    fn lists_received(&mut self, _lists: &EndpointListUpdates) -> bool {
        false
    }

    /// Called for each message that is sent to the agent, for programs that count them.
    fn message_sent(&mut self, _message: &ToAgent) {}

    /// Called for each message that came from the agent, for programs that count them.
    fn message_received(&mut self, _message: &ToInstance) {}
}

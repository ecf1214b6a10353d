//! The messages between lease holders and the lease server.

use crate::{Amount, Micros};
use serde::{Deserialize, Serialize};

/// Identifies a start of a lease server: the term of its agent, and a number drawn at random at the start. Two
/// servers may have the same term where one was started on an old copy of the other's state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerId {
    /// The term of the agent.
    pub term: u64,
    /// Drawn at random at the start.
    pub id: u64,
}

/// What an instance reports of one limit: what it holds, what it needs and what it uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The name of the limit; for a limit of each server, followed by a slash and the server.
    pub limit: String,
    /// The amount leased at present; nothing without a lease.
    pub holds: Amount,
    /// The recent rate of requests, admitted or not, in thousandths a second.
    pub wanted: u64,
    /// The recent maximum of requests that were open at once or would have been.
    pub wanted_open: u64,
    /// Requests that are open now.
    pub open: u64,
    /// The recent rate of admitted requests, in thousandths a second.
    pub used: u64,
}

/// The part of an instance's report that is about its limits. It also acknowledges the grant that the instance uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequests {
    /// The sequence number of the report within this start of the instance, from 1.
    pub seq: u64,
    /// The server whose grant the instance uses; none before the first grant.
    pub by: Option<ServerId>,
    /// The number of that grant. The server may forget all earlier ones.
    pub number: u64,
    /// One entry for each limit.
    pub of: Vec<LeaseRequest>,
}

/// A lease of a share of one limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The limit, as in the request.
    pub limit: String,
    /// The leased share.
    pub amount: Amount,
    /// The whole limit.
    pub whole: Amount,
}

/// A message of the lease server to one start of an instance: all leases that this start holds from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    /// The start of the instance that the grant is for.
    pub start: u64,
    /// The server that made the grant.
    pub by: ServerId,
    /// The sequence number of the grants to this start, from 1.
    pub number: u64,
    /// The sequence number of the last report that the server had received.
    pub answers: u64,
    /// How long the leases are valid, counted from when that report was made. In microseconds.
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// The leases. The instance has no lease of any other limit and falls back to its safe amount there.
    pub of: Vec<Lease>,
}

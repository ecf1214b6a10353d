//! The messages between lease holders and the lease server. Other versions of the agent and of the instances read them,
//! so that their serialized names stay as they are.

use crate::{Capacity, Micros};
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

/// An instance's request for a lease of one limit: what it holds, what it needs and what it uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The name of the limit; for a limit of each server, followed by a slash and the server.
    pub limit: String,
    /// The capacity leased at present; zero without a lease.
    #[serde(rename = "holds")]
    pub held: Capacity,
    /// The recent rate of requests, admitted or not, in thousandths a second.
    #[serde(rename = "wanted")]
    pub demand_rate: u64,
    /// The recent maximum of requests that were in flight at once or would have been.
    #[serde(rename = "wanted_open")]
    pub demand_in_flight: u64,
    /// Requests that are in flight now.
    #[serde(rename = "open")]
    pub in_flight: u64,
    /// The recent rate of admitted requests, in thousandths a second.
    #[serde(rename = "used")]
    pub admitted_rate: u64,
}

/// The part of an instance's report that is about its limits. It also acknowledges the grant that the instance uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequests {
    /// The sequence number of the report within this start of the instance, from 1.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The server whose grant the instance uses; none before the first grant.
    #[serde(rename = "by")]
    pub server: Option<ServerId>,
    /// The number of that grant. The server may forget all earlier ones.
    #[serde(rename = "number")]
    pub grant_number: u64,
    /// One entry for each limit; the server reads the first [`crate::MAX_LIMITS_PER_HOLDER`].
    #[serde(rename = "of")]
    pub requests: Vec<LeaseRequest>,
}

/// A lease of a share of one limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The limit, as in the request.
    pub limit: String,
    /// The leased capacity.
    #[serde(rename = "amount")]
    pub capacity: Capacity,
    /// The capacity of the limit, of which the lease is a share.
    #[serde(rename = "whole")]
    pub total: Capacity,
}

/// A message of the lease server to one start of an instance: all leases that this start holds from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    /// The start of the instance that the grant is for.
    pub start: u64,
    /// The server that made the grant.
    #[serde(rename = "by")]
    pub server: ServerId,
    /// The sequence number of the grants to this start, from 1.
    pub number: u64,
    /// The sequence number of the last report that the server had received.
    #[serde(rename = "answers")]
    pub answered_sequence: u64,
    /// How long the leases are valid, counted from when that report was made. In microseconds.
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// The leases. The instance has no lease of any other limit and falls back to its safe capacity there.
    #[serde(rename = "of")]
    pub leases: Vec<Lease>,
}

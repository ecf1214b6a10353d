//! The sidecar: the socket code around the balancer. The balancer makes all decisions except those that follow directly from
//! malformed input and hard limits.
//!
//! Everything runs on one thread. State of the process is in `process_state`, state of a listener in `listener`, and state of
//! one pool of servers in `service`: its balancer, server list, connections, timers and requests in flight. Every task holds
//! the service that it works for and passes events to it. The service dispatches the resulting actions to the transactions,
//! the pool, the probes or the timers.

mod active_settings;
pub mod admin;
mod admin_events;
mod agent_link;
mod attempt;
mod attempt_limits;
mod body_decoder;
mod client;
mod client_arrivals;
mod client_pace;
mod clock;
mod config;
mod connections;
mod control_address;
mod counts;
mod discovery_calls;
mod discovery_watch;
#[cfg(test)]
mod documented_figures_tests;
mod drain;
mod event_log;
mod exchange;
mod exchange_progress;
mod fair_scheduler;
mod fleet_limits;
mod graphql;
mod history_recorder;
mod in_flight_id;
mod lateness;
mod levels;
mod limits;
mod list_reader;
mod listener;
mod memory;
mod ordinal;
#[cfg(test)]
mod ordinal_tests;
mod page;
mod peeked_request;
mod plot;
mod pool;
mod probe;
mod process;
mod process_state;
mod read_buffer;
mod readiness;
#[cfg(test)]
mod readiness_tests;
mod reason_counts;
mod recent_hashes;
mod rejection;
mod reload;
mod request_deadline;
mod request_framing;
mod request_log;
mod response_body;
mod routing;
mod service;
mod shared_lists;
mod shared_request_ids;
mod stall;
mod state_writer;
mod supervision;
mod timers;
mod traffic_shares;
mod transaction;
mod unanswered_runs;
mod upload;
mod upload_pace;
mod view;
mod virtual_server;
mod warm_start;

pub use config::{Config, ConfigError, Limits};
pub use process::Sidecar;

/// Answers of up to this many bytes are buffered completely before they are forwarded, so that one that breaks off can be
/// retried on another server. GraphQL messages are buffered up to the same size.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// The longest request body in bytes, unless an operator file sets another limit.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 20;

// The code relies on running on one thread, so these types must not be sent to or shared with other threads.
#[cfg(test)]
static_assertions::assert_not_impl_any!(service::Service: Send, Sync);
#[cfg(test)]
static_assertions::assert_not_impl_any!(process_state::ProcessState: Send, Sync);
#[cfg(test)]
static_assertions::assert_not_impl_any!(process::Sidecar: Send, Sync);

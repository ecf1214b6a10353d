//! The real sidecar: sockets around the decision module. Nothing is decided here but what malformed
//! input and hard limits leave no choice in.
//!
//! One thread. What belongs to the process is in `process`, what belongs to a listener in `listener`, and what belongs
//! to one pool of servers in `service`: its instance of the decision module, its list, its connections, its timers
//! and its open requests. Every task holds the service that it works for and hands it events; the actions that come
//! back are dispatched there, to the transaction, the pool, the probes or the timers they name.

mod active_settings;
pub mod admin;
mod agent_link;
mod attempt;
mod client;
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
mod fair_scheduler;
mod feed;
mod fleet_limits;
mod graphql;
mod levels;
mod limits;
mod list_reader;
mod listener;
mod ordinal;
#[cfg(test)]
mod ordinal_tests;
mod page;
mod plot;
mod pool;
mod probe;
mod process;
mod process_state;
mod readiness;
#[cfg(test)]
mod readiness_tests;
mod reload;
mod request_framing;
mod response_body;
mod routing;
mod service;
mod shared_lists;
mod state_writer;
mod supervision;
mod teller;
mod timers;
mod traffic_shares;
mod transaction;
mod upload;
mod view;
mod virtual_server;
mod warm_start;
pub use config::{Config, ConfigError, Limits};
pub use process::Sidecar;

/// An answer of up to this much is taken whole before any of it is passed on, so that one that breaks off can be asked
/// for elsewhere. So is a GraphQL message.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// The longest body of a request, where no operator file says otherwise.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 20;

// Where the answer to what may overlap is that one thread serves and decides, the compiler is asked.
#[cfg(test)]
static_assertions::assert_not_impl_any!(service::Service: Send, Sync);
#[cfg(test)]
static_assertions::assert_not_impl_any!(process_state::ProcessState: Send, Sync);
#[cfg(test)]
static_assertions::assert_not_impl_any!(process::Sidecar: Send, Sync);

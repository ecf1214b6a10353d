//! The agent of a fleet, its relays and their clients: the sockets, TLS and storage around the state machines of
//! [`madderloom_control_plane`]. They speak HTTP/1.1 and JSON under mutual TLS.
//!
//! - [`AgentConfig`] is the agent's configuration file, [`Agent`] the program. It keeps its durable records in a [`Storage`],
//!   and records every attempt to change the fleet in an audit log.
//! - [`relay`] is the program between the instances of one zone and the agent.
//! - [`Client`] sends requests to an agent or a relay; [`view`] holds what an agent shows to operators.
//! - [`Link`] is the side of an instance: it drives the instance's state machine over two clients.
//! - [`traffic`] counts what passes over connections.
//!
//! One thread serves. State is owned by one task each, [`Agent`]'s and [`relay::Relay`]'s, which others ask over a channel, so
//! that nothing is borrowed while a task waits.
//!
//! `docs/control-protocol.md` documents the messages on the wire.

mod audit_log;
mod client;
mod clock;
mod config;
mod delivery_routes;
mod dial;
mod error;
mod fleet_task;
mod http;
mod key_files;
mod link;
pub mod relay;
mod server;
mod storage;
pub mod traffic;
pub mod view;

pub use client::{AgentResponse, Client, ClientError};
pub use config::{AgentConfig, DEFAULT_MAX_CONNECTIONS};
pub use dial::{ByteStream, DialFuture, Dialer};
pub use error::Error;
pub use link::{ApplyFuture, Link, LinkHandler};
pub use server::Agent;
pub use storage::{DurableStorage, MemoryStorage, RecordChanges, Storage};

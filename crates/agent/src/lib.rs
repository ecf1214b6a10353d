//! The agent of a fleet, with its I/O: what [`madderloom_control_plane`] decides, over HTTP/1.1 and JSON within mutual TLS.
//!
//! - [`AgentConfig`] is the agent's file, [`Agent`] the program: it listens, keeps what must last through a [`Storage`],
//!   and writes every attempt to change something into an audit log.
//! - [`relay`] is the program between many instances and an agent.
//! - [`Client`] speaks to an agent; [`view`] holds what it can be asked for.
//! - [`traffic`] counts what passes over its connections.
//! - [`Link`] is an instance's side: it drives the instance's machine over a client, and never makes it wait.
//!
//! `docs/control-protocol.md` tells what goes over the wire.

mod audit;
mod batch;
mod client;
mod clock;
mod config;
mod core;
mod dial;
mod error;
mod http;
mod link;
mod listener;
pub mod relay;
mod routes;
mod server;
mod storage;
pub mod traffic;
pub mod view;

pub use client::{Answer, Client, ClientError};
pub use config::{AgentConfig, DEFAULT_MAX_CONNECTIONS};
pub use dial::{ByteStream, Dialer, DialFuture};
pub use error::Error;
pub use link::{Link, LinkHandler, ApplyFuture};
pub use server::Agent;
pub use storage::{DurableStorage, MemoryStorage, RecordChanges, Storage};

//! GraphQL over HTTP, free of I/O: what a request asks for, and what may be done with it.
//!
//! A [`Front`] takes a message as it came and says, for each operation in it, of which class it is, whether it may be
//! sent twice, what it is about and about how much work it is; or why no server is to hear of it. The bytes
//! are never rewritten: a message goes on as it came, or, where batches are taken apart, element by element.
//!
//! The rule that everything here serves: an operation is held to be harmless to repeat only where that is certain.
//! What no parser reads, what two servers could read in two ways, and what names something that is not known here,
//! is unsafe or refused.
//!
//! The message is that of the GraphQL over HTTP specification with two customs of the field: batches as JSON arrays,
//! and automatic persisted queries (`extensions.persistedQuery`, version 1, SHA-256).

mod answer;
mod batch;
mod class;
mod document;
mod fault;
mod front;
mod json;
mod limits;
mod persisted;
mod policy;
mod request;
pub mod section;

pub use answer::{Media, Reply, Verdict, judge};
pub use batch::{PartAnswer, join, stages};
pub use class::{Classed, Why};
pub use fault::{Code, Fault};
pub use front::{Front, Part, Plan, Rejection, Usage};
pub use limits::Limits;
pub use policy::{ClassInfo, Policy};
pub use request::Message;
pub use section::Section;

//! The operator file's section for a GraphQL front.

use crate::policy::{ClassInfo, Policy};
use madderloom_config_reader::{Document, Size, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an operator says of a GraphQL front. Every field has a default; [`Section::check`] says what is amiss.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Section {
    /// The class of queries; it must be safe to repeat.
    pub query: String,
    /// The class of whatever is not known to be harmless; it must be unsafe to repeat.
    pub mutation: String,
    /// Names beside the known ones, in a message or a URL, that change nothing of what a server runs, such as
    /// `apiKey`. A request with any other is held to be unsafe.
    pub ignore: Vec<String>,
    /// What a request may hold.
    pub limits: Limits,
    /// What is remembered of documents.
    pub remember: Remember,
    /// Batches.
    pub batch: Batch,
    /// A guess of an operation's work.
    pub cost: Cost,
    /// Operations by their names.
    pub operations: BTreeMap<String, Operation>,
    /// Root fields of queries by their names.
    pub queries: BTreeMap<String, Query>,
    /// Root fields of mutations by their names.
    pub mutations: BTreeMap<String, Mutation>,
}

/// See [`crate::Limits`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a body, or of a URL's query.
    pub bytes: Size,
    /// Tokens of a document.
    pub tokens: usize,
    /// Selections within selections, fragments included.
    pub depth: u32,
    /// Aliases of an operation, fragments included.
    pub aliases: u32,
    /// Fields of an operation, fragments included.
    pub fields: u32,
    /// Bytes of a name.
    pub name: Size,
}

/// What is remembered of documents, the least used forgotten first. Persisted ones have a table of their own, so that
/// clients who never send a text twice don't push them out.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Remember {
    /// Documents that came with their hash.
    pub persisted: usize,
    /// Other documents.
    pub others: usize,
    /// Memory of each of the two tables.
    pub bytes: Size,
}

/// Batches: arrays of operations.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Batch {
    /// Operations of one; 0 where none are taken.
    pub operations: usize,
    /// Whether a batch is taken apart, so that each operation is sent, and if need be sent again, by itself.
    pub split: bool,
}

/// A guess of an operation's work, for the choice of a server.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cost {
    /// Work of each field that an operation selects, fragments included; 0 for no guess.
    pub field: Span,
}

/// What is said of operations of a name. Clients choose names, so nothing is held to be safer for its name.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operation {
    /// Its class, for an aim and a worth of its own; where that may be repeated more freely than the operation, the
    /// class of its kind holds. Empty: that of its kind.
    pub class: String,
    /// Whether it may be repeated, if it is a query.
    pub repeat: bool,
}

/// What is said of a root field of queries.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Query {
    /// Whether a query with it may be repeated.
    pub repeat: bool,
    /// The argument that tells what it is about, such as `id` or `input.paper`; requests of one subject go to the same
    /// servers. Empty: none.
    pub subject: String,
    /// The argument whose number multiplies the field's work, such as `first`. Empty: none.
    pub cost: String,
}

/// What is said of a root field of mutations.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mutation {
    /// What may be done twice.
    pub effect: EffectName,
    /// The argument by which servers tell a repeat, such as `input.clientMutationId`. Without a value there, the
    /// mutation is unsafe.
    pub key: String,
    /// The class of the field where it is keyed; it must be keyed as well.
    pub class: String,
    /// See [`Query::subject`].
    pub subject: String,
    /// See [`Query::cost`].
    pub cost: String,
}

/// What may be done twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectName {
    /// Nothing.
    #[default]
    Unsafe,
    /// What carries a key, by which servers discard repeats.
    Keyed,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            bytes: Size(64 << 10),
            tokens: 8_000,
            depth: 32,
            aliases: 200,
            fields: 5_000,
            name: Size(256),
        }
    }
}

impl Default for Remember {
    fn default() -> Self {
        Remember {
            persisted: 10_000,
            others: 1_000,
            bytes: Size(4 << 20),
        }
    }
}

impl Default for Batch {
    fn default() -> Self {
        Batch {
            operations: 16,
            split: false,
        }
    }
}

impl Default for Operation {
    fn default() -> Self {
        Operation {
            class: String::new(),
            repeat: true,
        }
    }
}

impl Default for Query {
    fn default() -> Self {
        Query {
            repeat: true,
            subject: String::new(),
            cost: String::new(),
        }
    }
}

impl Section {
    /// The policy that the section words, or none where something in it makes no sense, which is then a problem of the
    /// document. `at` is the section's place, such as `graphql` or `routes[2].graphql`.
    pub fn check(
        &self,
        document: &mut Document<'_>,
        at: &str,
        classes: &[ClassInfo],
    ) -> Option<Policy> {
        match Policy::new(self, classes) {
            Ok(policy) => Some(policy),
            Err(problems) => {
                for (field, problem) in problems {
                    document.problem(&format!("{at}.{field}"), problem);
                }
                None
            }
        }
    }
}

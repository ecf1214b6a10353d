//! A front: a message goes in, and what to do with it comes out.

use crate::answer::{Media, Reply};
use crate::class::{Classed, Why, decide, doubtful, together};
use crate::document::{self, Kind, Summary};
use crate::fault::{Code, Fault};
use crate::persisted::{Digest, Table};
use crate::policy::Policy;
use crate::request::{self, Asked, Envelope, Message};
use sha2::{Digest as _, Sha256};
use std::rc::Rc;

/// What an instance knows of the documents it has seen, and the policy it classes them by. A changed policy takes a
/// new front: what was learned holds for the old one.
pub struct Front {
    policy: Policy,
    persisted: Table,
    others: Table,
}

/// What to do with a message.
#[derive(Debug, PartialEq)]
pub enum Plan<'a> {
    /// Send it on as it came.
    Whole {
        /// What is known of it.
        classed: Classed,
        /// How many operations it holds, if it is a batch.
        operations: Option<usize>,
        /// Whether it holds hashes alone, and no text: see [`crate::judge`].
        hash_only: bool,
    },
    /// Send each part as a message of its own, see [`crate::stages`], and give [`crate::join`] the answers in this
    /// order. What is at fault is not sent.
    Split(Vec<Result<Part<'a>, Fault>>),
}

/// An operation of a batch that is taken apart.
#[derive(Debug, PartialEq)]
pub struct Part<'a> {
    /// What is known of it.
    pub classed: Classed,
    /// Its bytes as they came: the body to send.
    pub body: &'a [u8],
    /// Whether it holds a hash alone.
    pub hash_only: bool,
}

/// Why no server hears of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// What is wrong with it.
    pub fault: Fault,
    /// How many operations it holds, if it is a batch that could be read.
    pub operations: Option<usize>,
}

/// What a front holds in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Documents that came with their hash, and the bytes they are counted as.
    pub persisted: (usize, usize),
    /// Other documents, likewise.
    pub others: (usize, usize),
}

impl Rejection {
    /// Its answer.
    pub fn reply(&self, media: Media) -> Reply {
        Reply::of(&self.fault, self.operations, media)
    }
}

/// An operation with its class, and what else a plan is made from.
type Read = (Classed, bool);

impl Front {
    /// A front that has seen nothing.
    pub fn new(policy: Policy) -> Self {
        let persisted = Table::new(policy.persisted, policy.table_bytes);
        let others = Table::new(policy.others, policy.table_bytes);
        Front {
            policy,
            persisted,
            others,
        }
    }

    /// Says what to do with a message, and learns from it.
    pub fn take<'a>(&mut self, message: &Message<'a>) -> Result<Plan<'a>, Rejection> {
        let alone = |fault| Rejection {
            fault,
            operations: None,
        };
        let whole = |(classed, hash_only)| Plan::Whole {
            classed,
            operations: None,
            hash_only,
        };
        match request::read(message, &self.policy).map_err(alone)? {
            Asked::Get(envelope) => {
                let (kind, read) = self.class(&envelope).map_err(alone)?;
                if kind == Some(Kind::Mutation) {
                    let problem = "a mutation must not come by GET; send it by POST";
                    return Err(alone(Fault::new(Code::MutationOverGet, problem)));
                }
                Ok(whole(read))
            }
            Asked::One(envelope) => Ok(whole(self.class(&envelope).map_err(alone)?.1)),
            Asked::Batch(elements) => {
                let count = elements.len();
                let parts = elements.into_iter().map(|(text, envelope)| {
                    let (_, (classed, hash_only)) = self.class(&envelope?)?;
                    Ok(Part {
                        classed,
                        body: text.as_bytes(),
                        hash_only,
                    })
                });
                let parts: Vec<Result<Part<'a>, Fault>> = parts.collect();
                if self.policy.split {
                    return Ok(Plan::Split(parts));
                }
                let parts: Result<Vec<Part<'a>>, Fault> = parts.into_iter().collect();
                let parts = parts.map_err(|fault| Rejection {
                    fault,
                    operations: Some(count),
                })?;
                let hash_only = parts.iter().all(|part| part.hash_only);
                let parts: Vec<Classed> = parts.into_iter().map(|part| part.classed).collect();
                let classed = together(&self.policy, &parts);
                Ok(Plan::Whole {
                    classed,
                    operations: Some(count),
                    hash_only,
                })
            }
        }
    }

    /// The policy that it classes by.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// What the front holds in memory.
    pub fn usage(&self) -> Usage {
        Usage {
            persisted: self.persisted.usage(),
            others: self.others.usage(),
        }
    }

    fn class(&mut self, envelope: &Envelope<'_>) -> Result<(Option<Kind>, Read), Fault> {
        let hash_only = envelope.text.is_none();
        let summary = match (&envelope.text, envelope.hash) {
            (Some(text), hash) => Some(self.learn(text, hash)?),
            (None, Some(hash)) => self.persisted.get(&hash),
            (None, None) => None,
        };
        let name = envelope.operation.as_deref();
        let (kind, classed) = match summary {
            Some(summary) => decide(&self.policy, &summary, name, envelope.variables.as_deref())?,
            None => (None, doubtful(&self.policy, Why::UnknownHash)),
        };
        // What is known is within the limits and no subscription; what the rest may mean can't be told.
        let classed = if envelope.odd {
            doubtful(&self.policy, Why::OddMessage)
        } else {
            classed
        };
        Ok((kind, (classed, hash_only)))
    }

    /// What is known of a text, read if it is new. With a hash, the hash must be its own.
    fn learn(&mut self, text: &str, hash: Option<Digest>) -> Result<Rc<Summary>, Fault> {
        let digest: Digest = Sha256::digest(text).into();
        if hash.is_some_and(|hash| hash != digest) {
            let problem = "the text is not the one that its hash names";
            return Err(Fault::new(Code::PersistedQueryMismatch, problem));
        }
        let seen = self
            .persisted
            .get(&digest)
            .or_else(|| self.others.get(&digest));
        let summary = match seen {
            Some(summary) => summary,
            None => Rc::new(document::read(text, &self.policy)?),
        };
        let table = if hash.is_some() {
            &mut self.persisted
        } else {
            &mut self.others
        };
        if table.get(&digest).is_none() {
            table.put(digest, Rc::clone(&summary));
        }
        Ok(summary)
    }
}

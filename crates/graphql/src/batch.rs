//! Batches put together again.

use crate::answer::{Media, Reply, error_object};
use crate::fault::{Code, Fault};
use madderloom_balancer::RetrySafety;
use std::ops::Range;

/// The answer to one operation of a batch that was taken apart.
#[derive(Clone, Debug, PartialEq)]
pub enum PartAnswer<'a> {
    /// A server's.
    Served {
        /// Its status.
        status: u16,
        /// Its body.
        body: &'a [u8],
    },
    /// The sidecar's own.
    Fault(Fault),
}

/// One answer of the answers to a batch's operations, in their order: each server's bytes as they came, and an error
/// in the place of each operation without an answer.
///
/// Its status is that of all servers' answers where they agree, 200 where they don't. With no server's answer it is
/// 503 with the longest `Retry-After` where nothing can have run, as far as the whole may then be sent again, and 502
/// where something may have; 400 and the like where all were at fault themselves.
pub fn join(answers: &[PartAnswer<'_>], media: Media) -> Reply {
    let mut body = vec![b'['];
    let mut statuses = Vec::new();
    let mut faults = Vec::new();
    for (place, answer) in answers.iter().enumerate() {
        if place > 0 {
            body.push(b',');
        }
        let read = match answer {
            PartAnswer::Served { status, body } => as_object(body)
                .map(|object| (*status, object))
                .ok_or_else(|| {
                    let problem =
                        "the server's answer is no object of JSON; the operation may have run";
                    Fault::new(Code::UnreadableAnswer, problem)
                }),
            PartAnswer::Fault(fault) => Err(fault.clone()),
        };
        match read {
            Ok((status, object)) => {
                body.extend_from_slice(object);
                statuses.push(status);
            }
            Err(fault) => {
                body.extend(error_object(&fault));
                faults.push(fault);
            }
        }
    }
    body.push(b']');
    let (status, retry_after) = match statuses.first() {
        Some(first) if statuses.iter().all(|status| status == first) => (*first, None),
        Some(_) => (200, None),
        None => alone(&faults),
    };
    Reply {
        status,
        media,
        allow: None,
        retry_after,
        body,
    }
}

/// The status of an answer that holds errors of the sidecar's alone.
fn alone(faults: &[Fault]) -> (u16, Option<u64>) {
    let statuses = || faults.iter().map(|fault| fault.code.status());
    if let Some(failed) = faults.iter().find(|fault| !fault.code.proves_not_run()) {
        return (failed.code.status(), None);
    }
    if faults.iter().any(|fault| fault.code == Code::Refused) {
        return (
            Code::Refused.status(),
            faults.iter().filter_map(|fault| fault.retry_after).max(),
        );
    }
    let first = statuses().next().unwrap_or(400);
    (
        if statuses().all(|status| status == first) {
            first
        } else {
            400
        },
        None,
    )
}

/// The object of JSON that some bytes are, without what is round it.
fn as_object(bytes: &[u8]) -> Option<&[u8]> {
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    let raw: &serde_json::value::RawValue = serde_json::from_slice(bytes).ok()?;
    Some(raw.get().as_bytes()).filter(|object| object.starts_with(b"{"))
}

/// Which operations of a batch may run at once: safe ones beside each other, each other one by itself, in the order
/// of the batch, so that a query behind a mutation sees what the mutation did, as it would at a server that runs a
/// batch in its order.
pub fn stages(effects: &[RetrySafety]) -> Vec<Range<usize>> {
    let mut stages: Vec<Range<usize>> = Vec::new();
    for (place, effect) in effects.iter().enumerate() {
        match stages.last_mut() {
            Some(last)
                if *effect == RetrySafety::Idempotent
                    && effects[last.start] == RetrySafety::Idempotent =>
            {
                last.end += 1
            }
            _ => stages.push(place..place + 1),
        }
    }
    stages
}

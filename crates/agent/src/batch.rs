//! A batch of a relay: what goes into the answer to it, and what goes over watches.

use crate::routes::{RelayId, Routes};
use madderloom_control_plane::Micros;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer};
use madderloom_endpoint_sharing::{Lists, Note, Relay as ListRelay};

/// Messages to instances, by name.
pub(crate) type Sends = Vec<(String, ToInstance)>;

/// Makes the answer to a batch from what its messages have led to. Returns it with what goes over watches: orders and
/// lists, which may be long, and messages for instances that are not in the batch.
pub(crate) fn answer(
    term: u64,
    batch: &Batch,
    relay: &RelayId,
    sends: Sends,
    (routes, lists, now): (&mut Routes, &mut ListRelay, Micros),
) -> (BatchAnswer, Sends) {
    let (answer, mut others) = BatchAnswer::new(term, batch, sends);
    let accepted = answer.accepted();
    for message in &batch.messages {
        let who = message.sender();
        if !accepted.contains(&(who.name.as_str(), who.start)) {
            continue;
        }
        routes.set_behind(&who.name, relay);
        if let Some((answer, updates)) = share_lists(lists, now, message) {
            others.push((who.name.clone(), ToInstance::EndpointLists(answer)));
            others.extend(updates);
        }
    }
    (answer, others)
}

/// Handles what a report of an instance that holds its name says of lists. Returns the answer to it, and what other
/// instances are told; none where it says nothing of lists.
pub(crate) fn share_lists(
    lists: &mut ListRelay,
    now: Micros,
    message: &ToAgent,
) -> Option<(Lists, Sends)> {
    let ToAgent::Report(report) = message else {
        return None;
    };
    let tells = report.endpoint_lists.as_ref()?;
    let (answer, others, notes) = lists.hear(now, &report.id.name, report.id.start, tells);
    for note in notes {
        match note {
            Note::Newer { .. } => tracing::info!("{note}"),
            Note::Odd { .. } => tracing::warn!("{note}"),
        }
    }
    let others = others
        .into_iter()
        .map(|(name, lists)| (name, ToInstance::EndpointLists(lists)))
        .collect();
    Some((answer, others))
}

//! A batch of a relay: what goes into the answer to it, and what goes over watches.

use crate::routes::{RelayId, Routes};
use madderloom_control_plane::Micros;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer};
use madderloom_endpoint_sharing::{
    DistributionEvent, EndpointListDistributor, EndpointListUpdates,
};

/// Messages to instances, by name.
pub(crate) type Sends = Vec<(String, ToInstance)>;

/// Makes the answer to a batch from what its messages have led to. Returns it with what goes over watches: orders and
/// lists, which may be long, and messages for instances that are not in the batch.
pub(crate) fn answer(
    term: u64,
    batch: &Batch,
    relay: &RelayId,
    sends: Sends,
    (routes, lists, now): (&mut Routes, &mut EndpointListDistributor, Micros),
) -> (BatchAnswer, Sends) {
    let (answer, mut others) = BatchAnswer::new(term, batch, sends);
    let accepted = answer.accepted();
    for message in &batch.messages {
        let who = message.who();
        if !accepted.contains(&(who.name.as_str(), who.start)) {
            continue;
        }
        routes.set_behind(&who.name, relay);
        if let Some((answer, updates)) = share_lists(lists, now, message) {
            others.push((who.name.clone(), ToInstance::Lists(answer)));
            others.extend(updates);
        }
    }
    (answer, others)
}

/// Handles what a report of an instance that holds its name says of lists. Returns the answer to it, and what other
/// instances are told; none where it says nothing of lists.
pub(crate) fn share_lists(
    lists: &mut EndpointListDistributor,
    now: Micros,
    message: &ToAgent,
) -> Option<(EndpointListUpdates, Sends)> {
    let ToAgent::Report(report) = message else {
        return None;
    };
    let reports = report.tells.as_ref()?;
    let distribution = lists.handle_report(now, &report.who.name, report.who.start, reports);
    distribution.events.iter().for_each(log_event);
    let pushes = distribution.pushes.into_iter();
    let others = pushes
        .map(|push| (push.instance, ToInstance::Lists(push.updates)))
        .collect();
    Some((distribution.answer, others))
}

fn log_event(event: &DistributionEvent) {
    match event {
        DistributionEvent::ListAdopted {
            list,
            index,
            instance,
        } => tracing::info!(
            %list,
            version = index,
            %instance,
            "lists: {list} is at version {index}, as {instance} heard"
        ),
        DistributionEvent::ReportRejected { instance, reason } => tracing::warn!(
            %instance,
            %reason,
            "lists: a report of {instance} is ignored: {reason}"
        ),
    }
}

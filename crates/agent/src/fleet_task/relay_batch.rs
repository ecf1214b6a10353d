//! A batch of a relay, and endpoint lists in reports: what goes into the answer, and what goes over watches.

use crate::delivery_routes::{DeliveryRoutes, RelayId};
use madderloom_control_plane::Micros;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer};
use madderloom_endpoint_sharing::{
    DistributionEvent, EndpointListDistributor, EndpointListUpdates,
};

/// Messages to instances, each with the name of its instance.
pub(crate) type InstanceMessages = Vec<(String, ToInstance)>;

/// A batch of a relay that the state machine has handled.
pub(super) struct HandledBatch<'a> {
    pub(super) relay: &'a RelayId,
    pub(super) batch: &'a Batch,
    /// The agent's term.
    pub(super) term: u64,
    /// The messages that the batch has led to.
    pub(super) messages: InstanceMessages,
}

/// What an answer needs besides the messages of the state machine.
pub(super) struct SharedState<'a> {
    pub(super) routes: &'a mut DeliveryRoutes,
    pub(super) lists: &'a mut EndpointListDistributor,
    pub(super) now: Micros,
}

impl HandledBatch<'_> {
    /// Makes the answer. Returns it with the messages that go over watches: orders and endpoint lists, which may be long, and
    /// messages for instances that are not in the batch.
    pub(super) fn answer(self, shared: &mut SharedState<'_>) -> (BatchAnswer, InstanceMessages) {
        let (answer, mut watched) = BatchAnswer::new(self.term, self.batch, self.messages);
        let accepted = answer.accepted();
        for message in &self.batch.messages {
            let who = message.who();
            if !accepted.contains(&(who.name.as_str(), who.start)) {
                continue;
            }
            shared.routes.set_relay(&who.name, self.relay);
            if let Some(update) = share_lists(shared.lists, shared.now, message) {
                watched.push((who.name.clone(), ToInstance::Lists(update.answer)));
                watched.extend(update.others);
            }
        }
        (answer, watched)
    }
}

/// What a report on endpoint lists has led to.
pub(super) struct ListUpdate {
    /// The answer to the instance that has reported.
    pub(super) answer: EndpointListUpdates,
    /// Messages for other instances.
    pub(super) others: InstanceMessages,
}

/// Handles what a message of an instance reports of endpoint lists. None: it reports nothing of them. The instance must hold
/// its name.
pub(super) fn share_lists(
    lists: &mut EndpointListDistributor,
    now: Micros,
    message: &ToAgent,
) -> Option<ListUpdate> {
    let ToAgent::Report(report) = message else {
        return None;
    };
    let reports = report.tells.as_ref()?;
    let distribution = lists.handle_report(now, &report.who.name, report.who.start, reports);
    distribution.events.iter().for_each(log_event);
    let pushes = distribution.pushes.into_iter();
    Some(ListUpdate {
        answer: distribution.answer,
        others: pushes
            .map(|push| (push.instance, ToInstance::Lists(push.updates)))
            .collect(),
    })
}

fn log_event(event: &DistributionEvent) {
    match event {
        DistributionEvent::ListAdopted {
            list,
            index,
            instance,
        } => tracing::info!(%list, version = index, %instance, "endpoint list updated"),
        DistributionEvent::ReportRejected { instance, reason } => {
            tracing::warn!(%instance, %reason, "endpoint list rejected");
        }
    }
}

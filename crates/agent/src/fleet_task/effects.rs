//! What the commands that are taken together have led to, held until their records are durable.

use super::command::{Reply, Unavailable};
use super::relay_batch::InstanceMessages;
use crate::storage::RecordChanges;
use madderloom_control_plane::{Note, Output};
use madderloom_quota_leases::Note as QuotaNote;

/// An answer that waits for the records that it depends on.
type DeferredReply = Box<dyn FnOnce(Result<(), Unavailable>)>;

/// The effects of commands that are taken together. Nobody outside may learn of any of them before the records are durable.
#[derive(Default)]
pub(super) struct PendingEffects {
    /// Records to write.
    pub(super) record_changes: RecordChanges,
    /// Messages to send over watches.
    pub(super) messages: InstanceMessages,
    replies: Vec<DeferredReply>,
}

impl PendingEffects {
    /// Logs the events of an output, and adds its records. Returns its messages.
    pub(super) fn add_records(&mut self, output: Output) -> InstanceMessages {
        output.notes.iter().for_each(log_event);
        self.record_changes.extend(output.saves);
        output.sends
    }

    /// Logs the events of an output, and adds its records and messages.
    pub(super) fn add(&mut self, output: Output) {
        let messages = self.add_records(output);
        self.messages.extend(messages);
    }

    /// Adds the answer to a command.
    pub(super) fn reply<T: 'static>(&mut self, reply: Reply<T>, answer: T) {
        let send = move |durable: Result<(), Unavailable>| {
            // The requester may have disconnected.
            let _ = reply.send(durable.map(|()| answer));
        };
        self.replies.push(Box::new(send));
    }

    /// Sends all answers: as they are, or that the agent is unavailable.
    pub(super) fn send_replies(self, durable: &Result<(), Unavailable>) {
        for send in self.replies {
            send(durable.clone());
        }
    }
}

fn log_event(event: &Note) {
    match event {
        Note::Leases(QuotaNote::Overcommitted(_) | QuotaNote::Conflict(_)) => {
            tracing::error!(%event, "quota leases in conflict");
        }
        event => tracing::info!(%event, "fleet event"),
    }
}

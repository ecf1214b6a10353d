//! How messages reach instances: over the watch of an instance, or over the watch of the relay that it is behind.

use madderloom_control_plane::protocol::ToInstance;
use madderloom_control_plane::relay::{Addressed, WatchLine};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// The most messages that wait for a slow watch of an instance. Those beyond are dropped, since the answer to the next
/// report repeats them.
const INSTANCE_WATCH_CAPACITY: usize = 4;
/// The most messages that wait for a slow watch of a relay, because a change for all instances of a relay is a message for
/// each. Those beyond are dropped, since the answer to the next report of each instance repeats them.
const RELAY_WATCH_CAPACITY: usize = 4_096;

/// One start of a relay. No other client can receive its messages, because the name in its certificate is a part of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RelayId {
    /// The name in its certificate.
    pub(crate) certificate: String,
    /// Its own name.
    pub(crate) name: String,
    /// A number that the relay draws at random when it starts.
    pub(crate) start: u64,
}

/// The watch of one start of an instance.
struct InstanceWatch {
    start: u64,
    sender: mpsc::Sender<ToInstance>,
}

/// The routes to all instances. Where an instance has come by several, the last one counts.
#[derive(Default)]
pub(crate) struct DeliveryRoutes {
    instance_watches: BTreeMap<String, InstanceWatch>,
    relay_watches: BTreeMap<RelayId, mpsc::Sender<WatchLine>>,
    /// The relay that an instance is behind, by the name of the instance.
    relay_of: BTreeMap<String, RelayId>,
}

impl DeliveryRoutes {
    /// Opens the watch of an instance. A former watch of it ends.
    pub(crate) fn watch_instance(
        &mut self,
        name: String,
        start: u64,
    ) -> mpsc::Receiver<ToInstance> {
        self.instance_watches
            .retain(|_, watch| !watch.sender.is_closed());
        let (sender, messages) = mpsc::channel(INSTANCE_WATCH_CAPACITY);
        self.relay_of.remove(&name);
        self.instance_watches
            .insert(name, InstanceWatch { start, sender });
        messages
    }

    /// Opens the watch of a relay for the instances behind it. Its first message is the agent's term. A former watch of the
    /// same start ends.
    pub(crate) fn watch_relay(&mut self, relay: RelayId, term: u64) -> mpsc::Receiver<WatchLine> {
        self.relay_watches.retain(|_, sender| !sender.is_closed());
        let relay_watches = &self.relay_watches;
        self.relay_of
            .retain(|_, relay| relay_watches.contains_key(relay));
        let (sender, messages) = mpsc::channel(RELAY_WATCH_CAPACITY);
        // The channel is empty, so that this one cannot be dropped.
        let _ = sender.try_send(WatchLine::Connected { term });
        self.relay_watches.insert(relay, sender);
        messages
    }

    /// Notes that an instance has registered or reported through a relay. Ignored where the relay has no watch.
    pub(crate) fn set_relay(&mut self, instance: &str, relay: &RelayId) {
        let is_new = self.relay_of.get(instance) != Some(relay);
        if is_new && self.relay_watches.contains_key(relay) {
            self.instance_watches.remove(instance);
            self.relay_of.insert(instance.to_string(), relay.clone());
        }
    }

    /// The number of instances behind each relay that has an open watch, by the relay's name.
    pub(crate) fn instances_by_relay(&self) -> BTreeMap<String, usize> {
        let connected = self.relay_watches.keys();
        let connected = connected.filter(|relay| self.is_connected(relay));
        let mut counts: BTreeMap<String, usize> =
            connected.map(|relay| (relay.name.clone(), 0)).collect();
        let used = self.relay_of.values();
        for relay in used.filter(|relay| self.is_connected(relay)) {
            *counts.entry(relay.name.clone()).or_default() += 1;
        }
        counts
    }

    fn is_connected(&self, relay: &RelayId) -> bool {
        let sender = self.relay_watches.get(relay);
        sender.is_some_and(|sender| !sender.is_closed())
    }

    /// Sends a message to an instance. It is dropped where there is no route, or no capacity on it.
    pub(crate) fn send(&self, instance: String, message: ToInstance) {
        if let Some(watch) = self.instance_watches.get(&instance) {
            if message.start() == watch.start {
                let _ = watch.sender.try_send(message);
            }
            return;
        }
        let relay = self.relay_of.get(&instance);
        if let Some(sender) = relay.and_then(|relay| self.relay_watches.get(relay)) {
            let name = instance;
            let _ = sender.try_send(WatchLine::Message(Addressed { name, message }));
        }
    }
}

//! The ways to instances: over the watch of an instance, or over that of the relay that it is behind.

use madderloom_control_plane::protocol::ToInstance;
use madderloom_control_plane::relay::{AddressedMessage, WatchLine};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Messages that wait for a slow watch of an instance; more are dropped, since the next report brings them again.
const INSTANCE_WATCH: usize = 4;
/// Messages that wait for a slow watch of a relay; more are dropped, since the next report of each instance brings them
/// again. A change for all instances of a relay is a message for each.
const RELAY_WATCH: usize = 4_096;

/// One start of a relay. Nobody else can take its messages: the name in its certificate is a part of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RelayId {
    /// The name in its certificate.
    pub(crate) certificate: String,
    /// Its own name.
    pub(crate) name: String,
    /// Drawn at random at its start.
    pub(crate) start: u64,
}

/// The ways to all instances. The last one that an instance came on counts.
#[derive(Default)]
pub(crate) struct Routes {
    watches: BTreeMap<String, (u64, mpsc::Sender<ToInstance>)>,
    relays: BTreeMap<RelayId, mpsc::Sender<WatchLine>>,
    behind: BTreeMap<String, RelayId>,
}

impl Routes {
    /// An instance watches by itself. A former watch of it ends.
    pub(crate) fn watch(&mut self, name: String, start: u64) -> mpsc::Receiver<ToInstance> {
        self.watches.retain(|_, (_, to)| !to.is_closed());
        let (to, messages) = mpsc::channel(INSTANCE_WATCH);
        self.behind.remove(&name);
        self.watches.insert(name, (start, to));
        messages
    }

    /// A relay watches for the instances behind it. A former watch of it ends.
    pub(crate) fn watch_relay(&mut self, relay: RelayId, term: u64) -> mpsc::Receiver<WatchLine> {
        self.relays.retain(|_, to| !to.is_closed());
        let relays = &self.relays;
        self.behind.retain(|_, relay| relays.contains_key(relay));
        let (to, messages) = mpsc::channel(RELAY_WATCH);
        // There is room for the first one.
        let _ = to.try_send(WatchLine::Connected { term });
        self.relays.insert(relay, to);
        messages
    }

    /// An instance that holds its name has come through this relay.
    pub(crate) fn set_behind(&mut self, name: &str, relay: &RelayId) {
        if self.relays.contains_key(relay) && self.behind.get(name) != Some(relay) {
            self.watches.remove(name);
            self.behind.insert(name.to_string(), relay.clone());
        }
    }

    /// How many instances each relay that watches has, by the relay's name.
    pub(crate) fn relays(&self) -> BTreeMap<String, usize> {
        let is_open = |relay: &RelayId| self.relays.get(relay).is_some_and(|to| !to.is_closed());
        let open = self.relays.keys().filter(|relay| is_open(relay));
        let mut counts: BTreeMap<String, usize> =
            open.map(|relay| (relay.name.clone(), 0)).collect();
        for relay in self.behind.values().filter(|relay| is_open(relay)) {
            *counts.entry(relay.name.clone()).or_default() += 1;
        }
        counts
    }

    /// Sends a message to an instance, if there is a way and room on it.
    pub(crate) fn send(&self, name: String, message: ToInstance) {
        if let Some((start, to)) = self.watches.get(&name) {
            if message.start() == *start {
                let _ = to.try_send(message);
            }
            return;
        }
        let relay = self
            .behind
            .get(&name)
            .and_then(|relay| self.relays.get(relay));
        if let Some(to) = relay {
            let _ = to.try_send(WatchLine::Message(AddressedMessage { name, message }));
        }
    }
}

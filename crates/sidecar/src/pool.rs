//! The servers of a pool: applies list updates from discovery, the fleet and the configuration, and passes them to the
//! balancer.

use super::discovery_calls::DiscoveryCalls;
use super::service::Service;
use foldhash::quality::FixedState;
use madderloom_balancer::settings::Site;
use madderloom_balancer::{DiscoveryUpdate, Event, Micros, ServerEntry, ServerId, ServerState};
use madderloom_endpoint_sharing::OwnList;
use madderloom_operator_config::Server;
use madderloom_sidecar_state::{ListedServer, ServerSnapshot};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// The most servers in one list.
pub(super) const MAX_LISTED_SERVERS: usize = 4_096;
/// A listed weight outside this range is replaced by the default weight.
const VALID_WEIGHTS: RangeInclusive<f64> = 1e-6..=1e6;
/// The most changes of one update that the log names.
const MAX_LOGGED_CHANGES: usize = 8;
/// Two clocks that differ by less, in microseconds, count as equal: they are read one after the other.
const CLOCK_READ_TOLERANCE: u64 = 100_000;

/// An endpoint list or a change of it: one update of a watch, or the list of a configuration.
#[derive(Deserialize, Default)]
pub(super) struct ListUpdate {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

impl ListUpdate {
    /// The static servers of the operator file.
    pub(super) fn from_static_servers(servers: &[Server]) -> Self {
        let endpoint = |server: &Server| Endpoint {
            name: server.name.as_str().into(),
            address: server.address,
            zone: server.zone.clone(),
            kind: server.kind.clone(),
            group: server.group,
            status: Status::InService,
            weight: server.weight,
            since_ms: 0,
        };
        ListUpdate {
            index: 0,
            snapshot: true,
            endpoints: servers.iter().map(endpoint).collect(),
        }
    }

    /// The servers in the snapshot of an earlier process. Version 0 makes the next call to discovery request the complete list.
    fn from_snapshots(servers: Vec<ServerSnapshot>) -> Self {
        let endpoint = |server: ServerSnapshot| {
            let listed = server.listed?;
            Some(Endpoint {
                name: server.name.into(),
                address: listed.address,
                zone: listed.zone,
                kind: listed.machine_type,
                group: listed.group,
                status: Status::InService,
                weight: listed.weight,
                since_ms: server
                    .incarnation_started_at
                    .map_or(0, |started_at| started_at / 1_000),
            })
        };
        let endpoints = servers
            .into_iter()
            .filter_map(endpoint)
            .take(MAX_LISTED_SERVERS)
            .collect();
        ListUpdate {
            index: 0,
            snapshot: true,
            endpoints,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Discovery's version number of the list.
    pub(super) fn version(&self) -> u64 {
        self.index
    }

    /// Whether servers that the update does not name are gone.
    pub(super) fn is_full_list(&self) -> bool {
        self.snapshot
    }
}

#[derive(Deserialize)]
struct Endpoint {
    name: Box<str>,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u32,
    status: Status,
    #[serde(default = "usual_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

/// A server of a list that is shared with the fleet. A tuple, because its JSON is short.
#[derive(Serialize, Deserialize)]
struct SharedServer(Box<str>, SocketAddr, String, String, u32, Status, f64, u64);

#[derive(Serialize, Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

impl Status {
    fn as_str(self) -> &'static str {
        match self {
            Status::InService => "in service",
            Status::Terminating => "draining",
            Status::Terminated => "gone",
        }
    }
}

fn usual_weight() -> f64 {
    1.0
}

struct Member {
    name: Box<str>,
    address: SocketAddr,
    /// The start of its current incarnation according to discovery.
    since_ms: u64,
    /// As listed, without overrides.
    entry: ServerEntry,
    /// The names of its zone and kind, if the settings lack one of them. The settings of other instances may have it.
    unknown_names: Option<Box<(String, String)>>,
}

/// One process of a server: its address, and when it started according to discovery. A server that starts again at its address is
/// another process, and connections belong to the one that they were opened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Incarnation {
    pub(super) address: SocketAddr,
    since_ms: u64,
}

impl Member {
    fn incarnation(&self) -> Incarnation {
        Incarnation {
            address: self.address,
            since_ms: self.since_ms,
        }
    }

    /// As it is listed; `names` are those of the zones and the kinds of the settings.
    fn endpoint(&self, names: &(Vec<String>, Vec<String>)) -> Endpoint {
        let entry = &self.entry;
        let status = match entry.state {
            ServerState::Ready => Status::InService,
            ServerState::Draining => Status::Terminating,
            ServerState::Gone => Status::Terminated,
        };
        let (zone, kind) = self
            .unknown_names
            .as_deref()
            .cloned()
            .unwrap_or_else(|| zone_and_kind_names(names, entry));
        Endpoint {
            name: self.name.clone(),
            address: self.address,
            zone,
            kind,
            group: entry.cell,
            status,
            weight: entry.capacity,
            since_ms: self.since_ms,
        }
    }
}

/// Converts a start time from discovery, in Unix time, to the balancer's clock. None for 0: the server started long ago.
fn unix_ms_to_micros(since_ms: u64) -> Option<Micros> {
    Some(since_ms.saturating_mul(1_000)).filter(|at| *at > 0)
}

/// The names of a server's zone and kind; empty if the settings have no name at that index.
fn zone_and_kind_names(
    names: &(Vec<String>, Vec<String>),
    entry: &ServerEntry,
) -> (String, String) {
    let name =
        |names: &[String], index: u32| names.get(index as usize).cloned().unwrap_or_default();
    (name(&names.0, entry.zone), name(&names.1, entry.kind))
}

/// The start time of a server by the balancer's clock. Discovery gives it by the wall clock, which diverges from the balancer's
/// clock when it is set or the machine was suspended. Without correction, a start could lie in the future, and slow start would
/// last until then, or it could lie so far in the past that a server that has just started would count as warm. A start that is
/// known already keeps its converted time: with another one the server would appear to have restarted.
fn start_time(
    since_ms: u64,
    former: Option<&Member>,
    now: Micros,
    wall_clock_offset: i64,
) -> Option<Micros> {
    let listed_start = unix_ms_to_micros(since_ms)?;
    if let Some(known) = former.filter(|former| former.since_ms == since_ms) {
        return known.entry.started_at;
    }
    let diverged = wall_clock_offset.unsigned_abs() >= CLOCK_READ_TOLERANCE;
    let listed_start = if diverged {
        listed_start.saturating_add_signed(wall_clock_offset.saturating_neg())
    } else {
        listed_start
    };
    // A later incarnation has a later start, whatever has happened to the clocks since.
    let former_start = former
        .filter(|former| former.since_ms < since_ms)
        .and_then(|former| former.entry.started_at);
    Some(
        listed_start
            .max(former_start.map_or(1, |start| start.saturating_add(1)))
            .min(now),
    )
}

/// Weights and drains that were set for servers independently of their lists. If there are none, this costs lookups in
/// empty maps for each server of a list.
#[derive(Default)]
pub(super) struct ServerOverrides {
    /// Factors for the listed capacity, in thousandths.
    weights: HashMap<ServerId, u32, FixedState>,
    drained: HashSet<ServerId, FixedState>,
}

impl ServerOverrides {
    pub(super) fn set_weight(&mut self, server: &str, thousandths: u32) {
        self.weights
            .insert(ServerId::from_name(server), thousandths);
    }

    pub(super) fn set_drained(&mut self, server: &str, drained: bool) {
        if drained {
            self.drained.insert(ServerId::from_name(server));
        }
    }

    /// The entry for the balancer. A server of weight 0 drains, since the balancer sends requests at any capacity.
    fn apply_to(&self, entry: ServerEntry) -> ServerEntry {
        let weight = self.weights.get(&entry.server).copied().unwrap_or(1_000);
        let drains = weight == 0 || self.drained.contains(&entry.server);
        let state = if drains && entry.state == ServerState::Ready {
            ServerState::Draining
        } else {
            entry.state
        };
        let capacity = if weight == 0 {
            entry.capacity
        } else {
            entry.capacity * f64::from(weight) / 1e3
        };
        ServerEntry {
            state,
            capacity,
            ..entry
        }
    }
}

/// The servers of a pool, and its calls to discovery.
pub(super) struct Pool {
    /// None if the list is static.
    discovery: Cell<Option<SocketAddr>>,
    /// The names of zones and kinds in the order of the settings.
    zones_and_kinds: RefCell<(Vec<String>, Vec<String>)>,
    version: Cell<u64>,
    members: RefCell<HashMap<ServerId, Member, FixedState>>,
    pub(super) calls: DiscoveryCalls,
    /// A call to discovery, or the watch that it became, is open.
    is_calling: Cell<bool>,
    /// The list of this time is known.
    list_known_at: Cell<Micros>,
}

impl Pool {
    pub(super) fn new(
        discovery: Option<SocketAddr>,
        zones: Vec<String>,
        kinds: Vec<String>,
        now: Micros,
    ) -> Self {
        let (version, members, calls, is_calling) = Default::default();
        let (discovery, list_known_at) = (Cell::new(discovery), Cell::new(now));
        Pool {
            discovery,
            zones_and_kinds: RefCell::new((zones, kinds)),
            version,
            members,
            calls,
            is_calling,
            list_known_at,
        }
    }

    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.members.borrow().get(&server).map(|m| m.address)
    }

    /// The process that a server is now; `None` if it is not listed.
    pub(super) fn incarnation(&self, server: ServerId) -> Option<Incarnation> {
        self.members.borrow().get(&server).map(Member::incarnation)
    }

    /// Whether new attempts may be sent to this process of a server. Checked again once a connection is established: the server
    /// may have started to drain, left, changed its address or started again meanwhile.
    pub(super) fn accepts_new_attempts(
        &self,
        server: ServerId,
        incarnation: Incarnation,
        overrides: &ServerOverrides,
    ) -> bool {
        let members = self.members.borrow();
        let is_ready = |entry| overrides.apply_to(entry).state == ServerState::Ready;
        members
            .get(&server)
            .is_some_and(|m| m.incarnation() == incarnation && is_ready(m.entry))
    }

    pub(super) fn name(&self, server: ServerId) -> Box<str> {
        let members = self.members.borrow();
        members
            .get(&server)
            .map_or_else(|| server.to_string().into(), |m| m.name.clone())
    }

    /// Whether the list comes from this discovery service.
    pub(super) fn uses_discovery(&self, discovery: SocketAddr) -> bool {
        self.discovery.get() == Some(discovery)
    }

    pub(super) fn discovery(&self) -> Option<SocketAddr> {
        self.discovery.get()
    }

    /// The greatest possible age of the list; none if it is static.
    pub(super) fn list_age(&self, now: Micros) -> Option<Micros> {
        self.discovery
            .get()
            .map(|_| now.saturating_sub(self.list_known_at.get()))
    }

    pub(super) fn list_version(&self) -> u64 {
        self.version.get()
    }

    /// The list of this pool as the fleet shares it, with evidence of that time; `None` where none has come.
    pub(super) fn own_list(&self, evidence_at: Micros) -> Option<OwnList> {
        let index = self.list_version();
        (index > 0).then(|| OwnList {
            index,
            text: self.shared_text(),
            evidence_at,
            watches_discovery: self.is_calling_discovery(),
        })
    }

    /// Makes the next call to discovery request the complete list.
    pub(super) fn reset_list_version(&self) {
        self.version.set(0);
    }

    /// Sets the discovery service and returns the former one.
    pub(super) fn set_discovery(&self, discovery: SocketAddr) -> Option<SocketAddr> {
        self.discovery.replace(Some(discovery))
    }

    /// Whether a call to discovery, or the watch that it became, is open.
    pub(super) fn is_calling_discovery(&self) -> bool {
        self.is_calling.get()
    }

    pub(super) fn set_calling_discovery(&self, is_calling: bool) {
        self.is_calling.set(is_calling);
    }

    /// Records that the list of this time is known.
    pub(super) fn set_list_known_at(&self, now: Micros) {
        self.list_known_at.set(now);
    }

    pub(super) fn server_count(&self) -> usize {
        self.members.borrow().len()
    }

    /// Whether the list has any server.
    pub(super) fn has_servers(&self) -> bool {
        !self.members.borrow().is_empty()
    }

    /// The servers that accept new requests, for the next process until it has a list.
    pub(super) fn server_snapshots(&self) -> BTreeMap<ServerId, ServerSnapshot> {
        let (members, names) = (self.members.borrow(), self.zones_and_kinds.borrow());
        let ready = members
            .iter()
            .filter(|(_, m)| m.entry.state == ServerState::Ready);
        let snapshot = |(id, m): (&ServerId, &Member)| {
            let (entry, address) = (&m.entry, m.address);
            let (zone, kind) = zone_and_kind_names(&names, entry);
            let listed = ListedServer {
                address,
                zone,
                machine_type: kind,
                group: entry.cell,
                weight: entry.capacity,
            };
            let (name, started_at) = (m.name.to_string(), unix_ms_to_micros(m.since_ms));
            (
                *id,
                ServerSnapshot {
                    name,
                    listed: Some(listed),
                    incarnation_started_at: started_at,
                    ..ServerSnapshot::default()
                },
            )
        };
        ready.map(snapshot).collect()
    }

    /// The list as it is known now, for another pool of the same discovery service.
    pub(super) fn current_list(&self) -> ListUpdate {
        let (members, names) = (self.members.borrow(), self.zones_and_kinds.borrow());
        ListUpdate {
            index: self.version.get(),
            snapshot: true,
            endpoints: members
                .values()
                .map(|member| member.endpoint(&names))
                .collect(),
        }
    }

    /// The complete list as it is shared with the fleet. Equal lists have equal texts.
    pub(super) fn shared_text(&self) -> String {
        let (members, names) = (self.members.borrow(), self.zones_and_kinds.borrow());
        let server = |member: &Member| {
            let listed = member.endpoint(&names);
            SharedServer(
                listed.name,
                listed.address,
                listed.zone,
                listed.kind,
                listed.group,
                listed.status,
                listed.weight,
                listed.since_ms,
            )
        };
        let mut servers: Vec<SharedServer> = members.values().map(server).collect();
        servers.sort_unstable_by(|one, other| one.0.cmp(&other.0));
        serde_json::to_string(&servers).unwrap_or_default()
    }

    fn entry(&self, endpoint: &Endpoint, started_at: Option<Micros>) -> ServerEntry {
        // All names that are not in the settings share one further index.
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len())
        };
        let (zones, kinds) = &*self.zones_and_kinds.borrow();
        let is_valid_weight = VALID_WEIGHTS.contains(&endpoint.weight);
        ServerEntry {
            server: ServerId::from_name(&endpoint.name),
            zone: index(zones, &endpoint.zone) as u32,
            cell: endpoint.group,
            kind: index(kinds, &endpoint.kind) as u32,
            started_at,
            capacity: if is_valid_weight {
                endpoint.weight
            } else {
                1.0
            },
            state: match endpoint.status {
                Status::InService => ServerState::Ready,
                Status::Terminating => ServerState::Draining,
                Status::Terminated => ServerState::Gone,
            },
        }
    }

    fn member(&self, endpoint: Endpoint, entry: ServerEntry) -> Member {
        let (zones, kinds) = &*self.zones_and_kinds.borrow();
        let are_known = (entry.zone as usize) < zones.len() && (entry.kind as usize) < kinds.len();
        Member {
            name: endpoint.name,
            address: endpoint.address,
            since_ms: endpoint.since_ms,
            entry,
            unknown_names: (!are_known).then(|| Box::new((endpoint.zone, endpoint.kind))),
        }
    }

    /// Applies an update. Returns its entries with overrides, for the balancer, and the servers that have left, changed their
    /// address, started again or started to drain: their idle connections are not used any more.
    fn merge(
        &self,
        update: ListUpdate,
        overrides: &ServerOverrides,
        (now, wall_clock_offset): (Micros, i64),
    ) -> (Vec<ServerEntry>, Vec<ServerId>) {
        let mut members = self.members.borrow_mut();
        let entry = |endpoint: &Endpoint| {
            let former = members.get(&ServerId::from_name(&endpoint.name));
            self.entry(
                endpoint,
                start_time(endpoint.since_ms, former, now, wall_clock_offset),
            )
        };
        let entries: Vec<ServerEntry> = update.endpoints.iter().map(entry).collect();
        let former: Vec<_> = members
            .iter()
            .map(|(id, member)| (*id, member.incarnation()))
            .collect();
        if update.snapshot {
            members.clear();
        }
        for (endpoint, entry) in update.endpoints.into_iter().zip(&entries) {
            if entry.state == ServerState::Gone {
                members.remove(&entry.server);
            } else if members.len() < MAX_LISTED_SERVERS || members.contains_key(&entry.server) {
                members.insert(entry.server, self.member(endpoint, *entry));
            }
        }
        self.version.set(update.index);
        let entries: Vec<ServerEntry> = entries
            .into_iter()
            .map(|entry| overrides.apply_to(entry))
            .collect();
        let is_draining = |id| {
            entries
                .iter()
                .any(|entry| entry.server == id && entry.state == ServerState::Draining)
        };
        let has_ended = |(id, incarnation): &(ServerId, Incarnation)| {
            members
                .get(id)
                .is_none_or(|member| member.incarnation() != *incarnation)
        };
        let unused = former
            .into_iter()
            .filter(|m| has_ended(m) || is_draining(m.0))
            .map(|m| m.0)
            .collect();
        (entries, unused)
    }
}

/// Logs the servers that an update changes. A complete list is not logged here, since it repeats known servers.
fn log_changes(service: &Service, update: &ListUpdate) {
    if update.snapshot || !tracing::enabled!(tracing::Level::INFO) {
        return;
    }
    let (version, log_prefix) = (update.index, &service.log_prefix);
    let changed = update.len();
    let leaving = update
        .endpoints
        .iter()
        .filter(|endpoint| !matches!(endpoint.status, Status::InService))
        .count();
    let named = update.endpoints.iter().take(MAX_LOGGED_CHANGES);
    let changes: Vec<String> = named
        .map(|endpoint| format!("{} {}", endpoint.name, endpoint.status.as_str()))
        .collect();
    let changes = changes.join(", ");
    let unnamed = changed.saturating_sub(MAX_LOGGED_CHANGES);
    tracing::info!(
        version,
        changed,
        leaving,
        unnamed,
        "{log_prefix}discovery lists version {version}: {changed} changed, {leaving} of them leave; {changes} and {unnamed} more"
    );
}

/// Passes the servers that are known at the start to the balancer: those of the configuration, or if it has none, those that an
/// earlier process has stored. A list from discovery replaces both.
pub(super) fn load_initial_list(service: &Rc<Service>, update: ListUpdate) {
    let discovery = service
        .pool
        .discovery
        .get()
        .filter(|_| update.endpoints.is_empty());
    let update = discovery.map_or(update, |_| {
        ListUpdate::from_snapshots(service.persisted_servers())
    });
    apply_static_list(service, update);
}

/// Applies a complete list that does not come from discovery.
pub(super) fn apply_static_list(service: &Rc<Service>, update: ListUpdate) {
    apply_update(
        service,
        service.process.clock.now(),
        ListUpdate {
            snapshot: true,
            ..update
        },
    );
}

/// Replaces discovery by this static list.
pub(super) fn use_static_list(service: &Rc<Service>, update: ListUpdate) {
    service.pool.discovery.set(None);
    service.pool.calls.abort_all();
    apply_static_list(service, update);
}

/// Drains all servers of a pool that is being removed. List updates from discovery have no effect from then on.
pub(super) fn drain_servers(service: &Rc<Service>) {
    service.pool.calls.abort_all();
    service.pool.discovery.set(None);
    let draining = |member: &Member| ServerEntry {
        state: ServerState::Draining,
        ..member.entry
    };
    let entries: Vec<ServerEntry> = service
        .pool
        .members
        .borrow()
        .values()
        .map(draining)
        .collect();
    service.connections.close_all_idle();
    service.handle(
        service.process.clock.now(),
        Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&entries)),
    );
}

/// Applies changed names of zones and kinds in the settings. The balancer is notified of the servers, whose indices may differ.
pub(super) fn update_names(service: &Rc<Service>, site: &Site) {
    let pool = &service.pool;
    let names = (site.zones.clone(), site.kinds.clone());
    let former = pool.zones_and_kinds.replace(names);
    let (zones, kinds) = &*pool.zones_and_kinds.borrow();
    if former == (zones.clone(), kinds.clone()) {
        return;
    }
    let new_index = |former: &[String], present: &[String], index: u32| {
        let name = former.get(index as usize);
        name.and_then(|name| present.iter().position(|n| n == name))
            .unwrap_or(present.len()) as u32
    };
    let mut changes = Vec::new();
    for member in pool.members.borrow_mut().values_mut() {
        let entry = &mut member.entry;
        (entry.zone, entry.kind) = (
            new_index(&former.0, zones, entry.zone),
            new_index(&former.1, kinds, entry.kind),
        );
        changes.push(service.process.server_overrides.borrow().apply_to(*entry));
    }
    changes.sort_unstable_by_key(|entry| entry.server);
    service.handle(
        service.process.clock.now(),
        Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&changes)),
    );
}

/// Notifies the balancer of the servers whose overrides have changed.
pub(super) fn update_overrides(
    service: &Rc<Service>,
    former: &ServerOverrides,
    present: &ServerOverrides,
) {
    let pairs = |member: &Member| {
        (
            former.apply_to(member.entry),
            present.apply_to(member.entry),
        )
    };
    let mut changes: Vec<ServerEntry> = Vec::new();
    for (old, new) in service.pool.members.borrow().values().map(pairs) {
        // In a pool that is being removed servers may start to drain, but not return.
        if old != new && (new.state == ServerState::Draining || !service.is_draining()) {
            changes.push(new);
        }
    }
    if changes.is_empty() {
        return;
    }
    changes.sort_unstable_by_key(|entry| entry.server);
    let drained = changes
        .iter()
        .filter(|entry| entry.state == ServerState::Draining);
    drained.for_each(|entry| service.connections.remove_server(entry.server));
    service.handle(
        service.process.clock.now(),
        Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&changes)),
    );
}

/// Applies a list that the fleet shares and that is `age` old, as if discovery had sent it at that time.
pub(super) fn apply_shared_list(
    service: &Rc<Service>,
    index: u64,
    text: &str,
    age: Micros,
) -> Result<(), String> {
    let servers: Vec<SharedServer> =
        serde_json::from_str(text).map_err(|e| format!("invalid endpoint list: {e}"))?;
    if servers.len() > MAX_LISTED_SERVERS {
        return Err(format!(
            "the list has {} servers; the limit is {MAX_LISTED_SERVERS}",
            servers.len()
        ));
    }
    if service.pool.discovery.get().is_none() || service.is_draining() {
        return Err("the pool no longer uses discovery".to_string());
    }
    let endpoint =
        |SharedServer(name, address, zone, kind, group, status, weight, since_ms)| Endpoint {
            name,
            address,
            zone,
            kind,
            group,
            status,
            weight,
            since_ms,
        };
    let endpoints = servers.into_iter().map(endpoint).collect();
    let now = service.process.clock.now();
    apply_update(
        service,
        now,
        ListUpdate {
            index,
            snapshot: true,
            endpoints,
        },
    );
    service.pool.list_known_at.set(
        service
            .pool
            .list_known_at
            .get()
            .max(now.saturating_sub(age)),
    );
    Ok(())
}

/// Applies an update and passes it to the balancer. Changes that are older than the known list are ignored.
pub(super) fn apply_update(service: &Rc<Service>, now: Micros, update: ListUpdate) {
    let is_full_list = update.snapshot;
    if !is_full_list && update.index < service.pool.version.get() {
        // Changes older than the known list would undo newer ones.
        return;
    }
    log_changes(service, &update);
    let times = (now, service.process.clock.wall_clock_offset());
    let (entries, unused) =
        service
            .pool
            .merge(update, &service.process.server_overrides.borrow(), times);
    unused
        .into_iter()
        .for_each(|server| service.connections.remove_server(server));
    let list_update = if is_full_list {
        DiscoveryUpdate::FullList(&entries)
    } else {
        DiscoveryUpdate::ListChanges(&entries)
    };
    service.handle(now, Event::DiscoveryUpdated(list_update));
    service.restore_server_measurements(now);
}

#[cfg(test)]
#[path = "pool_lists_tests.rs"]
mod pool_lists_tests;

#[cfg(test)]
mod tests {
    use super::*;

    const SLOW_START: Micros = 8_400_000;
    const HOUR: Micros = 3_600_000_000;

    /// Applies a list with one server and returns its converted start time.
    fn converted_start(pool: &Pool, since_ms: u64, now: Micros, wall_clock_offset: i64) -> Micros {
        let endpoint = serde_json::json!({"name": "s", "address": "127.0.0.1:1", "status": "in_service",
            "since_ms": since_ms});
        let update = serde_json::json!({"index": 1, "snapshot": true, "endpoints": [endpoint]});
        let update = serde_json::from_value(update).expect("a list");
        let (entries, _) = pool.merge(
            update,
            &ServerOverrides::default(),
            (now, wall_clock_offset),
        );
        entries[0].started_at.expect("a start time")
    }

    /// The wall_clock clock may diverge from the balancer's clock: by eight hours if the machine was suspended, if the
    /// clock was set only after the start, or by an hour if it was set back. Slow start must not last longer or shorter for
    /// that.
    #[rstest::rstest]
    #[case::suspended(8 * HOUR as i64)]
    #[case::set_late(100_000 * HOUR as i64)]
    #[case::set_back(-(HOUR as i64))]
    #[case::equal(0)]
    #[case::read_one_after_the_other(20)]
    fn slow_start_begins_at_the_start_of_a_server_whatever_the_clocks_do(
        #[case] wall_clock_offset: i64,
    ) {
        let pool = Pool::new(None, Vec::new(), Vec::new(), 0);
        let now: Micros = 1_700_000_000_000_000;
        let wall_clock = now.saturating_add_signed(wall_clock_offset);
        let started = converted_start(
            &pool,
            (wall_clock - 2_000_000) / 1_000,
            now,
            wall_clock_offset,
        );
        assert!(
            started.abs_diff(now - 2_000_000) <= CLOCK_READ_TOLERANCE,
            "{started} at {now}"
        );
        // Listed again later, by clocks that have diverged further, it is the same start.
        assert_eq!(
            converted_start(
                &pool,
                (wall_clock - 2_000_000) / 1_000,
                now + SLOW_START,
                wall_clock_offset + HOUR as i64
            ),
            started
        );
        // A later start remains later, even if the clock has lost an hour meanwhile.
        let restarted = converted_start(
            &pool,
            (wall_clock + SLOW_START) / 1_000,
            now + SLOW_START,
            wall_clock_offset + HOUR as i64,
        );
        assert!(
            restarted > started && restarted <= now + SLOW_START,
            "{restarted} after {started}"
        );
    }

    #[test]
    fn a_start_in_the_future_counts_as_now_and_0_as_long_ago() {
        assert_eq!(start_time(u64::MAX, None, 7_000_000, 0), Some(7_000_000));
        assert_eq!(start_time(0, None, 7_000_000, 0), None);
    }

    /// Instances of one fleet may have different settings: names that one of them does not know must still reach the others.
    #[test]
    fn a_list_is_shared_as_discovery_sent_it_whatever_the_settings_name() {
        let endpoint = serde_json::json!({"name": "s", "address": "127.0.0.1:1", "status": "terminating",
            "zone": "b", "type": "m2", "weight": 2.5, "since_ms": 7});
        let update = serde_json::json!({"index": 3, "snapshot": true, "endpoints": [endpoint]});
        let shared = |zones: &[&str]| {
            let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
            let pool = Pool::new(None, names(zones), names(&["m1", "m2"]), 0);
            let update = serde_json::from_value(update.clone()).expect("a list");
            pool.merge(update, &ServerOverrides::default(), (9_000_000, 0));
            pool.shared_text()
        };
        assert_eq!(shared(&["a"]), shared(&["a", "b"]));
        assert_eq!(
            shared(&["a"]),
            r#"[["s","127.0.0.1:1","b","m2",0,"terminating",2.5,7]]"#
        );
    }

    #[test]
    fn an_invalid_weight_is_replaced_by_the_default() {
        for (weight, capacity) in [
            (2.5, 2.5),
            (1e308, 1.0),
            (f64::MIN_POSITIVE, 1.0),
            (-1.0, 1.0),
            (0.0, 1.0),
        ] {
            let text = format!(
                r#"{{"name":"s","address":"127.0.0.1:1","status":"in_service","weight":{weight:e}}}"#
            );
            let endpoint: Endpoint = serde_json::from_str(&text).expect("an entry");
            let pool = Pool::new(None, Vec::new(), Vec::new(), 0);
            assert_eq!(pool.entry(&endpoint, None).capacity, capacity, "{weight}");
        }
    }
}

//! The pool: discovery's list of servers and its watch on changes, as news for the module.

use super::discovery_calls::DiscoveryCalls;
use super::service::Service;
use foldhash::quality::FixedState;
use madderloom_balancer::settings::Site;
use madderloom_balancer::{DiscoveryUpdate, Event, Micros, ServerEntry, ServerId, ServerState};
use madderloom_operator_config::Server;
use madderloom_sidecar_state::{ListedServer, ServerSnapshot};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// The most servers of one list.
pub(super) const MAX_LISTED_SERVERS: usize = 4_096;
/// Weights that can be compared. One beyond them counts as one that makes no sense: as the usual.
const WEIGHTS: RangeInclusive<f64> = 1e-6..=1e6;
/// Changes of one list that the log names.
const MAX_LOGGED_CHANGES: usize = 8;
/// Clocks that differ by less are taken for the same: they are read one after the other.
const PARTED: u64 = 100_000;

/// One answer of discovery, a line of its watch, or the list that a configuration holds.
#[derive(Deserialize, Default)]
pub(super) struct ListUpdate {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

impl ListUpdate {
    /// Servers that the operator file names.
    pub(super) fn from_static_servers(servers: &[Server]) -> Self {
        let endpoint = |s: &Server| Endpoint {
            name: s.name.as_str().into(),
            address: s.address,
            zone: s.zone.clone(),
            kind: s.kind.clone(),
            group: s.group,
            status: Status::InService,
            weight: s.weight,
            since_ms: 0,
        };
        ListUpdate {
            index: 0,
            snapshot: true,
            endpoints: servers.iter().map(endpoint).collect(),
        }
    }

    /// Servers as an earlier process knew them. Their list is of no version, so discovery is asked for all of it.
    fn remembered(servers: Vec<ServerSnapshot>) -> Self {
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
                    .map_or(0, |started| started / 1_000),
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

    /// The version that discovery gives the list.
    pub(super) fn version(&self) -> u64 {
        self.index
    }

    /// Whether servers that it does not name are gone.
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

/// A server in a list that is shared: short, since many such lists are on their way.
#[derive(Serialize, Deserialize)]
struct Row(Box<str>, SocketAddr, String, String, u32, Status, f64, u64);

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
    /// When discovery says it started.
    since_ms: u64,
    /// As it was listed.
    listed: ServerEntry,
    /// Its zone and kind by name, where the settings hold one of these not: whom the list is shared with may.
    foreign: Option<Box<(String, String)>>,
}

/// A time of discovery as the module's clock reads it, which was set by Unix time; 0 is long ago.
fn unix(since_ms: u64) -> Option<Micros> {
    Some(since_ms.saturating_mul(1_000)).filter(|at| *at > 0)
}

/// Its zone and kind by name, empty where the settings hold none of that place.
fn places(names: &(Vec<String>, Vec<String>), listed: &ServerEntry) -> (String, String) {
    let name = |names: &[String], at: u32| names.get(at as usize).cloned().unwrap_or_default();
    (name(&names.0, listed.zone), name(&names.1, listed.kind))
}

/// When a server started, by the module's clock. That clock and the wall clock, by which discovery tells it, part where
/// the wall clock is set or the machine was suspended: taken as it is, a start would lie ahead, and the server be cold for
/// as long as that, or so far back that one just started would be held to be warm. What was told once of a start stays as
/// it was taken then, or the server would look started anew.
fn started(since_ms: u64, former: Option<&Member>, now: Micros, behind: i64) -> Option<Micros> {
    let since = unix(since_ms)?;
    if let Some(known) = former.filter(|former| former.since_ms == since_ms) {
        return known.listed.started_at;
    }
    let parted = behind.unsigned_abs() >= PARTED;
    let since = if parted {
        since.saturating_add_signed(behind.saturating_neg())
    } else {
        since
    };
    // A later life starts later, whatever became of the clocks meanwhile.
    let after = former
        .filter(|former| former.since_ms < since_ms)
        .and_then(|former| former.listed.started_at);
    Some(
        since
            .max(after.map_or(1, |after| after.saturating_add(1)))
            .min(now),
    )
}

/// What is set of servers beside their lists. Empty, it costs a look into an empty map for each server of a list.
#[derive(Default)]
pub(super) struct ServerOverrides {
    /// What the listed capacity is multiplied by, in thousandths.
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

    /// A server as the module is to be told of it. One of no weight is drained: no capacity is too little to send by.
    fn apply_to(&self, listed: ServerEntry) -> ServerEntry {
        let weight = self.weights.get(&listed.server).copied().unwrap_or(1_000);
        let drains = weight == 0 || self.drained.contains(&listed.server);
        let state = if drains && listed.state == ServerState::Ready {
            ServerState::Draining
        } else {
            listed.state
        };
        let capacity = if weight == 0 {
            listed.capacity
        } else {
            listed.capacity * f64::from(weight) / 1e3
        };
        ServerEntry {
            state,
            capacity,
            ..listed
        }
    }
}

/// The servers as this sidecar knows them, and its watch.
pub(super) struct Pool {
    /// None where the list is fixed.
    discovery: Cell<Option<SocketAddr>>,
    /// What discovery calls zones and kinds, by their places in the settings.
    names: RefCell<(Vec<String>, Vec<String>)>,
    index: Cell<u64>,
    members: RefCell<HashMap<ServerId, Member, FixedState>>,
    pub(super) calls: DiscoveryCalls,
    /// Discovery has been called, and the call or its watch lasts.
    called: Cell<bool>,
    /// When discovery last said anything, or was to begin to.
    heard: Cell<Micros>,
}

impl Pool {
    pub(super) fn new(
        discovery: Option<SocketAddr>,
        zones: Vec<String>,
        kinds: Vec<String>,
        now: Micros,
    ) -> Self {
        let (index, members, calls, called) = Default::default();
        let (discovery, heard) = (Cell::new(discovery), Cell::new(now));
        Pool {
            discovery,
            names: RefCell::new((zones, kinds)),
            index,
            members,
            calls,
            called,
            heard,
        }
    }

    /// Where a server is to be found.
    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.members.borrow().get(&server).map(|m| m.address)
    }

    /// Whether new attempts may still begin at this server and this address of it. Asked once more when a connection has come
    /// up: what was chosen before that may have begun to drain, left or moved meanwhile.
    pub(super) fn accepts_new_attempts(
        &self,
        server: ServerId,
        address: SocketAddr,
        steering: &ServerOverrides,
    ) -> bool {
        let members = self.members.borrow();
        let ready = |listed| steering.apply_to(listed).state == ServerState::Ready;
        members
            .get(&server)
            .is_some_and(|m| m.address == address && ready(m.listed))
    }

    pub(super) fn name(&self, server: ServerId) -> Box<str> {
        let members = self.members.borrow();
        members
            .get(&server)
            .map_or_else(|| server.to_string().into(), |m| m.name.clone())
    }

    /// Whether its list comes from there.
    pub(super) fn uses_discovery(&self, discovery: SocketAddr) -> bool {
        self.discovery.get() == Some(discovery)
    }

    pub(super) fn discovery(&self) -> Option<SocketAddr> {
        self.discovery.get()
    }

    /// How old the list may be; none where it is fixed.
    pub(super) fn list_age(&self, now: Micros) -> Option<Micros> {
        self.discovery
            .get()
            .map(|_| now.saturating_sub(self.heard.get()))
    }

    pub(super) fn list_version(&self) -> u64 {
        self.index.get()
    }

    /// The next list is read whole, whatever its version.
    pub(super) fn reset_list_version(&self) {
        self.index.set(0);
    }

    /// Follows this discovery from now on; returns the former one.
    pub(super) fn set_discovery(&self, discovery: SocketAddr) -> Option<SocketAddr> {
        self.discovery.replace(Some(discovery))
    }

    /// Whether a call to discovery, or the watch that it became, is under way.
    pub(super) fn is_calling_discovery(&self) -> bool {
        self.called.get()
    }

    pub(super) fn set_calling_discovery(&self, called: bool) {
        self.called.set(called);
    }

    /// All that discovery had at this time is known.
    pub(super) fn set_list_known_at(&self, now: Micros) {
        self.heard.set(now);
    }

    /// How many servers are in the list.
    pub(super) fn server_count(&self) -> usize {
        self.members.borrow().len()
    }

    /// Whether there is a server to send to at all.
    pub(super) fn has_servers(&self) -> bool {
        !self.members.borrow().is_empty()
    }

    /// The servers that take new work, as the next process is to know them until its list has come.
    pub(super) fn server_snapshots(&self) -> BTreeMap<ServerId, ServerSnapshot> {
        let (members, names) = (self.members.borrow(), self.names.borrow());
        let ready = members
            .iter()
            .filter(|(_, m)| m.listed.state == ServerState::Ready);
        let memory = |(id, m): (&ServerId, &Member)| {
            let (listed, address) = (&m.listed, m.address);
            let (zone, kind) = places(&names, listed);
            let as_listed = ListedServer {
                address,
                zone,
                machine_type: kind,
                group: listed.cell,
                weight: listed.capacity,
            };
            let (name, started) = (m.name.to_string(), unix(m.since_ms));
            (
                *id,
                ServerSnapshot {
                    name,
                    listed: Some(as_listed),
                    incarnation_started_at: started,
                    ..ServerSnapshot::default()
                },
            )
        };
        ready.map(memory).collect()
    }

    /// All of the list as it is shared with the fleet: the same text for the same list.
    pub(super) fn shared_text(&self) -> String {
        let (members, names) = (self.members.borrow(), self.names.borrow());
        let row = |member: &Member| {
            let listed = &member.listed;
            let status = match listed.state {
                ServerState::Ready => Status::InService,
                ServerState::Draining => Status::Terminating,
                ServerState::Gone => Status::Terminated,
            };
            let (zone, kind) = member
                .foreign
                .as_deref()
                .cloned()
                .unwrap_or_else(|| places(&names, listed));
            let weight = listed.capacity;
            Row(
                member.name.clone(),
                member.address,
                zone,
                kind,
                listed.cell,
                status,
                weight,
                member.since_ms,
            )
        };
        let mut rows: Vec<Row> = members.values().map(row).collect();
        rows.sort_unstable_by(|one, other| one.0.cmp(&other.0));
        serde_json::to_string(&rows).unwrap_or_default()
    }

    fn listed(&self, endpoint: &Endpoint, started: Option<Micros>) -> ServerEntry {
        // A name that the settings do not hold stands for one place of its own.
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len())
        };
        let (zones, kinds) = &*self.names.borrow();
        let sound = WEIGHTS.contains(&endpoint.weight);
        ServerEntry {
            server: ServerId::from_name(&endpoint.name),
            zone: place(zones, &endpoint.zone) as u32,
            cell: endpoint.group,
            kind: place(kinds, &endpoint.kind) as u32,
            started_at: started,
            capacity: if sound { endpoint.weight } else { 1.0 },
            state: match endpoint.status {
                Status::InService => ServerState::Ready,
                Status::Terminating => ServerState::Draining,
                Status::Terminated => ServerState::Gone,
            },
        }
    }

    /// Takes in a list or some changes, and gives the same in the module's words, with the servers that had
    /// an address and get nothing new there any more.
    fn take_in(
        &self,
        listing: ListUpdate,
        steering: &ServerOverrides,
        (now, behind): (Micros, i64),
    ) -> (Vec<ServerEntry>, Vec<ServerId>) {
        let mut members = self.members.borrow_mut();
        let as_listed = |endpoint: &Endpoint| {
            let former = members.get(&ServerId::from_name(&endpoint.name));
            self.listed(endpoint, started(endpoint.since_ms, former, now, behind))
        };
        let listed: Vec<ServerEntry> = listing.endpoints.iter().map(as_listed).collect();
        let former: Vec<_> = members.iter().map(|(id, m)| (*id, m.address)).collect();
        if listing.snapshot {
            members.clear();
        }
        for (endpoint, listed) in listing.endpoints.into_iter().zip(&listed) {
            if listed.state == ServerState::Gone {
                members.remove(&listed.server);
            } else if members.len() < MAX_LISTED_SERVERS || members.contains_key(&listed.server) {
                let Endpoint {
                    name,
                    address,
                    since_ms,
                    zone,
                    kind,
                    ..
                } = endpoint;
                let (zones, kinds) = &*self.names.borrow();
                let known =
                    (listed.zone as usize) < zones.len() && (listed.kind as usize) < kinds.len();
                let foreign = (!known).then(|| Box::new((zone, kind)));
                let member = Member {
                    name,
                    address,
                    since_ms,
                    listed: *listed,
                    foreign,
                };
                members.insert(listed.server, member);
            }
        }
        self.index.set(listing.index);
        let listed: Vec<ServerEntry> = listed
            .into_iter()
            .map(|listed| steering.apply_to(listed))
            .collect();
        let draining = |id| {
            listed
                .iter()
                .any(|l| l.server == id && l.state == ServerState::Draining)
        };
        let moved =
            |(id, at): &(ServerId, SocketAddr)| members.get(id).is_none_or(|m| m.address != *at);
        let left = former
            .into_iter()
            .filter(|m| moved(m) || draining(m.0))
            .map(|m| m.0)
            .collect();
        (listed, left)
    }
}

/// Says which servers discovery tells of; of a whole list only how many, since it repeats what is known.
fn log_changes(service: &Service, listing: &ListUpdate) {
    if listing.snapshot || !tracing::enabled!(tracing::Level::INFO) {
        return;
    }
    let named = listing.endpoints.iter().take(MAX_LOGGED_CHANGES);
    let changes: Vec<String> = named
        .map(|endpoint| format!("{} {}", endpoint.name, endpoint.status.as_str()))
        .collect();
    let changes = changes.join(", ");
    let version = listing.index;
    let unnamed = listing.len().saturating_sub(MAX_LOGGED_CHANGES);
    let of = &service.log_prefix;
    tracing::info!(
        version,
        unnamed,
        "{of}discovery lists version {version}: {changes} and {unnamed} more"
    );
}

/// Tells the module of the servers that are known at its start. The list of the configuration goes before what an
/// earlier process left, and discovery's before both.
pub(super) fn load_initial_list(service: &Rc<Service>, listing: ListUpdate) {
    let remembered = service
        .pool
        .discovery
        .get()
        .filter(|_| listing.endpoints.is_empty());
    let listing = remembered.map_or(listing, |_| {
        ListUpdate::remembered(service.persisted_servers())
    });
    apply_static_list(service, listing);
}

/// Tells the module of the list that the configuration holds.
pub(super) fn apply_static_list(service: &Rc<Service>, listing: ListUpdate) {
    apply_update(
        service,
        service.process.clock.now(),
        ListUpdate {
            snapshot: true,
            ..listing
        },
    );
}

/// Its list is this one from now on, whatever discovery it followed.
pub(super) fn use_static_list(service: &Rc<Service>, listing: ListUpdate) {
    service.pool.discovery.set(None);
    service.pool.calls.end_all();
    apply_static_list(service, listing);
}

/// The pool goes: its servers get no new attempts any more, whatever discovery says from now on.
pub(super) fn drain_servers(service: &Rc<Service>) {
    service.pool.calls.end_all();
    service.pool.discovery.set(None);
    let draining = |member: &Member| ServerEntry {
        state: ServerState::Draining,
        ..member.listed
    };
    let listed: Vec<ServerEntry> = service
        .pool
        .members
        .borrow()
        .values()
        .map(draining)
        .collect();
    service.connections.close_all_idle();
    service.handle(
        service.process.clock.now(),
        Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&listed)),
    );
}

/// The settings name zones and kinds otherwise from now on. Servers are told of anew where their places have changed.
pub(super) fn update_names(service: &Rc<Service>, site: &Site) {
    let pool = &service.pool;
    let names = (site.zones.clone(), site.kinds.clone());
    let former = pool.names.replace(names);
    let (zones, kinds) = &*pool.names.borrow();
    if former == (zones.clone(), kinds.clone()) {
        return;
    }
    let moved = |former: &[String], present: &[String], at: u32| {
        let name = former.get(at as usize);
        name.and_then(|name| present.iter().position(|n| n == name))
            .unwrap_or(present.len()) as u32
    };
    let mut changes = Vec::new();
    for member in pool.members.borrow_mut().values_mut() {
        let listed = &mut member.listed;
        (listed.zone, listed.kind) = (
            moved(&former.0, zones, listed.zone),
            moved(&former.1, kinds, listed.kind),
        );
        changes.push(service.process.server_overrides.borrow().apply_to(*listed));
    }
    changes.sort_unstable_by_key(|listed| listed.server);
    service.handle(
        service.process.clock.now(),
        Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&changes)),
    );
}

/// Tells the module of the servers that are now set otherwise beside their list.
pub(super) fn update_overrides(
    service: &Rc<Service>,
    former: &ServerOverrides,
    present: &ServerOverrides,
) {
    let pairs = |member: &Member| {
        (
            former.apply_to(member.listed),
            present.apply_to(member.listed),
        )
    };
    let mut changes: Vec<ServerEntry> = Vec::new();
    for (was, is) in service.pool.members.borrow().values().map(pairs) {
        // A pool that goes may lose servers, and gets none back.
        if was != is && (is.state == ServerState::Draining || !service.is_draining()) {
            changes.push(is);
        }
    }
    if changes.is_empty() {
        return;
    }
    changes.sort_unstable_by_key(|listed| listed.server);
    let drained = changes
        .iter()
        .filter(|listed| listed.state == ServerState::Draining);
    drained.for_each(|listed| service.connections.remove_server(listed.server));
    service.handle(
        service.process.clock.now(),
        Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&changes)),
    );
}

/// The fleet goes by this list, which is so old: as if discovery had told it then.
pub(super) fn apply_shared_list(
    service: &Rc<Service>,
    index: u64,
    text: &str,
    age: Micros,
) -> Result<(), String> {
    let rows: Vec<Row> = serde_json::from_str(text).map_err(|e| format!("makes no sense: {e}"))?;
    if rows.len() > MAX_LISTED_SERVERS {
        return Err(format!("holds {} servers", rows.len()));
    }
    if service.pool.discovery.get().is_none() || service.is_draining() {
        return Err("the pool follows no discovery any more".to_string());
    }
    let endpoint = |Row(name, address, zone, kind, group, status, weight, since_ms)| Endpoint {
        name,
        address,
        zone,
        kind,
        group,
        status,
        weight,
        since_ms,
    };
    let endpoints = rows.into_iter().map(endpoint).collect();
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
    service
        .pool
        .heard
        .set(service.pool.heard.get().max(now.saturating_sub(age)));
    Ok(())
}

pub(super) fn apply_update(service: &Rc<Service>, now: Micros, listing: ListUpdate) {
    let full = listing.snapshot;
    if !full && listing.index < service.pool.index.get() {
        // Changes older than the list that is held would undo newer ones.
        return;
    }
    log_changes(service, &listing);
    let times = (now, service.process.clock.wall_clock_offset());
    let (listed, left) =
        service
            .pool
            .take_in(listing, &service.process.server_overrides.borrow(), times);
    left.into_iter()
        .for_each(|server| service.connections.remove_server(server));
    let members = if full {
        DiscoveryUpdate::FullList(&listed)
    } else {
        DiscoveryUpdate::ListChanges(&listed)
    };
    service.handle(now, Event::DiscoveryUpdated(members));
    service.restore_server_measurements(now);
}

#[cfg(test)]
#[path = "pool_lists_tests.rs"]
mod pool_lists_tests;

#[cfg(test)]
mod tests {
    use super::*;

    const COLD: Micros = 8_400_000;
    const HOUR: Micros = 3_600_000_000;

    fn told(pool: &Pool, since_ms: u64, now: Micros, behind: i64) -> Micros {
        let endpoint = serde_json::json!({"name": "s", "address": "127.0.0.1:1", "status": "in_service",
            "since_ms": since_ms});
        let listing = serde_json::json!({"index": 1, "snapshot": true, "endpoints": [endpoint]});
        let listing = serde_json::from_value(listing).expect("a list");
        let (listed, _) = pool.take_in(listing, &ServerOverrides::default(), (now, behind));
        listed[0].started_at.expect("it started")
    }

    /// A machine that was suspended for eight hours, one whose clock was set only after the start, and one that was set
    /// back an hour: a server that has just started is cold for its time, neither longer nor shorter.
    #[rstest::rstest]
    #[case::suspended(8 * HOUR as i64)]
    #[case::set_late(100_000 * HOUR as i64)]
    #[case::set_back(-(HOUR as i64))]
    #[case::together(0)]
    #[case::read_one_after_the_other(20)]
    fn a_server_is_cold_from_its_start_whatever_became_of_the_clocks(#[case] behind: i64) {
        let pool = Pool::new(None, Vec::new(), Vec::new(), 0);
        let now: Micros = 1_700_000_000_000_000;
        let wall = now.saturating_add_signed(behind);
        let started = told(&pool, (wall - 2_000_000) / 1_000, now, behind);
        assert!(
            started.abs_diff(now - 2_000_000) <= PARTED,
            "{started} at {now}"
        );
        // Told again, later and by clocks that have parted by more, it is the same start.
        assert_eq!(
            told(
                &pool,
                (wall - 2_000_000) / 1_000,
                now + COLD,
                behind + HOUR as i64
            ),
            started
        );
        // A later start is a later one, even by a clock that has lost an hour meanwhile.
        let again = told(
            &pool,
            (wall + COLD) / 1_000,
            now + COLD,
            behind + HOUR as i64,
        );
        assert!(
            again > started && again <= now + COLD,
            "{again} after {started}"
        );
    }

    #[test]
    fn a_start_that_lies_ahead_is_now_and_0_is_long_ago() {
        assert_eq!(started(u64::MAX, None, 7_000_000, 0), Some(7_000_000));
        assert_eq!(started(0, None, 7_000_000, 0), None);
    }

    /// Instances of one fleet may have settings of their own: what one of them has no place for goes on to the others.
    #[test]
    fn a_list_is_shared_as_it_was_told_whatever_the_settings_name() {
        let endpoint = serde_json::json!({"name": "s", "address": "127.0.0.1:1", "status": "terminating",
            "zone": "b", "type": "m2", "weight": 2.5, "since_ms": 7});
        let listing = serde_json::json!({"index": 3, "snapshot": true, "endpoints": [endpoint]});
        let shared = |zones: &[&str]| {
            let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
            let pool = Pool::new(None, names(zones), names(&["m1", "m2"]), 0);
            let listing = serde_json::from_value(listing.clone()).expect("a list");
            pool.take_in(listing, &ServerOverrides::default(), (9_000_000, 0));
            pool.shared_text()
        };
        assert_eq!(shared(&["a"]), shared(&["a", "b"]));
        assert_eq!(
            shared(&["a"]),
            r#"[["s","127.0.0.1:1","b","m2",0,"terminating",2.5,7]]"#
        );
    }

    #[test]
    fn a_weight_beyond_all_comparison_is_the_usual_one() {
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
            assert_eq!(pool.listed(&endpoint, None).capacity, capacity, "{weight}");
        }
    }
}

//! The sidecar as a whole: made of the platform's configuration, of the operator file, or of both.

use super::admin::AdminServer;
use super::agent_link::AgentLink;
use super::config::{Config, ConfigKeys, descriptor_limit};
use super::feed::FOLLOWERS;
use super::listener::{BoundSocket, Listener, ListenerSettings, bind};
use super::ordinal::ordinal_in_name;
use super::process_state::{ProcessState, ResourceTotals};
use super::routing::Routing;
use super::service::{ResourceShares, Service, ServiceSpec};
use super::state_writer::StateWriter;
use super::supervision::supervise;
use super::{control_address, timers, warm_start};
use madderloom_balancer::Micros;
use madderloom_operator_config::{Kept, MemberLimits, Operator, PLATFORM};
use madderloom_routing::shares::Part;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::cell::RefCell;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Between looks after what lies idle.
const SWEEP: Duration = Duration::from_secs(1);
/// Connections that one look closes, at most, where they hold too much.
const CLOSED_AT_ONCE: u64 = 512;
/// Descriptors of the admin view, beside those of listeners and watches.
const ADMIN_DESCRIPTORS: usize = 8;
/// Of the link to an agent.
const AGENT_DESCRIPTORS: usize = 4;
/// Of the store: its directory, segments of its log, and what a compaction writes.
const STATE_DESCRIPTORS: usize = 16;
/// Of requests that are open, where the settings of the one service alone bound them.
const UNBOUNDED: u64 = 1 << 40;

/// One sidecar.
pub struct Sidecar {
    pub(super) process: Rc<ProcessState>,
    /// What the platform lets it have.
    pub(super) descriptors: usize,
    pub(super) memory_bytes: u64,
    pub(super) seed: u64,
    pub(super) name: String,
    /// What the platform's configuration stands for.
    pub(super) platform: Option<(Rc<Service>, Rc<Listener>)>,
    /// Which keys the platform's configuration had when it was last taken.
    pub(super) config_keys: RefCell<ConfigKeys>,
    /// Where the operator file is.
    pub(super) operator_file: Option<PathBuf>,
    /// The services of the operator file as it was last read, by their places.
    pub(super) services: RefCell<Vec<Rc<Service>>>,
    pub(super) listeners: RefCell<Vec<Rc<Listener>>>,
    pub(super) admin: RefCell<Option<AdminServer>>,
    pub(super) agent_link: Rc<AgentLink>,
}

impl Sidecar {
    /// A sidecar that listens. Without an operator file it is what the platform's configuration says and nothing
    /// more. To be called in a local set. One of the two must be there.
    pub fn new(
        mut config: Option<Config>,
        operator: Option<(PathBuf, Operator)>,
    ) -> Result<Rc<Self>, String> {
        if config.is_none() && operator.is_none() {
            return Err("RELAY_CONFIG: is not set, and no operator file is named".to_string());
        }
        let usual = super::Limits::default();
        let limits = config.as_ref().map_or(&usual, |c| &c.limits);
        let memory = (limits.memory_mb as u64).saturating_mul(1 << 20);
        let seed = config
            .as_ref()
            .map_or_else(|| RandomState::new().hash_one(0), |c| c.seed);
        let own = operator.as_ref().map(|(_, operator)| operator);
        // Without the platform's word, the file's holds.
        let by_file = config.is_none() && own.is_some_and(|own| own.limits.descriptors.is_some());
        let sockets = if by_file { usize::MAX } else { limits.sockets };
        let descriptors = sockets.min(descriptor_limit());
        let (descriptors, memory) = config
            .as_ref()
            .map_or((descriptors, memory), |c| own_part(c, descriptors, memory));
        let totals = resource_totals(descriptors, memory, own, config.is_some());
        let process = ProcessState::new(totals, operator.is_some());
        // Before anything is served: where it cannot be asked, the start fails.
        if let Some(at) = config.as_ref().and_then(|config| config.control) {
            let socket = control_address::bind(at)?;
            let at = socket.local_addr().unwrap_or(at);
            tracing::info!(%at, "asked on {at}");
            let serving = control_address::serve(Rc::clone(&process), socket);
            watchdog::spawn(TaskKind::ControlListener, serving);
        }
        let alarmed = Rc::clone(&process);
        watchdog::spawn(TaskKind::Timers, async move {
            supervise(TaskKind::Timers, "timers", || {
                Some(timers::run(Rc::clone(&alarmed)))
            })
            .await;
        });
        let state = own.and_then(|operator| operator.state.clone());
        let kept = state.as_ref().map(|state| state.usual).unwrap_or_default();
        if let Some((state, (file, _))) = state.zip(operator.as_ref()) {
            let writer = StateWriter::open(state)
                .map_err(|problem| format!("{}: {problem}", file.display()))?;
            watchdog::spawn(TaskKind::State, Rc::clone(&writer).process_withdrawals());
            process.state_writer.get_or_init(|| writer);
        }
        let name = match (&config, own) {
            (_, Some(operator)) if !operator.process.name.is_empty() => {
                operator.process.name.clone()
            }
            (Some(config), _) => config.name.clone(),
            _ => String::new(),
        };
        let keys = config
            .as_mut()
            .map(|config| std::mem::take(&mut config.keys))
            .unwrap_or_default();
        let platform = config
            .map(|config| platform(&process, config, own.is_some(), kept))
            .transpose()?;
        let sidecar = Rc::new(Sidecar {
            process,
            descriptors,
            memory_bytes: memory,
            seed,
            name,
            config_keys: RefCell::new(keys),
            platform,
            operator_file: operator.as_ref().map(|(file, _)| file.clone()),
            services: RefCell::default(),
            listeners: RefCell::default(),
            admin: RefCell::default(),
            agent_link: Rc::default(),
        });
        if let Some((file, operator)) = operator {
            let operator = sidecar.begin_control(&file, operator);
            sidecar
                .apply(operator)
                .map_err(|problem| format!("{}: {problem}", file.display()))?;
        }
        Ok(sidecar)
    }

    /// Serves until `stop` ends, then finishes what was taken.
    pub async fn serve(self: Rc<Self>, stop: impl Future<Output = ()>) -> Result<(), String> {
        self.follow_agent();
        let process = Rc::clone(&self.process);
        watchdog::spawn(TaskKind::Upkeep, async move {
            supervise(TaskKind::Upkeep, "upkeep", || {
                Some(look_after(Rc::clone(&process)))
            })
            .await
        });
        if let Some(scheduler) = &self.process.scheduler {
            watchdog::spawn(TaskKind::FairQueue, Rc::clone(scheduler).run());
        }
        let warm = self.process.state_writer.get().map(|writer| {
            let writing =
                warm_start::write_periodically(Rc::clone(&self.process), Rc::clone(writer));
            watchdog::spawn(TaskKind::WarmState, writing).abort_handle()
        });
        stop.await;
        tracing::info!("stopping");
        self.process.lifecycle.borrow_mut().stop();
        if let Some((service, _)) = &self.platform {
            self.process
                .set_answer_deadline(service.active_settings().max_deadline.as_micros() as Micros);
        }
        self.end_control();
        self.process
            .listeners
            .borrow()
            .iter()
            .for_each(|listener| listener.start_draining());
        while !self.process.listeners.borrow().is_empty() {
            self.process.listener_ended.notified().await;
        }
        self.admin.take();
        if let Some(writer) = self.process.state_writer.get() {
            warm.inspect(AbortHandle::abort);
            warm_start::write_snapshots(&self.process, writer).await;
            writer.close();
        }
        Ok(())
    }
}

/// What of the platform's limits this process keeps to. Where it shares its clients' socket, the process that it replaces
/// or that replaces it has the other half; callers at the second address have theirs besides.
fn own_part(config: &Config, descriptors: usize, memory: u64) -> (usize, u64) {
    let parts = if config.inherited_socket.is_some() {
        2
    } else {
        1
    };
    let asked = if config.control.is_some() {
        control_address::RESERVED_DESCRIPTORS
    } else {
        0
    };
    (
        (descriptors / parts).saturating_sub(asked),
        memory / parts as u64,
    )
}

/// How much there is to share.
pub(super) fn resource_totals(
    descriptors: usize,
    memory: u64,
    operator: Option<&Operator>,
    platform: bool,
) -> ResourceTotals {
    let Some(operator) = operator else {
        return ResourceTotals::new(descriptors, 0, memory, UNBOUNDED, None);
    };
    let limits = &operator.limits;
    let given = |given: Option<u64>, there: u64| given.map_or(there, |given| given.min(there));
    let descriptors = given(limits.descriptors, descriptors as u64) as usize;
    // Without the platform's word, the file's holds.
    let memory = match limits.memory {
        Some(size) if !platform => size.0,
        size => given(size.map(|s| s.0), memory),
    };
    let watches = operator
        .pools
        .iter()
        .filter(|pool| pool.discovery.is_some())
        .count();
    let followers = if operator.timeline.is_some() {
        FOLLOWERS
    } else {
        0
    };
    let admin = if operator.admin.is_some() {
        ADMIN_DESCRIPTORS + followers
    } else {
        0
    };
    let control = if operator.control.is_some() {
        AGENT_DESCRIPTORS
    } else {
        0
    };
    let state = if operator.state.is_some() {
        STATE_DESCRIPTORS
    } else {
        0
    };
    let more = operator.listeners.len() + watches + admin + control + state;
    let bodies = limits.bodies.map(|size| size.0.min(memory / 2));
    ResourceTotals::new(descriptors, more, memory, limits.open, bodies)
}

/// What the platform's configuration stands for: one service, and one listener whose requests all go to it.
fn platform(
    process: &Rc<ProcessState>,
    config: Config,
    named: bool,
    kept: Kept,
) -> Result<(Rc<Service>, Rc<Listener>), String> {
    let label = if named {
        format!("{PLATFORM}: ")
    } else {
        String::new()
    };
    let all = |total: u64| Part {
        guaranteed: 0,
        most: total,
    };
    let bounds = &process.shared_limits;
    let parts = |connections: u64| ResourceShares {
        connections: all(connections),
        requests: all(bounds.requests_by_pool.total()),
        body_bytes: all(bounds.body_bytes_by_pool.total()),
    };
    let spec = ServiceSpec {
        name: PLATFORM.to_string(),
        log_prefix: label,
        site: config.settings,
        discovery: Some(config.discovery),
        initial_list: config.known,
        limits: MemberLimits::default(),
        levels: None,
        graphql: None,
        persistence: kept,
        seed: config.seed,
        ordinal: ordinal_in_name(&config.name),
    };
    let service = Service::new(process, spec, parts(bounds.server_connections.total()))?;
    let listen: SocketAddr = config.listen;
    let shared = config.inherited_socket.is_some();
    let socket = match config.inherited_socket {
        Some(socket) => {
            TcpListener::from_std(socket).map_err(|e| format!("RELAY_ACCEPT_FD: {e}"))?
        }
        None => bind(listen).map_err(|e| format!("RELAY_LISTEN: {listen}: {e}"))?,
    };
    let routing = Routing::SingleService(Rc::clone(&service));
    let limits = (None, parts(bounds.client_connections.total()));
    let place = BoundSocket {
        configured_address: listen,
        socket,
        shared,
    };
    let name = if named { PLATFORM } else { "" };
    let listener = Listener::start(
        process,
        name,
        place,
        (ListenerSettings::defaults(), routing),
        limits,
    );
    Ok((service, listener))
}

/// Looks every now and then after what no event brings about.
async fn look_after(process: Rc<ProcessState>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let services = process.services.borrow().clone();
        for service in services {
            while service.connections.close_expired() {
                tokio::task::yield_now().await;
            }
            service.connections.sweep();
            service.sample_servers();
        }
        process.enforce_connection_memory(CLOSED_AT_ONCE);
        process.fleet_limits.log_lease_changes();
    }
}

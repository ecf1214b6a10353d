//! The sidecar as a whole, created from the platform's configuration, the operator file, or both.

use super::admin::AdminServer;
use super::admin_events::MAX_FOLLOWERS;
use super::agent_link::AgentLink;
use super::config::{Config, ConfigKeys, descriptor_limit};
use super::listener::{BoundSocket, Listener, ListenerSettings, bind_at_start};
use super::ordinal::ordinal_in_name;
use super::process_state::{ProcessState, ResourceTotals};
use super::routing::Routing;
use super::service::{ResourceShares, Service, ServiceSpec};
use super::shared_request_ids::SharedRequestIds;
use super::state_writer::StateWriter;
use super::supervision::supervise;
use super::{control_address, timers, warm_start};
use madderloom_balancer::Micros;
use madderloom_operator_config::{OperatorConfig, PLATFORM, PersistenceOptions, ResourceLimits};
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

/// Interval of the upkeep of services and connections.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Connections that one round of upkeep closes at most when connections take too much memory.
const MAX_CLOSED_PER_UPKEEP: u64 = 512;
/// File descriptors reserved for the admin view.
const ADMIN_DESCRIPTORS: usize = 8;
/// File descriptors reserved for the link to an agent.
const AGENT_DESCRIPTORS: usize = 4;
/// File descriptors reserved for the state store: its directory, segments of its log, and the output of a compaction.
const STATE_DESCRIPTORS: usize = 16;
/// Limit on requests in flight where only the settings of the single service bound them.
const UNBOUNDED_REQUESTS: u64 = 1 << 40;

/// A sidecar.
pub struct Sidecar {
    pub(super) process: Rc<ProcessState>,
    /// The limit on file descriptors, from the platform or, without it, the operator file.
    pub(super) descriptors: usize,
    /// The platform's memory limit.
    pub(super) memory_bytes: u64,
    pub(super) seed: u64,
    pub(super) name: String,
    /// The service and the listener of the platform's configuration.
    pub(super) platform: Option<(Rc<Service>, Rc<Listener>)>,
    /// The keys of the platform's configuration that was last accepted.
    pub(super) config_keys: RefCell<ConfigKeys>,
    /// The path of the operator file.
    pub(super) operator_file: Option<PathBuf>,
    /// The services of the operator file that is in effect, in the order of the file.
    pub(super) services: RefCell<Vec<Rc<Service>>>,
    /// The listeners of the operator file that is in effect, in the order of the file.
    pub(super) listeners: RefCell<Vec<Rc<Listener>>>,
    pub(super) admin: RefCell<Option<AdminServer>>,
    pub(super) agent_link: Rc<AgentLink>,
}

impl Sidecar {
    /// Creates a sidecar and starts its listeners. Without an operator file, only the platform's configuration applies. At
    /// least one of the two must be given. To be called in a local set.
    pub fn new(
        mut config: Option<Config>,
        operator: Option<(PathBuf, OperatorConfig)>,
    ) -> Result<Rc<Self>, String> {
        if config.is_none() && operator.is_none() {
            return Err("RELAY_CONFIG: is not set, and no operator file is named".to_string());
        }
        let default_limits = super::Limits::default();
        let limits = config.as_ref().map_or(&default_limits, |c| &c.limits);
        let memory = (limits.memory_mb as u64).saturating_mul(1 << 20);
        let seed = config
            .as_ref()
            .map_or_else(|| RandomState::new().hash_one(0), |c| c.seed);
        let operator_config = operator.as_ref().map(|(_, operator)| operator);
        // Without a platform configuration, the limit of the operator file applies.
        let limited_by_file = config.is_none()
            && operator_config.is_some_and(|operator| operator.limits.descriptors.is_some());
        let sockets = if limited_by_file {
            usize::MAX
        } else {
            limits.sockets
        };
        let descriptors = sockets.min(descriptor_limit());
        let (descriptors, memory) = config.as_ref().map_or((descriptors, memory), |c| {
            process_share(c, descriptors, memory)
        });
        let totals = resource_totals(descriptors, memory, operator_config, config.is_some());
        let process = ProcessState::new(totals, operator.is_some());
        // This comes before anything is served, so that the start fails if the control address cannot be bound.
        if let Some(at) = config.as_ref().and_then(|config| config.control) {
            let socket = control_address::bind(at)?;
            let at = socket.local_addr().unwrap_or(at);
            tracing::info!(%at, "asked on {at}");
            let serving = control_address::serve(Rc::clone(&process), socket);
            watchdog::spawn(TaskKind::ControlListener, serving);
        }
        let timer_process = Rc::clone(&process);
        watchdog::spawn(TaskKind::Timers, async move {
            supervise(TaskKind::Timers, "timers", || {
                Some(timers::run(Rc::clone(&timer_process)))
            })
            .await;
        });
        let state = operator_config.and_then(|operator| operator.state.clone());
        let persistence = state
            .as_ref()
            .map(|state| state.defaults)
            .unwrap_or_default();
        if let Some((state, (file, _))) = state.zip(operator.as_ref()) {
            let writer = StateWriter::open(state)
                .map_err(|problem| format!("{}: {problem}", file.display()))?;
            watchdog::spawn(
                TaskKind::PersistedState,
                Rc::clone(&writer).process_withdrawals(),
            );
            process.state_writer.get_or_init(|| writer);
        }
        let name = match (&config, operator_config) {
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
            .map(|config| {
                start_platform_service(&process, config, operator_config.is_some(), persistence)
            })
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
            let operator = sidecar.restore_overlay(&file, operator);
            sidecar
                .apply(operator)
                .map_err(|problem| format!("{}: {problem}", file.display()))?;
        }
        Ok(sidecar)
    }

    /// Serves until `stop` completes, then finishes the requests it has accepted and shuts down.
    pub async fn serve(self: Rc<Self>, stop: impl Future<Output = ()>) -> Result<(), String> {
        self.update_agent_link();
        let process = Rc::clone(&self.process);
        watchdog::spawn(TaskKind::Maintenance, async move {
            supervise(TaskKind::Maintenance, "upkeep", || {
                Some(run_upkeep(Rc::clone(&process)))
            })
            .await
        });
        if let Some(scheduler) = &self.process.scheduler {
            watchdog::spawn(TaskKind::FairQueue, Rc::clone(scheduler).run());
        }
        let warm_state_task = self.process.state_writer.get().map(|writer| {
            let writing =
                warm_start::write_periodically(Rc::clone(&self.process), Rc::clone(writer));
            watchdog::spawn(TaskKind::WarmStartSnapshot, writing).abort_handle()
        });
        stop.await;
        tracing::info!("stopping");
        self.process.lifecycle.borrow_mut().stop();
        if let Some((service, _)) = &self.platform {
            let longest_deadline = service.active_settings().max_deadline.as_micros() as Micros;
            let answer_deadline = self.process.set_answer_deadline(longest_deadline);
            let process = Rc::clone(&self.process);
            watchdog::spawn(TaskKind::Drain, expire_requests(process, answer_deadline));
        }
        self.close_agent_link();
        self.process
            .listeners
            .borrow()
            .iter()
            .for_each(|listener| listener.start_draining());
        while !self.process.listeners.borrow().is_empty() {
            self.process.listener_ended.notified().await;
        }
        self.admin.take();
        if let Some(ids) = self.process.shared_request_ids.get() {
            ids.leave(self.process.clock.now());
        }
        if let Some(writer) = self.process.state_writer.get() {
            warm_state_task.inspect(AbortHandle::abort);
            warm_start::write_snapshots(&self.process, writer).await;
            writer.close();
        }
        Ok(())
    }
}

/// The share of the platform's file descriptors and memory that this process uses. Where it inherits the clients' socket,
/// the process that it replaces, or that replaces it, has the other half. The descriptors of the control address are
/// deducted.
fn process_share(config: &Config, descriptors: usize, memory: u64) -> (usize, u64) {
    let processes = if config.inherited_socket.is_some() {
        2
    } else {
        1
    };
    let control_descriptors = if config.control.is_some() {
        control_address::RESERVED_DESCRIPTORS
    } else {
        0
    };
    (
        (descriptors / processes).saturating_sub(control_descriptors),
        memory / processes as u64,
    )
}

/// The amount of each resource that services and listeners share. `platform` says whether there is a platform
/// configuration, whose limits the operator file can only lower.
pub(super) fn resource_totals(
    descriptors: usize,
    memory: u64,
    operator: Option<&OperatorConfig>,
    platform: bool,
) -> ResourceTotals {
    let Some(operator) = operator else {
        return ResourceTotals::new(descriptors, 0, memory, UNBOUNDED_REQUESTS, None);
    };
    let limits = &operator.limits;
    let lower =
        |limit: Option<u64>, available: u64| limit.map_or(available, |limit| limit.min(available));
    let descriptors = lower(limits.descriptors, descriptors as u64) as usize;
    // Without a platform configuration, the limit of the operator file applies.
    let memory = match limits.memory {
        Some(size) if !platform => size.0,
        size => lower(size.map(|s| s.0), memory),
    };
    let watches = operator
        .pools
        .iter()
        .filter(|pool| pool.discovery.is_some())
        .count();
    let followers = if operator.timeline.is_some() {
        MAX_FOLLOWERS
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
    let reserved = operator.listeners.len() + watches + admin + control + state;
    let body_bytes = limits.bodies.map(|size| size.0.min(memory / 2));
    ResourceTotals::new(descriptors, reserved, memory, limits.open, body_bytes)
}

/// Starts what the platform's configuration describes: one service, and one listener whose requests all go to it. `named`
/// says whether they appear under a name, beside those of an operator file.
fn start_platform_service(
    process: &Rc<ProcessState>,
    config: Config,
    named: bool,
    persistence: PersistenceOptions,
) -> Result<(Rc<Service>, Rc<Listener>), String> {
    let log_prefix = if named {
        format!("{PLATFORM}: ")
    } else {
        String::new()
    };
    let all = |total: u64| Part {
        guaranteed: 0,
        most: total,
    };
    let shared_limits = &process.shared_limits;
    let shares = |connections: u64| ResourceShares {
        connections: all(connections),
        requests: all(shared_limits.requests_by_pool.total()),
        body_bytes: all(shared_limits.body_bytes_by_pool.total()),
    };
    let spec = ServiceSpec {
        name: PLATFORM.to_string(),
        log_prefix,
        site: config.settings,
        discovery: Some(config.discovery),
        initial_list: config.known,
        request_ids: Rc::default(),
        limits: ResourceLimits::default(),
        levels: None,
        graphql: None,
        persistence,
        seed: config.seed,
        ordinal: ordinal_in_name(&config.name),
    };
    let service = Service::new(
        process,
        spec,
        shares(shared_limits.server_connections.total()),
    )?;
    let listen: SocketAddr = config.listen;
    let shared = config.inherited_socket.is_some();
    let socket = match config.inherited_socket {
        Some(socket) => {
            share_request_ids(process, &socket);
            TcpListener::from_std(socket).map_err(|e| format!("RELAY_ACCEPT_FD: {e}"))?
        }
        None => bind_at_start(listen).map_err(|e| format!("RELAY_LISTEN: {listen}: {e}"))?,
    };
    let routing = Routing::SingleService(Rc::clone(&service));
    let limits = (None, shares(shared_limits.client_connections.total()));
    let bound_socket = BoundSocket {
        configured_address: listen,
        socket,
        shared,
    };
    let name = if named { PLATFORM } else { "" };
    let listener = Listener::start(
        process,
        name,
        bound_socket,
        (ListenerSettings::defaults(), routing),
        limits,
    );
    Ok((service, listener))
}

/// Shares the ids of requests with the other processes that inherit the socket. Where the directory for them cannot be created, this
/// process serves without sharing.
fn share_request_ids(process: &ProcessState, socket: &std::net::TcpListener) {
    match SharedRequestIds::join(socket) {
        Ok(ids) => {
            process.shared_request_ids.get_or_init(|| ids);
        }
        Err(error) => tracing::warn!(
            %error,
            "the ids of requests are not shared with the other process of an upgrade: {error}"
        ),
    }
}

/// Ends the requests that are open when the stopping process has to have answered, as it may be killed soon.
async fn expire_requests(process: Rc<ProcessState>, answer_deadline: Micros) {
    process.sleep_until(answer_deadline).await;
    for service in process.services.borrow().iter() {
        service.expire_requests();
    }
}

/// Periodically does the work that no event triggers.
async fn run_upkeep(process: Rc<ProcessState>) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        let services = process.services.borrow().clone();
        for service in services {
            while service.connections.close_expired() {
                tokio::task::yield_now().await;
            }
            service.connections.sweep();
            service.sample_servers();
        }
        process.enforce_connection_memory(MAX_CLOSED_PER_UPKEEP);
        process.fleet_limits.log_lease_changes();
    }
}

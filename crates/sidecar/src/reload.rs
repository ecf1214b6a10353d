//! The operator file read again while the process serves: it takes effect whole or not at all.

use super::admin::{self, AdminServer};
use super::config::Config;
use super::counts::increment;
use super::discovery_watch;
use super::listener::{BoundSocket, Listener, ListenerSettings, bind};
use super::ordinal::ordinal_in_name;
use super::pool::ListUpdate;
use super::process::{Sidecar, resource_totals};
use super::routing::{ListenerRoutes, Routing};
use super::service::{ResourceShares, Service, ServiceSpec};
use madderloom_balancer::settings::Site;
use madderloom_operator_config::{Bounds, MemberLimits, Operator, PLATFORM, Pool, parts};
use madderloom_routing::routes::{Route, Table};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// What is bound and made before a new file takes effect.
struct Prepared {
    sockets: Vec<(usize, TcpListener)>,
    admin: Option<Option<admin::Socket>>,
}

impl Sidecar {
    /// Takes over what may change in the files while the program runs: of the platform's configuration where
    /// discovery is, and the whole operator file. A file that makes no sense changes nothing. To be awaited before
    /// the next call, so that files take effect in their order.
    pub async fn reload(self: &Rc<Self>) {
        let _turn = self.agent_link.turn.lock().await;
        if let Some((service, _)) = &self.platform {
            let read = Config::reload(&self.config_keys.borrow());
            match read {
                Ok(config) => {
                    increment(&self.process.configs_accepted);
                    self.config_keys.replace(config.keys);
                    if config.settings != service.active_settings().configured_site {
                        tracing::info!("settings taken over");
                        service.update_settings(config.settings);
                    }
                    discovery_watch::switch_discovery(service, config.discovery);
                }
                Err(problem) => {
                    increment(&self.process.configs_rejected);
                    tracing::warn!("not read again: {problem}");
                }
            }
        }
        let Some(file) = &self.operator_file else {
            return;
        };
        let read = self.agent_link.read(file.clone()).await;
        if self.process.is_stopping() {
            return;
        }
        let applied = read.and_then(|read| {
            let named = (read.operator.control.clone(), read.source);
            Ok((self.apply(read.operator)?, named))
        });
        match applied {
            Ok((told, named)) => {
                self.file_applied(named);
                tracing::info!("operator file read again: {told}");
            }
            Err(problem) => tracing::warn!("operator file not read again: {problem}"),
        }
    }

    /// Makes the process what an operator file says, whole or not at all, and says in a few words what changed.
    /// What is open goes on: a pool that is no longer there finishes what it has, and so does a listener.
    pub fn apply(&self, operator: Operator) -> Result<String, String> {
        if self.platform.is_none() {
            stands_alone(&operator)?;
        }
        match (self.process.state_writer.get(), &operator.state) {
            (None, None) => {}
            (None, Some(_)) => {
                return Err(
                    "state: takes effect with a restart; take it out or restart".to_string()
                );
            }
            (Some(writer), state) => writer.check_reconfiguration(state.as_ref())?,
        }
        let prepared = self.prepare(&operator)?;
        let mut made = Vec::new();
        let pool_parts = self.parts(&operator, true);
        for (pool, parts) in operator
            .pools
            .iter()
            .zip(pool_parts.iter().skip(self.first_place()))
        {
            if self.kept(pool).is_none() {
                match Service::new(&self.process, self.spec(pool), *parts) {
                    Ok(service) => made.push(service),
                    Err(problem) => {
                        made.into_iter()
                            .for_each(|service| self.retire(service, Duration::ZERO));
                        return Err(problem);
                    }
                }
            }
        }
        Ok(self.commit(operator, prepared, made, &pool_parts))
    }

    /// Everything that may fail: sockets that are not there yet are bound.
    fn prepare(&self, operator: &Operator) -> Result<Prepared, String> {
        let mut sockets = Vec::new();
        let kept = self.kept_listeners(operator);
        for (at, listener) in operator
            .listeners
            .iter()
            .enumerate()
            .filter(|(at, _)| kept[*at].is_none())
        {
            let address = listener.address;
            let socket =
                bind(address).map_err(|e| format!("listeners[{at}].address: {address}: {e}"))?;
            sockets.push((at, socket));
        }
        let former = self
            .admin
            .borrow()
            .as_ref()
            .map(|server| server.at().clone());
        let admin = if former == operator.admin {
            None
        } else {
            Some(
                operator
                    .admin
                    .as_ref()
                    .map(admin::Socket::bind)
                    .transpose()?,
            )
        };
        Ok(Prepared { sockets, admin })
    }

    fn commit(
        &self,
        operator: Operator,
        prepared: Prepared,
        mut made: Vec<Rc<Service>>,
        pool_parts: &[ResourceShares],
    ) -> String {
        let first = self.first_place();
        let limits = operator
            .control
            .as_ref()
            .map(|control| control.fleet_limits.as_slice());
        self.process
            .fleet_limits
            .set_limits(limits.unwrap_or_default());
        let shared = operator
            .control
            .as_ref()
            .and_then(|control| control.share_lists.as_deref());
        let followed = operator
            .pools
            .iter()
            .filter(|pool| pool.discovery.is_some());
        self.process
            .shared_lists
            .set_pools(shared, followed.map(|pool| pool.name.clone()));
        self.process.set_totals(resource_totals(
            self.descriptors,
            self.memory_bytes,
            Some(&operator),
            self.platform.is_some(),
        ));
        if let Some((writer, state)) = self.process.state_writer.get().zip(operator.state.clone()) {
            writer.reconfigure(state);
        }
        made.reverse();
        let mut services = Vec::new();
        for (pool, parts) in operator.pools.iter().zip(pool_parts.iter().skip(first)) {
            let service = match self.kept(pool) {
                Some(service) => {
                    service.reconfigure(pool, *parts);
                    service
                }
                None => match made.pop() {
                    Some(service) => service,
                    None => continue,
                },
            };
            services.push(service);
        }
        let listener_parts = self.parts(&operator, false);
        let table = Rc::new(operator.table());
        let platform = self
            .platform
            .as_ref()
            .map(|(service, _)| Rc::clone(service));
        let by_place = std::iter::once(platform)
            .chain(services.iter().cloned().map(Some))
            .collect();
        if let Some((service, listener)) = &self.platform {
            let (all, limits) = (MemberLimits::default(), listener_parts[0]);
            service.set_limits(all, pool_parts[0]);
            service.persistence.set(
                operator
                    .state
                    .as_ref()
                    .map(|state| state.usual)
                    .unwrap_or_default(),
            );
            listener.update(
                ListenerSettings {
                    drains_rejected_bodies: true,
                    ..ListenerSettings::defaults()
                },
                self.routing(&table, 0, &by_place),
                all,
                limits,
            );
        }
        let kept = self.kept_listeners(&operator);
        let mut sockets = prepared.sockets.into_iter();
        let mut listeners = Vec::new();
        for (at, spec) in operator.listeners.iter().enumerate() {
            let settings = ListenerSettings {
                head_timeout: spec.head_within.micros(),
                idle_timeout: spec.idle_within.micros(),
                body_timeout: spec.body_within.micros(),
                max_body_size: spec.body_size.0 as usize,
                max_message_size: spec.body_size.0 as usize,
                drains_rejected_bodies: true,
            };
            let (routing, parts) = (
                self.routing(&table, at + 1, &by_place),
                listener_parts[first + at],
            );
            let listener = match &kept[at] {
                Some(listener) => {
                    listener.set_name(&spec.name);
                    listener.update(settings, routing, spec.limits, parts);
                    Rc::clone(listener)
                }
                None => {
                    let Some((_, socket)) = sockets.next() else {
                        continue;
                    };
                    let limits = (Some(spec.limits), parts);
                    let place = BoundSocket {
                        configured_address: spec.address,
                        socket,
                        shared: false,
                    };
                    Listener::start(
                        &self.process,
                        &spec.name,
                        place,
                        (settings, routing),
                        limits,
                    )
                }
            };
            listeners.push(listener);
        }
        let gone: Vec<Rc<Service>> = left(&self.services.borrow(), &services);
        let closed: Vec<Rc<Listener>> = left(&self.listeners.borrow(), &listeners);
        let told = format!(
            "{} listeners ({} leave), {} pools ({} leave), {} routes",
            listeners.len(),
            closed.len(),
            services.len(),
            gone.len(),
            operator.routes.len()
        );
        closed.iter().for_each(|listener| listener.start_draining());
        let drain = Duration::from_micros(operator.process.drain.micros());
        gone.into_iter()
            .for_each(|service| self.retire(service, drain));
        let platform = self.platform.iter().map(|(service, _)| service);
        services
            .iter()
            .chain(platform)
            .for_each(|service| service.set_history_settings(operator.timeline));
        self.services.replace(services);
        self.listeners.replace(listeners);
        self.process.route_count.set(operator.routes.len());
        self.process
            .operator_files_applied
            .set(self.process.operator_files_applied.get() + 1);
        if let Some(socket) = prepared.admin {
            // The former one goes first, which takes its socket's file with it only where that is still its own.
            self.admin.replace(None);
            self.admin
                .replace(socket.map(|socket| AdminServer::start(socket, &self.viewer())));
        }
        told
    }

    fn retire(&self, service: Rc<Service>, drain: Duration) {
        watchdog::spawn(TaskKind::PoolRemoval, service.drain_and_remove(drain));
    }

    /// The place of the file's first pool and listener among the members.
    fn first_place(&self) -> usize {
        usize::from(self.platform.is_some())
    }

    /// The service that a pool of a new file goes on with: of the same name and settings.
    fn kept(&self, pool: &Pool) -> Option<Rc<Service>> {
        let site = site_of(pool);
        self.services
            .borrow()
            .iter()
            .find(|s| s.name == pool.name && s.active_settings().configured_site == site)
            .cloned()
    }

    /// The listeners that those of a new file go on with: of the same address, and the same name where there are
    /// several such.
    fn kept_listeners(&self, operator: &Operator) -> Vec<Option<Rc<Listener>>> {
        let mut free = self.listeners.borrow().clone();
        // Those that an earlier file has told to leave still hold their addresses for a moment.
        free.extend(
            self.process
                .listeners
                .borrow()
                .iter()
                .filter(|listener| listener.can_cancel_draining())
                .cloned(),
        );
        let mut kept = vec![None; operator.listeners.len()];
        for by_name in [true, false] {
            for (place, spec) in kept
                .iter_mut()
                .zip(&operator.listeners)
                .filter(|(place, _)| place.is_none())
            {
                let alike = |l: &Rc<Listener>| {
                    l.configured_address == spec.address
                        && (!by_name || *l.name.borrow() == spec.name)
                };
                *place = free.iter().position(alike).map(|at| free.remove(at));
            }
        }
        kept
    }

    fn spec(&self, pool: &Pool) -> ServiceSpec {
        ServiceSpec {
            name: pool.name.clone(),
            log_prefix: format!("{}: ", pool.name),
            site: site_of(pool),
            discovery: pool.discovery,
            initial_list: ListUpdate::from_static_servers(&pool.servers),
            limits: pool.limits,
            levels: pool.levels.clone(),
            graphql: pool.graphql.clone(),
            persistence: pool.kept,
            seed: foldhash::quality::FixedState::with_seed(self.seed).hash_one(&pool.name),
            ordinal: ordinal_in_name(&self.name),
        }
    }

    /// What each member may hold: of the pools, or of the listeners; the platform's is the first.
    fn parts(&self, operator: &Operator, pools: bool) -> Vec<ResourceShares> {
        let mut members: Vec<MemberLimits> = Vec::new();
        members.extend(self.platform.is_some().then(MemberLimits::default));
        if pools {
            members.extend(operator.pools.iter().map(|pool| pool.limits));
        } else {
            members.extend(operator.listeners.iter().map(|listener| listener.limits));
        }
        let totals = resource_totals(
            self.descriptors,
            self.memory_bytes,
            Some(operator),
            self.platform.is_some(),
        );
        let of = |total: u64, pick: fn(&MemberLimits) -> Bounds| {
            parts(total, &members.iter().map(pick).collect::<Vec<Bounds>>())
        };
        let connections = of(totals.connections, |m| m.connections);
        let (open, bodies) = (
            of(totals.requests, |m| m.open),
            of(totals.body_bytes, |m| m.bodies),
        );
        let all = connections.into_iter().zip(open).zip(bodies);
        all.map(|((connections, open), bodies)| ResourceShares {
            connections,
            requests: open,
            body_bytes: bodies,
        })
        .collect()
    }

    fn routing(
        &self,
        table: &Rc<Table>,
        place: usize,
        services: &Rc<[Option<Rc<Service>>]>,
    ) -> Routing {
        let here = |route: &Route| route.listeners.is_empty() || route.listeners.contains(&place);
        // On the platform's own listener, what no route takes goes on as it does without a file.
        let otherwise = self
            .platform
            .as_ref()
            .filter(|_| place == 0)
            .map(|(service, _)| Rc::clone(service));
        match otherwise {
            Some(service) if !table.routes().iter().any(here) => Routing::SingleService(service),
            otherwise => Routing::Routes(ListenerRoutes::new(table, place, services, otherwise)),
        }
    }

    fn viewer(&self) -> super::view::Viewer {
        let (process, agent_link) = (Rc::clone(&self.process), Rc::clone(&self.agent_link));
        super::view::Viewer {
            process,
            agent_link,
            name: self.name.clone(),
        }
    }
}

/// Reads on a thread of its own: a long file takes a good part of a second, in which requests go on.
pub(super) async fn run_on_thread<T: Send + 'static>(
    read: impl FnOnce() -> T + Send + 'static,
) -> Result<T, String> {
    let (done, end) = oneshot::channel();
    let work = move || {
        // Nobody waits for it where the program has ended meanwhile.
        let _ = done.send(read());
    };
    std::thread::Builder::new()
        .name("operator file".to_string())
        .spawn(work)
        .map_err(|e| e.to_string())?;
    end.await.map_err(|e| e.to_string())
}

/// Whether a file needs nothing that the platform configures.
fn stands_alone(operator: &Operator) -> Result<(), String> {
    if operator.needs_platform() {
        return Err(
            "names no listener or no pool, and RELAY_CONFIG is not set; name both".to_string(),
        );
    }
    let of_platform =
        |route: &&Route| route.listeners.contains(&0) || route.to.iter().any(|to| to.0 == 0);
    match operator.routes.iter().find(of_platform) {
        Some(Route { name, .. }) => Err(format!(
            "route {name} names {PLATFORM}, and RELAY_CONFIG is not set"
        )),
        None => Ok(()),
    }
}

/// Those of the former that are not among the present.
fn left<T>(former: &[Rc<T>], present: &[Rc<T>]) -> Vec<Rc<T>> {
    former
        .iter()
        .filter(|one| !present.iter().any(|other| Rc::ptr_eq(one, other)))
        .cloned()
        .collect()
}

/// The settings of a pool as its module gets them: where there is a discovery to ask, it asks.
fn site_of(pool: &Pool) -> Site {
    let mut site = pool.site.clone();
    site.settings.discovery_on_request |= pool.discovery.is_some();
    site
}

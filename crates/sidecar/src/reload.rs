//! Reloading the configuration while the process serves. An operator file takes effect completely or not at all.

use super::admin::{self, AdminServer};
use super::config::Config;
use super::counts::increment;
use super::discovery_watch;
use super::listener::{BoundSocket, Listener, ListenerSettings, bind, bind_at_start};
use super::ordinal::ordinal_in_name;
use super::pool::ListUpdate;
use super::process::{Sidecar, resource_totals};
use super::routing::{ListenerRoutes, Routing};
use super::service::{ResourceShares, Service, ServiceSpec};
use madderloom_balancer::settings::Site;
use madderloom_operator_config::{
    OperatorConfig, PLATFORM, Pool, ResourceLimits, ShareBounds, resource_shares,
};
use madderloom_routing::routes::{Route, Table};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Sockets bound before a new operator file takes effect.
struct Prepared {
    /// Sockets of new listeners, each with the listener's index in the file.
    sockets: Vec<(usize, TcpListener)>,
    /// `None` if the admin view stays as it is, `Some(None)` if it is turned off.
    admin: Option<Option<admin::AdminSocket>>,
}

impl Sidecar {
    /// Applies what may change in the files while the program runs: the settings and the address of discovery in the
    /// platform's configuration, and the whole operator file. An invalid file changes nothing. To be awaited before the
    /// next call, so that files take effect in order.
    pub async fn reload(self: &Rc<Self>) {
        let _reload_guard = self.agent_link.apply_lock.lock().await;
        if let Some((service, _)) = &self.platform {
            let reloaded = Config::reload(&self.config_keys.borrow());
            match reloaded {
                Ok(config) => {
                    increment(&self.process.configs_accepted);
                    self.config_keys.replace(config.keys);
                    if config.settings != service.active_settings().configured_site {
                        tracing::info!("settings updated");
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
        let read = self.agent_link.load_with_overlay(file.clone()).await;
        if self.process.is_stopping() {
            return;
        }
        let applied = read.and_then(|read| {
            let control_and_source = (read.operator.control.clone(), read.source);
            Ok((self.apply(read.operator)?, control_and_source))
        });
        match applied {
            Ok((summary, control_and_source)) => {
                self.operator_file_applied(control_and_source);
                tracing::info!("operator file read again: {summary}");
            }
            Err(problem) => tracing::warn!("operator file not read again: {problem}"),
        }
    }

    /// Applies an operator file, completely or not at all, and returns a summary of what changed. Requests in flight go on:
    /// pools and listeners that the file no longer has are drained.
    pub fn apply(&self, operator: OperatorConfig) -> Result<String, String> {
        if self.platform.is_none() {
            check_self_contained(&operator)?;
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
        let mut created = Vec::new();
        let pool_shares = self.resource_shares(&operator, true);
        for (pool, shares) in operator
            .pools
            .iter()
            .zip(pool_shares.iter().skip(self.first_index()))
        {
            if self.reusable_service(pool).is_none() {
                match Service::new(&self.process, self.spec(pool), *shares) {
                    Ok(service) => created.push(service),
                    Err(problem) => {
                        created
                            .into_iter()
                            .for_each(|service| self.retire(service, Duration::ZERO));
                        return Err(problem);
                    }
                }
            }
        }
        Ok(self.commit(operator, prepared, created, &pool_shares))
    }

    /// Does everything that may fail: binds the sockets that the file adds.
    fn prepare(&self, operator: &OperatorConfig) -> Result<Prepared, String> {
        // A reload that fails leaves everything as it was; a start that fails ends the process.
        let is_start = self.process.operator_files_applied.get() == 0;
        let bind = if is_start { bind_at_start } else { bind };
        let mut sockets = Vec::new();
        let reusable = self.reusable_listeners(operator);
        for (index, listener) in operator
            .listeners
            .iter()
            .enumerate()
            .filter(|(index, _)| reusable[*index].is_none())
        {
            let address = listener.address;
            let socket =
                bind(address).map_err(|e| format!("listeners[{index}].address: {address}: {e}"))?;
            sockets.push((index, socket));
        }
        let former = self
            .admin
            .borrow()
            .as_ref()
            .map(|server| server.address().clone());
        let admin = if former == operator.admin {
            None
        } else {
            Some(
                operator
                    .admin
                    .as_ref()
                    .map(|address| admin::AdminSocket::bind(address, bind))
                    .transpose()?,
            )
        };
        Ok(Prepared { sockets, admin })
    }

    fn commit(
        &self,
        operator: OperatorConfig,
        prepared: Prepared,
        mut created: Vec<Rc<Service>>,
        pool_shares: &[ResourceShares],
    ) -> String {
        let first = self.first_index();
        let limits = operator
            .control
            .as_ref()
            .map(|control| control.fleet_limits.as_slice());
        self.process
            .fleet_limits
            .set_limits(limits.unwrap_or_default());
        let share_lists = operator
            .control
            .as_ref()
            .and_then(|control| control.share_lists.as_deref());
        let discovered = operator
            .pools
            .iter()
            .filter(|pool| pool.discovery.is_some());
        self.process
            .shared_lists
            .set_pools(share_lists, discovered.map(|pool| pool.name.clone()));
        for service in self.process.services.borrow().iter() {
            service.hold_own_list();
        }
        self.process.set_totals(resource_totals(
            self.descriptors,
            self.memory_bytes,
            Some(&operator),
            self.platform.is_some(),
        ));
        if let Some((writer, state)) = self.process.state_writer.get().zip(operator.state.clone()) {
            writer.reconfigure(state);
        }
        created.reverse();
        let mut services = Vec::new();
        for (pool, shares) in operator.pools.iter().zip(pool_shares.iter().skip(first)) {
            let service = match self.reusable_service(pool) {
                Some(service) => {
                    service.reconfigure(pool, *shares);
                    service
                }
                None => match created.pop() {
                    Some(service) => service,
                    None => continue,
                },
            };
            services.push(service);
        }
        let listener_shares = self.resource_shares(&operator, false);
        let table = Rc::new(operator.route_table());
        let platform = self
            .platform
            .as_ref()
            .map(|(service, _)| Rc::clone(service));
        let services_by_index = std::iter::once(platform)
            .chain(services.iter().cloned().map(Some))
            .collect();
        if let Some((service, listener)) = &self.platform {
            let (limits, shares) = (ResourceLimits::default(), listener_shares[0]);
            service.set_limits(limits, pool_shares[0]);
            service.persistence.set(
                operator
                    .state
                    .as_ref()
                    .map(|state| state.defaults)
                    .unwrap_or_default(),
            );
            listener.update(
                ListenerSettings {
                    drains_rejected_bodies: true,
                    ..ListenerSettings::defaults()
                },
                self.routing(&table, 0, &services_by_index),
                limits,
                shares,
            );
        }
        let reusable = self.reusable_listeners(&operator);
        let mut sockets = prepared.sockets.into_iter();
        let mut listeners = Vec::new();
        for (index, spec) in operator.listeners.iter().enumerate() {
            let settings = ListenerSettings {
                head_timeout: spec.head_timeout.micros(),
                idle_timeout: spec.idle_timeout.micros(),
                body_timeout: spec.body_timeout.micros(),
                max_body_size: spec.max_body_size.0 as usize,
                max_message_size: spec.max_body_size.0 as usize,
                drains_rejected_bodies: true,
            };
            let (routing, shares) = (
                self.routing(&table, index + 1, &services_by_index),
                listener_shares[first + index],
            );
            let listener = match &reusable[index] {
                Some(listener) => {
                    listener.set_name(&spec.name);
                    listener.update(settings, routing, spec.limits, shares);
                    Rc::clone(listener)
                }
                None => {
                    let Some((_, socket)) = sockets.next() else {
                        continue;
                    };
                    let limits = (Some(spec.limits), shares);
                    let socket = BoundSocket {
                        configured_address: spec.address,
                        socket,
                        shared: false,
                    };
                    Listener::start(
                        &self.process,
                        &spec.name,
                        socket,
                        (settings, routing),
                        limits,
                    )
                }
            };
            listeners.push(listener);
        }
        let removed_services: Vec<Rc<Service>> = removed(&self.services.borrow(), &services);
        let removed_listeners: Vec<Rc<Listener>> = removed(&self.listeners.borrow(), &listeners);
        let summary = format!(
            "{} listeners ({} leave), {} pools ({} leave), {} routes",
            listeners.len(),
            removed_listeners.len(),
            services.len(),
            removed_services.len(),
            operator.routes.len()
        );
        removed_listeners
            .iter()
            .for_each(|listener| listener.start_draining());
        let drain = Duration::from_micros(operator.process.drain.micros());
        removed_services
            .into_iter()
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
            // The former server is dropped first. It removes its socket's file only if that file is still its own.
            self.admin.replace(None);
            self.admin
                .replace(socket.map(|socket| AdminServer::start(socket, &self.admin_view())));
        }
        summary
    }

    fn retire(&self, service: Rc<Service>, drain: Duration) {
        watchdog::spawn(TaskKind::PoolRemoval, service.drain_and_remove(drain));
    }

    /// The index of the file's first pool or listener among all, the platform's included.
    fn first_index(&self) -> usize {
        usize::from(self.platform.is_some())
    }

    /// The existing service that a pool of a new file can use: the one with the same name and settings.
    fn reusable_service(&self, pool: &Pool) -> Option<Rc<Service>> {
        let site = site_of(pool);
        self.services
            .borrow()
            .iter()
            .find(|s| s.name == pool.name && s.active_settings().configured_site == site)
            .cloned()
    }

    /// For each listener of a new file, the existing listener that it can use: one with the same address, preferably with
    /// the same name.
    fn reusable_listeners(&self, operator: &OperatorConfig) -> Vec<Option<Rc<Listener>>> {
        let mut available = self.listeners.borrow().clone();
        // Listeners that an earlier file has removed still hold their addresses for a moment.
        available.extend(
            self.process
                .listeners
                .borrow()
                .iter()
                .filter(|listener| listener.can_cancel_draining())
                .cloned(),
        );
        let mut reusable = vec![None; operator.listeners.len()];
        for by_name in [true, false] {
            for (slot, spec) in reusable
                .iter_mut()
                .zip(&operator.listeners)
                .filter(|(slot, _)| slot.is_none())
            {
                let matches = |l: &Rc<Listener>| {
                    l.configured_address == spec.address
                        && (!by_name || *l.name.borrow() == spec.name)
                };
                *slot = available
                    .iter()
                    .position(matches)
                    .map(|index| available.remove(index));
            }
        }
        reusable
    }

    /// The service that a new one with this pool's name replaces, also if it is draining: the pool has other settings.
    fn replaced_service(&self, pool: &Pool) -> Option<Rc<Service>> {
        let services = self.process.services.borrow();
        services.iter().rfind(|s| s.name == pool.name).cloned()
    }

    fn spec(&self, pool: &Pool) -> ServiceSpec {
        let replaced = self.replaced_service(pool);
        ServiceSpec {
            name: pool.name.clone(),
            log_prefix: format!("{}: ", pool.name),
            site: site_of(pool),
            discovery: pool.discovery,
            initial_list: known_list(pool, replaced.as_deref()),
            request_ids: replaced
                .map(|former| Rc::clone(&former.request_ids))
                .unwrap_or_default(),
            limits: pool.limits,
            levels: pool.levels.clone(),
            graphql: pool.graphql.clone(),
            persistence: pool.persistence,
            seed: foldhash::quality::FixedState::with_seed(self.seed).hash_one(&pool.name),
            ordinal: ordinal_in_name(&self.name),
        }
    }

    /// The resource shares of all pools, or else of all listeners. The platform's come first.
    fn resource_shares(&self, operator: &OperatorConfig, pools: bool) -> Vec<ResourceShares> {
        let mut members: Vec<ResourceLimits> = Vec::new();
        members.extend(self.platform.is_some().then(ResourceLimits::default));
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
        let shares_of = |total: u64, bounds: fn(&ResourceLimits) -> ShareBounds| {
            resource_shares(
                total,
                &members.iter().map(bounds).collect::<Vec<ShareBounds>>(),
            )
        };
        let connections = shares_of(totals.connections, |m| m.connections);
        let (requests, body_bytes) = (
            shares_of(totals.requests, |m| m.open),
            shares_of(totals.body_bytes, |m| m.bodies),
        );
        let all = connections.into_iter().zip(requests).zip(body_bytes);
        all.map(|((connections, requests), body_bytes)| ResourceShares {
            connections,
            requests,
            body_bytes,
        })
        .collect()
    }

    /// The routing of the listener with this index, of which 0 is the platform's.
    fn routing(
        &self,
        table: &Rc<Table>,
        index: usize,
        services: &Rc<[Option<Rc<Service>>]>,
    ) -> Routing {
        let applies =
            |route: &Route| route.listeners.is_empty() || route.listeners.contains(&index);
        // On the platform's own listener, requests that match no route are handled as without an operator file.
        let fallback = self
            .platform
            .as_ref()
            .filter(|_| index == 0)
            .map(|(service, _)| Rc::clone(service));
        match fallback {
            Some(service) if !table.routes().iter().any(applies) => Routing::SingleService(service),
            fallback => Routing::Routes(ListenerRoutes::new(table, index, services, fallback)),
        }
    }

    fn admin_view(&self) -> super::view::AdminView {
        let (process, agent_link) = (Rc::clone(&self.process), Rc::clone(&self.agent_link));
        super::view::AdminView {
            process,
            agent_link,
            name: self.name.clone(),
        }
    }
}

/// The servers that a new service begins with: what the service that it replaces knows from the same discovery, or else those of
/// the file.
fn known_list(pool: &Pool, replaced: Option<&Service>) -> ListUpdate {
    replaced
        .filter(|former| pool.discovery.is_some() && former.pool.discovery() == pool.discovery)
        .filter(|former| former.pool.has_servers())
        .map_or_else(
            || ListUpdate::from_static_servers(&pool.servers),
            |former| former.pool.current_list(),
        )
}

/// Runs `read` on a thread of its own, because reading a long file takes a good part of a second, in which requests must be
/// served.
pub(super) async fn run_on_thread<T: Send + 'static>(
    read: impl FnOnce() -> T + Send + 'static,
) -> Result<T, String> {
    let (sender, receiver) = oneshot::channel();
    let work = move || {
        // The receiver is gone if the program has ended in the meantime.
        let _ = sender.send(read());
    };
    std::thread::Builder::new()
        .name("operator file".to_string())
        .spawn(work)
        .map_err(|e| e.to_string())?;
    receiver.await.map_err(|e| e.to_string())
}

/// Checks that a file needs nothing from the platform's configuration.
fn check_self_contained(operator: &OperatorConfig) -> Result<(), String> {
    if operator.needs_platform() {
        return Err(
            "names no listener or no pool, and RELAY_CONFIG is not set; name both".to_string(),
        );
    }
    let uses_platform =
        |route: &&Route| route.listeners.contains(&0) || route.to.iter().any(|to| to.0 == 0);
    match operator.routes.iter().find(uses_platform) {
        Some(Route { name, .. }) => Err(format!(
            "route {name} names {PLATFORM}, and RELAY_CONFIG is not set"
        )),
        None => Ok(()),
    }
}

/// The members of `former` that are not in `present`.
fn removed<T>(former: &[Rc<T>], present: &[Rc<T>]) -> Vec<Rc<T>> {
    former
        .iter()
        .filter(|member| !present.iter().any(|other| Rc::ptr_eq(member, other)))
        .cloned()
        .collect()
}

/// The settings that a pool's balancer gets. Where the pool has a discovery service, the balancer polls it.
fn site_of(pool: &Pool) -> Site {
    let mut site = pool.site.clone();
    site.settings.discovery_on_request |= pool.discovery.is_some();
    site
}

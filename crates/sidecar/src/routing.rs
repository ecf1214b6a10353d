//! The service that a listener sends a request to.

use super::service::Service;
use madderloom_routing::request::Asked;
use madderloom_routing::routes::Table;
use std::rc::Rc;

/// What determines a request's class.
pub(super) enum ClassSource {
    /// The first segment of its path.
    Path,
    /// The class that its route sets.
    Route(String),
    /// Its GraphQL operations.
    Graphql,
}

/// How a listener chooses the service of a request.
pub(super) enum Routing {
    /// All requests go to one service, which rejects those of unknown classes itself.
    SingleService(Rc<Service>),
    /// The route table decides.
    Routes(ListenerRoutes),
}

/// The route table as one listener uses it.
pub(super) struct ListenerRoutes {
    table: Rc<Table>,
    /// Index of this listener in the route table.
    listener_index: usize,
    /// The services by their index in the route table; `None` at index 0 if the platform's configuration has no service.
    services: Rc<[Option<Rc<Service>>]>,
    /// Takes the requests that no route matches.
    default_service: Option<Rc<Service>>,
    /// The services that this listener's routes lead to.
    reachable: Vec<Rc<Service>>,
}

impl ListenerRoutes {
    pub(super) fn new(
        table: &Rc<Table>,
        listener_index: usize,
        services: &Rc<[Option<Rc<Service>>]>,
        default_service: Option<Rc<Service>>,
    ) -> Self {
        let routes = table
            .routes()
            .iter()
            .filter(|r| r.listeners.is_empty() || r.listeners.contains(&listener_index));
        let mut pool_indexes: Vec<usize> = routes
            .flat_map(|route| route.to.iter().map(|(pool, _)| *pool))
            .collect();
        pool_indexes.sort_unstable();
        pool_indexes.dedup();
        let reachable = pool_indexes
            .into_iter()
            .filter_map(|index| services.get(index).cloned().flatten());
        let reachable = reachable.chain(default_service.clone()).collect();
        ListenerRoutes {
            table: Rc::clone(table),
            listener_index,
            services: Rc::clone(services),
            default_service,
            reachable,
        }
    }

    /// The service that a request is routed to and the source of its class; `None` if no route matches. `key` chooses between
    /// the pools of a route that splits its traffic.
    pub(super) fn find(&self, request: &Asked<'_>, key: u64) -> Option<(Rc<Service>, ClassSource)> {
        let Some(route) = self
            .table
            .find(self.listener_index, request)
            .and_then(|index| self.table.routes().get(index))
        else {
            return self
                .default_service
                .clone()
                .map(|service| (service, ClassSource::Path));
        };
        let service = self.services.get(route.choose(key)).cloned().flatten()?;
        let class = match &route.set_class {
            _ if route.graphql => ClassSource::Graphql,
            Some(class) => ClassSource::Route(class.clone()),
            None => ClassSource::Path,
        };
        Some((service, class))
    }
}

impl Routing {
    /// The services that this listener's requests may be routed to.
    pub(super) fn reachable_services(&self) -> &[Rc<Service>] {
        match self {
            Routing::SingleService(service) => std::slice::from_ref(service),
            Routing::Routes(routes) => &routes.reachable,
        }
    }
}

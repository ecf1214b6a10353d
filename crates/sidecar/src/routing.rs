//! Where the requests of a listener go.

use super::service::Service;
use madderloom_routing::request::Asked;
use madderloom_routing::routes::Table;
use std::rc::Rc;

/// What a request's class follows from.
pub(super) enum ClassSource {
    /// Its path names it.
    Path,
    /// Its route gives it.
    Route(String),
    /// What it asks for in GraphQL.
    Graphql,
}

/// Where the requests of a listener go.
pub(super) enum Routing {
    /// All to one service, as they come: what it does not know it turns away itself.
    SingleService(Rc<Service>),
    /// By routes.
    Routes(ListenerRoutes),
}

/// What a listener needs to follow the routes.
pub(super) struct ListenerRoutes {
    table: Rc<Table>,
    /// The listener, as the routes know it.
    listener_index: usize,
    /// The services, as the routes know them; a place is empty where the platform has none.
    services: Rc<[Option<Rc<Service>>]>,
    /// What takes that which no route takes.
    default_service: Option<Rc<Service>>,
    /// The services that requests may go to.
    reachable: Vec<Rc<Service>>,
}

impl ListenerRoutes {
    pub(super) fn new(
        table: &Rc<Table>,
        listener_index: usize,
        services: &Rc<[Option<Rc<Service>>]>,
        default_service: Option<Rc<Service>>,
    ) -> Self {
        let here = table
            .routes()
            .iter()
            .filter(|r| r.listeners.is_empty() || r.listeners.contains(&listener_index));
        let mut places: Vec<usize> = here
            .flat_map(|route| route.to.iter().map(|(pool, _)| *pool))
            .collect();
        places.sort_unstable();
        places.dedup();
        let reachable = places
            .into_iter()
            .filter_map(|at| services.get(at).cloned().flatten());
        let reachable = reachable.chain(default_service.clone()).collect();
        ListenerRoutes {
            table: Rc::clone(table),
            listener_index,
            services: Rc::clone(services),
            default_service,
            reachable,
        }
    }

    /// The service that a route gives a request, and what its class follows from; none where no route takes it.
    pub(super) fn find(&self, asked: &Asked<'_>, key: u64) -> Option<(Rc<Service>, ClassSource)> {
        let Some(route) = self
            .table
            .find(self.listener_index, asked)
            .and_then(|at| self.table.routes().get(at))
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
    /// The services that requests may go to.
    pub(super) fn reachable_services(&self) -> &[Rc<Service>] {
        match self {
            Routing::SingleService(service) => std::slice::from_ref(service),
            Routing::Routes(routed) => &routed.reachable,
        }
    }
}

//! Where the requests of a listener go.

use super::service::Service;
use madderloom_routing::request::Asked;
use madderloom_routing::routes::Table;
use std::rc::Rc;

/// What a request's class follows from.
pub(super) enum ClassFrom {
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
    One(Rc<Service>),
    /// By routes.
    Table(Routed),
}

/// What a listener needs to follow the routes.
pub(super) struct Routed {
    table: Rc<Table>,
    /// The listener, as the routes know it.
    place: usize,
    /// The services, as the routes know them; a place is empty where the platform has none.
    services: Rc<[Option<Rc<Service>>]>,
    /// What takes that which no route takes.
    otherwise: Option<Rc<Service>>,
    /// The services that requests may go to.
    reached: Vec<Rc<Service>>,
}

impl Routed {
    pub(super) fn new(
        table: &Rc<Table>,
        place: usize,
        services: &Rc<[Option<Rc<Service>>]>,
        otherwise: Option<Rc<Service>>,
    ) -> Self {
        let here = table
            .routes()
            .iter()
            .filter(|r| r.listeners.is_empty() || r.listeners.contains(&place));
        let mut places: Vec<usize> = here
            .flat_map(|route| route.to.iter().map(|(pool, _)| *pool))
            .collect();
        places.sort_unstable();
        places.dedup();
        let reached = places
            .into_iter()
            .filter_map(|at| services.get(at).cloned().flatten());
        let reached = reached.chain(otherwise.clone()).collect();
        Routed {
            table: Rc::clone(table),
            place,
            services: Rc::clone(services),
            otherwise,
            reached,
        }
    }

    /// The service that a route gives a request, and what its class follows from; none where no route takes it.
    pub(super) fn find(&self, asked: &Asked<'_>, key: u64) -> Option<(Rc<Service>, ClassFrom)> {
        let Some(route) = self
            .table
            .find(self.place, asked)
            .and_then(|at| self.table.routes().get(at))
        else {
            return self
                .otherwise
                .clone()
                .map(|service| (service, ClassFrom::Path));
        };
        let service = self.services.get(route.choose(key)).cloned().flatten()?;
        let class = match &route.set_class {
            _ if route.graphql => ClassFrom::Graphql,
            Some(class) => ClassFrom::Route(class.clone()),
            None => ClassFrom::Path,
        };
        Some((service, class))
    }
}

impl Routing {
    /// The services that requests may go to.
    pub(super) fn reached(&self) -> &[Rc<Service>] {
        match self {
            Routing::One(service) => std::slice::from_ref(service),
            Routing::Table(routed) => &routed.reached,
        }
    }
}

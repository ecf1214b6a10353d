//! What decides: the decision module, or a rival in its place, behind the same events and actions.

use madderloom_balancer::{Action, Balancer, Event, Micros, ServerId, Settings};
use std::rc::Rc;

/// A balancing policy: one instance's decisions, without clock or I/O. Drivers hand it events in the order in
/// which they come and carry out what it says, as [`Balancer::handle`] words it.
pub trait Policy {
    /// Takes one event and appends what is to be done.
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// The true state of the servers, for the arms that are allowed to see it (`oracle`, `centralized`). No real
/// policy can have it; the virtual driver alone gives it.
pub trait Truth {
    /// What a server is like now; none where it is not there or not up.
    fn server(&self, server: ServerId) -> Option<ServerTruth>;
}

/// What a server is truly like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerTruth {
    /// Work that waits or is being done there, in microseconds of a standard core, also on its way there.
    pub backlog: f64,
    /// Standard microseconds of work that it does in a microsecond now, all its cores together.
    pub speed: f64,
    /// Cores that are free now.
    pub free_cores: u32,
    /// The share of requests that fail there now.
    pub failing: f64,
    /// Whether it takes new work.
    pub takes_work: bool,
}

/// What an instance of a policy is given at its start.
#[derive(Clone)]
pub struct Start {
    /// What it is told of its site.
    pub settings: Settings,
    /// For its random numbers; another at every start.
    pub seed: u64,
    /// Which instance it is.
    pub instance: u32,
    /// The true state of the servers: for `oracle` and `centralized` alone. None where the driver cannot give it.
    pub truth: Option<Rc<dyn Truth>>,
}

/// Makes the instances of an arm: once for each, and again for each that is restarted. An error is that of the arm
/// and makes the run void.
pub trait Maker {
    /// A new instance, which knows no server yet.
    fn make(&self, start: Start) -> Result<Box<dyn Policy>, String>;
}

impl<F: Fn(Start) -> Result<Box<dyn Policy>, String>> Maker for F {
    fn make(&self, start: Start) -> Result<Box<dyn Policy>, String> {
        self(start)
    }
}

/// The decision module of this build.
pub fn own(start: Start) -> Result<Box<dyn Policy>, String> {
    let balancer = Balancer::new(start.settings, start.seed).map_err(|e| e.to_string())?;
    Ok(Box::new(balancer))
}

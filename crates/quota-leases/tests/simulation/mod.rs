//! A lease server and many holders over a network that loses, delays, duplicates and reorders messages, with clocks that
//! drift, and with holders and servers that stall, die and restart.

use madderloom_fault_testing::max_window_excess;
use madderloom_quota_leases::{
    AddressedGrant, Capacity, Grant, LeaseHolder, LeaseRequests, LeaseServer, Limit, Micros,
    ONE_REQUEST, SafeCapacity, ServerId,
};
use oorandom::Rand64;
use std::collections::{BTreeMap, BinaryHeap};

/// The time between two reports of an instance.
const REPORT_INTERVAL: Micros = 300_000;
/// The duration of a lease.
pub const DURATION: Micros = 3_000_000;
const MAX_REQUEST_DURATION: Micros = 400_000;
pub const LIMIT: &str = "submissions";

/// An event of the simulation. Numbers are indices of instances.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    SendReport(usize),
    ReportArrives(usize, LeaseRequests),
    GrantArrives(usize, Grant),
    AgentTick,
    Request(usize),
    EndRequest(usize),
    KillAgent,
    RestartAgent,
    StallAgent(Micros),
    Stall(usize, Micros),
    Replace(usize),
}

/// A clock that is some percent fast or slow.
#[derive(Clone, Copy)]
pub struct Clock {
    rate: f64,
    zero: f64,
}

impl Clock {
    pub fn at(self, now: Micros) -> Micros {
        (self.zero + now as f64 * self.rate) as Micros
    }
}

struct Instance {
    name: String,
    start: u64,
    holder: LeaseHolder,
    clock: Clock,
    stalled_until: Micros,
    /// Whether another start has taken its name. It reports no more.
    replaced: bool,
    /// Requests a second that arrive.
    load: f64,
}

pub struct Simulation {
    random: Rand64,
    events: BinaryHeap<std::cmp::Reverse<(Micros, u64, Event)>>,
    order: u64,
    pub now: Micros,
    pub server: Option<LeaseServer>,
    pub agent_clock: Clock,
    pub agent_stalled_until: Micros,
    term: u64,
    instances: Vec<Instance>,
    limit: Limit,
    /// The probability that a message is lost, and that one is late.
    pub loss: f64,
    pub admitted: Vec<Micros>,
    in_flight: usize,
    pub max_in_flight: usize,
}

impl Simulation {
    pub fn new(seed: u64, instances: usize, limit: Limit) -> Self {
        let mut simulation = Simulation {
            random: Rand64::new(u128::from(seed)),
            events: BinaryHeap::new(),
            order: 0,
            now: 0,
            server: None,
            agent_clock: Clock {
                rate: 1.0,
                zero: 0.0,
            },
            agent_stalled_until: 0,
            term: 0,
            instances: Vec::new(),
            limit,
            loss: 0.0,
            admitted: Vec::new(),
            in_flight: 0,
            max_in_flight: 0,
        };
        simulation.agent_clock = simulation.clock();
        simulation.start_agent(0);
        simulation.after(REPORT_INTERVAL, Event::AgentTick);
        for number in 0..instances {
            // A few carry most of the traffic.
            let load = if number % 6 == 0 { 80.0 } else { 2.0 };
            simulation.start_instance(format!("i{number}"), load);
        }
        simulation
    }

    fn clock(&mut self) -> Clock {
        Clock {
            rate: 0.98 + 0.04 * self.random.rand_float(),
            zero: 1e9 * self.random.rand_float(),
        }
    }

    fn start_instance(&mut self, name: String, load: f64) {
        let (clock, start, at) = (self.clock(), self.random.rand_u64(), self.instances.len());
        let mut holder = LeaseHolder::default();
        holder.set_limits(
            clock.at(self.now),
            [(LIMIT.to_string(), SafeCapacity::Zero)],
        );
        self.instances.push(Instance {
            name,
            start,
            holder,
            clock,
            stalled_until: 0,
            replaced: false,
            load,
        });
        self.after(1, Event::SendReport(at));
        self.after(2, Event::Request(at));
    }

    fn start_agent(&mut self, former: Micros) {
        self.term += 1;
        let (now, server_id) = (
            self.agent_clock.at(self.now),
            ServerId {
                term: self.term,
                id: self.random.rand_u64(),
            },
        );
        let mut server = LeaseServer::new(now, server_id, DURATION, former, REPORT_INTERVAL);
        server.set_limits(
            now,
            BTreeMap::from([(LIMIT.to_string(), self.limit.clone())]),
        );
        self.server = Some(server);
    }

    fn after(&mut self, wait: Micros, event: Event) {
        self.order += 1;
        self.events.push(std::cmp::Reverse((
            self.now + wait.max(1),
            self.order,
            event,
        )));
    }

    /// Sends a message, which may be lost, late or duplicated.
    fn send(&mut self, event: Event) {
        if self.random.rand_float() < self.loss {
            return;
        }
        let late = self.random.rand_float() < self.loss;
        let delay = self
            .random
            .rand_range(100..if late { 2 * DURATION } else { 20_000 });
        if late && self.random.rand_float() < 0.3 {
            let again = self.random.rand_range(100..2 * DURATION);
            self.after(again, event.clone());
        }
        self.after(delay, event);
    }

    pub fn run(&mut self, until: Micros) {
        while let Some(std::cmp::Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() else {
                return;
            };
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    pub fn step(&mut self, event: Event) {
        let now = self.now;
        // A stalled process handles what has arrived meanwhile when it continues, and reads the clock then.
        let waits = match &event {
            Event::SendReport(at) | Event::GrantArrives(at, _) | Event::Request(at) => {
                self.instances[*at].stalled_until
            }
            Event::ReportArrives(..) | Event::AgentTick => self.agent_stalled_until,
            _ => 0,
        };
        if waits > now {
            return self.after(waits - now, event);
        }
        match event {
            Event::SendReport(at) => {
                let instance = &mut self.instances[at];
                if instance.replaced {
                    return;
                }
                let requests = instance.holder.make_report(instance.clock.at(now));
                self.send(Event::ReportArrives(at, requests));
                self.after(REPORT_INTERVAL, Event::SendReport(at));
            }
            Event::ReportArrives(at, requests) => self.report_arrives(at, &requests),
            Event::GrantArrives(at, grant) => {
                let instance = &mut self.instances[at];
                if instance.holder.apply_grant(instance.clock.at(now), &grant) && !instance.replaced
                {
                    let requests = instance.holder.make_report(instance.clock.at(now));
                    self.send(Event::ReportArrives(at, requests));
                }
            }
            Event::AgentTick => self.agent_tick(),
            Event::Request(at) => self.request(at),
            Event::EndRequest(at) => {
                self.instances[at].holder.release(LIMIT);
                self.in_flight -= 1;
            }
            Event::KillAgent => self.server = None,
            Event::RestartAgent => {
                self.agent_clock = self.clock();
                self.start_agent(DURATION);
            }
            Event::StallAgent(span) => self.agent_stalled_until = now + span,
            Event::Stall(at, span) => self.instances[at].stalled_until = now + span,
            Event::Replace(at) => {
                let (name, load) = (self.instances[at].name.clone(), self.instances[at].load);
                self.instances[at].replaced = true;
                self.start_instance(name, load);
            }
        }
    }

    fn agent_tick(&mut self) {
        let now = self.now;
        let agent_time = self.agent_clock.at(now);
        let grants = self
            .server
            .as_mut()
            .map(|server| server.tick(agent_time))
            .unwrap_or_default();
        for AddressedGrant { grant, .. } in grants {
            let at = self
                .instances
                .iter()
                .position(|instance| instance.start == grant.start)
                .expect("a grant to a known start");
            self.send(Event::GrantArrives(at, grant));
        }
        self.after(REPORT_INTERVAL / 4, Event::AgentTick);
    }

    fn report_arrives(&mut self, at: usize, requests: &LeaseRequests) {
        let now = self.now;
        let (name, start) = (self.instances[at].name.clone(), self.instances[at].start);
        let agent_time = self.agent_clock.at(now);
        let grant = self
            .server
            .as_mut()
            .and_then(|server| server.handle_report(agent_time, &name, "", start, requests));
        grant
            .into_iter()
            .for_each(|grant| self.send(Event::GrantArrives(at, grant)));
    }

    fn request(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        if instance.holder.admit(instance.clock.at(now), LIMIT).is_ok() {
            self.admitted.push(now);
            self.in_flight += 1;
            self.max_in_flight = self.max_in_flight.max(self.in_flight);
            let request_duration = self.random.rand_range(1..MAX_REQUEST_DURATION);
            self.after(request_duration, Event::EndRequest(at));
        }
        let gap = -(1.0 - self.random.rand_float()).ln() / self.instances[at].load;
        self.after((gap * 1e6) as Micros, Event::Request(at));
    }

    /// Schedules faults at random times.
    pub fn draw_faults(&mut self, instances: u64, over: Micros, count: usize) {
        for _ in 0..count {
            let at = self.random.rand_range(0..over);
            let span = self.random.rand_range(0..2 * DURATION);
            let one = self.random.rand_range(0..instances) as usize;
            match self.random.rand_range(0..5) {
                0 => {
                    self.after(at, Event::KillAgent);
                    self.after(at + span, Event::RestartAgent);
                }
                1 => self.after(at, Event::StallAgent(span)),
                2 | 3 => self.after(at, Event::Stall(one, span)),
                _ => self.after(at, Event::Replace(one)),
            }
        }
    }

    /// By how many requests the worst window exceeds the limit; at most zero where the bound holds.
    pub fn excess(&self) -> f64 {
        let (rate, burst) = (
            self.limit.total.rate as f64 / 1e3,
            self.limit.total.burst as f64 / 1e3,
        );
        max_window_excess(self.admitted.iter().map(|at| *at as f64 / 1e6), rate) - burst
    }

    /// The requests a second that were admitted in a window.
    pub fn admitted_rate(&self, from: Micros, to: Micros) -> f64 {
        let admitted = self
            .admitted
            .iter()
            .filter(|at| (from..to).contains(*at))
            .count();
        admitted as f64 / ((to - from) as f64 / 1e6)
    }
}

/// A limit of whole requests a second, burst, and requests in flight.
pub fn limit(rate: u64, burst: u64, in_flight: u64) -> Limit {
    Limit {
        total: Capacity {
            rate: rate * ONE_REQUEST,
            burst: burst * ONE_REQUEST,
            in_flight,
        },
        max_request_duration: MAX_REQUEST_DURATION,
        ..Limit::default()
    }
}

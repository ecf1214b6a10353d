//! A model of fleet-wide limits: a lease server that may be killed, instances whose names may be taken by others,
//! messages that arrive in any order, late or never, and clocks that drift. Instances admit as many requests as they
//! can at any time.
//!
//! Time advances in steps of a second by an ideal clock. The invariants of every state:
//!
//! - *rates*, *bursts*: the leases of all instances add up to no more than the limit;
//! - *open*: no more requests are open than the limit allows; after a lease has expired, than the lowered limit
//!   allows;
//! - *windows*: in every window so far no more requests were admitted than `rate * length + burst`. This is tracked
//!   as the level of a leaky bucket, which is equivalent.

use super::Model;
use foldhash::quality::FixedState;
use madderloom_quota_leases::{
    Amount, Grant, LeaseHolder, LeaseRequests, LeaseServer, Limit, Micros, ONE, Safe, ServerId,
};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{BuildHasher, Hash};

const LIMIT: &str = "l";
/// A step of time.
const SECOND: Micros = 1_000_000;

/// The bounds of a model.
#[derive(Clone, Debug)]
pub struct LeaseModel {
    /// Its name.
    pub name: &'static str,
    /// The number of instances at the beginning.
    pub instances: usize,
    /// The limit: whole requests a second, burst, open requests.
    pub whole: (u64, u64, u64),
    /// The number of time steps.
    pub ticks: u8,
    /// The number of reports of each instance.
    pub reports: u8,
    /// The lease duration of the first and of the second agent, in steps.
    pub durations: (u64, u64),
    /// Whether the agent may be killed and another one started on its state.
    pub kill: bool,
    /// Whether another process takes the name of the first instance while that one continues.
    pub replace: bool,
    /// How often the demands of the instances may change.
    pub demand_changes: u8,
    /// Whether the limit may be lowered to half.
    pub lower: bool,
    /// How long a request may be open, in steps.
    pub longest: u64,
    /// The drift of the agent's clock and of the first instance's, in percent; the other clocks are exact.
    pub drift: (i64, i64),
    /// Whether reports and grants may be late or lost; otherwise they arrive at once.
    pub late: (bool, bool),
    /// Whether older messages may arrive after newer ones.
    pub reorder: bool,
    /// Whether instances admit requests; otherwise only the leases are checked.
    pub admits: bool,
}

#[derive(Clone, Hash)]
struct Start {
    name: usize,
    holder: LeaseHolder,
    reports: u8,
    /// Whether it was told that another process holds its name.
    replaced: bool,
    /// Ages of its open requests, in steps.
    open: Vec<u64>,
    demand: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    Up(usize, LeaseRequests),
    Down(usize, Grant),
}

/// A state of the model.
#[derive(Clone)]
pub struct LeaseModelState {
    ticks: u64,
    agent: Option<LeaseServer>,
    term: u64,
    starts: Vec<Start>,
    packets: Vec<Packet>,
    demand_changes: u8,
    lowered: Option<u64>,
    /// Millionths of a request.
    level: u64,
    /// The longest duration of the leases granted so far, in steps.
    longest_duration: u64,
}

/// A transition.
#[derive(Clone, Debug)]
pub enum Step {
    /// A second passes.
    Tick,
    /// An instance sends a report.
    Report(usize),
    /// A message in transit arrives.
    Deliver(usize, String),
    /// An instance admits all requests that it can; they stay open for as long as they may.
    Admit(usize),
    /// The agent is killed, and another one starts.
    Kill,
    /// Another process takes the first instance's name.
    Replace,
    /// Instances with little demand now have much, and the other way round.
    ChangeDemand,
    /// The limit is lowered to half.
    Lower,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Tick => f.write_str("a second passes"),
            Step::Report(at) => write!(f, "{at} reports"),
            Step::Deliver(_, what) => write!(f, "{what} arrives"),
            Step::Admit(at) => write!(f, "{at} lets in all that it can"),
            Step::Kill => f.write_str("the lender is killed, another one starts"),
            Step::Replace => f.write_str("another process takes the name of 0"),
            Step::ChangeDemand => f.write_str("wants change"),
            Step::Lower => f.write_str("the limit is lowered"),
        }
    }
}

impl LeaseModel {
    fn limit(&self, lowered: bool) -> Limit {
        let (rate, burst, open) = self.whole;
        let of = |all: u64| if lowered { all / 2 } else { all };
        Limit {
            whole: Amount {
                rate: of(rate) * ONE,
                burst: of(burst) * ONE,
                open: of(open),
            },
            longest: self.longest * SECOND,
            ..Limit::default()
        }
    }

    /// The time of a clock with this drift in percent.
    fn clock(&self, ticks: u64, off: i64) -> Micros {
        let each = (SECOND as i64 + off * SECOND as i64 / 100) as u64;
        100 * SECOND + ticks * each
    }

    fn by_agent(&self, state: &LeaseModelState) -> Micros {
        self.clock(state.ticks, self.drift.0)
    }

    fn by_start(&self, state: &LeaseModelState, at: usize) -> Micros {
        self.clock(state.ticks, if at == 0 { self.drift.1 } else { 0 })
    }

    fn server(&self, state: &LeaseModelState, former: u64) -> LeaseServer {
        let second = state.term > 1;
        let duration = SECOND
            * if second {
                self.durations.1
            } else {
                self.durations.0
            };
        let id = ServerId {
            term: state.term,
            id: state.term,
        };
        let mut server =
            LeaseServer::new(self.by_agent(state), id, duration, former * SECOND, SECOND);
        server.set_limits(
            self.by_agent(state),
            BTreeMap::from([(LIMIT.to_string(), self.limit(state.lowered.is_some()))]),
        );
        server
    }

    fn start(&self, state: &mut LeaseModelState, name: usize, demand: u64) {
        let mut holder = LeaseHolder::default();
        holder.follow(
            self.by_start(state, state.starts.len()),
            [(LIMIT.to_string(), Safe::Nothing)],
        );
        state.starts.push(Start {
            name,
            holder,
            reports: 0,
            replaced: false,
            open: Vec::new(),
            demand,
        });
    }

    /// The sums of rate and burst over all valid leases.
    fn leased(&self, state: &LeaseModelState) -> (u64, u64) {
        let of = |at: usize| {
            let now = self.by_start(state, at);
            let holder = &state.starts[at].holder;
            let grant = holder
                .standings(now)
                .next()
                .filter(|(_, standing)| standing.leased);
            grant.map_or((0, 0), |(_, standing)| {
                (standing.may.rate, standing.may.burst)
            })
        };
        (0..state.starts.len())
            .map(of)
            .fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
    }
}

impl Model for LeaseModel {
    type State = LeaseModelState;
    type Step = Step;

    fn initial(&self) -> LeaseModelState {
        let mut state = LeaseModelState {
            ticks: 0,
            agent: None,
            term: 1,
            starts: Vec::new(),
            packets: Vec::new(),
            demand_changes: 0,
            lowered: None,
            level: 0,
            longest_duration: self.durations.0,
        };
        // The server has run for long enough to grant the whole limit.
        let mut server = self.server(&state, 0);
        server.rebase(90 * SECOND);
        state.agent = Some(server);
        for name in 0..self.instances {
            self.start(&mut state, name, if name == 0 { 100 } else { 0 });
        }
        state
    }

    fn steps(&self, state: &LeaseModelState) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, packet) in state.packets.iter().enumerate() {
            let what = match packet {
                Packet::Up(from, requests) => format!("report {} of {from}", requests.seq),
                Packet::Down(to, grant) => {
                    let amount = grant
                        .of
                        .first()
                        .map(|lease| lease.amount)
                        .unwrap_or_default();
                    let (term, number) = (grant.by.term, grant.number);
                    format!(
                        "word {number} of term {term} to {to} ({} a second, {} open)",
                        amount.rate, amount.open
                    )
                }
            };
            steps.push(Step::Deliver(at, what));
        }
        for (at, start) in state.starts.iter().enumerate() {
            let on_its_way = state
                .packets
                .iter()
                .any(|packet| matches!(packet, Packet::Up(from, _) if *from == at));
            if start.reports < self.reports && !start.replaced && (self.reorder || !on_its_way) {
                steps.push(Step::Report(at));
            }
            if self.admits && self.can_admit(state, at) {
                steps.push(Step::Admit(at));
            }
        }
        if state.ticks < u64::from(self.ticks) {
            steps.push(Step::Tick);
        }
        if state.demand_changes < self.demand_changes {
            steps.push(Step::ChangeDemand);
        }
        if self.kill && state.term == 1 {
            steps.push(Step::Kill);
        }
        if self.replace && state.starts.len() == self.instances {
            steps.push(Step::Replace);
        }
        if self.lower && state.lowered.is_none() {
            steps.push(Step::Lower);
        }
        steps
    }

    fn apply(&self, state: &LeaseModelState, step: &Step) -> LeaseModelState {
        let mut next = state.clone();
        match step {
            Step::Tick => {
                next.ticks += 1;
                let rate = self.whole.0 * SECOND;
                next.level = next.level.saturating_sub(rate);
                for start in &mut next.starts {
                    start.open.iter_mut().for_each(|age| *age += 1);
                    for _ in start.open.extract_if(.., |age| *age >= self.longest) {
                        start.holder.end(LIMIT);
                    }
                }
            }
            Step::Report(at) => {
                let now = self.by_start(&next, *at);
                self.report(&mut next, *at, now);
            }
            Step::Deliver(at, _) => {
                let packet = next.packets.remove(*at);
                if !self.reorder {
                    // The messages that it overtakes are lost.
                    next.packets.retain(|other| !packet.is_newer(other));
                }
                self.deliver(&mut next, packet);
            }
            Step::Admit(at) => {
                let now = self.by_start(&next, *at);
                let start = &mut next.starts[*at];
                while start.holder.admit(now, LIMIT).is_ok() {
                    start.open.push(0);
                    next.level += SECOND;
                }
            }
            Step::Kill => {
                next.term += 1;
                next.agent = Some(self.server(&next, next.longest_duration));
            }
            Step::Replace => {
                next.starts[0].replaced = true;
                let demand = next.starts[0].demand;
                self.start(&mut next, 0, demand);
            }
            Step::ChangeDemand => {
                next.demand_changes += 1;
                next.starts
                    .iter_mut()
                    .for_each(|start| start.demand = 100 - start.demand);
            }
            Step::Lower => {
                next.lowered = Some(next.ticks);
                let (now, limit) = (self.by_agent(&next), self.limit(true));
                next.agent.iter_mut().for_each(|a| {
                    a.set_limits(now, BTreeMap::from([(LIMIT.to_string(), limit.clone())]))
                });
            }
        }
        next.packets.sort();
        next.packets.dedup();
        next
    }

    fn hash(&self, state: &LeaseModelState) -> u128 {
        let essences: Vec<u64> = (0..state.starts.len())
            .map(|at| {
                let (now, start) = (self.by_start(state, at), &state.starts[at]);
                let of = (
                    start.holder.essence(now),
                    start.reports,
                    start.replaced,
                    &start.open,
                    start.demand,
                );
                FixedState::with_seed(1).hash_one(of)
            })
            .collect();
        let LeaseModelState {
            ticks,
            agent,
            term,
            packets,
            demand_changes,
            lowered,
            level,
            ..
        } = state;
        let now = self.by_agent(state);
        let server = agent
            .as_ref()
            .map(|agent| FixedState::with_seed(2).hash_one(agent.essence(now)));
        let all = (
            essences,
            ticks,
            server,
            term,
            packets,
            demand_changes,
            lowered,
            level,
        );
        let half = |seed| {
            let mut hasher = FixedState::with_seed(seed).build_hasher();
            all.hash(&mut hasher);
            std::hash::Hasher::finish(&hasher)
        };
        u128::from(half(3)) << 64 | u128::from(half(4))
    }

    fn check(&self, state: &LeaseModelState) -> Result<(), String> {
        let (rate, burst) = self.leased(state);
        let (whole, now) = (self.whole, state.ticks);
        // A lowered limit is in force after a lease with its drift, in whole steps; for open requests also after the
        // longest of them.
        let by_lease = self.durations.0.max(self.durations.1) + 1;
        let of = |all: u64, after: u64| {
            if state.lowered.is_some_and(|since| now > since + after) {
                all / 2
            } else {
                all
            }
        };
        if rate > of(whole.0, by_lease) * ONE {
            return Err(format!(
                "rates: {rate} of {} thousandths",
                of(whole.0, by_lease) * ONE
            ));
        }
        if burst > of(whole.1, by_lease) * ONE {
            return Err(format!(
                "bursts: {burst} of {} thousandths",
                of(whole.1, by_lease) * ONE
            ));
        }
        let open = state
            .starts
            .iter()
            .map(|start| start.open.len() as u64)
            .sum::<u64>();
        if open > of(whole.2, by_lease + self.longest) {
            return Err(format!(
                "open: {open} of {}",
                of(whole.2, by_lease + self.longest)
            ));
        }
        if state.level > whole.1 * SECOND {
            return Err(format!(
                "windows: {} millionths over the burst",
                state.level - whole.1 * SECOND
            ));
        }
        Ok(())
    }

    fn fair(&self, _: &LeaseModelState) -> Option<Step> {
        None
    }
}

impl Packet {
    /// Whether it was sent after the other one in the same direction.
    fn is_newer(&self, other: &Packet) -> bool {
        match (self, other) {
            (Packet::Up(from, requests), Packet::Up(its, other)) => {
                from == its && other.seq < requests.seq
            }
            (Packet::Down(to, grant), Packet::Down(its, other)) => {
                to == its && (other.by, other.number) < (grant.by, grant.number)
            }
            _ => false,
        }
    }
}

impl LeaseModel {
    fn send(&self, state: &mut LeaseModelState, packet: Packet) {
        let late = match packet {
            Packet::Up(..) => self.late.0,
            Packet::Down(..) => self.late.1,
        };
        if late {
            state.packets.push(packet)
        } else {
            self.deliver(state, packet)
        }
    }

    fn deliver(&self, next: &mut LeaseModelState, packet: Packet) {
        match packet {
            Packet::Up(from, requests) => {
                let name = next.starts[from].name.to_string();
                let now = self.by_agent(next);
                let grant = next
                    .agent
                    .as_mut()
                    .and_then(|a| a.handle_report(now, &name, "", from as u64, &requests));
                if let Some(grant) = grant {
                    self.send(next, Packet::Down(from, grant));
                }
            }
            Packet::Down(to, grant) => {
                let now = self.by_start(next, to);
                if next.starts[to].holder.take(now, &grant) && !next.starts[to].replaced {
                    self.report(next, to, now);
                }
            }
        }
    }

    fn report(&self, state: &mut LeaseModelState, at: usize, now: Micros) {
        let start = &mut state.starts[at];
        if start.reports >= self.reports {
            return;
        }
        start.reports += 1;
        let mut requests = start.holder.ask(now);
        // The demand is that of the model, not the measured one.
        for request in &mut requests.of {
            (request.wanted, request.wanted_open, request.used) =
                (start.demand * ONE, start.demand, 0);
        }
        self.send(state, Packet::Up(at, requests));
    }

    fn can_admit(&self, state: &LeaseModelState, at: usize) -> bool {
        let mut holder = state.starts[at].holder.clone();
        holder.admit(self.by_start(state, at), LIMIT).is_ok()
    }
}

/// The models that are explored in each test run.
pub fn lease_models() -> Vec<LeaseModel> {
    let base = LeaseModel {
        name: "two instances, messages late or lost, wants that change",
        instances: 2,
        whole: (2, 2, 2),
        ticks: 4,
        reports: 3,
        durations: (2, 2),
        kill: false,
        replace: false,
        demand_changes: 1,
        lower: false,
        longest: 1,
        drift: (0, 0),
        late: (false, true),
        reorder: false,
        admits: false,
    };
    let late = (true, false);
    let few = LeaseModel {
        reports: 2,
        demand_changes: 0,
        ..base.clone()
    };
    let three = LeaseModel {
        ticks: 3,
        reports: 3,
        ..few.clone()
    };
    vec![
        LeaseModel {
            demand_changes: 1,
            ..few.clone()
        },
        LeaseModel {
            name: "three reports each",
            ..three.clone()
        },
        LeaseModel {
            name: "words that come behind newer ones",
            reorder: true,
            reports: 3,
            ticks: 2,
            durations: (3, 3),
            ..few.clone()
        },
        LeaseModel {
            name: "reports that are late or lost",
            late,
            reports: 3,
            ..few.clone()
        },
        LeaseModel {
            name: "reports that come behind newer ones",
            late,
            reorder: true,
            admits: true,
            ..few.clone()
        },
        LeaseModel {
            name: "both, of two reports each",
            late: (true, true),
            ticks: 2,
            ..few.clone()
        },
        LeaseModel {
            name: "an agent 2% fast and an instance 2% slow",
            drift: (2, -2),
            ..few.clone()
        },
        LeaseModel {
            name: "an agent 2% slow and an instance 2% fast",
            drift: (-2, 2),
            ..few.clone()
        },
        LeaseModel {
            name: "an agent that is killed",
            kill: true,
            ..few.clone()
        },
        LeaseModel {
            name: "the next agent with shorter leases",
            kill: true,
            durations: (3, 1),
            ..few.clone()
        },
        LeaseModel {
            name: "another process of the first one's name",
            replace: true,
            ticks: 3,
            ..few.clone()
        },
        LeaseModel {
            name: "a limit that is lowered",
            lower: true,
            whole: (4, 4, 4),
            ..few.clone()
        },
        LeaseModel {
            name: "requests that are let in",
            admits: true,
            whole: (1, 2, 9),
            ..few.clone()
        },
        LeaseModel {
            name: "requests that stay open for long",
            admits: true,
            longest: 4,
            ticks: 5,
            whole: (9, 9, 2),
            ..few
        },
    ]
}

/// Larger models, for a longer run.
pub fn larger_lease_models() -> Vec<LeaseModel> {
    let larger = |model: LeaseModel| LeaseModel {
        reports: model.reports + 1,
        ticks: model.ticks + 1,
        demand_changes: 1,
        ..model
    };
    lease_models().into_iter().map(larger).collect()
}

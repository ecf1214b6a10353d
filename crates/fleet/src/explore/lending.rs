//! Small fleets that share a limit: a lender that may be killed, instances whose names may be taken by others, messages
//! that come in any order, late or never, clocks that run apart. Instances let in all that they can, whenever.
//!
//! Time goes in steps of a second by nobody's clock. What holds in every state:
//!
//! - *rates*, *bursts*: the leases that instances hold come to no more than the limit;
//! - *open*: no more is open than the limit, after the last lease by the lowered one;
//! - *windows*: over every window so far no more was let in than `rate * length + burst`. It is kept as the level of one
//!   bucket that leaks at the rate, which is the same.

use super::Model;
use foldhash::quality::FixedState;
use madderloom_quota::{Amount, Asks, Holder, Lender, Lent, Limit, Micros, ONE, Safe, Who};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{BuildHasher, Hash};

const LIMIT: &str = "l";
/// A step of time.
const SECOND: Micros = 1_000_000;

/// One world.
#[derive(Clone, Debug)]
pub struct Lendings {
    /// What it is called.
    pub name: &'static str,
    /// Instances at the beginning.
    pub instances: usize,
    /// All of the limit: whole requests a second, at once, open.
    pub whole: (u64, u64, u64),
    /// Steps of time.
    pub ticks: u8,
    /// Reports of each instance.
    pub reports: u8,
    /// How long leases last, in steps; those of the second agent.
    pub lasts: (u64, u64),
    /// Whether the agent may be killed, and another started on its state.
    pub kill: bool,
    /// Whether another process takes the name of the first instance, while that one goes on.
    pub replace: bool,
    /// How often the instances' wants may change.
    pub swaps: u8,
    /// Whether the limit may be lowered to half.
    pub lower: bool,
    /// For how many steps a request may be open.
    pub longest: u64,
    /// Percent by which the clocks of the agent and of the first instance run off; the others run true.
    pub drift: (i64, i64),
    /// Whether reports, and words, may be late or lost; else they arrive at once.
    pub late: (bool, bool),
    /// Whether older messages may come behind newer ones.
    pub reorder: bool,
    /// Whether instances let requests in; without it leases alone are looked at.
    pub lets_in: bool,
}

#[derive(Clone, Hash)]
struct Start {
    name: usize,
    holder: Holder,
    reports: u8,
    /// It was told that another has its name.
    replaced: bool,
    /// Ages of its open requests, in steps.
    open: Vec<u64>,
    wants: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    Up(usize, Asks),
    Down(usize, Lent),
}

/// A state of a world.
#[derive(Clone)]
pub struct Lending {
    ticks: u64,
    agent: Option<Lender>,
    term: u64,
    starts: Vec<Start>,
    packets: Vec<Packet>,
    swaps: u8,
    lowered: Option<u64>,
    /// Millionths of a request.
    level: u64,
    /// The longest that a lease may be out that was given so far, in steps.
    known: u64,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum Step {
    /// A second passes.
    Tick,
    /// An instance makes a report.
    Report(usize),
    /// A message on its way arrives.
    Deliver(usize, String),
    /// An instance lets in all that it can; they stay open for as long as they may.
    LetIn(usize),
    /// The lender is killed; another one starts.
    Kill,
    /// Another process takes the first instance's name.
    Replace,
    /// Who wanted little wants much, and the other way round.
    Swap,
    /// The limit is lowered to half.
    Lower,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Tick => f.write_str("a second passes"),
            Step::Report(at) => write!(f, "{at} reports"),
            Step::Deliver(_, what) => write!(f, "{what} arrives"),
            Step::LetIn(at) => write!(f, "{at} lets in all that it can"),
            Step::Kill => f.write_str("the lender is killed, another one starts"),
            Step::Replace => f.write_str("another process takes the name of 0"),
            Step::Swap => f.write_str("wants change"),
            Step::Lower => f.write_str("the limit is lowered"),
        }
    }
}

impl Lendings {
    fn limit(&self, lowered: bool) -> Limit {
        let (rate, burst, open) = self.whole;
        let of = |all: u64| if lowered { all / 2 } else { all };
        Limit {
            whole: Amount { rate: of(rate) * ONE, burst: of(burst) * ONE, open: of(open) },
            longest: self.longest * SECOND,
            ..Limit::default()
        }
    }

    /// What a clock shows that runs off by so many percent.
    fn clock(&self, ticks: u64, off: i64) -> Micros {
        let each = (SECOND as i64 + off * SECOND as i64 / 100) as u64;
        100 * SECOND + ticks * each
    }

    fn by_agent(&self, state: &Lending) -> Micros {
        self.clock(state.ticks, self.drift.0)
    }

    fn by_start(&self, state: &Lending, at: usize) -> Micros {
        self.clock(state.ticks, if at == 0 { self.drift.1 } else { 0 })
    }

    fn lender(&self, state: &Lending, former: u64) -> Lender {
        let second = state.term > 1;
        let lasts = SECOND * if second { self.lasts.1 } else { self.lasts.0 };
        let who = Who { term: state.term, id: state.term };
        let mut lender = Lender::new(self.by_agent(state), who, lasts, former * SECOND, SECOND);
        lender.set(
            self.by_agent(state),
            BTreeMap::from([(LIMIT.to_string(), self.limit(state.lowered.is_some()))]),
        );
        lender
    }

    fn start(&self, state: &mut Lending, name: usize, wants: u64) {
        let mut holder = Holder::default();
        holder.follow(self.by_start(state, state.starts.len()), [(LIMIT.to_string(), Safe::Nothing)]);
        state.starts.push(Start { name, holder, reports: 0, replaced: false, open: Vec::new(), wants });
    }

    /// Rate, burst and open requests of the leases that hold.
    fn held(&self, state: &Lending) -> (u64, u64) {
        let of = |at: usize| {
            let now = self.by_start(state, at);
            let holder = &state.starts[at].holder;
            let lent = holder.standings(now).next().filter(|(_, standing)| standing.leased);
            lent.map_or((0, 0), |(_, standing)| (standing.may.rate, standing.may.burst))
        };
        (0..state.starts.len()).map(of).fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
    }
}

impl Model for Lendings {
    type State = Lending;
    type Step = Step;

    fn initial(&self) -> Lending {
        let mut state = Lending {
            ticks: 0,
            agent: None,
            term: 1,
            starts: Vec::new(),
            packets: Vec::new(),
            swaps: 0,
            lowered: None,
            level: 0,
            known: self.lasts.0,
        };
        // It has run for long enough to lend all.
        let mut lender = self.lender(&state, 0);
        lender.rebase(90 * SECOND);
        state.agent = Some(lender);
        for name in 0..self.instances {
            self.start(&mut state, name, if name == 0 { 100 } else { 0 });
        }
        state
    }

    fn steps(&self, state: &Lending) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, packet) in state.packets.iter().enumerate() {
            let what = match packet {
                Packet::Up(from, asks) => format!("report {} of {from}", asks.seq),
                Packet::Down(to, lent) => {
                    let amount = lent.of.first().map(|lease| lease.amount).unwrap_or_default();
                    let (term, number) = (lent.by.term, lent.number);
                    format!(
                        "word {number} of term {term} to {to} ({} a second, {} open)",
                        amount.rate, amount.open
                    )
                }
            };
            steps.push(Step::Deliver(at, what));
        }
        for (at, start) in state.starts.iter().enumerate() {
            let on_its_way =
                state.packets.iter().any(|packet| matches!(packet, Packet::Up(from, _) if *from == at));
            if start.reports < self.reports && !start.replaced && (self.reorder || !on_its_way) {
                steps.push(Step::Report(at));
            }
            if self.lets_in && self.could_let_in(state, at) {
                steps.push(Step::LetIn(at));
            }
        }
        if state.ticks < u64::from(self.ticks) {
            steps.push(Step::Tick);
        }
        if state.swaps < self.swaps {
            steps.push(Step::Swap);
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

    fn apply(&self, state: &Lending, step: &Step) -> Lending {
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
                    // Those that it overtakes are lost.
                    next.packets.retain(|other| !packet.is_newer(other));
                }
                self.deliver(&mut next, packet);
            }
            Step::LetIn(at) => {
                let now = self.by_start(&next, *at);
                let start = &mut next.starts[*at];
                while start.holder.admit(now, LIMIT).is_ok() {
                    start.open.push(0);
                    next.level += SECOND;
                }
            }
            Step::Kill => {
                next.term += 1;
                next.agent = Some(self.lender(&next, next.known));
            }
            Step::Replace => {
                next.starts[0].replaced = true;
                let wants = next.starts[0].wants;
                self.start(&mut next, 0, wants);
            }
            Step::Swap => {
                next.swaps += 1;
                next.starts.iter_mut().for_each(|start| start.wants = 100 - start.wants);
            }
            Step::Lower => {
                next.lowered = Some(next.ticks);
                let (now, limit) = (self.by_agent(&next), self.limit(true));
                next.agent
                    .iter_mut()
                    .for_each(|a| a.set(now, BTreeMap::from([(LIMIT.to_string(), limit.clone())])));
            }
        }
        next.packets.sort();
        next.packets.dedup();
        next
    }

    fn hash(&self, state: &Lending) -> u128 {
        let essences: Vec<u64> = (0..state.starts.len())
            .map(|at| {
                let (now, start) = (self.by_start(state, at), &state.starts[at]);
                let of = (start.holder.essence(now), start.reports, start.replaced, &start.open, start.wants);
                FixedState::with_seed(1).hash_one(of)
            })
            .collect();
        let Lending { ticks, agent, term, packets, swaps, lowered, level, .. } = state;
        let now = self.by_agent(state);
        let lender = agent.as_ref().map(|agent| FixedState::with_seed(2).hash_one(agent.essence(now)));
        let all = (essences, ticks, lender, term, packets, swaps, lowered, level);
        let half = |seed| {
            let mut hasher = FixedState::with_seed(seed).build_hasher();
            all.hash(&mut hasher);
            std::hash::Hasher::finish(&hasher)
        };
        u128::from(half(3)) << 64 | u128::from(half(4))
    }

    fn check(&self, state: &Lending) -> Result<(), String> {
        let (rate, burst) = self.held(state);
        let (whole, now) = (self.whole, state.ticks);
        // What was lowered holds after a lease, with its drift, in whole steps; of what is open later by what it may be.
        let by_lease = self.lasts.0.max(self.lasts.1) + 1;
        let of = |all: u64, after: u64| {
            if state.lowered.is_some_and(|since| now > since + after) { all / 2 } else { all }
        };
        if rate > of(whole.0, by_lease) * ONE {
            return Err(format!("rates: {rate} of {} thousandths", of(whole.0, by_lease) * ONE));
        }
        if burst > of(whole.1, by_lease) * ONE {
            return Err(format!("bursts: {burst} of {} thousandths", of(whole.1, by_lease) * ONE));
        }
        let open = state.starts.iter().map(|start| start.open.len() as u64).sum::<u64>();
        if open > of(whole.2, by_lease + self.longest) {
            return Err(format!("open: {open} of {}", of(whole.2, by_lease + self.longest)));
        }
        if state.level > whole.1 * SECOND {
            return Err(format!("windows: {} millionths over the burst", state.level - whole.1 * SECOND));
        }
        Ok(())
    }

    fn fair(&self, _: &Lending) -> Option<Step> {
        None
    }
}

impl Packet {
    /// Whether it was sent behind the other one, the same way.
    fn is_newer(&self, other: &Packet) -> bool {
        match (self, other) {
            (Packet::Up(from, asks), Packet::Up(its, other)) => from == its && other.seq < asks.seq,
            (Packet::Down(to, lent), Packet::Down(its, other)) => {
                to == its && (other.by, other.number) < (lent.by, lent.number)
            }
            _ => false,
        }
    }
}

impl Lendings {
    fn send(&self, state: &mut Lending, packet: Packet) {
        let late = match packet {
            Packet::Up(..) => self.late.0,
            Packet::Down(..) => self.late.1,
        };
        if late { state.packets.push(packet) } else { self.deliver(state, packet) }
    }

    fn deliver(&self, next: &mut Lending, packet: Packet) {
        match packet {
            Packet::Up(from, asks) => {
                let name = next.starts[from].name.to_string();
                let now = self.by_agent(next);
                let lent = next.agent.as_mut().and_then(|a| a.report(now, &name, "", from as u64, &asks));
                if let Some(lent) = lent {
                    self.send(next, Packet::Down(from, lent));
                }
            }
            Packet::Down(to, lent) => {
                let now = self.by_start(next, to);
                if next.starts[to].holder.take(now, &lent) && !next.starts[to].replaced {
                    self.report(next, to, now);
                }
            }
        }
    }

    fn report(&self, state: &mut Lending, at: usize, now: Micros) {
        let start = &mut state.starts[at];
        if start.reports >= self.reports {
            return;
        }
        start.reports += 1;
        let mut asks = start.holder.ask(now);
        // What is wanted is what the world says, not what was measured.
        for ask in &mut asks.of {
            (ask.wanted, ask.wanted_open, ask.used) = (start.wants * ONE, start.wants, 0);
        }
        self.send(state, Packet::Up(at, asks));
    }

    fn could_let_in(&self, state: &Lending, at: usize) -> bool {
        let mut holder = state.starts[at].holder.clone();
        holder.admit(self.by_start(state, at), LIMIT).is_ok()
    }
}

/// The worlds that a landing explores.
pub fn lendings() -> Vec<Lendings> {
    let base = Lendings {
        name: "two instances, messages late or lost, wants that change",
        instances: 2,
        whole: (2, 2, 2),
        ticks: 4,
        reports: 3,
        lasts: (2, 2),
        kill: false,
        replace: false,
        swaps: 1,
        lower: false,
        longest: 1,
        drift: (0, 0),
        late: (false, true),
        reorder: false,
        lets_in: false,
    };
    let late = (true, false);
    let few = Lendings { reports: 2, swaps: 0, ..base.clone() };
    let three = Lendings { ticks: 3, reports: 3, ..few.clone() };
    vec![
        Lendings { swaps: 1, ..few.clone() },
        Lendings { name: "three reports each", ..three.clone() },
        Lendings {
            name: "words that come behind newer ones",
            reorder: true,
            reports: 3,
            ticks: 2,
            lasts: (3, 3),
            ..few.clone()
        },
        Lendings { name: "reports that are late or lost", late, reports: 3, ..few.clone() },
        Lendings {
            name: "reports that come behind newer ones",
            late,
            reorder: true,
            lets_in: true,
            ..few.clone()
        },
        Lendings { name: "both, of two reports each", late: (true, true), ticks: 2, ..few.clone() },
        Lendings { name: "an agent 2% fast and an instance 2% slow", drift: (2, -2), ..few.clone() },
        Lendings { name: "an agent 2% slow and an instance 2% fast", drift: (-2, 2), ..few.clone() },
        Lendings { name: "an agent that is killed", kill: true, ..few.clone() },
        Lendings { name: "the next agent with shorter leases", kill: true, lasts: (3, 1), ..few.clone() },
        Lendings { name: "another process of the first one's name", replace: true, ticks: 3, ..few.clone() },
        Lendings { name: "a limit that is lowered", lower: true, whole: (4, 4, 4), ..few.clone() },
        Lendings { name: "requests that are let in", lets_in: true, whole: (1, 2, 9), ..few.clone() },
        Lendings {
            name: "requests that stay open for long",
            lets_in: true,
            longest: 4,
            ticks: 5,
            whole: (9, 9, 2),
            ..few
        },
    ]
}

/// Larger ones, for a quiet hour.
pub fn larger_lendings() -> Vec<Lendings> {
    let larger =
        |world: Lendings| Lendings { reports: world.reports + 1, ticks: world.ticks + 1, swaps: 1, ..world };
    lendings().into_iter().map(larger).collect()
}

//! The real machines in a small world: an agent with its disk (perhaps a second one that does not know that it was
//! replaced), instances, and a network that loses, keeps back, late and reorders.
//!
//! # What can happen
//! - Between the agent and each process one message is on its way in each direction; a newer one takes the place of
//!   one that has not come, which is lost. Any message may come late as well: once more, or after newer ones, at any
//!   time. How many do is bounded.
//! - The agent's clock goes on to its next deadline; so does that of an instance. Clocks have nothing to do with each
//!   other, except in the fair step, where all go on together.
//! - An instance takes an order into effect, or refuses it. That and its saying so are two steps.
//! - The agent is killed, and started again from what lasts. An instance is killed and started again, with what it
//!   kept or with nothing; its incarnation may go backwards.
//! - An operator pushes a change (again), stops it, takes it back.
//!
//! # The invariants
//! 1. *Whole*: what an instance has in effect is exactly one of the settings that the fleet may settle on, and is
//!    what it says it has.
//! 2. *Fenced*: no start obeys an order with a stamp below one that it obeyed, and no instance that keeps its memory
//!    an order of a term below one that it obeyed.
//! 3. *Once*: no start carries one order out twice in a row.
//! 4. *True*: what the newest agent has recorded of an order (applied, refused) is what that start of the instance
//!    made of it.
//! 5. *One name, one instance*: of all processes with one name no two are in a session under one incarnation, and
//!    the one that the newest agent holds to be the name's is the only one whose word counts for it.
//! 6. *Waves*: no more than `at_once` instances are under way, and none of a wave before the one before is through.
//! 7. *Lasting*: an instance has no revision that the agent's disk does not know; a change that was accepted is
//!    known for good.
//! 8. *Rest*: a fair continuation ends every rollout; then every instance that is there has what the fleet settled on,
//!    or is on record as having refused it, with the reason.

use super::Model;
use crate::change::{Change, Policy, Selector, Share, Then, What};
use crate::fleet::Record;
use crate::membership::{Leases, Presence};
use crate::protocol::{Order, Outcome, Report, Stamp, ToAgent, ToInstance, Who};
use crate::rollout::{End, Reason, Step as TargetStep};
use crate::settings::{Edits, Fingerprint, Key, Overlay, Value};
use crate::spread::Pace;
use crate::{
    Action, By, Event, Fleet, Instance, Micros, Output, Planted, Problem, Rules, Session, Time,
    change::Traits, instance::Memory, planted,
};
use foldhash::quality::FixedState;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{BuildHasher, Hash};
use std::sync::{Arc, OnceLock};

/// The unit of all spans in the world. What it is in real time does not matter.
const UNIT: Micros = 10_000_000;

/// How much of what can go wrong does.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// What it is called.
    pub name: &'static str,
    /// Processes; each number is a name. Two processes may have one name.
    pub processes: Vec<usize>,
    /// The instances by name that refuse every change but the empty one.
    pub refuses: Vec<usize>,
    /// Changes pushed, of two.
    pub changes: usize,
    /// Waves of each, and how many at once.
    pub waves: Vec<Share>,
    /// How many at once.
    pub at_once: u32,
    /// How many may fail.
    pub failures: u32,
    /// What happens then.
    pub then: Then,
    /// Kills of the agent.
    pub agent_kills: u8,
    /// Whether a killed agent goes on all the same, with a disk of its own, beside the new one.
    pub ghost: bool,
    /// Kills of instances.
    pub kills: u8,
    /// Messages that come late: after newer ones, or once more.
    pub late: u8,
    /// Repeats of pushes.
    pub repeats: u8,
    /// Stops and undoings.
    pub commands: u8,
    /// Connections that are lost: an instance hears no answer to a report and goes away.
    pub cuts: u8,
    /// Times that the agent's clock goes on alone.
    pub agent_ticks: u8,
    /// Whether the instances are known and alive at the beginning.
    pub settled: bool,
    /// Whether instances of different names are alike. Sound where one wave takes all at once.
    pub alike: bool,
    /// All that an instance may ever have in effect.
    possible: OnceLock<Vec<Overlay>>,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            name: "",
            processes: vec![0, 1],
            refuses: vec![],
            changes: 1,
            waves: vec![Share::Count(1)],
            at_once: 2,
            failures: 0,
            then: Then::TakeBack,
            agent_kills: 0,
            ghost: false,
            kills: 0,
            late: 0,
            repeats: 0,
            commands: 0,
            cuts: 1,
            agent_ticks: 1,
            settled: true,
            alike: false,
            possible: OnceLock::new(),
        }
    }
}

/// A value with its hash, so that what did not change is not hashed again.
#[derive(Debug)]
struct Hashed<T> {
    value: Arc<T>,
    hash: u64,
}

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Self {
        Hashed { value: Arc::clone(&self.value), hash: self.hash }
    }
}

fn hash_of(value: impl Hash) -> u64 {
    FixedState::with_seed(1).hash_one(value)
}

impl Hashed<Process> {
    /// Its hash leaves out its name, which its place tells.
    fn new(value: Process) -> Self {
        let mut nameless = value.clone();
        nameless.name = 0;
        nameless.machine.forget_name();
        Hashed { hash: hash_of(&nameless), value: Arc::new(value) }
    }
}

#[derive(Clone, Debug)]
struct Agent {
    fleet: Arc<Fleet>,
    disk: Arc<BTreeMap<String, Record>>,
    /// Of the disk, as the two below.
    lasting: Arc<(u64, BTreeMap<String, u64>)>,
    /// Of what names no instance, and of what each instance's name is found at.
    common: u64,
    by_name: Vec<u64>,
}

impl Agent {
    fn new(fleet: Fleet, disk: Arc<BTreeMap<String, Record>>, former: Option<&Agent>, names: usize) -> Self {
        let former = former.filter(|former| Arc::ptr_eq(&former.disk, &disk));
        let lasting = former.map_or_else(|| Arc::new(lasting(&disk)), |former| Arc::clone(&former.lasting));
        let (common, by_name) = fleet.parts();
        let of_name = |name: usize| {
            let name = format!("i{name}");
            hash_of((by_name.get(&name), lasting.1.get(&name)))
        };
        let by_name = (0..names).map(of_name).collect();
        Agent { common: hash_of((common, lasting.0)), by_name, fleet: Arc::new(fleet), disk, lasting }
    }
}

/// Hashes of what lasts: of what names no instance, and of what is found at each name.
fn lasting(disk: &BTreeMap<String, Record>) -> (u64, BTreeMap<String, u64>) {
    let (mut common, mut by_name) = (Vec::new(), BTreeMap::<String, u64>::new());
    for (key, record) in disk {
        let place = key.rsplit_once('/').filter(|_| !key.starts_with("entry/"));
        match (record, place) {
            (_, Some((place, name))) => {
                let former = by_name.entry(name.to_string()).or_default();
                *former = hash_of((*former, place, record));
            }
            // What names instances in them is in the memory of the agent as well.
            (Record::Settled(newest, layers), None) => common.push(hash_of((key, newest, layers.0.len()))),
            (Record::Rollout(rollout), None) => {
                common.push(hash_of((key, rollout.revision, rollout.phase, rollout.back_revision)));
            }
            (record, None) => common.push(hash_of((key, record))),
        }
    }
    (hash_of(common), by_name)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    name: usize,
    machine: Instance,
    /// What is in effect, beside what the machine says.
    real: BTreeMap<Key, Value>,
    taking: Option<Order>,
    memory: Memory,
    /// The last order that was carried out.
    last: Option<(String, u64, Fingerprint)>,
    obeyed: Stamp,
    obeyed_term: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    Up { name: usize, message: ToAgent },
    Down { name: usize, message: ToInstance },
}

impl Packet {
    fn name(&self) -> usize {
        match self {
            Packet::Up { name, .. } | Packet::Down { name, .. } => *name,
        }
    }

    fn hash_without_name(&self) -> u64 {
        match self.clone() {
            Packet::Up { message: ToAgent::Register(mut wish), .. } => {
                wish.who.name.clear();
                hash_of(wish)
            }
            Packet::Up { message: ToAgent::Report(mut report), .. } => {
                report.who.name.clear();
                hash_of(report)
            }
            Packet::Down { message, .. } => hash_of(message),
        }
    }
}

/// A state of the world.
#[derive(Clone, Debug)]
pub struct World {
    /// The newest last.
    agents: Vec<Agent>,
    processes: Vec<Hashed<Process>>,
    /// The newest message on its way, by process and direction, and those that will come late.
    net: BTreeMap<(usize, bool), (Packet, u64)>,
    late: BTreeMap<Packet, u64>,
    left: Left,
    pushed: Vec<Option<Change>>,
    accepted: Vec<(usize, u64)>,
    /// How often each name was started.
    starts: Vec<u64>,
    broken: Option<String>,
}

#[derive(Clone, Copy, Debug, Hash)]
struct Left {
    agent_kills: u8,
    kills: u8,
    late: u8,
    repeats: u8,
    commands: u8,
    cuts: u8,
    agent_ticks: u8,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum Step {
    #[allow(missing_docs)]
    Deliver { packet: Box<PacketShown>, agent: usize, from: Option<(usize, bool)> },
    #[allow(missing_docs)]
    Keep(Box<PacketShown>),
    #[allow(missing_docs)]
    AgentTick(usize),
    #[allow(missing_docs)]
    InstanceTick(usize),
    #[allow(missing_docs)]
    Take(usize),
    #[allow(missing_docs)]
    KillAgent,
    #[allow(missing_docs)]
    KillUnsaved(usize),
    #[allow(missing_docs)]
    Kill { process: usize, keeps: bool, backwards: bool },
    #[allow(missing_docs)]
    Push { change: usize, base: u64 },
    #[allow(missing_docs)]
    Stop(usize),
    #[allow(missing_docs)]
    Undo(usize),
    #[allow(missing_docs)]
    Pass,
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct PacketShown(Packet);

impl fmt::Display for PacketShown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = |outcome: &Outcome| match outcome {
            Outcome::Applied => "applied".to_string(),
            Outcome::Refused(problem) => format!("refused ({problem})"),
        };
        match &self.0 {
            Packet::Up { message: ToAgent::Register(wish), .. } => {
                let Who { name, start, incarnation } = &wish.who;
                write!(f, "{name} (start {start}, incarnation {incarnation}) -> agent: I want to be known")
            }
            Packet::Up { message: ToAgent::Report(report), .. } => {
                let Who { name, start, .. } = &report.who;
                write!(f, "{name} (start {start}) -> agent: I have revision {}", report.holding.revision)?;
                report.answer.as_ref().map_or(Ok(()), |a| {
                    let Stamp { term, number } = a.stamp;
                    write!(f, ", {} order {term}.{number} (revision {})", outcome(&a.outcome), a.revision)
                })
            }
            Packet::Down { name, message } => {
                write!(f, "agent -> i{name}: ")?;
                match message {
                    ToInstance::Welcome(w) => {
                        write!(
                            f,
                            "welcome start {} as incarnation {}, term {}",
                            w.start, w.incarnation, w.term
                        )
                    }
                    ToInstance::Order(o) => {
                        let Stamp { term, number } = o.stamp;
                        write!(f, "order {term}.{number} for start {}: have revision {}", o.start, o.revision)
                    }
                    other => write!(f, "{other:?}"),
                }
            }
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Deliver { packet, agent, from } => {
                let late = if from.is_none() { " late" } else { "" };
                write!(f, "comes{late}: {packet}")?;
                if let (Packet::Up { .. }, true) = (&packet.0, *agent > 0) {
                    write!(f, " (agent {agent})")?;
                }
                Ok(())
            }
            Step::Keep(packet) => write!(f, "will come late or once more: {packet}"),
            Step::AgentTick(agent) => write!(f, "agent {agent}'s clock reaches its next deadline"),
            Step::InstanceTick(process) => write!(f, "process {process}'s clock reaches its next deadline"),
            Step::Take(process) => write!(f, "process {process} carries out the order that it was given"),
            Step::KillAgent => f.write_str("the agent is killed and started again"),
            Step::KillUnsaved(change) => {
                write!(f, "an operator pushes change {change}; the agent is killed before it is saved")
            }
            Step::Kill { process, keeps, backwards } => {
                let with = if *keeps { "what it kept" } else { "nothing kept" };
                let clock = if *backwards { ", its clock set back" } else { "" };
                write!(f, "process {process} is killed and started again with {with}{clock}")
            }
            Step::Push { change, base } => {
                write!(f, "an operator pushes change {change}, made on revision {base}")
            }
            Step::Stop(change) => write!(f, "an operator stops change {change}"),
            Step::Undo(change) => write!(f, "an operator takes change {change} back"),
            Step::Pass => f.write_str("time passes for all"),
        }
    }
}

fn rules() -> Rules {
    Rules {
        leases: Leases { lease: 2 * UNIT, grace: UNIT, memory: 1_000 * UNIT, most: 8 },
        pace: Pace { rate: u32::MAX, burst: u32::MAX, horizon: UNIT },
        every: UNIT,
    }
}

fn now() -> Time {
    Time::default()
}

fn edits(change: usize) -> Edits {
    // Two settings, so that half of a change can be told from all of it; one of them is set by both changes.
    let weight = Value::Weight(100 * (change as u32 + 1));
    let other = Key::Drain(format!("d{change}"));
    [(Key::Weight("w".into()), Some(weight)), (other, Some(Value::Drained(true)))].into()
}

impl Bounds {
    fn change(&self, number: usize, base: u64) -> Change {
        Change {
            id: format!("c{number}"),
            base,
            note: String::new(),
            select: Selector::default(),
            rollout: Policy {
                waves: self.waves.clone(),
                at_once: self.at_once,
                pause: UNIT,
                silence: 2 * UNIT,
                failures: self.failures,
                then: self.then,
                gate: None,
            },
            what: What::Set(edits(number)),
        }
    }

    fn all_possible(&self) -> Vec<Overlay> {
        let mut possible = vec![Overlay::default()];
        let mut at = 0;
        while let Some(former) = possible.get(at).cloned() {
            for change in 0..self.changes {
                let mut overlay = former.clone();
                overlay.apply(&edits(change));
                if !possible.contains(&overlay) {
                    possible.push(overlay);
                }
            }
            at += 1;
        }
        possible
    }

    fn process(&self, name: usize, start: u64, incarnation: u64, memory: Memory) -> Process {
        let who = Who { name: format!("i{name}"), start, incarnation };
        let real = memory.overlay.0.clone();
        let machine = Instance::new(0, who, Traits::default(), memory.clone()).away_after(1);
        let (taking, last, obeyed, obeyed_term) = Default::default();
        Process { name, machine, real, taking, memory, last, obeyed, obeyed_term }
    }

    /// The last agent's messages go out; its saves are made.
    fn perform(&self, world: &mut World, agent: usize, fleet: Fleet, out: Output) {
        let mut disk = Arc::clone(&world.agents[agent].disk);
        if !out.saves.is_empty() {
            let disk = Arc::make_mut(&mut disk);
            for (key, record) in out.saves {
                match record {
                    Some(record) => disk.insert(key, record),
                    None => disk.remove(&key),
                };
            }
        }
        world.agents[agent] = Agent::new(fleet, disk, Some(&world.agents[agent]), self.names());
        self.send_down(world, out.sends);
    }

    fn send_down(&self, world: &mut World, sends: Vec<(String, ToInstance)>) {
        for (name, message) in sends {
            let Some(name) = name.strip_prefix('i').and_then(|number| number.parse().ok()) else { continue };
            if let ToInstance::Renewed { .. } = message {
                // Its loss is that of the connection: heard at once.
                self.hear(world, name, &message);
            } else {
                world.insert(Packet::Down { name, message });
            }
        }
    }

    /// All processes of a name hear it, and those that it is not for take no notice.
    fn hear(&self, world: &mut World, name: usize, message: &ToInstance) {
        for at in 0..world.processes.len() {
            if world.processes[at].value.name == name {
                self.instance(world, at, Event::Message(message));
            }
        }
    }

    fn instance(&self, world: &mut World, at: usize, event: Event<'_>) {
        let mut process = (*world.processes[at].value).clone();
        let mut actions = Vec::new();
        process.machine.handle(0, event, 0, &mut actions);
        let name = process.name;
        for action in actions {
            match action {
                Action::Keep(memory) => process.memory = memory,
                Action::Take(order) => process.taking = Some(order),
                Action::Send(message) => world.insert(Packet::Up { name, message }),
                // These worlds lend nothing: see `lending`.
                Action::Lent(_) | Action::Lists(_) => {}
            }
        }
        world.processes[at] = Hashed::new(process);
    }

    /// The embedder's part: checks the order whole and has it in effect whole, or refuses it.
    fn take(&self, world: &mut World, at: usize) {
        let mut process = (*world.processes[at].value).clone();
        let Some(order) = process.taking.take() else { return };
        let fingerprint = order.overlay.fingerprint();
        let this = Some((order.change.clone(), order.revision, fingerprint));
        let start = process.machine.who().start;
        if process.last == this {
            world.broken = Some(format!("once: start {start} carries {} out twice", order.change));
        }
        if order.stamp < process.obeyed {
            world.broken =
                Some(format!("fenced: start {start} obeys {:?} after {:?}", order.stamp, process.obeyed));
        }
        if order.stamp.term < process.obeyed_term {
            let (term, after) = (order.stamp.term, process.obeyed_term);
            world.broken = Some(format!("fenced: start {start} obeys term {term} after term {after}"));
        }
        (process.last, process.obeyed) = (this, order.stamp);
        process.obeyed_term = process.obeyed_term.max(order.stamp.term);
        let refused = self.refuses.contains(&process.name) && !order.overlay.0.is_empty();
        let outcome = if refused {
            if planted(Planted::HalfTaken)
                && let Some((key, value)) = order.overlay.0.first_key_value()
            {
                process.real.insert(key.clone(), value.clone());
            }
            let problem = "is not known to this instance".into();
            Outcome::Refused(Problem { field: "set.weight/w".into(), problem })
        } else {
            process.real = order.overlay.0.clone();
            Outcome::Applied
        };
        world.processes[at] = Hashed::new(process);
        self.instance(world, at, Event::Taken(outcome));
    }

    fn deliver(&self, world: &mut World, packet: &Packet, agent: usize) {
        match packet {
            Packet::Up { message, .. } => {
                let mut fleet = (*world.agents[agent].fleet).clone();
                let out = fleet.receive(now(), message, 0);
                if let ToAgent::Report(Report { who, .. }) = message
                    && out.sends.iter().any(|(_, message)| matches!(message, ToInstance::Renewed { .. }))
                    && fleet.membership().get(&who.name).is_none_or(|member| member.start != who.start)
                {
                    let Who { name, start, .. } = who;
                    world.broken =
                        Some(format!("one name: start {start} is heard as {name}, which another one holds"));
                }
                self.perform(world, agent, fleet, out);
            }
            Packet::Down { name, message } => self.hear(world, *name, message),
        }
    }

    fn agent_tick(&self, world: &mut World, agent: usize, by: Micros) {
        let mut fleet = (*world.agents[agent].fleet).clone();
        let out = fleet.tick(Time { now: by, wall: 0 });
        fleet.rebase(by);
        self.perform(world, agent, fleet, out);
    }

    fn instance_tick(&self, world: &mut World, at: usize) {
        let mut process = (*world.processes[at].value).clone();
        process.machine.rebase(process.machine.next());
        world.processes[at] = Hashed::new(process);
        self.instance(world, at, Event::Timer);
    }

    fn kill_agent(&self, world: &mut World) {
        let Some(last) = world.agents.last().cloned() else { return };
        let mut records: BTreeMap<String, Record> = (*last.disk).clone();
        if planted(Planted::ForgetRollout) {
            records.remove("rollout");
        }
        match Fleet::restore(rules(), now(), 0, records) {
            Err(problem) => world.broken = Some(format!("lasting: {problem}")),
            Ok((fleet, out)) => {
                if self.ghost && world.agents.len() == 1 {
                    world.agents.push(last);
                }
                let agent = world.agents.len() - 1;
                self.perform(world, agent, fleet, out);
            }
        }
    }

    fn kill(&self, world: &mut World, at: usize, keeps: bool, backwards: bool) {
        let former = Arc::clone(&world.processes[at].value);
        let start = former.machine.who().start;
        world.starts[former.name] += 1;
        let incarnation = if backwards { 1 } else { former.machine.who().incarnation + 1 };
        let memory = if keeps { former.memory.clone() } else { Memory::default() };
        let mut process = self.process(former.name, world.starts[former.name], incarnation, memory);
        process.obeyed_term = if keeps { former.obeyed_term } else { 0 };
        // What was sent to it comes over a connection that it no longer has.
        let other = |packet: &Packet| match packet {
            Packet::Down { message, .. } => message.start() != start,
            Packet::Up { .. } => true,
        };
        world.net.remove(&(at, false));
        world.late.retain(|packet, _| other(packet) || packet.name() != former.name);
        world.processes[at] = Hashed::new(process);
    }

    fn push(&self, world: &mut World, change: usize, base: u64, save: bool) {
        let agent = world.agents.len() - 1;
        let document = world.pushed[change].clone().unwrap_or_else(|| self.change(change, base));
        let mut fleet = (*world.agents[agent].fleet).clone();
        let (done, out) = fleet.push(now(), document.clone(), By::default());
        if !save {
            return self.send_down(world, out.sends);
        }
        self.perform(world, agent, fleet, out);
        if let Ok(accepted) = done {
            let former = world.accepted.iter().find(|former| former.0 == change);
            if former.is_some_and(|former| former.1 != accepted.revision) {
                world.broken =
                    Some(format!("lasting: change {change} was accepted twice, as different revisions"));
            }
            if former.is_none() {
                world.accepted.push((change, accepted.revision));
            }
            world.pushed[change] = Some(document);
        }
    }

    fn names(&self) -> usize {
        self.processes.iter().max().map_or(0, |most| most + 1)
    }

    fn fleet<'w>(&self, world: &'w World) -> &'w Fleet {
        let last = world.agents.len() - 1;
        &world.agents[last].fleet
    }

    /// Invariants that hold in every state.
    fn check_world(&self, world: &World) -> Result<(), String> {
        if let Some(broken) = &world.broken {
            return Err(broken.clone());
        }
        let fleet = self.fleet(world);
        let possible = self.possible.get_or_init(|| self.all_possible());
        for process in world.processes.iter().map(|process| &process.value) {
            let who = process.machine.who();
            let start = who.start;
            if process.real != process.machine.overlay().0 {
                return Err(format!("whole: start {start} says that it has what is not in effect"));
            }
            if !possible.iter().any(|overlay| overlay.0 == process.real) {
                return Err(format!("whole: start {start} has half of a change"));
            }
            let revision = process.machine.overlay().0.len() as u64;
            if revision > 0 && process.memory.revision > fleet.newest() && !self.ghost {
                let revision = process.memory.revision;
                return Err(format!(
                    "lasting: start {start} has revision {revision}, which the agent does not know"
                ));
            }
            let in_session = |other: &Process| {
                other.name == process.name
                    && other.machine.session() == Session::In
                    && other.machine.who().incarnation == who.incarnation
            };
            if in_session(process)
                && world.processes.iter().filter(|other| in_session(&other.value)).count() > 1
            {
                return Err(format!(
                    "one name: two processes are {} under incarnation {}",
                    who.name, who.incarnation
                ));
            }
            self.check_record(fleet, process)?;
        }
        if let Some(rollout) = fleet.rollout() {
            let sent = rollout.targets.values().filter(|target| target.step == TargetStep::Sent).count();
            if sent > self.at_once as usize {
                return Err(format!("waves: {sent} instances are under way at once"));
            }
            let through = |wave: u32| rollout.targets.values().all(|t| t.wave > wave || t.step.is_final());
            let begun = |t: &crate::rollout::Target| {
                !matches!(t.step, TargetStep::Pending | TargetStep::Failed(Reason::NotReached))
            };
            if rollout.targets.values().any(|t| t.wave > 0 && begun(t) && !through(t.wave - 1)) {
                return Err("waves: a wave has begun before the one before it was through".into());
            }
        }
        for (change, revision) in &world.accepted {
            let id = format!("c{change}");
            let under_way = fleet.rollout().map(|rollout| (&rollout.change.id, rollout.revision));
            let mut known = fleet.history().map(|entry| (&entry.change.id, entry.revision)).chain(under_way);
            if !known.any(|known| known == (&id, *revision)) {
                return Err(format!("lasting: {id} was accepted as revision {revision} and is not known"));
            }
        }
        Ok(())
    }

    /// What the agent has recorded of an instance's answer is what the instance made of it.
    fn check_record(&self, fleet: &Fleet, process: &Process) -> Result<(), String> {
        let who = process.machine.who();
        let holder = fleet.membership().get(&who.name).filter(|member| member.start == who.start);
        let line = fleet.line(&who.name).filter(|_| holder.is_some());
        let Some((line, outcome)) = line.and_then(|line| Some((line, line.answer.as_ref()?))) else {
            return Ok(());
        };
        let stamp = Stamp { term: fleet.term(), number: line.number };
        let said = process.machine.answer().filter(|answer| answer.stamp == stamp);
        let Some(said) = said else {
            let has = process.machine.stamp();
            return Err(format!(
                "true: the agent has recorded that {} {outcome:?} order {stamp:?}, which it has never met: it is at {has:?}",
                who.name
            ));
        };
        let held = *outcome != Outcome::Applied || process.machine.holding().overlay == said.overlay;
        if said.outcome != *outcome || !held {
            return Err(format!(
                "true: the agent has recorded {outcome:?} of {}, which made otherwise of it",
                who.name
            ));
        }
        Ok(())
    }

    /// Whether all is at rest; then, whether all is as it should be.
    fn rest(&self, world: &World) -> Option<Result<(), String>> {
        let fleet = self.fleet(world);
        if fleet.rollout().is_some() {
            return None;
        }
        for process in world.processes.iter().map(|process| &process.value) {
            let who = process.machine.who();
            let member = fleet.membership().get(&who.name).filter(|m| m.presence == Presence::Alive)?;
            if process.taking.is_some() {
                return None;
            }
            if member.start != who.start {
                // Another process holds the name, and this one knows it.
                let holder = |other: &Process| other.machine.who().start == member.start;
                let held = world.processes.iter().any(|other| holder(&other.value));
                if held && process.machine.session() != Session::In {
                    continue;
                }
                return None;
            }
            let line = fleet.line(&who.name)?;
            if process.machine.session() != Session::In
                || !fleet.in_line(&who.name)? && !matches!(line.answer, Some(Outcome::Refused(_)))
                || line.holding.overlay != process.machine.holding().overlay
            {
                return None;
            }
        }
        Some(self.check_rest(world, fleet))
    }

    fn check_rest(&self, world: &World, fleet: &Fleet) -> Result<(), String> {
        for entry in fleet.history() {
            let targets = fleet.results(entry.revision).cloned().unwrap_or_default();
            if let Some((name, target)) = targets.iter().find(|(_, target)| !target.step.is_final()) {
                return Err(format!("rest: {} has ended, {name} is {}", entry.change.id, target.step));
            }
        }
        let Some(last) = fleet.history().last() else { return Ok(()) };
        let What::Set(edits) = &last.change.what else { return Ok(()) };
        let targets = fleet.results(last.revision).cloned().unwrap_or_default();
        for process in world.processes.iter().map(|process| &process.value) {
            let who = process.machine.who();
            let has = edits.iter().all(|(key, value)| process.real.get(key) == value.as_ref());
            let holder = fleet.membership().get(&who.name).is_some_and(|member| member.start == who.start);
            let Some(target) = targets.get(&who.name).filter(|_| holder) else { continue };
            let refused =
                matches!(fleet.line(&who.name).and_then(|l| l.answer.as_ref()), Some(Outcome::Refused(_)));
            if last.end == End::TakenBack && has {
                return Err(format!("rest: {} was taken back and {} still has it", last.change.id, who.name));
            }
            if last.end != End::TakenBack && target.step == TargetStep::Applied && !has && !refused {
                return Err(format!(
                    "rest: {} is recorded as applied and {} does not have it",
                    last.change.id, who.name
                ));
            }
            if matches!(target.step, TargetStep::Refused(_)) && has {
                return Err(format!(
                    "rest: {} is recorded as refused and {} has it",
                    last.change.id, who.name
                ));
            }
        }
        Ok(())
    }
}

impl World {
    /// Puts a message on its way. One to a start that is no more is lost.
    fn insert(&mut self, packet: Packet) {
        let start = match &packet {
            Packet::Up { message: ToAgent::Register(wish), .. } => wish.who.start,
            Packet::Up { message: ToAgent::Report(report), .. } => report.who.start,
            Packet::Down { message, .. } => message.start(),
        };
        let to = |process: &Hashed<Process>| {
            process.value.name == packet.name() && process.value.machine.who().start == start
        };
        if let Some(at) = self.processes.iter().position(to) {
            let hash = packet.hash_without_name();
            self.net.insert((at, matches!(packet, Packet::Up { .. })), (packet, hash));
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Step = Step;

    fn initial(&self) -> World {
        let (fleet, out) = match Fleet::restore(rules(), now(), 0, []) {
            Ok(restored) => restored,
            Err(problem) => panic!("an empty disk makes sense: {problem}"),
        };
        let agent = Agent::new(fleet.clone(), Arc::default(), None, self.names());
        // Instances are alike only where none has a turn of its own.
        assert!(!self.alike || self.waves.is_empty() && self.at_once as usize >= self.names());
        let mut starts = vec![0; self.names()];
        let processes: Vec<Hashed<Process>> = self
            .processes
            .iter()
            .map(|name| {
                starts[*name] += 1;
                Hashed::<Process>::new(self.process(*name, starts[*name], 1, Memory::default()))
            })
            .collect();
        let mut world = World {
            agents: vec![agent],
            processes,
            net: BTreeMap::new(),
            late: BTreeMap::new(),
            left: Left {
                agent_kills: self.agent_kills,
                kills: self.kills,
                late: self.late,
                repeats: self.repeats,
                commands: self.commands,
                cuts: self.cuts,
                agent_ticks: self.agent_ticks,
            },
            pushed: vec![None; self.changes],
            accepted: Vec::new(),
            starts,
            broken: None,
        };
        self.perform(&mut world, 0, fleet, out);
        if self.settled {
            while let Some(step) = self.fair(&world) {
                world = self.apply(&world, &step);
            }
        }
        world
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        let newest = world.agents.len() - 1;
        let coming = world.net.iter().map(|(from, (packet, _))| (packet, Some(*from)));
        for (packet, from) in coming.chain(world.late.keys().map(|packet| (packet, None))) {
            let shown = || Box::new(PacketShown(packet.clone()));
            let agents = match packet {
                Packet::Up { .. } => 0..world.agents.len(),
                Packet::Down { .. } => 0..1,
            };
            steps.extend(agents.map(|agent| Step::Deliver { packet: shown(), agent, from }));
            if world.left.late > 0 && from.is_some() && !world.late.contains_key(packet) {
                steps.push(Step::Keep(shown()));
            }
        }
        for (at, process) in world.processes.iter().enumerate() {
            let process = &process.value;
            if process.taking.is_some() {
                steps.push(Step::Take(at));
            }
            if world.left.cuts > 0 || !process.machine.goes_away() {
                steps.push(Step::InstanceTick(at));
            }
            if world.left.kills > 0 {
                steps.push(Step::Kill { process: at, keeps: true, backwards: false });
                steps.push(Step::Kill { process: at, keeps: false, backwards: true });
            }
        }
        if world.left.agent_ticks > 0 {
            let ticks = |agent: &usize| world.agents[*agent].fleet.next(0).is_some_and(|at| at < 100 * UNIT);
            steps.extend((0..=newest).filter(ticks).map(Step::AgentTick));
        }
        if world.left.agent_kills > 0 {
            steps.push(Step::KillAgent);
        }
        for change in 0..self.changes {
            let accepted = world.accepted.iter().any(|accepted| accepted.0 == change);
            if !accepted {
                let current = self.fleet(world).newest();
                let stale = (current > 0 && world.left.repeats > 0).then_some(0);
                for base in [Some(current), stale].into_iter().flatten() {
                    steps.push(Step::Push { change, base });
                }
                if planted(Planted::SendBeforeSave) && world.left.agent_kills > 0 {
                    steps.push(Step::KillUnsaved(change));
                }
            } else {
                if world.left.repeats > 0 {
                    steps.push(Step::Push { change, base: 0 });
                }
                if world.left.commands > 0 {
                    steps.extend([Step::Stop(change), Step::Undo(change)]);
                }
            }
        }
        steps
    }

    fn apply(&self, world: &World, step: &Step) -> World {
        let mut world = world.clone();
        match step {
            Step::Deliver { packet, agent, from } => {
                match from {
                    Some(from) => drop(world.net.remove(from)),
                    None => drop(world.late.remove(&packet.0)),
                }
                self.deliver(&mut world, &packet.0, *agent);
            }
            Step::Keep(packet) => {
                world.left.late -= 1;
                world.late.insert(packet.0.clone(), packet.0.hash_without_name());
            }
            Step::AgentTick(agent) => {
                world.left.agent_ticks -= 1;
                if let Some(by) = world.agents[*agent].fleet.next(0) {
                    self.agent_tick(&mut world, *agent, by);
                }
            }
            Step::InstanceTick(at) => {
                world.left.cuts -= u8::from(world.processes[*at].value.machine.goes_away());
                self.instance_tick(&mut world, *at);
            }
            Step::Take(at) => self.take(&mut world, *at),
            Step::KillAgent => {
                world.left.agent_kills -= 1;
                self.kill_agent(&mut world);
            }
            Step::KillUnsaved(change) => {
                world.left.agent_kills -= 1;
                let base = self.fleet(&world).newest();
                self.push(&mut world, *change, base, false);
                self.kill_agent(&mut world);
            }
            Step::Kill { process, keeps, backwards } => {
                world.left.kills -= 1;
                self.kill(&mut world, *process, *keeps, *backwards);
            }
            Step::Push { change, base } => {
                if world.accepted.iter().any(|accepted| accepted.0 == *change)
                    || *base < self.fleet(&world).newest()
                {
                    world.left.repeats -= 1;
                }
                self.push(&mut world, *change, *base, true);
            }
            Step::Stop(change) | Step::Undo(change) => {
                world.left.commands -= 1;
                let agent = world.agents.len() - 1;
                let mut fleet = (*world.agents[agent].fleet).clone();
                let id = format!("c{change}");
                let (_, out) = match step {
                    Step::Stop(_) => fleet.stop(now(), &id, &By::default()),
                    _ => fleet.undo(now(), &id, By::default()),
                };
                self.perform(&mut world, agent, fleet, out);
            }
            Step::Pass => {
                let fleet = &self.fleet(&world);
                let agent = world.agents.len() - 1;
                let timers = world.processes.iter().map(|process| process.value.machine.next());
                let Some(by) = timers.chain(fleet.next(0)).min() else { return world };
                for at in 0..world.processes.len() {
                    let mut process = (*world.processes[at].value).clone();
                    let due = process.machine.next() <= by;
                    process.machine.rebase(by);
                    world.processes[at] = Hashed::new(process);
                    if due {
                        self.instance(&mut world, at, Event::Timer);
                    }
                }
                self.agent_tick(&mut world, agent, by);
            }
        }
        world
    }

    fn hash(&self, world: &World) -> u128 {
        // One part for each name, with all that is found at it; alike ones are put in order.
        let mut names: Vec<u64> = (0..self.names())
            .map(|name| {
                let agents: Vec<u64> = world.agents.iter().map(|agent| agent.by_name[name]).collect();
                let own = |at: &usize| world.processes[*at].value.name == name;
                let processes: Vec<usize> = (0..world.processes.len()).filter(own).collect();
                let each = |at: &usize| {
                    let coming = |up: bool| world.net.get(&(*at, up)).map(|packet| packet.1);
                    (world.processes[*at].hash, coming(false), coming(true))
                };
                let processes: Vec<_> = processes.iter().map(each).collect();
                let late = world.late.iter().filter(|(packet, _)| packet.name() == name);
                let late: Vec<u64> = late.map(|(_, hash)| *hash).collect();
                hash_of((agents, processes, late, world.starts[name], self.refuses.contains(&name)))
            })
            .collect();
        if self.alike {
            names.sort_unstable();
        }
        let common: Vec<u64> = world.agents.iter().map(|agent| agent.common).collect();
        let whole = (common, names, world.left, &world.pushed, &world.accepted, &world.broken);
        let half = |seed: u64| FixedState::with_seed(seed).hash_one(&whole);
        u128::from(half(3)) << 64 | u128::from(half(4))
    }

    fn check(&self, world: &World) -> Result<(), String> {
        self.check_world(world)?;
        self.rest(world).unwrap_or(Ok(()))
    }

    fn fair(&self, world: &World) -> Option<Step> {
        if self.rest(world).is_some() {
            return None;
        }
        if let Some(at) = world.processes.iter().position(|process| process.value.taking.is_some()) {
            return Some(Step::Take(at));
        }
        let agent = world.agents.len() - 1;
        let coming = world.net.iter().map(|(from, (packet, _))| (packet, Some(*from)));
        match coming.chain(world.late.keys().map(|packet| (packet, None))).next() {
            Some((packet, from)) => {
                Some(Step::Deliver { packet: Box::new(PacketShown(packet.clone())), agent, from })
            }
            None => Some(Step::Pass),
        }
    }
}

/// The worlds that are explored at each landing.
pub fn shipped() -> Vec<Bounds> {
    let usual = || Bounds { cuts: 0, ..Bounds::default() };
    let all = || Bounds { waves: vec![], at_once: 3, agent_ticks: 0, ..usual() };
    vec![
        Bounds {
            name: "one instance, both killed once",
            processes: vec![0],
            kills: 1,
            agent_kills: 1,
            late: 1,
            ..usual()
        },
        Bounds { name: "the agent killed at any step", agent_kills: 1, late: 1, ..usual() },
        Bounds { name: "an instance killed at any step", kills: 1, ..usual() },
        Bounds { name: "a connection cut at any step", cuts: 1, ..usual() },
        Bounds { name: "one instance refuses, taken back", refuses: vec![1], agent_kills: 1, ..usual() },
        Bounds {
            name: "one instance refuses, stopped",
            refuses: vec![1],
            then: Then::Stop,
            late: 1,
            ..usual()
        },
        Bounds { name: "stopped or taken back by hand at any step", commands: 1, agent_kills: 1, ..usual() },
        Bounds {
            name: "an agent that does not know that it was replaced",
            processes: vec![0],
            agent_kills: 1,
            ghost: true,
            late: 1,
            agent_ticks: 0,
            ..usual()
        },
        Bounds {
            name: "two processes with one name",
            processes: vec![0, 0],
            settled: false,
            cuts: 1,
            ..usual()
        },
        Bounds {
            name: "two changes, made on one revision, pushed again",
            processes: vec![0],
            changes: 2,
            repeats: 1,
            late: 1,
            agent_kills: 1,
            ..usual()
        },
        Bounds {
            name: "one at a time, the agent killed",
            waves: vec![],
            at_once: 1,
            agent_kills: 1,
            ..usual()
        },
        Bounds {
            name: "three alike, the agent killed",
            processes: vec![0, 1, 2],
            alike: true,
            agent_kills: 1,
            ..all()
        },
        Bounds { name: "three alike, one killed", processes: vec![0, 1, 2], alike: true, kills: 1, ..all() },
    ]
}

/// Larger ones, for a quiet hour.
pub fn large() -> Vec<Bounds> {
    let usual = Bounds::default;
    vec![
        Bounds {
            name: "one instance, everything",
            processes: vec![0],
            kills: 1,
            agent_kills: 1,
            late: 1,
            commands: 1,
            ..usual()
        },
        Bounds {
            name: "two instances, both sides killed",
            kills: 1,
            agent_kills: 1,
            late: 1,
            cuts: 0,
            ..usual()
        },
        Bounds {
            name: "an agent that does not know that it was replaced, cuts",
            processes: vec![0],
            agent_kills: 1,
            ghost: true,
            late: 1,
            kills: 1,
            cuts: 0,
            ..usual()
        },
        Bounds {
            name: "two processes with one name, both sides killed",
            processes: vec![0, 0],
            kills: 1,
            agent_kills: 1,
            settled: false,
            cuts: 0,
            ..usual()
        },
        Bounds {
            name: "two changes by two operators, stopped and taken back",
            changes: 2,
            repeats: 1,
            commands: 1,
            cuts: 0,
            late: 1,
            ..usual()
        },
        Bounds {
            name: "three instances in two waves, the agent killed twice",
            processes: vec![0, 1, 2],
            cuts: 0,
            agent_kills: 2,
            ..usual()
        },
    ]
}

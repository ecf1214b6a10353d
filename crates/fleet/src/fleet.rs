//! The agent, whole: who is there, what the fleet has settled on, the rollout under way, and what is ordered of each.

use crate::change::{Change, Layer, Layers, MOST_LAYERS, Policy, Selector, Then, What};
use crate::gate::Counts;
use crate::lending::{Desk, Lending};
use crate::membership::{Kept, Leases, Membership, Presence, Registered, Renewed};
use crate::protocol::{
    Answer, Holding, LONGEST_REASON, Order, Outcome, Register, Report, Stamp, ToAgent, ToInstance, Welcome,
    Who,
};
use crate::rollout::{Cause, End, Phase, Rollout, Side, Step, Target};
use crate::settings::{Fingerprint, Key, MOST_SETTINGS, Overlay};
use crate::spread::{Pace, Spread};
use crate::{Micros, Planted, Problem, planted};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// So many ended changes are remembered.
pub const HISTORY: usize = 64;
/// Of so many of them, what came of each instance.
pub const RESULTS: usize = 16;

/// Now, on both clocks. Nothing is decided by the wall's.
#[derive(Clone, Copy, Debug, Default)]
pub struct Time {
    /// Monotonic, in microseconds.
    pub now: Micros,
    /// Milliseconds since 1970, for people.
    pub wall: u64,
}

/// Who did something, and when by the wall's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct By {
    /// The name in the certificate.
    pub who: String,
    /// Milliseconds since 1970.
    pub at: u64,
}

/// Figures of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Leases of instances.
    pub leases: Leases,
    /// How fast they may register.
    pub pace: Pace,
    /// How often they report, in microseconds; at most a third of the lease.
    pub every: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { leases: Leases::default(), pace: Pace::default(), every: 3_000_000 }
    }
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The change.
    pub change: Change,
    /// The revision that it made.
    pub revision: u64,
    /// The revision that taking it back made.
    pub back_revision: Option<u64>,
    /// Who pushed it, and when.
    pub by: By,
    /// How it ended.
    pub end: End,
    /// Why, where it did not simply end.
    pub why: Option<String>,
    /// When it ended: milliseconds since 1970.
    pub ended: u64,
}

/// What lasts, by its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Key `term`: the term of the agent that ran last.
    Term(u64),
    /// Key `settled`: the newest revision, and the layers.
    Settled(u64, Layers),
    /// Key `rollout`: the rollout under way, without its targets.
    Rollout(Box<Rollout>),
    /// Key `target/REVISION/NAME`.
    Target(Target),
    /// Key `member/NAME`.
    Member(Kept),
    /// Key `entry/REVISION`.
    Entry(Box<Entry>),
    /// Key `lending`: how long leases of fleet-wide limits may last that are out, in microseconds.
    Lending(Micros),
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// An instance's presence has changed.
    Presence(String, Presence),
    /// A start that holds no name wants one that another holds: name, its incarnation, the holder's.
    Rival(String, u64, u64),
    /// An instance answered: name, change, what came of it.
    Answered(String, String, Outcome),
    /// A rollout has come to another phase: its id, the phase, why.
    Rollout(String, Phase, Option<String>),
    /// An instance has heard of an agent of this later term: this one gives no orders any more.
    StoodDown(u64),
    /// Of fleet-wide limits.
    Lending(madderloom_quota::Note),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Presence(name, presence) => {
                write!(f, "{name} is {}", format!("{presence:?}").to_lowercase())
            }
            Note::Rival(name, incarnation, by) => write!(
                f,
                "two processes go by the name {name}: incarnation {incarnation} is turned away while {by} is there"
            ),
            Note::Answered(name, id, Outcome::Applied) => write!(f, "{name}: {id} applied"),
            Note::Answered(name, id, Outcome::Refused(problem)) => {
                write!(f, "{name}: {id} refused: {problem}")
            }
            Note::Rollout(id, phase, why) => {
                write!(f, "{id}: {phase:?}")?;
                why.as_ref().map_or(Ok(()), |why| write!(f, ": {why}"))
            }
            Note::StoodDown(term) => {
                write!(f, "an agent of term {term} is known to the instances: no more orders are given here")
            }
            Note::Lending(note) => note.fmt(f),
        }
    }
}

/// What a call asks for. The saves must be durable, all or none, before anything is sent or answered; where they
/// can't be, the machine must be thrown away and restored from what lasts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Records to be kept, or deleted, by key.
    pub saves: BTreeMap<String, Option<Record>>,
    /// Messages to instances. Those that can't be sent are dropped.
    pub sends: Vec<(String, ToInstance)>,
    /// For the log.
    pub notes: Vec<Note>,
}

/// A change was accepted, or had been before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its id.
    pub id: String,
    /// The revision that it makes, or taking it back does.
    pub revision: u64,
    /// Whether this only repeats what was asked for before.
    pub repeat: bool,
}

/// This agent gives no orders any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandDown {
    /// The term of the later agent.
    pub term: u64,
}

/// Why a change was not accepted. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Declined {
    /// It makes no sense.
    Invalid(Vec<Problem>),
    /// It was made on a revision that is no longer the newest.
    Conflict {
        /// The revision that it was made on.
        base: u64,
        /// The newest one.
        newest: u64,
        /// What has come since, oldest first: revision, id, who and when, and what it set.
        since: Vec<Since>,
        /// Whether there was more that is no longer remembered.
        more: bool,
    },
    /// Another rollout is under way.
    Busy {
        /// Its change.
        id: String,
        /// Who pushed it.
        by: By,
    },
    /// The id was used for another change.
    IdUsed {
        /// The revision that one made.
        revision: u64,
    },
    /// There is nothing of that name, or nothing can be done to it any more.
    Impossible(String),
    /// A later agent has taken over.
    StoodDown(StandDown),
}

/// A change that came between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Since {
    /// The revision that it made.
    pub revision: u64,
    /// Its id.
    pub id: String,
    /// Who pushed it, and when.
    pub by: By,
    /// How it ended; none while it is under way.
    pub end: Option<End>,
    /// What it set, a line each.
    pub difference: Vec<String>,
}

impl fmt::Display for Declined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Declined::Invalid(problems) => {
                let told: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&told.join("; "))
            }
            Declined::Conflict { base, newest, since, .. } => {
                write!(f, "made on revision {base}, but the fleet is at {newest}")?;
                for since in since {
                    write!(f, "; {} by {} made {}: ", since.id, since.by.who, since.revision)?;
                    f.write_str(&since.difference.join(", "))?;
                }
                Ok(())
            }
            Declined::Busy { id, by } => write!(f, "{id}, pushed by {}, is still rolling out", by.who),
            Declined::IdUsed { revision } => {
                write!(
                    f,
                    "the id was used for another change, which made revision {revision}; choose another one"
                )
            }
            Declined::Impossible(why) => f.write_str(why),
            Declined::StoodDown(StandDown { term }) => {
                write!(f, "an agent of term {term} has taken over; this one gives no orders any more")
            }
        }
    }
}

/// What is known of an instance beside its membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Line {
    issued: Option<Issued>,
    /// What it made of the last order; none while it has not answered.
    pub answer: Option<Outcome>,
    /// What it has in effect, by its last report.
    pub holding: Holding,
    /// Its requests within the last window.
    pub counts: Counts,
    /// The number of the last order of this term.
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Issued {
    change: String,
    revision: u64,
    overlay: Fingerprint,
    cause: Option<Cause>,
}

/// A record that can't have been written by this program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unsound {
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

/// The agent without its I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fleet {
    rules: Rules,
    term: u64,
    stood_down: Option<u64>,
    newest: u64,
    layers: Layers,
    rollout: Option<Rollout>,
    history: VecDeque<Entry>,
    results: BTreeMap<u64, BTreeMap<String, Target>>,
    membership: Membership,
    spread: Spread,
    lines: BTreeMap<String, Line>,
    /// The greatest order number of the lines that were dropped in this term; new ones begin above.
    numbers: u64,
    /// The phase of the rollout that was last told to the log.
    told: Option<Phase>,
    /// Lends fleet-wide limits, where the agent's file has any.
    desk: Option<Box<Desk>>,
    /// How long leases may last that are out.
    lent_for: Micros,
}

impl Fleet {
    /// The agent as its records say, in a new term. The output holds the term: it must last before the agent says
    /// anything to anyone. `above` is a term that the new one must be greater than.
    ///
    /// # Errors
    /// A record whose key and contents do not fit each other.
    pub fn restore(
        rules: Rules,
        time: Time,
        above: u64,
        records: impl IntoIterator<Item = (String, Record)>,
    ) -> Result<(Self, Output), Unsound> {
        let membership = Membership::new(rules.leases);
        let spread = Spread::new(rules.pace);
        let mut fleet = Fleet {
            rules,
            term: 0,
            stood_down: None,
            newest: 0,
            layers: Layers::default(),
            rollout: None,
            history: VecDeque::new(),
            results: BTreeMap::new(),
            membership,
            spread,
            lines: BTreeMap::new(),
            numbers: 0,
            told: None,
            desk: None,
            lent_for: 0,
        };
        let mut entries = BTreeMap::new();
        for (key, record) in records {
            let unsound = |problem: &str| Unsound { key: key.clone(), problem: problem.to_string() };
            match record {
                Record::Term(term) => fleet.term = term,
                Record::Lending(lasts) => fleet.lent_for = lasts,
                Record::Settled(newest, layers) => (fleet.newest, fleet.layers) = (newest, layers),
                Record::Rollout(rollout) => fleet.rollout = Some(*rollout),
                Record::Target(target) => {
                    let place = key.strip_prefix("target/").and_then(|rest| rest.split_once('/'));
                    let (revision, name) = place.ok_or_else(|| unsound("is no key of a target"))?;
                    let revision = revision.parse().map_err(|_| unsound("holds no revision"))?;
                    fleet.results.entry(revision).or_default().insert(name.to_string(), target);
                }
                Record::Member(kept) => {
                    let name = key.strip_prefix("member/").ok_or_else(|| unsound("is no key of a member"))?;
                    fleet.membership.restore(time.now, name.to_string(), kept);
                }
                Record::Entry(entry) => {
                    entries.insert(entry.revision, *entry);
                }
            }
        }
        fleet.history = entries.into_values().collect();
        if let Some(rollout) = &mut fleet.rollout {
            rollout.targets = fleet.results.remove(&rollout.revision).unwrap_or_default();
            rollout.resume(time.now);
        }
        fleet.term = fleet.term.max(above).saturating_add(1);
        let mut out = Output::default();
        out.saves.insert("term".into(), Some(Record::Term(fleet.term)));
        Ok((fleet, out))
    }

    /// Lends the limits of the agent's file from now on. To be called once, right after [`Fleet::restore`]; `id` is drawn
    /// at random. What the output saves must last before anything is lent.
    pub fn lend(&mut self, time: Time, file: Lending, id: u64) -> Output {
        let mut out = Output::default();
        if file.limits.is_empty() && self.lent_for == 0 {
            return out;
        }
        let who = madderloom_quota::Who { term: self.term, id };
        let lasts = file.lasts;
        let mut desk = Desk::new(time.now, who, file, self.lent_for, self.rules.every);
        desk.follow(time.now, &self.layers);
        self.desk = Some(Box::new(desk));
        // Those that a start after this one finds out are of this one or of those before it.
        self.lent_for = self.lent_for.max(lasts);
        out.saves.insert("lending".into(), Some(Record::Lending(self.lent_for)));
        out
    }

    /// Lends fleet-wide limits, where it has any and no later agent has taken over.
    pub fn lender(&self) -> Option<&madderloom_quota::Lender> {
        self.desk.as_ref().map(|desk| &desk.lender)
    }

    /// A message has come from an instance. `jitter` is a random number.
    pub fn receive(&mut self, time: Time, message: &ToAgent, jitter: u64) -> Output {
        let mut out = Output::default();
        match message {
            ToAgent::Register(wish) => self.register(time, wish, jitter, &mut out),
            ToAgent::Report(report) => self.report(time, report, &mut out),
        }
        out
    }

    /// Time has passed.
    pub fn tick(&mut self, time: Time) -> Output {
        let mut out = Output::default();
        for (name, presence) in self.membership.tick(time.now) {
            if self.membership.get(&name).is_none() {
                let number = self.lines.remove(&name).map_or(0, |line| line.number);
                self.numbers = self.numbers.max(number);
                out.saves.insert(format!("member/{name}"), None);
            } else {
                out.notes.push(Note::Presence(name, presence));
            }
        }
        self.advance(time, &mut out);
        if let Some(desk) = &mut self.desk {
            let words = desk.lender.tick(time.now);
            out.sends.extend(words.into_iter().map(|(name, lent)| (name, ToInstance::Lent(lent))));
        }
        self.note_lending(&mut out);
        out
    }

    fn note_lending(&mut self, out: &mut Output) {
        let Some(desk) = &mut self.desk else { return };
        let (notes, learned) = desk.notes();
        if learned && self.lent_for != desk.lasts() {
            // What was lent for longer is over.
            self.lent_for = desk.lasts();
            out.saves.insert("lending".into(), Some(Record::Lending(self.lent_for)));
        }
        out.notes.extend(notes.into_iter().map(Note::Lending));
    }

    /// When [`Fleet::tick`] is to be called next, if nothing else happens before.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let rollout = self.rollout.as_ref().and_then(|rollout| rollout.next(now));
        let lending = self.desk.as_ref().and_then(|desk| desk.lender.next(now));
        self.membership.next().into_iter().chain(rollout).chain(lending).min()
    }

    fn register(&mut self, time: Time, wish: &Register, jitter: u64, out: &mut Output) {
        let Who { name, start, .. } = &wish.who;
        if wish.who.check().and_then(|()| wish.traits.check()).is_err() {
            return;
        }
        self.hear(wish.term, out);
        let (start, term, every) = (*start, self.term, self.rules.every);
        if let Err(again) = self.spread.admit(time.now, name, jitter) {
            return out.sends.push((name.clone(), ToInstance::Later { start, again }));
        }
        let known = self.membership.len();
        let answer = match self.membership.register(time.now, wish) {
            Registered::Welcome { incarnation, new } => {
                if new {
                    // Stamps are never used twice within a term: a start may lose its name and win it back.
                    let former = self.lines.get(name).map_or(0, |line| line.number);
                    let number = former.max(self.numbers);
                    self.lines.insert(name.clone(), Line { number, ..Line::default() });
                }
                if self.membership.len() <= known && new {
                    self.drop_lines_without_member(out);
                }
                if let Some(member) = self.membership.get(name) {
                    out.saves.insert(format!("member/{name}"), Some(Record::Member(member.kept())));
                }
                out.notes.push(Note::Presence(name.clone(), Presence::Joining));
                let spread = self.spread.span(self.membership.len());
                ToInstance::Welcome(Welcome { start, incarnation, term, every, spread })
            }
            Registered::Superseded { by, again } => {
                out.notes.push(Note::Rival(name.clone(), wish.who.incarnation, by));
                ToInstance::Superseded { start, by, again }
            }
            Registered::Full => ToInstance::Later { start, again: self.rules.pace.horizon },
        };
        out.sends.push((name.clone(), answer));
    }

    /// A name that was forgotten to make room leaves its line and its record.
    fn drop_lines_without_member(&mut self, out: &mut Output) {
        let (membership, numbers) = (&self.membership, &mut self.numbers);
        self.lines.retain(|name, line| {
            let known = membership.get(name).is_some();
            if !known {
                *numbers = line.number.max(*numbers);
                out.saves.insert(format!("member/{name}"), None);
            }
            known
        });
    }

    /// An instance has heard of an agent of this term.
    fn hear(&mut self, term: u64, out: &mut Output) {
        if term > self.term && self.stood_down.is_none_or(|known| known < term) {
            self.stood_down = Some(term);
            self.desk = None;
            out.notes.push(Note::StoodDown(term));
        }
    }

    fn report(&mut self, time: Time, report: &Report, out: &mut Output) {
        let Who { name, start, .. } = &report.who;
        let start = *start;
        if report.who.check().is_err() {
            return;
        }
        self.hear(report.term, out);
        let was = match self.membership.renew(time.now, &report.who) {
            Renewed::Renewed(was) => was,
            Renewed::Unknown => return out.sends.push((name.clone(), ToInstance::Unknown { start })),
            Renewed::Superseded { by, again } => {
                out.notes.push(Note::Rival(name.clone(), report.who.incarnation, by));
                return out.sends.push((name.clone(), ToInstance::Superseded { start, by, again }));
            }
        };
        if was != Presence::Alive {
            out.notes.push(Note::Presence(name.clone(), Presence::Alive));
        }
        out.sends.push((name.clone(), ToInstance::Renewed { start, term: self.term }));
        if let Some(desk) = &mut self.desk {
            let zone = self.membership.get(name).map_or("", |member| &member.traits.zone);
            let lent = desk.report(time.now, zone, report);
            out.sends.extend(lent.map(|lent| (name.clone(), ToInstance::Lent(lent))));
            self.note_lending(out);
        }
        let line = self.lines.entry(name.clone()).or_default();
        line.holding = report.holding.clone();
        line.counts = report.counts;
        if let Some(answer) = &report.answer {
            self.take_answer(name, answer, out);
        }
        self.advance(time, out);
        // What a rollout has just made due was sent already.
        if !out.sends.iter().any(|(to, message)| to == name && matches!(message, ToInstance::Order(_))) {
            self.bring(name, out);
        }
    }

    fn take_answer(&mut self, name: &str, answer: &Answer, out: &mut Output) {
        let Some(line) = self.lines.get_mut(name) else { return };
        let Some(issued) = &line.issued else { return };
        let stamp = Stamp { term: self.term, number: line.number };
        let answers = answer.stamp == stamp || planted(Planted::OldAnswers);
        if !answers || answer.overlay != issued.overlay || line.answer.is_some() {
            return;
        }
        let mut outcome = answer.outcome.clone();
        if let Outcome::Refused(problem) = &mut outcome {
            shorten(&mut problem.field);
            shorten(&mut problem.problem);
        }
        line.answer = Some(outcome.clone());
        out.notes.push(Note::Answered(name.to_string(), issued.change.clone(), outcome.clone()));
        let (cause, revision) = (issued.cause, issued.revision);
        if let Some(rollout) = &mut self.rollout {
            match (cause, &outcome) {
                (Some(cause), outcome) => rollout.answered(name, cause, outcome),
                (None, Outcome::Refused(problem)) if revision == rollout.revision => {
                    rollout.refused_later(name, problem);
                }
                _ => {}
            }
        }
    }

    /// What an instance is to have, and the change and the revision that this brings.
    fn wanted(&self, name: &str) -> (Overlay, String, u64) {
        let Some(member) = self.membership.get(name) else { return Default::default() };
        let settled = |layers: &Layers| {
            let (overlay, newest) = layers.overlay(name, &member.traits);
            let (id, revision) =
                newest.map_or((String::new(), 0), |layer| (layer.id.clone(), layer.revision));
            (overlay, id, revision)
        };
        match &self.rollout {
            Some(rollout) if rollout.side(name) == Side::New => {
                let overlay = match &rollout.change.what {
                    What::Set(edits) => {
                        let mut overlay = settled(&self.layers).0;
                        overlay.apply(edits);
                        overlay
                    }
                    What::Undo(id) => settled(&self.layers.without(id)).0,
                };
                (overlay, rollout.change.id.clone(), rollout.revision)
            }
            _ => settled(&self.layers),
        }
    }

    /// Orders of an instance what it is to have, unless it has that, has refused it, or is not there.
    fn bring(&mut self, name: &str, out: &mut Output) {
        let alive = self.membership.get(name).filter(|member| member.presence == Presence::Alive);
        let (Some(member), None) = (alive, self.stood_down) else { return };
        let start = member.start;
        let (overlay, change, revision) = self.wanted(name);
        let fingerprint = overlay.fingerprint();
        let cause = self.rollout.as_ref().and_then(|rollout| rollout.cause(name));
        let line = self.lines.entry(name.to_string()).or_default();
        let current = line.issued.as_ref().is_some_and(|issued| {
            issued.overlay == fingerprint
                && issued.revision == revision
                && (cause.is_none() || issued.cause == cause)
        });
        let holds = line.holding.overlay == fingerprint;
        let again = match (&line.answer, current) {
            (None, true) => true,
            (Some(Outcome::Refused(_)), true) => return,
            (Some(Outcome::Applied), true) if holds => return,
            (_, false) if holds && cause.is_none() => return,
            _ => false,
        };
        if !again {
            line.number = line.number.saturating_add(1);
            line.answer = None;
            line.issued = Some(Issued { change: change.clone(), revision, overlay: fingerprint, cause });
        }
        let stamp = Stamp { term: self.term, number: line.number };
        let order = Order { start, stamp, change, revision, overlay };
        out.sends.push((name.to_string(), ToInstance::Order(order)));
    }

    /// Drives the rollout on, and sends what has become due by it.
    fn advance(&mut self, time: Time, out: &mut Output) {
        if self.stood_down.is_some() {
            return;
        }
        let Some(rollout) = &mut self.rollout else { return };
        let (membership, lines) = (&self.membership, &self.lines);
        let counts = |name: &str| {
            let alive = membership.get(name).is_some_and(|member| member.presence == Presence::Alive);
            lines.get(name).filter(|_| alive).map(|line| line.counts)
        };
        if rollout.advance(time.now, self.newest.saturating_add(1), &counts) {
            self.newest = self.newest.saturating_add(1);
            out.saves.insert("settled".into(), Some(Record::Settled(self.newest, self.layers.clone())));
        }
        self.save_rollout(time, out);
    }

    /// Writes down what has changed of the rollout, settles it where it has ended, and sends what is due.
    fn save_rollout(&mut self, time: Time, out: &mut Output) {
        let Some(rollout) = &mut self.rollout else { return };
        let touched = std::mem::take(&mut rollout.touched);
        for name in &touched.targets {
            if let Some(target) = rollout.targets.get(name) {
                let key = format!("target/{:020}/{name}", rollout.revision);
                out.saves.insert(key, Some(Record::Target(Target { until: None, ..target.clone() })));
            }
        }
        if touched.head {
            out.saves.insert("rollout".into(), Some(Record::Rollout(Box::new(rollout.head()))));
        }
        if self.told != Some(rollout.phase) {
            self.told = Some(rollout.phase);
            out.notes.push(Note::Rollout(rollout.change.id.clone(), rollout.phase, rollout.why.clone()));
        }
        let names: Vec<String> = if touched.head && matches!(rollout.phase, Phase::Back | Phase::Ended(_)) {
            rollout.targets.keys().cloned().collect()
        } else {
            touched.targets.into_iter().collect()
        };
        if let Phase::Ended(end) = rollout.phase {
            self.settle(time, end, out);
        }
        for name in names {
            self.bring(&name, out);
        }
    }

    fn settle(&mut self, time: Time, end: End, out: &mut Output) {
        let Some(rollout) = self.rollout.take() else { return };
        self.told = None;
        let Rollout { change, revision, back_revision, by, why, targets, .. } = rollout;
        match (&change.what, end) {
            (What::Set(edits), End::Done | End::Stopped) => {
                let applied = |target: &Target| target.step == Step::Applied;
                let select = match end {
                    End::Done => change.select.clone(),
                    _ => Selector::named(
                        targets.iter().filter(|(_, t)| applied(t)).map(|(name, _)| name.clone()),
                    ),
                };
                // Nobody took it: a selector without names would take all.
                if end == End::Done || !select.names.is_empty() {
                    self.layers.add(Layer { revision, id: change.id.clone(), select, edits: edits.clone() });
                }
            }
            (What::Undo(id), End::Done) => self.layers = self.layers.without(id),
            // An undo is neither stopped nor taken back.
            (What::Undo(_), _) | (What::Set(_), End::TakenBack) => {}
        }
        if let Some(desk) = &mut self.desk {
            desk.follow(time.now, &self.layers);
        }
        let entry = Entry { change, revision, back_revision, by, end, why, ended: time.wall };
        out.saves.insert("rollout".into(), None);
        out.saves.insert("settled".into(), Some(Record::Settled(self.newest, self.layers.clone())));
        out.saves.insert(format!("entry/{revision:020}"), Some(Record::Entry(Box::new(entry.clone()))));
        self.results.insert(revision, targets);
        self.history.push_back(entry);
        if self.results.len() > RESULTS
            && let Some((revision, targets)) = self.results.pop_first()
        {
            out.saves.extend(targets.into_keys().map(|name| (format!("target/{revision:020}/{name}"), None)));
        }
        if self.history.len() > HISTORY
            && let Some(entry) = self.history.pop_front()
        {
            out.saves.insert(format!("entry/{:020}", entry.revision), None);
        }
    }

    /// An operator pushes a change. Its id names it for good; it must have been made on the newest revision.
    ///
    /// # Errors
    /// Why it was not accepted; nothing has changed then.
    pub fn push(&mut self, time: Time, change: Change, by: By) -> (Result<Accepted, Declined>, Output) {
        let mut out = Output::default();
        let done = self.try_push(time, change, by, &mut out);
        (done, out)
    }

    fn try_push(
        &mut self,
        time: Time,
        change: Change,
        by: By,
        out: &mut Output,
    ) -> Result<Accepted, Declined> {
        if let Some((former, revision)) = self.find(&change.id) {
            // The same on another base is still what was asked for before, and accepted.
            if *former != (Change { base: former.base, ..change.clone() }) {
                return Err(Declined::IdUsed { revision });
            }
            return Ok(Accepted { id: change.id, revision, repeat: true });
        }
        if let Some(term) = self.stood_down {
            return Err(Declined::StoodDown(StandDown { term }));
        }
        let mut problems = change.check();
        if let What::Undo(_) = change.what {
            problems.push(Problem { field: "what".into(), problem: "a change is undone by its id".into() });
        }
        if !problems.is_empty() {
            return Err(Declined::Invalid(problems));
        }
        if change.base != self.newest {
            return Err(self.conflict(change.base));
        }
        self.begin(time, change, by, out)
    }

    fn begin(&mut self, time: Time, change: Change, by: By, out: &mut Output) -> Result<Accepted, Declined> {
        if let What::Set(edits) = &change.what {
            let known = |limit: &str| self.desk.as_ref().is_some_and(|desk| desk.knows(limit));
            let unknown: Vec<&str> = edits
                .keys()
                .filter_map(|key| match key {
                    Key::Fleet { limit, .. } if !known(limit) => Some(limit.as_str()),
                    _ => None,
                })
                .collect();
            if !unknown.is_empty() {
                let field = "set".into();
                let problem = format!("the agent's file has no fleet limit {}", unknown.join(", "));
                return Err(Declined::Invalid(vec![Problem { field, problem }]));
            }
        }
        if let Some(rollout) = &self.rollout {
            return Err(Declined::Busy { id: rollout.change.id.clone(), by: rollout.by.clone() });
        }
        if self.layers.0.len() >= MOST_LAYERS {
            let why = format!(
                "{MOST_LAYERS} changes are in effect one over the other; undo some, or push one for all instances that \
                 sets anew what they set"
            );
            return Err(Declined::Impossible(why));
        }
        let select = match &change.what {
            What::Set(_) => &change.select,
            What::Undo(id) => &self.layers.undoable(id).map_err(Declined::Impossible)?.select,
        };
        let (mut chosen, mut others) = (BTreeMap::new(), BTreeMap::new());
        for (name, member) in self.membership.iter().filter(|(_, member)| member.presence != Presence::Gone) {
            let counts = self.lines.get(name).map(|line| line.counts).unwrap_or_default();
            if let What::Set(edits) = &change.what
                && select.matches(name, &member.traits)
            {
                let mut overlay = self.layers.overlay(name, &member.traits).0;
                overlay.apply(edits);
                if overlay.0.len() > MOST_SETTINGS {
                    let why = format!(
                        "{name} would have {} settings; there are {MOST_SETTINGS} at most",
                        overlay.0.len()
                    );
                    return Err(Declined::Impossible(why));
                }
            }
            let group = if select.matches(name, &member.traits) { &mut chosen } else { &mut others };
            group.insert(name.clone(), counts);
        }
        self.newest = self.newest.saturating_add(1);
        let accepted = Accepted { id: change.id.clone(), revision: self.newest, repeat: false };
        self.rollout = Some(Rollout::new(change, self.newest, by, chosen, others));
        out.saves.insert("settled".into(), Some(Record::Settled(self.newest, self.layers.clone())));
        self.advance(time, out);
        Ok(accepted)
    }

    /// An operator stops a rollout: those that have the change keep it.
    pub fn stop(&mut self, time: Time, id: &str, by: &By) -> (Result<Accepted, Declined>, Output) {
        let mut out = Output::default();
        (self.try_stop(time, id, by, &mut out), out)
    }

    fn try_stop(&mut self, time: Time, id: &str, by: &By, out: &mut Output) -> Result<Accepted, Declined> {
        if let Some(term) = self.stood_down {
            return Err(Declined::StoodDown(StandDown { term }));
        }
        let Some(rollout) = self.rollout.as_mut().filter(|rollout| rollout.change.id == id) else {
            return Err(match self.find(id) {
                Some(_) => Declined::Impossible(format!("{id} has ended; undo it if it is to go")),
                None => Declined::Impossible(format!("no change {id} is known")),
            });
        };
        if rollout.is_undo() {
            let why = format!(
                "{id} takes a change back, which is not stopped halfway; push that change anew instead"
            );
            return Err(Declined::Impossible(why));
        }
        let repeat = !rollout.stop(format!("stopped by {}", by.who));
        let accepted = Accepted { id: id.to_string(), revision: rollout.revision, repeat };
        self.advance(time, out);
        Ok(accepted)
    }

    /// An operator takes a change back, be it under way or settled on.
    pub fn undo(&mut self, time: Time, id: &str, by: By) -> (Result<Accepted, Declined>, Output) {
        let mut out = Output::default();
        (self.try_undo(time, id, by, &mut out), out)
    }

    fn try_undo(&mut self, time: Time, id: &str, by: By, out: &mut Output) -> Result<Accepted, Declined> {
        if let Some(term) = self.stood_down {
            return Err(Declined::StoodDown(StandDown { term }));
        }
        if let Some(rollout) = self.rollout.as_mut().filter(|rollout| rollout.change.id == id) {
            if rollout.is_undo() {
                return Err(Declined::Impossible(format!(
                    "{id} takes a change back; push that one anew instead"
                )));
            }
            let next = self.newest.saturating_add(1);
            let taken = rollout.take_back(time.now, next, format!("taken back by {}", by.who));
            let revision = rollout.back_revision.unwrap_or(rollout.revision);
            if taken {
                self.newest = next;
                out.saves.insert("settled".into(), Some(Record::Settled(self.newest, self.layers.clone())));
            }
            self.advance(time, out);
            return Ok(Accepted { id: id.to_string(), revision, repeat: !taken });
        }
        let undone = |what: &What| matches!(what, What::Undo(of) if of == id);
        if let Some(rollout) = self.rollout.as_ref().filter(|rollout| undone(&rollout.change.what)) {
            let Rollout { change, revision, .. } = rollout;
            return Ok(Accepted { id: change.id.clone(), revision: *revision, repeat: true });
        }
        let former =
            self.history.iter().rev().find(|entry| entry.change.id == id || undone(&entry.change.what));
        if let Some(entry) = former
            && (entry.end == End::TakenBack || undone(&entry.change.what))
        {
            let revision = entry.back_revision.unwrap_or(entry.revision);
            return Ok(Accepted { id: entry.change.id.clone(), revision, repeat: true });
        }
        self.layers.undoable(id).map_err(Declined::Impossible)?;
        let policy = Policy {
            waves: Vec::new(),
            at_once: u32::MAX,
            pause: 0,
            failures: u32::MAX,
            then: Then::Stop,
            gate: None,
            ..Policy::default()
        };
        let change = Change {
            id: format!("undo-{}-{id}", self.newest.saturating_add(1))
                .chars()
                .take(crate::settings::LONGEST_NAME)
                .collect(),
            base: self.newest,
            note: String::new(),
            select: Selector::default(),
            rollout: policy,
            what: What::Undo(id.to_string()),
        };
        self.begin(time, change, by, out)
    }

    fn find(&self, id: &str) -> Option<(&Change, u64)> {
        let rollout = self.rollout.iter().map(|rollout| (&rollout.change, rollout.revision));
        let history = self.history.iter().map(|entry| (&entry.change, entry.revision));
        rollout.chain(history).find(|(change, _)| change.id == id)
    }

    fn conflict(&self, base: u64) -> Declined {
        let ended = self.history.iter().map(|e| (&e.change, e.revision, e.back_revision, &e.by, Some(e.end)));
        let under_way = self.rollout.iter().map(|r| (&r.change, r.revision, r.back_revision, &r.by, None));
        let since: Vec<Since> = ended
            .chain(under_way)
            .filter(|(_, revision, back, ..)| back.unwrap_or(*revision) > base)
            .map(|(change, revision, _, by, end)| {
                let (id, by) = (change.id.clone(), by.clone());
                Since { revision, id, by, end, difference: difference(change) }
            })
            .collect();
        let oldest = since.first().map_or(self.newest + 1, |since| since.revision);
        let more = oldest > base.saturating_add(1);
        Declined::Conflict { base, newest: self.newest, since, more }
    }

    /// The term of this agent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The later term that has been heard of, if one has.
    pub fn stood_down(&self) -> Option<u64> {
        self.stood_down
    }

    /// The newest revision.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// What the fleet has settled on.
    pub fn layers(&self) -> &Layers {
        &self.layers
    }

    /// The rollout under way.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// Changes that have ended, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.history.iter()
    }

    /// What came of each instance for an ended change, while that is remembered.
    pub fn results(&self, revision: u64) -> Option<&BTreeMap<String, Target>> {
        self.results.get(&revision)
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What is known of an instance beside its membership.
    pub fn line(&self, name: &str) -> Option<&Line> {
        self.lines.get(name)
    }

    /// Whether an instance has what it is to have. None if it is not known.
    pub fn in_line(&self, name: &str) -> Option<bool> {
        let line = self.lines.get(name)?;
        Some(line.holding.overlay == self.wanted(name).0.fingerprint())
    }

    /// Hashes for the explorer: of what names no instance, and of what is found at each name.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn parts(&self) -> (u64, BTreeMap<String, u64>) {
        use foldhash::quality::FixedState;
        use std::hash::{BuildHasher, Hash};
        fn hash(value: impl Hash) -> u64 {
            FixedState::with_seed(5).hash_one(value)
        }
        let Fleet { term, stood_down, newest, history, told, numbers, spread, .. } = self;
        let layers = self.layers.0.iter().map(|layer| {
            let mut layer = layer.clone();
            layer.select.names.clear();
            layer
        });
        let head = self.rollout.as_ref().map(|rollout| {
            let Rollout { change, revision, back_revision, by, phase, why, watch, targets, .. } = rollout;
            (change, revision, back_revision, by, phase, why, watch, targets.len())
        });
        let layers: Vec<Layer> = layers.collect();
        let common = hash((term, stood_down, newest, history, told, numbers, spread, layers, head));
        let names = self.membership.iter().map(|(name, _)| name).chain(self.lines.keys());
        let mut parts = BTreeMap::new();
        for name in names {
            let rollout = self.rollout.as_ref();
            let own = (
                self.membership.get(name),
                self.lines.get(name),
                rollout.and_then(|rollout| rollout.targets.get(name)),
                rollout.and_then(|rollout| rollout.others.get(name)),
            );
            let results: Vec<_> = self.results.iter().map(|(at, of)| (at, of.get(name))).collect();
            let layers: Vec<bool> =
                self.layers.0.iter().map(|layer| layer.select.names.contains(name)).collect();
            parts.insert(name.clone(), hash((own, results, layers)));
        }
        (common, parts)
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.membership.rebase(by);
        self.spread.rebase(by);
        self.rollout.iter_mut().for_each(|rollout| rollout.rebase(by));
    }
}

/// What a change sets, a line each.
pub fn difference(change: &Change) -> Vec<String> {
    match &change.what {
        What::Set(edits) => edits
            .iter()
            .map(|(key, value)| match value {
                Some(value) => format!("{key} = {value}"),
                None => format!("{key} as in each instance's file"),
            })
            .collect(),
        What::Undo(id) => vec![format!("takes {id} back")],
    }
}

fn shorten(text: &mut String) {
    if text.len() > LONGEST_REASON {
        let end = (0..=LONGEST_REASON).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
        text.truncate(end);
    }
}

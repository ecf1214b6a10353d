//! The judge: the four rules, audited on books of its own, whatever a policy claims.
//!
//! - *No dropped request*: each request that a live instance took gets one final answer, no later than
//!   [`crate::world::GRACE`] after its client's deadline, and nothing is sent for it once the instance ended it or
//!   was told of its end in an earlier turn.
//! - *No repeated effect*: what must not run twice is not sent again, nor refused, while an earlier attempt may have
//!   run; what is known for a repeat within a window is sent again only within it.
//! - *Safe drain*: nothing is sent to a server later than the drain grace after the instance was told that it drains
//!   or is gone, or counts as told because it neither watched nor asked.
//! - *Safe fail-back*: a cold server that falls over broke the rule if two thirds of the work that reached it came
//!   from instances that were told, or count as told, that it had started.
//!
//! The books of a request last until it and its attempts are over, and a while longer for the stories of what comes
//! after. Drivers tell the judge everything in the order in which it happens; what a driver itself gets wrong (a request
//! that ends twice, an attempt with two outcomes) comes out of [`Judge::finish`].

use crate::experiment::{Effect, Experiment};
use crate::record::Breach;
use crate::world::{ASK_WITHIN, World};
use foldhash::fast::FixedState;
use madderloom_balancer::{Micros, Outcome, RequestId, ServerEntry, ServerId, ServerState};
use madderloom_config_reader::Span;
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The rules, as results name them.
pub const RULES: [&str; 4] = [
    "dropped-request",
    "repeated-effect",
    "unsafe-drain",
    "unsafe-fail-back",
];

const DROPPED: usize = 0;
const REPEATED: usize = 1;
const DRAIN: usize = 2;
const FAIL_BACK: usize = 3;

/// Breaches of each rule whose stories are kept.
const STORIES: usize = 3;

/// Requests that are over and still remembered.
const PAST: usize = 4_096;

/// Arrivals at a fallen server that its story lists.
const LISTED_ARRIVALS: usize = 12;

const NEVER: Micros = Micros::MAX;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Served,
    Refused,
    Failed,
    Left,
    Overdue,
    Void,
}

#[derive(Clone, Debug)]
struct Sent {
    server: u32,
    at: Micros,
    timeout_at: Micros,
    outcome: Option<Outcome>,
    closed_at: Micros,
    cancelled_at: Micros,
    ran_at: Micros,
    ran_again: bool,
}

#[derive(Clone, Debug)]
struct Book {
    id: RequestId,
    ask: u64,
    instance: u32,
    class: u32,
    came: Micros,
    deadline: Micros,
    sent: SmallVec<[Sent; 1]>,
    out: u32,
    ended: Option<(Micros, Ending)>,
    told_over: Micros,
    /// The breach whose story this request's is.
    breach: Option<usize>,
}

impl Book {
    /// Whether the instance itself ended it.
    fn own_end(&self) -> bool {
        matches!(self.ended, Some((_, Ending::Refused | Ending::Failed)))
    }

    /// Whether nothing more is owed to it, and its instance knows that it is over.
    fn is_past(&self) -> bool {
        self.ended.is_some() && self.out == 0 && (self.own_end() || self.told_over != NEVER)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Told {
    leaves: Option<Micros>,
    started: Option<Micros>,
}

#[derive(Clone, Debug, Default)]
struct ServerBook {
    /// What discovery lists of it, since when.
    leaves: Option<Micros>,
    started: Option<(Micros, Micros)>,
    /// What reached it while it was cold: when, from whom, how much work.
    reached: VecDeque<(Micros, u32, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    watches: bool,
    asked: Micros,
    failed: bool,
}

/// The judge of one run.
pub struct Judge {
    names: Vec<String>,
    places: HashMap<ServerId, u32, FixedState>,
    classes: Vec<(String, Effect, Micros)>,
    drain_grace: Micros,
    fall: Micros,
    on_request: bool,
    books: HashMap<RequestId, Book, FixedState>,
    past: VecDeque<Book>,
    servers: Vec<ServerBook>,
    told: HashMap<(u32, u32), Told, FixedState>,
    contacts: Vec<Contact>,
    broken: Vec<Breach>,
    counts: [u64; 4],
    kept: [usize; 4],
    wrong: Option<String>,
}

/// What the judge found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The first breaches of each rule, with their stories.
    pub broken: Vec<Breach>,
    /// All breaches, counted by rule; rules that held are not in it.
    pub counts: BTreeMap<String, u64>,
    /// What the driver itself got wrong, if anything: a bug of the lab.
    pub wrong: Option<String>,
}

impl Judge {
    /// A judge of runs in this world.
    pub fn new(experiment: &Experiment, world: &World) -> Self {
        let allow = &experiment.instances.allow;
        let class = |c: &crate::experiment::Class| (c.name.clone(), c.effect, c.window.micros());
        Judge {
            names: world.servers.iter().map(|s| s.name.clone()).collect(),
            places: (0..)
                .zip(&world.servers)
                .map(|(at, s)| (s.id, at))
                .collect(),
            classes: experiment.classes.iter().map(class).collect(),
            drain_grace: allow.drain_grace.micros(),
            fall: allow.fall.micros(),
            on_request: experiment.discovery.on_request,
            books: HashMap::default(),
            past: VecDeque::new(),
            servers: vec![ServerBook::default(); world.servers.len()],
            told: HashMap::default(),
            contacts: vec![
                Contact {
                    watches: false,
                    asked: 0,
                    failed: false
                };
                world.instances.len()
            ],
            broken: Vec::new(),
            counts: [0; 4],
            kept: [0; 4],
            wrong: None,
        }
    }

    // ---- Requests ----

    /// An instance has taken a request; `ask` is the same for all tries of one client's request.
    pub fn asked(
        &mut self,
        now: Micros,
        id: RequestId,
        ask: u64,
        instance: u32,
        class: u32,
        deadline: Micros,
    ) {
        let book = Book {
            id,
            ask,
            instance,
            class,
            came: now,
            deadline,
            sent: SmallVec::new(),
            out: 0,
            ended: None,
            told_over: NEVER,
            breach: None,
        };
        if self.books.insert(id, book).is_some() {
            self.wrong(format!("request {id} came twice"));
        }
    }

    /// The policy has sent an attempt of a request. Gives back its number.
    pub fn sent(
        &mut self,
        now: Micros,
        instance: u32,
        id: RequestId,
        server: Option<u32>,
        timeout_at: Micros,
    ) -> u32 {
        let place = server.unwrap_or(u32::MAX);
        let Some(book) = self.books.get(&id) else {
            return self.sent_after_all(now, id, place);
        };
        let (class, number) = (book.class, book.sent.len() as u32);
        if book.own_end() || book.told_over < now {
            self.breach_of(now, DROPPED, id);
        }
        let book = &self.books[&id];
        let may_have_run = |s: &&Sent| !s.outcome.is_some_and(Outcome::proves_not_executed);
        if let Some(first) = book.sent.iter().find(may_have_run) {
            let (_, effect, window) = self.classes[class as usize];
            let repeats = match effect {
                Effect::Safe => false,
                Effect::Keyed => now > first.at.saturating_add(window),
                Effect::Unsafe => true,
            };
            if repeats {
                self.breach_of(now, REPEATED, id);
            }
        }
        if let Some(server) = server
            && self
                .knows_it_leaves(now, instance, server)
                .is_some_and(|since| now > since + self.drain_grace)
        {
            self.breach_of(now, DRAIN, id);
        }
        let sent = Sent {
            server: place,
            at: now,
            timeout_at,
            outcome: None,
            closed_at: NEVER,
            cancelled_at: NEVER,
            ran_at: NEVER,
            ran_again: false,
        };
        if let Some(book) = self.books.get_mut(&id) {
            book.sent.push(sent);
            book.out += 1;
        }
        number
    }

    fn sent_after_all(&mut self, now: Micros, id: RequestId, server: u32) -> u32 {
        let Some(at) = self.past.iter().rposition(|b| b.id == id) else {
            self.breach(now, DROPPED, || {
                vec![format!(
                    "request {id}, long over or never known, was sent again"
                )]
            });
            return 0;
        };
        let book = &self.past[at];
        if !book.own_end() && book.told_over >= now {
            return book.sent.len() as u32;
        }
        let mut story = self.story(book);
        story.push(format!(
            "{}  sent again, to {}, after its end",
            stamp(now),
            self.name(server)
        ));
        self.breach(now, DROPPED, || story);
        self.past[at].sent.len() as u32
    }

    /// The policy has called off an attempt.
    pub fn cancelled(&mut self, now: Micros, id: RequestId, attempt: u32) {
        if let Some(sent) = self
            .books
            .get_mut(&id)
            .and_then(|b| b.sent.get_mut(attempt as usize))
        {
            sent.cancelled_at = sent.cancelled_at.min(now);
        }
    }

    /// An attempt is over.
    pub fn closed(&mut self, now: Micros, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(book) = self.books.get_mut(&id) else {
            if outcome != Outcome::Moot {
                self.wrong(format!(
                    "attempt {attempt} of request {id}, which is over, has an outcome"
                ));
            }
            return;
        };
        let twice = match book.sent.get_mut(attempt as usize) {
            Some(sent) => {
                sent.closed_at = now;
                sent.outcome.replace(outcome).is_some()
            }
            None => true,
        };
        book.out = book.out.saturating_sub(1);
        if twice {
            self.wrong(format!(
                "attempt {attempt} of request {id} has two outcomes, or was never sent"
            ));
        }
        self.put_away(id);
    }

    /// A server ran an attempt, or knew it for a repeat.
    pub fn ran(&mut self, now: Micros, id: RequestId, attempt: u32, again: bool) {
        let book = match self.books.get_mut(&id) {
            Some(book) => Some(book),
            None => self.past.iter_mut().rev().take(64).find(|b| b.id == id),
        };
        if let Some(sent) = book.and_then(|b| b.sent.get_mut(attempt as usize)) {
            (sent.ran_at, sent.ran_again) = (now, again);
        }
    }

    /// The first answer has gone to the client.
    pub fn served(&mut self, now: Micros, id: RequestId) {
        self.end(now, id, Ending::Served);
    }

    /// The policy has refused a request that was not over.
    pub fn refused(&mut self, now: Micros, id: RequestId) {
        let harmful = self.books.get(&id).is_some_and(|book| {
            let effect = self.classes[book.class as usize].1;
            let may_have_run = |s: &Sent| !s.outcome.is_some_and(Outcome::proves_not_executed);
            effect == Effect::Unsafe && book.sent.iter().any(may_have_run)
        });
        if harmful {
            self.breach_of(now, REPEATED, id);
        }
        self.end(now, id, Ending::Refused);
    }

    /// The policy has failed a request that was not over.
    pub fn failed(&mut self, now: Micros, id: RequestId) {
        self.end(now, id, Ending::Failed);
    }

    /// The client has left.
    pub fn left(&mut self, now: Micros, id: RequestId) {
        self.end(now, id, Ending::Left);
    }

    /// The grace after the client's deadline has passed without a final answer.
    pub fn overdue(&mut self, now: Micros, id: RequestId) {
        self.breach_of(now, DROPPED, id);
        self.end(now, id, Ending::Overdue);
    }

    /// The instance was killed with this request in its hands: all of its attempts are void.
    pub fn void(&mut self, now: Micros, id: RequestId) {
        if self.books.get(&id).is_some_and(|b| b.ended.is_none()) {
            self.end(now, id, Ending::Void);
        }
        if let Some(book) = self.books.get_mut(&id) {
            (book.out, book.told_over) = (0, book.told_over.min(now));
        }
        self.put_away(id);
    }

    /// The instance was told that a request is over.
    pub fn told_over(&mut self, now: Micros, id: RequestId) {
        if let Some(book) = self.books.get_mut(&id) {
            book.told_over = book.told_over.min(now);
        }
        self.put_away(id);
    }

    // ---- Servers ----

    /// Discovery lists this of a server from now on.
    pub fn published(&mut self, now: Micros, listed: &ServerEntry) {
        let Some(server) = self.places.get(&listed.server) else {
            return;
        };
        let book = &mut self.servers[*server as usize];
        let leaves = listed.state != ServerState::Ready;
        book.leaves = if leaves {
            book.leaves.or(Some(now))
        } else {
            None
        };
        if let Some(started) = listed.started_at
            && book.started.is_none_or(|(last, _)| last != started)
        {
            book.started = Some((started, now));
        }
    }

    /// An instance was told this of servers; of all of them where it is a whole list.
    pub fn told(&mut self, now: Micros, instance: u32, listed: &[ServerEntry], whole: bool) {
        let mut missing = whole.then(|| vec![true; self.servers.len()]);
        for entry in listed {
            let Some(server) = self.places.get(&entry.server).copied() else {
                continue;
            };
            if let Some(missing) = &mut missing {
                missing[server as usize] = false;
            }
            let leaves = entry.state != ServerState::Ready;
            if !leaves && entry.started_at.is_none() {
                self.told.remove(&(instance, server));
                continue;
            }
            let told = self.told.entry((instance, server)).or_default();
            told.leaves = if leaves {
                told.leaves.or(Some(now))
            } else {
                None
            };
            told.started = entry.started_at.or(told.started);
        }
        for server in missing
            .into_iter()
            .flatten()
            .zip(0..)
            .filter(|(missing, _)| *missing)
            .map(|(_, at)| at)
        {
            let told = self.told.entry((instance, server)).or_default();
            told.leaves = told.leaves.or(Some(now));
        }
    }

    /// An instance has asked discovery, or its watch began (`watches`), ended or failed.
    pub fn contact(&mut self, now: Micros, instance: u32, watches: bool, failed: bool) {
        self.contacts[instance as usize] = Contact {
            watches,
            asked: now,
            failed,
        };
    }

    /// An instance has ended, and with it all it was told.
    pub fn killed(&mut self, now: Micros, instance: u32) {
        self.told.retain(|(of, _), _| *of != instance);
        // It is told of no end any more.
        let over = self
            .books
            .values()
            .filter(|b| b.instance == instance && b.ended.is_some());
        let mut over: Vec<RequestId> = over.map(|b| b.id).collect();
        over.sort_unstable();
        over.into_iter().for_each(|id| self.void(now, id));
        self.contacts[instance as usize] = Contact {
            watches: false,
            asked: now,
            failed: false,
        };
    }

    /// A request has reached a cold server.
    pub fn reached_cold(&mut self, now: Micros, server: u32, instance: u32, work: f64) {
        let reached = &mut self.servers[server as usize].reached;
        while reached.front().is_some_and(|(at, ..)| at + self.fall < now) {
            reached.pop_front();
        }
        reached.push_back((now, instance, work));
    }

    /// A cold server, started at `started`, fell over.
    pub fn fell(&mut self, now: Micros, server: u32, started: Micros) {
        let reached = std::mem::take(&mut self.servers[server as usize].reached);
        let knew = |instance: u32, at: Micros| self.knew_start(at, instance, server, started);
        let all: f64 = reached.iter().map(|(.., work)| work).sum();
        let knowing: f64 = reached
            .iter()
            .filter(|(at, instance, _)| knew(*instance, *at))
            .map(|(.., work)| work)
            .sum();
        if knowing * 3.0 < all * 2.0 {
            return;
        }
        let (name, part) = (self.name(server), 100.0 * knowing / all.max(1.0));
        let mut story = vec![
            format!("{}  {name} started, cold", stamp(started)),
            format!(
                "{}  {name} fell over: {} requests with {:.3} s of work in {:.3} s, {part:.0}% of it from instances that knew",
                stamp(now),
                reached.len(),
                all / 1e6,
                self.fall as f64 / 1e6,
            ),
        ];
        story.extend(reached.iter().rev().take(LISTED_ARRIVALS).rev().map(
            |(at, instance, work)| {
                let how = if knew(*instance, *at) {
                    "which knew"
                } else {
                    "which did not know"
                };
                format!(
                    "{}  {:.0} us of work from instance {instance}, {how}",
                    stamp(*at),
                    work
                )
            },
        ));
        self.breach(now, FAIL_BACK, || story);
    }

    /// Since when an instance knows, or counts as knowing, that a server drains or is gone.
    fn knows_it_leaves(&self, now: Micros, instance: u32, server: u32) -> Option<Micros> {
        let told = if self.told.is_empty() {
            None
        } else {
            self.told.get(&(instance, server))
        };
        if let Some(since) = told.and_then(|t| t.leaves) {
            return Some(since);
        }
        let listed = self.servers[server as usize].leaves?;
        self.counts_as_told(now, instance, listed)
    }

    fn knew_start(&self, at: Micros, instance: u32, server: u32, started: Micros) -> bool {
        let told = self.told.get(&(instance, server)).and_then(|t| t.started);
        let listed = self.servers[server as usize]
            .started
            .filter(|(which, _)| *which == started);
        told.is_some_and(|told| told >= started)
            || listed.is_some_and(|(_, since)| self.counts_as_told(at, instance, since).is_some())
    }

    /// Whoever neither watches nor asks counts as told, after a while, of what was listed before.
    fn counts_as_told(&self, now: Micros, instance: u32, listed: Micros) -> Option<Micros> {
        let contact = self.contacts[instance as usize];
        if !self.on_request || contact.watches {
            return None;
        }
        let patience = if contact.failed {
            4 * ASK_WITHIN
        } else {
            ASK_WITHIN
        };
        let since = (contact.asked + patience).max(listed + ASK_WITHIN);
        (now >= since).then_some(since)
    }

    // ---- Verdict ----

    /// All that was found. Requests that are still open have lost their driver, which is its mistake.
    pub fn finish(mut self) -> Verdict {
        let mut open: Vec<RequestId> = self
            .books
            .values()
            .filter(|b| b.ended.is_none())
            .map(|b| b.id)
            .collect();
        open.sort_unstable();
        if let Some(first) = open.first() {
            self.wrong(format!(
                "{} requests never ended, {first} the first",
                open.len()
            ));
        }
        let open: Vec<RequestId> = self.books.keys().copied().collect();
        for id in open {
            if let Some(book) = self.books.get(&id)
                && let Some(at) = book.breach
            {
                self.broken[at].story = self.story(book);
            }
        }
        let counts = RULES
            .iter()
            .zip(self.counts)
            .filter(|(_, count)| *count > 0);
        let counts = counts
            .map(|(rule, count)| (rule.to_string(), count))
            .collect();
        Verdict {
            broken: self.broken,
            counts,
            wrong: self.wrong,
        }
    }

    fn wrong(&mut self, what: String) {
        self.wrong.get_or_insert(what);
    }

    fn end(&mut self, now: Micros, id: RequestId, how: Ending) {
        let ended_before = match self.books.get_mut(&id) {
            Some(book) => book.ended.replace((now, how)).is_some(),
            None => true,
        };
        if ended_before {
            self.wrong(format!(
                "request {id} ended twice, the second time as {how:?}"
            ));
        }
        self.put_away(id);
    }

    /// What is over goes to the past.
    fn put_away(&mut self, id: RequestId) {
        if !self.books.get(&id).is_some_and(Book::is_past) {
            return;
        }
        let Some(book) = self.books.remove(&id) else {
            return;
        };
        if let Some(at) = book.breach {
            self.broken[at].story = self.story(&book);
        }
        if self.past.len() >= PAST {
            self.past.pop_front();
        }
        self.past.push_back(book);
    }

    fn breach_of(&mut self, now: Micros, rule: usize, id: RequestId) {
        let kept = self.broken.len();
        self.breach(now, rule, Vec::new);
        if self.broken.len() > kept
            && let Some(book) = self.books.get_mut(&id)
        {
            // The story is told once all of it has happened. One that is already told of stands for both.
            match book.breach {
                Some(first) => {
                    self.broken[kept].story = vec![format!("the same request as in breach {first}")]
                }
                None => book.breach = Some(kept),
            }
        }
    }

    fn breach(&mut self, now: Micros, rule: usize, story: impl FnOnce() -> Vec<String>) {
        self.counts[rule] += 1;
        if self.kept[rule] < STORIES {
            self.kept[rule] += 1;
            self.broken.push(Breach {
                rule: RULES[rule].into(),
                at: Span(now),
                story: story(),
            });
        }
    }

    fn name(&self, server: u32) -> &str {
        self.names
            .get(server as usize)
            .map_or("a server that is not there", |n| n)
    }

    /// Everything that happened to a request, earlier tries of the same client first.
    fn story(&self, book: &Book) -> Vec<String> {
        let earlier = self
            .past
            .iter()
            .filter(|b| b.ask == book.ask && b.came < book.came);
        let mut lines = Vec::new();
        for book in earlier.chain([book]) {
            let mut told = self.told_of(book);
            told.sort_by_key(|(at, _)| *at);
            lines.extend(
                told.into_iter()
                    .map(|(at, what)| format!("{}  {what}", stamp(at))),
            );
        }
        lines
    }

    fn told_of(&self, book: &Book) -> Vec<(Micros, String)> {
        let (class, effect, _) = &self.classes[book.class as usize];
        let (id, waits) = (book.id, (book.deadline - book.came) as f64 / 1e6);
        let came = format!(
            "request {id} ({class}, {effect:?}) came to instance {}; its client waits {waits:.3} s",
            book.instance
        );
        let mut told = vec![(book.came, came)];
        for (number, sent) in book.sent.iter().enumerate() {
            let server = self.name(sent.server);
            let until = stamp(sent.timeout_at.min(book.deadline));
            told.push((
                sent.at,
                format!("attempt {number} sent to {server}, to time out at {until}"),
            ));
            if sent.cancelled_at != NEVER {
                told.push((sent.cancelled_at, format!("attempt {number} called off")));
            }
            if sent.ran_at != NEVER {
                let how = if sent.ran_again {
                    "known for a repeat at"
                } else {
                    "run by"
                };
                told.push((sent.ran_at, format!("attempt {number} {how} {server}")));
            }
            if let Some(outcome) = sent.outcome {
                told.push((
                    sent.closed_at,
                    format!("attempt {number} over: {outcome:?}"),
                ));
            }
            let leaves = self
                .told
                .get(&(book.instance, sent.server))
                .and_then(|t| t.leaves);
            if let Some(since) = leaves {
                told.push((
                    since,
                    format!(
                        "instance {} told that {server} drains or is gone",
                        book.instance
                    ),
                ));
            }
        }
        if let Some((at, how)) = book.ended {
            told.push((at, format!("request {id} over: {how:?}")));
        }
        if book.told_over != NEVER {
            told.push((
                book.told_over,
                format!("instance {} told that it is over", book.instance),
            ));
        }
        told
    }
}

fn stamp(at: Micros) -> String {
    format!("{:>12.6} s", at as f64 / 1e6)
}

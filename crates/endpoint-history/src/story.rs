//! The story of a pool: its servers' lines, what is usual of them, and what departs from that.

mod class_mean;
mod server;

use crate::departure::{Anomaly, AnomalyPhase, Evidence, Fault, Subject};
use crate::detector::{Test, raised};
use crate::line::{EndpointEvent, Timeline};
use crate::usual::Baseline;
use crate::{Micros, S};
use class_mean::ClassMean;
use madderloom_balancer::{Outcome, ServerId};
use server::{AN_HOUR, Block, CLASSES, FallbackBaseline, Kind, LATE, Open, Server};
use std::collections::{BTreeMap, VecDeque};

/// Tests that one attempt takes part in, at most, and of which each may raise a false alarm.
const TESTS: f64 = 5.0;
/// Departures that are over and still told of.
const TOLD: usize = 256;
/// What is wrong with one server is held back for this long, for the same may be wrong with all.
const GATHER: Micros = S;
/// Where several servers may have the same, a part of the bound counts for each of them.
const TOGETHER: f64 = 5.0;
/// And only if it showed as lately as this.
const LATELY: Micros = 20 * S;
/// What goes on in one server when it is over for the others is told if it lasts so much longer.
const AFTER_ALL: Micros = 30 * S;
/// Updates of one departure are so far apart at least, and the share has changed by this factor.
const UPDATE: (Micros, f64) = (30 * S, 1.5);
/// A request is heavy from this multiple of the usual size on.
const HEAVY: f64 = 2.0;
/// Classes of which a mean is kept.
const MEANS: usize = 64;
/// A class's mean stands for this latency in a sketch, in microseconds.
const UNIT: f64 = 10_000.0;
/// The limit of a kind is stretched by this for a server of which nothing else is known: no two machines are alike.
const ALIKE: f64 = 1.5;
/// One attempt that is out tells of silence no more than this many limits of time do: no tail is known further.
const AWAITED: f64 = 3.0;
/// A story that was not looked at for so long has itself stood still, and knows nothing of others' silence.
const STOOD_STILL: Micros = 5 * S / 2;
/// A server that reports to hold under this part of what this instance alone has out there is wrong about itself...
const DISAGREES: f64 = 0.5;
/// ...if it goes on for so many reports, with so many out at least.
const REPORTS: (u32, u32) = (5, 3);

/// What can be set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Departures a day, of all servers together, that may be raised by chance alone. Above 0.
    pub false_alarms_a_day: f64,
    /// How long servers that left are remembered.
    pub remember_left: Micros,
    /// Servers remembered at most, those that left included.
    pub servers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            false_alarms_a_day: 0.1,
            remember_left: 3_600 * S,
            servers: 1_024,
        }
    }
}

/// An attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// Where.
    pub server: ServerId,
    /// The request's class.
    pub class: u32,
    /// How.
    pub outcome: Outcome,
    /// How long it took, in microseconds.
    pub elapsed: Micros,
    /// The request's size over the usual one; 1 where that is not known.
    pub size: f64,
}

/// A server as it is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Its zone.
    pub zone: u32,
    /// The kind of machine it is: what is usual of a kind stands in for what is not yet known of one of its servers.
    pub kind: u32,
    /// It has started anew since it was last listed.
    pub restarted: bool,
    /// Until then it may be slow because it is cold.
    pub cold_until: Micros,
}

/// How a server stands at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointGauges {
    /// Attempts of this instance that are out there.
    pub out: u32,
    /// The part of the interval that its region covers.
    pub region: f64,
    /// Requests that it last reported to hold, and how old that is.
    pub reported: Option<(f64, Micros)>,
}

/// The story of a pool's servers.
pub struct EndpointHistory {
    settings: Settings,
    servers: BTreeMap<ServerId, Server>,
    classes: Vec<ClassMean>,
    kinds: BTreeMap<u32, FallbackBaseline>,
    /// Attempts lately, as a rate a day: the tests' bounds follow from it.
    rate: f64,
    counted: (Micros, u32),
    bound: f64,
    late_bound: f64,
    /// Departures of a zone or the fleet that go on, with the servers that are in them.
    shared: Vec<(Anomaly, Fault)>,
    numbers: u64,
    told: VecDeque<Anomaly>,
    /// What was cleared since the last step, still to be said.
    cleared: Vec<Anomaly>,
    stepped: Micros,
}

impl EndpointHistory {
    /// A story that has not begun.
    pub fn new(settings: Settings) -> Self {
        let mut story = EndpointHistory {
            settings,
            servers: BTreeMap::new(),
            classes: Vec::new(),
            kinds: BTreeMap::new(),
            rate: 0.0,
            counted: (0, 0),
            bound: 0.0,
            late_bound: 0.0,
            shared: Vec::new(),
            numbers: 0,
            told: VecDeque::new(),
            cleared: Vec::new(),
            stepped: 0,
        };
        story.set_bounds();
        story
    }

    /// The most bytes that are kept for one server.
    pub const fn bytes_for_each_server() -> usize {
        let open = (4 + CLASSES) * (size_of::<Kind>() + size_of::<Open>());
        Timeline::BYTES
            + Baseline::BYTES
            + size_of::<Server>()
            + open
            + AN_HOUR.1 * size_of::<Micros>()
    }

    /// Goes on by other settings.
    pub fn change(&mut self, now: Micros, settings: Settings) {
        self.settings = settings;
        self.forget(now);
        self.set_bounds();
    }

    /// A server is listed. Of one that has started anew, what was usual before is so until its own answers say
    /// otherwise.
    pub fn listed(&mut self, now: Micros, id: ServerId, arrival: ListedEndpoint) {
        if !self.servers.contains_key(&id) && !self.make_room(now) {
            return;
        }
        let known = self.servers.contains_key(&id);
        let server = self
            .servers
            .entry(id)
            .or_insert_with(|| Server::new(now, arrival));
        (server.zone, server.kind, server.cold_until) =
            (arrival.zone, arrival.kind, arrival.cold_until);
        if server.left.take().is_some() || !known {
            server.line.note(now, EndpointEvent::Joined);
        }
        if arrival.restarted {
            server.line.note(now, EndpointEvent::Restarted);
            let line = std::mem::replace(&mut server.line, Timeline::new(now));
            let usual = &server.usual;
            let before = FallbackBaseline {
                failures: usual.failures().or(server.before.failures),
                limit: usual.limit().or(server.before.limit),
            };
            let raised = std::mem::take(&mut server.raised);
            *server = Server {
                line,
                raised,
                before,
                ..Server::new(now, arrival)
            };
        }
    }

    /// A server is gone from the list. It is remembered for a while.
    pub fn left(&mut self, now: Micros, id: ServerId) {
        if let Some(server) = self
            .servers
            .get_mut(&id)
            .filter(|server| server.left.is_none())
        {
            server.left = Some(now);
            server.line.note(now, EndpointEvent::Left);
        }
    }

    /// Something happened to a server.
    pub fn note(&mut self, now: Micros, id: ServerId, what: EndpointEvent) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.line.at(now);
            server.line.note(now, what);
        }
    }

    /// How a server stands now. To be told about once a second.
    pub fn gauge(&mut self, now: Micros, id: ServerId, gauge: EndpointGauges) {
        if let Some(server) = self.servers.get_mut(&id) {
            let step = server.line.at(now);
            (step.most_out, step.region) = (step.most_out.max(gauge.out), gauge.region as f32);
            let reported = gauge
                .reported
                .map(|(held, age)| (held as f32, u32::try_from(age).unwrap_or(u32::MAX)));
            step.reported = reported.or(step.reported);
        }
    }

    /// A request was turned away because of a server.
    pub fn turned_away(&mut self, now: Micros, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            let step = server.line.at(now);
            step.turned_away = step.turned_away.saturating_add(1);
        }
    }

    /// A server has just reported to hold so many requests, while this instance had so many out there.
    pub fn reported(&mut self, now: Micros, id: ServerId, held: f64, out: u32) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.line.at(now).reported = Some((held as f32, 0));
        let doubted = out >= REPORTS.1 && held < DISAGREES * f64::from(out);
        server.doubted = if doubted { server.doubted + 1 } else { 0 };
        let kind = Kind {
            fault: Fault::Disagrees,
            class: None,
        };
        if server.doubted >= REPORTS.0 {
            let test = Test::all_of(server.doubted, now);
            server.raise(now, id, kind, test, 0.0);
        } else if !doubted {
            self.clear(now, id, kind);
        }
    }

    /// An attempt ended, at this minute of the local day (0 to 1,439).
    pub fn attempt(&mut self, now: Micros, minute_of_day: u16, seen: &CompletedAttempt) {
        let (bound, late_bound) = (self.bound, self.late_bound);
        self.counted.1 = self.counted.1.saturating_add(1);
        let EndpointHistory {
            servers,
            classes,
            kinds,
            ..
        } = self;
        let Some(server) = servers.get_mut(&seen.server) else {
            return;
        };
        server.line.attempt(now, seen.outcome, seen.elapsed);
        let began = now.saturating_sub(seen.elapsed);
        let (lost, refused) = match seen.outcome {
            Outcome::Ok => (false, false),
            // Known already, as a silence that is over.
            Outcome::Timeout | Outcome::Reset if began < server.silent_until => return,
            Outcome::Error | Outcome::Reset | Outcome::Timeout => (true, false),
            Outcome::ConnectFailed | Outcome::Full => (false, true),
            // Called off or never sent: that tells nothing of the server.
            Outcome::Cancelled | Outcome::Moot => return,
        };
        server.last = now;
        let wrong = server.is_wrong(bound);
        let place = seen.class as usize;
        if classes.len() <= place && place < MEANS {
            classes.resize(place + 1, ClassMean::default());
        }
        let mut latency = None;
        if let Some(class) = classes
            .get_mut(place)
            .filter(|_| seen.outcome == Outcome::Ok)
        {
            latency = class.ratio(seen.elapsed).map(|ratio| ratio * UNIT);
            if !wrong && now >= server.cold_until {
                class.add(seen.elapsed);
            }
        }
        // What is usual is that of light requests; a heavy one is allowed as many times that as its size is.
        let learned = latency
            .filter(|_| seen.size < HEAVY)
            .map(|latency| latency as Micros);
        server
            .usual
            .learn(now, minute_of_day, lost || refused, learned, wrong);
        let usual = server.usual(kinds);
        let Some(share) = usual.failures else { return };
        let (limit, usual) = (usual.limit, share);
        let mut over = Vec::new();
        let all = |fault| Kind { fault, class: None };
        let refuses = all(Fault::RefusesWork);
        if server.open.contains_key(&refuses) {
            over.extend(
                server
                    .follow(now, refuses, refused, usual)
                    .then_some(refuses),
            );
        } else {
            server
                .refused
                .observe(now, refused, usual, raised(usual, true));
            if server.refused.exceeds(bound) {
                let test = server.refused;
                server.raise(now, seen.server, refuses, test, usual);
                server.refused.reset();
            }
        }
        if !refused {
            let loses = all(Fault::LosesAnswers);
            let of_class = Kind {
                class: Some(seen.class),
                ..loses
            };
            if let Some(count) = server.seen_by_class.get_mut(place) {
                *count = count.saturating_add(1);
            }
            if server.open.contains_key(&of_class) {
                // It is known to be so for this class, and tells nothing of the others.
            } else if server.open.contains_key(&loses) {
                over.extend(server.follow(now, loses, lost, usual).then_some(loses));
            } else {
                for large in [true, false] {
                    let test = &mut server.lost[usize::from(!large)];
                    test.observe(now, lost, usual, raised(usual, large));
                    if test.exceeds(bound) {
                        let test = *test;
                        let class = server.one_class();
                        server.raise(now, seen.server, Kind { class, ..loses }, test, usual);
                        server.lost = [Test::default(); 2];
                    }
                }
            }
            if let Some(test) = server.lost_by_class.get_mut(seen.class as usize) {
                let kind = Kind {
                    class: Some(seen.class),
                    ..loses
                };
                if server.open.contains_key(&kind) {
                    over.extend(server.follow(now, kind, lost, usual).then_some(kind));
                } else {
                    test.observe(now, lost, usual, raised(usual, true));
                    // A class is named only where it is it alone: the whole would have shown by its own test.
                    if test.exceeds(bound) && !server.lost[0].exceeds(bound / 2.0) {
                        let test = *test;
                        server.lost_by_class[seen.class as usize].reset();
                        server.raise(now, seen.server, kind, test, usual);
                    }
                }
            }
        }
        let is_warm = now >= server.cold_until;
        if let (Some(latency), Some(limit)) = (latency.filter(|_| is_warm), limit) {
            let heavy = usize::from(seen.size >= HEAVY);
            let late = latency > limit * if heavy == 1 { seen.size } else { 1.0 };
            let second = now / S;
            let block = &mut server.blocks[heavy];
            if block.second != second {
                let done = std::mem::replace(
                    block,
                    Block {
                        second,
                        ..Block::default()
                    },
                );
                over.extend(server.end_block(now, seen.server, heavy, done, late_bound));
            }
            let block = &mut server.blocks[heavy];
            block.all += 1;
            block.late += u32::from(late);
            if heavy == 0 {
                over.extend(server.add_to_span(now, seen.server, latency, late_bound, wrong));
            }
        }
        if !lost && !refused {
            over.extend(Some(all(Fault::Silent)).filter(|kind| server.open.contains_key(kind)));
        }
        for kind in over {
            self.clear(now, seen.server, kind);
        }
    }

    /// Attempts that are out at a server, each with its class and how long it has been: all that together may be too
    /// unlikely for one that is well. To be told about once a second.
    pub fn waiting(&mut self, now: Micros, id: ServerId, out: impl Iterator<Item = (u32, Micros)>) {
        let bound = self.bound;
        if now.saturating_sub(self.stepped) > STOOD_STILL {
            return;
        }
        let EndpointHistory {
            servers,
            classes,
            kinds,
            ..
        } = self;
        let Some(server) = servers
            .get_mut(&id)
            .filter(|server| now >= server.cold_until)
        else {
            return;
        };
        let Some(limit) = server.usual(kinds).limit else {
            return;
        };
        let mut longest = 0;
        let ages = out.filter_map(|(class, age)| {
            longest = longest.max(age);
            classes
                .get(class as usize)?
                .ratio(age)
                .map(|ratio| ratio * UNIT)
        });
        // Fewer than one in ten wait longer than the limit, fewer than one in a hundred than twice that, and so on.
        let waits = ages.map(|age| (age / limit).floor().min(AWAITED) * std::f64::consts::LN_10);
        let (unlikely, count) = waits.fold((0.0, 0), |(sum, count), wait| (sum + wait, count + 1));
        // Nothing at all has come while the oldest of them waited.
        let silent = longest >= S && now.saturating_sub(server.last) >= longest;
        if unlikely > bound && silent {
            let test = Test::all_of(count, server.last);
            server.raise(
                now,
                id,
                Kind {
                    fault: Fault::Silent,
                    class: None,
                },
                test,
                LATE.0,
            );
        }
    }

    /// Says what has changed: departures raised, updated, cleared. To be called about once a second.
    pub fn step(&mut self, now: Micros) -> Vec<Anomaly> {
        self.count(now);
        self.forget(now);
        self.stepped = now;
        let mut said = std::mem::take(&mut self.cleared);
        self.gather(now, &mut said);
        for (id, server) in &mut self.servers {
            for open in server.open.values_mut() {
                let ready = !open.said && now.saturating_sub(open.since) >= GATHER;
                if ready {
                    self.numbers += 1;
                    open.told.number = self.numbers;
                    let updated = (now, open.told.share, open.told.observations);
                    (open.said, open.told.at, open.updated) = (true, now, updated);
                    server.raised.push_back(now);
                    server.line.note(now, EndpointEvent::Departed(self.numbers));
                    said.push(open.told.clone());
                }
                let (last, share, _) = open.updated;
                let changed =
                    open.told.share > UPDATE.1 * share || open.told.share < share / UPDATE.1;
                if open.said && changed && now.saturating_sub(last) >= UPDATE.0 {
                    open.updated = (now, open.told.share, open.told.observations);
                    said.push(Anomaly {
                        at: now,
                        phase: AnomalyPhase::Updated,
                        ..open.told.clone()
                    });
                }
            }
            debug_assert!(
                server.open.len() <= 6 + CLASSES,
                "{id:?} has too many departures"
            );
        }
        self.remember(&said);
        said
    }

    /// Departures that go on.
    pub fn departures(&self) -> impl Iterator<Item = &Anomaly> {
        let open = self
            .servers
            .values()
            .flat_map(|server| server.open.values());
        let open = open.filter(|open| open.said).map(|open| &open.told);
        open.chain(self.shared.iter().map(|(departure, _)| departure))
    }

    /// What was said lately, the oldest first.
    pub fn told(&self) -> impl Iterator<Item = &Anomaly> {
        self.told.iter()
    }

    /// A server's line; none where it is not known.
    pub fn line(&self, id: ServerId) -> Option<&Timeline> {
        self.servers.get(&id).map(|server| &server.line)
    }

    /// The servers that are remembered, and since when those that left are gone.
    pub fn servers(&self) -> impl Iterator<Item = (ServerId, Option<Micros>)> {
        self.servers.iter().map(|(id, server)| (*id, server.left))
    }

    /// What the decision module may want to know: of each server that is likely half well.
    pub fn evidence(&self) -> impl Iterator<Item = Evidence> {
        self.servers
            .iter()
            .filter(|(_, server)| server.left.is_none())
            .filter_map(|(id, server)| {
                let usual = server.usual(&self.kinds).failures?;
                let part = |fault: Fault, test: &Test, bound: f64| {
                    let open = server.open.iter().find(|(kind, _)| kind.fault == fault);
                    match open {
                        Some((_, open)) => (open.told.share, 1.0),
                        None => (test.share(), test.confidence(bound)),
                    }
                };
                // Told of a class alone, or of all: the latter first.
                let class = server
                    .open
                    .keys()
                    .find(|kind| kind.fault == Fault::LosesAnswers)
                    .and_then(|k| k.class);
                let (loses, loses_by) = part(Fault::LosesAnswers, &server.lost[0], self.bound);
                let (refuses, refuses_by) = part(Fault::RefusesWork, &server.refused, self.bound);
                let slow = server
                    .open
                    .keys()
                    .any(|kind| matches!(kind.fault, Fault::Slow | Fault::SlowWhenHeavy));
                let confidence = loses_by.max(refuses_by).max(f64::from(u8::from(slow)));
                let shared = self
                    .shared
                    .iter()
                    .any(|(departure, _)| match departure.subject {
                        Subject::Fleet => true,
                        Subject::Zone(zone) => zone == server.zone,
                        Subject::Server(_) => false,
                    });
                (confidence > 0.25).then_some(Evidence {
                    server: *id,
                    class,
                    loses: if loses > usual { loses } else { 0.0 },
                    refuses: if refuses > usual { refuses } else { 0.0 },
                    slow,
                    confidence,
                    at: server.last,
                    shared,
                })
            })
    }

    fn remember(&mut self, said: &[Anomaly]) {
        self.told.extend(said.iter().cloned());
        let over = self.told.len().saturating_sub(TOLD);
        self.told.drain(..over);
    }

    fn clear(&mut self, now: Micros, id: ServerId, kind: Kind) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let Some(open) = server.open.remove(&kind) else {
            return;
        };
        // What is over is evidence of nothing new.
        if matches!(kind.fault, Fault::LosesAnswers | Fault::Silent) {
            (server.lost, server.lost_by_class) = (Default::default(), Default::default());
        }
        if kind.fault == Fault::Silent {
            server.silent_until = now;
        }
        // What was never said is taken back in silence.
        if open.said {
            server
                .line
                .note(now, EndpointEvent::Cleared(open.told.number));
            self.cleared.push(Anomaly {
                at: now,
                phase: AnomalyPhase::Cleared,
                ..open.told
            });
        }
    }

    /// The rate of attempts, by which the bounds are set.
    fn count(&mut self, now: Micros) {
        let (since, attempts) = self.counted;
        let passed = now.saturating_sub(since);
        if passed < 10 * S {
            return;
        }
        let rate = f64::from(attempts) * (86_400 * S) as f64 / passed as f64;
        // The first look has no beginning to count from.
        self.rate = if since == 0 {
            self.rate.max(f64::from(attempts))
        } else {
            0.9 * self.rate + 0.1 * rate
        };
        self.counted = (now, 0);
        self.set_bounds();
        self.classes.iter_mut().for_each(ClassMean::fade);
        self.compare(now);
    }

    /// What is usual of each kind: the medians of its servers that are well.
    fn compare(&mut self, now: Micros) {
        let mut kinds: BTreeMap<u32, [Vec<f64>; 2]> = BTreeMap::new();
        for server in self.servers.values() {
            let known = server.left.is_none() && server.open.is_empty() && now >= server.cold_until;
            if let Some(failures) = server.usual.failures().filter(|_| known) {
                let [all, limits] = kinds.entry(server.kind).or_default();
                all.push(failures);
                limits.extend(server.usual.limit());
            }
        }
        for (kind, [mut failures, mut limits]) in kinds {
            let median = |values: &mut Vec<f64>| {
                values.sort_by(f64::total_cmp);
                values.get(values.len() / 2).copied()
            };
            let limit = median(&mut limits).map(|limit| ALIKE * limit);
            self.kinds.insert(
                kind,
                FallbackBaseline {
                    failures: median(&mut failures),
                    limit,
                },
            );
        }
        let there: std::collections::BTreeSet<u32> =
            self.servers.values().map(|s| s.kind).collect();
        self.kinds.retain(|kind, _| there.contains(kind));
    }

    fn set_bounds(&mut self) {
        let allowed = self.settings.false_alarms_a_day.max(1e-6);
        // Half of the false alarms may come from failures, half from lateness. Where little was counted yet, a rate
        // of one a second stands in.
        self.bound = (2.0 * TESTS * self.rate.max(86_400.0) / allowed).ln();
        let servers = self.servers.len().max(1) as f64;
        self.late_bound = (2.0 * 3.0 * 86_400.0 * servers / allowed).ln();
    }

    /// Makes room for one more server: the one that left longest ago goes.
    fn make_room(&mut self, now: Micros) -> bool {
        self.forget(now);
        if self.servers.len() >= self.settings.servers {
            let left = self
                .servers
                .iter()
                .filter_map(|(id, server)| Some((server.left?, *id)));
            let Some((_, oldest)) = left.min() else {
                return false;
            };
            self.servers.remove(&oldest);
        }
        true
    }

    fn forget(&mut self, now: Micros) {
        let keep = self.settings.remember_left;
        self.servers
            .retain(|_, server| server.left.is_none_or(|at| now.saturating_sub(at) < keep));
    }

    /// What befalls a whole zone or half of the fleet is one departure, not one of each server.
    fn gather(&mut self, now: Micros, said: &mut Vec<Anomaly>) {
        let here = |server: &&Server| server.left.is_none();
        let there = self.servers.values().filter(here).count();
        for fault in [
            Fault::LosesAnswers,
            Fault::RefusesWork,
            Fault::Slow,
            Fault::Silent,
        ] {
            let kind = Kind { fault, class: None };
            let bound = if fault == Fault::Slow {
                self.late_bound
            } else {
                self.bound
            };
            // What points the same way in several servers at once needs less of it in each.
            let has = |server: &&Server| {
                let shows = || now.saturating_sub(server.last_sign(fault)) < LATELY;
                server.open.contains_key(&kind)
                    || server.weight(fault) > bound / TOGETHER && shows()
            };
            let bad = self.servers.values().filter(here).filter(has).count();
            let ripe = self.servers.values().filter(here).any(|server| {
                server
                    .open
                    .get(&kind)
                    .is_some_and(|open| !open.said && now.saturating_sub(open.since) >= GATHER)
            });
            let weights = self
                .servers
                .values()
                .filter(here)
                .filter(has)
                .map(|s| s.weight(fault));
            // The sum of as many tests is over this by chance about as rarely as one of them is over its bound.
            let ripe =
                ripe || weights.sum::<f64>() > bound + bad.saturating_sub(1) as f64 * bound.ln();
            let known = self.shared.iter().position(|(_, other)| *other == fault);
            if let Some(at) = known {
                // It goes on while a third of them is still bad.
                let subject = self.shared[at].0.subject;
                let inside = |server: &&Server| {
                    subject == Subject::Fleet || subject == Subject::Zone(server.zone)
                };
                let all = self.servers.values().filter(here).filter(inside).count();
                let still = self
                    .servers
                    .values()
                    .filter(here)
                    .filter(inside)
                    .filter(has)
                    .count();
                if 3 * still < all {
                    let (departure, _) = self.shared.remove(at);
                    said.push(Anomaly {
                        at: now,
                        phase: AnomalyPhase::Cleared,
                        ..departure
                    });
                    // Those that are still bad are so by themselves.
                    let held = self
                        .servers
                        .values_mut()
                        .flat_map(|server| server.open.iter_mut());
                    let held = held.filter(|(kind, open)| kind.fault == fault && !open.said);
                    held.for_each(|(_, open)| open.since = now + AFTER_ALL);
                    continue;
                }
                self.absorb(kind, subject);
                continue;
            }
            if !ripe || bad < 2 {
                continue;
            }
            let zones: Vec<u32> = self
                .servers
                .values()
                .filter(here)
                .filter(has)
                .map(|server| server.zone)
                .collect();
            let one_zone = zones.iter().all(|zone| *zone == zones[0]);
            let in_zone = self
                .servers
                .values()
                .filter(here)
                .filter(|server| server.zone == zones[0])
                .count();
            let subject = if one_zone && 4 * bad >= 3 * in_zone && in_zone < there && bad >= 2 {
                Subject::Zone(zones[0])
            } else if bad >= 3 && 2 * bad >= there {
                Subject::Fleet
            } else {
                continue;
            };
            let (mut share, mut usual, mut observations, mut began, mut count) =
                (0.0, 0.0, 0u32, now, 0.0);
            for server in self.servers.values().filter(here).filter(has) {
                let test = match fault {
                    Fault::LosesAnswers => server.lost[0],
                    Fault::RefusesWork => server.refused,
                    _ if server.over.weight() > server.late[0].weight() => server.over,
                    _ => server.late[0],
                };
                let (part, all, since) = match server.open.get(&kind) {
                    Some(open) => (open.told.share, open.told.observations, open.told.began),
                    None => (test.share(), test.all, test.since),
                };
                let of_late = if server.over.weight() > server.late[0].weight() {
                    server.usual.over()
                } else {
                    Some(LATE.0)
                };
                share += part;
                usual += if fault == Fault::Slow {
                    of_late
                } else {
                    server.usual.failures()
                }
                .unwrap_or(0.0);
                observations = observations.saturating_add(all);
                began = began.min(since);
                count += 1.0;
            }
            self.numbers += 1;
            let departure = Anomaly {
                number: self.numbers,
                subject,
                fault,
                class: None,
                began,
                at: now,
                phase: AnomalyPhase::Raised,
                share: share / f64::max(count, 1.0),
                usual: usual / f64::max(count, 1.0),
                observations,
            };
            said.push(departure.clone());
            self.shared.push((departure, fault));
            self.absorb(kind, subject);
        }
    }

    /// What a server shares with others is not said of it alone: as long as it does, it stays unsaid.
    fn absorb(&mut self, kind: Kind, subject: Subject) {
        for server in self.servers.values_mut() {
            let inside = subject == Subject::Fleet || subject == Subject::Zone(server.zone);
            let same = server
                .open
                .iter_mut()
                .filter(|(other, open)| other.fault == kind.fault && !open.said);
            same.filter(|_| inside)
                .for_each(|(_, open)| open.since = Micros::MAX);
        }
    }
}

//! The check of an experiment file: all that makes no sense in it, at once, each with its place.
//!
//! What passes here can be played: figures are finite and within bounds, names are known, and neither the work nor
//! the memory of a run can grow beyond what the constants of this module say.

mod events;
mod load;
mod world;

use crate::experiment::{Experiment, VERSION};
use madderloom_config_reader::{Document, Problem, Span};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// The longest experiment.
pub const LONGEST: Span = Span::s(24 * 3_600);
/// Steps of the time series at most.
pub const MOST_WINDOWS: u64 = 10_000;
/// Seeds at most, of the file or of `--seeds`.
pub const MOST_SEEDS: u64 = 1_000;
/// Instances at most.
pub const MOST_INSTANCES: u32 = 10_000;
/// Servers at most, all kinds together.
pub const MOST_SERVERS: u32 = 10_000;
/// Instances times servers at most: each instance remembers each server, in some hundreds of bytes.
pub const MOST_PAIRS: u64 = 2_000_000;
/// Steps of the time series times servers at most, for a run's file holds the load of each.
pub const MOST_LOADS: u64 = 4_000_000;
/// Requests that may arrive in a run, retries not counted.
pub const MOST_REQUESTS: f64 = 20_000_000.0;
/// Requests a second at most.
pub const HIGHEST_RATE: f64 = 1_000_000.0;
/// Entries of a list at most: kinds, classes, zones, phases, faults, arms, expectations.
pub const MOST_ENTRIES: usize = 256;
/// Bytes of an experiment file at most.
pub const LONGEST_TEXT: usize = 1 << 20;

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    /// All problems of the text, in its order: what can't be read, names that are not known (with the nearest that
    /// is), and figures that make no sense.
    pub fn read(text: &str) -> Result<Experiment, Vec<Problem>> {
        if text.len() > LONGEST_TEXT {
            let problem = format!("is longer than {LONGEST_TEXT} bytes: this is no experiment");
            return Err(vec![Problem {
                line: 1,
                column: 1,
                field: String::new(),
                problem,
            }]);
        }
        let (document, _) = Document::read::<Experiment>(text)?;
        let unread = document.finish(()).err().unwrap_or_default();
        let check = |look: fn(&mut Checker<'_>, &Experiment)| {
            let (document, experiment) = Document::read::<Experiment>(text)?;
            let mut checker = Checker {
                document,
                unread: &unread,
            };
            look(&mut checker, &experiment);
            checker.document.finish(experiment)
        };
        check(|checker, e| checker.experiment(e)).map_err(|problems| {
            // What could not be read stands at its default now: that this makes no sense either is no news.
            let follows = |problem: &Problem| {
                let field = problem.field.as_str();
                unread
                    .iter()
                    .any(|first| lies_in(field, &first.field) || lies_in(&first.field, field))
            };
            problems
                .into_iter()
                .filter(|problem| unread.contains(problem) || !follows(problem))
                .collect::<Vec<_>>()
        })?;
        // Only once each figure is sound by itself: a product of bad ones is no news either.
        check(|checker, e| checker.products(e))
    }

    /// The instances of the balancer times the servers.
    pub fn pairs(&self) -> u64 {
        u64::from(self.instances.count) * u64::from(self.server_count())
    }

    /// Servers of all kinds.
    pub fn server_count(&self) -> u32 {
        self.servers
            .iter()
            .fold(0u32, |sum, kind| sum.saturating_add(kind.count))
    }
}

/// Whether a field is another one or lies within it: `a[1].b` lies in `a` and in `a[1]`.
fn lies_in(field: &str, outer: &str) -> bool {
    field
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// The name among these that is most like another, if one is like it at all.
pub fn nearest<'n>(name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let like = known
        .into_iter()
        .map(|near| (strsim::jaro_winkler(name, near), near));
    // Of several alike the first is taken, whatever the order of floats makes of ties.
    let best = like.fold(None, |best: Option<(f64, &str)>, next| match best {
        Some(best) if best.0 >= next.0 => Some(best),
        _ => Some(next),
    });
    best.filter(|(like, _)| *like > 0.75).map(|(_, near)| near)
}

/// What to say of a name that is not known.
pub fn unknown<'n>(
    what: &str,
    name: &str,
    known: impl IntoIterator<Item = &'n str> + Clone,
) -> String {
    match nearest(name, known.clone()) {
        Some(near) => format!("there is no {what} {name:?}; did you mean {near:?}?"),
        None => {
            let known: Vec<_> = known.into_iter().collect();
            if known.is_empty() {
                format!("there is no {what} {name:?}, nor any other")
            } else if known.len() > 16 {
                format!(
                    "there is no {what} {name:?}; there are {} and {} more",
                    known[..16].join(", "),
                    known.len() - 16
                )
            } else {
                format!(
                    "there is no {what} {name:?}; there are {}",
                    known.join(", ")
                )
            }
        }
    }
}

/// The document under check.
struct Checker<'t> {
    document: Document<'t>,
    /// What could not be read, and stands at its default instead.
    unread: &'t [Problem],
}

impl Checker<'_> {
    fn experiment(&mut self, e: &Experiment) {
        self.head(e);
        self.world(e);
        self.load(e);
        self.events(e);
    }

    /// What figures that are sound by themselves come to together.
    fn products(&mut self, e: &Experiment) {
        let servers = e.server_count();
        self.document.require(
            servers <= MOST_SERVERS,
            "servers",
            format!("makes {servers} servers; at most {MOST_SERVERS}"),
        );
        let pairs = e.pairs();
        self.document.require(
            pairs <= MOST_PAIRS,
            "instances.count",
            format!(
                "times the servers makes {pairs} pairs, each with a memory of its own; at most {MOST_PAIRS}"
            ),
        );
        let windows = e.duration.micros() / e.window.micros().max(1);
        self.document.require(
            windows <= MOST_WINDOWS,
            "window",
            format!("gives {windows} steps; at most {MOST_WINDOWS}: choose a longer one"),
        );
        let loads = windows.saturating_mul(u64::from(e.server_count()));
        self.document.require(
            windows > MOST_WINDOWS || loads <= MOST_LOADS,
            "window",
            format!("gives {loads} steps of all servers together; at most {MOST_LOADS}: choose a longer one"),
        );
        let requests = load::arrivals(e);
        self.document.require(
            requests <= MOST_REQUESTS,
            if e.phases.is_empty() {
                "clients.rate"
            } else {
                "phases"
            },
            format!("makes {requests:.0} requests in all; at most {MOST_REQUESTS:.0}"),
        );
    }

    fn head(&mut self, e: &Experiment) {
        if !self.document.has("version") {
            self.document.problem(
                "version",
                format!("is missing; this build reads version {VERSION}"),
            );
        } else if e.version != VERSION {
            self.document.problem(
                "version",
                format!("is {}, but this build reads version {VERSION}", e.version),
            );
        }
        self.name("name", &e.name);
        self.document.require(
            !e.about.trim().is_empty(),
            "about",
            "is missing; say in a sentence what this shows",
        );
        self.span("duration", e.duration, Span::ms(100)..=LONGEST);
        self.document.require(
            e.warmup < e.duration,
            "warmup",
            format!("must end before the experiment does, at {}", e.duration),
        );
        if e.window == Span(0) {
            self.document.problem("window", "must be above 0");
        } else {
            self.document.require(
                e.window <= e.duration,
                "window",
                format!("is longer than the experiment, {}", e.duration),
            );
        }
        self.document
            .require(!e.seeds.is_empty(), "seeds", "must hold at least one seed");
        self.document.require(
            e.seeds.len() as u64 <= MOST_SEEDS,
            "seeds",
            format!("holds {} seeds; at most {MOST_SEEDS}", e.seeds.len()),
        );
        let mut met = BTreeSet::new();
        for (i, seed) in e.seeds.iter().enumerate() {
            self.document.require(
                met.insert(seed),
                &format!("seeds[{i}]"),
                format!("{seed} stands here twice"),
            );
        }
    }

    /// Whether a field stands in the file and could be read.
    fn is_told(&self, field: &str) -> bool {
        self.document.has(field) && !self.unread.iter().any(|problem| problem.field == field)
    }

    /// A name that is also part of a path: short, and of letters that every file system takes.
    fn name(&mut self, field: &str, name: &str) {
        if name.is_empty() {
            return self.document.problem(
                field,
                "is missing; give a name of letters, digits, '-', '_' and '.'",
            );
        }
        let plain = name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        let begins = name.starts_with(|c: char| c.is_ascii_alphanumeric());
        self.document.require(
            plain && begins && name.len() <= 64,
            field,
            format!(
                "{name:?} is no name: use at most 64 letters, digits, '-', '_' and '.', and begin with a letter or digit"
            ),
        );
    }

    /// Names of a list: each one sound, and none twice.
    fn names<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n str>) {
        let mut met = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let field = format!("{list}[{i}].name");
            self.name(&field, name);
            self.document.require(
                name.is_empty() || met.insert(name),
                &field,
                format!("{name:?} is the name of another one too"),
            );
        }
    }

    fn list(&mut self, field: &str, entries: usize) {
        self.document.require(
            entries <= MOST_ENTRIES,
            field,
            format!("has {entries} entries; at most {MOST_ENTRIES}"),
        );
    }

    fn figure(&mut self, field: &str, value: f64, within: RangeInclusive<f64>) {
        // NaN lies in no range.
        let (low, high) = (within.start(), within.end());
        self.document.require(
            within.contains(&value),
            field,
            format!("is {value}, but must lie in {low}..={high}"),
        );
    }

    fn count(&mut self, field: &str, value: u32, within: RangeInclusive<u32>) {
        let (low, high) = (within.start(), within.end());
        self.document.require(
            within.contains(&value),
            field,
            format!("is {value}, but must lie in {low}..={high}"),
        );
    }

    fn span(&mut self, field: &str, value: Span, within: RangeInclusive<Span>) {
        let (low, high) = (within.start(), within.end());
        self.document.require(
            within.contains(&value),
            field,
            format!("is {value}, but must lie in {low}..={high}"),
        );
    }
}

//! Conditions over signals: a small language, parsed by `winnow`, and its evaluation.
//!
//! ```text
//! condition  = all, { "or", all }
//! all        = one, { "and", one }
//! one        = ["not"], ( "(", condition, ")" | comparison ), ["for", span]
//! comparison = signal, ["(", class, ")"], (">" | ">=" | "<" | "<="), bound
//! bound      = number, ["%"] | span
//! ```
//!
//! A signal that is absent makes a comparison neither true nor false (Kleene's three values): a condition that
//! hangs on it is not met, and its negation is not met either.

use crate::{Micros, Signal, Signals};
use madderloom_config_reader::Span;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// The longest text of a condition, in bytes.
const LONGEST: usize = 2_048;
/// Parentheses and negations in each other.
const DEEPEST: usize = 32;
/// Points at which two conditions are compared, at most.
const POINTS: usize = 200_000;

/// A condition that was read, and since when its parts hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    text: String,
    root: Node,
    /// For each part with a `for`: since when what it speaks of has held.
    held: Vec<Option<Micros>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Node {
    Compare {
        signal: Signal,
        above: bool,
        equal: bool,
        bound: f64,
    },
    Not(Box<Node>),
    All(Vec<Node>),
    Any(Vec<Node>),
    For {
        span: Micros,
        at: usize,
        of: Box<Node>,
    },
}

impl Condition {
    /// Reads a condition. An error says what is wrong and where in the text.
    pub fn parse(text: &str) -> Result<Self, String> {
        if text.len() > LONGEST {
            return Err(format!("is longer than {LONGEST} bytes"));
        }
        let mut reader = Reader {
            depth: 0,
            spans: 0,
            problem: None,
        };
        let mut rest = text;
        let root = reader.any(&mut rest);
        // A problem that was seen names more than where the grammar came to its end.
        if let Some(problem) = reader.problem {
            return Err(problem);
        }
        match root {
            Ok(root) if rest.trim().is_empty() => {
                let held = vec![None; reader.spans];
                Ok(Condition {
                    text: text.trim().to_string(),
                    root,
                    held,
                })
            }
            Ok(_) => Err(format!(
                "makes no sense from {:?} on; wanted and, or, for or the end",
                start_of(rest)
            )),
            Err(fault) => {
                let inner = fault.into_inner().unwrap_or_default();
                let wanted: Vec<String> = inner.context().map(|c| c.to_string()).collect();
                let wanted = if wanted.is_empty() {
                    "a condition".into()
                } else {
                    wanted.join(", ")
                };
                Err(format!(
                    "makes no sense at {:?}; wanted: {wanted}",
                    start_of(rest)
                ))
            }
        }
    }

    /// Whether it is met, is not, or can't be told (none) for want of signals. To be called each time that time
    /// has passed, for `for` counts from call to call.
    pub fn evaluate(&mut self, now: Micros, signals: &Signals) -> Option<bool> {
        evaluate(&self.root, now, signals, &mut self.held)
    }

    /// The signals that it speaks of.
    pub fn signals(&self) -> BTreeSet<&Signal> {
        let mut found = BTreeSet::new();
        self.root.walk(&mut |node| {
            if let Node::Compare { signal, .. } = node {
                found.insert(signal);
            }
        });
        found
    }

    /// The values of its signals now, for people.
    pub fn values(&self, signals: &Signals) -> String {
        let told = self
            .signals()
            .into_iter()
            .map(|signal| match signals.get(signal) {
                Some(value) if signal.is_time() => {
                    format!("{signal} = {}", Span(value.max(0.0) as u64))
                }
                Some(value) => format!("{signal} = {value:.3}"),
                None => format!("{signal} is not known"),
            });
        told.collect::<Vec<_>>().join(", ")
    }

    /// Values of the signals at which both conditions are met, however long they have held; none where there are
    /// none. The bounds that the conditions name split the values of each signal into finitely many parts, so all
    /// of them are looked at; an error says that they are too many.
    pub fn met_together(&self, other: &Condition) -> Result<Option<String>, String> {
        let mut bounds = BTreeMap::<&Signal, Vec<f64>>::new();
        for condition in [self, other] {
            condition.root.walk(&mut |node| {
                if let Node::Compare { signal, bound, .. } = node {
                    bounds.entry(signal).or_default().push(*bound);
                }
            });
        }
        let mut axes: Vec<(&Signal, Vec<f64>)> = Vec::new();
        for (signal, mut at) in bounds {
            let (least, most) = (0.0, if signal.is_time() { f64::MAX } else { 1.0 });
            at.extend([least, most]);
            at.sort_by(f64::total_cmp);
            at.dedup();
            let between = at
                .windows(2)
                .map(|pair| pair[0] / 2.0 + pair[1] / 2.0)
                .collect::<Vec<_>>();
            at.extend(between);
            axes.push((signal, at));
        }
        let points = axes
            .iter()
            .try_fold(1usize, |all, (_, at)| all.checked_mul(at.len()));
        let points = points
            .filter(|points| *points <= POINTS)
            .ok_or("speaks of too many signals and bounds")?;
        for point in 0..points {
            let mut signals = Signals::default();
            let mut rest = point;
            for (signal, at) in &axes {
                signals.set((*signal).clone(), at[rest % at.len()]);
                rest /= at.len();
            }
            let met = |condition: &Condition| {
                // As if all had held for ever.
                let mut held = vec![Some(0); condition.held.len()];
                evaluate(&condition.root, Micros::MAX, &signals, &mut held) == Some(true)
            };
            if met(self) && met(other) {
                let told = axes.iter().map(|(signal, _)| {
                    format!("{signal} = {:.4}", signals.get(signal).unwrap_or(0.0))
                });
                return Ok(Some(told.collect::<Vec<_>>().join(", ")));
            }
        }
        Ok(None)
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Node {
    fn walk<'a>(&'a self, look: &mut impl FnMut(&'a Node)) {
        look(self);
        match self {
            Node::Compare { .. } => {}
            Node::Not(of) | Node::For { of, .. } => of.walk(look),
            Node::All(of) | Node::Any(of) => of.iter().for_each(|node| node.walk(look)),
        }
    }
}

/// Every part is evaluated each time, also where the outcome is clear: a `for` further on counts all the same.
fn evaluate(
    node: &Node,
    now: Micros,
    signals: &Signals,
    held: &mut [Option<Micros>],
) -> Option<bool> {
    match node {
        Node::Compare {
            signal,
            above,
            equal,
            bound,
        } => {
            let value = signals.get(signal)?;
            Some(
                if *above {
                    value > *bound
                } else {
                    value < *bound
                } || (*equal && value == *bound),
            )
        }
        Node::Not(of) => evaluate(of, now, signals, held).map(|met| !met),
        Node::All(of) => {
            let met: Vec<_> = of
                .iter()
                .map(|node| evaluate(node, now, signals, held))
                .collect();
            if met.contains(&Some(false)) {
                Some(false)
            } else {
                met.into_iter().all(|m| m == Some(true)).then_some(true)
            }
        }
        Node::Any(of) => {
            let met: Vec<_> = of
                .iter()
                .map(|node| evaluate(node, now, signals, held))
                .collect();
            if met.contains(&Some(true)) {
                Some(true)
            } else {
                met.into_iter().all(|m| m == Some(false)).then_some(false)
            }
        }
        Node::For { span, at, of } => {
            let met = evaluate(of, now, signals, held);
            let since = held.get_mut(*at)?;
            match met {
                Some(true) => Some(now.saturating_sub(*since.get_or_insert(now)) >= *span),
                // What is not known may not have held: it counts from anew.
                unmet => {
                    *since = None;
                    unmet
                }
            }
        }
    }
}

fn start_of(text: &str) -> String {
    text.trim_start().chars().take(20).collect()
}

type Read<T> = Result<T, ErrMode<ContextError>>;

struct Reader {
    depth: usize,
    spans: usize,
    problem: Option<String>,
}

fn word<'a>(word: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    let letters = take_while(1.., |c: char| c.is_alphanumeric() || c == '_');
    (
        multispace0,
        letters.verify(move |found: &str| found == word),
    )
        .void()
}

fn sign<'a>(sign: char) -> impl Parser<&'a str, char, ErrMode<ContextError>> {
    preceded(multispace0, one_of(sign))
}

fn wanted(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

impl Reader {
    fn any(&mut self, text: &mut &str) -> Read<Node> {
        let mut of = vec![self.all(text)?];
        while opt(word("or")).parse_next(text)?.is_some() {
            of.push(self.all(text)?);
        }
        Ok(if of.len() == 1 {
            of.remove(0)
        } else {
            Node::Any(of)
        })
    }

    fn all(&mut self, text: &mut &str) -> Read<Node> {
        let mut of = vec![self.one(text)?];
        while opt(word("and")).parse_next(text)?.is_some() {
            of.push(self.one(text)?);
        }
        Ok(if of.len() == 1 {
            of.remove(0)
        } else {
            Node::All(of)
        })
    }

    fn one(&mut self, text: &mut &str) -> Read<Node> {
        self.depth += 1;
        if self.depth > DEEPEST {
            self.problem = Some(format!("is nested more than {DEEPEST} deep"));
            return Err(ErrMode::Cut(ContextError::new()));
        }
        let node = if opt(word("not")).parse_next(text)?.is_some() {
            Node::Not(Box::new(self.one(text)?))
        } else if opt(sign('(')).parse_next(text)?.is_some() {
            let inner = self.any(text)?;
            cut_err(sign(')'))
                .context(wanted("a closing parenthesis"))
                .parse_next(text)?;
            inner
        } else {
            self.compare(text)?
        };
        self.depth -= 1;
        if opt(word("for")).parse_next(text)?.is_none() {
            return Ok(node);
        }
        let span = cut_err(written_span)
            .context(wanted("a span of time, such as 2s"))
            .parse_next(text)?;
        match span.parse::<Span>() {
            Ok(span) => {
                self.spans += 1;
                Ok(Node::For {
                    span: span.micros(),
                    at: self.spans - 1,
                    of: Box::new(node),
                })
            }
            Err(problem) => self.refuse(problem),
        }
    }

    fn compare(&mut self, text: &mut &str) -> Read<Node> {
        let name = preceded(
            multispace0,
            take_while(1.., |c: char| c.is_alphanumeric() || c == '_'),
        );
        let name: &str = name.context(wanted("a signal")).parse_next(text)?;
        let class = delimited(
            sign('('),
            preceded(multispace0, take_while(1.., is_class)),
            sign(')'),
        );
        let class: Option<&str> = opt(class).parse_next(text)?;
        let signal = match Signal::named(name, class) {
            Ok(signal) => signal,
            Err(problem) => return self.refuse(problem),
        };
        let than = preceded(multispace0, alt((">=", "<=", ">", "<")));
        let than: &str = cut_err(than)
            .context(wanted("one of > >= < <="))
            .parse_next(text)?;
        let (above, equal) = (than.starts_with('>'), than.ends_with('='));
        let mut bound =
            cut_err(written_span).context(wanted("a number, a percentage or a span of time"));
        let written: &str = bound.parse_next(text)?;
        let bound = match (signal.is_time(), written.strip_suffix('%')) {
            (true, _) => written.parse::<Span>().map(|span| span.micros() as f64),
            (false, Some(percent)) => share(percent).map(|percent| percent / 100.0),
            (false, None) => share(written),
        };
        let bound = match bound {
            Ok(bound) => bound,
            Err(problem) => return self.refuse(format!("{signal} is compared with {problem}")),
        };
        // A share lies between 0 and 1: beyond that a comparison is always met or never.
        let (least, most) = if signal.is_time() {
            (0.0, f64::MAX)
        } else {
            (0.0, 1.0)
        };
        let never = if above {
            bound > most || (bound == most && !equal)
        } else {
            bound < least || (bound == least && !equal)
        };
        let always = if above {
            bound < least || (bound == least && equal)
        } else {
            bound > most || (bound == most && equal)
        };
        if never || always {
            let when = if never { "never" } else { "always" };
            return self.refuse(format!(
                "{signal} {than} {written} is {when} met: a share lies between 0 and 100%"
            ));
        }
        Ok(Node::Compare {
            signal,
            above,
            equal,
            bound,
        })
    }

    fn refuse<T>(&mut self, problem: String) -> Read<T> {
        self.problem.get_or_insert(problem);
        Err(ErrMode::Cut(ContextError::new()))
    }
}

fn is_class(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.')
}

fn written_span<'a>(text: &mut &'a str) -> Read<&'a str> {
    let first = take_while(1.., |c: char| c.is_ascii_digit() || c == '.');
    let unit = take_while(0.., |c: char| c.is_ascii_alphabetic() || c == '%');
    preceded(multispace0, (first, unit).take()).parse_next(text)
}

fn share(text: &str) -> Result<f64, String> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
    number.ok_or_else(|| format!("{text:?}, which is no number or percentage"))
}

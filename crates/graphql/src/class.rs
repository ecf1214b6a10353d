//! Of which class an operation is.

use crate::document::{Kind, Operation, Source, Summary};
use crate::fault::{Code, Fault};
use crate::json::{Found, Pairs, Scalar, find};
use crate::policy::{FieldRule, Policy};
use madderloom_balancer::{Micros, RetrySafety};

/// What is known of an operation, or of a batch, before it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Classed {
    /// Its class, by its place among the site's.
    pub class: u32,
    /// What may be done twice: the class's own effect.
    pub effect: RetrySafety,
    /// What it is about, if an argument tells: the same number for the same subject at every instance.
    pub key: Option<u64>,
    /// A guess of its work, where the operator gives fields a cost.
    pub cost: Option<Micros>,
    /// What the class follows from.
    pub why: Why,
}

/// What a class follows from, for logs and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// A query.
    Query,
    /// A mutation whose fields all carry their keys.
    Keyed,
    /// A query that the operator does not want repeated.
    QueryOnce,
    /// A mutation, with some field that carries no key.
    Mutation,
    /// Which operation would run can't be told: none is named, or none of that name is there.
    NoOperation,
    /// A hash whose text was not seen, or is forgotten.
    UnknownHash,
    /// The text is none that the parser reads.
    Unread,
    /// The message has names beside the known ones, or asks for a persisted query in a way that is not known.
    OddMessage,
}

/// A guess of work ends here.
const MOST_COST: Micros = 3_600_000_000;
/// So often at most an argument multiplies a field's work.
const MOST_TIMES: u64 = 10_000;

/// An operation of a kind that can't be told, or of none.
pub(crate) fn doubtful(policy: &Policy, why: Why) -> Classed {
    plain(policy, policy.mutation, why)
}

fn plain(policy: &Policy, class: usize, why: Why) -> Classed {
    Classed {
        class: class as u32,
        effect: policy.effect(class),
        key: None,
        cost: None,
        why,
    }
}

/// The kind of the operation that would run, and its class.
pub(crate) fn decide(
    policy: &Policy,
    summary: &Summary,
    name: Option<&str>,
    variables: Option<&str>,
) -> Result<(Option<Kind>, Classed), Fault> {
    let operation = match (name, &*summary.operations) {
        (_, []) => return Ok((None, doubtful(policy, Why::Unread))),
        (None, [only]) => Some(only),
        (None, _) => None,
        (Some(name), all) => all
            .iter()
            .find(|operation| operation.name.as_deref() == Some(name)),
    };
    let Some(operation) = operation else {
        return Ok((None, doubtful(policy, Why::NoOperation)));
    };
    if operation.kind == Kind::Subscription {
        let problem = "subscriptions are not served here; ask the server for them itself";
        return Err(Fault::new(Code::SubscriptionUnsupported, problem));
    }
    let variables = Variables::read(variables);
    let (class, why) = match operation.kind {
        Kind::Query => query(policy, operation),
        _ => mutation(policy, operation, &variables),
    };
    let rules = if operation.kind == Kind::Query {
        &policy.queries
    } else {
        &policy.mutations
    };
    let classed = Classed {
        key: operation
            .roots
            .iter()
            .find_map(|root| variables.scalar(&root.subject))
            .map(|s| s.hash),
        cost: cost(policy, operation, rules, &variables),
        ..plain(policy, class, why)
    };
    Ok((Some(operation.kind), classed))
}

/// The class that the operator gives operations of this name, unless it would allow more than the one it has.
fn named(policy: &Policy, operation: &Operation, class: usize) -> usize {
    let rule = operation
        .name
        .as_deref()
        .and_then(|name| policy.operations.get(name));
    let wanted = rule.and_then(|rule| rule.class);
    wanted
        .filter(|wanted| policy.covers(*wanted, policy.effect(class)))
        .unwrap_or(class)
}

fn query(policy: &Policy, operation: &Operation) -> (usize, Why) {
    let rule = operation
        .name
        .as_deref()
        .and_then(|name| policy.operations.get(name));
    let once = rule.is_some_and(|rule| !rule.repeat)
        || operation.roots.iter().any(|root| {
            policy
                .queries
                .get(root.rule)
                .is_none_or(|rule| !rule.repeat)
        });
    match once {
        true => (named(policy, operation, policy.mutation), Why::QueryOnce),
        false => (named(policy, operation, policy.query), Why::Query),
    }
}

/// As strict as its strictest field.
fn mutation(policy: &Policy, operation: &Operation, variables: &Variables<'_>) -> (usize, Why) {
    let keyed = |root: &crate::document::Root| {
        let class = policy.mutations.get(root.rule)?.keyed?;
        variables.scalar(&root.key).map(|_| class)
    };
    let classes: Option<Vec<usize>> = operation.roots.iter().map(keyed).collect();
    let strictest = classes.filter(|_| !operation.others).and_then(|classes| {
        classes.iter().copied().find(|class| {
            classes
                .iter()
                .all(|c| policy.covers(*class, policy.effect(*c)))
        })
    });
    match strictest {
        Some(class) => (named(policy, operation, class), Why::Keyed),
        None => (named(policy, operation, policy.mutation), Why::Mutation),
    }
}

fn cost(
    policy: &Policy,
    operation: &Operation,
    rules: &[FieldRule],
    variables: &Variables<'_>,
) -> Option<Micros> {
    if policy.unit == 0 {
        return None;
    }
    let more = operation
        .roots
        .iter()
        .filter(|root| rules.get(root.rule).is_some_and(|r| !r.cost.is_empty()));
    let units = more.fold(operation.units, |units, root| {
        let times = variables
            .scalar(&root.cost)
            .and_then(|scalar| scalar.number)
            .unwrap_or(1);
        units.saturating_add(root.units.saturating_mul(times.clamp(1, MOST_TIMES) - 1))
    });
    Some(units.max(1).saturating_mul(policy.unit).min(MOST_COST))
}

/// A batch that goes on whole: as strict as its strictest operation, with the longest aim of those as strict.
pub(crate) fn together(policy: &Policy, parts: &[Classed]) -> Classed {
    let strict = parts.iter().filter(|part| {
        let class = part.class as usize;
        parts.iter().all(|other| policy.covers(class, other.effect))
    });
    let aim = |part: &&Classed| {
        policy
            .classes
            .get(part.class as usize)
            .map_or(0, |class| class.aim)
    };
    // The first of those with the longest aim.
    let strictest = strict.rev().max_by_key(aim);
    let why = parts
        .iter()
        .map(|part| part.why)
        .max()
        .unwrap_or(Why::OddMessage);
    let mut whole = match strictest {
        Some(part) => plain(policy, part.class as usize, why),
        None => doubtful(policy, why),
    };
    let first = parts.first().and_then(|part| part.key);
    whole.key = first.filter(|key| parts.iter().all(|part| part.key == Some(*key)));
    whole.cost = parts
        .iter()
        .filter_map(|part| part.cost)
        .reduce(Micros::saturating_add);
    whole
}

/// A request's variables; none can be told where they are no object.
struct Variables<'a>(Option<Pairs<'a>>);

impl<'a> Variables<'a> {
    fn read(json: Option<&'a str>) -> Self {
        Variables(match json {
            None => Some(Pairs(Vec::new())),
            Some(json) => Pairs::read(json).ok(),
        })
    }

    fn scalar(&self, source: &Source) -> Option<Scalar> {
        match self.found(source) {
            Found::Is(scalar) => Some(scalar),
            Found::Absent | Found::Uncertain => None,
        }
    }

    fn found(&self, source: &Source) -> Found {
        let (name, path, default) = match source {
            Source::Known(found) => return found.clone(),
            Source::Variable {
                name,
                path,
                default,
            } => (name, path, default),
        };
        let Some(Pairs(pairs)) = &self.0 else {
            return Found::Uncertain;
        };
        let mut named = pairs
            .iter()
            .filter(|(n, _)| **n == **name)
            .map(|(_, value)| value.get());
        match (named.next(), named.next()) {
            (None, _) => default.clone(),
            (Some(value), None) => find(value, path),
            (Some(_), Some(_)) => Found::Uncertain,
        }
    }
}

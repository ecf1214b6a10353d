//! A document's operations, read once by `apollo-parser` and kept as what their class follows from.

use crate::fault::{Code, Fault};
use crate::json::{Found, Scalar};
use crate::limits::{Limits, scan, too_deep};
use crate::policy::Policy;
use apollo_parser::cst::{self, CstNode, Definition, Selection, Value};
use apollo_parser::{Parser, SyntaxKind};
use std::collections::{BTreeMap, BTreeSet};

/// What kind of operation it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Query,
    Mutation,
    Subscription,
}

/// What a document's operations come to.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// Empty where no parser reads the text: which operation would run is then not certain.
    pub operations: Box<[Operation]>,
}

#[derive(Debug)]
pub(crate) struct Operation {
    pub kind: Kind,
    pub name: Option<Box<str>>,
    /// Its fields, fragments included: a rough cost.
    pub units: u64,
    /// Root fields that the policy has a rule for.
    pub roots: Box<[Root]>,
    /// Whether it has root fields that the policy has no rule for, or that can't be told.
    pub others: bool,
}

/// A root field with a rule.
#[derive(Debug)]
pub(crate) struct Root {
    /// The rule's place in the policy.
    pub rule: usize,
    pub key: Source,
    pub subject: Source,
    pub cost: Source,
    /// Fields below it and itself, fragments included.
    pub units: u64,
}

/// Where the value of a declared argument comes from.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Source {
    /// The document itself.
    Known(Found),
    /// The request's variables.
    Variable {
        name: Box<str>,
        /// Into the variable's value.
        path: Box<[Box<str>]>,
        /// What holds where the request leaves the variable out.
        default: Found,
    },
}

/// Root fields with rules that are looked at; of an operation with more, the class is not certain.
const MOST_ROOTS: usize = 32;

/// Reads a document within the limits. What breaks a limit is an error; what can't be read is an empty summary.
pub(crate) fn read(text: &str, policy: &Policy) -> Result<Summary, Fault> {
    let limits = &policy.limits;
    if !scan(text, limits)? {
        return Ok(Summary::default());
    }
    // Behind the pass over the tokens this bound is never met.
    let tree = Parser::new(text)
        .recursion_limit(4 * Limits::DEEPEST as usize)
        .parse();
    if tree.errors().len() > 0 {
        return Ok(Summary::default());
    }
    let mut operations = Vec::new();
    let mut fragments = Fragments::default();
    let mut doubtful = false;
    for definition in tree.document().definitions() {
        match definition {
            Definition::OperationDefinition(operation) => operations.push(operation),
            Definition::FragmentDefinition(fragment) => doubtful |= !fragments.add(&fragment),
            _ => doubtful = true,
        }
    }
    fragments.total(limits)?;
    let read = operations.iter().map(|o| operation(o, &fragments, policy));
    let operations: Box<[_]> = read.collect::<Result<_, _>>()?;
    // A server that validates refuses these; one that doesn't runs what can't be foretold.
    let names = operations.iter().map(|o| &o.name).collect::<BTreeSet<_>>();
    let nameless = operations.len() > 1 && names.contains(&None);
    if doubtful || nameless || names.len() < operations.len() {
        return Ok(Summary::default());
    }
    Ok(Summary { operations })
}

fn operation(
    definition: &cst::OperationDefinition,
    fragments: &Fragments,
    policy: &Policy,
) -> Result<Operation, Fault> {
    let mut count = Count::default();
    if let Some(set) = definition.selection_set() {
        count.selections(&set, 1);
    }
    let total = fragments.with(&count);
    within(&total, &policy.limits)?;
    let kind = match definition.operation_type() {
        Some(kind) if kind.mutation_token().is_some() => Kind::Mutation,
        Some(kind) if kind.subscription_token().is_some() => Kind::Subscription,
        _ => Kind::Query,
    };
    let mut read = Operation {
        kind,
        name: definition.name().map(|n| n.text().as_str().into()),
        units: total.fields,
        roots: Box::default(),
        others: false,
    };
    let mut roots = Vec::new();
    let rules = match kind {
        Kind::Query => &policy.queries,
        Kind::Mutation => &policy.mutations,
        Kind::Subscription => return Ok(read),
    };
    let variables = Variables::of(definition);
    for field in root_fields(definition, fragments, &mut read.others) {
        let name = field.name().map(|n| n.text());
        match name
            .as_deref()
            .map(|name| rules.iter().position(|rule| *rule.field == *name))
        {
            Some(Some(rule)) if roots.len() < MOST_ROOTS => {
                let of = |path: &[Box<str>]| variables.source(&field, path);
                let mut below = Count {
                    fields: 1,
                    ..Count::default()
                };
                if let Some(set) = field.selection_set() {
                    below.selections(&set, 2);
                }
                let paths = &rules[rule];
                roots.push(Root {
                    rule,
                    key: of(&paths.key),
                    subject: of(&paths.subject),
                    cost: of(&paths.cost),
                    units: fragments.with(&below).fields,
                });
            }
            // Every type has this field, and it does nothing.
            Some(None) if name.as_deref() == Some("__typename") => {}
            _ => read.others = true,
        }
    }
    read.roots = roots.into();
    Ok(read)
}

/// Fields of the root type, through inline fragments and spreads, each fragment once. Directives change nothing: a
/// field that is skipped today is not skipped for certain.
fn root_fields(
    operation: &cst::OperationDefinition,
    fragments: &Fragments,
    others: &mut bool,
) -> Vec<cst::Field> {
    let mut fields = Vec::new();
    let mut seen = BTreeSet::new();
    let mut sets: Vec<_> = operation.selection_set().into_iter().collect();
    while let Some(set) = sets.pop() {
        for selection in set.selections() {
            match selection {
                Selection::Field(field) => fields.push(field),
                Selection::InlineFragment(inline) => sets.extend(inline.selection_set()),
                Selection::FragmentSpread(spread) => match fragments.place(&spread) {
                    Some(place) if seen.insert(place) => {
                        sets.extend(fragments.all[place].set.clone())
                    }
                    Some(_) => {}
                    None => *others = true,
                },
            }
        }
    }
    fields
}

/// What selections hold, fragments left out, and which fragments they spread at which depth.
#[derive(Clone, Debug, Default)]
struct Count {
    fields: u64,
    aliases: u64,
    depth: u32,
    spreads: Vec<(String, u32)>,
}

impl Count {
    /// Recurses no deeper than the pass over the tokens allows.
    fn selections(&mut self, set: &cst::SelectionSet, depth: u32) {
        self.depth = self.depth.max(depth);
        for selection in set.selections() {
            match selection {
                Selection::Field(field) => {
                    self.fields += 1;
                    self.aliases += u64::from(field.alias().is_some());
                    if let Some(set) = field.selection_set() {
                        self.selections(&set, depth + 1);
                    }
                }
                Selection::InlineFragment(inline) => {
                    if let Some(set) = inline.selection_set() {
                        self.selections(&set, depth);
                    }
                }
                Selection::FragmentSpread(spread) => {
                    self.spreads.push((spread_name(&spread), depth))
                }
            }
        }
    }
}

fn spread_name(spread: &cst::FragmentSpread) -> String {
    let name = spread.fragment_name().and_then(|n| n.name());
    name.map(|n| n.text().to_string()).unwrap_or_default()
}

/// What selections hold, fragments included as often as they are spread. Sums end at the largest number.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    fields: u64,
    aliases: u64,
    depth: u32,
}

fn within(total: &Total, limits: &Limits) -> Result<(), Fault> {
    let too_many = |code, what: &str, most: u32| {
        Err(Fault::new(
            code,
            format!("the operation holds more than {most} {what}, fragments included"),
        ))
    };
    if total.depth > limits.depth {
        return Err(too_deep(limits));
    }
    if total.aliases > u64::from(limits.aliases) {
        return too_many(Code::TooManyAliases, "aliases", limits.aliases);
    }
    if total.fields > u64::from(limits.fields) {
        return too_many(Code::TooManyFields, "fields", limits.fields);
    }
    Ok(())
}

#[derive(Default)]
struct Fragments {
    places: BTreeMap<String, usize>,
    all: Vec<Fragment>,
}

struct Fragment {
    set: Option<cst::SelectionSet>,
    count: Count,
    total: Option<Total>,
}

impl Fragments {
    /// False where one of this name is there.
    fn add(&mut self, definition: &cst::FragmentDefinition) -> bool {
        let name = definition
            .fragment_name()
            .and_then(|n| n.name())
            .map(|n| n.text().to_string());
        let mut count = Count::default();
        let set = definition.selection_set();
        if let Some(set) = &set {
            count.selections(set, 1);
        }
        self.all.push(Fragment {
            set,
            count,
            total: None,
        });
        self.places
            .insert(name.unwrap_or_default(), self.all.len() - 1)
            .is_none()
    }

    fn place(&self, spread: &cst::FragmentSpread) -> Option<usize> {
        self.places.get(&spread_name(spread)).copied()
    }

    /// Sums each fragment up once, those that it spreads before it, without recursion: a chain may be as long as
    /// the document. A circle is an error, also one that no operation enters.
    fn total(&mut self, limits: &Limits) -> Result<(), Fault> {
        let mut open = vec![false; self.all.len()];
        for start in 0..self.all.len() {
            let mut path = vec![start];
            while let Some(&at) = path.last() {
                if self.all[at].total.is_some() {
                    path.pop();
                    continue;
                }
                open[at] = true;
                let spreads = self.all[at].count.spreads.iter();
                let inner = spreads.filter_map(|(name, _)| self.places.get(name).copied());
                let next = inner.clone().find(|&next| self.all[next].total.is_none());
                match next {
                    Some(next) if open[next] => {
                        let problem = "fragments spread each other in a circle";
                        return Err(Fault::new(Code::FragmentCycle, problem));
                    }
                    Some(next) => path.push(next),
                    None => {
                        let total = self.with(&self.all[at].count);
                        within(&total, limits)?;
                        self.all[at].total = Some(total);
                        path.pop();
                    }
                }
            }
        }
        Ok(())
    }

    /// A count with the fragments that it spreads, all of them summed up.
    fn with(&self, count: &Count) -> Total {
        let mut total = Total {
            fields: count.fields,
            aliases: count.aliases,
            depth: count.depth,
        };
        for (name, depth) in &count.spreads {
            let inner = self
                .places
                .get(name)
                .and_then(|&place| self.all.get(place)?.total);
            let inner = inner.unwrap_or_default();
            total.fields = total.fields.saturating_add(inner.fields);
            total.aliases = total.aliases.saturating_add(inner.aliases);
            total.depth = total.depth.max((depth - 1).saturating_add(inner.depth));
        }
        total
    }
}

/// An operation's variables and their defaults; none for one that is declared twice.
struct Variables(BTreeMap<String, Option<Option<Value>>>);

impl Variables {
    fn of(operation: &cst::OperationDefinition) -> Self {
        let mut all = BTreeMap::new();
        let definitions = operation.variable_definitions();
        for definition in definitions.iter().flat_map(|d| d.variable_definitions()) {
            let name = definition
                .variable()
                .and_then(|v| v.name())
                .map(|n| n.text().to_string());
            let default = definition.default_value().and_then(|d| d.value());
            all.entry(name.unwrap_or_default())
                .and_modify(|twice| *twice = None)
                .or_insert(Some(default));
        }
        Variables(all)
    }

    /// Where a field's argument, at a path that begins with the argument's name, comes from.
    fn source(&self, field: &cst::Field, path: &[Box<str>]) -> Source {
        let Some((name, rest)) = path.split_first() else {
            return Source::Known(Found::Absent);
        };
        let arguments = field.arguments();
        let named = arguments
            .iter()
            .flat_map(|a| a.arguments())
            .filter(|a| is_named(a.name(), name));
        self.only(named.map(|a| a.value()), rest)
    }

    /// The one value there is, a path into it.
    fn only(&self, mut values: impl Iterator<Item = Option<Value>>, path: &[Box<str>]) -> Source {
        match (values.next(), values.next()) {
            (None, _) => Source::Known(Found::Absent),
            (Some(Some(value)), None) => self.value(&value, path),
            _ => Source::Known(Found::Uncertain),
        }
    }

    fn value(&self, value: &Value, path: &[Box<str>]) -> Source {
        match (value, path.split_first()) {
            (Value::Variable(variable), _) => {
                let name = variable
                    .name()
                    .map(|n| n.text().to_string())
                    .unwrap_or_default();
                let Some(Some(default)) = self.0.get(&name) else {
                    return Source::Known(Found::Uncertain);
                };
                let default = match default
                    .as_ref()
                    .map(|value| Variables(BTreeMap::new()).value(value, path))
                {
                    Some(Source::Known(found)) => found,
                    Some(Source::Variable { .. }) => Found::Uncertain,
                    None => Found::Absent,
                };
                Source::Variable {
                    name: name.into(),
                    path: path.into(),
                    default,
                }
            }
            (Value::NullValue(_), _) => Source::Known(Found::Absent),
            (Value::ObjectValue(object), Some((name, rest))) => {
                let named = object.object_fields().filter(|f| is_named(f.name(), name));
                self.only(named.map(|f| f.value()), rest)
            }
            (Value::StringValue(string), None) => {
                let text = String::from(string);
                Source::Known(if text.is_empty() {
                    Found::Absent
                } else {
                    Found::Is(Scalar::of(&text))
                })
            }
            (Value::IntValue(int), None) => {
                let token = int
                    .syntax()
                    .children_with_tokens()
                    .filter_map(|e| e.into_token());
                let text = token
                    .filter(|t| t.kind() == SyntaxKind::INT)
                    .map(|t| t.text().to_string())
                    .next();
                Source::Known(text.map_or(Found::Uncertain, |text| Found::Is(Scalar::of(&text))))
            }
            _ => Source::Known(Found::Uncertain),
        }
    }
}

fn is_named(name: Option<cst::Name>, wanted: &str) -> bool {
    name.is_some_and(|name| name.text().as_str() == wanted)
}

impl Summary {
    /// Bytes that it takes in memory, about.
    pub fn size(&self) -> usize {
        let source = |source: &Source| match source {
            Source::Known(_) => 0,
            Source::Variable { name, path, .. } => {
                name.len()
                    + path
                        .iter()
                        .map(|p| size_of::<Box<str>>() + p.len())
                        .sum::<usize>()
            }
        };
        let root = |root: &Root| {
            size_of::<Root>() + source(&root.key) + source(&root.subject) + source(&root.cost)
        };
        let operation = |operation: &Operation| {
            let name = operation.name.as_ref().map_or(0, |name| name.len());
            size_of::<Operation>() + name + operation.roots.iter().map(root).sum::<usize>()
        };
        size_of::<Summary>() + self.operations.iter().map(operation).sum::<usize>()
    }
}

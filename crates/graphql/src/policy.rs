//! A section of the operator file, checked and in the form that is used for each request.

use crate::limits::Limits;
use crate::section::{EffectName, Mutation, Section};
use madderloom_balancer::{DeduplicationScope, Micros, RetrySafety};
use std::collections::BTreeMap;

/// A class of the site, as far as it matters here.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// What may be done twice.
    pub effect: RetrySafety,
    /// An answer within this time earns the full worth.
    pub aim: Micros,
}

/// What holds for the operations of a front.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    pub(crate) classes: Vec<ClassInfo>,
    pub(crate) query: usize,
    pub(crate) mutation: usize,
    pub(crate) ignore: Vec<String>,
    pub(crate) limits: Limits,
    pub(crate) persisted: usize,
    pub(crate) others: usize,
    pub(crate) table_bytes: usize,
    pub(crate) split: bool,
    pub(crate) unit: Micros,
    pub(crate) operations: BTreeMap<String, OperationRule>,
    pub(crate) queries: Vec<FieldRule>,
    pub(crate) mutations: Vec<FieldRule>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OperationRule {
    pub class: Option<usize>,
    pub repeat: bool,
}

/// What holds for a root field.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FieldRule {
    pub field: Box<str>,
    /// The class of a mutation that carries its key.
    pub keyed: Option<usize>,
    /// Whether a query with it may be repeated.
    pub repeat: bool,
    pub key: Box<[Box<str>]>,
    pub subject: Box<[Box<str>]>,
    pub cost: Box<[Box<str>]>,
}

/// Names of rules at most, so that looking one up stays cheap.
const MOST_RULES: usize = 1_000;
/// Steps of a path into an argument.
const MOST_STEPS: usize = 8;

impl Policy {
    /// A section as it is used, or all that is wrong with it: the field, and what to write instead.
    pub fn new(section: &Section, classes: &[ClassInfo]) -> Result<Self, Vec<(String, String)>> {
        let mut check = Check {
            classes,
            problems: Vec::new(),
        };
        let limits = check.limits(section);
        let query = check.class("query", &section.query, "safe", |effect| {
            effect == RetrySafety::Idempotent
        });
        let unsafe_only = |effect| effect == RetrySafety::NonIdempotent;
        let mutation = check.class("mutation", &section.mutation, "unsafe", unsafe_only);
        check.names("operations", section.operations.keys());
        check.names("queries", section.queries.keys());
        check.names("mutations", section.mutations.keys());
        let operations = section.operations.iter().map(|(name, rule)| {
            let at = format!("operations.{name}.class");
            let class =
                (!rule.class.is_empty()).then(|| check.class(&at, &rule.class, "known", |_| true));
            (
                name.clone(),
                OperationRule {
                    class: class.flatten(),
                    repeat: rule.repeat,
                },
            )
        });
        let operations = operations.collect();
        let queries = section.queries.iter().map(|(name, rule)| FieldRule {
            field: name.as_str().into(),
            keyed: None,
            repeat: rule.repeat,
            key: Box::default(),
            subject: check.path(&format!("queries.{name}.subject"), &rule.subject),
            cost: check.path(&format!("queries.{name}.cost"), &rule.cost),
        });
        let queries = queries.collect();
        let mutations = section
            .mutations
            .iter()
            .map(|(name, rule)| check.mutation(name, rule));
        let mutations = mutations.collect();
        match (query, mutation) {
            (Some(query), Some(mutation)) if check.problems.is_empty() => Ok(Policy {
                classes: classes.to_vec(),
                query,
                mutation,
                ignore: section.ignore.clone(),
                limits,
                persisted: section.remember.persisted,
                others: section.remember.others,
                table_bytes: usize::try_from(section.remember.bytes.0).unwrap_or(usize::MAX),
                split: section.batch.split,
                unit: section.cost.field.micros(),
                operations,
                queries,
                mutations,
            }),
            _ => Err(check.problems),
        }
    }

    /// Whether what may be done twice in `class` may be done twice with what needs `needed`.
    pub(crate) fn covers(&self, class: usize, needed: RetrySafety) -> bool {
        self.classes
            .get(class)
            .is_some_and(|class| is_as_strict(class.effect, needed))
    }

    pub(crate) fn effect(&self, class: usize) -> RetrySafety {
        self.classes
            .get(class)
            .map_or(RetrySafety::NonIdempotent, |class| class.effect)
    }
}

/// Whether `a` allows no repeat that `b` forbids.
pub(crate) fn is_as_strict(a: RetrySafety, b: RetrySafety) -> bool {
    let breadth = |scope| match scope {
        DeduplicationScope::Cell => 0,
        DeduplicationScope::Zone => 1,
        DeduplicationScope::All => 2,
    };
    match (a, b) {
        (RetrySafety::NonIdempotent, _) | (_, RetrySafety::Idempotent) => true,
        (
            RetrySafety::IdempotentWithKey {
                scope: a,
                window: short,
            },
            RetrySafety::IdempotentWithKey {
                scope: b,
                window: long,
            },
        ) => breadth(a) <= breadth(b) && short <= long,
        _ => false,
    }
}

struct Check<'a> {
    classes: &'a [ClassInfo],
    problems: Vec<(String, String)>,
}

impl Check<'_> {
    fn wrong(&mut self, field: &str, problem: impl Into<String>) {
        self.problems.push((field.to_string(), problem.into()));
    }

    fn class(
        &mut self,
        field: &str,
        name: &str,
        wanted: &str,
        fits: fn(RetrySafety) -> bool,
    ) -> Option<usize> {
        let place = self.classes.iter().position(|class| class.name == name);
        match place {
            Some(class) if fits(self.classes[class].effect) => return place,
            Some(_) => self.wrong(
                field,
                format!("the effect of {name:?} is not {wanted}; name a class that is"),
            ),
            None if name.is_empty() => {
                self.wrong(field, format!("is missing; name a class that is {wanted}"))
            }
            None => {
                let names: Vec<&str> = self
                    .classes
                    .iter()
                    .map(|class| class.name.as_str())
                    .collect();
                self.wrong(
                    field,
                    format!("{name:?} is no class; there are {}", names.join(", ")),
                );
            }
        }
        None
    }

    fn mutation(&mut self, name: &str, rule: &Mutation) -> FieldRule {
        let at = |which: &str| format!("mutations.{name}.{which}");
        let is_keyed = |effect| matches!(effect, RetrySafety::IdempotentWithKey { .. });
        let keyed = match rule.effect {
            EffectName::Keyed => self.class(&at("class"), &rule.class, "keyed", is_keyed),
            EffectName::Unsafe => None,
        };
        if rule.effect == EffectName::Keyed && rule.key.is_empty() {
            let problem =
                "is missing; name the argument that holds it, such as \"input.clientMutationId\"";
            self.wrong(&at("key"), problem);
        }
        if rule.effect == EffectName::Unsafe && !(rule.key.is_empty() && rule.class.is_empty()) {
            self.wrong(
                &at("effect"),
                "is unsafe, while a key or a class is named; write effect = \"keyed\"",
            );
        }
        FieldRule {
            field: name.into(),
            keyed,
            repeat: false,
            key: self.path(&at("key"), &rule.key),
            subject: self.path(&at("subject"), &rule.subject),
            cost: self.path(&at("cost"), &rule.cost),
        }
    }

    /// The argument and the fields into it that a text names; none where it is empty.
    fn path(&mut self, field: &str, text: &str) -> Box<[Box<str>]> {
        if text.is_empty() {
            return Box::default();
        }
        let steps: Vec<&str> = text.split('.').collect();
        if steps.len() > MOST_STEPS || !steps.iter().all(|step| is_name(step)) {
            let wanted = "write an argument and fields of it, such as \"input.clientMutationId\"";
            self.wrong(field, format!("{text:?} is no path; {wanted}"));
            return Box::default();
        }
        steps.into_iter().map(Box::from).collect()
    }

    fn names<'n>(&mut self, table: &str, names: impl ExactSizeIterator<Item = &'n String>) {
        if names.len() > MOST_RULES {
            self.wrong(
                table,
                format!(
                    "holds {} names; at most {MOST_RULES} are allowed",
                    names.len()
                ),
            );
        }
        for name in names.filter(|name| !is_name(name)) {
            self.wrong(
                &format!("{table}.{name}"),
                "is no GraphQL name; use letters, digits and _",
            );
        }
    }

    fn limits(&mut self, section: &Section) -> Limits {
        let told = &section.limits;
        let mut within = |field: &str, value: u64, least: u64, most: u64| {
            if value < least || value > most {
                self.wrong(
                    field,
                    format!("is {value}; it must lie in {least}..={most}"),
                );
            }
            value
        };
        Limits {
            bytes: within("limits.bytes", told.bytes.0, 64, 16 << 20) as usize,
            tokens: within("limits.tokens", told.tokens as u64, 1, 1 << 20) as usize,
            depth: within(
                "limits.depth",
                u64::from(told.depth),
                1,
                u64::from(Limits::DEEPEST),
            ) as u32,
            aliases: within("limits.aliases", u64::from(told.aliases), 0, 1 << 20) as u32,
            fields: within("limits.fields", u64::from(told.fields), 1, 1 << 20) as u32,
            name: within("limits.name", told.name.0, 1, 64 << 10) as usize,
            operations: within(
                "batch.operations",
                section.batch.operations as u64,
                0,
                1_000,
            ) as usize,
        }
    }
}

fn is_name(text: &str) -> bool {
    let begins = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphabetic() || b == b'_');
    begins && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}

//! Reading a TOML document, with the place of everything in it.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use std::fmt;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Problems told of one file at most: behind so many, it is another kind of file.
const MOST: usize = 64;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Its line, counted from 1.
    pub line: usize,
    /// Its column in characters, counted from 1.
    pub column: usize,
    /// The field at fault, such as `pools[1].limits.open`; empty for the file itself.
    pub field: String,
    /// What is wrong, and what to write instead.
    pub problem: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem {
            line,
            column,
            field,
            problem,
        } = self;
        let colon = if field.is_empty() { "" } else { ": " };
        write!(f, "{line}:{column}: {field}{colon}{problem}")
    }
}

/// A TOML text, the places in it, and the problems found with it so far.
pub struct Document<'t> {
    text: &'t str,
    root: Spanned<DeValue<'t>>,
    problems: Vec<Problem>,
}

impl<'t> Document<'t> {
    /// Reads a text as a `T`. What can't be read is a problem of the document and left at its default, unless the
    /// text is no TOML at all.
    pub fn read<T: DeserializeOwned + Default>(text: &'t str) -> Result<(Self, T), Vec<Problem>> {
        let (root, faults) = DeTable::parse_recoverable(text);
        if !faults.is_empty() {
            let told = faults.iter().map(|fault| {
                let (line, column) = place(text, fault.span().map_or(0, |span| span.start));
                Problem {
                    line,
                    column,
                    field: String::new(),
                    problem: one_line(fault.message()),
                }
            });
            return Err(told.take(MOST).collect());
        }
        let span = root.span();
        let root = Spanned::new(span, DeValue::Table(root.into_inner()));
        let mut document = Document {
            text,
            root,
            problems: Vec::new(),
        };
        let mut rest = document.root.clone();
        let value = loop {
            let reader = toml::de::ValueDeserializer::from(rest.clone());
            match serde_path_to_error::deserialize::<_, T>(reader) {
                Ok(value) => break value,
                Err(_) if document.problems.len() >= MOST => break T::default(),
                Err(fault) => {
                    let mut path: Vec<Segment> = fault.path().iter().cloned().collect();
                    let message = one_line(fault.inner().message());
                    // Of a field that is not known the path tells the table alone.
                    let unknown = unknown_name(&message);
                    if let Some((name, _)) = &unknown
                        && !matches!(path.last(), Some(Segment::Map { key }) if key == name)
                    {
                        path.push(Segment::Map { key: name.clone() });
                    }
                    let message = unknown.map_or(message, |(name, known)| suggest(&name, &known));
                    let removed = remove(rest.get_mut(), &path);
                    document.problem(&written(&path), message);
                    if !removed {
                        break T::default();
                    }
                }
            }
        };
        Ok((document, value))
    }

    /// Notes a problem with a field; of one that is not there, the place is that of the innermost table round it.
    pub fn problem(&mut self, field: &str, problem: impl fmt::Display) {
        if self.problems.len() < MOST {
            let (line, column) = self.position(field);
            let problem = problem.to_string();
            self.problems.push(Problem {
                line,
                column,
                field: field.to_string(),
                problem,
            });
        }
    }

    /// Notes a problem with a field unless a condition holds.
    pub fn require(&mut self, holds: bool, field: &str, problem: impl fmt::Display) {
        if !holds {
            self.problem(field, problem);
        }
    }

    /// Line and column, from 1, of a field such as `a.b[2].c`.
    pub fn position(&self, field: &str) -> (usize, usize) {
        place(self.text, self.nearest(field).0.span().start)
    }

    /// Whether the field stands in the file.
    pub fn has(&self, field: &str) -> bool {
        self.nearest(field).1
    }

    /// The value of a field, or the innermost of those round it that is there, and whether it is the field's own.
    fn nearest(&self, field: &str) -> (&Spanned<DeValue<'t>>, bool) {
        let mut at = &self.root;
        for step in field
            .split(['.', '['])
            .map(|step| step.trim_end_matches(']'))
        {
            let inner = match at.get_ref() {
                DeValue::Array(list) => step
                    .parse::<usize>()
                    .ok()
                    .and_then(|number| list.get(number)),
                DeValue::Table(table) => table.get(step),
                _ => None,
            };
            let Some(inner) = inner else {
                return (at, false);
            };
            at = inner;
        }
        (at, true)
    }

    /// The value, if nothing was wrong with the file, else all that was, in the order of the file.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Problem>> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        self.problems.sort();
        self.problems.dedup();
        Err(self.problems)
    }
}

fn one_line(text: &str) -> String {
    text.trim().replace(['\n', '\r'], "; ")
}

/// Line and column in characters, from 1.
fn place(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset.min(text.len())).unwrap_or_default();
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    (
        before.matches('\n').count() + 1,
        before[line_start..].chars().count() + 1,
    )
}

fn written(path: &[Segment]) -> String {
    let mut written = String::new();
    for segment in path {
        match segment {
            Segment::Seq { index } => written += &format!("[{index}]"),
            Segment::Map { key } | Segment::Enum { variant: key } => {
                if !written.is_empty() {
                    written.push('.');
                }
                written += key;
            }
            Segment::Unknown => {}
        }
    }
    written
}

/// The name that an error of serde says is not known, and those that are.
fn unknown_name(message: &str) -> Option<(String, Vec<String>)> {
    let rest = message.strip_prefix("unknown field `")?;
    let mut names = rest.split('`');
    let name = names.next()?.to_string();
    // Between the names stand the words.
    Some((name, names.skip(1).step_by(2).map(str::to_string).collect()))
}

fn suggest(name: &str, known: &[String]) -> String {
    let nearest = known.iter().max_by(|a, b| {
        strsim::jaro_winkler(name, a)
            .total_cmp(&strsim::jaro_winkler(name, b))
            .then_with(|| b.cmp(a))
    });
    match nearest {
        Some(near) if strsim::jaro_winkler(name, near) > 0.8 => {
            format!("is not known; did you mean {near}?")
        }
        Some(_) => format!("is not known; there are {}", known.join(", ")),
        None => "is not known".to_string(),
    }
}

/// Sets a value aside, so that reading goes on behind it. False where there is none.
fn remove(from: &mut DeValue<'_>, path: &[Segment]) -> bool {
    let Some((first, rest)) = path.split_first() else {
        return false;
    };
    match (first, from) {
        (Segment::Seq { index }, DeValue::Array(list)) => match list.get_mut(*index) {
            // An element alone stays in its place, for those behind it keep their numbers; so all of the list goes.
            Some(inner) if !rest.is_empty() => remove(inner.get_mut(), rest),
            _ => false,
        },
        (Segment::Map { key }, DeValue::Table(table)) => {
            let inner = table.get_mut(key.as_str());
            let deeper =
                inner.is_some_and(|inner| !rest.is_empty() && remove(inner.get_mut(), rest));
            deeper || table.remove(key.as_str()).is_some()
        }
        // The variant of an enum is no place of its own.
        (Segment::Enum { .. } | Segment::Unknown, from) => remove(from, rest),
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Span;
    use proptest::prelude::*;
    use serde::Deserialize;

    #[derive(Debug, Default, PartialEq, Deserialize)]
    #[serde(default, deny_unknown_fields)]
    struct File {
        version: u32,
        wait: Span,
        pools: Vec<Pool>,
        one: Pool,
    }

    #[derive(Debug, Default, PartialEq, Deserialize)]
    #[serde(default, deny_unknown_fields)]
    struct Pool {
        name: String,
        open: u32,
        sides: Vec<u8>,
    }

    fn problems(text: &str) -> Vec<String> {
        match Document::read::<File>(text).and_then(|(document, file)| document.finish(file)) {
            Ok(file) => panic!("{file:?}"),
            Err(problems) => problems.iter().map(Problem::to_string).collect(),
        }
    }

    #[test]
    fn every_problem_is_told_at_once_with_its_place() {
        let told = problems(
            "version = \"one\"\nwait = 5\n[[pools]]\nname = \"a\"\nopne = 3\n[[pools]]\nopen = -1\nsides = [1, 999]\n[one]\nzzz = 1\n",
        );
        let begin = [
            "1:11: version: ",
            "2:8: wait: ",
            "5:8: pools[0].opne: ",
            "7:8: pools[1].open: ",
        ];
        for (told, begin) in told.iter().zip(begin) {
            assert!(told.starts_with(begin), "{told} is not {begin}");
        }
        assert!(told[2].ends_with("did you mean open?"), "{}", told[2]);
        assert!(
            told[4].starts_with("8:13: pools[1].sides[1]: "),
            "{}",
            told[4]
        );
        assert!(
            told[5].starts_with("10:7: one.zzz: is not known; there are name, open"),
            "{}",
            told[5]
        );
        assert_eq!(told.len(), 6);
    }

    #[test]
    fn what_is_no_toml_is_told_with_its_place() {
        let told = problems("version = 1\nwait = \n");
        assert!(told[0].starts_with("2:"), "{told:?}");
    }

    #[test]
    fn a_check_names_places_of_what_is_there_and_of_what_is_missing() {
        let (mut document, file) =
            Document::read::<File>("version = 1\n[[pools]]\nname = \"é\"\nopen = 2\n")
                .expect("TOML");
        document.require(file.pools[0].open > 2, "pools[0].open", "must be above 2");
        document.require(
            !file.pools[0].sides.is_empty(),
            "pools[0].sides",
            "is missing",
        );
        assert!(document.has("pools[0].open") && !document.has("pools[0].sides"));
        let told = document.finish(file).expect_err("two problems");
        assert_eq!(told[1].to_string(), "4:8: pools[0].open: must be above 2");
        assert_eq!(
            (told[0].line, told[0].field.as_str()),
            (2, "pools[0].sides")
        );
    }

    proptest! {
        #[test]
        fn no_text_is_too_odd(text in "([a-z]{1,6} ?= ?[\\[\\]{}\"0-9a-z., ]{0,12}\n|\\[{1,2}(pools|one|wait)\\]{1,2}\n|\\PC{0,8}\n){0,12}") {
            let _ = Document::read::<File>(&text).and_then(|(document, file)| document.finish(file));
        }
    }
}

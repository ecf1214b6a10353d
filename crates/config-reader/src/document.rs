//! Reads a TOML document and keeps the source position of every value.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use std::fmt;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Maximum number of problems reported for one file. A file with more is probably of another kind.
const MAX_PROBLEMS: usize = 64;

/// A problem in a file and its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// The invalid field, such as `pools[1].limits.open`; empty for the file itself.
    pub field: String,
    /// What is wrong and what to write instead.
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

/// A TOML text, the positions of its values, and the problems found so far.
pub struct Document<'t> {
    text: &'t str,
    root: Spanned<DeValue<'t>>,
    problems: Vec<Problem>,
}

impl<'t> Document<'t> {
    /// Deserializes a text into a `T`. A value that cannot be read is recorded as a problem of the document, and its field
    /// keeps its default.
    ///
    /// If the text is not valid TOML, the result is an `Err` with the syntax errors.
    pub fn read<T: DeserializeOwned + Default>(text: &'t str) -> Result<(Self, T), Vec<Problem>> {
        let (root, syntax_errors) = DeTable::parse_recoverable(text);
        if !syntax_errors.is_empty() {
            let problems = syntax_errors.iter().map(|error| {
                let (line, column) =
                    line_and_column(text, error.span().map_or(0, |span| span.start));
                Problem {
                    line,
                    column,
                    field: String::new(),
                    problem: to_one_line(error.message()),
                }
            });
            return Err(problems.take(MAX_PROBLEMS).collect());
        }
        let span = root.span();
        let root = Spanned::new(span, DeValue::Table(root.into_inner()));
        let mut document = Document {
            text,
            root,
            problems: Vec::new(),
        };
        let mut remaining = document.root.clone();
        let value = loop {
            let deserializer = toml::de::ValueDeserializer::from(remaining.clone());
            match serde_path_to_error::deserialize::<_, T>(deserializer) {
                Ok(value) => break value,
                Err(_) if document.problems.len() >= MAX_PROBLEMS => break T::default(),
                Err(error) => {
                    let mut path: Vec<Segment> = error.path().iter().cloned().collect();
                    let message = to_one_line(error.inner().message());
                    // For an unknown field, the path of the error ends at the table that contains it.
                    let unknown = parse_unknown_field(&message);
                    if let Some((name, _)) = &unknown
                        && !matches!(path.last(), Some(Segment::Map { key }) if key == name)
                    {
                        path.push(Segment::Map { key: name.clone() });
                    }
                    let message = unknown.map_or(message, |(name, known)| {
                        unknown_field_message(&name, &known)
                    });
                    let removed = remove_value(remaining.get_mut(), &path);
                    document.problem(&format_path(&path), message);
                    if !removed {
                        break T::default();
                    }
                }
            }
        };
        Ok((document, value))
    }

    /// Records a problem with a field. If the field is absent, the position is that of the innermost enclosing value.
    pub fn problem(&mut self, field: &str, problem: impl fmt::Display) {
        if self.problems.len() < MAX_PROBLEMS {
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

    /// Records a problem with a field unless a condition holds.
    pub fn require(&mut self, condition: bool, field: &str, problem: impl fmt::Display) {
        if !condition {
            self.problem(field, problem);
        }
    }

    /// Line and column, counted from 1, of a field such as `a.b[2].c`.
    pub fn position(&self, field: &str) -> (usize, usize) {
        line_and_column(self.text, self.find_nearest(field).0.span().start)
    }

    /// Whether the file contains the field.
    pub fn has(&self, field: &str) -> bool {
        self.find_nearest(field).1
    }

    /// Returns the value of a field and `true`, or the innermost enclosing value and `false` if the field is absent.
    fn find_nearest(&self, field: &str) -> (&Spanned<DeValue<'t>>, bool) {
        let mut current = &self.root;
        for step in field
            .split(['.', '['])
            .map(|step| step.trim_end_matches(']'))
        {
            let inner = match current.get_ref() {
                DeValue::Array(list) => {
                    step.parse::<usize>().ok().and_then(|index| list.get(index))
                }
                DeValue::Table(table) => table.get(step),
                _ => None,
            };
            let Some(inner) = inner else {
                return (current, false);
            };
            current = inner;
        }
        (current, true)
    }

    /// Returns the value if no problem was recorded, else all problems, sorted by position and without duplicates.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Problem>> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        self.problems.sort();
        self.problems.dedup();
        Err(self.problems)
    }
}

fn to_one_line(text: &str) -> String {
    text.trim().replace(['\n', '\r'], "; ")
}

/// Converts a byte offset to line and column, counted from 1; columns are in characters.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset.min(text.len())).unwrap_or_default();
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    (
        before.matches('\n').count() + 1,
        before[line_start..].chars().count() + 1,
    )
}

/// Formats a path as in `a.b[2].c`.
fn format_path(path: &[Segment]) -> String {
    let mut formatted = String::new();
    for segment in path {
        match segment {
            Segment::Seq { index } => formatted += &format!("[{index}]"),
            Segment::Map { key } | Segment::Enum { variant: key } => {
                if !formatted.is_empty() {
                    formatted.push('.');
                }
                formatted += key;
            }
            Segment::Unknown => {}
        }
    }
    formatted
}

/// Parses serde's message for an unknown field into the name of the field and the known names.
fn parse_unknown_field(message: &str) -> Option<(String, Vec<String>)> {
    let rest = message.strip_prefix("unknown field `")?;
    let mut names = rest.split('`');
    let name = names.next()?.to_string();
    // The names are in backquotes, so every second part of the split is text between names.
    Some((name, names.skip(1).step_by(2).map(str::to_string).collect()))
}

fn unknown_field_message(name: &str, known: &[String]) -> String {
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

/// Removes an invalid value, so that reading can continue with the rest. Returns `false` if there is no value to remove.
fn remove_value(from: &mut DeValue<'_>, path: &[Segment]) -> bool {
    let Some((first, rest)) = path.split_first() else {
        return false;
    };
    match (first, from) {
        (Segment::Seq { index }, DeValue::Array(list)) => match list.get_mut(*index) {
            // Removing one element would change the indexes of those after it, so the whole list is removed instead.
            Some(inner) if !rest.is_empty() => remove_value(inner.get_mut(), rest),
            _ => false,
        },
        (Segment::Map { key }, DeValue::Table(table)) => {
            let inner = table.get_mut(key.as_str());
            let removed_inside =
                inner.is_some_and(|inner| !rest.is_empty() && remove_value(inner.get_mut(), rest));
            removed_inside || table.remove(key.as_str()).is_some()
        }
        // The variant of an enum has no value of its own in the document.
        (Segment::Enum { .. } | Segment::Unknown, from) => remove_value(from, rest),
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
    fn all_problems_are_reported_at_once_with_their_positions() {
        let reported = problems(
            "version = \"one\"\nwait = 5\n[[pools]]\nname = \"a\"\nopne = 3\n[[pools]]\nopen = -1\nsides = [1, 999]\n[one]\nzzz = 1\n",
        );
        let prefixes = [
            "1:11: version: ",
            "2:8: wait: ",
            "5:8: pools[0].opne: ",
            "7:8: pools[1].open: ",
        ];
        for (problem, prefix) in reported.iter().zip(prefixes) {
            assert!(
                problem.starts_with(prefix),
                "{problem} does not start with {prefix}"
            );
        }
        assert!(
            reported[2].ends_with("did you mean open?"),
            "{}",
            reported[2]
        );
        assert!(
            reported[4].starts_with("8:13: pools[1].sides[1]: "),
            "{}",
            reported[4]
        );
        assert!(
            reported[5].starts_with("10:7: one.zzz: is not known; there are name, open"),
            "{}",
            reported[5]
        );
        assert_eq!(reported.len(), 6);
    }

    #[test]
    fn a_syntax_error_is_reported_with_its_position() {
        let reported = problems("version = 1\nwait = \n");
        assert!(reported[0].starts_with("2:"), "{reported:?}");
    }

    #[test]
    fn a_check_reports_positions_of_present_and_missing_fields() {
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
        let reported = document.finish(file).expect_err("two problems");
        assert_eq!(
            reported[1].to_string(),
            "4:8: pools[0].open: must be above 2"
        );
        assert_eq!(
            (reported[0].line, reported[0].field.as_str()),
            (2, "pools[0].sides")
        );
    }

    proptest! {
        #[test]
        fn no_text_causes_a_panic(text in "([a-z]{1,6} ?= ?[\\[\\]{}\"0-9a-z., ]{0,12}\n|\\[{1,2}(pools|one|wait)\\]{1,2}\n|\\PC{0,8}\n){0,12}") {
            let _ = Document::read::<File>(&text).and_then(|(document, file)| document.finish(file));
        }
    }
}

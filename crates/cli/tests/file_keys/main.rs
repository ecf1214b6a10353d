//! The keys of the files that people write: a file with every key is read, the keys of each table are those of the
//! list, and a key that is not known is refused with its place and the list.

mod agent;
mod change;
mod operator;
mod relay;

use madderloom_config_reader::Problem;
use std::collections::{BTreeMap, BTreeSet};

/// A table of a file: its header, and its keys with their values.
type Table = (&'static str, &'static [(&'static str, &'static str)]);

/// A key that no table has, nor one like it.
const UNKNOWN: &str = "zzzz_unknown";

/// How a key that a table does not have is refused.
#[derive(Clone, Copy)]
enum Refusal {
    /// At its place, with the keys that there are.
    WithList,
    /// At its place, with a text that begins like this.
    Says(&'static str),
    /// At the table's place, with a text that begins like this.
    SaysOfTable(&'static str),
}

/// The keys of a table. `table` is its path without positions, such as `pools.limits`.
struct Keys {
    table: &'static str,
    keys: &'static [&'static str],
    refusal: Refusal,
}

const fn keys(table: &'static str, keys: &'static [&'static str]) -> Keys {
    Keys {
        table,
        keys,
        refusal: Refusal::WithList,
    }
}

fn written(tables: &[Table], unknown_in: Option<usize>) -> String {
    let mut text = String::new();
    for (place, (header, values)) in tables.iter().enumerate() {
        text.extend([*header, "\n"]);
        for &(key, value) in *values {
            text.extend([key, " = ", value, "\n"]);
        }
        if unknown_in == Some(place) {
            text.extend([UNKNOWN, " = 1\n"]);
        }
    }
    text
}

/// The path of a table without positions.
fn path(header: &str) -> String {
    header.trim_matches(['[', ']']).to_string()
}

/// The path of a table as problems tell it, with its position in each list.
fn place(tables: &[Table], number: usize) -> String {
    let path = path(tables[number].0);
    let mut place = String::new();
    for (end, _) in path.match_indices('.').chain([(path.len(), "")]) {
        let list = format!("[[{}]]", &path[..end]);
        let entries = tables[..=number]
            .iter()
            .filter(|(header, _)| *header == list)
            .count();
        let step = path[..end].rsplit('.').next().unwrap_or_default();
        let dot = if place.is_empty() { "" } else { "." };
        let position = entries
            .checked_sub(1)
            .map(|position| format!("[{position}]"))
            .unwrap_or_default();
        place += &format!("{dot}{step}{position}");
    }
    place
}

/// Checks that a refusal is the one that is expected of a key that is not known.
fn check_refusal(list: &Keys, place: &str, problems: &[Problem]) {
    let key = if place.is_empty() {
        UNKNOWN.to_string()
    } else {
        format!("{place}.{UNKNOWN}")
    };
    let [Problem { field, problem, .. }] = problems else {
        panic!("not one problem: {problems:#?}")
    };
    match list.refusal {
        Refusal::WithList => {
            assert_eq!(*field, key);
            let known = problem
                .strip_prefix("is not known; there are ")
                .unwrap_or_else(|| panic!("{problem}"));
            assert_eq!(
                sorted(known.split(", ")),
                sorted(list.keys.iter().copied()),
                "the keys of {place:?}"
            );
        }
        Refusal::Says(text) => assert!(
            *field == key && problem.starts_with(text),
            "{field}: {problem}"
        ),
        Refusal::SaysOfTable(text) => {
            assert!(
                field == place && problem.starts_with(text),
                "{field}: {problem}"
            );
        }
    }
}

fn sorted<'k>(keys: impl Iterator<Item = &'k str>) -> Vec<&'k str> {
    let mut keys: Vec<&str> = keys.collect();
    keys.sort_unstable();
    keys
}

/// Checks files that have every key between them against the lists of the keys of their tables.
fn check(files: &[&[Table]], lists: &[Keys], read: fn(&str) -> Result<(), Vec<Problem>>) {
    let mut found = BTreeMap::<String, BTreeSet<String>>::new();
    for tables in files {
        let text = written(tables, None);
        assert_eq!(read(&text), Ok(()), "{text}");
        for (number, (header, values)) in tables.iter().enumerate() {
            let path = path(header);
            note_keys(&mut found, &path, values.iter().map(|(key, _)| *key));
            let list = lists.iter().find(|list| list.table == path);
            let list = list.unwrap_or_else(|| panic!("no list of the keys of {path:?}"));
            let text = written(tables, Some(number));
            let problems = read(&text).expect_err("a key that is not known");
            check_refusal(list, &place(tables, number), &problems);
        }
    }
    for list in lists {
        let found = found[list.table].iter().map(String::as_str);
        let listed = sorted(list.keys.iter().copied());
        assert_eq!(
            sorted(found),
            listed,
            "the keys of {:?} in the files of this test, and in its list",
            list.table
        );
    }
}

/// Notes the keys of a table, and the table itself as a key of the one round it.
fn note_keys<'k>(
    found: &mut BTreeMap<String, BTreeSet<String>>,
    table: &str,
    keys: impl Iterator<Item = &'k str>,
) {
    found
        .entry(table.to_string())
        .or_default()
        .extend(keys.map(String::from));
    let mut inner = table;
    while !inner.is_empty() {
        let (outer, name) = inner.rsplit_once('.').unwrap_or(("", inner));
        found
            .entry(outer.to_string())
            .or_default()
            .insert(name.to_string());
        inner = outer;
    }
}

//! The architecture page names files, types and dependencies of crates that exist.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn page() -> String {
    read(&root().join("docs/architecture.md"))
}

/// The texts of a page that stand between backticks, without those of fenced blocks.
fn code_spans(page: &str) -> Vec<String> {
    let prose: Vec<&str> = page
        .split("```")
        .step_by(2)
        .flat_map(|part| part.split('`').skip(1).step_by(2))
        .collect();
    prose.into_iter().map(str::to_string).collect()
}

/// All Rust files below a folder.
fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The sources of all crates, without their tests.
fn sources() -> Vec<String> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root().join("crates")).expect("the crates") {
        rust_files(&entry.expect("a crate").path().join("src"), &mut files);
    }
    files.iter().map(|file| read(file)).collect()
}

/// Whether a text is `Type`, `Type::function` or `module::function`, and not a word of another kind.
fn is_rust_path(text: &str) -> bool {
    let identifier = |part: &str| {
        !part.is_empty() && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    let is_type = text.starts_with(|c: char| c.is_ascii_uppercase())
        && text.contains(|c: char| c.is_ascii_lowercase());
    text.split("::").all(identifier) && (is_type || text.contains("::"))
}

/// The dependencies of each crate on other crates of the workspace, those of tests left out.
fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let mut found = BTreeMap::new();
    for entry in std::fs::read_dir(root().join("crates")).expect("the crates") {
        let folder = entry.expect("a crate").path();
        let manifest = read(&folder.join("Cargo.toml"));
        let section = manifest
            .split("\n[")
            .find_map(|section| section.strip_prefix("dependencies]\n"));
        let names = section
            .unwrap_or_default()
            .lines()
            .filter_map(|line| line.strip_prefix("madderloom-"))
            .filter_map(|line| line.split(['.', ' ', '=']).next())
            .map(str::to_string)
            .collect();
        let name = folder.file_name().expect("a name").to_string_lossy();
        found.insert(name.into_owned(), names);
    }
    found
}

/// All that a crate depends on, through others as well.
fn reachable(from: &str, dependencies: &BTreeMap<String, BTreeSet<String>>) -> BTreeSet<String> {
    let direct = &dependencies[from];
    let further = direct.iter().flat_map(|name| reachable(name, dependencies));
    direct.iter().cloned().chain(further).collect()
}

#[test]
fn each_file_that_the_page_names_exists() {
    let spans = code_spans(&page());
    let files: Vec<_> = spans.iter().filter(|span| span.ends_with(".rs")).collect();
    assert!(files.len() > 30, "the page names {} files", files.len());
    for file in files {
        let is_there = |folder: &str| root().join(folder).join(file).is_file();
        assert!(is_there("crates") || is_there("."), "there is no {file}");
    }
}

#[test]
fn each_type_and_function_that_the_page_names_exists() {
    let sources = sources();
    let is_defined = |name: &str| {
        let kinds = ["struct", "enum", "trait", "type", "fn", "mod"];
        let variant = format!("\n    {name}");
        let ends = |text: &str| !text.starts_with(|c: char| c.is_alphanumeric() || c == '_');
        sources.iter().any(|source| {
            let definition = kinds.iter().any(|kind| {
                let text = format!("{kind} {name}");
                source
                    .match_indices(&text)
                    .any(|(at, _)| ends(&source[at + text.len()..]))
            });
            definition
                || source
                    .match_indices(&variant)
                    .any(|(at, _)| ends(&source[at + variant.len()..]))
        })
    };
    let foreign = ["RefCell", "Send", "Connection", "Retry-After"];
    let spans = code_spans(&page());
    let paths: BTreeSet<_> = spans.iter().filter(|span| is_rust_path(span)).collect();
    assert!(paths.len() > 25, "the page names {} types", paths.len());
    for path in paths {
        if foreign.contains(&path.as_str()) {
            continue;
        }
        for part in path.split("::") {
            let is_crate = root().join("crates").join(part.replace('_', "-")).is_dir();
            assert!(is_crate || is_defined(part), "{path}: there is no {part}");
        }
    }
}

#[test]
fn the_diagram_of_crates_has_exactly_the_dependencies_that_do_not_follow_from_others() {
    let dependencies = dependencies();
    let mut expected = BTreeSet::new();
    for (from, direct) in &dependencies {
        for to in direct {
            let follows = direct
                .iter()
                .any(|other| other != to && reachable(other, &dependencies).contains(to));
            if !follows {
                expected.insert(format!("{from} --> {to}"));
            }
        }
    }
    let page = page();
    let diagram = page
        .split("```mermaid\nflowchart TD\n")
        .nth(1)
        .expect("a diagram");
    let drawn: BTreeSet<String> = diagram
        .split("```")
        .next()
        .unwrap_or_default()
        .lines()
        .map(|line| line.trim().to_string())
        .collect();
    assert_eq!(drawn, expected);
}

#[test]
fn the_table_of_crates_has_each_crate() {
    let page = page();
    let table = page.split("| crate | owns |").nth(1).expect("a table");
    let named: BTreeSet<String> = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .filter_map(|line| line.split('`').nth(1))
        .map(str::to_string)
        .collect();
    assert_eq!(named, dependencies().into_keys().collect());
}

//! The lab's page and the lab's help name the same options.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

fn options(text: &str) -> BTreeSet<String> {
    let ends = |c: char| !(c.is_ascii_lowercase() || c == '-');
    let words = text.split(|c: char| c.is_whitespace() || "`'\"([|,".contains(c));
    let names = words.filter_map(|word| word.strip_prefix("--"));
    names
        .map(|name| name.split(ends).next().unwrap_or_default().to_string())
        .filter(|n| n.len() > 1)
        .collect()
}

fn help(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom-lab"));
    let done = command.args(arguments).arg("--help").output().expect("it runs");
    String::from_utf8(done.stdout).expect("text")
}

#[test]
fn each_option_of_its_pages_is_in_its_help_and_the_other_way_round() {
    let all = help(&[]);
    let (_, commands) = all.split_once("\nCommands:\n").expect("it has some");
    let names =
        commands.lines().take_while(|line| !line.is_empty()).filter_map(|l| l.split_whitespace().next());
    let known: BTreeSet<String> =
        names.filter(|n| *n != "help").flat_map(|name| options(&help(&[name]))).collect();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = |name: &str| std::fs::read_to_string(root.join(name)).expect("it is there");
    let lab = page("docs/lab.md")
        + &page("docs/large-fleets.md")
        + &page("docs/connections.md")
        + &page("README.md");
    let named = options(&lab);
    let others = ["release", "bin", "locked", "example", "log-level", "log-format"];
    let unknown: Vec<_> =
        named.iter().filter(|name| !known.contains(*name) && !others.contains(&name.as_str())).collect();
    assert!(unknown.is_empty(), "pages name {unknown:?}, which no command has");
    let untold: Vec<_> =
        known.iter().filter(|n| !named.contains(*n) && !["help", "version"].contains(&n.as_str())).collect();
    assert!(untold.is_empty(), "no page tells of {untold:?}");
}

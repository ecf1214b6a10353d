//! What a program's help and its pages name.

use std::collections::BTreeSet;
use std::process::Command;

/// The long options that a text names.
pub fn options(text: &str) -> BTreeSet<String> {
    let ends = |c: char| !(c.is_ascii_lowercase() || c == '-');
    let words = text.split(|c: char| c.is_whitespace() || "`'\"([|,".contains(c));
    let names = words.filter_map(|word| word.strip_prefix("--"));
    names
        .map(|name| name.split(ends).next().unwrap_or_default().to_string())
        .filter(|n| n.len() > 1)
        .collect()
}

/// The options of a command of this program and of all those below it.
pub fn helped(program: &str, path: &[&str]) -> BTreeSet<String> {
    let done = Command::new(program)
        .args(path)
        .arg("--help")
        .output()
        .expect("it runs");
    assert!(done.status.success(), "{path:?}: {done:?}");
    let help = String::from_utf8(done.stdout).expect("text");
    let mut found = options(&help);
    let commands = help
        .split_once("\nCommands:\n")
        .map_or("", |(_, below)| below);
    for line in commands.lines().take_while(|line| !line.is_empty()) {
        let name = line.split_whitespace().next().unwrap_or_default();
        if line.starts_with("  ") && !line.starts_with("   ") && name != "help" {
            found.append(&mut helped(program, &[path, &[name]].concat()));
        }
    }
    found
}

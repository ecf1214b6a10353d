//! The lab's page and the lab's help name the same options.

#[path = "../../cli/tests/pages/mod.rs"]
mod pages;
use pages::{helped, options};
use std::path::Path;

#[test]
fn each_option_of_its_pages_is_in_its_help_and_the_other_way_round() {
    let known = helped(env!("CARGO_BIN_EXE_madderloom-lab"), &[]);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = |name: &str| std::fs::read_to_string(root.join(name)).expect("it is there");
    let lab = page("docs/lab.md")
        + &page("docs/large-fleets.md")
        + &page("docs/connections.md")
        + &page("README.md");
    let named = options(&lab);
    let others = [
        "release",
        "bin",
        "locked",
        "example",
        "log-level",
        "log-format",
    ];
    let unknown: Vec<_> = named
        .iter()
        .filter(|name| !known.contains(*name) && !others.contains(&name.as_str()))
        .collect();
    assert!(
        unknown.is_empty(),
        "pages name {unknown:?}, which no command has"
    );
    let untold: Vec<_> = known
        .iter()
        .filter(|n| !named.contains(*n) && !["help", "version"].contains(&n.as_str()))
        .collect();
    assert!(untold.is_empty(), "no page tells of {untold:?}");
}

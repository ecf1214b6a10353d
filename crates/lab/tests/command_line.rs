//! The subcommands and options of `madderloom-lab` are those of the committed outline: scripts depend on them.

#[path = "../../cli/tests/command_line/outline.rs"]
mod outline;

use outline::outline;
use std::path::Path;

/// The lab starts itself with these.
const HIDDEN: [&str; 5] = [
    "scale-child",
    "scale-worker",
    "sidecar",
    "pass-through",
    "one-run",
];

#[test]
fn subcommands_and_options_are_those_of_the_outline() {
    let present = outline(Path::new(env!("CARGO_BIN_EXE_madderloom-lab")), &HIDDEN);
    let committed = include_str!("fixtures/command-line.txt");
    assert_eq!(
        present, committed,
        "the command line has changed; it is now:\n{present}"
    );
}

//! The subcommands and options of `madderloom` are those of the committed outline: scripts and units depend on them.

mod outline;

use outline::outline;
use std::path::Path;

#[test]
fn subcommands_and_options_are_those_of_the_outline() {
    let present = outline(Path::new(env!("CARGO_BIN_EXE_madderloom")), &[]);
    let committed = include_str!("../fixtures/command-line.txt");
    assert_eq!(
        present, committed,
        "the command line has changed; it is now:\n{present}"
    );
}

//! `docs/CAPACITY.md` shows what the program makes of the measured files.

use madderloom_lab::scale::capacity::rows;
use madderloom_lab::scale::markdown;
use madderloom_lab::scale::measured::Measured;
use madderloom_lab::scale::size::SizeFile;
use std::path::{Path, PathBuf};

fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root(path)).expect("it is there")
}

#[test]
fn the_page_shows_the_program_s_tables() {
    let page = read("docs/CAPACITY.md");
    let size = SizeFile::read(&read("docs/capacity/size-11000.toml")).expect("it makes sense");
    let measured = Measured::read(&root("docs/capacity")).expect("measured files");
    assert!(measured.real.is_some() && measured.series.contains_key("base"));
    let capacity = markdown::capacity(&rows(&size, &measured));
    assert!(
        page.contains(capacity.trim_end()),
        "docs/CAPACITY.md has another table than this:\n{capacity}"
    );
    let slopes = markdown::slopes(&measured);
    assert!(
        page.contains(&slopes),
        "docs/CAPACITY.md has other slopes than these:\n{slopes}"
    );
}

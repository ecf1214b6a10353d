//! The decisions are read aloud after outages: their lines stay narrow enough for any screen.

#[test]
fn no_line_of_the_decisions_is_wider_than_110_columns() {
    let files = [
        ("src/decide.rs", include_str!("../src/decide.rs")),
        ("src/settings.rs", include_str!("../src/settings.rs")),
    ];
    for (name, text) in files {
        for (at, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}:{} is too long", at + 1);
        }
    }
}

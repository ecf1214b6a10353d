//! The decision module is read line by line after outages, so its lines must fit on any screen.

#[test]
fn no_line_of_the_decision_module_is_wider_than_110_columns() {
    let files = [
        ("src/decide.rs", include_str!("../src/decide.rs")),
        ("src/settings.rs", include_str!("../src/settings.rs")),
    ];
    for (name, text) in files {
        for (index, line) in text.lines().enumerate() {
            assert!(
                line.chars().count() <= 110,
                "{name}:{} is longer than 110 columns",
                index + 1
            );
        }
    }
}

//! Patterns of names.

/// Whether a pattern matches a name: it equals the name, or is a prefix of it followed by `*`.
pub fn matches_pattern(pattern: &str, name: &str) -> bool {
    pattern
        .strip_suffix('*')
        .map_or(pattern == name, |prefix| name.starts_with(prefix))
}

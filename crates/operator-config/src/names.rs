//! Names of listeners, pools and routes, and references to them.

use madderloom_config_reader::Document;

/// The name of the listener and of the pool that the platform's configuration defines.
pub const PLATFORM: &str = "platform";

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// The names of one section by index; the first is that of the platform.
pub(crate) struct Names(Vec<String>);

impl Names {
    /// Collects the names of a section's entries and reports invalid and duplicate ones.
    pub(crate) fn of<'a>(
        document: &mut Document<'_>,
        section: &str,
        names: impl Iterator<Item = &'a str>,
    ) -> Names {
        let mut collected = vec![PLATFORM.to_string()];
        for (index, name) in names.enumerate() {
            let field = format!("{section}[{index}].name");
            if !document.has(&field) {
                document.problem(&field, "is missing; every entry has a name of its own");
            } else if !is_name(name) && !name.is_empty() {
                document.problem(
                    &field,
                    "is no name; use up to 64 letters, digits, `-`, `_` and `.`",
                );
            } else if name.is_empty() {
                document.problem(&field, "is empty; every entry has a name of its own");
            } else if name == PLATFORM {
                document.problem(
                    &field,
                    "is reserved for the configuration in RELAY_CONFIG; choose another",
                );
            } else if collected.iter().any(|other| other == name) {
                document.problem(
                    &field,
                    format_args!("is there twice: {name}; names are unique"),
                );
            }
            collected.push(name.to_string());
        }
        Names(collected)
    }

    /// Returns the index of a name. If the name is unknown, a problem is reported for `field`.
    pub(crate) fn find(
        &self,
        document: &mut Document<'_>,
        field: &str,
        name: &str,
    ) -> Option<usize> {
        let index = self.0.iter().position(|other| other == name);
        if index.is_none() {
            let known = self.0.join(", ");
            document.problem(field, format_args!("there is no {name}; there are {known}"));
        }
        index
    }

    /// Number of names, including that of the platform.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn name(&self, index: usize) -> &str {
        self.0.get(index).map_or("", String::as_str)
    }
}

pub(crate) fn is_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

//! Names of listeners, pools and routes, and what refers to them.

use madderloom_config_reader::Document;

/// The name of the listener and of the pool that the platform's configuration stands for.
pub const PLATFORM: &str = "platform";

/// The longest name.
const LONGEST: usize = 64;

/// The names of one section, by their places; the first is the platform's.
pub(crate) struct Names(Vec<String>);

impl Names {
    /// Takes in the names of a section's entries, and notes those that are no names, or are there twice.
    pub(crate) fn of<'a>(
        document: &mut Document<'_>,
        section: &str,
        names: impl Iterator<Item = &'a str>,
    ) -> Names {
        let mut all = vec![PLATFORM.to_string()];
        for (at, name) in names.enumerate() {
            let field = format!("{section}[{at}].name");
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
                    "is the name of what RELAY_CONFIG names; choose another",
                );
            } else if all.iter().any(|other| other == name) {
                document.problem(
                    &field,
                    format_args!("is there twice: {name}; names are unique"),
                );
            }
            all.push(name.to_string());
        }
        Names(all)
    }

    /// The place of a name; a problem of this field where there is none.
    pub(crate) fn find(
        &self,
        document: &mut Document<'_>,
        field: &str,
        name: &str,
    ) -> Option<usize> {
        let place = self.0.iter().position(|other| other == name);
        if place.is_none() {
            let known = self.0.join(", ");
            document.problem(field, format_args!("there is no {name}; there are {known}"));
        }
        place
    }

    /// How many there are, the platform's included.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn name(&self, place: usize) -> &str {
        self.0.get(place).map_or("", String::as_str)
    }
}

pub(crate) fn is_name(name: &str) -> bool {
    let sound = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= LONGEST && name.bytes().all(sound)
}

//! The experiments that come with the lab, in the program itself, so that their names work from anywhere.

use crate::check::{LONGEST_TEXT, nearest};
use std::io::Read;
use std::path::{Path, PathBuf};

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        /// Names and texts.
        pub const ALL: &[(&str, &str)] = &[$(
            ($name, include_str!(concat!("../../../experiments/", $name, ".toml"))),
        )*];
    };
}

shipped![
    "calm",
    "burst",
    "wide",
    "overload",
    "retry-storm",
    "storm-of-many",
    "swing",
    "threshold",
    "gray-failure",
    "zone-loss",
    "rolling-restart",
    "discovery-outage",
    "slow-neighbour",
    "bad-night",
    "fleet-2000",
    "paper-open",
    "paper-closed",
    "paper-delay-1ms",
    "paper-delay-10ms",
];

/// The text of an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text {
    /// How it was named: a path, or the name of a shipped one.
    pub name: String,
    /// The text.
    pub text: String,
    /// The folder in which it lies: recorded arrivals are beside it.
    pub beside: PathBuf,
}

/// The experiment in a file, or the shipped one of this name. A file that is there goes before a name.
///
/// # Errors
/// There is neither, or the file can't be read.
pub fn find(named: &str) -> Result<Text, String> {
    let path = Path::new(named);
    let shipped = ALL.iter().find(|(name, _)| *name == named);
    if let Some((name, text)) = shipped.filter(|_| !path.is_file()) {
        return Ok(Text {
            name: (*name).into(),
            text: (*text).into(),
            beside: PathBuf::from("."),
        });
    }
    if !path.exists() {
        let names = ALL.iter().map(|(name, _)| *name);
        let stem = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .unwrap_or(named);
        let hint = match nearest(stem, names.clone()) {
            Some(near) => format!("did you mean {near}?"),
            None => format!("shipped are {}", names.collect::<Vec<_>>().join(", ")),
        };
        return Err(format!(
            "{named}: there is no such file, and no shipped experiment of that name; {hint}"
        ));
    }
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).map_err(|e| format!("{named}: {e}"))?;
    // A byte over the bound is enough for the check to tell that it is too long.
    file.take(LONGEST_TEXT as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| format!("{named}: {e}"))?;
    let text = String::from_utf8(bytes).map_err(|_| format!("{named}: is no text in UTF-8"))?;
    let beside = path.parent().map(Path::to_path_buf).unwrap_or_default();
    Ok(Text {
        name: named.into(),
        text,
        beside,
    })
}

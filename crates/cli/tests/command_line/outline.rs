//! The outline of a program's command line: every subcommand with its arguments, options, defaults, environment
//! variables and possible values, as `--help` tells them. Descriptions are left out.

use std::path::Path;
use std::process::Command;

/// Descriptions are indented further than the arguments and options that they describe.
const MAX_NAME_INDENT: usize = 6;

/// What stands behind a description in brackets.
const NOTES: [&str; 5] = [
    "[default: ",
    "[env: ",
    "[possible values: ",
    "[aliases: ",
    "[short aliases: ",
];

/// An argument or an option.
struct Entry {
    /// Its names and its value, such as `-o, --output <FILE>`.
    name: String,
    description: String,
    values: Vec<String>,
}

/// The outline of a program, one line for each argument and option. `hidden` are subcommands that no help lists.
pub fn outline(program: &Path, hidden: &[&str]) -> String {
    let mut lines = Vec::new();
    describe(program, &[], hidden, &mut lines);
    lines.join("\n") + "\n"
}

fn describe(program: &Path, path: &[String], hidden: &[&str], lines: &mut Vec<String>) {
    let help = help(program, path);
    let name = program.file_name().expect("a file").to_string_lossy();
    lines.push(format!("{name} {}", path.join(" ")).trim_end().to_string());
    let (mut section, mut entries, mut commands) = ("", Vec::<Entry>::new(), Vec::new());
    for line in help.lines() {
        let text = line.trim();
        let indent = line.len() - line.trim_start().len();
        if let Some(usage) = line.strip_prefix("Usage: ") {
            lines.push(format!("  Usage: {usage}"));
        } else if indent == 0 && !text.is_empty() {
            section = if text.ends_with(':') { text } else { "" };
        } else if section == "Commands:" && indent == 2 {
            commands.extend(text.split_whitespace().next().map(String::from));
        } else if !matches!(section, "Arguments:" | "Options:") {
            continue;
        } else if indent <= MAX_NAME_INDENT && text.starts_with(['-', '<', '[']) {
            let (name, description) = text.split_once("  ").unwrap_or((text, ""));
            entries.push(Entry {
                name: name.into(),
                description: description.trim().into(),
                values: vec![],
            });
        } else if let Some(entry) = entries.last_mut() {
            match text.strip_prefix("- ") {
                Some(value) => entry
                    .values
                    .extend(value.split(':').next().map(String::from)),
                None => entry.description.extend([" ", text]),
            }
        }
    }
    lines.extend(entries.iter().map(|entry| format!("  {entry}")));
    commands.retain(|command| command != "help");
    commands.extend(hidden.iter().map(|command| command.to_string()));
    for command in commands {
        describe(program, &[path, &[command]].concat(), &[], lines);
    }
}

fn help(program: &Path, path: &[String]) -> String {
    // Help tells the values of environment variables.
    let done = Command::new(program)
        .env_clear()
        .args(path)
        .arg("--help")
        .output()
        .expect("it runs");
    assert!(
        done.status.success(),
        "{path:?}: {}",
        String::from_utf8_lossy(&done.stderr)
    );
    String::from_utf8(done.stdout).expect("text")
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.name)?;
        for note in NOTES {
            if let Some(begin) = self.description.find(note) {
                let length = self.description[begin..].find(']').expect("it is closed");
                write!(f, " {}", &self.description[begin..=begin + length])?;
            }
        }
        if !self.values.is_empty() {
            write!(f, " [possible values: {}]", self.values.join(", "))?;
        }
        Ok(())
    }
}

//! The figures that a sidecar reports, and the lines in which it does.

use std::fmt::{self, Write};

/// What became of the requests of one class, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResultCounts {
    /// Served.
    pub fulfilled: u64,
    /// Refused: trying again does no harm.
    pub throttled: u64,
    /// Failed.
    pub faulted: u64,
}

impl std::ops::AddAssign for ResultCounts {
    fn add_assign(&mut self, other: Self) {
        self.fulfilled += other.fulfilled;
        self.throttled += other.throttled;
        self.faulted += other.faulted;
    }
}

impl ResultCounts {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.fulfilled + self.throttled + self.faulted
    }
}

/// A sidecar's figures at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// By the names of the classes, those that a newer file has dropped among them.
    pub operations: Vec<(String, ResultCounts)>,
    /// Attempts that were written whole to servers, since the process started.
    pub relayed: u64,
    /// Requests that were taken and have not ended.
    pub open_requests: u64,
    /// Servers in the list.
    pub registry_entries: u64,
    /// Of these, those that get nothing now.
    pub out_of_rotation: u64,
    /// Files taken at SIGHUP, and those turned down.
    pub cfg_accepted: u64,
    /// See above.
    pub cfg_invalid: u64,
    /// Long turns of the event loop that used the processor, since the process started.
    pub busy_turns: u64,
    /// Those that hardly did: the process was stopped or got no processor, or a call blocked.
    pub stalled_turns: u64,
}

impl fmt::Display for Stats {
    /// One line each, `app.NAME=NUMBER`, and `eof` behind them.
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, ended) in &self.operations {
            for (name, count) in [
                ("fulfilled", ended.fulfilled),
                ("throttled", ended.throttled),
                ("faulted", ended.faulted),
            ] {
                writeln!(to, "app.operations.{}.{name}={count}", Plain(class))?;
            }
        }
        for (name, count) in [
            ("relayed", self.relayed),
            ("open_requests", self.open_requests),
            ("registry_entries", self.registry_entries),
            ("out_of_rotation", self.out_of_rotation),
            ("cfg_accepted", self.cfg_accepted),
            ("cfg_invalid", self.cfg_invalid),
            ("busy_turns", self.busy_turns),
            ("stalled_turns", self.stalled_turns),
        ] {
            writeln!(to, "app.{name}={count}")?;
        }
        to.write_str("eof\n")
    }
}

/// A class's name as part of a line: what would end the name or the line is written `_`.
struct Plain<'a>(&'a str);

impl fmt::Display for Plain<'_> {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.chars().try_for_each(|c| {
            to.write_char(if c == '=' || c == '.' || c.is_control() || c == ' ' {
                '_'
            } else {
                c
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_are_lines_that_end_with_eof() {
        let ended = ResultCounts {
            fulfilled: 812,
            throttled: 3,
            faulted: 1,
        };
        let figures = Stats {
            operations: vec![
                ("submit-check".to_string(), ended),
                ("a=b\n.c".to_string(), ResultCounts::default()),
            ],
            open_requests: 14,
            busy_turns: 2,
            stalled_turns: 5,
            ..Stats::default()
        };
        let text = figures.to_string();
        assert!(text.starts_with("app.operations.submit-check.fulfilled=812\n"));
        assert!(text.contains("\napp.operations.a_b__c.faulted=0\n"));
        assert!(text.contains("\napp.open_requests=14\n"));
        assert!(text.contains("\napp.busy_turns=2\napp.stalled_turns=5\n"));
        assert!(text.ends_with("\neof\n"));
        assert!(
            text.lines()
                .all(|line| line == "eof" || line.matches('=').count() == 1)
        );
    }
}

//! The statistics that a sidecar reports, and their text format.

use std::fmt::{self, Write};

/// Requests of one class by result, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResultCounts {
    /// Served.
    pub fulfilled: u64,
    /// Rejected: a retry is safe.
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
    /// The number of requests with any result.
    pub fn total(&self) -> u64 {
        self.fulfilled + self.throttled + self.faulted
    }
}

/// A snapshot of the statistics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Results by class name, including classes that a newer operator file no longer has.
    pub operations: Vec<(String, ResultCounts)>,
    /// Attempts that were written completely to servers, since the process started.
    pub relayed: u64,
    /// Requests in flight.
    pub open_requests: u64,
    /// Servers in the server lists.
    pub registry_entries: u64,
    /// Listed servers that currently get no requests.
    pub out_of_rotation: u64,
    /// Operator files that were accepted at SIGHUP.
    pub cfg_accepted: u64,
    /// Operator files that were rejected at SIGHUP.
    pub cfg_invalid: u64,
    /// Long event loop iterations that used the processor, since the process started.
    pub busy_turns: u64,
    /// Long event loop iterations that hardly used it: the process was stopped, got no processor time, or a call blocked.
    pub stalled_turns: u64,
}

impl fmt::Display for Stats {
    /// Writes one line `app.NAME=NUMBER` for each value, followed by `eof`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, results) in &self.operations {
            for (name, count) in [
                ("fulfilled", results.fulfilled),
                ("throttled", results.throttled),
                ("faulted", results.faulted),
            ] {
                writeln!(f, "app.operations.{}.{name}={count}", EscapedName(class))?;
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
            writeln!(f, "app.{name}={count}")?;
        }
        f.write_str("eof\n")
    }
}

/// A class name as part of a line: characters that would end the name or the line are written as `_`.
struct EscapedName<'a>(&'a str);

impl fmt::Display for EscapedName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.chars().try_for_each(|c| {
            f.write_char(if c == '=' || c == '.' || c.is_control() || c == ' ' {
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
    fn statistics_are_lines_that_end_with_eof() {
        let results = ResultCounts {
            fulfilled: 812,
            throttled: 3,
            faulted: 1,
        };
        let stats = Stats {
            operations: vec![
                ("submit-check".to_string(), results),
                ("a=b\n.c".to_string(), ResultCounts::default()),
            ],
            open_requests: 14,
            busy_turns: 2,
            stalled_turns: 5,
            ..Stats::default()
        };
        let text = stats.to_string();
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

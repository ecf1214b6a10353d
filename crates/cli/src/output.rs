//! What the commands tell: for people, or for programs.

use madderloom_config_reader::Problem;
use std::io::Write;
use std::path::Path;

/// How an outcome is told.
#[derive(Clone, Copy, PartialEq, clap::ValueEnum)]
pub(crate) enum Output {
    /// For people.
    Text,
    /// One object for programs.
    Json,
}

/// Writes to standard output. Nobody may read it: the exit code still tells.
pub(crate) fn tell(text: impl std::fmt::Display) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// A line for each problem of a file, or an object of them all.
pub(crate) fn tell_problems(file: &Path, problems: &[Problem], output: Output) {
    if output == Output::Json {
        return tell(serde_json::json!({"file": file, "problems": problems}));
    }
    for problem in problems {
        tell(format_args!("{}:{problem}", file.display()));
    }
}

/// Lines of a table, their columns aligned; numbers, which all cells of a column are, to the right.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let cells = |column: usize| rows.iter().filter_map(move |row| row.get(column));
    let is_number = |cell: &String| {
        cell.bytes()
            .all(|b| b.is_ascii_digit() || b".-%/".contains(&b))
    };
    let shape: Vec<(usize, bool)> = (0..columns)
        .map(|column| {
            let width = cells(column).map(|c| c.chars().count()).max().unwrap_or(0);
            (width, cells(column).skip(1).all(is_number))
        })
        .collect();
    let mut text = String::new();
    for row in rows {
        let line: Vec<String> = row
            .iter()
            .zip(&shape)
            .map(|(cell, (width, right))| {
                if *right {
                    format!("{cell:>width$}")
                } else {
                    format!("{cell:<width$}")
                }
            })
            .collect();
        text += line.join("  ").trim_end();
        text.push('\n');
    }
    text
}

/// Rows under a head, told as [`table`] tells them.
pub(crate) struct Table(Vec<Vec<String>>);

impl Table {
    pub(crate) fn new<const COLUMNS: usize>(head: [&str; COLUMNS]) -> Self {
        Table(vec![head.map(str::to_string).to_vec()])
    }

    pub(crate) fn row<const COLUMNS: usize>(&mut self, row: [String; COLUMNS]) {
        self.0.push(row.to_vec());
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(table(&self.0).trim_end())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_line_up_numbers_to_the_right_and_lines_do_not_trail() {
        let mut table = Table::new(["NAME", "OPEN", "STATE"]);
        table.row(["shop-1".into(), "7".into(), "ok".into()]);
        assert_eq!(table.to_string(), "NAME    OPEN  STATE\nshop-1     7  ok");
    }
}

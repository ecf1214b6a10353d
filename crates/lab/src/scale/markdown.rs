//! Tables in Markdown, as `docs/CAPACITY.md` has them.

use super::capacity::{Row, Verdict, number};
use super::figures::Figure;
use super::measured::Measured;
use std::fmt::Write;

/// The table of a size.
pub fn capacity(rows: &[Row]) -> String {
    let mut text = String::from(
        "| role | what | at this size | interval | budget | used | verdict | from | carried by |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let unit = |value: f64| {
            format!("{} {}", number(value), row.unit)
                .trim_end()
                .to_string()
        };
        let value = row
            .value
            .map_or_else(|| "not measured".into(), |value| unit(value.value));
        let interval = row.value.filter(|value| value.low < value.high);
        let interval = interval.map_or(String::new(), |value| {
            format!("{} to {}", number(value.low), number(value.high))
        });
        let used = row
            .used()
            .map_or(String::new(), |used| format!("{}%", number(100.0 * used)));
        let _ = writeln!(
            text,
            "| {} | {} | {value} | {interval} | {} | {used} | {} | {} | {} |",
            row.role,
            row.what,
            row.budget.map_or(String::new(), unit),
            verdict(row.verdict()),
            row.from,
            row.carried_by
        );
    }
    text
}

fn verdict(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Fits => "fits",
        Verdict::Uncertain => "fits, but not with the interval's end",
        Verdict::DoesNotFit => "**does not fit**",
        Verdict::NoBudget => "",
        Verdict::NotMeasured => "not measured",
    }
}

/// The slopes of all series.
pub fn slopes(measured: &Measured) -> String {
    let mut text = String::new();
    for (series, runs) in &measured.series {
        let sizes: Vec<String> = measured
            .sizes(series)
            .iter()
            .map(|(size, runs)| format!("{size} (runs: {runs})"))
            .collect();
        let _ = writeln!(text, "### {series}\n");
        if let Some(run) = runs.first() {
            let _ = writeln!(
                text,
                "Instances: {}. Reports every {} ms, {} limits, {} lists, {} registrations a second; {} build, agent: \
                 {}.\n",
                sizes.join(", "),
                run.report_ms,
                run.manner.limits,
                run.manner.lists,
                run.registrations,
                run.built,
                run.agent
            );
        }
        text += "| figure | fixed | a thousand instances | ± (95%) | R² | runs | first piece, last piece, a thousand |\n\
                 | --- | --- | --- | --- | --- | --- | --- |\n";
        for figure in Figure::ALL {
            let _ = writeln!(text, "{}", slope(measured, series, figure));
        }
        text.push('\n');
    }
    text
}

fn slope(measured: &Measured, series: &str, figure: Figure) -> String {
    let points = measured.points(series, figure);
    match measured.line(series, figure) {
        Some(line) => {
            let bends = if line.bends() { " (bends)" } else { "" };
            let ends = line.ends.map_or(String::new(), |(first, last)| {
                format!("{}, {}{bends}", number(1e3 * first), number(1e3 * last))
            });
            format!(
                "| {} | {} | {} | {} | {:.3} | {} | {ends} |",
                figure.name(),
                number(line.fixed),
                number(1e3 * line.slope),
                number(1e3 * line.slope_half),
                line.r_squared,
                line.points
            )
        }
        None if points.is_empty() => format!("| {} | not measured | | | | 0 | |", figure.name()),
        None => {
            let values: Vec<String> = points
                .iter()
                .map(|(x, y)| format!("{} at {}", number(*y), number(*x)))
                .collect();
            format!(
                "| {} | too few: {} | | | | {} | |",
                figure.name(),
                values.join(", "),
                points.len()
            )
        }
    }
}

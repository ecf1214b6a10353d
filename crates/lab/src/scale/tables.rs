//! What a rig found, as tables for people.

use super::real::Comparison;
use super::record::{RunRecord, StepRecord, Work};
use super::usage::Usage;
use crate::cli::table;

/// A table of one run: a line for each step.
pub fn run(record: &RunRecord) -> String {
    let head = [
        "step",
        "about",
        "s",
        "agent CPU s",
        "agent MB",
        "KB in",
        "KB out",
        "messages in",
        "messages out",
        "connections",
        "instances CPU s",
        "instances MB",
        "times: median, p99, last ms",
    ];
    let mut table = table(&head);
    for step in &record.steps {
        table.add_row(row(step));
    }
    format!(
        "{} instances, reports every {} ms, {} limits, {} lists, {} registrations a second, {} build, load {:.1}\n{table}\n",
        record.instances,
        record.report_ms,
        record.manner.limits,
        record.manner.lists,
        record.registrations,
        record.built,
        record.load
    )
}

fn row(step: &StepRecord) -> Vec<String> {
    let StepRecord {
        agent, instances, ..
    } = step;
    let mb = |work: &Work| format!("{:.1}", work.memory as f64 / 1e6);
    vec![
        step.step.to_string(),
        step.about.to_string(),
        format!("{:.1}", step.seconds),
        format!("{:.2}", agent.cpu_seconds),
        mb(agent),
        (agent.bytes_in / 1_000).to_string(),
        (agent.bytes_out / 1_000).to_string(),
        agent.messages_in.to_string(),
        agent.messages_out.to_string(),
        agent.connections.to_string(),
        format!("{:.2}", instances.cpu_seconds),
        mb(instances),
        step.problem.clone().unwrap_or_else(|| times(step)),
    ]
}

fn times(step: &StepRecord) -> String {
    let told = |(name, times): (&String, &super::record::Times)| {
        let missing = if times.missing > 0 {
            format!(" ({} missing)", times.missing)
        } else {
            String::new()
        };
        format!(
            "{name} {:.0}, {:.0}, {:.0}{missing}",
            times.median_ms, times.p99_ms, times.last_ms
        )
    };
    step.times.iter().map(told).collect::<Vec<_>>().join("; ")
}

/// Real and hollow instances beside each other.
pub fn comparison(comparison: &Comparison) -> String {
    let Comparison {
        instances,
        calm_seconds,
        real,
        hollow,
        ..
    } = comparison;
    let mut table = table(&["figure, at the agent", "real", "hollow", "difference"]);
    for difference in comparison.differences() {
        table.add_row([
            difference.figure.to_string(),
            difference.real.to_string(),
            difference.hollow.to_string(),
            format!("{:+.1}%", 100.0 * difference.part()),
        ]);
    }
    let own = |usage: &Usage| {
        let each = *instances as f64;
        format!(
            "{:.2} ms of processor time a second and {:.2} MB each",
            usage.cpu_seconds * 1e3 / calm_seconds / each,
            usage.memory as f64 / 1e6 / each
        )
    };
    format!(
        "{table}\nreal: {}; hollow: {}\n",
        own(&real.own),
        own(&hollow.own)
    )
}

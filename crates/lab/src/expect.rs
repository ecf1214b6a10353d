//! Whether what an experiment expects has come true.

use crate::experiment::{Arm, Expectation, Experiment};
use crate::figures;
use crate::record::{Latency, Run, Tally};
use crate::stats;
use madderloom_config_reader::Span;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One thing that was expected of one arm, and what came.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Verdict {
    /// Of which arm.
    pub arm: String,
    /// What, with its class where it is of one alone.
    pub what: String,
    /// What was wanted.
    pub wanted: String,
    /// What came.
    pub got: String,
    /// Whether that is as wanted; none where it can't be told, for runs of the arm are void or missing.
    pub held: Option<bool>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Verdict {
            arm,
            what,
            wanted,
            got,
            held,
        } = self;
        let word = match held {
            Some(true) => "held",
            Some(false) => "FAILED",
            None => "NOT JUDGED",
        };
        write!(f, "{word}: {arm}: {what}: wanted {wanted}, got {got}")
    }
}

/// What became of all that the experiment expects of these arms, over these seeds.
pub fn verdicts(
    experiment: &Experiment,
    arms: &[String],
    seeds: usize,
    runs: &[Run],
) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for arm in arms
        .iter()
        .filter_map(|name| experiment.arms.iter().find(|arm| arm.name == *name))
    {
        let all: Vec<&Run> = runs.iter().filter(|run| run.arm == arm.name).collect();
        let sound: Vec<&Run> = all
            .iter()
            .filter(|run| run.void.is_none())
            .copied()
            .collect();
        for expected in experiment
            .expect
            .iter()
            .filter(|e| e.arm.as_ref().is_none_or(|name| *name == arm.name))
        {
            let from = verdicts.len();
            judge(expected, arm, &sound, &mut verdicts);
            if sound.len() < seeds {
                for verdict in &mut verdicts[from..] {
                    verdict.got = format!("{} of {seeds} runs", sound.len());
                    verdict.held = None;
                }
            }
        }
    }
    verdicts.dedup();
    verdicts
}

fn judge(expected: &Expectation, arm: &Arm, runs: &[&Run], verdicts: &mut Vec<Verdict>) {
    let tallies: Vec<&Tally> = runs
        .iter()
        .filter_map(|run| match &expected.class {
            Some(class) => run.classes.get(class),
            None => Some(&run.total),
        })
        .collect();
    let of = expected
        .class
        .as_ref()
        .map(|class| format!(" of {class}"))
        .unwrap_or_default();
    let mut put = |what: &str, wanted: String, got: String, held: bool| {
        let what = if what == "rules" {
            what.to_string()
        } else {
            format!("{what}{of}")
        };
        verdicts.push(Verdict {
            arm: arm.name.clone(),
            what,
            wanted,
            got,
            held: Some(held),
        });
    };
    if let Some(least) = expected.goodput {
        let goodput = stats::mean(
            &tallies
                .iter()
                .map(|tally| tally.goodput())
                .collect::<Vec<_>>(),
        );
        put(
            "goodput",
            format!("at least {least}"),
            format!("{goodput:.4}"),
            goodput >= least,
        );
    }
    if let Some(most) = expected.p99 {
        // Where nothing was served nothing was served in time.
        let p99 = Latency::merged(tallies.iter().map(|tally| &tally.latency))
            .percentile(0.99)
            .map(Span);
        let got = p99.map_or("nothing served".to_string(), |p99| {
            format!("{:.1}ms", p99.seconds() * 1e3)
        });
        put(
            "p99",
            format!("at most {most}"),
            got,
            p99.is_some_and(|p99| p99 <= most),
        );
    }
    if let Some(most) = expected.attempts {
        let per_run: Vec<f64> = tallies
            .iter()
            .filter_map(|tally| figures::attempts(tally))
            .collect();
        let attempts = stats::mean(&per_run);
        put(
            "attempts a request",
            format!("at most {most}"),
            format!("{attempts:.3}"),
            attempts <= most,
        );
    }
    if let Some(within) = expected.recovers_within {
        let slowest = runs
            .iter()
            .map(|run| {
                run.recovery
                    .map_or((Span(u64::MAX), run.seed), |span| (span, run.seed))
            })
            .max();
        let held = slowest.is_none_or(|(span, _)| span <= within);
        let got = match slowest {
            Some((Span(u64::MAX), seed)) => format!("never with seed {seed}"),
            Some((span, seed)) => format!("{:.1}s with seed {seed}", span.seconds()),
            None => "no run".to_string(),
        };
        put(
            "recovery with each seed",
            format!("within {within}"),
            got,
            held,
        );
    }
    if expected.rules != Some(false) {
        let broken = runs.iter().find_map(|run| {
            run.breaches
                .iter()
                .find(|(_, n)| **n > 0)
                .map(|b| (run.seed, b))
        });
        let got = match broken {
            Some((seed, (rule, times))) => format!("{rule} broken {times} times with seed {seed}"),
            None => "none broken".to_string(),
        };
        put("rules", "none broken".to_string(), got, broken.is_none());
    }
}

//! A change as an operator writes it: a TOML file.
//!
//! ```toml
//! version = 1
//! id = "slow-w7"
//! base = 41
//! note = "w7 answers late since its disk was changed"
//!
//! [select]
//! zones = ["north"]
//!
//! [rollout]
//! waves = ["1", "10%"]
//! at_once = 20
//! pause = "30s"
//! silence = "15s"
//! failures = 0
//! then = "take-back"
//!
//! [rollout.gate]
//! worse = "1%"
//!
//! [set]
//! "weight/w7" = 0.2
//! "drain/w9" = true
//! "limit/reports/open" = 200
//! "log_level" = "debug"
//! "route/viewer" = "file"
//! ```
//!
//! A value of `"file"` goes back to what each instance's own file says.

use crate::Error;
use crate::change::{Change, Policy, Selector, Share, Then, What};
use crate::gate::GateRule;
use crate::settings::{Edits, Key, LogLevel, Value};
use madderloom_config_reader::{Document, Problem, Span};
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    version: u32,
    id: String,
    base: Option<u64>,
    note: String,
    select: Selector,
    rollout: RolloutPart,
    set: BTreeMap<String, Plain>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RolloutPart {
    waves: Option<Vec<Wave>>,
    at_once: Option<u32>,
    pause: Option<Span>,
    silence: Option<Span>,
    failures: Option<u32>,
    then: Option<Then>,
    gate: Option<Gate>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Gate {
    Switch(bool),
    Rule(GatePart),
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct GatePart {
    worse: Option<String>,
    evidence: Option<u64>,
    sure: Option<f64>,
    patience: Option<Span>,
    unproven: Option<bool>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Wave {
    Count(u32),
    Text(String),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Plain {
    Flag(bool),
    Whole(i64),
    Real(f64),
    Text(String),
}

/// Reads a change. `newest` is the revision that it is made on where the file names none.
///
/// # Errors
/// Every problem of the file, with its place.
pub fn read(text: &str, newest: Option<u64>) -> Result<Change, Vec<Problem>> {
    let (mut document, file) = Document::read::<File>(text)?;
    document.require(file.version == 1, "version", "must be 1");
    let Some(base) = file.base.or(newest) else {
        document.problem(
            "base",
            "is missing; write the revision that the change is made on",
        );
        return document.finish(Change {
            id: file.id,
            base: 0,
            note: String::new(),
            select: Selector::default(),
            rollout: Policy::default(),
            what: What::Set(Edits::new()),
        });
    };
    let rollout = policy(&mut document, file.rollout);
    let mut edits = Edits::new();
    for (name, plain) in &file.set {
        match name.parse::<Key>() {
            // The place of a key with a dot in it can't be told: that of the table is.
            Err(problem) => document.problem("set", problem),
            Ok(key) => match value(&key, plain) {
                Ok(value) => {
                    edits.insert(key, value);
                }
                Err(problem) => document.problem(&format!("set.{name}"), problem),
            },
        }
    }
    let File {
        id, note, select, ..
    } = file;
    let sound = edits.len() == file.set.len();
    let change = Change {
        id,
        base,
        note,
        select,
        rollout,
        what: What::Set(edits),
    };
    for problem in change
        .check()
        .into_iter()
        .filter(|problem| sound || problem.field != "set")
    {
        document.problem(&problem.field, &problem.problem);
    }
    document.finish(change)
}

fn policy(document: &mut Document<'_>, part: RolloutPart) -> Policy {
    let usual = Policy::default();
    let waves = part.waves.map(|waves| {
        let read = |(at, wave): (usize, Wave)| match wave {
            Wave::Count(count) => Share::Count(count),
            Wave::Text(text) => {
                match (
                    text.strip_suffix('%').unwrap_or(&text).parse(),
                    text.ends_with('%'),
                ) {
                    (Ok(percent), true) => Share::Percent(percent),
                    (Ok(count), false) => Share::Count(count),
                    (Err(_), _) => {
                        let problem =
                            format!("{text:?} is no wave; write a number of instances or \"10%\"");
                        document.problem(&format!("rollout.waves[{at}]"), problem);
                        Share::Count(1)
                    }
                }
            }
        };
        waves.into_iter().enumerate().map(read).collect()
    });
    let gate = match part.gate {
        None => usual.gate,
        Some(Gate::Switch(on)) => usual.gate.filter(|_| on),
        Some(Gate::Rule(gate)) => {
            let usual = GateRule::default();
            let worse = gate.worse.map(|text| {
                let percent = text
                    .strip_suffix('%')
                    .and_then(|number| number.parse::<f64>().ok());
                let percent = percent.filter(|percent| (0.0..=100.0).contains(percent));
                if percent.is_none() {
                    document.problem(
                        "rollout.gate.worse",
                        format!("{text:?} is no share; write one as \"1%\""),
                    );
                }
                (percent.unwrap_or(1.0) * 10.0).round() as u32
            });
            let sure = gate
                .sure
                .map(|sure| (sure.clamp(0.0, 1e6) * 100.0).round() as u32);
            Some(GateRule {
                worse: worse.unwrap_or(usual.worse),
                evidence: gate.evidence.unwrap_or(usual.evidence),
                sure: sure.unwrap_or(usual.sure),
                patience: gate.patience.map_or(usual.patience, Span::micros),
                unproven: gate.unproven.unwrap_or(usual.unproven),
            })
        }
    };
    Policy {
        waves: waves.unwrap_or(usual.waves),
        at_once: part.at_once.unwrap_or(usual.at_once),
        pause: part.pause.map_or(usual.pause, Span::micros),
        silence: part.silence.map_or(usual.silence, Span::micros),
        failures: part.failures.unwrap_or(usual.failures),
        then: part.then.unwrap_or(usual.then),
        gate,
    }
}

fn value(key: &Key, plain: &Plain) -> Result<Option<Value>, Error> {
    let weight = |weight: f64| {
        if (0.0..=100.0).contains(&weight) {
            Ok(Some(Value::Weight((weight * 1e3).round() as u32)))
        } else {
            Err(Error::NotAWeight)
        }
    };
    match (key, plain) {
        (_, Plain::Text(text)) if text == "file" => Ok(None),
        (Key::Weight(_), Plain::Whole(whole)) => weight(*whole as f64),
        (Key::Weight(_), Plain::Real(real)) => weight(*real),
        (Key::Weight(_), _) => Err(Error::NotAWeight),
        (Key::Drain(_), Plain::Flag(drained)) => Ok(Some(Value::Drained(*drained))),
        (Key::Drain(_), _) => Err(Error::NotABoolean),
        (Key::Limit { .. } | Key::Fleet { .. }, Plain::Whole(limit)) => u64::try_from(*limit)
            .map(|limit| Some(Value::Limit(limit)))
            .map_err(|_| Error::NegativeNumber),
        (Key::Limit { .. } | Key::Fleet { .. }, _) => Err(Error::NotAWholeNumber),
        (Key::Route(_), Plain::Text(text)) => Ok(Some(Value::Route(text.clone()))),
        (Key::Route(_), _) => Err(Error::NotARoute),
        (Key::LogLevel, Plain::Text(text)) => {
            let level = match text.as_str() {
                "off" => LogLevel::Off,
                "error" => LogLevel::Error,
                "warn" => LogLevel::Warn,
                "info" => LogLevel::Info,
                "debug" => LogLevel::Debug,
                "trace" => LogLevel::Trace,
                _ => return Err(Error::NotALogLevel),
            };
            Ok(Some(Value::Level(level)))
        }
        (Key::LogLevel, _) => Err(Error::NotALogLevel),
    }
}

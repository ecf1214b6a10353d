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
//! A value of `"file"` restores the value of each instance's own file.

use crate::Error;
use crate::change::{Change, Operation};
use crate::health_gate::HealthGate;
use crate::policy::{FailureAction, RolloutPolicy, StageSize};
use crate::selector::Selector;
use crate::settings::{Edits, Key, LogLevel, Value};
use madderloom_config_reader::{Document, Problem, Span};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The version of the format.
const VERSION: u32 = 1;
/// The value that restores a setting of each instance's own file.
const FROM_FILE: &str = "file";

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ChangeFile {
    version: u32,
    id: String,
    base: Option<u64>,
    note: String,
    select: Selector,
    rollout: RolloutSection,
    set: BTreeMap<String, RawValue>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RolloutSection {
    #[serde(rename = "waves")]
    stages: Option<Vec<RawStageSize>>,
    #[serde(rename = "at_once")]
    max_in_flight: Option<u32>,
    #[serde(rename = "pause")]
    stage_pause: Option<Span>,
    #[serde(rename = "silence")]
    answer_timeout: Option<Span>,
    #[serde(rename = "failures")]
    max_failures: Option<u32>,
    #[serde(rename = "then")]
    on_failure: Option<FailureAction>,
    gate: Option<GateSetting>,
}

/// The health gate is switched on or off, or has parameters.
#[derive(Deserialize)]
#[serde(untagged)]
enum GateSetting {
    Switch(bool),
    Section(GateSection),
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct GateSection {
    #[serde(rename = "worse")]
    max_increase: Option<String>,
    #[serde(rename = "evidence")]
    min_requests: Option<u64>,
    /// In standard errors.
    #[serde(rename = "sure")]
    critical_value: Option<f64>,
    #[serde(rename = "patience")]
    evidence_timeout: Option<Span>,
    #[serde(rename = "unproven")]
    pass_without_evidence: Option<bool>,
}

/// A number of instances, or a text such as `10%`.
#[derive(Deserialize)]
#[serde(untagged)]
enum RawStageSize {
    Count(u32),
    Text(String),
}

/// The value of a setting, before its key is known.
#[derive(Deserialize)]
#[serde(untagged)]
enum RawValue {
    Flag(bool),
    Integer(i64),
    Float(f64),
    Text(String),
}

/// Reads a change. `newest_revision` is the revision that it is made on where the file names none.
///
/// # Errors
/// Every problem of the file, with its place.
pub fn read(text: &str, newest_revision: Option<u64>) -> Result<Change, Vec<Problem>> {
    let (mut document, file) = Document::read::<ChangeFile>(text)?;
    document.require(file.version == VERSION, "version", "must be 1");
    let Some(base) = file.base.or(newest_revision) else {
        document.problem(
            "base",
            "is missing; write the revision that the change is made on",
        );
        return document.finish(Change {
            id: file.id,
            base: 0,
            note: String::new(),
            select: Selector::default(),
            rollout: RolloutPolicy::default(),
            operation: Operation::Set(Edits::new()),
        });
    };
    let rollout = read_policy(&mut document, file.rollout);
    let edits = read_edits(&mut document, &file.set);
    let are_edits_valid = edits.len() == file.set.len();
    let change = Change {
        id: file.id,
        base,
        note: file.note,
        select: file.select,
        rollout,
        operation: Operation::Set(edits),
    };
    for problem in change.check() {
        // Where edits are invalid, a set without edits is no further problem.
        if are_edits_valid || problem.field != "set" {
            document.problem(&problem.field, &problem.problem);
        }
    }
    document.finish(change)
}

/// Reads the settings of a change, without the invalid ones.
fn read_edits(document: &mut Document<'_>, set: &BTreeMap<String, RawValue>) -> Edits {
    let mut edits = Edits::new();
    for (name, raw) in set {
        match name.parse::<Key>() {
            // The document cannot locate a key with a dot in it, but the table.
            Err(problem) => document.problem("set", problem),
            Ok(key) => match read_value(&key, raw) {
                Ok(value) => {
                    edits.insert(key, value);
                }
                Err(problem) => document.problem(&format!("set.{name}"), problem),
            },
        }
    }
    edits
}

fn read_policy(document: &mut Document<'_>, section: RolloutSection) -> RolloutPolicy {
    let default = RolloutPolicy::default();
    let stages = section.stages.map(|sizes| read_stages(document, sizes));
    let gate = match section.gate {
        None => default.gate,
        Some(GateSetting::Switch(is_on)) => default.gate.filter(|_| is_on),
        Some(GateSetting::Section(gate)) => Some(read_gate(document, &gate)),
    };
    RolloutPolicy {
        stages: stages.unwrap_or(default.stages),
        max_in_flight: section.max_in_flight.unwrap_or(default.max_in_flight),
        stage_pause: section
            .stage_pause
            .map_or(default.stage_pause, Span::micros),
        answer_timeout: section
            .answer_timeout
            .map_or(default.answer_timeout, Span::micros),
        max_failures: section.max_failures.unwrap_or(default.max_failures),
        on_failure: section.on_failure.unwrap_or(default.on_failure),
        gate,
    }
}

fn read_stages(document: &mut Document<'_>, sizes: Vec<RawStageSize>) -> Vec<StageSize> {
    let mut stages = Vec::new();
    for (index, size) in sizes.into_iter().enumerate() {
        let size = match size {
            RawStageSize::Count(count) => Some(StageSize::Count(count)),
            RawStageSize::Text(text) => {
                let size = parse_stage_size(&text);
                if size.is_none() {
                    document.problem(
                        &format!("rollout.waves[{index}]"),
                        format!("{text:?} is no wave; write a number of instances or \"10%\""),
                    );
                }
                size
            }
        };
        stages.push(size.unwrap_or(StageSize::Count(1)));
    }
    stages
}

fn parse_stage_size(text: &str) -> Option<StageSize> {
    match text.strip_suffix('%') {
        Some(percent) => percent.parse().ok().map(StageSize::Percent),
        None => text.parse().ok().map(StageSize::Count),
    }
}

fn read_gate(document: &mut Document<'_>, section: &GateSection) -> HealthGate {
    let default = HealthGate::default();
    let max_increase = section
        .max_increase
        .as_ref()
        .map(|text| read_max_increase(document, text));
    let critical_value = section
        .critical_value
        .map(|errors| (errors.clamp(0.0, 1e6) * 100.0).round() as u32);
    HealthGate {
        max_increase_thousandths: max_increase.unwrap_or(default.max_increase_thousandths),
        min_requests: section.min_requests.unwrap_or(default.min_requests),
        critical_value_hundredths: critical_value.unwrap_or(default.critical_value_hundredths),
        evidence_timeout: section
            .evidence_timeout
            .map_or(default.evidence_timeout, Span::micros),
        pass_without_evidence: section
            .pass_without_evidence
            .unwrap_or(default.pass_without_evidence),
    }
}

/// Reads a percentage. Returns thousandths.
fn read_max_increase(document: &mut Document<'_>, text: &str) -> u32 {
    let percent = text
        .strip_suffix('%')
        .and_then(|number| number.parse::<f64>().ok())
        .filter(|percent| (0.0..=100.0).contains(percent));
    if percent.is_none() {
        document.problem(
            "rollout.gate.worse",
            format!("{text:?} is no share; write one as \"1%\""),
        );
    }
    (percent.unwrap_or(1.0) * 10.0).round() as u32
}

/// Reads the value of a setting; none where that of each instance's own file is restored.
fn read_value(key: &Key, raw: &RawValue) -> Result<Option<Value>, Error> {
    if let RawValue::Text(text) = raw
        && text == FROM_FILE
    {
        return Ok(None);
    }
    let value = match (key, raw) {
        (Key::Weight(_), RawValue::Integer(weight)) => read_weight(*weight as f64)?,
        (Key::Weight(_), RawValue::Float(weight)) => read_weight(*weight)?,
        (Key::Weight(_), _) => return Err(Error::NotAWeight),
        (Key::Drain(_), RawValue::Flag(is_drained)) => Value::Drained(*is_drained),
        (Key::Drain(_), _) => return Err(Error::NotABoolean),
        (Key::Limit { .. } | Key::Fleet { .. }, RawValue::Integer(limit)) => {
            Value::Limit(u64::try_from(*limit).map_err(|_| Error::NegativeNumber)?)
        }
        (Key::Limit { .. } | Key::Fleet { .. }, _) => return Err(Error::NotAWholeNumber),
        (Key::Route(_), RawValue::Text(text)) => Value::Route(text.clone()),
        (Key::Route(_), _) => return Err(Error::NotARoute),
        (Key::LogLevel, RawValue::Text(text)) => Value::Level(read_log_level(text)?),
        (Key::LogLevel, _) => return Err(Error::NotALogLevel),
    };
    Ok(Some(value))
}

/// Reads a factor. Returns thousandths.
fn read_weight(weight: f64) -> Result<Value, Error> {
    if (0.0..=100.0).contains(&weight) {
        Ok(Value::Weight((weight * 1e3).round() as u32))
    } else {
        Err(Error::NotAWeight)
    }
}

fn read_log_level(text: &str) -> Result<LogLevel, Error> {
    match text {
        "off" => Ok(LogLevel::Off),
        "error" => Ok(LogLevel::Error),
        "warn" => Ok(LogLevel::Warn),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        "trace" => Ok(LogLevel::Trace),
        _ => Err(Error::NotALogLevel),
    }
}

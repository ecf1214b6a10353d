//! `madderloom-lab compare`.

use super::{Output, table, tell, tell_json};
use crate::check::unknown;
use crate::compare::{self, Pair, Seen, Side};
use crate::results::Results;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// Compares arms, seed by seed, with bootstrap intervals.
///
/// Two folders: each arm of the first with the arm of that name in the second. One folder: with --arms A,B these two,
/// else the first arm with each other. Says so where no difference is seen. Exits with 1 where the two can't be compared.
#[derive(clap::Args)]
pub struct Compare {
    /// A folder of results
    first: PathBuf,
    /// Another one
    second: Option<PathBuf>,
    /// Two arms, the first's and the second's
    #[arg(long, value_delimiter = ',', value_name = "A,B")]
    arms: Vec<String>,
    /// The confidence of intervals
    #[arg(long, default_value_t = 0.95, value_parser = confidence)]
    confidence: f64,
    /// Compares folders whose worlds, loads or faults differ too
    #[arg(long)]
    force: bool,
    /// How the outcome is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

fn confidence(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if (0.5..=0.9999).contains(&value) => Ok(value),
        _ => Err("must lie in 0.5..=0.9999, such as 0.95".into()),
    }
}

impl Compare {
    /// Compares.
    ///
    /// # Errors
    /// A folder can't be read, the folders can't be compared, or there is no such arm.
    pub fn run(self) -> Result<ExitCode, String> {
        let first = Results::read(&self.first)?;
        let second = self.second.as_deref().map(Results::read).transpose()?;
        let mut notes = Vec::new();
        if let Some(second) = &second {
            let obstacles = compare::obstacles(&first, second);
            if !obstacles.is_empty() && !self.force {
                return Err(format!(
                    "these can't be compared, for their days differ (--force compares all the same):\n  {}",
                    obstacles.join("\n  ")
                ));
            }
            notes.extend(
                obstacles
                    .iter()
                    .map(|what| format!("The days differ: {what}.")),
            );
            notes.extend(compare::notes(&first, second));
        }
        let sides = self.sides(&first, second.as_ref())?;
        let pairs: Vec<Pair> = sides
            .into_iter()
            .map(|(a, b)| compare::pair(a, b, self.confidence))
            .collect();
        for folder in [Some(&first), second.as_ref()].into_iter().flatten() {
            notes.extend(
                folder
                    .flaws()
                    .iter()
                    .take(10)
                    .map(|flaw| format!("{}: {flaw}", folder.path.display())),
            );
        }
        if pairs.iter().any(|pair| {
            pair.differences
                .iter()
                .any(|d| d.figure == crate::figures::Figure::Recovery)
        }) {
            notes.push(
                "Where goodput never recovered, the time there was for it counts: recovery took longer."
                    .into(),
            );
        }
        notes.push(compare::caution(&pairs, self.confidence));
        if self.output == Output::Json {
            tell_json(&json!({ "pairs": pairs, "confidence": self.confidence, "notes": notes }))?;
        } else {
            let two = second.is_some();
            pairs.iter().for_each(|pair| tell(&people(pair, two)));
            notes.iter().for_each(|note| tell(&format!("{note}\n")));
        }
        Ok(ExitCode::SUCCESS)
    }

    fn sides<'r>(
        &'r self,
        first: &'r Results,
        second: Option<&'r Results>,
    ) -> Result<Vec<(Side<'r>, Side<'r>)>, String> {
        let side = |results: &'r Results, arm: &'r str| {
            let known = || results.manifest.arms.iter().map(String::as_str);
            if known().any(|own| own == arm) {
                Ok(Side { results, arm })
            } else {
                Err(format!(
                    "{}: {}",
                    results.path.display(),
                    unknown("arm", arm, known().collect::<Vec<_>>())
                ))
            }
        };
        let other = second.unwrap_or(first);
        match &self.arms[..] {
            [a, b] => return Ok(vec![(side(first, a)?, side(other, b)?)]),
            [a] if second.is_some() => return Ok(vec![(side(first, a)?, side(other, a)?)]),
            [] => {}
            _ => return Err("--arms: name two arms, as in --arms madderloom,random".into()),
        }
        let pairs: Vec<_> = match second {
            Some(second) => {
                let common = first
                    .manifest
                    .arms
                    .iter()
                    .filter(|arm| second.manifest.arms.contains(arm));
                common
                    .map(|arm| {
                        (
                            Side {
                                results: first,
                                arm,
                            },
                            Side {
                                results: second,
                                arm,
                            },
                        )
                    })
                    .collect()
            }
            None => {
                let mut arms = first.manifest.arms.iter();
                let base = arms.next().map(String::as_str).unwrap_or_default();
                arms.map(|arm| {
                    (
                        Side {
                            results: first,
                            arm: base,
                        },
                        Side {
                            results: first,
                            arm,
                        },
                    )
                })
                .collect()
            }
        };
        if pairs.is_empty() {
            return Err("there are no two arms to compare; name them with --arms A,B".into());
        }
        Ok(pairs)
    }
}

fn people(pair: &Pair, two: bool) -> String {
    let Pair {
        first,
        second,
        seeds,
        left_out,
        differences,
    } = pair;
    let (a, b) = if two {
        (format!("{first} (first)"), format!("{second} (second)"))
    } else {
        (first.clone(), second.clone())
    };
    let mut text = format!("{b} beside {a}, {} common seeds", seeds.len());
    if !left_out.is_empty() {
        let list: Vec<String> = left_out.iter().map(u64::to_string).collect();
        text += &format!(
            "; left out, for one has no sound run of them: {}",
            list.join(", ")
        );
    }
    let mut table = table(&["figure", "class", &a, &b, "difference", "seen"]);
    for d in differences {
        let written = |value: f64| d.figure.written(value);
        let ends = d.difference.ends.map_or(String::new(), |(low, high)| {
            format!(" [{}, {}]", written(low), written(high))
        });
        let seen = match d.seen {
            Seen::Better => "better",
            Seen::Worse => "worse",
            Seen::NoDifference => "no difference seen",
            Seen::TooFewSeeds => "too few seeds to tell",
        };
        table.add_row([
            d.figure.name().to_string(),
            d.class.clone().unwrap_or_else(|| "all".into()),
            written(d.first),
            written(d.second),
            format!("{}{ends}", written(d.difference.mean)),
            seen.to_string(),
        ]);
    }
    text + &format!("\n{table}\n")
}

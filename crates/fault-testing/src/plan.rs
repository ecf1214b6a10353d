//! Plans of faults, as data.

use oorandom::Rand32;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// What is done to a link or a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// A link loses what goes out.
    CutOut,
    /// A link loses what comes back.
    CutBack,
    /// A link loses all.
    Cut,
    /// A link passes so many more bytes back, then loses what comes back.
    CutAfter(u64),
    /// A link holds what comes back.
    HoldBack,
    /// A link holds what goes out.
    HoldOut,
    /// A link holds its open connections; later ones go on.
    HoldExisting,
    /// A link lets go of all that it holds.
    Release,
    /// A link delays each byte by so many milliseconds.
    Delay(u64),
    /// A link carries so many bytes a second.
    Throttle(u64),
    /// A link resets its open connections.
    Reset,
    /// A link takes connections and never reads them.
    Blackhole,
    /// A link is as at the beginning.
    Heal,
    /// A process is killed without a word.
    Kill,
    /// A process that was killed is started with the state that it kept.
    Start,
    /// A process that was killed is started without what it kept.
    StartWithoutState,
    /// A process stands still (SIGSTOP).
    Stop,
    /// A process goes on (SIGCONT).
    Continue,
}

impl FaultAction {
    /// What ends it: a plan that is drawn heals what it breaks.
    pub fn recovery_action(self) -> Option<FaultAction> {
        match self {
            FaultAction::Kill => Some(FaultAction::Start),
            FaultAction::Stop => Some(FaultAction::Continue),
            FaultAction::HoldBack | FaultAction::HoldOut | FaultAction::HoldExisting => {
                Some(FaultAction::Release)
            }
            FaultAction::CutOut
            | FaultAction::CutBack
            | FaultAction::Cut
            | FaultAction::CutAfter(_)
            | FaultAction::Delay(_)
            | FaultAction::Throttle(_)
            | FaultAction::Blackhole => Some(FaultAction::Heal),
            FaultAction::Release
            | FaultAction::Reset
            | FaultAction::Heal
            | FaultAction::Start
            | FaultAction::StartWithoutState
            | FaultAction::Continue => None,
        }
    }
}

const ACTIONS: [(&str, FaultAction); 18] = [
    ("cut-out", FaultAction::CutOut),
    ("cut-back", FaultAction::CutBack),
    ("cut", FaultAction::Cut),
    ("cut-after", FaultAction::CutAfter(0)),
    ("hold-back", FaultAction::HoldBack),
    ("hold-out", FaultAction::HoldOut),
    ("hold-old", FaultAction::HoldExisting),
    ("let-go", FaultAction::Release),
    ("delay", FaultAction::Delay(0)),
    ("throttle", FaultAction::Throttle(0)),
    ("reset", FaultAction::Reset),
    ("swallow", FaultAction::Blackhole),
    ("heal", FaultAction::Heal),
    ("kill", FaultAction::Kill),
    ("start", FaultAction::Start),
    ("start-afresh", FaultAction::StartWithoutState),
    ("stop", FaultAction::Stop),
    ("continue", FaultAction::Continue),
];

impl fmt::Display for FaultAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = std::mem::discriminant(self);
        let word = ACTIONS
            .iter()
            .find(|(_, action)| std::mem::discriminant(action) == kind)
            .map_or("?", |(word, _)| word);
        f.write_str(word)?;
        match self {
            FaultAction::CutAfter(number)
            | FaultAction::Delay(number)
            | FaultAction::Throttle(number) => {
                write!(f, " {number}")
            }
            _ => Ok(()),
        }
    }
}

/// One fault. Written as `1500 ms, north>agent: cut`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When, from the plan's beginning.
    pub at: Duration,
    /// Which links or processes: a name, or the beginning of several with `*` behind it.
    pub target: String,
    /// What.
    pub action: FaultAction,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ms, {}: {}",
            self.at.as_millis(),
            self.target,
            self.action
        )
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let invalid =
            || format!("{line:?} is no fault; write one as \"1500 ms, north>agent: cut\"");
        let (at, rest) = line.split_once(" ms, ").ok_or_else(invalid)?;
        let (target, action) = rest.rsplit_once(": ").ok_or_else(invalid)?;
        let (word, number) = action
            .split_once(' ')
            .map_or((action, None), |(word, number)| (word, Some(number)));
        let number = number.map(str::parse).transpose().map_err(|_| invalid())?;
        let action = ACTIONS
            .iter()
            .find(|(known, _)| *known == word)
            .map(|(_, action)| *action)
            .ok_or_else(invalid)?;
        let action = match (action, number) {
            (FaultAction::CutAfter(_), Some(number)) => FaultAction::CutAfter(number),
            (FaultAction::Delay(_), Some(number)) => FaultAction::Delay(number),
            (FaultAction::Throttle(_), Some(number)) => FaultAction::Throttle(number),
            (FaultAction::CutAfter(_) | FaultAction::Delay(_) | FaultAction::Throttle(_), None) => {
                return Err(invalid());
            }
            (action, None) => action,
            (_, Some(_)) => return Err(invalid()),
        };
        let at = Duration::from_millis(at.trim().parse().map_err(|_| invalid())?);
        Ok(Fault {
            at,
            target: target.to_string(),
            action,
        })
    }
}

/// Faults in the order of their times. Written a line each; so written, it is read again and played again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults
            .iter()
            .try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl FromStr for Plan {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let mut faults: Vec<Fault> = lines.map(str::parse).collect::<Result<_, _>>()?;
        faults.sort_by_key(|fault| fault.at);
        Ok(Plan { faults })
    }
}

/// What a plan may be drawn from.
#[derive(Clone, Debug, Default)]
pub struct PlanGenerator {
    /// Which links or processes, with what may be done to them.
    pub choices: Vec<(String, Vec<FaultAction>)>,
    /// The time over which faults begin.
    pub window: Duration,
    /// How long a fault that has a cure lasts: from, to.
    pub duration_range: (Duration, Duration),
}

impl PlanGenerator {
    /// So many faults, each followed by its cure. The same for the same seed. A choice that is still broken by an
    /// earlier fault is left alone until that one is cured.
    ///
    /// # Panics
    /// The menu is empty.
    pub fn draw(&self, seed: u64, faults: usize) -> Plan {
        let mut random = Rand32::new(seed);
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let mut drawn: Vec<Fault> = Vec::new();
        let mut active: Vec<(u32, u32, usize)> = Vec::new();
        for _ in 0..faults {
            let at = random.rand_range(0..millis(self.window).max(1));
            let (from, to) = (millis(self.duration_range.0), millis(self.duration_range.1));
            let end = at + random.rand_range(from..to.max(from) + 1);
            let choice = random.rand_range(0..self.choices.len() as u32) as usize;
            let (target, actions) = &self.choices[choice];
            let action = actions[random.rand_range(0..actions.len() as u32) as usize];
            if active
                .iter()
                .any(|(start, ended, broken)| *broken == choice && at <= *ended && *start <= end)
            {
                continue;
            }
            active.push((at, end, choice));
            let fault = |at: u32, action| Fault {
                at: Duration::from_millis(at.into()),
                target: target.clone(),
                action,
            };
            drawn.push(fault(at, action));
            drawn.extend(
                action
                    .recovery_action()
                    .map(|recovery| fault(end, recovery)),
            );
        }
        drawn.sort_by_key(|fault| fault.at);
        Plan { faults: drawn }
    }
}

/// The shortest plan found that still fails: whole halves are left out first, then quarters, down to single faults, for
/// as long as what is left fails (delta debugging, after Zeller). `fails` is called for each try, 64 times at most.
pub fn shrink(plan: &Plan, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
    let mut kept = plan.faults.clone();
    let (mut size, mut attempts) = (kept.len().div_ceil(2), 0);
    while size > 0 {
        let mut at = 0;
        while at < kept.len() {
            if attempts == 64 {
                return Plan { faults: kept };
            }
            attempts += 1;
            let mut fewer = kept.clone();
            fewer.drain(at..(at + size).min(kept.len()));
            if fails(&Plan {
                faults: fewer.clone(),
            }) {
                kept = fewer
            } else {
                at += size
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    Plan { faults: kept }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn generator() -> PlanGenerator {
        PlanGenerator {
            choices: vec![
                (
                    "north>agent".into(),
                    vec![
                        FaultAction::Cut,
                        FaultAction::HoldBack,
                        FaultAction::Delay(300),
                        FaultAction::Reset,
                    ],
                ),
                ("agent".into(), vec![FaultAction::Kill, FaultAction::Stop]),
            ],
            window: Duration::from_secs(10),
            duration_range: (Duration::from_millis(100), Duration::from_secs(2)),
        }
    }

    #[test]
    fn a_plan_is_the_same_for_its_seed_is_cured_and_is_read_as_it_was_written() {
        for seed in 0..200 {
            let plan = generator().draw(seed, 6);
            assert_eq!(plan, generator().draw(seed, 6));
            assert_eq!(plan.to_string().parse(), Ok(plan.clone()));
            for (at, fault) in plan.faults.iter().enumerate() {
                let cured = plan.faults[at..].iter().any(|f| {
                    f.target == fault.target && Some(f.action) == fault.action.recovery_action()
                });
                assert!(cured || fault.action.recovery_action().is_none(), "{plan}");
            }
        }
        for (word, _) in ACTIONS {
            let text = format!("7 ms, x: {word}");
            let number = if text.parse::<Fault>().is_ok() {
                text
            } else {
                format!("{text} 12")
            };
            assert_eq!(
                number.parse::<Fault>().expect("a fault").to_string(),
                number
            );
        }
        for invalid in [
            "",
            "7, x: cut",
            "7 ms, x: cut 3",
            "7 ms, x: delay",
            "7 ms, x: dig",
            "x ms, x: cut",
        ] {
            assert!(invalid.parse::<Fault>().is_err(), "{invalid}");
        }
    }

    #[test]
    fn a_plan_shrinks_to_the_faults_that_it_takes() {
        let plan = generator().draw(3, 40);
        assert!(plan.faults.len() > 6, "{plan}");
        let needed = [plan.faults[1].clone(), plan.faults[5].clone()];
        let least = shrink(&plan, |plan| {
            needed.iter().all(|fault| plan.faults.contains(fault))
        });
        assert_eq!(least.faults, needed);
    }
}

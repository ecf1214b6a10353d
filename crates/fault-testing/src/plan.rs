//! Fault plans as data.

use oorandom::Rand32;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// What a fault does to a link or a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// A link drops traffic to the server.
    CutOut,
    /// A link drops traffic to the client.
    CutBack,
    /// A link drops all traffic.
    Cut,
    /// A link forwards this many more bytes to the client, then drops traffic to the client.
    CutAfter(u64),
    /// A link holds traffic to the client.
    HoldBack,
    /// A link holds traffic to the server.
    HoldOut,
    /// A link holds its open connections; new ones are not affected.
    HoldExisting,
    /// A link releases all held traffic.
    Release,
    /// A link delays each byte by this many milliseconds.
    Delay(u64),
    /// A link forwards at most this many bytes per second.
    Throttle(u64),
    /// A link resets its open connections.
    Reset,
    /// A link accepts connections and never reads from them.
    Blackhole,
    /// Removes all faults of a link.
    Heal,
    /// Kills a process (SIGKILL).
    Kill,
    /// Restarts a killed process with its persisted state.
    Start,
    /// Restarts a killed process without its persisted state.
    StartWithoutState,
    /// Stops a process (SIGSTOP).
    Stop,
    /// Continues a stopped process (SIGCONT).
    Continue,
}

impl FaultAction {
    /// The action that ends this one, if it lasts. Generated plans undo each fault with it.
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

/// One fault. Its text form is `1500 ms, north>agent: cut`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When the fault happens, from the start of the plan.
    pub at: Duration,
    /// The links or processes: a name, or a prefix followed by `*`.
    pub target: String,
    /// What happens.
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
            || format!("{line:?} is not a fault; write one as \"1500 ms, north>agent: cut\"");
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

/// Faults ordered by time. The text form has one line per fault and can be parsed and executed again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The faults, ordered by time.
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

/// Generates random plans.
#[derive(Clone, Debug, Default)]
pub struct PlanGenerator {
    /// Links or processes, each with the possible actions.
    pub choices: Vec<(String, Vec<FaultAction>)>,
    /// The period within which faults start.
    pub window: Duration,
    /// Minimum and maximum duration of a fault that has a recovery action.
    pub duration_range: (Duration, Duration),
}

impl PlanGenerator {
    /// Generates up to this many faults, each followed by its recovery action. Deterministic for a seed. A fault that would
    /// overlap another on the same choice is skipped.
    ///
    /// # Panics
    /// If there are no choices.
    pub fn draw(&self, seed: u64, faults: usize) -> Plan {
        let mut random = Rand32::new(seed);
        let millis = |duration: Duration| u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
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

/// Shrinks a failing plan by delta debugging (Zeller): leaves out halves first, then quarters, down to single faults, as
/// long as the rest still fails. Returns the shortest failing plan found. Calls `fails` at most 64 times.
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
    fn a_plan_is_deterministic_for_its_seed_recovers_its_faults_and_round_trips_as_text() {
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
    fn a_plan_shrinks_to_the_faults_that_are_needed_to_fail() {
        let plan = generator().draw(3, 40);
        assert!(plan.faults.len() > 6, "{plan}");
        let needed = [plan.faults[1].clone(), plan.faults[5].clone()];
        let least = shrink(&plan, |plan| {
            needed.iter().all(|fault| plan.faults.contains(fault))
        });
        assert_eq!(least.faults, needed);
    }
}

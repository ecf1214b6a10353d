//! Plans of faults, as data.

use oorandom::Rand32;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// What is done to a link or a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
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
    HoldOld,
    /// A link lets go of all that it holds.
    LetGo,
    /// A link delays each byte by so many milliseconds.
    Delay(u64),
    /// A link carries so many bytes a second.
    Throttle(u64),
    /// A link resets its open connections.
    Reset,
    /// A link takes connections and never reads them.
    Swallow,
    /// A link is as at the beginning.
    Heal,
    /// A process is killed without a word.
    Kill,
    /// A process that was killed is started with the state that it kept.
    Start,
    /// A process that was killed is started without what it kept.
    StartAfresh,
    /// A process stands still (SIGSTOP).
    Stop,
    /// A process goes on (SIGCONT).
    Continue,
}

impl Act {
    /// What ends it: a plan that is drawn heals what it breaks.
    pub fn cure(self) -> Option<Act> {
        match self {
            Act::Kill => Some(Act::Start),
            Act::Stop => Some(Act::Continue),
            Act::HoldBack | Act::HoldOut | Act::HoldOld => Some(Act::LetGo),
            Act::CutOut
            | Act::CutBack
            | Act::Cut
            | Act::CutAfter(_)
            | Act::Delay(_)
            | Act::Throttle(_)
            | Act::Swallow => Some(Act::Heal),
            Act::LetGo | Act::Reset | Act::Heal | Act::Start | Act::StartAfresh | Act::Continue => {
                None
            }
        }
    }
}

const ACTS: [(&str, Act); 18] = [
    ("cut-out", Act::CutOut),
    ("cut-back", Act::CutBack),
    ("cut", Act::Cut),
    ("cut-after", Act::CutAfter(0)),
    ("hold-back", Act::HoldBack),
    ("hold-out", Act::HoldOut),
    ("hold-old", Act::HoldOld),
    ("let-go", Act::LetGo),
    ("delay", Act::Delay(0)),
    ("throttle", Act::Throttle(0)),
    ("reset", Act::Reset),
    ("swallow", Act::Swallow),
    ("heal", Act::Heal),
    ("kill", Act::Kill),
    ("start", Act::Start),
    ("start-afresh", Act::StartAfresh),
    ("stop", Act::Stop),
    ("continue", Act::Continue),
];

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = std::mem::discriminant(self);
        let word = ACTS
            .iter()
            .find(|(_, act)| std::mem::discriminant(act) == kind)
            .map_or("?", |(word, _)| word);
        f.write_str(word)?;
        match self {
            Act::CutAfter(number) | Act::Delay(number) | Act::Throttle(number) => {
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
    pub on: String,
    /// What.
    pub act: Act,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms, {}: {}", self.at.as_millis(), self.on, self.act)
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let odd = || format!("{line:?} is no fault; write one as \"1500 ms, north>agent: cut\"");
        let (at, rest) = line.split_once(" ms, ").ok_or_else(odd)?;
        let (on, act) = rest.rsplit_once(": ").ok_or_else(odd)?;
        let (word, number) = act
            .split_once(' ')
            .map_or((act, None), |(word, number)| (word, Some(number)));
        let number = number.map(str::parse).transpose().map_err(|_| odd())?;
        let act = ACTS
            .iter()
            .find(|(known, _)| *known == word)
            .map(|(_, act)| *act)
            .ok_or_else(odd)?;
        let act = match (act, number) {
            (Act::CutAfter(_), Some(number)) => Act::CutAfter(number),
            (Act::Delay(_), Some(number)) => Act::Delay(number),
            (Act::Throttle(_), Some(number)) => Act::Throttle(number),
            (Act::CutAfter(_) | Act::Delay(_) | Act::Throttle(_), None) => return Err(odd()),
            (act, None) => act,
            (_, Some(_)) => return Err(odd()),
        };
        let at = Duration::from_millis(at.trim().parse().map_err(|_| odd())?);
        Ok(Fault {
            at,
            on: on.to_string(),
            act,
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
pub struct Menu {
    /// Which links or processes, with what may be done to them.
    pub choices: Vec<(String, Vec<Act>)>,
    /// The time over which faults begin.
    pub over: Duration,
    /// How long a fault that has a cure lasts: from, to.
    pub lasts: (Duration, Duration),
}

impl Menu {
    /// So many faults, each followed by its cure. The same for the same seed. A choice that is still broken by an
    /// earlier fault is left alone until that one is cured.
    ///
    /// # Panics
    /// The menu is empty.
    pub fn draw(&self, seed: u64, faults: usize) -> Plan {
        let mut random = Rand32::new(seed);
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let mut drawn: Vec<Fault> = Vec::new();
        let mut busy: Vec<(u32, u32, usize)> = Vec::new();
        for _ in 0..faults {
            let at = random.rand_range(0..millis(self.over).max(1));
            let (from, to) = (millis(self.lasts.0), millis(self.lasts.1));
            let end = at + random.rand_range(from..to.max(from) + 1);
            let place = random.rand_range(0..self.choices.len() as u32) as usize;
            let (on, acts) = &self.choices[place];
            let act = acts[random.rand_range(0..acts.len() as u32) as usize];
            if busy
                .iter()
                .any(|(begun, ended, on)| *on == place && at <= *ended && *begun <= end)
            {
                continue;
            }
            busy.push((at, end, place));
            let fault = |at: u32, act| Fault {
                at: Duration::from_millis(at.into()),
                on: on.clone(),
                act,
            };
            drawn.push(fault(at, act));
            drawn.extend(act.cure().map(|cure| fault(end, cure)));
        }
        drawn.sort_by_key(|fault| fault.at);
        Plan { faults: drawn }
    }
}

/// The shortest plan found that still fails: whole halves are left out first, then quarters, down to single faults, for
/// as long as what is left fails (delta debugging, after Zeller). `fails` is called for each try, 64 times at most.
pub fn shrink(plan: &Plan, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
    let mut kept = plan.faults.clone();
    let (mut size, mut tries) = (kept.len().div_ceil(2), 0);
    while size > 0 {
        let mut at = 0;
        while at < kept.len() {
            if tries == 64 {
                return Plan { faults: kept };
            }
            tries += 1;
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

    fn menu() -> Menu {
        Menu {
            choices: vec![
                (
                    "north>agent".into(),
                    vec![Act::Cut, Act::HoldBack, Act::Delay(300), Act::Reset],
                ),
                ("agent".into(), vec![Act::Kill, Act::Stop]),
            ],
            over: Duration::from_secs(10),
            lasts: (Duration::from_millis(100), Duration::from_secs(2)),
        }
    }

    #[test]
    fn a_plan_is_the_same_for_its_seed_is_cured_and_is_read_as_it_was_written() {
        for seed in 0..200 {
            let plan = menu().draw(seed, 6);
            assert_eq!(plan, menu().draw(seed, 6));
            assert_eq!(plan.to_string().parse(), Ok(plan.clone()));
            for (at, fault) in plan.faults.iter().enumerate() {
                let cured = plan.faults[at..]
                    .iter()
                    .any(|f| f.on == fault.on && Some(f.act) == fault.act.cure());
                assert!(cured || fault.act.cure().is_none(), "{plan}");
            }
        }
        for (word, _) in ACTS {
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
        for odd in [
            "",
            "7, x: cut",
            "7 ms, x: cut 3",
            "7 ms, x: delay",
            "7 ms, x: dig",
            "x ms, x: cut",
        ] {
            assert!(odd.parse::<Fault>().is_err(), "{odd}");
        }
    }

    #[test]
    fn a_plan_shrinks_to_the_faults_that_it_takes() {
        let plan = menu().draw(3, 40);
        assert!(plan.faults.len() > 6, "{plan}");
        let needed = [plan.faults[1].clone(), plan.faults[5].clone()];
        let least = shrink(&plan, |plan| {
            needed.iter().all(|fault| plan.faults.contains(fault))
        });
        assert_eq!(least.faults, needed);
    }
}

//! What a plan is played on: links and processes by name.

use crate::{Act, Direction, Fault, Link, Plan, Program, Signal};
use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

/// A process that may be killed and started again.
pub struct Slot {
    /// None while it is down.
    pub program: Option<Program>,
    /// Makes what starts it; told whether what it kept must go first.
    make: Box<dyn Fn(bool) -> Command + Send>,
    stopped: bool,
}

impl Slot {
    /// A process that runs already, and how it is started again.
    pub fn new(program: Program, make: impl Fn(bool) -> Command + Send + 'static) -> Self {
        Slot {
            program: Some(program),
            make: Box::new(make),
            stopped: false,
        }
    }
}

/// Links and processes by name.
#[derive(Default)]
pub struct Stage {
    /// The links.
    pub links: BTreeMap<String, Link>,
    /// The processes.
    pub slots: BTreeMap<String, Slot>,
}

/// Whether a name is meant: it, or the beginning of several with `*` behind it.
fn meant(pattern: &str, name: &str) -> bool {
    pattern
        .strip_suffix('*')
        .map_or(pattern == name, |begin| name.starts_with(begin))
}

impl Stage {
    /// Does one thing, now. A process that was started has only begun to.
    ///
    /// # Panics
    /// Nothing of that name is there, or it is no such thing.
    pub fn act(&mut self, on: &str, act: Act) {
        let mut any = false;
        for (_, link) in self.links.iter().filter(|(name, _)| meant(on, name)) {
            any = true;
            match act {
                Act::CutOut => link.cut(Direction::Out),
                Act::CutBack => link.cut(Direction::Back),
                Act::Cut => link.cut_both(),
                Act::CutAfter(bytes) => link.cut_after(Direction::Back, bytes),
                Act::HoldBack => link.hold(Direction::Back),
                Act::HoldOut => link.hold(Direction::Out),
                Act::HoldOld => link.hold_old(),
                Act::LetGo => link.let_go(),
                Act::Delay(millis) => link.delay(Duration::from_millis(millis)),
                Act::Throttle(bytes) => link.throttle(bytes),
                Act::Reset => link.reset(),
                Act::Swallow => link.swallow(),
                Act::Heal => link.heal(),
                _ => panic!("{on} is a link: {act}"),
            }
        }
        for (_, slot) in self.slots.iter_mut().filter(|(name, _)| meant(on, name)) {
            any = true;
            match (act, &slot.program) {
                (Act::Kill, _) => {
                    slot.program = None;
                    slot.stopped = false;
                }
                (Act::Start | Act::StartAfresh, None) => {
                    slot.program = Some(Program::start((slot.make)(act == Act::StartAfresh)));
                }
                (Act::Stop, Some(program)) => {
                    program.signal(Signal::STOP);
                    slot.stopped = true;
                }
                (Act::Continue, Some(program)) => {
                    program.signal(Signal::CONT);
                    slot.stopped = false;
                }
                // A shrunk plan may start what runs, or stop what does not.
                (Act::Start | Act::StartAfresh | Act::Stop | Act::Continue, _) => {}
                _ => panic!("{on} is a process: {act}"),
            }
        }
        assert!(any, "there is nothing called {on}");
    }

    /// Plays a plan, and then waits until `over` has passed since its beginning. `after` is told of each fault once it
    /// is done.
    pub fn play(&mut self, plan: &Plan, over: Duration, mut after: impl FnMut(&mut Stage, &Fault)) {
        let begin = Instant::now();
        let wait = |at: Duration| std::thread::sleep(at.saturating_sub(begin.elapsed()));
        for fault in &plan.faults {
            wait(fault.at);
            self.act(&fault.on, fault.act);
            after(self, fault);
        }
        wait(over);
    }

    /// Everything is healed, runs, and goes on.
    pub fn heal(&mut self) {
        self.links.values().for_each(Link::heal);
        for slot in self.slots.values_mut() {
            match &slot.program {
                Some(program) if slot.stopped => program.signal(Signal::CONT),
                Some(_) => {}
                None => slot.program = Some(Program::start((slot.make)(false))),
            }
            slot.stopped = false;
        }
    }

    /// The program of this name.
    ///
    /// # Panics
    /// It is down, or there is none.
    pub fn program(&self, name: &str) -> &Program {
        let slot = self
            .slots
            .get(name)
            .unwrap_or_else(|| panic!("there is no {name}"));
        slot.program
            .as_ref()
            .unwrap_or_else(|| panic!("{name} is down"))
    }
}

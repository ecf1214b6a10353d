//! What a plan is played on: links and processes by name.

use crate::{Direction, Fault, FaultAction, Link, Plan, Program, Signal};
use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

/// A process that may be killed and started again.
pub struct ManagedProcess {
    /// None while it is down.
    pub program: Option<Program>,
    /// Makes what starts it; told whether what it kept must go first.
    make: Box<dyn Fn(bool) -> Command + Send>,
    stopped: bool,
}

impl ManagedProcess {
    /// A process that runs already, and how it is started again.
    pub fn new(program: Program, make: impl Fn(bool) -> Command + Send + 'static) -> Self {
        ManagedProcess {
            program: Some(program),
            make: Box::new(make),
            stopped: false,
        }
    }
}

/// Links and processes by name.
#[derive(Default)]
pub struct Testbed {
    /// The links.
    pub links: BTreeMap<String, Link>,
    /// The processes.
    pub processes: BTreeMap<String, ManagedProcess>,
}

/// Whether a name is matches_target: it, or the beginning of several with `*` behind it.
fn matches_target(pattern: &str, name: &str) -> bool {
    pattern
        .strip_suffix('*')
        .map_or(pattern == name, |begin| name.starts_with(begin))
}

impl Testbed {
    /// Does one thing, now. A process that was started has only begun to.
    ///
    /// # Panics
    /// Nothing of that name is there, or it is no such thing.
    pub fn apply(&mut self, target: &str, action: FaultAction) {
        let mut any = false;
        for (_, link) in self
            .links
            .iter()
            .filter(|(name, _)| matches_target(target, name))
        {
            any = true;
            match action {
                FaultAction::CutOut => link.cut(Direction::ToServer),
                FaultAction::CutBack => link.cut(Direction::ToClient),
                FaultAction::Cut => link.cut_both(),
                FaultAction::CutAfter(bytes) => link.cut_after(Direction::ToClient, bytes),
                FaultAction::HoldBack => link.hold(Direction::ToClient),
                FaultAction::HoldOut => link.hold(Direction::ToServer),
                FaultAction::HoldExisting => link.hold_existing(),
                FaultAction::Release => link.release(),
                FaultAction::Delay(millis) => link.delay(Duration::from_millis(millis)),
                FaultAction::Throttle(bytes) => link.throttle(bytes),
                FaultAction::Reset => link.reset(),
                FaultAction::Blackhole => link.blackhole(),
                FaultAction::Heal => link.heal(),
                _ => panic!("{target} is a link: {action}"),
            }
        }
        for (_, process) in self
            .processes
            .iter_mut()
            .filter(|(name, _)| matches_target(target, name))
        {
            any = true;
            match (action, &process.program) {
                (FaultAction::Kill, _) => {
                    process.program = None;
                    process.stopped = false;
                }
                (FaultAction::Start | FaultAction::StartWithoutState, None) => {
                    process.program = Some(Program::start((process.make)(
                        action == FaultAction::StartWithoutState,
                    )));
                }
                (FaultAction::Stop, Some(program)) => {
                    program.signal(Signal::STOP);
                    process.stopped = true;
                }
                (FaultAction::Continue, Some(program)) => {
                    program.signal(Signal::CONT);
                    process.stopped = false;
                }
                // A shrunk plan may start what runs, or stop what does not.
                (
                    FaultAction::Start
                    | FaultAction::StartWithoutState
                    | FaultAction::Stop
                    | FaultAction::Continue,
                    _,
                ) => {}
                _ => panic!("{target} is a process: {action}"),
            }
        }
        assert!(any, "there is nothing called {target}");
    }

    /// Plays a plan, and then waits until `over` has passed since its beginning. `after` is told of each fault once it
    /// is done.
    pub fn play(
        &mut self,
        plan: &Plan,
        over: Duration,
        mut after: impl FnMut(&mut Testbed, &Fault),
    ) {
        let begin = Instant::now();
        let wait = |at: Duration| std::thread::sleep(at.saturating_sub(begin.elapsed()));
        for fault in &plan.faults {
            wait(fault.at);
            self.apply(&fault.target, fault.action);
            after(self, fault);
        }
        wait(over);
    }

    /// Everything is healed, runs, and goes on.
    pub fn heal(&mut self) {
        self.links.values().for_each(Link::heal);
        for process in self.processes.values_mut() {
            match &process.program {
                Some(program) if process.stopped => program.signal(Signal::CONT),
                Some(_) => {}
                None => process.program = Some(Program::start((process.make)(false))),
            }
            process.stopped = false;
        }
    }

    /// The program of this name.
    ///
    /// # Panics
    /// It is down, or there is none.
    pub fn program(&self, name: &str) -> &Program {
        let process = self
            .processes
            .get(name)
            .unwrap_or_else(|| panic!("there is no {name}"));
        process
            .program
            .as_ref()
            .unwrap_or_else(|| panic!("{name} is down"))
    }
}

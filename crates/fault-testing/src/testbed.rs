//! The links and processes, by name, on which a plan is executed.

use crate::{Direction, Fault, FaultAction, Link, Plan, Program, Signal};
use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

/// A process that can be killed and restarted.
pub struct ManagedProcess {
    /// None while the process is down.
    pub program: Option<Program>,
    /// Builds the start command; the argument says whether persisted state is deleted first.
    make_command: Box<dyn Fn(bool) -> Command + Send>,
    stopped: bool,
}

impl ManagedProcess {
    /// A running process and the function that builds its restart command.
    pub fn new(program: Program, make_command: impl Fn(bool) -> Command + Send + 'static) -> Self {
        ManagedProcess {
            program: Some(program),
            make_command: Box::new(make_command),
            stopped: false,
        }
    }
}

/// Links and processes under test, by name.
#[derive(Default)]
pub struct Testbed {
    /// Links by name.
    pub links: BTreeMap<String, Link>,
    /// Processes by name.
    pub processes: BTreeMap<String, ManagedProcess>,
}

/// Whether a pattern matches a name. A pattern is an exact name, or a prefix followed by `*`.
fn matches_target(pattern: &str, name: &str) -> bool {
    pattern
        .strip_suffix('*')
        .map_or(pattern == name, |prefix| name.starts_with(prefix))
}

impl Testbed {
    /// Applies one action now. It does not wait until a started process is up.
    ///
    /// # Panics
    /// If nothing has that name, or the action does not apply to it.
    pub fn apply(&mut self, target: &str, action: FaultAction) {
        let mut found = false;
        for (_, link) in self
            .links
            .iter()
            .filter(|(name, _)| matches_target(target, name))
        {
            found = true;
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
                _ => panic!("{target} is a link, which does not support {action}"),
            }
        }
        for (_, process) in self
            .processes
            .iter_mut()
            .filter(|(name, _)| matches_target(target, name))
        {
            found = true;
            match (action, &process.program) {
                (FaultAction::Kill, _) => {
                    process.program = None;
                    process.stopped = false;
                }
                (FaultAction::Start | FaultAction::StartWithoutState, None) => {
                    process.program = Some(Program::start((process.make_command)(
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
                // A shrunk plan may start a running process or stop one that is down.
                (
                    FaultAction::Start
                    | FaultAction::StartWithoutState
                    | FaultAction::Stop
                    | FaultAction::Continue,
                    _,
                ) => {}
                _ => panic!("{target} is a process, which does not support {action}"),
            }
        }
        assert!(found, "no link or process is called {target}");
    }

    /// Executes a plan, then waits until `duration` has passed since its start. `after_fault` is called after each fault.
    pub fn play(
        &mut self,
        plan: &Plan,
        duration: Duration,
        mut after_fault: impl FnMut(&mut Testbed, &Fault),
    ) {
        let started_at = Instant::now();
        let wait = |at: Duration| std::thread::sleep(at.saturating_sub(started_at.elapsed()));
        for fault in &plan.faults {
            wait(fault.at);
            self.apply(&fault.target, fault.action);
            after_fault(self, fault);
        }
        wait(duration);
    }

    /// Heals all links, resumes stopped processes and restarts those that are down.
    pub fn heal(&mut self) {
        self.links.values().for_each(Link::heal);
        for process in self.processes.values_mut() {
            match &process.program {
                Some(program) if process.stopped => program.signal(Signal::CONT),
                Some(_) => {}
                None => process.program = Some(Program::start((process.make_command)(false))),
            }
            process.stopped = false;
        }
    }

    /// The running program of this name.
    ///
    /// # Panics
    /// If it is down, or no process has that name.
    pub fn program(&self, name: &str) -> &Program {
        let process = self
            .processes
            .get(name)
            .unwrap_or_else(|| panic!("no process is called {name}"));
        process
            .program
            .as_ref()
            .unwrap_or_else(|| panic!("{name} is down"))
    }
}

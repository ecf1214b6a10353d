//! The instance's side of the control protocol: it registers with the agent that the operator file names, and takes
//! changes, each whole or not at all. Without such an agent nothing of this is made.
//!
//! It goes on beside what serves, on the same thread, and what serves never waits for it. What it costs: two
//! connections; a message of less than 1 KB out for each report and one for each order; the text of the operator file
//! and of two overlays in memory; and, for a change of limits or routes, the check of the whole file on a thread of
//! its own. Of what the agent says, 8 MiB at most are read at once, and of what it does not answer three requests at
//! most wait.
mod apply;
mod connection;
mod overlay;
mod persisted;
mod window;

use super::kept::keep_going;
use super::process::Sidecar;
use super::reload::aside;
use connection::keep_link;
use madderloom_fleet::Memory;
use madderloom_fleet::change::Traits;
use madderloom_fleet::settings::{Key, LogLevel, Overlay, Value};
use madderloom_operator::{Operator, Source};
use madderloom_watchdog::{self as watchdog, TaskKind};
use overlay::{sets_file, steering};
use persisted::{kept, write};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Mutex, watch};
use tokio::task::AbortHandle;

/// What is set from outside, and by whom it may be.
#[derive(Default)]
pub(super) struct AgentLink {
    /// One at a time makes the process what a file or an order says.
    pub(super) turn: Mutex<()>,
    file: RefCell<Option<Named>>,
    /// What it kept last, and what is in effect beside the file.
    memory: RefCell<Memory>,
    link: RefCell<Option<Running>>,
    log: RefCell<Option<LogHook>>,
    /// Nothing could be kept, and that was told.
    deaf: Cell<bool>,
}

type LogHook = Box<dyn Fn(Option<LogLevel>)>;

/// The agent that the operator file names, and that file.
struct Named {
    control: madderloom_operator::Control,
    source: Arc<Source>,
}

/// A link at work; it ends when this is dropped.
struct Running {
    control: madderloom_operator::Control,
    traits: watch::Sender<Traits>,
    task: AbortHandle,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An operator file with what is set beside it.
pub(super) struct Read {
    pub(super) operator: Operator,
    /// None where the file names no agent: then nothing is set beside it.
    pub(super) source: Option<Arc<Source>>,
}

impl AgentLink {
    /// What the admin view shows; nothing where no agent is named.
    pub(super) fn view(&self) -> serde_json::Value {
        let file = self.file.borrow();
        let Some(Named { control, .. }) = file.as_ref() else { return serde_json::Value::Null };
        let memory = self.memory.borrow();
        json!({
            "agent": control.agent,
            "name": control.name,
            "incarnation": memory.incarnation,
            "term": memory.term,
            "revision": memory.revision,
            "fingerprint": memory.overlay.fingerprint(),
            "set": memory.overlay,
        })
    }

    /// Has a file read, with what is set beside it where that file still names an agent.
    pub(super) async fn read(&self, file: PathBuf) -> Result<Read, String> {
        let overlay = self.memory.borrow().overlay.clone();
        aside(move || {
            let (source, operator) = Source::load(&file).map_err(|faults| faults.to_string())?;
            if operator.control.is_none() {
                return Ok(Read { operator, source: None });
            }
            let operator = if sets_file(&overlay) {
                source.with(&overlay).map_err(|e| format!("{}: beside it is set: {e}", file.display()))?
            } else {
                operator
            };
            Ok(Read { operator, source: Some(Arc::new(source)) })
        })
        .await?
    }

    fn traits(&self) -> Option<Traits> {
        let file = self.file.borrow();
        let Named { control, source } = file.as_ref()?;
        Some(Traits {
            zone: control.zone.clone(),
            labels: control.labels.clone(),
            build: env!("CARGO_PKG_VERSION").to_string(),
            file: source.fingerprint(),
        })
    }

    fn set_log_level(&self, overlay: &Overlay) {
        let level = overlay.0.iter().find_map(|(key, value)| match (key, value) {
            (Key::LogLevel, Value::Level(level)) => Some(*level),
            _ => None,
        });
        if let Some(log) = self.log.borrow().as_ref() {
            log(level);
        }
    }

    /// Keeps this for the next start. What is written survives the process; a file system that loses it costs what
    /// a lost state does: the agent brings the instance in line again.
    fn keep(&self, memory: &Memory) {
        self.memory.replace(memory.clone());
        let file = self.file.borrow();
        let Some(directory) = file.as_ref().and_then(|file| file.control.state.as_ref()) else { return };
        match write(directory, memory) {
            Ok(()) => self.deaf.set(false),
            Err(problem) if !self.deaf.replace(true) => {
                tracing::warn!("control: not kept for the next start: {}: {problem}", directory.display());
            }
            Err(_) => {}
        }
    }
}

impl Sidecar {
    /// What a level of the log that is set from outside is given to; `None` is the program's own.
    pub fn set_log(&self, hook: impl Fn(Option<LogLevel>) + 'static) {
        self.agent_link.log.replace(Some(Box::new(hook)));
        self.agent_link.set_log_level(&self.agent_link.memory.borrow().overlay);
    }

    /// At the start: what the last start had in effect beside the file is so again, where it still makes sense.
    pub(super) fn begin_control(&self, file: &Path, operator: Operator) -> Operator {
        let Some(control) = operator.control.clone() else { return operator };
        let source = match Source::load(file) {
            Ok((source, _)) => source,
            Err(faults) => {
                tracing::warn!("control: off until the file is read again: {faults}");
                return operator;
            }
        };
        let mut memory = kept(control.state.as_deref());
        let operator = match sets_file(&memory.overlay).then(|| source.with(&memory.overlay)) {
            None => operator,
            Some(Ok(with)) => with,
            Some(Err(problem)) => {
                tracing::warn!("control: what was set beside the file is left out: {problem}");
                (memory.overlay, memory.revision) = Default::default();
                operator
            }
        };
        self.common.steering.replace(steering(&memory.overlay));
        self.agent_link.memory.replace(memory);
        self.agent_link.file.replace(Some(Named { control, source: Arc::new(source) }));
        operator
    }

    /// A file has taken effect.
    pub(super) fn followed(
        self: &Rc<Self>,
        read: (Option<madderloom_operator::Control>, Option<Arc<Source>>),
    ) {
        let named = match read {
            (Some(control), Some(source)) => Some(Named { control, source }),
            _ => None,
        };
        let former = self.agent_link.file.replace(named);
        if self.agent_link.file.borrow().is_none() {
            let steered = std::mem::take(&mut self.agent_link.memory.borrow_mut().overlay);
            if former.is_some() {
                self.steer(&steered, &Overlay::default());
                self.agent_link.set_log_level(&Overlay::default());
            }
        } else if former.is_none() {
            // What an earlier start kept is the agent's to bring back.
            let directory =
                self.agent_link.file.borrow().as_ref().and_then(|file| file.control.state.clone());
            let memory = kept(directory.as_deref());
            self.agent_link.memory.replace(Memory { overlay: Overlay::default(), revision: 0, ..memory });
        }
        self.follow_agent();
    }

    /// Keeps a link to the agent that the file names, and to no other.
    pub(super) fn follow_agent(self: &Rc<Self>) {
        let control = self.agent_link.file.borrow().as_ref().map(|file| file.control.clone());
        let (Some(control), Some(traits)) = (control, self.agent_link.traits()) else {
            self.agent_link.link.take();
            return;
        };
        let mut link = self.agent_link.link.borrow_mut();
        if let Some(running) = link.as_mut().filter(|running| {
            let (zone, labels) = (control.zone.clone(), control.labels.clone());
            let (fleet_limits, share_lists) = (control.fleet_limits.clone(), control.share_lists.clone());
            let former = running.control.clone();
            madderloom_operator::Control { zone, labels, fleet_limits, share_lists, ..former } == control
        }) {
            running.control = control;
            running.traits.send_if_modified(|former| std::mem::replace(former, traits.clone()) != traits);
            return;
        }
        let (sender, receiver) = watch::channel(traits);
        let (sidecar, own) = (Rc::downgrade(self), control.clone());
        let task = watchdog::spawn(TaskKind::AgentLink, async move {
            let begin =
                || sidecar.upgrade().map(|_| keep_link(sidecar.clone(), own.clone(), receiver.clone()));
            keep_going(TaskKind::AgentLink, "the agent's link", begin).await;
        });
        *link = Some(Running { control, traits: sender, task: task.abort_handle() });
    }

    pub(super) fn end_control(&self) {
        self.agent_link.link.take();
    }
}

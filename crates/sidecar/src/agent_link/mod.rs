//! The instance's side of the control protocol. The sidecar registers with the agent that the operator file names,
//! and applies the agent's changes, each in full or not at all. Where the file names no agent, nothing of this
//! exists.
//!
//! The link runs on the same thread as the data path, which never waits for it. The cost is two connections, a
//! message of less than 1 KB for each report and one for each order, the text of the operator file and two overlays
//! in memory, and, for a change of limits or routes, a check of the whole file on a thread of its own. At most 8 MiB
//! of a message of the agent are read, and at most three requests wait for an answer.
mod apply;
mod connection;
mod overlay;
mod persisted;
mod window;
use super::process::Sidecar;
use super::reload::run_on_thread;
use super::supervision::supervise;
use connection::keep_link;
use madderloom_control_plane::PersistedInstance;
use madderloom_control_plane::selector::Attributes;
use madderloom_control_plane::settings::{Key, LogLevel, Overlay, Value};
use madderloom_operator_config::{OperatorConfig, Source};
use madderloom_watchdog::{self as watchdog, TaskKind};
use overlay::{changes_file, steering};
use persisted::{load, write};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Mutex, watch};
use tokio::task::AbortHandle;

/// The settings of the agent, and the link to it.
#[derive(Default)]
pub(super) struct AgentLink {
    /// Held while a file or an order is applied, so that one is applied at a time.
    pub(super) turn: Mutex<()>,
    file: RefCell<Option<ConfiguredAgent>>,
    /// The persisted state, with the overlay in effect.
    memory: RefCell<PersistedInstance>,
    link: RefCell<Option<ActiveLink>>,
    log: RefCell<Option<LogHook>>,
    /// Whether the log has been told that the state cannot be persisted.
    warned: Cell<bool>,
}

type LogHook = Box<dyn Fn(Option<LogLevel>)>;

/// The agent that the operator file names, and that file.
struct ConfiguredAgent {
    control: madderloom_operator_config::Control,
    source: Arc<Source>,
}

/// A running link; it ends when this is dropped.
struct ActiveLink {
    control: madderloom_operator_config::Control,
    traits: watch::Sender<Attributes>,
    task: AbortHandle,
}

impl Drop for ActiveLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An operator file with the overlay applied to it.
pub(super) struct Read {
    pub(super) operator: OperatorConfig,
    /// `None` where the file names no agent: then there is no overlay.
    pub(super) source: Option<Arc<Source>>,
}

impl AgentLink {
    /// The link as the admin endpoint shows it; null where no agent is named.
    pub(super) fn view(&self) -> serde_json::Value {
        let file = self.file.borrow();
        let Some(ConfiguredAgent { control, .. }) = file.as_ref() else {
            return serde_json::Value::Null;
        };
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

    /// Reads a file, and applies the overlay to it where the file names an agent.
    pub(super) async fn read(&self, file: PathBuf) -> Result<Read, String> {
        let overlay = self.memory.borrow().overlay.clone();
        run_on_thread(move || {
            let (source, operator) = Source::load(&file).map_err(|faults| faults.to_string())?;
            if operator.control.is_none() {
                return Ok(Read {
                    operator,
                    source: None,
                });
            }
            let operator = if changes_file(&overlay) {
                source
                    .apply(&overlay)
                    .map_err(|e| format!("{}: beside it is set: {e}", file.display()))?
            } else {
                operator
            };
            Ok(Read {
                operator,
                source: Some(Arc::new(source)),
            })
        })
        .await?
    }

    fn traits(&self) -> Option<Attributes> {
        let file = self.file.borrow();
        let ConfiguredAgent { control, source } = file.as_ref()?;
        Some(Attributes {
            zone: control.zone.clone(),
            labels: control.labels.clone(),
            build: env!("CARGO_PKG_VERSION").to_string(),
            file: source.fingerprint(),
        })
    }

    fn set_log_level(&self, overlay: &Overlay) {
        let level = overlay
            .0
            .iter()
            .find_map(|(key, value)| match (key, value) {
                (Key::LogLevel, Value::Level(level)) => Some(*level),
                _ => None,
            });
        if let Some(log) = self.log.borrow().as_ref() {
            log(level);
        }
    }

    /// Persists the state for the next start. The file survives the process. A file system that loses it in a power
    /// failure costs what a lost state does: the agent orders the settings again.
    fn persist(&self, memory: &PersistedInstance) {
        self.memory.replace(memory.clone());
        let file = self.file.borrow();
        let Some(directory) = file.as_ref().and_then(|file| file.control.state.as_ref()) else {
            return;
        };
        match write(directory, memory) {
            Ok(()) => self.warned.set(false),
            Err(problem) if !self.warned.replace(true) => {
                tracing::warn!(
                    "control: not kept for the next start: {}: {problem}",
                    directory.display()
                );
            }
            Err(_) => {}
        }
    }
}

impl Sidecar {
    /// Sets the hook that receives the log level of the overlay; `None` stands for the program's own level.
    pub fn set_log(&self, hook: impl Fn(Option<LogLevel>) + 'static) {
        self.agent_link.log.replace(Some(Box::new(hook)));
        self.agent_link
            .set_log_level(&self.agent_link.memory.borrow().overlay);
    }

    /// Restores the overlay of the last start, where it is still valid for the file.
    pub(super) fn begin_control(&self, file: &Path, operator: OperatorConfig) -> OperatorConfig {
        let Some(control) = operator.control.clone() else {
            return operator;
        };
        let source = match Source::load(file) {
            Ok((source, _)) => source,
            Err(faults) => {
                tracing::warn!("control: off until the file is read again: {faults}");
                return operator;
            }
        };
        let mut memory = load(control.state.as_deref());
        let operator = match changes_file(&memory.overlay).then(|| source.apply(&memory.overlay)) {
            None => operator,
            Some(Ok(with)) => with,
            Some(Err(problem)) => {
                tracing::warn!("control: what was set beside the file is left out: {problem}");
                (memory.overlay, memory.revision) = Default::default();
                operator
            }
        };
        self.process
            .server_overrides
            .replace(steering(&memory.overlay));
        self.agent_link.memory.replace(memory);
        self.agent_link.file.replace(Some(ConfiguredAgent {
            control,
            source: Arc::new(source),
        }));
        operator
    }

    /// Follows a file that has taken effect.
    pub(super) fn file_applied(
        self: &Rc<Self>,
        read: (
            Option<madderloom_operator_config::Control>,
            Option<Arc<Source>>,
        ),
    ) {
        let named = match read {
            (Some(control), Some(source)) => Some(ConfiguredAgent { control, source }),
            _ => None,
        };
        let former = self.agent_link.file.replace(named);
        if self.agent_link.file.borrow().is_none() {
            let steered = std::mem::take(&mut self.agent_link.memory.borrow_mut().overlay);
            if former.is_some() {
                self.apply_steering(&steered, &Overlay::default());
                self.agent_link.set_log_level(&Overlay::default());
            }
        } else if former.is_none() {
            // The agent orders again what an earlier start had in effect.
            let directory = self
                .agent_link
                .file
                .borrow()
                .as_ref()
                .and_then(|file| file.control.state.clone());
            let memory = load(directory.as_deref());
            self.agent_link.memory.replace(PersistedInstance {
                overlay: Overlay::default(),
                revision: 0,
                ..memory
            });
        }
        self.follow_agent();
    }

    /// Keeps a link to the agent that the file names, and ends every other one.
    pub(super) fn follow_agent(self: &Rc<Self>) {
        let control = self
            .agent_link
            .file
            .borrow()
            .as_ref()
            .map(|file| file.control.clone());
        let (Some(control), Some(traits)) = (control, self.agent_link.traits()) else {
            self.agent_link.link.take();
            return;
        };
        let mut link = self.agent_link.link.borrow_mut();
        if let Some(running) = link.as_mut().filter(|running| {
            let (zone, labels) = (control.zone.clone(), control.labels.clone());
            let (fleet_limits, share_lists) =
                (control.fleet_limits.clone(), control.share_lists.clone());
            let former = running.control.clone();
            madderloom_operator_config::Control {
                zone,
                labels,
                fleet_limits,
                share_lists,
                ..former
            } == control
        }) {
            running.control = control;
            running
                .traits
                .send_if_modified(|former| std::mem::replace(former, traits.clone()) != traits);
            return;
        }
        let (sender, receiver) = watch::channel(traits);
        let (sidecar, own) = (Rc::downgrade(self), control.clone());
        let task = watchdog::spawn(TaskKind::AgentLink, async move {
            let begin = || {
                sidecar
                    .upgrade()
                    .map(|_| keep_link(sidecar.clone(), own.clone(), receiver.clone()))
            };
            supervise(TaskKind::AgentLink, "the agent's link", begin).await;
        });
        *link = Some(ActiveLink {
            control,
            traits: sender,
            task: task.abort_handle(),
        });
    }

    pub(super) fn end_control(&self) {
        self.agent_link.link.take();
    }
}

//! The instance's side of the control protocol. The sidecar registers with the agent that the operator file names, and
//! applies each of the agent's changes completely or not at all. Disabled where the file names no agent.
//!
//! The link runs on the same thread as the data path, which never waits for it. It costs two connections, a message of
//! less than 1 KB for each report and for each order, the text of the operator file and two overlays in memory, and, for a
//! change of limits or routes, a check of the whole file on a separate thread. At most 8 MiB of a message from the agent
//! are read, and at most three requests are pending.
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
use overlay::{changes_operator_file, overrides};
use persisted::{load, write};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Mutex, watch};
use tokio::task::AbortHandle;

/// The settings that the agent has ordered, and the link to it.
#[derive(Default)]
pub(super) struct AgentLink {
    /// Held while an operator file or an order is applied, so that they are applied one at a time.
    pub(super) apply_lock: Mutex<()>,
    configured_agent: RefCell<Option<ConfiguredAgent>>,
    /// The persisted state, with the overlay in effect.
    persisted: RefCell<PersistedInstance>,
    active_link: RefCell<Option<ActiveLink>>,
    log_hook: RefCell<Option<LogHook>>,
    /// Whether a failure to persist the state has been logged.
    persist_failure_logged: Cell<bool>,
}

type LogHook = Box<dyn Fn(Option<LogLevel>)>;

/// The agent that the operator file names, and the source of that file.
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
pub(super) struct LoadedFile {
    pub(super) operator: OperatorConfig,
    /// `None` where the file names no agent: then there is no overlay.
    pub(super) source: Option<Arc<Source>>,
}

impl AgentLink {
    /// The link's JSON object in the admin view; null where no agent is named.
    pub(super) fn view(&self) -> serde_json::Value {
        let configured = self.configured_agent.borrow();
        let Some(ConfiguredAgent { control, .. }) = configured.as_ref() else {
            return serde_json::Value::Null;
        };
        let persisted = self.persisted.borrow();
        json!({
            "agent": control.agent,
            "name": control.name,
            "incarnation": persisted.incarnation,
            "term": persisted.term,
            "revision": persisted.revision,
            "fingerprint": persisted.overlay.fingerprint(),
            "set": persisted.overlay,
        })
    }

    /// Loads an operator file, and applies the overlay where the file names an agent.
    pub(super) async fn load_with_overlay(&self, file: PathBuf) -> Result<LoadedFile, String> {
        let overlay = self.persisted.borrow().overlay.clone();
        run_on_thread(move || {
            let (source, operator) = Source::load(&file).map_err(|faults| faults.to_string())?;
            if operator.control.is_none() {
                return Ok(LoadedFile {
                    operator,
                    source: None,
                });
            }
            let operator = if changes_operator_file(&overlay) {
                source
                    .apply(&overlay)
                    .map_err(|e| format!("{}: beside it is set: {e}", file.display()))?
            } else {
                operator
            };
            Ok(LoadedFile {
                operator,
                source: Some(Arc::new(source)),
            })
        })
        .await?
    }

    fn traits(&self) -> Option<Attributes> {
        let configured = self.configured_agent.borrow();
        let ConfiguredAgent { control, source } = configured.as_ref()?;
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
        if let Some(log) = self.log_hook.borrow().as_ref() {
            log(level);
        }
    }

    /// Persists the state for the next start. The file outlives the process but is not synced: if a power failure loses it,
    /// the agent orders the settings again.
    fn persist(&self, persisted: &PersistedInstance) {
        self.persisted.replace(persisted.clone());
        let configured = self.configured_agent.borrow();
        let Some(directory) = configured
            .as_ref()
            .and_then(|agent| agent.control.state.as_ref())
        else {
            return;
        };
        match write(directory, persisted) {
            Ok(()) => self.persist_failure_logged.set(false),
            Err(problem) if !self.persist_failure_logged.replace(true) => {
                tracing::warn!(
                    "control: the state is not persisted for the next start: {}: {problem}",
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
        self.agent_link.log_hook.replace(Some(Box::new(hook)));
        self.agent_link
            .set_log_level(&self.agent_link.persisted.borrow().overlay);
    }

    /// Restores the overlay of the last start, where it is still valid for the file.
    pub(super) fn restore_overlay(&self, file: &Path, operator: OperatorConfig) -> OperatorConfig {
        let Some(control) = operator.control.clone() else {
            return operator;
        };
        let source = match Source::load(file) {
            Ok((source, _)) => source,
            Err(faults) => {
                tracing::warn!("control: disabled until the operator file is reloaded: {faults}");
                return operator;
            }
        };
        let mut persisted = load(control.state.as_deref());
        let operator = match changes_operator_file(&persisted.overlay)
            .then(|| source.apply(&persisted.overlay))
        {
            None => operator,
            Some(Ok(with)) => with,
            Some(Err(problem)) => {
                tracing::warn!("control: ignoring the agent's persisted settings: {problem}");
                (persisted.overlay, persisted.revision) = Default::default();
                operator
            }
        };
        self.process
            .server_overrides
            .replace(overrides(&persisted.overlay));
        self.agent_link.persisted.replace(persisted);
        self.agent_link
            .configured_agent
            .replace(Some(ConfiguredAgent {
                control,
                source: Arc::new(source),
            }));
        operator
    }

    /// Updates the agent, the overlay and the link after an operator file has been applied.
    pub(super) fn operator_file_applied(
        self: &Rc<Self>,
        read: (
            Option<madderloom_operator_config::Control>,
            Option<Arc<Source>>,
        ),
    ) {
        let configured = match read {
            (Some(control), Some(source)) => Some(ConfiguredAgent { control, source }),
            _ => None,
        };
        let former = self.agent_link.configured_agent.replace(configured);
        if self.agent_link.configured_agent.borrow().is_none() {
            let overlay = std::mem::take(&mut self.agent_link.persisted.borrow_mut().overlay);
            if former.is_some() {
                self.apply_server_overrides(&overlay, &Overlay::default());
                self.agent_link.set_log_level(&Overlay::default());
            }
        } else if former.is_none() {
            // The overlay of an earlier start is dropped: the agent orders its settings again.
            let directory = self
                .agent_link
                .configured_agent
                .borrow()
                .as_ref()
                .and_then(|agent| agent.control.state.clone());
            let persisted = load(directory.as_deref());
            self.agent_link.persisted.replace(PersistedInstance {
                overlay: Overlay::default(),
                revision: 0,
                ..persisted
            });
        }
        self.update_agent_link();
    }

    /// Keeps a link to the agent that the operator file names, and closes a link to another agent.
    pub(super) fn update_agent_link(self: &Rc<Self>) {
        let control = self
            .agent_link
            .configured_agent
            .borrow()
            .as_ref()
            .map(|agent| agent.control.clone());
        let (Some(control), Some(traits)) = (control, self.agent_link.traits()) else {
            self.agent_link.active_link.take();
            return;
        };
        let mut active_link = self.agent_link.active_link.borrow_mut();
        if let Some(running) = active_link.as_mut().filter(|running| {
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
        let (sidecar, link_control) = (Rc::downgrade(self), control.clone());
        let task = watchdog::spawn(TaskKind::AgentLink, async move {
            let start_link = || {
                sidecar
                    .upgrade()
                    .map(|_| keep_link(sidecar.clone(), link_control.clone(), receiver.clone()))
            };
            supervise(TaskKind::AgentLink, "the agent's link", start_link).await;
        });
        *active_link = Some(ActiveLink {
            control,
            traits: sender,
            task: task.abort_handle(),
        });
    }

    pub(super) fn close_agent_link(&self) {
        self.agent_link.active_link.take();
    }
}

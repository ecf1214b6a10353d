//! Application of the agent's overlays.

use super::overlay::{overrides, same_operator_file_changes};
use crate::pool;
use crate::process::Sidecar;
use crate::reload::run_on_thread;
use madderloom_control_plane::Problem;
use madderloom_control_plane::bounds::MAX_SETTINGS;
use madderloom_control_plane::protocol::Outcome;
use madderloom_control_plane::settings::Overlay;
use std::rc::Rc;
use std::sync::Arc;

impl Sidecar {
    /// Applies an overlay completely, or rejects it and changes nothing.
    pub(super) async fn apply_overlay(self: Rc<Self>, overlay: Overlay) -> Outcome {
        let _apply_guard = self.agent_link.apply_lock.lock().await;
        let rejected = |field: &str, problem: &str| {
            Outcome::Refused(Problem {
                field: field.to_string(),
                problem: problem.to_string(),
            })
        };
        if overlay.0.len() > MAX_SETTINGS {
            return rejected("set", &format!("holds more than {MAX_SETTINGS} settings"));
        }
        let invalid = overlay
            .0
            .iter()
            .find_map(|(key, value)| Some((key, value.validate(key).err()?)));
        if let Some((key, error)) = invalid {
            return rejected(&format!("set.{key}"), &error.to_string());
        }
        let former = self.agent_link.persisted.borrow().overlay.clone();
        let source = self
            .agent_link
            .configured_agent
            .borrow()
            .as_ref()
            .map(|agent| Arc::clone(&agent.source));
        let Some(source) = source else {
            return rejected("set", "the instance no longer has an agent");
        };
        let edited = overlay.clone();
        let operator = if same_operator_file_changes(&former, &overlay) {
            None
        } else {
            // Checking a long file takes a large part of a second, during which requests are served.
            match run_on_thread(move || source.apply(&edited)).await {
                Ok(Ok(operator)) => Some(operator),
                Ok(Err(problem)) => return Outcome::Refused(problem),
                Err(problem) => return rejected("set", &problem),
            }
        };
        if self.process.is_stopping() {
            return rejected("set", "the instance is stopping");
        }
        // No await from here on, so that no request sees a partial change.
        self.process.server_overrides.replace(overrides(&overlay));
        if let Some(operator) = operator {
            match self.apply(operator) {
                Ok(summary) => tracing::info!("control: {summary}"),
                Err(problem) => {
                    self.process.server_overrides.replace(overrides(&former));
                    return rejected("set", &problem);
                }
            }
        }
        self.apply_server_overrides(&former, &overlay);
        self.agent_link.set_log_level(&overlay);
        for line in former.diff(&overlay) {
            tracing::info!("control: {line}");
        }
        self.agent_link.persisted.borrow_mut().overlay = overlay;
        Outcome::Applied
    }

    pub(super) fn apply_server_overrides(&self, former: &Overlay, overlay: &Overlay) {
        let (former, present) = (overrides(former), overrides(overlay));
        for service in self.process.services.borrow().iter() {
            pool::update_overrides(service, &former, &present);
        }
        self.process.server_overrides.replace(present);
    }
}

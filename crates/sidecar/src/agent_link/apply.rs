//! Application of the agent's overlays.

use super::overlay::{same_in_file, steering};
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
    /// Applies an overlay in full, or refuses it and changes nothing.
    pub(super) async fn apply_overlay(self: Rc<Self>, overlay: Overlay) -> Outcome {
        let _turn = self.agent_link.turn.lock().await;
        let refused = |field: &str, problem: &str| {
            Outcome::Refused(Problem {
                field: field.to_string(),
                problem: problem.to_string(),
            })
        };
        if overlay.0.len() > MAX_SETTINGS {
            return refused("set", &format!("holds more than {MAX_SETTINGS} settings"));
        }
        let fault = overlay
            .0
            .iter()
            .find_map(|(key, value)| Some((key, value.validate(key).err()?)));
        if let Some((key, error)) = fault {
            return refused(&format!("set.{key}"), &error.to_string());
        }
        let former = self.agent_link.memory.borrow().overlay.clone();
        let source = self
            .agent_link
            .file
            .borrow()
            .as_ref()
            .map(|file| Arc::clone(&file.source));
        let Some(source) = source else {
            return refused("set", "the instance follows no agent any more");
        };
        let edited = overlay.clone();
        let operator = if same_in_file(&former, &overlay) {
            None
        } else {
            // The check of a long file takes a good part of a second, during which requests are served.
            match run_on_thread(move || source.apply(&edited)).await {
                Ok(Ok(operator)) => Some(operator),
                Ok(Err(problem)) => return Outcome::Refused(problem),
                Err(problem) => return refused("set", &problem),
            }
        };
        if self.process.is_stopping() {
            return refused("set", "the instance is stopping");
        }
        // There is no await from here on, so that no request sees a part of the change.
        self.process.server_overrides.replace(steering(&overlay));
        if let Some(operator) = operator {
            match self.apply(operator) {
                Ok(summary) => tracing::info!("control: {summary}"),
                Err(problem) => {
                    self.process.server_overrides.replace(steering(&former));
                    return refused("set", &problem);
                }
            }
        }
        self.apply_steering(&former, &overlay);
        self.agent_link.set_log_level(&overlay);
        for line in former.diff(&overlay) {
            tracing::info!("control: {line}");
        }
        self.agent_link.memory.borrow_mut().overlay = overlay;
        Outcome::Applied
    }

    pub(super) fn apply_steering(&self, former: &Overlay, overlay: &Overlay) {
        let (former, present) = (steering(former), steering(overlay));
        for service in self.process.services.borrow().iter() {
            pool::update_overrides(service, &former, &present);
        }
        self.process.server_overrides.replace(present);
    }
}

//! The decision module behind reduced service levels, as a sidecar has it: counts from what goes in and comes out,
//! looks at them in their time, and tells the module what to give up.
//!
//! What the model has no counterpart for is not known here: open requests against limits, the thread's processor time.

use crate::experiment::{Arm, Class, Effect, Experiment};
use crate::policy::{Policy, Start};
use foldhash::fast::FixedState;
use madderloom_balancer::{
    Action, Balancer, DiscoveryUpdate, Event, Micros, Outcome, RequestId, key_position,
};
use madderloom_degradation::{
    ClassTraits, EVALUATION_INTERVAL, ExternalSignals, LevelChange, LevelController, RequestEnd,
};
use std::collections::HashMap;
use std::rc::Rc;

/// Told of each change with the instance that it is of.
pub type Told = Rc<dyn Fn(u32, &LevelChange)>;

/// What levels need to know of an experiment's classes.
pub fn facts(classes: &[Class]) -> Vec<ClassTraits> {
    let facts = |class: &Class| ClassTraits {
        name: class.name.clone(),
        is_idempotent: class.effect != Effect::Unsafe,
    };
    classes.iter().map(facts).collect()
}

/// Makes the instances of an arm of this experiment, which must be the decision module, with the arm's levels where
/// it has any.
///
/// # Errors
/// Settings or levels that make no sense.
pub fn make(
    experiment: &Experiment,
    arm: &Arm,
    start: Start,
    told: Option<Told>,
) -> Result<Box<dyn Policy>, String> {
    let Some(section) = &arm.levels else {
        return crate::policy::own(start);
    };
    let checked = section
        .resolve(&facts(&experiment.classes))
        .map_err(|error| error.to_string())?;
    let names = experiment
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    let settings = crate::rivals::restricted(arm, start.settings)?;
    let aims = settings
        .classes
        .iter()
        .map(|class| (class.latency_objective, class.latency_objective_stretch))
        .collect();
    let keeper = LevelController::new(checked, names, key_position(start.seed), 0);
    let inner = Balancer::new(settings, start.seed).map_err(|e| e.to_string())?;
    let (open, list_failed) = (HashMap::default(), None);
    Ok(Box::new(Leveled {
        inner,
        keeper,
        aims,
        open,
        list_failed,
        look: 0,
        instance: start.instance,
        told,
    }))
}

struct Open {
    class: usize,
    came: Micros,
    aim: Micros,
}

struct Leveled {
    inner: Balancer,
    keeper: LevelController,
    aims: Vec<(Micros, f64)>,
    open: HashMap<RequestId, Open, FixedState>,
    /// Since when the list is out of reach.
    list_failed: Option<Micros>,
    look: Micros,
    instance: u32,
    told: Option<Told>,
}

impl Leveled {
    fn look(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.look = now + EVALUATION_INTERVAL;
        let outside = ExternalSignals {
            failing_servers: self.inner.failing_server_share(now),
            list_age: Some(self.list_failed.map_or(0, |since| now - since)),
            ..ExternalSignals::default()
        };
        if let Some(change) = self.keeper.evaluate(now, &outside) {
            self.inner.handle(
                now,
                Event::DegradationChanged(self.keeper.reduced()),
                actions,
            );
            if let Some(told) = &self.told {
                told(self.instance, &change);
            }
        }
    }

    fn ended(
        &mut self,
        now: Micros,
        id: RequestId,
        how: impl Fn(Micros, Micros) -> Option<RequestEnd>,
    ) {
        let Some(Open { class, came, aim }) = self.open.remove(&id) else {
            return;
        };
        if let Some(end) = how(now - came, aim) {
            self.keeper.request_ended(now, class, end);
        }
    }
}

impl Policy for Leveled {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if now >= self.look {
            self.look(now, actions);
        }
        let (done, given_up) = (actions.len(), self.inner.shed_requests());
        match &event {
            Event::RequestReceived(new) => {
                let class = new.class as usize;
                let (aim, stretch) = self.aims.get(class).copied().unwrap_or((Micros::MAX, 0.0));
                let aim =
                    aim.saturating_add((stretch * new.cost_hint.unwrap_or(0) as f64) as Micros);
                self.open.insert(
                    new.id,
                    Open {
                        class,
                        came: now,
                        aim,
                    },
                );
            }
            Event::AttemptEnded(closed) => {
                self.keeper.attempt_ended(now, closed);
                if closed.outcome == Outcome::Ok {
                    self.ended(now, closed.request, |elapsed, aim| {
                        Some(RequestEnd::served(elapsed, aim))
                    });
                }
            }
            Event::ClientDisconnected(id) => self.ended(now, *id, RequestEnd::abandoned),
            Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed { .. }) => {
                self.list_failed = self.list_failed.or(Some(now))
            }
            Event::DiscoveryUpdated(DiscoveryUpdate::CallUnanswered { .. }) => {}
            Event::DiscoveryUpdated(_) => self.list_failed = None,
            _ => {}
        }
        self.inner.handle(now, event, actions);
        let level = self.inner.shed_requests() > given_up;
        for action in actions.get(done..).unwrap_or_default() {
            let (id, refused) = match action {
                Action::Reject { request, .. } => (*request, true),
                Action::Fail { request } => (*request, false),
                _ => continue,
            };
            // The level's own doing is none of its signals.
            self.ended(now, id, |elapsed, aim| {
                (!level).then(|| RequestEnd::unserved(elapsed, aim, refused))
            });
        }
    }
}

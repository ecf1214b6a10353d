//! The instance's side of the control protocol: it registers with the agent that the operator file names, and takes
//! changes, each whole or not at all. Without such an agent nothing of this is made.
//!
//! It goes on beside what serves, on the same thread, and what serves never waits for it. What it costs: two
//! connections; a message of less than 1 KB out for each report and one for each order; the text of the operator file
//! and of two overlays in memory; and, for a change of limits or routes, the check of the whole file on a thread of
//! its own. Of what the agent says, 8 MiB at most are read at once, and of what it does not answer three requests at
//! most wait.

use super::common::Common;
use super::kept::keep_going;
use super::pool::{self, Steering};
use super::process::Sidecar;
use super::reload::aside;
use super::service::Service;
use madderloom_agent::{Client, Link, Settings, Taking};
use madderloom_fleet::change::Traits;
use madderloom_fleet::gate::Counts;
use madderloom_fleet::protocol::{Outcome, Who};
use madderloom_fleet::settings::{Key, LogLevel, MOST_SETTINGS, Overlay, Value};
use madderloom_fleet::{Instance, Memory, Problem};
use madderloom_keys::{Files, Keyring, Role};
use madderloom_operator::{Operator, Source};
use madderloom_quota::{Asks, Lent};
use madderloom_roster::{Lists, Offer, Tells};
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::{Mutex, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How often the files of the keys are looked at.
const LOOK: Duration = Duration::from_secs(5);
/// The window of the requests that are reported, and the shortest gap between two looks at the counters.
const WINDOW: Duration = Duration::from_secs(10);
const GAP: Duration = Duration::from_millis(500);
/// The file of what outlives the process, in the directory that the operator file names.
const KEPT: &str = "instance.json";

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

fn write(directory: &Path, memory: &Memory) -> std::io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let next = directory.join("instance.next");
    std::fs::write(&next, serde_json::to_vec(memory)?)?;
    std::fs::rename(next, directory.join(KEPT))
}

/// What the last start kept; nothing where it kept nothing that can be read.
fn kept(directory: Option<&Path>) -> Memory {
    let Some(file) = directory.map(|directory| directory.join(KEPT)) else { return Memory::default() };
    let read = match std::fs::read(&file) {
        Ok(text) => serde_json::from_slice(&text).map_err(|e| e.to_string()),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Memory::default(),
        Err(e) => Err(e.to_string()),
    };
    read.unwrap_or_else(|problem| {
        tracing::warn!("control: {}: passed over: {problem}", file.display());
        Memory::default()
    })
}

/// Whether a part of an overlay is a part of the file.
fn sets_file(overlay: &Overlay) -> bool {
    overlay.0.keys().any(is_of_file)
}

fn is_of_file(key: &Key) -> bool {
    matches!(key, Key::Limit { .. } | Key::Route(_))
}

fn same_in_file(one: &Overlay, other: &Overlay) -> bool {
    fn of_file(overlay: &Overlay) -> impl Iterator<Item = (&Key, &Value)> {
        overlay.0.iter().filter(|(key, _)| is_of_file(key))
    }
    of_file(one).eq(of_file(other))
}

fn steering(overlay: &Overlay) -> Steering {
    let mut steering = Steering::default();
    for (key, value) in &overlay.0 {
        match (key, value) {
            (Key::Weight(server), Value::Weight(thousandths)) => steering.weigh(server, *thousandths),
            (Key::Drain(server), Value::Drained(drained)) => steering.drain(server, *drained),
            _ => {}
        }
    }
    steering
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

    /// Has all of an overlay in effect, or nothing of it.
    async fn meet(self: Rc<Self>, overlay: Overlay) -> Outcome {
        let _turn = self.agent_link.turn.lock().await;
        let refused = |field: &str, problem: &str| {
            Outcome::Refused(Problem { field: field.to_string(), problem: problem.to_string() })
        };
        if overlay.0.len() > MOST_SETTINGS {
            return refused("set", &format!("holds more than {MOST_SETTINGS} settings"));
        }
        let fault = overlay.0.iter().find_map(|(key, value)| Some((key, value.check(key).err()?)));
        if let Some((key, problem)) = fault {
            return refused(&format!("set.{key}"), &problem);
        }
        let former = self.agent_link.memory.borrow().overlay.clone();
        let source = self.agent_link.file.borrow().as_ref().map(|file| Arc::clone(&file.source));
        let Some(source) = source else { return refused("set", "the instance follows no agent any more") };
        let edited = overlay.clone();
        let operator = if same_in_file(&former, &overlay) {
            None
        } else {
            // A long file takes a good part of a second, in which requests go on.
            match aside(move || source.with(&edited)).await {
                Ok(Ok(operator)) => Some(operator),
                Ok(Err(problem)) => return Outcome::Refused(problem),
                Err(problem) => return refused("set", &problem),
            }
        };
        if self.common.is_stopping() {
            return refused("set", "the instance is stopping");
        }
        // From here on nothing waits, so that nothing sees a half of it.
        self.common.steering.replace(steering(&overlay));
        if let Some(operator) = operator {
            match self.apply(operator) {
                Ok(told) => tracing::info!("control: {told}"),
                Err(problem) => {
                    self.common.steering.replace(steering(&former));
                    return refused("set", &problem);
                }
            }
        }
        self.steer(&former, &overlay);
        self.agent_link.set_log_level(&overlay);
        for line in former.diff(&overlay) {
            tracing::info!("control: {line}");
        }
        self.agent_link.memory.borrow_mut().overlay = overlay;
        Outcome::Applied
    }

    fn steer(&self, former: &Overlay, overlay: &Overlay) {
        let (former, present) = (steering(former), steering(overlay));
        for service in self.common.services.borrow().iter() {
            pool::steer(service, &former, &present);
        }
        self.common.steering.replace(present);
    }
}

/// The keys, and a client for reports and one for the watch.
fn clients(agent: &str, files: &Files) -> Result<(Arc<Keyring>, Client, Client), String> {
    let keyring = Keyring::load(files.clone())?;
    let client = || Client::with(agent, &keyring);
    let (reports, watch) = (client()?, client()?);
    Ok((keyring, reports, watch))
}

/// Keeps the link to one agent.
async fn keep_link(
    sidecar: Weak<Sidecar>,
    control: madderloom_operator::Control,
    traits: watch::Receiver<Traits>,
) {
    let files = Files {
        authority: control.authority.clone(),
        certificate: control.certificate.clone(),
        key: control.key.clone(),
        revoked: None,
    };
    let mut last = None;
    let (keyring, reports, watch) = loop {
        match clients(&control.agent, &files) {
            Ok(made) => break made,
            Err(problem) if last.as_ref() == Some(&problem) => {}
            Err(problem) => {
                tracing::warn!("control: no agent is asked until its keys can be read and used: {problem}");
                last = Some(problem);
            }
        }
        tokio::time::sleep(LOOK).await;
    };
    if keyring.own().is_none_or(|own| own.role != Role::Instance) {
        tracing::warn!(
            "control: {}: is not for an instance; the agent will turn it away",
            files.certificate.display()
        );
    }
    let Some(own) = sidecar.upgrade() else { return };
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let who = Who {
        name: control.name.clone(),
        start: RandomState::new().hash_one(&control.name),
        incarnation: u64::try_from(unix.as_micros()).unwrap_or(u64::MAX / 2),
    };
    let memory = own.agent_link.memory.borrow().clone();
    let machine = Instance::new(0, who, traits.borrow().clone(), memory.clone());
    // Kept before it is used, so that no two starts go by one incarnation.
    own.agent_link.keep(&Memory { incarnation: machine.who().incarnation, ..memory });
    tracing::info!("control: {} registers with the agent at {}", control.name, control.agent);
    let seed = u128::from(RandomState::new().hash_one(0));
    let news = own.common.shared_lists.news();
    drop(own);
    let settings = Own { sidecar, window: Window::default() };
    let link = Link::new(machine, settings, reports, watch, seed).following(traits).told_by(news);
    tokio::select! {
        () = link.run() => {}
        () = follow_files(&keyring, &files) => {}
    }
}

/// Takes up renewed keys. They are read only where a file is another than it was.
async fn follow_files(keyring: &Keyring, files: &Files) {
    let stamp = || {
        let all = [&files.authority, &files.certificate, &files.key];
        all.map(|file| std::fs::metadata(file).and_then(|about| about.modified()).ok())
    };
    let mut former = stamp();
    loop {
        tokio::time::sleep(LOOK).await;
        let present = stamp();
        if present == former {
            continue;
        }
        match keyring.reload() {
            Ok(true) => tracing::info!("control: the keys were read again"),
            Ok(false) => {}
            Err(problem) => tracing::warn!("control: the keys stay as they were: {problem}"),
        }
        former = present;
    }
}

/// What the link asks of its sidecar.
struct Own {
    sidecar: Weak<Sidecar>,
    window: Window,
}

impl Settings for Own {
    fn take(&mut self, overlay: &Overlay) -> Taking {
        let (sidecar, overlay) = (self.sidecar.upgrade(), overlay.clone());
        Box::pin(async move {
            match sidecar {
                Some(sidecar) => sidecar.meet(overlay).await,
                None => std::future::pending().await,
            }
        })
    }

    fn counts(&mut self) -> Counts {
        let Some(sidecar) = self.sidecar.upgrade() else { return Counts::default() };
        self.window.look(Instant::now(), &sidecar.common)
    }

    fn asks(&mut self, term: u64) -> Option<Asks> {
        self.sidecar.upgrade()?.common.fleet_limits.ask(term)
    }

    fn lent(&mut self, lent: &Lent) -> bool {
        self.sidecar.upgrade().is_some_and(|sidecar| sidecar.common.fleet_limits.take(lent))
    }

    fn tells(&mut self) -> Option<Tells> {
        self.sidecar.upgrade()?.common.shared_lists.tell()
    }

    fn lists(&mut self, lists: &Lists) -> bool {
        let Some(sidecar) = self.sidecar.upgrade() else { return false };
        let common = &sidecar.common;
        let service = |pool: &str| {
            let services = common.services.borrow();
            services.iter().find(|service| service.name == pool).cloned()
        };
        let apply = |pool: &str, offer: &Offer, age| {
            let service = service(pool).ok_or("no such pool is there any more")?;
            pool::passed_on(&service, offer.version.index, &offer.text, age)
        };
        let call = |pool: &str| service(pool).iter().for_each(pool::call_for_all);
        let rest = |pool: &str| service(pool).iter().for_each(pool::rest);
        common.shared_lists.hear(lists, apply, call, rest)
    }

    fn keep(&mut self, memory: &Memory) {
        if let Some(sidecar) = self.sidecar.upgrade() {
            sidecar.agent_link.keep(memory);
        }
    }
}

/// The requests that ended of late, over all services.
#[derive(Default)]
struct Window {
    all: Counts,
    /// What each service had counted at the last look.
    services: Vec<(Weak<Service>, Counts)>,
    looks: VecDeque<(Instant, Counts)>,
}

impl Window {
    fn look(&mut self, now: Instant, common: &Common) -> Counts {
        self.services.retain(|(service, _)| service.strong_count() > 0);
        for service in common.services.borrow().iter() {
            let counts = service.counts.sum();
            let away = counts.refused.get() + counts.failed.get() + counts.turned_away.get();
            let present = Counts { ended: counts.served.get() + away, bad: counts.late.get() + away };
            let known = self.services.iter_mut().find(|(known, _)| known.as_ptr() == Rc::as_ptr(service));
            let former = match known {
                Some((_, former)) => std::mem::replace(former, present),
                None => {
                    self.services.push((Rc::downgrade(service), present));
                    Counts::default()
                }
            };
            self.all.ended += present.ended - former.ended;
            self.all.bad += present.bad - former.bad;
        }
        self.since(now)
    }

    fn since(&mut self, now: Instant) -> Counts {
        // The last look before the window stands for its beginning.
        while self.looks.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= WINDOW) {
            self.looks.pop_front();
        }
        let first = self.looks.front().map_or(Counts::default(), |(_, counts)| *counts);
        if self.looks.back().is_none_or(|(at, _)| now.duration_since(*at) >= GAP) {
            self.looks.push_back((now, self.all));
        }
        Counts { ended: self.all.ended - first.ended, bad: self.all.bad - first.bad }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_window_holds_what_ended_within_it_and_few_looks() {
        let begin = Instant::now();
        let mut window = Window::default();
        for tenth in 0..600 {
            window.all.ended += 1;
            window.all.bad += u64::from(tenth < 300);
            let counts = window.since(begin + Duration::from_millis(100 * tenth));
            assert!(counts.ended <= 106 && (tenth < 106 || counts.ended >= 100), "{tenth}: {counts:?}");
            assert!(window.looks.len() <= 22, "{}", window.looks.len());
            if tenth >= 410 {
                assert_eq!(counts.bad, 0);
            }
        }
    }
}

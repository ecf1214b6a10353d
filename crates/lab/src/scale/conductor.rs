//! Takes a fleet through steps, and counts at both sides.

use super::agent::{AgentProcess, AgentSettings};
use super::hollow::MARKER;
use super::limits;
use super::places::{Group, ZONES};
use super::protocol::{Command, Manner, Totals};
use super::record::{StepRecord, Times, Work};
use super::relays::Relays;
use super::steps::Step;
use super::usage::{Allowed, now};
use super::workers::Workers;
use madderloom_agent::view::TargetState;
use madderloom_control_plane::change::{Change, Policy, Then, What};
use madderloom_control_plane::settings::{Edits, Key, Value};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// How long lies between two looks at the workers.
const LOOK: Duration = Duration::from_millis(100);
/// What is waited for takes so long at most, beside the time that registrations take at their pace.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long the agent is away when it is restarted.
const AWAY: Duration = Duration::from_secs(3);
/// A lost zone or rack is without power for so many leases: the agent finds out within that time.
const WITHOUT_POWER: f64 = 1.2;
/// An instance that does not answer a change for so many leases counts as unreachable.
const SILENCE: f64 = 1.5;

/// What a rig is made of, and how long its steps last.
#[derive(Clone, Debug)]
pub struct RigSettings {
    /// Hollow instances.
    pub instances: usize,
    /// What they are like.
    pub manner: Manner,
    /// How often they report, in milliseconds.
    pub report_ms: u64,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Registrations a second.
    pub registrations: u32,
    /// The `madderloom` that is the agent; none for the one that is built into the lab.
    pub binary: Option<PathBuf>,
    /// How long a calm stretch lasts.
    pub calm: Duration,
    /// How long a region is cut.
    pub cut: Duration,
    /// Restarts of instances within the step of that name, one a second.
    pub restarts: usize,
    /// Whether a relay of each zone stands between its instances and the agent.
    pub has_relays: bool,
}

impl RigSettings {
    /// How long an instance may take to answer a change.
    pub fn silence(&self) -> Duration {
        self.lease.mul_f64(SILENCE)
    }

    /// The agent's settings.
    pub fn agent(&self) -> AgentSettings {
        AgentSettings {
            report_ms: self.report_ms,
            lease_ms: u64::try_from(self.lease.as_millis()).unwrap_or(u64::MAX),
            registrations: self.registrations,
            instances: self.instances,
            limits: self.manner.limits,
        }
    }
}

/// An agent and its hollow instances.
pub struct Rig {
    settings: RigSettings,
    agent: AgentProcess,
    relays: Relays,
    workers: Workers,
    /// What agents before the present one came to.
    former: Totals,
    /// The number of the newest change.
    marker: u32,
    /// The version of all lists.
    discovery: u64,
    /// Removed with the rig.
    _directory: TempDir,
}

/// Where a step began.
struct Begin {
    agent: Totals,
    instances: Totals,
    relays: Totals,
    at: Instant,
}

/// What a step came to beside what both sides did.
#[derive(Default)]
struct Outcome {
    about: usize,
    times: BTreeMap<String, Times>,
    counts: BTreeMap<String, u64>,
}

impl Outcome {
    fn about(count: usize) -> Self {
        Outcome {
            about: count,
            ..Outcome::default()
        }
    }

    fn time(mut self, name: &str, times: Times) -> Self {
        self.times.insert(name.to_string(), times);
        self
    }

    fn count(mut self, name: &str, count: u64) -> Self {
        self.counts.insert(name.to_string(), count);
        self
    }
}

impl Rig {
    /// Starts the agent, and workers whose instances are not started yet.
    ///
    /// # Errors
    /// The machine does not bear it, or something does not start.
    pub async fn new(settings: RigSettings) -> Result<Self, String> {
        let relays = if settings.has_relays { ZONES } else { 0 };
        limits::check(settings.instances, relays, Allowed::here()).map_err(|e| e.to_string())?;
        let directory = tempfile::tempdir().map_err(|e| format!("a directory for keys: {e}"))?;
        let agent =
            AgentProcess::start(directory.path(), settings.binary.clone(), settings.agent())
                .await?;
        let relays = if settings.has_relays {
            let lease_ms = settings.agent().lease_ms;
            Relays::start(
                directory.path(),
                settings.binary.clone(),
                agent.address(),
                lease_ms,
            )
            .await?
        } else {
            Relays::default()
        };
        let agents = if relays.is_empty() {
            vec![agent.address().into()]
        } else {
            relays.addresses()
        };
        let workers = Workers::start(
            settings.instances,
            &agents,
            directory.path(),
            &settings.manner,
        )?;
        let former = Totals::default();
        Ok(Rig {
            settings,
            agent,
            relays,
            workers,
            former,
            marker: 0,
            discovery: 1,
            _directory: directory,
        })
    }

    /// Takes one step. What can't be done is told in the record.
    ///
    /// # Errors
    /// A worker has ended, or the agent answers no more.
    pub async fn step(&mut self, step: Step) -> Result<StepRecord, String> {
        let begin = self.begin().await?;
        let outcome = match step {
            Step::Start => self.start().await,
            Step::Calm => {
                tokio::time::sleep(self.settings.calm).await;
                Ok(Outcome::about(self.settings.instances))
            }
            Step::PushAll => self.push_to(Group::All).await,
            Step::PushService => self.push_to(Group::Service).await,
            Step::PushZone => self.push_to(Group::Zone).await,
            Step::RestartWithState => self.restart_agent(false).await,
            Step::RestartWithoutState => self.restart_agent(true).await,
            Step::ZoneLost => self.lose(Group::Zone).await,
            Step::RackLost => self.lose(Group::Rack).await,
            Step::RegionCut => self.cut().await,
            Step::Restarts => self.restart_some().await,
            Step::ListChange => self.change_lists().await,
        };
        let (outcome, problem) = match outcome {
            Ok(outcome) => (outcome, None),
            Err(problem) => (Outcome::default(), Some(problem)),
        };
        let (agent, instances) = (self.agent_totals().await?, self.workers.totals()?);
        let relays = self.relay_totals();
        let memory = agent.usage.memory + instances.usage.memory + relays.usage.memory;
        limits::check_memory(self.settings.instances, memory, Allowed::here())
            .map_err(|e| e.to_string())?;
        Ok(StepRecord {
            step,
            about: outcome.about,
            seconds: (begin.at.elapsed().as_secs_f64() * 1e3).round() / 1e3,
            agent: Work::between(&begin.agent, &agent),
            instances: Work::between(&begin.instances, &instances),
            relays: Work::between(&begin.relays, &relays),
            times: outcome.times,
            counts: outcome.counts,
            problem,
        })
    }

    async fn begin(&mut self) -> Result<Begin, String> {
        let agent = self.agent_totals().await?;
        let (instances, relays) = (self.workers.totals()?, self.relay_totals());
        Ok(Begin {
            agent,
            instances,
            relays,
            at: Instant::now(),
        })
    }

    /// What the relays used. What passes over them is not counted.
    fn relay_totals(&self) -> Totals {
        Totals {
            usage: self.relays.usage(),
            ..Totals::default()
        }
    }

    /// What all agents of this rig came to; what is held is the present one's.
    async fn agent_totals(&self) -> Result<Totals, String> {
        let present = self.agent.totals().await?;
        let (mut all, held) = (self.former, present);
        all += present;
        all.traffic.connections = held.traffic.connections;
        all.usage.memory = held.usage.memory;
        all.usage.descriptors = held.usage.descriptors;
        Ok(all)
    }

    /// The longest that so many may take to register.
    fn patience(&self, instances: usize) -> Duration {
        PATIENCE
            + Duration::from_secs_f64(
                2.0 * instances as f64 / f64::from(self.settings.registrations),
            )
    }

    /// Waits until the workers count so many, or until it has taken too long.
    async fn until(
        &mut self,
        command: Command,
        wanted: usize,
        patience: Duration,
    ) -> Result<(), String> {
        let begin = Instant::now();
        while self.workers.count(&command)? < wanted && begin.elapsed() < patience {
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Waits until the leases of these are renewed, and tells how long after `begin` each was.
    async fn renewed(&mut self, group: Group, begin: u64) -> Result<Times, String> {
        let wanted = group.count(self.settings.instances);
        self.until(Command::CountRenewed(group), wanted, self.patience(wanted))
            .await?;
        Ok(Times::since(
            begin,
            self.workers.times(&Command::Renewed(group))?,
            wanted,
        ))
    }

    /// Waits until the agent has all instances, and tells how long after `begin` that was.
    async fn all_alive(&self, begin: u64) -> Result<Times, String> {
        let (wanted, since) = (self.settings.instances, Instant::now());
        let patience = self.patience(wanted);
        let mut alive = 0;
        while alive < wanted && since.elapsed() < patience {
            let status = self.agent.status().await?;
            alive = status.instances.get("alive").copied().unwrap_or(0);
            tokio::time::sleep(LOOK).await;
        }
        Ok(Times::since(begin, vec![now(); alive], wanted))
    }

    async fn start(&mut self) -> Result<Outcome, String> {
        self.workers.tell(&Command::Mark)?;
        let begin = now();
        self.workers.start_group(Group::All)?;
        let healed = self.renewed(Group::All, begin).await?;
        Ok(Outcome::about(self.settings.instances).time("registered", healed))
    }

    /// Pushes a change, and gives its id and when it was pushed.
    async fn push(&mut self, group: Group) -> Result<(String, u64), String> {
        self.marker += 1;
        let base = self.agent.status().await?.revision;
        let change = change(self.marker, base, group, self.settings.silence())?;
        let begin = now();
        let accepted = self.agent.push(&change).await?;
        Ok((accepted.id, begin))
    }

    async fn push_to(&mut self, group: Group) -> Result<Outcome, String> {
        let wanted = group.count(self.settings.instances);
        let (id, begin) = self.push(group).await?;
        let marker = self.marker;
        self.until(Command::CountInForce(group, marker), wanted, PATIENCE)
            .await?;
        let in_force = Times::since(
            begin,
            self.workers.times(&Command::InForce(group, marker))?,
            wanted,
        );
        let rollout = self.agent.ended(&id, PATIENCE).await?;
        let ended = Times::since(begin, vec![now()], 1);
        let outcome = Outcome::about(wanted)
            .time("in_force", in_force)
            .time("rollout_ended", ended);
        Ok(count_results(outcome, &rollout.target_counts))
    }

    async fn restart_agent(&mut self, state_lost: bool) -> Result<Outcome, String> {
        let term = self.agent.status().await?.term;
        let before = self.agent.totals().await?;
        self.agent.kill();
        self.former += before;
        self.workers.tell(&Command::Mark)?;
        tokio::time::sleep(AWAY).await;
        self.agent.start_again(state_lost.then_some(term)).await?;
        let begin = now();
        let healed = if self.relays.is_empty() {
            self.renewed(Group::All, begin).await?
        } else {
            // A relay answers reports without the agent: only the agent knows when it has all of them.
            self.all_alive(begin).await?
        };
        Ok(Outcome::about(self.settings.instances).time("healed", healed))
    }

    /// These lose their power, so that the agent hears nothing of it, and start again.
    async fn lose(&mut self, group: Group) -> Result<Outcome, String> {
        let wanted = group.count(self.settings.instances);
        self.workers.tell(&Command::Hold(group))?;
        self.workers.tell(&Command::Stop(group))?;
        tokio::time::sleep(self.settings.lease.mul_f64(WITHOUT_POWER)).await;
        let presences = self.agent.status().await?.instances;
        let alive = presences.get("alive").copied().unwrap_or(0);
        self.workers.tell(&Command::Mark)?;
        let begin = now();
        self.workers.start_group(group)?;
        let healed = self.renewed(group, begin).await?;
        let noticed = self.settings.instances.saturating_sub(alive);
        Ok(Outcome::about(wanted)
            .time("healed", healed)
            .count("noticed", noticed as u64))
    }

    /// The links of a region are cut, a change for all is pushed, and the links are back.
    async fn cut(&mut self) -> Result<Outcome, String> {
        let wanted = Group::Region.count(self.settings.instances);
        let elsewhere = self.settings.instances - wanted;
        self.cut_region()?;
        let cut = Instant::now();
        let (id, begin) = self.push(Group::All).await?;
        let marker = self.marker;
        self.until(
            Command::CountInForce(Group::All, marker),
            elsewhere,
            self.settings.cut,
        )
        .await?;
        let all = self.workers.times(&Command::InForce(Group::All, marker))?;
        let others = Times::since(begin, all, elsewhere);
        let rollout = self.agent.ended(&id, PATIENCE).await?;
        let ended = Times::since(begin, vec![now()], 1);
        tokio::time::sleep(self.settings.cut.saturating_sub(cut.elapsed())).await;
        self.workers.tell(&Command::Mark)?;
        let back = now();
        self.heal_region()?;
        let back_again = if self.relays.is_empty() {
            self.renewed(Group::Region, back).await?
        } else {
            self.all_alive(back).await?
        };
        self.until(
            Command::CountInForce(Group::Region, marker),
            wanted,
            PATIENCE,
        )
        .await?;
        let times = self
            .workers
            .times(&Command::InForce(Group::Region, marker))?;
        let outcome = Outcome::about(wanted)
            .time("in_force_elsewhere", others)
            .time("rollout_ended", ended)
            .time("back", back_again)
            .time("in_force_after_heal", Times::since(back, times, wanted));
        Ok(count_results(outcome, &rollout.target_counts))
    }

    /// The region's instances are cut off, or its relays are.
    fn cut_region(&mut self) -> Result<(), String> {
        if self.relays.is_empty() {
            return self.workers.tell(&Command::Hold(Group::Region));
        }
        self.relays.cut_region();
        Ok(())
    }

    fn heal_region(&mut self) -> Result<(), String> {
        if self.relays.is_empty() {
            return self.workers.tell(&Command::Release(Group::Region));
        }
        self.relays.heal();
        Ok(())
    }

    async fn restart_some(&mut self) -> Result<Outcome, String> {
        let count = self.settings.restarts.min(self.settings.instances);
        let mut took = Vec::new();
        for number in 0..count {
            let next = Instant::now() + Duration::from_secs(1);
            let one = Group::One(number);
            self.workers.tell(&Command::Stop(one))?;
            self.workers.tell(&Command::Mark)?;
            let begin = now();
            self.workers.start_group(one)?;
            let times = self.renewed(one, begin).await?;
            took.push((times.last_ms * 1e6) as u64);
            tokio::time::sleep(next.saturating_duration_since(Instant::now())).await;
        }
        Ok(Outcome::about(count).time("registered", Times::since(0, took, count)))
    }

    /// All lists change at once, and the step lasts as long as a calm one.
    async fn change_lists(&mut self) -> Result<Outcome, String> {
        self.discovery += 1;
        self.workers.tell(&Command::Discovery(self.discovery))?;
        tokio::time::sleep(self.settings.calm).await;
        let lists = self.agent.status().await?.shared_lists;
        let behind: usize = lists.values().map(|list| list.behind_count).sum();
        let known = lists.len() as u64;
        let outcome = Outcome::about(self.settings.instances).count("lists_known_to_agent", known);
        Ok(outcome.count("instances_behind", behind as u64))
    }
}

fn count_results(outcome: Outcome, counts: &BTreeMap<TargetState, usize>) -> Outcome {
    counts.iter().fold(outcome, |outcome, (state, count)| {
        outcome.count(&state.to_string(), *count as u64)
    })
}

/// Sets the marker of all instances of a group to this number, at once. One that does not answer for `silence` counts as
/// unreachable.
///
/// # Errors
/// Nothing tells these instances apart from others.
pub fn change(marker: u32, base: u64, group: Group, silence: Duration) -> Result<Change, String> {
    let select = group
        .selector()
        .ok_or_else(|| format!("no label selects {group:?}"))?;
    let rollout = Policy {
        waves: vec![],
        at_once: u32::MAX,
        pause: 0,
        silence: u64::try_from(silence.as_micros()).unwrap_or(u64::MAX),
        failures: u32::MAX,
        then: Then::Stop,
        gate: None,
    };
    Ok(Change {
        id: format!("marker-{marker}"),
        base,
        note: String::new(),
        select,
        rollout,
        what: What::Set(Edits::from([(
            Key::Weight(MARKER.into()),
            Some(Value::Weight(marker)),
        )])),
    })
}

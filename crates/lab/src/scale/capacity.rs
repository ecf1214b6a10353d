//! What a fleet of some size needs, reckoned from what was measured at smaller ones, beside what it may need.

use super::figures::Figure;
use super::line::{Foretold, Line};
use super::measured::{BASE, Measured};
use super::size::SizeFile;
use madderloom_control_plane::spread::Pace;
use serde::Serialize;

/// Seconds of a day.
pub(super) const DAY: f64 = 86_400.0;
/// Of the one core that an agent can use, so much is planned with: the rest is for the minutes after a fault.
const PLANNED_PERCENT: f64 = 50.0;
/// Connections of one sidecar to its agent: one for reports, one for the watch.
pub(super) const CONNECTIONS: f64 = 2.0;

/// What carries an agent's work.
const DRIVER: &str = "`agent/src/fleet_task/task.rs` `FleetTask`, one thread";

/// Whether something fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Also the interval's upper end is within the budget.
    Fits,
    /// The value is within the budget, and the interval's upper end is not.
    Uncertain,
    /// The value is above the budget.
    DoesNotFit,
    /// There is no budget for it.
    NoBudget,
    /// Nothing was measured that it could be reckoned from.
    NotMeasured,
}

/// One line of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Whose cost it is.
    pub role: &'static str,
    /// What it is.
    pub what: String,
    /// Its value at the size, with the interval of a further run; none where it was not measured.
    pub value: Option<Foretold>,
    /// What it may be.
    pub budget: Option<f64>,
    /// The unit of both.
    pub unit: &'static str,
    /// Where the value comes from.
    pub from: String,
    /// What in the code carries it.
    pub carried_by: &'static str,
}

impl Row {
    /// Whether it fits.
    pub fn verdict(&self) -> Verdict {
        match (self.value, self.budget) {
            (None, _) => Verdict::NotMeasured,
            (_, None) => Verdict::NoBudget,
            (Some(value), Some(budget)) if value.value > budget => Verdict::DoesNotFit,
            (Some(value), Some(budget)) if value.high > budget => Verdict::Uncertain,
            _ => Verdict::Fits,
        }
    }

    /// How much of the budget is used, as a part of it.
    pub fn used(&self) -> Option<f64> {
        Some(self.value?.value / self.budget.filter(|budget| *budget > 0.0)?)
    }
}

/// Reckons rows for one size.
pub(super) struct Reckoner<'a> {
    pub(super) file: &'a SizeFile,
    pub(super) measured: &'a Measured,
    pub(super) sidecars: f64,
}

/// What one line of the table asks for.
pub(super) struct Wanted {
    /// The series of runs that it is reckoned from.
    pub(super) series: &'static str,
    pub(super) role: &'static str,
    pub(super) what: &'static str,
    pub(super) figure: Figure,
    /// What the figure is multiplied by.
    pub(super) factor: f64,
    pub(super) budget: Option<f64>,
    pub(super) unit: &'static str,
    pub(super) carried_by: &'static str,
}

/// The table of a size.
pub fn rows(file: &SizeFile, measured: &Measured) -> Vec<Row> {
    let reckoner = Reckoner {
        file,
        measured,
        sidecars: f64::from(file.size.sidecars),
    };
    let mut rows = reckoner.sidecar();
    rows.extend(reckoner.agent());
    rows.extend(reckoner.faults());
    rows.extend(reckoner.arithmetic());
    rows.extend(reckoner.behind_relays());
    rows.extend(reckoner.others());
    rows.extend(reckoner.bounds());
    rows
}

impl Reckoner<'_> {
    pub(super) fn row(&self, wanted: Wanted) -> Row {
        let Wanted {
            series,
            role,
            what,
            figure,
            factor,
            budget,
            unit,
            carried_by,
        } = wanted;
        let line = self.measured.line(series, figure);
        let value = line.map(|line| scaled(line.at(self.sidecars), factor));
        let from = line.map_or_else(
            || "not measured".into(),
            |line| self.words(series, figure, &line),
        );
        Row {
            role,
            what: what.into(),
            value,
            budget,
            unit,
            from,
            carried_by,
        }
    }

    /// The line in words, and how it was measured.
    fn words(&self, series: &str, figure: Figure, line: &Line) -> String {
        let sizes = self.measured.sizes(series);
        let greatest = sizes.keys().max().copied().unwrap_or(0);
        let beyond = if self.sidecars > greatest as f64 {
            format!("; beyond the greatest measured, {greatest}")
        } else {
            String::new()
        };
        let bends = if line.bends() { "; bends" } else { "" };
        format!(
            "{}: {} + {} ± {} a thousand; R² {:.3}; {} runs at {} sizes{bends}{beyond}",
            figure.name(),
            number(line.fixed),
            number(1e3 * line.slope),
            number(1e3 * line.slope_half),
            line.r_squared,
            line.points,
            line.places
        )
    }

    fn sidecar(&self) -> Vec<Row> {
        let (budget, each) = (&self.file.budget, 1.0 / self.sidecars);
        let role = "sidecar";
        let mut rows = vec![
            self.row(Wanted {
                series: BASE,
                role,
                what: "control, ordinary day: both directions",
                figure: Figure::Bytes,
                factor: 1e3 * each,
                budget: Some(budget.sidecar_bytes_per_second),
                unit: "B/s",
                carried_by: "`agent/src/link/mod.rs` `Link`, `control-plane/src/protocol.rs` `Report`",
            }),
            self.row(Wanted {
                series: BASE,
                role,
                what: "control, ordinary day: messages, both directions",
                figure: Figure::Messages,
                factor: each,
                budget: None,
                unit: "/s",
                carried_by: "`control-plane/src/instance.rs` `Instance`",
            }),
            self.row(Wanted {
                series: BASE,
                role,
                what: "control alone (hollow), ordinary day: processor time",
                figure: Figure::InstancesProcessor,
                factor: each,
                budget: Some(budget.sidecar_core_percent),
                unit: "% of a core",
                carried_by: "`agent/src/link/mod.rs` `Link`",
            }),
        ];
        rows.extend(self.real_sidecar());
        rows.push(reckoned(
            role,
            "connections to the agent".into(),
            (CONNECTIONS, None),
            "",
            "code: one for reports, one for the watch",
            "`sidecar/src/agent_link.rs` `keep_link`",
        ));
        rows
    }

    /// Of real sidecars without requests, from the comparison with hollow ones.
    fn real_sidecar(&self) -> Vec<Row> {
        let (budget, real) = (&self.file.budget, self.measured.real.as_ref());
        let each = |value: f64, of: usize| value / of.max(1) as f64;
        let processor = real.map(|all| {
            each(
                100.0 * all.real.own.cpu_seconds / all.calm_seconds,
                all.instances,
            )
        });
        let memory = real.map(|all| each(all.real.own.memory as f64 / 1e6, all.instances));
        let from = real.map_or("not measured".into(), |all| {
            format!(
                "the mean of {} real sidecars without requests, one run",
                all.instances
            )
        });
        let row = |what: &str, value: Option<f64>, budget, unit| Row {
            role: "sidecar",
            what: what.into(),
            value: value.map(exactly),
            budget: Some(budget),
            unit,
            from: from.clone(),
            carried_by: "`sidecar/src/process.rs` `Sidecar`",
        };
        vec![
            row(
                "real, no requests: processor time",
                processor,
                budget.sidecar_core_percent,
                "% of a core",
            ),
            row(
                "real, no requests: resident memory",
                memory,
                budget.sidecar_memory_mb,
                "MB",
            ),
        ]
    }

    fn agent(&self) -> Vec<Row> {
        let (size, role) = (&self.file.size, "agent");
        let row = |what, figure, factor, budget, unit, carried_by| {
            self.row(Wanted {
                series: BASE,
                role,
                what,
                figure,
                factor,
                budget,
                unit,
                carried_by,
            })
        };
        let rollout = "`control-plane/src/rollout.rs` `Rollout`";
        let mut rows = self.ordinary_day(BASE, role).to_vec();
        rows.extend([row(
            "changes of a day, all to all: processor time beyond calm",
            Figure::PushAllProcessor,
            size.changes_per_day / DAY / 10.0,
            Some(100.0),
            "% of a core",
            DRIVER,
        )]);
        rows.extend(self.pushes(BASE, role, rollout));
        rows.extend(self.return_processor());
        rows.push(self.one_after_the_other());
        rows.push(self.machines());
        rows
    }

    /// What an agent needs on an ordinary day.
    pub(super) fn ordinary_day(&self, series: &'static str, role: &'static str) -> [Row; 4] {
        let row = |what, figure, budget, unit, carried_by| {
            self.row(Wanted {
                series,
                role,
                what,
                figure,
                factor: 1.0,
                budget,
                unit,
                carried_by,
            })
        };
        let (fleet, server) = (
            "`control-plane/src/fleet/mod.rs` `Fleet`",
            "`agent/src/server/mod.rs` `Agent`",
        );
        [
            row(
                "ordinary day: memory",
                Figure::AgentMemory,
                None,
                "MB",
                fleet,
            ),
            row(
                "ordinary day: processor time",
                Figure::AgentProcessor,
                Some(100.0),
                "% of a core",
                DRIVER,
            ),
            row(
                "ordinary day: both directions",
                Figure::Bytes,
                None,
                "KB/s",
                server,
            ),
            row("connections", Figure::Connections, None, "", server),
        ]
    }

    /// Until when a change for all, for one service and for one zone is in force.
    pub(super) fn pushes(
        &self,
        series: &'static str,
        role: &'static str,
        carried_by: &'static str,
    ) -> [Row; 3] {
        let pushes = [
            ("push to all: last in force", Figure::PushAllLast),
            (
                "push to one service: last in force",
                Figure::PushServiceLast,
            ),
            ("push to one zone: last in force", Figure::PushZoneLast),
        ];
        let budget = Some(self.file.budget.change_seconds());
        pushes.map(|(what, figure)| {
            self.row(Wanted {
                series,
                role,
                what,
                figure,
                factor: 1e-3,
                budget,
                unit: "s",
                carried_by,
            })
        })
    }

    /// What the agent's one core has to do while all come back, beside the time that they take at the usual pace.
    fn return_processor(&self) -> [Row; 2] {
        let at_the_pace = self.sidecars / f64::from(Pace::default().rate);
        let row = |what, figure| {
            self.row(Wanted {
                series: BASE,
                role: "agent",
                what,
                figure,
                factor: 1.0,
                budget: Some(at_the_pace),
                unit: "s",
                carried_by: DRIVER,
            })
        };
        [
            row(
                "start of all at once: processor time, beside the time at the usual pace",
                Figure::StartProcessor,
            ),
            row(
                "restarted: processor time until all are back, beside that time",
                Figure::RestartProcessor,
            ),
        ]
    }

    /// Changes are rolled out one at a time: whether one is through before the next comes.
    fn one_after_the_other(&self) -> Row {
        let gap = DAY / self.file.size.changes_per_day;
        self.row(Wanted {
            series: BASE,
            role: "agent",
            what: "one change at a time: last in force, beside the gap between changes",
            figure: Figure::PushAllLast,
            factor: 1e-3,
            budget: Some(gap),
            unit: "s",
            carried_by: "`control-plane/src/fleet/mod.rs` `Declined::Busy`",
        })
    }

    /// Machines that the work of an ordinary day needs.
    fn machines(&self) -> Row {
        let line = self.measured.line(BASE, Figure::AgentProcessor);
        let machines = |percent: f64| (percent / PLANNED_PERCENT).ceil().max(1.0);
        let value = line.map(|line| {
            let Foretold { value, low, high } = line.at(self.sidecars);
            Foretold {
                value: machines(value),
                low: machines(low),
                high: machines(high),
            }
        });
        Row {
            role: "agent",
            what: format!("machines for the work, {PLANNED_PERCENT}% of a core planned for each"),
            value,
            budget: Some(f64::from(self.file.budget.machines)),
            unit: "",
            from:
                "the agent's processor time; only if the work could be split, which it can't today"
                    .into(),
            carried_by: "not built",
        }
    }

    fn faults(&self) -> Vec<Row> {
        let within = Some(self.file.budget.change_seconds());
        let row = |role, what, figure, carried_by| {
            self.row(Wanted {
                series: BASE,
                role,
                what,
                figure,
                factor: 1.0,
                budget: within,
                unit: "s",
                carried_by,
            })
        };
        let spread = "`control-plane/src/spread.rs` `Spread`";
        vec![
            row(
                "agent",
                "start of all at once: last registered",
                Figure::StartLast,
                spread,
            ),
            row(
                "agent",
                "restarted with its state: last back",
                Figure::RestartLast,
                spread,
            ),
            row(
                "agent",
                "restarted without its state: last back",
                Figure::RestartWithoutStateLast,
                spread,
            ),
            row(
                "agent",
                "zone back: its last instance back",
                Figure::ZoneLast,
                spread,
            ),
            row(
                "agent",
                "rack back: its last instance back",
                Figure::RackLast,
                spread,
            ),
            row(
                "agent",
                "region's cut over: its last instance back",
                Figure::RegionLast,
                spread,
            ),
            row(
                "agent",
                "region's cut over: change made meanwhile in force at its last",
                Figure::RegionInForce,
                "`control-plane/src/fleet/mod.rs` `Fleet::bring`",
            ),
            row(
                "command line",
                "push while a region is cut: rollout ended",
                Figure::RegionRollout,
                "`control-plane/src/rollout.rs` `Rollout`",
            ),
        ]
    }
}

/// A row of a value that needs no measurement.
pub(super) fn reckoned(
    role: &'static str,
    what: String,
    (value, budget): (f64, Option<f64>),
    unit: &'static str,
    from: &str,
    carried_by: &'static str,
) -> Row {
    Row {
        role,
        what,
        value: Some(exactly(value)),
        budget,
        unit,
        from: from.into(),
        carried_by,
    }
}

pub(super) fn exactly(value: f64) -> Foretold {
    Foretold {
        value,
        low: value,
        high: value,
    }
}

fn scaled(of: Foretold, factor: f64) -> Foretold {
    Foretold {
        value: of.value * factor,
        low: of.low * factor,
        high: of.high * factor,
    }
}

/// A number with three digits that count.
pub fn number(value: f64) -> String {
    let digits = match value.abs() {
        size if size >= 100.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        _ => 3,
    };
    let text = format!("{value:.digits$}");
    let whole = if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.')
    } else {
        &text
    };
    if whole == "-0" {
        "0".into()
    } else {
        whole.into()
    }
}

//! The page.

use super::plot::{self, Chart, Line};
use super::series::{self, Band, Stretches};
use crate::figures::{Figure, Summary};
use crate::record::Run;
use crate::results::Results;
use crate::stats::FEWEST;
use maud::{DOCTYPE, Markup, PreEscaped, html};

/// Stories of broken rules that are shown at most.
const MOST_STORIES: usize = 20;
/// Lines of a story that are shown at most.
const MOST_LINES: usize = 200;

pub(super) const STYLE: &str = "
:root{color-scheme:light dark;--paper:#fff;--ink:#222;--soft:#666;--grid:#ddd;--band:#f6dcd7;--good:#1a7f37;--bad:#c0291b;--heat:#c2410c;
--s0:#b5179e;--s1:#0072b2;--s2:#009e73;--s3:#d55e00;--s4:#56a3d9;--s5:#8a6d00;--s6:#444;--s7:#7b5cd6}
@media(prefers-color-scheme:dark){:root{--paper:#16181d;--ink:#e4e4e4;--soft:#a0a0a0;--grid:#363a42;--band:#4a2723;--good:#56d364;--bad:#ff7b6b;--heat:#ff8a4c;
--s0:#ff6ad5;--s1:#5ab4f0;--s2:#3fd0a0;--s3:#ff9a4d;--s4:#9fd3ff;--s5:#e0c34a;--s6:#c8c8c8;--s7:#b5a0ff}}
body{background:var(--paper);color:var(--ink);font:15px/1.5 system-ui,sans-serif;max-width:1180px;margin:2rem auto;padding:0 1rem}
h1{font-size:1.6rem;margin-bottom:.2rem}h2{margin-top:2.2rem;font-size:1.2rem;border-bottom:1px solid var(--grid)}h3{font-size:1rem;margin:1.2rem 0 .2rem}
.scroll{overflow-x:auto}table{border-collapse:collapse;font-variant-numeric:tabular-nums;font-size:.9rem}
th,td{padding:.25rem .5rem;text-align:right;border-bottom:1px solid var(--grid);white-space:nowrap}th:first-child,td:first-child,td.words{text-align:left}td.words{white-space:normal}
.ends{color:var(--soft);font-size:.8rem;display:block}.good{color:var(--good)}.bad{color:var(--bad);font-weight:600}.soft{color:var(--soft)}
svg{max-width:100%;height:auto;display:block}figure{margin:0 0 1rem}
.legend span{margin-right:1.1rem;white-space:nowrap}.legend i{display:inline-block;width:1.6em;height:.32em;vertical-align:middle;margin-right:.4em;border-radius:2px}
pre{overflow-x:auto;font-size:.8rem;background:color-mix(in srgb,var(--ink) 6%,var(--paper));padding:.7rem}summary{cursor:pointer}
";

/// The page of these results. It needs nothing from elsewhere: no script, style, font or picture.
///
/// # Errors
/// A plot can't be drawn.
pub fn page(results: &Results) -> Result<String, String> {
    let page = Page::new(results);
    let m = &results.manifest;
    let title = format!("{} - madderloom-lab", m.experiment);
    let flaws = results.flaws();
    let seeds = m.seeds.len();
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) }
                style { (PreEscaped(STYLE)) (PreEscaped(plot::style())) }
            }
            body {
                h1 { (m.experiment) }
                p { (results.experiment.about) }
                p.soft {
                    (m.driver) " driver, " (seeds) " seeds, " (results.experiment.server_count()) " servers, "
                    (results.experiment.instances.count) " instances, " (results.experiment.duration)
                    "; madderloom-lab " (m.version) ", build " (m.build)
                }
                @if !flaws.is_empty() {
                    h2.bad { "What is missing" }
                    ul { @for flaw in flaws.iter().take(20) { li { (flaw) } }
                        @if flaws.len() > 20 { li { "and " (flaws.len() - 20) " more" } } }
                }
                h2 { "Arms" }
                (page.arms(None))
                p.soft { "Means over the seeds, below them bootstrap intervals of 95%"
                    @if seeds < FEWEST { ": none here, for that takes " (FEWEST) " seeds" }
                    ". Latencies are of what was served, from when a request was due; attempts are for each request." }
                @if !m.verdicts.is_empty() { h2 { "Expectations" } (page.verdicts()) }
                h2 { "Goodput over time" }
                (page.faults())
                (page.over_time("worth earned / worth asked for", (0.0, 1.0), &series::goodput)?)
                h2 { "In time, by class" }
                @for class in &results.experiment.classes {
                    h3 { (class.name) ": answers within " (class.aim) }
                    (page.over_time("share in time", (0.0, 1.0), &|w| series::in_time(&class.name, w))?)
                }
                h2 { "Latency" }
                @for class in &results.experiment.classes {
                    h3 { (class.name) ", by percentile" }
                    (page.percentiles(&class.name)?)
                }
                h3 { "Median over time, all classes" }
                (page.latency_over_time(&|w| w.latency.0)?)
                h3 { "99th percentile over time, all classes" }
                (page.latency_over_time(&|w| w.latency.2)?)
                h2 { "Attempts a request" }
                (page.attempts()?)
                @if page.recovers() { h2 { "Time to recovery" } (page.recovery()?) }
                h2 { "Load by server" }
                p.soft { "The part of its cores' time that was used, the mean over the seeds. " span.legend { i style="background:var(--heat);opacity:.1" {} "little" } " "
                    span.legend { i style="background:var(--heat)" {} "all" } }
                @for arm in &m.arms {
                    @let runs = page.runs(arm);
                    @if !runs.is_empty() {
                        h3 { (arm) }
                        figure { (PreEscaped(plot::heat_map(&format!("load by server, {arm}"), &series::load(&results.experiment, &runs), results.experiment.duration.seconds())?)) }
                    }
                }
                @if results.experiment.classes.len() > 1 {
                    h2 { "Arms, by class" }
                    @for class in &results.experiment.classes { h3 { (class.name) } (page.arms(Some(&class.name))) }
                }
                h2 { "Broken rules" }
                (page.breaches())
                h2 { "The experiment" }
                details { summary { "Its file, as it was read" } pre { (m.text) } }
            }
        }
    };
    Ok(markup.into_string())
}

struct Page<'r> {
    results: &'r Results,
    bands: Vec<Band>,
}

impl<'r> Page<'r> {
    fn new(results: &'r Results) -> Self {
        Page {
            results,
            bands: series::bands(&results.experiment),
        }
    }

    fn runs(&self, arm: &'r str) -> Vec<&'r Run> {
        self.results.of_arm(arm).collect()
    }

    fn arms(&self, class: Option<&str>) -> Markup {
        let Results {
            experiment,
            manifest,
            runs,
            ..
        } = self.results;
        let summaries: Vec<Summary> = manifest
            .arms
            .iter()
            .map(|arm| Summary::of(experiment, arm, runs, class))
            .collect();
        let shown = |figure: &Figure| summaries.iter().any(|arm| arm.figure(*figure).is_some());
        // Goodput says as much of worth, in less room.
        let columns: Vec<Figure> = crate::figures::ALL
            .iter()
            .copied()
            .filter(|f| *f != Figure::WorthLost && shown(f))
            .collect();
        html! { div.scroll { table {
            tr { th { "arm" } @for column in &columns { th { (column.name()) } } @if class.is_none() { th { "rules" } th { "runs" } } }
            @for arm in &summaries { tr {
                td { (arm.arm) }
                @for column in &columns { td { @match arm.figure(*column) {
                    Some(interval) => {
                        (column.written(interval.mean))
                        @if *column == Figure::Recovery && arm.never_recovered > 0 { span.ends { (arm.never_recovered) " never" } }
                        @if let Some((low, high)) = interval.ends { span.ends { (column.written(low)) " to " (column.written(high)) } }
                    }
                    None => { "-" }
                } } }
                @if class.is_none() {
                    td { @match arm.breaches.values().sum::<u64>() { 0 => { span.good { "kept" } }, times => { span.bad { (times) " broken" } } } }
                    td { (arm.runs) @if arm.void > 0 { span.bad { " (" (arm.void) " void)" } } }
                }
            } }
        } } }
    }

    fn verdicts(&self) -> Markup {
        html! { div.scroll { table {
            tr { th { "arm" } th { "what" } th { "wanted" } th { "got" } th {} }
            @for verdict in &self.results.manifest.verdicts { tr {
                td { (verdict.arm) } td { (verdict.what) } td { (verdict.wanted) } td { (verdict.got) }
                td { @match verdict.held { Some(true) => { span.good { "held" } } Some(false) => { span.bad { "failed" } } None => { span.bad { "not judged" } } } }
            } }
        } } }
    }

    fn faults(&self) -> Markup {
        html! { @if self.bands.is_empty() { p.soft { "Nothing breaks." } } @else {
            p.soft { "Bands are faults:" }
            ul { @for band in &self.bands { li { (band.what) } } }
        } }
    }

    fn legend(&self) -> Markup {
        html! { div.legend { @for (i, arm) in self.results.manifest.arms.iter().enumerate() {
            span { i style=(format!("background:var(--s{})", i % plot::COLOURS)) {} (arm) }
        } } }
    }

    /// A chart with a line for each arm.
    fn chart(
        &self,
        title: &str,
        chart: Chart<'_>,
        points: impl Fn(&[&Run]) -> Stretches,
    ) -> Result<Markup, String> {
        let mut lines = Vec::new();
        for (i, arm) in self.results.manifest.arms.iter().enumerate() {
            let runs = self.runs(arm);
            let ours = self
                .results
                .experiment
                .arms
                .iter()
                .any(|a| a.name == *arm && a.policy == "madderloom");
            lines.push(Line {
                colour: i,
                bold: ours,
                stretches: points(&runs),
            });
        }
        // Ours last, on top of the others.
        lines.sort_by_key(|line| line.bold);
        let highest = lines
            .iter()
            .flat_map(|l| l.stretches.iter().flatten())
            .map(|(_, y)| *y)
            .fold(0.0, f64::max);
        let lowest = lines
            .iter()
            .flat_map(|l| l.stretches.iter().flatten())
            .map(|(_, y)| *y)
            .fold(f64::MAX, f64::min);
        let mut chart = Chart { lines, ..chart };
        if chart.up.1 == 0.0 {
            chart.up.1 = highest * 1.08;
        }
        if chart.log {
            chart.up.0 = if lowest < f64::MAX { lowest * 0.8 } else { 0.1 };
        }
        Ok(html! { figure { (self.legend()) (PreEscaped(chart.draw(title)?)) } })
    }

    fn over_time(
        &self,
        y: &str,
        up: (f64, f64),
        value: &dyn Fn(&[&crate::record::Window]) -> Option<f64>,
    ) -> Result<Markup, String> {
        let e = &self.results.experiment;
        let bands: Vec<(f64, f64)> = self.bands.iter().map(|band| band.span).collect();
        let chart = Chart {
            x: "time [s]",
            y,
            across: (0.0, e.duration.seconds()),
            up: (up.0, if up.1 > 0.0 { up.1 * 1.02 } else { 0.0 }),
            log: false,
            bands: &bands,
            lines: Vec::new(),
            words: None,
            dots: false,
        };
        self.chart(&format!("{y} over time"), chart, |runs| {
            series::over_time(e, runs, value)
        })
    }

    fn latency_over_time(
        &self,
        of: &dyn Fn(&crate::record::Window) -> u64,
    ) -> Result<Markup, String> {
        let e = &self.results.experiment;
        let bands: Vec<(f64, f64)> = self.bands.iter().map(|band| band.span).collect();
        let chart = Chart {
            x: "time [s]",
            y: "latency [ms]",
            across: (0.0, e.duration.seconds()),
            up: (0.0, 0.0),
            log: true,
            bands: &bands,
            lines: Vec::new(),
            words: None,
            dots: false,
        };
        self.chart("latency over time", chart, |runs| {
            series::over_time(e, runs, |w| series::latency(of, w))
        })
    }

    fn percentiles(&self, class: &str) -> Result<Markup, String> {
        let words = series::PERCENTILES
            .iter()
            .map(|(_, name)| (*name).to_string())
            .collect();
        let chart = Chart {
            x: "percentile of what was served",
            y: "latency [ms]",
            across: (-0.25, series::PERCENTILES.len() as f64 - 0.75),
            up: (0.0, 0.0),
            log: true,
            bands: &[],
            lines: Vec::new(),
            words: Some(words),
            dots: false,
        };
        self.chart(&format!("latency percentiles of {class}"), chart, |runs| {
            series::percentiles(runs, class)
        })
    }

    fn attempts(&self) -> Result<Markup, String> {
        self.over_time("attempts / request", (0.0, 0.0), &series::attempts)
    }

    fn recovers(&self) -> bool {
        let Results {
            experiment, runs, ..
        } = self.results;
        runs.iter()
            .any(|run| run.void.is_none() && Figure::Recovery.of(experiment, run, None).is_some())
    }

    /// A dot for each seed.
    fn recovery(&self) -> Result<Markup, String> {
        let e = &self.results.experiment;
        let arms = &self.results.manifest.arms;
        let lines: Vec<Line> = arms
            .iter()
            .enumerate()
            .map(|(i, arm)| {
                let runs = self.runs(arm);
                // Beside each other, or equal ones would hide each other.
                let across =
                    |n: usize| i as f64 + 0.5 * ((n as f64 + 0.5) / runs.len() as f64 - 0.5);
                let dot = |(n, run): (usize, &&Run)| {
                    Some((across(n), Figure::Recovery.of(e, run, None)?))
                };
                let dots = runs.iter().enumerate().filter_map(dot).collect();
                Line {
                    colour: i,
                    bold: false,
                    stretches: vec![dots],
                }
            })
            .collect();
        let highest = lines
            .iter()
            .flat_map(|l| l.stretches.iter().flatten())
            .map(|(_, y)| *y)
            .fold(0.0, f64::max);
        let chart = Chart {
            x: "",
            y: "seconds",
            across: (-0.5, arms.len() as f64 - 0.5),
            up: (0.0, highest * 1.1 + 0.1),
            log: false,
            bands: &[],
            lines,
            words: Some(arms.clone()),
            dots: true,
        };
        let told: Vec<String> = arms
            .iter()
            .map(|arm| Summary::of(e, arm, &self.results.runs, None))
            .filter(|arm| arm.never_recovered > 0)
            .map(|arm| {
                format!(
                    "{} of {} runs of {}",
                    arm.never_recovered, arm.runs, arm.arm
                )
            })
            .collect();
        Ok(html! {
            p.soft { "From the end of the last fault until goodput was back at 0.95 of what it was before the first; a dot for each seed. "
                @if !told.is_empty() { "Never within the time there was, which their dots show: " (told.join(", ")) "." } }
            figure { (PreEscaped(chart.draw("time to recovery")?)) }
        })
    }

    fn breaches(&self) -> Markup {
        let all = || {
            self.results
                .runs
                .iter()
                .flat_map(|run| run.broken.iter().map(move |breach| (run, breach)))
        };
        let count = all().count();
        html! {
            @if count == 0 { p.good { "None." } }
            @for (run, breach) in all().take(MOST_STORIES) {
                details {
                    summary { span.bad { (breach.rule) } " at " (breach.at) ": " (run.arm) " with seed " (run.seed) }
                    pre { @for line in breach.story.iter().take(MOST_LINES) { (line) "\n" } }
                }
            }
            @if count > MOST_STORIES { p.soft { "and " (count - MOST_STORIES) " more in the folder" } }
        }
    }
}

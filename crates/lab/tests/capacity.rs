//! What a fleet of some size needs: the lines through measured points, the arithmetic, and the page that shows both.

use madderloom_agent::traffic::Traffic;
use madderloom_lab::scale::capacity::{Row, Verdict, number, rows};
use madderloom_lab::scale::figures::Figure;
use madderloom_lab::scale::line::Line;
use madderloom_lab::scale::markdown;
use madderloom_lab::scale::measured::{BASE, Measured};
use madderloom_lab::scale::protocol::{Manner, Totals};
use madderloom_lab::scale::record::{FORMAT, RunRecord, StepRecord, Times, Work};
use madderloom_lab::scale::size::SizeFile;
use madderloom_lab::scale::steps::Step;
use madderloom_lab::scale::usage::{Allowed, Usage};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

fn shipped_size() -> SizeFile {
    let text = std::fs::read_to_string(root("docs/capacity/size-11000.toml")).expect("it is there");
    SizeFile::read(&text).expect("it makes sense")
}

/// A run whose costs grow by round figures: 1 KB a second and a thousandth of a core each, 2 ms each until in force.
fn run(instances: usize, extra_ms: f64) -> RunRecord {
    let many = instances as u64;
    let step = |step, seconds, agent: Work, times: &[(&str, f64)]| StepRecord {
        step,
        about: instances,
        seconds,
        agent,
        instances: Work {
            cpu_seconds: 0.000_5 * instances as f64 * seconds,
            ..agent
        },
        relays: Work::default(),
        times: times
            .iter()
            .map(|(name, last_ms)| (name.to_string(), times_of(*last_ms)))
            .collect(),
        counts: BTreeMap::new(),
        problem: None,
    };
    let calm = Work {
        bytes_in: 6_000 * many,
        bytes_out: 4_000 * many,
        messages_in: 3 * many,
        messages_out: 7 * many,
        cpu_seconds: 0.01 * instances as f64,
        connections: 2 * many + 1,
        memory: 10_000_000 + 50_000 * many,
        ..Work::default()
    };
    // A second of calm, and a message each way.
    let push = Work {
        bytes_in: 1_100 * many,
        bytes_out: 900 * many,
        cpu_seconds: 0.003 * instances as f64,
        ..calm
    };
    let in_force = 10.0 + 2.0 * instances as f64 + extra_ms;
    RunRecord {
        format: FORMAT,
        version: "0".into(),
        build: "made up".into(),
        built: "none".into(),
        agent: "none".into(),
        instances,
        manner: Manner {
            requests: 0,
            limits: 1,
            lists: 1,
        },
        report_ms: 3_000,
        registrations: 100,
        relays: 0,
        allowed: Allowed {
            descriptors: 1,
            memory: 1,
            cores: 1,
        },
        load: 0.0,
        steps: vec![
            step(Step::Calm, 10.0, calm, &[]),
            step(Step::PushAll, 1.0, push, &[("in_force", in_force)]),
            step(
                Step::RestartWithState,
                10.0,
                calm,
                &[("healed", 10.0 * instances as f64)],
            ),
        ],
    }
}

fn times_of(last_ms: f64) -> Times {
    Times {
        count: 1,
        missing: 0,
        median_ms: last_ms,
        p99_ms: last_ms,
        last_ms,
    }
}

fn made_up() -> Measured {
    let runs = [
        (100, 1.0),
        (100, -1.0),
        (300, 2.0),
        (300, -2.0),
        (1_000, 1.0),
        (1_000, -1.0),
    ];
    let runs = runs
        .map(|(instances, extra)| run(instances, extra))
        .to_vec();
    Measured {
        series: BTreeMap::from([(BASE.to_string(), runs)]),
        real: None,
        hops: Vec::new(),
    }
}

fn find<'r>(rows: &'r [Row], what: &str) -> &'r Row {
    rows.iter()
        .find(|row| row.what == what)
        .unwrap_or_else(|| panic!("{what}"))
}

#[test]
fn a_line_goes_through_its_points_and_says_how_sure_it_is() {
    let exact = Line::through(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0), (4.0, 11.0)]).expect("a line");
    assert!(
        (exact.fixed - 3.0).abs() < 1e-9 && (exact.slope - 2.0).abs() < 1e-9,
        "{exact:?}"
    );
    assert!(
        exact.slope_half < 1e-6 && (exact.r_squared - 1.0).abs() < 1e-9,
        "{exact:?}"
    );
    assert!((exact.at(10.0).value - 23.0).abs() < 1e-9 && !exact.bends());
    // Worked by hand: the slope is 1.5 with a standard error of 0.1323, and Student's t of two degrees is 4.3027.
    let points = [(1.0, 1.0), (2.0, 2.8), (3.0, 4.0), (4.0, 5.6)];
    let line = Line::through(&points).expect("a line");
    assert!(
        (line.slope - 1.5).abs() < 1e-9 && (line.fixed + 0.4).abs() < 1e-9,
        "{line:?}"
    );
    let squares: f64 = points
        .iter()
        .map(|(x, y)| (y + 0.4 - 1.5 * x).powi(2))
        .sum();
    let half = 4.302_652_7 * (squares / 2.0 / 5.0).sqrt();
    assert!((line.slope_half - half).abs() < 1e-4, "{line:?} {half}");
    let further =
        4.302_652_7 * (squares / 2.0 * (1.0 + 0.25 + (10.0f64 - 2.5).powi(2) / 5.0)).sqrt();
    let foretold = line.at(10.0);
    assert!(
        (foretold.high - foretold.value - further).abs() < 1e-4,
        "{foretold:?} {further}"
    );
}

#[test]
fn of_too_few_points_or_places_there_is_no_line_and_a_bend_is_told() {
    assert_eq!(Line::through(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
    let square: Vec<(f64, f64)> = (1..=5).map(|x| (f64::from(x), f64::from(x * x))).collect();
    let line = Line::through(&square).expect("a line");
    assert!(line.bends() && line.ends == Some((3.0, 9.0)), "{line:?}");
    // The last piece, 9 a unit from 25 at 5, goes beyond the line and its interval.
    let foretold = line.at(50.0);
    assert!(
        (foretold.high - (25.0 + 9.0 * 45.0)).abs() < 1e-9,
        "{foretold:?}"
    );
}

#[test]
fn costs_at_the_size_are_the_line_s_and_beside_their_budget() {
    let rows = rows(&shipped_size(), &made_up());
    let bytes = find(&rows, "control, ordinary day: both directions");
    assert!(
        (bytes.value.expect("measured").value - 1_000.0).abs() < 1e-6,
        "{bytes:?}"
    );
    assert_eq!(bytes.verdict(), Verdict::Fits);
    assert!((bytes.used().expect("a budget") - 1.0 / 3.0).abs() < 1e-6);
    // A thousandth of a core each, at eleven thousand: eleven cores, and the agent has one.
    let processor = find(&rows, "ordinary day: processor time");
    assert!(
        (processor.value.expect("measured").value - 1_100.0).abs() < 1e-6,
        "{processor:?}"
    );
    assert_eq!(processor.verdict(), Verdict::DoesNotFit);
    let memory = find(&rows, "ordinary day: memory");
    assert!(
        (memory.value.expect("measured").value - 560.0).abs() < 1e-6,
        "{memory:?}"
    );
    assert_eq!(memory.verdict(), Verdict::NoBudget);
    // 2 ms a thousand each at the agent, beyond calm: 22 s of processor time a change, one change every 11.2 s.
    let changes = find(
        &rows,
        "changes of a day, all to all: processor time beyond calm",
    );
    let expected = 0.002 * 11_000.0 * 7_700.0 / 86_400.0 * 100.0;
    assert!(
        (changes.value.expect("measured").value - expected).abs() < 1e-6,
        "{changes:?}"
    );
    let restart = find(&rows, "restarted with its state: last back");
    assert!(
        (restart.value.expect("measured").value - 110.0).abs() < 1e-6,
        "{restart:?}"
    );
    assert_eq!(restart.verdict(), Verdict::DoesNotFit);
    let push = find(&rows, "push to all: last in force");
    let foretold = push.value.expect("measured");
    assert!(
        (foretold.value - 22.01).abs() < 0.1 && foretold.low < foretold.value,
        "{push:?}"
    );
    assert!(
        push.from
            .contains("6 runs at 3 sizes; beyond the greatest measured, 1000"),
        "{}",
        push.from
    );
}

#[test]
fn what_was_not_measured_is_marked_and_not_filled_in() {
    let rows = rows(&shipped_size(), &made_up());
    for what in [
        "added to a call, 99 in 100, ten deep",
        "real, no requests: resident memory",
        "zone back: its last instance back",
    ] {
        let row = find(&rows, what);
        assert_eq!(
            (row.value, row.verdict(), row.used()),
            (None, Verdict::NotMeasured, None),
            "{what}"
        );
    }
    let text = markdown::capacity(&rows);
    let line = text
        .lines()
        .find(|line| line.contains("zone back"))
        .expect("a line");
    assert!(
        line.contains("| not measured |  | 5 s |  | not measured | not measured |"),
        "{line}"
    );
}

#[test]
fn a_step_that_missed_some_gives_no_figure() {
    let mut missing = run(100, 0.0);
    let times = missing.steps[1]
        .times
        .get_mut("in_force")
        .expect("it was taken");
    times.missing = 1;
    assert_eq!(Figure::PushAllLast.of(&missing), None);
    missing.steps[0].problem = Some("it was not done".into());
    assert_eq!(Figure::AgentMemory.of(&missing), None);
}

#[test]
fn bounds_in_the_code_are_held_against_the_size() {
    let rows = rows(&shipped_size(), &Measured::default());
    for (what, verdict) in [
        (
            "settings of one overlay, with one for each service",
            Verdict::DoesNotFit,
        ),
        (
            "layers in effect, with one for each service",
            Verdict::DoesNotFit,
        ),
        (
            "lists that the fleet shares, with one for each service",
            Verdict::DoesNotFit,
        ),
        ("names known to an agent", Verdict::Fits),
        ("connections of an agent", Verdict::Fits),
        ("all register at the usual pace", Verdict::DoesNotFit),
    ] {
        assert_eq!(find(&rows, what).verdict(), verdict, "{what}");
    }
}

#[test]
fn a_size_that_makes_no_sense_is_told_with_its_field() {
    let text = std::fs::read_to_string(root("docs/capacity/size-11000.toml")).expect("it is there");
    let wrong = text
        .replace("sidecars = 11000", "sidecars = 0")
        .replace("services = 1100", "servces = 1100");
    let problems = SizeFile::read(&wrong).expect_err("problems");
    let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert!(
        told.iter().any(|line| line.contains("size.servces")),
        "{told:?}"
    );
}

#[test]
fn work_is_what_came_between_two_looks() {
    let look = |bytes, cpu| Totals {
        traffic: Traffic {
            bytes_in: bytes,
            connections: 7,
            ..Traffic::default()
        },
        usage: Usage {
            cpu_seconds: cpu,
            memory: 5,
            descriptors: 9,
        },
    };
    let work = Work::between(&look(100, 1.0), &look(350, 1.25));
    assert_eq!((work.bytes_in, work.cpu_seconds), (250, 0.25));
    assert_eq!((work.connections, work.memory, work.descriptors), (7, 5, 9));
    // A process that was replaced counts anew; nothing is ever negative.
    assert_eq!(Work::between(&look(350, 1.0), &look(100, 0.5)).bytes_in, 0);
}

#[test]
fn plots_show_each_figure_that_was_measured() {
    let page = madderloom_lab::report::slopes(&made_up()).expect("drawn");
    assert!(page.contains("<svg") && page.contains("agent, calm: memory [MB]"));
    assert!(!page.contains("zone back"), "nothing was measured of it");
    assert!(
        !page.contains("http://") && !page.contains("https://"),
        "it needs nothing from elsewhere"
    );
}

#[test]
fn numbers_have_three_digits_that_count() {
    let told = [1234.5, 99.94, 2.0, 0.034_56, -0.000_1, 0.0].map(number);
    assert_eq!(told, ["1234", "99.9", "2", "0.035", "0", "0"]);
}

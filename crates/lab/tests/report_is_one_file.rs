//! A report is one well-formed page that needs nothing from elsewhere and takes no words for markup.

use madderloom_lab::experiment::Experiment;
use madderloom_lab::record::{Breach, Latency, Run, ServerTally, Tally, Window};
use madderloom_lab::report;
use madderloom_lab::results::{End, FORMAT, Manifest, Results};

const TEXT: &str = r#"version = 1
name = "drawn"
about = "A <b>page</b> & its parts."
duration = "10s"
seeds = [1, 2, 3, 4, 5]
[[servers]]
name = "std"
count = 40
[[classes]]
name = "read"
[clients]
rate = 10.0
[[faults]]
at = "2s"
lasts = "3s"
kind = "hang"
share = 0.5
[[arms]]
name = "ours"
policy = "madderloom"
[[arms]]
name = "dice"
policy = "random"
"#;

fn run(arm: &str, seed: u64) -> Run {
    let latency = Latency {
        buckets: vec![(1_000 * seed, 50), (90_000, 49)],
        sum: 99,
    };
    let tally = Tally {
        asked: 100,
        worth: 100.0,
        earned: 90.0,
        attempts: 110,
        latency,
        ..Tally::default()
    };
    let window = |n: u64| Window {
        worth: 10.0,
        earned: if n == 3 { 0.0 } else { 9.0 },
        classes: [("read".to_string(), (10, 9))].into(),
        // In a step nothing was answered.
        latency: if n == 3 {
            (0, 0, 0)
        } else {
            (10_000, 20_000, 30_000 * seed)
        },
        attempts: 11,
        load: vec![0.1 * n as f32; 40],
    };
    let server = |n: u32| (format!("std-{n:02}"), ServerTally::default());
    Run {
        arm: arm.into(),
        seed,
        void: (seed == 4).then(|| "it <panicked>".to_string()),
        total: tally.clone(),
        classes: [("read".to_string(), tally)].into(),
        servers: (0..40).map(server).collect(),
        windows: (0..10).map(window).collect(),
        broken: vec![Breach {
            rule: "dropped-request".into(),
            story: vec!["1s <script src=\"http://x/\"> & so on".into()],
            ..Breach::default()
        }],
        breaches: [("dropped-request".to_string(), 1)].into(),
        ..Run::default()
    }
}

fn page(runs: Vec<Run>) -> String {
    let results = Results {
        path: "d".into(),
        manifest: Manifest {
            format: FORMAT,
            experiment: "drawn".into(),
            text: TEXT.into(),
            arms: vec!["ours".into(), "dice".into()],
            seeds: vec![1, 2, 3, 4, 5],
            end: Some(End::BrokenOff),
            ..Manifest::default()
        },
        experiment: Experiment::read(TEXT).expect("an experiment"),
        runs,
        missing: vec![("dice".into(), 5)],
    };
    report::page(&results).expect("a page")
}

fn whole() -> String {
    page(
        (1..=5)
            .flat_map(|seed| [run("ours", seed), run("dice", seed)])
            .collect(),
    )
}

/// Whether every tag is closed in its turn; else the tag at fault.
fn balanced(page: &str) -> Result<(), String> {
    const EMPTY: [&str; 3] = ["meta", "br", "!DOCTYPE"];
    let mut open: Vec<&str> = Vec::new();
    for part in page.split('<').skip(1) {
        let (tag, _) = part.split_once('>').ok_or(format!("<{part} has no end"))?;
        let name = tag
            .split([' ', '\n', '/'])
            .find(|name| !name.is_empty())
            .unwrap_or_default();
        if tag.starts_with('/') {
            if open.pop() != Some(name) {
                return Err(format!("</{name}> closes what is not open"));
            }
        } else if !tag.ends_with('/') && !EMPTY.contains(&name) {
            open.push(name);
        }
    }
    if open.is_empty() {
        Ok(())
    } else {
        Err(format!("{open:?} are not closed"))
    }
}

#[test]
fn a_page_is_well_formed() {
    assert_eq!(balanced(&whole()), Ok(()));
    assert!(balanced("<a><b></a></b>").is_err() && balanced("<a>").is_err());
}

#[test]
fn a_page_takes_nothing_from_elsewhere_and_runs_no_script() {
    let page = whole();
    let tags: Vec<&str> = page
        .split('<')
        .skip(1)
        .filter_map(|part| part.split_once('>'))
        .map(|(tag, _)| tag)
        .collect();
    for tag in &tags {
        let plain = !tag.contains("://")
            && !tag.contains("src=")
            && !tag.contains("href=")
            && !tag.starts_with("script");
        assert!(
            plain && !tag.starts_with("link") && !tag.contains(" on"),
            "<{tag}>"
        );
    }
    assert!(!page.contains("@import") && !page.contains("url("));
    assert!(
        page.contains("&lt;script src=&quot;http://x/&quot;&gt;")
            && page.contains("A &lt;b&gt;page")
    );
}

#[test]
fn a_page_shows_each_plot_the_faults_and_what_is_missing() {
    let page = whole();
    for part in [
        "worth earned / worth asked for over time",
        "latency percentiles of read",
        "latency over time",
        "attempts / request over time",
        "time to recovery",
        "load by server, ours",
        "load by server, dice",
    ] {
        assert!(page.contains(&format!("aria-label=\"{part}\"")), "{part}");
    }
    assert!(page.contains("hang of 50%, from 2 s until 5 s"));
    assert!(
        page.contains("std-00 ... std-01"),
        "many servers are taken together"
    );
    assert!(
        page.contains("seed 4 is void: it &lt;panicked&gt;")
            && page.contains("dice with seed 5 is not there")
    );
    assert!(page.contains("prefers-color-scheme:dark"));
}

#[test]
fn a_page_of_no_runs_is_a_page() {
    assert_eq!(balanced(&page(Vec::new())), Ok(()));
    let mut void = run("ours", 1);
    void.void = Some("it fell behind".into());
    (void.windows, void.servers, void.classes) = Default::default();
    assert_eq!(balanced(&page(vec![void])), Ok(()));
}

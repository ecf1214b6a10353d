//! Lines hold what happened, in order, in a bounded place.

use madderloom_balancer::{Outcome, ServerId};
use madderloom_endpoint_history::{
    CompletedAttempt, EndpointEvent, EndpointGauges, EndpointHistory, LatencySketch,
    ListedEndpoint, Settings,
};
use proptest::prelude::*;

const S: u64 = 1_000_000;

proptest! {
    #[test]
    fn sketches_merged_in_any_order_agree_and_their_quantiles_are_near(
        values in proptest::collection::vec(100u64..750_000_000, 1..300),
        cuts in proptest::collection::vec(0usize..300, 0..5),
        part in 0.0..1.0f64,
    ) {
        let whole = values.iter().fold(LatencySketch::default(), |mut sketch, v| { sketch.add(*v); sketch });
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % values.len()).chain([0, values.len()]).collect();
        cuts.sort_unstable();
        let mut parts: Vec<LatencySketch> = cuts.windows(2).map(|c| {
            let mut sketch = LatencySketch::default();
            values[c[0]..c[1]].iter().for_each(|v| sketch.add(*v));
            sketch
        }).collect();
        parts.rotate_left(cuts.len() / 2 % cuts.len().max(1) % (cuts.len() - 1).max(1));
        let merged = parts.iter().fold(LatencySketch::default(), |mut all, sketch| { all.merge(sketch); all });
        prop_assert_eq!(&merged, &whole);
        let mut sorted = values.clone();
        sorted.sort_unstable();
        let rank = (part * values.len() as f64).ceil().max(1.0) as usize - 1;
        let (exact, told) = (sorted[rank] as f64, whole.quantile(part).expect("there are some") as f64);
        prop_assert!((told - exact).abs() <= 0.18 * exact + 1.0, "{told} for {exact}");
    }

    /// Random events in the order of their times: nothing is lost of what is still in reach, steps and happenings are in
    /// order, and no line grows beyond what is stated.
    #[test]
    fn any_stream_of_events_keeps_the_order_and_the_bound(
        events in proptest::collection::vec((0u64..200 * S, 0u64..4, 0u8..6), 1..600),
    ) {
        let mut story = EndpointHistory::new(Settings { servers: 3, ..Settings::default() });
        let mut now = 5 * S;
        let mut attempts = [0u64; 4];
        for (gap, id, what) in events {
            now += gap;
            let server = ServerId(id);
            match what {
                0 => story.listed(now, server, ListedEndpoint { restarted: gap % 3 == 0, ..ListedEndpoint::default() }),
                1 => story.left(now, server),
                2 => story.note(now, server, EndpointEvent::Ejected(Outcome::Reset)),
                3 => story.gauge(now, server, EndpointGauges { out: 3, region: 0.1, reported: None }),
                _ => {
                    let outcome = if gap % 2 == 0 { Outcome::Ok } else { Outcome::Reset };
                    let seen = CompletedAttempt { server, class: 0, outcome, elapsed: gap, size: 1.0 };
                    if story.line(server).is_some() {
                        attempts[id as usize] += 1;
                    }
                    story.attempt(now, (now / (60 * S) % 1_440) as u16, &seen);
                }
            }
            let _ = story.step(now);
            prop_assert!(story.servers().count() <= 3);
        }
        for (id, _) in story.servers().collect::<Vec<_>>() {
            let line = story.line(id).expect("it is there");
            for (width, most) in [(S, 121), (10 * S, 91), (60 * S, 121), (1_800 * S, 97)] {
                let steps: Vec<_> = line.steps(width).collect();
                prop_assert!(steps.len() <= most);
                prop_assert!(steps.windows(2).all(|pair| pair[0].from < pair[1].from));
                prop_assert!(steps.iter().all(|step| step.from % width == 0 && step.from <= now));
            }
            let notes: Vec<_> = line.notes().collect();
            prop_assert!(notes.len() <= 64);
            prop_assert!(notes.windows(2).all(|pair| pair[0].last <= pair[1].at));
            let told: u64 = line.steps(1_800 * S).map(|step| u64::from(step.attempts())).sum();
            prop_assert!(told <= attempts[id.0 as usize]);
        }
    }
}

#[test]
fn every_width_tells_of_the_same_attempts() {
    let mut story = EndpointHistory::new(Settings::default());
    story.listed(0, ServerId(1), ListedEndpoint::default());
    for n in 0..6_000u64 {
        let outcome = if n % 10 == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let seen = CompletedAttempt {
            server: ServerId(1),
            class: 0,
            outcome,
            elapsed: 1_000 + n,
            size: 1.0,
        };
        story.attempt(n * 20_000, 0, &seen);
    }
    // 120 s in all: each width reaches back that far. What goes on now is not yet in the wider ones.
    story.gauge(3_600 * S, ServerId(1), EndpointGauges::default());
    let line = story.line(ServerId(1)).expect("it is there");
    for width in [10 * S, 60 * S, 1_800 * S] {
        let steps: Vec<_> = line.steps(width).collect();
        assert_eq!(
            steps.iter().map(|step| step.attempts()).sum::<u32>(),
            if width == 10 * S { 0 } else { 6_000 }
        );
        assert_eq!(
            steps.iter().map(|s| s.ended(Outcome::Reset)).sum::<u32>(),
            if width == 10 * S { 0 } else { 600 }
        );
    }
    let minute = line.steps(60 * S).next().expect("the first minute");
    let median = minute
        .latency
        .as_ref()
        .and_then(|latency| latency.quantile(0.5))
        .expect("it has latencies");
    assert!((2_000..3_200).contains(&median), "{median}");
}

#[test]
fn the_memory_of_a_server_is_stated() {
    let bytes = EndpointHistory::bytes_for_each_server();
    assert!(bytes < 150_000, "{bytes} bytes");
}

#[test]
fn happenings_beyond_what_is_kept_push_out_the_oldest() {
    let mut story = EndpointHistory::new(Settings::default());
    story.listed(0, ServerId(1), ListedEndpoint::default());
    for second in 1..=1_000 {
        let what = if second % 2 == 0 {
            EndpointEvent::Ready
        } else {
            EndpointEvent::Draining
        };
        story.note(second * S, ServerId(1), what);
    }
    let notes: Vec<_> = story
        .line(ServerId(1))
        .expect("it is there")
        .notes()
        .collect();
    assert_eq!(
        (notes.len(), notes[63].at, notes[0].at),
        (64, 1_000 * S, 937 * S)
    );
}

/// A story has each attempt once, however old it is, and its recording is read back as it was written.
#[test]
fn a_line_told_as_one_story_has_each_attempt_once() {
    let mut story = EndpointHistory::new(Settings::default());
    story.listed(0, ServerId(1), ListedEndpoint::default());
    // An attempt a second for three hours, so that every width is in use.
    for n in 0..10_800u64 {
        let outcome = if n % 4 == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let seen = CompletedAttempt {
            server: ServerId(1),
            class: 0,
            outcome,
            elapsed: 20_000,
            size: 1.0,
        };
        story.attempt(n * S, 0, &seen);
    }
    let line = story.line(ServerId(1)).expect("it is there");
    let told = line.story();
    let ends = |(width, step): &(u64, madderloom_endpoint_history::Interval)| {
        (step.from, step.from + width)
    };
    assert!(
        told.windows(2)
            .all(|pair| ends(&pair[0]).1 <= ends(&pair[1]).0),
        "one lies over another"
    );
    assert_eq!(
        told.iter().map(|(_, step)| step.attempts()).sum::<u32>(),
        10_800
    );
    let recording = madderloom_endpoint_history::Recording::of("s-one", line);
    assert_eq!(recording.problem(), None);
    assert_eq!(
        recording.moments.iter().map(|m| m.attempts).sum::<u64>(),
        10_800
    );
    assert!(
        recording
            .moments
            .iter()
            .all(|m| (0.2..=0.3).contains(&m.lost) || m.lasts_ms == 1_000)
    );
    let mut spoilt = recording.clone();
    spoilt.moments[1].from_ms = 0;
    assert!(
        spoilt
            .problem()
            .is_some_and(|p| p.contains("moments[1].from_ms")),
        "{:?}",
        spoilt.problem()
    );
    spoilt = recording.clone();
    spoilt.moments[0].lost = f64::NAN;
    assert!(
        spoilt
            .problem()
            .is_some_and(|p| p.contains("moments[0].lost"))
    );
}

//! Timelines hold what happened in order, within bounded memory.

use madderloom_balancer::{Outcome, ServerId};
use madderloom_endpoint_history::{
    CompletedAttempt, EndpointEvent, EndpointGauges, EndpointHistory, LatencySketch,
    ListedEndpoint, Recording, Settings, TimelineEntry,
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
        let (exact, estimate) = (sorted[rank] as f64, whole.quantile(part).expect("there are some") as f64);
        prop_assert!((estimate - exact).abs() <= 0.18 * exact + 1.0, "{estimate} for {exact}");
    }

    /// Random events in the order of their times: nothing within reach is lost, intervals and events are in
    /// order, and no timeline grows beyond its bounds.
    #[test]
    fn any_stream_of_events_keeps_order_and_bounds(
        events in proptest::collection::vec((0u64..200 * S, 0u64..4, 0u8..6), 1..600),
    ) {
        let mut history = EndpointHistory::new(Settings { max_endpoints: 3, ..Settings::default() });
        let mut now = 5 * S;
        let mut attempts = [0u64; 4];
        for (gap, id, what) in events {
            now += gap;
            let server = ServerId(id);
            match what {
                0 => history.endpoint_listed(now, server, ListedEndpoint { restarted: gap % 3 == 0, ..ListedEndpoint::default() }),
                1 => history.endpoint_left(now, server),
                2 => history.record_event(now, server, EndpointEvent::Ejected(Outcome::Reset)),
                3 => history.record_gauges(now, server, EndpointGauges { in_flight: 3, region_fraction: 0.1, reported: None }),
                _ => {
                    let outcome = if gap % 2 == 0 { Outcome::Ok } else { Outcome::Reset };
                    let attempt = CompletedAttempt { server, class: 0, outcome, elapsed: gap, relative_size: 1.0 };
                    if history.timeline(server).is_some() {
                        attempts[id as usize] += 1;
                    }
                    history.record_attempt(now, (now / (60 * S) % 1_440) as u16, &attempt);
                }
            }
            let _ = history.poll_anomalies(now);
            prop_assert!(history.known_endpoints().count() <= 3);
        }
        for id in history.known_endpoints().map(|known| known.server).collect::<Vec<_>>() {
            let timeline = history.timeline(id).expect("it is there");
            for (width, most) in [(S, 121), (10 * S, 91), (60 * S, 121), (1_800 * S, 97)] {
                let intervals: Vec<_> = timeline.intervals(width).collect();
                prop_assert!(intervals.len() <= most);
                prop_assert!(intervals.windows(2).all(|pair| pair[0].start < pair[1].start));
                prop_assert!(intervals.iter().all(|interval| interval.start % width == 0 && interval.start <= now));
            }
            let events: Vec<_> = timeline.events().collect();
            prop_assert!(events.len() <= 64);
            prop_assert!(events.windows(2).all(|pair| pair[0].last_at <= pair[1].first_at));
            let recorded: u64 = timeline.intervals(1_800 * S).map(|interval| u64::from(interval.attempts())).sum();
            prop_assert!(recorded <= attempts[id.0 as usize]);
        }
    }
}

#[test]
fn every_resolution_holds_the_same_attempts() {
    let mut history = EndpointHistory::new(Settings::default());
    history.endpoint_listed(0, ServerId(1), ListedEndpoint::default());
    for n in 0..6_000u64 {
        let outcome = if n % 10 == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let attempt = CompletedAttempt {
            server: ServerId(1),
            class: 0,
            outcome,
            elapsed: 1_000 + n,
            relative_size: 1.0,
        };
        history.record_attempt(n * 20_000, 0, &attempt);
    }
    // 120 s in all: each resolution reaches back that far. The current interval is not yet in the wider ones.
    history.record_gauges(3_600 * S, ServerId(1), EndpointGauges::default());
    let timeline = history.timeline(ServerId(1)).expect("it is there");
    for width in [10 * S, 60 * S, 1_800 * S] {
        let intervals: Vec<_> = timeline.intervals(width).collect();
        assert_eq!(
            intervals
                .iter()
                .map(|interval| interval.attempts())
                .sum::<u32>(),
            if width == 10 * S { 0 } else { 6_000 }
        );
        assert_eq!(
            intervals
                .iter()
                .map(|s| s.ended(Outcome::Reset))
                .sum::<u32>(),
            if width == 10 * S { 0 } else { 600 }
        );
    }
    let minute = timeline.intervals(60 * S).next().expect("the first minute");
    let median = minute
        .latencies
        .as_ref()
        .and_then(|latency| latency.quantile(0.5))
        .expect("it has latencies");
    assert!((2_000..3_200).contains(&median), "{median}");
}

#[test]
fn the_memory_of_an_endpoint_is_bounded() {
    let bytes = EndpointHistory::max_bytes_per_endpoint();
    assert!(bytes < 150_000, "{bytes} bytes");
}

#[test]
fn events_beyond_the_limit_drop_the_oldest() {
    let mut history = EndpointHistory::new(Settings::default());
    history.endpoint_listed(0, ServerId(1), ListedEndpoint::default());
    for second in 1..=1_000 {
        let what = if second % 2 == 0 {
            EndpointEvent::Ready
        } else {
            EndpointEvent::Draining
        };
        history.record_event(second * S, ServerId(1), what);
    }
    let events: Vec<_> = history
        .timeline(ServerId(1))
        .expect("it is there")
        .events()
        .collect();
    assert_eq!(
        (events.len(), events[63].first_at, events[0].first_at),
        (64, 1_000 * S, 937 * S)
    );
}

/// Records an attempt a second for three hours, so that every resolution is in use. One in four is reset.
fn record_three_hours(history: &mut EndpointHistory, server: ServerId) {
    for n in 0..10_800u64 {
        let outcome = if n % 4 == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let attempt = CompletedAttempt {
            server,
            class: 0,
            outcome,
            elapsed: 20_000,
            relative_size: 1.0,
        };
        history.record_attempt(n * S, 0, &attempt);
    }
}

/// The finest entries hold each attempt once, however old it is, and a recording of them is valid.
#[test]
fn the_finest_entries_of_a_timeline_hold_each_attempt_once() {
    let mut history = EndpointHistory::new(Settings::default());
    history.endpoint_listed(0, ServerId(1), ListedEndpoint::default());
    record_three_hours(&mut history, ServerId(1));
    let timeline = history.timeline(ServerId(1)).expect("it is there");
    let entries = timeline.finest_entries();
    let ends = |entry: &TimelineEntry| (entry.interval.start, entry.interval.start + entry.width);
    assert!(
        entries
            .windows(2)
            .all(|pair| ends(&pair[0]).1 <= ends(&pair[1]).0),
        "one lies over another"
    );
    assert_eq!(
        entries
            .iter()
            .map(|entry| entry.interval.attempts())
            .sum::<u32>(),
        10_800
    );
    let recording = Recording::of("s-one", timeline);
    assert_eq!(recording.validate(), Ok(()));
    assert_eq!(
        recording.intervals.iter().map(|m| m.attempts).sum::<u64>(),
        10_800
    );
    assert!(
        recording
            .intervals
            .iter()
            .all(|m| (0.2..=0.3).contains(&m.lost_share) || m.duration_ms == 1_000)
    );
    let mut invalid = recording.clone();
    invalid.intervals[1].start_ms = 0;
    assert!(
        invalid
            .validate()
            .is_err_and(|error| error.to_string().contains("moments[1].from_ms")),
        "{:?}",
        invalid.validate()
    );
    invalid = recording.clone();
    invalid.intervals[0].lost_share = f64::NAN;
    assert!(
        invalid
            .validate()
            .is_err_and(|error| error.to_string().contains("moments[0].lost"))
    );
}

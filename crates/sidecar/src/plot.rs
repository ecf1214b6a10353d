//! SVG plots of a server's history, drawn from its JSON object in the admin view.

use maud::{Markup, PreEscaped, html};
use serde_json::Value;

/// The width of the image in pixels.
const WIDTH: f64 = 900.0;
/// The left edge of the charts in pixels.
const CHART_LEFT: f64 = 64.0;
/// The right edge of the charts in pixels.
const CHART_RIGHT: f64 = 884.0;
/// The height of a chart in pixels.
const CHART_HEIGHT: f64 = 150.0;
/// The vertical space between charts in pixels.
const GAP: f64 = 34.0;
/// The maximum number of event lines; a history keeps no more notes.
const MAX_NOTES: usize = 64;

const SERVED: &str = "#4c78a8";
const LOST: &str = "#d1495b";
const REFUSED: &str = "#edae49";
const GREY: &str = "#777";

/// The plotted values of one interval; times in seconds, rates per second.
struct Point {
    from: f64,
    to: f64,
    served: f64,
    lost: f64,
    refused: f64,
    /// The median latency in milliseconds.
    median: Option<f64>,
    /// The 99th percentile of latency in milliseconds.
    p99: Option<f64>,
    out: f64,
    region: f64,
    reported: Option<f64>,
    turned_away: f64,
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn points(history: &Value, from: f64) -> Vec<Point> {
    let steps = history["steps"].as_array().map_or(&[][..], Vec::as_slice);
    let point = |step: &Value| {
        let (at, width) = (
            number(&step["from_us"]) / 1e6,
            number(&step["width_us"]) / 1e6,
        );
        let rate =
            |names: &[&str]| names.iter().map(|n| number(&step[n])).sum::<f64>() / width.max(1e-6);
        let mean = step["mean_us"].as_f64().map(|us| us / 1e3);
        Point {
            from: at,
            to: at + width,
            served: rate(&["served"]),
            lost: rate(&["error", "timeout", "reset"]),
            refused: rate(&["full", "connect_failed"]),
            // For intervals of one second only the mean is recorded.
            median: step["p50_us"].as_f64().map(|us| us / 1e3).or(mean),
            p99: step["p99_us"].as_f64().map(|us| us / 1e3),
            out: number(&step["most_out"]),
            region: 100.0 * number(&step["region"]),
            reported: step["reported"]["held"].as_f64(),
            turned_away: rate(&["turned_away"]),
        }
    };
    steps
        .iter()
        .map(point)
        .filter(|point| point.to > from)
        .collect()
}

/// A chart with the ranges of its axes.
struct Chart {
    top: f64,
    times: (f64, f64),
    values: (f64, f64),
    logarithmic: bool,
}

impl Chart {
    fn x(&self, time: f64) -> f64 {
        let (from, to) = self.times;
        let fraction = ((time - from) / (to - from).max(1e-9)).clamp(0.0, 1.0);
        CHART_LEFT + fraction * (CHART_RIGHT - CHART_LEFT)
    }

    fn y(&self, value: f64) -> f64 {
        let scale = |value: f64| {
            if self.logarithmic {
                value.max(1e-6).ln()
            } else {
                value
            }
        };
        let (from, to) = (scale(self.values.0), scale(self.values.1));
        let fraction = ((scale(value) - from) / (to - from).max(1e-9)).clamp(0.0, 1.0);
        self.top + CHART_HEIGHT * (1.0 - fraction)
    }

    /// A line through the midpoints of the intervals; interrupted where there is no value.
    fn line(
        &self,
        points: &[Point],
        value: impl Fn(&Point) -> Option<f64>,
        colour: &str,
    ) -> Markup {
        let mut path = String::new();
        let mut last: Option<f64> = None;
        for point in points {
            let Some(value) = value(point) else {
                last = None;
                continue;
            };
            // A gap longer than two intervals interrupts the line: nothing happened in it.
            let joined = last.is_some_and(|end| point.from - end <= 2.0 * (point.to - point.from));
            let (x, y) = (self.x((point.from + point.to) / 2.0), self.y(value));
            path += &format!("{}{x:.1} {y:.1}", if joined { "L" } else { "M" });
            if !joined {
                // Makes an isolated point visible.
                path += "h1";
            }
            last = Some(point.to);
        }
        html! { path d=(path) fill="none" stroke=(colour) stroke-width="1.5" {} }
    }

    /// Bars from one value to another.
    fn bars(&self, points: &[Point], span: impl Fn(&Point) -> (f64, f64), colour: &str) -> Markup {
        let mut path = String::new();
        for point in points {
            let (low, high) = span(point);
            if high > low {
                let (left, right) = (
                    self.x(point.from),
                    self.x(point.to).max(self.x(point.from) + 0.7),
                );
                path += &format!(
                    "M{left:.1} {:.1}H{right:.1}V{:.1}H{left:.1}Z",
                    self.y(low),
                    self.y(high)
                );
            }
        }
        html! { path d=(path) fill=(colour) {} }
    }

    fn frame(&self, title: &str, legend: &[(&str, &str)], unit: &str) -> Markup {
        let (low, high) = self.values;
        let ticks: Vec<f64> = if self.logarithmic {
            let decades = (low.log10().floor() as i32)..=(high.log10().ceil() as i32);
            decades
                .map(|power| 10f64.powi(power))
                .filter(|tick| (low..=high).contains(tick))
                .collect()
        } else {
            [low, (low + high) / 2.0, high].to_vec()
        };
        html! {
            text x=(CHART_LEFT) y=(self.top - 6.0) font-weight="bold" { (title) }
            @for (at, (name, colour)) in legend.iter().enumerate() {
                @let x = CHART_LEFT + 230.0 + 150.0 * at as f64;
                rect x=(x) y=(self.top - 15.0) width="10" height="10" fill=(colour) {}
                text x=(x + 14.0) y=(self.top - 6.0) { (name) }
            }
            rect x=(CHART_LEFT) y=(self.top) width=(CHART_RIGHT - CHART_LEFT) height=(CHART_HEIGHT) fill="none" stroke="#ccc" {}
            @for tick in ticks {
                @let y = self.y(tick);
                line x1=(CHART_LEFT) x2=(CHART_RIGHT) y1=(y) y2=(y) stroke="#eee" {}
                text x=(CHART_LEFT - 6.0) y=(y + 4.0) text-anchor="end" fill=(GREY) { (short(tick)) (unit) }
            }
        }
    }
}

fn short(value: f64) -> String {
    match value {
        v if v >= 10_000.0 => format!("{:.0}k", v / 1e3),
        v if v >= 10.0 || v == 0.0 => format!("{v:.0}"),
        v if v >= 1.0 => format!("{v:.1}"),
        v => format!("{v:.2}"),
    }
}

/// A duration in seconds as text.
pub(super) fn ago(seconds: f64) -> String {
    match seconds {
        s if s < 120.0 => format!("{s:.0} s"),
        s if s < 7_200.0 => format!("{:.0} min", s / 60.0),
        s if s < 172_800.0 => format!("{:.1} h", s / 3_600.0),
        s => format!("{:.1} d", s / 86_400.0),
    }
}

/// Plots a server's history over the last `span` seconds: attempts by outcome, latency, requests in flight, share of new
/// requests, and the events. `history` is the server's JSON object in the admin view.
pub(super) fn svg(history: &Value, span: f64) -> Markup {
    let now = number(&history["now_us"]) / 1e6;
    let points = points(history, now - span);
    let first = points.first().map_or(now - 1.0, |point| point.from);
    let times = (first.max(now - span).min(now - 1.0), now);
    let maximum = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).fold(0.0, f64::max);
    let chart = |index: usize, values: (f64, f64), logarithmic: bool| Chart {
        top: GAP + index as f64 * (CHART_HEIGHT + GAP),
        times,
        values,
        logarithmic,
    };
    let rates = chart(
        0,
        (0.0, maximum(&|p| p.served + p.lost + p.refused).max(0.1)),
        false,
    );
    let longest = maximum(&|p| p.p99.or(p.median).unwrap_or(0.0)).max(1.0);
    let shortest = points
        .iter()
        .filter_map(|p| p.median)
        .fold(longest, f64::min)
        .max(0.05);
    let latency = chart(1, (shortest / 2.0, longest * 1.2), true);
    let in_flight = chart(
        2,
        (
            0.0,
            maximum(&|p| p.out.max(p.reported.unwrap_or(0.0))).max(1.0),
        ),
        false,
    );
    let region = chart(3, (0.0, maximum(&|p| p.region).max(1.0)), false);
    let charts = [&rates, &latency, &in_flight, &region];
    let bottom = region.top + CHART_HEIGHT;
    let height = bottom + GAP;
    let marks = marks(history, times);
    let title = format!("{} of {}", text(&history["name"]), text(&history["pool"]));
    html! {
        svg xmlns="http://www.w3.org/2000/svg" viewBox=(format!("0 0 {WIDTH} {height}")) width=(WIDTH) height=(height)
            font-family="sans-serif" font-size="12" role="img" {
            title { (title) }
            rect width=(WIDTH) height=(height) fill="white" {}
            @for chart in charts {
                @for (from, to, label) in &marks.anomalies {
                    @let (left, right) = (chart.x(*from), chart.x(*to));
                    rect x=(left) y=(chart.top) width=((right - left).max(1.0)) height=(CHART_HEIGHT) fill="#d1495b22" {
                        title { (label) }
                    }
                }
            }
            (rates.frame("attempts a second", &[("served", SERVED), ("lost", LOST), ("refused", REFUSED), ("turned away", "#222")], ""))
            (rates.bars(&points, |p| (0.0, p.served), SERVED))
            (rates.bars(&points, |p| (p.served, p.served + p.lost), LOST))
            (rates.bars(&points, |p| (p.served + p.lost, p.served + p.lost + p.refused), REFUSED))
            (rates.line(&points, |p| Some(p.turned_away).filter(|n| *n > 0.0), "#222"))
            (latency.frame("time of what was served", &[("half within", SERVED), ("99% within", LOST)], " ms"))
            (latency.line(&points, |p| p.median, SERVED))
            (latency.line(&points, |p| p.p99, LOST))
            (in_flight.frame("requests there", &[("of this instance, at most", SERVED), ("", "white"), ("as it reports", REFUSED)], ""))
            (in_flight.line(&points, |p| Some(p.out), SERVED))
            (in_flight.line(&points, |p| p.reported, REFUSED))
            (region.frame("share of new requests", &[], "%"))
            (region.line(&points, |p| Some(p.region), SERVED))
            @for (at, event, label) in &marks.notes {
                @let x = region.x(*at);
                line x1=(x) x2=(x) y1=(rates.top) y2=(bottom) stroke=(colour(event)) stroke-dasharray="3 3" {
                    title { (label) }
                }
            }
            @for part in 0..=4 {
                @let time = times.0 + f64::from(part) / 4.0 * (times.1 - times.0);
                @let anchor = if part == 0 { "start" } else if part == 4 { "end" } else { "middle" };
                text x=(region.x(time)) y=(bottom + 16.0) text-anchor=(anchor) fill=(GREY) {
                    @if part == 4 { "now" } @else { (ago(times.1 - time)) " ago" }
                }
            }
        }
    }
}

fn colour(event: &str) -> &'static str {
    match event {
        "ejected" | "raised" => LOST,
        "restored" | "cleared" | "ready" => "#3a7d44",
        _ => GREY,
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

/// The anomalies and events within the plotted time.
struct Marks {
    /// Start and end in seconds, and text.
    anomalies: Vec<(f64, f64, String)>,
    /// Time in seconds, event name and text.
    notes: Vec<(f64, String, String)>,
}

fn marks(history: &Value, (from, to): (f64, f64)) -> Marks {
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let notes = list(&history["notes"]);
    let notes = notes.iter().map(|note| {
        let at = number(&note["at_us"]) / 1e6;
        (
            at,
            text(&note["event"]).to_string(),
            text(&note["text"]).to_string(),
        )
    });
    let notes: Vec<_> = notes
        .filter(|(at, ..)| (from..=to).contains(at))
        .take(MAX_NOTES)
        .collect();
    let anomalies = list(&history["departures"]);
    let anomalies = anomalies.iter().map(|anomaly| {
        let start = number(&anomaly["departure"]["began"]) / 1e6;
        (
            start.clamp(from, to),
            to,
            text(&anomaly["text"]).to_string(),
        )
    });
    Marks {
        anomalies: anomalies.collect(),
        notes,
    }
}

/// The plot as a complete SVG file.
pub(super) fn file(history: &Value, span: f64) -> String {
    html! { (PreEscaped("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n")) (svg(history, span)) }
        .into_string()
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// Guards against injection: names are external input and must not become markup of the drawing.
    #[test]
    fn a_plot_contains_no_markup_from_names_and_only_finite_numbers() {
        let steps: Vec<Value> = (0..50)
            .map(|n| json!({"from_us": n * 1_000_000u64, "width_us": 1_000_000, "served": n, "reset": n % 3, "mean_us": 0}))
            .collect();
        let history = json!({
            "name": "<script>alert(1)</script>", "pool": "\"><b>", "now_us": 50_000_000u64, "steps": steps,
            "notes": [{"at_us": 10_000_000, "event": "ejected", "text": "</svg><script>"}],
            "departures": [{"departure": {"began": 0}, "text": "<i>"}],
        });
        let drawn = file(&history, 900.0);
        let parsed = roxmltree::Document::parse(&drawn).expect("it is XML");
        let all = parsed
            .root_element()
            .children()
            .filter(|node| node.is_element())
            .count();
        assert!(all > 40, "{all} elements beside each other");
        for drawn in [file(&history, 900.0), file(&json!({}), 900.0)] {
            assert!(
                !drawn.contains("<script") && !drawn.contains("<b>") && !drawn.contains("<i>"),
                "{drawn}"
            );
            assert!(!drawn.contains("NaN") && !drawn.contains("inf"), "{drawn}");
            // Every element must be closed, or a browser shows nothing.
            let parsed = roxmltree::Document::parse(&drawn).expect("it is XML");
            assert_eq!(parsed.root_element().tag_name().name(), "svg");
        }
    }
}

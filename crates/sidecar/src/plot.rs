//! Plots of a server's story as SVG, drawn from what the admin view tells of it.

use maud::{Markup, PreEscaped, html};
use serde_json::Value;

/// The size of a plot, and where in it the field lies, in pixels.
const WIDTH: f64 = 900.0;
const FIELD: (f64, f64) = (64.0, 884.0);
const HEIGHT: f64 = 150.0;
const GAP: f64 = 34.0;
/// Lines of one kind that are marked at most: a story has no more notes.
const MARKS: usize = 64;

const SERVED: &str = "#4c78a8";
const LOST: &str = "#d1495b";
const REFUSED: &str = "#edae49";
const GREY: &str = "#777";

/// What is plotted of a step, in the order of time.
struct Point {
    from: f64,
    to: f64,
    served: f64,
    lost: f64,
    refused: f64,
    /// In milliseconds.
    middle: Option<f64>,
    high: Option<f64>,
    out: f64,
    region: f64,
    reported: Option<f64>,
    turned_away: f64,
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn points(story: &Value, from: f64) -> Vec<Point> {
    let steps = story["steps"].as_array().map_or(&[][..], Vec::as_slice);
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
            // Of a single second the mean alone is kept.
            middle: step["p50_us"].as_f64().map(|us| us / 1e3).or(mean),
            high: step["p99_us"].as_f64().map(|us| us / 1e3),
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

/// A field with its axes: from a time to a time, from a value to a value.
struct Field {
    top: f64,
    times: (f64, f64),
    values: (f64, f64),
    by_logarithm: bool,
}

impl Field {
    fn x(&self, time: f64) -> f64 {
        let (from, to) = self.times;
        let part = ((time - from) / (to - from).max(1e-9)).clamp(0.0, 1.0);
        FIELD.0 + part * (FIELD.1 - FIELD.0)
    }

    fn y(&self, value: f64) -> f64 {
        let scale = |value: f64| {
            if self.by_logarithm {
                value.max(1e-6).ln()
            } else {
                value
            }
        };
        let (from, to) = (scale(self.values.0), scale(self.values.1));
        let part = ((scale(value) - from) / (to - from).max(1e-9)).clamp(0.0, 1.0);
        self.top + HEIGHT * (1.0 - part)
    }

    /// A line through the middles of steps; broken where nothing is known.
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
            // A gap as long as two steps is one in which nothing happened.
            let joined = last.is_some_and(|end| point.from - end <= 2.0 * (point.to - point.from));
            let (x, y) = (self.x((point.from + point.to) / 2.0), self.y(value));
            path += &format!("{}{x:.1} {y:.1}", if joined { "L" } else { "M" });
            if !joined {
                // What stands alone is still to be seen.
                path += "h1";
            }
            last = Some(point.to);
        }
        html! { path d=(path) fill="none" stroke=(colour) stroke-width="1.5" {} }
    }

    /// Bars from one height to another.
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
        let ticks: Vec<f64> = if self.by_logarithm {
            let decades = (low.log10().floor() as i32)..=(high.log10().ceil() as i32);
            decades
                .map(|power| 10f64.powi(power))
                .filter(|tick| (low..=high).contains(tick))
                .collect()
        } else {
            [low, (low + high) / 2.0, high].to_vec()
        };
        html! {
            text x=(FIELD.0) y=(self.top - 6.0) font-weight="bold" { (title) }
            @for (at, (name, colour)) in legend.iter().enumerate() {
                @let x = FIELD.0 + 230.0 + 150.0 * at as f64;
                rect x=(x) y=(self.top - 15.0) width="10" height="10" fill=(colour) {}
                text x=(x + 14.0) y=(self.top - 6.0) { (name) }
            }
            rect x=(FIELD.0) y=(self.top) width=(FIELD.1 - FIELD.0) height=(HEIGHT) fill="none" stroke="#ccc" {}
            @for tick in ticks {
                @let y = self.y(tick);
                line x1=(FIELD.0) x2=(FIELD.1) y1=(y) y2=(y) stroke="#eee" {}
                text x=(FIELD.0 - 6.0) y=(y + 4.0) text-anchor="end" fill=(GREY) { (short(tick)) (unit) }
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

/// A span of time in words.
pub(super) fn ago(seconds: f64) -> String {
    match seconds {
        s if s < 120.0 => format!("{s:.0} s"),
        s if s < 7_200.0 => format!("{:.0} min", s / 60.0),
        s if s < 172_800.0 => format!("{:.1} h", s / 3_600.0),
        s => format!("{:.1} d", s / 86_400.0),
    }
}

/// A server's story over the last `span` seconds: what it answered, how long that took, how much it had, and when the
/// sidecar did something about it. `story` is what the admin view tells of it.
pub(super) fn svg(story: &Value, span: f64) -> Markup {
    let now = number(&story["now_us"]) / 1e6;
    let points = points(story, now - span);
    let began = points.first().map_or(now - 1.0, |point| point.from);
    let times = (began.max(now - span).min(now - 1.0), now);
    let most = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).fold(0.0, f64::max);
    let field = |at: usize, values: (f64, f64), by_logarithm: bool| Field {
        top: GAP + at as f64 * (HEIGHT + GAP),
        times,
        values,
        by_logarithm,
    };
    let rates = field(
        0,
        (0.0, most(&|p| p.served + p.lost + p.refused).max(0.1)),
        false,
    );
    let longest = most(&|p| p.high.or(p.middle).unwrap_or(0.0)).max(1.0);
    let shortest = points
        .iter()
        .filter_map(|p| p.middle)
        .fold(longest, f64::min)
        .max(0.05);
    let latency = field(1, (shortest / 2.0, longest * 1.2), true);
    let held = field(
        2,
        (
            0.0,
            most(&|p| p.out.max(p.reported.unwrap_or(0.0))).max(1.0),
        ),
        false,
    );
    let region = field(3, (0.0, most(&|p| p.region).max(1.0)), false);
    let fields = [&rates, &latency, &held, &region];
    let bottom = region.top + HEIGHT;
    let height = bottom + GAP;
    let marks = marks(story, times);
    let title = format!("{} of {}", text(&story["name"]), text(&story["pool"]));
    html! {
        svg xmlns="http://www.w3.org/2000/svg" viewBox=(format!("0 0 {WIDTH} {height}")) width=(WIDTH) height=(height)
            font-family="sans-serif" font-size="12" role="img" {
            title { (title) }
            rect width=(WIDTH) height=(height) fill="white" {}
            @for field in fields {
                @for (from, to, told) in &marks.departures {
                    @let (left, right) = (field.x(*from), field.x(*to));
                    rect x=(left) y=(field.top) width=((right - left).max(1.0)) height=(HEIGHT) fill="#d1495b22" {
                        title { (told) }
                    }
                }
            }
            (rates.frame("attempts a second", &[("served", SERVED), ("lost", LOST), ("refused", REFUSED), ("turned away", "#222")], ""))
            (rates.bars(&points, |p| (0.0, p.served), SERVED))
            (rates.bars(&points, |p| (p.served, p.served + p.lost), LOST))
            (rates.bars(&points, |p| (p.served + p.lost, p.served + p.lost + p.refused), REFUSED))
            (rates.line(&points, |p| Some(p.turned_away).filter(|n| *n > 0.0), "#222"))
            (latency.frame("time of what was served", &[("half within", SERVED), ("99% within", LOST)], " ms"))
            (latency.line(&points, |p| p.middle, SERVED))
            (latency.line(&points, |p| p.high, LOST))
            (held.frame("requests there", &[("of this instance, at most", SERVED), ("", "white"), ("as it reports", REFUSED)], ""))
            (held.line(&points, |p| Some(p.out), SERVED))
            (held.line(&points, |p| p.reported, REFUSED))
            (region.frame("share of new requests", &[], "%"))
            (region.line(&points, |p| Some(p.region), SERVED))
            @for (at, event, told) in &marks.notes {
                @let x = region.x(*at);
                line x1=(x) x2=(x) y1=(rates.top) y2=(bottom) stroke=(colour(event)) stroke-dasharray="3 3" {
                    title { (told) }
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

/// What happened within the time that is plotted.
struct Marks {
    /// From, to, what is told of it.
    departures: Vec<(f64, f64, String)>,
    /// When, what, what is told of it.
    notes: Vec<(f64, String, String)>,
}

fn marks(story: &Value, (from, to): (f64, f64)) -> Marks {
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let notes = list(&story["notes"]);
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
        .take(MARKS)
        .collect();
    let departures = list(&story["departures"]);
    let departures = departures.iter().map(|told| {
        let began = number(&told["departure"]["began"]) / 1e6;
        (began.clamp(from, to), to, text(&told["text"]).to_string())
    });
    Marks {
        departures: departures.collect(),
        notes,
    }
}

/// A plot as a file of its own.
pub(super) fn file(story: &Value, span: f64) -> String {
    html! { (PreEscaped("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n")) (svg(story, span)) }
        .into_string()
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// Names come from outside: none of them becomes a part of the drawing.
    #[test]
    fn a_plot_holds_no_markup_of_others_and_only_finite_numbers() {
        let steps: Vec<Value> = (0..50)
            .map(|n| json!({"from_us": n * 1_000_000u64, "width_us": 1_000_000, "served": n, "reset": n % 3, "mean_us": 0}))
            .collect();
        let story = json!({
            "name": "<script>alert(1)</script>", "pool": "\"><b>", "now_us": 50_000_000u64, "steps": steps,
            "notes": [{"at_us": 10_000_000, "event": "ejected", "text": "</svg><script>"}],
            "departures": [{"departure": {"began": 0}, "text": "<i>"}],
        });
        let drawn = file(&story, 900.0);
        let parsed = roxmltree::Document::parse(&drawn).expect("it is XML");
        let all = parsed
            .root_element()
            .children()
            .filter(|node| node.is_element())
            .count();
        assert!(all > 40, "{all} elements beside each other");
        for drawn in [file(&story, 900.0), file(&json!({}), 900.0)] {
            assert!(
                !drawn.contains("<script") && !drawn.contains("<b>") && !drawn.contains("<i>"),
                "{drawn}"
            );
            assert!(!drawn.contains("NaN") && !drawn.contains("inf"), "{drawn}");
            // Each element is closed by its own end, or a reader sees nothing.
            let parsed = roxmltree::Document::parse(&drawn).expect("it is XML");
            assert_eq!(parsed.root_element().tag_name().name(), "svg");
        }
    }
}

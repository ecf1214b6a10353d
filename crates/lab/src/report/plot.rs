//! Plots as SVG, drawn by `plotters` in colours that stand for roles: the page's style gives each its true colour, in
//! light and in dark.

use plotters::coord::combinators::BindKeyPoints;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::*;

/// Colours of series; further series begin anew.
pub const COLOURS: usize = 8;
/// Steps of a heat map's colour.
pub const HEATS: u8 = 10;

const WIDTH: u32 = 1120;
const INK: RGBColor = RGBColor(1, 0, 0);
const GRID: RGBColor = RGBColor(1, 0, 1);
const BAND: RGBColor = RGBColor(1, 0, 2);

fn of_series(number: usize) -> RGBColor {
    RGBColor(2, 0, (number % COLOURS) as u8)
}

fn of_heat(part: f64) -> RGBColor {
    RGBColor(
        3,
        0,
        (part.clamp(0.0, 1.0) * f64::from(HEATS)).round() as u8,
    )
}

/// The rules that give the colours of roles their true ones.
pub fn style() -> String {
    let rule = |colour: RGBColor, value: &str| {
        let RGBColor(r, g, b) = colour;
        let code = format!("#{r:02X}{g:02X}{b:02X}");
        format!("[fill=\"{code}\"]{{fill:{value}}}[stroke=\"{code}\"]{{stroke:{value}}}")
    };
    let mut style =
        rule(INK, "var(--ink)") + &rule(GRID, "var(--grid)") + &rule(BAND, "var(--band)");
    for number in 0..COLOURS {
        style += &rule(of_series(number), &format!("var(--s{number})"));
    }
    for heat in 0..=HEATS {
        let RGBColor(r, g, b) = of_heat(f64::from(heat) / f64::from(HEATS));
        let opacity = f64::from(heat) / f64::from(HEATS);
        style += &format!(
            "[fill=\"#{r:02X}{g:02X}{b:02X}\"]{{fill:var(--heat);fill-opacity:{opacity}}}"
        );
    }
    style
}

/// A line of a chart.
pub struct Line {
    /// Which colour it has.
    pub colour: usize,
    /// Drawn thicker.
    pub bold: bool,
    /// Its stretches of points.
    pub stretches: Vec<Vec<(f64, f64)>>,
}

/// Lines over a common axis, with bands behind them.
pub struct Chart<'c> {
    /// What the axes show, with units.
    pub x: &'c str,
    /// See `x`.
    pub y: &'c str,
    /// Where the axes begin and end.
    pub across: (f64, f64),
    /// See `across`.
    pub up: (f64, f64),
    /// Whether the axis upward is logarithmic; it then must begin above 0.
    pub log: bool,
    /// Bands, from and to.
    pub bands: &'c [(f64, f64)],
    /// The lines.
    pub lines: Vec<Line>,
    /// Words in place of the numbers 0, 1, 2 ... across.
    pub words: Option<Vec<String>>,
    /// Points without lines between them.
    pub dots: bool,
}

impl Chart<'_> {
    /// The chart as SVG with a title for those who can't see it.
    ///
    /// # Errors
    /// The library can't draw it.
    pub fn draw(&self, title: &str) -> Result<String, String> {
        let (low, high) = sound(self.up);
        if self.log {
            let (low, high) = (low.max(1e-6), high.max(low.max(1e-6) * 1.01));
            self.on(
                title,
                (low..high).log_scale().with_key_points(decades(low, high)),
            )
        } else {
            self.on(title, low..high)
        }
    }

    fn on<Y>(&self, title: &str, up: Y) -> Result<String, String>
    where
        Y: AsRangedCoord<Value = f64>,
        Y::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
    {
        drawn(title, 300, |area| {
            let across = sound(self.across);
            let floor = sound(self.up);
            let mut chart = ChartBuilder::on(area)
                .margin(8)
                .x_label_area_size(44)
                .y_label_area_size(64)
                .build_cartesian_2d(across.0..across.1, up)
                .map_err(told)?;
            let bands = self.bands.iter().map(|(from, to)| {
                Rectangle::new(
                    [(from.max(across.0), floor.0), (to.min(across.1), floor.1)],
                    BAND.filled(),
                )
            });
            chart.draw_series(bands).map_err(told)?;
            let word = |x: &f64| match &self.words {
                Some(words) if x.fract().abs() < 1e-6 && *x >= 0.0 => {
                    words.get(*x as usize).cloned().unwrap_or_default()
                }
                Some(_) => String::new(),
                None => plain(*x),
            };
            chart
                .configure_mesh()
                .x_desc(self.x)
                .y_desc(self.y)
                .x_labels(self.words.as_ref().map_or(12, |words| 2 * words.len() + 1))
                .y_labels(if self.log { MARKS } else { 10 })
                .x_label_formatter(&word)
                .y_label_formatter(&|y| plain(*y))
                .axis_style(INK.stroke_width(1))
                .bold_line_style(GRID.stroke_width(1))
                .light_line_style(TRANSPARENT)
                .label_style(("sans-serif", 13).into_font().color(&INK))
                .axis_desc_style(("sans-serif", 14).into_font().color(&INK))
                .draw()
                .map_err(told)?;
            for line in &self.lines {
                let colour = of_series(line.colour);
                let width = if line.bold { 3 } else { 2 };
                for points in &line.stretches {
                    let alone = points.len() == 1 || self.dots;
                    if alone {
                        let dots = points
                            .iter()
                            .map(|point| Circle::new(*point, 4, colour.filled()));
                        chart.draw_series(dots).map_err(told)?;
                    } else {
                        let line =
                            LineSeries::new(points.iter().copied(), colour.stroke_width(width));
                        chart.draw_series(line).map_err(told)?;
                    }
                }
            }
            Ok(())
        })
    }
}

/// Rows of a heat map, from the top, each a name and a value of 0 to 1 for each step.
pub fn heat_map(title: &str, rows: &[(String, Vec<f64>)], until: f64) -> Result<String, String> {
    let count = rows.len().max(1);
    drawn(title, 64 + 18 * count as u32, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(44)
            .y_label_area_size(150)
            .build_cartesian_2d(0.0..until.max(1e-6), (0..count - 1).into_segmented())
            .map_err(told)?;
        let name = |row: &SegmentValue<usize>| match row {
            SegmentValue::CenterOf(row) | SegmentValue::Exact(row) => {
                // The axis goes up, the rows go down.
                count
                    .checked_sub(row + 1)
                    .and_then(|at| rows.get(at))
                    .map(|row| row.0.clone())
                    .unwrap_or_default()
            }
            SegmentValue::Last => String::new(),
        };
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("time [s]")
            .x_labels(12)
            .y_labels(count)
            .x_label_formatter(&|x| plain(*x))
            .y_label_formatter(&name)
            .axis_style(INK.stroke_width(1))
            .label_style(("sans-serif", 13).into_font().color(&INK))
            .axis_desc_style(("sans-serif", 14).into_font().color(&INK))
            .draw()
            .map_err(told)?;
        for (at, (_, values)) in rows.iter().enumerate() {
            let row = count - 1 - at;
            let step = until / values.len().max(1) as f64;
            let cells = values
                .iter()
                .enumerate()
                .filter(|(_, value)| **value > 0.0)
                .map(|(i, value)| {
                    let (from, to) = (i as f64 * step, (i + 1) as f64 * step);
                    let top = if row + 1 < count {
                        SegmentValue::Exact(row + 1)
                    } else {
                        SegmentValue::Last
                    };
                    Rectangle::new(
                        [(from, SegmentValue::Exact(row)), (to, top)],
                        of_heat(*value).filled(),
                    )
                });
            chart.draw_series(cells).map_err(told)?;
        }
        Ok(())
    })
}

/// Marks of an axis at most.
const MARKS: usize = 24;

/// Marks of a logarithmic axis: 1, 2, 5, 10, 20, 50 and so on.
fn decades(from: f64, to: f64) -> Vec<f64> {
    let first = from.log10().floor() as i32;
    let all =
        (first..=first + 12).flat_map(|decade| [1.0, 2.0, 5.0].map(|n| n * 10f64.powi(decade)));
    all.filter(|mark| (from..=to).contains(mark))
        .take(MARKS)
        .collect()
}

/// A number without digits that say nothing.
fn plain(value: f64) -> String {
    let text = if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    };
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_string()
    } else {
        text
    }
}

/// A range that has a beginning and an end.
fn sound((from, to): (f64, f64)) -> (f64, f64) {
    let from = if from.is_finite() { from } else { 0.0 };
    if to.is_finite() && to > from {
        (from, to)
    } else {
        (from, from + 1.0)
    }
}

fn told(problem: impl std::fmt::Display) -> String {
    format!("a plot: {problem}")
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn drawn(
    title: &str,
    height: u32,
    draw: impl FnOnce(&Area<'_>) -> Result<(), String>,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        draw(&area)?;
        area.present().map_err(told)?;
    }
    let label = title
        .replace('&', "&amp;")
        .replace('"', "&quot;")
        .replace('<', "&lt;");
    // Within a page the name space is known, and its address would only look like a resource from elsewhere.
    let svg = svg.replacen(" xmlns=\"http://www.w3.org/2000/svg\"", "", 1);
    Ok(svg.replacen(
        "<svg ",
        &format!("<svg role=\"img\" aria-label=\"{label}\" "),
        1,
    ))
}

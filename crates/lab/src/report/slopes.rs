//! One HTML page of the measured runs of a scale rig: a chart for each figure, its points and its line over instances.

use super::page::STYLE;
use super::plot::{self, Chart, Line as Drawn};
use crate::scale::figures::Figure;
use crate::scale::measured::Measured;
use maud::{DOCTYPE, PreEscaped, html};

/// The page of these runs. It needs nothing from elsewhere.
///
/// # Errors
/// A plot can't be drawn.
pub fn slopes(measured: &Measured) -> Result<String, String> {
    let series: Vec<&String> = measured.series.keys().collect();
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Scale - madderloom-lab" }
                style { (PreEscaped(STYLE)) (PreEscaped(plot::style())) }
            }
            body {
                h1 { "What many instances cost" }
                p.legend {
                    @for (number, name) in series.iter().enumerate() {
                        span { i style=(format!("background:var(--s{})", number % plot::COLOURS)) {} (name) }
                    }
                }
                @for figure in Figure::ALL {
                    @if let Some(svg) = chart(measured, &series, figure)? {
                        h2 { (figure.name()) }
                        figure { (PreEscaped(svg)) }
                    }
                }
            }
        }
    };
    Ok(markup.into_string())
}

/// The chart of a figure; none where nothing was measured of it.
fn chart(
    measured: &Measured,
    series: &[&String],
    figure: Figure,
) -> Result<Option<String>, String> {
    let mut lines = Vec::new();
    let (mut right, mut top) = (0.0f64, 0.0f64);
    for (colour, name) in series.iter().enumerate() {
        let points = measured.points(name, figure);
        right = points.iter().fold(right, |right, (x, _)| right.max(*x));
        top = points.iter().fold(top, |top, (_, y)| top.max(*y));
        // Each point alone, so that it is drawn as a dot.
        let mut stretches: Vec<Vec<(f64, f64)>> = points.iter().map(|point| vec![*point]).collect();
        if let Some(line) = measured.line(name, figure) {
            let end = points.iter().fold(0.0f64, |end, (x, _)| end.max(*x));
            stretches.push(vec![
                (0.0, line.at(0.0).value.max(0.0)),
                (end, line.at(end).value),
            ]);
        }
        lines.push(Drawn {
            colour,
            bold: false,
            stretches,
        });
    }
    if right <= 0.0 {
        return Ok(None);
    }
    let chart = Chart {
        x: "instances",
        y: figure.name(),
        across: (0.0, right * 1.05),
        up: (0.0, top * 1.1),
        log: false,
        bands: &[],
        lines,
        words: None,
        dots: false,
    };
    chart.draw(figure.name()).map(Some)
}

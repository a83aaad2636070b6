//! A comparison as one page that stands by itself: figures, and plots as SVG within it.

use crate::other::{Came, Compared};
use plotters::prelude::*;

const WAS: RGBColor = RGBColor(31, 119, 180);
const WOULD: RGBColor = RGBColor(214, 39, 40);

type Line = Vec<(f64, f64)>;

/// One plot of two lines over seconds; `most` is the upper end of its axis.
fn plot(title: &str, seconds: f64, most: f64, was: &Line, would: &Line) -> Result<String, String> {
    let told = |e: &dyn std::fmt::Display| e.to_string();
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, 280)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| told(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds.max(1.0), 0.0..most)
            .map_err(|e| told(&e))?;
        chart.configure_mesh().x_desc("seconds").draw().map_err(|e| told(&e))?;
        for (line, colour) in [(was, WAS), (would, WOULD)] {
            chart.draw_series(LineSeries::new(line.iter().copied(), &colour)).map_err(|e| told(&e))?;
        }
        area.present().map_err(|e| told(&e))?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn row(name: &str, came: &Came) -> String {
    let broken =
        if came.rules_broken.is_empty() { "kept".into() } else { escaped(&came.rules_broken.join("; ")) };
    format!(
        "<tr><td>{name}</td><td>{broken}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
        came.messages, came.lines, came.lines_waiting_most, came.refused
    )
}

/// The page, as HTML.
pub fn page(title: &str, c: &Compared) -> Result<String, String> {
    let was: Line = c.series.iter().map(|(at, was, _)| (*at, *was)).collect();
    let would: Line = c.series.iter().filter_map(|(at, _, would)| would.map(|w| (*at, w))).collect();
    let service =
        plot("service over time: tries answered within the soft limit", c.seconds, 1.02, &was, &would)?;
    let most = c.lines.last().map_or(1.0, |l| l.1.max(l.2).max(1.0) * 1.05);
    let (was, would): (Line, Line) = c.lines.iter().map(|l| ((l.0, l.1), (l.0, l.2))).unzip();
    let lines = plot("lines ordered so far", c.seconds, most, &was, &would)?;
    let s = &c.service;
    let would = match s.would {
        Some((value, low, high)) => format!("{value:.4} (90% from {low:.4} to {high:.4})"),
        None => "unknown: the record does not say".into(),
    };
    Ok(format!(
        "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>body{{font:15px \
         sans-serif;margin:2em;max-width:62em}}td,th{{padding:.2em .8em;text-align:left}}</style><h1>{title}</h1>\
         <p>Blue: as it was. Red: as it would be.</p><table><tr><th></th><th>rules</th><th>messages</th><th>lines</th>\
         <th>waiting at the most</th><th>refused</th></tr>{}{}</table><p>Service was {:.4}, would be {would}. Support \
         {:.3}; the estimate carries {:.0} of {:.0} s.</p>{service}{lines}</html>\n",
        row("as it was", &c.was),
        row("as it would be", &c.would),
        s.was,
        s.support,
        s.carries,
        c.seconds,
        title = escaped(title),
    ))
}

//! A comparison as one page that stands by itself: figures, and plots as SVG within it.

use crate::other::{Came, Compared};
use plotters::prelude::*;

const WAS: RGBColor = RGBColor(31, 119, 180);
const WOULD: RGBColor = RGBColor(214, 39, 40);

type Line = Vec<(f64, f64)>;

/// What one plot shows: two lines over seconds up to `most`, and a band (up to when, from, to) behind them.
struct Plot<'a> {
    title: &'a str,
    seconds: f64,
    most: f64,
    lines: [Line; 2],
    band: Option<(f64, f64, f64)>,
}

fn told(e: impl std::fmt::Display) -> String {
    e.to_string()
}

fn plot(p: &Plot) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, 280)).into_drawing_area();
        area.fill(&WHITE).map_err(told)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(p.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..p.seconds.max(1.0), 0.0..p.most)
            .map_err(told)?;
        chart.configure_mesh().x_desc("seconds").draw().map_err(told)?;
        if let Some((until, from, to)) = p.band {
            let band = Rectangle::new([(0.0, from), (until, to)], WOULD.mix(0.15).filled());
            chart.draw_series([band]).map_err(told)?;
        }
        for (line, colour) in p.lines.iter().zip([WAS, WOULD]) {
            chart.draw_series(LineSeries::new(line.iter().copied(), &colour)).map_err(told)?;
        }
        area.present().map_err(told)?;
    }
    Ok(svg)
}

/// Servers by their part of all tables at the end: a pair of bars each, at most so many that they can be told apart.
fn standings(all: &[(String, f64, f64)]) -> Result<String, String> {
    const SHOWN: usize = 60;
    // Those that differ most.
    let mut shown: Vec<&(String, f64, f64)> = all.iter().collect();
    shown.sort_by(|a, b| (b.1 - b.2).abs().total_cmp(&(a.1 - a.2).abs()));
    shown.truncate(SHOWN);
    shown.sort_by(|a, b| a.0.cmp(&b.0));
    let most = shown.iter().fold(0.001, |most: f64, s| most.max(s.1).max(s.2)) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, 280)).into_drawing_area();
        area.fill(&WHITE).map_err(told)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("servers' part of all tables at the end", ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..shown.len().max(1) as f64, 0.0..most)
            .map_err(told)?;
        let name = |x: &f64| shown.get(*x as usize).map_or(String::new(), |s| s.0.clone());
        let count = shown.len().min(25);
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().x_labels(count).x_label_formatter(&name).draw().map_err(told)?;
        let bar = |k: usize, from: f64, part: f64, colour: RGBColor| {
            Rectangle::new([(k as f64 + from, 0.0), (k as f64 + from + 0.4, part)], colour.filled())
        };
        let bars =
            shown.iter().enumerate().flat_map(|(k, s)| [bar(k, 0.1, s.1, WAS), bar(k, 0.5, s.2, WOULD)]);
        chart.draw_series(bars).map_err(told)?;
        area.present().map_err(told)?;
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
    let s = &c.service;
    let band = s.would.map(|(_, low, high)| (s.carries, low, high));
    let over = "service over time: queries answered within their soft limit, by payoff; the band: bars of the whole span";
    let service = Plot { title: over, seconds: c.seconds, most: 1.02, lines: [was, would], band };
    let sums = |title, all: &[(f64, f64, f64)]| {
        let most = all.last().map_or(1.0, |l| l.1.max(l.2).max(1.0) * 1.05);
        let lines = [all.iter().map(|l| (l.0, l.1)).collect(), all.iter().map(|l| (l.0, l.2)).collect()];
        plot(&Plot { title, seconds: c.seconds, most, lines, band: None })
    };
    let service = plot(&service)?;
    let lines = sums("lines ordered so far", &c.lines)?;
    let refused = sums("orders that the guard refused so far", &c.refused)?;
    let standings = standings(&c.standings)?;
    let would = match s.would {
        Some((value, low, high)) => format!("{value:.4} (95% of such days from {low:.4} to {high:.4})"),
        None => "unknown: the record does not say".into(),
    };
    Ok(format!(
        "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>body{{font:15px \
         sans-serif;margin:2em;max-width:62em}}td,th{{padding:.2em .8em;text-align:left}}</style><h1>{title}</h1>\
         <p>Blue: as it was. Red: as it would be.</p><table><tr><th></th><th>rules</th><th>messages</th><th>lines</th>\
         <th>waiting at the most</th><th>refused</th></tr>{}{}</table><p>Service was {:.4}, would be {would}. Support \
         {:.3}; the estimate carries {:.0} of {:.0} s.</p>{service}{standings}{lines}{refused}</html>\n",
        row("as it was", &c.was),
        row("as it would be", &c.would),
        s.was,
        s.support,
        s.carries,
        c.seconds,
        title = escaped(title),
    ))
}

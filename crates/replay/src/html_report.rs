//! Renders a comparison as one self-contained HTML page, with plots as embedded SVG.

use crate::what_if::{Comparison, ServerShare, SideSummary, TimelinePoint};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

const RECORDED_COLOUR: RGBColor = RGBColor(31, 119, 180);
const CHANGED_COLOUR: RGBColor = RGBColor(214, 39, 40);
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 280);
const CAPTION_FONT: (&str, u32) = ("sans-serif", 16);
const MARGIN: u32 = 8;
const X_LABELS_HEIGHT: u32 = 28;
const Y_LABELS_WIDTH: u32 = 52;
const INTERVAL_OPACITY: f64 = 0.15;
/// Upper end of an axis as a multiple of the highest value.
const HEADROOM: f64 = 1.05;
/// Upper end of the service axis; service is at most 1.
const MAX_SERVICE: f64 = 1.02;
/// Servers whose bars can be told apart in one plot, and labels that fit below them.
const MAX_SERVERS: usize = 60;
const MAX_SERVER_LABELS: usize = 25;
/// Offsets and width of a server's two bars, as shares of the space that it has on the axis.
const RECORDED_BAR_OFFSET: f64 = 0.1;
const CHANGED_BAR_OFFSET: f64 = 0.5;
const BAR_WIDTH: f64 = 0.4;
/// The axis of shares ends no lower than this, so that its range is never empty.
const MIN_SHARE_AXIS: f64 = 0.001;

/// Points of a line, each with its seconds and value.
type Line = Vec<(f64, f64)>;

/// The interval of an estimate, drawn as an area behind the lines.
struct IntervalBand {
    until_seconds: f64,
    lower: f64,
    upper: f64,
}

/// A plot of two lines over time.
struct LinePlot<'a> {
    title: &'a str,
    /// Upper ends of both axes.
    max_seconds: f64,
    max_value: f64,
    recorded: Line,
    changed: Line,
    band: Option<IntervalBand>,
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type PlotContext<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws a title and both axes, which begin at 0.
fn build_chart<'a, 'b>(
    area: &'a PlotArea<'b>,
    title: &str,
    max_x: f64,
    max_y: f64,
) -> Result<PlotContext<'a, 'b>, String> {
    area.fill(&WHITE).map_err(error_text)?;
    ChartBuilder::on(area)
        .caption(title, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABELS_HEIGHT)
        .y_label_area_size(Y_LABELS_WIDTH)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)
        .map_err(error_text)
}

impl LinePlot<'_> {
    fn to_svg(&self) -> Result<String, String> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
            let mut chart = build_chart(&area, self.title, self.max_seconds.max(1.0), self.max_value)?;
            chart.configure_mesh().x_desc("seconds").draw().map_err(error_text)?;
            if let Some(band) = &self.band {
                let corners = [(0.0, band.lower), (band.until_seconds, band.upper)];
                let area = Rectangle::new(corners, CHANGED_COLOUR.mix(INTERVAL_OPACITY).filled());
                chart.draw_series([area]).map_err(error_text)?;
            }
            for (line, colour) in [(&self.recorded, RECORDED_COLOUR), (&self.changed, CHANGED_COLOUR)] {
                chart.draw_series(LineSeries::new(line.iter().copied(), &colour)).map_err(error_text)?;
            }
            area.present().map_err(error_text)?;
        }
        Ok(svg)
    }
}

/// The servers whose shares differ most, sorted by name; at most [`MAX_SERVERS`].
fn most_different_shares(all: &[ServerShare]) -> Vec<&ServerShare> {
    let difference = |share: &ServerShare| (share.recorded - share.changed).abs();
    let mut shown: Vec<&ServerShare> = all.iter().collect();
    shown.sort_by(|a, b| difference(b).total_cmp(&difference(a)));
    shown.truncate(MAX_SERVERS);
    shown.sort_by(|a, b| a.server.cmp(&b.server));
    shown
}

/// Plots the servers' shares of all tables at the end as pairs of bars.
fn server_shares_svg(all: &[ServerShare]) -> Result<String, String> {
    let shown = most_different_shares(all);
    let highest = |max: f64, share: &&ServerShare| max.max(share.recorded).max(share.changed);
    let max_share = shown.iter().fold(MIN_SHARE_AXIS, highest) * HEADROOM;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let title = "servers' shares of all tables at the end";
        let mut chart = build_chart(&area, title, shown.len().max(1) as f64, max_share)?;
        let name = |x: &f64| shown.get(*x as usize).map_or(String::new(), |share| share.server.clone());
        let label_count = shown.len().min(MAX_SERVER_LABELS);
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().x_labels(label_count).x_label_formatter(&name).draw().map_err(error_text)?;
        let bars = shown.iter().enumerate().flat_map(|(position, share)| {
            [
                bar(position as f64 + RECORDED_BAR_OFFSET, share.recorded, RECORDED_COLOUR),
                bar(position as f64 + CHANGED_BAR_OFFSET, share.changed, CHANGED_COLOUR),
            ]
        });
        chart.draw_series(bars).map_err(error_text)?;
        area.present().map_err(error_text)?;
    }
    Ok(svg)
}

fn bar(left: f64, height: f64, colour: RGBColor) -> Rectangle<(f64, f64)> {
    Rectangle::new([(left, 0.0), (left + BAR_WIDTH, height)], colour.filled())
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn table_row(name: &str, side: &SideSummary) -> String {
    let rules =
        if side.violations.is_empty() { "kept".into() } else { escape_html(&side.violations.join("; ")) };
    format!(
        "<tr><td>{name}</td><td>{rules}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
        side.messages, side.entries, side.max_queued_entries, side.rejected
    )
}

fn service_svg(comparison: &Comparison) -> Result<String, String> {
    let service = &comparison.service;
    let points = &comparison.service_timeline;
    let changed = |point: &crate::what_if::ServiceEstimatePoint| Some((point.seconds, point.changed?));
    let title =
        "service over time: requests answered in time, by priority weight; band: 95% interval of the whole period";
    let plot = LinePlot {
        title,
        max_seconds: comparison.seconds,
        max_value: MAX_SERVICE,
        recorded: points.iter().map(|point| (point.seconds, point.recorded)).collect(),
        changed: points.iter().filter_map(changed).collect(),
        band: service.changed.map(|estimate| IntervalBand {
            until_seconds: service.valid_seconds,
            lower: estimate.lower,
            upper: estimate.upper,
        }),
    };
    plot.to_svg()
}

/// Plots counts that only grow, so that the last point is the highest.
fn cumulative_counts_svg(title: &str, points: &[TimelinePoint], max_seconds: f64) -> Result<String, String> {
    let highest = |last: &TimelinePoint| last.recorded.max(last.changed).max(1.0) * HEADROOM;
    let plot = LinePlot {
        title,
        max_seconds,
        max_value: points.last().map_or(1.0, highest),
        recorded: points.iter().map(|point| (point.seconds, point.recorded)).collect(),
        changed: points.iter().map(|point| (point.seconds, point.changed)).collect(),
        band: None,
    };
    plot.to_svg()
}

/// Renders a comparison as an HTML page.
///
/// # Errors
/// Returns the cause if a plot cannot be drawn.
pub fn render(title: &str, comparison: &Comparison) -> Result<String, String> {
    let service = &comparison.service;
    let service_plot = service_svg(comparison)?;
    let entries_plot =
        cumulative_counts_svg("table entries sent so far", &comparison.entries_timeline, comparison.seconds)?;
    let rejected_title = "commands that the guard rejected so far";
    let rejected_plot =
        cumulative_counts_svg(rejected_title, &comparison.rejected_timeline, comparison.seconds)?;
    let shares_plot = server_shares_svg(&comparison.server_shares)?;
    let changed_service = match service.changed {
        Some(estimate) => {
            format!("{:.4} (95% interval: {:.4} to {:.4})", estimate.value, estimate.lower, estimate.upper)
        }
        None => "unknown: the record does not support an estimate".into(),
    };
    Ok(format!(
        "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>body{{font:15px \
         sans-serif;margin:2em;max-width:62em}}td,th{{padding:.2em .8em;text-align:left}}</style><h1>{title}</h1>\
         <p>Blue: recorded settings. Red: other settings.</p><table><tr><th></th><th>rules</th><th>messages</th>\
         <th>table entries</th><th>most queued entries</th><th>rejected commands</th></tr>{}{}</table><p>Service was \
         {:.4}, would be {changed_service}. Support {:.3}; the estimate is valid for the first {:.0} of {:.0} s.</p>\
         {service_plot}{shares_plot}{entries_plot}{rejected_plot}</html>\n",
        table_row("recorded settings", &comparison.recorded),
        table_row("other settings", &comparison.changed),
        service.recorded,
        service.support,
        service.valid_seconds,
        comparison.seconds,
        title = escape_html(title),
    ))
}

//! Plots of runs over time, as SVG.

use std::collections::BTreeMap;
use std::error;
use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use plotters::coord::Shift;
use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::DrawingArea;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoFont;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::Text;
use plotters::prelude::WHITE;

use crate::result::STALL_THRESHOLD;
use crate::run::RunResult;

/// Width and height of the plot, in pixels.
const SIZE_PX: (u32, u32) = (1_000, 900);
/// Time covered by one point, in seconds.
const BUCKET_S: f64 = 0.5;
/// Colour of the event lines and labels.
const EVENT_COLOUR: RGBColor = RGBColor(150, 150, 150);

/// Name and points of one line of a chart.
type Series = (String, Vec<(f64, f64)>);

/// Draws three charts over time with the events marked: token gaps and stalls of each run, and
/// starts per data centre of the first run.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(runs: &[&RunResult], path: &Path) -> Result<(), Box<dyn error::Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let parts = area.split_evenly((3, 1));
    let gaps: Vec<Series> = runs
        .iter()
        .map(|run| (policy_name(run), gap_points(run)))
        .collect();
    let stalls: Vec<Series> = runs
        .iter()
        .map(|run| (policy_name(run), stall_points(run)))
        .collect();
    let starts = start_series(runs[0]);
    let events = &event_labels(runs[0]);
    let all = gaps.iter().chain(&stalls).chain(&starts);
    let times = all.flat_map(|(_, points)| points.iter().map(|point| point.0));
    let x_max = times.fold(1.0, f64::max);
    chart(
        &parts[0],
        "Time between tokens, 95th percentile (ms)",
        &gaps,
        events,
        x_max,
    )?;
    chart(
        &parts[1],
        "Stalled streams (seconds of stall per second)",
        &stalls,
        events,
        x_max,
    )?;
    let title = format!(
        "Requests started per second, by data centre ({})",
        policy_name(runs[0])
    );
    chart(&parts[2], &title, &starts, events, x_max)?;
    area.present()?;
    Ok(())
}

fn policy_name(run: &RunResult) -> String {
    run.report.policy.clone()
}

fn bucket(at: f64) -> i64 {
    (at / BUCKET_S).floor() as i64
}

fn bucket_start(bucket: i64) -> f64 {
    bucket as f64 * BUCKET_S
}

/// Returns each token gap with its end, in seconds since the start of the load.
fn gaps(run: &RunResult) -> impl Iterator<Item = (f64, Duration)> + '_ {
    run.calls
        .iter()
        .filter(|call| call.request.stream)
        .flat_map(|call| {
            let sent_at = call
                .sent_at
                .duration_since(run.load_started_at)
                .as_secs_f64();
            let ends = call.tokens.iter().skip(1);
            let ends = ends.map(move |(at, _)| sent_at + at.as_secs_f64());
            ends.zip(call.token_gaps())
        })
}

/// Returns the 95th percentile of the token gaps per bucket, in milliseconds.
fn gap_points(run: &RunResult) -> Vec<(f64, f64)> {
    let mut buckets: BTreeMap<i64, Vec<f64>> = BTreeMap::new();
    for (at, gap) in gaps(run) {
        buckets
            .entry(bucket(at))
            .or_default()
            .push(gap.as_secs_f64() * 1_000.0);
    }
    buckets
        .into_iter()
        .map(|(bucket, mut values)| {
            values.sort_by(f64::total_cmp);
            let index = (values.len() as f64 * 0.95) as usize;
            (bucket_start(bucket), values[index.min(values.len() - 1)])
        })
        .collect()
}

/// Returns the stall time of all streams per second, by bucket.
fn stall_points(run: &RunResult) -> Vec<(f64, f64)> {
    let mut buckets: BTreeMap<i64, f64> = BTreeMap::new();
    for (at, gap) in gaps(run) {
        let stall = gap.saturating_sub(STALL_THRESHOLD).as_secs_f64();
        *buckets.entry(bucket(at)).or_default() += stall / BUCKET_S;
    }
    buckets
        .into_iter()
        .map(|(bucket, sum)| (bucket_start(bucket), sum))
        .collect()
}

/// Returns the starts per second, by data centre.
fn start_series(run: &RunResult) -> Vec<Series> {
    let mut data_centres: BTreeMap<CompactString, BTreeMap<i64, f64>> = BTreeMap::new();
    for (at, data_centre, _, _) in &run.records.starts {
        let at = at.as_secs_f64() - run.load_start.as_secs_f64();
        let buckets = data_centres.entry(data_centre.clone()).or_default();
        *buckets.entry(bucket(at)).or_default() += 1.0 / BUCKET_S;
    }
    let last = data_centres
        .values()
        .filter_map(|buckets| buckets.keys().last())
        .max()
        .copied();
    data_centres
        .into_iter()
        .map(|(data_centre, buckets)| {
            // A bucket without starts becomes a point at zero.
            let points = (0..=last.unwrap_or(0)).map(|bucket| {
                (
                    bucket_start(bucket),
                    buckets.get(&bucket).copied().unwrap_or(0.0),
                )
            });
            (data_centre.to_string(), points.collect())
        })
        .collect()
}

fn event_labels(run: &RunResult) -> Vec<(f64, String)> {
    run.events
        .iter()
        .map(|(at, text)| {
            (
                at.as_secs_f64() - run.load_start.as_secs_f64(),
                text.clone(),
            )
        })
        .collect()
}

/// Draws one chart with a legend and the events as labelled vertical lines.
fn chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    series: &[Series],
    events: &[(f64, String)],
    x_max: f64,
) -> Result<(), Box<dyn error::Error>> {
    let points = || series.iter().flat_map(|(_, points)| points.iter());
    let y_max = points().map(|point| point.1).fold(1.0, f64::max) * 1.15;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 17))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds since the load began")
        .draw()?;
    for (index, (at, text)) in events.iter().enumerate() {
        let line = PathElement::new(vec![(*at, 0.0), (*at, y_max)], EVENT_COLOUR);
        chart.draw_series(std::iter::once(line))?;
        // Different heights keep the labels of neighbouring events from overlapping.
        let height = y_max * (0.97 - 0.07 * (index % 4) as f64);
        let style = ("sans-serif", 12).into_font().color(&EVENT_COLOUR);
        let label = Text::new(text.clone(), (*at, height), style);
        chart.draw_series(std::iter::once(label))?;
    }
    for (index, (name, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(line)?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

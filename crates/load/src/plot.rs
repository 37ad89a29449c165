//! Pictures.

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

use crate::result::STALL;
use crate::run::Run;

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (1_000, 900);
/// Time of one point.
const STEP: f64 = 0.5;
/// Colour of the events' lines.
const EVENT: RGBColor = RGBColor(150, 150, 150);

/// A line of a chart: its name and its points.
type Series = (String, Vec<(f64, f64)>);

/// Draws token gaps, stalls and starts in each data centre over time, with the events marked.
///
/// # Errors
///
/// If the file can't be written.
pub fn draw(runs: &[&Run], path: &Path) -> Result<(), Box<dyn error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let parts = area.split_evenly((3, 1));
    let gaps: Vec<Series> = runs
        .iter()
        .map(|run| (name(run), gap_points(run)))
        .collect();
    let stalls: Vec<Series> = runs
        .iter()
        .map(|run| (name(run), stall_points(run)))
        .collect();
    let starts = start_series(runs[0]);
    let marks = &event_marks(runs[0]);
    let all = gaps.iter().chain(&stalls).chain(&starts);
    let times = all.flat_map(|(_, points)| points.iter().map(|point| point.0));
    let right = times.fold(1.0, f64::max);
    chart(
        &parts[0],
        "Time between tokens, 95 in 100 (ms)",
        &gaps,
        marks,
        right,
    )?;
    chart(
        &parts[1],
        "Streams standing still (seconds of stall in each second)",
        &stalls,
        marks,
        right,
    )?;
    let title = format!(
        "Generations started a second, by data centre ({})",
        name(runs[0])
    );
    chart(&parts[2], &title, &starts, marks, right)?;
    area.present()?;
    Ok(())
}

fn name(run: &Run) -> String {
    run.outcome.policy.clone()
}

fn slot(at: f64) -> i64 {
    (at / STEP).floor() as i64
}

fn slot_time(slot: i64) -> f64 {
    slot as f64 * STEP
}

/// Each gap with the time since the beginning at which it ended.
fn gaps(run: &Run) -> impl Iterator<Item = (f64, Duration)> + '_ {
    run.seen
        .iter()
        .filter(|one| one.ask.stream)
        .flat_map(|one| {
            let sent = one.sent.duration_since(run.began_at).as_secs_f64();
            let ends = one.tokens.iter().skip(1);
            let ends = ends.map(move |(at, _)| sent + at.as_secs_f64());
            ends.zip(one.gaps())
        })
}

fn gap_points(run: &Run) -> Vec<(f64, f64)> {
    let mut slots: BTreeMap<i64, Vec<f64>> = BTreeMap::new();
    for (at, gap) in gaps(run) {
        slots
            .entry(slot(at))
            .or_default()
            .push(gap.as_secs_f64() * 1_000.0);
    }
    slots
        .into_iter()
        .map(|(slot, mut values)| {
            values.sort_by(f64::total_cmp);
            let index = (values.len() as f64 * 0.95) as usize;
            (slot_time(slot), values[index.min(values.len() - 1)])
        })
        .collect()
}

fn stall_points(run: &Run) -> Vec<(f64, f64)> {
    let mut slots: BTreeMap<i64, f64> = BTreeMap::new();
    for (at, gap) in gaps(run) {
        let stall = gap.saturating_sub(STALL).as_secs_f64();
        *slots.entry(slot(at)).or_default() += stall / STEP;
    }
    slots
        .into_iter()
        .map(|(slot, sum)| (slot_time(slot), sum))
        .collect()
}

fn start_series(run: &Run) -> Vec<Series> {
    let mut centres: BTreeMap<CompactString, BTreeMap<i64, f64>> = BTreeMap::new();
    for (at, centre, _, _) in &run.records.starts {
        let at = at.as_secs_f64() - run.began.as_secs_f64();
        let slots = centres.entry(centre.clone()).or_default();
        *slots.entry(slot(at)).or_default() += 1.0 / STEP;
    }
    let last = centres
        .values()
        .filter_map(|slots| slots.keys().last())
        .max()
        .copied();
    centres
        .into_iter()
        .map(|(centre, slots)| {
            // A slot without starts is a point at zero.
            let points = (0..=last.unwrap_or(0))
                .map(|slot| (slot_time(slot), slots.get(&slot).copied().unwrap_or(0.0)));
            (centre.to_string(), points.collect())
        })
        .collect()
}

fn event_marks(run: &Run) -> Vec<(f64, String)> {
    run.events
        .iter()
        .map(|(at, text)| (at.as_secs_f64() - run.began.as_secs_f64(), text.clone()))
        .collect()
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    series: &[Series],
    events: &[(f64, String)],
    right: f64,
) -> Result<(), Box<dyn error::Error>> {
    let points = || series.iter().flat_map(|(_, points)| points.iter());
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.15;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 17))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds since the load began")
        .draw()?;
    for (index, (at, text)) in events.iter().enumerate() {
        let line = PathElement::new(vec![(*at, 0.0), (*at, top)], EVENT);
        chart.draw_series(std::iter::once(line))?;
        // Labels of neighbouring events stand at different heights.
        let height = top * (0.97 - 0.07 * (index % 4) as f64);
        let style = ("sans-serif", 12).into_font().color(&EVENT);
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

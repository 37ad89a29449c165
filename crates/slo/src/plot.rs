//! A bar chart of burn rates.

use std::error;

use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoFont;
use plotters::prelude::RGBColor;
use plotters::prelude::Rectangle;
use plotters::prelude::SVGBackend;
use plotters::prelude::Text;
use plotters::prelude::WHITE;

use crate::WINDOW_NAMES;
use crate::WINDOWS;
use crate::report::BurnRate;

/// Maximum number of objectives in the chart.
const OBJECTIVES_MAX: usize = 20;
/// Width of the chart, in pixels.
const WIDTH_PX: u32 = 900;
/// Height of one objective's row, in pixels.
const ROW_HEIGHT_PX: u32 = 34;
/// Colours of the windows' bars, shortest window first.
const COLOURS: [RGBColor; WINDOWS] = [
    RGBColor(200, 60, 40),
    RGBColor(230, 150, 50),
    RGBColor(90, 130, 180),
];

/// Draws the burn rates of the most urgent objectives as an SVG document. `burn_rates` must be
/// sorted, the most urgent first.
///
/// # Errors
///
/// If the chart cannot be drawn.
pub fn svg(burn_rates: &[BurnRate]) -> Result<String, Box<dyn error::Error>> {
    let shown = &burn_rates[..burn_rates.len().min(OBJECTIVES_MAX)];
    let mut out = String::new();
    {
        let height = ROW_HEIGHT_PX * shown.len().max(2) as u32 + 110;
        let area = SVGBackend::with_string(&mut out, (WIDTH_PX, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let max_rate = shown
            .iter()
            .flat_map(|burn_rate| burn_rate.rates)
            .fold(2.0, f64::max);
        let caption = "Burn rate (1 uses up the budget in 30 days)";
        let rows = shown.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(10)
            .build_cartesian_2d(-max_rate * 0.55..max_rate * 1.05, 0.0..rows)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .disable_y_axis()
            .x_label_formatter(&|x| {
                if *x < 0.0 {
                    String::new()
                } else {
                    format!("{x:.0}")
                }
            })
            .x_desc(format!(
                "{} red, {} orange, {} blue",
                WINDOW_NAMES[0], WINDOW_NAMES[1], WINDOW_NAMES[2]
            ))
            .draw()?;
        for (index, burn_rate) in shown.iter().enumerate() {
            let top = rows - index as f64;
            for (window, rate) in burn_rate.rates.iter().enumerate() {
                let upper = top - 0.12 - 0.25 * window as f64;
                let corners = [(0.0, upper), (*rate, upper - 0.22)];
                let bar = Rectangle::new(corners, COLOURS[window].filled());
                chart.draw_series(std::iter::once(bar))?;
            }
            let name = format!(
                "{} / {} {}",
                burn_rate.route,
                burn_rate.organisation,
                burn_rate.aspect.as_str()
            );
            let style = ("sans-serif", 13).into_font().color(&BLACK);
            let label = Text::new(name, (-max_rate * 0.54, top - 0.3), style);
            chart.draw_series(std::iter::once(label))?;
        }
        area.present()?;
    }
    Ok(out)
}

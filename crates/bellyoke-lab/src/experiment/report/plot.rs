//! Plots over time, as SVG.

use crate::experiment::measure::{Measurements, ServiceSeries};
use anyhow::{Result, anyhow};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 480);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 56;

/// One line of a plot.
struct Line {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Writes the plots of a run into `directory`.
///
/// # Errors
///
/// If a file can't be written.
pub fn write_plots(directory: &Path, name: &str, run: &Measurements) -> Result<()> {
    for series in &run.series {
        let path = directory.join(format!("{name}-{}-flows.svg", series.name));
        draw(&path, "open flows a backend", &flow_lines(series))?;
        let path = directory.join(format!("{name}-{}-backlog.svg", series.name));
        draw(&path, "requests in slots and queue", &backlog_lines(series))?;
    }
    let path = directory.join(format!("{name}-broken.svg"));
    draw(&path, "broken flows", &[broken_line(run)])?;
    let path = directory.join(format!("{name}-control.svg"));
    draw(
        &path,
        "control bytes a second and balancer",
        &[control_line(run)],
    )?;
    let path = directory.join(format!("{name}-force.svg"));
    draw(&path, "share in force after ms", &[force_line(run)])
}

fn flow_lines(series: &ServiceSeries) -> Vec<Line> {
    lines_of(series, |sample| &sample.flows)
}

fn backlog_lines(series: &ServiceSeries) -> Vec<Line> {
    lines_of(series, |sample| &sample.backlogs)
}

fn lines_of(
    series: &ServiceSeries,
    values: fn(&crate::experiment::measure::ServiceSample) -> &Vec<usize>,
) -> Vec<Line> {
    let summary = |label: &str, summarize: fn(&[usize]) -> f64| Line {
        label: label.to_owned(),
        points: series
            .samples
            .iter()
            .map(|sample| (sample.second as f64, summarize(values(sample))))
            .collect(),
    };
    vec![
        summary("least", |all| all.iter().min().copied().unwrap_or(0) as f64),
        summary("mean", |all| {
            all.iter().sum::<usize>() as f64 / all.len().max(1) as f64
        }),
        summary("most", |all| all.iter().max().copied().unwrap_or(0) as f64),
    ]
}

fn broken_line(run: &Measurements) -> Line {
    Line {
        label: "broken".to_owned(),
        points: run
            .nodes
            .iter()
            .map(|sample| (sample.second as f64, sample.broken as f64))
            .collect(),
    }
}

fn control_line(run: &Measurements) -> Line {
    let points = run.nodes.windows(2).map(|pair| {
        let bytes = pair[1].control_bytes - pair[0].control_bytes;
        let rate = bytes as f64 / pair[1].alive.max(1) as f64;
        (pair[1].second as f64, rate)
    });
    Line {
        label: "bytes/s".to_owned(),
        points: points.collect(),
    }
}

fn force_line(run: &Measurements) -> Line {
    let points = (0..=100).map(|percent| {
        let share = f64::from(percent) / 100.0;
        let micros = run.time_to_force.value_at_quantile(share);
        (micros as f64 / 1_000.0, share)
    });
    Line {
        label: "share".to_owned(),
        points: points.collect(),
    }
}

fn draw(path: &Path, caption: &str, lines: &[Line]) -> Result<()> {
    draw_chart(path, caption, lines).map_err(|error| anyhow!("{}: {error}", path.display()))
}

fn draw_chart(
    path: &Path,
    caption: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || lines.iter().flat_map(|line| line.points.iter());
    let right = all().map(|point| point.0).fold(1.0, f64::max);
    let left = all().map(|point| point.0).fold(right, f64::min);
    let top = all().map(|point| point.1).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 18))
        .margin(MARGIN)
        .set_all_label_area_size(LABEL_AREA)
        .build_cartesian_2d(left..right, 0.0..top * 1.05)?;
    chart.configure_mesh().draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

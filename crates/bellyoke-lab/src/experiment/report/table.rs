//! The report as a table for people.

use super::{Report, RunReport};
use std::fmt::Write;

const HEADINGS: [&str; 15] = [
    "timeline", "strategy", "flows", "broken", "stalled", "lost", "unansw", "refused", "wrong",
    "crossed", "max/mean", "p99/mean", "force ms", "B/s node", "relayed",
];

/// The report as lines of text.
#[must_use]
pub fn render(report: &Report) -> String {
    let rows: Vec<Vec<String>> = report.runs.iter().map(row).collect();
    let widths: Vec<usize> = (0..HEADINGS.len())
        .map(|column| {
            let cells = rows.iter().map(|row| row[column].len());
            cells.max().unwrap_or(0).max(HEADINGS[column].len())
        })
        .collect();
    let mut text = format!("{} (seed {})\n", report.experiment, report.seed);
    let headings: Vec<String> = HEADINGS.iter().map(ToString::to_string).collect();
    write_row(&mut text, &headings, &widths);
    for row in &rows {
        write_row(&mut text, row, &widths);
    }
    write_waits(&mut text, report);
    text
}

/// Services with requests: how long these wait, and how long they would with one queue.
fn write_waits(text: &mut String, report: &Report) {
    const MOST_SERVICES: usize = 8;
    for run in &report.runs {
        let with_ideal = run.services.iter().filter_map(|service| {
            let ideal = service.ideal_wait_mean_ms?;
            Some((service, ideal))
        });
        for (service, ideal) in with_ideal.take(MOST_SERVICES) {
            let _ = writeln!(
                text,
                "{} {} {}: wait mean {:.1} ms, p99 {:.1} ms; one queue: mean {ideal:.1} ms",
                run.timeline, run.strategy, service.name, service.wait_mean_ms, service.wait_p99_ms,
            );
        }
    }
}

fn write_row(text: &mut String, cells: &[String], widths: &[usize]) {
    for (cell, width) in cells.iter().zip(widths) {
        let _ = write!(text, "{cell:>width$}  ");
    }
    text.truncate(text.trim_end().len());
    text.push('\n');
}

fn row(run: &RunReport) -> Vec<String> {
    vec![
        run.timeline.clone(),
        run.strategy.clone(),
        run.flows.to_string(),
        (run.broken_planned + run.broken_failure).to_string(),
        run.stalled_at_end.to_string(),
        run.lost_with_backend.to_string(),
        run.unanswered.to_string(),
        run.refused.to_string(),
        run.wrong_service.to_string(),
        run.crossed.to_string(),
        format!("{:.3}", run.flow_max_over_mean),
        format!("{:.2}", run.slot_p99_over_mean),
        format!("{:.0}", run.time_to_force_p99_ms),
        format!("{:.0}", run.control_bytes_per_second),
        format!("{:.4}", run.relayed_share),
    ]
}

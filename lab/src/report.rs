//! Reports for people: one HTML page with its plots included, and a few lines for a terminal.
//!
//! This module formats figures. It computes none that the JSON does not hold, and escapes all text.

use std::fs;
use std::ops::Range;
use std::path::{Path, PathBuf};

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::experiment::{Comparison, Step};
use crate::ramp;
use crate::tally::{FaultBand, Outcome};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (920, 260);
const PALETTE: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// A line of a plot: its name and points.
type Line = (String, Vec<(f64, f64)>);

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// One plot as SVG text: axes from 0 to `top`, names under the x axis if it has some, and what `draw` adds.
fn canvas(
    title: &str,
    unit: &str,
    x: Range<f64>,
    top: f64,
    names: Option<&[(String, f64)]>,
    draw: impl FnOnce(&mut Chart) -> Result<(), String>,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(x, 0.0..top)
            .map_err(plot_error)?;
        let name = |x: &f64| match names {
            Some(names) => names.get(*x as usize).map_or(String::new(), |(name, _)| name.clone()),
            None => format!("{x}"),
        };
        let mut mesh = chart.configure_mesh();
        mesh.light_line_style(WHITE).y_desc(unit).x_label_formatter(&name);
        if let Some(names) = names {
            mesh.disable_x_mesh().x_labels(names.len().min(24));
        }
        mesh.draw().map_err(plot_error)?;
        draw(&mut chart)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn plot_error(error: impl std::fmt::Display) -> String {
    format!("plot: {error}")
}

/// A plot of lines, with faults as bands behind them.
fn plot(
    title: &str,
    unit: &str,
    x: Range<f64>,
    lines: &[Line],
    bands: &[FaultBand],
) -> Result<String, String> {
    let most = lines.iter().flat_map(|(_, points)| points).map(|(_, y)| *y).fold(0.0, f64::max);
    let top = if most > 0.0 { most * 1.08 } else { 1.0 };
    canvas(title, unit, x, top, None, |chart| {
        let shade = RGBColor(240, 170, 60).mix(0.18);
        let band = |band: &FaultBand| {
            Rectangle::new([(band.from, 0.0), (band.to.max(band.from + 0.05), top)], shade.filled())
        };
        chart.draw_series(bands.iter().map(band)).map_err(plot_error)?;
        for (nth, (name, points)) in lines.iter().enumerate() {
            let colour = PALETTE[nth % PALETTE.len()];
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))
                .map_err(plot_error)?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        if lines.len() > 1 {
            let mut labels = chart.configure_series_labels();
            labels
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()
                .map_err(plot_error)?;
        }
        Ok(())
    })
}

/// A bar chart of named values.
fn bars(title: &str, unit: &str, values: &[(String, f64)]) -> Result<String, String> {
    let top = values.iter().map(|(_, value)| *value).fold(0.0, f64::max).max(1e-9) * 1.08;
    canvas(title, unit, 0.0..values.len() as f64, top, Some(values), |chart| {
        let boxes = values.iter().enumerate().map(|(nth, (_, value))| {
            let x = nth as f64;
            Rectangle::new([(x + 0.1, 0.0), (x + 0.9, *value)], PALETTE[0].mix(0.7).filled())
        });
        chart.draw_series(boxes).map_err(plot_error).map(|_| ())
    })
}

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:980px;margin:2em auto;padding:0 1em;\
color:#222}table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;\
text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00020;font-weight:600}\
pre{background:#f6f6f6;padding:.8em;overflow-x:auto;font-size:12px}svg{max-width:100%;height:auto}";

fn page(title: &str, body: &str) -> String {
    let title = escaped(title);
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>{body}</body></html>\n"
    )
}

fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let cells = |tag: &str, cells: &mut dyn Iterator<Item = String>| -> String {
        cells.map(|cell| format!("<{tag}>{cell}</{tag}>")).collect()
    };
    let head = cells("th", &mut heads.iter().map(|head| escaped(head)));
    let rows: String = rows
        .iter()
        .map(|row| format!("<tr>{}</tr>", cells("td", &mut row.iter().map(|cell| escaped(cell)))))
        .collect();
    format!("<table><tr>{head}</tr>{rows}</table>")
}

/// The page of one run.
pub fn run_page(outcome: &Outcome) -> Result<String, String> {
    let mut body = format!(
        "<p>{} clock, {}, seed {}, {} s. Runners, clients and links are simulated.</p>",
        escaped(&outcome.clock),
        escaped(&outcome.program),
        outcome.seed,
        outcome.seconds
    );
    for line in &outcome.void {
        body += &format!("<p class=\"bad\">Void: {}</p>", escaped(line));
    }
    for (rule, count) in &outcome.broken {
        body += &format!("<p class=\"bad\">Broken: {} ({count} times)</p>", escaped(rule));
    }
    let mut rows = vec![];
    let all = ("all", outcome.goodput, &outcome.counts, &outcome.latency);
    let operations =
        outcome.operations.iter().map(|op| (op.name.as_str(), op.goodput, &op.counts, &op.latency));
    for (name, goodput, counts, latency) in std::iter::once(all).chain(operations) {
        rows.push(vec![
            name.to_owned(),
            format!("{goodput:.4}"),
            counts.asked.to_string(),
            counts.in_time.to_string(),
            counts.late.to_string(),
            counts.throttled.to_string(),
            counts.errored.to_string(),
            counts.nothing.to_string(),
            format!("{:.1}", latency.p50),
            format!("{:.1}", latency.p99),
            format!("{:.1}", latency.p999),
        ]);
    }
    let heads = [
        "",
        "goodput",
        "asked",
        "in time",
        "late",
        "throttled",
        "errored",
        "nothing",
        "p50",
        "p99",
        "p99.9 ms",
    ];
    body += &table(&heads, &rows);
    let x = 0.0..outcome.seconds;
    let over = |name: &str, figure: fn(&crate::tally::Window) -> f64| -> Line {
        (name.to_owned(), outcome.windows.iter().map(|window| (window.at + 0.5, figure(window))).collect())
    };
    let bands = &outcome.faults;
    body += &plot("Goodput", "share", x.clone(), &[over("goodput", |w| w.goodput)], bands)?;
    let latency = [over("p50", |w| w.p50), over("p99", |w| w.p99)];
    body += &plot("Latency from when due", "ms", x.clone(), &latency, bands)?;
    let ends = [
        over("asked", |w| w.counts.asked as f64),
        over("in time", |w| w.counts.in_time as f64),
        over("throttled", |w| w.counts.throttled as f64),
        over("errored", |w| w.counts.errored as f64),
    ];
    body += &plot("Invocations by the second they were due", "a second", x, &ends, bands)?;
    let used: Vec<(String, f64)> =
        outcome.runners.iter().take(200).map(|runner| (runner.name.clone(), runner.used)).collect();
    body += &bars("Load by runner", "share of capacity", &used)?;
    let faults: Vec<Vec<String>> = bands
        .iter()
        .map(|band| vec![band.what.clone(), format!("{:.1}", band.from), format!("{:.1}", band.to)])
        .collect();
    if !faults.is_empty() {
        body += &table(&["fault", "from s", "to s"], &faults);
    }
    for violation in outcome.verdict["kept"].as_array().into_iter().flatten().take(5) {
        let history = violation["history"].as_array().into_iter().flatten().filter_map(|line| line.as_str());
        let lines: Vec<&str> = history.collect();
        body += &format!(
            "<h3 class=\"bad\">{}: {}</h3><pre>{}</pre>",
            escaped(violation["rule"].as_str().unwrap_or_default()),
            escaped(violation["what"].as_str().unwrap_or_default()),
            escaped(&lines.join("\n"))
        );
    }
    Ok(page(&outcome.scenario, &body))
}

/// The page of a comparison.
pub fn comparison_page(comparison: &Comparison) -> Result<String, String> {
    let rows: Vec<Vec<String>> = comparison
        .pairs
        .iter()
        .map(|pair| {
            vec![
                pair.seed.to_string(),
                format!("{:.4}", pair.goodput.0),
                format!("{:.4}", pair.goodput.1),
                format!("{:.1}", pair.p99.0),
                format!("{:.1}", pair.p99.1),
                format!("{} / {}", pair.broken.0, pair.broken.1),
            ]
        })
        .collect();
    let body = format!("<pre>{}</pre>", escaped(&comparison_text(comparison)))
        + &table(&["seed", "goodput, ours", "other", "p99 ms, ours", "other", "rules broken"], &rows);
    Ok(page(&format!("{}: {} against {}", comparison.scenario, comparison.ours, comparison.against), &body))
}

/// A few lines on a comparison.
pub fn comparison_text(comparison: &Comparison) -> String {
    let mut text = format!(
        "{}: {} against {}, {} pairs, {} void\n",
        comparison.scenario,
        comparison.ours,
        comparison.against,
        comparison.pairs.len(),
        comparison.void
    );
    for (name, difference) in [("goodput", comparison.goodput), ("p99 ms", comparison.p99)] {
        text += &match difference {
            Some(d) => format!(
                "  {name}: {:+.4} ± {:.4} (95%){}\n",
                d.mean,
                d.half_width,
                if d.is_significant() { "" } else { ", within noise" }
            ),
            None => format!("  {name}: too few pairs\n"),
        };
    }
    text
}

/// The page of a sweep.
pub fn sweep_page(field: &str, steps: &[Step]) -> Result<String, String> {
    let name = steps.first().and_then(|step| step.outcomes.first()).map(|o| o.scenario.clone());
    let place = |nth: usize| nth as f64;
    let line = |name: &str, figure: &dyn Fn(&Outcome) -> f64| -> Line {
        (
            name.to_owned(),
            steps.iter().enumerate().map(|(nth, step)| (place(nth), step.mean(figure))).collect(),
        )
    };
    let x = 0.0..(steps.len().saturating_sub(1)).max(1) as f64;
    let mut body = format!("<pre>{}</pre>", escaped(&sweep_text(field, steps)));
    body += &plot("Goodput", "share", x.clone(), &[line("goodput", &|o| o.goodput)], &[])?;
    let latency = [line("p50", &|o| o.latency.p50), line("p99", &|o| o.latency.p99)];
    body += &plot("Latency", "ms", x, &latency, &[])?;
    Ok(page(&format!("{}: {field}", name.unwrap_or_default()), &body))
}

/// A table of a sweep, one line for each value.
pub fn sweep_text(field: &str, steps: &[Step]) -> String {
    let mut text = format!("{field:>16}  goodput    p50 ms    p99 ms  throttled  broken  void\n");
    for step in steps {
        let broken: u64 = step.outcomes.iter().flat_map(|o| o.broken.values()).sum();
        let void = step.outcomes.iter().filter(|o| !o.void.is_empty()).count();
        text += &format!(
            "{:>16}   {:.4} {:>9.1} {:>9.1} {:>10.1} {broken:>7} {void:>5}\n",
            step.value,
            step.mean(|o| o.goodput),
            step.mean(|o| o.latency.p50),
            step.mean(|o| o.latency.p99),
            step.mean(|o| o.counts.throttled as f64),
        );
    }
    text
}

/// A few lines on one run, for a terminal.
pub fn run_text(outcome: &Outcome) -> String {
    let counts = &outcome.counts;
    let mut text = format!(
        "{} ({} clock, {}, seed {}): goodput {:.4}\n  asked {} in time {} late {} throttled {} errored {} nothing {}\n\
         \x20 latency ms: p50 {:.1} p90 {:.1} p99 {:.1} p99.9 {:.1}\n  forwards {} of {} tries, {} across zones, \
         {} turned away, {} probes, {} new connections\n",
        outcome.scenario,
        outcome.clock,
        outcome.program,
        outcome.seed,
        outcome.goodput,
        counts.asked,
        counts.in_time,
        counts.late,
        counts.throttled,
        counts.errored,
        counts.nothing,
        outcome.latency.p50,
        outcome.latency.p90,
        outcome.latency.p99,
        outcome.latency.p999,
        outcome.traffic.forwards,
        outcome.traffic.tries,
        outcome.traffic.crossings,
        outcome.traffic.turned_away,
        outcome.traffic.probes,
        outcome.traffic.connections,
    );
    if let Some(comparison) = ramp::compare_with_ramp(&outcome.windows) {
        text += &format!(
            "  cold from {} s to {} s: {:.2} of the ramp's {:.2} ({:.3}; {:.2} by value), at 0.95 of it {}\n",
            comparison.from,
            comparison.until,
            comparison.achieved,
            comparison.ramp,
            comparison.achieved / comparison.ramp,
            comparison.best,
            comparison.caught_up.map_or_else(|| "never".to_owned(), |after| format!("after {after} s")),
        );
    }
    if let Some(cold) = &outcome.cold {
        let (used, most) = (cold.used, cold.most);
        text += &format!("  cold runners were sent {used:.3} of their budgets, {most:.3} of one at most\n");
        let (spans, over, most) = (cold.spans, cold.over, cold.most_by_chance);
        text += &format!(
            "  and in {over} of {spans} spans more than chance explains, {most:.3} of that at most\n"
        );
    }
    let traffic = &outcome.traffic;
    if traffic.calls > 0 {
        text +=
            &format!("  discovery was called {} times, {} in a second\n", traffic.calls, traffic.calls_most);
    }
    if traffic.datagrams > 0 {
        let rate = traffic.datagram_bytes as f64 / outcome.seconds / f64::from(outcome.dispatchers.max(1));
        let sent = traffic.datagrams;
        text += &format!("  {sent} datagrams between dispatchers, {rate:.0} bytes a second from each\n");
    }
    for process in &outcome.processes {
        let cpu_us = process.cpu_ms * 1000.0 * outcome.processes.len() as f64 / counts.asked.max(1) as f64;
        text += &format!(
            "  {}: {:.0} ms of CPU (about {cpu_us:.0} us an invocation), {} MB at most, {} starts\n",
            process.name, process.cpu_ms, process.peak_mb, process.starts
        );
    }
    outcome.notes.iter().for_each(|line| text += &format!("  note: {line}\n"));
    if outcome.broken.is_empty() {
        text += "  no rule broken\n";
    }
    for (rule, count) in &outcome.broken {
        text += &format!("  BROKEN: {rule}, {count} times\n");
    }
    for violation in outcome.verdict["kept"].as_array().into_iter().flatten().take(3) {
        text += &format!("  {} {}\n", violation["rule"], violation["what"]);
        for line in violation["history"].as_array().into_iter().flatten() {
            text += &format!("    {}\n", line.as_str().unwrap_or_default());
        }
    }
    outcome.void.iter().for_each(|line| text += &format!("  VOID: {line}\n"));
    text
}

/// Writes a file atomically: whole or not at all.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    let io_error = |error: std::io::Error| format!("{}: {error}", path.display());
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(folder).map_err(io_error)?;
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(io_error)?;
    std::io::Write::write_all(&mut file, text.as_bytes()).map_err(io_error)?;
    file.as_file().sync_all().map_err(io_error)?;
    file.persist(path).map_err(|error| io_error(error.error))?;
    Ok(())
}

/// Writes a page into a folder, which is created if needed. Returns the path of the page.
pub fn write_page(folder: &Path, name: &str, html: &str) -> Result<PathBuf, String> {
    fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    let path = folder.join(format!("{name}.html"));
    write(&path, html)?;
    Ok(path)
}

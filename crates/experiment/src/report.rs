//! Writes results: tables as Markdown, their rows as CSV, plots as SVG.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use plotters::prelude::*;
use snafu::ResultExt;

use crate::error::{Error, Result, WriteSnafu};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (720, 420);

/// A table of results, and the command that produces it.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    pub(crate) title: &'static str,
    pub(crate) command: String,
    pub(crate) columns: Vec<&'static str>,
    pub(crate) rows: Vec<Vec<String>>,
}

impl Table {
    /// Markdown text of the header and the rows, without the title.
    pub(crate) fn markdown(&self) -> String {
        let mut text = format!("| {} |\n", self.columns.join(" | "));
        text.push_str(&format!("|{}\n", "---|".repeat(self.columns.len())));
        for row in &self.rows {
            let _ = writeln!(text, "| {} |", row.join(" | "));
        }
        text
    }

    fn csv(&self) -> String {
        let csv_row = |cells: Vec<String>| {
            let cells: Vec<String> = cells
                .iter()
                .map(|cell| format!("\"{}\"", cell.replace('"', "\"\"")))
                .collect();
            cells.join(",") + "\n"
        };
        let mut text = csv_row(self.columns.iter().map(|&name| name.to_owned()).collect());
        for row in &self.rows {
            text.push_str(&csv_row(row.clone()));
        }
        text
    }
}

/// One line of a plot: its name in the legend and its (x, y) points.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Title of a plot and labels of its axes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Axes {
    pub(crate) title: &'static str,
    pub(crate) x: &'static str,
    pub(crate) y: &'static str,
}

/// The directory `measurements`, into which result files are written.
#[derive(Debug)]
pub(crate) struct Report {
    directory: PathBuf,
}

impl Report {
    /// Creates the directory `measurements` below `docs` if it does not exist.
    pub(crate) fn new(docs: &Path) -> Result<Self> {
        let directory = docs.join("measurements");
        std::fs::create_dir_all(&directory).context(WriteSnafu {
            path: directory.display().to_string(),
        })?;
        Ok(Self { directory })
    }

    /// Writes `NAME.md`, with the introduction and then each table with its command. Writes the rows
    /// of table N also to `NAME-N.csv`.
    pub(crate) fn write_page(&self, name: &str, introduction: &str, tables: &[Table]) -> Result {
        let mut text = introduction.to_owned();
        for (index, table) in tables.iter().enumerate() {
            let csv = format!("{name}-{}.csv", index + 1);
            let _ = write!(
                text,
                "\n## {}\n\n    {}\n\n{}\n([rows as CSV]({csv}))\n",
                table.title,
                table.command,
                table.markdown()
            );
            self.write_in_directory(&csv, &table.csv())?;
        }
        self.write_in_directory(&format!("{name}.md"), &text)
    }

    fn write_in_directory(&self, file: &str, text: &str) -> Result {
        write_file(&self.directory.join(file), text)
    }

    /// Draws all series into one SVG file, over common axes.
    pub(crate) fn write_plot(&self, file: &str, axes: Axes, series: &[Series]) -> Result {
        let path = self.directory.join(file);
        draw_plot(&path, axes, series).map_err(|error| Error::Unexpected {
            text: format!("cannot draw {file}: {error}"),
        })?;
        println!("Wrote {file}");
        Ok(())
    }
}

/// Writes a file, replacing its content, and prints its name.
pub(crate) fn write_file(path: &Path, text: &str) -> Result {
    std::fs::write(path, text).context(WriteSnafu {
        path: path.display().to_string(),
    })?;
    let name = path.file_name().unwrap_or_default();
    println!("Wrote {}", name.to_string_lossy());
    Ok(())
}

fn draw_plot(path: &Path, axes: Axes, series: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let all_points = || series.iter().flat_map(|one_series| &one_series.points);
    let x_max = all_points().map(|(x, _)| *x).fold(1.0, f64::max);
    let y_max = all_points()
        .map(|(_, y)| *y)
        .fold(f64::MIN_POSITIVE, f64::max);
    let drawing_area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    drawing_area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&drawing_area)
        .caption(axes.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max * 1.05, 0.0..y_max * 1.1)?;
    chart
        .configure_mesh()
        .x_desc(axes.x)
        .y_desc(axes.y)
        .draw()?;
    for (index, one_series) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(one_series.points.iter().copied(), &colour))?
            .label(&one_series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        let dots = one_series.points.iter();
        chart.draw_series(dots.map(|point| Circle::new(*point, 3, colour.filled())))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    drawing_area.present()?;
    Ok(())
}

/// Formats a number with about three significant digits, and NaN as `unknown`.
pub(crate) fn format_number(value: f64) -> String {
    match value.abs() {
        size if size.is_nan() => "unknown".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

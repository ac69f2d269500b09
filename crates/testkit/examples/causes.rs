//! Reads the logs of entries and shows why requests weren't answered in time.
//!
//! The arguments are the path of the log and, optionally, that of an SVG image to write. The log has
//! the JSON lines of any number of instances, each perhaps behind other text. Requests are counted by
//! cause: refused (E261), failed (E262) or late (E273). Entries log 100 such lines a second at most, and
//! the number of lines that they dropped is shown.

use {
    plotters::prelude::{
        ChartBuilder, Color, IntoDrawingArea, IntoFont, Palette, Palette99, Rectangle, SVGBackend,
        WHITE,
    },
    serde::Deserialize,
    serde_json::Value,
    std::{
        collections::BTreeMap,
        error::Error,
        fs::File,
        io::{BufRead, BufReader},
    },
};

/// The size of the image, in pixels.
const IMAGE_SIZE: (u32, u32) = (1_200, 600);
/// The number of causes that have a colour of their own.
const CAUSES_SHOWN: usize = 10;

/// A line of an instance's log.
#[derive(Deserialize)]
struct LogLine {
    at_ms: u64,
    code: u16,
    instance: String,
    detail: Value,
}

/// The requests that weren't answered in time.
#[derive(Default)]
struct DayCauses {
    /// The number of requests by cause.
    totals: BTreeMap<String, u64>,
    /// The same by group of instances.
    by_group: BTreeMap<String, BTreeMap<String, u64>>,
    /// The same by route; refused and failed requests have none.
    by_route: BTreeMap<String, BTreeMap<String, u64>>,
    /// The same by second, since the first line of the log.
    by_second: BTreeMap<u64, BTreeMap<String, u64>>,
    first_ms: Option<u64>,
    dropped_lines: u64,
}

impl DayCauses {
    fn add(&mut self, line: &LogLine) {
        let first_ms = *self.first_ms.get_or_insert(line.at_ms);
        let text = |name: &str| line.detail[name].as_str().unwrap_or("unknown").to_owned();
        let cause = match line.code {
            261 => format!("refused: {}", text("reason")),
            262 => format!("failed: {}", text("reason")),
            273 => {
                let is_local = line.detail["local"].as_bool().unwrap_or_default();
                let place = if is_local { "own region" } else { "other region" };
                format!("late: {}, {place}", text("cause"))
            }
            280 => {
                self.dropped_lines += line.detail["lines"].as_u64().unwrap_or_default();
                return;
            }
            _ => return,
        };
        let second = line.at_ms.saturating_sub(first_ms) / 1_000;
        // Instances of a group have names that differ in their last part only.
        let group = line.instance.rsplit_once('-').map_or(&*line.instance, |(group, _)| group);
        let count = |counts: &mut BTreeMap<String, u64>| {
            *counts.entry(cause.clone()).or_default() += 1;
        };
        count(&mut self.totals);
        count(self.by_group.entry(group.to_owned()).or_default());
        count(self.by_second.entry(second).or_default());
        if line.code == 273 {
            count(self.by_route.entry(text("route")).or_default());
        }
    }

    /// Returns the causes, the most frequent first.
    fn ranked(&self) -> Vec<&str> {
        let mut causes: Vec<(&String, &u64)> = self.totals.iter().collect();
        causes.sort_by_key(|(cause, count)| (std::cmp::Reverse(**count), *cause));
        causes.into_iter().map(|(cause, _)| cause.as_str()).collect()
    }

    fn print(&self) {
        let all: u64 = self.totals.values().sum();
        println!("requests not answered in time: {all}; dropped lines: {}", self.dropped_lines);
        for cause in self.ranked() {
            let count = self.totals[cause];
            println!("{count:>8} {:>5.1}%  {cause}", 100.0 * count as f64 / all.max(1) as f64);
        }
        for (title, parts) in [("instances", &self.by_group), ("late, by route", &self.by_route)] {
            println!("\n{title}");
            for (name, counts) in parts {
                let mut counts: Vec<(&String, &u64)> = counts.iter().collect();
                counts.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
                let sum: u64 = counts.iter().map(|(_, count)| **count).sum();
                let largest: Vec<String> = counts
                    .iter()
                    .take(3)
                    .map(|(cause, count)| format!("{count} {cause}"))
                    .collect();
                println!("{sum:>8}  {name}: {}", largest.join("; "));
            }
        }
    }

    /// Draws the requests of each second, by cause.
    fn draw(&self, path: &str) -> Result<(), Box<dyn Error>> {
        let seconds = self.by_second.keys().last().copied().unwrap_or_default() + 1;
        let highest = self.by_second.values().map(|counts| counts.values().sum::<u64>()).max();
        let area = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Requests not answered in time, by second", ("sans-serif", 20).into_font())
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0..seconds, 0..highest.unwrap_or_default() + 1)?;
        chart.configure_mesh().x_desc("seconds").y_desc("requests").draw()?;
        for (index, cause) in self.ranked().into_iter().take(CAUSES_SHOWN).enumerate() {
            let colour = Palette99::pick(index);
            let bars = self.by_second.iter().map(|(second, counts)| {
                // Causes are stacked in their order.
                let below: u64 = (self.ranked().into_iter().take(index))
                    .filter_map(|cause| counts.get(cause))
                    .sum();
                let top = below + counts.get(cause).copied().unwrap_or_default();
                Rectangle::new([(*second, below), (second + 1, top)], colour.filled())
            });
            chart.draw_series(bars)?.label(cause).legend(move |(x, y)| {
                Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled())
            });
        }
        chart.configure_series_labels().background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let path = arguments.next().ok_or("missing argument: path of the log")?;
    let mut causes = DayCauses::default();
    for line in BufReader::new(File::open(path)?).lines() {
        let line = line?;
        // Lines of other programs may be in between.
        let line = line.find('{').and_then(|start| serde_json::from_str(&line[start..]).ok());
        if let Some(line) = line {
            causes.add(&line);
        }
    }
    causes.print();
    if let Some(image) = arguments.next() {
        causes.draw(&image)?;
    }
    Ok(())
}

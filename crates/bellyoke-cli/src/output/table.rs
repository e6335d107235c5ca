//! Tables for people: columns as wide as their widest cell.

use std::fmt;

/// Spaces between columns.
const GAP: usize = 2;

/// Rows under a heading.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with a heading and no row.
    #[must_use]
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|cell| (*cell).to_owned()).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let padded = width + GAP;
                line.push_str(&format!("{cell:<padded$}"));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

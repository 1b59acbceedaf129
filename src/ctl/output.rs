//! Output of the tool: aligned tables with colour at a terminal, columns separated by tabs in a
//! pipe, JSON for programs.

use std::io;
use std::io::IsTerminal;
use std::io::Write;

use clap::ArgMatches;
use serde::Serialize;

use super::exit::CtlError;
use super::exit::ExitKind;

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns, for people.
    Table {
        /// Enables colour.
        color: bool,
    },
    /// Columns separated by tabs, for other commands.
    Plain,
    /// JSON, for programs.
    Json,
}

/// Severity of a cell's value, shown as colour.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CellStyle {
    /// No colour.
    #[default]
    Normal,
    /// Green: as it should be.
    Good,
    /// Yellow: needs attention.
    Warning,
    /// Red: needs attention now.
    Bad,
}

/// One cell of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableCell {
    text: String,
    style: CellStyle,
}

impl TableCell {
    /// Creates a cell with a style.
    #[must_use]
    pub fn styled(text: impl Into<String>, style: CellStyle) -> Self {
        Self {
            text: text.into(),
            style,
        }
    }
}

impl<T: ToString> From<T> for TableCell {
    fn from(value: T) -> Self {
        Self::styled(value.to_string(), CellStyle::Normal)
    }
}

/// A table with a header row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextTable {
    header: Vec<&'static str>,
    rows: Vec<Vec<TableCell>>,
}

impl TextTable {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(header: &[&'static str]) -> Self {
        Self {
            header: header.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<TableCell>) {
        self.rows.push(cells);
    }

    /// Formats the table; [`OutputFormat::Json`] is treated as [`OutputFormat::Plain`].
    #[must_use]
    pub fn text(&self, format: OutputFormat) -> String {
        let widths = self.widths();
        let mut text = String::new();
        let header: Vec<TableCell> = self.header.iter().map(|name| (*name).into()).collect();
        for row in std::iter::once(&header).chain(&self.rows) {
            match format {
                OutputFormat::Table { color } => push_aligned(&mut text, row, &widths, color),
                _ => push_plain(&mut text, row),
            }
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let width = |column: usize, name: &str| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            let widest = cells.map(|cell| cell.text.chars().count()).max();
            widest.unwrap_or(0).max(name.len())
        };
        let names = self.header.iter().enumerate();
        names.map(|(column, name)| width(column, name)).collect()
    }
}

fn push_aligned(text: &mut String, row: &[TableCell], widths: &[usize], color: bool) {
    let mut line = String::new();
    for (cell, width) in row.iter().zip(widths) {
        let gap = " ".repeat(width.saturating_sub(cell.text.chars().count()) + 2);
        line.push_str(&colorize(&cell.text, cell.style, color));
        line.push_str(&gap);
    }
    text.push_str(line.trim_end());
    text.push('\n');
}

fn push_plain(text: &mut String, row: &[TableCell]) {
    let cells: Vec<&str> = row.iter().map(|cell| cell.text.as_str()).collect();
    text.push_str(&cells.join("\t"));
    text.push('\n');
}

fn colorize(text: &str, style: CellStyle, color: bool) -> String {
    let code = match style {
        CellStyle::Normal => return text.to_owned(),
        CellStyle::Good => 32,
        CellStyle::Warning => 33,
        CellStyle::Bad => 31,
    };
    if color {
        format!("\u{1b}[{code}m{text}\u{1b}[0m")
    } else {
        text.to_owned()
    }
}

/// Writes to standard output in the chosen format.
#[derive(Debug)]
pub struct OutputWriter {
    format: OutputFormat,
}

impl OutputWriter {
    /// Chooses the format by the arguments, the terminal and `NO_COLOR`.
    #[must_use]
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let terminal = io::stdout().is_terminal();
        let color = match matches.get_one::<String>("color").map(String::as_str) {
            Some("always") => true,
            Some("never") => false,
            _ => terminal && std::env::var_os("NO_COLOR").is_none(),
        };
        let format = match matches.get_one::<String>("format").map(String::as_str) {
            _ if matches.get_flag("json") => OutputFormat::Json,
            Some("json") => OutputFormat::Json,
            Some("table") => OutputFormat::Table { color },
            Some("plain") => OutputFormat::Plain,
            _ if terminal => OutputFormat::Table { color },
            _ => OutputFormat::Plain,
        };
        Self { format }
    }

    /// Returns true if the format is JSON.
    #[must_use]
    pub fn is_json(&self) -> bool {
        self.format == OutputFormat::Json
    }

    /// Prints a value as JSON, or as the text that `text` formats.
    ///
    /// # Errors
    /// If standard output is closed.
    pub fn value<T: Serialize>(
        &mut self,
        value: &T,
        text: impl FnOnce(&T, OutputFormat) -> String,
    ) -> Result<(), CtlError> {
        let text = if self.is_json() {
            let mut text = serde_json::to_string_pretty(value)
                .map_err(|error| CtlError::new(ExitKind::File, error.to_string()))?;
            text.push('\n');
            text
        } else {
            text(value, self.format)
        };
        self.print(&text)
    }

    /// Prints text unchanged.
    ///
    /// # Errors
    /// If standard output is closed.
    pub fn print(&mut self, text: &str) -> Result<(), CtlError> {
        io::stdout()
            .write_all(text.as_bytes())
            .map_err(|error| CtlError::new(ExitKind::File, format!("standard output: {error}")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_are_aligned_in_tables_and_separated_by_tabs_in_plain_output() {
        let mut table = TextTable::new(&["team", "waiting"]);
        table.row(vec!["nadi".into(), TableCell::styled("12", CellStyle::Bad)]);
        let aligned = table.text(OutputFormat::Table { color: false });
        assert_eq!(aligned, "team  waiting\nnadi  12\n");
        assert_eq!(table.text(OutputFormat::Plain), "team\twaiting\nnadi\t12\n");
        let colored = table.text(OutputFormat::Table { color: true });
        assert!(colored.contains("\u{1b}[31m12\u{1b}[0m"));
    }
}

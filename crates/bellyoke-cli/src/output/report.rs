//! What a command has to say: for people and for programs.

use crate::arguments::OutputFormat;
use crate::failure::Failure;
use serde::Serialize;
use serde_json::{Value, json};

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Report {
    /// A report whose JSON form is that of `value`.
    pub fn new(text: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(value).unwrap_or(Value::Null),
        }
    }

    /// The report in the given form.
    #[must_use]
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Table => self.text.clone(),
            OutputFormat::Json => format!("{:#}\n", self.json),
        }
    }
}

/// A failure in the given form.
#[must_use]
pub fn render_failure(failure: &Failure, format: OutputFormat) -> String {
    match format {
        OutputFormat::Table => format!("{failure}\n"),
        OutputFormat::Json => {
            let value = json!({
                "code": failure.code.to_string(),
                "name": failure.code.name(),
                "message": failure.message,
                "remedy": failure.code.remedy(),
            });
            format!("{value:#}\n")
        }
    }
}

//! Parses and validates the text of a settings file.

use super::check;
use super::descriptor::{DefaultValue, KeyDescriptor, Schema, ValueKind};
use super::flags::Override;
use super::problem::{Problem, Problems};
use bellyoke_api::result_code::ResultCode;
use serde::de::DeserializeOwned;
use std::path::Path;
use toml::{Table, Value};

/// Returns the parsed table, with overrides and defaults applied, and all problems found in it.
///
/// # Errors
///
/// Returns an error if the text is not valid TOML.
pub fn checked_table(
    schema: &Schema,
    text: &str,
    overrides: &[Override],
) -> Result<(Table, Vec<Problem>), Problems> {
    let mut table = parse_table(text)?;
    apply_overrides(&mut table, overrides);
    let mut problems = unknown_keys(schema, &table);
    for descriptor in schema.keys {
        check_key(descriptor, &mut table, &mut problems);
    }
    Ok((table, problems))
}

fn parse_table(text: &str) -> Result<Table, Problems> {
    text.parse::<Table>().map_err(|error| {
        Problems(vec![Problem {
            code: ResultCode::SettingsSyntax,
            key: "settings file".to_owned(),
            value: error.to_string().trim_end().replace('\n', "\n    "),
            allowed: "TOML".to_owned(),
        }])
    })
}

fn apply_overrides(table: &mut Table, overrides: &[Override]) {
    for item in overrides {
        let section = table
            .entry(item.descriptor.section)
            .or_insert_with(|| Value::Table(Table::new()));
        if let Value::Table(section) = section {
            section.insert(item.descriptor.name.to_owned(), item.value.clone());
        }
    }
}

fn unknown_keys(schema: &Schema, table: &Table) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (section, content) in table {
        let known = schema.has_section(section);
        match content {
            Value::Table(content) if known => {
                let unknown = content
                    .iter()
                    .filter(|(name, _)| schema.find(section, name).is_none());
                for (name, value) in unknown {
                    problems.push(unknown_key(schema, format!("{section}.{name}"), value));
                }
            }
            _ => problems.push(unknown_key(schema, section.clone(), content)),
        }
    }
    problems
}

fn unknown_key(schema: &Schema, key: String, value: &Value) -> Problem {
    Problem {
        code: ResultCode::UnknownKey,
        key,
        value: value.to_string().trim().replace('\n', ", "),
        allowed: format!("keys of {}", schema.page),
    }
}

/// Validates a key, or inserts its default if it is absent.
fn check_key(descriptor: &KeyDescriptor, table: &mut Table, problems: &mut Vec<Problem>) {
    let section = table
        .entry(descriptor.section)
        .or_insert_with(|| Value::Table(Table::new()));
    let Value::Table(section) = section else {
        return;
    };
    if let Some(value) = section.get_mut(descriptor.name) {
        normalize_number(descriptor, value);
        check::check_value(descriptor, value, problems);
        return;
    }
    match descriptor.default {
        DefaultValue::Absent => {}
        DefaultValue::Literal(literal) => {
            if let Some(value) = literal_value(literal) {
                section.insert(descriptor.name.to_owned(), value);
            }
        }
        DefaultValue::Required => problems.push(Problem {
            code: ResultCode::MissingKey,
            key: descriptor.path(),
            value: "nothing".to_owned(),
            allowed: descriptor.kind.to_string(),
        }),
    }
}

/// Converts a float without a fraction, such as `3000.0`, to an integer if the key takes one.
fn normalize_number(descriptor: &KeyDescriptor, value: &mut Value) {
    const MAXIMUM_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;
    if let (ValueKind::Integer { .. }, Value::Float(number)) = (descriptor.kind, &*value)
        && number.fract() == 0.0
        && number.abs() <= MAXIMUM_EXACT_INTEGER
    {
        // Exact: the number is whole and within the range in which `f64` represents every integer.
        #[expect(clippy::cast_possible_truncation)]
        let whole = *number as i64;
        *value = Value::Integer(whole);
    }
}

/// Parses a TOML literal.
pub(super) fn literal_value(literal: &str) -> Option<Value> {
    let table: Table = format!("value = {literal}").parse().ok()?;
    table.get("value").cloned()
}

/// Deserializes a validated table into a settings type.
///
/// # Errors
///
/// Returns an error if the fields of the type differ from the keys of the schema.
pub fn into_typed<Settings: DeserializeOwned>(
    schema: &Schema,
    table: Table,
) -> Result<Settings, Problems> {
    Value::Table(table).try_into().map_err(|error| {
        Problems(vec![Problem {
            code: ResultCode::WrongType,
            key: "settings file".to_owned(),
            value: error.to_string(),
            allowed: format!("values of {}", schema.page),
        }])
    })
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read_file(path: &Path) -> Result<String, Problems> {
    std::fs::read_to_string(path).map_err(|error| {
        Problems(vec![Problem {
            code: ResultCode::SettingsUnreadable,
            key: "--config".to_owned(),
            value: format!("{}: {error}", path.display()),
            allowed: "a readable file".to_owned(),
        }])
    })
}

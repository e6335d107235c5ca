//! Label selectors as they stand in a query string.

use super::refusal::Refusal;
use std::collections::BTreeMap;

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Condition {
    In(String, Vec<String>),
    NotIn(String, Vec<String>),
    Exists(String),
    Missing(String),
}

/// Conditions that must all hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LabelSelector(Vec<Condition>);

impl LabelSelector {
    /// Reads equality-based and set-based conditions, joined by commas.
    ///
    /// # Errors
    /// A condition can't be understood.
    pub fn parse(text: &str) -> Result<Self, Refusal> {
        let conditions = split_conditions(text).into_iter();
        let conditions = conditions.filter(|condition| !condition.is_empty());
        conditions
            .map(parse_condition)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// Whether the labels fulfil all conditions.
    #[must_use]
    pub fn matches(&self, labels: &BTreeMap<&str, &str>) -> bool {
        self.0.iter().all(|condition| holds(condition, labels))
    }
}

fn holds(condition: &Condition, labels: &BTreeMap<&str, &str>) -> bool {
    let has = |name: &str, values: &[String]| {
        labels
            .get(name)
            .is_some_and(|label| values.iter().any(|value| value == label))
    };
    match condition {
        Condition::In(name, values) => has(name, values),
        Condition::NotIn(name, values) => !has(name, values),
        Condition::Exists(name) => labels.contains_key(name.as_str()),
        Condition::Missing(name) => !labels.contains_key(name.as_str()),
    }
}

/// Splits at the commas outside parentheses.
fn split_conditions(text: &str) -> Vec<&str> {
    let mut depth = 0_usize;
    let split = |character: char| {
        match character {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        character == ',' && depth == 0
    };
    text.split(split).map(str::trim).collect()
}

fn parse_condition(text: &str) -> Result<Condition, Refusal> {
    if let Some(name) = text.strip_prefix('!') {
        return Ok(Condition::Missing(label_name(name, text)?));
    }
    if let Some((name, values)) = text.split_once(" notin ") {
        return Ok(Condition::NotIn(
            label_name(name, text)?,
            set(values, text)?,
        ));
    }
    if let Some((name, values)) = text.split_once(" in ") {
        return Ok(Condition::In(label_name(name, text)?, set(values, text)?));
    }
    if let Some((name, value)) = text.split_once("!=") {
        return Ok(Condition::NotIn(
            label_name(name, text)?,
            vec![value.trim().to_owned()],
        ));
    }
    if let Some((name, value)) = text.split_once('=') {
        let value = value.trim_start_matches('=').trim();
        return Ok(Condition::In(
            label_name(name, text)?,
            vec![value.to_owned()],
        ));
    }
    Ok(Condition::Exists(label_name(text, text)?))
}

fn label_name(name: &str, condition: &str) -> Result<String, Refusal> {
    let name = name.trim();
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_./".contains(character);
    if name.is_empty() || !name.chars().all(allowed) {
        return Err(malformed(condition));
    }
    Ok(name.to_owned())
}

fn set(text: &str, condition: &str) -> Result<Vec<String>, Refusal> {
    let inner = text
        .trim()
        .strip_prefix('(')
        .and_then(|text| text.strip_suffix(')'));
    let inner = inner.ok_or_else(|| malformed(condition))?;
    Ok(inner
        .split(',')
        .map(|value| value.trim().to_owned())
        .collect())
}

fn malformed(condition: &str) -> Refusal {
    Refusal::BadRequest {
        message: format!("unable to parse requirement {condition:?} of the label selector"),
    }
}

//! Selectors and label changes as operators write them.

use bellyoke_core::generation::{Requirement, Selector, SelectorError, SelectorOperator};
use thiserror::Error;

/// Why a selector can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SelectorSyntaxError {
    /// A list of values without its end.
    #[error("`{0}` lacks its closing parenthesis")]
    Unclosed(String),
    /// Not one of the forms of a condition.
    #[error("`{0}` is not a condition: write k=v, k!=v, `k in (a,b)`, `k notin (a,b)`, k or !k")]
    Condition(String),
    /// One label is asked to have two values.
    #[error("label `{0}` is asked to have two values")]
    Twice(String),
    /// A key or value breaks a rule.
    #[error(transparent)]
    Invalid(#[from] SelectorError),
}

/// Reads the form that `kubectl --selector` takes, such as `app=till,zone in (cork,kerry)`.
///
/// # Errors
/// When a condition isn't well formed.
pub fn parse_selector(text: &str) -> Result<Selector, SelectorSyntaxError> {
    let mut selector = Selector::default();
    for condition in split_conditions(text)? {
        add_condition(&mut selector, condition)?;
    }
    selector.validate()?;
    Ok(selector)
}

/// Splits at the commas that stand outside of parentheses.
fn split_conditions(text: &str) -> Result<Vec<&str>, SelectorSyntaxError> {
    let mut conditions = Vec::new();
    let mut start = 0;
    let mut in_list = false;
    for (position, character) in text.char_indices() {
        match character {
            '(' => in_list = true,
            ')' => in_list = false,
            ',' if !in_list => {
                conditions.push(text[start..position].trim());
                start = position + 1;
            }
            _ => {}
        }
    }
    if in_list {
        return Err(SelectorSyntaxError::Unclosed(text[start..].to_owned()));
    }
    conditions.push(text[start..].trim());
    Ok(conditions)
}

fn add_condition(selector: &mut Selector, condition: &str) -> Result<(), SelectorSyntaxError> {
    if let Some(requirement) = set_condition(condition) {
        selector.match_expressions.push(requirement);
        return Ok(());
    }
    if let Some((key, value)) = condition.split_once("!=") {
        let requirement = requirement(key, SelectorOperator::NotIn, vec![value.trim().to_owned()]);
        selector.match_expressions.push(requirement);
        return Ok(());
    }
    if let Some((key, value)) = condition.split_once('=') {
        let value = value.strip_prefix('=').unwrap_or(value).trim().to_owned();
        let key = key.trim().to_owned();
        return match selector.match_labels.insert(key.clone(), value) {
            Some(_) => Err(SelectorSyntaxError::Twice(key)),
            None => Ok(()),
        };
    }
    let (key, operator) = match condition.strip_prefix('!') {
        Some(key) => (key.trim(), SelectorOperator::DoesNotExist),
        None => (condition, SelectorOperator::Exists),
    };
    if key.is_empty() || key.contains(char::is_whitespace) {
        return Err(SelectorSyntaxError::Condition(condition.to_owned()));
    }
    let requirement = requirement(key, operator, Vec::new());
    selector.match_expressions.push(requirement);
    Ok(())
}

/// `key in (a,b)` or `key notin (a,b)`.
fn set_condition(condition: &str) -> Option<Requirement> {
    let (head, list) = condition.strip_suffix(')')?.split_once('(')?;
    let mut words = head.split_whitespace();
    let (key, operator) = (words.next()?, words.next()?);
    let operator = match operator {
        "in" => SelectorOperator::In,
        "notin" => SelectorOperator::NotIn,
        _ => return None,
    };
    let is_whole = words.next().is_none();
    is_whole.then(|| requirement(key, operator, list_values(list)))
}

/// An empty list has no value, not an empty one.
fn list_values(list: &str) -> Vec<String> {
    if list.trim().is_empty() {
        return Vec::new();
    }
    let values = list.split(',');
    values.map(|value| value.trim().to_owned()).collect()
}

fn requirement(key: &str, operator: SelectorOperator, values: Vec<String>) -> Requirement {
    Requirement {
        key: key.trim().to_owned(),
        operator,
        values,
    }
}

/// A change of one label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LabelChange {
    /// Give the label a value.
    Set {
        /// Name of the label.
        key: String,
        /// Its value.
        value: String,
    },
    /// Take the label away.
    Remove {
        /// Name of the label.
        key: String,
    },
}

/// Reads `key=value` or `key-`.
#[must_use]
pub fn parse_label_change(text: &str) -> Option<LabelChange> {
    if let Some((key, value)) = text.split_once('=') {
        let (key, value) = (key.to_owned(), value.to_owned());
        return Some(LabelChange::Set { key, value });
    }
    let key = text.strip_suffix('-')?.to_owned();
    Some(LabelChange::Remove { key })
}

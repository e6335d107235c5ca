//! Matching and validation of label selectors.

use crate::generation::objects::{Labels, Requirement, Selector, SelectorOperator};
use thiserror::Error;

/// Maximum length of the name part and of the value of a label (Kubernetes label syntax).
const MAXIMUM_LABEL_BYTES: usize = 63;
/// Maximum length of the prefix of a label key (Kubernetes label syntax).
const MAXIMUM_PREFIX_BYTES: usize = 253;

/// A validation error of a selector or a label.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SelectorError {
    /// The selector has no condition and would match every backend.
    #[error("a selector without a condition would match every backend")]
    NoCondition,
    /// Invalid label key.
    #[error("`{0}` is not a valid label key")]
    Key(String),
    /// Invalid label value.
    #[error("`{value}` is not a value that label `{key}` can have")]
    Value {
        /// Name of the label.
        key: String,
        /// The invalid value.
        value: String,
    },
    /// `In` and `NotIn` require at least one value.
    #[error("the condition on label `{0}` names no value to compare with")]
    ValuesMissing(String),
    /// `Exists` and `DoesNotExist` take no values.
    #[error("the condition on label `{0}` takes no values")]
    ValuesUnexpected(String),
}

impl Selector {
    /// Returns whether all conditions hold for `labels`.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        let equal = self
            .match_labels
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value));
        equal && self.match_expressions.iter().all(|r| r.matches(labels))
    }

    /// Checks that the selector has at least one condition and that all conditions are well formed.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn validate(&self) -> Result<(), SelectorError> {
        if self.match_labels.is_empty() && self.match_expressions.is_empty() {
            return Err(SelectorError::NoCondition);
        }
        validate_labels(&self.match_labels)?;
        self.match_expressions
            .iter()
            .try_for_each(Requirement::validate)
    }
}

impl Requirement {
    /// Returns whether the condition holds for `labels`.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        match self.operator {
            SelectorOperator::In => value.is_some_and(|value| self.values.contains(value)),
            SelectorOperator::NotIn => value.is_none_or(|value| !self.values.contains(value)),
            SelectorOperator::Exists => value.is_some(),
            SelectorOperator::DoesNotExist => value.is_none(),
        }
    }

    fn validate(&self) -> Result<(), SelectorError> {
        validate_key(&self.key)?;
        let compares = matches!(
            self.operator,
            SelectorOperator::In | SelectorOperator::NotIn
        );
        if compares && self.values.is_empty() {
            return Err(SelectorError::ValuesMissing(self.key.clone()));
        }
        if !compares && !self.values.is_empty() {
            return Err(SelectorError::ValuesUnexpected(self.key.clone()));
        }
        self.values
            .iter()
            .try_for_each(|value| validate_value(&self.key, value))
    }
}

/// Checks the syntax of all label keys and values.
///
/// # Errors
/// Returns the first error found.
pub fn validate_labels(labels: &Labels) -> Result<(), SelectorError> {
    labels.iter().try_for_each(|(key, value)| {
        validate_key(key)?;
        validate_value(key, value)
    })
}

fn validate_key(key: &str) -> Result<(), SelectorError> {
    let (prefix, name) = match key.split_once('/') {
        Some((prefix, name)) => (Some(prefix), name),
        None => (None, key),
    };
    let prefix_valid = prefix.is_none_or(is_label_prefix);
    if prefix_valid && !name.is_empty() && is_label_text(name) {
        return Ok(());
    }
    Err(SelectorError::Key(key.to_owned()))
}

fn validate_value(key: &str, value: &str) -> Result<(), SelectorError> {
    if is_label_text(value) {
        return Ok(());
    }
    Err(SelectorError::Value {
        key: key.to_owned(),
        value: value.to_owned(),
    })
}

fn is_label_prefix(prefix: &str) -> bool {
    let bytes = prefix.as_bytes();
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-.".contains(byte);
    !bytes.is_empty() && bytes.len() <= MAXIMUM_PREFIX_BYTES && bytes.iter().all(allowed)
}

/// Returns whether `text` is empty, or consists of ASCII letters, digits, `-`, `_` and `.` with a
/// letter or digit at each end.
fn is_label_text(text: &str) -> bool {
    let bytes = text.as_bytes();
    let (Some(first), Some(last)) = (bytes.first(), bytes.last()) else {
        return true;
    };
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.".contains(byte);
    bytes.len() <= MAXIMUM_LABEL_BYTES
        && first.is_ascii_alphanumeric()
        && last.is_ascii_alphanumeric()
        && bytes.iter().all(allowed)
}

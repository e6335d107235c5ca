//! Problems found in settings.

use bellyoke_api::result_code::ResultCode;
use std::fmt;

/// A problem in the settings, with the information an operator needs to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The kind of problem.
    pub code: ResultCode,
    /// The key as `section.name`, or the flag or file that is invalid.
    pub key: String,
    /// The value that was found.
    pub value: String,
    /// The allowed values.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} {}: found {}, allowed: {}",
            self.code, self.key, self.value, self.allowed
        )
    }
}

/// All problems found in a set of settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the settings have {} problem(s)", self.0.len())?;
        for problem in &self.0 {
            write!(formatter, "\n  {problem}")?;
        }
        Ok(())
    }
}

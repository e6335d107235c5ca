//! What is wrong with settings.

use bellyoke_api::result_code::ResultCode;
use std::fmt;

/// One thing that is wrong, with all an operator needs to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What kind of problem it is.
    pub code: ResultCode,
    /// The key, `section.name`, or what else is wrong.
    pub key: String,
    /// The value that was found.
    pub value: String,
    /// What would be allowed.
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

/// All that is wrong with one set of settings; never empty.
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

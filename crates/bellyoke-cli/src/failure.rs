//! Why a command ends without success: a numbered code and a message.

use bellyoke_api::result_code::ResultCode;
use std::fmt;

/// A refused or failed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The numbered result.
    pub code: ResultCode,
    /// What is wrong in this case.
    pub message: String,
}

impl Failure {
    /// A failure with its message.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "error {}: {}", self.code, self.message)?;
        write!(formatter, "  {}", self.code.remedy())
    }
}

impl std::error::Error for Failure {}

//! Validation of the operators' objects.

use crate::generation::objects::{BackendObject, ServiceObject};
use crate::generation::selector::{SelectorError, validate_labels};
use std::ops::RangeInclusive;
use thiserror::Error;

/// Valid weights of a backend.
pub const BACKEND_WEIGHTS: RangeInclusive<u32> = 1..=1000;
/// Valid weights of a selector.
pub const SELECTOR_WEIGHTS: RangeInclusive<u32> = 0..=1000;
/// Valid numbers of buckets in a lookup table.
pub const TABLE_SIZES: RangeInclusive<u32> = 1..=65_536;
/// Valid idle timeouts of a service, in seconds.
pub const IDLE_TIMEOUTS: RangeInclusive<u32> = 1..=86_400;

/// A validation error of an operator's object.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ObjectError {
    /// A number is out of range.
    #[error("{field} is {value}, outside the range {}..={}", .limits.start(), .limits.end())]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: u32,
        /// Its valid range.
        limits: RangeInclusive<u32>,
    },
    /// The port is 0.
    #[error("{0} has port 0")]
    PortZero(&'static str),
    /// The address is not that of a single host.
    #[error("{0} is unspecified or multicast")]
    Address(&'static str),
    /// A selector of the service is invalid.
    #[error("selector {index}: {error}")]
    Selector {
        /// Position of the selector, starting at 0.
        index: usize,
        /// The error.
        error: SelectorError,
    },
    /// A label of the backend is invalid.
    #[error(transparent)]
    Label(#[from] SelectorError),
}

impl ServiceObject {
    /// Checks that all fields are valid.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn validate(&self) -> Result<(), ObjectError> {
        if self.port == 0 {
            return Err(ObjectError::PortZero("address"));
        }
        if self.address.is_unspecified() || self.address.is_multicast() {
            return Err(ObjectError::Address("address"));
        }
        check_range("buckets", self.buckets, TABLE_SIZES)?;
        check_range(
            "idleTimeoutSeconds",
            self.idle_timeout_seconds,
            IDLE_TIMEOUTS,
        )?;
        for (index, weighted) in self.selectors.iter().enumerate() {
            check_range("selector weight", weighted.weight, SELECTOR_WEIGHTS)?;
            let result = weighted.selector.validate();
            result.map_err(|error| ObjectError::Selector { index, error })?;
        }
        Ok(())
    }
}

impl BackendObject {
    /// Checks that all fields are valid.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn validate(&self) -> Result<(), ObjectError> {
        if self.tunnel.port() == 0 {
            return Err(ObjectError::PortZero("tunnel"));
        }
        if self.tunnel.ip().is_unspecified() || self.tunnel.ip().is_multicast() {
            return Err(ObjectError::Address("tunnel"));
        }
        check_range("weight", self.weight, BACKEND_WEIGHTS)?;
        validate_labels(&self.labels)?;
        Ok(())
    }
}

fn check_range(
    field: &'static str,
    value: u32,
    limits: RangeInclusive<u32>,
) -> Result<(), ObjectError> {
    if limits.contains(&value) {
        return Ok(());
    }
    Err(ObjectError::OutOfRange {
        field,
        value,
        limits,
    })
}

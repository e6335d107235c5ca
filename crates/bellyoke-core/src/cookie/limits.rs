//! Limits of what records from a store may contain.

use crate::cookie::instance::InstanceRecord;
use crate::cookie::route::Configuration;
use std::net::SocketAddrV4;

/// Maximum length in bytes of the names of objects, services and zones. Nodes pass them on in
/// snapshots and deltas of limited length. It is that of a DNS name.
pub const MAXIMUM_NAME_BYTES: usize = 253;

/// Why a record can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// A name exceeds [`MAXIMUM_NAME_BYTES`].
    #[error("the name of a {field} has {length} bytes, at most {MAXIMUM_NAME_BYTES} are allowed")]
    NameTooLong {
        /// What it names.
        field: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// No process can have this address.
    #[error("no process can have the address {0}")]
    Address(SocketAddrV4),
}

/// Checks the length of a name.
///
/// ```
/// use bellyoke_core::cookie::limits::check_name;
///
/// assert!(check_name("zone", "cork").is_ok());
/// assert!(check_name("zone", &"x".repeat(254)).is_err());
/// ```
///
/// # Errors
///
/// Returns [`LimitError::NameTooLong`].
pub const fn check_name(field: &'static str, name: &str) -> Result<(), LimitError> {
    let length = name.len();
    if length > MAXIMUM_NAME_BYTES {
        return Err(LimitError::NameTooLong { field, length });
    }
    Ok(())
}

/// Returns the position after an object in a list that is ordered by name. For a name that is too
/// long for a query it is after all names that begin with the same [`MAXIMUM_NAME_BYTES`] bytes:
/// objects with such names can't be used.
///
/// ```
/// use bellyoke_core::cookie::limits::position_after;
///
/// assert_eq!(position_after("i-1".to_owned()), "i-1");
/// let long = "x".repeat(10_000);
/// assert!(position_after(long.clone()) > long);
/// ```
#[must_use]
pub fn position_after(name: String) -> String {
    if name.len() <= MAXIMUM_NAME_BYTES {
        return name;
    }
    let mut position = name;
    position.truncate(position.floor_char_boundary(MAXIMUM_NAME_BYTES));
    position.push(char::MAX);
    position
}

impl InstanceRecord {
    /// Checks the names and the address of the record.
    ///
    /// # Errors
    ///
    /// Returns [`LimitError`] if a name is too long, or no process can have the address.
    pub fn check_limits(&self) -> Result<(), LimitError> {
        check_name("service", &self.service)?;
        check_name("zone", &self.zone)?;
        let ip = self.address.ip();
        let is_group = ip.is_multicast() || ip.is_broadcast();
        if self.address.port() == 0 || ip.is_unspecified() || is_group {
            return Err(LimitError::Address(self.address));
        }
        Ok(())
    }
}

impl Configuration {
    /// Checks the names of the services.
    ///
    /// # Errors
    ///
    /// Returns [`LimitError::NameTooLong`].
    pub fn check_limits(&self) -> Result<(), LimitError> {
        let names = self.service_names();
        names
            .iter()
            .try_for_each(|name| check_name("service", name))
    }
}

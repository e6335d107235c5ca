//! Checks of single fields, and the errors that name them.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::str::FromStr;

/// A field that holds something else than it may.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {value:?} is not {allowed}")]
pub struct InvalidField {
    /// Path of the field in the object.
    pub field: String,
    /// What it holds.
    pub value: String,
    /// What it may hold.
    pub allowed: String,
}

/// An object with a field that holds something else than it may.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} {name:?}: {source}")]
pub struct InvalidObject {
    /// Its kind.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// The field.
    pub source: InvalidField,
}

impl InvalidField {
    /// The error that `field` holds `value` instead of `allowed`.
    pub(crate) fn new(
        field: impl Into<String>,
        value: impl Display,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }

    pub(crate) fn of(self, kind: &str, name: &str) -> InvalidObject {
        InvalidObject {
            kind: kind.to_owned(),
            name: name.to_owned(),
            source: self,
        }
    }
}

/// An IP number. Host names are refused: nodes could resolve them differently.
pub(crate) fn ip_address(field: &str, value: &str) -> Result<IpAddr, InvalidField> {
    parse(field, value, "an IP address (host names are not allowed)")
}

/// An IP number and port other than zero.
pub(crate) fn socket_address(field: &str, value: &str) -> Result<SocketAddr, InvalidField> {
    const ALLOWED: &str = "IP:PORT with a port from 1 to 65535 (host names are not allowed)";
    let address: SocketAddr = parse(field, value, ALLOWED)?;
    if address.port() == 0 {
        return Err(InvalidField::new(field, value, ALLOWED));
    }
    Ok(address)
}

/// A whole number in a range.
pub(crate) fn integer<T: TryFrom<i64>>(
    field: &str,
    value: i64,
    range: RangeInclusive<i64>,
) -> Result<T, InvalidField> {
    let error = || {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        InvalidField::new(field, value, allowed)
    };
    if !range.contains(&value) {
        return Err(error());
    }
    T::try_from(value).map_err(|_| error())
}

/// A power of two in a range.
pub(crate) fn power_of_two(
    field: &str,
    value: i64,
    range: RangeInclusive<i64>,
) -> Result<u32, InvalidField> {
    let number: u32 = integer(field, value, range.clone()).unwrap_or(0);
    if number.is_power_of_two() {
        return Ok(number);
    }
    let allowed = format!("a power of two from {} to {}", range.start(), range.end());
    Err(InvalidField::new(field, value, allowed))
}

/// One of a few words.
pub(crate) fn choice<T: Copy>(
    field: &str,
    value: &str,
    choices: &[(&str, T)],
) -> Result<T, InvalidField> {
    let found = choices.iter().find(|(word, _)| *word == value);
    found.map(|(_, choice)| *choice).ok_or_else(|| {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        InvalidField::new(field, value, format!("one of {}", words.join(", ")))
    })
}

/// Anything that has a textual form.
pub(crate) fn parse<T: FromStr>(
    field: &str,
    value: &str,
    allowed: &str,
) -> Result<T, InvalidField> {
    value
        .parse()
        .map_err(|_| InvalidField::new(field, value, allowed))
}

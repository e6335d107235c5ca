//! Validates single values against their descriptors.

use super::descriptor::{KeyDescriptor, ValueKind};
use super::problem::Problem;
use bellyoke_api::result_code::ResultCode;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use toml::Value;

/// Lower ports are system ports, which require privileges (RFC 6335, section 6).
const FIRST_UNPRIVILEGED_PORT: u16 = 1024;

/// Maximum length of a name, as for a DNS label (RFC 1035, section 2.3.4).
const MAXIMUM_NAME_BYTES: usize = 63;

/// Validates `value` and appends all problems found to `problems`.
pub fn check_value(descriptor: &KeyDescriptor, value: &Value, problems: &mut Vec<Problem>) {
    let outcome = match descriptor.kind {
        ValueKind::Integer { minimum, maximum } => check_integer(value, minimum, maximum),
        ValueKind::Number { minimum, maximum } => check_number(value, minimum, maximum),
        ValueKind::Boolean => check_type(value.is_bool()),
        ValueKind::Choice(choices) => {
            check_text(value, |text| check_range(choices.contains(&text)))
        }
        ValueKind::Name => check_text(value, |text| check_range(is_name(text))),
        ValueKind::Address => check_text(value, check_address),
        ValueKind::Url => check_text(value, check_url),
        ValueKind::AddressList { maximum_items } => check_list(
            descriptor,
            value,
            0..=maximum_items,
            check_address,
            problems,
        ),
        ValueKind::PathList { maximum_items } => check_list(
            descriptor,
            value,
            1..=maximum_items,
            |path| check_range(!path.is_empty()),
            problems,
        ),
    };
    if let Err(code) = outcome {
        problems.push(problem(descriptor, value, code));
    }
}

fn problem(descriptor: &KeyDescriptor, value: &Value, code: ResultCode) -> Problem {
    Problem {
        code,
        key: descriptor.path(),
        value: value.to_string(),
        allowed: descriptor.kind.to_string(),
    }
}

fn check_integer(value: &Value, minimum: i64, maximum: i64) -> Result<(), ResultCode> {
    let number = value.as_integer().ok_or(ResultCode::WrongType)?;
    check_range((minimum..=maximum).contains(&number))
}

fn check_number(value: &Value, minimum: i64, maximum: i64) -> Result<(), ResultCode> {
    #[expect(clippy::cast_precision_loss)]
    let range = minimum as f64..=maximum as f64;
    let number = match value {
        Value::Float(number) => *number,
        #[expect(clippy::cast_precision_loss)]
        Value::Integer(number) => *number as f64,
        _ => return Err(ResultCode::WrongType),
    };
    check_range(range.contains(&number))
}

fn check_type(matches: bool) -> Result<(), ResultCode> {
    matches.then_some(()).ok_or(ResultCode::WrongType)
}

fn check_range(inside: bool) -> Result<(), ResultCode> {
    inside.then_some(()).ok_or(ResultCode::OutOfRange)
}

fn check_text(
    value: &Value,
    check: impl Fn(&str) -> Result<(), ResultCode>,
) -> Result<(), ResultCode> {
    check(value.as_str().ok_or(ResultCode::WrongType)?)
}

/// Validates a list. Appends the problems of its items to `problems` and returns an error if the
/// list itself is invalid.
fn check_list(
    descriptor: &KeyDescriptor,
    value: &Value,
    lengths: RangeInclusive<usize>,
    check: impl Fn(&str) -> Result<(), ResultCode>,
    problems: &mut Vec<Problem>,
) -> Result<(), ResultCode> {
    let items = value.as_array().ok_or(ResultCode::WrongType)?;
    for (index, item) in items.iter().enumerate() {
        let repeated = items[..index].contains(item);
        let outcome = if repeated {
            Err(ResultCode::AddressClash)
        } else {
            check_text(item, &check)
        };
        if let Err(code) = outcome {
            problems.push(problem(descriptor, item, code));
        }
    }
    check_range(lengths.contains(&items.len()))
}

fn is_name(text: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    !text.is_empty() && text.len() <= MAXIMUM_NAME_BYTES && text.chars().all(allowed)
}

fn check_address(text: &str) -> Result<(), ResultCode> {
    let address: SocketAddr = text.parse().map_err(|_| ResultCode::NotAnIpAddress)?;
    if !is_reachable(address.ip()) {
        return Err(ResultCode::UnusableAddress);
    }
    if address.port() < FIRST_UNPRIVILEGED_PORT {
        return Err(ResultCode::PrivilegedPort);
    }
    Ok(())
}

/// Returns whether other hosts can send packets to the address.
fn is_reachable(address: IpAddr) -> bool {
    let broadcast = matches!(address, IpAddr::V4(address) if address.is_broadcast());
    !address.is_unspecified() && !address.is_multicast() && !broadcast
}

fn check_url(text: &str) -> Result<(), ResultCode> {
    let url: http::Uri = text.parse().map_err(|_| ResultCode::OutOfRange)?;
    check_range(matches!(url.scheme_str(), Some("http" | "https")))?;
    let host = url.host().ok_or(ResultCode::OutOfRange)?;
    let bare = host.trim_start_matches('[').trim_end_matches(']');
    let address: IpAddr = bare.parse().map_err(|_| ResultCode::NotAnIpAddress)?;
    if is_reachable(address) {
        Ok(())
    } else {
        Err(ResultCode::UnusableAddress)
    }
}

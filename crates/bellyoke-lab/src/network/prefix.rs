//! Address prefixes on the command line.

use std::net::IpAddr;
use std::str::FromStr;

use smoltcp::wire::{IpAddress, IpCidr};

/// An address prefix such as `203.0.113.0/24`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix(IpCidr);

/// A text that isn't an address prefix.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} isn't a prefix such as 203.0.113.0/24 or 2001:db8:1::/48")]
pub struct PrefixError(String);

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || PrefixError(text.to_owned());
        let (address, length) = text.split_once('/').ok_or_else(malformed)?;
        let address: IpAddr = address.parse().map_err(|_| malformed())?;
        let length: u8 = length.parse().map_err(|_| malformed())?;
        let longest = if address.is_ipv4() { 32 } else { 128 };
        if length > longest {
            return Err(malformed());
        }
        Ok(Self(IpCidr::new(address.into(), length)))
    }
}

impl Prefix {
    /// Whether `address` is in the prefix.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = IpAddress::from(address);
        address.version() == self.0.address().version() && self.0.contains_addr(&address)
    }

    /// Whether the prefix is one of IPv4.
    #[must_use]
    pub fn is_ipv4(&self) -> bool {
        matches!(self.0.address(), IpAddress::Ipv4(_))
    }

    /// Number of addresses between the first and the last of the prefix; at least one.
    #[must_use]
    pub fn hosts(&self) -> u64 {
        let width = if self.is_ipv4() { 32 } else { 128 };
        let bits = width - u32::from(self.0.prefix_len());
        let all = 1_u64.checked_shl(bits).unwrap_or(u64::MAX);
        all.saturating_sub(2).max(1)
    }

    /// The first address of the prefix.
    #[must_use]
    pub fn first_address(&self) -> IpAddr {
        match (
            IpAddr::from(self.0.address()),
            u32::from(self.0.prefix_len()),
        ) {
            (IpAddr::V4(address), length) => {
                let mask = u32::MAX.checked_shl(32 - length).unwrap_or(0);
                IpAddr::V4((u32::from(address) & mask).into())
            }
            (IpAddr::V6(address), length) => {
                let mask = u128::MAX.checked_shl(128 - length).unwrap_or(0);
                IpAddr::V6((u128::from(address) & mask).into())
            }
        }
    }

    /// The address `index` places after the first; `index` wraps within the last byte.
    #[must_use]
    pub fn address(&self, index: u8) -> IpAddr {
        match self.first_address() {
            IpAddr::V4(first) => IpAddr::V4((u32::from(first) | u32::from(index)).into()),
            IpAddr::V6(first) => IpAddr::V6((u128::from(first) | u128::from(index)).into()),
        }
    }
}

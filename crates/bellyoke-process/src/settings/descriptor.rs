//! Descriptors of settings keys, from which validation, flags and documentation are derived.

use std::fmt;

/// The type and range of a key's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// An integer in an inclusive range.
    Integer {
        /// Minimum value.
        minimum: i64,
        /// Maximum value.
        maximum: i64,
    },
    /// A number in an inclusive range, possibly with a fraction.
    Number {
        /// Minimum value.
        minimum: i64,
        /// Maximum value.
        maximum: i64,
    },
    /// `true` or `false`.
    Boolean,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
    /// A name of 1 to 63 letters, digits, `-`, `_` and `.`.
    Name,
    /// A unicast IP address and a port from 1024 to 65535.
    Address,
    /// A list of distinct addresses.
    AddressList {
        /// Maximum number of addresses.
        maximum_items: usize,
    },
    /// A non-empty list of paths of key files.
    PathList {
        /// Maximum number of paths.
        maximum_items: usize,
    },
    /// An `http://` or `https://` URL whose host is an IP address.
    Url,
}

impl fmt::Display for ValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer { minimum, maximum } => write!(formatter, "{minimum} to {maximum}"),
            Self::Number { minimum, maximum } => {
                write!(formatter, "{minimum} to {maximum}, fractions too")
            }
            Self::Boolean => formatter.write_str("true or false"),
            Self::Choice(choices) => formatter.write_str(&choices.join(" or ")),
            Self::Name => formatter.write_str("1 to 63 letters, digits, '-', '_' and '.'"),
            Self::Address => formatter.write_str("unicast IP:PORT, port 1024 to 65535"),
            Self::AddressList { maximum_items } => {
                write!(
                    formatter,
                    "list of at most {maximum_items} IP:PORT, each once"
                )
            }
            Self::PathList { maximum_items } => {
                write!(formatter, "list of 1 to {maximum_items} paths")
            }
            Self::Url => formatter.write_str("http:// or https:// URL with an IP address as host"),
        }
    }
}

/// The value of a key that is not specified.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// The key must be specified.
    Required,
    /// The key is optional and has no default.
    Absent,
    /// The default, as a TOML literal.
    Literal(&'static str),
}

impl fmt::Display for DefaultValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => formatter.write_str("required"),
            Self::Absent => formatter.write_str("none"),
            Self::Literal(literal) => write!(formatter, "`{literal}`"),
        }
    }
}

/// Describes one key of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct KeyDescriptor {
    /// The table that contains the key.
    pub section: &'static str,
    /// The name of the key within its table.
    pub name: &'static str,
    /// The unit of the value, or an empty string.
    pub unit: &'static str,
    /// The type and range of the value.
    pub kind: ValueKind,
    /// The value if the key is not specified.
    pub default: DefaultValue,
    /// A one-sentence description for the documentation.
    pub description: &'static str,
}

impl KeyDescriptor {
    /// Returns `section.name`, the form used in problems and documentation.
    #[must_use]
    pub fn path(&self) -> String {
        format!("{}.{}", self.section, self.name)
    }

    /// Returns the flag that overrides the key, without the leading dashes.
    #[must_use]
    pub fn flag(&self) -> String {
        format!("{}-{}", self.section, self.name.replace('_', "-"))
    }
}

/// Creates a descriptor. Shorthand for tables of keys.
#[must_use]
pub const fn key(
    section: &'static str,
    name: &'static str,
    unit: &'static str,
    kind: ValueKind,
    default: DefaultValue,
    description: &'static str,
) -> KeyDescriptor {
    KeyDescriptor {
        section,
        name,
        unit,
        kind,
        default,
        description,
    }
}

/// Shorthand for [`ValueKind::Integer`].
#[must_use]
pub const fn integer(minimum: i64, maximum: i64) -> ValueKind {
    ValueKind::Integer { minimum, maximum }
}

/// Shorthand for [`ValueKind::Number`].
#[must_use]
pub const fn number(minimum: i64, maximum: i64) -> ValueKind {
    ValueKind::Number { minimum, maximum }
}

/// All settings keys of a daemon, in the order of the documentation.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// The keys.
    pub keys: &'static [KeyDescriptor],
    /// The documentation page that describes the keys.
    pub page: &'static str,
}

impl Schema {
    /// Returns the descriptor of `section.name`.
    #[must_use]
    pub fn find(&self, section: &str, name: &str) -> Option<&'static KeyDescriptor> {
        self.keys
            .iter()
            .find(|descriptor| descriptor.section == section && descriptor.name == name)
    }

    /// Returns whether `section` contains any key.
    #[must_use]
    pub fn has_section(&self, section: &str) -> bool {
        self.keys
            .iter()
            .any(|descriptor| descriptor.section == section)
    }
}

//! Descriptors of keys: checks, flags and documentation are made from them.

use std::fmt;

/// What a key takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A whole number within bounds, both inclusive.
    Integer {
        /// Least value.
        minimum: i64,
        /// Greatest value.
        maximum: i64,
    },
    /// A number within bounds, both inclusive; it may have a fraction.
    Number {
        /// Least value.
        minimum: i64,
        /// Greatest value.
        maximum: i64,
    },
    /// `true` or `false`.
    Boolean,
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A name of 1 to 63 letters, digits, `-`, `_` and `.`.
    Name,
    /// IP address and port, the address unicast, the port 1024 to 65535.
    Address,
    /// A list of addresses, each once.
    AddressList {
        /// Most addresses.
        maximum_items: usize,
    },
    /// A list of at least one path of a key file.
    PathList {
        /// Most paths.
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

/// What holds when a key is not given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// The key must be given.
    Required,
    /// The key may stay absent.
    Absent,
    /// This TOML literal.
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

/// One key of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct KeyDescriptor {
    /// The table that the key stands in.
    pub section: &'static str,
    /// The key's name in its table.
    pub name: &'static str,
    /// The unit of its value, if it has one.
    pub unit: &'static str,
    /// What it takes.
    pub kind: ValueKind,
    /// What holds when it is not given.
    pub default: DefaultValue,
    /// What it means, one sentence for the documentation.
    pub description: &'static str,
}

impl KeyDescriptor {
    /// `section.name`, as problems and documentation show it.
    #[must_use]
    pub fn path(&self) -> String {
        format!("{}.{}", self.section, self.name)
    }

    /// The flag that overrides the key, without the leading dashes.
    #[must_use]
    pub fn flag(&self) -> String {
        format!("{}-{}", self.section, self.name.replace('_', "-"))
    }
}

/// A descriptor, for lists of them.
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

/// A bounded whole number.
#[must_use]
pub const fn integer(minimum: i64, maximum: i64) -> ValueKind {
    ValueKind::Integer { minimum, maximum }
}

/// A bounded number.
#[must_use]
pub const fn number(minimum: i64, maximum: i64) -> ValueKind {
    ValueKind::Number { minimum, maximum }
}

/// All keys of one daemon's settings, in the order of the documentation.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// The keys.
    pub keys: &'static [KeyDescriptor],
    /// The page that explains them.
    pub page: &'static str,
}

impl Schema {
    /// The descriptor of `section.name`.
    #[must_use]
    pub fn find(&self, section: &str, name: &str) -> Option<&'static KeyDescriptor> {
        self.keys
            .iter()
            .find(|descriptor| descriptor.section == section && descriptor.name == name)
    }

    /// Whether any key stands in `section`.
    #[must_use]
    pub fn has_section(&self, section: &str) -> bool {
        self.keys
            .iter()
            .any(|descriptor| descriptor.section == section)
    }
}

//! Numbered result codes: what a program says when it refuses something.
//!
//! Numbers are never used again for another meaning. Thousands group them, and the group is
//! the exit status of the process:
//!
//! * 1 - settings and start of the daemon;
//! * 2 - the command line;
//! * 3 - the operators' objects;
//! * 4 - the platform;
//! * 5 - the balancers;
//! * 6 - another operator's change.

use std::fmt;

/// Declares the result codes, each with its number, meaning and remedy for the documentation.
macro_rules! result_codes {
    ($($name:ident = $number:literal, $meaning:literal, $remedy:literal;)+) => {
        /// A numbered result, shown as `BY1003`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(#[doc = $meaning] $name,)+
        }

        impl ResultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The number; never used again for another meaning.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)+
                }
            }

            /// What the code means, one sentence for the documentation.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$name => $meaning,)+
                }
            }

            /// What to do about it, one sentence for the documentation.
            #[must_use]
            pub const fn remedy(self) -> &'static str {
                match self {
                    $(Self::$name => $remedy,)+
                }
            }

            /// The name of the code.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)+
                }
            }
        }
    };
}

result_codes! {
    SettingsUnreadable = 1001, "The settings file or a key file cannot be read.",
        "Check the path and that the user may read the file.";
    SettingsSyntax = 1002, "The settings file is not TOML.",
        "Mend the file at the line that the message names.";
    UnknownKey = 1003, "The settings have a key, or the command line a flag, that does not exist.",
        "Compare the name with the list that `--help` or OPERATORS.md gives.";
    MissingKey = 1004, "A key that has no default is missing.",
        "Add the key that the message names.";
    WrongType = 1005, "A value is of another type than its key takes.",
        "Write the value as the type that the message names.";
    OutOfRange = 1006, "A value lies outside its allowed range.",
        "Choose a value in the range that the message names.";
    NotAnIpAddress = 1007, "A host name or another text stands where an IP address and port must.",
        "Write an IP address and a port, such as 10.0.0.1:7000.";
    UnusableAddress = 1008, "The address is unspecified, multicast or broadcast, so others cannot send to it.",
        "Write the address at which other machines reach this one.";
    PrivilegedPort = 1009, "The port is 0 or needs privileges (below 1024).",
        "Choose a port from 1024 to 65535.";
    AddressClash = 1010, "One address and port is used for two purposes.",
        "Give each purpose its own port.";
    ValueClash = 1011, "Two values contradict each other.",
        "Change one of the values that the message names.";
    WeakKey = 1012, "A key file does not hold a key of the right length.",
        "Write a new key of the length that the message names.";
    AddressUnavailable = 1013, "A socket cannot be bound to its address.",
        "Stop the program that has the address, or choose another port.";
    UnknownCommand = 2001, "The command line has no such command.",
        "Run `bellyoke --help` for the list of commands.";
    UnknownFlag = 2002, "The command has no such flag.",
        "Run `bellyoke --help` for the flags of each command.";
    MissingArgument = 2003, "The command needs an argument or a flag that is missing.",
        "Add the argument that the message names.";
    BadArgument = 2004, "An argument is not of the form that the command takes.",
        "Write it in the form that the message shows.";
    FileUnreadable = 3001, "The file of objects cannot be read.",
        "Check the path and that you may read the file.";
    ObjectSyntax = 3002, "The file does not hold objects in JSON or YAML.",
        "Mend the document that the message names.";
    UnknownKind = 3003, "An object is neither a Service nor a Backend of bellyoke.dev/v1.",
        "Correct `apiVersion` and `kind`.";
    ObjectInvalid = 3004, "An object breaks a limit of its kind.",
        "Correct the field that the message names.";
    ObjectMissing = 3005, "There is no object of this name.",
        "List the names by `bellyoke get`.";
    EmptySelector = 3006, "The change would leave a selector that matches no backend.",
        "Label the backends first, or pass `--allow empty-selector`.";
    SharedAddress = 3007, "The change would give two services, or two backends, one address.",
        "Choose another address, or pass `--allow shared-address`; the younger is not used then.";
    PlatformUnreachable = 4001, "The platform does not answer. Nothing was changed.",
        "Check `--platform`; what was accepted before stays in force meanwhile.";
    PlatformRefused = 4002, "The platform refused the request.",
        "Read the reason it gave.";
    OutcomeUnknown = 4003, "The answer to a write was lost, and reading back failed too.",
        "Run `bellyoke get` once the platform answers: the change may be in force.";
    BalancerUnreachable = 5001, "No balancer answers at the address.",
        "Check `--balancer`, or ask another balancer.";
    RolloutTimeout = 5002, "The change was not in force on all balancers in time.",
        "Run `bellyoke nodes` for the balancers that lag behind, then wait again.";
    Conflict = 6001, "Another operator changed the object meanwhile. Nothing was changed.",
        "Read the object again, then repeat the command if it still applies.";
}

/// Codes of one group share the thousands.
const GROUP_SIZE: u16 = 1000;

impl ResultCode {
    /// Exit status of a process that ends with this code: the code's group.
    #[must_use]
    pub const fn exit_status(self) -> u8 {
        (self.number() / GROUP_SIZE) as u8
    }

    /// The table of all codes for docs/ERRORS.md, in Markdown.
    #[must_use]
    pub fn documentation_table() -> String {
        let mut table = String::from(
            "| code | exit status | name | meaning | what to do |\n| --- | --- | --- | --- | --- |\n",
        );
        for code in Self::ALL {
            let row = format!(
                "| {code} | {} | {} | {} | {} |\n",
                code.exit_status(),
                code.name(),
                code.meaning(),
                code.remedy(),
            );
            table.push_str(&row);
        }
        table
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "BY{:04}", self.number())
    }
}

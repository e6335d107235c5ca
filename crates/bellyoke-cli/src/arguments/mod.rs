//! The command line, parsed.

mod parser;
mod selector;

pub use parser::parse;
pub use selector::{LabelChange, SelectorSyntaxError, parse_label_change, parse_selector};

use bellyoke_core::generation::WeightedSelector;
use std::path::PathBuf;
use std::time::Duration;

/// Namespace of the objects unless a flag names another.
const DEFAULT_NAMESPACE: &str = "default";

/// What `bellyoke --help` prints.
pub const HELP: &str = "\
bellyoke: operate the bellyoke load balancer

Usage: bellyoke [FLAGS] COMMAND

Commands:
  apply -f FILE                     create or change the objects of a file (JSON or YAML)
  check FILE                        check a file of objects without the platform
  get services|backends|balancers|generation
  describe service|backend NAME
  label backend NAME KEY=VALUE... KEY-...
  select SERVICE (--selector 'a=b,c in (d,e)' [--weight N])...
                                    replace the selectors of a service
  drain NAME, undrain NAME          let a backend take no new flow, or take them again
  delete service|backend NAME
  rollout status [--wait] [--timeout SECONDS]
                                    whether the last change is in force on all balancers
  nodes                             the balancers as one of them sees them

Flags:
  --platform URL                    the platform's object API, for all that reads or writes objects
  --namespace NAME                  namespace of the objects, `default` if not given
  --balancer URL                    the operator API of any balancer, for `nodes` and `rollout`
  --output table|json
  --dry-run                         show what a change would do, and change nothing
  --allow empty-selector            let a selector match no backend
  --allow shared-address            let the younger of two objects with one address be unused
  --help, --version
";

/// A kind of object that operators write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// Services.
    Service,
    /// Backends.
    Backend,
}

/// What `get` lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Services.
    Services,
    /// Backends.
    Backends,
    /// The platform's machine list.
    Balancers,
    /// The newest published generation.
    Generation,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Table,
    /// For programs.
    Json,
}

/// Dangers that the operator accepts by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowances {
    /// A selector that matches nothing.
    pub empty_selector: bool,
    /// Two objects with one address.
    pub shared_address: bool,
}

/// Flags that go with any command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// URL of the platform's object API.
    pub platform: Option<String>,
    /// Namespace of the objects.
    pub namespace: String,
    /// URL of a balancer's operator API.
    pub balancer: Option<String>,
    /// How results are printed.
    pub output: OutputFormat,
    /// Whether to change nothing.
    pub dry_run: bool,
    /// Accepted dangers.
    pub allow: Allowances,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            platform: None,
            namespace: DEFAULT_NAMESPACE.to_owned(),
            balancer: None,
            output: OutputFormat::default(),
            dry_run: false,
            allow: Allowances::default(),
        }
    }
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Write the objects of a file.
    Apply(PathBuf),
    /// Check a file of objects.
    Check(PathBuf),
    /// List objects.
    Get(Listing),
    /// Show one object.
    Describe(ObjectKind, String),
    /// Change labels of a backend.
    Label(String, Vec<LabelChange>),
    /// Replace the selectors of a service.
    Select(String, Vec<WeightedSelector>),
    /// Let a backend drain, or take new flows again.
    SetDrain(String, bool),
    /// Delete an object.
    Delete(ObjectKind, String),
    /// Tell, or wait, whether the last change is in force.
    RolloutStatus(RolloutOptions),
    /// List the members that a balancer knows.
    Nodes,
}

/// How `rollout status` waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutOptions {
    /// Whether to wait at all.
    pub wait: bool,
    /// How long to wait.
    pub timeout: Duration,
}

/// The whole command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// Flags that go with any command.
    pub options: Options,
    /// What to do.
    pub command: Command,
}

//! Settings of the control state machine, validated when they are built.

use std::time::Duration;
use thiserror::Error;

/// Error for an invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A value is outside its permitted range.
    #[error("{key} = {value} is out of range: {range}")]
    OutOfRange {
        /// Name of the setting.
        key: &'static str,
        /// The rejected value.
        value: String,
        /// The permitted range.
        range: String,
    },
}

macro_rules! settings {
    ($($(#[$attribute:meta])* $key:ident: $kind:ty = $default:expr, $low:expr, $high:expr;)*) => {
        /// Validated settings of a [`Node`](super::Node).
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub struct NodeSettings {
            $(pub(crate) $key: $kind,)*
        }

        impl NodeSettings {
            $($(#[$attribute])*
            #[must_use]
            pub fn $key(&self) -> $kind {
                self.$key
            })*
        }

        impl Default for NodeSettings {
            fn default() -> Self {
                Self { $($key: $default,)* }
            }
        }

        /// Builder of [`NodeSettings`]. [`build`](Self::build) validates the values.
        #[derive(Clone, Debug, Default)]
        pub struct NodeSettingsBuilder {
            settings: NodeSettings,
        }

        impl NodeSettingsBuilder {
            $($(#[$attribute])*
            #[must_use]
            pub fn $key(mut self, value: $kind) -> Self {
                self.settings.$key = value;
                self
            })*

            /// Validates and returns the settings.
            ///
            /// # Errors
            ///
            /// Returns [`SettingsError`] for the first setting that is out of range.
            pub fn build(self) -> Result<NodeSettings, SettingsError> {
                $(check(stringify!($key), self.settings.$key, $low, $high)?;)*
                self.check_together()?;
                Ok(self.settings)
            }
        }
    };
}

const MILLISECOND: Duration = Duration::from_millis(1);
const MINUTE: Duration = Duration::from_secs(60);

settings! {
    /// Interval between two probes by this node.
    probe_period: Duration = Duration::from_secs(1), 10 * MILLISECOND, MINUTE;
    /// Time after which an unanswered direct probe is followed by indirect probes.
    probe_timeout: Duration = Duration::from_millis(300), MILLISECOND, MINUTE;
    /// Number of members that are asked for an indirect probe.
    indirect_probes: usize = 3, 0, 16;
    /// Duration of a suspicion, in probe periods times the decimal logarithm of the cluster size.
    suspicion_multiplier: u32 = 3, 1, 100;
    /// Number of times an update is sent, per decimal logarithm of the cluster size.
    retransmit_multiplier: u32 = 4, 1, 100;
    /// Duration of a lease, counted from the time at which its renewal was sent.
    lease_time: Duration = Duration::from_secs(3), 100 * MILLISECOND, MINUTE;
    /// Time by which the holder considers its lease expired early, to allow for clocks that run at
    /// different speeds.
    lease_margin: Duration = Duration::from_millis(300), MILLISECOND, MINUTE;
    /// Interval between two renewals of the lease.
    lease_renewal: Duration = Duration::from_secs(1), 10 * MILLISECOND, MINUTE;
    /// Maximum time that a packet may spend in the network.
    delay_horizon: Duration = Duration::from_secs(2), 10 * MILLISECOND, MINUTE;
    /// Bytes of control messages that this node may send per second, including headers.
    control_budget: u32 = 4096, 2048, 100_000_000;
    /// Maximum saved unused budget, as the time in which it accumulates.
    control_burst: Duration = Duration::from_secs(16), Duration::from_secs(1), MINUTE;
    /// Number of random peers to which a new generation or a passed barrier is announced, and of
    /// peers that may fetch a generation from this node at the same time.
    fan_out: usize = 3, 1, 16;
    /// Time after which an unanswered dissemination request or barrier report is sent again.
    resend_interval: Duration = Duration::from_secs(1), 10 * MILLISECOND, MINUTE;
    /// Time for which the members must differ from the generation's before a change is proposed.
    membership_settle: Duration = Duration::from_secs(1), MILLISECOND, 10 * MINUTE;
    /// Time after which a change is proposed by a member without a valid lease, or by a new node
    /// that knows no live member of the generation.
    fenced_proposal_wait: Duration = Duration::from_secs(30), 100 * MILLISECOND, 60 * MINUTE;
    /// Mean interval between two attempts to reach a seed or a failed member.
    contact_interval: Duration = Duration::from_secs(10), 10 * MILLISECOND, 10 * MINUTE;
    /// Time after which records of failed members and of members that left are removed.
    forget_after: Duration = Duration::from_secs(600), 100 * MILLISECOND, 1440 * MINUTE;
}

impl NodeSettings {
    /// Returns a builder with the default settings.
    #[must_use]
    pub fn builder() -> NodeSettingsBuilder {
        NodeSettingsBuilder::default()
    }
}

impl NodeSettingsBuilder {
    fn check_together(&self) -> Result<(), SettingsError> {
        let settings = &self.settings;
        let below_period = settings.probe_period - MILLISECOND;
        let probe_timeout = settings.probe_timeout;
        check("probe_timeout", probe_timeout, MILLISECOND, below_period)?;
        let longest_margin = settings.lease_time / 2;
        let lease_margin = settings.lease_margin;
        check("lease_margin", lease_margin, MILLISECOND, longest_margin)?;
        let longest_renewal = (settings.lease_time - settings.lease_margin) / 2;
        let lease_renewal = settings.lease_renewal;
        check("lease_renewal", lease_renewal, MILLISECOND, longest_renewal)
    }
}

fn check<T: PartialOrd + std::fmt::Debug>(
    key: &'static str,
    value: T,
    low: T,
    high: T,
) -> Result<(), SettingsError> {
    if value >= low && value <= high {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        key,
        value: format!("{value:?}"),
        range: format!("{low:?} to {high:?}"),
    })
}

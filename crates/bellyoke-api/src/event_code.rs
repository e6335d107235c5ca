//! Numbered log events of the daemon.
//!
//! Numbers are never used again for another meaning. Hundreds group them: 1 process,
//! 2 store, 3 membership, 4 generations, 5 leases and owners, 6 peer messages, 7 traffic,
//! 8 forwarding by cookie.

use std::fmt;

/// How much an event matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EventLevel {
    /// Something failed that the daemon cannot mend alone.
    Error,
    /// Something is out of the ordinary.
    Warn,
    /// The ordinary course of things.
    Info,
}

impl EventLevel {
    /// Its name in the catalogue.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
        }
    }
}

/// Declares the events, each with its number, level and meaning for the catalogue.
macro_rules! event_codes {
    ($($name:ident = $number:literal, $level:ident, $meaning:literal;)+) => {
        /// A numbered log event, shown as `BE101`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum EventCode {
            $(#[doc = $meaning] $name,)+
        }

        impl EventCode {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The number; never used again for another meaning.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)+
                }
            }

            /// How much the event matters.
            #[must_use]
            pub const fn level(self) -> EventLevel {
                match self {
                    $(Self::$name => EventLevel::$level,)+
                }
            }

            /// What has happened, one sentence for the catalogue.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$name => $meaning,)+
                }
            }

            /// The name of the event.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)+
                }
            }
        }
    };
}

event_codes! {
    ProcessStarted = 101, Info, "The daemon has bound its sockets and runs.";
    LeaveRequested = 102, Info, "A signal asked the daemon to leave; it goes on forwarding for the grace time.";
    ProcessStopped = 103, Info, "The daemon has stopped.";
    StoppedAtOnce = 104, Warn, "A second signal stopped the daemon before its grace time had passed.";
    ThreadFailed = 105, Error, "A thread of the daemon ended by an error.";
    StoreUnreachable = 201, Warn, "The platform's store did not answer; the daemon goes on with what it holds.";
    StoreReachable = 202, Info, "The platform's store answers again.";
    GenerationPublished = 203, Info, "This node wrote a new generation to the store.";
    PublishConflict = 204, Info, "Another node published first; this one starts again from its generation.";
    ObjectRejected = 205, Warn, "An object in the store cannot be used; the rest is.";
    BalancerRegistered = 206, Info, "This node wrote its Balancer object.";
    StaleRead = 207, Warn, "The store answered with an older state than the current generation; nothing is published from it.";
    StoreRestored = 208, Warn, "The store tells a higher era than before: it has been restored from an older copy, and counts its revisions on from there.";
    OldStateIgnored = 209, Info, "The store told an older state than this node knows; nothing of it was taken over. The line tells both.";
    StaleStateRead = 210, Info, "Nobody has confirmed this node's state for too long, so it calls the store itself; the line tells how old the confirmation is, who gave it, and how many nodes share these calls by estimate, in all and alive.";
    StateConfirmed = 211, Info, "What this node's state rests on has changed: reads that may be stale, or a read of the newest state; the line tells the age of the confirmation and who gave it.";
    MemberJoined = 301, Info, "A peer is alive that was not known to be.";
    MemberSuspected = 302, Warn, "A peer did not answer and is suspected.";
    MemberFailed = 303, Warn, "A peer is taken for dead.";
    MemberLeft = 304, Info, "A peer has left.";
    GenerationAdopted = 401, Info, "This node forwards by a newer generation.";
    BarrierPassed = 402, Info, "Every member has acknowledged the generation.";
    Fenced = 501, Warn, "The lease ran out; this node opens no flow.";
    Unfenced = 502, Info, "The lease was renewed after it had run out.";
    OwnershipTaken = 503, Info, "This node became the owner of a group by ballot.";
    BudgetExhausted = 504, Warn, "Control messages were put off because the control budget was used up.";
    LeaveComplete = 505, Info, "This node has handed over everything and may stop.";
    PeerMessagesRejected = 601, Warn, "Datagrams on the peer socket were dropped: forged, replayed, malformed or too long.";
    PeerSendFailed = 602, Warn, "A message to a peer could not be sent.";
    PacketsDropped = 701, Warn, "Packets were dropped; the counts are by reason.";
    QueueFull = 702, Warn, "A queue between threads was full and packets were dropped.";
    TunnelSendFailed = 703, Warn, "Packets could not be sent to a tunnel address.";
    FlowPlaced = 801, Info, "A new flow was sent to an instance.";
    FlowRefused = 802, Info, "A new flow was answered with a reset, since no instance can take it; nothing of it has run.";
    PacketDropped = 803, Info, "A packet was dropped; the reason says why.";
    PacketSendFailed = 804, Warn, "A packet could not be sent.";
    FlowEnded = 806, Info, "An open flow was ended with a reset, since its instance has ended; what was sent on it may have run.";
    InstanceUnreachable = 807, Warn, "Connections to an instance don't open though those to others do; flows that wait there are ended, and others are preferred.";
    InstanceReached = 808, Info, "An instance that was unreachable takes connections again, or is in question no more.";
    InstanceSuspected = 811, Warn, "Openings sent to an instance came to nothing; others are preferred.";
    InstanceRecovered = 812, Info, "A flow opened at an instance that was suspected.";
    InstancesChanged = 813, Info, "Instances came, went or changed.";
    ConfigurationAdopted = 814, Info, "A newer configuration is in force on this node.";
    ReadinessChanged = 815, Info, "This node has become ready for new flows, or has ceased to be.";
    StallDetected = 816, Warn, "The process stood still; openings that waited in its socket are dropped.";
    RoleChanged = 817, Info, "This node reads the store for all (Reader), backs up the one that does (Backup), or rests while these tell it enough (Listener).";
    LinkPaced = 818, Warn, "Data that this node sent was lost; bulk data is paced at the rate that its link seems to carry.";
    LinkFree = 819, Info, "Nothing was lost for long; bulk data is sent at once again.";
    ZonesChanged = 820, Info, "Operators have drained zones, or restored them; the line tells which are drained.";
    PeerJoined = 821, Info, "A peer was heard that was not known to be alive.";
    PeerLost = 822, Info, "A peer was silent for too long, or has left.";
    SnapshotFetched = 823, Info, "A peer's snapshot was read; what was newer in it is in force.";
    SnapshotFailed = 824, Warn, "A peer's snapshot could not be read.";
    SettingsReloaded = 831, Info, "The settings were read again.";
    SettingsRejected = 832, Warn, "The settings have changed but cannot be used; the old ones stay in force.";
    MetricsUnavailable = 833, Warn, "The address of the metrics cannot be bound; the node runs without it.";
    RestingFlowEnded = 841, Info, "A flow that rested was ended with a reset, since its instance has ended.";
    InstanceLives = 842, Info, "Flows of an instance in question go on here; the question is dropped, and peers are told.";
    InstanceProbed = 843, Info, "A probe of an instance has ended; the line tells its outcome, and whether the instance's record exists.";
    OutlierSetAside = 845, Warn, "Requests to an instance fail or are answered late, unlike those to the service's other instances; others are preferred.";
    OutlierLetBack = 846, Info, "An instance that was set aside for its answers gets new flows like others again.";
    OutliersChanged = 847, Info, "What this node has heard of instances whose answers fail has changed; others are preferred to these.";
    AdmissionChanged = 851, Warn, "Most instances of a service queue and turn requests away, so that this node refuses new flows of the lowest priority; or they no longer do. The line tells the openings offered, served and admitted a second, and what spoke for it.";
    ZoneShareChanged = 855, Info, "Another share of a service's new flows goes to other zones than this node's; the line tells why.";
    DutyTaken = 861, Info, "This node watches the store for all; the line tells the class of its machine, its zone and its rank among the claims.";
    DutyLeft = 862, Info, "This node has ceased to watch the store for all; the line tells the class of its machine, its zone and its rank among the claims.";
    ClaimLowered = 863, Warn, "This node's ticks are late or its link is full: duties go to others first.";
    ClaimRestored = 864, Info, "This node's ticks are on time again and its link is free; its machine counts as before.";
}

impl fmt::Display for EventCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "BE{:03}", self.number())
    }
}

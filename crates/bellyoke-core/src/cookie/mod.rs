//! Forwarding by connection cookie: each packet identifies the backend instance of its flow.
//!
//! Where a packet format has a field that both ends of a flow echo, the balancer writes the
//! identity of the chosen backend instance into the first packet, and every later packet carries it
//! (a stateless connection cookie, as in Cheetah, Barbette et al., NSDI 2020). Any node that knows
//! the instances can forward any packet: there is no flow table, lease, barrier or owner, and no
//! change of the configuration can move an open flow. Packet formats without such a field use
//! [`crate::flow`] and [`crate::generation`] instead.
//!
//! Like the rest of the crate, this module uses no socket, clock or thread. Its parts are:
//!
//! * per packet: [`packet`] and [`forwarder`], with recently seen [`flows`] and the [`answers`] to
//!   their requests, [`flow_resets`] of flows whose instances have ended, [`admission`] and
//!   [`placement`] of new flows, [`locality`] that prefers the own zone, the limit for [`cold`]
//!   instances (slow start), [`load`] and [`health`] of instances from the progress of openings,
//!   [`outliers`] by their answers, [`reachability`] of suspected instances by probes;
//! * per version of the state: [`route`], [`instance`] and the immutable [`table`] that traffic
//!   threads read;
//! * per process: [`directory`] and [`replica`] (the state of the node), [`zones`] (drained zones),
//!   [`delta`] (changes between versions), [`freshness`] (the age of the state), [`follower`]
//!   (reading the store), [`era`] (detecting a restored store), [`exchange`] (messages between
//!   peers), [`capacity`] (of a machine), [`coordinator`] (combines these), [`stall`] and
//!   [`readiness`].

pub mod admission;
pub mod answers;
pub mod capacity;
pub mod cold;
pub mod continuity;
pub mod coordinator;
pub mod delta;
pub mod directory;
pub mod era;
pub mod exchange;
pub mod flow_resets;
pub mod flows;
pub mod follower;
pub mod forwarder;
pub mod freshness;
pub mod health;
pub mod instance;
mod last_seen;
pub mod limits;
pub mod link;
pub mod load;
pub mod locality;
pub mod outliers;
pub mod packet;
pub mod placement;
pub mod publication;
pub mod reachability;
pub mod readiness;
pub mod replica;
pub mod revision;
pub mod route;
pub mod stall;
pub mod table;
pub mod zones;

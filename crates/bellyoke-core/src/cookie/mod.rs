//! Forwarding by connection cookie: the packet itself names the backend that holds its flow.
//!
//! Where a packet format has a field that both ends of a flow repeat, the balancer writes the
//! identity of the chosen backend instance into the first packet, and every later packet brings
//! it back (a stateless connection cookie, as in Cheetah, Barbette et al., NSDI 2020). Any node
//! that knows the instances forwards any packet: no flow table, lease, barrier or owner, and no
//! change of the configuration can move an open flow. Packet formats without such a field use
//! [`crate::flow`] and [`crate::generation`] instead.
//!
//! Like the rest of the crate nothing here has a socket, clock or thread:
//!
//! * one packet: [`packet`] and [`forwarder`], with [`flows`] seen of late and the [`answers`] to their requests,
//!   [`ends`] of flows whose instances have ended, [`admission`] and [`placement`] of new flows, [`locality`] that
//!   prefers the own zone, the limit of [`cold`] instances, [`load`] and [`health`] of instances from the progress
//!   of openings, [`outliers`] by their answers, [`reachability`] of those in question by probes;
//! * one version: [`route`], [`instance`] and the immutable [`table`] that traffic threads read;
//! * the process: [`directory`] and [`replica`] (what the node knows),
//!   [`zones`] (drained ones), [`delta`] (what changed), [`freshness`] (how old it is), [`follower`] (reading the store),
//!   [`era`] (whether the store was restored),
//!   [`exchange`] (peers), [`capacity`] (what a machine can bear), [`coordinator`] (these together), [`stall`] and [`readiness`].

pub mod admission;
pub mod answers;
pub mod capacity;
pub mod cold;
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

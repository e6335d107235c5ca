//! Coordination parts of the bellyoke layer-4 load balancer.
//!
//! Many balancers that disagree for a while must still send every packet of a
//! flow to the same backend. This crate holds the state machines that make it
//! so, without socket, clock, thread, async runtime or global: time and
//! randomness are arguments, and every input returns a list of typed outputs.
//! That is what lets the hard part be tested in virtual time.
//!
//! Modules are laid out by the life span of what they hold:
//!
//! * [`packet`] - one packet: parsing, classification, replies built in place.
//! * [`flow`] - one flow: the flow table and the per-packet decision.
//! * [`generation`] - one version of the configuration: services, backends,
//!   members and lookup tables, and how the next version follows from the last.
//! * [`node`] - the process: membership, dissemination, leases, ownership.
//!
//! [`cookie`] holds the other way of forwarding, for packet formats that carry the identity of
//! the backend: it needs none of the tables, leases and owners above.

pub mod cookie;
pub mod flow;
pub mod generation;
pub mod identity;
pub mod node;
pub mod packet;
pub mod time;

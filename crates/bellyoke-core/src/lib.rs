//! Coordination logic of the bellyoke layer-4 load balancer.
//!
//! Balancers with temporarily inconsistent state must still send every packet of a flow to the
//! same backend. This crate contains the state machines that ensure it. They use no sockets,
//! clocks, threads, async runtime or globals: time and randomness are arguments, and every input
//! returns a list of typed outputs. This allows tests in virtual time.
//!
//! Modules are organized by the lifetime of their state:
//!
//! * [`packet`] - one packet: parsing, classification and replies.
//! * [`flow`] - one flow: the flow table and the forwarding decision for each packet.
//! * [`generation`] - one version of the configuration: services, backends,
//!   members and lookup tables, and compilation of the next version.
//! * [`node`] - the process: membership, dissemination, leases, ownership.
//!
//! [`cookie`] implements an alternative forwarding method for packet formats that contain the
//! identity of the backend. It needs none of the tables, leases and owners above.

pub mod cookie;
pub mod flow;
pub mod generation;
pub mod identity;
pub mod node;
pub mod packet;
pub mod time;

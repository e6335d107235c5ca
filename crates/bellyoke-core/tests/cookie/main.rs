//! Forwarding by connection cookie: each invariant of [`bellyoke_core::cookie`].

mod admission;
mod cold;
mod directory;
mod ended_instances;
mod exchange;
mod flows;
mod follower;
mod forwarder;
mod health;
mod link;
mod message;
mod placement;
mod reachability;
mod replica;
mod stall;
mod support;
mod zones;

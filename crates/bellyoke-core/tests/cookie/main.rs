//! Forwarding by connection cookie: each invariant of [`bellyoke_core::cookie`].

mod admission;
mod answers;
mod cluster;
mod cold;
mod directory;
mod ended_instances;
mod ends;
mod exchange;
mod exchange_zones;
mod findings;
mod flows;
mod follower;
mod forwarder;
mod health;
mod link;
mod locality;
mod message;
mod outlier_placement;
mod outliers;
mod placement;
mod reachability;
mod replica;
mod stall;
mod support;
mod zone_choice;
mod zones;

//! A deterministic network of nodes, and a record of where the packets of each flow went.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod clients;
pub mod control;
pub mod generations;
pub mod ledger;
pub mod node;
pub mod simulation;

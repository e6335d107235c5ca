//! A deterministic network of owners, and the record of where each flow's packets went.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod clients;
pub mod control;
pub mod generations;
pub mod ledger;
pub mod node;
pub mod simulation;

//! Placement on the backend with the fewest open flows relative to its weight.

use super::{BackendSelection, Candidate, LoadReport};
use crate::identity::BackendId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cmp::Ordering;

/// Selects the backend with the fewest open flows relative to its weight, by the owner's own
/// count. Among tied backends it draws two at random and selects the one that reports less load
/// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001). It never relies
/// on reports alone: a false or late one would draw all new flows to its backend.
#[derive(Debug)]
pub struct LeastLoaded<'a> {
    /// Source of randomness for tied backends.
    pub random: &'a mut ChaCha8Rng,
}

impl BackendSelection for LeastLoaded<'_> {
    fn select(&mut self, candidates: &[Candidate]) -> Option<BackendId> {
        let least = candidates.iter().min_by(|a, b| compare_open_flows(a, b))?;
        let is_tied = |other: &&Candidate| compare_open_flows(other, least).is_eq();
        let tied: Vec<&Candidate> = candidates.iter().filter(is_tied).collect();
        let first = tied[self.random.random_range(0..tied.len())];
        let second = tied[self.random.random_range(0..tied.len())];
        match compare_reported_load(first.load, second.load) {
            Ordering::Greater => Some(second.backend),
            _ => Some(first.backend),
        }
    }
}

/// Compares the open flows including one more, each divided by the weight.
fn compare_open_flows(first: &Candidate, second: &Candidate) -> Ordering {
    let scaled = |one: &Candidate, other: &Candidate| {
        (u64::from(one.open_flows) + 1) * u64::from(other.weight.max(1))
    };
    scaled(first, second).cmp(&scaled(second, first))
}

fn compare_reported_load(first: Option<LoadReport>, second: Option<LoadReport>) -> Ordering {
    let (Some(first), Some(second)) = (first, second) else {
        return Ordering::Equal;
    };
    let scaled =
        |one: LoadReport, other: LoadReport| u64::from(one.busy) * u64::from(other.slots.max(1));
    scaled(first, second).cmp(&scaled(second, first))
}

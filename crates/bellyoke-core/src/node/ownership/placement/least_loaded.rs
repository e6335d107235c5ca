//! Placement on the backend with the fewest open flows for its weight.

use super::{BackendSelection, Candidate, LoadReport};
use crate::identity::BackendId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cmp::Ordering;

/// The fewest open flows of the owner's own count, for the weight. Among equals two are drawn
/// and the one that reports less load is taken (Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001): a report is never trusted alone, since one that lies or
/// is late would draw all new flows to its backend.
#[derive(Debug)]
pub struct LeastLoaded<'a> {
    /// Draws among equals.
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

/// Compares open flows after one more, each divided by the weight.
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

//! The choice of an instance for a new flow.
//!
//! Weighted rendezvous: the flow's hash picks the service by weight, and the highest scores
//! pick the instances, so that nodes with the same knowledge choose alike and a change of the
//! instances moves only the flows that it has to. Copy `n` of an opening goes to rank `n`: if
//! the first choice is dead, the second try reaches another one.

use crate::cookie::instance::InstanceId;
use crate::cookie::table::{Candidate, ServicePart};

/// Ranks that are told apart; later copies of an opening share the last.
pub const RANKS: usize = 3;

/// How willing an instance is to take new flows. The order is that of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// Its record went moments ago: better than refusing while nothing else is there.
    RecentlyGone,
    /// Openings sent to it don't complete.
    Suspected,
    /// It has just started and is slow.
    Cold,
    /// Nothing speaks against it.
    Full,
}

/// The part that the flow belongs to; none if all weights are zero.
#[must_use]
pub fn choose_part(parts: &[ServicePart], flow_hash: u64) -> Option<&ServicePart> {
    /// Keeps the choice of the service independent from that of the instance.
    const PART_SALT: u64 = 0x9e37_79b9_7f4a_7c15;
    let total: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = mix(flow_hash ^ PART_SALT) % total;
    for part in parts {
        let weight = u64::from(part.weight);
        if remaining < weight {
            return Some(part);
        }
        remaining -= weight;
    }
    None
}

/// The candidate for copy `attempt` of an opening; none without candidates.
///
/// `suitability` says how willing each candidate is; those that it refuses are left out.
pub fn choose_instance(
    candidates: &[Candidate],
    flow_hash: u64,
    attempt: u32,
    mut suitability: impl FnMut(&Candidate) -> Option<Suitability>,
) -> Option<&Candidate> {
    let mut ranked: [Option<Ranked<'_>>; RANKS] = [None; RANKS];
    for candidate in candidates {
        let Some(suitability) = suitability(candidate) else {
            continue;
        };
        let score = score(flow_hash, candidate.id);
        insert(
            &mut ranked,
            Ranked {
                suitability,
                score,
                candidate,
            },
        );
    }
    let rank = usize::try_from(attempt).unwrap_or(RANKS).min(RANKS - 1);
    let chosen = ranked[..=rank].iter().rev().flatten().next();
    chosen.map(|ranked| ranked.candidate)
}

#[derive(Clone, Copy)]
struct Ranked<'table> {
    suitability: Suitability,
    score: u64,
    candidate: &'table Candidate,
}

impl Ranked<'_> {
    fn exceeds(&self, other: &Self) -> bool {
        (self.suitability, self.score) > (other.suitability, other.score)
    }
}

/// Keeps the best candidates in order, the best first.
fn insert<'table>(ranked: &mut [Option<Ranked<'table>>; RANKS], new: Ranked<'table>) {
    let mut carried = new;
    for place in ranked {
        match place {
            None => {
                *place = Some(carried);
                return;
            }
            Some(held) if carried.exceeds(held) => std::mem::swap(held, &mut carried),
            Some(_) => {}
        }
    }
}

fn score(flow_hash: u64, id: InstanceId) -> u64 {
    mix(flow_hash ^ mix(id.0))
}

/// The 64-bit finalizer of `MurmurHash3` (Appleby): every input bit changes every output bit.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

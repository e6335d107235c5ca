//! Chooses an instance for a new flow.
//!
//! The flow's hash picks the service by weight, and ranks the instances by rendezvous hashing. An
//! opening goes to the least loaded of the first few. Its copies go to the next two. They thus
//! reach another instance if the first choice is dead, even if loads have changed in the meantime.
//! Among instances of equal suitability, those in one zone may be preferred
//! ([`crate::cookie::locality`]); the first copy then goes to another zone.

use crate::cookie::instance::InstanceId;
use crate::cookie::locality::ZoneRank;
use crate::cookie::table::{Candidate, RouteService};

/// Number of copies of an opening that are sent to distinct instances; later copies are sent to the
/// instance of the last of these.
const DISTINCT_COPIES: usize = 2;

/// Number of instances among which the least loaded is chosen. With fewer, long flows stay
/// concentrated on the instances that remained while others were replaced. With all, an instance
/// that has just started would get every new flow.
pub const LEAST_LOADED_CANDIDATES: usize = 5;

/// Number of ranks that are computed: the choices of an opening, and one for each copy.
const COMPUTED_RANKS: usize = LEAST_LOADED_CANDIDATES + DISTINCT_COPIES;

/// How suitable an instance is for new flows, in ascending order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// Its record was deleted moments ago. Used only while there is no other instance, instead of
    /// refusing the flow.
    RecentlyGone,
    /// Openings sent to it don't complete, or it is unreachable.
    Suspected,
    /// Its answers fail or are late, unlike those of the service's other instances.
    Outlier,
    /// It has just started and is still slow (slow start).
    Cold,
    /// It has no known problem.
    Full,
}

/// Returns the service that the flow belongs to; `None` if all weights are zero.
#[must_use]
pub fn choose_service(services: &[RouteService], flow_hash: u64) -> Option<&RouteService> {
    /// Makes the choice of the service independent of the choice of the instance.
    const SERVICE_SALT: u64 = 0x9e37_79b9_7f4a_7c15;
    let total: u64 = services
        .iter()
        .map(|service| u64::from(service.weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut remaining = mix(flow_hash ^ SERVICE_SALT) % total;
    for service in services {
        let weight = u64::from(service.weight);
        if remaining < weight {
            return Some(service);
        }
        remaining -= weight;
    }
    None
}

/// Returns the candidate for copy `attempt` of an opening, without a preference between zones;
/// `None` without candidates.
///
/// `suitability` returns the suitability of each candidate; those for which it returns `None` are
/// left out. `load` returns the load of one.
pub fn choose_instance(
    candidates: &[Candidate],
    flow_hash: u64,
    attempt: u32,
    suitability: impl FnMut(&Candidate) -> Option<Suitability>,
    load: impl Fn(&Candidate) -> f32,
) -> Option<&Candidate> {
    let no_preference = |_: &Candidate| ZoneRank::Fallback;
    choose_by_zone(
        candidates,
        flow_hash,
        attempt,
        suitability,
        no_preference,
        load,
    )
}

/// Returns the candidate for copy `attempt` of an opening. Candidates of equal suitability are
/// ordered by `zone_rank`.
pub fn choose_by_zone(
    candidates: &[Candidate],
    flow_hash: u64,
    attempt: u32,
    mut suitability: impl FnMut(&Candidate) -> Option<Suitability>,
    zone_rank: impl Fn(&Candidate) -> ZoneRank,
    load: impl Fn(&Candidate) -> f32,
) -> Option<&Candidate> {
    let mut ranked: [Option<Ranked<'_>>; COMPUTED_RANKS] = [None; COMPUTED_RANKS];
    let mut fallback: Option<Ranked<'_>> = None;
    for candidate in candidates {
        let Some(suitability) = suitability(candidate) else {
            continue;
        };
        let new = Ranked {
            suitability,
            zone_rank: zone_rank(candidate),
            score: score(flow_hash, candidate.id),
            candidate,
        };
        let is_fallback = new.zone_rank == ZoneRank::Fallback;
        if is_fallback && fallback.is_none_or(|current| new.exceeds(&current)) {
            fallback = Some(new);
        }
        insert(&mut ranked, new);
    }
    let best = ranked[0]?;
    let choices = choices(&ranked, &best);
    let other_zone = fallback.filter(|current| current.suitability == best.suitability);
    let chosen = match copies_before(attempt) {
        0 => least_busy(&ranked[..choices], load),
        copy => copy_target(&ranked, choices, copy, other_zone),
    };
    chosen.map(|ranked| ranked.candidate)
}

/// Returns the target of copy `copy` of an opening that had `choices` choices. If the next instance
/// is in the preferred zone, the first copy goes to another zone and the second one to that
/// instance.
fn copy_target<'table>(
    ranked: &[Option<Ranked<'table>>; COMPUTED_RANKS],
    choices: usize,
    copy: usize,
    other_zone: Option<Ranked<'table>>,
) -> Option<Ranked<'table>> {
    let last_of = |count: usize| ranked[..count].iter().rev().flatten().next().copied();
    let next = last_of(choices + 1)?;
    let Some(other_zone) = other_zone.filter(|_| next.zone_rank == ZoneRank::Preferred) else {
        return last_of(choices + copy);
    };
    Some(if copy == 1 { other_zone } else { next })
}

/// Returns how many of the first ranks are equivalent: an opening goes to the least loaded of them.
/// Leaves enough instances for the copies, unless there are too few.
fn choices(ranked: &[Option<Ranked<'_>>; COMPUTED_RANKS], best: &Ranked<'_>) -> usize {
    let suitable = ranked.iter().flatten();
    let suitable = suitable.filter(|other| other.suitability == best.suitability);
    let in_zone = suitable
        .clone()
        .filter(|other| other.zone_rank == best.zone_rank);
    let beside_copies = suitable.count().saturating_sub(DISTINCT_COPIES);
    in_zone
        .count()
        .min(beside_copies)
        .clamp(1, LEAST_LOADED_CANDIDATES)
}

/// Later copies are sent to the instance of the last one.
fn copies_before(attempt: u32) -> usize {
    usize::try_from(attempt)
        .unwrap_or(DISTINCT_COPIES)
        .min(DISTINCT_COPIES)
}

/// Returns the least loaded of several; the first of equals.
fn least_busy<'table>(
    choices: &[Option<Ranked<'table>>],
    load: impl Fn(&Candidate) -> f32,
) -> Option<Ranked<'table>> {
    let choices = choices.iter().flatten().copied();
    choices.min_by(|one, other| load(one.candidate).total_cmp(&load(other.candidate)))
}

#[derive(Clone, Copy)]
struct Ranked<'table> {
    suitability: Suitability,
    zone_rank: ZoneRank,
    score: u64,
    candidate: &'table Candidate,
}

impl Ranked<'_> {
    fn exceeds(&self, other: &Self) -> bool {
        let key = |ranked: &Self| (ranked.suitability, ranked.zone_rank, ranked.score);
        key(self) > key(other)
    }
}

/// Inserts a candidate into the best ones, in descending order.
fn insert<'table>(ranked: &mut [Option<Ranked<'table>>; COMPUTED_RANKS], new: Ranked<'table>) {
    let mut carried = new;
    for place in ranked {
        match place {
            None => {
                *place = Some(carried);
                return;
            }
            Some(current) if carried.exceeds(current) => std::mem::swap(current, &mut carried),
            Some(_) => {}
        }
    }
}

fn score(flow_hash: u64, id: InstanceId) -> u64 {
    mix(flow_hash ^ mix(id.0))
}

/// The 64-bit finalizer of `MurmurHash3` (Appleby): every input bit changes every output bit.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

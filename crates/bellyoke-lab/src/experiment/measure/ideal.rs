//! The wait that one queue for all slots of a service would give: the least that any placement
//! can reach which doesn't know how long a request takes.

use crate::experiment::settings::{ServiceSettings, Workload};
use std::time::Duration;

/// Mean wait of a request for a slot with one queue (M/M/c); none if the service has no
/// requests or more than its slots can do.
pub fn mean_wait(service: &ServiceSettings) -> Option<Duration> {
    let requests = service
        .callers
        .iter()
        .filter(|caller| caller.workload == Workload::Request);
    let (mut rate, mut load) = (0.0, 0.0);
    for caller in requests {
        rate += caller.flows_per_second;
        load += caller.flows_per_second * caller.mean_milliseconds / 1_000.0;
    }
    let slots = service.backends * service.slots;
    if rate <= 0.0 || load >= f64::from(slots) {
        return None;
    }
    let mean_work = load / rate;
    let wait = waiting_probability(slots, load) * mean_work / (f64::from(slots) - load);
    Some(Duration::from_secs_f64(wait))
}

/// Probability that a request has to wait (A. K. Erlang, 1917: the C formula), by the recursion
/// of the B formula, which stays in range for any number of slots.
fn waiting_probability(slots: u32, load: f64) -> f64 {
    let blocked = (1..=slots).fold(1.0, |blocked, slot| {
        load * blocked / (f64::from(slot) + load * blocked)
    });
    let use_of_slots = load / f64::from(slots);
    blocked / (1.0 - use_of_slots * (1.0 - blocked))
}

//! Admin API of the fabric: its counters, and the faults of its links.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use gotham::state::State;
use serde::Deserialize;

use super::links::Links;
use crate::admin::{Response, json};

#[derive(Clone, StateData)]
struct SharedLinks(Arc<Mutex<Links>>);

#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
struct Link {
    /// The balancer at the end of the link.
    balancer: SocketAddr,
    /// Delay in milliseconds.
    ms: Option<u64>,
}

/// Builds the routes of the admin API.
pub fn router(links: Arc<Mutex<Links>>) -> Router {
    let middleware = StateMiddleware::new(SharedLinks(links));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/counters").to(counters);
        route
            .post("/cut")
            .with_query_string_extractor::<Link>()
            .to(cut);
        route
            .post("/restore")
            .with_query_string_extractor::<Link>()
            .to(restore);
        route
            .post("/delay")
            .with_query_string_extractor::<Link>()
            .to(delay);
    })
}

fn with_links(state: &State, act: impl FnOnce(&mut Links)) {
    let links = &SharedLinks::borrow_from(state).0;
    act(&mut links.lock().unwrap_or_else(PoisonError::into_inner));
}

fn counters(state: State) -> (State, Response) {
    let mut counters = Default::default();
    with_links(&state, |links| counters = links.counters.clone());
    let response = json(&state, &counters);
    (state, response)
}

fn cut(state: State) -> (State, Response) {
    let balancer = Link::borrow_from(&state).balancer;
    with_links(&state, |links| links.cut(balancer));
    counters(state)
}

fn restore(state: State) -> (State, Response) {
    let balancer = Link::borrow_from(&state).balancer;
    with_links(&state, |links| links.restore(balancer));
    counters(state)
}

fn delay(state: State) -> (State, Response) {
    let link = Link::borrow_from(&state);
    let balancer = link.balancer;
    let delay = Duration::from_millis(link.ms.unwrap_or(0));
    with_links(&state, |links| links.set_delay(balancer, delay));
    counters(state)
}

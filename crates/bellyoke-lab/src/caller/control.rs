//! Control API of the callers: their progress, and the switch that stops them.

use std::sync::{Arc, Mutex, PoisonError};

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use gotham::state::State;

use super::CallerHost;
use crate::admin::{Response, json};

#[derive(Clone, StateData)]
struct SharedHost(Arc<Mutex<CallerHost>>);

/// Builds the routes of the control API.
pub fn router(host: Arc<Mutex<CallerHost>>) -> Router {
    let middleware = StateMiddleware::new(SharedHost(host));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/progress").to(progress);
        route.post("/stop").to(stop);
    })
}

fn progress(state: State) -> (State, Response) {
    let host = &SharedHost::borrow_from(&state).0;
    let counts = host
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .report()
        .counts;
    let response = json(&state, &counts);
    (state, response)
}

fn stop(state: State) -> (State, Response) {
    let host = &SharedHost::borrow_from(&state).0;
    host.lock().unwrap_or_else(PoisonError::into_inner).stop();
    progress(state)
}

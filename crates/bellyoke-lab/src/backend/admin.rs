//! Admin API of the backend: its report, what it says about itself, and its switches.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use gotham::state::State;
use serde::{Deserialize, Serialize};
use smoltcp::time::Duration;

use super::BackendHost;
use super::host::Lie;
use crate::admin::{Response, json};

#[derive(Clone, StateData)]
struct SharedHost(Arc<Mutex<BackendHost>>);

#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
struct Switches {
    /// Service that the backend may be asked for from now on; several are separated by commas.
    host: Option<String>,
    /// How long it works slowly, in milliseconds.
    ms: Option<u64>,
    /// Whether it drains; it does when this isn't said.
    on: Option<bool>,
    /// Health to tell.
    health: Option<bool>,
    /// Load to tell.
    load: Option<f64>,
}

#[derive(Debug, Serialize)]
struct Load {
    load: f64,
    slots_busy: u64,
    connections_open: u64,
}

#[derive(Debug, Serialize)]
struct Health {
    healthy: bool,
}

/// Builds the routes of the admin API.
pub fn router(host: Arc<Mutex<BackendHost>>) -> Router {
    let middleware = StateMiddleware::new(SharedHost(host));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/report").to(report);
        route.get("/load").to(load);
        route.get("/health").to(health);
        route
            .post("/allow")
            .with_query_string_extractor::<Switches>()
            .to(allow);
        route
            .post("/cold")
            .with_query_string_extractor::<Switches>()
            .to(cold);
        route
            .post("/drain")
            .with_query_string_extractor::<Switches>()
            .to(drain);
        route
            .post("/lie")
            .with_query_string_extractor::<Switches>()
            .to(lie);
    })
}

fn with_host<R>(state: &State, act: impl FnOnce(&mut BackendHost) -> R) -> R {
    let host = &SharedHost::borrow_from(state).0;
    let mut host: MutexGuard<'_, BackendHost> = host.lock().unwrap_or_else(PoisonError::into_inner);
    act(&mut host)
}

fn report(state: State) -> (State, Response) {
    let report = with_host(&state, |host| host.report());
    let response = json(&state, &report);
    (state, response)
}

fn load(state: State) -> (State, Response) {
    let load = with_host(&state, |host| {
        let report = host.report();
        Load {
            load: host.load(),
            slots_busy: report.slots_busy,
            connections_open: report.connections_open,
        }
    });
    let response = json(&state, &load);
    (state, response)
}

fn health(state: State) -> (State, Response) {
    let healthy = with_host(&state, |host| host.is_healthy());
    let response = json(&state, &Health { healthy });
    (state, response)
}

fn allow(state: State) -> (State, Response) {
    let names = Switches::borrow_from(&state)
        .host
        .clone()
        .unwrap_or_default();
    let services = names.split(',').filter(|name| !name.is_empty());
    let services = services.map(str::to_owned).collect();
    with_host(&state, |host| host.allow(services));
    health(state)
}

fn cold(state: State) -> (State, Response) {
    let time = Duration::from_millis(Switches::borrow_from(&state).ms.unwrap_or(0));
    with_host(&state, |host| host.run_cold(time));
    health(state)
}

fn drain(state: State) -> (State, Response) {
    let is_draining = Switches::borrow_from(&state).on.unwrap_or(true);
    with_host(&state, |host| host.set_draining(is_draining));
    health(state)
}

fn lie(state: State) -> (State, Response) {
    let switches = Switches::borrow_from(&state);
    let lie = Lie {
        healthy: switches.health,
        load: switches.load,
    };
    with_host(&state, |host| host.lie(lie));
    health(state)
}

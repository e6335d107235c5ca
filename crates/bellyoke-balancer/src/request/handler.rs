//! Handlers of the operator API.

use super::metrics::encode_metrics;
use super::snapshot::ApiSnapshot;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use gotham::state::State;
use http::{Response, StatusCode};
use std::sync::{Arc, Mutex, PoisonError};

/// The content type of OpenMetrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What handlers share with the control loop; both run on the control thread.
#[derive(Clone, StateData)]
pub struct ApiState(Arc<Mutex<ApiSnapshot>>);

impl ApiState {
    /// State that begins with `snapshot`.
    #[must_use]
    pub fn new(snapshot: ApiSnapshot) -> Self {
        Self(Arc::new(Mutex::new(snapshot)))
    }

    /// Replaces what is answered.
    pub fn replace(&self, snapshot: ApiSnapshot) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }

    fn read<T>(&self, read: impl FnOnce(&ApiSnapshot) -> T) -> T {
        read(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The routes of the operator API.
#[must_use]
pub fn operator_router(state: ApiState) -> Router {
    let middleware = StateMiddleware::new(state);
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/healthz").to(health);
        route.get("/readyz").to(readiness);
        route.get("/metrics").to(metrics);
        route.get("/v1/status").to(status);
    })
}

/// The control thread answers, so it lives.
fn health(state: State) -> (State, Response<Body>) {
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN_UTF_8, "ok\n");
    (state, response)
}

fn readiness(state: State) -> (State, Response<Body>) {
    let api = ApiState::borrow_from(&state);
    let (ready, reason) = api.read(|snapshot| (snapshot.ready, snapshot.reason.clone()));
    let (code, text) = if ready {
        (StatusCode::OK, "ready\n".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
    };
    let response = create_response(&state, code, mime::TEXT_PLAIN_UTF_8, text);
    (state, response)
}

fn metrics(state: State) -> (State, Response<Body>) {
    let samples = ApiState::borrow_from(&state).read(|snapshot| snapshot.metrics.clone());
    let response = match (encode_metrics(samples), OPENMETRICS.parse()) {
        (Ok(text), Ok(kind)) => create_response(&state, StatusCode::OK, kind, text),
        _ => failure(&state),
    };
    (state, response)
}

fn status(state: State) -> (State, Response<Body>) {
    let encoded =
        ApiState::borrow_from(&state).read(|snapshot| serde_json::to_string(&snapshot.status));
    let response = match encoded {
        Ok(text) => create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, text),
        Err(_) => failure(&state),
    };
    (state, response)
}

fn failure(state: &State) -> Response<Body> {
    let code = StatusCode::INTERNAL_SERVER_ERROR;
    create_response(state, code, mime::TEXT_PLAIN_UTF_8, "cannot be encoded\n")
}

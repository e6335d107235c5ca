//! What the admin APIs of the stand-ins share.

use std::future;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use anyhow::Context;
use gotham::helpers::http::response::create_response;
use gotham::hyper::StatusCode;
use gotham::router::Router;
use gotham::state::State;
use serde::Serialize;
use tracing::error;

/// A response with a body.
pub type Response = gotham::hyper::Response<gotham::helpers::http::Body>;

/// Serves `router` on `address` from a thread of its own.
///
/// # Errors
///
/// Fails when the address can't be bound or the thread can't be started.
pub fn serve(address: SocketAddr, router: Router) -> anyhow::Result<()> {
    let listener = bind(address).with_context(|| format!("bind the admin API to {address}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the runtime of the admin API")?;
    thread::Builder::new()
        .name("admin".to_owned())
        .spawn(move || runtime.block_on(accept(listener, router)))
        .context("start the admin thread")?;
    Ok(())
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn accept(listener: TcpListener, router: Router) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            gotham::bind_server(listener, router, |stream| future::ready(Ok(stream))).await
        }
        Err(error) => error!(%error, "the admin API can't be served"),
    }
}

/// Builds a JSON response.
pub fn json<T: Serialize>(state: &State, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => create_response(state, StatusCode::OK, mime::APPLICATION_JSON, body),
        Err(error) => failure(state, StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Builds a response that says what went wrong.
pub fn failure(state: &State, status: StatusCode, message: &str) -> Response {
    create_response(
        state,
        status,
        mime::TEXT_PLAIN_UTF_8,
        format!("{message}\n"),
    )
}

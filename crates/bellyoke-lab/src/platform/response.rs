//! Answers over HTTP.

use super::refusal::Refusal;
use futures::{Stream, StreamExt, TryStreamExt};
use gotham::bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::http_body::Frame;
use gotham::http_body_util::{BodyExt, StreamBody};
use gotham::hyper::{Response, StatusCode};
use gotham::state::State;
use std::io;

/// An answer in JSON.
pub fn json_response(
    state: &State,
    code: StatusCode,
    body: &impl serde::Serialize,
) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => create_response(state, code, mime::APPLICATION_JSON, body),
        Err(error) => create_response(
            state,
            StatusCode::INTERNAL_SERVER_ERROR,
            mime::TEXT_PLAIN_UTF_8,
            error.to_string(),
        ),
    }
}

/// The answer that tells a refusal.
pub fn refusal_response(state: &State, refusal: &Refusal) -> Response<Body> {
    json_response(state, refusal.code(), &refusal.status())
}

/// An answer whose connection breaks before the body.
pub fn broken_response(state: &State) -> Response<Body> {
    let broken = futures::stream::once(async { Err(io::ErrorKind::ConnectionReset.into()) });
    stream_response(state, broken)
}

/// An answer whose body comes bit by bit.
pub fn stream_response(
    state: &State,
    chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Response<Body> {
    let mut response = create_response(state, StatusCode::OK, mime::APPLICATION_JSON, "");
    let frames = chunks.map_ok(Frame::data).boxed();
    *response.body_mut() = StreamBody::new(frames).boxed_unsync();
    response
}

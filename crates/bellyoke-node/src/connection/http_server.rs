//! HTTP endpoints: readiness for routers and metrics for operators.

use crate::process::control::Control;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Path of the readiness check, which reports whether the node accepts new flows.
pub const READINESS_PATH: &str = "/readyz";

/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// Maximum lifetime of a connection. Prevents idle connections from accumulating.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of concurrent connections. Further ones wait in the accept queue.
const MAXIMUM_CONNECTIONS: usize = 64;

/// Serves connections accepted by `listener` for the lifetime of the process.
pub async fn serve(control: Rc<RefCell<Control>>, listener: TcpListener) {
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(MAXIMUM_CONNECTIONS));
    loop {
        let Ok(slot) = std::sync::Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let control = Rc::clone(&control);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = respond(&control.borrow(), &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .max_buf_size(8 * 1024)
                .serve_connection(TokioIo::new(stream), service);
            let _ = timeout(CONNECTION_LIFETIME, connection).await;
            drop(slot);
        });
    }
}

fn respond(control: &Control, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return text_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "only GET is served\n".into(),
        );
    }
    match request.uri().path() {
        READINESS_PATH => match control.readiness() {
            Ok(()) => text_response(StatusCode::OK, "ready\n".into()),
            Err(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason:?}\n")),
        },
        METRICS_PATH => text_response(StatusCode::OK, control.metrics_text()),
        _ => text_response(StatusCode::NOT_FOUND, "no such page\n".into()),
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

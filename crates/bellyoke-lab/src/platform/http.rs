//! The object API over HTTP.

use super::object::{metadata_text, set_metadata};
use super::query::Query;
use super::refusal::Refusal;
use super::response::{broken_response, json_response, refusal_response, stream_response};
use super::state::{Platform, WriteAction, WriteReply, WriteRequest};
use super::store::{Collection, ObjectKey, Preconditions, Scope};
use super::stream;
use super::{faults::FaultChange, faults::LostAnswer};
use gotham::bytes::Bytes;
use gotham::handler::{HandlerFuture, HandlerResult};
use gotham::helpers::http::Body;
use gotham::http_body_util::{BodyExt, Limited};
use gotham::hyper::header::{CONTENT_TYPE, USER_AGENT};
use gotham::hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use gotham::state::State;
use serde::Deserialize;
use serde_json::{Value, json};
use std::pin::Pin;
use std::sync::Arc;

const BODY_LIMIT: usize = 3 << 20;
const GENERATED_SUFFIX_DIGITS: usize = 5;

#[derive(Clone, StateData)]
struct SharedPlatform(Arc<Platform>);

#[derive(Clone, Debug, Deserialize, StateData, StaticResponseExtender)]
struct ObjectPath {
    group: String,
    version: String,
    plural: String,
    namespace: Option<String>,
    name: Option<String>,
}

/// Routes of the object API and of its switches.
pub fn router(platform: Arc<Platform>) -> Router {
    let shared = SharedPlatform(platform);
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(shared)));
    build_router(chain, pipelines, |route| {
        route.get("/version").to(version);
        route.get("/faults").to(get_faults);
        route.post("/faults").to(post_faults);
        route.get("/audit").to(get_audit);
        route.scope("/apis/:group/:version", |route| {
            let all = "/:plural";
            let collection = "/namespaces/:namespace/:plural";
            let object = "/namespaces/:namespace/:plural/:name";
            route.get(all).with_path_extractor::<ObjectPath>().to(list);
            route
                .get(collection)
                .with_path_extractor::<ObjectPath>()
                .to(list);
            route
                .post(collection)
                .with_path_extractor::<ObjectPath>()
                .to(write);
            route
                .get(object)
                .with_path_extractor::<ObjectPath>()
                .to(read);
            route
                .request(vec![Method::PUT, Method::PATCH, Method::DELETE], object)
                .with_path_extractor::<ObjectPath>()
                .to(write);
        });
    })
}

fn version(state: State) -> (State, Response<Body>) {
    let version = json!({
        "major": "1", "minor": "33", "gitVersion": "v1.33.0", "gitCommit": "",
        "gitTreeState": "clean", "buildDate": "", "goVersion": "", "compiler": "",
        "platform": "bellyoke-lab",
    });
    let response = json_response(&state, StatusCode::OK, &version);
    (state, response)
}

fn get_faults(state: State) -> (State, Response<Body>) {
    let faults = shared(&state).contents().faults;
    let response = json_response(&state, StatusCode::OK, &faults);
    (state, response)
}

fn get_audit(state: State) -> (State, Response<Body>) {
    let audit = shared(&state).contents().audit.clone();
    let response = json_response(&state, StatusCode::OK, &audit);
    (state, response)
}

fn post_faults(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let result = read_json::<FaultChange>(&mut state).await;
        let result = result.map(|change| shared(&state).change_faults(&change));
        let response = match result {
            Ok(faults) => json_response(&state, StatusCode::OK, &faults),
            Err(refusal) => refusal_response(&state, &refusal),
        };
        Ok((state, response))
    })
}

fn read(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(serve(state, async |state, platform| {
        let path = ObjectPath::take_from(state);
        let object = platform.read(&user_agent(state), &key(path)?)?;
        Ok(json_response(state, StatusCode::OK, &object))
    }))
}

fn list(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(serve(state, async |state, platform| {
        let path = ObjectPath::take_from(state);
        let query = Query::parse(Uri::borrow_from(state))?;
        let scope = scope(path);
        let user_agent = user_agent(state);
        if query.watch {
            let request = query.watch_request(user_agent, scope);
            return Ok(stream_response(state, stream::open(platform, request)?));
        }
        let list = platform.list(&user_agent, &scope, &query.selector);
        let body = json!({
            "apiVersion": scope.collection.api_version(),
            "kind": "List",
            "metadata": { "resourceVersion": list.version.to_string() },
            "items": list.items,
        });
        Ok(json_response(state, StatusCode::OK, &body))
    }))
}

fn write(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(serve(state, async |state, platform| {
        let request = write_request(state).await?;
        let time = jiff::Timestamp::now().strftime("%Y-%m-%dT%H:%M:%SZ");
        match platform.write(request, &time.to_string()) {
            WriteReply::Done(code, object) => Ok(json_response(state, code, &object)),
            WriteReply::Refused(refusal) => Err(refusal),
            WriteReply::Lost(LostAnswer::GatewayTimeout) => Err(Refusal::GatewayTimeout),
            WriteReply::Lost(LostAnswer::Broken) => Ok(broken_response(state)),
        }
    }))
}

/// Admits the request, serves it and holds its answer back as long as the faults say.
async fn serve(
    mut state: State,
    handle: impl AsyncFnOnce(&mut State, &Arc<Platform>) -> Result<Response<Body>, Refusal>,
) -> HandlerResult {
    let platform = Arc::clone(shared(&state));
    let result = match platform.admit() {
        Err(refusal) => Err(refusal),
        Ok(delay) => {
            let result = handle(&mut state, &platform).await;
            tokio::time::sleep(delay).await;
            result
        }
    };
    let response = result.unwrap_or_else(|refusal| refusal_response(&state, &refusal));
    Ok((state, response))
}

async fn write_request(state: &mut State) -> Result<WriteRequest, Refusal> {
    let mut path = ObjectPath::take_from(state);
    let action = match *Method::borrow_from(state) {
        Method::POST => {
            let mut object: Value = read_json(state).await?;
            path.name = Some(created_name(&object)?);
            complete(&mut object, &path);
            WriteAction::Create(object)
        }
        Method::PUT => {
            let mut object: Value = read_json(state).await?;
            complete(&mut object, &path);
            WriteAction::Replace(object)
        }
        Method::PATCH => patch_action(state).await?,
        _ => WriteAction::Delete(preconditions(state).await?),
    };
    Ok(WriteRequest {
        user_agent: user_agent(state),
        key: key(path)?,
        action,
    })
}

async fn patch_action(state: &mut State) -> Result<WriteAction, Refusal> {
    let content_type = header(state, &CONTENT_TYPE);
    match content_type.as_str() {
        "application/merge-patch+json" => Ok(WriteAction::MergePatch(read_json(state).await?)),
        "application/json-patch+json" => Ok(WriteAction::JsonPatch(read_json(state).await?)),
        _ => Err(Refusal::UnsupportedPatch { content_type }),
    }
}

async fn preconditions(state: &mut State) -> Result<Preconditions, Refusal> {
    #[derive(Default, Deserialize)]
    #[serde(default)]
    struct DeleteOptions {
        preconditions: Preconditions,
    }
    let body = read_body(state).await?;
    if body.is_empty() {
        return Ok(Preconditions::default());
    }
    let options: DeleteOptions = parse_json(&body)?;
    Ok(options.preconditions)
}

/// The name in the object, or one that begins with `metadata.generateName`.
fn created_name(object: &Value) -> Result<String, Refusal> {
    let name = metadata_text(object, "name");
    if !name.is_empty() {
        return Ok(name.to_owned());
    }
    let prefix = metadata_text(object, "generateName");
    if prefix.is_empty() {
        return Err(Refusal::Invalid {
            field: "metadata.name",
            message: "name or generateName is required".to_owned(),
        });
    }
    let number: u64 = rand::random();
    let digits = format!("{number:016x}");
    Ok(format!("{prefix}{}", &digits[..GENERATED_SUFFIX_DIGITS]))
}

fn complete(object: &mut Value, path: &ObjectPath) {
    if !object.is_object() {
        *object = json!({});
    }
    if object["apiVersion"].is_null() {
        object["apiVersion"] = format!("{}/{}", path.group, path.version).into();
    }
    if let Some(name) = &path.name {
        set_metadata(object, "name", name.as_str());
    }
}

fn scope(path: ObjectPath) -> Scope {
    Scope {
        namespace: path.namespace,
        collection: Collection {
            group: path.group,
            version: path.version,
            plural: path.plural,
        },
    }
}

fn key(path: ObjectPath) -> Result<ObjectKey, Refusal> {
    let missing = || Refusal::BadRequest {
        message: "the path names no object".to_owned(),
    };
    let name = path.name.clone().ok_or_else(missing)?;
    let scope = scope(path);
    Ok(ObjectKey {
        collection: scope.collection,
        namespace: scope.namespace.ok_or_else(missing)?,
        name,
    })
}

fn shared(state: &State) -> &Arc<Platform> {
    &SharedPlatform::borrow_from(state).0
}

fn user_agent(state: &State) -> String {
    header(state, &USER_AGENT)
}

fn header(state: &State, name: &gotham::hyper::header::HeaderName) -> String {
    let value = HeaderMap::borrow_from(state).get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

async fn read_body(state: &mut State) -> Result<Bytes, Refusal> {
    let body = Limited::new(Body::take_from(state), BODY_LIMIT);
    let collected = body.collect().await;
    let collected = collected.map_err(|error| Refusal::BadRequest {
        message: format!("the body cannot be read: {error}"),
    })?;
    Ok(collected.to_bytes())
}

async fn read_json<T: for<'a> Deserialize<'a>>(state: &mut State) -> Result<T, Refusal> {
    parse_json(&read_body(state).await?)
}

fn parse_json<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::BadRequest {
        message: format!("the body is not what was expected: {error}"),
    })
}

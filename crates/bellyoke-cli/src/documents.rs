//! Objects as operators keep them in files: JSON or YAML, any number of documents.

use crate::failure::Failure;
use bellyoke_api::result_code::ResultCode;
use bellyoke_kube::kinds::{Backend, GROUP, Service, VERSION};
use serde_json::Value;
use std::fs;
use std::path::Path;

/// Largest file that is read, bytes.
const MAX_FILE_LENGTH: u64 = 64 << 20;

/// An object that an operator wrote.
#[derive(Clone, Debug)]
pub enum Document {
    /// A service.
    Service(Box<Service>),
    /// A backend.
    Backend(Box<Backend>),
}

/// Reads the objects of a file, in its order.
///
/// # Errors
/// When the file can't be read, or a document in it isn't an object of a known kind.
pub fn read_file(path: &Path) -> Result<Vec<Document>, Failure> {
    let unreadable = |error: std::io::Error| {
        let message = format!("{}: {error}", path.display());
        Failure::new(ResultCode::FileUnreadable, message)
    };
    let length = fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_FILE_LENGTH {
        let message = format!(
            "{}: {length} bytes, {MAX_FILE_LENGTH} at most",
            path.display()
        );
        return Err(Failure::new(ResultCode::FileUnreadable, message));
    }
    parse(&fs::read_to_string(path).map_err(unreadable)?)
}

/// Parses the documents of a text.
///
/// # Errors
/// See [`read_file`].
pub fn parse(text: &str) -> Result<Vec<Document>, Failure> {
    let mut documents = Vec::new();
    for (index, value) in values(text)?.into_iter().enumerate() {
        for item in list_items(value) {
            documents.push(document(item, index + 1)?);
        }
    }
    if documents.is_empty() {
        let message = "the file holds no object";
        return Err(Failure::new(ResultCode::ObjectSyntax, message));
    }
    Ok(documents)
}

/// JSON documents may follow one another without a separator, which YAML doesn't allow.
fn values(text: &str) -> Result<Vec<Value>, Failure> {
    if text.trim_start().starts_with(['{', '[']) {
        let stream = serde_json::Deserializer::from_str(text).into_iter();
        let values: Result<Vec<Value>, _> = stream.collect();
        return values.map_err(|error| syntax(&format!("JSON: {error}")));
    }
    let values: Result<Vec<Value>, _> = serde_saphyr::from_multiple(text);
    values.map_err(|error| syntax(&format!("YAML: {error}")))
}

/// The items of a Kubernetes `List` or of an array; otherwise the value itself.
fn list_items(value: Value) -> Vec<Value> {
    match value {
        Value::Array(items) => items,
        Value::Object(mut fields) if fields.get("kind") == Some(&Value::from("List")) => {
            match fields.remove("items") {
                Some(Value::Array(items)) => items,
                _ => Vec::new(),
            }
        }
        other => vec![other],
    }
}

fn document(value: Value, number: usize) -> Result<Document, Failure> {
    let field = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default();
    let version = field("apiVersion").to_owned();
    let kind = field("kind").to_owned();
    if version != format!("{GROUP}/{VERSION}") {
        let message =
            format!("document {number}: apiVersion is `{version}`, not `{GROUP}/{VERSION}`");
        return Err(Failure::new(ResultCode::UnknownKind, message));
    }
    let name = value.pointer("/metadata/name").and_then(Value::as_str);
    let Some(name) = name.map(str::to_owned) else {
        let message = format!("document {number}: metadata.name is missing");
        return Err(Failure::new(ResultCode::ObjectInvalid, message));
    };
    let invalid = |error: serde_json::Error| {
        let message = format!("document {number}, {kind} {name}: {error}");
        Failure::new(ResultCode::ObjectInvalid, message)
    };
    match kind.as_str() {
        "Service" => serde_json::from_value(value)
            .map(|service| Document::Service(Box::new(service)))
            .map_err(invalid),
        "Backend" => serde_json::from_value(value)
            .map(|backend| Document::Backend(Box::new(backend)))
            .map_err(invalid),
        _ => Err(Failure::new(
            ResultCode::UnknownKind,
            format!("document {number}: kind is `{kind}`, not `Service` or `Backend`"),
        )),
    }
}

fn syntax(message: &str) -> Failure {
    Failure::new(ResultCode::ObjectSyntax, message)
}

//! Fields of objects in JSON, as the Kubernetes API conventions name them.

use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Annotation that names the operation which last wrote an object.
const OPERATION_ANNOTATION: &str = "bellyoke.dev/operation-id";

/// A string of the metadata; empty when missing.
#[must_use]
pub fn metadata_text<'a>(object: &'a Value, field: &str) -> &'a str {
    object["metadata"][field].as_str().unwrap_or_default()
}

/// The id of the operation that last wrote the object.
#[must_use]
pub fn operation_id(object: &Value) -> Option<String> {
    let id = object["metadata"]["annotations"][OPERATION_ANNOTATION].as_str();
    id.map(str::to_owned)
}

/// The object's labels.
#[must_use]
pub fn labels(object: &Value) -> BTreeMap<&str, &str> {
    let labels = object["metadata"]["labels"].as_object();
    let labels = labels.into_iter().flatten();
    labels
        .filter_map(|(name, value)| Some((name.as_str(), value.as_str()?)))
        .collect()
}

/// Sets a field of the metadata, which is made an object if it isn't one.
pub fn set_metadata(object: &mut Value, field: &str, value: impl Into<Value>) {
    if !object["metadata"].is_object() {
        object["metadata"] = json!({});
    }
    object["metadata"][field] = value.into();
}

/// The object without the fields that a write changes by itself.
#[must_use]
pub fn without_bookkeeping(object: &Value) -> Value {
    let mut object = object.clone();
    for field in ["resourceVersion", "generation"] {
        set_metadata(&mut object, field, Value::Null);
    }
    object
}

//! From an object whose fields weren't looked at yet to one of our kinds.

use crate::convert::field::{InvalidField, InvalidObject};
use crate::kinds::{
    Backend, BackendSpec, Balancer, BalancerSpec, Generation, GenerationSpec, Service, ServiceSpec,
};
use kube::api::{DynamicObject, ObjectMeta};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A kind that is put together from metadata and a specification.
pub trait KindSpec: Sized {
    /// Name of the kind.
    const KIND: &'static str;
    /// Its specification.
    type Spec: DeserializeOwned;

    /// Puts the object together.
    fn assemble(metadata: ObjectMeta, spec: Self::Spec) -> Self;
}

macro_rules! kind_spec {
    ($kind:ident, $spec:ident) => {
        impl KindSpec for $kind {
            const KIND: &'static str = stringify!($kind);
            type Spec = $spec;

            fn assemble(metadata: ObjectMeta, spec: $spec) -> Self {
                Self { metadata, spec }
            }
        }
    };
}

kind_spec!(Backend, BackendSpec);
kind_spec!(Balancer, BalancerSpec);
kind_spec!(Generation, GenerationSpec);
kind_spec!(Service, ServiceSpec);

/// Reads the specification of an object.
///
/// # Errors
/// The specification is missing, lacks a field or holds a value of another type.
pub fn parse_object<K: KindSpec>(mut object: DynamicObject) -> Result<K, InvalidObject> {
    let spec = object.data.get_mut("spec").map_or(Value::Null, Value::take);
    match serde_json::from_value(spec) {
        Ok(spec) => Ok(K::assemble(object.metadata, spec)),
        Err(error) => {
            let name = object.metadata.name.unwrap_or_default();
            let allowed = "a specification by the schema of the kind";
            Err(InvalidField::new("spec", error, allowed).of(K::KIND, &name))
        }
    }
}

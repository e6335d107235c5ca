//! From the store's objects to the plain types of the core, field by field.

mod field;
mod objects;
mod parse;

pub use field::{InvalidField, InvalidObject};
pub use objects::{
    backend_object, balancer_name, balancer_object, balancer_record, generation_object,
    service_object, stored_generation,
};
pub use parse::{KindSpec, parse_object};

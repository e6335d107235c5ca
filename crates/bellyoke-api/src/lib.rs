//! What the daemon and the command line say to each other and to people: numbered result
//! codes, numbered log events and the types of the operator API. One place, so that the
//! tables in the documentation can be held against the code.

pub mod catalogue;
pub mod event_code;
pub mod result_code;
pub mod status;

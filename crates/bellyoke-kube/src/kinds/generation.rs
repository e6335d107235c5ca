//! The kind `Generation`.

use kube::CustomResource;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Name of the only object of the kind.
pub const GENERATION_NAME: &str = "current";

/// The newest version of the configuration that all balancers agree on.
#[derive(CustomResource, Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[kube(
    group = "bellyoke.dev",
    version = "v1",
    kind = "Generation",
    namespaced
)]
#[serde(rename_all = "camelCase")]
pub struct GenerationSpec {
    /// Its number.
    pub number: u64,
    /// BLAKE3 digest of the content, hexadecimal.
    pub digest: String,
    /// The write that put it there.
    pub operation_id: String,
    /// Its encoding, base64 (RFC 4648, section 4).
    pub content: String,
}

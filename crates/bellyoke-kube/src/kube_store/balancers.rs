//! The machine list.

use super::client::KubeStore;
use super::write::{DeleteOutcome, WriteOutcome};
use crate::convert::{balancer_name, balancer_object, balancer_record};
use crate::kinds::Balancer;
use crate::store::{BalancerDirectory, BalancerRecord, OperationId, StoreError};
use bellyoke_core::identity::NodeId;
use futures::FutureExt;
use futures::future::BoxFuture;
use kube::api::ResourceExt;

/// Somebody else may touch the entry between reading and writing it, but hardly often.
const ATTEMPTS: u32 = 4;

impl BalancerDirectory for KubeStore {
    fn register(&self, record: BalancerRecord) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let name = balancer_name(record.node);
            for _ in 0..ATTEMPTS {
                let mut object = balancer_object(&record);
                if let Some(found) = self.read::<Balancer>(&name).await? {
                    if found.spec == object.spec {
                        return Ok(());
                    }
                    object.metadata = found.metadata;
                }
                let operation = OperationId::random(&mut rand::rng());
                match self.write(&object, &operation).await? {
                    WriteOutcome::Accepted(_) => return Ok(()),
                    WriteOutcome::Conflict { .. } | WriteOutcome::Deleted => {}
                    WriteOutcome::Unknown => return Err(unsettled()),
                }
            }
            Err(unsettled())
        }
        .boxed()
    }

    fn withdraw(&self, node: NodeId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let name = balancer_name(node);
            for _ in 0..ATTEMPTS {
                let Some(found) = self.read::<Balancer>(&name).await? else {
                    return Ok(());
                };
                if let DeleteOutcome::Accepted = self.delete(&found).await? {
                    return Ok(());
                }
            }
            Err(unsettled())
        }
        .boxed()
    }

    fn list_balancers(&self) -> BoxFuture<'_, Result<Vec<BalancerRecord>, StoreError>> {
        async {
            let objects = self.list::<Balancer>().await?;
            Ok(objects.iter().filter_map(understood).collect())
        }
        .boxed()
    }
}

/// The list only seeds membership: a wrong entry is left out.
fn understood(object: &Balancer) -> Option<BalancerRecord> {
    balancer_record(object)
        .inspect_err(|error| tracing::warn!(%error, name = object.name_any(), "entry left out"))
        .ok()
}

fn unsettled() -> StoreError {
    StoreError::Unavailable {
        reason: "the entry of the machine list could not be settled".to_owned(),
    }
}

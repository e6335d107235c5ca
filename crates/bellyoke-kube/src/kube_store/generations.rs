//! The sequence of generations.

use super::client::KubeStore;
use super::follow::{Followed, Follower};
use super::write::WriteOutcome;
use crate::convert::{InvalidObject, generation_object, parse_object, stored_generation};
use crate::kinds::{GENERATION_NAME, Generation};
use crate::store::{
    GenerationStore, PublishOutcome, PublishRequest, StoreError, StoredGeneration, Subscription,
};
use futures::FutureExt;
use futures::future::BoxFuture;
use kube::api::DynamicObject;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

impl GenerationStore for KubeStore {
    fn current_generation(&self) -> BoxFuture<'_, Result<Option<StoredGeneration>, StoreError>> {
        async {
            let object = self.read::<Generation>(GENERATION_NAME).await?;
            Ok(object.as_ref().map(stored_generation).transpose()?)
        }
        .boxed()
    }

    fn watch_generation(&self) -> Subscription<StoredGeneration> {
        let (sender, receiver) = watch::channel(None);
        let task = tokio::spawn(run(self.clone(), sender));
        Subscription::new(receiver, task)
    }

    fn publish(
        &self,
        request: PublishRequest,
    ) -> BoxFuture<'_, Result<PublishOutcome, StoreError>> {
        async move {
            let object = generation_object(&request);
            let ours = |found: &Generation| {
                found.spec.operation_id == object.spec.operation_id
                    && found.spec.digest == object.spec.digest
            };
            let outcome = self
                .write_recognized(&object, &request.operation, ours)
                .await?;
            publish_outcome(outcome)
        }
        .boxed()
    }
}

fn publish_outcome(outcome: WriteOutcome<Generation>) -> Result<PublishOutcome, StoreError> {
    Ok(match outcome {
        WriteOutcome::Accepted(object) => PublishOutcome::Accepted(stored_generation(&object)?),
        WriteOutcome::Conflict { newer, .. } => {
            PublishOutcome::Conflict(stored_generation(&newer)?)
        }
        WriteOutcome::Deleted => {
            return Err(StoreError::Refused {
                code: 404,
                reason: "NotFound".to_owned(),
                message: "the generation that this one follows was deleted".to_owned(),
            });
        }
        WriteOutcome::Unknown => PublishOutcome::Unknown,
    })
}

async fn run(store: KubeStore, sender: watch::Sender<Option<Arc<StoredGeneration>>>) {
    let changed = Arc::new(Notify::new());
    let followed = Arc::new(Followed::new(Arc::clone(&changed)));
    let follower = Follower {
        store: store.clone(),
        api: store.untyped_api::<Generation>(),
        convert,
        followed: Arc::clone(&followed),
    };
    let yielding = async {
        loop {
            changed.notified().await;
            if let Some(generation) = newest(&followed) {
                yield_generation(&sender, generation);
            }
        }
    };
    tokio::join!(follower.run(), yielding);
}

fn newest(followed: &Followed<StoredGeneration>) -> Option<StoredGeneration> {
    let cache = followed.cache();
    let newest = cache.objects().next()?;
    match newest {
        Ok(generation) => Some(generation.clone()),
        Err(error) => {
            tracing::error!(%error, "the stored generation cannot be understood");
            None
        }
    }
}

fn yield_generation(
    sender: &watch::Sender<Option<Arc<StoredGeneration>>>,
    generation: StoredGeneration,
) {
    sender.send_if_modified(|last| {
        let newer = last
            .as_ref()
            .is_none_or(|last| generation.number > last.number);
        if newer {
            *last = Some(Arc::new(generation));
        }
        newer
    });
}

fn convert(object: DynamicObject) -> Result<StoredGeneration, InvalidObject> {
    stored_generation(&parse_object(object)?)
}

//! Services and backends, joined to one state.

use super::client::KubeStore;
use super::follow::{Followed, Follower};
use crate::convert::{InvalidObject, backend_object, parse_object, service_object};
use crate::kinds::{Backend, Service};
use crate::store::{DesiredState, ObjectReader, Subscription};
use bellyoke_core::generation::{BackendObject, ServiceObject, StoreRevision};
use kube::api::DynamicObject;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

impl ObjectReader for KubeStore {
    fn watch_objects(&self) -> Subscription<DesiredState> {
        let (sender, receiver) = watch::channel(None);
        let task = tokio::spawn(run(self.clone(), sender));
        Subscription::new(receiver, task)
    }

    fn refresh_objects(&self) {
        self.refresh().send_modify(|calls| *calls += 1);
    }
}

async fn run(store: KubeStore, sender: watch::Sender<Option<Arc<DesiredState>>>) {
    let changed = Arc::new(Notify::new());
    let services = Arc::new(Followed::new(Arc::clone(&changed)));
    let backends = Arc::new(Followed::new(Arc::clone(&changed)));
    let service_follower = Follower {
        store: store.clone(),
        api: store.untyped_api::<Service>(),
        convert: convert_service,
        followed: Arc::clone(&services),
    };
    let backend_follower = Follower {
        store: store.clone(),
        api: store.untyped_api::<Backend>(),
        convert: convert_backend,
        followed: Arc::clone(&backends),
    };
    let yielding = async {
        loop {
            changed.notified().await;
            tokio::time::sleep(store.options().debounce).await;
            if let Some(state) = join(&services, &backends) {
                yield_state(&sender, state);
            }
        }
    };
    tokio::join!(service_follower.run(), backend_follower.run(), yielding);
}

fn yield_state(sender: &watch::Sender<Option<Arc<DesiredState>>>, state: DesiredState) {
    sender.send_if_modified(|last| {
        let differs = last.as_deref() != Some(&state);
        if differs {
            *last = Some(Arc::new(state));
        }
        differs
    });
}

/// None until both kinds were listed.
fn join(
    services: &Followed<ServiceObject>,
    backends: &Followed<BackendObject>,
) -> Option<DesiredState> {
    let services = services.cache();
    let backends = backends.cache();
    let mut state = DesiredState {
        revision: StoreRevision {
            services: services.revision()?,
            backends: backends.revision()?,
        },
        ..DesiredState::default()
    };
    for service in services.objects() {
        sort_out(service, &mut state.services, &mut state.invalid);
    }
    for backend in backends.objects() {
        sort_out(backend, &mut state.backends, &mut state.invalid);
    }
    Some(state)
}

fn sort_out<T: Clone>(
    object: &Result<T, InvalidObject>,
    valid: &mut Vec<T>,
    invalid: &mut Vec<InvalidObject>,
) {
    match object {
        Ok(object) => valid.push(object.clone()),
        Err(error) => invalid.push(error.clone()),
    }
}

fn convert_service(object: DynamicObject) -> Result<ServiceObject, InvalidObject> {
    service_object(&parse_object(object)?)
}

fn convert_backend(object: DynamicObject) -> Result<BackendObject, InvalidObject> {
    backend_object(&parse_object(object)?)
}

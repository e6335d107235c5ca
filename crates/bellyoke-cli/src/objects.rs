//! The operators' objects as they are in the store, and as a change would leave them.

use bellyoke_core::generation::{DesiredState, Generation, StoreRevision};
use bellyoke_kube::convert::{InvalidObject, backend_object, service_object};
use bellyoke_kube::kinds::{Backend, Service};
use kube::ResourceExt;

/// Start of the UID that stands for one that the store hasn't given yet.
const UNWRITTEN_UID: &str = "unwritten-";

/// All services and backends.
#[derive(Clone, Debug, Default)]
pub struct ObjectSet {
    /// All services.
    pub services: Vec<Service>,
    /// All backends.
    pub backends: Vec<Backend>,
}

/// A change of one object.
#[derive(Clone, Debug)]
pub enum Change {
    /// Create or replace a service.
    PutService(Box<Service>),
    /// Create or replace a backend.
    PutBackend(Box<Backend>),
    /// Delete a service.
    DeleteService(Box<Service>),
    /// Delete a backend.
    DeleteBackend(Box<Backend>),
}

impl Change {
    /// Kind and name, such as `backend/till-3`.
    #[must_use]
    pub fn object(&self) -> String {
        match self {
            Self::PutService(service) | Self::DeleteService(service) => {
                format!("service/{}", service.name_any())
            }
            Self::PutBackend(backend) | Self::DeleteBackend(backend) => {
                format!("backend/{}", backend.name_any())
            }
        }
    }
}

/// Objects in plain types, and what couldn't be converted.
#[derive(Clone, Debug)]
pub struct Converted {
    /// What can be understood.
    pub desired: DesiredState,
    /// What can't.
    pub invalid: Vec<InvalidObject>,
}

impl ObjectSet {
    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let mut services = self.services.iter();
        services.find(|service| service.name_any() == name)
    }

    /// The backend of this name.
    #[must_use]
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        let mut backends = self.backends.iter();
        backends.find(|backend| backend.name_any() == name)
    }

    /// The objects after `changes`.
    #[must_use]
    pub fn with(&self, changes: &[Change]) -> Self {
        let mut next = self.clone();
        for change in changes {
            match change {
                Change::PutService(service) => put(&mut next.services, service),
                Change::PutBackend(backend) => put(&mut next.backends, backend),
                Change::DeleteService(service) => remove(&mut next.services, &service.name_any()),
                Change::DeleteBackend(backend) => remove(&mut next.backends, &backend.name_any()),
            }
        }
        next
    }

    /// The objects in plain types, as read at the revision of `published`.
    #[must_use]
    pub fn convert(&self, published: Option<&Generation>) -> Converted {
        let mut invalid = Vec::new();
        let mut desired = DesiredState {
            revision: published.map_or(StoreRevision::default(), |published| published.revision),
            ..DesiredState::default()
        };
        for service in &self.services {
            match service_object(service) {
                Ok(object) => desired.services.push(object),
                Err(error) => {
                    desired.unreadable.services.insert(service.name_any());
                    invalid.push(error);
                }
            }
        }
        for backend in &self.backends {
            match backend_object(backend) {
                Ok(object) => desired.backends.push(object),
                Err(error) => {
                    desired.unreadable.backends.insert(backend.name_any());
                    invalid.push(error);
                }
            }
        }
        Converted { desired, invalid }
    }
}

fn put<K: ResourceExt + Clone>(objects: &mut Vec<K>, object: &K) {
    let mut object = object.clone();
    let name = object.name_any();
    if object.uid().is_none() {
        object.meta_mut().uid = Some(format!("{UNWRITTEN_UID}{name}"));
    }
    remove(objects, &name);
    objects.push(object);
}

fn remove<K: ResourceExt>(objects: &mut Vec<K>, name: &str) {
    objects.retain(|object| object.name_any() != name);
}

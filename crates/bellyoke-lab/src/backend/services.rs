//! Which services a backend may serve, and which it serves now.

use std::collections::{BTreeMap, BTreeSet};

use smoltcp::wire::IpAddress;

use super::work::ConnectionId;

/// Why traffic doesn't belong on this backend.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WrongService {
    /// The service isn't among those that it may be asked for.
    #[error("asked for {asked}, which isn't served here")]
    NotAllowed {
        /// The name in the request.
        asked: String,
    },
    /// Another service has open connections.
    #[error("asked for {asked} while {serving} has open connections")]
    SecondName {
        /// The name in the request.
        asked: String,
        /// The service with open connections.
        serving: String,
    },
    /// Another service address of the same IP version has open connections.
    #[error("connection to {asked} while {serving} has open connections")]
    SecondAddress {
        /// The address of the new connection.
        asked: IpAddress,
        /// The address with open connections.
        serving: IpAddress,
    },
}

#[derive(Debug)]
struct Served {
    address: IpAddress,
    name: Option<String>,
}

/// The services of the open connections.
#[derive(Debug)]
pub struct ServiceGuard {
    allowed: BTreeSet<String>,
    open: BTreeMap<ConnectionId, Served>,
}

impl ServiceGuard {
    /// Creates a guard that allows the given services.
    pub fn new(allowed: impl IntoIterator<Item = String>) -> Self {
        Self {
            allowed: allowed.into_iter().collect(),
            open: BTreeMap::new(),
        }
    }

    /// Replaces the allowed services.
    pub fn allow(&mut self, allowed: impl IntoIterator<Item = String>) {
        self.allowed = allowed.into_iter().collect();
    }

    /// Notes a new connection to `address`.
    pub fn open(
        &mut self,
        connection: ConnectionId,
        address: IpAddress,
    ) -> Result<(), WrongService> {
        let other = self
            .open
            .values()
            .map(|served| served.address)
            .find(|serving| is_other_address(*serving, address));
        self.open.insert(
            connection,
            Served {
                address,
                name: None,
            },
        );
        other.map_or(Ok(()), |serving| {
            Err(WrongService::SecondAddress {
                asked: address,
                serving,
            })
        })
    }

    /// Notes the service that a connection asks for.
    pub fn ask(&mut self, connection: ConnectionId, name: &str) -> Result<(), WrongService> {
        self.check_allowed(name)?;
        let mut names = self.open.values().filter_map(|served| served.name.as_ref());
        if let Some(serving) = names.find(|serving| *serving != name) {
            return Err(WrongService::SecondName {
                asked: name.to_owned(),
                serving: serving.clone(),
            });
        }
        if let Some(served) = self.open.get_mut(&connection) {
            served.name = Some(name.to_owned());
        }
        Ok(())
    }

    /// Checks that the service is among the allowed ones.
    pub fn check_allowed(&self, name: &str) -> Result<(), WrongService> {
        if self.allowed.contains(name) {
            return Ok(());
        }
        Err(WrongService::NotAllowed {
            asked: name.to_owned(),
        })
    }

    /// Forgets a connection that has ended.
    pub fn close(&mut self, connection: ConnectionId) {
        self.open.remove(&connection);
    }
}

fn is_other_address(serving: IpAddress, asked: IpAddress) -> bool {
    serving.version() == asked.version() && serving != asked
}

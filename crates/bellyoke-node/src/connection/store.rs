//! The interface to the store. An adapter implements these traits without making decisions.

use bellyoke_core::cookie::follower::{Read, Reply};
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceRecord};
use bellyoke_core::cookie::revision::StoreEra;
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::cookie::zones::{DrainedZone, ZoneEvent};
use std::net::SocketAddrV4;

/// Reads one kind of object over a dedicated connection.
pub trait StoreReader: 'static {
    /// An object of a list.
    type Item: 'static;
    /// A change of an object.
    type Event: 'static;

    /// Calls the store. Revisions in the answer belong to the era that the store reports, or to
    /// `era` if it reports none.
    ///
    /// A failure closes the connection; the next call opens another one. While the call is pending,
    /// `hedge` is polled to decide whether to repeat it over another connection. The first answer is
    /// returned.
    fn read(
        &mut self,
        read: &Read,
        era: StoreEra,
        hedge: impl FnMut() -> bool,
    ) -> impl Future<Output = Reply<Self::Item, Self::Event>>;

    /// Returns the number of malformed objects that were skipped so far, counted at each read.
    fn rejected(&self) -> u64 {
        0
    }
}

/// Creates readers of the store.
pub trait Store: 'static {
    /// Reader of instances.
    type Instances: StoreReader<Item = InstanceRecord, Event = InstanceEvent>;
    /// Reader of the configuration. Each change contains the full configuration.
    type Configurations: StoreReader<Item = Configuration, Event = Configuration>;

    /// Reader of the zones that operators have drained.
    type Zones: StoreReader<Item = DrainedZone, Event = ZoneEvent>;

    /// Creates a reader of the instances in the store at `address`.
    fn instances(&self, address: SocketAddrV4) -> Self::Instances;

    /// Creates a reader of the configuration in the store at `address`.
    fn configurations(&self, address: SocketAddrV4) -> Self::Configurations;

    /// Creates a reader of the drained zones in the store at `address`.
    fn zones(&self, address: SocketAddrV4) -> Self::Zones;
}

//! The store as the daemon sees it. An adapter implements these traits and decides nothing.

use bellyoke_core::cookie::follower::{Read, Reply};
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceRecord};
use bellyoke_core::cookie::revision::StoreEra;
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::cookie::zones::{DrainedZone, ZoneEvent};
use std::net::SocketAddrV4;

/// Reads one kind of object over a connection of its own.
pub trait StoreReader: 'static {
    /// An object of a list.
    type Item: 'static;
    /// A change of an object.
    type Event: 'static;

    /// Makes a call. Revisions in the answer are of the era that the store tells, or of `era` if it tells none.
    ///
    /// A failure closes the connection; the next call opens another. While it is
    /// not answered, `hedge` is asked now and then whether to make it again over another
    /// connection; the first answer counts.
    fn read(
        &mut self,
        read: &Read,
        era: StoreEra,
        hedge: impl FnMut() -> bool,
    ) -> impl Future<Output = Reply<Self::Item, Self::Event>>;

    /// How many objects were left out so far since nothing could be made of them, each as often as it was read.
    fn rejected(&self) -> u64 {
        0
    }
}

/// Makes readers of a store.
pub trait Store: 'static {
    /// Reads instances.
    type Instances: StoreReader<Item = InstanceRecord, Event = InstanceEvent>;
    /// Reads the configuration. Each change brings it whole.
    type Configurations: StoreReader<Item = Configuration, Event = Configuration>;

    /// Reads the zones that operators have drained.
    type Zones: StoreReader<Item = DrainedZone, Event = ZoneEvent>;

    /// A reader of instances of the store at `address`.
    fn instances(&self, address: SocketAddrV4) -> Self::Instances;

    /// A reader of the configuration of the store at `address`.
    fn configurations(&self, address: SocketAddrV4) -> Self::Configurations;

    /// A reader of drained zones of the store at `address`.
    fn zones(&self, address: SocketAddrV4) -> Self::Zones;
}

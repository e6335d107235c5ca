//! The network device of the sorry server: two queues of IP packets.

use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;
use std::collections::VecDeque;

/// Longest packet that the sorry server sends, bytes.
const MTU: usize = 1400;

/// Packets on their way into and out of a `smoltcp` interface.
#[derive(Debug, Default)]
pub struct PacketQueues {
    incoming: VecDeque<Vec<u8>>,
    outgoing: VecDeque<Vec<u8>>,
}

impl PacketQueues {
    /// Queues a packet for the interface.
    pub fn push(&mut self, packet: Vec<u8>) {
        self.incoming.push_back(packet);
    }

    /// Takes what the interface has sent.
    pub fn take_outgoing(&mut self) -> Vec<Vec<u8>> {
        self.outgoing.drain(..).collect()
    }
}

/// A packet for the interface.
pub struct Received(Vec<u8>);

/// Room for a packet of the interface.
pub struct Room<'a>(&'a mut VecDeque<Vec<u8>>);

impl RxToken for Received {
    fn consume<R, F>(self, consume: F) -> R
    where
        F: FnOnce(&[u8]) -> R,
    {
        consume(&self.0)
    }
}

impl TxToken for Room<'_> {
    fn consume<R, F>(self, length: usize, fill: F) -> R
    where
        F: FnOnce(&mut [u8]) -> R,
    {
        let mut packet = vec![0; length];
        let result = fill(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for PacketQueues {
    type RxToken<'a> = Received;
    type TxToken<'a> = Room<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Self::RxToken<'_>, Self::TxToken<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((Received(packet), Room(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Self::TxToken<'_>> {
        Some(Room(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

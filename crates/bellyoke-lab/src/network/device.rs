//! A network device whose two ends are queues in memory.

use std::collections::VecDeque;

use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Largest IP packet, in bytes: leaves room for the tunnel's headers in an Ethernet frame.
const MAXIMUM_TRANSMISSION_UNIT: usize = 1400;

/// Packets that may wait to be sent before the stack must pause.
const TRANSMIT_QUEUE_LIMIT: usize = 4096;

/// A device that takes packets from one queue and puts packets into another.
#[derive(Debug, Default)]
pub struct QueueDevice {
    pub(super) received: VecDeque<Vec<u8>>,
    pub(super) transmitted: VecDeque<Vec<u8>>,
}

impl Device for QueueDevice {
    type RxToken<'a> = ReceivedPacket;
    type TxToken<'a> = TransmitQueue<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Self::RxToken<'_>, Self::TxToken<'_>)> {
        let packet = self.received.pop_front()?;
        let queue = TransmitQueue(&mut self.transmitted);
        Some((ReceivedPacket(packet), queue))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Self::TxToken<'_>> {
        if self.transmitted.len() >= TRANSMIT_QUEUE_LIMIT {
            return None;
        }
        Some(TransmitQueue(&mut self.transmitted))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MAXIMUM_TRANSMISSION_UNIT;
        capabilities
    }
}

/// One packet on its way into the stack.
#[derive(Debug)]
pub struct ReceivedPacket(Vec<u8>);

impl RxToken for ReceivedPacket {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, handle: F) -> R {
        handle(&self.0)
    }
}

/// Room for one packet on its way out of the stack.
#[derive(Debug)]
pub struct TransmitQueue<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for TransmitQueue<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, fill: F) -> R {
        let mut packet = vec![0; length];
        let result = fill(&mut packet);
        self.0.push_back(packet);
        result
    }
}

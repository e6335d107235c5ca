//! Expiry and reopening of flows.

use crate::flow::decider::packets::PacketContext;
use crate::flow::record::{FlowRecord, FlowState};
use crate::flow::tick::{Tick, TickSpan};
use crate::packet::Transport;

/// Flow timeouts in ticks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    pub(super) half_open: TickSpan,
    pub(super) closing: TickSpan,
    pub(super) delay_horizon: TickSpan,
}

impl Timeouts {
    pub(super) fn has_expired(&self, record: &FlowRecord, now: Tick) -> bool {
        let timeout = match record.state {
            FlowState::HalfOpen => self.half_open,
            FlowState::Closing => self.closing,
            FlowState::Established | FlowState::Reset => record.idle_timeout,
        };
        now.is_later_than(record.last_seen, timeout)
    }

    /// Returns whether a packet opens another flow with the same ports. Within the delay horizon
    /// it may be a delayed copy of the packet that opened the known flow.
    pub(super) fn reopens(&self, record: &FlowRecord, context: &PacketContext<'_>) -> bool {
        matches!(record.state, FlowState::Closing | FlowState::Reset)
            && record.transport == Transport::Tcp
            && context.packet.may_open()
            && context
                .now
                .is_later_than(record.opened_at, self.delay_horizon)
    }
}

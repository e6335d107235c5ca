//! The clients of the simulation.

use super::{Event, Simulation};
use crate::cookie::client::{Client, ClientOutput, ClientSettings};
use crate::cookie::packet::Packet;
use crate::cookie::rules::Origin;
use crate::cookie::scenario::{PROBE_ADDRESS, service_address};
use rand::RngExt;
use std::net::Ipv4Addr;
use std::time::Duration;

impl Simulation {
    /// Adds the clients. They start after the nodes have had time to start.
    pub(super) fn add_clients(&mut self) {
        let services = self.scenario.targets.len();
        let counts = [
            (
                self.scenario.long_clients,
                self.scenario.requests_per_flow,
                self.scenario.long_think_time,
            ),
            (self.scenario.short_clients, 1, Duration::from_millis(150)),
            (self.scenario.probe_clients, 1, Duration::from_millis(250)),
        ];
        for (group, (count, requests_per_flow, think_time)) in counts.into_iter().enumerate() {
            for index in 0..count {
                let number = self.clients.len();
                let low = u8::try_from(number % 250).unwrap_or_default();
                let high = u8::try_from(number / 250).unwrap_or_default();
                let service = match group {
                    2 => PROBE_ADDRESS,
                    _ => service_address(index % services),
                };
                let settings = ClientSettings {
                    address: Ipv4Addr::new(100, 64, high, low),
                    service,
                    requests_per_flow,
                    think_time,
                    deadline: Duration::from_millis(1_500),
                    retries: if requests_per_flow > 1 { 2 } else { 0 },
                };
                let start = self.now.after(Duration::from_millis(
                    1_200 + self.random.random_range(0..300_u64),
                ));
                let first_request = (number as u64) << 32;
                self.clients
                    .push(Client::new(settings, start, first_request));
            }
        }
    }

    pub(super) fn handle_client_output(&mut self, output: ClientOutput, origin: Option<Origin>) {
        for event in &output.events {
            self.rules.handle_client_event(self.now, event, origin);
        }
        for packet in output.packets {
            let node = packet.flow().and_then(|flow| self.router.choose(flow));
            if let Some(node) = node {
                self.send(Event::PacketAtNode { node, packet });
            }
        }
    }

    pub(super) fn handle_packet_at_client(&mut self, packet: &Packet, origin: Origin) {
        let now = self.now;
        let Some(destination) = packet.destination else {
            return;
        };
        let index = self
            .clients
            .iter()
            .position(|client| client.settings.address == *destination.ip());
        if let Some(index) = index {
            let output = self.clients[index].handle_packet(now, packet);
            self.handle_client_output(output, Some(origin));
        }
    }
}

//! What happens at backends.

use super::World;
use super::backend::{Admission, Backend};
use super::event::Event;
use super::flow::{Ending, Stage};
use super::packet::{FlowIndex, FlowPacket, PacketKind};
use crate::experiment::settings::Workload;
use crate::experiment::strategy::{BackendIndex, ServiceIndex};
use bellyoke_core::generation::Zone;
use std::time::Duration;

impl World<'_> {
    pub(super) fn add_initial_backends(&mut self) {
        for service in 0..self.experiment.services.len() {
            for _ in 0..self.experiment.services[service].backends {
                self.add_backend(service);
            }
        }
    }

    pub(super) fn add_backend(&mut self, service: usize) {
        let settings = &self.experiment.services[service];
        let zones = &self.experiment.cluster.zones;
        let zone = self.backends.len() % zones.len();
        let name = format!("{}-{}", settings.name, self.backends.len());
        let backend = Backend::new(
            &name,
            (zone, Zone(zones[zone].clone())),
            ServiceIndex(service as u32),
            settings.slots,
            settings.connections,
        );
        self.backends.push(backend);
    }

    pub(super) fn packet_at_backend(&mut self, index: BackendIndex, packet: FlowPacket) {
        if !self.backend(index).alive || self.flow(packet.flow).stage == Stage::Ended {
            return;
        }
        self.flow(packet.flow).reached_backend = true;
        if !self.backend(index).may_serve(packet.service) {
            self.measurements.wrong_service();
            return;
        }
        match packet.kind {
            PacketKind::Opening => self.opening_at_backend(index, packet),
            PacketKind::Data => self.data_at_backend(index, packet),
            PacketKind::Closing => {}
        }
    }

    fn opening_at_backend(&mut self, index: BackendIndex, packet: FlowPacket) {
        match self.flow(packet.flow).backend {
            None => self.accept_flow(index, packet),
            Some(backend) if backend == index => {
                if self.flow(packet.flow).stage == Stage::Opening {
                    self.established(packet.flow);
                }
            }
            Some(_) => self.measurements.crossed(),
        }
    }

    fn accept_flow(&mut self, index: BackendIndex, packet: FlowPacket) {
        let now = self.now;
        let backend = self.backend(index);
        if backend.open.len() >= backend.connections {
            self.measurements.connection_limit();
            self.end_flow(packet.flow, Ending::Shed);
            return;
        }
        backend.accept(packet.flow, packet.service);
        if backend.draining {
            self.measurements.opened_while_draining(now, index);
        }
        self.flow(packet.flow).backend = Some(index);
        self.established(packet.flow);
    }

    fn data_at_backend(&mut self, index: BackendIndex, packet: FlowPacket) {
        if self.flow(packet.flow).backend != Some(index) {
            self.end_flow(packet.flow, Ending::Broken);
            return;
        }
        if self.flow(packet.flow).stage != Stage::AwaitingAcknowledgement {
            return;
        }
        match self.flow(packet.flow).workload {
            Workload::Feed | Workload::Upload => self.acknowledged(packet.flow),
            Workload::Request => self.request_at_backend(index, packet.flow),
        }
    }

    fn request_at_backend(&mut self, index: BackendIndex, flow: FlowIndex) {
        if self.flow(flow).ran {
            return;
        }
        self.flow(flow).ran = true;
        self.awaits_answer(flow);
        match self.backend(index).admit(flow) {
            Admission::Started => self.start_work(index, flow),
            Admission::Queued => {}
            Admission::Shed => self.end_flow(flow, Ending::Shed),
        }
    }

    fn start_work(&mut self, index: BackendIndex, flow: FlowIndex) {
        let waited = self.now.since(self.flow(flow).sent_at);
        let service = self.flow(flow).service.0 as usize;
        self.measurements.request_waited(self.now, service, waited);
        let work = Duration::from_micros(self.flow(flow).work_microseconds);
        self.queue.schedule(
            self.now.after(work),
            Event::WorkDone {
                backend: index,
                flow,
            },
        );
    }

    pub(super) fn work_done(&mut self, index: BackendIndex, flow: FlowIndex) {
        if !self.backend(index).alive {
            return;
        }
        let packet = self.flow(flow).packet(flow, PacketKind::Closing);
        if self.flow(flow).stage != Stage::Ended {
            self.send_closing(packet);
            self.end_flow(flow, Ending::Completed);
        }
        if let Some(next) = self.backend(index).finish() {
            self.start_work(index, next);
        }
    }

    /// A backend dies: its flows are lost with it.
    pub(super) fn kill_backend(&mut self, index: BackendIndex) {
        self.backend(index).alive = false;
        let mut lost: Vec<FlowIndex> = self.backend(index).open.iter().copied().collect();
        lost.sort_unstable();
        for flow in lost {
            self.end_flow(flow, Ending::LostWithBackend);
        }
    }
}

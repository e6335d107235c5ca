//! One traffic thread's work, a batch at a time.

use super::counters::TrafficCounter;
use super::housekeeping::Housekeeping;
use super::path::{Outgoing, PacketPath, context, flush};
use super::port::WorkerCommand;
use super::shared::{TrafficShared, WorkerReport, WorkerSettings};
use crate::packet::{ReceiveBatch, SendBatch};
use bellyoke_core::flow::Decider;
use bellyoke_core::generation::Forwarding;
use bellyoke_core::node::AdoptionReport;
use bellyoke_core::time::Timestamp;
use crossbeam_channel::Receiver;
use nix::errno::Errno;
use std::net::UdpSocket;
use std::sync::Arc;
use tokio::sync::mpsc::error::TrySendError;

/// Longest datagram that is read whole, bytes: the longest packet of a usual network, so that
/// one that is longer than the tunnel carries can be answered.
const LONGEST_READ: usize = 9216;

/// Most batches that are dropped after a stall; a socket's buffer holds fewer.
const MOST_STALE_BATCHES: usize = 65_536;

/// A traffic thread without its thread.
pub struct Worker {
    index: usize,
    settings: WorkerSettings,
    shared: Arc<TrafficShared>,
    socket: UdpSocket,
    inbox: Receiver<WorkerCommand>,
    receive: ReceiveBatch,
    send: SendBatch,
    path: PacketPath,
    housekeeping: Housekeeping,
    pending_adoption: Option<AdoptionReport>,
    last_turn: Timestamp,
}

impl Worker {
    /// Work of the thread `index`.
    #[must_use]
    pub fn new(
        index: usize,
        settings: WorkerSettings,
        shared: Arc<TrafficShared>,
        socket: UdpSocket,
        inbox: Receiver<WorkerCommand>,
    ) -> Self {
        let batch = settings.batch;
        let now = shared.clock.now();
        Self {
            index,
            receive: ReceiveBatch::new(batch, LONGEST_READ),
            send: SendBatch::new(batch),
            path: PacketPath {
                decider: Decider::new(&settings.flows),
                // Not what is shared by now: the thread must report that it adopts that.
                forwarding: Arc::new(Forwarding::empty()),
                touched: vec![false; shared.ports.len()],
            },
            housekeeping: Housekeeping::new(now, settings.flows.capacity),
            pending_adoption: None,
            last_turn: now,
            settings,
            shared,
            socket,
            inbox,
        }
    }

    /// Receives, decides and sends one batch from the socket and one from the queue, and
    /// does what is due besides. Returns whether there was any packet or command.
    ///
    /// # Errors
    ///
    /// Those of the socket.
    pub fn turn(&mut self) -> Result<bool, Errno> {
        self.discard_stale()?;
        let received = self.receive.receive(&self.socket)?;
        self.switch_generation();
        self.forward_received(received);
        let commands = self.take_commands();
        self.wake_touched();
        self.house_keep();
        Ok(received > 0 || commands > 0)
    }

    /// After the thread was held up, drops what waits at its socket: it may be older than the
    /// network's delay horizon, so that a copy of an opening packet among it could open a flow
    /// a second time.
    fn discard_stale(&mut self) -> Result<(), Errno> {
        let now = self.shared.clock.now();
        let held = now.since(std::mem::replace(&mut self.last_turn, now));
        if held <= self.settings.longest_stall {
            return Ok(());
        }
        for _ in 0..MOST_STALE_BATCHES {
            let received = self.receive.receive(&self.socket)?;
            if received == 0 {
                break;
            }
            let counters = &self.shared.counters[self.index];
            counters.add(TrafficCounter::Received, received as u64);
            counters.add(TrafficCounter::Late, received as u64);
        }
        self.last_turn = self.shared.clock.now();
        Ok(())
    }

    /// Between two batches, so between two packets.
    fn switch_generation(&mut self) {
        let newest = self.shared.forwarding().load();
        if newest.generation == self.path.forwarding.generation {
            return;
        }
        let next = Arc::clone(&newest);
        drop(newest);
        let now = self.shared.clock.now();
        let previous = std::mem::replace(&mut self.path.forwarding, Arc::clone(&next));
        let decider = &mut self.path.decider;
        let mut opened = decider.opened_for_handover(now, &previous, &next);
        decider.apply_generation(now, &next);
        if let Some(unsent) = self.pending_adoption.take() {
            opened.extend(unsent.opened);
        }
        self.pending_adoption = Some(AdoptionReport {
            generation: next.generation,
            opened,
        });
    }

    fn forward_received(&mut self, received: usize) {
        if received == 0 {
            return;
        }
        let context = context(self.index, &self.settings, &self.shared);
        context
            .counters
            .add(TrafficCounter::Received, received as u64);
        let mut outgoing = Outgoing::with_capacity(received);
        for index in 0..received {
            let packet = self.receive.datagram(index);
            self.path.route(&context, packet, &mut outgoing);
        }
        flush(&context, &mut self.send, &self.socket, &outgoing);
    }

    /// Packets from other threads, and what the control thread says.
    fn take_commands(&mut self) -> usize {
        let mut packets = Vec::new();
        let mut taken = 0;
        let context = context(self.index, &self.settings, &self.shared);
        for command in self.inbox.try_iter().take(self.settings.batch) {
            taken += 1;
            match command {
                WorkerCommand::Packet(packet) => packets.push(packet),
                WorkerCommand::Learn { place, backend } => {
                    self.path.decider.learn(context.now, &place, backend);
                }
            }
        }
        if !packets.is_empty() {
            let mut outgoing = Outgoing::with_capacity(packets.len());
            for packet in &packets {
                self.path.decide_handed(&context, packet, &mut outgoing);
            }
            flush(&context, &mut self.send, &self.socket, &outgoing);
        }
        taken
    }

    fn wake_touched(&mut self) {
        for (index, touched) in self.path.touched.iter_mut().enumerate() {
            if std::mem::take(touched) {
                // A wake-up that fails only delays the thread to its next housekeeping.
                let _ = self.shared.ports[index].wake();
            }
        }
    }

    fn house_keep(&mut self) {
        let now = self.shared.clock.now();
        self.report_adoption(now);
        let path = &mut self.path;
        let counters = &self.shared.counters[self.index];
        let reports = self
            .housekeeping
            .run(now, self.index, &mut path.decider, &path.forwarding);
        if reports.counted {
            let held = path.decider.table().len();
            counters.publish_flows(held, path.decider.counters());
        }
        for report in reports.reports {
            // A load report that doesn't fit is replaced by the next; settled buckets are
            // only named once, so they stay contested until the next generation.
            let _ = self.shared.reports.try_send(report);
        }
    }

    fn report_adoption(&mut self, now: Timestamp) {
        if self.path.decider.handover_ready_at(now).is_some() {
            return;
        }
        let Some(report) = self.pending_adoption.take() else {
            return;
        };
        let report = WorkerReport::Adopted {
            worker: self.index,
            report,
        };
        if let Err(TrySendError::Full(WorkerReport::Adopted { report, .. })) =
            self.shared.reports.try_send(report)
        {
            self.pending_adoption = Some(report);
        }
    }
}

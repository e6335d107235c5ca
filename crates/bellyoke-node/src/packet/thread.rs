//! One traffic thread: reads client packets and does what the forwarder decides.

mod report;

use super::counters::PacketOutcome;
use super::sender::{LinkSender, SendOutcome};
use crate::process::shared::Shared;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, RefusalReason};
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::packet::{Destination, FlowPacket, PacketCodec};
use bellyoke_core::cookie::stall::BacklogGuard;
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use bellyoke_process::log::{LogLimiter, log_event};
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, ppoll};
use nix::sys::socket::{MsgFlags, recv};
use nix::sys::time::TimeSpec;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest packet that is read, bytes.
const MAXIMUM_PACKET_LENGTH: usize = 2_048;

/// Stack of a traffic thread, bytes.
const STACK_LENGTH: usize = 256 * 1024;

/// Time between two reviews of the openings under way.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// The same while a client waits in vain: a request of 600 ms has 100 ms to spare beside the repetition that shows it
/// (200 ms), the probes (220 ms) and its way to another instance, so that half of the usual interval counts.
const URGENT_REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a packet: resting flows are to be ended soon after their instance, and a node that gets
/// no packets wakes up ten times a second.
const LONGEST_WAIT: Duration = REVIEW_INTERVAL;

/// Lines of one event in one second.
const LOG_ALLOWANCE: u32 = 200;

/// Starts a thread that forwards what comes in at `socket`.
///
/// # Errors
///
/// If the system has no thread left.
pub fn start_traffic_thread<Codec: PacketCodec>(
    name: String,
    socket: UdpSocket,
    codec: Codec,
    shared: Arc<Shared>,
    forwarder: Forwarder,
) -> io::Result<JoinHandle<()>> {
    socket.set_read_timeout(Some(LONGEST_WAIT))?;
    let builder = std::thread::Builder::new();
    let builder = builder.name(name).stack_size(STACK_LENGTH);
    builder.spawn(move || TrafficThread::new(socket, codec, shared, forwarder).run())
}

struct TrafficThread<Codec> {
    sender: LinkSender,
    codec: Codec,
    shared: Arc<Shared>,
    forwarder: Forwarder,
    guard: BacklogGuard,
    limiter: LogLimiter,
    next_review: Timestamp,
    next_urgent_review: Timestamp,
    next_gauges: Timestamp,
    was_paced: bool,
    /// The port that clients are answered at.
    client_port: u16,
}

impl<Codec: PacketCodec> TrafficThread<Codec> {
    fn new(socket: UdpSocket, codec: Codec, shared: Arc<Shared>, forwarder: Forwarder) -> Self {
        let client_port = socket.local_addr().map_or(0, |address| address.port());
        Self {
            sender: LinkSender::new(socket),
            codec,
            shared,
            forwarder,
            guard: BacklogGuard::default(),
            limiter: LogLimiter::with_allowance(Duration::from_secs(1), LOG_ALLOWANCE),
            next_review: Timestamp::ZERO,
            next_urgent_review: Timestamp::ZERO,
            next_gauges: Timestamp::ZERO,
            was_paced: false,
            client_port,
        }
    }

    fn run(mut self) {
        let mut buffer = vec![0; Codec::ENCAPSULATION_BYTES + MAXIMUM_PACKET_LENGTH];
        let mut drain = false;
        loop {
            self.send_due();
            self.end_resting();
            // While packets may be old, or others wait to be sent, the socket is read without
            // waiting until it is empty.
            let flags = if drain || self.next_at().is_some() {
                MsgFlags::MSG_DONTWAIT
            } else {
                MsgFlags::empty()
            };
            let packet = &mut buffer[Codec::ENCAPSULATION_BYTES..];
            match recv(self.sender.as_fd().as_raw_fd(), packet, flags) {
                Ok(length) => {
                    let datagram = &mut buffer[..Codec::ENCAPSULATION_BYTES + length];
                    drain = self.handle(datagram, drain);
                }
                Err(Errno::EAGAIN) => {
                    self.guard.emptied();
                    drain = false;
                    self.wait_for_room();
                    self.review_idle();
                }
                Err(Errno::EINTR | Errno::ECONNREFUSED) => {}
                Err(error) => {
                    log_event(EventCode::ThreadFailed, format_args!("receive: {error}"));
                    return;
                }
            }
        }
    }

    /// Sends what the link has room for by now.
    fn send_due(&mut self) {
        if self.sender.next_at().is_none() {
            return;
        }
        let now = self.shared.clock.now();
        if let Err(error) = self.sender.send_due(now) {
            self.send_failed(now, &error);
        }
    }

    /// When something is due that no packet brings about; none if nothing is.
    fn next_at(&self) -> Option<Timestamp> {
        let ends_at = self.forwarder.next_flow_reset_at();
        let sends_at = self.sender.next_at();
        let waiting = self.has_waiting_clients();
        let review_at = waiting.then_some(self.next_urgent_review);
        sends_at.into_iter().chain(ends_at).chain(review_at).min()
    }

    /// Whether clients wait in vain for instances. Where the node's own link is paced it may be its fault, and it acts
    /// on nothing.
    fn has_waiting_clients(&self) -> bool {
        !self.was_paced && self.forwarder.has_waiting_clients()
    }

    /// Looks at what has changed, though no packet has come.
    fn review_idle(&mut self) {
        let now = self.shared.clock.now();
        let table = self.shared.table.load_full();
        self.review(now, &table);
    }

    /// Resets the resting flows that are due.
    fn end_resting(&mut self) {
        if self.forwarder.next_flow_reset_at().is_none() {
            return;
        }
        let now = self.shared.clock.now();
        let table = self.shared.table.load_full();
        while let Some(end) = self.forwarder.next_flow_reset(now, &table) {
            let reset = self.codec.reset_flow(&end.flow, end.acknowledged);
            let client = SocketAddrV4::new(*end.flow.client.ip(), self.client_port);
            self.shared.packets.count(PacketOutcome::ResetResting);
            self.log_end(now, &end);
            if let Err(error) = self.sender.send(&reset, client) {
                self.send_failed(now, &error);
            }
        }
    }

    /// Waits until a packet comes or the next one that was held back may go.
    fn wait_for_room(&self) {
        let Some(next_at) = self.next_at() else {
            return;
        };
        let wait = TimeSpec::from_duration(next_at.since(self.shared.clock.now()));
        let mut sockets = [PollFd::new(self.sender.as_fd(), PollFlags::POLLIN)];
        // An interrupted wait is a short one.
        let _ = ppoll(&mut sockets, Some(wait), None);
    }

    /// Handles one packet, which stands behind room for its encapsulation. Returns whether
    /// packets in the socket may be old.
    fn handle(&mut self, datagram: &mut [u8], was_draining: bool) -> bool {
        let now = self.shared.clock.now();
        let backlog = self.guard.may_have_waited(now, self.shared.ticks());
        if backlog && !was_draining {
            self.forwarder.reset_after_stall();
        }
        match self.codec.parse(&datagram[Codec::ENCAPSULATION_BYTES..]) {
            Ok(packet) => self.forward(now, datagram, &packet, backlog),
            Err(_) => self.shared.packets.count(PacketOutcome::Malformed),
        }
        backlog
    }

    fn forward(&mut self, now: Timestamp, datagram: &mut [u8], packet: &FlowPacket, backlog: bool) {
        let shared = Arc::clone(&self.shared);
        let table = shared.table.load();
        let decision = self.forwarder.decide(now, &table, packet, backlog);
        let mut outcome = PacketOutcome::from(&decision);
        let sent = match &decision {
            Decision::Place {
                destination,
                suitability,
            } => {
                self.log_placed(now, &table, packet, destination, *suitability);
                self.send_to_instance(now, packet, datagram, destination)
            }
            Decision::Follow {
                destination,
                opened_after,
            } => {
                if let Some(after) = opened_after {
                    self.shared.packets.opened(*after);
                }
                let sent = self.send_to_instance(now, packet, datagram, destination);
                outcome = sent
                    .as_ref()
                    .map_or(outcome, |sent| PacketOutcome::of_flow(*sent));
                sent
            }
            Decision::Refuse(_) | Decision::Reset(_) => self.send_reset(datagram, packet),
            Decision::Drop(_) => Ok(SendOutcome::Sent),
        };
        self.shared.packets.count(outcome);
        match &decision {
            Decision::Refuse(reason) => {
                if *reason == RefusalReason::Overloaded {
                    self.count_refused(&table, packet);
                }
                self.log_flow(EventCode::FlowRefused, now, &table, packet, outcome);
            }
            Decision::Reset(_) => {
                self.log_flow(EventCode::FlowEnded, now, &table, packet, outcome);
            }
            Decision::Drop(_) => {
                self.log_flow(EventCode::PacketDropped, now, &table, packet, outcome);
            }
            Decision::Place { .. } | Decision::Follow { .. } => {}
        }
        if let Err(error) = sent {
            self.send_failed(now, &error);
        }
        self.review(now, &table);
    }

    fn send_to_instance(
        &mut self,
        now: Timestamp,
        packet: &FlowPacket,
        datagram: &mut [u8],
        destination: &Destination,
    ) -> io::Result<SendOutcome> {
        self.codec.encapsulate(datagram, destination);
        self.sender.forward(now, packet, datagram, destination)
    }

    fn send_reset(&self, datagram: &[u8], packet: &FlowPacket) -> io::Result<SendOutcome> {
        let reset = self.codec.reset(&datagram[Codec::ENCAPSULATION_BYTES..]);
        let client = SocketAddrV4::new(*packet.flow.client.ip(), self.client_port);
        self.sender.send(&reset, client)?;
        Ok(SendOutcome::Sent)
    }

    fn send_failed(&mut self, now: Timestamp, error: &io::Error) {
        self.shared.packets.count(PacketOutcome::SendFailed);
        self.limiter
            .log(EventCode::PacketSendFailed, now, format_args!("{error}"));
    }

    fn review(&mut self, now: Timestamp, table: &ForwardingTable) {
        let is_urgent = self.has_waiting_clients() && now >= self.next_urgent_review;
        if now < self.next_review && !is_urgent {
            return;
        }
        self.next_review = now.after(REVIEW_INTERVAL);
        self.next_urgent_review = now.after(URGENT_REVIEW_INTERVAL);
        self.show_link(now);
        let nodes = self.shared.nodes.load(Ordering::Relaxed);
        self.forwarder.set_minimum_node_count(nodes as f64);
        let estimated = self.shared.estimated_nodes.load(Ordering::Relaxed);
        self.forwarder.set_estimated_node_count(estimated);
        let suspected = self.shared.peer_suspicions.load();
        self.forwarder.set_peer_suspicions(&suspected);
        self.log_health_changes(now, table);
        self.show_zones(now, table);
        self.exchange_doubts(now);
        self.forwarder.review_flow_resets(now, table);
        self.exchange_answers();
        let failing: Vec<Cookie> = self.forwarder.failing_instances().collect();
        if **self.shared.failing.load() != failing {
            self.shared.failing.store(Arc::new(failing));
        }
    }

    /// Says which instances are in question, and hears which can't be reached. While this node's own
    /// link loses data it neither asks nor acts: what it sees may be its own fault.
    fn exchange_doubts(&mut self, now: Timestamp) {
        let failed = self.forwarder.take_suspects(now);
        let sound = self.forwarder.healthy_instances(now);
        if **self.shared.sound.load() != sound {
            self.shared.sound.store(Arc::new(sound));
        }
        let questioned = self.shared.in_question.load();
        let living = self.forwarder.alive_instances(now, &questioned);
        if **self.shared.living.load() != living {
            self.shared.living.store(Arc::new(living));
        }
        if self.sender.bytes_per_second().is_some() {
            let none = BTreeSet::new();
            self.forwarder.set_unreachable(&none, &none);
            self.forwarder.set_ended(&none);
            return;
        }
        let unreachable = self.shared.unreachable.load();
        let avoided = self.shared.avoided.load();
        self.forwarder.set_unreachable(&unreachable, &avoided);
        self.forwarder.set_ended(&self.shared.ended.load());
        // If the control thread is behind, the next failure asks again.
        if !failed.is_empty() {
            let _ = self.shared.doubts.try_send(failed);
        }
    }

    /// Hands on what became of requests, and hears whose answers fail. What the control thread has not taken
    /// yet waits here.
    fn exchange_answers(&mut self) {
        self.forwarder.set_outliers(&self.shared.outliers.load());
        if let Ok(mut tallies) = self.shared.tallies.try_lock()
            && tallies.is_empty()
        {
            *tallies = self.forwarder.take_tallies();
        }
    }
}

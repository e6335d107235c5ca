//! The traffic thread, which reads client packets and carries out the decisions of the forwarder.

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

/// Maximum length of a received packet.
const MAXIMUM_PACKET_BYTES: usize = 2_048;

/// Stack size of a traffic thread.
const STACK_BYTES: usize = 256 * 1024;

/// Interval between reviews of pending openings.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reviews while a client waits for an instance that does not answer. A request
/// with a timeout of 600 ms has 100 ms to spare besides the retransmission that reveals the wait
/// (200 ms), the probes (220 ms) and the transfer to another instance, so a delay of half a
/// [`REVIEW_INTERVAL`] would be significant.
const URGENT_REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum wait for a packet. Idle flows must be reset soon after their instance has ended. A node
/// that receives no packets wakes up ten times a second.
const MAXIMUM_RECEIVE_WAIT: Duration = REVIEW_INTERVAL;

/// Maximum number of log lines per event and second.
const LOG_LINES_PER_SECOND: u32 = 200;

/// Starts a thread that forwards the packets received at `socket`.
///
/// # Errors
///
/// Returns an error if the socket cannot be configured or the thread cannot be created.
pub fn start_traffic_thread<Codec: PacketCodec>(
    name: String,
    socket: UdpSocket,
    codec: Codec,
    shared: Arc<Shared>,
    forwarder: Forwarder,
) -> io::Result<JoinHandle<()>> {
    socket.set_read_timeout(Some(MAXIMUM_RECEIVE_WAIT))?;
    let builder = std::thread::Builder::new();
    let builder = builder.name(name).stack_size(STACK_BYTES);
    builder.spawn(move || TrafficThread::new(socket, codec, shared, forwarder).run())
}

struct TrafficThread<Codec> {
    sender: LinkSender,
    codec: Codec,
    shared: Arc<Shared>,
    forwarder: Forwarder,
    backlog_guard: BacklogGuard,
    limiter: LogLimiter,
    next_review: Timestamp,
    next_urgent_review: Timestamp,
    next_gauge_update: Timestamp,
    was_paced: bool,
    /// Port of the clients to which resets are sent, the same number as that of the socket.
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
            backlog_guard: BacklogGuard::default(),
            limiter: LogLimiter::with_allowance(Duration::from_secs(1), LOG_LINES_PER_SECOND),
            next_review: Timestamp::ZERO,
            next_urgent_review: Timestamp::ZERO,
            next_gauge_update: Timestamp::ZERO,
            was_paced: false,
            client_port,
        }
    }

    fn run(mut self) {
        let mut buffer = vec![0; Codec::ENCAPSULATION_BYTES + MAXIMUM_PACKET_BYTES];
        let mut drain = false;
        loop {
            self.send_due();
            self.reset_idle_flows();
            // Reads without blocking until the socket is empty while received packets may be old or
            // another event is due.
            let flags = if drain || self.next_event_at().is_some() {
                MsgFlags::MSG_DONTWAIT
            } else {
                MsgFlags::empty()
            };
            let packet = &mut buffer[Codec::ENCAPSULATION_BYTES..];
            match recv(self.sender.as_fd().as_raw_fd(), packet, flags) {
                Ok(length) => {
                    let datagram = &mut buffer[..Codec::ENCAPSULATION_BYTES + length];
                    drain = self.handle_packet(datagram, drain);
                }
                Err(Errno::EAGAIN) => {
                    self.backlog_guard.emptied();
                    drain = false;
                    self.wait_for_event();
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

    /// Sends the queued packets that are due.
    fn send_due(&mut self) {
        if self.sender.next_due_at().is_none() {
            return;
        }
        let now = self.shared.clock.now();
        if let Err(error) = self.sender.send_due(now) {
            self.send_failed(now, &error);
        }
    }

    /// Returns the time of the next event that is not triggered by a packet, if there is one.
    fn next_event_at(&self) -> Option<Timestamp> {
        let reset_at = self.forwarder.next_flow_reset_at();
        let send_at = self.sender.next_due_at();
        let has_waiting = self.has_waiting_clients();
        let review_at = has_waiting.then_some(self.next_urgent_review);
        send_at.into_iter().chain(reset_at).chain(review_at).min()
    }

    /// Returns whether clients wait for instances that do not answer. Always false while the node's
    /// own link is paced, because the link may then be the cause.
    fn has_waiting_clients(&self) -> bool {
        !self.was_paced && self.forwarder.has_waiting_clients()
    }

    /// Performs a review when no packet was received.
    fn review_idle(&mut self) {
        let now = self.shared.clock.now();
        let table = self.shared.table.load_full();
        self.review(now, &table);
    }

    /// Resets the idle flows that are due.
    fn reset_idle_flows(&mut self) {
        if self.forwarder.next_flow_reset_at().is_none() {
            return;
        }
        let now = self.shared.clock.now();
        let table = self.shared.table.load_full();
        while let Some(reset) = self.forwarder.next_flow_reset(now, &table) {
            let datagram = self.codec.reset_flow(&reset.flow, reset.acknowledged);
            let client = SocketAddrV4::new(*reset.flow.client.ip(), self.client_port);
            self.shared.packets.count(PacketOutcome::ResetIdle);
            self.log_idle_flow_reset(now, &reset);
            if let Err(error) = self.sender.send(&datagram, client) {
                self.send_failed(now, &error);
            }
        }
    }

    /// Waits until a packet is received or the next event is due.
    fn wait_for_event(&self) {
        let Some(next_event_at) = self.next_event_at() else {
            return;
        };
        let wait = TimeSpec::from_duration(next_event_at.since(self.shared.clock.now()));
        let mut sockets = [PollFd::new(self.sender.as_fd(), PollFlags::POLLIN)];
        // An interrupted wait only ends early.
        let _ = ppoll(&mut sockets, Some(wait), None);
    }

    /// Handles a packet, which is preceded by space for its encapsulation. Returns whether packets
    /// in the socket may be old.
    fn handle_packet(&mut self, datagram: &mut [u8], was_draining: bool) -> bool {
        let now = self.shared.clock.now();
        let backlog = self.backlog_guard.may_have_waited(now, self.shared.ticks());
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
                    self.shared.packets.record_opening_time(*after);
                }
                let sent = self.send_to_instance(now, packet, datagram, destination);
                outcome = sent
                    .as_ref()
                    .map_or(outcome, |sent| PacketOutcome::from_send(*sent));
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
        self.update_link_state(now);
        let node_count = self.shared.node_count_upper_bound.load(Ordering::Relaxed);
        self.forwarder.set_minimum_node_count(node_count as f64);
        let estimated = self.shared.estimated_node_count.load(Ordering::Relaxed);
        self.forwarder.set_estimated_node_count(estimated);
        let suspected = self.shared.peer_suspicions.load();
        self.forwarder.set_peer_suspicions(&suspected);
        self.log_health_changes(now, table);
        self.review_zones(now, table);
        self.exchange_reachability(now);
        self.forwarder.review_flow_resets(now, table);
        self.exchange_outliers();
        let failing: Vec<Cookie> = self.forwarder.failing_instances().collect();
        if **self.shared.failing.load() != failing {
            self.shared.failing.store(Arc::new(failing));
        }
    }

    /// Reports suspected, healthy and alive instances to the control thread and applies its view of
    /// reachability. While this node's own link is paced because it loses data, suspects are not
    /// reported and unreachability is ignored, because the link may be the cause of the failures.
    fn exchange_reachability(&mut self, now: Timestamp) {
        let suspects = self.forwarder.take_suspects(now);
        let healthy = self.forwarder.healthy_instances(now);
        if **self.shared.healthy.load() != healthy {
            self.shared.healthy.store(Arc::new(healthy));
        }
        let under_verification = self.shared.under_verification.load();
        let alive = self.forwarder.alive_instances(now, &under_verification);
        if **self.shared.alive.load() != alive {
            self.shared.alive.store(Arc::new(alive));
        }
        if self.sender.bytes_per_second().is_some() {
            let none = BTreeSet::new();
            self.forwarder.set_unreachable(&none, &none);
            self.forwarder.set_ended(&none);
            return;
        }
        // Before peers had time to refute a finding it ends no flow, not even one that waits for an
        // answer: its packets may have been lost.
        let ended = self.shared.ended.load();
        let avoided = self.shared.avoided.load();
        self.forwarder.set_unreachable(&ended, &avoided);
        self.forwarder.set_ended(&ended);
        // If the queue of the control thread is full, the next failure reports the instance again.
        if !suspects.is_empty() {
            let _ = self.shared.suspects.try_send(suspects);
        }
    }

    /// Applies the current outliers and passes request outcomes to the control thread. Outcomes
    /// accumulate here until the control thread has taken the previous ones.
    fn exchange_outliers(&mut self) {
        self.forwarder.set_outliers(&self.shared.outliers.load());
        if let Ok(mut tallies) = self.shared.tallies.try_lock()
            && tallies.is_empty()
        {
            *tallies = self.forwarder.take_tallies();
        }
    }
}

//! The backend as a host on the network, without sockets or clocks.

use std::collections::BTreeMap;

use smoltcp::iface::SocketHandle;
use smoltcp::time::{Duration, Instant};

use super::connection::{Connection, Liveness, Stage};
use super::flows::{Arrival, Flows};
use super::listeners::Listeners;
use super::options::BackendSettings;
use super::report::BackendReport;
use super::services::ServiceGuard;
use super::work::{Cancellation, ConnectionId, WorkQueue};
use crate::datagram::{datagram_answer, datagram_service};
use crate::http::HEAD_SIZE_LIMIT;
use crate::network::{FlowKey, NetworkStack, PacketHost, PacketSummary, Role};

/// How much longer work takes on a backend that has just started.
const COLD_SLOWDOWN: u32 = 5;

/// Datagrams that the UDP socket holds: as many as may come between two polls.
const DATAGRAM_QUEUE: usize = 1024;

/// Falsehoods that the backend tells about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Lie {
    /// The health to report.
    pub healthy: Option<bool>,
    /// The load to report.
    pub load: Option<f64>,
}

/// A server with a few slots, behind a TCP/IP stack of its own.
pub struct BackendHost {
    pub(super) settings: BackendSettings,
    pub(super) stack: NetworkStack,
    listeners: Listeners,
    datagrams: SocketHandle,
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    next_connection: u64,
    pub(super) work: WorkQueue,
    pub(super) services: ServiceGuard,
    pub(super) report: BackendReport,
    flows: Flows,
    lie: Lie,
    is_draining: bool,
    cold_time: Option<Duration>,
    cold_until: Instant,
}

impl BackendHost {
    /// Creates a backend that listens.
    #[must_use]
    pub fn new(settings: BackendSettings) -> Self {
        let mut stack = NetworkStack::new(settings.seed);
        let datagrams = stack.add_udp(DATAGRAM_QUEUE);
        // A fresh socket can be bound to any port but 0, and then it echoes nothing.
        let _ = stack.udp(datagrams).bind(settings.service_port);
        let mut host = Self {
            stack,
            listeners: Listeners::new(settings.service_port),
            datagrams,
            connections: BTreeMap::new(),
            next_connection: 0,
            work: WorkQueue::new(settings.slots, settings.queue_limit),
            services: ServiceGuard::new(settings.allowed_services.iter().cloned()),
            report: BackendReport {
                name: settings.name.clone(),
                ..BackendReport::default()
            },
            flows: Flows::default(),
            lie: Lie::default(),
            is_draining: false,
            cold_time: None,
            cold_until: Instant::ZERO,
            settings,
        };
        host.listen();
        host
    }

    /// Returns the counters, true whatever the backend was told to say.
    #[must_use]
    pub fn report(&self) -> BackendReport {
        let mut report = self.report.clone();
        report.connections_open = self.connections.len() as u64;
        report.slots_busy = self.work.busy() as u64;
        report.queued = self.work.queued() as u64;
        report.load = self.true_load();
        report
    }

    /// Returns the load that the backend tells: taken slots and waiting requests for each slot.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.lie.load.unwrap_or_else(|| self.true_load())
    }

    /// Whether the backend says that it takes new connections.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.lie.healthy.unwrap_or(!self.is_draining)
    }

    /// Replaces the services that it may be asked for.
    pub fn allow(&mut self, services: Vec<String>) {
        self.services.allow(services);
    }

    /// Works slowly for a while, as after a start.
    pub fn run_cold(&mut self, time: Duration) {
        self.cold_time = Some(time);
    }

    /// Starts or stops draining: it says so, and counts the connections that still come.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Sets what it says about itself.
    pub fn lie(&mut self, lie: Lie) {
        self.lie = lie;
    }

    fn true_load(&self) -> f64 {
        let demand = self.work.busy() + self.work.queued();
        demand as f64 / self.settings.slots.max(1) as f64
    }

    pub(super) fn work_time(&self, now: Instant) -> Duration {
        if now < self.cold_until {
            self.settings.work_time * COLD_SLOWDOWN
        } else {
            self.settings.work_time
        }
    }

    fn listen(&mut self) {
        let limit = self.settings.connection_limit;
        let room = limit.saturating_sub(self.connections.len());
        self.listeners.fill(&mut self.stack, room);
    }

    fn accept(&mut self, flow: FlowKey) {
        let accepted = self.listeners.take_accepted(&mut self.stack);
        for handle in accepted {
            self.open_connection(handle, flow);
        }
        self.listen();
    }

    fn open_connection(&mut self, handle: SocketHandle, flow: FlowKey) {
        let id = ConnectionId(self.next_connection);
        self.next_connection += 1;
        self.report.connections_accepted += 1;
        if self.is_draining {
            self.report.connections_accepted_while_draining += 1;
        }
        if let Err(wrong) = self.services.open(id, flow.destination.into()) {
            self.report.record_wrong_service(wrong.to_string());
        }
        self.flows.open(flow, id);
        self.connections.insert(id, Connection::new(handle, flow));
    }

    fn advance_connection(&mut self, id: ConnectionId, now: Instant) {
        let Some(mut connection) = self.connections.remove(&id) else {
            return;
        };
        connection.read(self.stack.tcp(connection.handle), HEAD_SIZE_LIMIT + 1);
        self.advance_stage(id, &mut connection, now);
        let socket = self.stack.tcp(connection.handle);
        connection.flush(socket);
        match connection.liveness(socket) {
            Liveness::Open => {
                self.connections.insert(id, connection);
                return;
            }
            Liveness::Abandoned => self.abandon(id, &connection),
            Liveness::Ended => {}
        }
        self.services.close(id);
        self.flows.close(&connection.flow);
        self.stack.tcp(connection.handle).abort();
        self.stack.remove(connection.handle);
    }

    /// Drops a connection that was reset, since a socket that was reset before it was established listens again.
    fn drop_reset(&mut self, packet: &PacketSummary, now: Instant) {
        if packet.role != Role::Reset {
            return;
        }
        if let Some(id) = self.flows.connection(&packet.flow) {
            self.advance_connection(id, now);
        }
    }

    fn abandon(&mut self, id: ConnectionId, connection: &Connection) {
        match self.work.cancel(id) {
            Cancellation::BeforeStart => self.report.cancelled_before_start += 1,
            Cancellation::WhileRunning => self.report.cancelled += 1,
            Cancellation::Unknown if matches!(connection.stage, Stage::Feed { .. }) => {
                self.report.cancelled += 1
            }
            Cancellation::Unknown => {}
        }
    }

    fn echo_datagrams(&mut self) {
        let socket = self.stack.udp(self.datagrams);
        while socket.can_recv() && socket.can_send() {
            let Ok((payload, metadata)) = socket.recv() else {
                return;
            };
            let request = String::from_utf8_lossy(payload);
            if let Err(wrong) = self.services.check_allowed(datagram_service(&request)) {
                self.report.record_wrong_service(wrong.to_string());
                continue;
            }
            let answer = datagram_answer(&request, &self.settings.name);
            if socket.send_slice(answer.as_bytes(), metadata).is_ok() {
                self.report.datagrams += 1;
            }
        }
    }

    fn next_feed_line(&self) -> Option<Instant> {
        let due = self
            .connections
            .values()
            .filter_map(|connection| match connection.stage {
                Stage::Feed { due, .. } => Some(due),
                _ => None,
            });
        due.min()
    }
}

impl PacketHost for BackendHost {
    fn receive(&mut self, now: Instant, packet: &[u8]) {
        let Some(summary) = PacketSummary::read(packet) else {
            return;
        };
        match self.flows.note(&summary) {
            Arrival::Expected => {}
            Arrival::Stray => self.report.stray_packets += 1,
            // The stack would give it to a listening socket; the connection's own repeats its answer by itself.
            Arrival::Repeated => return,
        }
        self.stack.receive(now, packet);
        self.accept(summary.flow);
        self.drop_reset(&summary, now);
    }

    fn poll(&mut self, now: Instant) {
        if let Some(time) = self.cold_time.take() {
            self.cold_until = now + time;
        }
        // Acknowledgements go out before the sockets that owe them are removed.
        self.stack.poll(now);
        let open: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in open {
            self.advance_connection(id, now);
        }
        self.advance_work(now);
        self.echo_datagrams();
        self.stack.poll(now);
        self.listen();
    }

    fn next_packet(&mut self) -> Option<Vec<u8>> {
        self.stack.next_packet()
    }

    fn poll_delay(&mut self, now: Instant) -> Option<Duration> {
        let work = self.work.next_event();
        let feed = self.next_feed_line();
        let own = work.into_iter().chain(feed).min();
        let own = own.map(|due| if due > now { due - now } else { Duration::ZERO });
        let stack = self.stack.poll_delay(now);
        own.into_iter().chain(stack).min()
    }
}

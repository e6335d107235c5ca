//! The callers as one host on the network, without sockets or clocks.

use std::net::SocketAddr;

use smoltcp::time::{Duration, Instant};
use smoltcp::wire::IpEndpoint;

use super::answer::Outcome;
use super::conversation::Conversation;
use super::datagram::{DatagramExchange, DatagramPlan};
use super::exchange::{Exchange, Step};
use super::options::{CallerSettings, Kind, Limit, Target};
use super::report::CallerReport;
use super::request::HttpRequest;
use super::sources::Sources;
use crate::network::{NetworkStack, PacketHost, unreachable_flow};

/// Datagrams that the socket of a UDP flow holds.
const DATAGRAM_QUEUE: usize = 4;

/// Bytes that a socket buffers each way.
const SOCKET_BUFFER_SIZE: usize = 8 * 1024;

/// One caller: it sends its next request when the one before has ended.
#[derive(Debug)]
struct Lane {
    target: Target,
    /// When it sends next; nothing while a request is in progress.
    next_start: Option<Instant>,
}

/// Many callers behind one TCP/IP stack.
pub struct CallerHost {
    settings: CallerSettings,
    stack: NetworkStack,
    sources: Sources,
    lanes: Vec<Lane>,
    conversations: Vec<Conversation>,
    sent_to_target: Vec<u64>,
    next_request: u64,
    report: CallerReport,
    is_stopped: bool,
}

impl CallerHost {
    /// Creates callers that start at once.
    #[must_use]
    pub fn new(settings: CallerSettings) -> Self {
        Self {
            stack: NetworkStack::new(settings.seed),
            sources: Sources::new(settings.prefixes.clone(), settings.seed),
            lanes: spread_lanes(&settings),
            conversations: Vec::new(),
            sent_to_target: vec![0; settings.targets.len()],
            next_request: 0,
            report: CallerReport::default(),
            is_stopped: false,
            settings,
        }
    }

    /// Returns what happened so far.
    #[must_use]
    pub fn report(&self) -> &CallerReport {
        &self.report
    }

    /// Sends nothing more; requests in progress go on to their end.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    fn target_index(&self, lane: usize) -> usize {
        lane / self.settings.flows
    }

    fn may_start(&self, lane: usize, now: Instant) -> bool {
        if self.is_stopped {
            return false;
        }
        match self.settings.limit {
            Limit::Requests(limit) => self.sent_to_target[self.target_index(lane)] < limit,
            Limit::Time(limit) => now < Instant::ZERO + limit,
        }
    }

    fn start_due(&mut self, now: Instant) {
        for lane in 0..self.lanes.len() {
            let is_due = self.lanes[lane]
                .next_start
                .is_some_and(|start| start <= now);
            if !is_due {
                continue;
            }
            if self.may_start(lane, now) {
                self.start(lane, now);
            }
            self.lanes[lane].next_start = None;
        }
    }

    fn start(&mut self, lane: usize, now: Instant) {
        let target = self.lanes[lane].target.clone();
        let Some(source) = self.sources.next(target.address.is_ipv4()) else {
            return;
        };
        let id = self.next_id(&target, source);
        let index = self.target_index(lane);
        self.sent_to_target[index] += 1;
        self.report.record_sent();
        let started = match target.kind {
            Kind::Datagram => self.start_datagrams(lane, &target, &id, source, now),
            _ => self.start_stream(lane, &target, &id, source, now),
        };
        if let Err(reason) = started {
            let outcome = Outcome::Broken(reason);
            self.report.record(&id, source.to_string(), outcome);
        }
    }

    fn start_stream(
        &mut self,
        lane: usize,
        target: &Target,
        id: &str,
        source: SocketAddr,
        now: Instant,
    ) -> Result<(), String> {
        let request = HttpRequest::new(&self.settings, target, id);
        let handle = self.stack.add_tcp(SOCKET_BUFFER_SIZE);
        let remote = IpEndpoint::from(target.address);
        if let Err(error) = self.stack.connect(handle, remote, IpEndpoint::from(source)) {
            self.stack.remove(handle);
            return Err(format!("no connection: {error}"));
        }
        let exchange = Exchange::new(handle, lane, source, request, now);
        self.conversations
            .push(Conversation::Stream(Box::new(exchange)));
        Ok(())
    }

    fn start_datagrams(
        &mut self,
        lane: usize,
        target: &Target,
        id: &str,
        source: SocketAddr,
        now: Instant,
    ) -> Result<(), String> {
        let plan = DatagramPlan {
            id: id.to_owned(),
            service: target.service.clone(),
            source,
            target: target.address,
            count: self.settings.feed_count,
            interval: Duration::from_millis(self.settings.feed_interval_ms),
        };
        let handle = self.stack.add_udp(DATAGRAM_QUEUE);
        if let Err(error) = self.stack.udp(handle).bind(IpEndpoint::from(source)) {
            self.stack.remove(handle);
            return Err(format!("no socket: {error}"));
        }
        let exchange = DatagramExchange::new(handle, lane, plan, now);
        self.conversations
            .push(Conversation::Datagrams(Box::new(exchange)));
        Ok(())
    }

    fn next_id(&mut self, target: &Target, source: SocketAddr) -> String {
        let number = self.next_request;
        self.next_request += 1;
        let seed = self.settings.seed;
        let address = source.ip().to_string().replace([':', '.'], "-");
        format!("{}-{seed}-{number}-{address}", target.service)
    }

    fn advance_conversations(&mut self, now: Instant) {
        let mut index = 0;
        while index < self.conversations.len() {
            if self.advance_conversation(index, now) {
                index += 1;
            } else {
                let conversation = self.conversations.swap_remove(index);
                self.stack.remove(conversation.handle());
            }
        }
    }

    /// Returns whether the conversation goes on.
    fn advance_conversation(&mut self, index: usize, now: Instant) -> bool {
        let conversation = &mut self.conversations[index];
        match conversation.advance(&mut self.stack, now, self.settings.patience) {
            Step::Waiting => true,
            Step::Decided(outcome) => {
                let source = conversation.source();
                self.report.record(conversation.id(), source, outcome);
                self.lanes[conversation.lane()].next_start = Some(now + self.settings.pause);
                true
            }
            Step::Closed => false,
        }
    }

    fn note_unreachable(&mut self, packet: &[u8]) {
        let Some(flow) = unreachable_flow(packet) else {
            return;
        };
        for conversation in &mut self.conversations {
            conversation.note_unreachable(&flow);
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let starts = self.lanes.iter().filter_map(|lane| lane.next_start);
        let patience = self.settings.patience;
        let deadlines = self
            .conversations
            .iter()
            .map(|conversation| conversation.deadline(patience));
        starts.chain(deadlines).min()
    }
}

impl PacketHost for CallerHost {
    fn receive(&mut self, now: Instant, packet: &[u8]) {
        self.note_unreachable(packet);
        self.stack.receive(now, packet);
    }

    fn poll(&mut self, now: Instant) {
        self.advance_conversations(now);
        self.start_due(now);
        self.stack.poll(now);
    }

    fn next_packet(&mut self) -> Option<Vec<u8>> {
        self.stack.next_packet()
    }

    fn poll_delay(&mut self, now: Instant) -> Option<Duration> {
        let own = self
            .next_due()
            .map(|due| if due > now { due - now } else { Duration::ZERO });
        let stack = self.stack.poll_delay(now);
        own.into_iter().chain(stack).min()
    }

    fn is_finished(&self) -> bool {
        let is_idle = self.lanes.iter().all(|lane| lane.next_start.is_none());
        is_idle && self.conversations.is_empty()
    }
}

/// The callers of all targets, whose first requests are spread evenly over the ramp.
fn spread_lanes(settings: &CallerSettings) -> Vec<Lane> {
    let targets = settings.targets.iter();
    let callers = targets.flat_map(|target| std::iter::repeat_n(target, settings.flows));
    let count = (settings.targets.len() * settings.flows) as u64;
    let start =
        |index| Instant::ZERO + Duration::from_micros(settings.ramp.total_micros() * index / count);
    let lanes = callers.zip(0..).map(|(target, index)| Lane {
        target: target.clone(),
        next_start: Some(start(index)),
    });
    lanes.collect()
}

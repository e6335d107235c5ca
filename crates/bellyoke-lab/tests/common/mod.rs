//! A network of hosts in virtual time, with seeded packet loss, duplication and reordering.

#![allow(dead_code, reason = "each test file uses a part of the network")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::IpAddr;

use bellyoke_lab::backend::{BackendHost, BackendReport, BackendSettings};
use bellyoke_lab::caller::{CallerHost, CallerReport, CallerSettings, Kind, Limit, Target};
use bellyoke_lab::network::{FlowKey, PacketHost, PacketSummary, Prefix, Role};
use bellyoke_lab::verdict::Verdict;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smoltcp::time::{Duration, Instant};

pub const CALLER_PREFIX_V4: &str = "203.0.113.0/24";
pub const CALLER_PREFIX_V6: &str = "2001:db8:1::/48";
pub const TILL_V4: &str = "198.51.100.1:80";
pub const TILL_V6: &str = "[2001:db8:9::1]:80";

/// Maximum virtual duration of a test.
const TIME_LIMIT: Instant = Instant::from_millis_const(300_000);

/// Minimum time between two polls of the hosts.
const MINIMUM_POLL_INTERVAL: Duration = Duration::from_micros(500);

/// Network faults, each as the expected number of affected packets per thousand.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
}

/// Chooses the index of the backend that gets the packets of a flow, in place of the load balancer.
pub type Forwarding = Box<dyn FnMut(FlowKey) -> usize>;

/// A packet in transit; the sequence number makes the order of simultaneous deliveries deterministic.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    due_at: Instant,
    sequence: u64,
    packet: Vec<u8>,
}

/// A caller host and its backends.
pub struct Network {
    pub caller: CallerHost,
    pub backends: Vec<BackendHost>,
    pub now: Instant,
    /// Number of TCP resets that were delivered.
    pub resets: u64,
    forwarding: Forwarding,
    faults: Faults,
    random: ChaCha8Rng,
    deliveries: BinaryHeap<Reverse<Delivery>>,
    next_sequence: u64,
}

impl Network {
    /// Creates a network without faults.
    pub fn new(
        caller: CallerSettings,
        backends: Vec<BackendSettings>,
        forwarding: Forwarding,
    ) -> Self {
        Self {
            caller: CallerHost::new(caller),
            backends: backends.into_iter().map(BackendHost::new).collect(),
            now: Instant::ZERO,
            resets: 0,
            forwarding,
            faults: Faults::default(),
            random: ChaCha8Rng::seed_from_u64(7),
            deliveries: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Adds faults, which are drawn from the seed.
    pub fn with_faults(mut self, faults: Faults, seed: u64) -> Self {
        self.faults = faults;
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Runs until the callers have finished and all packets are delivered.
    ///
    /// Panics at the time limit.
    pub fn run(&mut self) -> &CallerReport {
        self.run_until(|network| network.caller.is_finished());
        self.deliver_pending();
        self.caller.report()
    }

    /// Runs until the condition is met. Panics at the time limit.
    pub fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            assert!(
                self.now < TIME_LIMIT,
                "condition not met within the time limit: {:?}",
                self.caller.report()
            );
            self.step();
        }
    }

    /// Returns the verdict on all reports so far.
    pub fn verdict(&self) -> Verdict {
        Verdict::new(&[self.caller.report().clone()], &self.reports())
    }

    /// Returns the reports of the backends.
    pub fn reports(&self) -> Vec<BackendReport> {
        self.backends.iter().map(BackendHost::report).collect()
    }

    /// Runs until all packets in transit are delivered.
    fn deliver_pending(&mut self) {
        while !self.deliveries.is_empty() && self.now < TIME_LIMIT {
            self.step();
        }
    }

    /// Delivers the packets that are due, polls all hosts and advances the time.
    fn step(&mut self) {
        self.deliver_due();
        self.caller.poll(self.now);
        for backend in &mut self.backends {
            backend.poll(self.now);
        }
        self.dispatch_sent_packets();
        self.now = self.next_instant();
    }

    fn deliver_due(&mut self) {
        while let Some(Reverse(delivery)) = self.deliveries.peek()
            && delivery.due_at <= self.now
        {
            let Some(Reverse(delivery)) = self.deliveries.pop() else {
                return;
            };
            self.deliver(&delivery.packet);
        }
    }

    fn deliver(&mut self, packet: &[u8]) {
        let PacketSummary { flow, role } = PacketSummary::read(packet).expect("an IP packet");
        if role == Role::Reset {
            self.resets += 1;
        }
        if is_caller(flow.destination) {
            self.caller.receive(self.now, packet);
        } else {
            let backend = (self.forwarding)(flow);
            self.backends[backend].receive(self.now, packet);
        }
    }

    fn dispatch_sent_packets(&mut self) {
        while let Some(packet) = self.caller.next_packet() {
            self.dispatch(packet);
        }
        for index in 0..self.backends.len() {
            while let Some(packet) = self.backends[index].next_packet() {
                self.dispatch(packet);
            }
        }
    }

    /// Schedules the delivery of a packet, subject to the faults.
    fn dispatch(&mut self, packet: Vec<u8>) {
        if self.occurs(self.faults.lost) {
            return;
        }
        if self.occurs(self.faults.duplicated) {
            self.schedule(packet.clone());
        }
        self.schedule(packet);
    }

    fn schedule(&mut self, packet: Vec<u8>) {
        let mut delay = Duration::from_millis(1);
        if self.occurs(self.faults.delayed) {
            delay += Duration::from_millis(self.random.random_range(1..20));
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let due_at = self.now + delay;
        self.deliveries.push(Reverse(Delivery {
            due_at,
            sequence,
            packet,
        }));
    }

    fn occurs(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1000) < per_thousand
    }

    /// Returns the time of the next delivery or poll.
    fn next_instant(&mut self) -> Instant {
        let next_delivery = self
            .deliveries
            .peek()
            .map(|Reverse(delivery)| delivery.due_at);
        let now = self.now;
        let mut poll_delays: Vec<Duration> = Vec::new();
        poll_delays.extend(self.caller.poll_delay(now));
        poll_delays.extend(
            self.backends
                .iter_mut()
                .filter_map(|backend| backend.poll_delay(now)),
        );
        let next_polls = poll_delays.into_iter().map(|delay| now + delay);
        let next = next_polls
            .chain(next_delivery)
            .min()
            .unwrap_or(now + MINIMUM_POLL_INTERVAL);
        next.max(now + MINIMUM_POLL_INTERVAL)
    }
}

/// Returns whether the address belongs to the caller host.
fn is_caller(address: IpAddr) -> bool {
    [CALLER_PREFIX_V4, CALLER_PREFIX_V6].iter().any(|prefix| {
        prefix
            .parse::<Prefix>()
            .expect("a prefix")
            .contains(address)
    })
}

/// Forwards all packets to the first backend.
pub fn to_first() -> Forwarding {
    Box::new(|_| 0)
}

/// Creates a target of callers.
pub fn target(service: &str, address: &str, kind: Kind) -> Target {
    Target {
        service: service.to_owned(),
        address: address.parse().expect("an address"),
        kind,
    }
}

/// Creates the settings of callers that send `requests` requests to each target, at most `flows` of them at a time.
pub fn callers(targets: Vec<Target>, flows: usize, requests: u64) -> CallerSettings {
    CallerSettings {
        prefixes: vec![
            CALLER_PREFIX_V4.parse().expect("a prefix"),
            CALLER_PREFIX_V6.parse().expect("a prefix"),
        ],
        targets,
        flows,
        limit: Limit::Requests(requests),
        ramp: Duration::ZERO,
        pause: Duration::from_millis(5),
        feed_interval_ms: 20,
        ..CallerSettings::default()
    }
}

/// Creates the settings of a backend that accepts requests for these services.
pub fn backend(name: &str, services: &[&str]) -> BackendSettings {
    BackendSettings {
        name: name.to_owned(),
        allowed_services: services
            .iter()
            .map(|service| (*service).to_owned())
            .collect(),
        ..BackendSettings::default()
    }
}

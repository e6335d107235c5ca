//! Random schedules of delays, loss, duplication, pauses, partitions, crashes, joins and leaves.
//!
//! The virtual network checks continuously that no node adopts an older generation, that no barrier
//! passes too early and that no control budget is exceeded.

mod support;

use bellyoke_core::generation::Member;
use bellyoke_core::identity::NodeId;
use bellyoke_core::node::{Input, NodeSettings};
use std::time::Duration;
use support::{Link, VirtualNetwork, generation, member};

const ZONES: u64 = 3;
const NODES: u64 = 6;

/// Maximum number of hosts that are down, isolated or leaving at the same time.
const MAXIMUM_FAULTY_HOSTS: usize = 2;

struct Schedule {
    network: VirtualNetwork,
    seeds: Vec<std::net::SocketAddr>,
    next_node: u64,
    paused: Vec<NodeId>,
    isolated: Vec<NodeId>,
    /// Whether a host may be killed while a barrier is pending. More than half of a lease quorum may
    /// be lost then, in which case that barrier never passes (section 3 of the protocol).
    may_kill_during_barrier: bool,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut network = VirtualNetwork::new(seed, NodeSettings::default());
        network.link = Link {
            delay: Duration::from_micros(500),
            jitter: Duration::from_millis(1 + network.random_below(60)),
            loss_per_thousand: network.random_below(50) as u32,
            duplication_per_thousand: network.random_below(50) as u32,
        };
        let members: Vec<Member> = (1..=NODES).map(|node| member(node, ZONES)).collect();
        let seeds: Vec<_> = members.iter().map(|member| member.peer_address).collect();
        for member in &members {
            network.start(member, member.node.0 <= 3, seeds.clone());
        }
        network.publish(generation(1, members));
        Self {
            network,
            seeds,
            next_node: NODES + 1,
            paused: Vec::new(),
            isolated: Vec::new(),
            may_kill_during_barrier: true,
        }
    }

    fn step(&mut self) {
        match self.network.random_below(10) {
            0 | 1 => self.pause(),
            2 => self.resume(),
            3 => self.partition(),
            4 => self.heal(),
            5 => self.kill(),
            6 => self.join(),
            7 => self.leave(),
            _ => {
                self.network.publish_next();
            }
        }
        let pause = Duration::from_millis(self.network.random_below(4000));
        self.network.run(pause);
    }

    fn pause(&mut self) {
        if let Some(node) = self.choose_healthy_member() {
            self.paused.push(node);
            self.network.pause(node);
        }
    }

    fn resume(&mut self) {
        if let Some(node) = self.paused.pop() {
            self.network.resume(node);
        }
    }

    fn partition(&mut self) {
        if let Some(node) = self.choose_healthy_member() {
            self.isolated.push(node);
            self.network.partition(self.isolated.clone());
        }
    }

    fn heal(&mut self) {
        self.isolated.clear();
        self.network.partition([]);
    }

    fn kill(&mut self) {
        let newest = self
            .network
            .store
            .current()
            .map(|generation| generation.number);
        let barrier_pending = newest.is_some_and(|newest| !self.network.all_passed(newest));
        if barrier_pending && !self.may_kill_during_barrier {
            return;
        }
        if let Some(node) = self.choose_healthy_member() {
            self.network.kill(node);
            self.join();
        }
    }

    fn join(&mut self) {
        if self
            .network
            .hosts
            .values()
            .filter(|host| host.alive)
            .count()
            > NODES as usize + 2
        {
            return;
        }
        let member = member(self.next_node, ZONES);
        self.next_node += 1;
        let reads_store = self.network.random_below(2) == 0;
        self.network.start(&member, reads_store, self.seeds.clone());
    }

    fn leave(&mut self) {
        if let Some(node) = self.choose_healthy_member() {
            self.network.input(node, Input::Leave);
            self.join();
        }
    }

    /// Returns a random healthy host that is a member, unless too many hosts are faulty or too few
    /// healthy ones read the store.
    fn choose_healthy_member(&mut self) -> Option<NodeId> {
        let published = self.network.store.current()?.members.clone();
        let is_member = |node| published.iter().any(|member| member.node == node);
        let hosts = self.network.hosts.values();
        let healthy: Vec<NodeId> = hosts
            .filter(|host| host.is_running() && !host.node.status().leaving)
            .map(|host| host.identity.node)
            .filter(|node| is_member(*node) && !self.isolated.contains(node))
            .collect();
        let readers = healthy
            .iter()
            .filter(|node| self.network.hosts[node].reads_store);
        if published.len() > healthy.len() + MAXIMUM_FAULTY_HOSTS - 1 || readers.count() < 2 {
            return None;
        }
        let index = self.network.random_below(healthy.len() as u64) as usize;
        Some(healthy[index])
    }

    /// Ends all faults and checks that all running hosts adopt the newest generation and learn that
    /// its barrier has passed.
    fn settle(&mut self) {
        while !self.paused.is_empty() {
            self.resume();
        }
        self.heal();
        self.network.link.loss_per_thousand = 0;
        let settled = self.network.run_until(Duration::from_secs(180), |network| {
            let newest = network
                .store
                .current()
                .expect("a generation was published")
                .number;
            network.all_adopted(newest)
                && network.all_passed(newest)
                && generation_lists_running_hosts(network)
        });
        assert!(
            settled,
            "the cluster has not settled 180 s after the last fault"
        );
    }
}

/// Returns whether the members of the newest generation are exactly the running hosts that are not
/// leaving.
fn generation_lists_running_hosts(network: &VirtualNetwork) -> bool {
    let current = network.store.current().expect("a generation was published");
    let listed: Vec<NodeId> = current.members.iter().map(|member| member.node).collect();
    let hosts = network.hosts.values();
    let wanted: Vec<NodeId> = hosts
        .filter(|host| host.is_running() && !host.node.status().leaving)
        .map(|host| host.identity.node)
        .collect();
    listed == wanted
}

fn run_schedules(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut schedule = Schedule::new(seed);
        schedule.may_kill_during_barrier = false;
        for _ in 0..12 {
            schedule.step();
        }
        schedule.settle();
    }
}

#[test]
fn deaths_during_a_barrier_violate_no_invariant() {
    for seed in 0..4 * SCHEDULES_PER_BLOCK {
        let mut schedule = Schedule::new(seed);
        for _ in 0..12 {
            schedule.step();
        }
        schedule.heal();
        schedule.network.run(Duration::from_secs(30));
    }
}

#[test]
fn random_schedules_of_the_first_block_settle() {
    run_schedules(0..SCHEDULES_PER_BLOCK);
}

#[test]
fn random_schedules_of_the_second_block_settle() {
    run_schedules(SCHEDULES_PER_BLOCK..2 * SCHEDULES_PER_BLOCK);
}

#[test]
fn random_schedules_of_the_third_block_settle() {
    run_schedules(2 * SCHEDULES_PER_BLOCK..3 * SCHEDULES_PER_BLOCK);
}

#[test]
fn random_schedules_of_the_fourth_block_settle() {
    run_schedules(3 * SCHEDULES_PER_BLOCK..4 * SCHEDULES_PER_BLOCK);
}

/// Number of schedules per block. The blocks run in parallel.
const SCHEDULES_PER_BLOCK: u64 = 30;

#[test]
fn the_same_seed_gives_the_same_run() {
    let outcome = |seed| {
        let mut schedule = Schedule::new(seed);
        for _ in 0..6 {
            schedule.step();
        }
        let hosts = schedule.network.hosts.values();
        let sent: Vec<u64> = hosts.map(|host| host.sent_bytes).collect();
        (sent, schedule.network.now())
    };
    assert_eq!(outcome(5), outcome(5));
}

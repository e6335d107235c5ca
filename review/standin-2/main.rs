//! Stand-ins of the store, targets, clients, routers and the operator for the scripts in `review/`.
//!
//! usage: standin SCENARIO PROGRAM FOLDER RECORD, with TROUBLE=0 in the environment for a run without the disruption.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod endpoints;
mod packet;
mod store;
mod world;

use endpoints::{Habit, Target, start_client};
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use store::Store;
use world::{Bounds, SERVICE_PORT, World, ZONES, random, unix_ms};

/// Bounds of `fleet/stallnet-fleet.toml`.
const STALLNET_FLEET: Bounds = Bounds {
    drain: 8_000,
    config: 8_000,
    contact: 8_000,
};

/// Bounds of `sites/stallnet.toml`.
const STALLNET: Bounds = Bounds {
    drain: 3_000,
    config: 3_000,
    contact: 4_000,
};

/// Targets of the service; one of them is struck.
const TARGETS: usize = 8;

const TILL: Ipv4Addr = Ipv4Addr::new(127, 198, 18, 1);
const LISTINGS: Ipv4Addr = Ipv4Addr::new(127, 198, 18, 2);

/// Last octet of the address of the target whose flows are watched for resets; zero for none.
static WATCHED: AtomicU16 = AtomicU16::new(0);

type Run = Result<(), String>;

struct Case {
    world: Arc<World>,
    store: Arc<Store>,
    trouble: bool,
}

/// A target's entry in the store.
struct Entry<'a> {
    service: &'a str,
    zone: usize,
    state: &'a str,
    born: Option<u64>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, program, folder, record] = &arguments[..] else {
        eprintln!("usage: standin SCENARIO PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let (bounds, stale_lag) = match &scenario[..] {
        "half-killed" => (STALLNET, Duration::from_millis(4_000)),
        "last-target" => (STALLNET, Duration::from_millis(3_000)),
        _ => (STALLNET_FLEET, Duration::from_millis(500)),
    };
    let world = World::new(
        bounds,
        Path::new(program),
        Path::new(folder),
        Path::new(record),
    );
    let Some(world) = world else {
        eprintln!("no free loopback addresses, or no record");
        std::process::exit(2);
    };
    let case = Case {
        store: Store::new(stale_lag),
        world,
        trouble,
    };
    let run = match &scenario[..] {
        "born" => case.born(),
        "last-target" => case.last_target(),
        "half-killed" => case.half_killed(),
        "other-writer" => case.other_writer(),
        other => Err(format!("unknown scenario {other}")),
    };
    let world = &case.world;
    let lost = world.has_lost_process();
    world.stopping.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(100));
    let served = world.served.load(Ordering::Relaxed);
    let broken = world.violations.lock().unwrap().clone();
    let code = match &run {
        Err(why) => {
            println!("could not run: {why}");
            2
        }
        Ok(()) if lost => {
            println!("could not run: a node process ended by itself");
            2
        }
        Ok(()) if broken.is_empty() => {
            println!("held; {served} requests served");
            0
        }
        Ok(()) => {
            println!(
                "broken {} times; {served} requests served; first: {}",
                broken.len(),
                broken[0]
            );
            1
        }
    };
    world.note(&format!(
        "end: exit {code}, {} broken, {served} served",
        broken.len()
    ));
    world.kill_all();
    std::process::exit(code);
}

impl Case {
    fn configure(&self) {
        let route = |name: &str, address: Ipv4Addr, kind: &str, service: &str| {
            format!(
                r#"{{"name":"{name}","hostname":"{address}","path_prefix":"/{SERVICE_PORT}/","route_type":"{kind}","timeout_ms":2000,"aim_ms":120,"priority":1,"service":"{service}","max_attempts":2}}"#
            )
        };
        let service = |name: &str| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}}"#
            )
        };
        let spec = format!(
            r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
            route("r-a3", TILL, "non_idempotent", "stall-till"),
            route("r-b4", LISTINGS, "idempotent", "listings"),
            service("stall-till"),
            service("listings"),
        );
        self.store.put("config", "main", &spec);
        self.world.note("operator: the store took configuration 7");
    }

    /// Starts the store's addresses and the nodes, and waits until the routers have all of them.
    fn start(&self, nodes: usize) -> Run {
        let world = &self.world;
        for node in 0..nodes {
            let address = world.store_address(node);
            self.store
                .serve(address.into(), node)
                .map_err(|error| format!("store: {error}"))?;
        }
        self.configure();
        world
            .start_nodes(nodes)
            .map_err(|error| format!("node: {error}"))?;
        if !world.wait(Duration::from_secs(15), || world.all_in()) {
            return Err("the nodes are not ready".into());
        }
        Ok(())
    }

    fn target(&self, number: usize, name: &str, id: u32, work_ms: u64) -> Result<Target, String> {
        let address = self.world.target_address(number);
        // The address of a process that has just ended is free after a moment.
        let deadline = Instant::now() + Duration::from_secs(1);
        loop {
            match Target::start(&self.world, name, id, address, work_ms) {
                Ok(target) => return Ok(target),
                Err(error) if Instant::now() >= deadline => return Err(format!("target: {error}")),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Writes a target's entry and returns when the store has taken it.
    fn enter(&self, target: &Target, entry: &Entry<'_>) -> Instant {
        let born = entry
            .born
            .map_or(String::new(), |born| format!(r#","born":{born}"#));
        let spec = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":2,"state":"{}","cold_remaining_ms":0,"seq":1{born}}}"#,
            entry.service, target.address, ZONES[entry.zone], entry.state
        );
        let at = self
            .store
            .put("servers", &format!("i-{:08x}", target.id), &spec);
        self.world
            .note(&format!("target {} writes its entry: {spec}", target.name));
        at
    }

    fn clients(&self, from: usize, count: usize, habit: Habit) -> Run {
        for number in from..from + count {
            start_client(&self.world, number, habit, &WATCHED)
                .map_err(|error| format!("client: {error}"))?;
        }
        Ok(())
    }

    fn sleep(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    fn contact(&self) -> f64 {
        self.world.bounds.contact as f64 / 1_000.0
    }

    /// Starts targets of the service beside the one that is struck, in other zones than that one.
    fn start_others(&self) -> Result<Vec<Target>, String> {
        let mut others = Vec::new();
        for number in 0..TARGETS - 1 {
            let target = self.target(number, &format!("till-{number}"), random() | 1, 5)?;
            let born = Some(unix_ms());
            self.enter(
                &target,
                &Entry {
                    service: "stall-till",
                    zone: number % 2,
                    state: "ready",
                    born,
                },
            );
            others.push(target);
        }
        Ok(others)
    }

    /// The clock of a target's machine is ahead for a moment; the target starts, crashes, and starts again under its id
    /// once the clock is right. Later it drains.
    fn born(&self) -> Run {
        let world = &self.world;
        let _others = self.start_others()?;
        self.start(5)?;
        self.clients(
            0,
            8,
            Habit {
                service: TILL,
                requests: 1,
                pause: Duration::from_millis(40),
            },
        )?;
        self.sleep(self.contact() + 1.0);

        // The clock of the machine is 2,000 ms ahead for 5 s. The target starts 4 s after it jumped.
        let ahead = if self.trouble { 2_000 } else { 0 };
        let number = TARGETS - 1;
        let id = random() | 1;
        let entry = |state, born| Entry {
            service: "stall-till",
            zone: 2,
            state,
            born,
        };
        world.note(&format!(
            "trouble: the clock of the machine of till-x is {ahead} ms ahead"
        ));
        self.sleep(4.0);
        let first = self.target(number, "till-x", id, 5)?;
        self.enter(&first, &entry("ready", Some(unix_ms() + ahead)));
        self.sleep(1.0);
        first.end();
        world.note("target till-x crashes; the clock of its machine is right again");
        self.sleep(0.7);
        let second = self.target(number, "till-x", id, 5)?;
        let born = Some(unix_ms());
        self.enter(&second, &entry("ready", born));
        // Nodes avoid the target for some seconds after its crash.
        self.sleep(20.0);
        let runs = second.runs.load(Ordering::Relaxed);
        if runs == 0 {
            return Err("the target got no request before its drain".into());
        }

        let at = self.enter(&second, &entry("draining", born));
        *second.drained_at.lock().unwrap() = Some(at);
        world.note("target till-x: the store took that it is draining");
        self.sleep(world.bounds.drain as f64 / 1_000.0 + 5.0);
        let latest = second.latest_ms.load(Ordering::Relaxed);
        println!(
            "till-x: {runs} requests before the drain; its last opening that ran came {latest} ms after the drain"
        );
        self.store.delete("servers", &format!("i-{id:08x}"));
        second.end();
        Ok(())
    }

    /// Another writer makes an entry with a service that isn't named in the configuration, for the address of a target.
    /// Then the target's own entry goes although it never said `draining`, and it serves on.
    fn other_writer(&self) -> Run {
        let world = &self.world;
        let _others = self.start_others()?;
        let leaving = self.target(TARGETS - 1, "till-x", random() | 1, 5)?;
        self.enter(
            &leaving,
            &Entry {
                service: "stall-till",
                zone: 2,
                state: "ready",
                born: Some(unix_ms()),
            },
        );
        self.start(5)?;
        self.clients(
            0,
            40,
            Habit {
                service: TILL,
                requests: 100,
                pause: Duration::from_millis(250),
            },
        )?;
        self.sleep(self.contact() + 1.0);

        WATCHED.store(
            u16::from(leaving.address.ip().octets()[3]),
            Ordering::Relaxed,
        );
        if self.trouble {
            let spec = format!(
                r#"{{"service":"stall-till-old","address":"{}","zone":"{}","version":"v0","slots":2,"state":"ready","cold_remaining_ms":0,"seq":1}}"#,
                leaving.address, ZONES[2]
            );
            self.store
                .put("servers", &format!("i-{:08x}", random() | 1), &spec);
            world.note(&format!("trouble: another writer makes an entry: {spec}"));
        }
        self.sleep(2.0);
        let runs = leaving.runs.load(Ordering::Relaxed);
        if runs == 0 {
            return Err("the target got no request before its entry went".into());
        }
        self.store
            .delete("servers", &format!("i-{:08x}", leaving.id));
        world.note("target till-x: its entry goes; it serves on");
        // It serves on for `drain_ms` and a little longer.
        self.sleep(world.bounds.drain as f64 / 1_000.0 + 2.0);
        WATCHED.store(0, Ordering::Relaxed);
        let after = leaving.runs.load(Ordering::Relaxed) - runs;
        println!("till-x: {runs} requests before its entry went, {after} after");
        Ok(())
    }

    /// Again and again, the only target of a service is taken away without saying `draining`, just as the node that reads
    /// the store for the others is killed. The platform starts that node again after a short delay.
    fn last_target(&self) -> Run {
        const NODES: usize = 6;
        const RESTART_DELAY_S: f64 = 0.8;
        let world = &self.world;
        let _others = self.start_others()?;
        self.start(NODES)?;
        self.clients(
            0,
            4,
            Habit {
                service: TILL,
                requests: 20,
                pause: Duration::from_millis(100),
            },
        )?;
        self.clients(
            4,
            16,
            Habit {
                service: LISTINGS,
                requests: 1,
                pause: Duration::from_millis(20),
            },
        )?;
        let until = Instant::now() + Duration::from_secs(80);
        let mut number = TARGETS;
        let mut latest = Vec::new();
        while Instant::now() < until {
            let only = self.target(number, &format!("listings-{number}"), random() | 1, 0)?;
            number += 1;
            self.enter(
                &only,
                &Entry {
                    service: "listings",
                    zone: 0,
                    state: "ready",
                    born: None,
                },
            );
            self.sleep(self.contact() + 2.0 + f64::from(random() % 800) / 1_000.0);
            let reader = *self
                .store
                .watchers()
                .first()
                .ok_or("no node watches the store")?;
            if self.trouble {
                world.kill(reader);
            }
            let at = self.store.delete("servers", &format!("i-{:08x}", only.id));
            *only.drained_at.lock().unwrap() = Some(at);
            world.note(&format!(
                "target {}: its entry goes; it serves on",
                only.name
            ));
            self.sleep(RESTART_DELAY_S);
            if self.trouble {
                world
                    .restart(reader)
                    .map_err(|error| format!("node: {error}"))?;
            }
            // It serves on for `drain_ms` and a little longer.
            self.sleep(world.bounds.drain as f64 / 1_000.0);
            latest.push(only.latest_ms.load(Ordering::Relaxed));
            only.end();
            self.sleep(0.5);
        }
        println!(
            "last openings that ran after the entry of the only target went, in ms: {latest:?}"
        );
        Ok(())
    }

    /// Again and again, a target drains just as half of the nodes are killed: the one that reads the store for the others,
    /// and two that don't watch it. The platform starts them again one after the other.
    fn half_killed(&self) -> Run {
        const NODES: usize = 6;
        /// When the killed nodes are started again, in seconds after the kill.
        const RESTARTS_S: [f64; 3] = [0.6, 1.2, 1.9];
        let world = &self.world;
        let mut targets = self.start_others()?;
        self.start(NODES)?;
        self.clients(
            0,
            16,
            Habit {
                service: TILL,
                requests: 1,
                pause: Duration::from_millis(20),
            },
        )?;
        let until = Instant::now() + Duration::from_secs(50);
        let mut number = TARGETS;
        let mut latest = Vec::new();
        while Instant::now() < until {
            self.sleep(self.contact() + 2.0 + f64::from(random() % 800) / 1_000.0);
            let watchers = self.store.watchers();
            let reader = watchers.first().ok_or("no node watches the store")?;
            let others = (0..NODES).filter(|node| !watchers.contains(node));
            let mut victims: Vec<usize> = others.take(RESTARTS_S.len() - 1).collect();
            victims.push(*reader);
            if !self.trouble {
                victims.clear();
            }
            for victim in &victims {
                world.kill(*victim);
            }
            let target = targets.remove(0);
            let entry = Entry {
                service: "stall-till",
                zone: 0,
                state: "draining",
                born: None,
            };
            let at = self.enter(&target, &entry);
            *target.drained_at.lock().unwrap() = Some(at);
            world.note(&format!(
                "target {}: the store took that it is draining",
                target.name
            ));
            for (victim, restart_s) in victims.iter().zip(RESTARTS_S) {
                let restart = Duration::from_secs_f64(restart_s);
                std::thread::sleep(restart.saturating_sub(at.elapsed()));
                world
                    .restart(*victim)
                    .map_err(|error| format!("node: {error}"))?;
            }
            // It serves on for `drain_ms` and a little longer.
            let end = Duration::from_millis(world.bounds.drain) + Duration::from_secs(2);
            std::thread::sleep(end.saturating_sub(at.elapsed()));
            latest.push(target.latest_ms.load(Ordering::Relaxed));
            self.store
                .delete("servers", &format!("i-{:08x}", target.id));
            target.end();
            let fresh = self.target(number, &format!("till-{number}"), random() | 1, 1)?;
            number += 1;
            self.enter(
                &fresh,
                &Entry {
                    service: "stall-till",
                    zone: 0,
                    state: "ready",
                    born: None,
                },
            );
            targets.push(fresh);
            self.sleep(0.5);
        }
        println!("last openings that ran after the target drained, in ms: {latest:?}");
        Ok(())
    }
}

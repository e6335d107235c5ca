//! The cases.

use crate::client::{Attempt, Fate, Habit};
use crate::nodes::SIGTERM;
use crate::record::Record;
use crate::world::{
    has_trouble, sleep_until, target_id, unix_ms, wait_for, Places, World, CONTACT, DRAIN, EVEN,
    RECOVERY,
};
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

pub fn play(case: &str, record: Record, folder: &str) -> Verdict {
    match case {
        "foreign-entry" => foreign_entry(record, folder),
        "earlier-born" => earlier_born(record, folder),
        "drain-after-loss" => drain_after_loss(record, folder),
        "cut-at-its-end" => cut_at_its_end(record, folder),
        _ => Verdict::Failed(format!("no case {case}")),
    }
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns how many of the requests sent from `from` to `to` there are, and how many of them were answered.
fn served(attempts: &[Attempt], from: Instant, to: Instant) -> (usize, usize) {
    let sent = attempts
        .iter()
        .filter(|attempt| attempt.sent_at >= from && attempt.sent_at < to);
    let answered = sent
        .clone()
        .filter(|attempt| attempt.fate == Fate::Answered);
    (sent.count(), answered.count())
}

/// RECOVER: another writer's entries, whose service nobody has named, hold the addresses of live targets.
fn foreign_entry(record: Record, folder: &str) -> Verdict {
    let mut world = World::start(record.clone(), folder, EVEN, milliseconds(15));
    let born = unix_ms();
    for number in 0..4 {
        world.start_target(number, born);
    }
    if !world.wait_until_in(3) {
        return Verdict::Failed("the nodes didn't get ready".to_owned());
    }
    let habit = Habit {
        service: world.service_address(),
        requests_per_flow: 1,
        pause: milliseconds(100),
        deadline: seconds(2),
    };
    let start = Instant::now();
    world.start_clients(0..12, &habit);
    sleep_until(start + seconds(8));
    if has_trouble() {
        for number in 0..4 {
            let spec = format!(
                "{{\"service\":\"ledger-export\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":2,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}}",
                world.target_address(number)
            );
            let name = format!("i-{:x}", 0x5c0f_fe00 + number);
            world.store.put("servers", &name, &spec);
            record.line(&format!(
                "store: another writer's entry {name} is there: {spec}"
            ));
        }
    }
    sleep_until(start + seconds(10));
    world.configure();
    let fault = Instant::now();
    record.line("final fault: all node processes are killed right after the acknowledgement");
    for node in &mut world.nodes {
        node.kill();
    }
    std::thread::sleep(milliseconds(500));
    for node in &mut world.nodes {
        node.start();
    }
    let back = Instant::now();
    record.line("all node processes are started again");
    let end = back + RECOVERY + seconds(10);
    sleep_until(end);
    world.stop_clients();
    let lost_node = world.has_lost_node();
    let attempts = world.attempts.lock().unwrap().clone();
    let (sent_before, served_before) = served(&attempts, start, fault);
    let (sent_after, served_after) = served(&attempts, back + RECOVERY, end);
    record.say(&format!(
        "before the final fault: {served_before} of {sent_before} requests served"
    ));
    record.say(&format!(
        "sent later than {} s after the machines are back: {served_after} of {sent_after} requests served",
        RECOVERY.as_secs()
    ));
    if lost_node || sent_before < 50 || sent_after < 50 || served_before * 4 < sent_before {
        return Verdict::Failed("too few requests, or a node ended".to_owned());
    }
    if served_after * 4 < sent_after {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// DRAIN: a target starts again under its id with an earlier `born`, since its clock had jumped ahead at its first
/// start, and drains later.
fn earlier_born(record: Record, folder: &str) -> Verdict {
    let mut world = World::start(record.clone(), folder, EVEN, milliseconds(300));
    // The clock of target 0 is ahead at its first start, and has returned at its second one.
    let jump = if has_trouble() { 4_500 } else { 0 };
    let started = Instant::now();
    let first_born = unix_ms() + jump;
    world.start_target(0, first_born);
    for number in 1..4 {
        world.start_target(number, unix_ms());
    }
    if !world.wait_until_in(3) {
        return Verdict::Failed("the nodes didn't get ready".to_owned());
    }
    if started.elapsed() >= milliseconds(4_000) {
        return Verdict::Failed(
            "the nodes took longer to start than the clock is ahead".to_owned(),
        );
    }
    let habit = Habit {
        service: world.service_address(),
        requests_per_flow: 1,
        pause: milliseconds(50),
        deadline: seconds(3),
    };
    let start = Instant::now();
    record.line("target 0 crashes");
    world.targets[0].end();
    std::thread::sleep(milliseconds(200));
    let born = unix_ms();
    record.line(&format!(
        "target 0 starts again under its id; it was born at {first_born} before, and at {born} now"
    ));
    world.start_target(0, born);
    world.start_clients(0..8, &habit);
    // Long enough for everything to be calm again.
    sleep_until(start + CONTACT + seconds(4));
    world.write_entry(0, "draining", born);
    let acknowledged = Instant::now();
    world.targets[0].draining.store(true, Ordering::SeqCst);
    // It serves on for `drain_ms` and some seconds more, and ends.
    sleep_until(acknowledged + DRAIN + seconds(6));
    record.line("target 0 ends, as planned");
    let ended = Instant::now();
    world.targets[0].end();
    sleep_until(ended + seconds(4));
    world.stop_clients();
    let lost_node = world.has_lost_node();
    let attempts = world.attempts.lock().unwrap().clone();
    let ledger = world.ledger.lock().unwrap();
    let id = target_id(0);
    let before = ledger
        .opened
        .iter()
        .filter(|opened| opened.target == id && opened.at < acknowledged)
        .count();
    let mut late = 0;
    let mut lost = 0;
    for opened in ledger
        .opened
        .iter()
        .filter(|opened| opened.target == id && opened.at > acknowledged + DRAIN)
    {
        let request = attempts
            .iter()
            .find(|attempt| attempt.client == opened.client);
        if let Some(request) = request.filter(|request| request.opening_at > acknowledged + DRAIN) {
            late += 1;
            lost += usize::from(request.fate != Fate::Answered);
        }
    }
    drop(ledger);
    record.say(&format!(
        "target 0 took {before} flows before it said that it drains"
    ));
    record.say(&format!("flows that clients opened, and target 0 took, more than {} ms after the acknowledgement: {late}", DRAIN.as_millis()));
    record.say(&format!("of their requests, not answered: {lost}"));
    if lost_node || attempts.len() < 100 {
        return Verdict::Failed("too few requests, or a node ended".to_owned());
    }
    if late > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// FLOW: a target whose entry goes, as it ends without saying that it drains, is cut off for a second at that time and
/// serves on. Its open flows are reset long after the cut has healed.
fn cut_at_its_end(record: Record, folder: &str) -> Verdict {
    const LONG: u32 = 40;
    const SHORT: u32 = 12;
    let mut world = World::start(
        record.clone(),
        folder,
        Places {
            nodes: &[0, 0, 1],
            targets: &[0, 1, 1, 1],
        },
        milliseconds(15),
    );
    let born = unix_ms();
    for number in 0..4 {
        world.start_target(number, born);
    }
    if !world.wait_until_in(3) {
        return Verdict::Failed("the nodes didn't get ready".to_owned());
    }
    let service = world.service_address();
    let start = Instant::now();
    // Flows that rest for 12 s, less than `idle_timeout_ms`, between two requests.
    world.start_clients(
        0..LONG,
        &Habit {
            service,
            requests_per_flow: 2,
            pause: seconds(12),
            deadline: seconds(3),
        },
    );
    world.start_clients(
        LONG..LONG + SHORT,
        &Habit {
            service,
            requests_per_flow: 1,
            pause: milliseconds(100),
            deadline: seconds(2),
        },
    );
    sleep_until(start + seconds(2));
    record.line("planned work: the third node is stopped with SIGTERM and leaves for good");
    let leaving = world.nodes[2].settings.clone();
    world.nodes[2].signal(SIGTERM);
    world.nodes[2].wait();
    world.router.remove(&leaving);
    record.line("the third node has ended");
    sleep_until(start + seconds(5));
    if has_trouble() {
        record.line("the links between target 0 and the nodes are cut");
        world.targets[0].cut.store(true, Ordering::SeqCst);
    }
    sleep_until(start + milliseconds(5_300));
    record.line("planned work: target 0 is to end without saying that it drains, and serves on");
    world.remove_entry(0);
    sleep_until(start + milliseconds(6_200));
    world.targets[0].cut.store(false, Ordering::SeqCst);
    let healed = Instant::now();
    record.line("the links are whole");
    sleep_until(start + seconds(17));
    let end = Instant::now();
    world.stop_clients();
    let lost_node = world.has_lost_node();
    let attempts = world.attempts.lock().unwrap().clone();
    let ledger = world.ledger.lock().unwrap();
    let id = target_id(0);
    let calm = healed + CONTACT;
    let mut answered = 0;
    let mut broken = 0;
    for opened in ledger.opened.iter().filter(|opened| opened.target == id) {
        let later = attempts.iter().filter(|attempt| {
            attempt.client == opened.client && attempt.sent_at > calm && attempt.ended_at <= end
        });
        for attempt in later {
            answered += usize::from(attempt.fate == Fate::Answered);
            let by_node = attempt.fate == Fate::Reset
                && attempt.by_system
                && !ledger.resets.contains(&attempt.client);
            broken += usize::from(by_node);
        }
    }
    drop(ledger);
    record.say(&format!("requests on flows open at target 0, sent more than {} ms after the cut: {answered} answered", CONTACT.as_millis()));
    record.say(&format!(
        "of these flows, reset by a node while target 0 serves on: {broken}"
    ));
    world.targets[0].end();
    if lost_node || attempts.len() < 300 || answered + broken == 0 {
        return Verdict::Failed("too few requests, or a node ended".to_owned());
    }
    if broken > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// DRAIN: a target says that it drains just after most nodes lost power, among them those that read the store for all.
/// Two nodes are left, which nothing disturbs. Played some times.
fn drain_after_loss(record: Record, folder: &str) -> Verdict {
    const ROUNDS: usize = 6;
    let places = Places {
        nodes: &[0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2],
        targets: &[0; ROUNDS + 2],
    };
    let count = places.nodes.len();
    let mut world = World::start(record.clone(), folder, places, milliseconds(120));
    let born = unix_ms();
    world.start_target(0, born);
    if !world.start_with_router_of_first_zone() {
        return Verdict::Failed("the nodes didn't get ready".to_owned());
    }
    let habit = Habit {
        service: world.service_address(),
        requests_per_flow: 1,
        pause: milliseconds(30),
        deadline: seconds(2),
    };
    world.start_clients(0..10, &habit);
    let mut late = 0;
    let mut unanswered = 0;
    let mut played = 0;
    for round in 0..ROUNDS {
        // The next target starts first.
        world.start_target(round + 1, born);
        std::thread::sleep(CONTACT + seconds(3));
        let kept: Vec<usize> = (0..3)
            .filter(|node| !world.nodes[*node].has_duty())
            .collect();
        if kept.len() != 2 {
            record.line(&format!(
                "round {round}: not played, as {kept:?} have no duty"
            ));
            continue;
        }
        played += 1;
        let mut last = None;
        wait_for(seconds(5), || {
            let age = world.nodes[kept[0]].confirmation_age();
            let is_new = std::mem::replace(&mut last, age) != age;
            is_new && age.is_some_and(|age| age <= milliseconds(250))
        });
        let lost: Vec<usize> = (0..count).filter(|node| !kept.contains(node)).collect();
        if has_trouble() {
            record.line(&format!("round {round}: all nodes but {kept:?} lose power"));
            for node in &lost {
                world.nodes[*node].kill();
            }
        }
        world.write_entry(round, "draining", born);
        let acknowledged = Instant::now();
        world.targets[round].draining.store(true, Ordering::SeqCst);
        // It serves on for `drain_ms` and a little longer.
        sleep_until(acknowledged + DRAIN + milliseconds(900));
        record.line(&format!("target {:x} ends", target_id(round)));
        world.targets[round].end();
        world.remove_entry(round);
        sleep_until(acknowledged + DRAIN + seconds(2));
        for node in &lost {
            if has_trouble() {
                world.nodes[*node].start();
            }
        }
        sleep_until(acknowledged + DRAIN + seconds(4));
        let lost_addresses: Vec<_> = lost
            .iter()
            .map(|node| world.nodes[*node].settings.data)
            .collect();
        let attempts = world.attempts.lock().unwrap();
        let ledger = world.ledger.lock().unwrap();
        let id = target_id(round);
        for opened in ledger
            .opened
            .iter()
            .filter(|opened| opened.target == id && !lost_addresses.contains(&opened.node))
        {
            let request = attempts
                .iter()
                .find(|attempt| attempt.client == opened.client);
            let Some(request) = request.filter(|request| request.opening_at > acknowledged + DRAIN)
            else {
                continue;
            };
            late += 1;
            unanswered += usize::from(request.fate != Fate::Answered);
            record.line(&format!(
                "round {round}: client {} opened a flow {} ms after the acknowledgement, through node {}; its request: {:?}",
                opened.client,
                request.opening_at.saturating_duration_since(acknowledged).as_millis(),
                opened.node,
                request.fate
            ));
        }
        if late > 0 {
            break;
        }
    }
    let answered = world
        .attempts
        .lock()
        .unwrap()
        .iter()
        .filter(|attempt| attempt.fate == Fate::Answered)
        .count();
    world.stop_clients();
    let lost_node = world.has_lost_node();
    record.say(&format!("{played} rounds, {answered} requests answered"));
    record.say(&format!(
        "flows that clients opened more than {} ms after the acknowledgement, and that the target took through nodes in touch: {late}",
        DRAIN.as_millis()
    ));
    record.say(&format!("of their requests, not answered: {unanswered}"));
    if lost_node || answered < 300 || played == 0 {
        return Verdict::Failed("too few requests or rounds, or a node ended".to_owned());
    }
    if late > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

//! Lists, watches and their failures.

use crate::support::at;
use bellyoke_core::cookie::follower::{
    Answer, Follower, FollowerSettings, Freshness, NextAction, Read, Update, WatchPlan,
};
use bellyoke_core::cookie::revision::Revision;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

type TestAnswer = Answer<u32, u32>;

struct Harness {
    follower: Follower<u32>,
    random: ChaCha8Rng,
    now: u64,
}

impl Harness {
    fn new() -> Self {
        Self {
            follower: Follower::new(FollowerSettings::default()),
            random: ChaCha8Rng::seed_from_u64(1),
            now: 0,
        }
    }

    fn watching() -> Self {
        let mut harness = Self::new();
        harness.answer(page(&[1], None, 10));
        harness
    }

    fn next(&self) -> NextAction {
        let plan = WatchPlan::Watch(Freshness::MayBeStale);
        self.follower.next_action(at(self.now), plan)
    }

    fn answer(&mut self, answer: TestAnswer) -> Option<Update<u32, u32>> {
        self.follower.answer(at(self.now), answer, &mut self.random)
    }
}

fn page(items: &[u32], next_after: Option<&str>, at: u64) -> TestAnswer {
    Answer::Page {
        items: items.to_vec(),
        next_after: next_after.map(str::to_owned),
        at: Revision::new(at),
    }
}

fn list(after: Option<&str>, freshness: Freshness) -> NextAction {
    NextAction::Call(Read::List {
        after: after.map(str::to_owned),
        freshness,
    })
}

fn watch(from: u64) -> NextAction {
    NextAction::Call(Read::Watch {
        from: Revision::new(from),
        wait: Duration::from_millis(750),
        freshness: Freshness::MayBeStale,
    })
}

#[test]
fn a_watch_starts_at_the_revision_of_the_list() {
    let mut harness = Harness::new();
    assert_eq!(harness.next(), list(None, Freshness::MayBeStale));
    let update = harness.answer(page(&[1, 2], None, 10));
    let full_list = Update::List {
        at: Revision::new(10),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(full_list));
    assert_eq!(harness.next(), watch(10));
    let changes = Answer::Changes {
        events: vec![3],
        at: Revision::new(12),
    };
    assert!(harness.answer(changes).is_some());
    harness.now += 50;
    assert_eq!(harness.next(), watch(12));
}

#[test]
fn a_list_of_several_pages_has_the_revision_of_its_first_page() {
    let mut harness = Harness::new();
    assert_eq!(harness.answer(page(&[1], Some("a"), 10)), None);
    assert_eq!(harness.next(), list(Some("a"), Freshness::MayBeStale));
    let update = harness.answer(page(&[2], None, 15));
    let full_list = Update::List {
        at: Revision::new(10),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(full_list));
    assert_eq!(
        harness.next(),
        watch(10),
        "the watch returns the changes made between the pages"
    );
}

#[test]
fn a_list_has_the_revision_of_its_oldest_page() {
    let mut harness = Harness::new();
    harness.answer(page(&[1], Some("a"), 10));
    let update = harness.answer(page(&[2], None, 7));
    let full_list = Update::List {
        at: Revision::new(7),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(full_list));
    assert_eq!(harness.next(), watch(7));
}

#[test]
fn a_follower_lists_again_when_history_is_lost() {
    let mut harness = Harness::watching();
    harness.answer(Answer::HistoryGone);
    assert_eq!(harness.next(), list(None, Freshness::Newest));
}

#[test]
fn updates_from_peers_make_a_list_redundant() {
    let mut harness = Harness::new();
    harness.answer(page(&[1], Some("one"), 10));
    assert!(!harness.follower.is_list_redundant(Revision::new(0)));
    assert!(harness.follower.is_list_redundant(Revision::new(12)));
    harness.follower.skip_to(Revision::new(12));
    assert_eq!(harness.next(), watch(12));
    assert_eq!(
        harness.answer(page(&[2], None, 11)),
        None,
        "the list was abandoned"
    );
}

/// A list after lost history becomes redundant only by updates that are newer than the last watch.
#[test]
fn a_list_after_lost_history_is_needed_until_peers_send_newer_updates() {
    let mut harness = Harness::watching();
    harness.answer(Answer::HistoryGone);
    harness.follower.skip_to(Revision::new(10));
    assert_eq!(harness.next(), list(None, Freshness::Newest));
    harness.answer(Answer::Throttled);
    harness.now = 5_000;
    harness.follower.skip_to(Revision::new(10));
    assert_eq!(harness.next(), list(None, Freshness::MayBeStale));
    harness.follower.skip_to(Revision::new(11));
    assert_eq!(harness.next(), watch(11));
}

fn newest_watch(from: u64) -> NextAction {
    NextAction::Call(Read::Watch {
        from: Revision::new(from),
        wait: FollowerSettings::default().reader_watch_wait,
        freshness: Freshness::Newest,
    })
}

#[test]
fn a_reader_watches_the_newest_state() {
    let harness = Harness::watching();
    let plan = WatchPlan::Watch(Freshness::Newest);
    assert_eq!(harness.follower.next_action(at(0), plan), newest_watch(10));
}

#[test]
fn changes_in_quick_succession_are_read_in_one_call() {
    let mut harness = Harness::watching();
    harness.now = 5_000;
    harness.answer(Answer::Changes {
        events: vec![1],
        at: Revision::new(12),
    });
    assert_eq!(harness.next(), NextAction::WaitUntil(at(5_050)));
    let plan = WatchPlan::Watch(Freshness::Newest);
    let next = |now| harness.follower.next_action(at(now), plan);
    let pause_ends = at(5_000).after(FollowerSettings::default().reader_watch_pause);
    assert_eq!(next(5_000), NextAction::WaitUntil(pause_ends));
    assert_eq!(
        harness.follower.next_action(pause_ends, plan),
        newest_watch(12)
    );
}

#[test]
fn a_watch_without_changes_continues_at_once() {
    let mut harness = Harness::watching();
    harness.now = 5_000;
    harness.answer(Answer::Changes {
        events: vec![],
        at: Revision::new(12),
    });
    assert_eq!(harness.next(), watch(12));
}

#[test]
fn an_idle_node_makes_no_calls_and_continues_from_the_updates_of_peers() {
    let mut harness = Harness::watching();
    let idle = WatchPlan::IdleUntil(at(4_000));
    assert_eq!(
        harness.follower.next_action(at(0), idle),
        NextAction::WaitUntil(at(4_000))
    );
    harness.follower.skip_to(Revision::new(30));
    harness.follower.skip_to(Revision::new(20));
    assert_eq!(harness.follower.next_action(at(4_000), idle), watch(30));
}

#[test]
fn a_node_without_a_list_is_not_idle() {
    let harness = Harness::new();
    let idle = WatchPlan::IdleUntil(at(4_000));
    let next = harness.follower.next_action(at(0), idle);
    assert_eq!(next, list(None, Freshness::MayBeStale));
}

#[test]
fn a_follower_is_usable_until_a_call_fails() {
    let mut harness = Harness::new();
    assert!(harness.follower.is_usable());
    harness.answer(page(&[1], None, 10));
    assert!(harness.follower.is_usable());
    harness.answer(Answer::Failed);
    assert!(!harness.follower.is_usable());
    let changes = Answer::Changes {
        events: vec![],
        at: Revision::new(10),
    };
    harness.answer(changes);
    assert!(harness.follower.is_usable());
    harness.answer(Answer::Throttled);
    assert!(!harness.follower.is_usable());
}

#[test]
fn a_throttled_list_is_retried_as_a_stale_read() {
    let mut harness = Harness::new();
    harness.answer(Answer::Throttled);
    harness.now += 200;
    assert_eq!(harness.next(), list(None, Freshness::MayBeStale));
}

#[test]
fn a_failed_watch_continues_from_the_same_revision() {
    let mut harness = Harness::watching();
    harness.answer(Answer::Failed);
    assert!(matches!(harness.next(), NextAction::WaitUntil(_)));
    harness.now += 1_000;
    assert_eq!(harness.next(), watch(10));
}

#[test]
fn a_watch_never_goes_back() {
    let mut harness = Harness::watching();
    harness.answer(Answer::Changes {
        events: vec![],
        at: Revision::new(4),
    });
    assert_eq!(harness.next(), watch(10));
}

#[test]
fn an_answer_of_the_wrong_kind_is_ignored() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.answer(Answer::Changes {
            events: vec![1],
            at: Revision::new(4)
        }),
        None
    );
    harness.now += 50;
    assert_eq!(harness.next(), list(None, Freshness::MayBeStale));
    let mut harness = Harness::watching();
    assert_eq!(harness.answer(page(&[1], None, 20)), None);
    assert_eq!(harness.next(), watch(10));
}

proptest! {
    /// Pauses after failures stay within their limits for any seed and number of failures.
    #[test]
    fn pauses_are_bounded(seed in any::<u64>(), failures in 1..100_usize) {
        let mut harness = Harness::new();
        harness.random = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..failures {
            harness.answer(Answer::Failed);
            let NextAction::WaitUntil(until) = harness.next() else {
                panic!("no pause after a failure");
            };
            let pause = until.since(at(harness.now));
            prop_assert!(pause >= Duration::from_millis(50));
            prop_assert!(pause <= Duration::from_secs(1));
            harness.now = until.as_micros().div_ceil(1_000);
        }
    }
}

const LIST: Read = Read::List {
    after: None,
    freshness: Freshness::MayBeStale,
};

/// Returns the delays in milliseconds before the second page over many seeds, if the first page
/// took `page_time` milliseconds.
fn list_delays(page_time: u64, relative_capacity: f64) -> Vec<u64> {
    let delays = (0..200).map(|seed| {
        let settings = FollowerSettings {
            relative_capacity,
            ..FollowerSettings::default()
        };
        let mut follower = Follower::new(settings);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        follower.start_call(at(1_000), &LIST);
        let now = 1_000 + page_time;
        let update: Option<Update<u32, u32>> =
            follower.answer(at(now), page(&[1], Some("a"), 10), &mut random);
        assert_eq!(update, None);
        let plan = WatchPlan::Watch(Freshness::MayBeStale);
        match follower.next_action(at(now), plan) {
            NextAction::WaitUntil(until) => until.since(at(now)).as_millis() as u64,
            NextAction::Call(_) => 0,
        }
    });
    delays.collect()
}

/// Guards against overload of the store when many nodes list at once and a page takes long. Only a
/// few of them must continue at once; the others get the state from these.
#[test]
fn only_a_few_nodes_continue_a_slow_list_at_once() {
    let delays = list_delays(300, 1.0);
    let early = delays.iter().filter(|delay| **delay < 60).count();
    assert!((1..=10).contains(&early), "{early} of 200");
    assert!(delays.iter().all(|delay| *delay < 3_000));
    let large = list_delays(300, 8.0);
    assert!(large.iter().all(|delay| *delay < 375));
    assert!(list_delays(10, 1.0).iter().all(|delay| *delay < 100));
    assert!(list_delays(60_000, 1.0).iter().all(|delay| *delay < 8_000));
}

#[test]
fn a_list_continues_without_delay_after_its_second_page() {
    let mut harness = Harness::new();
    harness.follower.start_call(at(0), &LIST);
    harness.now = 100;
    harness.answer(page(&[1], Some("a"), 10));
    harness.now = 8_100;
    assert_eq!(harness.next(), list(Some("a"), Freshness::MayBeStale));
    harness.follower.start_call(at(8_100), &LIST);
    harness.now = 8_200;
    harness.answer(page(&[2], Some("b"), 10));
    assert_eq!(harness.next(), list(Some("b"), Freshness::MayBeStale));
}

/// A lagging replica of the store doesn't have revisions that a node already got from peers, and
/// answers that the required history was discarded. A list each time would cost the store
/// megabytes.
#[test]
fn a_stale_read_waits_for_peers_before_it_lists_again() {
    for (freshness, waits) in [(Freshness::MayBeStale, true), (Freshness::Newest, false)] {
        let mut harness = Harness::watching();
        let watch = Read::Watch {
            from: Revision::new(10),
            wait: Duration::from_millis(750),
            freshness,
        };
        harness.follower.start_call(at(0), &watch);
        harness.answer(Answer::HistoryGone);
        let is_listing = matches!(harness.next(), NextAction::Call(Read::List { .. }));
        assert_eq!(is_listing, !waits, "{freshness:?}");
        harness.now = 300;
        assert_eq!(harness.next(), list(None, Freshness::Newest));
        assert!(harness.follower.is_usable());
        // Peers have sent an update meanwhile.
        harness.follower.skip_to(Revision::new(12));
        assert!(matches!(
            harness.next(),
            NextAction::Call(Read::Watch { .. })
        ));
    }
}

#[test]
fn a_confirming_watch_does_not_wait_for_a_change() {
    let harness = Harness::watching();
    let next = harness.follower.next_action(at(0), WatchPlan::Confirm);
    let NextAction::Call(Read::Watch {
        wait, freshness, ..
    }) = next
    else {
        panic!("{next:?}");
    };
    assert_eq!(freshness, Freshness::Newest);
    assert!(wait < FollowerSettings::default().watch_wait / 10);
}

/// A store that throttles reads of the newest state still answers stale reads, which are cheaper.
#[test]
fn a_throttled_watch_is_retried_as_a_stale_read() {
    let mut harness = Harness::watching();
    harness.answer(Answer::Throttled);
    let plan = WatchPlan::Watch(Freshness::Newest);
    let next = harness.follower.next_action(at(5_000), plan);
    assert!(
        matches!(next, NextAction::Call(Read::Watch { freshness, .. }) if freshness == Freshness::MayBeStale)
    );
    harness.answer(Answer::Changes {
        events: Vec::new(),
        at: Revision::new(10),
    });
    assert_eq!(
        harness.follower.next_action(at(5_000), plan),
        newest_watch(10)
    );
}

//! List, watch, and what may go wrong.

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
fn it_lists_then_watches_from_the_list() {
    let mut harness = Harness::new();
    assert_eq!(harness.next(), list(None, Freshness::MayBeStale));
    let update = harness.answer(page(&[1, 2], None, 10));
    let whole = Update::List {
        at: Revision::new(10),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(whole));
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
fn a_list_of_many_pages_is_true_at_its_first() {
    let mut harness = Harness::new();
    assert_eq!(harness.answer(page(&[1], Some("a"), 10)), None);
    assert_eq!(harness.next(), list(Some("a"), Freshness::MayBeStale));
    let update = harness.answer(page(&[2], None, 15));
    let whole = Update::List {
        at: Revision::new(10),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(whole));
    assert_eq!(
        harness.next(),
        watch(10),
        "what changed between the pages is told again"
    );
}

#[test]
fn a_page_that_is_older_than_the_first_makes_the_list_as_old() {
    let mut harness = Harness::new();
    harness.answer(page(&[1], Some("a"), 10));
    let update = harness.answer(page(&[2], None, 7));
    let whole = Update::List {
        at: Revision::new(7),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(whole));
    assert_eq!(harness.next(), watch(7));
}

#[test]
fn it_lists_again_at_once_when_history_is_gone() {
    let mut harness = Harness::watching();
    harness.answer(Answer::HistoryGone);
    assert_eq!(harness.next(), list(None, Freshness::Newest));
}

#[test]
fn what_peers_told_makes_a_list_needless() {
    let mut harness = Harness::new();
    harness.answer(page(&[1], Some("one"), 10));
    assert!(!harness.follower.is_list_redundant(Revision::new(0)));
    assert!(harness.follower.is_list_redundant(Revision::new(12)));
    harness.follower.skip_to(Revision::new(12));
    assert_eq!(harness.next(), watch(12));
    assert_eq!(harness.answer(page(&[2], None, 11)), None, "it comes late");
}

/// The node knows what it has watched so far: only what is newer spares it the list.
#[test]
fn a_list_after_forgotten_history_is_needed_until_peers_tell_more() {
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
fn a_reader_watches_for_the_newest_state() {
    let harness = Harness::watching();
    let plan = WatchPlan::Watch(Freshness::Newest);
    assert_eq!(harness.follower.next_action(at(0), plan), newest_watch(10));
}

#[test]
fn changes_that_come_together_cost_one_call() {
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
fn a_watch_without_changes_goes_on_at_once() {
    let mut harness = Harness::watching();
    harness.now = 5_000;
    harness.answer(Answer::Changes {
        events: vec![],
        at: Revision::new(12),
    });
    assert_eq!(harness.next(), watch(12));
}

#[test]
fn a_node_that_rests_asks_nothing_and_goes_on_from_what_it_heard_meanwhile() {
    let mut harness = Harness::watching();
    let rest = WatchPlan::IdleUntil(at(4_000));
    assert_eq!(
        harness.follower.next_action(at(0), rest),
        NextAction::WaitUntil(at(4_000))
    );
    harness.follower.skip_to(Revision::new(30));
    harness.follower.skip_to(Revision::new(20));
    assert_eq!(harness.follower.next_action(at(4_000), rest), watch(30));
}

#[test]
fn a_node_without_a_list_does_not_rest() {
    let harness = Harness::new();
    let rest = WatchPlan::IdleUntil(at(4_000));
    let next = harness.follower.next_action(at(0), rest);
    assert_eq!(next, list(None, Freshness::MayBeStale));
}

#[test]
fn the_store_is_usable_until_a_call_fails() {
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
fn a_refused_list_is_repeated_as_a_cheap_one() {
    let mut harness = Harness::new();
    harness.answer(Answer::Throttled);
    harness.now += 200;
    assert_eq!(harness.next(), list(None, Freshness::MayBeStale));
}

#[test]
fn a_failed_watch_goes_on_where_it_was() {
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
fn an_answer_of_the_wrong_kind_is_no_news() {
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
    /// Pauses grow to their longest and no further, and differ from node to node.
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

/// How long a node waits before the second page, once its first page took so long; over many seeds.
fn list_waits(took: u64, relative_capacity: f64) -> Vec<u64> {
    let waits = (0..200).map(|seed| {
        let settings = FollowerSettings {
            relative_capacity,
            ..FollowerSettings::default()
        };
        let mut follower = Follower::new(settings);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        follower.start_call(at(1_000), &LIST);
        let now = 1_000 + took;
        let none: Option<Update<u32, u32>> =
            follower.answer(at(now), page(&[1], Some("a"), 10), &mut random);
        assert_eq!(none, None);
        let plan = WatchPlan::Watch(Freshness::MayBeStale);
        match follower.next_action(at(now), plan) {
            NextAction::WaitUntil(until) => until.since(at(now)).as_millis() as u64,
            NextAction::Call(_) => 0,
        }
    });
    waits.collect()
}

/// Where many list at once a page takes long: a few go on at once, and the others learn from them.
#[test]
fn few_go_on_with_a_long_list_at_once() {
    let waits = list_waits(300, 1.0);
    let soon = waits.iter().filter(|wait| **wait < 60).count();
    assert!((1..=10).contains(&soon), "{soon} of 200");
    assert!(waits.iter().all(|wait| *wait < 3_000));
    let large = list_waits(300, 8.0);
    assert!(large.iter().all(|wait| *wait < 375));
    assert!(list_waits(10, 1.0).iter().all(|wait| *wait < 100));
    assert!(list_waits(60_000, 1.0).iter().all(|wait| *wait < 8_000));
}

#[test]
fn a_list_goes_on_without_a_wait_after_its_second_page() {
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

/// A store that lags has forgotten what a node was told by others: a list each time would cost it megabytes.
#[test]
fn a_read_that_may_be_stale_gives_others_time_to_tell_before_it_lists() {
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
        // Others have told meanwhile.
        harness.follower.skip_to(Revision::new(12));
        assert!(matches!(
            harness.next(),
            NextAction::Call(Read::Watch { .. })
        ));
    }
}

#[test]
fn a_node_that_needs_word_at_once_does_not_wait_for_a_change() {
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

/// A store that refuses reads of the newest state for being too many still answers cheaper ones.
#[test]
fn a_watch_that_was_refused_is_made_again_by_a_stale_read() {
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
